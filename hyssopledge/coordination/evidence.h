/// \file
/// Evidence: outcomes and latencies of the calls to the versions in a rollout.
/// Entry daemons record it, relays aggregate it, and each component that
/// evaluates a version keeps it as a time series.
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

/// Bucket 0 holds latencies below 1 ms, bucket i those from 2^((i-1)/2) to
/// 2^(i/2) ms, and the last bucket everything above 32 s.
constexpr std::size_t LatencyBuckets = 32;
/// Returns the index of the bucket for a latency.
std::size_t latencyBucket(state::milliseconds Latency);

/// Counts of one stratum.
struct evidence_counts {
  std::uint64_t Successes = 0;
  std::uint64_t Failures = 0;
  std::uint64_t WarmupCalls = 0; // calls to warming targets; not in Latency
  std::uint64_t Refused = 0;     // "not run": no calls, a sign of overload
  std::array<std::uint64_t, LatencyBuckets> Latency{}; // of successes

  std::uint64_t calls() const { return Successes + Failures; }
  bool empty() const { return calls() == 0 && Refused == 0; }
  std::uint64_t latencyCount() const;
  void add(const evidence_counts &Other);
  void subtract(const evidence_counts &Other);
};

/// Calls are compared within strata of equal conditions.
struct stratum_key {
  std::string Version;
  std::string Route;
  std::string DataCentre;       // of the reporting daemon
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
/// Ignores latency buckets beyond LatencyBuckets.
std::pair<stratum_key, evidence_counts>
decodeEvidence(const control::evidence &Entry);

//-----------------------------------------------------------------------------
// Entry daemon
//-----------------------------------------------------------------------------

/// Counts finished attempts of the services in a rollout.
///
/// record() runs on the request threads for each attempt, so it takes a lock
/// only for the first attempt of a target and route.
class evidence_recorder {
public:
  explicit evidence_recorder(std::string DataCentre);

  /// Sets the services whose attempts are counted. Control thread only.
  void setActiveServices(std::set<std::string> Services);
  /// Ignores attempts that were cancelled or carried a poison request. Attempts
  /// that were not run, such as shed calls, are counted apart from outcomes as
  /// a sign of overload. Thread-safe.
  void record(const state::attempt_report &Report);
  /// Returns the counts since the last call. Unknown outcomes of one target
  /// within one interval count as one failure: a crash interrupts many calls at
  /// once, and the statistics need independent events. Control thread only.
  ///
  /// Each entry carries the revision of the directive in force (Revisions, by
  /// service). Must be called at each report interval and right before a new
  /// directive takes effect, because calls made under different shares must not
  /// be compared with each other.
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
  std::mutex InsertMutex; // serialises changes of Table
};

//-----------------------------------------------------------------------------
// Relay
//-----------------------------------------------------------------------------

/// Aggregates the reports of a data centre. The evidence of the reporters with
/// the most failures keeps their names, so that the coordinator can exclude any
/// one of them; all other evidence is added up under the relay's aggregate
/// name. Acknowledgements are forwarded unchanged.
class evidence_aggregator {
public:
  /// Reporters that keep their name in a report. Two, because within an
  /// interval a misled reporter may have fewer failures than another one.
  static constexpr std::size_t MaxNamedReporters = 2;

  /// FirstSequence: the Unix time in milliseconds, so that sequence numbers
  /// keep growing after a restart.
  evidence_aggregator(std::string Relay, std::uint64_t FirstSequence);

  /// Returns false and ignores the report if it was counted before, that is, if
  /// its sequence number is not above the last one of the same sender.
  bool add(const control::report_request &Report);
  /// Returns the aggregate of the reports since the last call with the newest
  /// acknowledgement of each member, or nullopt if there were none.
  std::optional<control::report_request> drain(const std::string &Environment);

  /// Returns the reporter name of a relay's aggregate. An aggregate can't be
  /// excluded from a comparison.
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
  std::map<std::string, std::uint64_t> Failures; // by reporter, halved by drain
};

//-----------------------------------------------------------------------------
// Relay, coordinator, or a daemon with its own evidence
//-----------------------------------------------------------------------------

struct stratum_sum {
  const stratum_key *Key;
  evidence_counts Counts;
};
using evidence_sums = std::vector<stratum_sum>;

/// Evidence of one rollout over time, in slices of equal length. Sums can be
/// computed over windows that end now and start at the start of a slice or at
/// the last change of the share, optionally without one reporter.
class evidence_series {
public:
  static constexpr std::size_t MaxWindow = 32; // in slices
  static constexpr std::size_t SinceStep = 0;  // window since beginStep()

  void add(const std::string &Reporter, const stratum_key &Key,
           const evidence_counts &Counts);
  /// Ends the current slice. Must be called once each interval.
  void closeSlice();
  /// Starts the window SinceStep; must be called when the share has changed.
  void beginStep();
  /// Keeps the recent sums of a version as baseline for the time in which it
  /// gets no calls.
  void keepBaseline(const std::string &Version);

  /// Returns the sums of the last Slices slices including the open one, or of
  /// the window SinceStep, without the reporter of the given index. A window
  /// never spans a change of the share, because with different shares a
  /// simultaneous fault of both versions would count more against one of them.
  evidence_sums sums(std::size_t Slices,
                     std::optional<std::size_t> ExcludedReporter = {}) const;
  /// Returns the window's sums of one version with the baseline of the other.
  evidence_sums
  sumsWithBaseline(std::size_t Slices, const std::string &Version,
                   std::optional<std::size_t> ExcludedReporter = {}) const;
  bool hasBaseline() const { return !Baseline.empty(); }
  /// Returns true once keepBaseline was called, even if the version had no
  /// calls.
  bool baselineKept() const { return BaselineKept; }

  /// Returns the indices of the reporters that can be excluded.
  std::vector<std::size_t> excludableReporters() const;
  const std::string &reporterName(std::size_t Index) const {
    return Reporters[Index];
  }

private:
  using slot_counts = std::vector<evidence_counts>; // by slot index
  const slot_counts *windowStart(std::size_t Slices) const;

  std::vector<std::string> Reporters;
  std::vector<std::unique_ptr<stratum_key>> Keys;
  std::map<std::string, std::size_t> ReporterIndex;
  std::map<stratum_key, std::size_t> KeyIndex;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t>
      SlotIndex; // by reporter and key index
  std::vector<std::pair<std::size_t, std::size_t>> Slots;
  slot_counts Total;                   // since the start, by slot
  std::deque<slot_counts> SliceTotals; // Total at the slice ends, newest last
  slot_counts StepStartTotal;          // Total when the share last changed
  std::size_t SlicesSinceStep = 0;     // slices closed since then
  std::vector<std::pair<std::size_t, evidence_counts>> Baseline; // by key index
  bool BaselineKept = false;
};

} // namespace hyssopledge::coordination
