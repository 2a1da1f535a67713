// Calls of the control agent to the platform and to other daemons.
#include "hyssopledge/coordination/control_agent.h"
#include "hyssopledge/coordination/keys.h"
#include "hyssopledge/protocol/document_codec.h"

#include <algorithm>
#include <set>

namespace hyssopledge::coordination {

using state::milliseconds;
using state::time_point;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds SeatRefreshInterval{30000};
constexpr milliseconds SeatRecordTtl{100000}; // allows for three lost refreshes
constexpr milliseconds ConfirmationTtl{60000};
constexpr milliseconds ReportInterval{1000};
constexpr std::size_t MaxPendingEvidence = 2048; // items for the next report
constexpr unsigned MaxFailedStartSyncs = 3;
// Probe intervals after the first answer of the platform.
constexpr unsigned MemberDiscoveryIntervals = 30;

} // namespace

//-----------------------------------------------------------------------------
// Start and repair
//-----------------------------------------------------------------------------

void control_agent::tickStart(time_point Now) {
  // Waits for a sync before the start, since the response contains the
  // incarnation that peers know. A daemon that gets no response starts alone.
  if (!Members.started() &&
      (SyncsSucceeded >= 1 || SyncsFailed >= MaxFailedStartSyncs ||
       (SeatsRead && Contacts.empty()) || Now >= StartedAt + 3s)) {
    Members.start(Now, Options.IncarnationHint);
    refreshVersions();
    afterMerge("");
  }
  // Daemons that start together may form separate groups without members in
  // common, so each contact must become known and not just any.
  if (Now >= NextSync) {
    std::vector<std::string> Addresses = unknownContacts();
    if (SyncsSucceeded == 0 || !Gate.floor())
      for (const control::member &Member : Members.randomMembers(4))
        Addresses.push_back(Member.control_address());
    if (!Addresses.empty())
      syncWith(Addresses[NextContact++ % Addresses.size()]);
    // Backs off, since syncs are large.
    const milliseconds Delay = std::min<milliseconds>(
        30s, 250ms * (1U << std::min(NextContact / 4, std::size_t{7})));
    NextSync = Now + randomBetween(Random, Delay / 2, Delay);
  }
  if (const auto Peer = Members.takeSyncPeer(Now))
    syncWith(Peer->control_address());
}

std::vector<std::string> control_agent::unknownContacts() const {
  const std::set<std::string> Known = liveAddresses();
  std::vector<std::string> Unknown;
  for (const std::string &Contact : Contacts)
    if (!Known.contains(Contact))
      Unknown.push_back(Contact);
  return Unknown;
}

void control_agent::syncWith(const std::string &Address) {
  control::sync_request Request;
  Request.set_environment(Options.Environment);
  Request.set_from_instance(Options.Instance);
  Request.set_from_incarnation(Members.self().incarnation());
  Store.exportAll(Clock(), Request.mutable_members(),
                  Request.mutable_records());
  Transport.sync(Address, Request,
                 guarded([this, Address](const auto &Response) {
                   onSynced(Address, Response);
                 }));
}

void control_agent::onSynced(
    const std::string &Address,
    const state::result<control::sync_response> &Response) {
  const time_point Now = Clock();
  if (!Response) {
    ++SyncsFailed;
    return;
  }
  const control::sync_response &Reply = Response.value();
  auto Merged = Store.merge(Now, Reply.members(), Reply.records(), true);
  if (!Merged) {
    ++SyncsFailed;
    log("event=sync_refused from=" + Address + " reason=\"" +
        Merged.error().text() + "\"");
    return;
  }
  ++SyncsSucceeded;
  std::string Sender;
  for (const control::member &Member : Reply.members())
    if (Member.control_address() == Address)
      Sender = Member.instance();
  if (Members.started())
    Members.onRememberedIncarnation(Now, Reply.callers_incarnation());
  else
    Options.IncarnationHint =
        std::max(Options.IncarnationHint, Reply.callers_incarnation() + 1);
  Members.onMerged(Now);
  afterMerge(Sender);
  if (Reply.callee_joined())
    Tracker.onAllMembersKnown();
  if (Reply.callee_ready()) {
    Gate.onPeerResponse(Address, Reply.known_version(),
                        Reply.callers_applied_version());
    execute(Documents.onTick(Now));
  }
}

// A daemon knows all members once it has synced with a daemon that knows them.
// After a restart of the whole fleet no daemon does; the lease levels on the
// platform then name the instances that may hold a lease.
void control_agent::tickAllMembersKnown(time_point Now) {
  // The others can find this daemon only while the platform answers.
  if (Tracker.allMembersKnown() || collector() != Options.Instance ||
      !SeatsRead ||
      Now <
          DiscoveryStartedAt + MemberDiscoveryIntervals * Options.ProbeInterval)
    return;
  if (Now >= StartedAt + Tracker.staleLeaseTimeout())
    return Tracker.onAllMembersKnown();
  if (ReadingLevels || Now < NextLevelsCheck || !Budget.tryConsume(Now, 1))
    return;
  ReadingLevels = true;
  NextLevelsCheck = Now + MemberDiscoveryIntervals * Options.ProbeInterval / 3;
  Platform.get(keys::leaseLevels(Options.Environment, ""), true,
               guarded([this](const state::result<platform_read> &Read) {
                 ReadingLevels = false;
                 if (!Read)
                   return;
                 for (const platform_entry &Entry : Read.value().Entries) {
                   control::lease_levels Levels;
                   if (!Levels.ParseFromString(Entry.Value))
                     return;
                   for (const auto &Item : Levels.entries())
                     if (Store.findMember(Item.instance()) == nullptr)
                       return;
                 }
                 Tracker.onAllMembersKnown();
               }));
}

//-----------------------------------------------------------------------------
// Platform
//-----------------------------------------------------------------------------

void control_agent::tickPlatform(time_point Now) {
  const bool IsRelay = holdsRelaySeat();
  Documents.setRelay(IsRelay);
  // Relays keep reading the seats, to find relays of separate groups. So do
  // daemons that know no relay: the seats may have been free at the last read.
  if (Now >= NextSeatsRead &&
      (!SeatsRead || IsRelay || relayAddresses().empty()))
    readSeats();
  if (IsRelay != WatchWanted) {
    WatchWanted = IsRelay;
    WatchFailures = 0;
    NextWatch = Now;
    Watch.reset();
  }
  const bool WatchDue = IsRelay && !Watch && Now >= NextWatch;
  if (Now >= NextHeadRead &&
      (!Gate.floor() || (IsRelay && (WatchDue || Now >= NextConfirmation))))
    readHead(WatchDue);
}

void control_agent::readHead(bool Watching) {
  const time_point Now = Clock();
  if (ReadingHead || !Budget.tryConsume(Now, 1))
    return;
  ReadingHead = true;
  Platform.get(keys::head(Options.Environment), false,
               guarded([this, Now, Watching](const auto &Read) {
                 onHeadRead(Now, Read, Watching);
               }));
}

void control_agent::onHeadRead(time_point SentAt,
                               const state::result<platform_read> &Read,
                               bool Watching) {
  const time_point Now = Clock();
  ReadingHead = false;
  PlatformDown = !Read;
  if (!Read) {
    Budget.onFailure(Now, Random);
    Gate.onPlatformFailed();
    Watch.reset();
    // The call budget's back-off determines the actual delay.
    NextHeadRead = Now + 250ms;
    return;
  }
  Budget.onSuccess();
  NextHeadRead = Now + 1s;
  NextConfirmation = Now + Options.ConfirmInterval;
  control::head Head;
  if (!Read.value().Entries.empty() &&
      !Head.ParseFromString(Read.value().Entries.front().Value)) {
    log("event=head_unreadable key=" + keys::head(Options.Environment));
    return;
  }
  Grantor.onHeadConfirmed(SentAt, Head.version());
  Gate.onPlatformHead(Head.version());
  if (Head.version() > 0)
    onHead(Head, "");
  execute(Documents.onTick(Now));
  if (Watching && WatchWanted)
    startWatch(Read.value().Revision + 1);
  const control::gossip_record *Last =
      Store.findRecord(control::RECORD_CONFIRMATION, Options.Environment);
  const auto UnixMs = static_cast<std::uint64_t>(WallClock());
  // One confirmation every 30 seconds is enough for the whole fleet.
  if (Head.version() > 0 && holdsRelaySeat() &&
      (Last == nullptr || UnixMs > Last->revision() + 30000)) {
    control::confirmation Confirmation;
    Confirmation.set_head_version(Head.version());
    Confirmation.set_confirmed_unix_ms(static_cast<std::int64_t>(UnixMs));
    Confirmation.set_by_platform(true);
    control::gossip_record Record;
    Record.set_kind(control::RECORD_CONFIRMATION);
    Record.set_key(Options.Environment);
    Record.set_revision(UnixMs);
    Record.set_payload(Confirmation.SerializeAsString());
    Record.set_remaining_ms(
        static_cast<std::uint32_t>(ConfirmationTtl.count()));
    (void)Store.mergeRecord(Now, Record);
  }
}

void control_agent::startWatch(std::int64_t Revision) {
  Watch = Platform.watch(
      keys::head(Options.Environment), false, Revision,
      guarded([this](const auto &Events) {
        if (!Events) {
          Watch.reset();
          const milliseconds Backoff = std::min<milliseconds>(
              10s, 200ms * (1U << std::min(WatchFailures, 6U)));
          ++WatchFailures;
          NextWatch = Clock() + randomBetween(Random, Backoff / 2, Backoff);
          return;
        }
        WatchFailures = 0;
        for (const platform_event &Event : Events.value()) {
          control::head Head;
          if (!Event.Deleted && Head.ParseFromString(Event.Entry.Value))
            onHead(Head, "");
        }
      }));
}

void control_agent::readSeats() {
  const time_point Now = Clock();
  if (ReadingSeats || !Budget.tryConsume(Now, 1))
    return;
  ReadingSeats = true;
  Platform.get(
      keys::relaySeatsPrefix(Options.Environment), true,
      guarded([this](const state::result<platform_read> &Read) {
        const time_point At = Clock();
        ReadingSeats = false;
        NextSeatsRead = At + 1s;
        if (!Read) {
          PlatformDown = true;
          Gate.onPlatformFailed();
          Budget.onFailure(At, Random);
          return;
        }
        Budget.onSuccess();
        if (!SeatsRead)
          DiscoveryStartedAt = At;
        SeatsRead = true;
        // Separate groups are likely after the start and rare later.
        const bool Separate = At < StartedAt + 30s || relayAddresses().empty();
        NextSeatsRead = At + (Separate ? randomBetween(Random, 2s, 4s)
                                       : randomBetween(Random, 30s, 60s));
        SeatHolders.clear();
        for (const platform_entry &Entry : Read.value().Entries) {
          control::seat Value;
          if (Value.ParseFromString(Entry.Value) &&
              Value.instance() != Options.Instance)
            SeatHolders.push_back(Value.control_address());
        }
        Contacts = Options.BootstrapPeers;
        std::erase(Contacts, Options.ControlAddress);
        Contacts.insert(Contacts.end(), SeatHolders.begin(), SeatHolders.end());
        std::shuffle(Contacts.begin(), Contacts.end(), Random);
      }));
}

void control_agent::fetchFromPlatform(std::uint64_t FetchId,
                                      const std::vector<std::string> &Hashes) {
  struct pending_fetch {
    distribution::parts Parts;
    std::size_t Remaining = 0;
    std::optional<state::failure> Failure;
  };
  auto PendingFetch = std::make_shared<pending_fetch>();
  PendingFetch->Remaining = Hashes.size();
  for (const std::string &Hash : Hashes)
    Platform.get(
        keys::part(protocol::hexEncode(Hash)), false,
        guarded([this, FetchId, Hash,
                 PendingFetch](const state::result<platform_read> &Read) {
          if (!Read)
            PendingFetch->Failure = Read.error();
          else if (!Read.value().Entries.empty())
            PendingFetch->Parts.emplace_back(
                Hash, Read.value().Entries.front().Value);
          if (--PendingFetch->Remaining > 0)
            return;
          if (PendingFetch->Failure && PendingFetch->Parts.empty())
            execute(
                Documents.onFetched(Clock(), FetchId, *PendingFetch->Failure));
          else
            execute(Documents.onFetched(Clock(), FetchId, PendingFetch->Parts));
        }));
}

//-----------------------------------------------------------------------------
// Seats and lease levels
//-----------------------------------------------------------------------------

std::size_t control_agent::dataCentreMemberCount() const {
  return static_cast<std::size_t>(std::count_if(
      Store.members().begin(), Store.members().end(), [this](const auto &Item) {
        return Item.second.Member.data_centre() == Options.DataCentre &&
               Item.second.Member.status() == control::MEMBER_ALIVE;
      }));
}

void control_agent::tickSeats(time_point Now) {
  if (!Members.started() || !SeatsRead)
    return;
  const std::size_t Candidates = dataCentreMemberCount();
  for (unsigned I = 0; I < RelaySeats; ++I) {
    announced_seat &Seat = Seats[I];
    // A daemon holds both seats only if it is alone in its data centre.
    const bool HoldsOtherSeat = Seats[1 - I].Seat->heldAt(Now) &&
                                !Seat.Seat->heldAt(Now) && Candidates > 1;
    Seat.Seat->setCandidates(Candidates);
    Seat.Seat->setEligible(!HoldsOtherSeat);
    tickSeat(Seat, Now);
  }
  // Only relays compete for the coordinator's seat, so that the number of
  // candidates does not grow with the fleet.
  std::set<std::string> DataCentres;
  for (const auto &[Instance, Entry] : Store.members())
    DataCentres.insert(Entry.Member.data_centre());
  announced_seat &Coordinator = Seats[CoordinatorSeat];
  Coordinator.Seat->setCandidates(RelaySeats * DataCentres.size());
  Coordinator.Seat->setEligible(holdsRelaySeat());
  tickSeat(Coordinator, Now);
}

void control_agent::tickSeat(announced_seat &Seat, time_point Now) {
  Seat.Runner->onTick(Now);
  const bool Held = Seat.Seat->heldAt(Now);
  if (Held && (!Seat.WasHeld || Now >= Seat.NextRefresh))
    publishSeat(Seat, Now);
  if (Held != Seat.WasHeld)
    log("event=seat name=" + Seat.Name + " held=" + (Held ? "1" : "0") +
        " token=" + std::to_string(Seat.Seat->fencingToken()));
  Seat.WasHeld = Held;
}

void control_agent::publishSeat(announced_seat &Seat, time_point Now) {
  Seat.NextRefresh = Now + SeatRefreshInterval;
  control::seat Value;
  Value.ParseFromString(Seat.Seat->options().Value);
  Value.set_fencing_token(Seat.Seat->fencingToken());
  control::gossip_record Record;
  Record.set_kind(control::RECORD_SEAT);
  Record.set_key(Seat.Name);
  // The fencing token in the upper bits makes a later holder's revision higher,
  // whatever the number of refreshes.
  Record.set_revision(
      (static_cast<std::uint64_t>(Seat.Seat->fencingToken()) << 20U) +
      ++Seat.Refreshes);
  Record.set_payload(Value.SerializeAsString());
  Record.set_remaining_ms(static_cast<std::uint32_t>(SeatRecordTtl.count()));
  (void)publish(Record);
}

void control_agent::tickLevels(time_point Now) {
  // Only the holder of the lowest seat writes, so that relays do not conflict.
  if (!Seats[0].Seat->heldAt(Now) || LevelsCallPending || Now < NextLevels ||
      !Budget.tryConsume(Now, 1))
    return;
  const std::string Key =
      keys::leaseLevels(Options.Environment, Options.DataCentre);
  NextLevels = Now + Options.LevelWriteInterval;
  LevelsCallPending = true;
  if (!LevelsRead) {
    Platform.get(Key, false, guarded([this](const auto &Read) {
                   LevelsCallPending = false;
                   if (!Read)
                     return;
                   LevelsRead = true;
                   LevelsRevision = 0;
                   for (const platform_entry &Entry : Read.value().Entries) {
                     control::lease_levels Levels;
                     LevelsRevision = Entry.ModRevision;
                     if (Levels.ParseFromString(Entry.Value))
                       Grantor.importLevels(Levels);
                   }
                 }));
    return;
  }
  if (!Grantor.takeLevelsChanged()) {
    LevelsCallPending = false;
    return;
  }
  platform_txn Txn;
  Txn.Conditions = {{Key, LevelsRevision}};
  Txn.Puts = {{Key, Grantor.levels().SerializeAsString(), 0}};
  Platform.commit(std::move(Txn), guarded([this](const auto &Result) {
                    LevelsCallPending = false;
                    // After another relay's write or a lost response, read
                    // again.
                    LevelsRead = Result && Result.value().Succeeded;
                    if (LevelsRead)
                      LevelsRevision = Result.value().Revision;
                  }));
}

//-----------------------------------------------------------------------------
// Renewals and reports
//-----------------------------------------------------------------------------

std::optional<std::string> control_agent::relayAddress() {
  if (holdsRelaySeat())
    return Options.ControlAddress;
  const std::vector<std::string> Relays = relayAddresses();
  if (!Relays.empty())
    return Relays[state::uniformBelow(Random, Relays.size())];
  // The leases of seats expire while the platform is down; any daemon may then
  // still reach a majority and grant configuration leases.
  const auto Peers = Members.randomMembers(1);
  if (!Peers.empty())
    return Peers.front().control_address();
  return Members.started() ? std::optional(Options.ControlAddress)
                           : std::nullopt;
}

void control_agent::tickRenewal(time_point Now) {
  if (!ready() || !Members.started() || !Holder.renewalDue(Now))
    return;
  const auto Address = relayAddress();
  if (!Address)
    return;
  control::renew_request Request;
  Request.set_environment(Options.Environment);
  Request.set_instance(Options.Instance);
  Request.set_incarnation(Members.self().incarnation());
  Request.set_applied_version(appliedVersion());
  Holder.beginRenewal(Now, Request);
  auto OnResponse = guarded([this](const auto &Response) {
    const time_point At = Clock();
    Holder.onResponse(At, Response);
    if (Response && Response.value().granted())
      Members.setLeaseLevel(At, Holder.level());
    else if (Response && !Response.value().reason().empty())
      log("event=renewal_refused reason=\"" + Response.value().reason() + "\"");
  });
  Transport.renew(*Address, Request, OnResponse);
}

std::string control_agent::collector() const {
  control::seat Value;
  const control::gossip_record *Record =
      Store.findRecord(control::RECORD_SEAT, "coordinator");
  if (Record != nullptr && Value.ParseFromString(Record->payload()))
    return Value.instance();
  // Without a coordinator the first live relay collects the reports.
  for (auto It = Store.records().lower_bound({control::RECORD_SEAT, "relay/"});
       It != Store.records().end() && It->first.first == control::RECORD_SEAT &&
       It->first.second.starts_with("relay/");
       ++It) {
    if (!Value.ParseFromString(It->second.Record.payload()))
      continue;
    const control::member *Member = Store.findMember(Value.instance());
    if (Member != nullptr && Member->status() == control::MEMBER_ALIVE)
      return Value.instance();
  }
  return "";
}

void control_agent::sendEvidence(
    const control::reporter_evidence &NewEvidence) {
  if (Evidence.size() < MaxPendingEvidence)
    Evidence.push_back(NewEvidence);
}

void control_agent::setDirectives(
    std::vector<control::directive_position> Positions) {
  Directives = std::move(Positions);
  HasAcknowledgement = true;
  NextAcknowledgement = Clock() + randomBetween(Random, 0ms, 500ms);
}

void control_agent::addReport(const control::report_request &Report) {
  if (Aggregator.add(Report) && Hooks.OnMemberReport)
    Hooks.OnMemberReport(Report);
}

void control_agent::trackReport(const control::report_request &Report) {
  for (const auto &Item : Report.acknowledgements()) {
    Tracker.onAcknowledgement(Clock(), Item);
    Store.recordAppliedVersion(Item.instance(), Item.applied_version());
  }
  if (Hooks.OnReport)
    Hooks.OnReport(Report);
}

void control_agent::tickReports(time_point Now) {
  if (!Members.started() || Now < NextReport)
    return;
  // The interval grows with the number of members in the data centre, so that
  // the report traffic at a relay stays constant.
  const std::size_t LocalMembers =
      std::max<std::size_t>(1, dataCentreMemberCount());
  control::report_request Report;
  if (HasAcknowledgement && Now >= NextAcknowledgement) {
    auto *Item = Report.add_acknowledgements();
    Item->set_instance(Options.Instance);
    Item->set_incarnation(Members.self().incarnation());
    Item->set_applied_version(appliedVersion());
    Item->set_lease_remaining_ms(
        static_cast<std::uint64_t>(Holder.remaining(Now).count()));
    for (const control::directive_position &Position : Directives)
      *Item->add_directives() = Position;
    // Acknowledgements are repeated, since one may be lost or the collector may
    // change.
    NextAcknowledgement = Now + randomBetween(Random, 5s + 200ms * LocalMembers,
                                              10s + 400ms * LocalMembers);
  }
  if (!Evidence.empty() && Now >= NextEvidence) {
    for (control::reporter_evidence &Item : Evidence)
      *Report.add_evidence() = std::move(Item);
    Evidence.clear();
    NextEvidence = Now + randomBetween(Random, 1s + 20ms * LocalMembers,
                                       1s + 40ms * LocalMembers);
  }
  const std::string Collector = collector();
  const bool IsRelay = holdsRelaySeat();
  Report.set_environment(Options.Environment);
  Report.set_from_instance(Options.Instance);
  if (IsRelay || Collector == Options.Instance) {
    if (!Report.acknowledgements().empty() || !Report.evidence().empty()) {
      Report.set_sequence(++ReportSequence);
      addReport(Report);
    }
    Report = Aggregator.drain(Options.Environment)
                 .value_or(control::report_request());
    NextReport =
        Now + randomBetween(Random, ReportInterval / 2, ReportInterval);
  }
  if (Report.acknowledgements().empty() && Report.evidence().empty())
    return;
  if (!Report.aggregated())
    Report.set_sequence(++ReportSequence);
  if (Collector == Options.Instance)
    return trackReport(Report);
  const std::string To =
      IsRelay ? controlAddress(Collector) : relayAddress().value_or("");
  if (To.empty() || To == Options.ControlAddress)
    return;
  Transport.report(To, Report, [](const auto &) {
    // A lost report is repaired by the next acknowledgement.
  });
}

} // namespace hyssopledge::coordination
