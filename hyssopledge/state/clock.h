/// \file
/// Clock and time types of the state library.
#pragma once

#include <chrono>

namespace hyssopledge::state {

/// CLOCK_BOOTTIME: monotonic since boot, including time in suspend. A process
/// that was suspended thus sees on resume that its leases have expired.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using time_point = boot_clock::time_point;
using milliseconds = std::chrono::milliseconds;

} // namespace hyssopledge::state
