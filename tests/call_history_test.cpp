/// \file
/// Guards the promises about calls under generated schedules of delays, losses,
/// cuts, crashes, freezes, leaves and callers that send again. To repeat one
/// schedule: HYSSOPLEDGE_SCHEDULE=<seed> build/tests/call_history_test
#include "bench/call_model.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <optional>

using namespace hyssopledge::tests;
using hyssopledge::bench::call_model;
using hyssopledge::bench::omission;

namespace {

constexpr std::uint64_t Schedules = 3000;

struct found_violation {
  std::uint64_t Seed = 0;
  std::string Checker;
  std::string Text;
};

/// The first violation that a checker finds in the schedules, if any.
std::optional<found_violation> search(omission Without, std::uint64_t First,
                                      std::uint64_t Last,
                                      const std::string &OnlyChecker = {}) {
  for (std::uint64_t Seed = First; Seed < Last; ++Seed) {
    const call_history History = call_model(Seed, Without).run();
    for (const call_checker &Checker : CallCheckers) {
      if (!OnlyChecker.empty() && OnlyChecker != Checker.Name)
        continue;
      const violations Found = Checker.Check(History);
      if (!Found.empty())
        return found_violation{Seed, Checker.Name, Found.front()};
    }
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("no schedule breaks a promise about calls") {
  std::uint64_t First = 1;
  std::uint64_t Last = 1 + Schedules;
  if (const char *Only = std::getenv("HYSSOPLEDGE_SCHEDULE")) {
    First = std::stoull(Only);
    Last = First + 1;
  }
  const auto Found = search(omission::None, First, Last);
  if (Found)
    FAIL("checker \"" << Found->Checker << "\": " << Found->Text
                      << "; repeat with HYSSOPLEDGE_SCHEDULE=" << Found->Seed
                      << " build/tests/call_history_test");
}

TEST_CASE("each checker finds the violation when its mechanism is left out") {
  struct omission_case {
    omission Without;
    const char *Checker;
  };
  const omission_case Cases[] = {
      {omission::ResendRule, "runs once"},
      {omission::HonestRefusal, "not run is true"},
      {omission::CallOutcome, "not run is true"},
      {omission::ClosedOnTimeout, "answers belong"},
      {omission::WholeResponses, "answers belong"},
      {omission::HomeKeys, "runs once"},
      {omission::EntryKeys, "runs once"},
      {omission::Expiry, "no work after leave"},
      {omission::DrainFinishes, "drain cuts nothing"},
      {omission::Verdicts, "condemned gets nothing"},
  };
  for (const omission_case &Case : Cases) {
    CAPTURE(static_cast<int>(Case.Without));
    const auto Found = search(Case.Without, 1, 1 + Schedules, Case.Checker);
    REQUIRE(Found.has_value());
    MESSAGE("schedule " << Found->Seed << ": " << Found->Text);
  }
}

TEST_CASE("a seed repeats its schedule") {
  const auto First = call_model(7, omission::None).run();
  const auto Second = call_model(7, omission::None).run();
  REQUIRE(First.Executions.size() == Second.Executions.size());
  for (std::size_t I = 0; I < First.Executions.size(); ++I)
    CHECK(First.Executions[I].At == Second.Executions[I].At);
  REQUIRE(First.Executions.size() > 10); // schedules do run requests
}
