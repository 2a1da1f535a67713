#include "hyssopledge/state/clock.h"

#include <ctime>

namespace hyssopledge::state {

boot_clock::time_point boot_clock::now() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace hyssopledge::state
