/// \file
/// A role that at most one daemon holds, by a platform lease and a
/// compare-and-swap.
#pragma once

#include "hyssopledge/coordination/platform.h"
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
  std::string Key;                   // on the platform
  std::string Value;                 // written with the key, names the holder
  std::chrono::seconds LeaseTtl{10}; // of the platform lease
  std::chrono::seconds HolderSeenDelay{60}; // no attempt this long after a
                                            // holder was heard of
  state::milliseconds MinRetryDelay{1000}; // first back-off after a failure
  state::milliseconds MaxRetryDelay{60000};
  state::milliseconds AttemptDelayPerCandidate{
      200}; // an attempt waits at random up to this times the candidates, so
            // that the rate of attempts doesn't grow with the fleet
};

/// One call on the platform; None when there is nothing to do.
struct seat_action {
  enum class kind { None, Read, GrantLease, Claim, KeepAlive, Revoke };
  kind Kind = kind::None;
  std::string Key;
  std::int64_t Lease = 0;
  std::chrono::seconds LeaseTtl{0};
  platform_txn Txn;
};

/// At most one call is under way at a time; give its answer to the method of
/// the same name before asking for the next one.
class seat {
public:
  seat(seat_options Options, state::random_engine &Random);

  /// Says how many daemons compete for the seat, this one included.
  void setCandidates(std::size_t Count) { Candidates = Count; }
  /// A daemon that must not hold the seat gives it up and makes no attempts.
  void setEligible(bool Value) { Eligible = Value; }
  /// Another daemon was heard of as holder; no attempt is made for some time.
  void onHolderSeen(state::time_point Now);
  /// The holder has left or is dead; attempts start at once.
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

  /// Call it at the moment of use: a holder that was paused learns here that
  /// its lease has passed. The lease counts from before its request was sent,
  /// so this turns false before the platform gives the seat away.
  bool heldAt(state::time_point Now) const { return Held && Now < ValidUntil; }
  /// Create revision of the key; grows from holder to holder. 0: never held.
  std::int64_t fencingToken() const { return Token; }
  std::int64_t lease() const { return Lease; }
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
  std::int64_t Lease = 0;
  std::int64_t Token = 0;
  unsigned Failures = 0;
  state::time_point RequestSentAt{};
  state::time_point LeaseSentAt{};
  state::time_point NextAttemptAt{};
  state::time_point ValidUntil{};
};

//-----------------------------------------------------------------------------
// Execution
//-----------------------------------------------------------------------------

/// Carries out a seat's actions on a platform. Handlers that arrive after its
/// destruction are ignored.
class seat_runner {
public:
  using clock = std::function<state::time_point()>;

  seat_runner(platform_store &Platform, seat &Seat, clock Clock);
  ~seat_runner();
  seat_runner(const seat_runner &) = delete;
  seat_runner &operator=(const seat_runner &) = delete;

  /// Call it a few times a second.
  void onTick(state::time_point Now);

private:
  struct shared_state;
  static void run(const std::shared_ptr<shared_state> &Self,
                  seat_action Action);

  std::shared_ptr<shared_state> Shared;
};

} // namespace hyssopledge::coordination
