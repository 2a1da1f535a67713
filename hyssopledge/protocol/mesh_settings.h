/// \file
/// Settings of a mesh daemon. The platform's adapter fills them in from the
/// platform's own format.
#pragma once

#include "hyssopledge/state/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hyssopledge::protocol {

struct mesh_settings {
  std::string Instance;
  std::string DataCentre;
  std::string Service; // of the upstream on this instance
  //--- Addresses, "ip:port" ---------------------------------------------------
  std::string UpstreamAddress;  // of the upstream on this instance
  std::string EntryAddress;     // for callers and the upstream's own calls
  std::string HopAddress;       // for calls from other daemons
  std::string ReadinessAddress; // for readiness probes of this daemon
  std::string UpstreamControlAddress; // for announcements of the upstream
  std::string PeerAddress;            // for UDP datagrams between daemons
  std::string MetricsAddress;         // for Prometheus
  std::string PlatformAddress;        // of the platform
  //--- Limits -----------------------------------------------------------------
  double LinkMbps = 0; // of the instance, both directions; 0: unknown
  std::size_t MemoryBytes = 256 * 1024 * 1024; // of this process
  std::size_t MaxDescriptors = 4096;           // of this process
  /// Excess over the workspaces' quotas that the operators accept, as a
  /// fraction and as a number of requests in their window.
  double QuotaOverage = 0;
  double QuotaSlack = 0;
  state::milliseconds QuotaWindow{5000};
  /// Second attempts for slow idempotent requests, as a fraction of these; 0:
  /// none.
  double HedgeRatio = 0;
  double RetryBudgetRatio = 0.2; // retries per request, over all daemons
  double RetryBudgetSlack = 64; // further retries in a window, over all daemons
  std::chrono::seconds RetryBudgetWindow{10}; // for which retries are counted
  state::milliseconds DrainPeriod{2000}; // from an acknowledged drain until the
                                         // upstream must get no more requests
  std::chrono::seconds ShutdownTimeout{6}; // from SIGTERM to SIGKILL
};

} // namespace hyssopledge::protocol
