/// \file
/// Token bucket for the request rate that an upstream accepts. The rate may
/// change at any time. No I/O; not thread-safe.
///
/// A limit that ends is raised step by step: an upstream that has just
/// recovered is not flooded, and a response that happens to lack the limit
/// changes little.
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
  /// After the end of a limit the rate doubles in this period, and there is no
  /// limit after the second one.
  static constexpr milliseconds DoublingPeriod{500};
  static constexpr milliseconds ReleasePeriod{3000};

  /// Sets the rate in requests per second; none: the limit ends. Tokens are
  /// kept, so that a rate that is set again and again allows no bursts.
  void setRate(std::optional<double> PerSecond, time_point Now);
  /// The current rate; none: no limit.
  std::optional<double> rate(time_point Now) const;
  /// Takes a token for one request; false if there is none.
  bool tryAcquire(time_point Now);
  /// Time until the tokens for Count requests are there at the current rate; 0
  /// without a limit.
  milliseconds waitFor(std::size_t Count, time_point Now) const;

private:
  double tokensAt(time_point Now, double RateNow) const;

  std::optional<double> Rate; // as set last
  std::optional<time_point> EndedAt;
  double Tokens = 1; // at UpdatedAt
  time_point UpdatedAt{};
};

} // namespace hyssopledge::state
