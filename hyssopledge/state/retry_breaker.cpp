#include "hyssopledge/state/retry_breaker.h"

#include <cmath>

namespace hyssopledge::state {

namespace {

// Weight of a new outcome in the failure rate. With 0.2, three consecutive
// failures exceed StopRate.
constexpr double SampleWeight = 0.2;

} // namespace

double retry_breaker::rateNow(const figure &Figure, time_point Now) {
  const double ElapsedMs =
      std::chrono::duration<double, std::milli>(Now - Figure.UpdatedAt).count();
  return Figure.Rate *
         std::exp(-ElapsedMs / static_cast<double>(RateDecayPeriod.count()));
}

void retry_breaker::record(const std::string &Route, bool Failed,
                           time_point Now) {
  figure &Figure = Routes[Route];
  const double Former = rateNow(Figure, Now);
  Figure.Rate = Former + SampleWeight * ((Failed ? 1 : 0) - Former);
  Figure.UpdatedAt = Now;
  if (Figure.Rate > StopRate)
    Figure.Stopped = true;
}

bool retry_breaker::allowsRetry(const std::string &Route, time_point Now) {
  const auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return true;
  figure &Figure = Found->second;
  if (Figure.Stopped && rateNow(Figure, Now) < ResumeRate)
    Figure.Stopped = false;
  return !Figure.Stopped;
}

} // namespace hyssopledge::state
