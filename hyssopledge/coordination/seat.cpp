#include "hyssopledge/coordination/seat.h"

#include <algorithm>
#include <utility>

namespace hyssopledge::coordination {

using state::errc;
using state::time_point;

seat::seat(seat_options Options, state::random_engine &Random)
    : Options(std::move(Options)), Random(Random) {}

seat_action seat::startCall(time_point Now, seat_action::kind Kind) {
  CallPending = Kind != seat_action::kind::None;
  RequestSentAt = Now;
  seat_action Action;
  Action.Kind = Kind;
  Action.Key = Options.Key;
  Action.LeaseId = LeaseId;
  Action.LeaseTtl = Options.LeaseTtl;
  if (Kind == seat_action::kind::Claim) {
    Action.Txn.Conditions = {{Options.Key, 0}};
    Action.Txn.Puts = {{Options.Key, Options.Value, LeaseId}};
  }
  return Action;
}

void seat::scheduleAttempt(time_point Now,
                           state::boot_clock::duration MinDelay) {
  const auto MaxDelay = std::chrono::duration_cast<state::boot_clock::duration>(
      Options.AttemptDelayPerCandidate * std::max<std::size_t>(Candidates, 1));
  NextAttemptAt = Now + MinDelay +
                  std::chrono::duration_cast<state::boot_clock::duration>(
                      MaxDelay * state::unitInterval(Random()));
  Scheduled = true;
}

void seat::scheduleRetry(time_point Now) {
  const auto Backoff = std::min<state::milliseconds>(
      Options.MaxRetryDelay,
      Options.MinRetryDelay * (1U << std::min(Failures, 10U)));
  ++Failures;
  scheduleAttempt(Now,
                  std::chrono::duration_cast<state::boot_clock::duration>(
                      Backoff * (0.5 + 0.5 * state::unitInterval(Random()))));
}

void seat::setLost(time_point Now) {
  Held = false;
  LeaseId = 0;
  scheduleAttempt(Now, state::boot_clock::duration::zero());
}

void seat::setHeld(std::int64_t CreateRevision) {
  Held = true;
  FencingToken = CreateRevision;
  Failures = 0;
}

void seat::onHolderSeen(time_point Now) {
  if (!Held && !CallPending)
    scheduleAttempt(Now, Options.HolderSeenDelay);
}

void seat::onHolderGone(time_point Now) {
  if (!Held && !CallPending)
    scheduleAttempt(Now, state::boot_clock::duration::zero());
}

seat_action seat::onTick(time_point Now) {
  if (CallPending)
    return {};
  if (Held && !Eligible) {
    Held = false;
    return startCall(Now, seat_action::kind::Revoke);
  }
  if (Held && Now >= ValidUntil)
    setLost(Now);
  if (Held) {
    // Renewing after a third of the TTL leaves two more tries before expiry.
    if (Now >= std::max(LeaseSentAt, RequestSentAt) + Options.LeaseTtl / 3)
      return startCall(Now, seat_action::kind::KeepAlive);
    return {};
  }
  if (!Eligible)
    return {};
  if (!Scheduled)
    scheduleAttempt(Now, state::boot_clock::duration::zero());
  if (Now < NextAttemptAt)
    return {};
  return startCall(Now, seat_action::kind::Read);
}

seat_action seat::onRead(time_point Now,
                         const state::result<platform_read> &Read) {
  CallPending = false;
  if (!Read) {
    scheduleRetry(Now);
    return {};
  }
  if (!Read.value().Entries.empty()) {
    const platform_entry &Entry = Read.value().Entries.front();
    // An earlier claim took effect, but its response was lost.
    if (LeaseId != 0 && Entry.Lease == LeaseId &&
        Now < LeaseSentAt + Options.LeaseTtl) {
      ValidUntil = LeaseSentAt + Options.LeaseTtl;
      setHeld(Entry.CreateRevision);
      return {};
    }
    Failures = 0;
    LeaseId = 0;
    scheduleAttempt(Now, 3 * Options.LeaseTtl);
    return {};
  }
  if (LeaseId != 0 && Now < LeaseSentAt + Options.LeaseTtl / 2)
    return startCall(Now, seat_action::kind::Claim);
  return startCall(Now, seat_action::kind::GrantLease);
}

seat_action seat::onLeaseGranted(time_point Now,
                                 const state::result<std::int64_t> &Granted) {
  CallPending = false;
  if (!Granted) {
    scheduleRetry(Now);
    return {};
  }
  LeaseId = Granted.value();
  LeaseSentAt = RequestSentAt;
  return startCall(Now, seat_action::kind::Claim);
}

seat_action seat::onClaimed(time_point Now,
                            const state::result<platform_txn_result> &Result) {
  CallPending = false;
  if (!Result) {
    // The claim may have taken effect; the next read shows it.
    Scheduled = true;
    NextAttemptAt = Now + Options.MinRetryDelay / 4;
    return {};
  }
  if (!Result.value().Succeeded) {
    Failures = 0;
    scheduleAttempt(Now, 3 * Options.LeaseTtl);
    return startCall(Now, seat_action::kind::Revoke);
  }
  ValidUntil = LeaseSentAt + Options.LeaseTtl;
  setHeld(Result.value().Revision);
  return {};
}

void seat::onKeptAlive(time_point Now,
                       const state::result<std::chrono::seconds> &Remaining) {
  CallPending = false;
  if (!Remaining) {
    if (Remaining.error().is(errc::NotFound))
      setLost(Now);
    return;
  }
  // A response that arrives after the lease has expired confirms nothing.
  if (!heldAt(Now))
    return setLost(Now);
  LeaseSentAt = RequestSentAt;
  ValidUntil = LeaseSentAt + std::min<std::chrono::seconds>(Remaining.value(),
                                                            Options.LeaseTtl);
}

void seat::onRevoked(time_point Now) {
  CallPending = false;
  LeaseId = 0;
  if (!Scheduled || NextAttemptAt < Now)
    scheduleAttempt(Now, Options.LeaseTtl);
}

//-----------------------------------------------------------------------------
// Execution
//-----------------------------------------------------------------------------

struct seat_runner::shared_state {
  platform_store &Platform;
  seat &Seat;
  clock Clock;
  bool Stopped = false;
};

seat_runner::seat_runner(platform_store &Platform, seat &Seat, clock Clock)
    : Shared(std::make_shared<shared_state>(
          shared_state{Platform, Seat, std::move(Clock)})) {}

seat_runner::~seat_runner() { Shared->Stopped = true; }

void seat_runner::onTick(time_point Now) {
  run(Shared, Shared->Seat.onTick(Now));
}

void seat_runner::run(const std::shared_ptr<shared_state> &Self,
                      seat_action Action) {
  using kind = seat_action::kind;
  switch (Action.Kind) {
  case kind::None:
    return;
  case kind::Read:
    return Self->Platform.get(Action.Key, false, [Self](auto Read) {
      if (!Self->Stopped)
        run(Self, Self->Seat.onRead(Self->Clock(), Read));
    });
  case kind::GrantLease:
    return Self->Platform.grantLease(Action.LeaseTtl, [Self](auto Granted) {
      if (!Self->Stopped)
        run(Self, Self->Seat.onLeaseGranted(Self->Clock(), Granted));
    });
  case kind::Claim:
    return Self->Platform.commit(std::move(Action.Txn), [Self](auto Result) {
      if (!Self->Stopped)
        run(Self, Self->Seat.onClaimed(Self->Clock(), Result));
    });
  case kind::KeepAlive:
    return Self->Platform.keepAlive(Action.LeaseId, [Self](auto Remaining) {
      if (!Self->Stopped)
        Self->Seat.onKeptAlive(Self->Clock(), Remaining);
    });
  case kind::Revoke:
    return Self->Platform.revokeLease(Action.LeaseId, [Self](auto) {
      if (!Self->Stopped)
        Self->Seat.onRevoked(Self->Clock());
    });
  }
}

} // namespace hyssopledge::coordination
