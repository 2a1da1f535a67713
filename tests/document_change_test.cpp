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
