#include "hyssopledge/state/work_speed.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::state {

namespace {

// Weight of a report in the mean. Reports come with each response, some tens a
// second, so that the mean covers several changes of the speed.
constexpr double MeanWeight = 0.01;
// Time constant of a report, which changes several times a second.
constexpr double DecayMs = 400;
// Reports out of this range are limited to it.
constexpr double MinPercent = 10;
constexpr double MaxPercent = 2000;

} // namespace

void work_speed::record(double NewPercent, time_point Now) {
  if (!std::isfinite(NewPercent))
    return;
  Percent = std::clamp(NewPercent, MinPercent, MaxPercent);
  MeanPercent = MeanPercent == 0
                    ? Percent
                    : MeanPercent + MeanWeight * (Percent - MeanPercent);
  ReportedAt = Now;
}

double work_speed::factor(time_point Now) const {
  if (MeanPercent == 0)
    return 1;
  const double Age =
      std::chrono::duration<double, std::milli>(Now - ReportedAt).count();
  const double Decay = std::exp(-std::max(0.0, Age) / DecayMs);
  return 1 + (Percent / MeanPercent - 1) * Decay;
}

} // namespace hyssopledge::state
