/// \file
/// Which target an entry daemon sends a request to. No I/O; not thread-safe.
///
/// Load patterns that it answers:
/// - A shift of callers to one data centre: the own data centre is preferred
///   only while its targets answer in time, then others take the rest.
/// - One slow target: it is judged by the latency that this daemon saw, and by
///   what its own daemon sees of all runs, those that have not ended included,
///   so that not each entry daemon has to lose requests there first. The report
///   loses its meaning in time, and the target is tried again.
/// - One target that fails part of its requests: its failure rate, as this
///   daemon or its own daemon sees it, counts as added latency, and above
///   EjectRate it gets nothing for a time.
/// - Cold targets: a target without figures is tried at once; its own daemon
///   refuses what it can't run.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/random.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopledge::state {

/// What a target's daemon said of its load.
struct load_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  milliseconds ExpectedWait{0};        // expected by an ordinary request
  std::uint32_t SlowdownPercent = 100; // run times now, of the usual ones
  std::uint32_t FailurePercent = 0;    // of the runs of all callers lately
};

/// Part of failures among outcomes; it decays, as it loses its meaning without
/// new ones.
class failure_rate {
public:
  void record(bool Failed, time_point Now);
  void set(double Rate, time_point Now);
  double at(time_point Now) const;

private:
  double Rate = 0; // at When
  time_point When{};
};

/// A target that may get the request.
struct placement_candidate {
  std::string Instance;
  bool SameDataCentre = false;
  bool Reachable = true; // its daemon has answered lately
  std::uint32_t Slots = 0;
};

struct placement_query {
  std::string Route; // route
  milliseconds SloTimeLeft{0};
  std::vector<std::string> Tried; // instances that refused or failed it
  time_point Now{};
};

struct placement_choice {
  std::string Instance;            // empty: no candidate is left
  milliseconds ExpectedLatency{0}; // latency
  bool MissesSlo = false;          // it was expected to miss the aim
};

enum class placement_outcome {
  Answered, // a whole answer that is not a failure
  Failed,   // the target failed it, or no whole answer came
  Refused,  // not run; says nothing of the target's health
  TimedOut, // not ended in the time that it had; the target's daemon knows more
};

class placement {
public:
  /// Above this part of failures a target gets nothing for a time.
  static constexpr double EjectRate = 0.35;
  static constexpr std::uint32_t LeastSamples = 6; // before an ejection
  static constexpr milliseconds FirstEjection{1000};
  static constexpr milliseconds LongestEjection{8000};

  placement_choice choose(const std::vector<placement_candidate> &Candidates,
                          const placement_query &Query, random_engine &Random);

  void onSent(const std::string &Instance);
  void onEnd(const std::string &Instance, const std::string &Route,
             placement_outcome Outcome, milliseconds Latency, time_point Now);
  void onLoad(const std::string &Instance, const load_report &Load,
              time_point Now);
  /// Drops figures of targets that are not in the list.
  void retain(const std::vector<std::string> &Instances);

  /// Shortest expected wait among the candidates, for Retry-After.
  milliseconds shortestWait(const std::vector<placement_candidate> &Candidates,
                            time_point Now) const;

private:
  struct figures {
    std::uint32_t InFlight = 0;  // sent by this daemon, not ended
    std::uint32_t SentSince = 0; // since the last report
    load_report Load;
    time_point LoadAt{};
    failure_rate Failures;
    std::uint32_t Samples = 0;
    milliseconds Ejection{0};
    time_point EjectedUntil{};
    std::unordered_map<std::string, double> LatencyMs; // by kind
  };

  static double failureRate(const figures &Figures, time_point Now);
  /// Run time of the kind there, with its waits.
  static double latencyMs(const figures &Figures, const std::string &Route,
                          double Typical, time_point Now);
  double waitMs(const figures &Figures, std::uint32_t Slots,
                time_point Now) const;

  std::unordered_map<std::string, figures> Targets;
  std::unordered_map<std::string, double> KindMs; // over all targets
};

} // namespace hyssopledge::state
