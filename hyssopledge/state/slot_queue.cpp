#include "hyssopledge/state/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssopledge::state {

namespace {

// Weight of the newest run in a mean.
constexpr double NewestWeight = 0.1;
// In the usual run times while the upstream is slow: they change little.
constexpr double NewestWeightSlow = 0.01;
// Kept of the sums behind slowness() at each run: they hold about ten runs, and
// half of them must be there.
constexpr double SlowKeep = 0.9;
constexpr double RunsToJudge = 5;
// Usual run times after which an unfinished run is remarkable, and which one
// run can add: run times of one kind scatter by about their mean.
constexpr double CommonScatter = 2;
constexpr double MaxBeyond = 4;
// Without runs the sums lose their meaning.
constexpr double SlowMemoryMs = 3000;
// Kinds with a smaller part of the runs say nothing of the common run time.
constexpr double NotablePart = 0.05;
// Memory of the slot time that requests before their aim take.
constexpr milliseconds BusyMemory{600};
// A late request waits at most this much longer than the backlog alone says.
constexpr double LeastFreePart = 0.05;
// A late request whose last moment to start is this close goes first, since it
// was accepted.
constexpr milliseconds LastMoment{50};
// Run times vary: a run is planned this much longer than the mean when its
// deadline decides.
constexpr double DeadlineMargin = 1.3;
// Runs of up to this part of the longest kind's mean are short.
constexpr double ShortPart = 0.35;
// A run that has lasted longer than the mean is expected to last this part of
// it on.
constexpr double LeastRest = 0.25;

milliseconds scaled(milliseconds Time, double Factor) {
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

milliseconds inMilliseconds(boot_clock::duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time);
}

} // namespace

void run_time_table::record(const std::string &Route, milliseconds RunTime,
                            double Weight) {
  const auto Ms = static_cast<double>(RunTime.count());
  figure &Figure = Kinds[Route];
  const double Even = 1 / static_cast<double>(Figure.Runs + 1);
  Figure.MeanMs += std::max(Even, Weight) * (Ms - Figure.MeanMs);
  ++Figure.Runs;
  ++Runs;
}

milliseconds run_time_table::mean(const std::string &Route,
                                  milliseconds DefaultRunTime) const {
  const auto Found = Kinds.find(Route);
  return Found == Kinds.end()
             ? DefaultRunTime
             : milliseconds(static_cast<std::int64_t>(Found->second.MeanMs));
}

bool run_time_table::established(const std::string &Route) const {
  const auto Found = Kinds.find(Route);
  return Found != Kinds.end() && Found->second.Runs >= RunsToJudge;
}

milliseconds run_time_table::longest() const {
  double Longest = 0;
  for (const auto &[Route, Figure] : Kinds)
    if (static_cast<double>(Figure.Runs) >=
        NotablePart * static_cast<double>(Runs))
      Longest = std::max(Longest, Figure.MeanMs);
  return milliseconds(static_cast<std::int64_t>(Longest));
}

milliseconds slot_queue::mean(const slot_request &Request) const {
  return RunTimes.mean(Request.Route, Request.DefaultRunTime);
}

double slot_queue::excessMs(time_point Now) const {
  const double Passed =
      std::chrono::duration<double, std::milli>(Now - ExcessAt).count();
  return ExcessMs * std::exp(-Passed / SlowMemoryMs);
}

/// What the latest runs took as a multiple of the usual times. Those that have
/// not ended yet count as far as they exceed what runs commonly scatter.
double slot_queue::slowFactor(time_point Now) const {
  if (LatestRuns < RunsToJudge || UsualMs <= 0)
    return 1;
  double Excess = excessMs(Now);
  for (const run &Run : Running)
    if (Run.Established)
      Excess +=
          std::max(0.0, static_cast<double>((inMilliseconds(Now - Run.Started) -
                                             scaled(Run.Usual, CommonScatter))
                                                .count()));
  return 1 + Excess / UsualMs;
}

void slot_queue::judgeSlowness(time_point Now) {
  Slow = slowFactor(Now) >= (Slow ? SlowUntil : SlowFrom);
}

double slot_queue::slowdown(time_point Now) const {
  return Slow ? std::max(slowFactor(Now), SlowFrom) : 1;
}

bool slot_queue::isShort(const slot_request &Request) const {
  return mean(Request) <= scaled(RunTimes.longest(), ShortPart);
}

bool slot_queue::onTime(const slot_request &Request, time_point Now) const {
  return Now + mean(Request) <= Request.SloDeadline;
}

std::uint64_t slot_queue::rank(const slot_request &Request,
                               time_point Now) const {
  constexpr std::uint64_t Late = 1ULL << 40;
  if (isShort(Request))
    return 0;
  const auto LastStart =
      Request.Deadline - scaled(mean(Request), DeadlineMargin);
  if (onTime(Request, Now))
    return 2 + Request.Priority;
  return Now + LastMoment >= LastStart ? 1 : Late + Request.Priority;
}

bool slot_queue::before(const slot_request &A, const slot_request &B,
                        time_point Now) const {
  const std::uint64_t RankA = rank(A, Now);
  const std::uint64_t RankB = rank(B, Now);
  if (RankA != RankB)
    return RankA < RankB;
  return onTime(A, Now) ? A.SloDeadline < B.SloDeadline
                        : A.Deadline < B.Deadline;
}

milliseconds slot_queue::waitFor(const slot_request &Request,
                                 time_point Now) const {
  if (Running.size() < Slots)
    return milliseconds(0);
  if (Slots == 0)
    return milliseconds::max();
  // Slots become free one after the other; the runs that are ahead spread over
  // all of them.
  milliseconds Rest{0};
  for (const run &Run : Running)
    Rest += std::max(Run.Mean - inMilliseconds(Now - Run.Started),
                     scaled(Run.Mean, LeastRest));
  milliseconds Ahead{0};
  for (const waiting_request &Other : Waiting)
    if (!before(Request, Other.Request, Now))
      Ahead += mean(Other.Request);
  const auto Count = static_cast<std::int64_t>(Slots);
  return Rest * 2 / (Count * (Count + 1)) + Ahead / Count;
}

milliseconds slot_queue::expectedWait(time_point Now) const {
  slot_request Ordinary;
  Ordinary.Priority = ~0U;
  Ordinary.SloDeadline = Ordinary.Deadline = time_point::max();
  return waitFor(Ordinary, Now);
}

slot_decision slot_queue::admit(const slot_request &Request, time_point Now) {
  judgeSlowness(Now);
  slot_decision Decision;
  Decision.ExpectedWait = waitFor(Request, Now);
  const milliseconds Run = mean(Request);
  if (Slots == 0 || Waiting.size() >= MaxWaiting) {
    Decision.Reason = "full";
    return Decision;
  }
  if (Now + Decision.ExpectedWait + Run > Request.Deadline) {
    Decision.Reason = "deadline";
    return Decision;
  }
  if (Running.size() < Slots) {
    start(Request, Now);
    Decision.Action = slot_action::Run;
    return Decision;
  }
  const bool Late = Now + Decision.ExpectedWait + Run > Request.SloDeadline;
  const bool LateHere = Late && !isShort(Request);
  if (LateHere && (!Request.MayMissSlo || !lateFits(Request, Now))) {
    Decision.Reason = "late";
    return Decision;
  }
  Waiting.push_back({Request, LateHere});
  Decision.Action = slot_action::Wait;
  return Decision;
}

bool slot_queue::lateFits(const slot_request &Request, time_point Now) const {
  milliseconds Ahead{0};
  for (const waiting_request &Other : Waiting)
    Ahead += mean(Other.Request);
  const double Free = std::max(LeastFreePart, 1 - busyOnTime(Now));
  const milliseconds Wait = scaled(Ahead / Slots, 1 / Free);
  return Wait <= scaled(inMilliseconds(Request.Deadline - Now) - mean(Request),
                        LateFill);
}

double slot_queue::busyOnTime(time_point Now) const {
  const double Passed =
      std::chrono::duration<double, std::milli>(Now - OnTimeAt).count();
  const auto Memory = static_cast<double>(BusyMemory.count());
  return OnTimeMs * std::exp(-Passed / Memory) / (Memory * Slots);
}

void slot_queue::start(const slot_request &Request, time_point Now) {
  if (isShort(Request) || onTime(Request, Now)) {
    OnTimeMs =
        busyOnTime(Now) * static_cast<double>(BusyMemory.count()) * Slots +
        static_cast<double>(mean(Request).count());
    OnTimeAt = Now;
  }
  Running.push_back({Request.Ticket, Request.Route, Now, mean(Request),
                     UsualTimes.mean(Request.Route, Request.DefaultRunTime),
                     UsualTimes.established(Request.Route)});
}

void slot_queue::fill(time_point Now, std::vector<queue_release> &Out) {
  while (Running.size() < Slots && !Waiting.empty()) {
    auto First = Waiting.begin();
    for (auto It = First + 1; It != Waiting.end(); ++It)
      if (before(It->Request, First->Request, Now))
        First = It;
    start(First->Request, Now);
    Out.push_back({First->Request.Ticket, true, ""});
    Waiting.erase(First);
  }
}

std::vector<queue_release>
slot_queue::finish(std::uint64_t Ticket, milliseconds RunTime, time_point Now) {
  std::vector<queue_release> Out;
  const auto Found =
      std::find_if(Running.begin(), Running.end(),
                   [&](const run &Run) { return Run.Ticket == Ticket; });
  if (Found == Running.end())
    return Out;
  const auto Passed = inMilliseconds(Now - Found->Started);
  const auto Usual = static_cast<double>(Found->Usual.count());
  const double Beyond =
      std::min(static_cast<double>(Passed.count()) - Usual, MaxBeyond * Usual);
  if (Found->Established && RunTime.count() > 0) {
    ExcessMs = excessMs(Now) * SlowKeep + Beyond;
    UsualMs = UsualMs * SlowKeep + Usual;
    LatestRuns = LatestRuns * SlowKeep + 1;
    ExcessAt = Now;
  } else if (Found->Established) {
    ExcessMs = excessMs(Now) + std::max(0.0, Beyond);
    ExcessAt = Now;
  }
  if (RunTime.count() > 0) {
    RunTimes.record(Found->Route, RunTime, NewestWeight);
    UsualTimes.record(Found->Route, RunTime,
                      Slow ? NewestWeightSlow : NewestWeight);
  }
  Running.erase(Found);
  judgeSlowness(Now);
  Out = expire(Now);
  return Out;
}

std::vector<queue_release> slot_queue::expire(time_point Now) {
  std::vector<queue_release> Out;
  fill(Now, Out);
  std::erase_if(Waiting, [&](waiting_request &Entry) {
    const slot_request &Request = Entry.Request;
    const char *Reason = nullptr;
    if (Now + mean(Request) > Request.Deadline) {
      Reason = "deadline";
    } else if (!Entry.TakenLate && !isShort(Request) && !onTime(Request, Now)) {
      // It missed its aim here and is judged like a late one that arrives.
      Entry.TakenLate = true;
      if (!lateFits(Request, Now))
        Reason = "late";
    }
    if (Reason != nullptr)
      Out.push_back({Request.Ticket, false, Reason});
    return Reason != nullptr;
  });
  return Out;
}

bool slot_queue::cancel(std::uint64_t Ticket) {
  return std::erase_if(Waiting, [&](const waiting_request &Entry) {
           return Entry.Request.Ticket == Ticket;
         }) > 0;
}

} // namespace hyssopledge::state
