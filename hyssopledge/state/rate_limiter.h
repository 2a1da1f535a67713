/// \file
/// Token bucket for the request rate that an upstream accepts. The rate may
/// change at any time. No I/O; not thread-safe.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstddef>
#include <optional>

namespace hyssopledge::state {

class rate_limiter {
public:
  /// Requests may be sent in a burst of this much time at the rate.
  static constexpr milliseconds Burst{250};
  /// Lower bound of the rate, per second, so that the upstream can name another
  /// rate in a response.
  static constexpr double MinRate = 0.5;

  /// Sets the rate in requests per second; none: no limit. Tokens are kept, so
  /// that a rate that is named again and again allows no bursts.
  void setRate(std::optional<double> PerSecond, time_point Now);
  std::optional<double> rate() const { return Rate; }
  /// Takes a token for one request; false if there is none.
  bool tryAcquire(time_point Now);
  /// Time until the tokens for Count requests are there; 0 without a limit.
  milliseconds waitFor(std::size_t Count, time_point Now) const;

private:
  double tokensAt(time_point Now) const;

  std::optional<double> Rate;
  double Tokens = 1; // at UpdatedAt
  time_point UpdatedAt{};
};

} // namespace hyssopledge::state
