#include "hyssopledge/state/hedge_policy.h"

#include <algorithm>

namespace hyssopledge::state {

namespace {

// Weight of a response in the mean latency of its route.
constexpr double MeanWeight = 0.05;
// Step of the quantile estimate, as a fraction of the mean latency.
constexpr double QuantileStep = 0.1;

} // namespace

void hedge_policy::onRequest() { Saved = std::min(MaxSaved, Saved + Ratio); }

void hedge_policy::onResponse(const std::string &Route, milliseconds Latency) {
  const auto Ms = static_cast<double>(Latency.count());
  route_latency &Known = Routes[Route];
  if (Known.Samples == 0) {
    Known.MeanMs = Ms;
    Known.QuantileMs = Ms;
  }
  Known.MeanMs += MeanWeight * (Ms - Known.MeanMs);
  // Rises on each response above the estimate and falls on each below it; the
  // two balance at the quantile.
  const double Step = QuantileStep * std::max(1.0, Known.MeanMs);
  Known.QuantileMs +=
      Ms > Known.QuantileMs ? Step * Quantile : -Step * (1 - Quantile);
  Known.QuantileMs = std::max(Known.QuantileMs, Known.MeanMs);
  Known.Samples = std::min(Known.Samples + 1, MinSamples);
}

std::optional<milliseconds>
hedge_policy::delay(const std::string &Route) const {
  const auto Found = Routes.find(Route);
  if (Found == Routes.end() || Found->second.Samples < MinSamples)
    return std::nullopt;
  return milliseconds(static_cast<std::int64_t>(Found->second.QuantileMs));
}

bool hedge_policy::tryAcquire() {
  if (Ratio <= 0 || Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

} // namespace hyssopledge::state
