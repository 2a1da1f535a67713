/// \file
/// Request forwarding of hyssopd. One HTTP listener serves callers (entry side)
/// and other daemons (target side: requests with the field x-hyssop-service).
///
/// A 503 response of the upstream is interpreted by its outcome field. With
/// `x-hyssop-outcome: not-run` the upstream rejected the request before running
/// it: the outcome is "not run" and does not count against the version. Without
/// the field the request ran and failed, because a faulty version also responds
/// with 503 and a retry could execute a non-idempotent request twice.
///
/// Hooks are called on data plane threads and must not block: post longer work
/// to the control loop.
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

/// Objects shared with the control plane; they must outlive the data plane.
struct data_plane_dependencies {
  const state::routing_view_cell &View;
  state::target_stats_registry &Stats;
  const state::picker &Picker;
  state::retry_budget &RetryBudget;
};

struct data_plane_hooks {
  /// Returns whether the lease permits entry calls at the given time. Empty:
  /// entry calls are always permitted.
  std::function<bool(state::time_point)> LeaseValid;
  /// Returns the admission limits of a service; called at each announcement.
  std::function<state::admission_limits(const std::string &Service)> Limits;
  std::function<void(const state::attempt_report &)> OnAttempt;
  std::function<void(std::vector<state::crash_sighting>)> OnCrash;
  /// Called for each complete upstream response with a status below 500, with
  /// the fingerprint of the request.
  std::function<void(std::uint64_t Fingerprint)> OnSuccess;
  /// Called with each announcement, and once with none when the last one has
  /// expired.
  std::function<void(std::optional<state::upstream_announcement>)>
      OnAnnouncement;
};

struct data_plane_options {
  std::string Instance;
  std::string Address; // "ip:port" to listen on; port 0 selects a free port
  std::size_t Threads = 2;
  std::uint64_t Seed = 0;                     // of the random generators
  std::size_t MaxKeys = 100'000;              // idempotency keys stored
  std::size_t MaxKeyBytes = 32 * 1024 * 1024; // of responses stored for them
  listener_options Listener; // counts against the budget of Pool
  client_pool_options Pool;
  metrics *Metrics = nullptr;                  // null: not recorded
  std::shared_ptr<opentracing::Tracer> Tracer; // null: traceparent is forwarded
};

class data_plane {
public:
  /// Opens the listener and starts the threads; fails when the address is
  /// invalid or can't be bound.
  static state::result<std::unique_ptr<data_plane>>
  open(data_plane_options Options, data_plane_dependencies Dependencies,
       data_plane_hooks Hooks);
  ~data_plane(); // aborts open calls
  data_plane(const data_plane &) = delete;
  data_plane &operator=(const data_plane &) = delete;

  std::string address() const; // "ip:port" as bound

  /// Applies an announcement received by the admin server. Thread-safe.
  void announce(state::upstream_announcement Announcement);

  /// Refuses new target calls and new calls from callers as "not run" with the
  /// reason "draining". Admitted requests are completed; until then nested
  /// calls of the upstream (depth above 0) are served and new connections are
  /// accepted for them. Connections stay open so that late requests receive a
  /// refusal; destroy the data plane to close them. OnDrained is called once on
  /// a data plane thread when the last response has been written.
  void drain(std::function<void()> OnDrained);

private:
  struct impl;
  explicit data_plane(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace hyssopledge::transport
