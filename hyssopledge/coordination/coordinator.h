/// \file
/// The coordinator of an environment: advances rollouts and records the
/// convergence of the head version. An object exists on each daemon; only the
/// one whose daemon holds the coordinator seat acts.
#pragma once

#include "hyssopledge/coordination/convergence.h"
#include "hyssopledge/coordination/directive_store.h"
#include "hyssopledge/coordination/platform_store.h"
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
  std::string Instance;                          // votes under this name
  std::chrono::milliseconds SliceInterval{2000}; // report interval, small fleet
  std::chrono::milliseconds MinRetryDelay{1000}; // after a platform failure
  std::chrono::milliseconds MaxRetryDelay{16000};
  std::chrono::milliseconds ConvergenceInterval{1000}; // minimum between writes
};

/// Each record is written by compare-and-swap against the record that was read
/// and against the seat's key, whose revision is the fencing token. A former
/// holder that resumes after a pause therefore cannot write once another daemon
/// holds the seat.
///
/// Platform failures:
/// - Timeout: the outcome is unknown. The record is read back before any other
///   use. If the write takes effect later still, either its own condition fails
///   or the condition of the next write does.
/// - Unavailable: nothing was written. No share rises, and no directive is
///   published that is not recorded. If the version is found bad, this daemon
///   publishes its vote by gossip; enough votes condemn the version. The
///   rollback by votes is recorded when the platform is available again.
///
/// planRollout describes the effect of document changes.
///
/// Not thread-safe; runs on the control strand. Platform responses that arrive
/// after the destruction are ignored.
class coordinator {
public:
  using publisher = std::function<void(const control::gossip_record &)>;

  /// Seat and Platform must outlive this object. Now supplies the time at which
  /// a response of the platform arrives.
  coordinator(coordinator_options Options, platform_store &Platform,
              const seat &Seat, std::unique_ptr<rollout_policy> Policy,
              publisher Publish, std::function<state::time_point()> Now);
  ~coordinator();
  coordinator(const coordinator &) = delete;
  coordinator &operator=(const coordinator &) = delete;

  //--- Events -----------------------------------------------------------------
  void onSnapshot(std::shared_ptr<const state::snapshot> Snapshot,
                  std::int64_t AcceptedUnixMs, state::time_point Now);
  /// Returns false and ignores the report if it was counted before.
  bool onReport(const control::report_request &Report, state::time_point Now);
  /// Handles votes and directives; ignores other records.
  void onRecord(const control::gossip_record &Record);
  void onMembers(const std::vector<control::member> &Members,
                 state::time_point Now);
  /// See acknowledgement_tracker::setAllMembersKnown.
  void setAllMembersKnown(bool Known) { Convergence.setAllMembersKnown(Known); }
  /// Must be called about once a second.
  void tick(state::time_point Now, std::chrono::milliseconds UnixNow);

  //--- State ------------------------------------------------------------------
  /// Returns the records last read or written, ordered by service.
  std::vector<control::rollout_record> records() const;
  control::convergence convergence(state::time_point Now,
                                   std::chrono::milliseconds UnixNow) const {
    return Convergence.convergence(Now, UnixNow);
  }
  bool isLeading() const { return Leading && Loaded; }

private:
  struct rollout {
    std::optional<control::rollout_record> Record; // last read or written
    std::int64_t ModRevision = 0;
    bool CallPending = false;    // a platform call on its key is pending
    bool ReadBackNeeded = false; // outcome of the last write is unknown
    std::unique_ptr<evidence_series> Evidence;
    state::time_point EvidenceStartedAt{};
    state::time_point RecordedAt{}; // when this step was first seen recorded
  };
  /// Whether some target of the new and of the old version serves.
  struct serving_versions {
    bool New = false;
    bool Old = false;
  };
  struct alive_token {}; // expires with the coordinator; see guarded

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
  /// Wraps a handler so that a response is ignored after the destruction or a
  /// change of leadership.
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

  std::uint64_t Epoch = 0; // counts changes of leadership
  bool Leading = false;
  std::int64_t FencingToken = 0;
  std::int64_t SupersededToken = 0; // a write with it found another holder
  bool Loaded = false;
  bool Loading = false;
  bool PlatformUp = true;
  unsigned Failures = 0;
  state::time_point NextAttemptAt{};
  state::time_point SliceEndsAt{};

  std::int64_t ConvergenceRevision = 0;
  bool ConvergenceRevisionKnown = false; // false: must be read again
  bool ConvergenceCallPending = false;
  std::string WrittenConvergence; // last content, without its time
  state::time_point ConvergenceWrittenAt{};
};

} // namespace hyssopledge::coordination
