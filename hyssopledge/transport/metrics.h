/// \file
/// Prometheus metrics of a daemon. Recording takes no lock.
#pragma once

#include "hyssopledge/state/call.h"
#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace hyssopledge::transport {

enum class call_side { Entry, Target };

/// Purpose of control traffic, the label "cause" of its byte counters. Unlike
/// peer_traffic_cause it distinguishes change notifications and document parts,
/// and includes the platform.
enum class control_traffic_cause {
  Membership,
  Notification,
  Parts,
  Lease,
  Report,
  Sync,
  Platform
};

class metrics {
public:
  explicit metrics(const std::string &Instance);
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  //--- Calls ------------------------------------------------------------------
  /// Outcome is "ran", "not-run", "unknown" or "cancelled"; any other text
  /// counts as "unknown". A reason code that has no series counts as "other".
  void recordCall(call_side Side, std::string_view Outcome,
                  std::string_view Reason, state::boot_clock::duration Latency);
  void recordAttempt(state::attempt_outcome Outcome);
  void recordRetry();
  void recordUpstreamCrash();
  void setAdmission(std::uint32_t Running, std::uint32_t Queued,
                    std::uint32_t Slots);

  //--- Control ----------------------------------------------------------------
  void addControlBytes(control_traffic_cause Cause, std::uint64_t Sent,
                       std::uint64_t Received);
  void addPlatformCalls(std::uint64_t Calls);
  void setVersions(std::uint64_t AppliedVersion, std::uint64_t KnownVersion);
  void setLease(state::milliseconds Remaining, std::uint32_t Level);
  void setMembers(std::uint64_t Alive, std::uint64_t Suspect);

  /// Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string text() const;

private:
  struct families;
  std::unique_ptr<families> Families;
};

} // namespace hyssopledge::transport
