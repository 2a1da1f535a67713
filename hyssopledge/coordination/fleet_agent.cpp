#include "hyssopledge/coordination/fleet_agent.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace hyssopledge::coordination {

using state::time_point;

namespace {

/// Whether a restarted daemon's record of its upstream lacks what the former
/// record says.
bool lacksFormerState(const member_record &Restarted,
                      const member_record &Former) {
  if (std::any_of(Former.PoisonFingerprints.begin(),
                  Former.PoisonFingerprints.end(), [&](std::uint64_t F) {
                    return std::count(Restarted.PoisonFingerprints.begin(),
                                      Restarted.PoisonFingerprints.end(),
                                      F) == 0;
                  }))
    return true;
  const upstream_record &New = Restarted.Upstream;
  const upstream_record &Old = Former.Upstream;
  if (Old.State == upstream_state::None)
    return false;
  return New.State == upstream_state::None ||
         New.StartUnixMs < Old.StartUnixMs ||
         (New.Name == Old.Name && New.StartUnixMs == Old.StartUnixMs &&
          (New.RequestLimit != Old.RequestLimit || New.State < Old.State));
}

} // namespace

fleet_agent::fleet_agent(fleet_agent_options Options, fleet_agent_hooks Hooks,
                         const operator_dialect &Dialect,
                         platform_store &Platform, peer_transport &Peers,
                         state::timer_service &Timers,
                         fleet_agent_timing Timing)
    : Options(std::move(Options)), Hooks(std::move(Hooks)), Dialect(Dialect),
      Platform(Platform), Peers(Peers), Timers(Timers), Timing(Timing),
      Random(this->Options.Seed), Alive(std::make_shared<bool>(true)) {
  Self.Instance = this->Options.Instance;
  Self.Incarnation = this->Options.Incarnation;
  Self.Revision = 1;
  Self.DataCentre = this->Options.DataCentre;
  Self.HopAddress = this->Options.HopAddress;
  Self.LinkMbps = this->Options.LinkMbps;
  Self.ControlAddress = this->Options.ControlAddress;
}

fleet_agent::~fleet_agent() { *Alive = false; }

void fleet_agent::start() {
  StartedAt = Timers.now();
  Directory.merge(Self);
  NextRegister = StartedAt + Timing.MaxRegisterDelay;
  NextFollow = StartedAt + Timing.InputReadDelay;
  readMembers(true);
  TickTimer =
      Timers.every(Timing.TickInterval, [this](time_point Now) { tick(Now); });
}

void fleet_agent::log(std::string_view Event, const std::string &Fields) const {
  if (Hooks.Log)
    Hooks.Log(Event, Fields);
}

//-----------------------------------------------------------------------------
// Membership
//-----------------------------------------------------------------------------

peer_message fleet_agent::message(peer_message_kind Kind) const {
  peer_message Message;
  Message.Kind = Kind;
  Message.From = Options.Instance;
  Message.ControlAddress = Options.ControlAddress;
  return Message;
}

void fleet_agent::sendTo(const std::string &ControlAddress,
                         const peer_message &Message) {
  for (const std::string &Datagram : encodeDatagrams(Message))
    Peers.send(ControlAddress, Datagram);
}

void fleet_agent::broadcast(const peer_message &Message) {
  const std::vector<std::string> Datagrams = encodeDatagrams(Message);
  for (const auto &[Name, Member] : Directory.members())
    if (Name != Options.Instance && !Member.Left)
      for (const std::string &Datagram : Datagrams)
        Peers.send(Member.ControlAddress, Datagram);
}

void fleet_agent::announceSelf() {
  Announced = true;
  ++Self.Revision;
  Directory.merge(Self);
  peer_message Message = message(peer_message_kind::Records);
  Message.Members.push_back(Self);
  broadcast(Message);
  if (Hooks.OnDirectoryChanged)
    Hooks.OnDirectoryChanged();
}

void fleet_agent::setUpstream(const upstream_record &Upstream) {
  const bool Changed = Self.Upstream.Name != Upstream.Name ||
                       Self.Upstream.State != Upstream.State;
  Self.Upstream = Upstream;
  announceSelf();
  const bool IsDeparture = Changed && Upstream.State > upstream_state::Serving;
  if (IsDeparture)
    Departure.begin(Self.Revision, Timers.now());
  // Writes the change to the platform, since a restarted daemon may find no
  // peer that received it.
  if (Changed && (Registered || MembersReadAttempted || IsDeparture))
    registerSelf();
}

void fleet_agent::whenDepartureLasts(std::function<void(bool)> Handler) {
  if (Departure.lasts(otherMembers()))
    return Handler(true);
  DepartureWaits.push_back(
      {std::move(Handler), Timers.now() + Timing.DepartureTimeout});
  if (!DepartureTimer)
    DepartureTimer = Timers.every(
        Timing.KeepInterval, [this](time_point Now) { checkDeparture(Now); });
}

/// Asks other daemons to keep the record if the store does not get it, and ends
/// the waits that are over.
void fleet_agent::checkDeparture(time_point Now) {
  const bool Lasts = Departure.lasts(otherMembers());
  std::vector<departure_wait> Ended;
  std::erase_if(DepartureWaits, [&](departure_wait &Wait) {
    const bool Ends = Lasts || Now >= Wait.Deadline;
    if (Ends)
      Ended.push_back(std::move(Wait));
    return Ends;
  });
  if (DepartureWaits.empty())
    DepartureTimer.reset();
  else if (Departure.needsKeepers(otherMembers(), Now))
    askKeepers();
  for (const departure_wait &Wait : Ended)
    Wait.Handler(Lasts);
}

/// The members are drawn, since some may be unreachable.
void fleet_agent::askKeepers() {
  std::vector<const member_record *> Others;
  for (const auto &[Name, Member] : Directory.members())
    if (Name != Options.Instance && !Member.Left)
      Others.push_back(&Member);
  peer_message Message = message(peer_message_kind::Keep);
  Message.Members.push_back(Self);
  for (std::size_t I = 0; I < Timing.AskedKeepers && !Others.empty(); ++I) {
    const auto Drawn =
        Others.begin() +
        static_cast<std::ptrdiff_t>(state::uniformBelow(Random, Others.size()));
    sendTo((*Drawn)->ControlAddress, Message);
    Others.erase(Drawn);
  }
}

std::size_t fleet_agent::otherMembers() const {
  const member_record *Known = Directory.find(Options.Instance);
  return Directory.size() - (Known != nullptr && !Known->Left ? 1 : 0);
}

void fleet_agent::setPoison(std::vector<std::uint64_t> Fingerprints) {
  if (Self.PoisonFingerprints == Fingerprints)
    return;
  Self.PoisonFingerprints = std::move(Fingerprints);
  announceSelf();
  if (Registered || MembersReadAttempted)
    registerSelf();
}

void fleet_agent::leave(bool Permanent) {
  Leaving = true;
  Self.Left = Permanent;
  Self.Upstream.AcceptsConnections = false;
  announceSelf();
  if (Permanent && Lease != 0)
    Platform.revokeLease(Lease, [](const state::result<bool> &) {});
  stopFollowing();
}

void fleet_agent::sendRecords(const std::string &ControlAddress) {
  // When the whole fleet starts at once, all daemons request records and none
  // knows more than its own.
  if (!Synced)
    return sendOwnRecord(ControlAddress);
  peer_message All = message(peer_message_kind::Records);
  for (const auto &[Name, Member] : Directory.members())
    All.Members.push_back(Member);
  for (const auto &[Name, Rollout] : Directory.rollouts())
    All.Rollouts.push_back(Rollout);
  for (const auto &[DataCentre, Evacuation] : Directory.evacuations())
    All.Evacuations.push_back(Evacuation);
  for (const peer_message &Part : splitRecords(All))
    sendTo(ControlAddress, Part);
}

void fleet_agent::sendOwnRecord(const std::string &ControlAddress) {
  peer_message Own = message(peer_message_kind::Records);
  Own.Members.push_back(Self);
  sendTo(ControlAddress, Own);
}

/// Sender is the member that sent the records; empty: they were read from the
/// platform.
void fleet_agent::mergeMembers(const std::vector<member_record> &Records,
                               const std::string &Sender) {
  bool Changed = false;
  for (const member_record &Record : Records) {
    if (Record.Instance == Options.Instance) {
      if (Record.Incarnation == Self.Incarnation) {
        // Members know departures from before the start of this daemon.
        if (FormerDepartures.remember(Record.Upstream) &&
            Hooks.OnFormerUpstream)
          Hooks.OnFormerUpstream(Record.Upstream);
      } else {
        updateFormerUpstream(Record);
        if (Hooks.OnPoison && !Record.PoisonFingerprints.empty())
          Hooks.OnPoison(Record.PoisonFingerprints, true);
      }
      // The system clock went back or another process uses this name; other
      // members would ignore this daemon's records.
      if (Record.Incarnation > Self.Incarnation) {
        Self.Incarnation = Record.Incarnation + 1;
        announceSelf();
      }
      continue;
    }
    const member_record *Known = Directory.find(Record.Instance);
    const bool Started =
        Known == nullptr || Known->Incarnation < Record.Incarnation;
    // When the whole fleet starts at once, no peer can send it the records of
    // the others, so each daemon sends its own.
    if (Started && !Synced && Announced && Record.Instance == Sender)
      sendOwnRecord(Record.ControlAddress);
    const bool Restarted = Known != nullptr && Started;
    if (Restarted && lacksFormerState(Record, *Known)) {
      // The restarted daemon may not know that its upstream has left, or has
      // restored an older record from the platform.
      peer_message Former = message(peer_message_kind::Records);
      Former.Members.push_back(*Known);
      sendTo(Record.ControlAddress, Former);
    }
    if (!Directory.merge(Record))
      continue;
    Changed = true;
    if (Hooks.OnPoison && !Record.PoisonFingerprints.empty())
      Hooks.OnPoison(Record.PoisonFingerprints, false);
  }
  if (Changed && Hooks.OnDirectoryChanged)
    Hooks.OnDirectoryChanged();
}

/// Keeps the latest record, and each departure: some members may not have
/// received it.
void fleet_agent::updateFormerUpstream(const member_record &Former) {
  const upstream_record &Upstream = Former.Upstream;
  if (Upstream.State == upstream_state::None)
    return;
  const bool IsLater =
      !FormerUpstream || std::tie(Former.Incarnation, Former.Revision) >
                             std::tie(FormerIncarnation, FormerRevision);
  const bool IsDeparture = FormerDepartures.remember(Upstream);
  if (!IsLater && !IsDeparture)
    return;
  if (IsLater) {
    FormerUpstream = Upstream;
    FormerIncarnation = Former.Incarnation;
    FormerRevision = Former.Revision;
  } else if (Hooks.OnFormerUpstream) {
    Hooks.OnFormerUpstream(Upstream);
  }
  FormerUpstream->State = FormerDepartures.latestState(*FormerUpstream);
  reportFormerUpstream();
}

/// A serving upstream is reported once the store has been asked: the members
/// may have missed, and an old read lacks, that it has left.
void fleet_agent::reportFormerUpstream() {
  if (FormerUpstream && Hooks.OnFormerUpstream &&
      (!FormerReadPending || FormerUpstream->State != upstream_state::Serving))
    Hooks.OnFormerUpstream(*FormerUpstream);
}

//-----------------------------------------------------------------------------
// Sync of records after the start
//-----------------------------------------------------------------------------

/// Requests all records from a member; those on the platform may be older.
void fleet_agent::requestRecords(time_point Now) {
  if (Synced || Now < NextSync)
    return;
  NextSync = Now + Timing.SyncRetryInterval;
  std::vector<const member_record *> Local;
  std::vector<const member_record *> Remote;
  for (const auto &[Name, Member] : Directory.members()) {
    if (Name == Options.Instance || Member.Left)
      continue;
    (Member.DataCentre == Options.DataCentre ? Local : Remote)
        .push_back(&Member);
  }
  // Alternates between local and remote members, since all local ones may have
  // started together with this daemon.
  PreferRemote = !PreferRemote;
  const auto &Asked =
      (PreferRemote && !Remote.empty()) || Local.empty() ? Remote : Local;
  if (!Asked.empty())
    sendTo(Asked[state::uniformBelow(Random, Asked.size())]->ControlAddress,
           message(peer_message_kind::Sync));
}

void fleet_agent::onRecordsPart(const peer_message &Message) {
  if (Synced || Message.Parts == 0)
    return;
  auto &Seen = ReceivedParts[Message.From];
  Seen.insert(Message.Part);
  if (Seen.size() < Message.Parts)
    return;
  finishSync("received all records of a member");
  const member_record *Sender = Directory.find(Message.From);
  if (!Document && !Fetching && Sender != nullptr)
    fetchDocumentFrom(*Sender);
}

void fleet_agent::finishSync(const char *Reason) {
  Synced = true;
  ReceivedParts.clear();
  log("synced",
      "members=" + std::to_string(Directory.size()) + " took_ms=" +
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             Timers.now() - StartedAt)
                             .count()) +
          " reason=\"" + Reason + "\"");
  if (!Announced)
    announceSelf();
}

void fleet_agent::reportCrash(
    const std::vector<state::crash_sighting> &Sightings) {
  peer_message Message = message(peer_message_kind::Crash);
  Message.Sightings = Sightings;
  broadcast(Message);
  // Sends the datagram twice, since a receiver that misses it would not know
  // the request.
  broadcast(Message);
}

void fleet_agent::ping(const std::string &Instance) {
  if (const member_record *Member = Directory.find(Instance))
    sendTo(Member->ControlAddress, message(peer_message_kind::Ping));
}

void fleet_agent::onDatagram(std::string_view Datagram) {
  auto Decoded = decodePeerMessage(Datagram);
  if (Decoded.has_error()) {
    log("datagram_ignored", "reason=\"" + Decoded.error().text() + "\"");
    return;
  }
  const peer_message &Message = Decoded.value();
  if (Message.From == Options.Instance)
    return;
  const time_point Now = Timers.now();
  if (Hooks.OnPeerAlive)
    Hooks.OnPeerAlive(Message.From);
  switch (Message.Kind) {
  case peer_message_kind::Beacon:
    return onBeacon(Message, Now);
  case peer_message_kind::Records: {
    mergeMembers(Message.Members, Message.From);
    bool Changed = false;
    for (const rollout_record &Record : Message.Rollouts) {
      Changed = Directory.merge(Record) || Changed;
      // Needed if this daemon becomes the coordinator.
      FirstSeen.emplace(std::make_pair(Record.Service, Record.OrderRevision),
                        Now);
    }
    if (Changed && Hooks.OnDirectoryChanged)
      Hooks.OnDirectoryChanged();
    mergeEvacuations(Message.Evacuations);
    return onRecordsPart(Message);
  }
  case peer_message_kind::Sync:
    return sendRecords(Message.ControlAddress);
  case peer_message_kind::Ping:
    return sendTo(Message.ControlAddress, message(peer_message_kind::Pong));
  case peer_message_kind::Pong:
    return;
  case peer_message_kind::Evidence:
    return recordEvidence(Message.From, {Message.Version,
                                         Message.OrderRevision,
                                         Message.Incarnation,
                                         Message.Counts,
                                         {},
                                         Now});
  case peer_message_kind::QuotaAsk:
  case peer_message_kind::QuotaGrant:
    if (Hooks.OnQuota)
      Hooks.OnQuota(Message);
    return;
  case peer_message_kind::Crash:
    if (Hooks.OnCrash)
      Hooks.OnCrash(Message.Sightings);
    return;
  case peer_message_kind::Keep: {
    mergeMembers(Message.Members, Message.From);
    peer_message Answer = message(peer_message_kind::Kept);
    Answer.Incarnation = Message.Members.front().Incarnation;
    Answer.Revision = Message.Members.front().Revision;
    return sendTo(Message.ControlAddress, Answer);
  }
  case peer_message_kind::Kept:
    if (Message.Incarnation != Self.Incarnation)
      return;
    Departure.onKept(Message.From, Message.Revision);
    return checkDeparture(Now);
  }
}

//-----------------------------------------------------------------------------
// Relays
//-----------------------------------------------------------------------------

std::chrono::milliseconds fleet_agent::relayTimeout() const {
  unsigned LowerMembers = 0;
  for (const auto &[Name, Member] : Directory.members()) {
    if (Name >= Options.Instance ||
        LowerMembers > Timing.MaxRelayTakeoverDelays)
      break;
    LowerMembers +=
        Member.DataCentre == Options.DataCentre && !Member.Left ? 1 : 0;
  }
  // The lowest of these members is the relay that timed out, so it adds no
  // delay.
  return Timing.RelayTimeout +
         Timing.RelayTakeoverDelay * (LowerMembers > 0 ? LowerMembers - 1 : 0);
}

/// Whether a member of this data centre with a lower name is an active relay.
bool fleet_agent::hasLowerRelay(time_point Now, bool RequirePlatform) const {
  const auto Timeout = relayTimeout();
  for (const auto &[Name, Beacon] : Beacons) {
    if (Name >= Options.Instance)
      break;
    if (Beacon.DataCentre == Options.DataCentre && Now - Beacon.At < Timeout &&
        (!RequirePlatform || Beacon.PlatformReached))
      return true;
  }
  return false;
}

/// Whether another member of this data centre reaches the platform.
bool fleet_agent::hasPlatformRelay(time_point Now) const {
  return std::any_of(Beacons.begin(), Beacons.end(), [&](const auto &Entry) {
    const beacon &Beacon = Entry.second;
    return Beacon.DataCentre == Options.DataCentre && Beacon.PlatformReached &&
           Now - Beacon.At < Timing.RelayTimeout;
  });
}

/// The delays of the members of a data centre are spread evenly over the
/// doublings of FirstTakeoverDelay, so that however many members there are, a
/// few try soon and a long outage costs few calls. Random, since the members
/// that may be unable to try are not known.
std::chrono::milliseconds fleet_agent::drawTakeoverDelay() {
  const auto Members =
      std::count_if(Directory.members().begin(), Directory.members().end(),
                    [&](const auto &Entry) {
                      return Entry.second.DataCentre == Options.DataCentre &&
                             !Entry.second.Left;
                    });
  const double Doublings = state::unitInterval(Random()) *
                           static_cast<double>(Members) /
                           Timing.TakeoversPerDoubling;
  constexpr double MaxDoublings = 16; // about 3.6 hours
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Timing.FirstTakeoverDelay * std::exp2(std::min(Doublings, MaxDoublings)));
}

bool fleet_agent::isCoordinator(time_point Now) const {
  if (!IsRelay)
    return false;
  for (const auto &[Name, Beacon] : Beacons) {
    if (Now - Beacon.At >= Timing.RelayTimeout)
      continue;
    const bool Lower = Name < Options.Instance;
    if (Beacon.PlatformReached ? Lower || !PlatformReached
                               : Lower && !PlatformReached)
      return false;
  }
  return true;
}

void fleet_agent::tick(time_point Now) {
  if (Leaving)
    return;
  // A starting daemon with a lower name sends its first beacon within this
  // time.
  bool HasLowerMember = false;
  for (const auto &[Name, Member] : Directory.members()) {
    if (Name >= Options.Instance)
      break;
    HasLowerMember = HasLowerMember ||
                     (Member.DataCentre == Options.DataCentre && !Member.Left);
  }
  const bool RelaysKnown =
      (MembersRead && !HasLowerMember) || Now - StartedAt >= relayTimeout();
  const bool WasRelay = IsRelay;
  const bool IsLowestRelay = RelaysKnown && !hasLowerRelay(Now, false);
  if (hasPlatformRelay(Now))
    TakeoverAt.reset();
  else if (!TakeoverAt)
    TakeoverAt = Now + drawTakeoverDelay();
  const bool MayTakeOver = TakeoverAt && Now >= *TakeoverAt;
  const bool MustFollow = RelaysKnown && !hasLowerRelay(Now, true) &&
                          (IsLowestRelay || PlatformReached || MayTakeOver);
  IsRelay = IsLowestRelay || (MustFollow && PlatformReached);
  if (IsRelay != WasRelay)
    log(IsRelay ? "relay_begins" : "relay_ends",
        "data_centre=" + Options.DataCentre);
  if (MustFollow && !Following &&
      (Now >= NextFollow || (!Document && !InputReadAttempted)))
    startFollowing();
  else if (!MustFollow && Following)
    stopFollowing();
  if (!Document && !ReadingInput && Now >= NextFollow)
    readInput(true);
  if ((!Registered || PlatformRecordStale) && !Writing && Now >= NextRegister)
    registerSelf();
  else if (Registered && Now >= NextRegister)
    renewRegistration();
  if (!MembersRead && Now >= NextMembers)
    readMembers(!Registered);
  requestRecords(Now);
  if (!Synced && Now - StartedAt >= Timing.SyncTimeout)
    finishSync("no member answered in time");
  if (IsRelay)
    sendBeacons(Now, false);
  fetchNewerDocument(Now);
  sendEvidence(Now);
  if (isCoordinator(Now))
    updateRollouts(Now);
}

void fleet_agent::sendBeacons(time_point Now, bool Always) {
  const bool Local =
      Always || Now - LastLocalBeacon >= Timing.LocalBeaconInterval;
  const bool Remote = Now - LastRemoteBeacon >= Timing.RemoteBeaconInterval;
  if (!Local && !Remote)
    return;
  if (Local)
    LastLocalBeacon = Now;
  if (Remote)
    LastRemoteBeacon = Now;
  peer_message Message = message(peer_message_kind::Beacon);
  Message.DataCentre = Options.DataCentre;
  Message.PlatformReached = PlatformReached;
  Message.DocumentVersion = Document ? Document->version() : 0;
  Message.Digest = Directory.digest();
  Message.StoreEra = StoreEra.value_or(0);
  const std::string Datagram = encodePeerMessage(Message);
  for (const auto &[Name, Member] : Directory.members()) {
    if (Name == Options.Instance || Member.Left)
      continue;
    if (Member.DataCentre == Options.DataCentre ? Local : Remote)
      Peers.send(Member.ControlAddress, Datagram);
  }
}

void fleet_agent::onBeacon(const peer_message &Message, time_point Now) {
  beacon &Beacon = Beacons[Message.From];
  // Digests differ briefly while a change propagates; only a difference that
  // persists over two beacons is repaired.
  const bool Differs = Message.Digest != Directory.digest();
  const bool Unknown = Directory.find(Message.From) == nullptr;
  if (Differs &&
      (Unknown || (Beacon.Differed && Beacon.Digest == Message.Digest))) {
    sendTo(Message.ControlAddress, message(peer_message_kind::Sync));
    sendRecords(Message.ControlAddress);
    Beacon.Differed = false;
  } else {
    Beacon.Differed = Differs;
  }
  Beacon.At = Now;
  Beacon.DataCentre = Message.DataCentre;
  Beacon.PlatformReached = Message.PlatformReached;
  Beacon.DocumentVersion = Message.DocumentVersion;
  Beacon.Digest = Message.Digest;
  if (Message.StoreEra > 0)
    onStoreEra(Message.StoreEra);
  fetchNewerDocument(Now);
}

} // namespace hyssopledge::coordination
