/// \file
/// Event queue with a simulated clock. Events of equal time run in order of
/// insertion, so that a run is reproducible from its seed.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace hyssopledge::bench {

class event_queue {
public:
  using action = std::function<void()>;

  state::time_point now() const { return Now; }
  void after(state::boot_clock::duration Delay, action Action) {
    Events.push({Now + Delay, NextOrder++, std::move(Action)});
  }
  void afterMs(double Ms, action Action) {
    after(std::chrono::duration_cast<state::boot_clock::duration>(
              std::chrono::duration<double, std::milli>(Ms)),
          std::move(Action));
  }
  /// Runs all events due within the duration and advances the clock by it.
  void run(state::boot_clock::duration Duration) {
    const state::time_point End = Now + Duration;
    while (!Events.empty() && Events.top().At <= End) {
      // top() returns a const reference; moving from it is safe because the
      // event is popped next.
      action Action = std::move(const_cast<event &>(Events.top()).Action);
      Now = Events.top().At;
      Events.pop();
      Action();
    }
    Now = End;
  }

private:
  struct event {
    state::time_point At;
    std::uint64_t Order;
    action Action;
    bool operator<(const event &Other) const { // puts the earliest on top
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  state::time_point Now{std::chrono::hours(1)};
  std::uint64_t NextOrder = 0;
  std::priority_queue<event> Events;
};

} // namespace hyssopledge::bench
