/// \file
/// Membership by SWIM: probes, suspicion, refutation, leave. The cost of a
/// daemon does not grow with the fleet.
#pragma once

#include "hyssopledge/coordination/gossip_store.h"
#include "hyssopledge/state/random.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

struct membership_options {
  std::string Environment;
  control::member Self; // instance, data centre, addresses, targets
  state::milliseconds ProtocolPeriod{1000};
  unsigned IndirectProbes = 3;
  unsigned SuspicionPeriods = 5;
  unsigned DeadRetryPeriods = 30; // a dead member is tried again this often, so
                                  // that parted regions find each other
  unsigned SyncMismatchThreshold =
      3; // differing digests in a row ask for a sync
  std::size_t SyncBytesPerSecond = 4096; // mean spent on repair by full sync
};

/// A datagram to send.
struct outgoing_packet {
  std::string Address;
  control::gossip_packet Packet;
};

class membership {
public:
  membership(membership_options Options, gossip_store &Store,
             state::random_engine &Random);

  /// Takes an incarnation above the hint and above any remembered one. Use a
  /// hint that grows between restarts, such as seconds of the wall clock; a
  /// wrong clock does no harm when a peer remembers the former incarnation.
  void start(state::time_point Now, std::uint64_t IncarnationHint);
  /// Call it several times in a period.
  std::vector<outgoing_packet> onTick(state::time_point Now);
  /// InvalidMessage or TooLarge changes nothing.
  state::result<std::vector<outgoing_packet>>
  onPacket(state::time_point Now, const control::gossip_packet &Packet);
  /// Looks at what a full sync merged into the store.
  void onMerged(state::time_point Now);
  /// A peer that remembers a higher incarnation of this instance.
  void onRememberedIncarnation(state::time_point Now,
                               std::uint64_t Incarnation);

  void setTargets(state::time_point Now,
                  const std::vector<control::target> &Targets);
  void setLeaseLevel(state::time_point Now, std::uint32_t Level);
  void setVersions(std::uint64_t Applied, std::uint64_t Known) {
    AppliedVersion = Applied;
    KnownVersion = Known;
  }
  /// The record that a sender with an older known version gets in the answer.
  void setHead(const control::gossip_record &Record) { Head = Record; }
  std::vector<outgoing_packet> ping(state::time_point Now,
                                    const std::string &Address,
                                    const std::string &Instance);
  /// Sends the queued news to random live members at once.
  std::vector<outgoing_packet> notify(state::time_point Now, unsigned Count);
  /// Announces the departure; send the result and repeat it a few times.
  std::vector<outgoing_packet> leave(state::time_point Now);

  const control::member &self() const { return Options.Self; }
  bool started() const { return Started; }
  /// Instances whose record changed since the last call.
  std::vector<std::string> takeChanged();
  /// Random live members other than this one.
  std::vector<control::member> randomMembers(std::size_t Count);
  /// A member to run a full sync with because digests differ; empty: none due.
  std::optional<control::member> takeSyncPeer(state::time_point Now);
  /// Whether more than half of the members that are not known to have left can
  /// be reached, this one included. False when nothing was heard recently.
  bool majorityReachable(state::time_point Now) const;
  std::size_t reachableCount(state::time_point Now) const;
  std::size_t knownCount() const; // members that have not left

private:
  struct probe {
    std::string Instance;
    std::uint64_t Sequence = 0;
    state::time_point Sent{};
    bool Indirect = false; // helpers were asked
  };
  struct relayed_probe {
    std::string OriginAddress;
    std::uint64_t OriginSequence = 0;
    state::time_point Expires{};
  };

  control::gossip_packet makePacket(control::packet_kind Kind,
                                    std::uint64_t Sequence) const;
  outgoing_packet completePacket(state::time_point Now,
                                 control::gossip_packet Packet,
                                 const std::string &Address,
                                 const std::string &Instance);
  void probeNext(state::time_point Now, std::vector<outgoing_packet> &Out);
  void onProbeFailed(state::time_point Now);
  void probeDeadMember(state::time_point Now,
                       std::vector<outgoing_packet> &Out);
  void expireSuspicions(state::time_point Now);
  void refute(state::time_point Now);
  void publishSelf(state::time_point Now);
  void processChanges(state::time_point Now);
  void addToProbeOrder(const std::string &Instance);
  void compareDigest(const control::gossip_packet &Packet);

  membership_options Options;
  gossip_store &Store;
  state::random_engine &Random;
  bool Started = false;
  std::uint64_t AppliedVersion = 0;
  std::uint64_t KnownVersion = 0;
  control::gossip_record Head;
  std::uint64_t Sequence = 0;
  std::optional<probe> Probe;
  std::map<std::uint64_t, relayed_probe> Relayed; // by own sequence
  std::vector<std::string> ProbeOrder;            // shuffled
  std::size_t NextInOrder = 0;
  unsigned SilentFailures = 0; // failed probes since the last packet
  state::time_point NextProbe{};
  state::time_point NextDeadRetry{};
  state::time_point NextExpire{};
  state::time_point LastTick{};
  state::time_point LastPacketAt{};
  unsigned DigestMismatches = 0;
  std::string MismatchPeer;
  state::time_point NextIntroduction{}; // to a sender that is not known
  state::time_point NextSync{};
  std::map<std::string, state::time_point> Suspects;
  std::set<std::string> InProbeOrder;
  std::set<std::string> Changed;
};

} // namespace hyssopledge::coordination
