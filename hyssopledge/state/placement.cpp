#include "hyssopledge/state/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssopledge::state {

namespace {

constexpr double NewestWeight = 0.15; // of the newest latency in a mean
constexpr double FailureWeight = 0.1; // of the newest outcome in a rate
// A report loses its value as the requests in it end.
constexpr double ReportLifeMs = 300;
// The own data centre is used while it is expected to answer within this part
// of the aim. The rest covers the spread of run times.
constexpr double LocalPartOfAim = 0.6;
// A failed answer costs about one more run.
constexpr double FailureCost = 3.0;
// Targets within this factor of the best are taken in turn by chance, so that
// entry daemons with the same reports do not all choose the same one.
constexpr double NearlyBest = 1.1;
constexpr double NearlyBestMs = 2;
constexpr double UnknownLatencyMs = 20; // before any answer of the kind
// A failure rate without new answers loses its meaning.
constexpr double FailureMemoryMs = 4000;
// What a daemon says of its upstream's run times and failures holds longer than
// the number of requests there.
constexpr double HealthLifeMs = 3000;

double toMs(boot_clock::duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

double failure_rate::at(time_point Now) const {
  return Rate * std::exp(-toMs(Now - When) / FailureMemoryMs);
}

void failure_rate::set(double NewRate, time_point Now) {
  Rate = NewRate;
  When = Now;
}

void failure_rate::record(bool Failed, time_point Now) {
  const double Former = at(Now);
  set(Former + FailureWeight * ((Failed ? 1 : 0) - Former), Now);
}

double placement::failureRate(const figures &Figures, time_point Now) {
  const double Reported = Figures.Load.FailurePercent / 100.0 *
                          std::exp(-toMs(Now - Figures.LoadAt) / HealthLifeMs);
  return std::max(Figures.Failures.at(Now), Reported);
}

double placement::latencyMs(const figures &Figures, const std::string &Route,
                            double Typical, time_point Now) {
  const auto Seen = Figures.LatencyMs.find(Route);
  const double Usual = Seen == Figures.LatencyMs.end() ? Typical : Seen->second;
  const double Slow = std::max(1.0, Figures.Load.SlowdownPercent / 100.0);
  const double Fresh = std::exp(-toMs(Now - Figures.LoadAt) / HealthLifeMs);
  return Usual * (1 + (Slow - 1) * Fresh);
}

double placement::waitMs(const figures &Figures, std::uint32_t Slots,
                         time_point Now) const {
  const double Age = toMs(Now - Figures.LoadAt);
  const double Fresh = std::exp(-Age / ReportLifeMs);
  const double SlotCount = std::max<std::uint32_t>(1, Slots);
  const double Own = Figures.InFlight;
  const double Reported =
      Figures.Load.Running + Figures.Load.Waiting + Figures.SentSince;
  const double Load = std::max(Own, Own + (Reported - Own) * Fresh);
  double Mean = UnknownLatencyMs;
  if (!Figures.LatencyMs.empty()) {
    double Sum = 0;
    for (const auto &[Route, Ms] : Figures.LatencyMs)
      Sum += Ms;
    Mean = Sum / static_cast<double>(Figures.LatencyMs.size());
  }
  const double Queued = std::max(0.0, Load + 1 - SlotCount);
  return std::max(Queued * Mean / SlotCount,
                  static_cast<double>(Figures.Load.ExpectedWait.count()) *
                      Fresh);
}

placement_choice
placement::choose(const std::vector<placement_candidate> &Candidates,
                  const placement_query &Query, random_engine &Random) {
  struct scored {
    const placement_candidate *Candidate;
    double Ms;
  };
  std::vector<scored> Usable;
  std::vector<scored> LastResort; // unreachable or ejected
  const auto KindMean = KindMs.find(Query.Route);
  const double Typical =
      KindMean == KindMs.end() ? UnknownLatencyMs : KindMean->second;
  for (const placement_candidate &Candidate : Candidates) {
    if (std::find(Query.Tried.begin(), Query.Tried.end(), Candidate.Instance) !=
        Query.Tried.end())
      continue;
    const figures &Figures = Targets[Candidate.Instance];
    const double Run = latencyMs(Figures, Query.Route, Typical, Query.Now);
    const double Ms = (waitMs(Figures, Candidate.Slots, Query.Now) + Run) *
                      (1 + FailureCost * failureRate(Figures, Query.Now));
    const bool Ejected = Query.Now < Figures.EjectedUntil;
    (Candidate.Reachable && !Ejected ? Usable : LastResort)
        .push_back({&Candidate, Ms});
  }
  if (Usable.empty())
    Usable.swap(LastResort);
  if (Usable.empty())
    return {};
  const double SloTimeLeft =
      Query.SloTimeLeft.count() > 0
          ? static_cast<double>(Query.SloTimeLeft.count())
          : std::numeric_limits<double>::max();
  const auto Best = [&](bool SameDataCentreOnly) {
    double Least = std::numeric_limits<double>::max();
    for (const scored &S : Usable)
      if (!SameDataCentreOnly || S.Candidate->SameDataCentre)
        Least = std::min(Least, S.Ms);
    return Least;
  };
  bool Near = false;
  double Least = Best(true);
  if (Least <= SloTimeLeft * LocalPartOfAim ||
      Least <= Best(false) * NearlyBest)
    Near = true;
  else
    Least = Best(false);
  std::vector<const scored *> Equal;
  for (const scored &S : Usable)
    if ((!Near || S.Candidate->SameDataCentre) &&
        S.Ms <= Least * NearlyBest + NearlyBestMs)
      Equal.push_back(&S);
  const scored &Chosen = *Equal[uniformBelow(Random, Equal.size())];
  placement_choice Choice;
  Choice.Instance = Chosen.Candidate->Instance;
  Choice.ExpectedLatency = milliseconds(static_cast<std::int64_t>(Chosen.Ms));
  Choice.MissesSlo = Chosen.Ms > SloTimeLeft;
  return Choice;
}

void placement::onSent(const std::string &Instance) {
  figures &Figures = Targets[Instance];
  ++Figures.InFlight;
  ++Figures.SentSince;
}

void placement::onEnd(const std::string &Instance, const std::string &Route,
                      placement_outcome Outcome, milliseconds Latency,
                      time_point Now) {
  const auto Found = Targets.find(Instance);
  if (Found == Targets.end())
    return;
  figures &Figures = Found->second;
  if (Figures.InFlight > 0)
    --Figures.InFlight;
  if (Outcome == placement_outcome::Refused ||
      Outcome == placement_outcome::TimedOut)
    return;
  const auto Ms = static_cast<double>(Latency.count());
  const bool Failed = Outcome == placement_outcome::Failed;
  Figures.Failures.record(Failed, Now);
  ++Figures.Samples;
  if (!Failed) {
    const auto [Own, New] = Figures.LatencyMs.try_emplace(Route, Ms);
    if (!New)
      Own->second += NewestWeight * (Ms - Own->second);
    const auto [All, NewKind] = KindMs.emplace(Route, Ms);
    if (!NewKind)
      All->second += NewestWeight * (Ms - All->second);
  }
  const double Rate = Figures.Failures.at(Now);
  if (Failed && Rate > EjectRate && Figures.Samples >= LeastSamples &&
      Now >= Figures.EjectedUntil) {
    Figures.Ejection = Figures.Ejection.count() == 0
                           ? FirstEjection
                           : std::min(Figures.Ejection * 2, LongestEjection);
    Figures.EjectedUntil = Now + Figures.Ejection;
    // The trial that follows is judged by itself.
    Figures.Failures.set(EjectRate * 0.9, Now);
  } else if (!Failed && Rate < EjectRate / 4) {
    Figures.Ejection = milliseconds(0);
  }
}

void placement::onLoad(const std::string &Instance, const load_report &Load,
                       time_point Now) {
  figures &Figures = Targets[Instance];
  Figures.Load = Load;
  Figures.LoadAt = Now;
  Figures.SentSince = 0;
}

void placement::retain(const std::vector<std::string> &Instances) {
  std::erase_if(Targets, [&](const auto &Entry) {
    return std::find(Instances.begin(), Instances.end(), Entry.first) ==
           Instances.end();
  });
}

milliseconds
placement::shortestWait(const std::vector<placement_candidate> &Candidates,
                        time_point Now) const {
  double Least = -1;
  for (const placement_candidate &Candidate : Candidates) {
    const auto Found = Targets.find(Candidate.Instance);
    const double Ms = Found == Targets.end()
                          ? 0
                          : waitMs(Found->second, Candidate.Slots, Now);
    Least = Least < 0 ? Ms : std::min(Least, Ms);
  }
  return milliseconds(static_cast<std::int64_t>(std::max(0.0, Least)));
}

} // namespace hyssopledge::state
