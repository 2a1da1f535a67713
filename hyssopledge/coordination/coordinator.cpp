#include "hyssopledge/coordination/coordinator.h"

#include "hyssopledge/coordination/keys.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hyssopledge::coordination {

using state::errc;
using state::rollout_phase;
using state::time_point;
using std::chrono::milliseconds;

coordinator::coordinator(coordinator_options Options, platform_store &Platform,
                         const seat &Seat,
                         std::unique_ptr<rollout_policy> Policy,
                         publisher Publish, std::function<time_point()> Now)
    : Options(std::move(Options)), Platform(Platform), Seat(Seat),
      Policy(std::move(Policy)), Publish(std::move(Publish)),
      Clock(std::move(Now)) {}

coordinator::~coordinator() = default;

template <class T>
platform_store::handler<T>
coordinator::guarded(std::function<void(const state::result<T> &)> Handler) {
  return [this, Handler = std::move(Handler), CallEpoch = Epoch,
          Guard = std::weak_ptr<alive_token>(Alive)](state::result<T> Result) {
    if (Guard.expired())
      return;
    if (Result.has_value())
      onPlatformSuccess();
    else
      onPlatformFailure();
    if (CallEpoch == Epoch)
      Handler(Result);
  };
}

//-----------------------------------------------------------------------------
// Events
//-----------------------------------------------------------------------------

void coordinator::onSnapshot(std::shared_ptr<const state::snapshot> Next,
                             std::int64_t AcceptedUnixMs, time_point Now) {
  if (Snapshot != nullptr && Next->Version <= Snapshot->Version)
    return;
  Snapshot = std::move(Next);
  Convergence.onHead(Snapshot->Version, AcceptedUnixMs,
                     Snapshot->Document.Lease, Now);
}

bool coordinator::onReport(const control::report_request &Report,
                           time_point Now) {
  std::uint64_t &Last = LastSequence[Report.from_instance()];
  if (Report.sequence() != 0 && Report.sequence() <= Last)
    return false;
  Last = Report.sequence();
  for (const auto &Acknowledgement : Report.acknowledgements())
    Convergence.onAcknowledgement(Acknowledgement, Now);
  for (const control::reporter_evidence &From : Report.evidence())
    for (const control::evidence &Entry : From.entries()) {
      auto Found = Rollouts.find(Entry.service());
      if (Found == Rollouts.end() || !Found->second.Record)
        continue;
      // Calls made under another step are outside the compared period.
      const control::rollout_record &Record = *Found->second.Record;
      if (Entry.directive() !=
          directiveRevision(Record.generation(), Record.step()))
        continue;
      const auto [Key, Counts] = decodeEvidence(Entry);
      Found->second.Evidence->add(From.reporter(), Key, Counts);
    }
  return true;
}

void coordinator::onRecord(const control::gossip_record &Record) {
  if (Record.kind() == control::RECORD_VOTE) {
    // Invalid records are ignored.
    (void)Votes.add(Record);
    return;
  }
  if (Record.kind() != control::RECORD_DIRECTIVE)
    return;
  auto Found = Rollouts.find(Record.key());
  if (Found == Rollouts.end() || !Found->second.Record)
    return;
  const control::rollout_record &Current = *Found->second.Record;
  // Another daemon recorded a newer step; read it from the platform.
  if (Record.revision() >
      directiveRevision(Current.generation(), Current.step()))
    Found->second.ReadBackNeeded = true;
}

void coordinator::onMembers(const std::vector<control::member> &Listed,
                            time_point Now) {
  Members = Listed;
  Electorate = electorateOf(Members);
  Convergence.onMembers(Members, Now);
}

//-----------------------------------------------------------------------------
// Leadership
//-----------------------------------------------------------------------------

void coordinator::tick(time_point Now, milliseconds UnixNow) {
  if (!Seat.heldAt(Now) || Seat.fencingToken() == SupersededToken) {
    if (Leading)
      ++Epoch;
    Leading = false;
    return;
  }
  if (!Leading || Seat.fencingToken() != FencingToken)
    startLeading(Now);
  if (Now >= SliceEndsAt) {
    for (auto &[Service, Rollout] : Rollouts)
      if (Rollout.Evidence != nullptr)
        Rollout.Evidence->closeSlice();
    SliceEndsAt = Now + Options.SliceInterval;
  }
  if (Snapshot == nullptr)
    return;
  if (!Loaded) {
    if (!Loading && Now >= NextAttemptAt)
      loadAll();
    return;
  }
  std::set<std::string> Services;
  for (const state::service_spec &Service : Snapshot->Document.Services)
    Services.insert(Service.Name);
  for (const auto &[Service, Rollout] : Rollouts)
    Services.insert(Service);
  for (const std::string &Service : Services) {
    // Creates entries only for services with a rollout.
    const state::service_spec *Spec = Snapshot->findService(Service);
    if (!Rollouts.contains(Service) && (Spec == nullptr || !Spec->Rollout))
      continue;
    updateRollout(Service, Rollouts[Service], Now, UnixNow);
  }
  writeConvergence(Now, UnixNow);
}

void coordinator::startLeading(time_point Now) {
  ++Epoch;
  Leading = true;
  FencingToken = Seat.fencingToken();
  Loaded = Loading = false;
  Rollouts.clear();
  ConvergenceCallPending = ConvergenceRevisionKnown = false;
  WrittenConvergence.clear();
  PlatformUp = true;
  Failures = 0;
  NextAttemptAt = Now;
  SliceEndsAt = Now + Options.SliceInterval;
}

void coordinator::loadAll() {
  Loading = true;
  Platform.get(
      keys::rolloutsPrefix(Options.Environment), true,
      guarded<platform_read>([this](const auto &Read) { onLoaded(Read); }));
}

void coordinator::onLoaded(const state::result<platform_read> &Read) {
  Loading = false;
  if (!Read)
    return;
  const std::string Prefix = keys::rolloutsPrefix(Options.Environment);
  for (const platform_entry &Entry : Read.value().Entries)
    applyEntry(Rollouts[Entry.Key.substr(Prefix.size())], Entry);
  Loaded = true;
}

void coordinator::applyEntry(rollout &Rollout, const platform_entry &Entry) {
  control::rollout_record Record;
  Rollout.ModRevision = Entry.ModRevision;
  if (!Record.ParseFromString(Entry.Value)) {
    // The value was not written by this program. It is treated as missing and
    // replaced when the document asks for a rollout.
    Rollout.Record.reset();
    return;
  }
  const bool SameShare = Rollout.Record &&
                         Rollout.Record->generation() == Record.generation() &&
                         Rollout.Record->share() == Record.share();
  const bool SameStep = SameShare && Rollout.Record->step() == Record.step();
  const time_point Now = Clock();
  if (Rollout.Evidence == nullptr ||
      (Rollout.Record && Rollout.Record->generation() != Record.generation())) {
    Rollout.Evidence = std::make_unique<evidence_series>();
    Rollout.EvidenceStartedAt = Now;
  } else if (!SameShare) {
    if (Record.share() >= 1)
      Rollout.Evidence->keepBaseline(Record.from_version());
    Rollout.Evidence->beginStep();
  }
  Votes.eraseBefore(Record.service(), Record.generation());
  Rollout.Record = std::move(Record);
  if (SameStep)
    return;
  Rollout.RecordedAt = Now;
  Publish(encodeDirective(*Rollout.Record));
}

void coordinator::onPlatformFailure() {
  PlatformUp = false;
  const auto Delay = std::min<milliseconds>(
      Options.MaxRetryDelay,
      Options.MinRetryDelay * (1U << std::min(Failures, 10U)));
  NextAttemptAt = Clock() + Delay;
  ++Failures;
}

void coordinator::onPlatformSuccess() {
  PlatformUp = true;
  Failures = 0;
}

//-----------------------------------------------------------------------------
// Records
//-----------------------------------------------------------------------------

platform_txn coordinator::fencedPut(const std::string &Key,
                                    std::int64_t ModRevision,
                                    std::string Value) const {
  platform_txn Txn;
  // A holder writes the seat's key only once, so its revision stays equal to
  // the fencing token.
  Txn.Conditions = {{Key, ModRevision},
                    {keys::coordinatorSeat(Options.Environment), FencingToken}};
  Txn.Puts = {{Key, std::move(Value), 0}};
  return Txn;
}

void coordinator::readBack(const std::string &Service) {
  Rollouts[Service].CallPending = true;
  const std::string Key = keys::rollout(Options.Environment, Service);
  Platform.get(Key, false,
               guarded<platform_read>([this, Service](const auto &Read) {
                 rollout &Rollout = Rollouts[Service];
                 Rollout.CallPending = false;
                 if (!Read)
                   return;
                 Rollout.ReadBackNeeded = false;
                 if (Read.value().Entries.empty()) {
                   Rollout.Record.reset();
                   Rollout.ModRevision = 0;
                   return;
                 }
                 applyEntry(Rollout, Read.value().Entries.front());
               }));
}

void coordinator::write(const std::string &Service,
                        control::rollout_record Next) {
  rollout &Rollout = Rollouts[Service];
  Rollout.CallPending = true;
  Next.set_fencing_token(FencingToken);
  const std::string Key = keys::rollout(Options.Environment, Service);
  std::string Value = Next.SerializeAsString();
  Platform.commit(
      fencedPut(Key, Rollout.ModRevision, std::move(Value)),
      guarded<platform_txn_result>(
          [this, Service, Next = std::move(Next)](const auto &Result) {
            onWritten(Service, Next, Result);
          }));
}

void coordinator::onWritten(const std::string &Service,
                            const control::rollout_record &Next,
                            const state::result<platform_txn_result> &Result) {
  rollout &Rollout = Rollouts[Service];
  Rollout.CallPending = false;
  if (!Result) {
    Rollout.ReadBackNeeded = !Result.error().is(errc::Unavailable);
    return;
  }
  if (Result.value().Succeeded) {
    platform_entry Entry;
    Entry.Value = Next.SerializeAsString();
    Entry.ModRevision = Result.value().Revision;
    applyEntry(Rollout, Entry);
    return;
  }
  // Either the record or the holder of the seat has changed. Reading the seat's
  // key shows which.
  Rollout.ReadBackNeeded = true;
  Platform.get(keys::coordinatorSeat(Options.Environment), false,
               guarded<platform_read>([this](const auto &Read) {
                 if (!Read)
                   return;
                 const auto &Entries = Read.value().Entries;
                 if (Entries.empty() ||
                     Entries.front().ModRevision != FencingToken)
                   SupersededToken = FencingToken;
               }));
}

void coordinator::updateRollout(const std::string &Service, rollout &Rollout,
                                time_point Now, milliseconds UnixNow) {
  if (Rollout.CallPending)
    return;
  if (Rollout.ReadBackNeeded && PlatformUp) {
    readBack(Service);
    return;
  }
  if (!PlatformUp && Now >= NextAttemptAt) {
    // Probes the platform with a single call; its response sets NextAttemptAt.
    NextAttemptAt = Now + Options.MaxRetryDelay;
    readBack(Service);
  }
  if (PlatformUp) {
    if (auto Planned =
            planRollout(*Snapshot, Service,
                        Rollout.Record ? &*Rollout.Record : nullptr, UnixNow)) {
      if (Rollout.Evidence == nullptr) {
        Rollout.Evidence = std::make_unique<evidence_series>();
        Rollout.EvidenceStartedAt = Now;
      }
      write(Service, std::move(*Planned));
      return;
    }
  }
  if (Rollout.Record && !Rollout.Record->closed())
    applyPolicy(Service, Rollout, Now, UnixNow);
}

namespace {

unsigned countOverloadStepBacks(const control::rollout_record &Record) {
  return static_cast<unsigned>(
      std::count_if(Record.decisions().begin(), Record.decisions().end(),
                    [&](const control::decision &Decision) {
                      return Decision.rule() == "overloaded" &&
                             Decision.unix_ms() >= Record.started_unix_ms();
                    }));
}

} // namespace

coordinator::serving_versions
coordinator::servingVersions(const std::string &Service,
                             const control::rollout_record &Record) const {
  serving_versions Versions;
  for (const control::member &Member : Members) {
    if (Member.status() != control::MEMBER_ALIVE)
      continue;
    for (const control::target &Target : Member.targets())
      if (Target.service() == Service && !Target.draining()) {
        Versions.New = Versions.New || Target.version() == Record.to_version();
        Versions.Old =
            Versions.Old || Target.version() == Record.from_version();
      }
  }
  return Versions;
}

void coordinator::applyPolicy(const std::string &Service, rollout &Rollout,
                              time_point Now, milliseconds UnixNow) {
  const control::rollout_record &Record = *Rollout.Record;
  const state::service_spec *Spec = Snapshot->findService(Service);
  if (Spec == nullptr || !Spec->Rollout)
    return;
  const auto Since = [&](std::int64_t UnixMs) {
    return std::max(milliseconds(0), UnixNow - milliseconds(UnixMs));
  };
  const state::rollout_directive Directive = toDirective(Record);
  const serving_versions Serving = servingVersions(Service, Record);
  const bool MayRaise =
      PlatformUp && !Rollout.CallPending && !Rollout.ReadBackNeeded;
  const auto Action = Policy->decide(
      {.Spec = *Spec->Rollout,
       .Current = Directive,
       .Evidence = *Rollout.Evidence,
       .LastRule = Record.decisions().empty()
                       ? ""
                       : Record.decisions().rbegin()->rule(),
       .SinceStart = Since(Record.started_unix_ms()),
       .SinceStep = std::min(Since(Record.step_unix_ms()),
                             std::chrono::duration_cast<milliseconds>(
                                 Now - Rollout.EvidenceStartedAt)),
       .SinceFullShare = Record.full_unix_ms() == 0
                             ? std::optional<milliseconds>()
                             : Since(Record.full_unix_ms()),
       .OverloadStepBacks = countOverloadStepBacks(Record),
       .CondemnedByVotes = Votes.condemned(
           {Service, Record.to_version(), Record.generation()}, Electorate),
       .MayRaise = MayRaise,
       .ReportsCurrent = Convergence.reportsCurrent(Now),
       .HasNewTargets = Serving.New,
       .HasOldTargets = Serving.Old});
  if (Action) {
    if (Action->Phase == rollout_phase::RolledBack && !MayRaise)
      voteAgainst(Record, *Action);
    if (MayRaise)
      write(Service, applyAction(Record, *Action, UnixNow));
    return;
  }
  if (MayRaise && Record.share() >= 1 && !isComplete(Record) &&
      Convergence.directiveInForce(Service, Record.generation(), Record.step(),
                                   Rollout.RecordedAt, Now))
    write(Service,
          applyAction(Record,
                      {Record.share(), Directive.Phase, "complete",
                       "each member has step " + std::to_string(Record.step()) +
                           " in force or no valid lease"},
                      UnixNow));
}

void coordinator::voteAgainst(const control::rollout_record &Record,
                              const rollout_action &Action) {
  control::vote Vote;
  Vote.set_service(Record.service());
  Vote.set_version(Record.to_version());
  Vote.set_generation(Record.generation());
  Vote.set_voter(Options.Instance);
  Vote.set_reason(Action.Rule + ": " + Action.Figures);
  if (Votes.add(Vote))
    Publish(encodeVote(Vote));
}

std::vector<control::rollout_record> coordinator::records() const {
  std::vector<control::rollout_record> All;
  for (const auto &[Service, Rollout] : Rollouts)
    if (Rollout.Record)
      All.push_back(*Rollout.Record);
  return All;
}

//-----------------------------------------------------------------------------
// Convergence
//-----------------------------------------------------------------------------

void coordinator::writeConvergence(time_point Now, milliseconds UnixNow) {
  if (ConvergenceCallPending || (!PlatformUp && Now < NextAttemptAt) ||
      Now < ConvergenceWrittenAt + Options.ConvergenceInterval)
    return;
  const std::string Key = keys::convergence(Options.Environment);
  if (!ConvergenceRevisionKnown) {
    ConvergenceCallPending = true;
    Platform.get(Key, false, guarded<platform_read>([this](const auto &Read) {
                   ConvergenceCallPending = false;
                   if (!Read)
                     return;
                   const auto &Entries = Read.value().Entries;
                   ConvergenceRevision =
                       Entries.empty() ? 0 : Entries.front().ModRevision;
                   ConvergenceRevisionKnown = true;
                 }));
    return;
  }
  control::convergence Current = Convergence.convergence(Now, UnixNow);
  control::convergence WithoutTime = Current;
  WithoutTime.clear_stated_unix_ms();
  std::string Content = WithoutTime.SerializeAsString();
  if (Content == WrittenConvergence)
    return;
  ConvergenceCallPending = true;
  ConvergenceWrittenAt = Now;
  Platform.commit(
      fencedPut(Key, ConvergenceRevision, Current.SerializeAsString()),
      guarded<platform_txn_result>(
          [this, Content = std::move(Content)](const auto &Result) mutable {
            onConvergenceWritten(Result);
            if (Result.has_value() && Result.value().Succeeded)
              WrittenConvergence = std::move(Content);
          }));
}

void coordinator::onConvergenceWritten(
    const state::result<platform_txn_result> &Result) {
  ConvergenceCallPending = false;
  // After any other result the revision is read again before the next write.
  ConvergenceRevisionKnown = Result.has_value() && Result.value().Succeeded;
  if (ConvergenceRevisionKnown)
    ConvergenceRevision = Result.value().Revision;
}

} // namespace hyssopledge::coordination
