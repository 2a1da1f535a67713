#include "hyssopledge/state/slot_queue.h"

#include <algorithm>
#include <utility>

namespace hyssopledge::state {

namespace {

// Weight of the newest run in a mean.
constexpr double NewestWeight = 0.1;
// Every run takes part in this mean, under a name that no route has.
constexpr char AllKinds[] = "";
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

void run_time_table::record(const std::string &Kind, milliseconds RunTime) {
  const auto Ms = static_cast<double>(RunTime.count());
  const auto [Found, New] = MeanMs.emplace(Kind, Ms);
  if (!New)
    Found->second += NewestWeight * (Ms - Found->second);
}

milliseconds run_time_table::mean(const std::string &Kind,
                                  milliseconds Guess) const {
  const auto Found = MeanMs.find(Kind);
  return Found == MeanMs.end()
             ? Guess
             : milliseconds(static_cast<std::int64_t>(Found->second));
}

milliseconds run_time_table::longest() const {
  double Longest = 0;
  for (const auto &[Kind, Ms] : MeanMs)
    Longest = std::max(Longest, Ms);
  return milliseconds(static_cast<std::int64_t>(Longest));
}

milliseconds slot_queue::mean(const slot_request &Request) const {
  return RunTimes.mean(Request.Kind, Request.Guess);
}

milliseconds slot_queue::meanRun() const {
  return RunTimes.mean(AllKinds, milliseconds(0));
}

bool slot_queue::isShort(const slot_request &Request) const {
  return mean(Request) <= scaled(RunTimes.longest(), ShortPart);
}

bool slot_queue::onTime(const slot_request &Request, time_point Now) const {
  return Now + mean(Request) <= Request.AimAt;
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
  return onTime(A, Now) ? A.AimAt < B.AimAt : A.Deadline < B.Deadline;
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
  for (const slot_request &Other : Waiting)
    if (!before(Request, Other, Now))
      Ahead += mean(Other);
  const auto Count = static_cast<std::int64_t>(Slots);
  return Rest * 2 / (Count * (Count + 1)) + Ahead / Count;
}

milliseconds slot_queue::expectedWait(time_point Now) const {
  slot_request Ordinary;
  Ordinary.Priority = ~0U;
  Ordinary.AimAt = Ordinary.Deadline = time_point::max();
  return waitFor(Ordinary, Now);
}

slot_decision slot_queue::enter(const slot_request &Request, time_point Now) {
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
    Decision.Verdict = slot_verdict::Run;
    return Decision;
  }
  const bool Late = Now + Decision.ExpectedWait + Run > Request.AimAt;
  if (Late && !isShort(Request)) {
    // What is late goes behind everything that can be on time.
    milliseconds Ahead{0};
    for (const slot_request &Other : Waiting)
      Ahead += mean(Other);
    const milliseconds Wait = Ahead / Slots;
    const milliseconds Room =
        scaled(inMilliseconds(Request.Deadline - Now) - Run, LateFill);
    if (!Request.MayBeLate || Wait > Room) {
      Decision.Reason = "late";
      return Decision;
    }
  }
  Waiting.push_back(Request);
  Decision.Verdict = slot_verdict::Wait;
  return Decision;
}

void slot_queue::start(const slot_request &Request, time_point Now) {
  Running.push_back({Request.Ticket, Request.Kind, Now, mean(Request)});
}

void slot_queue::fill(time_point Now, std::vector<slot_release> &Out) {
  while (Running.size() < Slots && !Waiting.empty()) {
    auto First = Waiting.begin();
    for (auto It = First + 1; It != Waiting.end(); ++It)
      if (before(*It, *First, Now))
        First = It;
    start(*First, Now);
    Out.push_back({First->Ticket, true});
    Waiting.erase(First);
  }
}

std::vector<slot_release> slot_queue::leave(std::uint64_t Ticket,
                                            milliseconds RunTime,
                                            time_point Now) {
  std::vector<slot_release> Out;
  const auto Found =
      std::find_if(Running.begin(), Running.end(),
                   [&](const run &Run) { return Run.Ticket == Ticket; });
  if (Found == Running.end())
    return Out;
  if (RunTime.count() > 0) {
    RunTimes.record(Found->Kind, RunTime);
    RunTimes.record(AllKinds, RunTime);
  }
  Running.erase(Found);
  Out = expire(Now);
  return Out;
}

std::vector<slot_release> slot_queue::expire(time_point Now) {
  std::vector<slot_release> Out;
  std::erase_if(Waiting, [&](const slot_request &Request) {
    const bool Hopeless = Now + mean(Request) > Request.Deadline;
    if (Hopeless)
      Out.push_back({Request.Ticket, false});
    return Hopeless;
  });
  fill(Now, Out);
  return Out;
}

bool slot_queue::cancel(std::uint64_t Ticket) {
  return std::erase_if(Waiting, [&](const slot_request &Request) {
           return Request.Ticket == Ticket;
         }) > 0;
}

} // namespace hyssopledge::state
