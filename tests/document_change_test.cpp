/// \file
/// Requests around a change of the document: their waits end, and a route does
/// not inherit what was measured on another one of its name.
#include <doctest/doctest.h>

#include "support/mesh_fixture.h"

#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace hyssopledge;
using namespace hyssopledge::tests;

namespace {

using clock = std::chrono::steady_clock;

state::document quotaDocument(milliseconds Timeout) {
  state::document Document = testTable(Timeout)->source();
  state::workspace_spec Workspace;
  Workspace.Name = "gold";
  Workspace.ApiKeys = {"k1"};
  Workspace.Quota = {10, 10};
  Document.Workspaces = {Workspace};
  return Document;
}

std::shared_ptr<const state::route_table> table(std::uint64_t Version,
                                                state::document Document) {
  return state::route_table::build(Version, std::move(Document)).value();
}

http_request keyedRequest(const std::string &Path) {
  http_request Request = shopRequest(http::verb::get, Path);
  Request.set("Key", "k1");
  return Request;
}

} // namespace

// A call had no end of its own while it waited for its quota.
TEST_CASE("a call whose quota is never answered ends at its deadline") {
  constexpr milliseconds Timeout{400};
  constexpr milliseconds MaxDelay{500}; // the users' bound
  mesh_node_hooks Hooks;
  std::vector<transport::quota_handler> Kept;
  Hooks.AcquireQuota = [&](const state::workspace_spec &,
                           const transport::quota_handler &Handler) {
    Kept.push_back(Handler);
  };
  mesh Mesh({respondingWith("ok")}, Timeout, 0, Hooks);
  Mesh.Entry.run(
      [&] { Mesh.Entry.Plane->setDocument(table(2, quotaDocument(Timeout))); });
  const auto Start = clock::now();
  const auto Response = Mesh.call(keyedRequest("/look/1"));
  CHECK(clock::now() - Start < Timeout + MaxDelay);
  CHECK(Response.result_int() == 503);
  CHECK(Response["x-hyssop-outcome"] == transport::OutcomeNotRun);
  // A late answer changes nothing.
  Mesh.Entry.run([&] {
    for (const auto &Handler : Kept)
      Handler(transport::quota_decision::Granted, milliseconds(0));
  });
  CHECK(Kept.size() == 1);
}

// The run times of the former requests exceeded the deadlines of the new ones,
// so that all were refused, and none ran to show that it is short.
TEST_CASE("a route of the same name does not inherit run times") {
  struct change_case {
    const char *Name;
    std::function<void(state::route_spec &)> Change;
    const char *Path;
    unsigned Status;
  };
  const change_case Cases[] = {
      {"other requests",
       [](state::route_spec &Route) { Route.PathPrefix = "/new/"; }, "/new/1",
       200},
      {"another latency objective alone", [](state::route_spec &) {}, "/look/1",
       503},
  };
  for (const change_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    mesh Mesh({[](upstream_connection &Connection) {
      while (const auto Request = Connection.read()) {
        if (Request->target().starts_with("/look/"))
          std::this_thread::sleep_for(milliseconds(600));
        Connection.respond("ok", 200, SignatureField);
      }
    }});
    const auto SetDocument = [&](std::uint64_t Version,
                                 const state::document &Document) {
      for (mesh_node *Node : {&Mesh.Entry, Mesh.Targets[0].get()})
        Node->run([&] { Node->Plane->setDocument(table(Version, Document)); });
    };
    state::document Document = testTable(std::chrono::seconds(5))->source();
    SetDocument(2, Document);
    for (int I = 0; I < 3; ++I)
      REQUIRE(Mesh.call(shopRequest(http::verb::get, "/look/1")).result_int() ==
              200);
    Document.Routes[0].SloLatency = milliseconds(200);
    Case.Change(Document.Routes[0]);
    SetDocument(3, Document);
    http_request Request = shopRequest(http::verb::get, Case.Path);
    Request.set("Deadline-Ms", "300");
    CHECK(Mesh.call(Request).result_int() == Case.Status);
  }
}
