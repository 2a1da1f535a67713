/// \file
/// Rollouts of good and bad versions and of good ones that look bad, with the
/// shipped policy and with fixed steps in the same run and on the same seeds.
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
  model_kind Kind;
  std::uint64_t Seed;
  model_result Shipped;
  model_result Baseline;
};

std::vector<job> runAll(const deployment &Deployment, std::vector<job> Jobs) {
  // Half of a 10-core machine that others use too.
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
        Job.Shipped = runModel(Deployment, Job.Kind, *Shipped, Job.Seed);
        Job.Baseline = runModel(Deployment, Job.Kind, *Fixed, Job.Seed);
      }
    });
  for (std::thread &Worker : Workers)
    Worker.join();
  return Jobs;
}

using pick = std::function<double(const model_result &)>;

/// Values of the jobs of a kind (or of all), by policy.
std::pair<std::vector<double>, std::vector<double>>
values(const std::vector<job> &Jobs, const std::vector<model_kind> &Kinds,
       const pick &Pick) {
  std::pair<std::vector<double>, std::vector<double>> Values;
  for (const job &Job : Jobs)
    if (std::find(Kinds.begin(), Kinds.end(), Job.Kind) != Kinds.end()) {
      Values.first.push_back(Pick(Job.Shipped));
      Values.second.push_back(Pick(Job.Baseline));
    }
  return Values;
}

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (double Value : Values)
    Sum += Value;
  return Values.empty() ? 0 : Sum / static_cast<double>(Values.size());
}

double quantile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      std::ceil(Part * static_cast<double>(Values.size() - 1)))];
}

class report {
public:
  report(std::string Prefix, const std::vector<job> &Jobs)
      : Prefix(std::move(Prefix)), Jobs(Jobs) {}

  void share(const std::string &Name, const std::vector<model_kind> &Kinds,
             bool HigherIsBetter, const std::string &Target, const pick &Pick) {
    const auto [Shipped, Baseline] = values(Jobs, Kinds, Pick);
    add(Name, "%", 100 * mean(Shipped), 100 * mean(Baseline), Target,
        HigherIsBetter);
  }
  void spread(const std::string &Name, const std::string &Unit,
              const std::vector<model_kind> &Kinds, const pick &Pick) {
    const auto [Shipped, Baseline] = values(Jobs, Kinds, Pick);
    add(Name + "_mean", Unit, mean(Shipped), mean(Baseline), "", false);
    add(Name + "_p95", Unit, quantile(Shipped, 0.95), quantile(Baseline, 0.95),
        "", false);
  }
  std::vector<row> Rows;

private:
  void add(const std::string &Name, const std::string &Unit, double Value,
           double Baseline, const std::string &Target, bool HigherIsBetter) {
    Rows.push_back({Prefix + Name, Unit, Value, Baseline,
                    "fixed steps with an error threshold", Target,
                    HigherIsBetter});
  }

  std::string Prefix;
  const std::vector<job> &Jobs;
};

double onTime(const model_result &Result, double Part) {
  const double Within = static_cast<double>(modelSpec().CompleteWithin.count());
  return !Result.RolledBack && Result.CompleteAt >= 0 &&
                 Result.CompleteAt <= Part * Within
             ? 1
             : 0;
}

void rows(report &Report) {
  const auto RolledBack = [](const model_result &Result) {
    return Result.RolledBack ? 1.0 : 0.0;
  };
  const std::vector<model_kind> Good{model_kind::Good};
  const std::vector<model_kind> Alike{std::begin(LookAlikes),
                                      std::end(LookAlikes)};
  const std::vector<model_kind> Bad{std::begin(BadKinds), std::end(BadKinds)};
  Report.share("good_on_time", Good, true, "",
               [](const auto &Result) { return onTime(Result, 1); });
  Report.share("good_by_70_percent", Good, true, "100",
               [](const auto &Result) { return onTime(Result, 0.7); });
  Report.share("good_rolled_back", Good, false, "0", RolledBack);
  Report.share("look_alikes_on_time", Alike, true, "",
               [](const auto &Result) { return onTime(Result, 1); });
  Report.share("look_alikes_rolled_back", Alike, false, "0", RolledBack);
  for (model_kind Kind : Alike) {
    Report.share(kindName(Kind) + "_on_time", {Kind}, true, "",
                 [](const auto &Result) { return onTime(Result, 1); });
    Report.share(kindName(Kind) + "_rolled_back", {Kind}, false, "0",
                 RolledBack);
  }
  Report.share("bad_rolled_back", Bad, true, "100", RolledBack);
  std::vector<std::pair<std::string, std::vector<model_kind>>> Groups{
      {"bad", Bad}};
  for (model_kind Kind : Bad) {
    Groups.emplace_back(kindName(Kind), std::vector<model_kind>{Kind});
    Report.share(kindName(Kind) + "_rolled_back", {Kind}, true, "100",
                 RolledBack);
  }
  for (const auto &[Name, Kinds] : Groups) {
    Report.spread(Name + "_largest_share", "%", Kinds, [](const auto &Result) {
      return 100 * Result.LargestShareBad;
    });
    Report.spread(
        Name + "_calls_harmed", "calls", Kinds,
        [](const auto &Result) { return static_cast<double>(Result.Harmed); });
    Report.spread(
        Name + "_symptom_to_none", "s", Kinds, [](const auto &Result) {
          return Result.SymptomAt < 0 ? 0
                                      : Result.LastNewCallAt - Result.SymptomAt;
        });
  }
}

std::vector<row> benchRollout(const options &Options) {
  // 210 good versions, 30 of each of the 7 bad kinds, 30 of each look-alike.
  const unsigned Each = Options.Quick ? 2 : 30;
  // The reported figures come from seeds that were not used for tuning.
  const std::uint64_t Seed =
      Options.Quick ? Options.Seed : HeldOutSeedBase + Options.Seed;
  std::vector<row> Rows;
  for (const deployment &Deployment : {threadAndCrest(), dogParks()}) {
    std::vector<job> Jobs;
    const auto Add = [&](model_kind Kind, unsigned Count) {
      for (unsigned I = 0; I < Count; ++I)
        Jobs.push_back(
            {Kind,
             Seed * 10'000 + 1000 * static_cast<std::uint64_t>(Kind) + I,
             {},
             {}});
    };
    Add(model_kind::Good, 7 * Each);
    for (model_kind Kind : BadKinds)
      Add(Kind, Each);
    for (model_kind Kind : LookAlikes)
      Add(Kind, Each);
    Jobs = runAll(Deployment, std::move(Jobs));
    report Report("rollout/" + Deployment.Name + "/", Jobs);
    rows(Report);
    Rows.insert(Rows.end(), Report.Rows.begin(), Report.Rows.end());
  }
  return Rows;
}

const registration Registered("rollout", benchRollout);

} // namespace

} // namespace hyssopledge::bench
