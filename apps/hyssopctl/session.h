/// \file
/// A connection to the platform for one command.
#pragma once

#include "commands.h"
#include "hyssopledge/transport/asio_timer_service.h"
#include "hyssopledge/transport/etcd_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace hyssopledge::hyssopctl {

struct session {
  explicit session(const options &Options)
      : Client(Context, Options.Settings.Platform) {}

  boost::asio::io_context Context;
  // The answers come from another thread; without work the loop would not wait.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard = boost::asio::make_work_guard(Context);
  transport::asio_timer_service Timers{Context};
  transport::etcd_client Client;

  /// Runs the loop until the call has answered.
  template <class T, class F> state::result<T> await(F Start) {
    std::optional<state::result<T>> Outcome;
    Start([&Outcome](state::result<T> Result) { Outcome = std::move(Result); });
    while (!Outcome)
      Context.run_one();
    return std::move(*Outcome);
  }

  state::result<coordination::platform_read> get(const std::string &Key,
                                                 bool Prefix) {
    return await<coordination::platform_read>(
        [&](auto Handler) { Client.get(Key, Prefix, std::move(Handler)); });
  }

  void sleep(std::chrono::milliseconds Duration) {
    bool HasElapsed = false;
    const auto Timer = Timers.after(
        Duration, [&HasElapsed](auto /*Now*/) { HasElapsed = true; });
    while (!HasElapsed)
      Context.run_one();
  }
};

} // namespace hyssopledge::hyssopctl
