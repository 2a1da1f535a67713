/// \file
/// The operators' document (configuration) as plain data. Its JSON form is
/// decoded and encoded by protocol/document_codec.h, and that of the mesh
/// daemon is decoded by platform/operator_codec.h. Neither form has all fields.
#pragma once

#include "hyssopledge/state/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::state {

//-----------------------------------------------------------------------------
// Services
//-----------------------------------------------------------------------------

struct rollout_spec {
  /// Version that receives all traffic at the end.
  std::string ToVersion;
  /// From acceptance of the rollout to 100% of the calls, for a good version.
  std::chrono::seconds CompleteWithin{600};
  /// Share of calls at the first step, 0..1.
  double InitialShare = 0.01;
  /// Largest share before the version has passed its checks, 0..1.
  double MaxUnprovenShare = 0.05;
  /// After the share has reached 1, a bad version is still rolled back for this
  /// long.
  std::chrono::seconds WatchPeriod{600};
};

struct service_limits {
  std::uint32_t Slots = 12;        // requests that run at once on one target
  std::uint32_t Connections = 130; // connections one target accepts
  std::uint32_t QueueLength = 48; // requests that wait for a slot of one target
};

struct service_spec {
  std::string Name;
  std::vector<std::string> Versions;   // versions that may receive calls
  std::string StableVersion;           // receives all calls outside of rollouts
  std::optional<rollout_spec> Rollout; // away from StableVersion; empty: none
  service_limits Limits;
  std::string HealthPath; // health check of its upstreams; empty: none
  /// Requests per second that one upstream accepts while it is cold; 0: as many
  /// as otherwise.
  double ColdRequestsPerSecond = 0;
  milliseconds ColdPeriod{0}; // for which an upstream is cold after its start
};

//-----------------------------------------------------------------------------
// Routes
//-----------------------------------------------------------------------------

/// Weighted destination of a route whose requests are split over services.
struct traffic_share {
  std::string Service;
  double Weight = 0; // relative to the other weights of the route
};

struct route_spec {
  std::string Name;                 // unique in the document
  std::string Host;                 // empty: any host
  std::string PathPrefix;           // longest matching prefix wins
  std::vector<std::string> Methods; // empty: any method
  std::string Service;
  bool Idempotent = false; // safe to retry after it may have run
  milliseconds Timeout{2000};
  /// Attempts over all hops of the call, including the first.
  std::uint32_t MaxAttempts = 3;
  std::vector<traffic_share> Split; // replaces Service unless empty
  /// Latency objective: a response within it has full value. 0: none.
  milliseconds SloLatency{0};
  std::uint32_t Priority = 0; // 0 is the highest
  bool AllowAnonymous =
      false; // needs no API key, if the document has workspaces
};

//-----------------------------------------------------------------------------
// Workspaces
//-----------------------------------------------------------------------------

/// Limit of a workspace's requests, over all daemons together.
struct quota_limit {
  double RequestsPerSecond = 0; // 0: no limit
  double Burst = 0;             // requests beyond the rate
};

struct workspace_spec {
  std::string Name;
  std::vector<std::string> ApiKeys;
  std::uint32_t Priority = 0; // 0 is the highest; before that of the route
  quota_limit Quota;
};

//-----------------------------------------------------------------------------
// Environment
//-----------------------------------------------------------------------------

struct lease_spec {
  std::chrono::seconds InitialDuration{60}; // of the first lease
  double Growth = 2.0;                      // factor at each renewal, 1..10
  std::chrono::seconds MaxDuration{7200};   // upper bound
};

/// Limits on the size and duration of callers' requests.
struct caller_limits {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 8 * 1024 * 1024;
  milliseconds HeaderTimeout{30000}; // first to last byte of a request
  milliseconds IdleTimeout{75000};   // of a connection between requests
};

struct document {
  std::string Environment;
  std::vector<service_spec> Services;
  std::vector<route_spec> Routes;
  std::vector<workspace_spec> Workspaces; // empty: requests need no API key
  lease_spec Lease;
  caller_limits Limits;
};

} // namespace hyssopledge::state
