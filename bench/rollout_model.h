/// \file
/// Simulation of a rollout of one service: targets, callers, faults, delivery
/// of evidence to the policy and of directives to the daemons. Steps are one
/// second; each call is drawn individually.
#pragma once

#include "hyssopledge/coordination/rollout_policy.h"
#include "hyssopledge/state/random.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopledge::bench {

/// Deployment sizes from docs/design.md. The old and the new version have the
/// same number of targets, as needed to move all traffic.
struct rollout_deployment {
  std::string Name;
  unsigned Centres = 4;
  unsigned Targets = 4;    // of each version of the service
  unsigned Reporters = 16; // daemons: one per target of each of the 4 services
  double NetworkDelayMs = 1;   // one way, between caller and target
  double CallsPerSecond = 800; // rate of the service
  double MedianRunMs = 30;     // median run time in the upstream
};
/// Capacity 4 targets x 12 slots / 30 ms = 1600 calls/s, half of it used.
rollout_deployment threadAndCrest();
/// Capacity 3 targets x 12 slots / 30 ms = 1200 calls/s, half of it used.
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
  double CompletedAt = -1; // in seconds; share 1 is in force at all daemons
  double LargestShare = 0; // of traffic to the new version
  double LargestShareAfterSymptom = 0; // from the first symptom on
  std::uint64_t HarmedCalls = 0;       // failed or slowed by the new version
  double FirstSymptomAt = -1;          // time of the first harmed call
  double LastNewVersionCallAt = -1; // time of the last call to the new version
  std::string Rule;                 // rule of the last decision
};

rollout_result runRolloutModel(const rollout_deployment &Deployment,
                               rollout_scenario Scenario,
                               const coordination::rollout_policy &Policy,
                               std::uint64_t Seed);

/// Returns the spec of all simulated rollouts: complete_within 600 s,
/// watch_afterward 300 s.
state::rollout_spec modelRolloutSpec();

} // namespace hyssopledge::bench
