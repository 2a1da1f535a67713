/// \file
/// Directory of the fleet in one daemon: addresses, the upstream beside each
/// member, and rollouts. Merging is commutative and idempotent, so records may
/// arrive late, repeatedly and in any order. Does no I/O; not thread-safe.
#pragma once

#include "hyssopledge/coordination/departed_upstreams.h"
#include "hyssopledge/coordination/upstream_record.h"
#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

struct member_record {
  std::string Instance;
  /// Increases with each start of the daemon.
  std::uint64_t Incarnation = 0;
  std::uint64_t Revision = 0; // increases within an incarnation
  std::string DataCentre;
  std::string HopAddress;     // "ip:port" for calls from other daemons
  std::string ControlAddress; // "ip:port" for datagrams between daemons
  bool Left = false;          // the daemon has stopped permanently
  double LinkMbps = 0;        // of the instance; 0: unknown
  /// Fingerprints of requests that crashed the upstream beside the daemon and
  /// others (state/poison.h).
  std::vector<std::uint64_t> PoisonFingerprints;
  upstream_record Upstream;
};

enum class rollout_state { Running, Completed, RolledBack };

/// State of the rollout of a service to another version.
struct rollout_record {
  std::string Service;
  std::string ToVersion;
  std::uint64_t OrderRevision = 0; // of the order's key on the platform
  std::uint64_t Step = 0;          // increases with each decision
  rollout_state State = rollout_state::Running;
  std::uint32_t ShareBp = 0; // share of calls to ToVersion, in 1/10,000
};

/// An operator's order that nothing may be sent to the upstreams of a data
/// centre, or its end.
struct evacuation_record {
  std::string DataCentre;
  std::uint64_t Revision = 0; // of the store, at the order or its end
  bool Active = false;
};

class fleet_directory {
public:
  /// Return whether the directory has changed. An upstream that has left stays
  /// so whatever later records of its daemon say, which may have restarted with
  /// an older state.
  bool merge(const member_record &Record);
  bool merge(const rollout_record &Record);
  bool merge(const evacuation_record &Record);

  const std::map<std::string, member_record> &members() const {
    return Members;
  }
  const std::map<std::string, rollout_record> &rollouts() const {
    return Rollouts;
  }
  const std::map<std::string, evacuation_record> &evacuations() const {
    return Evacuations;
  }
  bool isEvacuated(const std::string &DataCentre) const {
    const auto Found = Evacuations.find(DataCentre);
    return Found != Evacuations.end() && Found->second.Active;
  }
  const member_record *find(const std::string &Instance) const;
  const rollout_record *rollout(const std::string &Service) const;
  /// Number of members that have not left.
  std::size_t size() const;
  /// Equal for directories with equal records.
  std::uint64_t digest() const { return Digest; }

private:
  std::map<std::string, member_record> Members;
  std::map<std::string, departed_upstreams> Departed;   // by instance
  std::map<std::string, rollout_record> Rollouts;       // by service
  std::map<std::string, evacuation_record> Evacuations; // by data centre
  std::uint64_t Digest = 0;
};

/// Split of a service's calls between versions.
struct traffic_split {
  std::string Service;
  std::string ToVersion;     // empty: calls go to any version
  std::uint32_t ShareBp = 0; // share of calls to ToVersion, in 1/10,000
};
traffic_split trafficSplit(const rollout_record *Rollout);

} // namespace hyssopledge::coordination
