/// \file
/// Decides when an idempotent request that has no response yet is sent to a
/// second target. No I/O; not thread-safe.
///
/// Load pattern that it handles: a few targets are slow for moments, so that
/// the slowest responses take several times the median. Second attempts are
/// limited to a fraction of the requests, so that they add little load when all
/// targets are slow.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace hyssopledge::state {

class hedge_policy {
public:
  /// A second attempt starts after this quantile of the route's latency. It
  /// concerns one request in twenty, as many as a usual budget allows.
  static constexpr double Quantile = 0.95;
  /// Responses of a route from which its quantile is used.
  static constexpr unsigned MinSamples = 20;
  /// Second attempts that may be saved up for a burst of slow responses.
  static constexpr double MaxSaved = 5;

  /// Ratio: second attempts as a fraction of the idempotent requests; 0: none.
  explicit hedge_policy(double Ratio) : Ratio(Ratio) {}

  bool enabled() const { return Ratio > 0; }
  void onRequest();
  /// Records the latency of a successful response.
  void onResponse(const std::string &Route, milliseconds Latency);
  /// Time after which a second attempt is due; none: not known yet.
  std::optional<milliseconds> delay(const std::string &Route) const;
  bool tryAcquire();
  /// Drops the latencies of the route.
  void forget(const std::string &Route) { Routes.erase(Route); }

private:
  struct route_latency {
    double QuantileMs = 0;
    double MeanMs = 0;
    unsigned Samples = 0;
  };

  double Ratio;
  double Saved = 1;
  std::unordered_map<std::string, route_latency> Routes;
};

} // namespace hyssopledge::state
