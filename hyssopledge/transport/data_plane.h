/// \file
/// The path of a request through this daemon. One HTTP listener serves callers
/// (entry side) and other daemons (target side, requests with the field
/// x-hyssop-service).
///
/// How an upstream's own 503 is read: with `x-hyssop-outcome: not-run` the
/// upstream has shed the request before running it, so it counts as "not run"
/// and not as evidence against the version. Without that field it is a whole
/// answer that ran and failed, since a bad version answers 503 as well, and
/// sending the request again could run a booking twice.
///
/// Hooks are called from the data plane's threads, so they must not block; hand
/// work over to the control loop.
#pragma once

#include "hyssopledge/state/admission.h"
#include "hyssopledge/state/call.h"
#include "hyssopledge/state/picker.h"
#include "hyssopledge/state/poison.h"
#include "hyssopledge/state/retry.h"
#include "hyssopledge/state/routing_view.h"
#include "hyssopledge/state/target_stats.h"
#include "hyssopledge/transport/http_client_pool.h"
#include "hyssopledge/transport/http_listener.h"
#include "hyssopledge/transport/metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <opentracing/tracer.h>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::transport {

/// Objects that outlive the data plane and are shared with the control side.
struct data_plane_parts {
  const state::routing_view_cell &View;
  state::target_stats_registry &Stats;
  const state::picker &Picker;
  state::retry_budget &Budget;
};

struct data_plane_hooks {
  /// Whether the lease allows entry calls at this time. Empty: always.
  std::function<bool(state::time_point)> LeaseValid;
  /// Limits of the upstream's service, asked at each announcement.
  std::function<state::admission_limits(const std::string &Service)> Limits;
  std::function<void(const state::attempt_report &)> OnAttempt;
  std::function<void(std::vector<state::crash_sighting>)> OnCrash;
  /// The upstream gave a whole answer below 500 to the request with this
  /// fingerprint. Called for each one.
  std::function<void(std::uint64_t Fingerprint)> OnSuccess;
  /// Each announcement, and none once when the last one has expired.
  std::function<void(std::optional<state::upstream_announcement>)>
      OnAnnouncement;
};

struct data_plane_options {
  std::string Instance;
  std::string Address; // "ip:port" to listen on; port 0 takes a free one
  std::size_t Threads = 2;
  std::uint64_t Seed = 0; // of the random draws
  std::size_t MaxKeys = 100'000;
  std::size_t MaxKeyBytes = 32 * 1024 * 1024;
  listener_options Listener;
  client_pool_options Pool;
  metrics *Metrics = nullptr;                  // null: no figures
  std::shared_ptr<opentracing::Tracer> Tracer; // null: traceparent is passed on
};

class data_plane {
public:
  /// Listens and starts the threads.
  static state::result<std::unique_ptr<data_plane>>
  open(data_plane_options Options, data_plane_parts Parts,
       data_plane_hooks Hooks);
  ~data_plane(); // stops at once
  data_plane(const data_plane &) = delete;
  data_plane &operator=(const data_plane &) = delete;

  std::string address() const; // "ip:port" as bound

  /// The upstream's announcement, from the admin server. Any thread.
  void announce(state::upstream_announcement Announcement);

  /// From now on target calls and calls from callers are refused as "not run"
  /// with the reason "draining". What was admitted is finished; while it runs,
  /// its upstream's nested calls (depth above 0) are served, so new connections
  /// are accepted until then. Connections stay open so that late requests get
  /// their refusal; destroy the data plane to close them. OnDrained is called
  /// once from a data plane thread when the last answer is written.
  void drain(std::function<void()> OnDrained);

private:
  struct impl;
  explicit data_plane(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace hyssopledge::transport
