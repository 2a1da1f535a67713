/// \file
/// Guards that the coordinator records correct steps despite lost responses, a
/// paused seat holder and platform outages, that it follows the document, and
/// that "complete" and "in force everywhere" are never reported too early.
#include "support/rollout_simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;
using namespace hyssopledge::coordination;
using state::rollout_phase;
using tests::rollout_simulation;
using tests::rolloutSnapshot;

namespace {

rollout_phase phase(const rollout_simulation &Simulation) {
  return static_cast<rollout_phase>(Simulation.recordedRollout()->phase());
}

} // namespace

TEST_CASE("a good version reaches all calls, complete and done") {
  rollout_simulation Simulation(1);
  Simulation.accept(rolloutSnapshot(5, "v1", "v2"));
  int CompleteAt = -1;
  for (int I = 0; I < 900 && CompleteAt < 0; ++I) {
    Simulation.runSecond();
    if (Simulation.hasDecision("complete"))
      CompleteAt = I;
  }
  CHECK(CompleteAt > 0);
  CHECK(CompleteAt <= 420);
  Simulation.runSeconds(140);
  CHECK(phase(Simulation) == rollout_phase::Done);
  CHECK(Simulation.recordedRollout()->generation() == 5);
  REQUIRE(Simulation.recordedConvergence().has_value());
  CHECK(Simulation.recordedConvergence()->in_force_everywhere());
  CHECK(Simulation.Violations.empty());
}

TEST_CASE("complete is not logged while a member lacks the directive") {
  rollout_simulation Simulation(2);
  Simulation.accept(rolloutSnapshot(5, "v1", "v2"));
  while (Simulation.recordedRollout().has_value()
             ? Simulation.recordedRollout()->share() < 0.94
             : Simulation.Seconds < 100)
    Simulation.runSecond();
  Simulation.GossipBlocked = {2}; // reports, but gets no more directives
  Simulation.runSeconds(100);
  CHECK(Simulation.recordedRollout()->share() == 1);
  CHECK_FALSE(Simulation.hasDecision("complete"));
  Simulation.ReportsBlocked = {2}; // unreachable; its lease expires eventually
  Simulation.runSeconds(30);
  CHECK_FALSE(Simulation.hasDecision("complete"));
  // A member without a lease sends no calls; gives it the newest directive so
  // that the checker accepts "complete".
  Simulation.DirectiveStores[2] = Simulation.DirectiveStores[1];
  Simulation.runSeconds(180);
  CHECK(Simulation.hasDecision("complete"));
  CHECK(Simulation.Violations.empty());
}

TEST_CASE("evidence of a bad version causes a rollback") {
  rollout_simulation Simulation(3);
  Simulation.Model = [](bool New, double) {
    return tests::call_model{New ? 0.9 : 0.005};
  };
  Simulation.accept(rolloutSnapshot(5, "v1", "v2"));
  Simulation.runSeconds(60);
  CHECK(phase(Simulation) == rollout_phase::RolledBack);
  CHECK(Simulation.hasDecision("error_rate"));
  CHECK(Simulation.NewCalls < 80);
  // An unrelated change of the document does not retry the version; dropping
  // and requesting the rollout does.
  Simulation.accept(rolloutSnapshot(6, "v1", "v2"));
  Simulation.runSeconds(10);
  CHECK(phase(Simulation) == rollout_phase::RolledBack);
  Simulation.accept(rolloutSnapshot(7, "v1", std::nullopt));
  Simulation.runSeconds(10);
  Simulation.accept(rolloutSnapshot(8, "v1", "v2"));
  Simulation.runSeconds(2);
  CHECK(Simulation.recordedRollout()->generation() == 8);
  CHECK(Simulation.Violations.empty());
}

TEST_CASE("a platform outage stops steps, but votes are published at once") {
  rollout_simulation Simulation(4, 1);
  Simulation.accept(rolloutSnapshot(5, "v1", "v2"));
  Simulation.runSeconds(60);
  const auto Before = Simulation.recordedRollout();
  Simulation.Platform.Down = true;
  Simulation.Model = [](bool New, double) {
    return tests::call_model{New ? 0.9 : 0.005};
  };
  // The seat's lease expires after 10 s, so the vote must come before.
  Simulation.runSeconds(9);
  CHECK(Simulation.VotesSent == std::set<std::string>{"d0"});
  CHECK(Simulation.recordedRollout()->step() == Before->step());
  for (const char *Voter : {"d1", "d2", "d3"}) {
    control::vote Vote;
    Vote.set_service("sizing");
    Vote.set_version("v2");
    Vote.set_generation(5);
    Vote.set_voter(Voter);
    Simulation.Nodes[0]->Coordinator.onRecord(encodeVote(Vote));
  }
  Simulation.runSeconds(120);
  CHECK(phase(Simulation) == rollout_phase::Running);
  Simulation.Platform.Down = false;
  Simulation.Model = [](bool, double) { return tests::call_model{}; };
  Simulation.runSeconds(90);
  CHECK(phase(Simulation) == rollout_phase::RolledBack);
  CHECK(Simulation.hasDecision("condemned_by_votes"));
  CHECK(Simulation.Violations.empty());
}

TEST_CASE("a former holder writes nothing after a pause") {
  rollout_simulation Simulation(5);
  Simulation.accept(rolloutSnapshot(5, "v1", "v2"));
  Simulation.runSeconds(30);
  auto *First = Simulation.leader();
  REQUIRE(First != nullptr);
  // The pause starts while a write may be pending, whose response then arrives
  // much later.
  First->Paused = true;
  Simulation.runSeconds(60);
  auto *Second = Simulation.leader();
  const std::int64_t Token = Simulation.recordedRollout()->fencing_token();
  First->Paused = false;
  Simulation.runSeconds(300);
  CHECK(Simulation.recordedRollout()->fencing_token() >= Token);
  CHECK(Second != nullptr);
  CHECK(Simulation.Violations.empty());
}

TEST_CASE(
    "a superseded holder with a lease valid by its clock writes nothing") {
  rollout_simulation Simulation(6, 1);
  Simulation.accept(rolloutSnapshot(5, "v1", "v2"));
  Simulation.runSeconds(30);
  const auto Before = Simulation.recordedRollout();
  // Another daemon takes the seat while the first one's lease is still valid by
  // its own clock.
  const std::string Key = keys::coordinatorSeat("production");
  Simulation.Platform.commit({{}, {{Key, "other", 0}}, {}}, [](auto) {});
  Simulation.Platform.run();
  Simulation.Model = [](bool New, double) {
    return tests::call_model{New ? 0.9 : 0.005};
  };
  Simulation.runSeconds(30);
  CHECK(Simulation.recordedRollout()->step() == Before->step());
  CHECK(Simulation.Violations.empty());
}

TEST_CASE("lost responses, outages and pauses keep the order of records") {
  CHECK(rc::check("schedule", [](const std::vector<std::uint8_t> &Draws) {
    rollout_simulation Simulation(Draws.size() + 17);
    Simulation.accept(rolloutSnapshot(5, "v1", "v2", std::chrono::seconds(60)));
    std::uint64_t Version = 5;
    for (std::uint8_t Draw : Draws) {
      switch (Draw % 12) {
      case 0:
        Simulation.Platform.LoseResponses += 1;
        break;
      case 1:
        Simulation.Platform.DropCommits += 1;
        break;
      case 2:
        Simulation.Platform.Down = !Simulation.Platform.Down;
        break;
      case 3:
        Simulation.Nodes[Draw / 10 % 2]->Paused ^= true;
        break;
      case 4:
        ++Version;
        Simulation.accept(rolloutSnapshot(
            Version, "v1",
            Draw > 128 ? std::optional<std::string>(Draw > 192 ? "v2" : "v3")
                       : std::nullopt,
            std::chrono::seconds(60)));
        break;
      case 5:
        if (Simulation.Platform.pending() > 1)
          Simulation.Platform.runOne(Simulation.Platform.pending() - 1);
        break;
      case 6:
        Simulation.Platform.DelayCommits += 1;
        break;
      case 7:
        Simulation.Platform.applyDelayed();
        break;
      default:
        Simulation.runSecond(Draw % 2 == 0);
        Simulation.runSecond(Draw % 3 != 0);
      }
      Simulation.checkInvariants();
      RC_ASSERT(Simulation.Violations.empty());
    }
    // After all faults end, a new rollout must be recorded.
    Simulation.Platform.Down = false;
    Simulation.Platform.LoseResponses = Simulation.Platform.DropCommits = 0;
    Simulation.Platform.DelayCommits = 0;
    Simulation.Platform.applyDelayed();
    for (auto &Node : Simulation.Nodes)
      Node->Paused = false;
    Simulation.accept(rolloutSnapshot(++Version, "v1", "v2"));
    Simulation.runSeconds(100);
    RC_ASSERT(Simulation.recordedRollout().has_value());
    RC_ASSERT(Simulation.recordedRollout()->to_version() == "v2");
    RC_ASSERT(Simulation.Violations.empty());
  }));
}

TEST_CASE("a write that takes effect after its timeout does not undo a later "
          "one") {
  rollout_simulation Simulation(7, 1);
  Simulation.accept(rolloutSnapshot(5, "v1", "v2"));
  Simulation.runSeconds(20);
  const auto Before = Simulation.recordedRollout();
  Simulation.Platform.DelayCommits = 3;
  while (Simulation.Platform.DelayCommits > 0 && Simulation.Seconds < 200)
    Simulation.runSecond();
  Simulation.Model = [](bool New, double) {
    return tests::call_model{New ? 0.9 : 0.005};
  };
  Simulation.runSeconds(40);
  REQUIRE(phase(Simulation) == rollout_phase::RolledBack);
  Simulation.Platform.applyDelayed();
  Simulation.runSeconds(5);
  CHECK(phase(Simulation) == rollout_phase::RolledBack);
  CHECK(Simulation.recordedRollout()->step() > Before->step());
  CHECK(Simulation.Violations.empty());
}

TEST_CASE("calls made under another step do not count") {
  rollout_simulation Simulation(8, 1);
  Simulation.accept(rolloutSnapshot(5, "v1", "v2"));
  Simulation.runSeconds(20);
  const auto Record = Simulation.recordedRollout();
  for (bool Present : {false, true}) {
    const std::uint64_t Step = Record->step() + (Present ? 0 : 1);
    for (int I = 0; I < 6; ++I) {
      control::report_request Report;
      Report.set_from_instance("late" + std::to_string(I));
      auto &From = *Report.add_evidence();
      From.set_reporter(Report.from_instance());
      evidence_counts Counts;
      Counts.Failures = 50;
      *From.add_entries() = encodeEvidence("sizing", directiveRevision(5, Step),
                                           {"v2", "all", "dc1", "dc1"}, Counts);
      Simulation.Nodes[0]->Coordinator.onReport(Report, Simulation.Now);
    }
    Simulation.runSeconds(2);
    CHECK((phase(Simulation) == rollout_phase::RolledBack) == Present);
  }
}

TEST_CASE("document changes start, continue and close rollouts") {
  struct plan_case {
    const char *Name;
    rollout_phase Phase;
    bool Closed;
    std::string Stable;
    std::optional<std::string> To;
    const char *Rule; // null: no write
    std::uint64_t Generation;
    double Share;
  };
  using enum rollout_phase;
  const plan_case Cases[] = {
      {"continues", Running, false, "v1", "v2", nullptr, 0, 0},
      {"other target", Running, false, "v1", "v3", "begin", 9, 0.01},
      {"cancelled", Running, false, "v1", {}, "cancelled", 5, 0},
      {"adopted early", Running, false, "v2", {}, "adopted", 5, 1},
      {"adopted", Done, false, "v2", {}, "adopted", 5, 1},
      {"next rollout", Done, false, "v2", "v3", "begin", 9, 0.01},
      {"not retried", RolledBack, false, "v1", "v2", nullptr, 0, 0},
      {"closed", RolledBack, false, "v1", {}, "dropped", 5, 0},
      {"stays closed", RolledBack, true, "v1", {}, nullptr, 0, 0},
      {"retried", RolledBack, true, "v1", "v2", "begin", 9, 0.01},
      {"bad version adopted", RolledBack, false, "v2", {}, "adopted", 9, 1},
  };
  for (const plan_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    control::rollout_record Known;
    Known.set_service("sizing");
    Known.set_from_version("v1");
    Known.set_to_version("v2");
    Known.set_generation(5);
    Known.set_step(3);
    Known.set_phase(static_cast<std::uint32_t>(Case.Phase));
    Known.set_share(Case.Phase == Running ? 0.2 : Case.Phase == Done ? 1 : 0);
    Known.set_closed(Case.Closed);
    const auto Next = planRollout(*rolloutSnapshot(9, Case.Stable, Case.To),
                                  "sizing", &Known, std::chrono::hours(1));
    REQUIRE(Next.has_value() == (Case.Rule != nullptr));
    if (!Next)
      continue;
    CHECK(Next->decisions().rbegin()->rule() == Case.Rule);
    CHECK(Next->generation() == Case.Generation);
    CHECK(Next->share() == doctest::Approx(Case.Share));
    CHECK(planRollout(*rolloutSnapshot(9, Case.Stable, Case.To), "sizing",
                      &*Next, std::chrono::hours(1)) == std::nullopt);
  }
}

TEST_CASE("the decision log keeps the newest decisions") {
  control::rollout_record Record;
  for (int I = 0; I < MaxDecisions + 10; ++I)
    Record =
        applyAction(Record, {0, rollout_phase::Running, std::to_string(I), ""},
                    std::chrono::hours(1));
  CHECK(Record.decisions_size() == MaxDecisions);
  CHECK(Record.decisions().rbegin()->rule() == "73");
  CHECK(Record.step() == 0);
}

TEST_CASE("in force everywhere needs acknowledgements of all members") {
  struct convergence_case {
    const char *Name;
    std::vector<std::uint64_t> Applied; // by member; 0: no report
    int After;                          // seconds since the last report
    bool InForce;
  };
  const convergence_case Cases[] = {
      {"all", {9, 9, 9}, 1, true},
      {"one behind", {9, 9, 8}, 1, false},
      {"one behind, lease expired", {9, 9, 8, 9}, 300, false}, // no reports
      {"no reports", {0, 0, 0}, 8000, false},
      {"one unknown", {9, 9, 0}, 1, false},
  };
  for (const convergence_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    acknowledgement_tracker Tracker;
    state::time_point Now{std::chrono::hours(1)};
    Tracker.onHead(9, 1, {}, Now);
    std::vector<control::member> Members(Case.Applied.size());
    for (std::size_t I = 0; I < Members.size(); ++I)
      Members[I].set_instance("d" + std::to_string(I));
    Tracker.onMembers(Members, Now);
    for (std::size_t I = 0; I < Members.size(); ++I) {
      control::report_request::acknowledgement Ack;
      Ack.set_instance(Members[I].instance());
      Ack.set_applied_version(Case.Applied[I]);
      if (Case.Applied[I] > 0)
        Tracker.onAcknowledgement(Ack, Now);
    }
    const auto Later = Now + std::chrono::seconds(Case.After);
    CHECK(Tracker.convergence(Later, {}).in_force_everywhere() == Case.InForce);
    // Nothing is in force as long as members may be unknown.
    Tracker.setAllMembersKnown(false);
    CHECK(!Tracker.convergence(Later, {}).in_force_everywhere());
    CHECK(!Tracker.directiveInForce("s", 1, 1, Now, Later));
  }
}

TEST_CASE("an unreachable member counts until its lease has expired") {
  // With an initial lease of 60 s and factor 2, one more renewal before the
  // head lasts 120 s.
  acknowledgement_tracker Tracker;
  state::time_point Now{std::chrono::hours(1)};
  Tracker.onHead(9, 1, {}, Now);
  std::vector<control::member> Members(3);
  for (std::size_t I = 0; I < 3; ++I)
    Members[I].set_instance("d" + std::to_string(I));
  control::report_request::acknowledgement Ack;
  Ack.set_lease_remaining_ms(30000);
  bool InForce = false;
  int InForceAt = -1;
  for (int Second = 0; Second < 200;
       Second += 2, Now += std::chrono::seconds(2)) {
    Tracker.onMembers(Members, Now);
    for (int I = 0; I < 3; ++I) {
      Ack.set_instance("d" + std::to_string(I));
      Ack.set_applied_version(I == 2 ? 8 : 9);
      if (I != 2 || Second == 0)
        Tracker.onAcknowledgement(Ack, Now);
    }
    InForce = Tracker.convergence(Now, {}).in_force_everywhere();
    if (InForce && InForceAt < 0)
      InForceAt = Second;
  }
  CHECK(InForceAt == 120);
  CHECK(InForce);
}
