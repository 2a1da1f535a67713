/// \file
/// Circuit breaker for retries: stops the retries of a route while most of them
/// fail. No I/O; not thread-safe.
///
/// Load pattern that it handles: a service that others call fails a part of its
/// calls, so the runs of its callers fail with it on every target. Retries
/// would only add load to both, and callers retry by themselves anyway. With
/// one bad target among good ones, retries succeed and continue.
#pragma once

#include "hyssopledge/state/clock.h"

#include <string>
#include <unordered_map>

namespace hyssopledge::state {

class retry_breaker {
public:
  /// Retries stop when their failure rate exceeds StopRate and resume when it
  /// falls below ResumeRate.
  static constexpr double StopRate = 0.45;
  static constexpr double ResumeRate = 0.2;
  /// Without new retries, the rate falls to 1/e of its value in this time.
  static constexpr milliseconds RateDecayPeriod{2000};

  /// Records the outcome of a retry on the route.
  void record(const std::string &Route, bool Failed, time_point Now);
  /// Whether failed requests on the route may be retried.
  bool allowsRetry(const std::string &Route, time_point Now);
  /// Drops what was recorded on the route.
  void forget(const std::string &Route) { Routes.erase(Route); }

private:
  struct figure {
    double Rate = 0; // of failures, at UpdatedAt
    time_point UpdatedAt{};
    bool Stopped = false;
  };
  static double rateNow(const figure &Figure, time_point Now);

  std::unordered_map<std::string, figure> Routes;
};

} // namespace hyssopledge::state
