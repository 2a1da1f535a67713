/// \file
/// Generates evidence from a simple call model for tests of rollout decisions.
#pragma once

#include "hyssopledge/coordination/evidence.h"
#include "hyssopledge/state/random.h"

#include <cmath>
#include <random>
#include <string>

namespace hyssopledge::tests {

/// Behaviour of one version on one route.
struct call_model {
  double FailureRate = 0.005;
  double MedianMs = 12;
  double LogSpread = 0.5;
};

inline coordination::evidence_counts sampleCalls(state::random_engine &Random,
                                                 std::uint64_t Calls,
                                                 const call_model &Model) {
  coordination::evidence_counts Counts;
  std::lognormal_distribution<double> Latency(std::log(Model.MedianMs),
                                              Model.LogSpread);
  for (std::uint64_t I = 0; I < Calls; ++I) {
    if (state::unitInterval(Random()) < Model.FailureRate) {
      ++Counts.Failures;
      continue;
    }
    ++Counts.Successes;
    ++Counts.Latency[coordination::latencyBucket(
        state::milliseconds(static_cast<std::int64_t>(Latency(Random))))];
  }
  return Counts;
}

inline std::uint64_t poisson(state::random_engine &Random, double Mean) {
  return Mean <= 0 ? 0 : std::poisson_distribution<std::uint64_t>(Mean)(Random);
}

} // namespace hyssopledge::tests
