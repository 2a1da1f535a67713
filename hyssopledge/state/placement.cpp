#include "hyssopledge/state/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hyssopledge::state {

namespace {

constexpr double LatencySampleWeight = 0.15; // of a new sample in a mean
constexpr double FailureSampleWeight = 0.1;  // of a new outcome in a rate
// Time constant of reported load, which is outdated once its requests have
// ended.
constexpr double LoadDecayMs = 300;
// The local data centre is used while its expected latency is within this
// fraction of the objective. The rest allows for the variance of run times.
constexpr double LocalSloFraction = 0.6;
// The expected latency is multiplied by 1 + FailurePenalty * failure rate,
// since a failed request costs another run.
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

struct scored {
  const placement_candidate *Candidate;
  double Ms; // expected latency
};

/// Removes the cold targets while a warm one is expected to respond in time.
void preferWarm(std::vector<scored> &Usable, double MaxMs) {
  if (std::any_of(Usable.begin(), Usable.end(), [&](const scored &S) {
        return !S.Candidate->Cold && S.Ms <= MaxMs;
      }))
    std::erase_if(Usable, [](const scored &S) { return S.Candidate->Cold; });
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

double placement::failureRate(const target_measurements &Measured,
                              time_point Now) {
  const double Reported =
      Measured.Load.FailurePercent / 100.0 *
      std::exp(-toMs(Now - Measured.ReportedAt) / HealthDecayMs);
  return std::max(Measured.Failures.at(Now), Reported);
}

double placement::latencyMs(const target_measurements &Measured,
                            const std::string &Route, double TypicalMs,
                            time_point Now) {
  const auto Found = Measured.LatencyMs.find(Route);
  const double Usual =
      Found == Measured.LatencyMs.end() ? TypicalMs : Found->second;
  const double Slowdown = std::max(1.0, Measured.Load.SlowdownPercent / 100.0);
  const double Decay =
      std::exp(-toMs(Now - Measured.ReportedAt) / HealthDecayMs);
  const double Work = Measured.Load.WorkPercent / 100.0;
  const double WorkDecay =
      std::exp(-toMs(Now - Measured.ReportedAt) / LoadDecayMs);
  return Usual * (1 + (Slowdown - 1) * Decay) * (1 + (Work - 1) * WorkDecay);
}

double placement::waitMs(const target_measurements &Measured,
                         std::uint32_t Slots, time_point Now) const {
  const double Age = toMs(Now - Measured.ReportedAt);
  const double Decay = std::exp(-Age / LoadDecayMs);
  const double SlotCount = std::max<std::uint32_t>(1, Slots);
  const double Own = Measured.InFlight;
  const double Reported =
      Measured.Load.Running + Measured.Load.Waiting + Measured.SentSinceReport;
  const double Load = std::max(Own, Own + (Reported - Own) * Decay);
  double Mean = DefaultLatencyMs;
  if (!Measured.LatencyMs.empty()) {
    double Sum = 0;
    for (const auto &[Route, Ms] : Measured.LatencyMs)
      Sum += Ms;
    Mean = Sum / static_cast<double>(Measured.LatencyMs.size());
  }
  const double Queued = std::max(0.0, Load + 1 - SlotCount);
  return std::max(Queued * Mean / SlotCount,
                  static_cast<double>(Measured.Load.ExpectedWait.count()) *
                      Decay);
}

placement_choice
placement::choose(const std::vector<placement_candidate> &Candidates,
                  const placement_query &Query, random_engine &Random) {
  std::vector<scored> Usable;
  std::vector<scored> Fallback; // unreachable or ejected
  const auto RouteMean = RouteLatencyMs.find(Query.Route);
  const double TypicalMs =
      RouteMean == RouteLatencyMs.end() ? DefaultLatencyMs : RouteMean->second;
  for (const placement_candidate &Candidate : Candidates) {
    if (std::find(Query.Tried.begin(), Query.Tried.end(), Candidate.Instance) !=
        Query.Tried.end())
      continue;
    const target_measurements &Measured = Targets[Candidate.Instance];
    const double Run = latencyMs(Measured, Query.Route, TypicalMs, Query.Now);
    const double Ms = (waitMs(Measured, Candidate.Slots, Query.Now) + Run) *
                      (1 + FailurePenalty * failureRate(Measured, Query.Now));
    const bool Ejected = Query.Now < Measured.EjectedUntil;
    (Candidate.Reachable && !Ejected ? Usable : Fallback)
        .push_back({&Candidate, Ms});
  }
  if (Usable.empty())
    Usable.swap(Fallback);
  if (Usable.empty())
    return {};
  const double SloTimeLeft =
      Query.SloTimeLeft.count() > 0
          ? static_cast<double>(Query.SloTimeLeft.count())
          : std::numeric_limits<double>::max();
  preferWarm(Usable, SloTimeLeft * LocalSloFraction);
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
  target_measurements &Measured = Targets[Instance];
  ++Measured.InFlight;
  ++Measured.SentSinceReport;
}

void placement::onEnd(const std::string &Instance, const std::string &Route,
                      placement_outcome Outcome, milliseconds Latency,
                      time_point Now) {
  const auto Found = Targets.find(Instance);
  if (Found == Targets.end())
    return;
  target_measurements &Measured = Found->second;
  if (Measured.InFlight > 0)
    --Measured.InFlight;
  if (Outcome == placement_outcome::Refused ||
      Outcome == placement_outcome::Unfinished)
    return;
  const auto Ms = static_cast<double>(Latency.count());
  const bool Failed = Outcome == placement_outcome::Failed;
  Measured.Failures.record(Failed, Now);
  ++Measured.Samples;
  if (!Failed) {
    const auto [Own, New] = Measured.LatencyMs.try_emplace(Route, Ms);
    if (!New)
      Own->second += LatencySampleWeight * (Ms - Own->second);
    const auto [All, NewRoute] = RouteLatencyMs.emplace(Route, Ms);
    if (!NewRoute)
      All->second += LatencySampleWeight * (Ms - All->second);
  }
  const double Rate = Measured.Failures.at(Now);
  if (Failed && Rate > EjectionFailureRate && Measured.Samples >= MinSamples &&
      Now >= Measured.EjectedUntil) {
    Measured.EjectionPeriod =
        Measured.EjectionPeriod.count() == 0
            ? InitialEjectionPeriod
            : std::min(Measured.EjectionPeriod * 2, MaxEjectionPeriod);
    Measured.EjectedUntil = Now + Measured.EjectionPeriod;
    // Just below the threshold, so that the first outcomes after the ejection
    // decide.
    Measured.Failures.set(EjectionFailureRate * 0.9, Now);
  } else if (!Failed && Rate < EjectionFailureRate / 4) {
    Measured.EjectionPeriod = milliseconds(0);
  }
}

void placement::onLoad(const std::string &Instance, const load_report &Load,
                       time_point Now) {
  target_measurements &Measured = Targets[Instance];
  Measured.Load = Load;
  Measured.ReportedAt = Now;
  Measured.SentSinceReport = 0;
}

void placement::forgetRoute(const std::string &Route) {
  RouteLatencyMs.erase(Route);
  for (auto &[Instance, Measured] : Targets)
    Measured.LatencyMs.erase(Route);
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
