/// \file
/// Runs fleet agents with the real client of the platform's store against a
/// stand-in that goes back to an older copy, which rises its era. Guards that
/// what the daemons keep there is written again, that nothing in force goes
/// back, and that evacuations reach all daemons.
#include "support/store_fleet.h"

#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <string>

using namespace hyssopledge;
using fleet = tests::store_fleet;
using std::chrono::milliseconds;
using tests::documentText;

namespace {

// The users' bounds: configApplyMs, and evacuationMs.
constexpr milliseconds ApplyTime{2000};
constexpr milliseconds EvacuationTime{5000};
// For the relays to notice the restore, and for the daemons to write again.
constexpr milliseconds RestoreTime{6000};

const std::string Order =
    R"({"service":"pages","toVersion":"v2","durationS":30})";

bool allEvacuated(const fleet &Fleet, const std::string &DataCentre,
                  bool Expected) {
  for (const auto &[Name, Node] : Fleet.Nodes)
    if (Node->Agent->directory().isEvacuated(DataCentre) != Expected)
      return false;
  return true;
}

bool allRegistered(const fleet &Fleet) {
  return Fleet.Store.values("hyssop/members/").size() == Fleet.Nodes.size();
}

} // namespace

TEST_CASE("an evacuation reaches all daemons and ends") {
  fleet Fleet;
  Fleet.Store.put("op/evacuate/b", "{}");
  CHECK(Fleet.runUntil([&] { return allEvacuated(Fleet, "b", true); },
                       EvacuationTime));
  CHECK(allEvacuated(Fleet, "a", false));
  Fleet.Store.remove("op/evacuate/b");
  CHECK(Fleet.runUntil([&] { return allEvacuated(Fleet, "b", false); },
                       EvacuationTime));
  Fleet.Store.put("op/evacuate/b", "{}");
  CHECK(Fleet.runUntil([&] { return allEvacuated(Fleet, "b", true); },
                       EvacuationTime));
}

TEST_CASE("an evacuation that ends while no relay watches is ended") {
  fleet Fleet;
  Fleet.Store.put("op/evacuate/b", "{}");
  REQUIRE(Fleet.runUntil([&] { return allEvacuated(Fleet, "b", true); },
                         EvacuationTime));
  Fleet.Store.withholdFrom({"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"});
  Fleet.runFor(milliseconds(500));
  Fleet.Store.remove("op/evacuate/b");
  Fleet.runFor(milliseconds(2500));
  Fleet.Store.withholdFrom({});
  CHECK(Fleet.runUntil([&] { return allEvacuated(Fleet, "b", false); },
                       EvacuationTime + EvacuationTime));
}

TEST_CASE("what a restored store has lost is written again") {
  struct restore_case {
    const char *Name;
    std::function<void(fleet &)> BeforeCopy;
    std::function<void(fleet &)> AfterCopy; // lost by the restore
    std::function<void(fleet &)> Again;     // by the operator
    std::function<bool(fleet &)> Holds;     // some time later
  };
  const auto Nothing = [](fleet &) {};
  const restore_case Cases[] = {
      {"records of the daemons", Nothing, Nothing, Nothing,
       [](fleet &F) { return allRegistered(F); }},
      {"a document in force is kept", Nothing,
       [](fleet &F) {
         F.Store.put("op/config", documentText(5));
         REQUIRE(F.runUntil([&] { return F.allHave(5); }, ApplyTime));
       },
       Nothing, [](fleet &F) { return F.allHave(5); }},
      {"a document written again and a later one", Nothing,
       [](fleet &F) {
         F.Store.put("op/config", documentText(5));
         REQUIRE(F.runUntil([&] { return F.allHave(5); }, ApplyTime));
       },
       [](fleet &F) {
         F.Store.put("op/config", documentText(5));
         F.Store.put("op/config", documentText(6));
       },
       [](fleet &F) { return F.allHave(6); }},
      {"an evacuation written again", Nothing,
       [](fleet &F) {
         F.Store.put("op/evacuate/b", "{}");
         REQUIRE(F.runUntil([&] { return allEvacuated(F, "b", true); },
                            EvacuationTime));
       },
       [](fleet &F) { F.Store.put("op/evacuate/b", "{}"); },
       [](fleet &F) { return allEvacuated(F, "b", true); }},
      {"an evacuation that the copy still has",
       [](fleet &F) { F.Store.put("op/evacuate/b", "{}"); },
       [](fleet &F) {
         F.Store.remove("op/evacuate/b");
         REQUIRE(F.runUntil([&] { return allEvacuated(F, "b", false); },
                            EvacuationTime));
       },
       [](fleet &F) { F.Store.remove("op/evacuate/b"); },
       [](fleet &F) { return allEvacuated(F, "b", false); }},
      {"the state of a rollout",
       [](fleet &F) { F.Store.put("op/rollout/pages", Order); },
       [](fleet &F) {
         REQUIRE(F.runUntil([&] { return F.Store.has("status/rollout/pages"); },
                            RestoreTime));
       },
       Nothing,
       [](fleet &F) {
         return F.Store.has("status/rollout/pages") && F.allFollow("v2");
       }},
  };
  for (const restore_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    fleet Fleet;
    REQUIRE(Fleet.runUntil([&] { return allRegistered(Fleet); }, RestoreTime));
    Case.BeforeCopy(Fleet);
    Fleet.Store.copy();
    Case.AfterCopy(Fleet);
    Fleet.Store.restore();
    Fleet.runFor(milliseconds(300));
    Case.Again(Fleet);
    CHECK(Fleet.runUntil([&] { return Case.Holds(Fleet); }, RestoreTime));
    CHECK(Fleet.runUntil([&] { return allRegistered(Fleet); }, RestoreTime));
  }
}

// A restored order has a revision that looks new; a rollout that had ended
// would begin again.
TEST_CASE("a rollout that has ended does not begin again after a restore") {
  fleet Fleet(true);
  Fleet.serve("a-2", "v1");
  Fleet.serve("b-2", "v2");
  Fleet.Store.put("op/rollout/pages",
                  R"({"service":"pages","toVersion":"v2","durationS":30})");
  const auto State = [&] {
    const auto Values = Fleet.Store.values("status/rollout/pages");
    return Values.empty() ? std::string() : Values.begin()->second;
  };
  const auto Ended = [&] {
    return State().find("rolled_back") != std::string::npos ||
           State().find("completed") != std::string::npos;
  };
  REQUIRE(Fleet.runUntil(
      [&] { return State().find("running") != std::string::npos; },
      RestoreTime));
  Fleet.Store.copy(); // has the order and its first state
  // The new version fails.
  Fleet.Nodes.at("a-2")->Counts["r"] = {200, 0, 2000};
  Fleet.Nodes.at("b-2")->Counts["r"] = {100, 90, 100};
  REQUIRE(Fleet.runUntil(Ended, RestoreTime + RestoreTime));
  const std::string Final = State();
  const auto Step = [&](const char *Name) {
    return Fleet.Nodes.at(Name)->Agent->directory().rollout("pages")->Step;
  };
  const auto StepBefore = Step("a-1");
  Fleet.Store.restore();
  CHECK(Fleet.runUntil([&] { return State() == Final; }, RestoreTime));
  Fleet.runFor(milliseconds(1000));
  CHECK(State() == Final);
  CHECK(Step("a-1") == StepBefore);
}
