/// \file
/// Time as the decision classes see it.
#pragma once

#include <chrono>

namespace hyssopledge::state {

/// Counts from boot and includes time in suspend (CLOCK_BOOTTIME), so that a
/// process that was frozen or suspended sees on wake-up that its leases have
/// passed.
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
