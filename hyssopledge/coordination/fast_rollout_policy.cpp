#include "hyssopledge/coordination/fast_rollout_policy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hyssopledge::coordination {

namespace {

//--- Ladder -------------------------------------------------------------------
struct ladder_step {
  double FromFraction;   // of the duration
  std::uint32_t ShareBp; // in 1/10,000 of the calls
};
// An unproven version may get 10 % of the calls during the rollout. Some faults
// show only under load, so the share rises in short steps to all calls. The
// calls until then stay below those 10 %: 1.5 + 1.6 + 4 %.
constexpr std::array<ladder_step, 4> Ladder = {
    {{0.0, 500}, {0.30, 2000}, {0.38, 5000}, {0.46, 10000}}};
// Old upstreams stop as soon as the rollout completes, so all daemons must have
// moved all calls to the new version before.
constexpr double CompletionFraction = 0.78; // of the duration
constexpr std::chrono::milliseconds FullSharePeriod{1500};
// Runs that are required before the share rises above MaxUnprovenShareBp.
constexpr std::uint64_t MinRunsToRaise = 12;
constexpr std::uint32_t MaxUnprovenShareBp = 500;

//--- Test ---------------------------------------------------------------------
// A version is bad if its failures exceed the number expected from the old
// version's rate by FailureDeviations standard deviations, and its rate exceeds
// the old one's by MinExcessRate.
constexpr double FailureDeviations = 4;
constexpr double MinExcessRate = 0.04;
// The share does not rise with this many failures and a failure rate above the
// old version's by SuspectExcessRate.
constexpr std::uint64_t SuspectFailures = 3;
constexpr double SuspectExcessRate = 0.02;
constexpr double ToleratedFailureRate = 0.01; // accepted for any version
constexpr std::uint64_t MinFailures = 4;
// Run times are compared if both versions have this many successful runs.
constexpr std::uint64_t MinRunsToCompare = 8;
constexpr double SlowFactor = 2.5;
// From this many runs of the new version on, a smaller factor is significant.
constexpr std::uint64_t MinRunsToTrust = 30;
constexpr double SlowFactorTrusted = 2;
constexpr double SlowFactorCold = 5; // just started upstreams are slower
// Run times have a resolution of 1 ms, so small differences mean nothing.
constexpr double MinSlowdownMs = 10;

double rate(const run_counts &Count) {
  return Count.Runs == 0 ? 0
                         : static_cast<double>(Count.Failures) /
                               static_cast<double>(Count.Runs);
}

double meanMs(const run_counts &Count) {
  const std::uint64_t Good = Count.Runs - std::min(Count.Failures, Count.Runs);
  return Good == 0
             ? 0
             : static_cast<double>(Count.TotalMs) / static_cast<double>(Good);
}

std::string findFault(const run_counts &New, const run_counts &Old,
                      bool NewCold) {
  const double Expected = std::max(ToleratedFailureRate, rate(Old));
  const auto Runs = static_cast<double>(New.Runs);
  const double Limit =
      Runs * Expected +
      FailureDeviations * std::sqrt(Runs * Expected * (1 - Expected));
  if (New.Failures >= MinFailures &&
      static_cast<double>(New.Failures) > Limit &&
      rate(New) > rate(Old) + MinExcessRate)
    return "failures";
  const std::uint64_t NewGood = New.Runs - New.Failures;
  const double Factor = NewCold                     ? SlowFactorCold
                        : NewGood >= MinRunsToTrust ? SlowFactorTrusted
                                                    : SlowFactor;
  if (NewGood >= MinRunsToCompare &&
      Old.Runs - Old.Failures >= MinRunsToCompare &&
      meanMs(New) > meanMs(Old) * Factor &&
      meanMs(New) > meanMs(Old) + MinSlowdownMs)
    return "slow";
  return {};
}

run_counts total(const route_counts &Counts) {
  run_counts Total;
  for (const auto &[Route, Count] : Counts) {
    Total.Runs += Count.Runs;
    Total.Failures += Count.Failures;
  }
  return Total;
}

bool isSuspect(const route_counts &New, const route_counts &Old) {
  const run_counts NewTotal = total(New);
  return NewTotal.Failures >= SuspectFailures &&
         rate(NewTotal) > rate(total(Old)) + SuspectExcessRate;
}

} // namespace

std::string versionFault(const route_counts &New, const route_counts &Old,
                         bool NewCold) {
  static const run_counts None;
  for (const auto &[Route, Count] : New) {
    const auto OldCount = Old.find(Route);
    std::string Fault = findFault(
        Count, OldCount == Old.end() ? None : OldCount->second, NewCold);
    if (!Fault.empty())
      return Fault.append(" on route ").append(Route);
  }
  // Detects failures that are spread over many routes.
  std::string Fault = findFault(total(New), total(Old), NewCold);
  return Fault.empty() ? Fault : Fault + " in total";
}

fast_rollout_decision decideShare(const fast_rollout_input &Input) {
  fast_rollout_decision Decision;
  Decision.ShareBp = Input.ShareBp;
  std::string Fault = versionFault(Input.New, Input.Old, Input.NewCold);
  // A fault that started with the current share is diluted in the total counts.
  if (Fault.empty())
    Fault = versionFault(Input.NewInStep, Input.Old, Input.NewCold);
  if (!Fault.empty()) {
    Decision.State = rollout_state::RolledBack;
    Decision.ShareBp = 0;
    Decision.Rule = Fault;
    return Decision;
  }
  if (Input.NewSlots == 0) {
    Decision.ShareBp = 0;
    Decision.Rule = "no upstream of the new version serves";
    return Decision;
  }
  const double Fraction = Input.Duration.count() <= 0
                              ? 1
                              : static_cast<double>(Input.Elapsed.count()) /
                                    static_cast<double>(Input.Duration.count());
  std::uint32_t ProposedShareBp = 0;
  for (const ladder_step &Step : Ladder)
    if (Fraction >= Step.FromFraction)
      ProposedShareBp = Step.ShareBp;
  Decision.Rule = "ladder";
  if (ProposedShareBp > MaxUnprovenShareBp &&
      total(Input.New).Runs < MinRunsToRaise) {
    ProposedShareBp = MaxUnprovenShareBp;
    Decision.Rule = "too few runs";
  }
  // While old upstreams still serve, the share is limited by the new version's
  // part of the slots: fewer new upstreams can't handle all calls.
  if (Input.OldSlots > 0 && ProposedShareBp < 10000) {
    const auto CapacityShareBp = static_cast<std::uint32_t>(
        10000ULL * Input.NewSlots / (Input.NewSlots + Input.OldSlots));
    if (ProposedShareBp > MaxUnprovenShareBp &&
        ProposedShareBp > CapacityShareBp * 3 / 2)
      ProposedShareBp = std::max(MaxUnprovenShareBp, CapacityShareBp * 3 / 2);
  }
  if (ProposedShareBp > Input.ShareBp && Input.ShareBp > 0 &&
      (isSuspect(Input.New, Input.Old) ||
       isSuspect(Input.NewInStep, Input.Old))) {
    ProposedShareBp = Input.ShareBp;
    Decision.Rule = "suspect";
  }
  Decision.ShareBp = std::max(ProposedShareBp, Input.ShareBp);
  if (Decision.ShareBp == 10000 && Input.ShareBp == 10000 &&
      Input.SinceStep >= FullSharePeriod && Fraction >= CompletionFraction) {
    Decision.State = rollout_state::Completed;
    Decision.Rule = "proven";
  }
  return Decision;
}

} // namespace hyssopledge::coordination
