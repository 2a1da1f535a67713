/// \file
/// Whether sending a failed request to another target is likely to help. No
/// I/O; not thread-safe.
///
/// Load pattern that it answers: a service that others call fails a part of its
/// calls, so the runs of its callers fail with it on every target. Repeats of
/// them add runs here and calls there, and their callers come back anyway. With
/// one bad target among good ones, repeats succeed and go on.
#pragma once

#include "hyssopledge/state/clock.h"

#include <string>
#include <unordered_map>

namespace hyssopledge::state {

class retry_breaker {
public:
  /// Repeats stop above this part of failures among them, and begin again below
  /// the other one.
  static constexpr double StopRate = 0.45;
  static constexpr double ResumeRate = 0.2;
  /// A rate without new repeats falls to 1/e of itself in this time.
  static constexpr milliseconds Memory{2000};

  /// A repeat of a request of the kind ended.
  void record(const std::string &Kind, bool Failed, time_point Now);
  bool allowsRetry(const std::string &Kind, time_point Now);

private:
  struct figure {
    double Rate = 0; // of failures, at At
    time_point At{};
    bool Stopped = false;
  };
  static double rateNow(const figure &Figure, time_point Now);

  std::unordered_map<std::string, figure> Kinds;
};

} // namespace hyssopledge::state
