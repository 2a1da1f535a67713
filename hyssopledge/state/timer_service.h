/// \file
/// Timer interface, so that tests can control time. The implementation on
/// Boost.Asio is in transport/asio_timer_service.h.
#pragma once

#include "hyssopledge/state/clock.h"

#include <functional>
#include <memory>

namespace hyssopledge::state {

/// Handle of a timer; its destruction cancels the timer.
class timer_subscription {
public:
  virtual ~timer_subscription() = default;
};

class timer_service {
public:
  using handler = std::function<void(time_point Now)>;

  virtual ~timer_service() = default;

  virtual time_point now() const = 0;
  /// Calls the handler periodically, first after one interval.
  [[nodiscard]] virtual std::unique_ptr<timer_subscription>
  every(boot_clock::duration Interval, handler Handler) = 0;
  /// Calls the handler once after the delay.
  [[nodiscard]] virtual std::unique_ptr<timer_subscription>
  after(boot_clock::duration Delay, handler Handler) = 0;
};

} // namespace hyssopledge::state
