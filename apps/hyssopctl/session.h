/// \file
/// Connection to the platform for the duration of one command, with blocking
/// wrappers around the asynchronous client.
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
  // Responses are posted from another thread; without the guard run_one() would
  // return immediately instead of waiting for them.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard = boost::asio::make_work_guard(Context);
  transport::asio_timer_service Timers{Context};
  transport::etcd_client Client;

  /// Starts an asynchronous call and runs the loop until its handler is called.
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
