/// \file
/// Guards the pace of the share, the maximum unproven share, the steps that
/// test the version under load, the watch period after the rollout, and the
/// behaviour without evidence.
#include "hyssopledge/coordination/rollout_policy.h"
#include "support/rollout_evidence.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>

using namespace hyssopledge;
using namespace hyssopledge::coordination;
using state::rollout_phase;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct simulation_result {
  std::vector<std::string> Rules;
  std::vector<double> Shares;
  rollout_phase Phase = rollout_phase::Running;
  double CompleteAt = -1; // seconds
  double EndAt = -1;
  std::uint64_t NewCallsBeforeProof = 0;
  double LargestUnprovenShare = 0; // share before a rule "proven" or
                                   // "little_traffic"
  bool hasRule(const std::string &Rule) const {
    return std::find(Rules.begin(), Rules.end(), Rule) != Rules.end();
  }
};

struct scenario {
  double CallsPerSecond = 400;
  std::function<tests::call_model(bool New, double Share, int Second)> Model =
      [](bool, double, int) { return tests::call_model{}; };
  std::function<bool(int Second)> MayRaise = [](int) { return true; };
  std::function<bool(double Share, int Second)> Overload = [](double, int) {
    return false;
  };
  bool HasOldTargets = true;
  bool HasNewTargets = true;
  bool ReportsCurrent = true;
  int CondemnAt = -1;
  state::rollout_spec Spec;
};

simulation_result simulate(const rollout_policy &Policy,
                           const scenario &Scenario, int Seconds) {
  state::random_engine Random(11);
  evidence_series Series;
  state::rollout_directive Current{"s", "v1", "v2",
                                   1,   1,    Scenario.Spec.InitialShare};
  simulation_result Result;
  std::string LastRule;
  int StepAt = 0;
  int FullAt = -1;
  bool Proven = false;
  for (int Second = 0; Second < Seconds; ++Second) {
    for (bool New : {false, true}) {
      const double Share = New ? Current.Share : 1 - Current.Share;
      for (const char *Centre : {"dc1", "dc2", "dc3"}) {
        auto Counts = tests::sampleCalls(
            Random, tests::poisson(Random, Scenario.CallsPerSecond * Share / 3),
            Scenario.Model(New, Current.Share, Second));
        if (New && Scenario.Overload(Current.Share, Second))
          Counts.Refused = Counts.calls() / 10;
        if (Counts.calls() > 0)
          Series.add("sum/r", {New ? "v2" : "v1", "all", "dc1", Centre},
                     Counts);
      }
    }
    if (Second % 2 == 1)
      continue;
    Series.closeSlice();
    const auto Action = Policy.decide(
        {.Spec = Scenario.Spec,
         .Current = Current,
         .Evidence = Series,
         .LastRule = LastRule,
         .SinceStart = seconds(Second),
         .SinceStep = seconds(Second - StepAt),
         .SinceFullShare = FullAt < 0 ? std::optional<milliseconds>()
                                      : seconds(Second - FullAt),
         .OverloadStepBacks = static_cast<unsigned>(std::count(
             Result.Rules.begin(), Result.Rules.end(), "overloaded")),
         .CondemnedByVotes =
             Scenario.CondemnAt >= 0 && Second >= Scenario.CondemnAt,
         .MayRaise = Scenario.MayRaise(Second),
         .ReportsCurrent = Scenario.ReportsCurrent,
         .HasNewTargets = Scenario.HasNewTargets,
         .HasOldTargets = Scenario.HasOldTargets});
    if (!Action)
      continue;
    LastRule = Action->Rule;
    Result.Rules.push_back(Action->Rule);
    Proven = Proven || LastRule == "proven" || LastRule == "little_traffic";
    if (!Proven)
      Result.LargestUnprovenShare =
          std::max(Result.LargestUnprovenShare, Action->Share);
    Result.Shares.push_back(Action->Share);
    if (Action->Share != Current.Share) {
      if (Action->Share >= 1 && FullAt < 0) {
        FullAt = Second;
        Result.CompleteAt = Second;
      }
      if (Action->Share >= 1)
        Series.keepBaseline("v1");
      StepAt = Second;
      Series.beginStep();
    }
    Current.Share = Action->Share;
    Current.Phase = Result.Phase = Action->Phase;
    if (Result.Phase == rollout_phase::RolledBack ||
        Result.Phase == rollout_phase::Done) {
      Result.EndAt = Second;
      break;
    }
  }
  return Result;
}

tests::call_model badFrom(bool New, bool Symptom) {
  return {New && Symptom ? 0.5 : 0.005};
}

} // namespace

TEST_CASE("a good version completes by 70% within the unproven share") {
  for (double Calls : {30.0, 400.0, 3000.0})
    for (int Within : {120, 600, 1800}) {
      CAPTURE(Calls);
      CAPTURE(Within);
      scenario Scenario;
      Scenario.CallsPerSecond = Calls;
      Scenario.Spec.CompleteWithin = seconds(Within);
      const auto Result =
          simulate(*makeEvidencePolicy(), Scenario, Within + 700);
      CHECK(Result.CompleteAt > 0);
      CHECK(Result.CompleteAt <= 0.7 * Within);
      CHECK(Result.LargestUnprovenShare <= 0.05);
      CHECK(Result.Phase == rollout_phase::Done);
      CHECK(std::count(Result.Shares.begin(), Result.Shares.end(), 0.5) == 1);
      CHECK(std::count(Result.Shares.begin(), Result.Shares.end(), 0.95) == 1);
    }
}

TEST_CASE("symptoms at any stage cause a rollback") {
  struct stage_case {
    const char *Name;
    std::function<tests::call_model(bool, double, int)> Model;
    double LargestShare;
  };
  const stage_case Cases[] = {
      {"at once", [](bool New, double, int) { return badFrom(New, true); },
       0.01},
      {"later", [](bool New, double, int T) { return badFrom(New, T >= 150); },
       0.05},
      {"under load",
       [](bool New, double Share, int) { return badFrom(New, Share >= 0.45); },
       0.5},
      {"near full load",
       [](bool New, double Share, int) { return badFrom(New, Share >= 0.9); },
       0.95},
      {"after the rollout",
       [](bool New, double, int T) { return badFrom(New, T >= 500); }, 1},
  };
  for (const stage_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    scenario Scenario;
    Scenario.Model = Case.Model;
    const auto Result = simulate(*makeEvidencePolicy(), Scenario, 1300);
    CHECK(Result.Phase == rollout_phase::RolledBack);
    double Largest = Scenario.Spec.InitialShare;
    for (double Share : Result.Shares)
      Largest = std::max(Largest, Share);
    CHECK(Largest <= Case.LargestShare);
  }
}

TEST_CASE("a fault of both versions after the rollout causes a recheck only") {
  scenario Scenario;
  Scenario.Model = [](bool, double, int T) {
    return tests::call_model{T >= 500 && T < 600 ? 0.5 : 0.005};
  };
  const auto Result = simulate(*makeEvidencePolicy(), Scenario, 1300);
  CHECK(Result.hasRule("recheck"));
  CHECK(Result.hasRule("recheck_passed"));
  CHECK(Result.Phase == rollout_phase::Done);
}

TEST_CASE("missing evidence or targets hold the share and log a note") {
  struct missing_case {
    const char *Name;
    std::function<void(scenario &)> Change;
    const char *Rule;
    rollout_phase Phase;
    double LargestShare;
  };
  const missing_case Cases[] = {
      {"undecided near the deadline",
       [](scenario &S) {
         // Worse by less than the minimum effect size: neither good nor bad.
         S.Model = [](bool New, double, int) {
           return tests::call_model{New ? 0.034 : 0.004};
         };
         S.CallsPerSecond = 60;
       },
       "held_undecided", rollout_phase::Running, 0.2},
      {"no reports", [](scenario &S) { S.ReportsCurrent = false; },
       "no_reports", rollout_phase::Running, 0.01},
      {"no new targets", [](scenario &S) { S.HasNewTargets = false; },
       "no_new_targets", rollout_phase::Running, 0.01},
      {"bad without old targets",
       [](scenario &S) {
         S.HasOldTargets = false;
         S.CondemnAt = 100;
       },
       "no_old_targets", rollout_phase::Running, 0.05},
      {"condemned by votes", [](scenario &S) { S.CondemnAt = 100; },
       "condemned_by_votes", rollout_phase::RolledBack, 0.05},
  };
  for (const missing_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    scenario Scenario;
    Case.Change(Scenario);
    const auto Result = simulate(*makeEvidencePolicy(), Scenario, 590);
    CHECK(Result.hasRule(Case.Rule));
    CHECK(Result.Phase == Case.Phase);
    for (double Share : Result.Shares)
      CHECK(Share <= Case.LargestShare);
    CHECK(std::count(Result.Rules.begin(), Result.Rules.end(), Case.Rule) == 1);
  }
}

TEST_CASE(
    "little traffic: a good version completes in time, a bad one rolls back") {
  for (double Calls : {0.0, 0.2, 2.0}) {
    CAPTURE(Calls);
    scenario Scenario;
    Scenario.CallsPerSecond = Calls;
    const auto Good = simulate(*makeEvidencePolicy(), Scenario, 1300);
    CHECK(Good.CompleteAt > 0);
    CHECK(Good.CompleteAt <= 0.7 * 600);
    CHECK(Good.hasRule("little_traffic"));
  }
  scenario Scenario;
  Scenario.CallsPerSecond = 2;
  Scenario.Model = [](bool New, double, int) { return badFrom(New, true); };
  CHECK(simulate(*makeEvidencePolicy(), Scenario, 1300).Phase ==
        rollout_phase::RolledBack);
}

TEST_CASE("no share rises while the platform is unavailable") {
  scenario Scenario;
  Scenario.MayRaise = [](int T) { return T < 100 || T >= 300; };
  const auto Result = simulate(*makeEvidencePolicy(), Scenario, 1300);
  CHECK(Result.CompleteAt >= 300);
  CHECK(Result.CompleteAt <= 600);
  Scenario.MayRaise = [](int T) { return T < 100; };
  Scenario.Model = [](bool New, double, int T) {
    return badFrom(New, T > 200);
  };
  CHECK(simulate(*makeEvidencePolicy(), Scenario, 1300).Phase ==
        rollout_phase::RolledBack);
}

TEST_CASE("overload causes a step back, lasting overload a rollback") {
  for (bool Lasting : {false, true}) {
    CAPTURE(Lasting);
    scenario Scenario;
    Scenario.Overload = [=](double Share, int T) {
      return Share >= 0.7 && (Lasting || T < 300);
    };
    Scenario.Model = [&](bool New, double Share, int T) {
      return tests::call_model{
          0.005, New && Scenario.Overload(Share, T) ? 90.0 : 12.0};
    };
    const auto Result = simulate(*makeEvidencePolicy(), Scenario, 1300);
    CHECK(Result.hasRule("overloaded"));
    CHECK(Result.hasRule("overloaded_again") == Lasting);
    CHECK(Result.Phase ==
          (Lasting ? rollout_phase::RolledBack : rollout_phase::Done));
  }
}
