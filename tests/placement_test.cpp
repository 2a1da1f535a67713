/// \file
/// Replays load patterns on the choice of a target.
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

placement_query query(int AimMs = 250) {
  placement_query Query;
  Query.Route = "page";
  Query.SloTimeLeft = milliseconds(AimMs);
  Query.Now = Start;
  return Query;
}

void learn(placement &Placement, const std::string &Instance,
           placement_outcome Outcome, int LatencyMs, int Times = 30) {
  for (int I = 0; I < Times; ++I) {
    Placement.onSent(Instance);
    Placement.onEnd(Instance, "page", Outcome, milliseconds(LatencyMs), Start);
  }
}

/// How often each target is chosen, each choice ending at once.
std::map<std::string, int> choices(placement &Placement,
                                   const std::vector<placement_candidate> &From,
                                   const placement_query &Query) {
  random_engine Random(3);
  std::map<std::string, int> Count;
  for (int I = 0; I < Draws; ++I)
    ++Count[Placement.choose(From, Query, Random).Instance];
  return Count;
}

} // namespace

TEST_CASE("the target is chosen by what was seen of it") {
  struct choice_case {
    const char *Name;
    std::function<void(placement &)> Before;
    const char *Most;  // gets most of the choices
    const char *Least; // gets at most 5 % of them
  };
  const choice_case Cases[] = {
      {"the own data centre while it answers in time",
       [](placement &P) {
         learn(P, "near", placement_outcome::Answered, 120);
         learn(P, "far-1", placement_outcome::Answered, 60);
         learn(P, "far-2", placement_outcome::Answered, 60);
       },
       "near", "far-1"},
      {"another one when the own target is slow",
       [](placement &P) {
         learn(P, "near", placement_outcome::Answered, 240);
         learn(P, "far-1", placement_outcome::Answered, 60);
         learn(P, "far-2", placement_outcome::Answered, 120);
       },
       "far-1", "near"},
      {"another one when the own target has a long queue",
       [](placement &P) {
         learn(P, "near", placement_outcome::Answered, 100);
         learn(P, "far-1", placement_outcome::Answered, 100);
         learn(P, "far-2", placement_outcome::Answered, 150);
         P.onLoad("near", {12, 30, 12, milliseconds(250)}, Start);
       },
       "far-1", "near"},
      {"not a target that fails part of its requests",
       [](placement &P) {
         learn(P, "far-1", placement_outcome::Answered, 100);
         learn(P, "far-2", placement_outcome::Answered, 180);
         learn(P, "near", placement_outcome::Answered, 100);
         learn(P, "near", placement_outcome::Failed, 5, 12);
       },
       "far-1", "near"},
      {"not a target whose daemon says that it has turned slow",
       [](placement &P) {
         learn(P, "near", placement_outcome::Answered, 100);
         learn(P, "far-1", placement_outcome::Answered, 100);
         learn(P, "far-2", placement_outcome::Answered, 150);
         load_report Slow;
         Slow.SlowdownPercent = 500;
         P.onLoad("near", Slow, Start);
       },
       "far-1", "near"},
      {"not a target that fails requests of other daemons",
       [](placement &P) {
         learn(P, "near", placement_outcome::Answered, 100);
         learn(P, "far-1", placement_outcome::Answered, 100);
         learn(P, "far-2", placement_outcome::Answered, 150);
         load_report Failing;
         Failing.FailurePercent = 40;
         P.onLoad("near", Failing, Start);
       },
       "far-1", "near"},
      {"what has not ended says nothing by itself",
       [](placement &P) {
         learn(P, "near", placement_outcome::Answered, 100);
         learn(P, "near", placement_outcome::TimedOut, 1000, 50);
         learn(P, "far-1", placement_outcome::Answered, 100);
         learn(P, "far-2", placement_outcome::Answered, 100);
       },
       "near", "far-1"},
      {"a refusal says nothing of the health",
       [](placement &P) {
         learn(P, "near", placement_outcome::Answered, 100);
         learn(P, "near", placement_outcome::Refused, 1, 50);
         learn(P, "far-1", placement_outcome::Answered, 100);
         learn(P, "far-2", placement_outcome::Answered, 100);
       },
       "near", "far-1"},
  };
  for (const choice_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    placement Placement;
    Case.Before(Placement);
    auto Count = choices(Placement, threeTargets(), query());
    CHECK(Count[Case.Most] > Draws / 2);
    CHECK(Count[Case.Least] <= Draws / 20);
  }
}

TEST_CASE("an ejected target is tried again") {
  placement Placement;
  learn(Placement, "near", placement_outcome::Answered, 100);
  learn(Placement, "far-1", placement_outcome::Answered, 100);
  learn(Placement, "near", placement_outcome::Failed, 5, 12);
  const std::vector<placement_candidate> From = {{"near", true, true, 12},
                                                 {"far-1", false, true, 12}};
  CHECK(choices(Placement, From, query(400))["near"] == 0);
  placement_query Later = query(400);
  Later.Now = Start + 8 * placement::FirstEjection;
  CHECK(choices(Placement, From, Later)["near"] > 0);
}

TEST_CASE("a report of a slow target loses its meaning") {
  placement Placement;
  learn(Placement, "near", placement_outcome::Answered, 100);
  learn(Placement, "far-1", placement_outcome::Answered, 100);
  load_report Slow;
  Slow.SlowdownPercent = 500;
  Placement.onLoad("near", Slow, Start);
  const std::vector<placement_candidate> From = {{"near", true, true, 12},
                                                 {"far-1", false, true, 12}};
  placement_query Later = query(250);
  CHECK(choices(Placement, From, Later)["near"] == 0);
  Later.Now = Start + std::chrono::seconds(10);
  CHECK(choices(Placement, From, Later)["near"] > Draws / 2);
}

TEST_CASE("without a usable target the others are the last resort") {
  placement Placement;
  std::vector<placement_candidate> From = {{"near", true, false, 12}};
  random_engine Random(1);
  CHECK(Placement.choose(From, query(), Random).Instance == "near");
  placement_query Tried = query();
  Tried.Tried = {"near"};
  CHECK(Placement.choose(From, Tried, Random).Instance.empty());
  CHECK(Placement.choose({}, query(), Random).Instance.empty());
}

TEST_CASE("equal targets share the requests") {
  placement Placement;
  const std::vector<placement_candidate> From = {
      {"a", true, true, 12}, {"b", true, true, 12}, {"c", true, true, 12}};
  for (const char *Name : {"a", "b", "c"})
    learn(Placement, Name, placement_outcome::Answered, 100);
  auto Count = choices(Placement, From, query());
  for (const char *Name : {"a", "b", "c"})
    CHECK(Count[Name] > Draws / 5);
}
