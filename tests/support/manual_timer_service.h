/// \file
/// A clock and a timer service that tests drive by hand.
#pragma once

#include "hyssopledge/state/timer_service.h"

#include <map>
#include <memory>
#include <utility>

namespace hyssopledge::tests {

class manual_timer_service final : public state::timer_service {
public:
  state::time_point now() const override { return Now; }

  std::unique_ptr<state::timer_subscription>
  every(state::boot_clock::duration Interval, handler Handler) override {
    return add(Interval, Interval, std::move(Handler));
  }
  std::unique_ptr<state::timer_subscription>
  after(state::boot_clock::duration Delay, handler Handler) override {
    return add(Delay, state::boot_clock::duration::zero(), std::move(Handler));
  }

  /// Moves time forward and calls what falls due, in order.
  void advance(state::boot_clock::duration Time) {
    const state::time_point End = Now + Time;
    while (!Queue.empty() && Queue.begin()->first <= End) {
      auto Due = Queue.extract(Queue.begin());
      std::shared_ptr<timer> Timer = Due.mapped();
      if (Timer->Stopped)
        continue;
      Now = Due.key();
      if (Timer->Interval.count() > 0)
        Queue.emplace(Now + Timer->Interval, Timer);
      Timer->Handler(Now);
    }
    Now = End;
  }

private:
  struct timer {
    state::boot_clock::duration Interval;
    handler Handler;
    bool Stopped = false;
  };
  struct subscription final : state::timer_subscription {
    explicit subscription(std::shared_ptr<timer> Timer)
        : Timer(std::move(Timer)) {}
    ~subscription() override { Timer->Stopped = true; }
    std::shared_ptr<timer> Timer;
  };

  std::unique_ptr<state::timer_subscription>
  add(state::boot_clock::duration Delay, state::boot_clock::duration Interval,
      handler Handler) {
    auto Timer = std::make_shared<timer>(timer{Interval, std::move(Handler)});
    Queue.emplace(Now + Delay, Timer);
    return std::make_unique<subscription>(std::move(Timer));
  }

  state::time_point Now{std::chrono::hours(1)};
  std::multimap<state::time_point, std::shared_ptr<timer>> Queue;
};

} // namespace hyssopledge::tests
