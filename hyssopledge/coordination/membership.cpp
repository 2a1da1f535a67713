#include "hyssopledge/coordination/membership.h"

#include "hyssopledge/coordination/jitter.h"

#include <algorithm>
#include <utility>

namespace hyssopledge::coordination {

using state::errc;
using state::failure;
using state::time_point;

namespace {

bool isLive(const control::member &Member) {
  return Member.status() == control::MEMBER_ALIVE ||
         Member.status() == control::MEMBER_SUSPECT;
}

constexpr std::size_t MaxRelayedProbes = 256;
// Lower bound of the interval between probes of dead members.
constexpr unsigned MinDeadRetryPeriods = 2;
// If the inbound direction of a daemon's network fails, all its probes fail.
// The first failures without any received packet therefore raise no suspicion.
constexpr unsigned MaxIgnoredProbeFailures = 3;

} // namespace

membership::membership(membership_options Options, gossip_store &Store,
                       state::random_engine &Random)
    : Options(std::move(Options)), Store(Store), Random(Random) {}

void membership::start(time_point Now, std::uint64_t IncarnationHint) {
  Started = true;
  Options.Self.set_incarnation(
      std::max(IncarnationHint,
               Store.instanceHistory(Options.Self.instance()).Incarnation + 1));
  Options.Self.set_revision(1);
  Options.Self.set_status(control::MEMBER_ALIVE);
  publishSelf(Now);
  LastTick = Now;
  LastPacketAt = Now;
  // Random offset, so that daemons that start together do not probe in step.
  NextProbe =
      Now + scaled(Options.ProtocolPeriod, state::unitInterval(Random()));
  NextDeadRetry = Now + scaled(Options.ProtocolPeriod * MinDeadRetryPeriods,
                               0.5 + state::unitInterval(Random()));
  processChanges(Now);
}

void membership::publishSelf(time_point Now) {
  Store.setSelf(Now, Options.Self);
}

void membership::setTargets(time_point Now,
                            const std::vector<control::target> &Targets) {
  Options.Self.clear_targets();
  for (const control::target &Target : Targets)
    *Options.Self.add_targets() = Target;
  if (!Started || Options.Self.status() == control::MEMBER_LEFT)
    return;
  Options.Self.set_revision(Options.Self.revision() + 1);
  publishSelf(Now);
}

void membership::setLeaseLevel(time_point Now, std::uint32_t Level) {
  if (Options.Self.lease_level() == Level)
    return;
  Options.Self.set_lease_level(Level);
  if (!Started || Options.Self.status() == control::MEMBER_LEFT)
    return;
  Options.Self.set_revision(Options.Self.revision() + 1);
  publishSelf(Now);
}

//-----------------------------------------------------------------------------
// Packets
//-----------------------------------------------------------------------------

control::gossip_packet
membership::makePacket(control::packet_kind Kind,
                       std::uint64_t PacketSequence) const {
  control::gossip_packet Packet;
  Packet.set_environment(Options.Environment);
  Packet.set_kind(Kind);
  Packet.set_sequence(PacketSequence);
  Packet.set_from_instance(Options.Self.instance());
  Packet.set_from_incarnation(Options.Self.incarnation());
  Packet.set_from_address(Options.Self.gossip_address());
  Packet.set_applied_version(AppliedVersion);
  Packet.set_known_version(KnownVersion);
  Packet.set_digest(Store.digest());
  return Packet;
}

outgoing_packet membership::completePacket(time_point Now,
                                           control::gossip_packet Packet,
                                           const std::string &Address,
                                           const std::string &Instance) {
  // A member that is not alive here must receive that record to refute it.
  const control::member *Receiver = Store.findMember(Instance);
  if (Receiver != nullptr && Receiver->status() != control::MEMBER_ALIVE)
    gossip_store::addMember(Packet, *Receiver);
  Store.fillPacket(Now, Packet);
  return {Address, std::move(Packet)};
}

state::result<std::vector<outgoing_packet>>
membership::onPacket(time_point Now, const control::gossip_packet &Packet) {
  if (Packet.environment() != Options.Environment)
    return failure(errc::InvalidMessage, "packet is for environment \"" +
                                             Packet.environment() + "\"");
  if (Packet.from_instance().empty() || Packet.from_address().empty() ||
      Packet.kind() == control::PACKET_UNSET ||
      !control::packet_kind_IsValid(Packet.kind()))
    return failure(errc::InvalidMessage,
                   "packet has no sender or an unknown kind");
  if (Packet.from_instance() == Options.Self.instance())
    return std::vector<outgoing_packet>{};
  auto Merged = Store.merge(Now, Packet.members(), Packet.records());
  if (!Merged)
    return Merged.error();
  Store.recordAppliedVersion(Packet.from_instance(), Packet.applied_version());
  LastPacketAt = Now;
  ProbesFailedSincePacket = 0;
  onMerged(Now);
  compareDigest(Packet);

  std::vector<outgoing_packet> Out;
  switch (Packet.kind()) {
  case control::PACKET_PING: {
    if (Options.Self.status() == control::MEMBER_LEFT)
      break;
    control::gossip_packet Reply =
        makePacket(control::PACKET_ACK, Packet.sequence());
    if (Packet.known_version() < KnownVersion && Head.revision() != 0)
      *Reply.add_records() = Head;
    // The sender may know no member and then cannot request a full sync.
    if (Packet.digest() != Store.digest())
      *Reply.add_members() = Options.Self;
    Out.push_back(completePacket(Now, std::move(Reply), Packet.from_address(),
                                 Packet.from_instance()));
    break;
  }
  case control::PACKET_PING_REQUEST: {
    const control::member *Subject = Store.findMember(Packet.subject());
    if (Subject == nullptr || Relayed.size() >= MaxRelayedProbes)
      break;
    Relayed[++Sequence] = {Packet.from_address(), Packet.sequence(),
                           Now + 2 * Options.ProtocolPeriod};
    Out.push_back(
        completePacket(Now, makePacket(control::PACKET_PING, Sequence),
                       Subject->gossip_address(), Subject->instance()));
    break;
  }
  case control::PACKET_ACK: {
    if (Probe && Probe->Sequence == Packet.sequence()) {
      Probe.reset();
      break;
    }
    auto Found = Relayed.find(Packet.sequence());
    if (Found == Relayed.end())
      break;
    Out.push_back(completePacket(
        Now, makePacket(control::PACKET_ACK, Found->second.OriginSequence),
        Found->second.OriginAddress, ""));
    Relayed.erase(Found);
    break;
  }
  default:
    break;
  }
  // A daemon that restarts while the platform is down learns of its peers only
  // by their probes; the reply to a ping contains the record of the peer.
  if (Store.findMember(Packet.from_instance()) == nullptr &&
      Now >= NextIntroduction) {
    NextIntroduction = Now + Options.ProtocolPeriod / 5;
    for (outgoing_packet &Ping :
         ping(Now, Packet.from_address(), Packet.from_instance()))
      Out.push_back(std::move(Ping));
  }
  return Out;
}

std::vector<outgoing_packet> membership::ping(time_point Now,
                                              const std::string &Address,
                                              const std::string &Instance) {
  return {completePacket(Now, makePacket(control::PACKET_PING, ++Sequence),
                         Address, Instance)};
}

std::vector<outgoing_packet> membership::notify(time_point Now,
                                                unsigned Count) {
  std::vector<outgoing_packet> Out;
  for (const control::member &Peer : randomMembers(Count))
    Out.push_back(completePacket(Now, makePacket(control::PACKET_NOTIFY, 0),
                                 Peer.gossip_address(), Peer.instance()));
  return Out;
}

std::vector<outgoing_packet> membership::leave(time_point Now) {
  if (Options.Self.status() != control::MEMBER_LEFT) {
    Options.Self.set_revision(Options.Self.revision() + 1);
    Options.Self.set_status(control::MEMBER_LEFT);
  }
  publishSelf(Now);
  return notify(Now, 4);
}

//-----------------------------------------------------------------------------
// Probes
//-----------------------------------------------------------------------------

std::vector<outgoing_packet> membership::onTick(time_point Now) {
  std::vector<outgoing_packet> Out;
  if (!Started || Options.Self.status() == control::MEMBER_LEFT)
    return Out;
  // After a pause of this process, replies may still wait in the socket, and
  // the elapsed time says nothing about the other members.
  if (Now - LastTick > 2 * Options.ProtocolPeriod) {
    Probe.reset();
    for (auto &[Instance, Since] : Suspects)
      Since = Now;
    LastPacketAt = std::max(LastPacketAt, Now - Options.ProtocolPeriod);
    NextProbe = Now + Options.ProtocolPeriod;
  }
  LastTick = Now;
  if (Now >= NextExpiry) {
    NextExpiry = Now + Options.ProtocolPeriod;
    Store.expire(Now);
  }
  std::erase_if(Relayed, [Now](const auto &Item) {
    return Item.second.ExpiresAt <= Now;
  });
  if (Probe && !Probe->Indirect &&
      Now >= Probe->SentAt + Options.ProtocolPeriod * 3 / 10) {
    Probe->Indirect = true;
    for (const control::member &Helper :
         randomMembers(Options.IndirectProbes)) {
      if (Helper.instance() == Probe->Instance)
        continue;
      control::gossip_packet Request =
          makePacket(control::PACKET_PING_REQUEST, Probe->Sequence);
      Request.set_subject(Probe->Instance);
      // The helper needs the subject's address and may not know it yet.
      if (const control::member *Subject = Store.findMember(Probe->Instance))
        gossip_store::addMember(Request, *Subject);
      Out.push_back(completePacket(Now, std::move(Request),
                                   Helper.gossip_address(), Helper.instance()));
    }
  }
  if (Now >= NextProbe) {
    if (Probe)
      onProbeFailed(Now);
    NextProbe = std::max(NextProbe + Options.ProtocolPeriod,
                         Now + Options.ProtocolPeriod / 2);
    probeNext(Now, Out);
  }
  expireSuspicions(Now);
  if (Now >= NextDeadRetry)
    probeDeadMember(Now, Out);
  processChanges(Now);
  return Out;
}

void membership::probeNext(time_point Now, std::vector<outgoing_packet> &Out) {
  // The second pass uses a new random order.
  for (int Pass = 0; Pass < 2; ++Pass) {
    while (NextInOrder < ProbeOrder.size()) {
      const std::string Instance = ProbeOrder[NextInOrder++];
      const control::member *Member = Store.findMember(Instance);
      if (Member == nullptr || !isLive(*Member))
        continue;
      Probe = probe{Instance, ++Sequence, Now, false};
      Out.push_back(completePacket(Now,
                                   makePacket(control::PACKET_PING, Sequence),
                                   Member->gossip_address(), Instance));
      return;
    }
    ProbeOrder.clear();
    InProbeOrder.clear();
    NextInOrder = 0;
    for (const auto &[Instance, Entry] : Store.members())
      if (Instance != Options.Self.instance() && isLive(Entry.Member))
        ProbeOrder.push_back(Instance);
    InProbeOrder.insert(ProbeOrder.begin(), ProbeOrder.end());
    std::shuffle(ProbeOrder.begin(), ProbeOrder.end(), Random);
  }
}

void membership::onProbeFailed(time_point Now) {
  const std::string Instance = Probe->Instance;
  Probe.reset();
  if (Now - LastPacketAt > 2 * Options.ProtocolPeriod &&
      ++ProbesFailedSincePacket <= MaxIgnoredProbeFailures)
    return;
  const control::member *Member = Store.findMember(Instance);
  if (Member != nullptr && Member->status() == control::MEMBER_ALIVE)
    Store.setStatus(Now, Instance, control::MEMBER_SUSPECT);
}

void membership::probeDeadMember(time_point Now,
                                 std::vector<outgoing_packet> &Out) {
  // All live members together probe about one dead member in each period.
  const auto Periods = static_cast<unsigned>(std::clamp<std::size_t>(
      Store.liveCount(), std::size_t{MinDeadRetryPeriods},
      Options.MaxDeadRetryPeriods));
  NextDeadRetry = Now + scaled(Options.ProtocolPeriod * Periods,
                               0.75 + 0.5 * state::unitInterval(Random()));
  const control::member *Chosen = nullptr;
  std::uint64_t Seen = 0;
  for (const auto &[Instance, Entry] : Store.members())
    if (Entry.Member.status() == control::MEMBER_DEAD &&
        state::uniformBelow(Random, ++Seen) == 0)
      Chosen = &Entry.Member;
  if (Chosen != nullptr)
    Out.push_back(completePacket(Now,
                                 makePacket(control::PACKET_PING, ++Sequence),
                                 Chosen->gossip_address(), Chosen->instance()));
}

void membership::expireSuspicions(time_point Now) {
  std::vector<std::string> Ended;
  for (const auto &[Instance, Since] : Suspects)
    if (Now >= Since + Options.ProtocolPeriod * Options.SuspicionPeriods)
      Ended.push_back(Instance);
  for (const std::string &Instance : Ended) {
    Suspects.erase(Instance);
    const control::member *Member = Store.findMember(Instance);
    if (Member != nullptr && Member->status() == control::MEMBER_SUSPECT)
      Store.setStatus(Now, Instance, control::MEMBER_DEAD);
  }
}

//-----------------------------------------------------------------------------
// Changes
//-----------------------------------------------------------------------------

void membership::onMerged(time_point Now) {
  refute(Now);
  processChanges(Now);
}

void membership::refute(time_point Now) {
  const control::member ConflictingSelf = Store.takeConflictingSelf();
  if (!Started || ConflictingSelf.instance().empty() ||
      supersedes(Options.Self, ConflictingSelf) ||
      Options.Self.status() == control::MEMBER_LEFT)
    return;
  // A record with this incarnation that differs in more than the status was
  // written by a former process of the instance, unknown to this one.
  if (ConflictingSelf.incarnation() > Options.Self.incarnation() ||
      ConflictingSelf.revision() > Options.Self.revision() ||
      ConflictingSelf.status() == Options.Self.status()) {
    Options.Self.set_incarnation(ConflictingSelf.incarnation() + 1);
    Options.Self.set_revision(1);
  } else {
    Options.Self.set_revision(Options.Self.revision() + 1);
  }
  publishSelf(Now);
}

void membership::onRememberedIncarnation(time_point Now,
                                         std::uint64_t Incarnation) {
  if (!Started || Incarnation <= Options.Self.incarnation() ||
      Incarnation > std::uint64_t{1} << 62)
    return;
  Options.Self.set_incarnation(Incarnation + 1);
  Options.Self.set_revision(1);
  publishSelf(Now);
}

void membership::processChanges(time_point Now) {
  for (const std::string &Instance : Store.takeChangedMembers()) {
    Changed.insert(Instance);
    const control::member *Member = Store.findMember(Instance);
    if (Member == nullptr || Instance == Options.Self.instance())
      continue;
    if (Member->status() == control::MEMBER_SUSPECT)
      Suspects.try_emplace(Instance, Now);
    else
      Suspects.erase(Instance);
    if (isLive(*Member) && InProbeOrder.insert(Instance).second)
      addToProbeOrder(Instance);
  }
}

std::vector<std::string> membership::takeChanged() {
  std::vector<std::string> Taken(Changed.begin(), Changed.end());
  Changed.clear();
  return Taken;
}

// Inserts a new member at a random position among those still to be probed.
void membership::addToProbeOrder(const std::string &Instance) {
  const auto Position = static_cast<std::ptrdiff_t>(
      NextInOrder +
      state::uniformBelow(Random, ProbeOrder.size() - NextInOrder + 1));
  ProbeOrder.insert(ProbeOrder.begin() + Position, Instance);
}

void membership::compareDigest(const control::gossip_packet &Packet) {
  if (Packet.digest() == Store.digest()) {
    DigestMismatches = 0;
    return;
  }
  ++DigestMismatches;
  MismatchPeer = Packet.from_instance();
}

//-----------------------------------------------------------------------------
// Queries
//-----------------------------------------------------------------------------

std::vector<control::member> membership::randomMembers(std::size_t Count) {
  std::vector<const control::member *> Live;
  for (const auto &[Instance, Entry] : Store.members())
    if (Instance != Options.Self.instance() &&
        Entry.Member.status() == control::MEMBER_ALIVE)
      Live.push_back(&Entry.Member);
  std::vector<control::member> Chosen;
  for (std::size_t I = 0; I < Live.size() && I < Count; ++I) {
    std::swap(Live[I], Live[I + state::uniformBelow(Random, Live.size() - I)]);
    Chosen.push_back(*Live[I]);
  }
  return Chosen;
}

std::optional<control::member> membership::takeSyncPeer(time_point Now) {
  if (DigestMismatches < Options.SyncMismatchThreshold || Now < NextSync)
    return std::nullopt;
  const control::member *Peer = Store.findMember(MismatchPeer);
  if (Peer == nullptr)
    return std::nullopt;
  DigestMismatches = 0;
  std::size_t Bytes = 0;
  for (const auto &[Instance, Entry] : Store.members())
    Bytes += Entry.Member.ByteSizeLong();
  for (const auto &[Key, Entry] : Store.records())
    Bytes += Entry.Record.ByteSizeLong();
  // Both request and response carry all members and records.
  const auto Interval = std::max<state::milliseconds>(
      5 * Options.ProtocolPeriod,
      state::milliseconds(2 * 1000 * Bytes / Options.SyncBytesPerSecond));
  NextSync = Now + scaled(Interval, 0.75 + 0.5 * state::unitInterval(Random()));
  return *Peer;
}

std::size_t membership::knownCount() const {
  return static_cast<std::size_t>(std::count_if(
      Store.members().begin(), Store.members().end(), [](const auto &Item) {
        return Item.second.Member.status() != control::MEMBER_LEFT;
      }));
}

std::size_t membership::reachableCount(time_point Now) const {
  const std::size_t Known = knownCount();
  if (Known > 1 && Now - LastPacketAt > 3 * Options.ProtocolPeriod)
    return 1;
  return static_cast<std::size_t>(std::count_if(
      Store.members().begin(), Store.members().end(), [](const auto &Item) {
        return Item.second.Member.status() == control::MEMBER_ALIVE;
      }));
}

bool membership::majorityReachable(time_point Now) const {
  return 2 * reachableCount(Now) > knownCount();
}

} // namespace hyssopledge::coordination
