/// \file
/// Whether a failed attempt is sent again.
#pragma once

#include "hyssopledge/state/call.h"
#include "hyssopledge/state/clock.h"

#include <atomic>
#include <cstdint>

namespace hyssopledge::state {

/// Tokens for retries: each first attempt adds Ratio of a token, each retry
/// takes one. Lock-free.
class retry_budget {
public:
  /// Ratio: retries for each call, 0..1. Reserve: retries allowed without any
  /// calls, and the cap of the store.
  retry_budget(double Ratio, std::uint32_t Reserve);
  void recordCall();
  bool tryAcquire();
  double available() const;

private:
  static constexpr std::int64_t Token = 1000; // tokens are kept in thousandths
  std::int64_t Deposit;
  std::int64_t Cap;
  std::atomic<std::int64_t> Balance;
};

enum class retry_decision { Retry, GiveUp };

struct retry_request {
  attempt_outcome Outcome = attempt_outcome::Failed;
  bool Idempotent = false; // of the route
  bool RetriedByLaterHop =
      false;           // a hop below has spent retries on this failure
  bool Poison = false; // the request crashed its target
  std::uint32_t AttemptsLeft = 0; // after the attempt that failed
  time_point Deadline{};
  time_point Now{};
};

/// Attempts that the hop below is told of, when this hop was told Received and
/// makes its attempt number AttemptsMade (the first is 1). First attempts are
/// always made, hence at least 1.
inline std::uint32_t attemptsLeftForNextHop(std::uint32_t Received,
                                            std::uint32_t AttemptsMade) {
  return Received > AttemptsMade ? Received - AttemptsMade + 1 : 1;
}

/// What the caller learns when the last attempt ended with Last. "Not run" is
/// true only when no earlier attempt may have run.
inline attempt_outcome callOutcome(attempt_outcome Last,
                                   bool EarlierMayHaveRun) {
  return Last == attempt_outcome::NotRun && EarlierMayHaveRun
             ? attempt_outcome::Unknown
             : Last;
}

/// Takes a token from the budget only when it decides for a retry.
retry_decision decideRetry(const retry_request &Request, retry_budget &Budget);

} // namespace hyssopledge::state
