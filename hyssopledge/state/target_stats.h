/// \file
/// Measurements of each target by this daemon. Request threads update them
/// without locks.
#pragma once

#include "hyssopledge/state/call.h"
#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/rcu_cell.h"
#include "hyssopledge/state/target.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hyssopledge::state {

/// Load of a target, from the response header that its daemon adds.
struct load_hint {
  std::uint32_t SlotsUsed = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Queued = 0;
};

/// Measurements of one target. Fields are updated independently of each other.
struct target_stats {
  std::atomic<std::uint32_t> InFlight{0};
  /// Exponentially weighted mean of successful attempts, and of those without a
  /// response that took longer; 0: no sample.
  std::atomic<double> LatencyMs{0};
  std::atomic<double> FailureRate{0};          // exponentially weighted, 0..1
  std::atomic<std::int64_t> EjectedUntilNs{0}; // boot_clock; 0: not ejected
  std::atomic<std::uint32_t> ConsecutiveEjections{0}; // for the back-off
  std::atomic<std::uint32_t> ConsecutiveFailures{0};
  std::atomic<std::uint32_t> HintLoad{0}; // used slots + queue, last response
  std::atomic<std::uint32_t> HintSlots{0};
  std::atomic<std::int64_t> HintAtNs{0};   // when the hint arrived
  std::atomic<std::int64_t> SampleAtNs{0}; // when an attempt last ended
};

/// Consecutive failures after which this daemon ejects a target.
constexpr std::uint32_t FailuresToEject = 5;
/// Period of the first ejection; it doubles with each consecutive one.
constexpr std::chrono::seconds InitialEjectionPeriod{1};
constexpr std::chrono::seconds MaxEjectionPeriod{30};

/// Measurements by instance and incarnation. Lookups are lock-free.
class target_stats_registry {
public:
  /// Measurements of the target; null if it is not registered.
  std::shared_ptr<target_stats> find(const target_record &Target) const;
  /// Registers new targets and drops the measurements of removed ones. Call
  /// from a control thread.
  void update(const target_table &Targets);

  void recordStart(const target_record &Target);
  void recordEnd(const target_record &Target, attempt_outcome Outcome,
                 milliseconds Latency, time_point Now);
  void recordHint(const target_record &Target, const load_hint &Hint,
                  time_point Now);

private:
  using table = std::map<std::string, std::shared_ptr<target_stats>>;
  rcu_cell<table> Table;
};

} // namespace hyssopledge::state
