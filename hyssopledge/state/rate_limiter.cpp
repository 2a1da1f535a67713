#include "hyssopledge/state/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::state {

void rate_limiter::setRate(std::optional<double> PerSecond, time_point Now) {
  if (PerSecond)
    PerSecond = std::max(*PerSecond, MinRate);
  if (Rate == PerSecond)
    return;
  Tokens = Rate ? tokensAt(Now) : 1;
  UpdatedAt = Now;
  Rate = PerSecond;
}

double rate_limiter::tokensAt(time_point Now) const {
  const double Capacity =
      std::max(1.0, *Rate * std::chrono::duration<double>(Burst).count());
  const double Elapsed = std::chrono::duration<double>(Now - UpdatedAt).count();
  return std::min(Capacity, Tokens + std::max(0.0, Elapsed) * *Rate);
}

bool rate_limiter::tryAcquire(time_point Now) {
  if (!Rate)
    return true;
  const double Available = tokensAt(Now);
  if (Available < 1)
    return false;
  Tokens = Available - 1;
  UpdatedAt = Now;
  return true;
}

milliseconds rate_limiter::waitFor(std::size_t Count, time_point Now) const {
  if (!Rate)
    return milliseconds(0);
  const double Missing = static_cast<double>(Count) - tokensAt(Now);
  return milliseconds(static_cast<std::int64_t>(
      std::ceil(std::max(0.0, Missing) * 1000 / *Rate)));
}

} // namespace hyssopledge::state
