/// \file
/// One upstream instance as entry daemons see it.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::state {

enum class target_state { Serving, Draining, Unreachable };

struct target_record {
  std::string Instance; // name of the instance, unique in the environment
  std::uint64_t Incarnation = 0; // grows at each restart of the daemon
  std::string DataCentre;
  std::string Address; // "ip:port" of the data listener of the daemon beside
                       // the upstream
  std::string Service;
  std::string Version;
  std::uint32_t Slots = 0;
  target_state State = target_state::Serving;
  time_point FirstSeen{}; // warm-up is counted from here
};

/// Immutable once published; a change publishes a new table.
struct target_table {
  std::vector<target_record> Targets;
};

} // namespace hyssopledge::state
