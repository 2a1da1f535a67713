#include "hyssopledge/coordination/fleet_agent.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hyssopledge::coordination {

using state::time_point;

fleet_agent::fleet_agent(fleet_agent_options Options, fleet_agent_hooks Hooks,
                         const operator_dialect &Dialect,
                         platform_store &Platform, peer_transport &Peers,
                         state::timer_service &Timers, fleet_agent_pace Pace)
    : Options(std::move(Options)), Hooks(std::move(Hooks)), Dialect(Dialect),
      Platform(Platform), Peers(Peers), Timers(Timers), Pace(Pace),
      Random(this->Options.Seed), Alive(std::make_shared<bool>(true)) {
  Self.Instance = this->Options.Instance;
  Self.Incarnation = this->Options.Incarnation;
  Self.Revision = 1;
  Self.DataCentre = this->Options.DataCentre;
  Self.CallAddress = this->Options.CallAddress;
  Self.ControlAddress = this->Options.ControlAddress;
}

fleet_agent::~fleet_agent() { *Alive = false; }

void fleet_agent::start() {
  StartedAt = Timers.now();
  Directory.merge(Self);
  NextRegister = StartedAt + Pace.RegisterPatience;
  NextFollow = StartedAt + Pace.InputPatience;
  readMembers(true);
  Tick = Timers.every(Pace.Tick, [this](time_point Now) { tick(Now); });
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
  Peers.send(ControlAddress, encodePeerMessage(Message));
}

void fleet_agent::broadcast(const peer_message &Message) {
  const std::string Datagram = encodePeerMessage(Message);
  for (const auto &[Name, Member] : Directory.members())
    if (Name != Options.Instance && !Member.Left)
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
  // A restarted daemon may find no peer that heard of the change.
  if (Changed && (Registered || MembersAsked))
    registerSelf();
}

void fleet_agent::leave(bool ForGood) {
  Leaving = true;
  Self.Left = ForGood;
  Self.Upstream.Answering = false;
  announceSelf();
  if (ForGood && Lease != 0)
    Platform.revokeLease(Lease, [](const state::result<bool> &) {});
  stopFollowing();
}

void fleet_agent::sendRecords(const std::string &ControlAddress) {
  // After a failure of the whole fleet all ask and nobody knows more than its
  // own record.
  if (!Synced)
    return sendOwnRecord(ControlAddress);
  peer_message All = message(peer_message_kind::Records);
  for (const auto &[Name, Member] : Directory.members())
    All.Members.push_back(Member);
  for (const auto &[Name, Rollout] : Directory.rollouts())
    All.Rollouts.push_back(Rollout);
  for (const peer_message &Part : splitRecords(All))
    sendTo(ControlAddress, Part);
}

void fleet_agent::sendOwnRecord(const std::string &ControlAddress) {
  peer_message Own = message(peer_message_kind::Records);
  Own.Members.push_back(Self);
  sendTo(ControlAddress, Own);
}

/// Sender is the member that sent them; empty: they are the platform's.
void fleet_agent::mergeMembers(const std::vector<member_record> &Records,
                               const std::string &Sender) {
  bool Changed = false;
  for (const member_record &Record : Records) {
    if (Record.Instance == Options.Instance) {
      if (Record.Incarnation != Self.Incarnation)
        noteFormer(Record.Upstream);
      // The time of day went back, or another process has this name: the
      // others would ignore this daemon's records.
      if (Record.Incarnation > Self.Incarnation) {
        Self.Incarnation = Record.Incarnation + 1;
        announceSelf();
      }
      continue;
    }
    const member_record *Known = Directory.find(Record.Instance);
    const bool Started =
        Known == nullptr || Known->Incarnation < Record.Incarnation;
    // After a failure of the whole fleet nobody can tell it of the others.
    if (Started && !Synced && Announced && Record.Instance == Sender)
      sendOwnRecord(Record.ControlAddress);
    const bool Restarted = Known != nullptr && Started &&
                           Record.Upstream.State == upstream_state::None;
    if (Restarted && Known->Upstream.State != upstream_state::None) {
      // It may not know that its upstream has left.
      peer_message Former = message(peer_message_kind::Records);
      Former.Members.push_back(*Known);
      sendTo(Record.ControlAddress, Former);
    }
    if (Directory.merge(Record))
      Changed = true;
  }
  if (Changed && Hooks.OnDirectoryChanged)
    Hooks.OnDirectoryChanged();
}

/// Some members may not have heard of the latest state.
void fleet_agent::noteFormer(const upstream_record &Upstream) {
  const auto Age = [](const upstream_record &U) {
    return std::make_tuple(U.StartUnixMs, U.State, U.Sequence);
  };
  if (Upstream.State == upstream_state::None ||
      (FormerUpstream && Age(*FormerUpstream) >= Age(Upstream)))
    return;
  FormerUpstream = Upstream;
  if (Hooks.OnFormerUpstream)
    Hooks.OnFormerUpstream(Upstream);
}

/// Puts this daemon's record under a lease. A record of an earlier start is
/// read before it is replaced, since it may tell of an upstream that has left.
void fleet_agent::registerSelf() {
  NextRegister = Timers.now() + std::chrono::seconds(2);
  if (Lease != 0)
    return putSelf();
  Platform.grantLease(
      Pace.MemberLease,
      [this, Alive = Alive](const state::result<std::int64_t> &Granted) {
        if (!*Alive)
          return;
        if (Granted.has_error()) {
          RecordChanged = true;
          log("register_failed", "reason=\"" + Granted.error().text() + "\"");
          return;
        }
        Lease = Granted.value();
        putSelf();
      });
}

void fleet_agent::putSelf() {
  RecordChanged = false;
  const std::string Key = Dialect.membersPrefix() + Options.Instance;
  platform_txn Txn;
  if (!FormerRead)
    Txn.Conditions.push_back({Key, 0});
  Txn.Puts.push_back({Key, encodeMember(Self), Lease});
  Platform.commit(
      std::move(Txn), [this, Alive = Alive,
                       Key](const state::result<platform_txn_result> &Result) {
        if (!*Alive)
          return;
        if (Result.has_error()) {
          // The lease may have ended.
          if (Result.error().is(state::errc::NotFound))
            Lease = 0;
          RecordChanged = true;
          log("register_failed", "reason=\"" + Result.error().text() + "\"");
          return;
        }
        if (!Result.value().Succeeded)
          return readFormer(Key);
        FormerRead = true;
        Registered = true;
        NextRegister = Timers.now() + Pace.MemberRenewal;
        // Whoever registered before is seen now, and the others see this one.
        if (!MembersRead)
          readMembers(false);
      });
}

void fleet_agent::readFormer(const std::string &Key) {
  Platform.get(Key, false,
               [this, Alive = Alive](const state::result<platform_read> &Read) {
                 if (!*Alive || Read.has_error())
                   return;
                 FormerRead = true;
                 for (const platform_entry &Entry : Read.value().Entries)
                   if (auto Record = decodeMember(Entry.Value);
                       Record.has_value())
                     mergeMembers({Record.value()}, "");
                 putSelf();
               });
}

void fleet_agent::renewRegistration() {
  NextRegister = Timers.now() + std::chrono::seconds(5);
  Platform.keepAlive(
      Lease,
      [this, Alive = Alive](const state::result<std::chrono::seconds> &Result) {
        if (!*Alive)
          return;
        if (!Result.has_error()) {
          NextRegister = Timers.now() + Pace.MemberRenewal;
          return;
        }
        if (Result.error().is(state::errc::NotFound)) {
          Lease = 0;
          Registered = false;
          NextRegister = {};
        }
      });
}

void fleet_agent::readMembers(bool AllowStale) {
  NextMembers = Timers.now() + std::chrono::seconds(2);
  const auto Handler = [this, Alive = Alive,
                        AllowStale](const state::result<platform_read> &Read) {
    if (!*Alive)
      return;
    MembersAsked = true;
    if (Read.has_error())
      return log("members_read_failed",
                 "reason=\"" + Read.error().text() + "\"");
    onMembersRead(Read.value(), AllowStale);
  };
  if (AllowStale)
    Platform.getAllowStale(Dialect.membersPrefix(), true, Handler);
  else
    Platform.get(Dialect.membersPrefix(), true, Handler);
}

void fleet_agent::onMembersRead(const platform_read &Read, bool AllowStale) {
  std::vector<member_record> Records;
  for (const platform_entry &Entry : Read.Entries) {
    auto Record = decodeMember(Entry.Value);
    if (Record.has_error()) {
      log("member_ignored",
          "key=" + Entry.Key + " reason=\"" + Record.error().text() + "\"");
      continue;
    }
    const member_record &Own = Record.value();
    // The record of an earlier start still tells others where this daemon is.
    if (Own.Instance == Options.Instance && Entry.Lease != 0 &&
        Own.CallAddress == Options.CallAddress &&
        Own.ControlAddress == Options.ControlAddress && !Own.Left) {
      if (!Registered) {
        Lease = Entry.Lease;
        Registered = FormerRead = true;
        NextRegister = Timers.now() + Pace.MemberRenewal / 2;
      }
      MembersRead = true;
    }
    Records.push_back(std::move(Record.value()));
  }
  log("members_read", "count=" + std::to_string(Records.size()) +
                          " revision=" + std::to_string(Read.Revision) +
                          " maybe_old=" + std::to_string(AllowStale));
  mergeMembers(Records, "");
  MembersRead = MembersRead || !AllowStale;
  // The others may have read the members before this daemon was there, and an
  // earlier announcement found nobody.
  if (!AllowStale || Announced)
    announceSelf();
  NextSync = {};
  askForRecords(Timers.now());
}

//-----------------------------------------------------------------------------
// Records of the others at the start
//-----------------------------------------------------------------------------

/// The platform's records are older than what the members know of each other.
void fleet_agent::askForRecords(time_point Now) {
  if (Synced || Now < NextSync)
    return;
  NextSync = Now + Pace.SyncPause;
  std::vector<const member_record *> Near;
  std::vector<const member_record *> Others;
  for (const auto &[Name, Member] : Directory.members()) {
    if (Name == Options.Instance || Member.Left)
      continue;
    (Member.DataCentre == Options.DataCentre ? Near : Others)
        .push_back(&Member);
  }
  // Every other time somebody farther away, in case the near ones started with
  // this daemon.
  AskFar = !AskFar;
  const auto &Asked =
      (AskFar && !Others.empty()) || Near.empty() ? Others : Near;
  if (!Asked.empty())
    sendTo(Asked[state::uniformBelow(Random, Asked.size())]->ControlAddress,
           message(peer_message_kind::Sync));
}

void fleet_agent::onPart(const peer_message &Message) {
  if (Synced || Message.Parts == 0)
    return;
  auto &Seen = SyncParts[Message.From];
  Seen.insert(Message.Part);
  if (Seen.size() < Message.Parts)
    return;
  becomeSynced("records of another member");
  const member_record *Sender = Directory.find(Message.From);
  if (!Document && !Fetching && Sender != nullptr)
    fetchFrom(*Sender);
}

void fleet_agent::becomeSynced(const char *Why) {
  Synced = true;
  SyncParts.clear();
  log("synced",
      "members=" + std::to_string(Directory.size()) + " took_ms=" +
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             Timers.now() - StartedAt)
                             .count()) +
          " reason=\"" + Why + "\"");
  if (!Announced)
    announceSelf();
}

void fleet_agent::reportCrash(
    const std::vector<state::crash_sighting> &Sightings) {
  peer_message Message = message(peer_message_kind::Crash);
  Message.Sightings = Sightings;
  broadcast(Message);
  // A lost datagram would leave the request unknown at its receiver.
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
      // Kept for the case that this daemon becomes the coordinator.
      FirstSeen.emplace(std::make_pair(Record.Service, Record.OrderRevision),
                        Now);
    }
    if (Changed && Hooks.OnDirectoryChanged)
      Hooks.OnDirectoryChanged();
    return onPart(Message);
  }
  case peer_message_kind::Sync:
    return sendRecords(Message.ControlAddress);
  case peer_message_kind::Ping:
    return sendTo(Message.ControlAddress, message(peer_message_kind::Pong));
  case peer_message_kind::Pong:
    return;
  case peer_message_kind::Evidence:
    Evidence[Message.From] = {Message.Version, Message.OrderRevision,
                              Message.Counts};
    return;
  case peer_message_kind::Crash:
    if (Hooks.OnCrash)
      Hooks.OnCrash(Message.Sightings);
    return;
  }
}

//-----------------------------------------------------------------------------
// Relays
//-----------------------------------------------------------------------------

std::chrono::milliseconds fleet_agent::relaySilence() const {
  unsigned Before = 0;
  for (const auto &[Name, Member] : Directory.members()) {
    if (Name >= Options.Instance || Before > Pace.MaxRelayStaggers)
      break;
    Before += Member.DataCentre == Options.DataCentre && !Member.Left ? 1 : 0;
  }
  // The first of them is the relay that has gone silent.
  return Pace.RelaySilence + Pace.RelayStagger * (Before > 0 ? Before - 1 : 0);
}

/// Whether a daemon of this data centre that goes before this one is a relay.
bool fleet_agent::relayHeard(time_point Now, bool ReachingPlatform) const {
  const auto Silence = relaySilence();
  for (const auto &[Name, Beacon] : Beacons) {
    if (Name >= Options.Instance)
      break;
    if (Beacon.DataCentre == Options.DataCentre && Now - Beacon.At < Silence &&
        (!ReachingPlatform || Beacon.PlatformReached))
      return true;
  }
  return false;
}

bool fleet_agent::coordinating(time_point Now) const {
  if (!Relay || !PlatformReached)
    return false;
  for (const auto &[Name, Beacon] : Beacons) {
    if (Name >= Options.Instance)
      break;
    if (Now - Beacon.At < Pace.RelaySilence && Beacon.PlatformReached)
      return false;
  }
  return true;
}

void fleet_agent::tick(time_point Now) {
  if (Leaving)
    return;
  // A daemon with a lower name that has just started is heard within this time.
  bool Waits = false;
  for (const auto &[Name, Member] : Directory.members()) {
    if (Name >= Options.Instance)
      break;
    Waits = Waits || (Member.DataCentre == Options.DataCentre && !Member.Left);
  }
  const bool Settled =
      (MembersRead && !Waits) || Now - StartedAt >= relaySilence();
  const bool WasRelay = Relay;
  const bool MustFollow = Settled && !relayHeard(Now, true);
  Relay = Settled && (MustFollow || !relayHeard(Now, false));
  if (Relay != WasRelay)
    log(Relay ? "relay_begins" : "relay_ends",
        "data_centre=" + Options.DataCentre);
  if (MustFollow && !Following &&
      (Now >= NextFollow || (!Document && !InputRead)))
    follow();
  else if (!MustFollow && Following)
    stopFollowing();
  if (!Document && !ReadingInput && Now >= NextFollow)
    readInput(true);
  if ((!Registered || RecordChanged) && Now >= NextRegister)
    registerSelf();
  else if (Registered && Now >= NextRegister)
    renewRegistration();
  if (!MembersRead && Now >= NextMembers)
    readMembers(!Registered);
  askForRecords(Now);
  if (!Synced && Now - StartedAt >= Pace.SyncPatience)
    becomeSynced("nobody answered");
  if (Relay)
    sendBeacons(Now, false);
  fetchNewer(Now);
  sendEvidence(Now);
  if (coordinating(Now))
    steerRollouts(Now);
}

void fleet_agent::sendBeacons(time_point Now, bool Always) {
  const bool Near = Always || Now - LastNear >= Pace.BeaconNear;
  const bool Far = Now - LastFar >= Pace.BeaconFar;
  if (!Near && !Far)
    return;
  if (Near)
    LastNear = Now;
  if (Far)
    LastFar = Now;
  peer_message Message = message(peer_message_kind::Beacon);
  Message.DataCentre = Options.DataCentre;
  Message.PlatformReached = PlatformReached;
  Message.DocumentVersion = Document ? Document->version() : 0;
  Message.Digest = Directory.digest();
  const std::string Datagram = encodePeerMessage(Message);
  for (const auto &[Name, Member] : Directory.members()) {
    if (Name == Options.Instance || Member.Left)
      continue;
    if (Member.DataCentre == Options.DataCentre ? Near : Far)
      Peers.send(Member.ControlAddress, Datagram);
  }
}

void fleet_agent::onBeacon(const peer_message &Message, time_point Now) {
  beacon &Beacon = Beacons[Message.From];
  // A change on its way makes digests differ for a moment; only a difference
  // that stays is repaired.
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
  fetchNewer(Now);
}

//-----------------------------------------------------------------------------
// Document
//-----------------------------------------------------------------------------

void fleet_agent::follow() {
  Following = true;
  readInput(false);
}

void fleet_agent::stopFollowing() {
  Following = false;
  PlatformReached = false;
  ++FollowEpoch;
  Watch.reset();
}

void fleet_agent::followFailed(const std::string &Why) {
  if (PlatformReached)
    log("platform_lost", "reason=\"" + Why + "\"");
  stopFollowing();
  NextFollow = Timers.now() + Pace.RetryPause;
}

/// Reads all that operators wrote, then watches when this daemon follows.
void fleet_agent::readInput(bool AllowStale) {
  ReadingInput = InputRead = true;
  const std::uint64_t Epoch = ++FollowEpoch;
  const auto Handler = [this, Alive = Alive,
                        Epoch](const state::result<platform_read> &Read) {
    if (!*Alive)
      return;
    ReadingInput = false;
    if (Read.has_error()) {
      if (Epoch == FollowEpoch)
        followFailed(Read.error().text());
      return;
    }
    NextFollow = Timers.now() + Pace.RetryPause;
    for (const platform_entry &Entry : Read.value().Entries)
      onInput(Entry);
    if (!Following || Epoch != FollowEpoch)
      return;
    if (!std::exchange(PlatformReached, true)) {
      log("platform_reached",
          "revision=" + std::to_string(Read.value().Revision));
      // Those that would take over next need not.
      sendBeacons(Timers.now(), true);
    }
    readStatuses();
    watchInput(Read.value().Revision);
  };
  if (AllowStale)
    Platform.getAllowStale(Dialect.inputPrefix(), true, Handler);
  else
    Platform.get(Dialect.inputPrefix(), true, Handler);
}

void fleet_agent::watchInput(std::int64_t After) {
  const std::uint64_t Epoch = FollowEpoch;
  Watch = Platform.watch(
      Dialect.inputPrefix(), true, After + 1,
      [this, Alive = Alive,
       Epoch](const state::result<std::vector<platform_event>> &Events) {
        if (!*Alive || Epoch != FollowEpoch || !Following)
          return;
        if (Events.has_error())
          return followFailed(Events.error().text());
        for (const platform_event &Event : Events.value())
          if (!Event.Deleted)
            onInput(Event.Entry);
      });
}

void fleet_agent::onInput(const platform_entry &Entry) {
  if (Entry.Key == Dialect.documentKey()) {
    if (applyDocument(Entry.Value, "platform") && Relay)
      sendBeacons(Timers.now(), true);
  } else if (Dialect.isOrderKey(Entry.Key)) {
    onOrder(Entry);
  }
}

bool fleet_agent::applyDocument(const std::string &Text, const char *Source) {
  auto Read = Dialect.parseDocument(Text);
  if (Read.has_error()) {
    log("document_refused", std::string("source=") + Source + " reason=\"" +
                                Read.error().text() + "\"");
    return false;
  }
  const auto &Table = Read.value();
  if (Document && Table->version() <= Document->version())
    return false;
  log("document_in_force",
      "version=" + std::to_string(Table->version()) +
          " former=" + std::to_string(Document ? Document->version() : 0) +
          " source=" + Source +
          " routes=" + std::to_string(Table->source().Routes.size()));
  Document = Table;
  DocumentText = Text;
  if (Hooks.OnDocument)
    Hooks.OnDocument(Document);
  return true;
}

/// Fetches a newer document from the relay that told of it.
void fleet_agent::fetchNewer(time_point Now) {
  const std::uint64_t Own = Document ? Document->version() : 0;
  const member_record *Source = nullptr;
  std::uint64_t Newest = Own;
  for (const auto &[Name, Beacon] : Beacons) {
    const member_record *Member = Directory.find(Name);
    const bool Near = Beacon.DataCentre == Options.DataCentre;
    if (Member == nullptr || Now - Beacon.At > Pace.RelaySilence)
      continue;
    if (Beacon.DocumentVersion > Newest ||
        (Near && Beacon.DocumentVersion == Newest && Newest > Own)) {
      Newest = Beacon.DocumentVersion;
      Source = Member;
    }
  }
  if (Source == nullptr) {
    BehindSince = {};
    return;
  }
  if (BehindSince == time_point{})
    BehindSince = Now;
  if (Now - BehindSince > Pace.FetchPatience && !ReadingInput &&
      Now >= NextFollow && !Following) {
    NextFollow = Now + Pace.RetryPause;
    readInput(false);
  }
  // The channel ends every fetch by its own time-out.
  if (!Fetching && Now - FetchingSince >= Pace.FetchPause)
    fetchFrom(*Source);
}

void fleet_agent::fetchFrom(const member_record &Source) {
  Fetching = true;
  FetchingSince = Timers.now();
  Peers.fetchDocument(
      Source.CallAddress,
      [this, Alive = Alive](const state::result<std::string> &Text) {
        if (!*Alive)
          return;
        Fetching = false;
        if (Text.has_error()) {
          log("document_fetch_failed",
              "reason=\"" + Text.error().text() + "\"");
          return;
        }
        if (applyDocument(Text.value(), "peer"))
          BehindSince = {};
      });
}

} // namespace hyssopledge::coordination
