/// \file
/// Outcomes and latencies of the versions in a rollout: recorded at entry
/// daemons, summed at relays, kept over time by whoever decides.
#pragma once

#include "hyssopledge/protocol/generated/control.pb.h"
#include "hyssopledge/state/call.h"
#include "hyssopledge/state/rcu_cell.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace hyssopledge::coordination {

//-----------------------------------------------------------------------------
// Latency histogram
//-----------------------------------------------------------------------------

/// Bucket 0 holds less than 1 ms, bucket i from 2^((i-1)/2) to 2^(i/2) ms; the
/// last one everything above 32 s.
constexpr std::size_t LatencyBuckets = 32;
std::size_t latencyBucket(state::milliseconds Latency);

struct evidence_counts {
  std::uint64_t Successes = 0;
  std::uint64_t Failures = 0;
  std::uint64_t WarmupCalls = 0; // not in Latency
  std::uint64_t Refused = 0;     // "not run"; no calls, a sign of overload
  std::array<std::uint64_t, LatencyBuckets> Latency{}; // of successes

  std::uint64_t calls() const { return Successes + Failures; }
  bool empty() const { return calls() == 0 && Refused == 0; }
  std::uint64_t latencyCount() const;
  void add(const evidence_counts &Other);
  void subtract(const evidence_counts &Other);
};

struct stratum_key {
  std::string Version;
  std::string Route;
  std::string DataCentre;       // of the reporter
  std::string TargetDataCentre; // of the targets
  bool operator<(const stratum_key &Other) const {
    return std::tie(Version, Route, DataCentre, TargetDataCentre) <
           std::tie(Other.Version, Other.Route, Other.DataCentre,
                    Other.TargetDataCentre);
  }
};

control::evidence encodeEvidence(const std::string &Service,
                                 std::uint64_t Directive,
                                 const stratum_key &Key,
                                 const evidence_counts &Counts);
/// Ignores buckets beyond LatencyBuckets.
std::pair<stratum_key, evidence_counts>
decodeEvidence(const control::evidence &Entry);

//-----------------------------------------------------------------------------
// Entry daemon
//-----------------------------------------------------------------------------

/// Counts finished attempts of the services in a rollout. record() is called
/// from request threads and takes no lock once an attempt of the same target
/// and route was seen.
class evidence_recorder {
public:
  explicit evidence_recorder(std::string DataCentre);

  /// Services whose attempts count; the others are ignored. Control thread.
  void setActiveServices(std::set<std::string> Services);
  /// Attempts that were cancelled or carried a poison request do not count.
  /// Those that were not run, as shed calls, are no outcomes; their number
  /// shows overload.
  void record(const state::attempt_report &Report);
  /// Counts since the last call. Unknown outcomes of one target within one
  /// interval count as one failure: a crash cuts many calls at once, and the
  /// statistics need independent events. Control thread.
  ///
  /// Each entry names the directive that was in force (Revisions, by service).
  /// Call it at each interval and right before a new directive is put in force:
  /// calls made under different shares must not be compared with each other.
  std::vector<control::evidence>
  drain(const std::map<std::string, std::uint64_t> &Revisions);

private:
  struct alignas(64) counters {
    std::atomic<std::uint64_t> Successes{0};
    std::atomic<std::uint64_t> Failures{0};
    std::atomic<std::uint64_t> Unknown{0};
    std::atomic<std::uint64_t> Warmup{0};
    std::atomic<std::uint64_t> Refused{0};
    std::array<std::atomic<std::uint64_t>, LatencyBuckets> Latency{};
  };
  struct key_view {
    std::string_view Service, Version, Route, TargetDataCentre, Instance;
    bool operator<(const key_view &Other) const {
      return std::tie(Service, Version, Route, TargetDataCentre, Instance) <
             std::tie(Other.Service, Other.Version, Other.Route,
                      Other.TargetDataCentre, Other.Instance);
    }
  };
  struct key {
    std::string Service, Version, Route, TargetDataCentre, Instance;
    key_view view() const {
      return {Service, Version, Route, TargetDataCentre, Instance};
    }
  };
  struct key_order {
    using is_transparent = void;
    static key_view view(const key &Key) { return Key.view(); }
    static key_view view(const key_view &Key) { return Key; }
    template <class L, class R>
    bool operator()(const L &Left, const R &Right) const {
      return view(Left) < view(Right);
    }
  };
  struct table {
    std::set<std::string, std::less<>> Active;
    std::map<key, std::shared_ptr<counters>, key_order> Counters;
  };

  std::shared_ptr<counters> insert(const key_view &View);

  std::string DataCentre;
  state::rcu_cell<table> Table;
  std::mutex InsertMutex; // orders changes of Table; not taken for known keys
};

//-----------------------------------------------------------------------------
// Relay
//-----------------------------------------------------------------------------

/// Sums the reports of a data centre. The reporters with the most failures are
/// passed on under their own names, so that the coordinator can leave any one
/// of them out; the rest is passed on as one sum. Acknowledgements pass
/// through.
class evidence_aggregator {
public:
  /// Reporters that keep their name in a report. Two, because a misled reporter
  /// can hide behind one that is worse within an interval.
  static constexpr std::size_t MaxNamedReporters = 2;

  /// FirstSequence: the Unix time in milliseconds, so that the sequence still
  /// grows after a restart.
  evidence_aggregator(std::string Relay, std::uint64_t FirstSequence);

  /// Returns false for a report that was counted before (same sender, sequence
  /// not above the last) and ignores it.
  bool add(const control::report_request &Report);
  /// What came since the last call, aggregated, with the newest
  /// acknowledgement of each member; empty when nothing came.
  std::optional<control::report_request> drain(const std::string &Environment);

  /// Name under which a relay's sum travels; it can't be left out.
  static std::string aggregateName(const std::string &Relay);
  static bool isAggregateName(const std::string &Reporter);

private:
  using sums = std::map<std::tuple<std::string, std::uint64_t, stratum_key>,
                        evidence_counts>; // by service, directive, stratum

  std::string Relay;
  std::uint64_t Sequence;
  std::map<std::string, std::uint64_t> LastSequence; // by sender
  std::map<std::string, control::report_request::acknowledgement>
      Acknowledgements;                          // by instance
  std::map<std::string, sums> Pending;           // by reporter
  std::map<std::string, std::uint64_t> Failures; // by reporter, decays by half
};

//-----------------------------------------------------------------------------
// Whoever decides: relay, coordinator, or one daemon for itself
//-----------------------------------------------------------------------------

struct stratum_sum {
  const stratum_key *Key;
  evidence_counts Counts;
};
using evidence_sums = std::vector<stratum_sum>;

/// Evidence of one rollout over time, in slices of equal length. Windows that
/// end now and start at a slice, or at the last change of the share, can be
/// summed with and without a reporter.
class evidence_series {
public:
  static constexpr std::size_t MaxWindow = 32; // slices
  static constexpr std::size_t SinceStep = 0;  // window since beginStep()

  void add(const std::string &Reporter, const stratum_key &Key,
           const evidence_counts &Counts);
  /// Ends the present slice. Call once each interval.
  void closeSlice();
  /// The share changed: the window SinceStep starts here.
  void beginStep();
  /// Keeps the recent sums of the version for the time when it gets no calls.
  void keepBaseline(const std::string &Version);

  /// Sums of the last Slices slices (with the open one), or SinceStep. Without
  /// the reporter of that index when given. A window never reaches over a
  /// change of the share: with different shares a fault of both versions at one
  /// time would weigh more on one of them.
  evidence_sums sums(std::size_t Slices,
                     std::optional<std::size_t> ExcludedReporter = {}) const;
  /// The window's sums of one version with the kept baseline of the other one.
  evidence_sums
  sumsWithBaseline(std::size_t Slices, const std::string &Version,
                   std::optional<std::size_t> ExcludedReporter = {}) const;
  bool hasBaseline() const { return !Baseline.empty(); }
  /// keepBaseline was called, though the version may have had no calls.
  bool baselineKept() const { return BaselineKept; }

  /// Indices of reporters that can be left out.
  std::vector<std::size_t> removableReporters() const;
  const std::string &reporterName(std::size_t Index) const {
    return Reporters[Index];
  }

private:
  using slot_counts = std::vector<evidence_counts>; // by slot
  const slot_counts *windowStart(std::size_t Slices) const;

  std::vector<std::string> Reporters;
  std::vector<std::unique_ptr<stratum_key>> Keys;
  std::map<std::string, std::size_t> ReporterIndex;
  std::map<stratum_key, std::size_t> KeyIndex;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t>
      SlotIndex; // reporter, key
  std::vector<std::pair<std::size_t, std::size_t>> Slots;
  slot_counts Total;                   // since the start
  std::deque<slot_counts> SliceTotals; // Total at slice ends, latest last
  slot_counts StepStartTotal;          // Total when the share last changed
  std::size_t SlicesSinceStep = 0;     // slices ended since then
  std::vector<std::pair<std::size_t, evidence_counts>> Baseline; // by key
  bool BaselineKept = false;
};

} // namespace hyssopledge::coordination
