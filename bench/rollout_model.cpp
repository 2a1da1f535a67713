#include "bench/rollout_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <utility>

namespace hyssopledge::bench {

using coordination::evidence_counts;
using coordination::evidence_series;
using coordination::LatencyBuckets;
using state::rollout_phase;

rollout_deployment threadAndCrest() {
  return {"thread_and_crest", 4, 4, 16, 1, 800, 30};
}
rollout_deployment dogParks() { return {"dog_parks", 3, 3, 12, 8, 600, 30}; }

std::string scenarioName(rollout_scenario Scenario) {
  static const char *const Names[] = {"fails_at_once",     "fails_later",
                                      "slow_at_once",      "slow_later",
                                      "fails_under_load",  "fails_on_one_route",
                                      "slow_on_one_route", "good",
                                      "cold_start",        "slow_data_centre",
                                      "fault_of_both",     "shedding",
                                      "misled_reporter",   "poison"};
  return Names[static_cast<std::size_t>(Scenario)];
}

state::rollout_spec modelRolloutSpec() {
  state::rollout_spec Spec;
  Spec.ToVersion = "v2";
  Spec.CompleteWithin = std::chrono::seconds(600);
  Spec.WatchPeriod = std::chrono::seconds(300);
  return Spec;
}

namespace {

constexpr unsigned Routes = 3;
constexpr double BaseFailureRate = 0.004;
constexpr double RunTimeSigma = 0.5;     // of the logarithm of the run time
constexpr int ReportDelaySeconds = 1;    // from daemon to coordinator
constexpr int DirectiveDelaySeconds = 1; // from record to all daemons
constexpr int WarmUpSeconds = 30; // duration in which a target is warming up

/// Returns 4096 samples of 2 log2 of a lognormal factor, the offset in latency
/// buckets. A lookup is much cheaper than exp and log for each call.
const std::array<float, 4096> &latencyOffsetTable() {
  static const std::array<float, 4096> Table = [] {
    std::array<float, 4096> Values{};
    std::mt19937_64 Random(99);
    std::normal_distribution<double> Normal;
    for (float &Value : Values)
      Value =
          static_cast<float>(2 * RunTimeSigma * Normal(Random) / std::log(2));
    return Values;
  }();
  return Table;
}

struct pending_report {
  int ArrivesAt;
  std::uint64_t Step;
  std::string Reporter;
  coordination::stratum_key Key;
  evidence_counts Counts;
};

struct target {
  unsigned Centre = 0;
  double RunTimeFactor = 1; // factor on the run time
  int WarmUntil = -1000;
};

class rollout_model {
public:
  rollout_model(const rollout_deployment &Deployment, rollout_scenario Scenario,
                const coordination::rollout_policy &Policy, std::uint64_t Seed)
      : Deployment(Deployment), Scenario(Scenario), Policy(Policy),
        Random(Seed), Spec(modelRolloutSpec()) {
    const auto Uniform = [&](double Low, double High) {
      return Low + (High - Low) * state::unitInterval(Random());
    };
    std::normal_distribution<double> Normal;
    for (auto &Version : Targets)
      for (unsigned I = 0; I < Deployment.Targets; ++I)
        Version.push_back(
            {I % Deployment.Centres, std::exp(0.2 * Normal(Random))});
    FailureRate = Uniform(0.1, 1.0);
    SlowFactor = Uniform(3, 8);
    // Both policies reach 100% at 360 s and watch until 660 s.
    SymptomStart = Uniform(30, 600);
    SymptomShare = Uniform(0.3, 0.9);
    FaultStart = static_cast<int>(Uniform(20, 600));
    FaultEnd = FaultStart + static_cast<int>(Uniform(20, 90));
    BadRoute = static_cast<unsigned>(state::uniformBelow(Random, Routes));
    SlowCentre =
        static_cast<unsigned>(state::uniformBelow(Random, Deployment.Centres));
    MisledReporterIndex = static_cast<unsigned>(
        state::uniformBelow(Random, Deployment.Reporters));
    for (int I = 0; I < 4; ++I)
      PoisonTimes.push_back(static_cast<int>(Uniform(10, 700)));
    if (Scenario == rollout_scenario::SlowCentre) // add a new target there
      Targets[1][(SlowCentre + 1) % Deployment.Targets].Centre = SlowCentre;
  }

  rollout_result run() {
    Current = {"s", "v1", "v2", 1, 1, Spec.InitialShare};
    InForce = Current;
    const int End = static_cast<int>(
        (Spec.CompleteWithin + Spec.WatchPeriod).count() + 200);
    for (Now = 0; Now < End; ++Now) {
      if (Now >= InForceAt && InForce.Step != Current.Step) {
        sendReports(); // counts of the old step
        InForce = Current;
      }
      Result.LargestShare = std::max(Result.LargestShare, InForce.Share);
      if (InForce.Share >= 1 && Result.CompletedAt < 0)
        Result.CompletedAt = Now;
      injectPoisonCrashes();
      for (unsigned Version = 0; Version < 2; ++Version)
        runCalls(Version);
      if (Now % 2 == 1)
        sendReports();
      decide();
      if ((Current.Phase == rollout_phase::RolledBack ||
           Current.Phase == rollout_phase::Done) &&
          Now > InForceAt + 2)
        break;
    }
    return Result;
  }

private:
  bool faultActive() const { return Now >= FaultStart && Now < FaultEnd; }

  /// Returns the additional failure rate and the run time factor that the new
  /// version causes on the route.
  std::pair<double, double> symptom(unsigned Route) const {
    switch (Scenario) {
    case rollout_scenario::FailsAtOnce:
      return {FailureRate, 1};
    case rollout_scenario::FailsLater:
      return {Now >= SymptomStart ? FailureRate : 0, 1};
    case rollout_scenario::SlowAtOnce:
      return {0, SlowFactor};
    case rollout_scenario::SlowLater:
      return {0, Now >= SymptomStart ? SlowFactor : 1};
    case rollout_scenario::FailsUnderLoad:
      return {InForce.Share >= SymptomShare ? FailureRate : 0, 1};
    case rollout_scenario::FailsOnOneRoute:
      return {Route == BadRoute ? FailureRate : 0, 1};
    case rollout_scenario::SlowOnOneRoute:
      return {0, Route == BadRoute ? SlowFactor : 1};
    default:
      return {0, 1};
    }
  }

  /// Crashes targets by a poison request and its retry, and fails the calls in
  /// flight there. Also starts the warm-up of the ColdStart scenario.
  void injectPoisonCrashes() {
    if (Scenario == rollout_scenario::ColdStart && Now == 0)
      for (target &Target : Targets[1])
        Target.WarmUntil = WarmUpSeconds;
    if (Scenario != rollout_scenario::Poison ||
        std::find(PoisonTimes.begin(), PoisonTimes.end(), Now) ==
            PoisonTimes.end())
      return;
    for (int Crash = 0; Crash < 2; ++Crash) {
      // A retry always goes to the old version.
      const unsigned Version =
          Crash == 0 && state::unitInterval(Random()) < InForce.Share ? 1 : 0;
      target &Target =
          Targets[Version][state::uniformBelow(Random, Deployment.Targets)];
      Target.WarmUntil = Now + WarmUpSeconds;
      const double Share = Version == 1 ? InForce.Share : 1 - InForce.Share;
      const double InFlight = Deployment.CallsPerSecond * Share /
                              Deployment.Targets * Deployment.MedianRunMs /
                              1000;
      const auto CutCalls =
          std::poisson_distribution<int>(InFlight + 1e-9)(Random);
      for (int I = 0; I < CutCalls; ++I)
        ++pendingCounts(
              Version, Target.Centre,
              static_cast<unsigned>(state::uniformBelow(Random, Routes)),
              static_cast<unsigned>(
                  state::uniformBelow(Random, Deployment.Reporters)))
              .Failures;
    }
  }

  void runCalls(unsigned Version) {
    const double Share = Version == 1 ? InForce.Share : 1 - InForce.Share;
    double Rate = Deployment.CallsPerSecond * Share;
    const double Capacity =
        Deployment.Targets * 12 * 1000 / Deployment.MedianRunMs;
    // A slow version occupies its slots for longer.
    double Slowdown = 0;
    for (unsigned Route = 0; Route < Routes; ++Route)
      Slowdown += (Version == 1 ? symptom(Route).second : 1) / Routes;
    // A surge of calls hits the upstreams of both versions.
    if (Scenario == rollout_scenario::Shedding && faultActive())
      Rate *= 2.5;
    const double Load = Rate / Capacity * Slowdown;
    // Load above the capacity is shed as "not run".
    if (Load > 0.98) {
      const auto Shed = static_cast<std::uint64_t>(Rate * (1 - 0.98 / Load));
      for (unsigned Reporter = 0; Reporter < Deployment.Reporters; ++Reporter)
        pendingCounts(Version, Reporter % Deployment.Centres, Reporter % Routes,
                      Reporter)
            .Refused += Shed / Deployment.Reporters;
      Rate *= 0.98 / Load;
    }
    const double Queueing =
        1 + std::pow(std::min(Load, 0.97), 6) / (1 - std::min(Load, 0.97)) / 4;
    std::vector<double> Weights;
    for (const target &Target : Targets[Version])
      Weights.push_back((Now < Target.WarmUntil ? 0.3 : 1) /
                        Target.RunTimeFactor);
    std::discrete_distribution<std::size_t> Pick(Weights.begin(),
                                                 Weights.end());
    const std::size_t Calls =
        Rate <= 0 ? 0 : std::poisson_distribution<std::size_t>(Rate)(Random);
    for (std::size_t I = 0; I < Calls; ++I)
      runCall(Version, Targets[Version][Pick(Random)], Queueing);
    if (Version == 1 && Calls > 0)
      Result.LastNewVersionCallAt = Now;
  }

  void runCall(unsigned Version, const target &Target, double Queueing) {
    const std::uint64_t Draw = Random();
    const unsigned Route = static_cast<unsigned>(Draw % Routes);
    const unsigned Reporter =
        static_cast<unsigned>((Draw >> 8) % Deployment.Reporters);
    const bool Warming = Now < Target.WarmUntil;
    double Failures = BaseFailureRate;
    double Factor = Target.RunTimeFactor * Queueing * (Warming ? 6 : 1);
    if (Scenario == rollout_scenario::SlowCentre && Target.Centre == SlowCentre)
      Factor *= 3;
    if (Scenario == rollout_scenario::FaultOfBoth && faultActive())
      Failures = 0.5;
    double ExtraFailureRate = 0;
    bool Slow = false;
    if (Version == 1) {
      const auto [Rate, Slowdown] = symptom(Route);
      ExtraFailureRate = Rate;
      Slow = Slowdown > 1;
      Factor *= Slowdown;
    }
    const double FailureDraw = state::unitInterval(Random());
    const bool Failed = FailureDraw < Failures + ExtraFailureRate;
    if (Slow || (Failed && FailureDraw >= Failures)) {
      ++Result.HarmedCalls;
      if (Result.FirstSymptomAt < 0)
        Result.FirstSymptomAt = Now;
      Result.LargestShareAfterSymptom =
          std::max(Result.LargestShareAfterSymptom, InForce.Share);
    }
    evidence_counts &Counts =
        pendingCounts(Version, Target.Centre, Route, Reporter);
    if (Failed || (Scenario == rollout_scenario::MisledReporter &&
                   Version == 1 && Reporter == MisledReporterIndex)) {
      ++Counts.Failures;
      return;
    }
    ++Counts.Successes;
    if (Warming) {
      ++Counts.WarmupCalls;
      return;
    }
    const double Ms =
        Deployment.MedianRunMs * Factor + 2 * Deployment.NetworkDelayMs;
    const double Position =
        2 * std::log2(Ms) + latencyOffsetTable()[(Draw >> 20) % 4096] + 1;
    ++Counts.Latency[static_cast<std::size_t>(
        std::clamp(Position, 0.0, LatencyBuckets - 1.0))];
  }

  evidence_counts &pendingCounts(unsigned Version, unsigned Centre,
                                 unsigned Route, unsigned Reporter) {
    const std::size_t Index =
        ((Version * Deployment.Centres + Centre) * Routes + Route) *
            Deployment.Reporters +
        Reporter;
    if (PendingCounts.size() <= Index)
      PendingCounts.resize(Index + 1);
    return PendingCounts[Index];
  }

  void sendReports() {
    std::size_t Index = 0;
    for (const evidence_counts &Counts : PendingCounts) {
      const std::size_t Position = Index++;
      if (Counts.empty())
        continue;
      const std::size_t Reporter = Position % Deployment.Reporters;
      const std::size_t Route = Position / Deployment.Reporters % Routes;
      const std::size_t Centre =
          Position / Deployment.Reporters / Routes % Deployment.Centres;
      const std::size_t Version =
          Position / Deployment.Reporters / Routes / Deployment.Centres;
      InTransit.push_back(
          {Now + ReportDelaySeconds, InForce.Step,
           "d" + std::to_string(Reporter),
           coordination::stratum_key{
               Version == 1 ? "v2" : "v1", "r" + std::to_string(Route),
               "dc" + std::to_string(Reporter % Deployment.Centres),
               "dc" + std::to_string(Centre)},
           Counts});
    }
    PendingCounts.clear();
  }

  void decide() {
    std::erase_if(InTransit, [&](const pending_report &Report) {
      if (Report.ArrivesAt > Now)
        return false;
      if (Report.Step == Current.Step)
        Series.add(Report.Reporter, Report.Key, Report.Counts);
      return true;
    });
    if (Now % 2 == 0)
      Series.closeSlice();
    const auto Seconds = [](int Count) { return std::chrono::seconds(Count); };
    auto Action = Policy.decide(
        {.Spec = Spec,
         .Current = Current,
         .Evidence = Series,
         .LastRule = Result.Rule,
         .SinceStart = Seconds(Now),
         .SinceStep = Seconds(Now - StepStartedAt),
         .SinceFullShare = FullShareAt < 0
                               ? std::optional<std::chrono::milliseconds>()
                               : Seconds(Now - FullShareAt),
         .OverloadStepBacks = OverloadStepBacks});
    if (!Action)
      return;
    Result.Rule = Action->Rule;
    OverloadStepBacks += Action->Rule == "overloaded" ? 1 : 0;
    if (Action->Share != Current.Share) {
      if (Action->Share >= 1) {
        Series.keepBaseline("v1");
        if (FullShareAt < 0)
          FullShareAt = Now;
      }
      Series.beginStep();
      StepStartedAt = Now;
    }
    if (Action->Share != Current.Share || Action->Phase != Current.Phase)
      ++Current.Step;
    Current.Share = Action->Share;
    Current.Phase = Action->Phase;
    Result.RolledBack = Current.Phase == rollout_phase::RolledBack;
    InForceAt = Now + DirectiveDelaySeconds;
  }

  const rollout_deployment &Deployment;
  rollout_scenario Scenario;
  const coordination::rollout_policy &Policy;
  state::random_engine Random;
  state::rollout_spec Spec;
  std::array<std::vector<target>, 2> Targets; // old, new
  double FailureRate = 0, SlowFactor = 1, SymptomStart = 0, SymptomShare = 0;
  int FaultStart = 0, FaultEnd = 0;
  unsigned BadRoute = 0, SlowCentre = 0, MisledReporterIndex = 0;
  std::vector<int> PoisonTimes;

  int Now = 0;
  int StepStartedAt = 0;
  int FullShareAt = -1;
  int InForceAt = 0;
  unsigned OverloadStepBacks = 0;
  state::rollout_directive Current, InForce;
  evidence_series Series;
  std::vector<evidence_counts> PendingCounts;
  std::vector<pending_report> InTransit;
  rollout_result Result;
};

} // namespace

rollout_result runRolloutModel(const rollout_deployment &Deployment,
                               rollout_scenario Scenario,
                               const coordination::rollout_policy &Policy,
                               std::uint64_t Seed) {
  return rollout_model(Deployment, Scenario, Policy, Seed).run();
}

} // namespace hyssopledge::bench
