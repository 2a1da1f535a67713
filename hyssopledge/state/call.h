/// \file
/// Context of a call and outcome of its attempts.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <string>

namespace hyssopledge::state {

/// Limits and identity of a call. Propagated over all hops by the headers in
/// protocol/call_headers.h.
struct call_context {
  std::string Method;
  std::string Path;
  std::string IdempotencyKey;     // empty: the caller sent none
  time_point Deadline{};          // the caller stops waiting then
  std::uint32_t AttemptsLeft = 3; // for this hop and all later ones
  std::uint32_t Depth = 0;        // number of earlier hops
  std::uint64_t Fingerprint = 0;  // see requestFingerprint in state/poison.h
  std::uint64_t RandomDraw = 0;   // uniform; selects the version
};

/// How one attempt ended, as seen from the calling side.
enum class attempt_outcome {
  Success,   // complete response with a status below 500
  Failed,    // complete response with a status of 500 or above: the request ran
  NotRun,    // refused as "not run", or the connection failed before the first
             // byte was written
  Unknown,   // truncated or missing response: the request may have run
  Cancelled, // the caller disconnected or the deadline passed first
};

/// One finished attempt, for evidence, metrics and outlier detection.
struct attempt_report {
  std::string Service;
  std::string Version;
  std::string Route;
  std::string Instance;   // of the target
  std::string DataCentre; // of the target
  attempt_outcome Outcome = attempt_outcome::Success;
  milliseconds Latency{0}; // from target selection to the end of the response
  bool UsesNewVersion = false; // counts toward the rollout's share
  bool TargetWarmingUp = false;
  bool Poison = false; // the request has crashed targets or is suspected of it
};

} // namespace hyssopledge::state
