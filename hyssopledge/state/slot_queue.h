/// \file
/// Which requests the upstream beside this daemon runs, which wait and which
/// are refused. The daemon is the only way to its upstream, so it knows every
/// slot. No I/O; not thread-safe.
///
/// Load patterns that it answers:
/// - Burst: more requests arrive than slots become free. Requests that can
///   still be answered within their aim run first, so that a queue does not
///   make every answer late; late ones use what is left.
/// - Overload that lasts: a request that can't be answered in its time is
///   refused when it arrives, or when it misses its aim, and not when its
///   deadline passes. Requests before their aim that will arrive are counted
///   in, as they go first.
/// - Chains of calls: the calls that running requests make are shorter than the
///   requests that callers send. Short requests go first, since they delay the
///   others little and their refusal would waste the run of their parent.
/// - One slow upstream: its own run times, by kind of request, decide. One that
///   turns slow is noticed from the runs that have not ended yet, and entry
///   daemons are told. What it gets is not cut down here: when all upstreams
///   are slow, refusals would only send requests around.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopledge::state {

/// Mean run time by kind of request, the kind being the name of its route.
class run_time_table {
public:
  /// Weight is that of the new run in the mean.
  void record(const std::string &Route, milliseconds RunTime, double Weight);
  /// The mean, or Guess when no run of the kind has ended.
  milliseconds mean(const std::string &Route,
                    milliseconds DefaultRunTime) const;
  /// Enough runs of the kind have ended to tell its usual run time.
  bool established(const std::string &Route) const;
  /// Longest mean of the kinds that make up a notable part of the runs.
  milliseconds longest() const;

private:
  struct figure {
    double MeanMs = 0;
    std::uint64_t Runs = 0;
  };
  std::unordered_map<std::string, figure> Kinds;
  std::uint64_t Runs = 0;
};

struct slot_request {
  std::uint64_t Ticket = 0;
  std::string Route;
  bool MayMissSlo = true;     // false: refuse it when it would miss its aim
  std::uint32_t Priority = 0; // 0: most urgent
  milliseconds DefaultRunTime{50}; // run time while none is known
  time_point SloDeadline{};        // full value until then
  time_point Deadline{};
};

enum class slot_action { Run, Wait, Refuse };

struct slot_decision {
  slot_action Action = slot_action::Refuse;
  milliseconds ExpectedWait{0};
  const char *Reason = ""; // of a refusal: "late", "deadline" or "full"
};

/// A waiting request that runs now, or is refused.
struct queue_release {
  std::uint64_t Ticket = 0;
  bool Run = false;
  const char *Reason = ""; // of a refusal: "late" or "deadline"
};

class slot_queue {
public:
  /// A late request is taken when its expected wait fits into this part of its
  /// time.
  static constexpr double LateFill = 0.5;
  /// Bounds the memory and the time of one decision.
  static constexpr std::size_t MaxWaiting = 512;
  /// Run times of this many times the usual ones count as slow, until they are
  /// below the second figure.
  static constexpr double SlowFrom = 2.5;
  static constexpr double SlowUntil = 1.5;

  void setSlots(std::uint32_t Slots) { this->Slots = Slots; }
  slot_decision admit(const slot_request &Request, time_point Now);
  /// The request has ended; RunTime 0: without an answer of the upstream.
  std::vector<queue_release> finish(std::uint64_t Ticket, milliseconds RunTime,
                                    time_point Now);
  /// Refuses what can't be answered any more. Call from a timer.
  std::vector<queue_release> expire(time_point Now);
  /// A waiting request's caller went away; false when it does not wait.
  bool cancel(std::uint64_t Ticket);

  std::uint32_t slots() const { return Slots; }
  std::uint32_t running() const {
    return static_cast<std::uint32_t>(Running.size());
  }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(Waiting.size());
  }
  /// Run times now as a multiple of the usual ones; 1 unless it counts as slow.
  double slowdown(time_point Now) const;
  /// Expected wait of an ordinary request that arrives now.
  milliseconds expectedWait(time_point Now) const;

private:
  struct waiting_request {
    slot_request Request;
    bool TakenLate = false; // it was known to miss its aim when it was taken
  };
  struct run {
    std::uint64_t Ticket;
    std::string Route;
    time_point Started;
    milliseconds Mean;
    milliseconds Usual;
    bool Established; // Usual is more than a guess
  };

  milliseconds mean(const slot_request &Request) const;
  bool isShort(const slot_request &Request) const;
  bool onTime(const slot_request &Request, time_point Now) const;
  /// Lower goes first.
  std::uint64_t rank(const slot_request &Request, time_point Now) const;
  bool before(const slot_request &A, const slot_request &B,
              time_point Now) const;
  milliseconds waitFor(const slot_request &Request, time_point Now) const;
  /// Whether a request that misses its aim can be expected to run in time.
  bool lateFits(const slot_request &Request, time_point Now) const;
  /// Part of the slots' time that requests before their aim took lately.
  double busyOnTime(time_point Now) const;
  double excessMs(time_point Now) const;
  double slowFactor(time_point Now) const;
  void judgeSlowness(time_point Now);
  void start(const slot_request &Request, time_point Now);
  void fill(time_point Now, std::vector<queue_release> &Out);

  std::uint32_t Slots = 0;
  std::vector<run> Running;
  std::vector<waiting_request> Waiting;
  double OnTimeMs = 0; // slot time of requests before their aim, decaying
  time_point OnTimeAt{};
  run_time_table RunTimes;   // as they are now
  run_time_table UsualTimes; // as they are while the upstream is not slow
  double LatestRuns = 0; // weight of the latest runs, decaying with each run
  double UsualMs = 0;    // their usual run times
  double ExcessMs = 0;   // what they took beyond; decays in time, too
  time_point ExcessAt{};
  bool Slow = false;
};

} // namespace hyssopledge::state
