/// \file
/// Tests of version and target selection: rollout share, slow start, ejection,
/// drained and condemned targets, and stable home targets.
#include "tests/support/routing_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;
using namespace hyssopledge::state;
using tests::routing_fixture;

TEST_CASE("the version of an attempt depends on share, history and verdicts") {
  constexpr std::uint64_t Low = 0;
  constexpr std::uint64_t High = ~0ULL;
  struct version_case {
    const char *Name;
    double Share;
    rollout_phase Phase;
    std::uint64_t Draw;
    attempt_history History;
    unsigned Old, New;           // serving targets
    const char *Condemned;       // version, empty: none
    const char *Expected;        // version, empty: none
    bool UsesNewVersion = false; // counts toward the share
  };
  const auto Running = rollout_phase::Running;
  const attempt_history None;
  const attempt_history TriedNew{{"new0"}, true, false};
  const attempt_history TriedOld{{"old0"}, false, true};
  const version_case Cases[] = {
      {"below share", 0.1, Running, Low, None, 2, 2, "", "v2", true},
      {"above share", 0.1, Running, High, None, 2, 2, "", "v1"},
      {"no share", 0, Running, Low, None, 2, 2, "", "v1"},
      {"old targets gone", 0.1, Running, High, None, 0, 2, "", "v1"},
      {"new targets gone", 0.9, Running, Low, None, 2, 0, "", "v1"},
      {"retry of new", 0.9, Running, Low, TriedNew, 2, 2, "", "v1"},
      {"retry of old", 0.9, Running, Low, TriedOld, 2, 2, "", "v1"},
      {"retry of new, old gone", 0.9, Running, Low, TriedNew, 0, 2, "", "v1"},
      {"full share", 1, Running, High, None, 2, 2, "", "v2", true},
      {"full share, old gone", 1, Running, Low, TriedNew, 0, 2, "", "v2", true},
      {"full share, retry", 1, Running, Low, TriedNew, 2, 2, "", "v1"},
      {"condemned", 0.9, Running, Low, None, 2, 2, "v2", "v1"},
      {"condemned at full share", 1, Running, Low, None, 2, 2, "v2", "v1"},
      {"rolled back", 1, rollout_phase::RolledBack, Low, None, 2, 2, "", "v1"},
      {"watching", 1, rollout_phase::Watching, High, None, 2, 2, "", "v2",
       true},
      {"done", 1, rollout_phase::Done, High, None, 2, 2, "", "v2"},
      {"done, retry", 1, rollout_phase::Done, High, TriedNew, 2, 2, "", "v2"},
      {"done, condemned", 1, rollout_phase::Done, High, None, 2, 2, "v2", "v1"},
      {"old condemned", 0.1, Running, High, None, 2, 2, "v1", ""},
  };
  for (const version_case &Case : Cases)
    for (const bool AvoidOnly : {false, true}) {
      CAPTURE(Case.Name);
      routing_fixture Fixture(Case.Old, Case.New, 0);
      Fixture.setDirective(Case.Share, Case.Phase);
      Fixture.condemn(Case.Condemned, AvoidOnly);
      const version_choice Choice = chooseVersion(
          Fixture.View, Fixture.View.Snapshot->Document.Services[0], Case.Draw,
          Case.History);
      CHECK(Choice.Version == Case.Expected);
      CHECK(Choice.UsesNewVersion == Case.UsesNewVersion);
    }
}

TEST_CASE("a directive for a rollout of another document is ignored") {
  routing_fixture Fixture(1, 1, 0.9);
  const service_spec MatchingRollout =
      Fixture.View.Snapshot->Document.Services[0];
  service_spec WithoutRollout = MatchingRollout;
  WithoutRollout.Rollout.reset();
  service_spec NewIsStable = MatchingRollout;
  NewIsStable.StableVersion = "v2";
  NewIsStable.Rollout.reset();
  CHECK(chooseVersion(Fixture.View, MatchingRollout, 0, {}).Version == "v2");
  CHECK(chooseVersion(Fixture.View, WithoutRollout, 0, {}).Version == "v1");
  CHECK(chooseVersion(Fixture.View, NewIsStable, ~0ULL, {}).Version == "v2");
  Fixture.condemn("v2"); // condemned after it became the stable version
  CHECK(chooseVersion(Fixture.View, NewIsStable, 0, {}).Version == "v1");
}

TEST_CASE("the new version stays within its share when old targets are few") {
  for (const unsigned Old : {0U, 1U, 8U}) {
    CAPTURE(Old);
    routing_fixture Fixture(Old, 8, 0.05);
    const auto Picker = makeTwoChoicePicker(Fixture.Stats);
    unsigned New = 0;
    for (const auto &[Instance, Count] : Fixture.countPicks(*Picker, 20000))
      New += Instance.rfind("new", 0) == 0 ? Count : 0;
    CHECK(New < 1150); // 5% are 1000, with a standard deviation of 31
    CHECK(New > 850);
  }
}

TEST_CASE("only serving targets of the version receive calls") {
  const bool Passed = rc::check([] {
    const auto States =
        *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 3));
    routing_fixture Fixture(6, 0, 0);
    bool AnyServing = false;
    for (std::size_t I = 0; I < States.size(); ++I) {
      Fixture.updateTarget(I, [&](target_record &Target) {
        Target.State = static_cast<target_state>(States[I]);
      });
      AnyServing |= States[I] == 0;
      for (int J = *rc::gen::inRange(0, 8); J > 0; --J)
        Fixture.recordAttempt(I, attempt_outcome::Unknown, 5);
    }
    const auto Picker = makeTwoChoicePicker(Fixture.Stats, "dc0");
    Fixture.Call.IdempotencyKey = "key";
    for (const bool Hold : {false, true})
      for (int I = 0; I < 20; ++I) {
        const std::string Picked = Fixture.pick(*Picker, Hold);
        RC_ASSERT(Picked.empty() != AnyServing);
        if (AnyServing)
          RC_ASSERT(States[static_cast<std::size_t>(Picked[3] - '0')] == 0);
      }
  });
  CHECK(Passed);
}

TEST_CASE("a failing target is ejected with back-off and probed by one call") {
  routing_fixture Fixture(4, 0, 0);
  const auto Picker = makeTwoChoicePicker(Fixture.Stats);
  const auto Picks = [&] { return Fixture.countPicks(*Picker, 400)["old0"]; };
  for (std::uint32_t I = 0; I < FailuresToEject; ++I) {
    CHECK(Fixture.Stats.find(Fixture.target(0))->EjectedUntilNs.load() == 0);
    Fixture.recordAttempt(0, attempt_outcome::Failed, 1);
  }
  for (const int Seconds : {1, 2, 4}) {
    CAPTURE(Seconds);
    CHECK(Picks() == 0);
    Fixture.Now += std::chrono::seconds(Seconds) - milliseconds(1);
    CHECK(Picks() == 0);
    Fixture.Now += milliseconds(1);
    CHECK(Picks() > 0); // may receive the probe
    Fixture.Stats.recordStart(Fixture.target(0));
    CHECK(Picks() == 0); // only one probe at a time
    Fixture.Stats.recordEnd(Fixture.target(0), attempt_outcome::Failed,
                            milliseconds(1), Fixture.Now);
  }
  Fixture.Now += std::chrono::seconds(8);
  Fixture.recordAttempt(0, attempt_outcome::Success, 5);
  // The success has reset the count of consecutive failures.
  Fixture.recordAttempt(0, attempt_outcome::Failed, 1);
  CHECK(Fixture.Stats.find(Fixture.target(0))->EjectedUntilNs.load() == 0);
  Fixture.Now += std::chrono::seconds(60); // old failures decay
  Fixture.Stats.recordStart(Fixture.target(1));
  CHECK(Picks() > 50);
}

TEST_CASE("at most half of the targets are ejected when all fail") {
  routing_fixture Fixture(4, 0, 0);
  const auto Picker = makeTwoChoicePicker(Fixture.Stats);
  for (std::size_t Target = 0; Target < 4; ++Target)
    for (int I = 0; I < 5; ++I)
      Fixture.recordAttempt(Target, attempt_outcome::Failed, 1);
  CHECK(Fixture.countPicks(*Picker, 400).size() == 2);
}

TEST_CASE("a new target receives a growing share during slow start") {
  struct warm_up_case {
    int AgeSeconds;
    unsigned AtLeast, AtMost; // of 4000 calls on 4 targets
  };
  for (const warm_up_case &Case :
       {warm_up_case{0, 30, 300}, {5, 250, 800}, {10, 600, 1400}}) {
    CAPTURE(Case.AgeSeconds);
    routing_fixture Fixture(4, 0, 0);
    for (std::size_t I = 1; I < 4; ++I)
      Fixture.recordAttempt(I, attempt_outcome::Success, 20);
    Fixture.updateTarget(0, [&](target_record &Target) {
      Target.FirstSeen = Fixture.Now - std::chrono::seconds(Case.AgeSeconds);
    });
    const auto Picker = makeTwoChoicePicker(Fixture.Stats);
    const unsigned Picks = Fixture.countPicks(*Picker, 4000)["old0"];
    CHECK(Picks >= Case.AtLeast);
    CHECK(Picks <= Case.AtMost);
  }
}

TEST_CASE("reported load only adjusts the choice and expires after 2 s") {
  for (const int Latency : {10, 30}) { // of the target that reports no load
    CAPTURE(Latency);
    routing_fixture Fixture(2, 0, 0);
    const auto Picker = makeTwoChoicePicker(Fixture.Stats);
    for (int I = 0; I < 40; ++I) {
      Fixture.recordAttempt(0, attempt_outcome::Success, 10);
      Fixture.recordAttempt(1, attempt_outcome::Success, Latency);
    }
    Fixture.Stats.recordHint(Fixture.target(0), {12, 12, 40}, Fixture.Now);
    Fixture.Stats.recordHint(Fixture.target(1), {0, 12, 0}, Fixture.Now);
    CHECK(Fixture.countPicks(*Picker, 100)[Latency == 10 ? "old1" : "old0"] ==
          100);
    Fixture.Now += milliseconds(2001);
    const unsigned Picks = Fixture.countPicks(*Picker, 100)["old0"];
    CHECK((Latency == 10 ? Picks > 20 && Picks < 80 : Picks == 100));
  }
}

TEST_CASE("the local data centre is preferred while its scores are close") {
  routing_fixture Fixture(4, 0, 0); // old0 and old2 are in dc0
  const auto Picker = makeTwoChoicePicker(Fixture.Stats, "dc0");
  const auto Local = [&] {
    auto Counts = Fixture.countPicks(*Picker, 400);
    return Counts["old0"] + Counts["old2"];
  };
  for (std::size_t I = 0; I < 4; ++I)
    Fixture.recordAttempt(I, attempt_outcome::Success, 20);
  CHECK(Local() == 400);
  for (const std::size_t I : {0U, 2U, 0U, 2U}) // more calls in flight
    Fixture.Stats.recordStart(Fixture.target(I));
  CHECK(Local() == 0);
}

TEST_CASE("the home of a key is the same for all daemons and rarely changes") {
  const bool Passed = rc::check([] {
    const unsigned Targets = *rc::gen::inRange(2U, 9U);
    routing_fixture Fixture(Targets, 0, 0);
    target_table Table = *Fixture.View.Targets;
    target_table Shuffled = Table;
    std::reverse(Shuffled.Targets.begin(), Shuffled.Targets.end());
    Shuffled.Targets[0].Incarnation = 9; // restarted, still the home
    target_table Smaller = Table;
    Smaller.Targets.erase(Smaller.Targets.begin());
    for (int I = 0; I < 50; ++I) {
      const std::string Key =
          std::to_string(*rc::gen::arbitrary<std::uint32_t>());
      const auto *Home = homeTarget(Table, "sizing", "v1", Key);
      RC_ASSERT(homeTarget(Shuffled, "sizing", "v1", Key)->Instance ==
                Home->Instance);
      if (Home->Instance != "old0")
        RC_ASSERT(homeTarget(Smaller, "sizing", "v1", Key)->Instance ==
                  Home->Instance);
    }
  });
  CHECK(Passed);
}

TEST_CASE("a keyed call keeps its home target through retries and failures") {
  // At another version or target, a retry by the caller would run again.
  for (int Key = 0; Key < 40; ++Key) {
    routing_fixture Fixture(3, 3, 0.5);
    const auto Picker = makeTwoChoicePicker(Fixture.Stats);
    Fixture.Call.IdempotencyKey = "key" + std::to_string(Key);
    const std::string Home = Fixture.pick(*Picker, true);
    for (std::size_t I = 0; I < 6; ++I)
      for (int J = 0; J < 5; ++J)
        Fixture.recordAttempt(I, attempt_outcome::NotRun, 1);
    Fixture.Call.RandomDraw = Fixture.Engine();
    Fixture.History = {{Home}, Home[0] == 'n', Home[0] == 'o'};
    CHECK(Fixture.pick(*Picker, true) == Home);
  }
}

TEST_CASE("measurements are kept by incarnation and dropped with the target") {
  routing_fixture Fixture(2, 0, 0);
  Fixture.recordAttempt(0, attempt_outcome::Success, 8);
  CHECK(Fixture.Stats.find(Fixture.target(0))->LatencyMs.load() == 8);
  const target_record Before = Fixture.target(0);
  Fixture.updateTarget(0, [](target_record &T) { T.Incarnation = 1; });
  CHECK(Fixture.Stats.find(Before) == nullptr);
  CHECK(Fixture.Stats.find(Fixture.target(0))->LatencyMs.load() == 0);
  Fixture.Stats.recordEnd(Fixture.target(0), attempt_outcome::Cancelled,
                          milliseconds(1), Fixture.Now);
  CHECK(Fixture.Stats.find(Fixture.target(0))->InFlight.load() == 0);
}
