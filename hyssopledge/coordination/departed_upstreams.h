/// \file
/// The upstreams of one daemon that have left. Leaving is final: later records
/// of such an upstream, which may be old, do not put it into use again. Does no
/// I/O; not thread-safe.
#pragma once

#include "hyssopledge/coordination/upstream_record.h"

#include <cstdint>
#include <deque>
#include <string>

namespace hyssopledge::coordination {

class departed_upstreams {
public:
  /// Remembers the upstream if it is draining or gone. Returns whether this was
  /// not known.
  bool remember(const std::string &Name, std::uint64_t StartUnixMs,
                upstream_state State);
  bool remember(const upstream_record &Upstream) {
    return remember(Upstream.Name, Upstream.StartUnixMs, Upstream.State);
  }
  /// Returns the state in which the upstream is known to have left, None if it
  /// has not. One that restarts under the same name is recognized by its later
  /// start time; without a start time it counts as the one that has left.
  upstream_state stateOf(const std::string &Name,
                         std::uint64_t StartUnixMs) const;
  bool contains(const std::string &Name, std::uint64_t StartUnixMs) const {
    return stateOf(Name, StartUnixMs) != upstream_state::None;
  }
  /// Returns the later one of the record's own state and the state in which its
  /// upstream has left.
  upstream_state latestState(const upstream_record &Upstream) const;

private:
  static constexpr std::size_t MaxEntries = 16;

  struct entry {
    std::string Name;
    std::uint64_t StartUnixMs;
    upstream_state State;
  };
  std::deque<entry> Entries;
};

} // namespace hyssopledge::coordination
