/// \file
/// Retry decisions and the retry budget of one daemon.
#pragma once

#include "hyssopledge/state/call.h"
#include "hyssopledge/state/clock.h"

#include <atomic>
#include <cstdint>

namespace hyssopledge::state {

/// Token bucket for retries: each first attempt adds Ratio of a token, each
/// retry consumes one. Lock-free.
class retry_budget {
public:
  /// Ratio: retries for each call, 0..1. Reserve: the initial number of tokens
  /// and the capacity of the bucket.
  retry_budget(double Ratio, std::uint32_t Reserve);
  void recordCall();        // a first attempt
  bool tryAcquire();        // false when less than one token is left
  double available() const; // in tokens

private:
  static constexpr std::int64_t UnitsPerToken = 1000;
  std::int64_t DepositPerCall; // in units, as the members below
  std::int64_t Capacity;
  std::atomic<std::int64_t> Balance;
};

enum class retry_decision { Retry, GiveUp };

struct retry_request {
  attempt_outcome Outcome = attempt_outcome::Failed;
  bool Idempotent = false;        // of the route
  bool RetriedByLaterHop = false; // a later hop has retried this failure
  bool Poison = false;            // the request crashed its target
  std::uint32_t AttemptsLeft = 0; // after the failed attempt
  time_point Deadline{};
  time_point Now{};
};

/// Number of attempts to pass on to the next hop with attempt number
/// AttemptsMade (from 1) of this hop, which received Received from the previous
/// one. At least 1, since first attempts are always made.
inline std::uint32_t attemptsLeftForNextHop(std::uint32_t Received,
                                            std::uint32_t AttemptsMade) {
  return Received > AttemptsMade ? Received - AttemptsMade + 1 : 1;
}

/// Outcome to report to the caller when the last attempt ended with Last. It is
/// NotRun only when no earlier attempt may have run.
inline attempt_outcome callOutcome(attempt_outcome Last,
                                   bool EarlierMayHaveRun) {
  return Last == attempt_outcome::NotRun && EarlierMayHaveRun
             ? attempt_outcome::Unknown
             : Last;
}

/// Consumes a token of the budget only when it returns Retry.
retry_decision decideRetry(const retry_request &Request, retry_budget &Budget);

} // namespace hyssopledge::state
