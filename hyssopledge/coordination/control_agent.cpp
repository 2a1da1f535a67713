#include "hyssopledge/coordination/control_agent.h"

#include "hyssopledge/coordination/keys.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace hyssopledge::coordination {

using state::errc;
using state::time_point;

namespace {

constexpr unsigned NotifiedPeers = 4;

membership_options membershipOptions(const control_agent_options &Options) {
  membership_options Out;
  Out.Environment = Options.Environment;
  Out.ProtocolPeriod = Options.ProbeInterval;
  Out.Self.set_instance(Options.Instance);
  Out.Self.set_data_centre(Options.DataCentre);
  Out.Self.set_gossip_address(Options.GossipAddress);
  Out.Self.set_control_address(Options.ControlAddress);
  Out.Self.set_data_address(Options.DataAddress);
  return Out;
}

distribution_options distributionOptions(const control_agent_options &Options) {
  distribution_options Out;
  Out.Environment = Options.Environment;
  return Out;
}

} // namespace

control_agent::control_agent(control_agent_options NewOptions,
                             control_agent_hooks NewHooks,
                             control_transport &Transport,
                             platform_store &Platform, clock NewClock,
                             wall_clock NewWallClock)
    : Options(std::move(NewOptions)), Hooks(std::move(NewHooks)),
      Transport(Transport), Platform(Platform), Clock(std::move(NewClock)),
      WallClock(std::move(NewWallClock)), Random(Options.Seed),
      Store(Options.Instance),
      Members(membershipOptions(Options), Store, Random),
      Documents(distributionOptions(Options), Gate, Cache, Budget, Random,
                [this](std::size_t Count) { return fetchPeers(Count); }),
      Holder(Random), Grantor({}, Random),
      Aggregator(Options.Instance, static_cast<std::uint64_t>(WallClock())),
      ReportSequence(static_cast<std::uint64_t>(WallClock())) {
  for (unsigned I = 0; I < RelaySeats; ++I)
    makeSeat(I, "relay/" + Options.DataCentre + "/" + std::to_string(I),
             keys::relaySeat(Options.Environment, Options.DataCentre, I));
  makeSeat(CoordinatorSeat, "coordinator",
           keys::coordinatorSeat(Options.Environment));
}

void control_agent::makeSeat(unsigned Index, const std::string &Name,
                             const std::string &Key) {
  announced_seat &Seat = Seats[Index];
  Seat.Name = Name;
  control::seat Value;
  Value.set_name(Name);
  Value.set_instance(Options.Instance);
  Value.set_control_address(Options.ControlAddress);
  seat_options SeatOptions;
  SeatOptions.Key = Key;
  SeatOptions.Value = Value.SerializeAsString();
  Seat.Seat = std::make_unique<seat>(SeatOptions, Random);
  Seat.Runner = std::make_unique<seat_runner>(Platform, *Seat.Seat, Clock);
}

control_agent::~control_agent() = default;

void control_agent::log(const std::string &Line) const {
  if (Hooks.OnLog)
    Hooks.OnLog(Line);
}

//-----------------------------------------------------------------------------
// Program
//-----------------------------------------------------------------------------

void control_agent::start() {
  const time_point Now = Clock();
  Started = true;
  StartedAt = Now;
  Contacts = Options.BootstrapPeers;
  std::erase(Contacts, Options.ControlAddress);
  std::shuffle(Contacts.begin(), Contacts.end(), Random);
  NextHeadRead = Now + randomBetween(Random, std::chrono::milliseconds(0),
                                     Options.MaxStartDelay);
  NextSeatsRead = NextHeadRead;
  // The clock's epoch is arbitrary, so the first time is set relative to it.
  NextSync = Now + randomBetween(Random, std::chrono::milliseconds(0),
                                 Options.ProbeInterval / 5);
}

void control_agent::leave() {
  Leaving = true;
  for (announced_seat &Seat : Seats) {
    Seat.Seat->setEligible(false);
    Seat.Runner->onTick(Clock());
  }
  if (Members.started())
    sendAll(Members.leave(Clock()));
}

void control_agent::setTargets(const std::vector<control::target> &Targets) {
  Members.setTargets(Clock(), Targets);
  afterMerge("");
}

state::result<bool>
control_agent::publish(const control::gossip_record &Record) {
  auto Merged = Store.mergeRecord(Clock(), Record);
  if (!Merged)
    return Merged;
  // Directives and votes stop calls to bad versions, so they are sent without
  // waiting for the next probe.
  if (Merged.value() && Members.started())
    sendAll(Members.notify(Clock(), NotifiedPeers));
  afterMerge("");
  return Merged;
}

bool control_agent::holdsRelaySeat() const {
  const time_point Now = Clock();
  return std::any_of(
      Seats.begin(), Seats.begin() + RelaySeats,
      [Now](const auto &Seat) { return Seat.Seat->heldAt(Now); });
}

control::convergence control_agent::convergence() const {
  return Tracker.convergence(Clock(), WallClock());
}

std::string control_agent::status() const {
  const time_point Now = Clock();
  nlohmann::json Json = {{"instance", Options.Instance},
                         {"environment", Options.Environment},
                         {"incarnation", Members.self().incarnation()},
                         {"version", appliedVersion()},
                         {"known_version", Documents.knownVersion()},
                         {"known_refused", Documents.knownHeadRefused()},
                         {"members", Store.members().size()},
                         {"reachable", Members.reachableCount(Now)},
                         {"lease",
                          {{"valid", Holder.validAt(Now)},
                           {"level", Holder.level()},
                           {"remaining_ms", Holder.remaining(Now).count()}}},
                         {"platform", PlatformDown ? "down" : "up"}};
  Json["floor"] =
      Gate.floor() ? nlohmann::json(*Gate.floor()) : nlohmann::json(nullptr);
  Json["seats"] = nlohmann::json::array();
  for (const announced_seat &Seat : Seats)
    if (Seat.Seat->heldAt(Now))
      Json["seats"].push_back(Seat.Name);
  const control::convergence Convergence = convergence();
  Json["in_force_everywhere"] = Convergence.in_force_everywhere();
  Json["waiting_for"] = std::vector<std::string>(
      Convergence.waiting_for().begin(), Convergence.waiting_for().end());
  return Json.dump();
}

//-----------------------------------------------------------------------------
// Gossip
//-----------------------------------------------------------------------------

void control_agent::sendAll(const std::vector<outgoing_packet> &Packets) {
  for (const outgoing_packet &Packet : Packets)
    Transport.send(Packet.Address, Packet.Packet);
}

void control_agent::onTick() {
  if (!Started)
    return;
  const time_point Now = Clock();
  sendAll(Members.onTick(Now));
  afterMerge("");
  if (Leaving)
    return;
  tickStart(Now);
  tickPlatform(Now);
  tickSeats(Now);
  tickLevels(Now);
  execute(Documents.onTick(Now));
  tickRenewal(Now);
  tickReports(Now);
  tickAllMembersKnown(Now);
  Tracker.onTick(Now);
}

void control_agent::onPacket(const control::gossip_packet &Packet) {
  if (!Started || !Members.started())
    return;
  const time_point Now = Clock();
  auto Replies = Members.onPacket(Now, Packet);
  if (!Replies) {
    log("event=packet_refused from=" + Packet.from_instance() + " reason=\"" +
        Replies.error().text() + "\"");
    return;
  }
  afterMerge(Packet.from_instance());
  sendAll(Replies.value());
  // The sender knows a newer head that may no longer be in its queue. It adds
  // the head to its reply to a ping from a daemon with an older version.
  if (Packet.known_version() > Documents.knownVersion())
    sendAll(Members.ping(Now, Packet.from_address(), Packet.from_instance()));
}

void control_agent::afterMerge(const std::string &Sender) {
  const std::vector<std::string> Changed = Members.takeChanged();
  const time_point Now = Clock();
  if (!Changed.empty()) {
    std::vector<control::member> List;
    for (const std::string &Instance : Changed) {
      const control::member *Member = Store.findMember(Instance);
      if (Member == nullptr)
        continue;
      Tracker.onMember(Now, *Member);
      List.push_back(*Member);
      if (Member->status() != control::MEMBER_DEAD &&
          Member->status() != control::MEMBER_LEFT)
        continue;
      // Makes the seat available before its holder's record expires.
      for (announced_seat &Seat : Seats) {
        const control::gossip_record *Record =
            Store.findRecord(control::RECORD_SEAT, Seat.Name);
        control::seat Value;
        if (Record != nullptr && Value.ParseFromString(Record->payload()) &&
            Value.instance() == Instance)
          Seat.Seat->onHolderGone(Now);
      }
    }
    Gate.onKnownPeers(Store.liveCount() - (Members.started() ? 1 : 0));
    if (Hooks.OnMembers)
      Hooks.OnMembers(List);
  }
  for (const control::gossip_record &Record : Store.takeChangedRecords())
    onChangedRecord(Record, Sender);
}

void control_agent::onChangedRecord(const control::gossip_record &Record,
                                    const std::string &Sender) {
  switch (Record.kind()) {
  case control::RECORD_HEAD: {
    control::head Head;
    if (Head.ParseFromString(Record.payload()))
      onHead(Head, Sender);
    return;
  }
  case control::RECORD_SEAT: {
    control::seat Value;
    for (announced_seat &Seat : Seats)
      if (Seat.Name == Record.key() &&
          Value.ParseFromString(Record.payload()) &&
          Value.instance() != Options.Instance)
        Seat.Seat->onHolderSeen(Clock());
    break;
  }
  case control::RECORD_CONFIRMATION:
    return;
  default:
    break;
  }
  if (Hooks.OnRecord)
    Hooks.OnRecord(Record);
}

//-----------------------------------------------------------------------------
// Documents
//-----------------------------------------------------------------------------

void control_agent::onHead(const control::head &Head,
                           const std::string &Sender) {
  const std::uint64_t Before = Documents.knownVersion();
  auto Actions = Documents.onHead(Clock(), Head, Sender);
  if (!Actions) {
    log("event=head_refused teller=" + Sender + " reason=\"" +
        Actions.error().text() + "\"");
    return;
  }
  if (Documents.knownVersion() > Before) {
    Tracker.onHead(Clock(), Head);
    refreshVersions();
    control::gossip_record Record;
    Record.set_kind(control::RECORD_HEAD);
    Record.set_key(Options.Environment);
    Record.set_revision(Head.version());
    Record.set_payload(Head.SerializeAsString());
    (void)Store.mergeRecord(Clock(), Record);
    Members.setHead(Record);
  }
  execute(Actions.value());
}

void control_agent::execute(const distribution::actions &Actions) {
  for (const distribution_action &Action : Actions) {
    switch (Action.Kind) {
    case distribution_action::kind::FetchFromPeer: {
      control::fetch_request Request;
      Request.set_environment(Options.Environment);
      for (const std::string &Hash : Action.Hashes)
        Request.add_hashes(Hash);
      const std::string Address = controlAddress(Action.Peer);
      auto OnResponse =
          guarded([this, FetchId = Action.FetchId](
                      const state::result<control::fetch_response> &Response) {
            if (!Response)
              return execute(
                  Documents.onFetched(Clock(), FetchId, Response.error()));
            distribution::parts Parts;
            for (const auto &Part : Response.value().parts())
              Parts.emplace_back(Part.hash(), Part.data());
            execute(Documents.onFetched(Clock(), FetchId, Parts));
          });
      if (Address.empty())
        OnResponse(state::failure(
            errc::NotFound, "no control address is known for " + Action.Peer));
      else
        Transport.fetch(Address, Request, OnResponse);
      break;
    }
    case distribution_action::kind::FetchFromPlatform:
      fetchFromPlatform(Action.FetchId, Action.Hashes);
      break;
    case distribution_action::kind::InForce:
      onDocumentApplied(Action);
      break;
    case distribution_action::kind::Refused:
      log("event=document_refused version=" +
          std::to_string(Action.Head.version()) + " reason=\"" +
          Action.Failure.text() + "\"");
      break;
    }
  }
}

void control_agent::onDocumentApplied(const distribution_action &Action) {
  const time_point Now = Clock();
  Applied.store(Action.Snapshot->Version, std::memory_order_release);
  Grantor.onSpec(Action.Snapshot->Document.Lease);
  Tracker.onSpec(Action.Snapshot->Document.Lease);
  refreshVersions();
  if (Hooks.OnSnapshot)
    Hooks.OnSnapshot(Action.Snapshot);
  log("event=in_force version=" + std::to_string(Action.Snapshot->Version));
  if (Members.started())
    sendAll(Members.notify(Now, NotifiedPeers));
  HasAcknowledgement = true;
  // Spreads the acknowledgements, since the members of a data centre report to
  // the same two relays.
  NextAcknowledgement =
      Now + randomBetween(Random, std::chrono::milliseconds(0),
                          std::chrono::milliseconds(500));
}

void control_agent::refreshVersions() {
  Members.setVersions(appliedVersion(), Documents.knownVersion());
}

std::string control_agent::controlAddress(const std::string &Instance) const {
  const control::member *Member = Store.findMember(Instance);
  return Member == nullptr ? "" : Member->control_address();
}

std::vector<std::string> control_agent::fetchPeers(std::size_t Count) {
  std::vector<std::string> Peers;
  // Relays of the own data centre receive new versions first.
  for (const announced_seat &Seat : Seats) {
    const control::gossip_record *Record =
        Store.findRecord(control::RECORD_SEAT, Seat.Name);
    control::seat Value;
    if (Record != nullptr && Value.ParseFromString(Record->payload()) &&
        Value.instance() != Options.Instance && Peers.size() < Count)
      Peers.push_back(Value.instance());
  }
  for (const control::member &Member : Members.randomMembers(Count))
    if (Peers.size() < Count &&
        std::find(Peers.begin(), Peers.end(), Member.instance()) == Peers.end())
      Peers.push_back(Member.instance());
  return Peers;
}

//-----------------------------------------------------------------------------
// Members
//-----------------------------------------------------------------------------

std::set<std::string> control_agent::liveAddresses() const {
  std::set<std::string> Addresses;
  for (const auto &[Instance, Entry] : Store.members())
    if (Entry.Member.status() == control::MEMBER_ALIVE)
      Addresses.insert(Entry.Member.control_address());
  return Addresses;
}

bool control_agent::knownToFleet() const {
  if (holdsRelaySeat() || Tracker.allMembersKnown())
    return true;
  const std::set<std::string> Known = liveAddresses();
  return std::any_of(
      SeatHolders.begin(), SeatHolders.end(),
      [&Known](const std::string &Holder) { return Known.contains(Holder); });
}

std::vector<std::string> control_agent::relayAddresses() const {
  std::vector<std::string> LocalRelays;
  std::vector<std::string> RemoteRelays;
  const std::string OwnPrefix = "relay/" + Options.DataCentre + "/";
  for (const auto &[Key, Entry] : Store.records()) {
    control::seat Value;
    if (Key.first != control::RECORD_SEAT ||
        !Key.second.starts_with("relay/") ||
        !Value.ParseFromString(Entry.Record.payload()))
      continue;
    const control::member *Member = Store.findMember(Value.instance());
    if (Member == nullptr || Member->status() != control::MEMBER_ALIVE)
      continue;
    (Key.second.starts_with(OwnPrefix) ? LocalRelays : RemoteRelays)
        .push_back(Member->control_address());
  }
  return LocalRelays.empty() ? RemoteRelays : LocalRelays;
}

//-----------------------------------------------------------------------------
// Calls of other daemons
//-----------------------------------------------------------------------------

control::fetch_response
control_agent::onFetch(const control::fetch_request &Request) {
  return Documents.serve(Request);
}

control::sync_response
control_agent::onSync(const control::sync_request &Request) {
  control::sync_response Response;
  if (!Started || Request.environment() != Options.Environment)
    return Response;
  // Read before the merge, which would record the caller's own record as known.
  const instance_history History =
      Store.instanceHistory(Request.from_instance());
  auto Merged =
      Store.merge(Clock(), Request.members(), Request.records(), true);
  if (!Merged)
    log("event=sync_refused from=" + Request.from_instance() + " reason=\"" +
        Merged.error().text() + "\"");
  Members.onMerged(Clock());
  afterMerge(Request.from_instance());
  Store.exportAll(Clock(), Response.mutable_members(),
                  Response.mutable_records());
  Response.set_callers_applied_version(History.AppliedVersion);
  Response.set_callers_incarnation(History.Incarnation);
  Response.set_known_version(Documents.knownVersion());
  Response.set_callee_joined(Tracker.allMembersKnown());
  Response.set_callee_ready(Gate.floor().has_value() &&
                            Documents.knownVersion() > 0);
  return Response;
}

control::renew_response
control_agent::onRenew(const control::renew_request &Request) {
  const time_point Now = Clock();
  grant_context Context;
  Context.AppliedVersion = appliedVersion();
  Context.KnownVersion = Documents.knownVersion();
  Context.KnownHeadRefused = Documents.knownHeadRefused();
  Context.MajorityReachable = Members.majorityReachable(Now);
  Context.PlatformDown = PlatformDown;
  Context.KnownToFleet = knownToFleet();
  const control::gossip_record *Record =
      Store.findRecord(control::RECORD_CONFIRMATION, Options.Environment);
  control::confirmation Confirmation;
  if (Record != nullptr && Confirmation.ParseFromString(Record->payload()))
    Context.ConfirmedVersion = Confirmation.head_version();
  const control::member *Member = Store.findMember(Request.instance());
  if (Member != nullptr) {
    Context.RememberedLevel = Member->lease_level();
    Context.LeftCleanly = Member->status() == control::MEMBER_LEFT;
  }
  if (Request.environment() != Options.Environment || !ready()) {
    control::renew_response Response;
    Response.set_reason("not ready");
    Response.set_retry_after_ms(1000);
    return Response;
  }
  // A grant requires a recent read of the head; the read started here serves
  // the caller's next attempt.
  if (!Grantor.hasRecentConfirmation(Now) && Now >= NextHeadRead)
    readHead(false);
  Store.recordAppliedVersion(Request.instance(), Request.applied_version());
  return Grantor.onRequest(Now, Request, Context);
}

control::report_response
control_agent::onReport(const control::report_request &Request) {
  control::report_response Response;
  if (Request.environment() != Options.Environment)
    return Response;
  Response.set_accepted(true);
  // Reports of single members are aggregated first, also at the collector.
  if (Request.aggregated())
    trackReport(Request);
  else
    addReport(Request);
  return Response;
}

} // namespace hyssopledge::coordination
