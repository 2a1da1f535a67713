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

/// A note repeats only after another decision.
std::optional<rollout_action> note(const rollout_input &Input, std::string Rule,
                                   std::string Seen) {
  if (Input.LastRule == Rule)
    return std::nullopt;
  return rollout_action{Input.Current.Share, Input.Current.Phase,
                        std::move(Rule), std::move(Seen)};
}

std::optional<rollout_action> rollBack(const rollout_input &Input,
                                       std::string Rule, std::string Seen) {
  if (!Input.OldTargets)
    return note(Input, "no_old_targets", Rule + ": " + Seen);
  return rollout_action{0, rollout_phase::RolledBack, std::move(Rule),
                        std::move(Seen)};
}

bool decided(rollout_phase Phase) {
  return Phase == rollout_phase::Done || Phase == rollout_phase::RolledBack;
}

class evidence_policy final : public rollout_policy {
public:
  explicit evidence_policy(policy_settings Settings) : Settings(Settings) {}

  std::optional<rollout_action>
  decide(const rollout_input &Input) const override {
    const state::rollout_directive &Current = Input.Current;
    if (decided(Current.Phase))
      return std::nullopt;
    if (Input.CondemnedByVotes)
      return rollBack(Input, "condemned_by_votes", "votes of the fleet");
    const version_comparison Seen = judgeVersions(
        Input.Evidence, Current.FromVersion, Current.ToVersion, Settings.Test);
    if (Seen.Verdict == version_verdict::Bad)
      return rollBack(Input, Seen.Rule, figures(Seen));
    if (Current.Phase == rollout_phase::Watching)
      return watch(Input);
    if (Seen.Rule == "overloaded")
      if (auto Action = stepBack(Input, Seen))
        return Action;
    if (Input.SinceFullShare)
      return recheck(Input, Seen);
    return advance(Input, Seen);
  }

private:
  static std::string figures(const version_comparison &Seen) {
    return (Seen.Route.empty() ? "all routes: "
                               : "route " + Seen.Route + ": ") +
           Seen.Figures;
  }

  std::optional<rollout_action> stepBack(const rollout_input &Input,
                                         const version_comparison &Seen) const {
    const std::vector<double> Ladder = shareLadder(Input.Spec);
    const auto Here = std::lower_bound(Ladder.begin(), Ladder.end(),
                                       Input.Current.Share - 1e-9);
    if (Here == Ladder.begin() || !Input.OldTargets)
      return std::nullopt;
    if (Input.OverloadStepBacks >= Settings.MaxOverloads)
      return rollBack(Input, "overloaded_again", figures(Seen));
    return rollout_action{*std::prev(Here), rollout_phase::Running,
                          "overloaded", figures(Seen)};
  }

  std::optional<rollout_action> watch(const rollout_input &Input) const {
    // The exact length of the watch counts from the first time at 100%.
    if (Input.SinceFullShare &&
        *Input.SinceFullShare >= Input.Spec.WatchAfterward)
      return rollout_action{
          1, rollout_phase::Done, "watch_over",
          "no difference found for " +
              std::to_string(Input.Spec.WatchAfterward.count()) + " s"};
    if (!Input.Evidence.baselineKept()) {
      // Another coordinator had the figures.
      if (!Input.OldTargets || !Input.MayRaise || !Input.EvidenceCurrent)
        return std::nullopt;
      return rollout_action{Settings.BaselineShare, rollout_phase::Running,
                            "baseline_lost",
                            "no figures of the old version at this "
                            "coordinator"};
    }
    const version_comparison Seen =
        judgeAgainstBaseline(Input.Evidence, Input.Current.FromVersion,
                             Input.Current.ToVersion, Settings.Test);
    if (Seen.Verdict != version_verdict::Bad)
      return std::nullopt;
    if (!Input.OldTargets)
      return note(Input, "no_old_targets", figures(Seen));
    return rollout_action{Settings.RecheckShare, rollout_phase::Running,
                          "recheck",
                          "against the last figures of the old "
                          "version, " +
                              figures(Seen)};
  }

  std::optional<rollout_action> recheck(const rollout_input &Input,
                                        const version_comparison &Seen) const {
    if (Input.SinceStep < Settings.LeastStep || !Input.MayRaise)
      return std::nullopt;
    if (Seen.Verdict == version_verdict::GoodEnough)
      return rollout_action{1, rollout_phase::Watching, "recheck_passed",
                            figures(Seen)};
    if (Input.SinceStep >= Settings.RecheckLimit)
      return rollout_action{1, rollout_phase::Watching, "recheck_undecided",
                            figures(Seen)};
    return std::nullopt;
  }

  std::optional<rollout_action> advance(const rollout_input &Input,
                                        const version_comparison &Seen) const {
    if (Input.LastRule == "overloaded" &&
        Input.SinceStep < Settings.OverloadWait * Input.OverloadStepBacks)
      return std::nullopt;
    if (!Input.NewTargets)
      return note(Input, "no_new_targets", "no target of the new version");
    if (Input.SinceStep < stepTime(Input))
      return std::nullopt;
    if (!Input.EvidenceCurrent)
      return note(Input, "no_reports", "too few members report");
    const std::vector<double> Ladder = shareLadder(Input.Spec);
    const auto Next = std::upper_bound(Ladder.begin(), Ladder.end(),
                                       Input.Current.Share + 1e-9);
    if (Next == Ladder.end())
      return std::nullopt;
    const bool Unproven = *Next <= Input.Spec.MaxUnprovenShare + 1e-9;
    std::string Rule;
    if (Seen.Verdict == version_verdict::GoodEnough)
      Rule = "proven";
    else if (!Seen.Suspicious && Unproven)
      Rule = "within_unproven_share";
    else if (!Seen.Suspicious && littleTraffic(Input, Seen))
      Rule = "little_traffic";
    else
      return holdBack(Input, Seen);
    if (!Input.MayRaise)
      return std::nullopt;
    return rollout_action{
        *Next, *Next >= 1 ? rollout_phase::Watching : rollout_phase::Running,
        Rule, figures(Seen) + "; from " + percent(Input.Current.Share)};
  }

  static std::optional<rollout_action>
  holdBack(const rollout_input &Input, const version_comparison &Seen) {
    if (Input.SinceStart >= Input.Spec.CompleteWithin)
      return note(Input, "late", "past complete_within; " + figures(Seen));
    if (seconds(Input.SinceStart) > 0.7 * seconds(Input.Spec.CompleteWithin))
      return note(Input, "held_undecided", figures(Seen));
    return std::nullopt;
  }

  bool littleTraffic(const rollout_input &Input,
                     const version_comparison &Seen) const {
    // The steps behind this one need their least time too.
    const std::vector<double> Ladder = shareLadder(Input.Spec);
    const auto Behind =
        std::count_if(Ladder.begin(), Ladder.end(), [&](double Share) {
          return Share > Input.Current.Share + 1e-9 && Share < 1;
        });
    const seconds Left =
        Settings.PlannedEnd * seconds(Input.Spec.CompleteWithin) -
        seconds(Input.SinceStart) - Behind * seconds(Settings.LeastStep);
    const double Rate = static_cast<double>(Seen.NewCalls) /
                        std::max(1.0, seconds(Input.SinceStep).count());
    const double Expected =
        static_cast<double>(Seen.NewCalls) + Rate * std::max(0.0, Left.count());
    return Expected < static_cast<double>(Settings.Test.RequiredCalls);
  }

  /// Time that the present step gets.
  milliseconds stepTime(const rollout_input &Input) const {
    // Low shares get the most time: what fails later then harms few calls.
    // Named by the share up to which they apply.
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
    const seconds Began(Input.SinceStart - Input.SinceStep);
    const seconds Left =
        Settings.PlannedEnd * seconds(Input.Spec.CompleteWithin) - Began;
    const seconds Share =
        Sum > 0 ? Left * (Weight(Input.Current.Share) / Sum) : seconds(0);
    return std::max<milliseconds>(
        Settings.LeastStep,
        std::chrono::duration_cast<milliseconds>(std::max(Share, seconds(0))));
  }

  policy_settings Settings;
};

class fixed_steps_policy final : public rollout_policy {
public:
  std::optional<rollout_action>
  decide(const rollout_input &Input) const override {
    constexpr double Shares[] = {0.01, 0.05, 0.25, 0.5, 1};
    constexpr double ErrorThreshold = 0.05;
    constexpr std::uint64_t LeastCalls = 20;
    const state::rollout_directive &Current = Input.Current;
    if (decided(Current.Phase))
      return std::nullopt;
    evidence_counts New;
    for (const stratum_sum &Sum : Input.Evidence.sums(10))
      if (Sum.Key->Version == Current.ToVersion)
        New.add(Sum.Counts);
    if (New.calls() >= LeastCalls &&
        static_cast<double>(New.Failures) >
            ErrorThreshold * static_cast<double>(New.calls()))
      return rollBack(Input, "error_threshold",
                      std::to_string(New.Failures) + " of " +
                          std::to_string(New.calls()) + " calls failed");
    if (Current.Phase == rollout_phase::Watching) {
      if (Input.SinceFullShare &&
          *Input.SinceFullShare >= Input.Spec.WatchAfterward)
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
