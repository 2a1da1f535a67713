/// \file
/// Seat: a role that at most one daemon holds at a time, such as coordinator or
/// relay. Leader election by a platform lease and a compare-and-swap on the
/// seat's key.
#pragma once

#include "hyssopledge/coordination/platform_store.h"
#include "hyssopledge/state/random.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hyssopledge::coordination {

//-----------------------------------------------------------------------------
// Decisions
//-----------------------------------------------------------------------------

struct seat_options {
  std::string Key;                          // of the seat on the platform
  std::string Value;                        // names the holder
  std::chrono::seconds LeaseTtl{10};        // of the platform lease
  std::chrono::seconds HolderSeenDelay{60}; // no attempts after onHolderSeen
  state::milliseconds MinRetryDelay{1000};  // first back-off after a failure
  state::milliseconds MaxRetryDelay{60000};
  /// Each attempt is delayed at random by up to this times the number of
  /// candidates, so that the rate of attempts doesn't grow with the fleet.
  state::milliseconds AttemptDelayPerCandidate{200};
};

/// A platform call to make next; None if there is nothing to do.
struct seat_action {
  enum class kind { None, Read, GrantLease, Claim, KeepAlive, Revoke };
  kind Kind = kind::None;
  std::string Key;
  std::int64_t LeaseId = 0;
  std::chrono::seconds LeaseTtl{0};
  platform_txn Txn;
};

/// Decides on the platform calls of one candidate; seat_runner makes them. At
/// most one call is pending at a time. Its result must be passed to the handler
/// of its kind (onRead for Read, onLeaseGranted for GrantLease, ...), which
/// may return the next call.
class seat {
public:
  seat(seat_options Options, state::random_engine &Random);

  /// Sets the number of daemons that compete for the seat, including this one.
  void setCandidates(std::size_t Count) { Candidates = Count; }
  /// If false, this daemon releases the seat and makes no attempts.
  void setEligible(bool Value) { Eligible = Value; }
  /// Another daemon is reported as holder; attempts pause for HolderSeenDelay.
  void onHolderSeen(state::time_point Now);
  /// The holder has left or is dead; attempts start without this pause.
  void onHolderGone(state::time_point Now);

  seat_action onTick(state::time_point Now);
  seat_action onRead(state::time_point Now,
                     const state::result<platform_read> &Read);
  seat_action onLeaseGranted(state::time_point Now,
                             const state::result<std::int64_t> &Granted);
  seat_action onClaimed(state::time_point Now,
                        const state::result<platform_txn_result> &Result);
  void onKeptAlive(state::time_point Now,
                   const state::result<std::chrono::seconds> &Remaining);
  void onRevoked(state::time_point Now);

  /// Must be called at the time of use, so that a holder that was paused
  /// detects that its lease has expired. The lease counts from before its
  /// request was sent, so this turns false before the platform frees the seat.
  bool heldAt(state::time_point Now) const { return Held && Now < ValidUntil; }
  /// Returns the create revision of the key, which grows with each holder, or 0
  /// if this daemon never held the seat.
  std::int64_t fencingToken() const { return FencingToken; }
  std::int64_t lease() const { return LeaseId; }
  const seat_options &options() const { return Options; }

private:
  seat_action startCall(state::time_point Now, seat_action::kind Kind);
  void scheduleRetry(state::time_point Now);
  void scheduleAttempt(state::time_point Now, state::boot_clock::duration Min);
  void setLost(state::time_point Now);
  void setHeld(std::int64_t CreateRevision);

  seat_options Options;
  state::random_engine &Random;
  std::size_t Candidates = 1;
  bool Eligible = true;
  bool Scheduled = false;
  bool Held = false;
  bool CallPending = false;
  std::int64_t LeaseId = 0;
  std::int64_t FencingToken = 0;
  unsigned Failures = 0;
  state::time_point RequestSentAt{};
  state::time_point LeaseSentAt{};
  state::time_point NextAttemptAt{};
  state::time_point ValidUntil{};
};

//-----------------------------------------------------------------------------
// Execution
//-----------------------------------------------------------------------------

/// Makes a seat's platform calls. Results that arrive after the destruction are
/// ignored.
class seat_runner {
public:
  using clock = std::function<state::time_point()>;

  seat_runner(platform_store &Platform, seat &Seat, clock Clock);
  ~seat_runner();
  seat_runner(const seat_runner &) = delete;
  seat_runner &operator=(const seat_runner &) = delete;

  /// Must be called a few times a second.
  void onTick(state::time_point Now);

private:
  struct shared_state;
  static void run(const std::shared_ptr<shared_state> &Self,
                  seat_action Action);

  std::shared_ptr<shared_state> Shared;
};

} // namespace hyssopledge::coordination
