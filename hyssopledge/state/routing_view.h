/// \file
/// State that the request path reads, published as one pointer so that each
/// request sees a consistent version of it.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/rcu_cell.h"
#include "hyssopledge/state/snapshot.h"
#include "hyssopledge/state/target.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace hyssopledge::state {

enum class rollout_phase {
  Running,    // the share grows toward 1
  Watching,   // the share is 1; a bad version is still rolled back
  Done,       // the new version is the stable version
  RolledBack, // the share is 0; final
};

/// Instruction to entry daemons for the rollout of one service. Within a
/// generation, the directive with the highest Step applies.
struct rollout_directive {
  std::string Service;
  std::string FromVersion;
  std::string ToVersion;
  std::uint64_t Generation = 0; // head version that started the rollout
  std::uint64_t Step = 0;       // grows with each change
  double Share = 0;             // share of calls for ToVersion, 0..1
  rollout_phase Phase = rollout_phase::Running;
};

struct directive_table {
  std::map<std::string, rollout_directive> ByService;
};

/// Versions that must not be used. Only grows within a generation.
struct verdict_table {
  /// Service and version; condemned for the whole fleet.
  std::set<std::pair<std::string, std::string>> Condemned;
  /// Service and version; avoided by this daemon alone.
  std::set<std::pair<std::string, std::string>> Avoided;
};

/// Fingerprints of poison requests, see state/poison.h.
struct poison_table {
  std::set<std::uint64_t> Fingerprints;
};

/// Each part is immutable. Only Snapshot can be null, until a configuration is
/// in force.
struct routing_view {
  std::shared_ptr<const snapshot> Snapshot;
  std::shared_ptr<const directive_table> Directives =
      std::make_shared<const directive_table>();
  std::shared_ptr<const target_table> Targets =
      std::make_shared<const target_table>();
  std::shared_ptr<const verdict_table> Verdicts =
      std::make_shared<const verdict_table>();
  std::shared_ptr<const poison_table> Poison =
      std::make_shared<const poison_table>();
};

using routing_view_cell = rcu_cell<routing_view>;

} // namespace hyssopledge::state
