/// \file
/// One event loop for each thread. A connection stays on the loop that accepted
/// or opened it, so that its state needs no lock.
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
  ~loop_group(); // stops
  loop_group(const loop_group &) = delete;
  loop_group &operator=(const loop_group &) = delete;

  void start();
  /// Stops the loops and joins the threads. Waiting handlers are kept.
  void stop();
  /// After stop(): runs on this thread what is ready, until nothing is. Objects
  /// of one loop may be held by handlers of another, so handlers must have run
  /// before the loops are destroyed.
  void runReadyHandlers();

  std::size_t size() const { return Contexts.size(); }
  boost::asio::io_context &at(std::size_t Index) { return *Contexts[Index]; }
  std::vector<boost::asio::io_context *> contexts() const;

private:
  using work_guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;
  std::vector<std::unique_ptr<boost::asio::io_context>> Contexts;
  std::vector<work_guard> Guards;
  std::vector<std::thread> Threads;
};

} // namespace hyssopledge::transport
