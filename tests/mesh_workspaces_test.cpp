/// \file
/// Tests API keys, quotas, evacuations, cold upstreams and second attempts at a
/// mesh of daemons on loopback.
#include <doctest/doctest.h>

#include "support/mesh_fixture.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <string>
#include <vector>

using namespace hyssopledge;
using namespace hyssopledge::tests;

namespace {

/// Routes /look/ (needs a key), /book/ and /open/ (anonymous), and workspaces
/// "gold" with key "k1" and "free" with key "k2".
std::shared_ptr<const state::route_table>
workspaceTable(std::uint64_t Version,
               std::vector<std::string> GoldKeys = {"k1"}) {
  state::document Document = testTable(std::chrono::seconds(5))->source();
  state::route_spec Open = Document.Routes.front();
  Open.Name = "open";
  Open.PathPrefix = "/open/";
  Open.AllowAnonymous = true;
  Document.Routes.push_back(Open);
  state::workspace_spec Gold;
  Gold.Name = "gold";
  Gold.ApiKeys = std::move(GoldKeys);
  Gold.Quota = {10, 10};
  state::workspace_spec Free;
  Free.Name = "free";
  Free.ApiKeys = {"k2"};
  Document.Workspaces = {Gold, Free};
  return state::route_table::build(Version, Document).value();
}

/// Responds with the fields that reached the upstream.
scripted_upstream::script echoingCredentials() {
  return [](upstream_connection &Connection) {
    while (const auto Request = Connection.read())
      Connection.respond(std::string((*Request)["Tenant"]) + "/" +
                             std::string((*Request)["Key"]),
                         200, SignatureField);
  };
}

http_request withKey(const std::string &Path, const std::string &Key) {
  http_request Request = shopRequest(http::verb::get, Path);
  if (!Key.empty())
    Request.set("Key", Key);
  Request.set("Tenant", "forged");
  return Request;
}

} // namespace

// A target ran requests for whatever workspace the client named, and saw its
// key.
TEST_CASE("a request gets the workspace that holds its key") {
  struct key_case {
    const char *Name;
    const char *Path;
    const char *Key;
    unsigned Status;
    const char *Body; // workspace and key that the upstream gets
  };
  const key_case Cases[] = {
      {"known key", "/look/1", "k1", 200, "gold/"},
      {"key of another workspace", "/look/1", "k2", 200, "free/"},
      {"unknown key", "/look/1", "k9", 401, nullptr},
      {"no key", "/look/1", "", 401, nullptr},
      {"anonymous route", "/open/1", "", 200, "/"},
      {"anonymous route with a known key", "/open/1", "k1", 200, "gold/"},
      {"anonymous route with an unknown key", "/open/1", "k9", 200, "/"},
      {"unknown route", "/none/1", "k9", 404, nullptr},
  };
  mesh Mesh({echoingCredentials()});
  Mesh.Entry.run([&] { Mesh.Entry.Plane->setDocument(workspaceTable(2)); });
  for (const key_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    const auto Response = Mesh.call(withKey(Case.Path, Case.Key));
    CHECK(Response.result_int() == Case.Status);
    if (Case.Body != nullptr)
      CHECK(Response.body() == Case.Body);
  }
}

TEST_CASE("a key that is removed is refused on open connections") {
  mesh Mesh({echoingCredentials()});
  Mesh.Entry.run([&] { Mesh.Entry.Plane->setDocument(workspaceTable(2)); });
  blocking_caller Caller(Mesh.Entry.address());
  CHECK(Caller.call(withKey("/look/1", "k1")).result_int() == 200);
  Mesh.Entry.run(
      [&] { Mesh.Entry.Plane->setDocument(workspaceTable(3, {"k7"})); });
  CHECK(Caller.call(withKey("/look/1", "k1")).result_int() == 401);
  CHECK(Caller.call(withKey("/look/1", "k7")).body() == "gold/");
}

TEST_CASE("without workspaces the fields of a request are kept") {
  mesh Mesh({echoingCredentials()});
  CHECK(Mesh.call(withKey("/look/1", "k1")).body() == "forged/k1");
}

TEST_CASE("the decision on the quota determines the response") {
  struct quota_case {
    const char *Name;
    transport::quota_decision Decision;
    unsigned Status;
  };
  const quota_case Cases[] = {
      {"granted", transport::quota_decision::Granted, 200},
      {"exceeded", transport::quota_decision::Exceeded, 429},
      {"unavailable", transport::quota_decision::Unavailable, 503},
  };
  for (const quota_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    std::vector<std::string> Asked;
    mesh_node_hooks Hooks;
    Hooks.AcquireQuota = [&](const state::workspace_spec &Workspace,
                             const transport::quota_handler &Handler) {
      Asked.push_back(Workspace.Name);
      Handler(Case.Decision, milliseconds(400));
    };
    mesh Mesh({echoingCredentials()}, std::chrono::seconds(5), 0, Hooks);
    Mesh.Entry.run([&] { Mesh.Entry.Plane->setDocument(workspaceTable(2)); });
    const auto Response = Mesh.call(withKey("/look/1", "k1"));
    CHECK(Response.result_int() == Case.Status);
    if (Case.Status != 200) {
      const double RetryAfter =
          std::stod("0" + std::string(Response["Retry-After"]));
      CHECK(RetryAfter >= 0.4);
      CHECK(RetryAfter <= 0.5);
    }
    // A workspace without a limit is not asked for.
    CHECK(Mesh.call(withKey("/look/1", "k2")).result_int() == 200);
    CHECK(Asked == std::vector<std::string>{"gold"});
  }
}

TEST_CASE("an evacuated data centre gets no requests") {
  mesh Mesh({respondingWith("one"), respondingWith("two")});
  auto Remote = Mesh.Targets[1]->record();
  Remote.DataCentre = "dc2";
  Mesh.Directory.merge(Remote);
  const auto Evacuate = [&](std::uint64_t Revision, bool Active) {
    Mesh.Directory.merge(
        coordination::evacuation_record{"dc1", Revision, Active});
    Mesh.Entry.run([&] { Mesh.Entry.Plane->setDirectory(Mesh.Directory); });
    // The daemon beside the upstream refuses, too.
    Mesh.Targets[0]->run(
        [&] { Mesh.Targets[0]->UpstreamClient->setEvacuated(Active); });
  };
  const auto Call = [&] {
    return Mesh.call(shopRequest(http::verb::get, "/look/1")).body();
  };
  Mesh.Entry.run([&] { Mesh.Entry.Plane->setDirectory(Mesh.Directory); });
  CHECK(Call() == "one");
  Evacuate(5, true);
  for (int I = 0; I < 5; ++I)
    CHECK(Call() == "two");
  // An entry daemon that does not know of the evacuation.
  coordination::fleet_directory Old;
  Old.merge(Mesh.Targets[0]->record());
  Mesh.Entry.run([&] { Mesh.Entry.Plane->setDirectory(Old); });
  CHECK(Mesh.call(shopRequest(http::verb::post, "/book/1", "b")).result_int() ==
        503);
  Evacuate(6, false);
  CHECK(Call() == "one");
}

// A cold upstream got as many requests as a warm one.
TEST_CASE("a cold upstream gets requests at its rate") {
  struct cold_case {
    const char *Name;
    std::optional<double> Limit;
    milliseconds Cold;
    unsigned MaxRuns; // at once
  };
  constexpr unsigned Requests = 12;
  for (const cold_case &Case :
       {cold_case{"cold", 4, std::chrono::seconds(30), 2},
        cold_case{"warm", 4, milliseconds(0), Requests},
        cold_case{"no rate", std::nullopt, std::chrono::seconds(30),
                  Requests}}) {
    CAPTURE(std::string(Case.Name));
    std::atomic<unsigned> Runs{0};
    mesh Mesh({[&](upstream_connection &Connection) {
      while (Connection.read()) {
        ++Runs;
        Connection.respond("ran", 200, SignatureField);
      }
    }});
    Mesh.Targets[0]->run([&] {
      Mesh.Targets[0]->UpstreamClient->setColdLimit(Case.Limit,
                                                    std::chrono::seconds(3));
      Mesh.Targets[0]->UpstreamClient->setCold(Case.Cold);
    });
    const auto Started = std::chrono::steady_clock::now();
    unsigned Served = 0;
    for (unsigned I = 0; I < Requests; ++I) {
      http_request Request = shopRequest(http::verb::post, "/book/1", "b");
      Request.set("Deadline-Ms", "900"); // enough to wait for one token
      Served += Mesh.call(Request).result_int() == 200 ? 1 : 0;
    }
    const auto Seconds = std::chrono::duration<double>(
                             std::chrono::steady_clock::now() - Started)
                             .count();
    CHECK(Runs <= Case.MaxRuns + Seconds * Case.Limit.value_or(0) * 1.1);
    CHECK(Served == Runs);
    if (Case.MaxRuns == Requests)
      CHECK(Runs == Requests);
  }
}

// One slow upstream determined the latency of its requests.
TEST_CASE("a slow idempotent request gets a second attempt") {
  struct hedge_case {
    const char *Name;
    http::verb Method;
    const char *Path;
    double Ratio;
    unsigned Runs; // of the last request
  };
  for (const hedge_case &Case :
       {hedge_case{"may be repeated", http::verb::get, "/look/1", 0.5, 2},
        hedge_case{"may not be repeated", http::verb::post, "/book/1", 0.5, 1},
        hedge_case{"off", http::verb::get, "/look/1", 0, 1}}) {
    CAPTURE(std::string(Case.Name));
    std::atomic<unsigned> Runs{0};
    std::atomic<bool> FirstIsSlow{false};
    std::atomic<unsigned> Cancelled{0};
    const auto Script = [&](upstream_connection &Connection) {
      while (Connection.read()) {
        ++Runs;
        if (FirstIsSlow.exchange(false)) {
          // Ends when the daemon closes the connection, or late.
          if (Case.Runs == 2) {
            Cancelled += Connection.awaitClose() ? 1 : 0;
            return;
          }
          std::this_thread::sleep_for(milliseconds(400));
        }
        Connection.respond("ran", 200, SignatureField);
      }
    };
    mesh_node_hooks Hooks;
    Hooks.HedgeRatio = Case.Ratio;
    mesh Mesh({Script, Script}, std::chrono::seconds(5), 0, Hooks);
    for (unsigned I = 0; I < 40; ++I)
      REQUIRE(Mesh.call(shopRequest(Case.Method, Case.Path, "")).result_int() ==
              200);
    Runs = 0;
    FirstIsSlow = true;
    const auto Response = Mesh.call(shopRequest(Case.Method, Case.Path, ""));
    CHECK(Response.result_int() == 200);
    CHECK(Response.body() == "ran");
    CHECK(Runs == Case.Runs);
  }
}
