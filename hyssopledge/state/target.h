/// \file
/// Upstream instances as seen by entry daemons.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::state {

enum class target_state { Serving, Draining, Unreachable };

struct target_record {
  std::string Instance;          // unique in the environment
  std::uint64_t Incarnation = 0; // grows with each restart of the daemon
  std::string DataCentre;
  std::string Address; // "ip:port" of the data listener of its daemon
  std::string Service;
  std::string Version;
  std::uint32_t Slots = 0;
  target_state State = target_state::Serving;
  time_point FirstSeen{}; // start of the warm-up
};

/// Immutable once published; each change publishes a new table.
struct target_table {
  std::vector<target_record> Targets;
};

} // namespace hyssopledge::state
