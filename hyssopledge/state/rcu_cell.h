/// \file
/// Shared pointer that threads read without a lock while writers replace it
/// (read-copy-update with liburcu).
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <urcu-bp.h>
#include <utility>

namespace hyssopledge::state {

/// A reader copies the shared pointer within a read-side critical section and
/// may keep the copy indefinitely. publish() blocks until all readers have left
/// the section, so call it from control threads only.
template <class T> class rcu_cell {
public:
  explicit rcu_cell(
      std::shared_ptr<const T> Initial = std::make_shared<const T>())
      : Current(new std::shared_ptr<const T>(std::move(Initial))) {}
  rcu_cell(const rcu_cell &) = delete;
  rcu_cell &operator=(const rcu_cell &) = delete;
  ~rcu_cell() { delete Current.load(); }

  /// Wait-free.
  std::shared_ptr<const T> read() const {
    urcu_bp_read_lock();
    std::shared_ptr<const T> Copy = *Current.load(std::memory_order_acquire);
    urcu_bp_read_unlock();
    return Copy;
  }

  void publish(std::shared_ptr<const T> Next) {
    auto *Fresh = new std::shared_ptr<const T>(std::move(Next));
    const std::lock_guard<std::mutex> Guard(Writers);
    std::shared_ptr<const T> *Old =
        Current.exchange(Fresh, std::memory_order_acq_rel);
    urcu_bp_synchronize_rcu();
    delete Old;
  }

private:
  std::atomic<std::shared_ptr<const T> *> Current;
  std::mutex Writers; // serializes writers; readers never lock it
};

} // namespace hyssopledge::state
