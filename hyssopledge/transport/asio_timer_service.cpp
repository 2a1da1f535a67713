#include "hyssopledge/transport/asio_timer_service.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace hyssopledge::transport {

namespace {

using state::boot_clock;

struct timer_state : std::enable_shared_from_this<timer_state> {
  timer_state(boost::asio::io_context &Context, boot_clock::duration Interval,
              state::timer_service::handler Handler)
      : Timer(Context), Interval(Interval), Handler(std::move(Handler)) {}

  void start(bool Repeat) {
    Timer.expires_after(Interval);
    Timer.async_wait([Self = shared_from_this(),
                      Repeat](const boost::system::error_code &Error) {
      if (Error || Self->Stopped)
        return;
      Self->Handler(boot_clock::now());
      if (Repeat && !Self->Stopped)
        Self->start(true);
    });
  }

  boost::asio::steady_timer Timer;
  boot_clock::duration Interval;
  state::timer_service::handler Handler;
  bool Stopped = false;
};

class asio_subscription final : public state::timer_subscription {
public:
  explicit asio_subscription(std::shared_ptr<timer_state> State)
      : State(std::move(State)) {}
  ~asio_subscription() override {
    State->Stopped = true;
    State->Timer.cancel();
  }

private:
  std::shared_ptr<timer_state> State;
};

std::unique_ptr<state::timer_subscription>
subscribe(boost::asio::io_context &Context, boot_clock::duration Interval,
          state::timer_service::handler Handler, bool Repeat) {
  auto State =
      std::make_shared<timer_state>(Context, Interval, std::move(Handler));
  State->start(Repeat);
  return std::make_unique<asio_subscription>(std::move(State));
}

} // namespace

std::unique_ptr<state::timer_subscription>
asio_timer_service::every(boot_clock::duration Interval, handler Handler) {
  return subscribe(Context, Interval, std::move(Handler), true);
}

std::unique_ptr<state::timer_subscription>
asio_timer_service::after(boot_clock::duration Delay, handler Handler) {
  return subscribe(Context, Delay, std::move(Handler), false);
}

} // namespace hyssopledge::transport
