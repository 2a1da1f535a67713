/// \file
/// Timers that parts subscribe to. transport/event_loop.h has the one on
/// Boost.Asio, tests drive one by hand.
#pragma once

#include "hyssopledge/state/clock.h"

#include <functional>
#include <memory>

namespace hyssopledge::state {

/// Destroying it ends the subscription.
class timer_subscription {
public:
  virtual ~timer_subscription() = default;
};

class timer_service {
public:
  using handler = std::function<void(time_point Now)>;

  virtual ~timer_service() = default;

  virtual time_point now() const = 0;
  /// Calls the handler once every interval, first after one interval.
  [[nodiscard]] virtual std::unique_ptr<timer_subscription>
  every(boot_clock::duration Interval, handler Handler) = 0;
  /// Calls the handler once after the delay.
  [[nodiscard]] virtual std::unique_ptr<timer_subscription>
  after(boot_clock::duration Delay, handler Handler) = 0;
};

} // namespace hyssopledge::state
