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
constexpr std::chrono::milliseconds MinFullSharePeriod{1500};
// Runs that are required before the share rises above MaxUnprovenShareBp.
constexpr std::uint64_t MinRunsToRaise = 12;
constexpr std::uint32_t MaxUnprovenShareBp = 500;
// A partial share that can't rise this long after its time falls back to
// MaxUnprovenShareBp: the calls until then would exceed the 10 %.
constexpr std::chrono::milliseconds MaxHoldPeriod{500};
// A step ends only with this part of the runs that the service's calls since
// the order would have brought in its time, and no more than MinRunsToRaise.
constexpr double MinPartOfExpectedRuns = 0.25;
// Routes with a smaller share of the runs need none of their own.
constexpr double MinRouteShare = 0.2;

//--- Test ---------------------------------------------------------------------
// A version is bad if its failures exceed the number expected from the old
// version's rate by SignificantDeviations standard deviations, and its rate
// exceeds the old one's by MinExcessRate.
constexpr double SignificantDeviations = 4;
constexpr double MinExcessRate = 0.04;
// The share does not rise with this many failures and a failure rate above the
// old version's by SuspectExcessRate.
constexpr std::uint64_t SuspectFailures = 3;
constexpr double SuspectExcessRate = 0.02;
constexpr double ToleratedRate = 0.01; // accepted for any version
constexpr std::uint64_t MinFailures = 4;
// Run times are compared if the old version has this many successful runs and
// the new one this many successful or unfinished runs.
constexpr std::uint64_t MinRunsToCompare = 8;
constexpr double SlowFactor = 2.5;
// From this many runs of the new version on, a smaller factor is significant.
constexpr std::uint64_t MinRunsToTrust = 30;
constexpr double SlowFactorTrusted = 2;
constexpr double SlowFactorCold = 5; // just started upstreams are slower
// Run times have a resolution of 1 ms, so small differences mean nothing.
constexpr double MinSlowdownMs = 10;

double ratio(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

double failureRate(const run_counts &Count) {
  return ratio(Count.Failures, Count.Runs);
}

std::uint64_t goodRuns(const run_counts &Count) {
  return Count.Runs - std::min(Count.Failures, Count.Runs);
}

/// Runs whose time tells how fast the version is.
std::uint64_t timedRuns(const run_counts &Count) {
  return goodRuns(Count) + Count.Unfinished;
}

double cutRate(const run_counts &Count) {
  return ratio(Count.Unfinished, timedRuns(Count));
}

double finishedMeanMs(const run_counts &Count) {
  return ratio(Count.TotalMs, goodRuns(Count));
}

/// Estimates the mean time that a run needs. The time of unfinished runs counts
/// as well: the mean of the finished ones leaves out the slowest.
double meanMs(const run_counts &Count) {
  return ratio(Count.TotalMs + Count.UnfinishedMs,
               std::max<std::uint64_t>(goodRuns(Count), 1));
}

/// Whether Events among Runs are more than OldRate explains.
bool isSignificant(std::uint64_t Events, std::uint64_t Runs, double OldRate) {
  const double Expected = std::max(ToleratedRate, OldRate);
  const auto Count = static_cast<double>(Runs);
  const double Limit =
      Count * Expected +
      SignificantDeviations * std::sqrt(Count * Expected * (1 - Expected));
  return Events >= MinFailures && static_cast<double>(Events) > Limit &&
         ratio(Events, Runs) > OldRate + MinExcessRate;
}

bool isSlower(double NewMs, double OldMs, double Factor) {
  return NewMs > OldMs * Factor && NewMs > OldMs + MinSlowdownMs;
}

bool isSlow(const run_counts &New, const run_counts &Old, bool NewCold) {
  if (timedRuns(New) < MinRunsToCompare || goodRuns(Old) < MinRunsToCompare)
    return false;
  const double Factor = NewCold                            ? SlowFactorCold
                        : timedRuns(New) >= MinRunsToTrust ? SlowFactorTrusted
                                                           : SlowFactor;
  if (goodRuns(New) >= MinRunsToCompare &&
      isSlower(finishedMeanMs(New), finishedMeanMs(Old), Factor))
    return true;
  // A few unfinished runs weigh much in the mean and may be due to overload.
  return isSlower(meanMs(New), meanMs(Old), Factor) &&
         isSignificant(New.Unfinished, timedRuns(New), cutRate(Old));
}

std::string findFault(const run_counts &New, const run_counts &Old,
                      bool NewCold) {
  if (isSignificant(New.Failures, New.Runs, failureRate(Old)))
    return "failures";
  return isSlow(New, Old, NewCold) ? "slow" : "";
}

/// Runs and failures of all routes. Run times of different routes don't add up.
run_counts total(const route_counts &Counts) {
  run_counts Total;
  for (const auto &[Route, Count] : Counts) {
    Total.Runs += Count.Runs;
    Total.Failures += Count.Failures;
  }
  return Total;
}

/// Compares the run times of all routes that both versions have served: the new
/// version's with those that the old one would have had on the same routes.
bool isSlowInTotal(const route_counts &New, const route_counts &Old,
                   bool NewCold) {
  std::uint64_t Runs = 0;
  double NewMs = 0;
  double OldMs = 0;
  for (const auto &[Route, Count] : New) {
    const auto OldCount = Old.find(Route);
    if (OldCount == Old.end() || goodRuns(OldCount->second) < MinRunsToCompare)
      continue;
    Runs += goodRuns(Count);
    NewMs += static_cast<double>(Count.TotalMs);
    OldMs +=
        finishedMeanMs(OldCount->second) * static_cast<double>(goodRuns(Count));
  }
  if (Runs < MinRunsToTrust)
    return false;
  const auto Divisor = static_cast<double>(Runs);
  return isSlower(NewMs / Divisor, OldMs / Divisor,
                  NewCold ? SlowFactorCold : SlowFactorTrusted);
}

bool isSuspect(const route_counts &New, const route_counts &Old) {
  const run_counts NewTotal = total(New);
  return NewTotal.Failures >= SuspectFailures &&
         failureRate(NewTotal) > failureRate(total(Old)) + SuspectExcessRate;
}

/// Whether the new version had enough runs since the share last changed, in all
/// and on each route that matters: limits of the upstreams or lost calls may
/// leave it few, while calls that cost nothing still run.
bool hasRunsInStep(const fast_rollout_input &Input) {
  std::map<std::string, std::uint64_t> Calls;
  for (const route_counts *Counts : {&Input.New, &Input.Old})
    for (const auto &[Route, Count] : *Counts)
      Calls[Route] += Count.Runs + Count.Unfinished;
  std::uint64_t AllCalls = 0;
  for (const auto &[Route, Count] : Calls)
    AllCalls += Count;
  const double StepFraction =
      static_cast<double>(Input.SinceStep.count()) /
      static_cast<double>(std::max<std::int64_t>(Input.Elapsed.count(), 1));
  const auto IsEnough = [&](std::uint64_t RunsInStep, std::uint64_t CallCount) {
    const double Expected =
        static_cast<double>(CallCount) * StepFraction * Input.ShareBp / 10'000;
    return static_cast<double>(RunsInStep) >=
           std::min(static_cast<double>(MinRunsToRaise),
                    Expected * MinPartOfExpectedRuns);
  };
  std::uint64_t AllRunsInStep = 0;
  for (const auto &[Route, Count] : Input.NewInStep)
    AllRunsInStep += Count.Runs + Count.Unfinished;
  if (!IsEnough(AllRunsInStep, AllCalls))
    return false;
  return std::all_of(Calls.begin(), Calls.end(), [&](const auto &Entry) {
    if (ratio(Entry.second, AllCalls) < MinRouteShare)
      return true;
    const auto InStep = Input.NewInStep.find(Entry.first);
    return IsEnough(InStep == Input.NewInStep.end()
                        ? 0
                        : InStep->second.Runs + InStep->second.Unfinished,
                    Entry.second);
  });
}

/// The share while it must not rise. Starved: calls do not become runs.
std::uint32_t heldShare(const fast_rollout_input &Input, bool Starved) {
  if (Input.ShareBp <= MaxUnprovenShareBp)
    return Input.ShareBp;
  // Callers are better served by the old version then.
  if (Starved && Input.ShareBp == 10'000 &&
      Input.SinceStep >= MinFullSharePeriod)
    return MaxUnprovenShareBp;
  for (const ladder_step &Step : Ladder) {
    const auto From =
        static_cast<double>(Input.Duration.count()) * Step.FromFraction;
    if (Step.ShareBp > Input.ShareBp &&
        static_cast<double>((Input.Elapsed - MaxHoldPeriod).count()) > From)
      return MaxUnprovenShareBp;
  }
  return Input.ShareBp;
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
  // Detects faults that are spread over many routes.
  const run_counts NewTotal = total(New);
  if (isSignificant(NewTotal.Failures, NewTotal.Runs, failureRate(total(Old))))
    return "failures in total";
  return isSlowInTotal(New, Old, NewCold) ? "slow in total" : "";
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
  const bool Starved = !hasRunsInStep(Input);
  const char *Hold = !Input.PlatformReached   ? "no platform"
                     : !Input.EvidenceCurrent ? "late evidence"
                     : Starved                ? "too few runs in this step"
                                              : nullptr;
  if (Hold != nullptr && Input.ShareBp > 0) {
    Decision.ShareBp = heldShare(Input, Starved);
    Decision.Rule = Hold;
    return Decision;
  }
  // After a fall the first runs say little.
  if (Input.ShareBp == MaxUnprovenShareBp &&
      Input.SinceStep < MinFullSharePeriod)
    ProposedShareBp = Input.ShareBp;
  if (ProposedShareBp > Input.ShareBp && Input.ShareBp > 0 &&
      (isSuspect(Input.New, Input.Old) ||
       isSuspect(Input.NewInStep, Input.Old))) {
    ProposedShareBp = Input.ShareBp;
    Decision.Rule = "suspect";
  }
  Decision.ShareBp = std::max(ProposedShareBp, Input.ShareBp);
  if (Decision.ShareBp == 10000 && Input.ShareBp == 10000 &&
      Input.SinceStep >= MinFullSharePeriod && Fraction >= CompletionFraction) {
    Decision.State = rollout_state::Completed;
    Decision.Rule = "proven";
  }
  return Decision;
}

} // namespace hyssopledge::coordination
