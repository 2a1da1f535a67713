/// \file
/// Settings of a daemon of the mesh.
#pragma once

#include "hyssopledge/state/clock.h"

#include <chrono>
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
  std::string HopAddress;       // for other daemons
  std::string ReadinessAddress; // asks whether this daemon may get work
  std::string UpstreamControlAddress; // announcements of the upstream
  std::string PeerAddress;            // datagrams between daemons
  std::string MetricsAddress;
  std::string PlatformAddress;
  //--- Limits -----------------------------------------------------------------
  double RetryBudgetRatio = 0.2; // repeats for each request, all daemons
  double RetryBudgetSlack =
      64; // repeats beyond that in one window, all daemons
  std::chrono::seconds RetryBudgetWindow{10};
  state::milliseconds DrainPeriod{2000}; // from an acknowledged drain until the
                                         // upstream must get no more requests
  std::chrono::seconds ShutdownTimeout{6}; // from SIGTERM to the kill
};

} // namespace hyssopledge::protocol
