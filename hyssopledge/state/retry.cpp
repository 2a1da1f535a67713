#include "hyssopledge/state/retry.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::state {

retry_budget::retry_budget(double Ratio, std::uint32_t Reserve)
    : Deposit(std::llround(std::clamp(Ratio, 0.0, 1.0) *
                           static_cast<double>(Token))),
      Cap(static_cast<std::int64_t>(Reserve) * Token), Balance(Cap) {}

void retry_budget::recordCall() {
  std::int64_t Old = Balance.load(std::memory_order_relaxed);
  while (Old < Cap &&
         !Balance.compare_exchange_weak(Old, std::min(Cap, Old + Deposit),
                                        std::memory_order_relaxed)) {
  }
}

bool retry_budget::tryAcquire() {
  std::int64_t Old = Balance.load(std::memory_order_relaxed);
  while (Old >= Token)
    if (Balance.compare_exchange_weak(Old, Old - Token,
                                      std::memory_order_relaxed))
      return true;
  return false;
}

double retry_budget::available() const {
  return static_cast<double>(Balance.load(std::memory_order_relaxed)) /
         static_cast<double>(Token);
}

retry_decision decideRetry(const retry_request &Request, retry_budget &Budget) {
  const bool MayRunAgain =
      Request.Outcome == attempt_outcome::NotRun ||
      (Request.Idempotent && (Request.Outcome == attempt_outcome::Failed ||
                              Request.Outcome == attempt_outcome::Unknown));
  if (!MayRunAgain || Request.Poison || Request.RetriedByLaterHop ||
      Request.AttemptsLeft == 0 || Request.Now >= Request.Deadline ||
      !Budget.tryAcquire())
    return retry_decision::GiveUp;
  return retry_decision::Retry;
}

} // namespace hyssopledge::state
