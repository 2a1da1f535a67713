/// \file
/// Builds and publishes the routing view that request handling reads.
#pragma once

#include "hyssopledge/coordination/directive_store.h"
#include "hyssopledge/protocol/generated/control.pb.h"
#include "hyssopledge/state/routing_view.h"
#include "hyssopledge/state/target_stats.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::hyssopd {

/// All methods except view() must be called on the control thread. Each change
/// publishes a new view.
class view_builder {
public:
  explicit view_builder(state::target_stats_registry &Stats) : Stats(Stats) {}

  const state::routing_view_cell &view() const { return PublishedView; }
  const state::routing_view &current() const { return View; }

  void setSnapshot(std::shared_ptr<const state::snapshot> Snapshot);
  /// Replaces the targets. Dead and departed members have none; targets of a
  /// suspected member are used only if the version has no other target.
  void setMembers(const std::vector<control::member> &Members,
                  state::time_point Now);
  void setRollouts(std::shared_ptr<const state::directive_table> Directives,
                   std::shared_ptr<const state::verdict_table> Verdicts);
  void setPoison(std::set<std::uint64_t> Fingerprints);

private:
  void publish();

  state::target_stats_registry &Stats;
  state::routing_view View;
  state::routing_view_cell PublishedView;
  // Keyed by instance, incarnation and version.
  std::map<std::string, state::time_point> FirstSeen;
};

} // namespace hyssopledge::hyssopd
