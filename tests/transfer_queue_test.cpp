/// \file
/// Tests the admission of large bodies to a link: decisions, and loads that are
/// replayed on a simulated link. The link carries bytes in the order in which
/// they are sent, so bodies that are sent without admission delay everything
/// behind them.
#include "hyssopledge/state/random.h"
#include "hyssopledge/state/transfer_queue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

using namespace hyssopledge;
using state::milliseconds;
using state::time_point;
using state::transfer_action;
using state::transfer_queue;
using state::transfer_request;

namespace {

constexpr double BytesPerMs = 1250; // 10 Mbit/s
const time_point Start{std::chrono::hours(1)};

transfer_request request(std::uint64_t Ticket, std::uint64_t Bytes,
                         std::int64_t SloMs, std::int64_t DeadlineMs,
                         time_point Now = Start) {
  transfer_request Request;
  Request.Ticket = Ticket;
  Request.Bytes = Bytes;
  Request.SloDeadline = Now + milliseconds(SloMs);
  Request.Deadline = Now + milliseconds(DeadlineMs);
  return Request;
}

struct link_load {
  const char *Name;
  double Offered; // of the link's capacity
  bool Admission;
};

struct link_result {
  double ShortDelayMs = 0;   // 99th percentile of short messages
  double OnTime = 0;         // of the bodies that were not refused
  double OnTimeCapacity = 0; // bytes on time, of the link's capacity
};

/// Sends bodies of 60 KB on average for 60 s, at random times.
link_result replay(const link_load &Load, std::uint64_t Seed) {
  constexpr std::int64_t Duration = 60'000;
  constexpr std::int64_t RoundTrip = 3;
  constexpr std::int64_t Slo = 900;
  constexpr double MeanBytes = 60'000;
  struct body {
    std::uint64_t Ticket;
    double Left;
    std::uint64_t Bytes;
    time_point SloDeadline;
  };
  state::random_engine Random(Seed);
  transfer_queue Queue;
  Queue.setRate(BytesPerMs);
  std::unordered_map<std::uint64_t, body> Offered;
  std::multimap<std::int64_t, std::uint64_t> Sending; // by start
  std::deque<body> Link;
  std::vector<double> ShortDelays;
  double Delivered = 0;
  double OnTime = 0;
  double OnTimeBytes = 0;
  double NextArrival = 0;
  std::uint64_t LastTicket = 0;
  for (std::int64_t Ms = 0; Ms < Duration; ++Ms) {
    const time_point Now = Start + milliseconds(Ms);
    const auto Release = [&](const auto &Releases) {
      for (const auto &Item : Releases)
        if (Item.Send)
          Sending.emplace(Ms + RoundTrip, Item.Ticket);
    };
    while (NextArrival <= static_cast<double>(Ms)) {
      NextArrival += -std::log(1 - state::unitInterval(Random())) * MeanBytes /
                     (BytesPerMs * Load.Offered);
      const auto Bytes = static_cast<std::uint64_t>(std::min(
          360'000.0, MeanBytes * (0.4 + 1.2 * state::unitInterval(Random()))));
      const std::uint64_t Ticket = ++LastTicket;
      transfer_request Request = request(Ticket, Bytes, Slo, 4500, Now);
      Offered[Ticket] = {Ticket, static_cast<double>(Bytes), Bytes,
                         Request.SloDeadline};
      const auto Decision = Load.Admission ? Queue.admit(Request, Now).Action
                                           : transfer_action::Send;
      if (Decision == transfer_action::Send)
        Sending.emplace(Ms + RoundTrip, Ticket);
    }
    if (Load.Admission && Ms % 20 == 0)
      Release(Queue.expire(Now));
    while (!Sending.empty() && Sending.begin()->first <= Ms) {
      Link.push_back(Offered.at(Sending.begin()->second));
      Sending.erase(Sending.begin());
    }
    double Backlog = 0;
    for (const body &Body : Link)
      Backlog += Body.Left;
    if (Ms % 20 == 0)
      ShortDelays.push_back(Backlog / BytesPerMs);
    double Capacity = BytesPerMs;
    while (!Link.empty() && Capacity > 0) {
      body &First = Link.front();
      const double Sent = std::min(Capacity, First.Left);
      First.Left -= Sent;
      Capacity -= Sent;
      if (First.Left > 0)
        break;
      Delivered += 1;
      if (Now <= First.SloDeadline) {
        OnTime += 1;
        OnTimeBytes += static_cast<double>(First.Bytes);
      }
      const std::uint64_t Ticket = First.Ticket;
      Link.pop_front();
      if (Load.Admission)
        Release(Queue.finish(Ticket, Now));
    }
  }
  std::sort(ShortDelays.begin(), ShortDelays.end());
  return {ShortDelays[ShortDelays.size() * 99 / 100], OnTime / Delivered,
          OnTimeBytes / (BytesPerMs * Duration)};
}

} // namespace

TEST_CASE("bodies near and beyond the capacity of a link delay short messages "
          "little and arrive on time") {
  // A called request has an objective of 250 ms and runs for 64 ms. A single
  // body takes up to 77 ms.
  constexpr double MaxShortDelayMs = 186;
  const link_load Loads[] = {
      {"half of the capacity", 0.5, true},
      {"near the capacity", 0.9, true},
      {"beyond the capacity", 1.5, true},
      {"three times the capacity", 3, true},
  };
  for (const link_load &Load : Loads)
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(std::string(Load.Name));
      CAPTURE(Seed);
      const link_result Result = replay(Load, Seed);
      CHECK(Result.ShortDelayMs <= MaxShortDelayMs);
      CHECK(Result.OnTime >= 0.9);
      CHECK(Result.OnTimeCapacity >= std::min(Load.Offered, 1.0) * 0.85);
    }
  // The same loads without admission, to show that the checks detect it.
  CHECK(replay({"", 0.9, false}, 1).ShortDelayMs > MaxShortDelayMs);
  CHECK(replay({"", 1.5, false}, 1).OnTime < 0.9);
}

TEST_CASE("a transfer is admitted, queued or refused on arrival") {
  struct admit_case {
    const char *Name;
    double Rate;                        // bytes per ms
    std::vector<std::uint64_t> Earlier; // bodies admitted before, in bytes
    transfer_request Request;
    transfer_action Expected;
    const char *Reason;
  };
  transfer_request MustMeetSlo = request(9, 60'000, 60, 5000);
  MustMeetSlo.MayMissSlo = false;
  const admit_case Cases[] = {
      {"idle link",
       BytesPerMs,
       {},
       request(9, 60'000, 900, 4000),
       transfer_action::Send,
       ""},
      {"larger than what may be on its way",
       BytesPerMs,
       {},
       request(9, 360'000, 900, 4000),
       transfer_action::Send,
       ""},
      {"room for a second body",
       BytesPerMs,
       {60'000},
       request(9, 60'000, 900, 4000),
       transfer_action::Send,
       ""},
      {"no room for a third body",
       BytesPerMs,
       {60'000, 60'000},
       request(9, 60'000, 900, 4000),
       transfer_action::Wait,
       ""},
      {"would miss its SLO and must not",
       BytesPerMs,
       {60'000, 60'000},
       MustMeetSlo,
       transfer_action::Refuse,
       "late"},
      {"would miss its SLO by far",
       BytesPerMs,
       {60'000, 60'000},
       request(9, 60'000, 60, 300),
       transfer_action::Refuse,
       "late"},
      {"can't arrive before its deadline",
       BytesPerMs,
       {},
       request(9, 360'000, 100, 200),
       transfer_action::Refuse,
       "deadline"},
      {"link of unknown rate",
       0,
       {360'000, 360'000},
       request(9, 360'000, 100, 200),
       transfer_action::Send,
       ""},
  };
  for (const admit_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    transfer_queue Queue;
    Queue.setRate(Case.Rate);
    std::uint64_t Ticket = 0;
    for (const std::uint64_t Bytes : Case.Earlier)
      REQUIRE(Queue.admit(request(++Ticket, Bytes, 900, 4000), Start).Action ==
              transfer_action::Send);
    const auto Decision = Queue.admit(Case.Request, Start);
    CHECK(Decision.Action == Case.Expected);
    CHECK(std::string(Decision.Reason) == Case.Reason);
  }
}

TEST_CASE("room on the link is given to the next transfer") {
  struct room_case {
    const char *Name;
    bool Arrives;       // the first body
    bool Cancelled;     // the second transfer
    std::int64_t AtMs;  // of the check
    std::uint64_t Next; // admitted then; 0: none
  };
  const room_case Cases[] = {
      {"the first body arrives", true, false, 100, 2},
      {"the first body is on its way", false, false, 100, 0},
      {"the first body never arrives", false, false, 2000, 2},
      {"the second sender has left", true, true, 100, 3},
  };
  for (const room_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    transfer_queue Queue;
    Queue.setRate(BytesPerMs);
    REQUIRE(Queue.admit(request(1, 120'000, 3000, 4000), Start).Action ==
            transfer_action::Send);
    for (const std::uint64_t Ticket : {2U, 3U})
      REQUIRE(Queue.admit(request(Ticket, 120'000, 3000 + Ticket, 4000), Start)
                  .Action == transfer_action::Wait);
    if (Case.Cancelled)
      Queue.cancel(2);
    const time_point Now = Start + milliseconds(Case.AtMs);
    const auto Releases =
        Case.Arrives ? Queue.finish(1, Now) : Queue.expire(Now);
    REQUIRE(Releases.size() == (Case.Next != 0 ? 1 : 0));
    if (Case.Next != 0) {
      CHECK(Releases[0].Ticket == Case.Next);
      CHECK(Releases[0].Send);
    }
  }
}
