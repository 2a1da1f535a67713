/// \file
/// Simulates rollouts of good versions, of bad ones, and of good ones with
/// symptoms of another cause. The shipped policy and fixed steps run on the
/// same seeds.
#include "bench/bench.h"
#include "bench/rollout_model.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <functional>
#include <thread>

namespace hyssopledge::bench {

namespace {

struct job {
  rollout_scenario Scenario;
  std::uint64_t Seed;
  rollout_result Shipped;
  rollout_result Baseline;
};

std::vector<job> runAll(const rollout_deployment &Deployment,
                        std::vector<job> Jobs) {
  // At most half of a shared 10-core machine.
  constexpr unsigned MaxThreads = 4;
  const auto Shipped = coordination::makeEvidencePolicy();
  const auto Fixed = coordination::makeFixedStepsPolicy();
  std::atomic<std::size_t> Next{0};
  std::vector<std::thread> Workers;
  Workers.reserve(MaxThreads);
  for (unsigned I = 0; I < MaxThreads; ++I)
    Workers.emplace_back([&] {
      for (std::size_t J; (J = Next.fetch_add(1)) < Jobs.size();) {
        job &Job = Jobs[J];
        Job.Shipped =
            runRolloutModel(Deployment, Job.Scenario, *Shipped, Job.Seed);
        Job.Baseline =
            runRolloutModel(Deployment, Job.Scenario, *Fixed, Job.Seed);
      }
    });
  for (std::thread &Worker : Workers)
    Worker.join();
  return Jobs;
}

using result_metric = std::function<double(const rollout_result &)>;

/// Returns the metric of all jobs of the scenarios, for the shipped policy and
/// for the baseline.
std::pair<std::vector<double>, std::vector<double>>
metricValues(const std::vector<job> &Jobs,
             const std::vector<rollout_scenario> &Scenarios,
             const result_metric &Metric) {
  std::pair<std::vector<double>, std::vector<double>> Values;
  for (const job &Job : Jobs)
    if (std::find(Scenarios.begin(), Scenarios.end(), Job.Scenario) !=
        Scenarios.end()) {
      Values.first.push_back(Metric(Job.Shipped));
      Values.second.push_back(Metric(Job.Baseline));
    }
  return Values;
}

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (double Value : Values)
    Sum += Value;
  return Values.empty() ? 0 : Sum / static_cast<double>(Values.size());
}

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      std::ceil(Fraction * static_cast<double>(Values.size() - 1)))];
}

class row_builder {
public:
  row_builder(std::string Prefix, const std::vector<job> &Jobs)
      : Prefix(std::move(Prefix)), Jobs(Jobs) {}

  void addShare(const std::string &Name,
                const std::vector<rollout_scenario> &Scenarios,
                bool HigherIsBetter, const std::string &Target,
                const result_metric &Metric) {
    const auto [Shipped, Baseline] = metricValues(Jobs, Scenarios, Metric);
    addRow(Name, "%", 100 * mean(Shipped), 100 * mean(Baseline), Target,
           HigherIsBetter);
  }
  void addDistribution(const std::string &Name, const std::string &Unit,
                       const std::vector<rollout_scenario> &Scenarios,
                       const result_metric &Metric) {
    const auto [Shipped, Baseline] = metricValues(Jobs, Scenarios, Metric);
    addRow(Name + "_mean", Unit, mean(Shipped), mean(Baseline), "", false);
    addRow(Name + "_p95", Unit, quantile(Shipped, 0.95),
           quantile(Baseline, 0.95), "", false);
  }
  std::vector<row> Rows;

private:
  void addRow(const std::string &Name, const std::string &Unit, double Value,
              double Baseline, const std::string &Target, bool HigherIsBetter) {
    Rows.push_back({Prefix + Name, Unit, Value, Baseline,
                    "fixed steps with an error threshold", Target,
                    HigherIsBetter});
  }

  std::string Prefix;
  const std::vector<job> &Jobs;
};

double completedInTime(const rollout_result &Result, double Fraction) {
  const double LimitSeconds =
      static_cast<double>(modelRolloutSpec().CompleteWithin.count());
  return !Result.RolledBack && Result.CompletedAt >= 0 &&
                 Result.CompletedAt <= Fraction * LimitSeconds
             ? 1
             : 0;
}

void addRows(row_builder &Builder) {
  const auto RolledBack = [](const rollout_result &Result) {
    return Result.RolledBack ? 1.0 : 0.0;
  };
  const std::vector<rollout_scenario> GoodList{rollout_scenario::Good};
  const std::vector<rollout_scenario> LookAlikeList{
      std::begin(LookAlikeScenarios), std::end(LookAlikeScenarios)};
  const std::vector<rollout_scenario> BadList{std::begin(BadScenarios),
                                              std::end(BadScenarios)};
  Builder.addShare("good_on_time", GoodList, true, "", [](const auto &Result) {
    return completedInTime(Result, 1);
  });
  Builder.addShare(
      "good_by_70_percent", GoodList, true, "100",
      [](const auto &Result) { return completedInTime(Result, 0.7); });
  Builder.addShare("good_rolled_back", GoodList, false, "0", RolledBack);
  Builder.addShare(
      "look_alikes_on_time", LookAlikeList, true, "",
      [](const auto &Result) { return completedInTime(Result, 1); });
  Builder.addShare("look_alikes_rolled_back", LookAlikeList, false, "0",
                   RolledBack);
  for (rollout_scenario Scenario : LookAlikeList) {
    Builder.addShare(
        scenarioName(Scenario) + "_on_time", {Scenario}, true, "",
        [](const auto &Result) { return completedInTime(Result, 1); });
    Builder.addShare(scenarioName(Scenario) + "_rolled_back", {Scenario}, false,
                     "0", RolledBack);
  }
  Builder.addShare("bad_rolled_back", BadList, true, "100", RolledBack);
  std::vector<std::pair<std::string, std::vector<rollout_scenario>>> Groups{
      {"bad", BadList}};
  for (rollout_scenario Scenario : BadList) {
    Groups.emplace_back(scenarioName(Scenario),
                        std::vector<rollout_scenario>{Scenario});
    Builder.addShare(scenarioName(Scenario) + "_rolled_back", {Scenario}, true,
                     "100", RolledBack);
  }
  for (const auto &[Name, Scenarios] : Groups) {
    Builder.addDistribution(Name + "_largest_share", "%", Scenarios,
                            [](const auto &Result) {
                              return 100 * Result.LargestShareAfterSymptom;
                            });
    Builder.addDistribution(Name + "_calls_harmed", "calls", Scenarios,
                            [](const auto &Result) {
                              return static_cast<double>(Result.HarmedCalls);
                            });
    Builder.addDistribution(
        Name + "_symptom_to_none", "s", Scenarios, [](const auto &Result) {
          return Result.FirstSymptomAt < 0
                     ? 0
                     : Result.LastNewVersionCallAt - Result.FirstSymptomAt;
        });
  }
}

std::vector<row> benchRollout(const options &Options) {
  // 210 good versions, 30 of each of the 7 bad scenarios and 30 of each
  // look-alike.
  const unsigned RunsPerScenario = Options.Quick ? 2 : 30;
  // Reported results use seeds that were not used for tuning.
  const std::uint64_t Seed =
      Options.Quick ? Options.Seed : HeldOutSeedBase + Options.Seed;
  std::vector<row> Rows;
  for (const rollout_deployment &Deployment : {threadAndCrest(), dogParks()}) {
    std::vector<job> Jobs;
    const auto Add = [&](rollout_scenario Scenario, unsigned Count) {
      for (unsigned I = 0; I < Count; ++I)
        Jobs.push_back(
            {Scenario,
             Seed * 10'000 + 1000 * static_cast<std::uint64_t>(Scenario) + I,
             {},
             {}});
    };
    Add(rollout_scenario::Good, 7 * RunsPerScenario);
    for (rollout_scenario Scenario : BadScenarios)
      Add(Scenario, RunsPerScenario);
    for (rollout_scenario Scenario : LookAlikeScenarios)
      Add(Scenario, RunsPerScenario);
    Jobs = runAll(Deployment, std::move(Jobs));
    row_builder Builder("rollout/" + Deployment.Name + "/", Jobs);
    addRows(Builder);
    Rows.insert(Rows.end(), Builder.Rows.begin(), Builder.Rows.end());
  }
  return Rows;
}

const registration Registered("rollout", benchRollout);

} // namespace

} // namespace hyssopledge::bench
