/// \file
/// A group of event loops, each run by one thread. A connection stays on the
/// loop that accepted or opened it, so that its state needs no lock.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace hyssopledge::transport {

class loop_group {
public:
  explicit loop_group(std::size_t Threads);
  ~loop_group(); // calls stop()
  loop_group(const loop_group &) = delete;
  loop_group &operator=(const loop_group &) = delete;

  void start();
  /// Stops the loops and joins the threads. Pending handlers stay queued.
  void stop();
  /// Runs the ready handlers of all loops on this thread until none is left.
  /// Call it after stop() and before the loops are destroyed: handlers of one
  /// loop may own objects of another.
  void runReadyHandlers();

  std::size_t size() const { return Contexts.size(); }
  boost::asio::io_context &at(std::size_t Index) { return *Contexts[Index]; }
  std::vector<boost::asio::io_context *> contexts() const;

private:
  using work_guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;
  std::vector<std::unique_ptr<boost::asio::io_context>> Contexts;
  std::vector<work_guard> WorkGuards;
  std::vector<std::thread> Threads;
};

} // namespace hyssopledge::transport
