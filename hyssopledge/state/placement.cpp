#include "hyssopledge/state/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssopledge::state {

namespace {

constexpr double LatencySampleWeight = 0.15; // of a new sample in a mean
constexpr double FailureSampleWeight = 0.1;  // of a new outcome in a rate
// Time constant of reported load, outdated once its requests have ended.
constexpr double LoadDecayMs = 300;
// The local data centre is used while its expected latency is within this
// fraction of the objective. The rest allows for the variance of run times.
constexpr double LocalSloFraction = 0.6;
// Factor by which a failure rate of 1 adds to the latency: a failed request
// costs about one more run.
constexpr double FailurePenalty = 3.0;
// Targets within this factor and margin of the best are chosen at random, so
// that entry daemons with the same reports do not all select the same one.
constexpr double TieFactor = 1.1;
constexpr double TieMarginMs = 2;
constexpr double DefaultLatencyMs = 20; // before the first response on a route
// Time constant of failure rates without new outcomes.
constexpr double FailureDecayMs = 4000;
// Time constant of reported slowdown and failure rate, which change more slowly
// than the number of requests.
constexpr double HealthDecayMs = 3000;

double toMs(boot_clock::duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

double failure_rate::at(time_point Now) const {
  return Rate * std::exp(-toMs(Now - UpdatedAt) / FailureDecayMs);
}

void failure_rate::set(double NewRate, time_point Now) {
  Rate = NewRate;
  UpdatedAt = Now;
}

void failure_rate::record(bool Failed, time_point Now) {
  const double Previous = at(Now);
  set(Previous + FailureSampleWeight * ((Failed ? 1 : 0) - Previous), Now);
}

double placement::failureRate(const target_figures &Figures, time_point Now) {
  const double Reported =
      Figures.Load.FailurePercent / 100.0 *
      std::exp(-toMs(Now - Figures.ReportedAt) / HealthDecayMs);
  return std::max(Figures.Failures.at(Now), Reported);
}

double placement::latencyMs(const target_figures &Figures,
                            const std::string &Route, double TypicalMs,
                            time_point Now) {
  const auto Found = Figures.LatencyMs.find(Route);
  const double Usual =
      Found == Figures.LatencyMs.end() ? TypicalMs : Found->second;
  const double Slowdown = std::max(1.0, Figures.Load.SlowdownPercent / 100.0);
  const double Freshness =
      std::exp(-toMs(Now - Figures.ReportedAt) / HealthDecayMs);
  return Usual * (1 + (Slowdown - 1) * Freshness);
}

double placement::waitMs(const target_figures &Figures, std::uint32_t Slots,
                         time_point Now) const {
  const double Age = toMs(Now - Figures.ReportedAt);
  const double Freshness = std::exp(-Age / LoadDecayMs);
  const double SlotCount = std::max<std::uint32_t>(1, Slots);
  const double Own = Figures.InFlight;
  const double Reported =
      Figures.Load.Running + Figures.Load.Waiting + Figures.SentSinceReport;
  const double Load = std::max(Own, Own + (Reported - Own) * Freshness);
  double Mean = DefaultLatencyMs;
  if (!Figures.LatencyMs.empty()) {
    double Sum = 0;
    for (const auto &[Route, Ms] : Figures.LatencyMs)
      Sum += Ms;
    Mean = Sum / static_cast<double>(Figures.LatencyMs.size());
  }
  const double Queued = std::max(0.0, Load + 1 - SlotCount);
  return std::max(Queued * Mean / SlotCount,
                  static_cast<double>(Figures.Load.ExpectedWait.count()) *
                      Freshness);
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
  const auto RouteMean = RouteLatencyMs.find(Query.Route);
  const double TypicalMs =
      RouteMean == RouteLatencyMs.end() ? DefaultLatencyMs : RouteMean->second;
  for (const placement_candidate &Candidate : Candidates) {
    if (std::find(Query.Tried.begin(), Query.Tried.end(), Candidate.Instance) !=
        Query.Tried.end())
      continue;
    const target_figures &Figures = Targets[Candidate.Instance];
    const double Run = latencyMs(Figures, Query.Route, TypicalMs, Query.Now);
    const double Ms = (waitMs(Figures, Candidate.Slots, Query.Now) + Run) *
                      (1 + FailurePenalty * failureRate(Figures, Query.Now));
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
    double MinMs = std::numeric_limits<double>::max();
    for (const scored &S : Usable)
      if (!SameDataCentreOnly || S.Candidate->SameDataCentre)
        MinMs = std::min(MinMs, S.Ms);
    return MinMs;
  };
  bool LocalOnly = false;
  double MinMs = Best(true);
  if (MinMs <= SloTimeLeft * LocalSloFraction ||
      MinMs <= Best(false) * TieFactor)
    LocalOnly = true;
  else
    MinMs = Best(false);
  std::vector<const scored *> Ties;
  for (const scored &S : Usable)
    if ((!LocalOnly || S.Candidate->SameDataCentre) &&
        S.Ms <= MinMs * TieFactor + TieMarginMs)
      Ties.push_back(&S);
  const scored &Chosen = *Ties[uniformBelow(Random, Ties.size())];
  placement_choice Choice;
  Choice.Instance = Chosen.Candidate->Instance;
  Choice.ExpectedLatency = milliseconds(static_cast<std::int64_t>(Chosen.Ms));
  Choice.MissesSlo = Chosen.Ms > SloTimeLeft;
  return Choice;
}

void placement::onSent(const std::string &Instance) {
  target_figures &Figures = Targets[Instance];
  ++Figures.InFlight;
  ++Figures.SentSinceReport;
}

void placement::onEnd(const std::string &Instance, const std::string &Route,
                      placement_outcome Outcome, milliseconds Latency,
                      time_point Now) {
  const auto Found = Targets.find(Instance);
  if (Found == Targets.end())
    return;
  target_figures &Figures = Found->second;
  if (Figures.InFlight > 0)
    --Figures.InFlight;
  if (Outcome == placement_outcome::Refused ||
      Outcome == placement_outcome::Unfinished)
    return;
  const auto Ms = static_cast<double>(Latency.count());
  const bool Failed = Outcome == placement_outcome::Failed;
  Figures.Failures.record(Failed, Now);
  ++Figures.Samples;
  if (!Failed) {
    const auto [Own, New] = Figures.LatencyMs.try_emplace(Route, Ms);
    if (!New)
      Own->second += LatencySampleWeight * (Ms - Own->second);
    const auto [All, NewRoute] = RouteLatencyMs.emplace(Route, Ms);
    if (!NewRoute)
      All->second += LatencySampleWeight * (Ms - All->second);
  }
  const double Rate = Figures.Failures.at(Now);
  if (Failed && Rate > EjectionFailureRate && Figures.Samples >= MinSamples &&
      Now >= Figures.EjectedUntil) {
    Figures.EjectionPeriod =
        Figures.EjectionPeriod.count() == 0
            ? InitialEjectionPeriod
            : std::min(Figures.EjectionPeriod * 2, MaxEjectionPeriod);
    Figures.EjectedUntil = Now + Figures.EjectionPeriod;
    // Just below the threshold: the first outcomes after the ejection decide.
    Figures.Failures.set(EjectionFailureRate * 0.9, Now);
  } else if (!Failed && Rate < EjectionFailureRate / 4) {
    Figures.EjectionPeriod = milliseconds(0);
  }
}

void placement::onLoad(const std::string &Instance, const load_report &Load,
                       time_point Now) {
  target_figures &Figures = Targets[Instance];
  Figures.Load = Load;
  Figures.ReportedAt = Now;
  Figures.SentSinceReport = 0;
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
  double MinMs = -1;
  for (const placement_candidate &Candidate : Candidates) {
    const auto Found = Targets.find(Candidate.Instance);
    const double Ms = Found == Targets.end()
                          ? 0
                          : waitMs(Found->second, Candidate.Slots, Now);
    MinMs = MinMs < 0 ? Ms : std::min(MinMs, Ms);
  }
  return milliseconds(static_cast<std::int64_t>(std::max(0.0, MinMs)));
}

} // namespace hyssopledge::state
