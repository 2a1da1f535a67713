/// \file
/// Replays load patterns on slot_queue: what it answers in time, what it
/// refuses and when.
#include "hyssopledge/state/slot_queue.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace hyssopledge::state;

namespace {

const time_point Start{std::chrono::hours(1)};

slot_request request(std::uint64_t Ticket, const char *Kind, int AimMs,
                     int DeadlineMs, time_point Now = Start) {
  slot_request Request;
  Request.Ticket = Ticket;
  Request.Route = Kind;
  Request.SloDeadline = Now + milliseconds(AimMs);
  Request.Deadline = Now + milliseconds(DeadlineMs);
  return Request;
}

/// One kind of request in a replayed pattern.
struct load_kind {
  const char *Name;
  double PerSecond;
  int RunMs;
  int AimMs;
  int DeadlineMs;
  std::uint32_t Priority = 0;
};

struct load_result {
  int Offered = 0;
  int InAim = 0;
  int Late = 0;
  int Refused = 0;
  int HeldLong = 0; // refused after more than half of the deadline
};

enum class order { SlotQueue, FirstComeFirstServed };

/// Runs the pattern for the time on one upstream, in steps of 1 ms. The
/// baseline is a queue without refusals but at the deadline.
std::map<std::string, load_result> replay(const std::vector<load_kind> &Kinds,
                                          std::uint32_t Slots, int DurationMs,
                                          order Order) {
  slot_queue Queue;
  Queue.setSlots(Slots);
  std::mt19937_64 Random(7);
  std::uniform_real_distribution<double> Draw(0, 1);
  struct flying {
    const load_kind *Kind;
    time_point Arrived;
    time_point Ends{};
    bool Running = false;
  };
  std::map<std::uint64_t, flying> Flying;
  std::vector<std::uint64_t> Line; // of the baseline
  std::map<std::string, load_result> Results;
  std::uint64_t Ticket = 0;
  std::uint32_t Busy = 0;
  const auto Start1 = [&](std::uint64_t T, time_point Now) {
    flying &F = Flying.at(T);
    F.Running = true;
    F.Ends = Now + milliseconds(F.Kind->RunMs);
    ++Busy;
  };
  const auto Refuse = [&](std::uint64_t T, time_point Now) {
    const flying &F = Flying.at(T);
    load_result &R = Results[F.Kind->Name];
    ++R.Refused;
    if (Now - F.Arrived > milliseconds(F.Kind->DeadlineMs) / 2)
      ++R.HeldLong;
    Flying.erase(T);
  };
  const auto Apply = [&](const std::vector<queue_release> &Releases,
                         time_point Now) {
    for (const queue_release &Release : Releases)
      Release.Run ? Start1(Release.Ticket, Now) : Refuse(Release.Ticket, Now);
  };
  for (int Ms = 0; Ms < DurationMs; ++Ms) {
    const time_point Now = Start + milliseconds(Ms);
    std::vector<std::uint64_t> Ended;
    for (const auto &[T, F] : Flying)
      if (F.Running && F.Ends <= Now)
        Ended.push_back(T);
    for (const std::uint64_t T : Ended) {
      const flying F = Flying.at(T);
      const auto Took = Now - F.Arrived;
      load_result &R = Results[F.Kind->Name];
      if (Took <= milliseconds(F.Kind->AimMs))
        ++R.InAim;
      else if (Took <= milliseconds(F.Kind->DeadlineMs))
        ++R.Late;
      else
        ++R.Refused; // nobody waits for it any more
      Flying.erase(T);
      --Busy;
      if (Order == order::SlotQueue)
        Apply(Queue.finish(T, milliseconds(F.Kind->RunMs), Now), Now);
    }
    for (const load_kind &Kind : Kinds) {
      if (Draw(Random) >= Kind.PerSecond / 1000)
        continue;
      slot_request R =
          request(++Ticket, Kind.Name, Kind.AimMs, Kind.DeadlineMs, Now);
      R.Priority = Kind.Priority;
      Flying[Ticket] = {&Kind, Now};
      ++Results[Kind.Name].Offered;
      if (Order == order::FirstComeFirstServed) {
        Line.push_back(Ticket);
        continue;
      }
      const slot_decision Decision = Queue.admit(R, Now);
      if (Decision.Action == slot_action::Run)
        Start1(Ticket, Now);
      else if (Decision.Action == slot_action::Refuse)
        Refuse(Ticket, Now);
    }
    if (Order == order::SlotQueue) {
      if (Ms % 20 == 0)
        Apply(Queue.expire(Now), Now);
      continue;
    }
    while (Busy < Slots && !Line.empty()) {
      const std::uint64_t T = Line.front();
      Line.erase(Line.begin());
      const flying &F = Flying.at(T);
      if (Now > F.Arrived + milliseconds(F.Kind->DeadlineMs))
        Refuse(T, Now);
      else
        Start1(T, Now);
    }
  }
  return Results;
}

int served(const load_result &R) { return R.InAim + R.Late; }

} // namespace

TEST_CASE("load patterns are answered better than first come, first served") {
  struct pattern {
    const char *Name;
    std::vector<load_kind> Kinds;
    double LeastInAim;   // part of what the slots can run
    double MostHeldLong; // part of the refusals
  };
  // 12 slots: 120 requests a second of 100 ms fill them.
  const pattern Patterns[] = {
      {"overload that lasts, 1.7 x the slots",
       {{"page", 204, 100, 250, 500}},
       0.8,
       0.05},
      {"overload with long deadlines",
       {{"page", 204, 100, 500, 3000}},
       0.8,
       0.05},
      {"chains: short calls among pages",
       {{"page", 150, 100, 250, 500}, {"lookup", 200, 15, 60, 200}},
       0.7,
       0.1},
      {"two ranks",
       {{"booking", 60, 100, 300, 600, 1}, {"page", 140, 100, 300, 600, 2}},
       0.75,
       0.05},
  };
  for (const pattern &Pattern : Patterns) {
    CAPTURE(std::string(Pattern.Name));
    constexpr int DurationMs = 20'000;
    auto Ours = replay(Pattern.Kinds, 12, DurationMs, order::SlotQueue);
    auto Plain =
        replay(Pattern.Kinds, 12, DurationMs, order::FirstComeFirstServed);
    int OurAim = 0;
    int PlainAim = 0;
    int Refused = 0;
    int HeldLong = 0;
    double RunMs = 0;
    for (const load_kind &Kind : Pattern.Kinds) {
      OurAim += Ours[Kind.Name].InAim;
      PlainAim += Plain[Kind.Name].InAim;
      Refused += Ours[Kind.Name].Refused;
      HeldLong += Ours[Kind.Name].HeldLong;
      RunMs += double(Ours[Kind.Name].InAim) * Kind.RunMs;
    }
    MESSAGE(std::string(Pattern.Name), ": in aim ", OurAim, ", first come ",
            PlainAim, ", refused ", Refused, ", held long ", HeldLong);
    CHECK(OurAim > PlainAim);
    CHECK(RunMs >= Pattern.LeastInAim * 12 * DurationMs);
    CHECK(HeldLong <= Pattern.MostHeldLong * Refused);
  }
}

TEST_CASE("short calls of running requests are not refused under overload") {
  const auto Results =
      replay({{"page", 200, 100, 250, 500}, {"lookup", 200, 15, 60, 200}}, 12,
             20'000, order::SlotQueue);
  const load_result &Lookup = Results.at("lookup");
  CHECK(served(Lookup) >= Lookup.Offered * 95 / 100);
}

TEST_CASE("the more urgent rank is served at least as often") {
  const auto Results = replay(
      {{"booking", 60, 100, 300, 600, 1}, {"page", 140, 100, 300, 600, 2}}, 12,
      20'000, order::SlotQueue);
  const load_result &Booking = Results.at("booking");
  const load_result &Page = Results.at("page");
  CHECK(served(Booking) * Page.Offered >= served(Page) * Booking.Offered);
}

TEST_CASE("a request is taken or refused when it arrives") {
  struct entry_case {
    const char *Name;
    std::uint32_t Slots;
    int Running; // of 100 ms each
    slot_request Request;
    slot_action Expected;
    const char *Reason;
  };
  slot_request OnlyOnTime = request(99, "page", 110, 1000);
  OnlyOnTime.MayMissSlo = false;
  const entry_case Cases[] = {
      {"free slot", 2, 1, request(99, "page", 200, 500), slot_action::Run, ""},
      {"all slots busy", 2, 2, request(99, "page", 300, 500), slot_action::Wait,
       ""},
      {"no slots", 0, 0, request(99, "page", 300, 500), slot_action::Refuse,
       "full"},
      {"less time than a run", 2, 0, request(99, "page", 300, 60),
       slot_action::Refuse, "deadline"},
      {"would be late and must not", 2, 2, OnlyOnTime, slot_action::Refuse,
       "late"},
  };
  for (const entry_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    slot_queue Queue;
    Queue.setSlots(12);
    // The mean of the kind is known.
    Queue.admit(request(1, "page", 1000, 2000), Start);
    Queue.finish(1, milliseconds(100), Start);
    Queue.setSlots(Case.Slots);
    for (int I = 0; I < Case.Running; ++I)
      REQUIRE(Queue.admit(request(10 + I, "page", 1000, 2000), Start).Action ==
              slot_action::Run);
    const slot_decision Decision = Queue.admit(Case.Request, Start);
    CHECK(Decision.Action == Case.Expected);
    CHECK(std::string(Decision.Reason) == Case.Reason);
  }
}

TEST_CASE("waiting requests that can't end in time are refused at once") {
  slot_queue Queue;
  Queue.setSlots(1);
  Queue.admit(request(1, "page", 1000, 5000), Start);
  Queue.finish(1, milliseconds(100), Start);
  Queue.admit(request(2, "page", 1000, 5000), Start);
  REQUIRE(Queue.admit(request(3, "page", 350, 400), Start).Action ==
          slot_action::Wait);
  CHECK(Queue.expire(Start + milliseconds(200)).empty());
  const auto Releases = Queue.expire(Start + milliseconds(310));
  REQUIRE(Releases.size() == 1);
  CHECK(Releases[0].Ticket == 3);
  CHECK_FALSE(Releases[0].Run);
  CHECK(Queue.waiting() == 0);
}

TEST_CASE("a cancelled request leaves the queue") {
  slot_queue Queue;
  Queue.setSlots(1);
  Queue.admit(request(1, "page", 1000, 5000), Start);
  Queue.admit(request(2, "page", 1000, 5000), Start);
  CHECK(Queue.cancel(2));
  CHECK_FALSE(Queue.cancel(2));
  CHECK(Queue.finish(1, milliseconds(10), Start).empty());
}

namespace {

/// Runs of "page" on 12 slots, 100 ms on average, that scatter; Factor by time.
struct slowness_replay {
  slot_queue Queue;
  std::mt19937_64 Random{11};
  std::map<std::uint64_t, time_point> Ends;
  std::uint64_t Ticket = 0;

  slowness_replay() { Queue.setSlots(12); }

  void step(time_point Now, double Factor, double PerSecond) {
    for (auto It = Ends.begin(); It != Ends.end();) {
      if (It->second > Now) {
        ++It;
        continue;
      }
      const std::uint64_t T = It->first;
      It = Ends.erase(It);
      for (const queue_release &R :
           Queue.finish(T, milliseconds(100), Now)) // any but 0
        if (R.Run)
          begin(R.Ticket, Factor, Now);
    }
    if (std::uniform_real_distribution<double>(0, 1)(Random) >=
        PerSecond / 1000)
      return;
    slot_request Request = request(++Ticket, "page", 400, 1000, Now);
    Request.MayMissSlo = false;
    const auto Decision = Queue.admit(Request, Now);
    if (Decision.Action == slot_action::Run)
      begin(Ticket, Factor, Now);
  }
  void begin(std::uint64_t T, double Factor, time_point Now) {
    // Mean 1, standard deviation about 1.
    std::lognormal_distribution<double> Scatter(-0.32, 0.8);
    Ends[T] = Now + milliseconds(static_cast<int>(
                        std::min(1000.0, 100 * Factor * Scatter(Random))));
  }
};

} // namespace

TEST_CASE("an upstream that turns slow is noticed before its runs end") {
  struct slow_case {
    const char *Name;
    double Factor;    // of the run times for 4 s
    int NoticedMs;    // after the change, at most; 0: never
    int RecoveredMs;  // after the end
    double PerSecond; // of the slots: 120 are all
  };
  for (const slow_case &Case :
       {slow_case{"scattered", 1, 0, 0, 90}, slow_case{"busy", 1, 0, 0, 115},
        slow_case{"twelve times", 12, 500, 4000, 90},
        slow_case{"five times", 5, 700, 4000, 90}}) {
    CAPTURE(std::string(Case.Name));
    slowness_replay Replay;
    int Noticed = 0;
    int Recovered = 0;
    constexpr int From = 10'000;
    constexpr int Until = 14'000;
    for (int Ms = 0; Ms < 30'000; ++Ms) {
      const time_point Now = Start + milliseconds(Ms);
      Replay.step(Now, Ms >= From && Ms < Until ? Case.Factor : 1,
                  Case.PerSecond);
      const bool Slow = Replay.Queue.slowdown(Now) > 1;
      if (Slow && Noticed == 0)
        Noticed = Ms;
      if (Slow)
        Recovered = Ms;
    }
    if (Case.NoticedMs == 0) {
      CHECK(Noticed == 0);
      continue;
    }
    CHECK(Noticed >= From);
    CHECK(Noticed <= From + Case.NoticedMs);
    CHECK(Recovered <= Until + Case.RecoveredMs);
  }
}
