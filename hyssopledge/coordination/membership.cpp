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
// An inbound cut makes every probe fail. A daemon that hears nobody blames
// itself first: these many silent failures accuse no one.
constexpr unsigned SilentFailuresForgiven = 3;

} // namespace

membership::membership(membership_options Options, gossip_store &Store,
                       state::random_engine &Random)
    : Options(std::move(Options)), Store(Store), Random(Random) {}

void membership::start(time_point Now, std::uint64_t IncarnationHint) {
  Started = true;
  Options.Self.set_incarnation(
      std::max(IncarnationHint,
               Store.remembered(Options.Self.instance()).Incarnation + 1));
  Options.Self.set_revision(1);
  Options.Self.set_status(control::MEMBER_ALIVE);
  publishSelf(Now);
  LastTick = Now;
  LastHeard = Now;
  // Probes of daemons that start together must not stay in step.
  NextProbe = Now + scaled(Options.Period, state::unitInterval(Random()));
  NextDeadRetry = Now + scaled(Options.Period * Options.DeadRetryPeriods,
                               0.5 + state::unitInterval(Random()));
  trackChanges(Now);
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

control::gossip_packet membership::packet(control::packet_kind Kind,
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

outgoing_packet membership::finish(time_point Now,
                                   control::gossip_packet Packet,
                                   const std::string &Address,
                                   const std::string &Instance) {
  // A member that is doubted here must learn of it, or it can't refute it.
  const control::member *Receiver = Store.findMember(Instance);
  if (Receiver != nullptr && Receiver->status() != control::MEMBER_ALIVE)
    gossip_store::addMember(Packet, *Receiver);
  Store.fillPacket(Now, Packet);
  return {Address, std::move(Packet)};
}

state::result<std::vector<outgoing_packet>>
membership::onPacket(time_point Now, const control::gossip_packet &Packet) {
  if (Packet.environment() != Options.Environment)
    return failure(errc::InvalidMessage,
                   "packet of environment \"" + Packet.environment() + "\"");
  if (Packet.from_instance().empty() || Packet.from_address().empty() ||
      Packet.kind() == control::PACKET_UNSET ||
      !control::packet_kind_IsValid(Packet.kind()))
    return failure(errc::InvalidMessage,
                   "packet without sender or with unknown kind");
  if (Packet.from_instance() == Options.Self.instance())
    return std::vector<outgoing_packet>{};
  auto Merged = Store.merge(Now, Packet.members(), Packet.records());
  if (!Merged)
    return Merged.error();
  Store.noteApplied(Packet.from_instance(), Packet.applied_version());
  LastHeard = Now;
  SilentFailures = 0;
  onMerged(Now);
  noteDigest(Packet);

  std::vector<outgoing_packet> Out;
  switch (Packet.kind()) {
  case control::PACKET_PING: {
    if (Options.Self.status() == control::MEMBER_LEFT)
      break;
    control::gossip_packet Answer =
        packet(control::PACKET_ACK, Packet.sequence());
    if (Packet.known_version() < KnownVersion && Head.revision() != 0)
      *Answer.add_records() = Head;
    // The sender may know nobody and can't ask for a full sync then.
    if (Packet.digest() != Store.digest())
      *Answer.add_members() = Options.Self;
    Out.push_back(finish(Now, std::move(Answer), Packet.from_address(),
                         Packet.from_instance()));
    break;
  }
  case control::PACKET_PING_REQUEST: {
    const control::member *Subject = Store.findMember(Packet.subject());
    if (Subject == nullptr || Relayed.size() >= MaxRelayedProbes)
      break;
    Relayed[++Sequence] = {Packet.from_address(), Packet.sequence(),
                           Now + 2 * Options.Period};
    Out.push_back(finish(Now, packet(control::PACKET_PING, Sequence),
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
    Out.push_back(
        finish(Now, packet(control::PACKET_ACK, Found->second.OriginSequence),
               Found->second.OriginAddress, ""));
    Relayed.erase(Found);
    break;
  }
  default:
    break;
  }
  // A daemon that restarted while the platform is down learns of its peers only
  // by their probes; the answer to a ping brings the record of the peer.
  if (Store.findMember(Packet.from_instance()) == nullptr &&
      Now >= NextIntroduction) {
    NextIntroduction = Now + Options.Period / 5;
    for (outgoing_packet &Ping :
         ping(Now, Packet.from_address(), Packet.from_instance()))
      Out.push_back(std::move(Ping));
  }
  return Out;
}

std::vector<outgoing_packet> membership::ping(time_point Now,
                                              const std::string &Address,
                                              const std::string &Instance) {
  return {
      finish(Now, packet(control::PACKET_PING, ++Sequence), Address, Instance)};
}

std::vector<outgoing_packet> membership::notify(time_point Now,
                                                unsigned Count) {
  std::vector<outgoing_packet> Out;
  for (const control::member &Peer : randomMembers(Count))
    Out.push_back(finish(Now, packet(control::PACKET_NOTIFY, 0),
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
  // After a pause the answers of the others may still wait in the socket, and
  // the time of the pause says nothing about them.
  if (Now - LastTick > 2 * Options.Period) {
    Probe.reset();
    for (auto &[Instance, Since] : Suspects)
      Since = Now;
    LastHeard = std::max(LastHeard, Now - Options.Period);
    NextProbe = Now + Options.Period;
  }
  LastTick = Now;
  if (Now >= NextExpire) {
    NextExpire = Now + Options.Period;
    Store.expire(Now);
  }
  std::erase_if(Relayed,
                [Now](const auto &Item) { return Item.second.Expires <= Now; });
  if (Probe && !Probe->Indirect &&
      Now >= Probe->Sent + Options.Period * 3 / 10) {
    Probe->Indirect = true;
    for (const control::member &Helper :
         randomMembers(Options.IndirectProbes)) {
      if (Helper.instance() == Probe->Instance)
        continue;
      control::gossip_packet Request =
          packet(control::PACKET_PING_REQUEST, Probe->Sequence);
      Request.set_subject(Probe->Instance);
      // The helper needs the subject's address and may not know it yet.
      if (const control::member *Subject = Store.findMember(Probe->Instance))
        gossip_store::addMember(Request, *Subject);
      Out.push_back(finish(Now, std::move(Request), Helper.gossip_address(),
                           Helper.instance()));
    }
  }
  if (Now >= NextProbe) {
    if (Probe)
      probeFailed(Now);
    NextProbe = std::max(NextProbe + Options.Period, Now + Options.Period / 2);
    probeNext(Now, Out);
  }
  endSuspicions(Now);
  if (Now >= NextDeadRetry)
    retryDead(Now, Out);
  trackChanges(Now);
  return Out;
}

void membership::probeNext(time_point Now, std::vector<outgoing_packet> &Out) {
  // Two passes: the second one is over a fresh order.
  for (int Pass = 0; Pass < 2; ++Pass) {
    while (Next < Order.size()) {
      const std::string Instance = Order[Next++];
      const control::member *Member = Store.findMember(Instance);
      if (Member == nullptr || !isLive(*Member))
        continue;
      Probe = probe{Instance, ++Sequence, Now, false};
      Out.push_back(finish(Now, packet(control::PACKET_PING, Sequence),
                           Member->gossip_address(), Instance));
      return;
    }
    Order.clear();
    InOrder.clear();
    Next = 0;
    for (const auto &[Instance, Entry] : Store.members())
      if (Instance != Options.Self.instance() && isLive(Entry.Member))
        Order.push_back(Instance);
    InOrder.insert(Order.begin(), Order.end());
    std::shuffle(Order.begin(), Order.end(), Random);
  }
}

void membership::probeFailed(time_point Now) {
  const std::string Instance = Probe->Instance;
  Probe.reset();
  if (Now - LastHeard > 2 * Options.Period &&
      ++SilentFailures <= SilentFailuresForgiven)
    return;
  const control::member *Member = Store.findMember(Instance);
  if (Member != nullptr && Member->status() == control::MEMBER_ALIVE)
    Store.setStatus(Now, Instance, control::MEMBER_SUSPECT);
}

void membership::retryDead(time_point Now, std::vector<outgoing_packet> &Out) {
  NextDeadRetry = Now + scaled(Options.Period * Options.DeadRetryPeriods,
                               0.75 + 0.5 * state::unitInterval(Random()));
  const control::member *Chosen = nullptr;
  std::uint64_t Seen = 0;
  for (const auto &[Instance, Entry] : Store.members())
    if (Entry.Member.status() == control::MEMBER_DEAD &&
        state::uniformBelow(Random, ++Seen) == 0)
      Chosen = &Entry.Member;
  if (Chosen != nullptr)
    Out.push_back(finish(Now, packet(control::PACKET_PING, ++Sequence),
                         Chosen->gossip_address(), Chosen->instance()));
}

void membership::endSuspicions(time_point Now) {
  std::vector<std::string> Ended;
  for (const auto &[Instance, Since] : Suspects)
    if (Now >= Since + Options.Period * Options.SuspicionPeriods)
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
  trackChanges(Now);
}

void membership::refute(time_point Now) {
  const control::member Claim = Store.takeClaim();
  if (!Started || Claim.instance().empty() || supersedes(Options.Self, Claim) ||
      Options.Self.status() == control::MEMBER_LEFT)
    return;
  // A record of this incarnation that differs in more than the status comes
  // from a former process of the instance, which this one does not remember.
  if (Claim.incarnation() > Options.Self.incarnation() ||
      Claim.revision() > Options.Self.revision() ||
      Claim.status() == Options.Self.status()) {
    Options.Self.set_incarnation(Claim.incarnation() + 1);
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

void membership::trackChanges(time_point Now) {
  for (const std::string &Instance : Store.takeChangedMembers()) {
    Changed.insert(Instance);
    const control::member *Member = Store.findMember(Instance);
    if (Member == nullptr || Instance == Options.Self.instance())
      continue;
    if (Member->status() == control::MEMBER_SUSPECT)
      Suspects.try_emplace(Instance, Now);
    else
      Suspects.erase(Instance);
    if (isLive(*Member) && InOrder.insert(Instance).second)
      addToOrder(Instance);
  }
}

std::vector<std::string> membership::takeChanged() {
  std::vector<std::string> Taken(Changed.begin(), Changed.end());
  Changed.clear();
  return Taken;
}

// A new member takes a random place among those still to be probed.
void membership::addToOrder(const std::string &Instance) {
  const auto Place = static_cast<std::ptrdiff_t>(
      Next + state::uniformBelow(Random, Order.size() - Next + 1));
  Order.insert(Order.begin() + Place, Instance);
}

void membership::noteDigest(const control::gossip_packet &Packet) {
  if (Packet.digest() == Store.digest()) {
    Mismatches = 0;
    return;
  }
  ++Mismatches;
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
  if (Mismatches < Options.SyncMismatches || Now < NextSync)
    return std::nullopt;
  const control::member *Peer = Store.findMember(MismatchPeer);
  if (Peer == nullptr)
    return std::nullopt;
  Mismatches = 0;
  std::size_t Bytes = 0;
  for (const auto &[Instance, Entry] : Store.members())
    Bytes += Entry.Member.ByteSizeLong();
  for (const auto &[Key, Entry] : Store.records())
    Bytes += Entry.Record.ByteSizeLong();
  // Request and answer carry everything.
  const auto Pause = std::max<state::milliseconds>(
      5 * Options.Period,
      state::milliseconds(2 * 1000 * Bytes / Options.SyncBytesPerSecond));
  NextSync = Now + scaled(Pause, 0.75 + 0.5 * state::unitInterval(Random()));
  return *Peer;
}

std::size_t membership::known() const {
  return static_cast<std::size_t>(std::count_if(
      Store.members().begin(), Store.members().end(), [](const auto &Item) {
        return Item.second.Member.status() != control::MEMBER_LEFT;
      }));
}

std::size_t membership::reachable(time_point Now) const {
  const std::size_t Known = known();
  if (Known > 1 && Now - LastHeard > 3 * Options.Period)
    return 1;
  return static_cast<std::size_t>(std::count_if(
      Store.members().begin(), Store.members().end(), [](const auto &Item) {
        return Item.second.Member.status() == control::MEMBER_ALIVE;
      }));
}

bool membership::majorityReachable(time_point Now) const {
  return 2 * reachable(Now) > known();
}

} // namespace hyssopledge::coordination
