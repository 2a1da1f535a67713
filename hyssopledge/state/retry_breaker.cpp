#include "hyssopledge/state/retry_breaker.h"

#include <cmath>

namespace hyssopledge::state {

namespace {

// Weight of a new outcome in the failure rate. With 0.2, three consecutive
// failures exceed StopRate.
constexpr double SampleWeight = 0.2;

} // namespace

double retry_breaker::rateNow(const route_state &State, time_point Now) {
  const double ElapsedMs =
      std::chrono::duration<double, std::milli>(Now - State.UpdatedAt).count();
  return State.Rate *
         std::exp(-ElapsedMs / static_cast<double>(RateDecayPeriod.count()));
}

void retry_breaker::record(const std::string &Route, bool Failed,
                           time_point Now) {
  route_state &State = Routes[Route];
  const double Previous = rateNow(State, Now);
  State.Rate = Previous + SampleWeight * ((Failed ? 1 : 0) - Previous);
  State.UpdatedAt = Now;
  if (State.Rate > StopRate)
    State.Stopped = true;
}

bool retry_breaker::allowsRetry(const std::string &Route, time_point Now) {
  const auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return true;
  route_state &State = Found->second;
  if (State.Stopped && rateNow(State, Now) < ResumeRate)
    State.Stopped = false;
  return !State.Stopped;
}

} // namespace hyssopledge::state
