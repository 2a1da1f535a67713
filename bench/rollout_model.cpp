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

deployment threadAndCrest() {
  return {"thread_and_crest", 4, 4, 16, 1, 800, 30};
}
deployment dogParks() { return {"dog_parks", 3, 3, 12, 8, 600, 30}; }

std::string kindName(model_kind Kind) {
  static const char *const Names[] = {"fails_at_once",     "fails_later",
                                      "slow_at_once",      "slow_later",
                                      "fails_under_load",  "fails_on_one_route",
                                      "slow_on_one_route", "good",
                                      "cold_start",        "slow_data_centre",
                                      "fault_of_both",     "shedding",
                                      "misled_reporter",   "poison"};
  return Names[static_cast<std::size_t>(Kind)];
}

state::rollout_spec modelSpec() {
  state::rollout_spec Spec;
  Spec.ToVersion = "v2";
  Spec.CompleteWithin = std::chrono::seconds(600);
  Spec.WatchPeriod = std::chrono::seconds(300);
  return Spec;
}

namespace {

constexpr unsigned Routes = 3;
constexpr double BaseFailures = 0.004;
constexpr double LogSpread = 0.5; // of the time of a call
constexpr int ReportDelay = 1;    // seconds from the daemon to the coordinator
constexpr int DirectiveDelay = 1; // seconds from the record to every daemon
constexpr int WarmUp = 30;        // seconds in which a target counts as warming

/// Histogram positions (2 log2 of a lognormal factor) at equal steps of its
/// distribution; drawing from it is much cheaper than exp and log a call.
const std::array<float, 4096> &spreadTable() {
  static const std::array<float, 4096> Table = [] {
    std::array<float, 4096> Values{};
    std::mt19937_64 Random(99);
    std::normal_distribution<double> Normal;
    for (float &Value : Values)
      Value = static_cast<float>(2 * LogSpread * Normal(Random) / std::log(2));
    return Values;
  }();
  return Table;
}

struct report_entry {
  int ArrivesAt;
  std::uint64_t Step;
  std::string Reporter;
  coordination::stratum_key Key;
  evidence_counts Counts;
};

struct target {
  unsigned Centre = 0;
  double Speed = 1; // factor of the time of a call
  int ReadyAt = -1000;
};

class model {
public:
  model(const deployment &Deployment, model_kind Kind,
        const coordination::rollout_policy &Policy, std::uint64_t Seed)
      : Deployment(Deployment), Kind(Kind), Policy(Policy), Random(Seed),
        Spec(modelSpec()) {
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
    // Both policies are at 100% at 360 s and watch until 660 s.
    SymptomFrom = Uniform(30, 600);
    LoadShare = Uniform(0.3, 0.9);
    FaultFrom = static_cast<int>(Uniform(20, 600));
    FaultTo = FaultFrom + static_cast<int>(Uniform(20, 90));
    BadRoute = static_cast<unsigned>(state::uniformBelow(Random, Routes));
    SlowCentre =
        static_cast<unsigned>(state::uniformBelow(Random, Deployment.Centres));
    Misled = static_cast<unsigned>(
        state::uniformBelow(Random, Deployment.Reporters));
    for (int I = 0; I < 4; ++I)
      PoisonAt.push_back(static_cast<int>(Uniform(10, 700)));
    if (Kind == model_kind::SlowCentre) // one more of the new is there
      Targets[1][(SlowCentre + 1) % Deployment.Targets].Centre = SlowCentre;
  }

  model_result run() {
    Current = {"s", "v1", "v2", 1, 1, Spec.InitialShare};
    InForce = Current;
    const int End = static_cast<int>(
        (Spec.CompleteWithin + Spec.WatchPeriod).count() + 200);
    for (Now = 0; Now < End; ++Now) {
      if (Now >= ChangeAt && InForce.Step != Current.Step) {
        report(); // under the step that was in force
        InForce = Current;
      }
      Result.LargestShare = std::max(Result.LargestShare, InForce.Share);
      if (InForce.Share >= 1 && Result.CompleteAt < 0)
        Result.CompleteAt = Now;
      crash();
      for (unsigned Version = 0; Version < 2; ++Version)
        calls(Version);
      if (Now % 2 == 1)
        report();
      decide();
      if ((Current.Phase == rollout_phase::RolledBack ||
           Current.Phase == rollout_phase::Done) &&
          Now > ChangeAt + 2)
        break;
    }
    return Result;
  }

private:
  bool faultNow() const { return Now >= FaultFrom && Now < FaultTo; }

  /// Extra failure rate and slowdown by the new version itself.
  std::pair<double, double> symptom(unsigned Route) const {
    switch (Kind) {
    case model_kind::FailsAtOnce:
      return {FailureRate, 1};
    case model_kind::FailsLater:
      return {Now >= SymptomFrom ? FailureRate : 0, 1};
    case model_kind::SlowAtOnce:
      return {0, SlowFactor};
    case model_kind::SlowLater:
      return {0, Now >= SymptomFrom ? SlowFactor : 1};
    case model_kind::FailsUnderLoad:
      return {InForce.Share >= LoadShare ? FailureRate : 0, 1};
    case model_kind::FailsOnOneRoute:
      return {Route == BadRoute ? FailureRate : 0, 1};
    case model_kind::SlowOnOneRoute:
      return {0, Route == BadRoute ? SlowFactor : 1};
    default:
      return {0, 1};
    }
  }

  /// A poison request and its repetitions crash targets of the version that
  /// the draw gives, and cut the calls in flight.
  void crash() {
    if (Kind == model_kind::ColdStart && Now == 0)
      for (target &Target : Targets[1])
        Target.ReadyAt = WarmUp;
    if (Kind != model_kind::Poison ||
        std::find(PoisonAt.begin(), PoisonAt.end(), Now) == PoisonAt.end())
      return;
    for (int Crash = 0; Crash < 2; ++Crash) {
      // A retry never goes to the new version.
      const unsigned Version =
          Crash == 0 && state::unitInterval(Random()) < InForce.Share ? 1 : 0;
      target &Target =
          Targets[Version][state::uniformBelow(Random, Deployment.Targets)];
      Target.ReadyAt = Now + WarmUp;
      const double Share = Version == 1 ? InForce.Share : 1 - InForce.Share;
      const double InFlight = Deployment.CallsPerSecond * Share /
                              Deployment.Targets * Deployment.WorkMs / 1000;
      const auto Cut = std::poisson_distribution<int>(InFlight + 1e-9)(Random);
      for (int I = 0; I < Cut; ++I)
        ++counts(Version, Target.Centre,
                 static_cast<unsigned>(state::uniformBelow(Random, Routes)),
                 static_cast<unsigned>(
                     state::uniformBelow(Random, Deployment.Reporters)))
              .Failures;
    }
  }

  void calls(unsigned Version) {
    const double Share = Version == 1 ? InForce.Share : 1 - InForce.Share;
    double Rate = Deployment.CallsPerSecond * Share;
    const double Capacity = Deployment.Targets * 12 * 1000 / Deployment.WorkMs;
    // A slow version holds its slots for longer.
    double Slowdown = 0;
    for (unsigned Route = 0; Route < Routes; ++Route)
      Slowdown += (Version == 1 ? symptom(Route).second : 1) / Routes;
    // A surge of callers meets old and new back ends.
    if (Kind == model_kind::Shedding && faultNow())
      Rate *= 2.5;
    const double Load = Rate / Capacity * Slowdown;
    // What is above the capacity is shed as "not run".
    if (Load > 0.98) {
      const auto Shed = static_cast<std::uint64_t>(Rate * (1 - 0.98 / Load));
      for (unsigned Reporter = 0; Reporter < Deployment.Reporters; ++Reporter)
        counts(Version, Reporter % Deployment.Centres, Reporter % Routes,
               Reporter)
            .Refused += Shed / Deployment.Reporters;
      Rate *= 0.98 / Load;
    }
    const double Queueing =
        1 + std::pow(std::min(Load, 0.97), 6) / (1 - std::min(Load, 0.97)) / 4;
    std::vector<double> Weights;
    for (const target &Target : Targets[Version])
      Weights.push_back((Now < Target.ReadyAt ? 0.3 : 1) / Target.Speed);
    std::discrete_distribution<std::size_t> Pick(Weights.begin(),
                                                 Weights.end());
    const std::size_t Calls =
        Rate <= 0 ? 0 : std::poisson_distribution<std::size_t>(Rate)(Random);
    for (std::size_t I = 0; I < Calls; ++I)
      call(Version, Targets[Version][Pick(Random)], Queueing);
    if (Version == 1 && Calls > 0)
      Result.LastNewCallAt = Now;
  }

  void call(unsigned Version, const target &Target, double Queueing) {
    const std::uint64_t Draw = Random();
    const unsigned Route = static_cast<unsigned>(Draw % Routes);
    const unsigned Reporter =
        static_cast<unsigned>((Draw >> 8) % Deployment.Reporters);
    const bool Warming = Now < Target.ReadyAt;
    double Failures = BaseFailures;
    double Factor = Target.Speed * Queueing * (Warming ? 6 : 1);
    if (Kind == model_kind::SlowCentre && Target.Centre == SlowCentre)
      Factor *= 3;
    if (Kind == model_kind::FaultOfBoth && faultNow())
      Failures = 0.5;
    double Extra = 0;
    bool Slow = false;
    if (Version == 1) {
      const auto [Rate, Slowdown] = symptom(Route);
      Extra = Rate;
      Slow = Slowdown > 1;
      Factor *= Slowdown;
    }
    const double Chance = state::unitInterval(Random());
    const bool Failed = Chance < Failures + Extra;
    if (Slow || (Failed && Chance >= Failures)) {
      ++Result.Harmed;
      if (Result.SymptomAt < 0)
        Result.SymptomAt = Now;
      Result.LargestShareBad = std::max(Result.LargestShareBad, InForce.Share);
    }
    evidence_counts &Counts = counts(Version, Target.Centre, Route, Reporter);
    if (Failed || (Kind == model_kind::MisledReporter && Version == 1 &&
                   Reporter == Misled)) {
      ++Counts.Failures;
      return;
    }
    ++Counts.Successes;
    if (Warming) {
      ++Counts.WarmupCalls;
      return;
    }
    const double Ms = Deployment.WorkMs * Factor + 2 * Deployment.CallerMs;
    const double Position =
        2 * std::log2(Ms) + spreadTable()[(Draw >> 20) % 4096] + 1;
    ++Counts.Latency[static_cast<std::size_t>(
        std::clamp(Position, 0.0, LatencyBuckets - 1.0))];
  }

  evidence_counts &counts(unsigned Version, unsigned Centre, unsigned Route,
                          unsigned Reporter) {
    const std::size_t Index =
        ((Version * Deployment.Centres + Centre) * Routes + Route) *
            Deployment.Reporters +
        Reporter;
    if (Pending.size() <= Index)
      Pending.resize(Index + 1);
    return Pending[Index];
  }

  void report() {
    std::size_t Index = 0;
    for (const evidence_counts &Counts : Pending) {
      const std::size_t At = Index++;
      if (Counts.empty())
        continue;
      const std::size_t Reporter = At % Deployment.Reporters;
      const std::size_t Route = At / Deployment.Reporters % Routes;
      const std::size_t Centre =
          At / Deployment.Reporters / Routes % Deployment.Centres;
      const std::size_t Version =
          At / Deployment.Reporters / Routes / Deployment.Centres;
      Travelling.push_back(
          {Now + ReportDelay, InForce.Step, "d" + std::to_string(Reporter),
           coordination::stratum_key{
               Version == 1 ? "v2" : "v1", "r" + std::to_string(Route),
               "dc" + std::to_string(Reporter % Deployment.Centres),
               "dc" + std::to_string(Centre)},
           Counts});
    }
    Pending.clear();
  }

  void decide() {
    std::erase_if(Travelling, [&](const report_entry &Entry) {
      if (Entry.ArrivesAt > Now)
        return false;
      if (Entry.Step == Current.Step)
        Series.add(Entry.Reporter, Entry.Key, Entry.Counts);
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
         .SinceStep = Seconds(Now - StepAt),
         .SinceFullShare = FullAt < 0
                               ? std::optional<std::chrono::milliseconds>()
                               : Seconds(Now - FullAt),
         .OverloadStepBacks = OverloadStepBacks});
    if (!Action)
      return;
    Result.Rule = Action->Rule;
    OverloadStepBacks += Action->Rule == "overloaded" ? 1 : 0;
    if (Action->Share != Current.Share) {
      if (Action->Share >= 1) {
        Series.keepBaseline("v1");
        if (FullAt < 0)
          FullAt = Now;
      }
      Series.beginStep();
      StepAt = Now;
    }
    if (Action->Share != Current.Share || Action->Phase != Current.Phase)
      ++Current.Step;
    Current.Share = Action->Share;
    Current.Phase = Action->Phase;
    Result.RolledBack = Current.Phase == rollout_phase::RolledBack;
    ChangeAt = Now + DirectiveDelay;
  }

  const deployment &Deployment;
  model_kind Kind;
  const coordination::rollout_policy &Policy;
  state::random_engine Random;
  state::rollout_spec Spec;
  std::array<std::vector<target>, 2> Targets; // old, new
  double FailureRate = 0, SlowFactor = 1, SymptomFrom = 0, LoadShare = 0;
  int FaultFrom = 0, FaultTo = 0;
  unsigned BadRoute = 0, SlowCentre = 0, Misled = 0;
  std::vector<int> PoisonAt;

  int Now = 0;
  int StepAt = 0;
  int FullAt = -1;
  int ChangeAt = 0;
  unsigned OverloadStepBacks = 0;
  state::rollout_directive Current, InForce;
  evidence_series Series;
  std::vector<evidence_counts> Pending;
  std::vector<report_entry> Travelling;
  model_result Result;
};

} // namespace

model_result runModel(const deployment &Deployment, model_kind Kind,
                      const coordination::rollout_policy &Policy,
                      std::uint64_t Seed) {
  return model(Deployment, Kind, Policy, Seed).run();
}

} // namespace hyssopledge::bench
