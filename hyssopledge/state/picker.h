/// \file
/// Chooses the version and the target of an attempt.
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

/// What earlier attempts of the same call did, so that a retry goes elsewhere
/// and never to a newer version.
struct attempt_history {
  std::vector<std::string> TriedInstances;
  bool TriedNewVersion = false; // a retry then uses the old version only
  bool TriedOldVersion = false; // a retry never moves from old to new
};

struct picked_target {
  target_record Target;
  bool NewVersion = false; // the attempt counts toward the rollout's share
};

struct pick_request {
  const routing_view &View;
  const route_spec &Route;
  const call_context &Call;
  const attempt_history &History;
  std::uint64_t Random; // uniform; a fresh draw for each attempt
  time_point Now;
};

/// Behaviour that varies: the shipped policy and the baselines of the bench.
class picker {
public:
  virtual ~picker() = default;
  /// A target, or NoTarget with the reason.
  virtual result<picked_target> pick(const pick_request &Request) const = 0;
};

/// Two random choices by latency times (in flight + 1), with fresh load hints,
/// ejection and slow start. Calls with an idempotency key on a route that is
/// not idempotent go to their home target by rendezvous hash.
/// LocalDataCentre is preferred while its targets do about as well as the
/// others; empty: no preference.
std::unique_ptr<picker> makeTwoChoicePicker(const target_stats_registry &Stats,
                                            std::string LocalDataCentre = {});
std::unique_ptr<picker> makeRoundRobinPicker();
std::unique_ptr<picker>
makeLeastReportedLoadPicker(const target_stats_registry &Stats);

/// The version that a first attempt uses: the directive's share of draws goes
/// to the new version, unless it is condemned, avoided or rolled back.
struct version_choice {
  std::string Version; // empty: every version that may be used is condemned,
                       // avoided or missing in the document
  bool NewVersion = false;
};
version_choice chooseVersion(const routing_view &View,
                             const service_spec &Service, std::uint64_t Draw,
                             const attempt_history &History);

/// The target that keeps the idempotency key; null when none is serving. It
/// depends on the key and the names of the serving instances only, so that all
/// daemons agree and a restarted instance remains the home of its keys.
const target_record *homeTarget(const target_table &Targets,
                                std::string_view Service,
                                std::string_view Version, std::string_view Key);

} // namespace hyssopledge::state
