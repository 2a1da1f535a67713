/// \file
/// Figures for Prometheus. Recording takes no lock.
#pragma once

#include "hyssopledge/state/call.h"
#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace hyssopledge::transport {

enum class call_side { Entry, Target };

/// What control bytes are sent or received for.
enum class control_cause {
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
  /// Outcome is "ran", "not-run", "unknown" or "cancelled". A reason that is
  /// not one of the fixed words counts as "other".
  void recordCall(call_side Side, std::string_view Outcome,
                  std::string_view Reason, state::boot_clock::duration Latency);
  void recordAttempt(state::attempt_outcome Outcome);
  void recordRetry();
  void recordUpstreamCrash();
  void setAdmission(std::uint32_t Running, std::uint32_t Queued,
                    std::uint32_t Slots);

  //--- Control ----------------------------------------------------------------
  void addControlBytes(control_cause Cause, std::uint64_t Sent,
                       std::uint64_t Received);
  void addPlatformCalls(std::uint64_t Calls);
  void setVersions(std::uint64_t Applied, std::uint64_t Known);
  void setLease(state::milliseconds Remaining, std::uint32_t Level);
  void setMembers(std::uint64_t Alive, std::uint64_t Suspect);

  /// Text exposition format, version 0.0.4.
  std::string text() const;

private:
  struct families;
  std::unique_ptr<families> Families;
};

} // namespace hyssopledge::transport
