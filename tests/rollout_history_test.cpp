/// \file
/// Runs seeded fault schedules against the coordinators and checks each
/// history: a bad version keeps a small share and soon gets no calls, a good
/// version is not rolled back, "complete" is not logged too early, and steps
/// never go back. Each check must also find its violation in a variant of the
/// system without the mechanism. HYSSOP_HISTORY_SEED=N runs one schedule,
/// HYSSOP_HISTORY_SCHEDULES=N runs N of them.
#include "support/rollout_simulation.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace hyssopledge;
using namespace hyssopledge::coordination;
using state::rollout_phase;
using tests::rollout_simulation;
using tests::rolloutSnapshot;

namespace {

enum class kind { Good, FailsAtOnce, FailsLater, FailsUnderLoad, Slow, Both };
constexpr int Kinds = 6;

/// Mechanism that is removed from the system under test.
enum class variant {
  Unmodified,
  NoTest,           // shares rise by time only
  NoBaseline,       // failures of both versions count too
  NoAcknowledgement // "complete" as soon as the share is 1
};

class variant_policy final : public rollout_policy {
public:
  explicit variant_policy(variant Variant) : Variant(Variant) {}

  std::optional<rollout_action>
  decide(const rollout_input &Input) const override {
    if (Variant == variant::Unmodified || Variant == variant::NoAcknowledgement)
      return Production->decide(Input);
    const auto Ladder = shareLadder(Input.Spec);
    if (Input.Current.Phase == rollout_phase::RolledBack)
      return std::nullopt;
    if (Variant == variant::NoBaseline) {
      evidence_counts New;
      for (const stratum_sum &Sum : Input.Evidence.sums(3))
        if (Sum.Key->Version == Input.Current.ToVersion)
          New.add(Sum.Counts);
      if (New.Failures > 5 && 5 * New.Failures > New.calls())
        return rollout_action{0, rollout_phase::RolledBack, "threshold", ""};
    }
    const auto Next = std::upper_bound(Ladder.begin(), Ladder.end(),
                                       Input.Current.Share + 1e-9);
    if (Next == Ladder.end() || Input.SinceStep < std::chrono::seconds(10) ||
        !Input.MayRaise)
      return std::nullopt;
    return rollout_action{
        *Next, *Next >= 1 ? rollout_phase::Watching : rollout_phase::Running,
        "time", ""};
  }

private:
  variant Variant;
  std::unique_ptr<rollout_policy> Production = makeEvidencePolicy();
};

struct history {
  kind Kind = kind::Good;
  std::set<std::string> Violations;
};

// Counts from the first second of the symptom: reports (2 s), three slices when
// there are few calls, the write, and the next second of calls. Platform
// outages are added, since only votes have an effect during them.
constexpr int MaxRollbackSeconds = 20;

history runSchedule(std::uint64_t Seed, variant Variant) {
  rollout_simulation Simulation(
      Seed, 2, [Variant] { return std::make_unique<variant_policy>(Variant); });
  state::random_engine Random(Seed * 977 + 5);
  history History;
  History.Kind = static_cast<kind>(Seed % Kinds);
  const int SymptomAt = 20 + static_cast<int>(state::uniformBelow(Random, 60));
  const int OutageAt = 10 + static_cast<int>(state::uniformBelow(Random, 80));
  const int OutageTo =
      Random() % 2 == 0
          ? OutageAt + static_cast<int>(state::uniformBelow(Random, 25))
          : OutageAt;
  const int PauseAt = 5 + static_cast<int>(state::uniformBelow(Random, 100));
  const int PauseTo =
      PauseAt + static_cast<int>(state::uniformBelow(Random, 40));
  const int BlockedAt = 60 + static_cast<int>(state::uniformBelow(Random, 60));
  const int BlockedTo =
      BlockedAt + static_cast<int>(state::uniformBelow(Random, 60));
  const int BlockedMember = static_cast<int>(
      state::uniformBelow(Random, rollout_simulation::Members));

  bool Bad = false;
  const auto Symptom = [&](double Share) {
    switch (History.Kind) {
    case kind::FailsAtOnce:
    case kind::Slow:
      return true;
    case kind::FailsLater:
      return Simulation.Seconds >= SymptomAt;
    case kind::FailsUnderLoad:
      return Share >= 0.45;
    default:
      return false;
    }
  };
  Simulation.Model = [&](bool New, double Share) {
    tests::call_model Model;
    if (History.Kind == kind::Both && Simulation.Seconds >= SymptomAt &&
        Simulation.Seconds < SymptomAt + 30)
      Model.FailureRate = 0.5;
    if (New && Share > 0 && Symptom(Share)) {
      Bad = true;
      if (History.Kind == kind::Slow)
        Model.MedianMs *= 6;
      else
        Model.FailureRate = 0.7;
    }
    return Model;
  };
  Simulation.CompleteWithoutAcks = Variant == variant::NoAcknowledgement;
  Simulation.accept(rolloutSnapshot(5, "v1", "v2", std::chrono::seconds(120)));

  int BadSince = -1;
  int UndecidableSeconds = 0; // seconds of the symptom without a working leader
  for (int Second = 0; Second < 330; ++Second) {
    Simulation.Platform.Down = Second >= OutageAt && Second < OutageTo;
    for (std::size_t Node = 0; Node < Simulation.Nodes.size(); ++Node)
      Simulation.Nodes[Node]->Paused =
          Node == Seed / Kinds % 2 && Second >= PauseAt && Second < PauseTo;
    if (Second == BlockedAt)
      Simulation.GossipBlocked = {BlockedMember};
    if (Second == BlockedTo) {
      Simulation.GossipBlocked.clear();
      Simulation.resync();
    }
    if (state::uniformBelow(Random, 20) == 0)
      Simulation.Platform.LoseResponses = 1;
    if (state::uniformBelow(Random, 20) == 0)
      Simulation.Platform.DropCommits = 1;
    const std::uint64_t Before = Simulation.NewCalls;
    Simulation.runSecond();
    if (!Bad)
      continue;
    if (BadSince < 0)
      BadSince = Second;
    const bool CanDecide = Simulation.leader() != nullptr &&
                           !Simulation.leader()->Paused &&
                           !Simulation.Platform.Down;
    UndecidableSeconds += CanDecide ? 0 : 1;
    // A member without gossip keeps sending its last known share, so the check
    // is skipped.
    if (Second - BadSince > MaxRollbackSeconds + UndecidableSeconds &&
        Simulation.GossipBlocked.empty() && Simulation.NewCalls != Before)
      History.Violations.insert("a bad version still gets calls");
  }
  const auto Record = Simulation.recordedRollout();
  if (!Record) {
    History.Violations.insert("no record");
    return History;
  }
  const bool RolledBack =
      static_cast<rollout_phase>(Record->phase()) == rollout_phase::RolledBack;
  if (RolledBack && !Bad)
    History.Violations.insert("a good version was rolled back");
  if (Bad && History.Kind != kind::FailsLater &&
      History.Kind != kind::FailsUnderLoad && Simulation.LargestShare > 0.05)
    History.Violations.insert("a bad version got a large share");
  History.Violations.insert(Simulation.Violations.begin(),
                            Simulation.Violations.end());
  return History;
}

std::uint64_t environmentNumber(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text != nullptr ? std::strtoull(Text, nullptr, 10) : Default;
}

/// Returns the violations found in the schedules with the first seed of each.
std::map<std::string, std::uint64_t>
findViolations(variant Variant, std::uint64_t First, std::uint64_t Schedules) {
  std::map<std::string, std::uint64_t> FirstSeeds;
  for (std::uint64_t Seed = First; Seed < First + Schedules; ++Seed)
    for (const std::string &Violation : runSchedule(Seed, Variant).Violations)
      FirstSeeds.try_emplace(Violation, Seed);
  return FirstSeeds;
}

void checkHistories(std::uint64_t Part) {
  const std::uint64_t Schedules =
      environmentNumber("HYSSOP_HISTORY_SCHEDULES", 2000) / 4;
  const std::uint64_t Seed = environmentNumber("HYSSOP_HISTORY_SEED", 0);
  const auto FirstSeeds = Seed != 0
                              ? findViolations(variant::Unmodified, Seed, 1)
                              : findViolations(variant::Unmodified,
                                               1 + Part * Schedules, Schedules);
  for (const auto &[Violation, At] : FirstSeeds)
    FAIL_CHECK(Violation << "; repeat with HYSSOP_HISTORY_SEED=" << At
                         << " rollout_history_test -tc='histories, part 1'");
}

} // namespace

// Split so that ctest runs the parts in parallel.
TEST_CASE("histories, part 1") { checkHistories(0); }
TEST_CASE("histories, part 2") { checkHistories(1); }
TEST_CASE("histories, part 3") { checkHistories(2); }
TEST_CASE("histories, part 4") { checkHistories(3); }

TEST_CASE("the checks detect each missing mechanism") {
  struct variant_case {
    variant Variant;
    std::vector<std::string> Violations;
  };
  const variant_case Cases[] = {
      {variant::NoTest,
       {"a bad version still gets calls", "a bad version got a large share"}},
      {variant::NoBaseline, {"a good version was rolled back"}},
      {variant::NoAcknowledgement, {"complete was logged too early"}},
  };
  for (const variant_case &Case : Cases) {
    const auto FirstSeeds = findViolations(Case.Variant, 1, 60);
    for (const std::string &Violation : Case.Violations) {
      CAPTURE(Violation);
      CHECK(FirstSeeds.contains(Violation));
    }
  }
}

TEST_CASE("the check detects a recorded step that goes back") {
  rollout_simulation Simulation(1);
  Simulation.accept(rolloutSnapshot(5, "v1", "v2"));
  Simulation.runSeconds(60);
  CHECK(Simulation.Violations.empty());
  auto Record = *Simulation.recordedRollout();
  Record.set_step(Record.step() - 1);
  Simulation.Platform.commit(
      {{},
       {{keys::rollout("production", "sizing"), Record.SerializeAsString(), 0}},
       {}},
      [](auto) {});
  Simulation.checkInvariants();
  CHECK(Simulation.Violations.contains("the recorded step went back"));
}
