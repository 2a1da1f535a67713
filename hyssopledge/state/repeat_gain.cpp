#include "hyssopledge/state/repeat_gain.h"

#include <cmath>

namespace hyssopledge::state {

namespace {

// Of the newest outcome: three failures in a row reach StopRate.
constexpr double NewestWeight = 0.2;

} // namespace

double repeat_gain::rateNow(const figure &Figure, time_point Now) {
  const double Passed =
      std::chrono::duration<double, std::milli>(Now - Figure.At).count();
  return Figure.Rate * std::exp(-Passed / static_cast<double>(Memory.count()));
}

void repeat_gain::record(const std::string &Kind, bool Failed, time_point Now) {
  figure &Figure = Kinds[Kind];
  const double Former = rateNow(Figure, Now);
  Figure.Rate = Former + NewestWeight * ((Failed ? 1 : 0) - Former);
  Figure.At = Now;
  if (Figure.Rate > StopRate)
    Figure.Stopped = true;
}

bool repeat_gain::likely(const std::string &Kind, time_point Now) {
  const auto Found = Kinds.find(Kind);
  if (Found == Kinds.end())
    return true;
  figure &Figure = Found->second;
  if (Figure.Stopped && rateNow(Figure, Now) < ResumeRate)
    Figure.Stopped = false;
  return !Figure.Stopped;
}

} // namespace hyssopledge::state
