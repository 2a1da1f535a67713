/// \file
/// What this daemon has seen of each target. Written by request threads without
/// locks.
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

/// Load that the target's daemon wrote into a response header.
struct load_hint {
  std::uint32_t SlotsUsed = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Queued = 0;
};

/// One target's figures; each field is updated by itself.
struct target_stats {
  std::atomic<std::uint32_t> InFlight{0};
  std::atomic<double> LatencyMs{
      0}; // exponentially weighted mean of successful attempts, 0: none yet
  std::atomic<double> FailureRate{0}; // exponentially weighted, 0..1
  std::atomic<std::int64_t> EjectedUntilNs{
      0}; // boot_clock; outlier ejection by this daemon
  std::atomic<std::uint32_t> Ejections{0}; // consecutive, for the back-off
  std::atomic<std::uint32_t> ConsecutiveFailures{0};
  std::atomic<std::uint32_t> HintUsed{
      0}; // slots used and queued, from the last response
  std::atomic<std::uint32_t> HintSlots{0};
  std::atomic<std::int64_t> HintAtNs{0};   // when the hint came
  std::atomic<std::int64_t> SampleAtNs{0}; // when an attempt last ended
};

/// Failures in a row after which this daemon ejects a target by itself.
constexpr std::uint32_t FailuresToEject = 5;
/// Duration of the first ejection; it doubles at each further one.
constexpr std::chrono::seconds InitialEjectionPeriod{1};
constexpr std::chrono::seconds MaxEjectionPeriod{30};

/// Keeps figures by instance and incarnation. Lookups take no lock.
class target_stats_registry {
public:
  /// Figures of the target; null when it was never registered.
  std::shared_ptr<target_stats> find(const target_record &Target) const;
  /// Adds figures for new targets and drops those of targets that are gone.
  /// Call from a control thread.
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
