#include "hyssopledge/state/target_stats.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::state {

namespace {

// Weight of one sample. With 0.2, a change of latency shows after about 5
// calls.
constexpr double SampleWeight = 0.2;

std::string tableKey(const target_record &Target) {
  return Target.Instance + "#" + std::to_string(Target.Incarnation);
}

std::int64_t nanoseconds(time_point Time) {
  return Time.time_since_epoch().count();
}

template <class F> void update(std::atomic<double> &Value, F Next) {
  double Old = Value.load(std::memory_order_relaxed);
  while (
      !Value.compare_exchange_weak(Old, Next(Old), std::memory_order_relaxed)) {
  }
}

void recordFailure(target_stats &Stats, time_point Now) {
  const std::uint32_t FailuresInRow =
      Stats.ConsecutiveFailures.fetch_add(1) + 1;
  const bool IsProbe =
      Stats.ConsecutiveEjections.load() > 0 &&
      nanoseconds(Now) >= Stats.EjectedUntilNs.load(std::memory_order_relaxed);
  // Calls sent before the ejection that fail during it don't extend it.
  if (FailuresInRow != FailuresToEject && !IsProbe)
    return;
  const std::uint32_t PreviousEjections =
      Stats.ConsecutiveEjections.fetch_add(1);
  const auto Duration = std::min<boot_clock::duration>(
      InitialEjectionPeriod * (1U << std::min(PreviousEjections, 10U)),
      MaxEjectionPeriod);
  Stats.EjectedUntilNs.store(nanoseconds(Now + Duration));
}

} // namespace

std::shared_ptr<target_stats>
target_stats_registry::find(const target_record &Target) const {
  const auto Current = Table.read();
  const auto Found = Current->find(tableKey(Target));
  return Found == Current->end() ? nullptr : Found->second;
}

void target_stats_registry::update(const target_table &Targets) {
  const auto Current = Table.read();
  auto Next = std::make_shared<table>();
  for (const target_record &Target : Targets.Targets) {
    const std::string Key = tableKey(Target);
    const auto Found = Current->find(Key);
    Next->emplace(Key, Found == Current->end()
                           ? std::make_shared<target_stats>()
                           : Found->second);
  }
  Table.publish(std::move(Next));
}

void target_stats_registry::recordStart(const target_record &Target) {
  if (const auto Stats = find(Target))
    Stats->InFlight.fetch_add(1, std::memory_order_relaxed);
}

void target_stats_registry::recordEnd(const target_record &Target,
                                      attempt_outcome Outcome,
                                      milliseconds Latency, time_point Now) {
  const auto Stats = find(Target);
  if (!Stats)
    return;
  // A call that started before the target was registered was not counted.
  std::uint32_t InFlight = Stats->InFlight.load(std::memory_order_relaxed);
  while (InFlight > 0 &&
         !Stats->InFlight.compare_exchange_weak(InFlight, InFlight - 1)) {
  }
  // A cancelled call is neither success nor failure, but a lower bound of the
  // latency.
  const bool Success = Outcome == attempt_outcome::Success;
  const bool Failure = !Success && Outcome != attempt_outcome::Cancelled;
  if (Outcome != attempt_outcome::NotRun &&
      Outcome != attempt_outcome::Failed) {
    // 0 means no sample, so a latency below 1 ms counts as 0.1 ms.
    const double Sample = std::max(0.1, static_cast<double>(Latency.count()));
    state::update(Stats->LatencyMs, [&](double Old) {
      if (Old == 0)
        return Sample;
      if (!Success && Sample <= Old)
        return Old;
      return Old + SampleWeight * (Sample - Old);
    });
  }
  Stats->SampleAtNs.store(nanoseconds(Now), std::memory_order_relaxed);
  if (Success || Failure)
    state::update(Stats->FailureRate, [&](double Old) {
      return Old + SampleWeight * ((Failure ? 1.0 : 0.0) - Old);
    });
  if (Success) {
    Stats->ConsecutiveFailures.store(0, std::memory_order_relaxed);
    if (Stats->ConsecutiveEjections.load(std::memory_order_relaxed) > 0) {
      Stats->ConsecutiveEjections.store(0);
      Stats->EjectedUntilNs.store(0);
    }
  } else if (Failure) {
    recordFailure(*Stats, Now);
  }
}

void target_stats_registry::recordHint(const target_record &Target,
                                       const load_hint &Hint, time_point Now) {
  const auto Stats = find(Target);
  if (!Stats)
    return;
  Stats->HintLoad.store(Hint.SlotsUsed + Hint.Queued,
                        std::memory_order_relaxed);
  Stats->HintSlots.store(Hint.Slots, std::memory_order_relaxed);
  Stats->HintAtNs.store(nanoseconds(Now), std::memory_order_relaxed);
}

} // namespace hyssopledge::state
