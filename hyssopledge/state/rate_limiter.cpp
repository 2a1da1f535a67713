#include "hyssopledge/state/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::state {

void rate_limiter::setRate(std::optional<double> PerSecond, time_point Now) {
  const std::optional<double> Current = rate(Now);
  Tokens = Current ? tokensAt(Now, *Current) : 1;
  UpdatedAt = Now;
  if (PerSecond) {
    Rate = std::max(*PerSecond, MinRate);
    EndedAt.reset();
  } else if (Rate && !EndedAt) {
    EndedAt = Now;
  }
}

std::optional<double> rate_limiter::rate(time_point Now) const {
  if (!Rate || !EndedAt)
    return Rate;
  const auto Elapsed = Now - *EndedAt;
  if (Elapsed >= ReleasePeriod)
    return std::nullopt;
  return *Rate * std::exp2(std::chrono::duration<double>(Elapsed) /
                           std::chrono::duration<double>(DoublingPeriod));
}

double rate_limiter::tokensAt(time_point Now, double RateNow) const {
  const double MeanRate = (rate(UpdatedAt).value_or(RateNow) + RateNow) / 2;
  const double Capacity =
      std::max(1.0, RateNow * std::chrono::duration<double>(Burst).count());
  const double Elapsed = std::chrono::duration<double>(Now - UpdatedAt).count();
  return std::min(Capacity, Tokens + std::max(0.0, Elapsed) * MeanRate);
}

bool rate_limiter::tryAcquire(time_point Now) {
  const std::optional<double> Current = rate(Now);
  if (!Current)
    return true;
  const double Available = tokensAt(Now, *Current);
  if (Available < 1)
    return false;
  Tokens = Available - 1;
  UpdatedAt = Now;
  return true;
}

milliseconds rate_limiter::waitFor(std::size_t Count, time_point Now) const {
  const std::optional<double> Current = rate(Now);
  if (!Current)
    return milliseconds(0);
  const double Missing = static_cast<double>(Count) - tokensAt(Now, *Current);
  return milliseconds(static_cast<std::int64_t>(
      std::ceil(std::max(0.0, Missing) * 1000 / *Current)));
}

} // namespace hyssopledge::state
