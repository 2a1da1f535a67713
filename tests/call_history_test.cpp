/// \file
/// Checks the promises about calls (docs/PROMISES.md) under generated schedules
/// of delays, losses, cut connections, crashes, freezes, leaves and repeated
/// sends. Guards against double execution, false "not run" answers, mixed-up or
/// truncated answers, and calls to upstreams that left or versions that are
/// condemned. To repeat one schedule:
/// HYSSOPLEDGE_SCHEDULE=<seed> build/tests/call_history_test
#include "bench/call_model.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <optional>

using namespace hyssopledge::tests;
using hyssopledge::bench::call_ablation;
using hyssopledge::bench::call_model;

namespace {

constexpr std::uint64_t Schedules = 3000;

struct schedule_violation {
  std::uint64_t Seed = 0;
  std::string Checker;
  std::string Text;
};

/// Returns the first violation that a checker finds in the schedules of the
/// seeds, or nullopt.
std::optional<schedule_violation>
findViolation(call_ablation Ablation, std::uint64_t FirstSeed,
              std::uint64_t EndSeed, const std::string &CheckerName = {}) {
  for (std::uint64_t Seed = FirstSeed; Seed < EndSeed; ++Seed) {
    const call_history History = call_model(Seed, Ablation).run();
    for (const call_checker &Checker : CallCheckers) {
      if (!CheckerName.empty() && CheckerName != Checker.Name)
        continue;
      const violations Found = Checker.Check(History);
      if (!Found.empty())
        return schedule_violation{Seed, Checker.Name, Found.front()};
    }
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("no schedule breaks a promise about calls") {
  std::uint64_t FirstSeed = 1;
  std::uint64_t EndSeed = 1 + Schedules;
  if (const char *Only = std::getenv("HYSSOPLEDGE_SCHEDULE")) {
    FirstSeed = std::stoull(Only);
    EndSeed = FirstSeed + 1;
  }
  const auto Found = findViolation(call_ablation::None, FirstSeed, EndSeed);
  if (Found)
    FAIL("checker \"" << Found->Checker << "\": " << Found->Text
                      << "; repeat with HYSSOPLEDGE_SCHEDULE=" << Found->Seed
                      << " build/tests/call_history_test");
}

TEST_CASE("each checker finds the violation when its mechanism is left out") {
  struct omission_case {
    call_ablation Ablation;
    const char *Checker;
  };
  const omission_case Cases[] = {
      {call_ablation::ResendRule, "at most one execution"},
      {call_ablation::CutOutcome, "not run answers"},
      {call_ablation::CallOutcome, "not run answers"},
      {call_ablation::CloseOnTimeout, "answers match"},
      {call_ablation::TruncationCheck, "answers match"},
      {call_ablation::HomeKeys, "at most one execution"},
      {call_ablation::EntryKeys, "at most one execution"},
      {call_ablation::AnnouncementExpiry, "no execution after leave"},
      {call_ablation::DrainCompletion, "drain completes"},
      {call_ablation::Verdicts, "no attempt at condemned"},
  };
  for (const omission_case &Case : Cases) {
    CAPTURE(static_cast<int>(Case.Ablation));
    const auto Found =
        findViolation(Case.Ablation, 1, 1 + Schedules, Case.Checker);
    REQUIRE(Found.has_value());
    MESSAGE("schedule " << Found->Seed << ": " << Found->Text);
  }
}

TEST_CASE("a seed repeats its schedule") {
  const auto First = call_model(7, call_ablation::None).run();
  const auto Second = call_model(7, call_ablation::None).run();
  REQUIRE(First.Executions.size() == Second.Executions.size());
  for (std::size_t I = 0; I < First.Executions.size(); ++I)
    CHECK(First.Executions[I].At == Second.Executions[I].At);
  REQUIRE(First.Executions.size() > 10); // the schedule did run requests
}
