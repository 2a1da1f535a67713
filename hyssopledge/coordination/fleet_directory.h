/// \file
/// What one daemon knows of the others: their addresses, the upstream beside
/// each and the rollouts. Records are merged, never asked for in turn, so they
/// may arrive late, twice and in any order. No I/O; not thread-safe.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

enum class upstream_state { None, Serving, Draining, Gone };

/// The upstream beside a daemon, as that daemon last heard of it.
struct upstream_record {
  std::string Name; // of this incarnation of the upstream
  std::string Service;
  std::string Version;
  std::uint32_t Slots = 0;
  upstream_state State = upstream_state::None;
  bool Answering = true;         // false: it refuses connections
  bool Cold = false;             // slow because it has just started
  std::uint64_t StartUnixMs = 0; // Unix milliseconds of its start
  std::uint64_t Sequence = 0;    // of its newest announcement
};

struct member_record {
  std::string Instance; // name of the daemon's instance
  /// Grows with each start of the daemon.
  std::uint64_t Incarnation = 0;
  std::uint64_t Revision = 0; // grows with each change within an incarnation
  std::string DataCentre;
  std::string CallAddress;    // "ip:port" for calls from other daemons
  std::string ControlAddress; // "ip:port" for datagrams between daemons
  bool Left = false;          // the daemon has ended for good
  upstream_record Upstream;
};

enum class rollout_state { Running, Completed, RolledBack };

/// The state of a move of a service to another version.
struct rollout_record {
  std::string Service;
  std::string ToVersion;
  std::uint64_t OrderRevision =
      0;                  // revision of the operators' order on the platform
  std::uint64_t Step = 0; // grows with each decision on the order
  rollout_state State = rollout_state::Running;
  std::uint32_t ShareBp = 0; // calls for ToVersion, in 1/10,000
};

class fleet_directory {
public:
  /// True when the record is news.
  bool merge(const member_record &Record);
  bool merge(const rollout_record &Record);

  const std::map<std::string, member_record> &members() const {
    return Members;
  }
  const std::map<std::string, rollout_record> &rollouts() const {
    return Rollouts;
  }
  const member_record *find(const std::string &Instance) const;
  const rollout_record *rollout(const std::string &Service) const;
  /// Members that have not left.
  std::size_t size() const;
  /// Equal for directories with the same records.
  std::uint64_t digest() const { return Digest; }

private:
  std::map<std::string, member_record> Members;
  std::map<std::string, rollout_record> Rollouts; // by service
  std::uint64_t Digest = 0;
};

/// Which of a service's versions may get calls.
struct version_rule {
  std::string Service;
  std::string ToVersion;     // empty: versions are not told apart
  std::uint32_t ShareBp = 0; // of ToVersion, in 1/10,000
};
version_rule versionRule(const rollout_record *Rollout);

} // namespace hyssopledge::coordination
