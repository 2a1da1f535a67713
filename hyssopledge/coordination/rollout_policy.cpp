#include "hyssopledge/coordination/rollout_policy.h"

#include <algorithm>
#include <cstdio>

namespace hyssopledge::coordination {

using state::rollout_phase;
using std::chrono::duration;
using std::chrono::milliseconds;

namespace {

using seconds = duration<double>;

std::string percent(double Share) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.4g%%", Share * 100);
  return Text;
}

/// Returns a note unless it would repeat the latest decision.
std::optional<rollout_action> makeNote(const rollout_input &Input,
                                       std::string Rule, std::string Figures) {
  if (Input.LastRule == Rule)
    return std::nullopt;
  return rollout_action{Input.Current.Share, Input.Current.Phase,
                        std::move(Rule), std::move(Figures)};
}

std::optional<rollout_action> rollBack(const rollout_input &Input,
                                       std::string Rule, std::string Figures) {
  if (!Input.HasOldTargets)
    return makeNote(Input, "no_old_targets", Rule + ": " + Figures);
  return rollout_action{0, rollout_phase::RolledBack, std::move(Rule),
                        std::move(Figures)};
}

bool isFinal(rollout_phase Phase) {
  return Phase == rollout_phase::Done || Phase == rollout_phase::RolledBack;
}

class evidence_policy final : public rollout_policy {
public:
  explicit evidence_policy(policy_settings Settings) : Settings(Settings) {}

  std::optional<rollout_action>
  decide(const rollout_input &Input) const override {
    const state::rollout_directive &Current = Input.Current;
    if (isFinal(Current.Phase))
      return std::nullopt;
    if (Input.CondemnedByVotes)
      return rollBack(Input, "condemned_by_votes",
                      "enough members voted against the version");
    const version_comparison Comparison = evaluateVersions(
        Input.Evidence, Current.FromVersion, Current.ToVersion, Settings.Test);
    if (Comparison.Verdict == version_verdict::Bad)
      return rollBack(Input, Comparison.Rule, figures(Comparison));
    if (Current.Phase == rollout_phase::Watching)
      return decideWhileWatching(Input);
    if (Comparison.Rule == "overloaded")
      if (auto Action = decideStepBack(Input, Comparison))
        return Action;
    if (Input.SinceFullShare)
      return decideRecheck(Input, Comparison);
    return decideAdvance(Input, Comparison);
  }

private:
  static std::string figures(const version_comparison &Comparison) {
    return (Comparison.Route.empty() ? "all routes: "
                                     : "route " + Comparison.Route + ": ") +
           Comparison.Figures;
  }

  std::optional<rollout_action>
  decideStepBack(const rollout_input &Input,
                 const version_comparison &Comparison) const {
    const std::vector<double> Ladder = shareLadder(Input.Spec);
    const auto CurrentStep = std::lower_bound(Ladder.begin(), Ladder.end(),
                                              Input.Current.Share - 1e-9);
    if (CurrentStep == Ladder.begin() || !Input.HasOldTargets)
      return std::nullopt;
    if (Input.OverloadStepBacks >= Settings.MaxOverloadStepBacks)
      return rollBack(Input, "overloaded_again", figures(Comparison));
    return rollout_action{*std::prev(CurrentStep), rollout_phase::Running,
                          "overloaded", figures(Comparison)};
  }

  std::optional<rollout_action>
  decideWhileWatching(const rollout_input &Input) const {
    // The watch period starts when the share first reaches 100%.
    if (Input.SinceFullShare && *Input.SinceFullShare >= Input.Spec.WatchPeriod)
      return rollout_action{1, rollout_phase::Done, "watch_over",
                            "no difference found for " +
                                std::to_string(Input.Spec.WatchPeriod.count()) +
                                " s"};
    if (!Input.Evidence.baselineKept()) {
      // The baseline was kept by another coordinator.
      if (!Input.HasOldTargets || !Input.MayRaise || !Input.ReportsCurrent)
        return std::nullopt;
      return rollout_action{Settings.BaselineShare, rollout_phase::Running,
                            "baseline_lost",
                            "no figures of the old version at this "
                            "coordinator"};
    }
    const version_comparison Comparison =
        evaluateAgainstBaseline(Input.Evidence, Input.Current.FromVersion,
                                Input.Current.ToVersion, Settings.Test);
    if (Comparison.Verdict != version_verdict::Bad)
      return std::nullopt;
    if (!Input.HasOldTargets)
      return makeNote(Input, "no_old_targets", figures(Comparison));
    return rollout_action{Settings.RecheckShare, rollout_phase::Running,
                          "recheck",
                          "against the last figures of the old "
                          "version, " +
                              figures(Comparison)};
  }

  std::optional<rollout_action>
  decideRecheck(const rollout_input &Input,
                const version_comparison &Comparison) const {
    if (Input.SinceStep < Settings.MinStepDuration || !Input.MayRaise)
      return std::nullopt;
    if (Comparison.Verdict == version_verdict::AsGood)
      return rollout_action{1, rollout_phase::Watching, "recheck_passed",
                            figures(Comparison)};
    if (Input.SinceStep >= Settings.RecheckTimeout)
      return rollout_action{1, rollout_phase::Watching, "recheck_undecided",
                            figures(Comparison)};
    return std::nullopt;
  }

  std::optional<rollout_action>
  decideAdvance(const rollout_input &Input,
                const version_comparison &Comparison) const {
    if (Input.LastRule == "overloaded" &&
        Input.SinceStep < Settings.OverloadRetryDelay * Input.OverloadStepBacks)
      return std::nullopt;
    if (!Input.HasNewTargets)
      return makeNote(Input, "no_new_targets", "no target of the new version");
    if (Input.SinceStep < stepDuration(Input))
      return std::nullopt;
    if (!Input.ReportsCurrent)
      return makeNote(Input, "no_reports", "too few members report");
    const std::vector<double> Ladder = shareLadder(Input.Spec);
    const auto Next = std::upper_bound(Ladder.begin(), Ladder.end(),
                                       Input.Current.Share + 1e-9);
    if (Next == Ladder.end())
      return std::nullopt;
    const bool WithinUnprovenShare =
        *Next <= Input.Spec.MaxUnprovenShare + 1e-9;
    std::string Rule;
    if (Comparison.Verdict == version_verdict::AsGood)
      Rule = "proven";
    else if (!Comparison.Suspicious && WithinUnprovenShare)
      Rule = "within_unproven_share";
    else if (!Comparison.Suspicious && expectsTooFewCalls(Input, Comparison))
      Rule = "little_traffic";
    else
      return noteUndecided(Input, Comparison);
    if (!Input.MayRaise)
      return std::nullopt;
    return rollout_action{
        *Next, *Next >= 1 ? rollout_phase::Watching : rollout_phase::Running,
        Rule, figures(Comparison) + "; from " + percent(Input.Current.Share)};
  }

  static std::optional<rollout_action>
  noteUndecided(const rollout_input &Input,
                const version_comparison &Comparison) {
    if (Input.SinceStart >= Input.Spec.CompleteWithin)
      return makeNote(Input, "late",
                      "past complete_within; " + figures(Comparison));
    if (seconds(Input.SinceStart) > 0.7 * seconds(Input.Spec.CompleteWithin))
      return makeNote(Input, "held_undecided", figures(Comparison));
    return std::nullopt;
  }

  bool expectsTooFewCalls(const rollout_input &Input,
                          const version_comparison &Comparison) const {
    // The later steps need at least their minimum duration.
    const std::vector<double> Ladder = shareLadder(Input.Spec);
    const auto LaterSteps =
        std::count_if(Ladder.begin(), Ladder.end(), [&](double Share) {
          return Share > Input.Current.Share + 1e-9 && Share < 1;
        });
    const seconds Remaining =
        Settings.PlannedEndFraction * seconds(Input.Spec.CompleteWithin) -
        seconds(Input.SinceStart) -
        LaterSteps * seconds(Settings.MinStepDuration);
    const double Rate = static_cast<double>(Comparison.NewCalls) /
                        std::max(1.0, seconds(Input.SinceStep).count());
    const double Expected = static_cast<double>(Comparison.NewCalls) +
                            Rate * std::max(0.0, Remaining.count());
    return Expected < static_cast<double>(Settings.Test.RequiredCalls);
  }

  /// Returns the duration of the current step.
  milliseconds stepDuration(const rollout_input &Input) const {
    // Returns a step's weight by its share. Low shares get the most time, since
    // a fault that shows late then affects few calls.
    const auto Weight = [&](double Share) {
      if (Share <= Input.Spec.InitialShare + 1e-9)
        return 0.2;
      if (Share <= Input.Spec.MaxUnprovenShare + 1e-9)
        return 0.3;
      return Share < 0.9 ? 0.12 : 0.14;
    };
    double Sum = 0;
    for (double Share : shareLadder(Input.Spec))
      if (Share >= Input.Current.Share - 1e-9 && Share < 1)
        Sum += Weight(Share);
    const seconds StepStart(Input.SinceStart - Input.SinceStep);
    const seconds Remaining =
        Settings.PlannedEndFraction * seconds(Input.Spec.CompleteWithin) -
        StepStart;
    const seconds StepTime =
        Sum > 0 ? Remaining * (Weight(Input.Current.Share) / Sum) : seconds(0);
    return std::max<milliseconds>(Settings.MinStepDuration,
                                  std::chrono::duration_cast<milliseconds>(
                                      std::max(StepTime, seconds(0))));
  }

  policy_settings Settings;
};

class fixed_steps_policy final : public rollout_policy {
public:
  std::optional<rollout_action>
  decide(const rollout_input &Input) const override {
    constexpr double Shares[] = {0.01, 0.05, 0.25, 0.5, 1};
    constexpr double ErrorThreshold = 0.05;
    constexpr std::uint64_t MinCalls = 20;
    const state::rollout_directive &Current = Input.Current;
    if (isFinal(Current.Phase))
      return std::nullopt;
    evidence_counts New;
    for (const stratum_sum &Sum : Input.Evidence.sums(10))
      if (Sum.Key->Version == Current.ToVersion)
        New.add(Sum.Counts);
    if (New.calls() >= MinCalls &&
        static_cast<double>(New.Failures) >
            ErrorThreshold * static_cast<double>(New.calls()))
      return rollBack(Input, "error_threshold",
                      std::to_string(New.Failures) + " of " +
                          std::to_string(New.calls()) + " calls failed");
    if (Current.Phase == rollout_phase::Watching) {
      if (Input.SinceFullShare &&
          *Input.SinceFullShare >= Input.Spec.WatchPeriod)
        return rollout_action{1, rollout_phase::Done, "watch_over", ""};
      return std::nullopt;
    }
    const seconds Step = 0.6 * seconds(Input.Spec.CompleteWithin) / 4;
    if (seconds(Input.SinceStep) < Step || !Input.MayRaise)
      return std::nullopt;
    const double *Next = std::upper_bound(std::begin(Shares), std::end(Shares),
                                          Current.Share + 1e-9);
    if (Next == std::end(Shares))
      return std::nullopt;
    return rollout_action{
        *Next, *Next >= 1 ? rollout_phase::Watching : rollout_phase::Running,
        "fixed_step", "from " + percent(Current.Share)};
  }
};

} // namespace

std::vector<double> shareLadder(const state::rollout_spec &Spec) {
  std::vector<double> Ladder{std::clamp(Spec.InitialShare, 0.0001, 1.0)};
  for (double Share : {Spec.MaxUnprovenShare, 0.2, 0.5, 0.8, 0.95, 1.0})
    if (Share > Ladder.back() + 1e-9)
      Ladder.push_back(std::min(Share, 1.0));
  return Ladder;
}

std::unique_ptr<rollout_policy> makeEvidencePolicy(policy_settings Settings) {
  return std::make_unique<evidence_policy>(Settings);
}

std::unique_ptr<rollout_policy> makeFixedStepsPolicy() {
  return std::make_unique<fixed_steps_policy>();
}

} // namespace hyssopledge::coordination
