/// \file
/// Random jitter, and a rate limit of calls with exponential back-off.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/random.h"

#include <algorithm>
#include <chrono>

namespace hyssopledge::coordination {

inline state::boot_clock::duration scaled(state::boot_clock::duration Time,
                                          double Factor) {
  return std::chrono::duration_cast<state::boot_clock::duration>(Time * Factor);
}

/// Returns a uniformly distributed duration between Min and Max.
inline state::boot_clock::duration
randomBetween(state::random_engine &Random, state::boot_clock::duration Min,
              state::boot_clock::duration Max) {
  return Min + scaled(Max - Min, state::unitInterval(Random()));
}

/// Limits a daemon's calls to the platform by a token bucket and, after
/// failures, by a jittered exponential back-off.
class call_budget {
public:
  struct options {
    double Burst = 160; // calls; a first start reads each part with one call
    double CallsPerSecond = 2; // refill rate
    state::milliseconds MinBackoff{500};
    state::milliseconds MaxBackoff{60000};
  };
  explicit call_budget(options Options) : Options(Options) {}
  call_budget() : call_budget(options()) {}

  /// Consumes the calls and returns true if the budget has them and no back-off
  /// is active.
  bool tryConsume(state::time_point Now, std::size_t Calls) {
    Tokens = std::min(
        Options.Burst,
        Tokens + Options.CallsPerSecond *
                     std::chrono::duration<double>(Now - LastRefill).count());
    LastRefill = Now;
    if (Now < BlockedUntil || Tokens < static_cast<double>(Calls))
      return false;
    Tokens -= static_cast<double>(Calls);
    return true;
  }
  void onSuccess() { Failures = 0; }
  /// Calls that fail while a back-off is active were sent before it began; they
  /// do not extend it.
  void onFailure(state::time_point Now, state::random_engine &Random) {
    if (Now < BlockedUntil)
      return;
    const auto Backoff = std::min<state::milliseconds>(
        Options.MaxBackoff,
        Options.MinBackoff * (1U << std::min(Failures, 10U)));
    ++Failures;
    BlockedUntil = Now + randomBetween(Random, Backoff / 2, Backoff);
  }

private:
  options Options;
  double Tokens = Options.Burst;
  unsigned Failures = 0;
  state::time_point LastRefill{};
  state::time_point BlockedUntil{};
};

} // namespace hyssopledge::coordination
