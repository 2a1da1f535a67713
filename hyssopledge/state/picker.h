/// \file
/// Load balancing: chooses the version and the target of an attempt.
#pragma once

#include "hyssopledge/state/call.h"
#include "hyssopledge/state/result.h"
#include "hyssopledge/state/routing_view.h"
#include "hyssopledge/state/target_stats.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopledge::state {

/// Earlier attempts of the same call. A retry uses another target and never
/// moves to a newer version.
struct attempt_history {
  std::vector<std::string> TriedInstances;
  bool TriedNewVersion = false; // retries use the old version only
  bool TriedOldVersion = false; // retries stay on the old version
};

struct picked_target {
  target_record Target;
  bool UsesNewVersion = false; // the attempt counts toward the rollout's share
};

struct pick_request {
  const routing_view &View;
  const route_spec &Route;
  const call_context &Call;
  const attempt_history &History;
  std::uint64_t Random; // uniform; a new draw for each attempt
  time_point Now;
};

/// Interface of the production policy and of the baselines in bench/.
class picker {
public:
  virtual ~picker() = default;
  /// Returns a target. Fails with NotReady without a configuration, or with
  /// NoTarget and the reason.
  virtual result<picked_target> pick(const pick_request &Request) const = 0;
};

/// Power of two choices, scored by latency * (requests in flight + 1), with
/// recent load hints, outlier ejection and slow start. Calls with an
/// idempotency key on a route that is not idempotent go to their home target by
/// rendezvous hash. Targets in LocalDataCentre are preferred while their score
/// is close to that of the others; empty: no preference.
std::unique_ptr<picker> makeTwoChoicePicker(const target_stats_registry &Stats,
                                            std::string LocalDataCentre = {});
std::unique_ptr<picker> makeRoundRobinPicker();
std::unique_ptr<picker>
makeLeastReportedLoadPicker(const target_stats_registry &Stats);

/// Version of an attempt.
struct version_choice {
  std::string Version; // empty: every candidate is condemned, avoided or
                       // missing in the document
  bool UsesNewVersion = false; // the attempt counts toward the rollout's share
};
/// A first attempt uses the new version for the directive's share of draws,
/// unless that version is condemned, avoided or rolled back.
version_choice chooseVersion(const routing_view &View,
                             const service_spec &Service, std::uint64_t Draw,
                             const attempt_history &History);

/// The target that stores the idempotency key; null when none is serving. It
/// depends only on the key and the names of the serving instances, so that all
/// daemons agree on it and a restarted instance remains the home of its keys.
const target_record *homeTarget(const target_table &Targets,
                                std::string_view Service,
                                std::string_view Version, std::string_view Key);

} // namespace hyssopledge::state
