/// \file
/// The hyssopd process: connects the control plane to the data plane and runs
/// them from startup to shutdown.
#pragma once

#include "apps/hyssopd/rollout_runtime.h"
#include "apps/hyssopd/view_builder.h"
#include "hyssopledge/protocol/settings.h"
#include "hyssopledge/state/picker.h"
#include "hyssopledge/state/poison.h"
#include "hyssopledge/state/result.h"
#include "hyssopledge/state/retry.h"
#include "hyssopledge/transport/admin_server.h"
#include "hyssopledge/transport/control_plane.h"
#include "hyssopledge/transport/data_plane.h"
#include "hyssopledge/transport/etcd_client.h"
#include "hyssopledge/transport/logging.h"
#include "hyssopledge/transport/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::hyssopd {

/// The thread that calls run() is the control thread. The data plane has its
/// own threads and posts its events to the control thread.
class daemon {
public:
  /// Binds all addresses; returns Unavailable if one is in use.
  static state::result<std::unique_ptr<daemon>>
  open(const protocol::daemon_settings &Settings);
  ~daemon();

  /// Runs the control thread. Returns after SIGTERM or SIGINT, once admitted
  /// calls have finished.
  void run();

private:
  explicit daemon(const protocol::daemon_settings &Settings);
  state::result<bool> start();

  //--- Events, control thread -------------------------------------------------
  void onSnapshot(std::shared_ptr<const state::snapshot> Snapshot);
  void onMembers();
  void onRecord(const control::gossip_record &Record);
  void onAnnouncement(std::optional<state::upstream_announcement> Announcement);
  void onCrash(const std::vector<state::crash_sighting> &Sightings);
  void onSuccess(std::uint64_t Fingerprint);
  void recordSighting(const state::crash_sighting &Sighting,
                      state::time_point Now);
  void onTick(state::time_point Now);
  void onSignal(int Number);
  void awaitSignal();
  void updatePoisonTables(state::time_point Now);
  void publishTargets();
  void updateMetrics(state::time_point Now);

  //--- Data plane -------------------------------------------------------------
  transport::data_plane_hooks dataPlaneHooks();
  state::admission_limits admissionLimits(const std::string &Service) const;
  std::string status() const; // JSON

  protocol::daemon_settings Settings;
  boost::asio::io_context Context;
  boost::asio::signal_set Signals;
  transport::asio_timer_service Timers;
  transport::metrics Metrics;
  state::target_stats_registry Stats;
  view_builder View;
  std::unique_ptr<state::picker> Picker;
  state::retry_budget RetryBudget;
  state::poison_detector PoisonDetector;
  // Fingerprints seen in flight at a crash, but not confirmed as poison.
  state::rcu_cell<state::poison_table> Suspects;
  std::optional<state::upstream_announcement> Upstream;
  transport::etcd_client Platform;
  std::unique_ptr<transport::control_plane> ControlPlane;
  std::unique_ptr<rollout_runtime> Rollouts;
  std::unique_ptr<transport::data_plane> DataPlane;
  std::unique_ptr<transport::admin_server> AdminServer;
  std::unique_ptr<state::timer_subscription> TickTimer;
  bool ShuttingDown = false;
};

} // namespace hyssopledge::hyssopd
