/// \file
/// Tests what callers get from a daemon that is stopped: each request that it
/// has accepted is answered, and what can't end in time is not begun.
#include <doctest/doctest.h>

#include "support/mesh_fixture.h"

#include <algorithm>
#include <atomic>

using namespace hyssopledge;
using namespace hyssopledge::tests;

namespace {

/// Responds after 1 ms to the first requests, then after the time.
scripted_upstream::script respondingAfter(milliseconds Time,
                                          unsigned FastRequests = 0) {
  auto Received = std::make_shared<std::atomic<unsigned>>(0);
  return [Time, FastRequests, Received](upstream_connection &Connection) {
    while (Connection.read()) {
      std::this_thread::sleep_for((*Received)++ < FastRequests ? milliseconds(1)
                                                               : Time);
      Connection.respond("done", 200, SignatureField);
    }
  };
}

/// Sends requests on connections of their own and collects the statuses.
class callers {
public:
  callers(const mesh &Mesh, unsigned Count, http::verb Method,
          const std::string &Path)
      : Statuses(Count) {
    for (unsigned I = 0; I < Count; ++I)
      Threads.emplace_back([this, &Mesh, I, Method, Path] {
        try {
          Statuses[I] =
              callOnce(Mesh.Entry.address(), shopRequest(Method, Path))
                  .result_int();
        } catch (const boost::system::system_error &) {
          Statuses[I] = 0;
        }
      });
  }
  ~callers() { await(); }
  callers(const callers &) = delete;
  callers &operator=(const callers &) = delete;
  const std::vector<unsigned> &await() {
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
    return Statuses;
  }

private:
  std::vector<unsigned> Statuses; // 0: the connection ended without an answer
  std::vector<std::thread> Threads;
};

} // namespace

TEST_CASE("a stop under load answers all accepted requests") {
  struct stop_case {
    const char *Name;
    http::verb Method;
    const char *Path;
    bool AtTarget; // the daemon beside the upstream stops, not the entry
  };
  const stop_case Cases[] = {
      {"entry, may be repeated", http::verb::get, "/look/1", false},
      {"entry, may not be repeated", http::verb::post, "/book/1", false},
      {"target, may be repeated", http::verb::get, "/look/1", true},
      {"target, may not be repeated", http::verb::post, "/book/1", true},
  };
  for (const stop_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    std::atomic<bool> AllAccepted{false}; // holds the responses until then
    mesh Mesh({[&](upstream_connection &Connection) {
      while (Connection.read()) {
        while (!AllAccepted)
          std::this_thread::sleep_for(milliseconds(5));
        std::this_thread::sleep_for(milliseconds(200));
        Connection.respond("done", 200, SignatureField);
      }
    }});
    constexpr unsigned Requests = 8; // twice the slots: half of them wait
    mesh_node &Stopped = Case.AtTarget ? *Mesh.Targets[0] : Mesh.Entry;
    std::size_t Accepted = 0;
    callers Callers(Mesh, Requests, Case.Method, Case.Path);
    const auto Deadline = std::chrono::steady_clock::now() + TestTimeout;
    while (Accepted < Requests && std::chrono::steady_clock::now() < Deadline)
      Stopped.run([&] {
        Accepted = Case.AtTarget ? Stopped.UpstreamClient->active()
                                 : Stopped.Plane->active();
      });
    AllAccepted = true;
    REQUIRE(Accepted == Requests);
    Stopped.run([&] {
      if (Case.AtTarget)
        Stopped.UpstreamClient->refuseNewCalls();
      Stopped.Plane->closeAfterResponses();
      Stopped.Plane->refuseNewCalls();
    });
    // Later requests are refused as not run, at once.
    const auto Late = Mesh.call(shopRequest(Case.Method, Case.Path));
    CHECK(Late.result_int() == 503);
    for (const unsigned Status : Callers.await())
      CHECK(Status == 200);
  }
}

TEST_CASE(
    "a request that is taken late in the grace time ends with an answer") {
  struct grace_case {
    const char *Name;
    http::verb Method;
    const char *Path;
    milliseconds RunTime;
    milliseconds GraceLeft; // when the request is sent
    unsigned FastRequests;  // before
    unsigned Status;
  };
  const grace_case Cases[] = {
      {"enough time", http::verb::post, "/book/1", milliseconds(50),
       milliseconds(1500), 0, 200},
      {"the run takes longer than usual, may be repeated", http::verb::get,
       "/look/1", milliseconds(1500), milliseconds(200), 6, 504},
      {"the run takes longer than usual, may not be repeated", http::verb::post,
       "/book/1", milliseconds(1500), milliseconds(200), 6, 504},
      {"the usual run takes longer", http::verb::post, "/book/1",
       milliseconds(1500), milliseconds(200), 0, 503},
      {"no time is left", http::verb::post, "/book/1", milliseconds(50),
       milliseconds(0), 0, 503},
  };
  for (const grace_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    mesh Mesh({respondingAfter(Case.RunTime, Case.FastRequests)});
    for (unsigned I = 0; I < Case.FastRequests; ++I)
      REQUIRE(Mesh.call(shopRequest(Case.Method, Case.Path)).result_int() ==
              200);
    const auto End = state::boot_clock::now() + Case.GraceLeft;
    Mesh.Entry.run([&] { Mesh.Entry.Plane->setShutdownDeadline(End); });
    callers Callers(Mesh, 4, Case.Method, Case.Path);
    for (const unsigned Status : Callers.await())
      CHECK(Status == Case.Status);
    // The platform kills the process half a second after this deadline.
    CHECK(state::boot_clock::now() <
          End + std::max(milliseconds(500), Case.RunTime / 2));
  }
}
