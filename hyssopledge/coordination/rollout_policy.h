/// \file
/// Decides when the share of a new version changes.
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

struct rollout_input {
  const state::rollout_spec &Spec;
  const state::rollout_directive &Current; // in force
  const evidence_series &Evidence;
  std::string LastRule;                   // of the newest decision
  std::chrono::milliseconds SinceStart{}; // since the rollout began
  /// Since the share last changed, but not longer than this evidence exists: a
  /// new coordinator waits for evidence of its own.
  std::chrono::milliseconds SinceStep{};
  std::optional<std::chrono::milliseconds>
      SinceFullShare;             // since the share first reached 1
  unsigned OverloadStepBacks = 0; // steps back by the rule "overloaded" so far
  bool CondemnedByVotes = false;
  bool MayRaise = true; // false while the platform can't record a step
  /// Most members have reported lately; without reports an absence of failures
  /// says nothing.
  bool ReportsCurrent = true;
  bool HasNewTargets = true; // some target of the new version serves
  bool HasOldTargets = true; // some target of the old version serves
};

/// A new share and phase, or a note when both stay as they are.
struct rollout_action {
  double Share = 0;
  state::rollout_phase Phase = state::rollout_phase::Running;
  std::string Rule;    // fixed name, for the decision log
  std::string Figures; // the figures
};

/// Behaviour that varies. Without state of its own, so that another coordinator
/// continues from the record.
class rollout_policy {
public:
  virtual ~rollout_policy() = default;
  virtual std::optional<rollout_action>
  decide(const rollout_input &Input) const = 0;
};

/// Shares rise over the ladder initial, max unproven, 20%, 50%, 80%, 95%, 100%.
///
/// Pace: each step gets a part of the time until PlannedEndFraction of
/// complete_within and passes on what it did not use or used too much, so that
/// the steps behind it shrink near the deadline. A step ends when its time is
/// over and the evidence since its start is clean with enough calls. The
/// initial step needs no proof, as the next share is still within
/// max_unproven_share. The checks at 50% and 95% see the version under load
/// while the old one still gets enough calls to compare with.
///
/// Undecided near the deadline: the share stays where it is and the deadline is
/// missed, with a note in the log. A late good version costs time, an unproven
/// one costs calls. It is not rolled back either, as nothing speaks against it.
///
/// Little traffic: when the calls expected until PlannedEndFraction don't reach
/// the number that the test asks for, the share rises without proof once the
/// time of the step is over and nothing speaks against the version. Waiting
/// would miss the deadline for certain and spare few calls. This is the one
/// exception from max_unproven_share; the test goes on at each step.
///
/// Overload: when the new version's targets refuse calls and it is slower, the
/// share goes one step back, since moved traffic may have overloaded good
/// targets. It rises again after OverloadRetryDelay for each such step. After
/// MaxOverloadStepBacks steps the version is rolled back: it does not bear the
/// load.
///
/// After the move: the old version gets no calls to compare with, so the new
/// one is compared with the last figures of the old. When it looks bad, the
/// share goes to 50% and the two are compared in the same period; then it is
/// rolled back or returns to 100%. A new coordinator has no figures of the old
/// version and goes to 95% until it has them. A fault of both alike thus rolls
/// nothing back.
///
/// A version bad by the test or condemned by votes is rolled back at once while
/// old targets exist; without them its calls have nowhere to go, and only a
/// note is left.
struct policy_settings {
  test_settings Test;
  double PlannedEndFraction =
      0.6; // of complete_within; 0.7 is promised, the rest is
           // for acknowledgements and one late check
  std::chrono::seconds MinStepDuration{
      6}; // 3 reports: some seconds of full effect
  std::chrono::seconds OverloadRetryDelay{30};
  unsigned MaxOverloadStepBacks = 3;
  double RecheckShare = 0.5;
  double BaselineShare = 0.95; // while a new coordinator learns the figures of
                               // the old version
  std::chrono::seconds RecheckTimeout{120}; // undecided by then: back to 100%
};
std::unique_ptr<rollout_policy>
makeEvidencePolicy(policy_settings Settings = {});

/// Baseline: 1%, 5%, 25%, 50%, 100% at fixed times, back when more than 5% of
/// the new version's calls of the last 10 slices fail (of at least 20).
std::unique_ptr<rollout_policy> makeFixedStepsPolicy();

/// Shares of the ladder for a specification, rising, last is 1.
std::vector<double> shareLadder(const state::rollout_spec &Spec);

} // namespace hyssopledge::coordination
