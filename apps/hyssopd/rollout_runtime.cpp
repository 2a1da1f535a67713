#include "apps/hyssopd/rollout_runtime.h"

#include "hyssopledge/transport/logging.h"

#include <chrono>
#include <set>
#include <utility>

namespace hyssopledge::hyssopd {

namespace {

using namespace std::chrono_literals;
using transport::log_level;
using transport::logEvent;

constexpr std::chrono::milliseconds SliceInterval = 2000ms;

std::chrono::milliseconds unixNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

bool isActive(state::rollout_phase Phase) {
  return Phase == state::rollout_phase::Running ||
         Phase == state::rollout_phase::Watching;
}

} // namespace

rollout_runtime::rollout_runtime(rollout_options InitialOptions,
                                 rollout_hooks InitialHooks,
                                 coordination::platform_store &Platform,
                                 const coordination::seat &Seat,
                                 view_builder &View,
                                 const state::timer_service &Timers)
    : Options(std::move(InitialOptions)), Hooks(std::move(InitialHooks)),
      View(View), Recorder(Options.DataCentre), OwnVoter(Options.Instance, {}),
      RelayVoter(Options.Instance, {}),
      Coordinator(
          {.Environment = Options.Environment, .Instance = Options.Instance},
          Platform, Seat, coordination::makeEvidencePolicy(), Hooks.Publish,
          [&Timers] { return Timers.now(); }) {
  updateRolloutTables();
}

void rollout_runtime::updateRolloutTables() {
  Directives = DirectiveStore.directives();
  Verdicts = DirectiveStore.verdicts(Votes, Electorate);
  std::set<std::string> Active;
  for (const auto &[Service, Directive] : Directives->ByService)
    if (isActive(Directive.Phase))
      Active.insert(Service);
  Recorder.setActiveServices(std::move(Active));
  OwnVoter.onDirectives(*Directives);
  RelayVoter.onDirectives(*Directives);
  View.setRollouts(Directives, Verdicts);
}

void rollout_runtime::onSnapshot(std::shared_ptr<const state::snapshot> Next,
                                 std::int64_t AcceptedUnixMs,
                                 state::time_point Now) {
  Coordinator.onSnapshot(std::move(Next), AcceptedUnixMs, Now);
}

void rollout_runtime::onMembers(const std::vector<control::member> &Members,
                                state::time_point Now) {
  Electorate = coordination::electorateOf(Members);
  Coordinator.onMembers(Members, Now);
  updateRolloutTables();
}

void rollout_runtime::onRecord(const control::gossip_record &Record) {
  Coordinator.onRecord(Record);
  if (Record.kind() == control::RECORD_DIRECTIVE) {
    // Calls made so far are evidence for the previous directive.
    reportEvidence();
    const auto Accepted = DirectiveStore.accept(Record);
    if (!Accepted || !Accepted.value())
      return;
    updateRolloutTables();
    const state::rollout_directive &Directive =
        Directives->ByService.at(Record.key());
    logEvent(log_level::Info, "directive",
             {{"service", Directive.Service},
              {"to", Directive.ToVersion},
              {"generation", Directive.Generation},
              {"step", Directive.Step},
              {"share", Directive.Share}});
    Hooks.Acknowledge(DirectiveStore.positions());
  } else if (Record.kind() == control::RECORD_VOTE) {
    const auto Added = Votes.add(Record);
    if (Added && Added.value())
      updateRolloutTables();
  }
}

void rollout_runtime::onReport(const control::report_request &Report,
                               state::time_point Now) {
  Coordinator.onReport(Report, Now);
}

void rollout_runtime::onMemberReport(const control::report_request &Report) {
  for (const control::reporter_evidence &Evidence : Report.evidence())
    RelayVoter.addReport(Evidence);
}

void rollout_runtime::publishVote(const control::vote &Vote) {
  logEvent(log_level::Warn, "vote",
           {{"service", Vote.service()},
            {"version", Vote.version()},
            {"generation", Vote.generation()},
            {"reason", Vote.reason()}});
  Votes.add(Vote);
  Hooks.Publish(coordination::encodeVote(Vote));
}

void rollout_runtime::reportEvidence() {
  const std::vector<control::evidence> Drained =
      Recorder.drain(DirectiveStore.revisions());
  if (Drained.empty())
    return;
  OwnVoter.addOwnEvidence(Drained);
  control::reporter_evidence Report;
  Report.set_reporter(Options.Instance);
  for (const control::evidence &Entry : Drained)
    *Report.add_entries() = Entry;
  Hooks.SendEvidence(std::move(Report));
}

void rollout_runtime::closeSlice(bool PlatformDown) {
  reportEvidence();
  bool Changed = false;
  for (const control::vote &Vote : OwnVoter.closeSlice(PlatformDown)) {
    // A daemon that votes on evidence from its own calls stops using the
    // version immediately.
    DirectiveStore.avoid({Vote.service(), Vote.version(), Vote.generation()});
    publishVote(Vote);
    Changed = true;
  }
  for (const control::vote &Vote : RelayVoter.closeSlice(PlatformDown)) {
    publishVote(Vote);
    Changed = true;
  }
  if (Changed)
    updateRolloutTables();
}

void rollout_runtime::tick(state::time_point Now, bool PlatformDown,
                           bool AllMembersKnown) {
  Coordinator.setAllMembersKnown(AllMembersKnown);
  if (Now >= SliceEndsAt) {
    SliceEndsAt = Now + SliceInterval;
    closeSlice(PlatformDown);
  }
  Coordinator.tick(Now, unixNow());
}

} // namespace hyssopledge::hyssopd
