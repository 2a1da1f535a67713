#include "hyssopledge/state/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssopledge::state {

namespace {

// Weight of a new run in a mean.
constexpr double SampleWeight = 0.1;
// Same for the usual run times while the upstream is slow, which then hardly
// change.
constexpr double SampleWeightWhileSlow = 0.01;
// Factor on the sums behind slowdown() at each run, which thus cover about ten
// runs.
constexpr double SlowdownDecayPerRun = 0.9;
// Half of that: runs from which the sums, and the mean of a route, are used.
constexpr double MinRuns = 5;
// Run times of one route have a standard deviation of about their mean. An
// unfinished run counts as slow beyond the first multiple of the usual run
// time; a finished run adds at most the second.
constexpr double UsualSpread = 2;
constexpr double MaxExcess = 4;
// Time constant of the excess without new runs.
constexpr double SlowdownDecayMs = 3000;
// Routes with a smaller share of the runs don't count in longestMean().
constexpr double MinRouteShare = 0.05;
// Time constant of the slot time used by short and on-time requests.
constexpr milliseconds OnTimeDecayPeriod{600};
// Lower bound of the free share of the slots, which limits the expected wait of
// a late request.
constexpr double MinFreeShare = 0.05;
// A late request runs first when the last moment to start it is this close,
// since it has been accepted.
constexpr milliseconds LateStartMargin{50};
// Run times vary, so the latest start before a deadline allows for this
// multiple of the mean.
constexpr double DeadlineRunTimeFactor = 1.3;
// Interval at which queued requests are checked against the rate limit.
constexpr milliseconds RateCheckInterval{100};
// Requests are short up to this fraction of the longest mean run time.
constexpr double ShortRunFraction = 0.35;
// Minimum remaining time of a run, as a fraction of the mean, for runs that
// take longer than the mean.
constexpr double MinRemainingFraction = 0.25;

milliseconds scaled(milliseconds Time, double Factor) {
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

milliseconds toMilliseconds(boot_clock::duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time);
}

} // namespace

void run_time_table::record(const std::string &Route, milliseconds RunTime,
                            double Weight) {
  const auto Ms = static_cast<double>(RunTime.count());
  route_stats &Stats = Routes[Route];
  const double EqualWeight = 1 / static_cast<double>(Stats.Runs + 1);
  Stats.MeanMs += std::max(EqualWeight, Weight) * (Ms - Stats.MeanMs);
  ++Stats.Runs;
  ++Runs;
}

milliseconds run_time_table::mean(const std::string &Route,
                                  milliseconds DefaultRunTime) const {
  const auto Found = Routes.find(Route);
  return Found == Routes.end()
             ? DefaultRunTime
             : milliseconds(static_cast<std::int64_t>(Found->second.MeanMs));
}

void run_time_table::forget(const std::string &Route) {
  const auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return;
  Runs -= Found->second.Runs;
  Routes.erase(Found);
}

bool run_time_table::hasEnoughRuns(const std::string &Route) const {
  const auto Found = Routes.find(Route);
  return Found != Routes.end() && Found->second.Runs >= MinRuns;
}

milliseconds run_time_table::longestMean() const {
  double Longest = 0;
  for (const auto &[Route, Stats] : Routes)
    if (static_cast<double>(Stats.Runs) >=
        MinRouteShare * static_cast<double>(Runs))
      Longest = std::max(Longest, Stats.MeanMs);
  return milliseconds(static_cast<std::int64_t>(Longest));
}

milliseconds slot_queue::mean(const slot_request &Request) const {
  return RunTimes.mean(Request.Route, Request.DefaultRunTime);
}

milliseconds slot_queue::expectedRun(const slot_request &Request,
                                     time_point Now) const {
  return scaled(mean(Request), WorkSpeed.factor(Now));
}

double slot_queue::decayedExcessMs(time_point Now) const {
  const double Elapsed =
      std::chrono::duration<double, std::milli>(Now - ExcessUpdatedAt).count();
  return RecentExcessMs * std::exp(-Elapsed / SlowdownDecayMs);
}

// Unfinished runs count with their time beyond UsualSpread.
double slot_queue::measuredSlowdown(time_point Now) const {
  if (RecentRuns < MinRuns || RecentUsualMs <= 0)
    return 1;
  double Excess = decayedExcessMs(Now);
  for (const running_request &Run : Running)
    if (Run.UsualIsReliable)
      Excess +=
          std::max(0.0, static_cast<double>((toMilliseconds(Now - Run.Started) -
                                             scaled(Run.Usual, UsualSpread))
                                                .count()));
  return 1 + Excess / RecentUsualMs;
}

void slot_queue::updateSlow(time_point Now) {
  Slow =
      measuredSlowdown(Now) >= (Slow ? SlowRecoveryThreshold : SlowThreshold);
}

double slot_queue::slowdown(time_point Now) const {
  return Slow ? std::max(measuredSlowdown(Now), SlowThreshold) : 1;
}

bool slot_queue::isShort(const slot_request &Request) const {
  return mean(Request) <= scaled(RunTimes.longestMean(), ShortRunFraction);
}

bool slot_queue::onTime(const slot_request &Request, time_point Now) const {
  return Now + expectedRun(Request, Now) <= Request.SloDeadline;
}

std::uint64_t slot_queue::rank(const slot_request &Request,
                               time_point Now) const {
  constexpr std::uint64_t Late = 1ULL << 40;
  if (isShort(Request))
    return 0;
  const auto LastStart =
      Request.Deadline - scaled(mean(Request), DeadlineRunTimeFactor);
  if (onTime(Request, Now))
    return 2 + Request.Priority;
  return Now + LateStartMargin >= LastStart ? 1 : Late + Request.Priority;
}

bool slot_queue::precedes(const slot_request &A, const slot_request &B,
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
  if (Slots == 0)
    return milliseconds::max();
  std::size_t CountAhead = 0;
  milliseconds Ahead{0};
  for (const queued_request &Other : Waiting)
    if (!precedes(Request, Other.Request, Now)) {
      ++CountAhead;
      Ahead += mean(Other.Request);
    }
  const milliseconds RateWait = RateLimiter.waitFor(CountAhead + 1, Now);
  if (Running.size() < Slots)
    return RateWait;
  // The first slot becomes free after a fraction of the mean remaining time;
  // the queued requests ahead are spread over all slots.
  milliseconds Remaining{0};
  for (const running_request &Run : Running)
    Remaining += std::max(Run.Mean - toMilliseconds(Now - Run.Started),
                          scaled(Run.Mean, MinRemainingFraction));
  const auto Count = static_cast<std::int64_t>(Slots);
  const milliseconds SlotWait =
      Remaining * 2 / (Count * (Count + 1)) + Ahead / Count;
  return std::max(RateWait, scaled(SlotWait, WorkSpeed.factor(Now)));
}

milliseconds slot_queue::expectedWait(time_point Now) const {
  slot_request LowestPriority;
  LowestPriority.Priority = ~0U;
  LowestPriority.SloDeadline = LowestPriority.Deadline = time_point::max();
  return waitFor(LowestPriority, Now);
}

bool slot_queue::countsAsLate(const slot_request &Request, milliseconds Wait,
                              time_point Now) const {
  return Now + Wait + expectedRun(Request, Now) > Request.SloDeadline &&
         !isShort(Request);
}

void slot_queue::decideWait(const slot_request &Request,
                            slot_decision &Decision, time_point Now) const {
  const bool Refused = countsAsLate(Request, Decision.ExpectedWait, Now) &&
                       (!Request.MayMissSlo || !canRunLate(Request, Now));
  Decision.Action = Refused ? slot_action::Refuse : slot_action::Wait;
  Decision.Reason = Refused ? "late" : "";
}

slot_decision slot_queue::preview(const slot_request &Request,
                                  time_point Now) const {
  slot_decision Decision;
  Decision.ExpectedWait = waitFor(Request, Now);
  if (Slots == 0 || Waiting.size() >= MaxWaiting)
    Decision.Reason = "full";
  else if (Now + Decision.ExpectedWait + expectedRun(Request, Now) >
           Request.Deadline)
    Decision.Reason = "deadline";
  else if (Running.size() < Slots && Waiting.empty() &&
           RateLimiter.waitFor(1, Now).count() == 0)
    Decision.Action = slot_action::Run;
  else
    decideWait(Request, Decision, Now);
  return Decision;
}

slot_decision slot_queue::admit(const slot_request &Request, time_point Now) {
  updateSlow(Now);
  slot_decision Decision = preview(Request, Now);
  if (Decision.Action == slot_action::Run) {
    if (RateLimiter.tryAcquire(Now)) {
      start(Request, Now);
      return Decision;
    }
    decideWait(Request, Decision, Now);
  }
  if (Decision.Action == slot_action::Wait)
    Waiting.push_back(
        {Request, countsAsLate(Request, Decision.ExpectedWait, Now)});
  return Decision;
}

bool slot_queue::canRunLate(const slot_request &Request, time_point Now) const {
  milliseconds Ahead{0};
  for (const queued_request &Other : Waiting)
    Ahead += mean(Other.Request);
  const double Free = std::max(MinFreeShare, 1 - onTimeLoad(Now));
  const milliseconds Wait =
      std::max(scaled(Ahead / Slots, 1 / Free),
               RateLimiter.waitFor(Waiting.size() + 1, Now));
  return Wait <= scaled(toMilliseconds(Request.Deadline - Now) - mean(Request),
                        MaxLateWaitFraction);
}

double slot_queue::onTimeLoad(time_point Now) const {
  const double Elapsed =
      std::chrono::duration<double, std::milli>(Now - OnTimeUpdatedAt).count();
  const auto DecayMs = static_cast<double>(OnTimeDecayPeriod.count());
  const double Decay = std::exp(-Elapsed / DecayMs);
  const double SlotShare = OnTimeMs * Decay / (DecayMs * Slots);
  const auto Rate = RateLimiter.rate(Now);
  const double RateShare =
      Rate ? OnTimeStarts * Decay * 1000 / (DecayMs * *Rate) : 0;
  return std::max(SlotShare, RateShare);
}

void slot_queue::start(const slot_request &Request, time_point Now) {
  if (isShort(Request) || onTime(Request, Now)) {
    const double Elapsed =
        std::chrono::duration<double, std::milli>(Now - OnTimeUpdatedAt)
            .count();
    const double Decay =
        std::exp(-Elapsed / static_cast<double>(OnTimeDecayPeriod.count()));
    OnTimeMs = OnTimeMs * Decay + static_cast<double>(mean(Request).count());
    OnTimeStarts = OnTimeStarts * Decay + 1;
    OnTimeUpdatedAt = Now;
  }
  Running.push_back({Request.Ticket, Request.Route, Now, mean(Request),
                     UsualTimes.mean(Request.Route, Request.DefaultRunTime),
                     UsualTimes.hasEnoughRuns(Request.Route)});
}

void slot_queue::dispatchQueued(time_point Now,
                                std::vector<queue_release> &Out) {
  while (Running.size() < Slots && !Waiting.empty() &&
         RateLimiter.tryAcquire(Now)) {
    auto First = Waiting.begin();
    for (auto It = First + 1; It != Waiting.end(); ++It)
      if (precedes(It->Request, First->Request, Now))
        First = It;
    start(First->Request, Now);
    Out.push_back({First->Request.Ticket, true, ""});
    Waiting.erase(First);
  }
}

std::vector<queue_release>
slot_queue::finish(std::uint64_t Ticket, milliseconds RunTime, time_point Now) {
  std::vector<queue_release> Out;
  const auto Found = std::find_if(
      Running.begin(), Running.end(),
      [&](const running_request &Run) { return Run.Ticket == Ticket; });
  if (Found == Running.end())
    return Out;
  const auto Elapsed = toMilliseconds(Now - Found->Started);
  const auto Usual = static_cast<double>(Found->Usual.count());
  const double Excess =
      std::min(static_cast<double>(Elapsed.count()) - Usual, MaxExcess * Usual);
  if (Found->UsualIsReliable && RunTime.count() > 0) {
    RecentExcessMs = decayedExcessMs(Now) * SlowdownDecayPerRun + Excess;
    RecentUsualMs = RecentUsualMs * SlowdownDecayPerRun + Usual;
    RecentRuns = RecentRuns * SlowdownDecayPerRun + 1;
    ExcessUpdatedAt = Now;
  } else if (Found->UsualIsReliable) {
    RecentExcessMs = decayedExcessMs(Now) + std::max(0.0, Excess);
    ExcessUpdatedAt = Now;
  }
  if (RunTime.count() > 0) {
    RunTimes.record(Found->Route, RunTime, SampleWeight);
    UsualTimes.record(Found->Route, RunTime,
                      Slow ? SampleWeightWhileSlow : SampleWeight);
  }
  Running.erase(Found);
  updateSlow(Now);
  Out = expire(Now);
  return Out;
}

std::vector<queue_release> slot_queue::expire(time_point Now) {
  std::vector<queue_release> Out;
  dispatchQueued(Now, Out);
  std::erase_if(Waiting, [&](queued_request &Entry) {
    const slot_request &Request = Entry.Request;
    const char *Reason = nullptr;
    if (Now + mean(Request) > Request.Deadline) {
      Reason = "deadline";
    } else if (!Entry.AcceptedLate && !isShort(Request) &&
               !onTime(Request, Now)) {
      // It missed its SLO in the queue: apply the check for late arrivals.
      Entry.AcceptedLate = true;
      if (!canRunLate(Request, Now))
        Reason = "late";
    }
    if (Reason != nullptr)
      Out.push_back({Request.Ticket, false, Reason});
    return Reason != nullptr;
  });
  refuseBeyondRate(Now, Out);
  return Out;
}

void slot_queue::refuseBeyondRate(time_point Now,
                                  std::vector<queue_release> &Out) {
  if (!RateLimiter.rate(Now) || Waiting.empty() ||
      Now - RateCheckedAt < RateCheckInterval)
    return;
  RateCheckedAt = Now;
  std::sort(Waiting.begin(), Waiting.end(),
            [&](const queued_request &A, const queued_request &B) {
              return precedes(A.Request, B.Request, Now);
            });
  std::size_t Ahead = 0;
  std::erase_if(Waiting, [&](const queued_request &Entry) {
    const slot_request &Request = Entry.Request;
    const milliseconds Wait = RateLimiter.waitFor(Ahead + 1, Now);
    const bool TooLate = Now + Wait + mean(Request) > Request.Deadline;
    if (TooLate)
      Out.push_back({Request.Ticket, false, "deadline"});
    else
      ++Ahead;
    return TooLate;
  });
}

bool slot_queue::cancel(std::uint64_t Ticket) {
  return std::erase_if(Waiting, [&](const queued_request &Entry) {
           return Entry.Request.Ticket == Ticket;
         }) > 0;
}

} // namespace hyssopledge::state
