/// \file
/// Tests of target selection under the load patterns of placement.h.
#include "hyssopledge/state/placement.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace hyssopledge::state;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr int Draws = 400;

std::vector<placement_candidate> threeTargets() {
  return {{"near", true, true, 12},
          {"far-1", false, true, 12},
          {"far-2", false, true, 12}};
}

placement_query query(int SloMs = 250) {
  placement_query Query;
  Query.Route = "page";
  Query.SloTimeLeft = milliseconds(SloMs);
  Query.Now = Start;
  return Query;
}

void recordOutcomes(placement &Placement, const std::string &Instance,
                    placement_outcome Outcome, int LatencyMs, int Times = 30) {
  for (int I = 0; I < Times; ++I) {
    Placement.onSent(Instance);
    Placement.onEnd(Instance, "page", Outcome, milliseconds(LatencyMs), Start);
  }
}

/// How often each target is chosen, without requests in flight.
std::map<std::string, int>
countChoices(placement &Placement,
             const std::vector<placement_candidate> &Candidates,
             const placement_query &Query) {
  random_engine Random(3);
  std::map<std::string, int> Count;
  for (int I = 0; I < Draws; ++I)
    ++Count[Placement.choose(Candidates, Query, Random).Instance];
  return Count;
}

} // namespace

TEST_CASE("the target is chosen by its measured and reported load") {
  struct choice_case {
    const char *Name;
    std::function<void(placement &)> Prepare;
    const char *MostChosen;  // more than half of the choices
    const char *LeastChosen; // at most 5 % of the choices
  };
  const choice_case Cases[] = {
      {"local data centre while it responds in time",
       [](placement &P) {
         recordOutcomes(P, "near", placement_outcome::Success, 120);
         recordOutcomes(P, "far-1", placement_outcome::Success, 60);
         recordOutcomes(P, "far-2", placement_outcome::Success, 60);
       },
       "near", "far-1"},
      {"remote target when the local one is slow",
       [](placement &P) {
         recordOutcomes(P, "near", placement_outcome::Success, 240);
         recordOutcomes(P, "far-1", placement_outcome::Success, 60);
         recordOutcomes(P, "far-2", placement_outcome::Success, 120);
       },
       "far-1", "near"},
      {"remote target when the local one has a long queue",
       [](placement &P) {
         recordOutcomes(P, "near", placement_outcome::Success, 100);
         recordOutcomes(P, "far-1", placement_outcome::Success, 100);
         recordOutcomes(P, "far-2", placement_outcome::Success, 150);
         P.onLoad("near", {12, 30, 12, milliseconds(250)}, Start);
       },
       "far-1", "near"},
      {"not a target with measured failures",
       [](placement &P) {
         recordOutcomes(P, "far-1", placement_outcome::Success, 100);
         recordOutcomes(P, "far-2", placement_outcome::Success, 180);
         recordOutcomes(P, "near", placement_outcome::Success, 100);
         recordOutcomes(P, "near", placement_outcome::Failed, 5, 12);
       },
       "far-1", "near"},
      {"not a target with a reported slowdown",
       [](placement &P) {
         recordOutcomes(P, "near", placement_outcome::Success, 100);
         recordOutcomes(P, "far-1", placement_outcome::Success, 100);
         recordOutcomes(P, "far-2", placement_outcome::Success, 150);
         load_report Slow;
         Slow.SlowdownPercent = 500;
         P.onLoad("near", Slow, Start);
       },
       "far-1", "near"},
      {"not a target with reported failures",
       [](placement &P) {
         recordOutcomes(P, "near", placement_outcome::Success, 100);
         recordOutcomes(P, "far-1", placement_outcome::Success, 100);
         recordOutcomes(P, "far-2", placement_outcome::Success, 150);
         load_report Failing;
         Failing.FailurePercent = 40;
         P.onLoad("near", Failing, Start);
       },
       "far-1", "near"},
      {"unfinished requests are not rated",
       [](placement &P) {
         recordOutcomes(P, "near", placement_outcome::Success, 100);
         recordOutcomes(P, "near", placement_outcome::Unfinished, 1000, 50);
         recordOutcomes(P, "far-1", placement_outcome::Success, 100);
         recordOutcomes(P, "far-2", placement_outcome::Success, 100);
       },
       "near", "far-1"},
      {"refusals are not rated",
       [](placement &P) {
         recordOutcomes(P, "near", placement_outcome::Success, 100);
         recordOutcomes(P, "near", placement_outcome::Refused, 1, 50);
         recordOutcomes(P, "far-1", placement_outcome::Success, 100);
         recordOutcomes(P, "far-2", placement_outcome::Success, 100);
       },
       "near", "far-1"},
  };
  for (const choice_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    placement Placement;
    Case.Prepare(Placement);
    auto Count = countChoices(Placement, threeTargets(), query());
    CHECK(Count[Case.MostChosen] > Draws / 2);
    CHECK(Count[Case.LeastChosen] <= Draws / 20);
  }
}

TEST_CASE("an ejected target is used again after the ejection") {
  placement Placement;
  recordOutcomes(Placement, "near", placement_outcome::Success, 100);
  recordOutcomes(Placement, "far-1", placement_outcome::Success, 100);
  recordOutcomes(Placement, "near", placement_outcome::Failed, 5, 12);
  const std::vector<placement_candidate> Candidates = {
      {"near", true, true, 12}, {"far-1", false, true, 12}};
  CHECK(countChoices(Placement, Candidates, query(400))["near"] == 0);
  placement_query Later = query(400);
  Later.Now = Start + 8 * placement::InitialEjectionPeriod;
  CHECK(countChoices(Placement, Candidates, Later)["near"] > 0);
}

TEST_CASE("a reported slowdown decays") {
  placement Placement;
  recordOutcomes(Placement, "near", placement_outcome::Success, 100);
  recordOutcomes(Placement, "far-1", placement_outcome::Success, 100);
  load_report Slow;
  Slow.SlowdownPercent = 500;
  Placement.onLoad("near", Slow, Start);
  const std::vector<placement_candidate> Candidates = {
      {"near", true, true, 12}, {"far-1", false, true, 12}};
  placement_query Later = query(250);
  CHECK(countChoices(Placement, Candidates, Later)["near"] == 0);
  Later.Now = Start + std::chrono::seconds(10);
  CHECK(countChoices(Placement, Candidates, Later)["near"] > Draws / 2);
}

TEST_CASE("unreachable targets are used when no other is left") {
  placement Placement;
  std::vector<placement_candidate> Candidates = {{"near", true, false, 12}};
  random_engine Random(1);
  CHECK(Placement.choose(Candidates, query(), Random).Instance == "near");
  placement_query Tried = query();
  Tried.Tried = {"near"};
  CHECK(Placement.choose(Candidates, Tried, Random).Instance.empty());
  CHECK(Placement.choose({}, query(), Random).Instance.empty());
}

TEST_CASE("equal targets receive equal shares") {
  placement Placement;
  const std::vector<placement_candidate> Candidates = {
      {"a", true, true, 12}, {"b", true, true, 12}, {"c", true, true, 12}};
  for (const char *Name : {"a", "b", "c"})
    recordOutcomes(Placement, Name, placement_outcome::Success, 100);
  auto Count = countChoices(Placement, Candidates, query());
  for (const char *Name : {"a", "b", "c"})
    CHECK(Count[Name] > Draws / 5);
}

// Targets that accept few requests after their start were chosen like others.
TEST_CASE("cold targets are used while no warm one responds in time") {
  struct cold_case {
    const char *Name;
    std::vector<bool> Cold; // near, far-1, far-2
    int WarmMs;             // expected at the warm ones
    bool UsesCold;
  };
  for (const cold_case &Case :
       {cold_case{"one cold", {true, false, false}, 20, false},
        cold_case{"all cold", {true, true, true}, 20, true},
        cold_case{"warm ones are too slow", {true, false, false}, 400, true}}) {
    CAPTURE(std::string(Case.Name));
    placement Placement;
    auto Candidates = threeTargets();
    for (std::size_t I = 0; I < Candidates.size(); ++I) {
      Candidates[I].Cold = Case.Cold[I];
      recordOutcomes(Placement, Candidates[I].Instance,
                     placement_outcome::Success,
                     Case.Cold[I] ? 20 : Case.WarmMs);
    }
    const auto Count = countChoices(Placement, Candidates, query());
    CHECK((Count.count("near") > 0) == Case.UsesCold);
  }
}
