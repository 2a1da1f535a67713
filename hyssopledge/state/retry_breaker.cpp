#include "hyssopledge/state/retry_breaker.h"

#include <cmath>

namespace hyssopledge::state {

namespace {

// Of the newest outcome: three failures in a row reach StopRate.
constexpr double NewestWeight = 0.2;

} // namespace

double retry_breaker::rateNow(const figure &Figure, time_point Now) {
  const double Passed =
      std::chrono::duration<double, std::milli>(Now - Figure.At).count();
  return Figure.Rate * std::exp(-Passed / static_cast<double>(Memory.count()));
}

void retry_breaker::record(const std::string &Kind, bool Failed,
                           time_point Now) {
  figure &Figure = Kinds[Kind];
  const double Former = rateNow(Figure, Now);
  Figure.Rate = Former + NewestWeight * ((Failed ? 1 : 0) - Former);
  Figure.At = Now;
  if (Figure.Rate > StopRate)
    Figure.Stopped = true;
}

bool retry_breaker::allowsRetry(const std::string &Kind, time_point Now) {
  const auto Found = Kinds.find(Kind);
  if (Found == Kinds.end())
    return true;
  figure &Figure = Found->second;
  if (Figure.Stopped && rateNow(Figure, Now) < ResumeRate)
    Figure.Stopped = false;
  return !Figure.Stopped;
}

} // namespace hyssopledge::state
