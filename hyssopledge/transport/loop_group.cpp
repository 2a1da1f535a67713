#include "hyssopledge/transport/loop_group.h"

#include <algorithm>

namespace hyssopledge::transport {

loop_group::loop_group(std::size_t Threads) {
  for (std::size_t I = 0; I < std::max<std::size_t>(Threads, 1); ++I)
    // Hint 1: each loop is run by one thread.
    Contexts.push_back(std::make_unique<boost::asio::io_context>(1));
}

loop_group::~loop_group() { stop(); }

void loop_group::start() {
  for (auto &Context : Contexts) {
    Guards.push_back(boost::asio::make_work_guard(*Context));
    Threads.emplace_back([&Context] { Context->run(); });
  }
}

void loop_group::stop() {
  Guards.clear();
  for (auto &Context : Contexts)
    Context->stop();
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
}

void loop_group::runReadyHandlers() {
  std::size_t Ran = 0;
  do {
    Ran = 0;
    for (auto &Context : Contexts) {
      Context->restart();
      Ran += Context->poll();
    }
  } while (Ran > 0);
}

std::vector<boost::asio::io_context *> loop_group::contexts() const {
  std::vector<boost::asio::io_context *> Result;
  for (const auto &Context : Contexts)
    Result.push_back(Context.get());
  return Result;
}

} // namespace hyssopledge::transport
