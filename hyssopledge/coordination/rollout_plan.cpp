#include "hyssopledge/coordination/rollout_plan.h"

#include <cstdio>

namespace hyssopledge::coordination {

using state::rollout_phase;
using std::chrono::milliseconds;

namespace {

std::string describe(const control::rollout_record &Record) {
  static const char *const Phases[] = {"running", "watching", "done",
                                       "rolled back"};
  char Text[80];
  std::snprintf(Text, sizeof(Text), "share %.4g%%, %s, step %llu",
                Record.share() * 100, Phases[Record.phase() & 3U],
                static_cast<unsigned long long>(Record.step()));
  return Text;
}

void addDecision(control::rollout_record &Record, milliseconds UnixNow,
                 const std::string &Rule, const std::string &Figures,
                 std::string Action) {
  control::decision &Decision = *Record.add_decisions();
  Decision.set_unix_ms(UnixNow.count());
  Decision.set_rule(Rule);
  Decision.set_seen(Figures);
  Decision.set_action(std::move(Action));
  if (const int Extra = Record.decisions_size() - MaxDecisions; Extra > 0)
    Record.mutable_decisions()->DeleteSubrange(0, Extra);
}

rollout_phase phaseOf(const control::rollout_record &Record) {
  return static_cast<rollout_phase>(Record.phase());
}

control::rollout_record
makeRecord(const state::snapshot &Snapshot, const std::string &Service,
           const std::string &From, const std::string &To,
           const control::rollout_record *Known, milliseconds UnixNow) {
  control::rollout_record Record;
  if (Known != nullptr)
    *Record.mutable_decisions() = Known->decisions();
  Record.set_service(Service);
  Record.set_from_version(From);
  Record.set_to_version(To);
  Record.set_generation(Snapshot.Version);
  Record.set_started_unix_ms(UnixNow.count());
  Record.set_step_unix_ms(UnixNow.count());
  return Record;
}

std::string describeDocument(const state::snapshot &Snapshot) {
  return "document version " + std::to_string(Snapshot.Version);
}

} // namespace

control::rollout_record applyAction(const control::rollout_record &Record,
                                    const rollout_action &Action,
                                    milliseconds UnixNow) {
  control::rollout_record Next = Record;
  const bool IsNewStep =
      Action.Share != Record.share() ||
      static_cast<std::uint32_t>(Action.Phase) != Record.phase();
  if (IsNewStep) {
    Next.set_step(Record.step() + 1);
    Next.set_phase(static_cast<std::uint32_t>(Action.Phase));
  }
  if (Action.Share != Record.share()) {
    Next.set_share(Action.Share);
    Next.set_step_unix_ms(UnixNow.count());
    if (Action.Share >= 1 && Record.full_unix_ms() == 0)
      Next.set_full_unix_ms(UnixNow.count());
  }
  addDecision(Next, UnixNow, Action.Rule, Action.Figures,
              IsNewStep ? describe(Next) : "none");
  return Next;
}

bool isComplete(const control::rollout_record &Record) {
  if (Record.share() < 1)
    return false;
  for (int I = Record.decisions_size() - 1; I >= 0; --I) {
    const control::decision &Decision = Record.decisions(I);
    if (Decision.rule() == "complete")
      return true;
    // Older decisions belong to steps before the last change of the share.
    if (Decision.unix_ms() < Record.step_unix_ms())
      return false;
  }
  return false;
}

std::optional<control::rollout_record>
planRollout(const state::snapshot &Snapshot, const std::string &Service,
            const control::rollout_record *Known, milliseconds UnixNow) {
  const state::service_spec *Spec = Snapshot.findService(Service);
  const std::string Figures = describeDocument(Snapshot);
  // Ignores documents that are older than the record's generation.
  if (Known != nullptr && Known->generation() > Snapshot.Version)
    return std::nullopt;
  if (Spec != nullptr && Spec->Rollout &&
      Spec->Rollout->ToVersion != Spec->StableVersion) {
    const state::rollout_spec &Rollout = *Spec->Rollout;
    if (Known != nullptr && !Known->closed() &&
        Known->from_version() == Spec->StableVersion &&
        Known->to_version() == Rollout.ToVersion)
      return std::nullopt;
    // A generation is a head version, so each allows one rollout per service.
    if (Known != nullptr && Known->generation() == Snapshot.Version)
      return std::nullopt;
    control::rollout_record Record =
        makeRecord(Snapshot, Service, Spec->StableVersion, Rollout.ToVersion,
                   Known, UnixNow);
    return applyAction(Record,
                       {shareLadder(Rollout).front(), rollout_phase::Running,
                        "begin",
                        Figures + " asks for " + Spec->StableVersion + " to " +
                            Rollout.ToVersion},
                       UnixNow);
  }
  if (Known == nullptr)
    return std::nullopt;
  if (Spec != nullptr && Spec->StableVersion == Known->to_version() &&
      phaseOf(*Known) == rollout_phase::RolledBack &&
      Known->generation() < Snapshot.Version) {
    control::rollout_record Record =
        makeRecord(Snapshot, Service, Spec->StableVersion, Spec->StableVersion,
                   Known, UnixNow);
    Record.set_closed(true);
    return applyAction(Record,
                       {1, rollout_phase::Done, "adopted",
                        Figures + " names the version as stable"},
                       UnixNow);
  }
  if (Known->closed())
    return std::nullopt;
  rollout_action Action{Known->share(), phaseOf(*Known), "dropped", Figures};
  if (Spec != nullptr && Spec->StableVersion == Known->to_version())
    Action = {1, rollout_phase::Done, "adopted",
              Figures + " names the new version as stable"};
  else if (Spec != nullptr && phaseOf(*Known) != rollout_phase::RolledBack)
    Action = {0, rollout_phase::RolledBack, "cancelled",
              Figures + " drops the rollout"};
  control::rollout_record Record = applyAction(*Known, Action, UnixNow);
  Record.set_closed(true);
  return Record;
}

} // namespace hyssopledge::coordination
