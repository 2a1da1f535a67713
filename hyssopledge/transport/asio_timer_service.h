/// \file
/// The Boost.Asio event loop: control work runs on one thread, the data plane
/// on several.
#pragma once

#include "hyssopledge/state/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace hyssopledge::transport {

/// Timers on an io_context. Handlers run on that context, one at a time for a
/// context run by one thread.
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
