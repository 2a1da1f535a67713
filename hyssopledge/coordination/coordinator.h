/// \file
/// The coordinator of an environment: moves rollouts and states convergence.
/// Runs on each daemon and acts on the one that holds the coordinator seat.
#pragma once

#include "hyssopledge/coordination/convergence.h"
#include "hyssopledge/coordination/directive_store.h"
#include "hyssopledge/coordination/platform.h"
#include "hyssopledge/coordination/rollout_plan.h"
#include "hyssopledge/coordination/seat.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

struct coordinator_options {
  std::string Environment;
  std::string Instance;                          // voter name of this daemon
  std::chrono::milliseconds SliceInterval{2000}; // of evidence; the report
                                                 // interval of a small fleet
  std::chrono::milliseconds MinRetryDelay{1000}; // after a platform failure
  std::chrono::milliseconds MaxRetryDelay{16000};
  std::chrono::milliseconds ConvergenceInterval{
      1000}; // least time between writes of the convergence record
};

/// Each record is written by compare-and-swap against the record that was read
/// and against the seat's key, whose revision is the fencing token. A holder
/// that was paused and wakes thus writes nothing once another one holds the
/// seat.
///
/// Platform failures:
/// - Timeout: the effect is unknown. The record is read back before anything
///   else is done with it; a write that comes into effect later is refused by
///   its condition, or found by the next one's.
/// - Unavailable: nothing was written. No share rises and nothing is published
///   that is not recorded. A version found bad gets this daemon's vote by
///   gossip; votes condemn it. When the platform is back, the rollback by votes
///   is recorded.
///
/// Changes of the document: see planRollout.
///
/// Not thread-safe: control strand. Answers after its destruction are ignored.
class coordinator {
public:
  using publisher = std::function<void(const control::gossip_record &)>;

  /// Seat and Platform must outlive this object. Now is asked when an answer of
  /// the platform arrives.
  coordinator(coordinator_options Options, platform_store &Platform,
              const seat &Seat, std::unique_ptr<rollout_policy> Policy,
              publisher Publish, std::function<state::time_point()> Now);
  ~coordinator();
  coordinator(const coordinator &) = delete;
  coordinator &operator=(const coordinator &) = delete;

  //--- Events -----------------------------------------------------------------
  void onSnapshot(std::shared_ptr<const state::snapshot> Snapshot,
                  std::int64_t AcceptedUnixMs, state::time_point Now);
  /// Returns false for a report that was counted before.
  bool onReport(const control::report_request &Report, state::time_point Now);
  /// Votes and directives; other records are ignored.
  void onRecord(const control::gossip_record &Record);
  void onMembers(const std::vector<control::member> &Members,
                 state::time_point Now);
  /// See acknowledgement_tracker::setAllMembersKnown.
  void setAllMembersKnown(bool Known) { Convergence.setAllMembersKnown(Known); }
  /// Call it about once a second.
  void tick(state::time_point Now, std::chrono::milliseconds UnixNow);

  //--- State ------------------------------------------------------------------
  /// Records as known from the platform, by service.
  std::vector<control::rollout_record> records() const;
  control::convergence convergence(state::time_point Now,
                                   std::chrono::milliseconds UnixNow) const {
    return Convergence.convergence(Now, UnixNow);
  }
  bool leading() const { return Leading && Loaded; }

private:
  struct rollout {
    std::optional<control::rollout_record> Record; // as on the platform
    std::int64_t ModRevision = 0;
    bool CallPending = false;    // a call on its key is under way
    bool ReadBackNeeded = false; // the effect of the last write is unknown
    std::unique_ptr<evidence_series> Evidence;
    state::time_point EvidenceStartedAt{};
    state::time_point RecordedAt{}; // when this step was seen recorded
  };
  struct serving_versions {
    bool New = false;
    bool Old = false;
  };
  struct alive_token {}; // its end marks answers that come too late

  void startLeading(state::time_point Now);
  void loadAll();
  void onLoaded(const state::result<platform_read> &Read);
  void applyEntry(rollout &Rollout, const platform_entry &Entry);
  void readBack(const std::string &Service);
  void write(const std::string &Service, control::rollout_record Next);
  void onWritten(const std::string &Service,
                 const control::rollout_record &Next,
                 const state::result<platform_txn_result> &Result);
  void updateRollout(const std::string &Service, rollout &Rollout,
                     state::time_point Now, std::chrono::milliseconds UnixNow);
  void applyPolicy(const std::string &Service, rollout &Rollout,
                   state::time_point Now, std::chrono::milliseconds UnixNow);
  void voteAgainst(const control::rollout_record &Record,
                   const rollout_action &Action);
  void writeConvergence(state::time_point Now,
                        std::chrono::milliseconds UnixNow);
  void onConvergenceWritten(const state::result<platform_txn_result> &Result);
  void platformFailed();
  void platformAnswered();
  serving_versions servingVersions(const std::string &Service,
                                   const control::rollout_record &Record) const;
  platform_txn fencedPut(const std::string &Key, std::int64_t ModRevision,
                         std::string Value) const;
  template <class T>
  platform_store::handler<T>
  guarded(std::function<void(const state::result<T> &)> Handler);

  coordinator_options Options;
  platform_store &Platform;
  const seat &Seat;
  std::unique_ptr<rollout_policy> Policy;
  publisher Publish;
  std::function<state::time_point()> Clock;
  std::shared_ptr<alive_token> Alive = std::make_shared<alive_token>();

  std::shared_ptr<const state::snapshot> Snapshot;
  std::vector<control::member> Members;
  electorate Electorate;
  vote_set Votes;
  acknowledgement_tracker Convergence;
  std::map<std::string, std::uint64_t> LastSequence; // of reports, by sender
  std::map<std::string, rollout> Rollouts;           // by service

  std::uint64_t Epoch = 0; // grows when leadership changes; older answers are
                           // ignored
  bool Leading = false;
  std::int64_t FencingToken = 0;
  std::int64_t SupersededToken = 0; // a write under it found another holder
  bool Loaded = false;
  bool Loading = false;
  bool PlatformUp = true;
  unsigned Failures = 0;
  state::time_point NextAttemptAt{};
  state::time_point SliceEndsAt{};

  std::int64_t ConvergenceRevision = 0;
  bool ConvergenceRevisionKnown = false; // ConvergenceRevision was read
  bool ConvergenceCallPending = false;
  std::string WrittenConvergence; // without the time of the statement
  state::time_point ConvergenceWrittenAt{};
};

} // namespace hyssopledge::coordination
