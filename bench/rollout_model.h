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
struct rollout_deployment {
  std::string Name;
  unsigned Centres = 4;
  unsigned Targets = 4;        // of each version of the service
  unsigned Reporters = 16;     // daemons, one for each target of the 4 services
  double NetworkDelayMs = 1;   // between callers, centres and targets
  double CallsPerSecond = 800; // of the service
  double MedianRunMs = 30;     // median time in the upstream
};
/// 4 targets x 12 slots at 30 ms hold 1600 calls/s: half loaded.
rollout_deployment threadAndCrest();
/// 3 targets x 12 slots at 30 ms hold 1200 calls/s: half loaded.
rollout_deployment dogParks();

enum class rollout_scenario {
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
constexpr rollout_scenario BadScenarios[] = {
    rollout_scenario::FailsAtOnce,    rollout_scenario::FailsLater,
    rollout_scenario::SlowAtOnce,     rollout_scenario::SlowLater,
    rollout_scenario::FailsUnderLoad, rollout_scenario::FailsOnOneRoute,
    rollout_scenario::SlowOnOneRoute};
constexpr rollout_scenario LookAlikeScenarios[] = {
    rollout_scenario::ColdStart,      rollout_scenario::SlowCentre,
    rollout_scenario::FaultOfBoth,    rollout_scenario::Shedding,
    rollout_scenario::MisledReporter, rollout_scenario::Poison};
std::string scenarioName(rollout_scenario Scenario);

struct rollout_result {
  bool RolledBack = false;
  double CompletedAt = -1; // seconds; share 1 in force at every daemon
  double LargestShare = 0; // while the version was in the rollout
  double LargestShareAfterSymptom = 0; // after its first symptom
  std::uint64_t HarmedCalls =
      0;                      // calls that failed or were slowed by the version
  double FirstSymptomAt = -1; // first harmed call
  double LastNewVersionCallAt = -1; // last call of the new version
  std::string Rule;                 // of the last decision
};

rollout_result runRolloutModel(const rollout_deployment &Deployment,
                               rollout_scenario Scenario,
                               const coordination::rollout_policy &Policy,
                               std::uint64_t Seed);

/// complete_within 600 s, watch_afterward 300 s.
state::rollout_spec modelRolloutSpec();

} // namespace hyssopledge::bench
