/// \file
/// Decides the share of a new version in a rollout of seconds. rollout_policy.h
/// plans rollouts of minutes; its tests need more calls than a short rollout
/// has. No I/O and no state, so that another coordinator can continue from the
/// record and the evidence.
#pragma once

#include "hyssopledge/coordination/fleet_directory.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hyssopledge::coordination {

/// Responses of one version's upstreams on one route.
struct run_counts {
  std::uint64_t Runs = 0;
  std::uint64_t Failures = 0; // 5xx or invalid responses
  std::uint64_t TotalMs = 0;  // run time of complete responses
  /// Runs that took longer than usual and were ended by their deadline or their
  /// caller before a response; not included in Runs.
  std::uint64_t Unfinished = 0;
  std::uint64_t UnfinishedMs = 0; // their time until then

  bool operator==(const run_counts &) const = default;
};
using route_counts = std::map<std::string, run_counts>; // by route

struct fast_rollout_input {
  std::chrono::milliseconds Elapsed{};   // since the order was received
  std::chrono::milliseconds Duration{};  // from the order to its deadline
  std::chrono::milliseconds SinceStep{}; // since the share last changed
  std::uint32_t ShareBp = 0;
  std::uint32_t NewSlots = 0; // slots of serving upstreams of the new version
  std::uint32_t OldSlots = 0;
  bool NewCold = false;          // some new upstream has just started
  const route_counts &New;       // since the order
  const route_counts &NewInStep; // since the share last changed
  const route_counts &Old;       // since the order
  /// The daemons beside at least half of the new slots have reported recently.
  bool EvidenceCurrent = true;
  /// The state can be recorded; without it the version can only be rolled back.
  bool PlatformReached = true;
};

struct fast_rollout_decision {
  rollout_state State = rollout_state::Running;
  std::uint32_t ShareBp = 0;
  std::string Rule; // fixed name, for the log
};

/// Returns why the new version is bad, or an empty string.
std::string versionFault(const route_counts &New, const route_counts &Old,
                         bool NewCold);

/// Returns the share and state that should apply now.
fast_rollout_decision decideShare(const fast_rollout_input &Input);

} // namespace hyssopledge::coordination
