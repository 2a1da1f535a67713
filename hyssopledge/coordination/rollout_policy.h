/// \file
/// Decides when the share of a new version changes during a rollout.
#pragma once

#include "hyssopledge/coordination/version_test.h"
#include "hyssopledge/state/document.h"
#include "hyssopledge/state/routing_view.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

/// Input of a policy decision.
struct rollout_input {
  const state::rollout_spec &Spec;
  const state::rollout_directive &Current; // in force
  const evidence_series &Evidence;
  std::string LastRule;                   // of the latest decision
  std::chrono::milliseconds SinceStart{}; // time since the rollout started
  /// Time since the share last changed, at most the age of the evidence: a new
  /// coordinator waits for its own evidence.
  std::chrono::milliseconds SinceStep{};
  std::optional<std::chrono::milliseconds>
      SinceFullShare;             // since the share first reached 1
  unsigned OverloadStepBacks = 0; // steps back by the rule "overloaded" so far
  bool CondemnedByVotes = false;
  bool MayRaise = true; // false while a step can't be recorded
  /// More than half of the members have reported recently. Without reports, the
  /// absence of failures is no evidence.
  bool ReportsCurrent = true;
  bool HasNewTargets = true; // some target of the new version serves
  bool HasOldTargets = true; // some target of the old version serves
};

/// A new share and phase, or a note in the decision log if both are unchanged.
struct rollout_action {
  double Share = 0;
  state::rollout_phase Phase = state::rollout_phase::Running;
  std::string Rule;    // fixed name, for the decision log
  std::string Figures; // human-readable reason
};

/// Rollout policy. Stateless, so that another coordinator can continue from the
/// record.
class rollout_policy {
public:
  virtual ~rollout_policy() = default;
  /// Returns the next action, or nullopt to keep the share and phase.
  virtual std::optional<rollout_action>
  decide(const rollout_input &Input) const = 0;
};

/// Settings of the evidence policy. Its shares rise in the steps initial, max
/// unproven, 20%, 50%, 80%, 95% and 100%.
///
/// Pace: the time until PlannedEndFraction of complete_within is divided among
/// the steps. Time that a step did not use, or used in excess, changes the time
/// of the later steps, which therefore get shorter near the deadline. A step
/// ends when its time is over and the evidence since its start is clean with
/// enough calls. The initial step needs no proof, since the next share is still
/// within max_unproven_share. The steps at 50% and 95% test the version under
/// load while the old one still gets enough calls to compare with.
///
/// Undecided near the deadline: the share stays and the deadline is missed,
/// with a note in the decision log. A late good version costs time, an unproven
/// one costs calls. It is not rolled back either, as there is no evidence
/// against it.
///
/// Little traffic: if the calls expected until PlannedEndFraction don't reach
/// RequiredCalls, the share rises without proof once the time of the step is
/// over and there is no evidence against the version. Waiting would certainly
/// miss the deadline and protect few calls. This is the only exception to
/// max_unproven_share; the test continues at each step.
///
/// Overload: if the new version is slower and its targets refuse calls, the
/// share goes one step back, since the moved traffic may have overloaded good
/// targets. It rises again after OverloadRetryDelay times the number of such
/// steps back. After MaxOverloadStepBacks of them the version is rolled back,
/// because it can't handle the load.
///
/// After the rollout: the old version gets no calls, so the new one is compared
/// with the last figures (baseline) of the old. If it looks bad, the share goes
/// to 50% and both are compared over the same period; then the version is
/// rolled back or returns to 100%. A fault of both versions therefore causes no
/// rollback. A new coordinator has no baseline and goes to 95% until it has
/// one.
///
/// A version that is bad by the test or condemned by votes is rolled back at
/// once while old targets exist. Without them its calls have no other target,
/// and only a note is logged.
struct policy_settings {
  comparison_settings Comparison;
  /// Fraction of complete_within. 0.7 is promised; the difference is reserved
  /// for acknowledgements and one late check.
  double PlannedEndFraction = 0.6;
  /// 3 report intervals, so that a share has full effect for some seconds.
  std::chrono::seconds MinStepDuration{6};
  std::chrono::seconds OverloadRetryDelay{30};
  unsigned MaxOverloadStepBacks = 3;
  double RecheckShare = 0.5;
  double BaselineShare = 0.95; // while a new coordinator measures the baseline
  std::chrono::seconds RecheckTimeout{120}; // if undecided: back to 100%
};
/// Returns the policy described at policy_settings.
std::unique_ptr<rollout_policy>
makeEvidencePolicy(policy_settings Settings = {});

/// Returns a simple policy for comparison in benchmarks: 1%, 5%, 25%, 50% and
/// 100% at fixed times; rolls back when more than 5% of the new version's calls
/// of the last 10 slices fail (of at least 20).
std::unique_ptr<rollout_policy> makeFixedStepsPolicy();

/// Returns the rising shares of a rollout's steps; the last one is 1.
std::vector<double> shareLadder(const state::rollout_spec &Spec);

} // namespace hyssopledge::coordination
