/// \file
/// Load balancing at the entry daemon: selects the target of a request. No I/O;
/// not thread-safe.
///
/// Load patterns that it handles:
/// - Callers move to one data centre: the local data centre is preferred only
///   while its targets are expected to respond in time; beyond that, other data
///   centres take the load.
/// - One slow target: it is rated by the latency measured here and by the
///   slowdown that its own daemon reports, which covers all runs including
///   unfinished ones. Entry daemons thus need not each lose requests there
///   first. The report decays, and the target is tried again.
/// - One target that fails part of its requests: its failure rate, as measured
///   here or reported by its own daemon, adds to its expected latency. Above
///   EjectionFailureRate the target is ejected for a time.
/// - New targets: a target without measurements is used at once; its own daemon
///   refuses what it can't run.
/// - Cold targets that accept few requests: they get some only while no warm
/// one
///   is expected to respond in time.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/random.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopledge::state {

/// Load of a target as reported by its daemon.
struct load_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  milliseconds ExpectedWait{0};        // of a request of the lowest priority
  std::uint32_t SlowdownPercent = 100; // current run times, of the usual ones
  std::uint32_t FailurePercent = 0;    // recent, over the runs of all callers
  /// Expected run times by the speed of its machine, of the mean ones.
  std::uint32_t WorkPercent = 100;
};

/// Exponentially weighted failure rate, 0..1. It decays toward 0 without new
/// outcomes.
class failure_rate {
public:
  void record(bool Failed, time_point Now);
  void set(double Rate, time_point Now);
  double at(time_point Now) const;

private:
  double Rate = 0; // at UpdatedAt
  time_point UpdatedAt{};
};

/// A target that can receive the request.
struct placement_candidate {
  std::string Instance;
  bool SameDataCentre = false;
  bool Reachable = true; // its daemon has responded recently
  std::uint32_t Slots = 0;
  bool Cold = false; // accepts few requests
};

struct placement_query {
  std::string Route;              // name
  milliseconds SloTimeLeft{0};    // until the latency objective; 0: none
  std::vector<std::string> Tried; // instances not to choose again
  time_point Now{};
};

struct placement_choice {
  std::string Instance;            // empty: no candidate left
  milliseconds ExpectedLatency{0}; // there, raised by its failure rate
  bool MissesSlo = false;          // the expected latency exceeds the objective
};

enum class placement_outcome {
  Success, // complete response that is not a failure
  Failed,  // failure response, or none or a truncated one
  Refused, // not run; no evidence about the target's health
  /// No response in time, or the caller disconnected first. The target's daemon
  /// reports such runs itself.
  Unfinished,
};

class placement {
public:
  /// A target with a higher failure rate is ejected for a time.
  static constexpr double EjectionFailureRate = 0.35;
  static constexpr std::uint32_t MinSamples = 6; // before an ejection
  /// Period of the first ejection; it doubles with each consecutive one.
  static constexpr milliseconds InitialEjectionPeriod{1000};
  static constexpr milliseconds MaxEjectionPeriod{8000};

  /// Chooses among the candidates that Query.Tried does not list. Ejected and
  /// unreachable targets are used only when no other is left.
  placement_choice choose(const std::vector<placement_candidate> &Candidates,
                          const placement_query &Query, random_engine &Random);

  /// Must be followed by onEnd for each request.
  void onSent(const std::string &Instance);
  void onEnd(const std::string &Instance, const std::string &Route,
             placement_outcome Outcome, milliseconds Latency, time_point Now);
  void onLoad(const std::string &Instance, const load_report &Load,
              time_point Now);
  /// Drops the measurements of all targets that are not in the list.
  void retain(const std::vector<std::string> &Instances);
  /// Drops the latencies of the route at all targets.
  void forgetRoute(const std::string &Route);

  /// Shortest expected wait for a slot among the candidates, for Retry-After.
  milliseconds shortestWait(const std::vector<placement_candidate> &Candidates,
                            time_point Now) const;

private:
  struct target_measurements {
    std::uint32_t InFlight = 0;        // sent by this daemon, still running
    std::uint32_t SentSinceReport = 0; // sent since the last load report
    load_report Load;
    time_point ReportedAt{};
    failure_rate Failures;
    std::uint32_t Samples = 0;
    milliseconds EjectionPeriod{0};
    time_point EjectedUntil{};
    std::unordered_map<std::string, double> LatencyMs; // mean by route
  };

  static double failureRate(const target_measurements &Measured,
                            time_point Now);
  /// Expected latency of the route at the target without its current queue.
  /// TypicalMs is used until the target has responded on this route.
  static double latencyMs(const target_measurements &Measured,
                          const std::string &Route, double TypicalMs,
                          time_point Now);
  /// Expected wait for a slot at the target.
  double waitMs(const target_measurements &Measured, std::uint32_t Slots,
                time_point Now) const;

  std::unordered_map<std::string, target_measurements> Targets;
  /// Mean by route over all targets.
  std::unordered_map<std::string, double> RouteLatencyMs;
};

} // namespace hyssopledge::state
