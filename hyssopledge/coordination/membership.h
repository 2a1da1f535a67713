/// \file
/// Group membership after SWIM: probing, suspicion, refutation and leave. The
/// cost for each daemon does not grow with the fleet.
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
  /// Bounds the interval between probes of dead members, which rejoin
  /// partitions and daemons that restart while the platform is down.
  std::size_t MaxDeadRetryPeriods = 30;
  unsigned SyncMismatchThreshold = 3;    // consecutive digest mismatches
  std::size_t SyncBytesPerSecond = 4096; // mean bandwidth for full syncs
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

  /// Chooses an incarnation above the hint and above any known one. The hint
  /// should grow between restarts, such as the wall clock in seconds; a wrong
  /// clock does no harm while a peer knows the former incarnation.
  void start(state::time_point Now, std::uint64_t IncarnationHint);
  /// Call this several times per protocol period.
  std::vector<outgoing_packet> onTick(state::time_point Now);
  /// Returns the packets to send. Fails with InvalidMessage or TooLarge, which
  /// change nothing.
  state::result<std::vector<outgoing_packet>>
  onPacket(state::time_point Now, const control::gossip_packet &Packet);
  /// Processes what a full sync merged into the store.
  void onMerged(state::time_point Now);
  /// Raises the own incarnation above the one that a peer knows.
  void onRememberedIncarnation(state::time_point Now,
                               std::uint64_t Incarnation);

  void setTargets(state::time_point Now,
                  const std::vector<control::target> &Targets);
  void setLeaseLevel(state::time_point Now, std::uint32_t Level);
  void setVersions(std::uint64_t Applied, std::uint64_t Known) {
    AppliedVersion = Applied;
    KnownVersion = Known;
  }
  /// Sets the record that is sent in replies to peers with an older known
  /// version.
  void setHead(const control::gossip_record &Record) { Head = Record; }
  std::vector<outgoing_packet> ping(state::time_point Now,
                                    const std::string &Address,
                                    const std::string &Instance);
  /// Sends the queued updates to random live members at once.
  std::vector<outgoing_packet> notify(state::time_point Now, unsigned Count);
  /// Announces the departure; send the result and repeat the call a few times.
  std::vector<outgoing_packet> leave(state::time_point Now);

  const control::member &self() const { return Options.Self; }
  bool started() const { return Started; }
  /// Returns the instances whose record changed since the last call.
  std::vector<std::string> takeChanged();
  /// Returns random live members other than this one.
  std::vector<control::member> randomMembers(std::size_t Count);
  /// Returns a member for a full sync if digests have differed and none ran
  /// recently.
  std::optional<control::member> takeSyncPeer(state::time_point Now);
  /// Whether a majority of the members that have not left is reachable, this
  /// one included. False when no packet arrived recently.
  bool majorityReachable(state::time_point Now) const;
  std::size_t reachableCount(state::time_point Now) const;
  std::size_t knownCount() const; // members that have not left

private:
  struct probe {
    std::string Instance;
    std::uint64_t Sequence = 0;
    state::time_point SentAt{};
    bool Indirect = false; // indirect probes were sent
  };
  struct relayed_probe {
    std::string OriginAddress;
    std::uint64_t OriginSequence = 0;
    state::time_point ExpiresAt{};
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
  unsigned ProbesFailedSincePacket = 0;
  state::time_point NextProbe{};
  state::time_point NextDeadRetry{};
  state::time_point NextExpiry{};
  state::time_point LastTick{};
  state::time_point LastPacketAt{};
  unsigned DigestMismatches = 0;
  std::string MismatchPeer;
  state::time_point NextIntroduction{}; // ping of an unknown sender
  state::time_point NextSync{};
  std::map<std::string, state::time_point> Suspects; // start of suspicion
  std::set<std::string> InProbeOrder;
  std::set<std::string> Changed;
};

} // namespace hyssopledge::coordination
