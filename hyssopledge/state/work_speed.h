/// \file
/// How long work takes on an upstream's machine now, from the upstream's own
/// reports. No I/O; not thread-safe.
///
/// Load pattern that it handles: other work on the machine slows an upstream
/// down for some hundred milliseconds at a time. Measured run times contain the
/// mean of this already, so the factor is relative to the mean of the reports.
#pragma once

#include "hyssopledge/state/clock.h"

namespace hyssopledge::state {

class work_speed {
public:
  /// Percent is the reported duration of work; 100 is the usual one.
  void record(double Percent, time_point Now);
  /// Expected run times as a multiple of the mean ones; 1 without reports.
  double factor(time_point Now) const;

private:
  double MeanPercent = 0; // over many reports; 0: none yet
  double Percent = 0;     // reported last
  time_point ReportedAt{};
};

} // namespace hyssopledge::state
