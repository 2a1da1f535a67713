/// \file
/// A model of one service in a rollout: targets, callers, faults, and the way
/// of evidence to the policy and of directives back. Second by second, each
/// call drawn by itself.
#pragma once

#include "hyssopledge/coordination/rollout_policy.h"
#include "hyssopledge/state/random.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopledge::bench {

/// Sizes of docs/design.md. The old and the new version have as many targets
/// each, as an operator provides them to move all traffic.
struct deployment {
  std::string Name;
  unsigned Centres = 4;
  unsigned Targets = 4;        // of each version of the service
  unsigned Reporters = 16;     // daemons, one for each target of the 4 services
  double CallerMs = 1;         // between callers, centres and targets
  double CallsPerSecond = 800; // of the service
  double WorkMs = 30;          // median time in the upstream
};
/// 4 targets x 12 slots at 30 ms hold 1600 calls/s: half loaded.
deployment threadAndCrest();
/// 3 targets x 12 slots at 30 ms hold 1200 calls/s: half loaded.
deployment dogParks();

enum class model_kind {
  // Bad versions
  FailsAtOnce,
  FailsLater,
  SlowAtOnce,
  SlowLater,
  FailsUnderLoad,
  FailsOnOneRoute,
  SlowOnOneRoute,
  // Good versions
  Good,
  ColdStart,
  SlowCentre,
  FaultOfBoth,
  Shedding,
  MisledReporter,
  Poison,
};
constexpr model_kind BadKinds[] = {
    model_kind::FailsAtOnce,    model_kind::FailsLater,
    model_kind::SlowAtOnce,     model_kind::SlowLater,
    model_kind::FailsUnderLoad, model_kind::FailsOnOneRoute,
    model_kind::SlowOnOneRoute};
constexpr model_kind LookAlikes[] = {
    model_kind::ColdStart, model_kind::SlowCentre,     model_kind::FaultOfBoth,
    model_kind::Shedding,  model_kind::MisledReporter, model_kind::Poison};
std::string kindName(model_kind Kind);

struct model_result {
  bool RolledBack = false;
  double CompleteAt = -1;     // seconds; share 1 in force at every daemon
  double LargestShare = 0;    // while the version was in the rollout
  double LargestShareBad = 0; // after its first symptom
  std::uint64_t Harmed = 0;   // calls that failed or were slowed by the version
  double SymptomAt = -1;      // first harmed call
  double LastNewCallAt = -1;  // last call of the new version
  std::string Rule;           // of the last decision
};

model_result runModel(const deployment &Deployment, model_kind Kind,
                      const coordination::rollout_policy &Policy,
                      std::uint64_t Seed);

/// complete_within 600 s, watch_afterward 300 s.
state::rollout_spec modelSpec();

} // namespace hyssopledge::bench
