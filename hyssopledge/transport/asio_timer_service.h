/// \file
/// Timers on Boost.Asio. Control work runs on one event loop with one thread,
/// the data plane on several of them.
#pragma once

#include "hyssopledge/state/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace hyssopledge::transport {

/// Runs timers on an io_context. Handlers run on that context, one at a time
/// when a single thread runs it.
class asio_timer_service final : public state::timer_service {
public:
  explicit asio_timer_service(boost::asio::io_context &Context)
      : Context(Context) {}

  state::time_point now() const override { return state::boot_clock::now(); }
  std::unique_ptr<state::timer_subscription>
  every(state::boot_clock::duration Interval, handler Handler) override;
  std::unique_ptr<state::timer_subscription>
  after(state::boot_clock::duration Delay, handler Handler) override;

private:
  boost::asio::io_context &Context;
};

} // namespace hyssopledge::transport
