/// \file
/// Priority queue and load shedding for the slots of the upstream beside this
/// daemon. All requests to the upstream pass through this daemon, so it knows
/// the state of every slot. No I/O; not thread-safe.
///
/// SLO below means the latency objective of a request's route.
///
/// Load patterns that it handles:
/// - Burst: more requests arrive than slots become free. Requests that can meet
///   their SLO run first, so that a queue does not delay every response beyond
///   it; late requests use the remaining capacity.
/// - Lasting overload: a request that can't be answered in time is refused on
///   arrival or when it misses its SLO, rather than at its deadline. The
///   estimate includes on-time requests that have yet to arrive, as they run
///   first.
/// - Call chains: the calls that running requests make are shorter than the
///   requests of callers. Short requests run first, since they delay others
///   little and refusing them would waste the run of their parent.
/// - One slow upstream: all estimates use its own run times by route. Slowdown
///   is detected from runs that are still unfinished and reported to the entry
///   daemons. It does not shed load here: when all upstreams are slow, refusals
///   would only move requests between them.
/// - Other work on the upstream's machine: expected run times follow the speed
///   that the upstream reports, so that requests go elsewhere while it is slow.
/// - An upstream in need that accepts a limited rate: a request starts only
///   with a free slot and within the rate. The expected waits include the rate,
///   so that what it can't serve in time is refused on arrival.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/rate_limiter.h"
#include "hyssopledge/state/work_speed.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopledge::state {

/// Exponentially weighted mean run time by route.
class run_time_table {
public:
  /// Weight is that of the new sample in the mean; the first samples of a route
  /// have equal weights.
  void record(const std::string &Route, milliseconds RunTime, double Weight);
  /// The mean, or DefaultRunTime before the first run of the route.
  milliseconds mean(const std::string &Route,
                    milliseconds DefaultRunTime) const;
  /// Drops the runs of the route.
  void forget(const std::string &Route);
  /// Whether the mean of the route is based on enough runs.
  bool hasEnoughRuns(const std::string &Route) const;
  /// Longest mean among the routes with a relevant share of all runs.
  milliseconds longestMean() const;

private:
  struct route_stats {
    double MeanMs = 0;
    std::uint64_t Runs = 0;
  };
  std::unordered_map<std::string, route_stats> Routes;
  std::uint64_t Runs = 0;
};

struct slot_request {
  std::uint64_t Ticket = 0;
  std::string Route;
  bool MayMissSlo = true;          // false: refuse it if it would miss its SLO
  std::uint32_t Priority = 0;      // 0 is the highest
  milliseconds DefaultRunTime{50}; // assumed before the first run of the route
  time_point SloDeadline{};        // latency objective as a point in time
  time_point Deadline{};
};

enum class slot_action { Run, Wait, Refuse };

struct slot_decision {
  slot_action Action = slot_action::Refuse;
  milliseconds ExpectedWait{0};
  const char *Reason = ""; // why it is refused: "late", "deadline" or
                           // "full"
};

/// A request that left the queue: it either runs now or is refused.
struct queue_release {
  std::uint64_t Ticket = 0;
  bool Run = false;
  const char *Reason = ""; // why it is refused: "late" or "deadline"
};

class slot_queue {
public:
  /// A late request is queued only if its expected wait is within this fraction
  /// of the time that is left to start it.
  static constexpr double MaxLateWaitFraction = 0.5;
  /// Bounds the memory and the time of one decision.
  static constexpr std::size_t MaxWaiting = 512;
  /// The upstream counts as slow from the first multiple of its usual run times
  /// until it falls below the second.
  static constexpr double SlowThreshold = 2.5;
  static constexpr double SlowRecoveryThreshold = 1.5;

  void setSlots(std::uint32_t Slots) { this->Slots = Slots; }
  /// Limits the requests started per second; none: no limit.
  void setRateLimit(std::optional<double> PerSecond, time_point Now) {
    RateLimiter.setRate(PerSecond, Now);
  }
  /// Records the upstream's report of how long work takes now, in percent of
  /// the usual time.
  void recordWorkPercent(double Percent, time_point Now) {
    WorkSpeed.record(Percent, Now);
  }
  /// Returns what admit() would decide, without changes.
  slot_decision preview(const slot_request &Request, time_point Now) const;
  /// Runs, queues or refuses a new request.
  slot_decision admit(const slot_request &Request, time_point Now);
  /// Frees the slot of a request; RunTime is 0 if the upstream did not respond.
  /// Returns what expire() returns.
  std::vector<queue_release> finish(std::uint64_t Ticket, milliseconds RunTime,
                                    time_point Now);
  /// Starts queued requests on free slots and refuses those that can no longer
  /// be answered in time. Call from a timer.
  std::vector<queue_release> expire(time_point Now);
  /// Removes a queued request whose caller has disconnected; false if it is not
  /// queued.
  bool cancel(std::uint64_t Ticket);

  std::uint32_t slots() const { return Slots; }
  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running.size());
  }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(Waiting.size());
  }
  /// Current run times as a multiple of the usual ones: at least SlowThreshold
  /// while the upstream counts as slow, otherwise 1.
  double slowdown(time_point Now) const;
  /// Expected run times as a multiple of the mean ones, by the speed that the
  /// upstream reports.
  double workFactor(time_point Now) const { return WorkSpeed.factor(Now); }
  /// Drops the run times of the route.
  void forgetRoute(const std::string &Route) {
    RunTimes.forget(Route);
    UsualTimes.forget(Route);
  }
  /// Recent mean run time of the route, Default before its first run.
  milliseconds meanRunTime(const std::string &Route,
                           milliseconds Default) const {
    return RunTimes.mean(Route, Default);
  }
  /// Expected wait of a new request with the lowest priority.
  milliseconds expectedWait(time_point Now) const;

private:
  struct queued_request {
    slot_request Request;
    bool AcceptedLate = false; // queued although it will miss its SLO
  };
  struct running_request {
    std::uint64_t Ticket;
    std::string Route;
    time_point Started;
    milliseconds Mean;    // of the route in RunTimes, at the start
    milliseconds Usual;   // of the route in UsualTimes, at the start
    bool UsualIsReliable; // Usual is based on enough runs
  };

  milliseconds mean(const slot_request &Request) const;
  /// Expected run time, by the speed of the upstream's machine.
  milliseconds expectedRun(const slot_request &Request, time_point Now) const;
  bool isShort(const slot_request &Request) const;
  /// Whether the request meets its SLO if it starts now.
  bool onTime(const slot_request &Request, time_point Now) const;
  /// Scheduling class of the request, including its priority; lower runs first.
  std::uint64_t rank(const slot_request &Request, time_point Now) const;
  bool precedes(const slot_request &A, const slot_request &B,
                time_point Now) const;
  /// Expected wait of the request if it is queued now.
  milliseconds waitFor(const slot_request &Request, time_point Now) const;
  /// Whether the expected wait of a request that misses its SLO is within
  /// MaxLateWaitFraction.
  bool canRunLate(const slot_request &Request, time_point Now) const;
  /// Decides between waiting and a refusal, for a request that can't start now.
  void decideWait(const slot_request &Request, slot_decision &Decision,
                  time_point Now) const;
  /// Whether the request misses its SLO after the wait; short ones don't count.
  bool countsAsLate(const slot_request &Request, milliseconds Wait,
                    time_point Now) const;
  /// Fraction of the slot time, or of the rate limit if that is more, recently
  /// used by short and on-time requests.
  double onTimeLoad(time_point Now) const;
  double decayedExcessMs(time_point Now) const;
  /// Factor between recent and usual run times, regardless of the thresholds.
  double measuredSlowdown(time_point Now) const;
  void updateSlow(time_point Now);
  /// Refuses the queued requests that the rate limit can't serve in time.
  void refuseBeyondRate(time_point Now, std::vector<queue_release> &Out);
  void start(const slot_request &Request, time_point Now);
  void dispatchQueued(time_point Now, std::vector<queue_release> &Out);

  std::uint32_t Slots = 0;
  rate_limiter RateLimiter;
  work_speed WorkSpeed;
  std::vector<running_request> Running;
  std::vector<queued_request> Waiting;
  double OnTimeMs = 0;     // slot time of short and on-time requests, decaying
  double OnTimeStarts = 0; // their number, decaying
  time_point OnTimeUpdatedAt{};
  run_time_table RunTimes;   // current
  run_time_table UsualTimes; // while the upstream is not slow
  double RecentRuns = 0;     // weight of recent runs, decays with each run
  double RecentUsualMs = 0;  // sum of their usual run times
  double RecentExcessMs = 0; // sum of their time beyond it; also decays in time
  time_point ExcessUpdatedAt{};
  bool Slow = false;
  time_point RateCheckedAt{};
};

} // namespace hyssopledge::state
