#include "hyssopledge/state/retry.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::state {

retry_budget::retry_budget(double Ratio, std::uint32_t Reserve)
    : DepositPerCall(std::llround(std::clamp(Ratio, 0.0, 1.0) *
                                  static_cast<double>(UnitsPerToken))),
      Capacity(static_cast<std::int64_t>(Reserve) * UnitsPerToken),
      Balance(Capacity) {}

void retry_budget::recordCall() {
  std::int64_t Old = Balance.load(std::memory_order_relaxed);
  while (Old < Capacity && !Balance.compare_exchange_weak(
                               Old, std::min(Capacity, Old + DepositPerCall),
                               std::memory_order_relaxed)) {
  }
}

bool retry_budget::tryAcquire() {
  std::int64_t Old = Balance.load(std::memory_order_relaxed);
  while (Old >= UnitsPerToken)
    if (Balance.compare_exchange_weak(Old, Old - UnitsPerToken,
                                      std::memory_order_relaxed))
      return true;
  return false;
}

double retry_budget::available() const {
  return static_cast<double>(Balance.load(std::memory_order_relaxed)) /
         static_cast<double>(UnitsPerToken);
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
