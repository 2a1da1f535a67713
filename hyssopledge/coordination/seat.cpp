#include "hyssopledge/coordination/seat.h"

#include <algorithm>
#include <utility>

namespace hyssopledge::coordination {

using state::errc;
using state::time_point;

seat::seat(seat_options Options, state::random_engine &Random)
    : Options(std::move(Options)), Random(Random) {}

seat_action seat::act(time_point Now, seat_action::kind Kind) {
  Busy = Kind != seat_action::kind::None;
  RequestSent = Now;
  seat_action Action;
  Action.Kind = Kind;
  Action.Key = Options.Key;
  Action.Lease = Lease;
  Action.Duration = Options.Duration;
  if (Kind == seat_action::kind::Take) {
    Action.Txn.Conditions = {{Options.Key, 0}};
    Action.Txn.Puts = {{Options.Key, Options.Value, Lease}};
  }
  return Action;
}

void seat::scheduleAttempt(time_point Now, state::boot_clock::duration Min) {
  const auto Spread = std::chrono::duration_cast<state::boot_clock::duration>(
      Options.SpreadPerCandidate * std::max<std::size_t>(Candidates, 1));
  NextAttempt = Now + Min +
                std::chrono::duration_cast<state::boot_clock::duration>(
                    Spread * state::unitInterval(Random()));
  Scheduled = true;
}

void seat::retryLater(time_point Now) {
  const auto Backoff = std::min<state::milliseconds>(
      Options.RetryMax, Options.RetryMin * (1U << std::min(Failures, 10U)));
  ++Failures;
  scheduleAttempt(Now,
                  std::chrono::duration_cast<state::boot_clock::duration>(
                      Backoff * (0.5 + 0.5 * state::unitInterval(Random()))));
}

void seat::lose(time_point Now) {
  Held = false;
  Lease = 0;
  scheduleAttempt(Now, state::boot_clock::duration::zero());
}

void seat::take(std::int64_t CreateRevision) {
  Held = true;
  Token = CreateRevision;
  Failures = 0;
}

void seat::onHolderSeen(time_point Now) {
  if (!Held && !Busy)
    scheduleAttempt(Now, Options.Quiet);
}

void seat::onHolderGone(time_point Now) {
  if (!Held && !Busy)
    scheduleAttempt(Now, state::boot_clock::duration::zero());
}

seat_action seat::onTick(time_point Now) {
  if (Busy)
    return {};
  if (Held && !Eligible) {
    Held = false;
    return act(Now, seat_action::kind::Revoke);
  }
  if (Held && Now >= ValidUntil)
    lose(Now);
  if (Held) {
    // A third of the duration leaves two more tries before the lease ends.
    if (Now >= std::max(LeaseSent, RequestSent) + Options.Duration / 3)
      return act(Now, seat_action::kind::KeepAlive);
    return {};
  }
  if (!Eligible)
    return {};
  if (!Scheduled)
    scheduleAttempt(Now, state::boot_clock::duration::zero());
  if (Now < NextAttempt)
    return {};
  return act(Now, seat_action::kind::Read);
}

seat_action seat::onRead(time_point Now,
                         const state::result<platform_read> &Read) {
  Busy = false;
  if (!Read) {
    retryLater(Now);
    return {};
  }
  if (!Read.value().Entries.empty()) {
    const platform_entry &Entry = Read.value().Entries.front();
    // The answer of an earlier take was lost, but it took effect.
    if (Lease != 0 && Entry.Lease == Lease &&
        Now < LeaseSent + Options.Duration) {
      ValidUntil = LeaseSent + Options.Duration;
      take(Entry.CreateRevision);
      return {};
    }
    Failures = 0;
    Lease = 0;
    scheduleAttempt(Now, 3 * Options.Duration);
    return {};
  }
  if (Lease != 0 && Now < LeaseSent + Options.Duration / 2)
    return act(Now, seat_action::kind::Take);
  return act(Now, seat_action::kind::GrantLease);
}

seat_action seat::onLease(time_point Now,
                          const state::result<std::int64_t> &Granted) {
  Busy = false;
  if (!Granted) {
    retryLater(Now);
    return {};
  }
  Lease = Granted.value();
  LeaseSent = RequestSent;
  return act(Now, seat_action::kind::Take);
}

seat_action seat::onTaken(time_point Now,
                          const state::result<platform_txn_result> &Result) {
  Busy = false;
  if (!Result) {
    // The take may have had an effect; the next read tells.
    Scheduled = true;
    NextAttempt = Now + Options.RetryMin / 4;
    return {};
  }
  if (!Result.value().Succeeded) {
    Failures = 0;
    scheduleAttempt(Now, 3 * Options.Duration);
    return act(Now, seat_action::kind::Revoke);
  }
  ValidUntil = LeaseSent + Options.Duration;
  take(Result.value().Revision);
  return {};
}

void seat::onKeptAlive(time_point Now,
                       const state::result<std::chrono::seconds> &Remaining) {
  Busy = false;
  if (!Remaining) {
    if (Remaining.error().is(errc::NotFound))
      lose(Now);
    return;
  }
  // An answer that took longer than the lease confirms nothing.
  if (!heldAt(Now))
    return lose(Now);
  LeaseSent = RequestSent;
  ValidUntil = LeaseSent + std::min<std::chrono::seconds>(Remaining.value(),
                                                          Options.Duration);
}

void seat::onRevoked(time_point Now) {
  Busy = false;
  Lease = 0;
  if (!Scheduled || NextAttempt < Now)
    scheduleAttempt(Now, Options.Duration);
}

//-----------------------------------------------------------------------------
// Execution
//-----------------------------------------------------------------------------

struct seat_runner::shared {
  platform_store &Platform;
  seat &Seat;
  clock Clock;
  bool Stopped = false;
};

seat_runner::seat_runner(platform_store &Platform, seat &Seat, clock Clock)
    : Shared(
          std::make_shared<shared>(shared{Platform, Seat, std::move(Clock)})) {}

seat_runner::~seat_runner() { Shared->Stopped = true; }

void seat_runner::onTick(time_point Now) {
  run(Shared, Shared->Seat.onTick(Now));
}

void seat_runner::run(const std::shared_ptr<shared> &Self, seat_action Action) {
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
    return Self->Platform.grantLease(Action.Duration, [Self](auto Granted) {
      if (!Self->Stopped)
        run(Self, Self->Seat.onLease(Self->Clock(), Granted));
    });
  case kind::Take:
    return Self->Platform.commit(std::move(Action.Txn), [Self](auto Result) {
      if (!Self->Stopped)
        run(Self, Self->Seat.onTaken(Self->Clock(), Result));
    });
  case kind::KeepAlive:
    return Self->Platform.keepAlive(Action.Lease, [Self](auto Remaining) {
      if (!Self->Stopped)
        Self->Seat.onKeptAlive(Self->Clock(), Remaining);
    });
  case kind::Revoke:
    return Self->Platform.revokeLease(Action.Lease, [Self](auto) {
      if (!Self->Stopped)
        Self->Seat.onRevoked(Self->Clock());
    });
  }
}

} // namespace hyssopledge::coordination
