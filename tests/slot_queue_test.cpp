/// \file
/// Tests of slot_queue under the load patterns of slot_queue.h: which requests
/// finish in time, which are refused and when.
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

slot_request request(std::uint64_t Ticket, const char *Route, int SloMs,
                     int DeadlineMs, time_point Now = Start) {
  slot_request Request;
  Request.Ticket = Ticket;
  Request.Route = Route;
  Request.SloDeadline = Now + milliseconds(SloMs);
  Request.Deadline = Now + milliseconds(DeadlineMs);
  return Request;
}

/// Load on one route in a replayed pattern.
struct route_load {
  const char *Name;
  double PerSecond;
  int RunMs;
  int SloMs;
  int DeadlineMs;
  std::uint32_t Priority = 0;
};

struct load_result {
  int Offered = 0;
  int WithinSlo = 0;
  int Late = 0;
  int Refused = 0;
  int RefusedLate = 0; // refused after more than half of the deadline
};

enum class queue_policy { SlotQueue, Fifo };

/// Replays the pattern on one upstream, in steps of 1 ms. The baseline, Fifo,
/// refuses requests only at their deadline.
std::map<std::string, load_result> replay(const std::vector<route_load> &Routes,
                                          std::uint32_t Slots, int DurationMs,
                                          queue_policy Policy) {
  slot_queue Queue;
  Queue.setSlots(Slots);
  std::mt19937_64 Random(7);
  std::uniform_real_distribution<double> Draw(0, 1);
  struct request_in_flight {
    const route_load *Route;
    time_point Arrived;
    time_point Ends{};
    bool Running = false;
  };
  std::map<std::uint64_t, request_in_flight> InFlight;
  std::vector<std::uint64_t> FifoQueue; // tickets queued in the baseline
  std::map<std::string, load_result> Results;
  std::uint64_t Ticket = 0;
  std::uint32_t Busy = 0;
  const auto StartRun = [&](std::uint64_t T, time_point Now) {
    request_in_flight &F = InFlight.at(T);
    F.Running = true;
    F.Ends = Now + milliseconds(F.Route->RunMs);
    ++Busy;
  };
  const auto Refuse = [&](std::uint64_t T, time_point Now) {
    const request_in_flight &F = InFlight.at(T);
    load_result &R = Results[F.Route->Name];
    ++R.Refused;
    if (Now - F.Arrived > milliseconds(F.Route->DeadlineMs) / 2)
      ++R.RefusedLate;
    InFlight.erase(T);
  };
  const auto Apply = [&](const std::vector<queue_release> &Releases,
                         time_point Now) {
    for (const queue_release &Release : Releases)
      Release.Run ? StartRun(Release.Ticket, Now) : Refuse(Release.Ticket, Now);
  };
  for (int Ms = 0; Ms < DurationMs; ++Ms) {
    const time_point Now = Start + milliseconds(Ms);
    std::vector<std::uint64_t> Ended;
    for (const auto &[T, F] : InFlight)
      if (F.Running && F.Ends <= Now)
        Ended.push_back(T);
    for (const std::uint64_t T : Ended) {
      const request_in_flight F = InFlight.at(T);
      const auto Latency = Now - F.Arrived;
      load_result &R = Results[F.Route->Name];
      if (Latency <= milliseconds(F.Route->SloMs))
        ++R.WithinSlo;
      else if (Latency <= milliseconds(F.Route->DeadlineMs))
        ++R.Late;
      else
        ++R.Refused; // too late, the caller has given up
      InFlight.erase(T);
      --Busy;
      if (Policy == queue_policy::SlotQueue)
        Apply(Queue.finish(T, milliseconds(F.Route->RunMs), Now), Now);
    }
    for (const route_load &Route : Routes) {
      if (Draw(Random) >= Route.PerSecond / 1000)
        continue;
      slot_request R =
          request(++Ticket, Route.Name, Route.SloMs, Route.DeadlineMs, Now);
      R.Priority = Route.Priority;
      InFlight[Ticket] = {&Route, Now};
      ++Results[Route.Name].Offered;
      if (Policy == queue_policy::Fifo) {
        FifoQueue.push_back(Ticket);
        continue;
      }
      const slot_decision Decision = Queue.admit(R, Now);
      if (Decision.Action == slot_action::Run)
        StartRun(Ticket, Now);
      else if (Decision.Action == slot_action::Refuse)
        Refuse(Ticket, Now);
    }
    if (Policy == queue_policy::SlotQueue) {
      if (Ms % 20 == 0)
        Apply(Queue.expire(Now), Now);
      continue;
    }
    while (Busy < Slots && !FifoQueue.empty()) {
      const std::uint64_t T = FifoQueue.front();
      FifoQueue.erase(FifoQueue.begin());
      const request_in_flight &F = InFlight.at(T);
      if (Now > F.Arrived + milliseconds(F.Route->DeadlineMs))
        Refuse(T, Now);
      else
        StartRun(T, Now);
    }
  }
  return Results;
}

int served(const load_result &R) { return R.WithinSlo + R.Late; }

} // namespace

TEST_CASE(
    "more requests finish within their SLO than first come, first served") {
  struct pattern {
    const char *Name;
    std::vector<route_load> Routes;
    double MinWithinSlo;   // fraction of the slot time
    double MaxRefusedLate; // fraction of the refusals
  };
  // 120 requests a second of 100 ms each fill 12 slots.
  const pattern Patterns[] = {
      {"lasting overload, 1.7 times the slots",
       {{"page", 204, 100, 250, 500}},
       0.8,
       0.05},
      {"overload with long deadlines",
       {{"page", 204, 100, 500, 3000}},
       0.8,
       0.05},
      {"call chains: short calls among pages",
       {{"page", 150, 100, 250, 500}, {"lookup", 200, 15, 60, 200}},
       0.7,
       0.1},
      {"two priorities",
       {{"booking", 60, 100, 300, 600, 1}, {"page", 140, 100, 300, 600, 2}},
       0.75,
       0.05},
  };
  for (const pattern &Pattern : Patterns) {
    CAPTURE(std::string(Pattern.Name));
    constexpr int DurationMs = 20'000;
    auto SlotQueueResults =
        replay(Pattern.Routes, 12, DurationMs, queue_policy::SlotQueue);
    auto FifoResults =
        replay(Pattern.Routes, 12, DurationMs, queue_policy::Fifo);
    int SlotQueueWithinSlo = 0;
    int FifoWithinSlo = 0;
    int Refused = 0;
    int RefusedLate = 0;
    double RunMs = 0;
    for (const route_load &Route : Pattern.Routes) {
      SlotQueueWithinSlo += SlotQueueResults[Route.Name].WithinSlo;
      FifoWithinSlo += FifoResults[Route.Name].WithinSlo;
      Refused += SlotQueueResults[Route.Name].Refused;
      RefusedLate += SlotQueueResults[Route.Name].RefusedLate;
      RunMs += double(SlotQueueResults[Route.Name].WithinSlo) * Route.RunMs;
    }
    MESSAGE(std::string(Pattern.Name), ": within SLO ", SlotQueueWithinSlo,
            ", first come first served ", FifoWithinSlo, ", refused ", Refused,
            ", refused late ", RefusedLate);
    CHECK(SlotQueueWithinSlo > FifoWithinSlo);
    CHECK(RunMs >= Pattern.MinWithinSlo * 12 * DurationMs);
    CHECK(RefusedLate <= Pattern.MaxRefusedLate * Refused);
  }
}

TEST_CASE("short calls of running requests are not refused under overload") {
  const auto Results =
      replay({{"page", 200, 100, 250, 500}, {"lookup", 200, 15, 60, 200}}, 12,
             20'000, queue_policy::SlotQueue);
  const load_result &Lookup = Results.at("lookup");
  CHECK(served(Lookup) >= Lookup.Offered * 95 / 100);
}

TEST_CASE("the higher priority is served at least as often") {
  const auto Results = replay(
      {{"booking", 60, 100, 300, 600, 1}, {"page", 140, 100, 300, 600, 2}}, 12,
      20'000, queue_policy::SlotQueue);
  const load_result &Booking = Results.at("booking");
  const load_result &Page = Results.at("page");
  CHECK(served(Booking) * Page.Offered >= served(Page) * Booking.Offered);
}

TEST_CASE("a request is run, queued or refused on arrival") {
  struct entry_case {
    const char *Name;
    std::uint32_t Slots;
    int Running; // requests of 100 ms each
    slot_request Request;
    slot_action Expected;
    const char *Reason;
  };
  slot_request MustMeetSlo = request(99, "page", 110, 1000);
  MustMeetSlo.MayMissSlo = false;
  const entry_case Cases[] = {
      {"free slot", 2, 1, request(99, "page", 200, 500), slot_action::Run, ""},
      {"all slots busy", 2, 2, request(99, "page", 300, 500), slot_action::Wait,
       ""},
      {"no slots", 0, 0, request(99, "page", 300, 500), slot_action::Refuse,
       "full"},
      {"less time than a run", 2, 0, request(99, "page", 300, 60),
       slot_action::Refuse, "deadline"},
      {"would miss its SLO and must not", 2, 2, MustMeetSlo,
       slot_action::Refuse, "late"},
  };
  for (const entry_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    slot_queue Queue;
    Queue.setSlots(12);
    // Sets the mean run time of the route.
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

TEST_CASE("queued requests that can't finish in time are refused at once") {
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

TEST_CASE("a cancelled request is removed from the queue") {
  slot_queue Queue;
  Queue.setSlots(1);
  Queue.admit(request(1, "page", 1000, 5000), Start);
  Queue.admit(request(2, "page", 1000, 5000), Start);
  CHECK(Queue.cancel(2));
  CHECK_FALSE(Queue.cancel(2));
  CHECK(Queue.finish(1, milliseconds(10), Start).empty());
}

namespace {

/// Runs of "page" on 12 slots with random run times of 100 ms * Factor on
/// average.
struct slowdown_replay {
  slot_queue Queue;
  std::mt19937_64 Random{11};
  std::map<std::uint64_t, time_point> Ends;
  std::uint64_t Ticket = 0;

  slowdown_replay() { Queue.setSlots(12); }

  void step(time_point Now, double Factor, double PerSecond) {
    for (auto It = Ends.begin(); It != Ends.end();) {
      if (It->second > Now) {
        ++It;
        continue;
      }
      const std::uint64_t T = It->first;
      It = Ends.erase(It);
      for (const queue_release &R :
           Queue.finish(T, milliseconds(100), Now)) // 0 means no response
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

TEST_CASE("a slowdown is detected before the slow runs end") {
  struct slow_case {
    const char *Name;
    double Factor;      // on the run times, for 4 s
    int MaxDetectionMs; // after the start; 0: never detected
    int MaxRecoveryMs;  // after the end of the slowdown
    double PerSecond;   // 120 fill all slots
  };
  for (const slow_case &Case :
       {slow_case{"no slowdown", 1, 0, 0, 90},
        slow_case{"no slowdown, nearly full", 1, 0, 0, 115},
        slow_case{"twelve times", 12, 500, 4000, 90},
        slow_case{"five times", 5, 700, 4000, 90}}) {
    CAPTURE(std::string(Case.Name));
    slowdown_replay Replay;
    int DetectedAt = 0;
    int LastSlowAt = 0;
    constexpr int From = 10'000;
    constexpr int Until = 14'000;
    for (int Ms = 0; Ms < 30'000; ++Ms) {
      const time_point Now = Start + milliseconds(Ms);
      Replay.step(Now, Ms >= From && Ms < Until ? Case.Factor : 1,
                  Case.PerSecond);
      const bool Slow = Replay.Queue.slowdown(Now) > 1;
      if (Slow && DetectedAt == 0)
        DetectedAt = Ms;
      if (Slow)
        LastSlowAt = Ms;
    }
    if (Case.MaxDetectionMs == 0) {
      CHECK(DetectedAt == 0);
      continue;
    }
    CHECK(DetectedAt >= From);
    CHECK(DetectedAt <= From + Case.MaxDetectionMs);
    CHECK(LastSlowAt <= Until + Case.MaxRecoveryMs);
  }
}

// While other work slows the machine, the mean run time is too short an
// estimate: requests waited here and were answered late.
TEST_CASE("expected run times follow the speed that the upstream reports") {
  struct speed_case {
    const char *Name;
    std::vector<double> Reports; // the last one is the current speed
    int AgeMs;                   // of the last report
    slot_action Action;          // for a run of 100 ms with 150 ms left
  };
  const std::vector<double> Usual(400, 100);
  const auto Then = [&](double Last) {
    std::vector<double> Reports = Usual;
    Reports.push_back(Last);
    return Reports;
  };
  const speed_case Cases[] = {
      {"no report", {}, 0, slot_action::Run},
      {"as usual", Usual, 0, slot_action::Run},
      {"slow", Then(250), 0, slot_action::Refuse},
      {"slow some time ago", Then(250), 2000, slot_action::Run},
      // The measured run times contain the mean speed.
      {"always slow", std::vector<double>(400, 250), 0, slot_action::Run},
      {"fast", Then(50), 0, slot_action::Run},
  };
  for (const speed_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    slot_queue Queue;
    Queue.setSlots(1);
    time_point Now = Start;
    for (std::uint64_t Ticket = 1; Ticket <= 10; ++Ticket) {
      REQUIRE(
          Queue.admit(request(Ticket, "page", 1000, 1000, Now), Now).Action ==
          slot_action::Run);
      Now += milliseconds(100);
      Queue.finish(Ticket, milliseconds(100), Now);
    }
    for (const double Percent : Case.Reports)
      Queue.recordWorkPercent(Percent, Now);
    Now += milliseconds(Case.AgeMs);
    CHECK(Queue.admit(request(20, "page", 150, 150, Now), Now).Action ==
          Case.Action);
  }
}
