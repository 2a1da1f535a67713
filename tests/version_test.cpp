/// \file
/// Guards that bad versions are distinguished from good ones, and that repeated
/// evaluation never finds a good version bad, in spite of a cold start, slow
/// back ends, faults of both versions or one misled reporter.
#include "hyssopledge/coordination/version_test.h"
#include "support/rollout_evidence.h"

#include <doctest/doctest.h>
#include <functional>

using namespace hyssopledge;
using namespace hyssopledge::coordination;
using tests::call_model;

namespace {

const std::vector<std::string> Routes = {"browse", "search", "item"};
const std::vector<std::string> Centres = {"dc1", "dc2", "dc3", "dc4"};

struct scenario {
  double CallsPerSlice = 800; // of the service
  double Share = 0.05;
  /// Behaviour by version, route, target data centre and slice.
  std::function<call_model(bool New, const std::string &Route,
                           const std::string &Centre, int Slice)>
      Model = [](bool, const std::string &, const std::string &, int) {
        return call_model{};
      };
  bool MisledReporter = false; // one of 16 reports failures of v2
};

/// First slice with each verdict, or -1.
struct outcome {
  int BadAt = -1;
  int GoodAt = -1;
  bool BadByOneReporter = false; // bad if the misled reporter is not excluded
};

outcome runScenario(const scenario &Scenario, int Slices, std::uint64_t Seed) {
  state::random_engine Random(Seed);
  evidence_series Series;
  const comparison_settings Settings;
  outcome Outcome;
  for (int Slice = 0; Slice < Slices; ++Slice) {
    for (int Reporter = 0; Reporter < 16; ++Reporter)
      for (const std::string &Route : Routes)
        for (const std::string &Centre : Centres)
          for (bool New : {false, true}) {
            const double Mean = Scenario.CallsPerSlice / (16 * 3 * 4) *
                                (New ? Scenario.Share : 1 - Scenario.Share);
            call_model Model = Scenario.Model(New, Route, Centre, Slice);
            if (Scenario.MisledReporter && Reporter == 3 && New)
              Model.FailureRate = 1;
            const evidence_counts Counts =
                tests::sampleCalls(Random, tests::poisson(Random, Mean), Model);
            if (Counts.calls() > 0)
              Series.add("d" + std::to_string(Reporter),
                         {New ? "v2" : "v1", Route, "dc1", Centre}, Counts);
          }
    Series.closeSlice();
    const version_comparison Comparison =
        evaluateVersions(Series, "v1", "v2", Settings);
    if (Comparison.Verdict == version_verdict::Bad && Outcome.BadAt < 0)
      Outcome.BadAt = Slice;
    if (Comparison.Verdict == version_verdict::AsGood && Outcome.GoodAt < 0)
      Outcome.GoodAt = Slice;
    if (Scenario.MisledReporter &&
        compareVersions(Series.sums(evidence_series::SinceStep), "v1", "v2",
                        Settings)
                .Verdict == version_verdict::Bad)
      Outcome.BadByOneReporter = true;
  }
  return Outcome;
}

} // namespace

TEST_CASE("bad versions are found within the allowed slices") {
  struct bad_case {
    const char *Name;
    double Share;
    int SinceSlice;   // slice of the first symptom
    int WithinSlices; // slices of 2 s
    std::function<call_model(bool, const std::string &, const std::string &,
                             int)>
        Model;
  };
  const bad_case Cases[] = {
      {"fails at once, first step", 0.01, 0, 3,
       [](bool New, auto &, auto &, int) {
         return call_model{New ? 1.0 : 0.005};
       }},
      {"fails in part", 0.05, 0, 6,
       [](bool New, auto &, auto &, int) {
         return call_model{New ? 0.3 : 0.005};
       }},
      {"fails later", 0.05, 28, 32,
       [](bool New, auto &, auto &, int Slice) {
         return call_model{New && Slice >= 28 ? 0.6 : 0.005};
       }},
      {"fails on one route", 0.05, 0, 6,
       [](bool New, auto &Route, auto &, int) {
         return call_model{New && Route == "search" ? 0.8 : 0.005};
       }},
      {"slow at once", 0.05, 0, 8,
       [](bool New, auto &, auto &, int) {
         return call_model{0.005, New ? 48.0 : 12.0};
       }},
      {"slow on one route", 0.05, 0, 25,
       [](bool New, auto &Route, auto &, int) {
         return call_model{0.005, New && Route == "item" ? 60.0 : 12.0};
       }},
  };
  for (const bad_case &Case : Cases)
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(std::string(Case.Name));
      CAPTURE(Seed);
      scenario Scenario;
      Scenario.Share = Case.Share;
      Scenario.Model = Case.Model;
      const outcome Outcome =
          runScenario(Scenario, Case.WithinSlices + 1, Seed);
      CHECK(Outcome.BadAt >= Case.SinceSlice);
      CHECK(Outcome.GoodAt < Case.SinceSlice);
    }
}

TEST_CASE("good versions with misleading symptoms are not found bad") {
  struct good_case {
    const char *Name;
    std::function<call_model(bool, const std::string &, const std::string &,
                             int)>
        Model;
    bool Misled = false;
    bool MustPass = true; // found as good within the time
  };
  const good_case Cases[] = {
      {"the same", [](bool, auto &, auto &, int) { return call_model{}; }},
      {"slightly slower",
       [](bool New, auto &, auto &, int) {
         return call_model{0.005, New ? 13.5 : 12.0};
       }},
      {"back ends of differing speed",
       [](bool New, auto &, auto &Centre, int) {
         const double Old[] = {9, 14, 12, 10};
         const double Fresh[] = {13, 13, 10, 16};
         const int I = Centre[2] - '1';
         return call_model{0.005, New ? Fresh[I] : Old[I]};
       }},
      {"slow data centre",
       [](bool, auto &, auto &Centre, int) {
         return call_model{0.005, Centre == "dc3" ? 90.0 : 12.0};
       }},
      {"fault of both",
       [](bool, auto &, auto &, int Slice) {
         return call_model{Slice >= 10 && Slice < 20 ? 0.5 : 0.005,
                           Slice >= 15 && Slice < 25 ? 80.0 : 12.0};
       }},
      {"fault of both in one data centre",
       [](bool, auto &, auto &Centre, int) {
         return call_model{Centre == "dc2" ? 0.4 : 0.005};
       },
       false, false},
      {"misled reporter",
       [](bool, auto &, auto &, int) { return call_model{}; }, true},
  };
  for (const good_case &Case : Cases)
    for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
      CAPTURE(std::string(Case.Name));
      CAPTURE(Seed);
      scenario Scenario;
      Scenario.Model = Case.Model;
      Scenario.MisledReporter = Case.Misled;
      const outcome Outcome = runScenario(Scenario, 40, Seed);
      CHECK(Outcome.BadAt < 0);
      if (Case.MustPass)
        CHECK(Outcome.GoodAt >= 0);
      // Without the exclusion of single reporters the version would be bad.
      CHECK(Outcome.BadByOneReporter == Case.Misled);
    }
}

TEST_CASE("too little evidence gives no verdict") {
  const stratum_key Old{"v1", "all", "dc1", "dc1"};
  const stratum_key New{"v2", "all", "dc1", "dc1"};
  struct sparse_case {
    const char *Name;
    std::uint64_t OldCalls, NewCalls, NewFailures;
    version_verdict Verdict;
  };
  const sparse_case Cases[] = {
      {"nothing", 0, 0, 0, version_verdict::Undecided},
      {"no old calls", 0, 50, 50, version_verdict::Undecided},
      {"two failures", 500, 2, 2, version_verdict::Undecided},
      {"eight failures", 500, 8, 8, version_verdict::Bad},
      {"few good calls", 500, 50, 0, version_verdict::Undecided},
      {"without latency", 500, 500, 0, version_verdict::Undecided},
  };
  for (const sparse_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    evidence_sums Sums{{&Old, {}}, {&New, {}}};
    Sums[0].Counts.Successes = Case.OldCalls;
    Sums[1].Counts.Failures = Case.NewFailures;
    Sums[1].Counts.Successes = Case.NewCalls - Case.NewFailures;
    CHECK(compareVersions(Sums, "v1", "v2", {}).Verdict == Case.Verdict);
  }
}

TEST_CASE("overloaded targets are excused for slowness, not for failures") {
  struct load_case {
    const char *Name;
    double FailureRate, MedianMs;
    std::uint64_t Refused;
    version_verdict Verdict;
    const char *Rule;
  };
  const load_case Cases[] = {
      {"slow", 0.005, 80, 0, version_verdict::Bad, "latency"},
      {"slow, refusing", 0.005, 80, 50, version_verdict::Undecided,
       "overloaded"},
      {"failing, refusing", 0.5, 80, 50, version_verdict::Bad, "error_rate"},
      {"refusing only", 0.005, 12, 50, version_verdict::AsGood, "as_good"},
  };
  for (const load_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    state::random_engine Random(5);
    const stratum_key Old{"v1", "all", "dc1", "dc1"};
    const stratum_key New{"v2", "all", "dc1", "dc1"};
    evidence_sums Sums{
        {&Old, tests::sampleCalls(Random, 2000, {})},
        {&New,
         tests::sampleCalls(Random, 1000, {Case.FailureRate, Case.MedianMs})}};
    Sums[1].Counts.Refused = Case.Refused;
    const auto Comparison = compareVersions(Sums, "v1", "v2", {});
    CHECK(Comparison.Verdict == Case.Verdict);
    CHECK(Comparison.Rule == Case.Rule);
  }
}
