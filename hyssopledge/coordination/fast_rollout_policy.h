/// \file
/// Decides the share of a new version while it is moved in within seconds.
/// rollout_policy.h plans moves of minutes; its tests need more calls than a
/// short move has. No I/O and no state, so that another coordinator continues
/// from the record and the evidence.
#pragma once

#include "hyssopledge/coordination/fleet_directory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hyssopledge::coordination {

/// Answers of one version's upstreams to one route's requests.
struct run_count {
  std::uint64_t Runs = 0;
  std::uint64_t Failures = 0; // answered with 5xx or with an unusable answer
  std::uint64_t TotalMs = 0;  // sum of the run times of whole answers
};
using route_counts = std::map<std::string, run_count>; // by route

struct fast_rollout_input {
  std::chrono::milliseconds Elapsed{};   // since the order was seen
  std::chrono::milliseconds Duration{};  // from the order to its deadline
  std::chrono::milliseconds SinceStep{}; // since the share last changed
  std::uint32_t ShareBp = 0;
  std::uint32_t NewSlots = 0; // of serving upstreams of the new version
  std::uint32_t OldSlots = 0;
  bool NewCold = false;    // some upstream of the new version has just started
  const route_counts &New; // since the order
  const route_counts &NewInStep; // since the share last changed
  const route_counts &Old;       // since the order
};

struct fast_rollout_decision {
  rollout_state State = rollout_state::Running;
  std::uint32_t ShareBp = 0;
  std::string Rule; // fixed name, for the log
};

/// Why the version is bad, or empty.
std::string versionFault(const route_counts &New, const route_counts &Old,
                         bool NewCold);

/// The share and state that are right now.
fast_rollout_decision decideShare(const fast_rollout_input &Input);

} // namespace hyssopledge::coordination
