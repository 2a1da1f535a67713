/// \file
/// Joins the rollout decisions of one daemon: directives and votes from gossip,
/// evidence, the voters and the coordinator.
#pragma once

#include "apps/hyssopd/view_builder.h"
#include "hyssopledge/coordination/coordinator.h"
#include "hyssopledge/coordination/directive_store.h"
#include "hyssopledge/coordination/evidence.h"
#include "hyssopledge/coordination/version_voter.h"
#include "hyssopledge/state/timer_service.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::hyssopd {

struct rollout_options {
  std::string Environment;
  std::string Instance;
  std::string DataCentre;
};

/// What it sends.
struct rollout_hooks {
  std::function<void(control::gossip_record)> Publish;
  std::function<void(control::reporter_evidence)> SendEvidence;
  std::function<void(std::vector<control::directive_position>)> Acknowledge;
};

/// Control thread only, but for record().
class rollout_runtime {
public:
  rollout_runtime(rollout_options Options, rollout_hooks Hooks,
                  coordination::platform_store &Platform,
                  const coordination::seat &Seat, view_builder &View,
                  const state::timer_service &Timers);

  /// Any thread.
  void record(const state::attempt_report &Report) { Recorder.record(Report); }

  void onSnapshot(std::shared_ptr<const state::snapshot> Snapshot,
                  std::int64_t AcceptedUnixMs, state::time_point Now);
  void onMembers(const std::vector<control::member> &Members,
                 state::time_point Now);
  void onRecord(const control::gossip_record &Record);
  /// At the coordinator.
  void onReport(const control::report_request &Report, state::time_point Now);
  /// At a relay, from the daemons of its data centre.
  void onMemberReport(const control::report_request &Report);
  /// Call it once a second.
  void tick(state::time_point Now, bool PlatformDown, bool AllMembersKnown);

  const state::directive_table &directives() const { return *Directives; }
  const state::verdict_table &verdicts() const { return *Verdicts; }
  bool isLeading() const { return Coordinator.isLeading(); }

private:
  void refresh();
  void reportEvidence();
  void closeSlice(bool PlatformDown);
  void vote(const control::vote &Vote);

  rollout_options Options;
  rollout_hooks Hooks;
  view_builder &View;
  coordination::directive_store DirectiveStore;
  coordination::vote_set Votes;
  coordination::electorate Electorate;
  coordination::evidence_recorder Recorder;
  coordination::version_voter OwnVoter;
  coordination::version_voter RelayVoter;
  coordination::coordinator Coordinator;
  std::shared_ptr<const state::directive_table> Directives;
  std::shared_ptr<const state::verdict_table> Verdicts;
  state::time_point SliceEndsAt{};
};

} // namespace hyssopledge::hyssopd
