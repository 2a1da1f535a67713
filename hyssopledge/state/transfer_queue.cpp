#include "hyssopledge/state/transfer_queue.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::state {

namespace {

// Share of the link for bodies in estimates; the rest is for short calls,
// responses and control messages.
constexpr double LinkShare = 0.85;
// A body that takes this multiple of its expected time, and at least
// MinTransferTimeout, is not expected any more.
constexpr int TransferTimeoutFactor = 4;
constexpr milliseconds MinTransferTimeout{500};
// Time constant of the link time used by bodies that were on time.
constexpr double OnTimeDecayMs = 600;
// Lower bound of the free share of the link, which limits the expected wait of
// a late body.
constexpr double MinFreeShare = 0.05;

} // namespace

milliseconds transfer_queue::duration(std::uint64_t Bytes) const {
  return limited() ? milliseconds(static_cast<std::int64_t>(
                         static_cast<double>(Bytes) / Rate))
                   : milliseconds(0);
}

std::uint64_t transfer_queue::bytesOnTheWay() const {
  std::uint64_t Bytes = 0;
  for (const sent_transfer &Sent : OnTheWay)
    Bytes += Sent.Bytes;
  return Bytes;
}

bool transfer_queue::onTime(const transfer_request &Request,
                            time_point Now) const {
  return Now + MaxOnTheWay + duration(Request.Bytes) <= Request.SloDeadline;
}

bool transfer_queue::precedes(const transfer_request &A,
                              const transfer_request &B, time_point Now) const {
  const bool OnTime = onTime(A, Now);
  if (OnTime != onTime(B, Now))
    return OnTime;
  return OnTime ? A.SloDeadline < B.SloDeadline : A.Deadline < B.Deadline;
}

milliseconds transfer_queue::arrivalTime(const transfer_request &Request,
                                         time_point Now) const {
  std::uint64_t Bytes = bytesOnTheWay() + Request.Bytes;
  for (const waiting_transfer &Other : Waiting)
    if (!precedes(Request, Other.Request, Now))
      Bytes += Other.Request.Bytes;
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(duration(Bytes).count()) / LinkShare));
}

bool transfer_queue::mayStart(std::uint64_t Bytes) const {
  return !limited() || OnTheWay.empty() ||
         duration(bytesOnTheWay() + Bytes) <= MaxOnTheWay;
}

void transfer_queue::start(const transfer_request &Request, time_point Now) {
  const milliseconds Timeout =
      std::max(MinTransferTimeout,
               (duration(Request.Bytes) + MaxOnTheWay) * TransferTimeoutFactor);
  OnTheWay.push_back({Request.Ticket, Request.Bytes, Now + Timeout});
  if (onTime(Request, Now)) {
    OnTimeMs =
        onTimeMs(Now) + static_cast<double>(duration(Request.Bytes).count());
    OnTimeUpdatedAt = Now;
  }
}

double transfer_queue::onTimeMs(time_point Now) const {
  const std::chrono::duration<double, std::milli> Elapsed =
      Now - OnTimeUpdatedAt;
  return OnTimeMs * std::exp(-Elapsed.count() / OnTimeDecayMs);
}

bool transfer_queue::canArriveLate(const transfer_request &Request,
                                   time_point Now) const {
  std::uint64_t Bytes = bytesOnTheWay() + Request.Bytes;
  for (const waiting_transfer &Other : Waiting)
    Bytes += Other.Request.Bytes;
  const double FreeShare =
      std::max(MinFreeShare, LinkShare - onTimeMs(Now) / OnTimeDecayMs);
  const std::chrono::duration<double, std::milli> Left = Request.Deadline - Now;
  return static_cast<double>(duration(Bytes).count()) / FreeShare <=
         MaxLateWaitFraction * Left.count();
}

transfer_decision transfer_queue::admit(const transfer_request &Request,
                                        time_point Now) {
  const milliseconds Arrival = arrivalTime(Request, Now);
  if (Now + Arrival > Request.Deadline)
    return {transfer_action::Refuse, "deadline"};
  if (Waiting.empty() && mayStart(Request.Bytes)) {
    start(Request, Now);
    return {transfer_action::Send, ""};
  }
  const bool Late = Now + Arrival > Request.SloDeadline;
  if (Late && (!Request.MayMissSlo || !canArriveLate(Request, Now)))
    return {transfer_action::Refuse, "late"};
  Waiting.push_back({Request, Late});
  return {transfer_action::Wait, ""};
}

std::vector<transfer_release> transfer_queue::finish(std::uint64_t Ticket,
                                                     time_point Now) {
  std::erase_if(OnTheWay, [Ticket](const sent_transfer &Sent) {
    return Sent.Ticket == Ticket;
  });
  return expire(Now);
}

std::vector<transfer_release> transfer_queue::expire(time_point Now) {
  std::vector<transfer_release> Out;
  std::erase_if(OnTheWay, [Now](const sent_transfer &Sent) {
    return Now >= Sent.ExpiresAt;
  });
  std::erase_if(Waiting, [&](waiting_transfer &Entry) {
    const transfer_request &Request = Entry.Request;
    const char *Reason = nullptr;
    if (Now + duration(Request.Bytes) > Request.Deadline) {
      Reason = "deadline";
    } else if (!Entry.AcceptedLate && !onTime(Request, Now)) {
      // It missed its SLO in the queue: apply the check for late arrivals.
      Entry.AcceptedLate = true;
      if (!Request.MayMissSlo || !canArriveLate(Request, Now))
        Reason = "late";
    }
    if (Reason != nullptr)
      Out.push_back({Request.Ticket, false, Reason});
    return Reason != nullptr;
  });
  while (!Waiting.empty()) {
    const auto First = std::min_element(
        Waiting.begin(), Waiting.end(),
        [&](const waiting_transfer &A, const waiting_transfer &B) {
          return precedes(A.Request, B.Request, Now);
        });
    const transfer_request Next = First->Request;
    if (!mayStart(Next.Bytes))
      break;
    Waiting.erase(First);
    start(Next, Now);
    Out.push_back({Next.Ticket, true, ""});
  }
  return Out;
}

void transfer_queue::cancel(std::uint64_t Ticket) {
  std::erase_if(Waiting, [Ticket](const waiting_transfer &Entry) {
    return Entry.Request.Ticket == Ticket;
  });
}

} // namespace hyssopledge::state
