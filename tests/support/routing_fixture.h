/// \file
/// Routing view of one service with two versions, for the tests of picker.h.
#pragma once

#include "hyssopledge/state/picker.h"
#include "hyssopledge/state/random.h"

#include <map>

namespace hyssopledge::tests {

struct routing_fixture {
  state::routing_view View;
  state::target_stats_registry Stats;
  state::call_context Call;
  state::attempt_history History;
  state::time_point Now{std::chrono::hours(1)};
  state::random_engine Engine{20261204};

  /// Creates targets old0, old1, ... of v1 and new0, new1, ... of v2.
  routing_fixture(unsigned Old, unsigned New, double Share) {
    state::document Document;
    Document.Environment = "test";
    state::service_spec Service;
    Service.Name = "sizing";
    Service.Versions = {"v1", "v2"};
    Service.StableVersion = "v1";
    Service.Rollout = state::rollout_spec{};
    Service.Rollout->ToVersion = "v2";
    Document.Services = {Service};
    for (const char *Name : {"read", "hold"}) {
      state::route_spec Route;
      Route.Name = Name;
      Route.PathPrefix = std::string("/") + Name;
      Route.Service = "sizing";
      Route.Idempotent = Route.Name == "read";
      Document.Routes.push_back(Route);
    }
    View.Snapshot = state::buildSnapshot(1, "", Document).value();
    state::target_table Table;
    for (unsigned I = 0; I < Old + New; ++I) {
      state::target_record Record;
      Record.Instance =
          I < Old ? "old" + std::to_string(I) : "new" + std::to_string(I - Old);
      Record.Service = "sizing";
      Record.Version = I < Old ? "v1" : "v2";
      Record.DataCentre = "dc" + std::to_string(I % 2);
      Table.Targets.push_back(Record);
    }
    setTargets(Table);
    setDirective(Share);
  }

  void setTargets(const state::target_table &Table) {
    View.Targets = std::make_shared<const state::target_table>(Table);
    Stats.update(Table);
  }
  template <class F> void updateTarget(std::size_t Index, F Change) {
    state::target_table Table = *View.Targets;
    Change(Table.Targets[Index]);
    setTargets(Table);
  }
  void
  setDirective(double Share,
               state::rollout_phase Phase = state::rollout_phase::Running) {
    state::rollout_directive Directive;
    Directive.Service = "sizing";
    Directive.FromVersion = "v1";
    Directive.ToVersion = "v2";
    Directive.Share = Share;
    Directive.Phase = Phase;
    state::directive_table Table;
    Table.ByService["sizing"] = Directive;
    View.Directives =
        std::make_shared<const state::directive_table>(std::move(Table));
  }
  void condemn(const std::string &Version, bool AvoidOnly = false) {
    state::verdict_table Table = *View.Verdicts;
    (AvoidOnly ? Table.Avoided : Table.Condemned).insert({"sizing", Version});
    View.Verdicts = std::make_shared<const state::verdict_table>(Table);
  }
  const state::target_record &target(std::size_t I) const {
    return View.Targets->Targets[I];
  }
  void recordAttempt(std::size_t I, state::attempt_outcome Outcome, int Ms) {
    Stats.recordStart(target(I));
    Stats.recordEnd(target(I), Outcome, state::milliseconds(Ms), Now);
  }

  /// Returns the picked instance, or an empty string. Hold selects the route
  /// that is not idempotent.
  std::string pick(const state::picker &Picker, bool Hold = false) {
    const auto Picked =
        Picker.pick({View, View.Snapshot->Document.Routes[Hold ? 1 : 0], Call,
                     History, Engine(), Now});
    return Picked.has_value() ? Picked.value().Target.Instance : std::string();
  }
  /// Number of first attempts for which each instance is picked.
  std::map<std::string, unsigned> countPicks(const state::picker &Picker,
                                             unsigned Calls) {
    std::map<std::string, unsigned> Counts;
    for (unsigned I = 0; I < Calls; ++I) {
      Call.RandomDraw = Engine();
      ++Counts[pick(Picker)];
    }
    return Counts;
  }
};

} // namespace hyssopledge::tests
