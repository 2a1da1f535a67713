/// \file
/// Puts together what the path of a request reads and publishes it.
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

/// Control thread only, but for view(). Each change publishes a new view.
class view_builder {
public:
  explicit view_builder(state::target_stats_registry &Stats) : Stats(Stats) {}

  const state::routing_view_cell &view() const { return PublishedView; }
  const state::routing_view &current() const { return View; }

  void setSnapshot(std::shared_ptr<const state::snapshot> Snapshot);
  /// Members that are dead or have left have no targets. Targets of a suspected
  /// member are used only while no other target of the version is left.
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
  std::map<std::string, state::time_point>
      FirstSeen; // by instance, incarnation and version
};

} // namespace hyssopledge::hyssopd
