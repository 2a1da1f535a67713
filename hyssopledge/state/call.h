/// \file
/// What is known of a call on its way: its limits, and how an attempt ended.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <string>

namespace hyssopledge::state {

/// Travels with the call over its whole depth, see protocol/call_headers.h.
struct call_context {
  std::string Method;
  std::string Path;
  std::string IdempotencyKey;     // empty: the caller gave none
  time_point Deadline{};          // no answer is awaited after it
  std::uint32_t AttemptsLeft = 3; // for this hop and all hops below it
  std::uint32_t Depth = 0;        // hops above this one
  std::uint64_t Fingerprint = 0;  // see requestFingerprint in state/poison.h
  std::uint64_t RandomDraw =
      0; // uniform; decides the version of a first attempt
};

/// How one attempt ended, as far as the caller's side can know.
enum class attempt_outcome {
  Success, // a whole answer with a status below 500
  Failed,  // a whole answer with a status of 500 or above: the request ran
  NotRun,  // refused with "not run", or the connection failed before the first
           // byte was written
  Unknown, // the request may have run: the answer was cut short, or none came
  Cancelled, // the caller went away or the deadline passed before the answer
};

/// One finished attempt, for evidence, metrics and outlier detection.
struct attempt_report {
  std::string Service;
  std::string Version;
  std::string Route;
  std::string Instance;   // of the target
  std::string DataCentre; // of the target
  attempt_outcome Outcome = attempt_outcome::Success;
  milliseconds Latency{0}; // from choosing the target to the end of the answer
  bool NewVersion = false; // counted toward a rollout's share
  bool TargetWarmingUp = false;
  bool Poison = false; // the request is known or suspected to crash targets
};

} // namespace hyssopledge::state
