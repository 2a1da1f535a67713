/// \file
/// Runs functions after a delay on a thread of its own.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace hyssopledge::platform_standin {

class scheduler {
public:
  scheduler() : Thread([this] { run(); }) {}
  ~scheduler() {
    {
      const std::lock_guard Lock(Mutex);
      Stopping = true;
    }
    QueueChanged.notify_all();
    Thread.join();
  }
  scheduler(const scheduler &) = delete;
  scheduler &operator=(const scheduler &) = delete;

  void runAfter(std::chrono::milliseconds Delay,
                std::function<void()> Function) {
    {
      const std::lock_guard Lock(Mutex);
      Queue.emplace(std::chrono::steady_clock::now() + Delay,
                    std::move(Function));
    }
    QueueChanged.notify_all();
  }

  /// While on, functions run immediately instead of after their delay. Needed
  /// at server shutdown, which waits for delayed responses.
  void setRunImmediately(bool On) {
    {
      const std::lock_guard Lock(Mutex);
      RunImmediately = On;
    }
    QueueChanged.notify_all();
  }

private:
  void run() {
    std::unique_lock Lock(Mutex);
    while (!Stopping) {
      if (Queue.empty()) {
        QueueChanged.wait(Lock);
      } else if (!RunImmediately &&
                 Queue.begin()->first > std::chrono::steady_clock::now()) {
        QueueChanged.wait_until(Lock, Queue.begin()->first);
      } else {
        const auto Function = Queue.extract(Queue.begin()).mapped();
        Lock.unlock();
        Function();
        Lock.lock();
      }
    }
  }

  std::mutex Mutex;
  std::condition_variable QueueChanged;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>>
      Queue;
  bool RunImmediately = false;
  bool Stopping = false;
  std::thread Thread; // last member: it uses the others
};

} // namespace hyssopledge::platform_standin
