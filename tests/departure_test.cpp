/// \file
/// What is acknowledged to an upstream that leaves outlives the daemon.
#include <doctest/doctest.h>

#include "support/mesh_process.h"

#include <chrono>
#include <string>
#include <thread>

using namespace hyssopledge;
using namespace hyssopledge::tests;

namespace {

const char *const Document =
    R"({"version":1,"services":[{"name":"pages"}],"virtualHosts":[)"
    R"({"host":"h","paths":[{"name":"r","prefix":"/a/","kind":"safe",)"
    R"("timeoutMs":5000,"service":"pages"}]}]})";

http_request ordinaryRequest() {
  http_request Request = makeRequest(http::verb::get, "/a/1");
  Request.set(http::field::host, "h");
  Request.set("Attempt-Id", "a1");
  Request.set("Deadline-Ms", "5000");
  return Request;
}

} // namespace

// A departure was acknowledged that only the daemon itself knew, and forgotten
// when it was killed.
TEST_CASE("a departure that nobody else keeps is not acknowledged") {
  struct departure_case {
    const char *Name;
    bool Deregisters;
    bool StoreAnswers;
  };
  for (const departure_case &Case :
       {departure_case{"a drain", false, true},
        departure_case{"a drain, the store is silent", false, false},
        departure_case{"a leave", true, true},
        departure_case{"a leave, the store is silent", true, false}}) {
    CAPTURE(std::string(Case.Name));
    mesh_process Daemon({64, 256, Document}, [](upstream_connection &Upstream) {
      while (Upstream.read())
        Upstream.respond("ok", 200, "Response-Signature: s\r\n");
    });
    REQUIRE(Daemon.awaitServing(ordinaryRequest()));
    if (!Case.StoreAnswers)
      Daemon.withholdStore();
    // The state that the upstream repeats is not a departure.
    CHECK(Daemon.announce("ready") == 200);
    for (int I = 0; I < 2; ++I) {
      const unsigned Status =
          Case.Deregisters ? Daemon.deregister() : Daemon.announce("draining");
      CHECK((Status == 200) == Case.StoreAnswers);
    }
    // It gets nothing more in any case.
    CHECK(mesh_process::status(ordinaryRequest(), Daemon.entryAddress()) !=
          200);
  }
}
