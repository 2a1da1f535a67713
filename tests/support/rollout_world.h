/// \file
/// Simulation of rollouts: coordinators on a fake platform, and members that
/// apply directives, generate calls from a model and send reports.
#pragma once

#include "hyssopledge/coordination/coordinator.h"
#include "hyssopledge/coordination/keys.h"
#include "support/fake_platform.h"
#include "support/rollout_evidence.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace hyssopledge::tests {

inline std::shared_ptr<const state::snapshot> rolloutSnapshot(
    std::uint64_t Version, const std::string &Stable,
    const std::optional<std::string> &To,
    std::chrono::seconds CompleteWithin = std::chrono::seconds(600)) {
  state::document Document;
  Document.Environment = "production";
  state::service_spec Service;
  Service.Name = "sizing";
  Service.Versions = {"v1", "v2", "v3"};
  Service.StableVersion = Stable;
  if (To) {
    Service.Rollout.emplace();
    Service.Rollout->ToVersion = *To;
    Service.Rollout->CompleteWithin = CompleteWithin;
    Service.Rollout->WatchPeriod = std::chrono::seconds(120);
  }
  Document.Services = {Service};
  return state::buildSnapshot(Version, "", Document).value();
}

class rollout_world {
public:
  static constexpr int Members = 6;

  using policy_factory =
      std::function<std::unique_ptr<coordination::rollout_policy>()>;
  explicit rollout_world(
      std::uint64_t Seed, int Coordinators = 2,
      const policy_factory &Policy =
          [] { return coordination::makeEvidencePolicy(); })
      : Random(Seed), Platform([this] { return Now; }) {
    for (int I = 0; I < Coordinators; ++I)
      Nodes.push_back(std::make_unique<node>(*this, I, Policy()));
    for (int I = 0; I < Members; ++I) {
      control::member &Member = Listed.emplace_back();
      Member.set_instance("d" + std::to_string(I));
      Member.set_incarnation(1);
      Member.set_control_address("10.0.0." + std::to_string(I) + ":7001");
      control::target &Target = *Member.add_targets();
      Target.set_service("sizing");
      Target.set_version(I % 2 == 0 ? "v1" : "v2");
      DirectiveStores.emplace_back();
      Applied.push_back(0);
    }
  }

  struct node {
    node(rollout_world &World, int Index,
         std::unique_ptr<coordination::rollout_policy> Policy)
        : Seat({.Key = coordination::keys::coordinatorSeat("production"),
                .Value = "d" + std::to_string(Index)},
               World.Random),
          Runner(World.Platform, Seat, [&World] { return World.Now; }),
          Coordinator(
              {.Environment = "production",
               .Instance = "d" + std::to_string(Index)},
              World.Platform, Seat, std::move(Policy),
              [&World](const auto &Record) { World.gossip(Record); },
              [&World] { return World.Now; }) {}
    coordination::seat Seat;
    coordination::seat_runner Runner;
    coordination::coordinator Coordinator;
    bool Paused = false;
  };

  //--- Simulation -------------------------------------------------------------
  void accept(const std::shared_ptr<const state::snapshot> &Snapshot) {
    for (auto &Node : Nodes)
      Node->Coordinator.onSnapshot(Snapshot, unixNow().count(), Now);
    for (int I = 0; I < Members; ++I)
      if (!GossipBlocked.contains(I))
        Applied[static_cast<std::size_t>(I)] = Snapshot->Version;
  }

  /// Simulates one second of calls, reports and ticks. Platform calls complete
  /// only if Deliver is set.
  void runSecond(bool Deliver = true) {
    Now += std::chrono::seconds(1);
    Platform.expireLeases();
    if (++Seconds % 2 == 0)
      report();
    for (auto &Node : Nodes) {
      if (Node->Paused)
        continue;
      Node->Coordinator.onMembers(Listed, Now);
      Node->Runner.onTick(Now);
      Node->Coordinator.tick(Now, unixNow());
    }
    if (Deliver)
      Platform.run();
    checkInvariants();
  }
  void runSeconds(int Count) {
    for (int I = 0; I < Count; ++I)
      runSecond();
  }

  /// Gives all members the newest directives, as a full sync does.
  void resync() {
    for (auto &From : DirectiveStores)
      for (const auto &Record : From.records())
        for (auto &To : DirectiveStores)
          (void)To.accept(Record);
  }

  /// Checks the invariants and adds each violation to Violations.
  void checkInvariants() {
    const auto Record = recordedRollout();
    if (!Record)
      return;
    const auto Position = std::tuple(Record->generation(), Record->step());
    if (Position < LastPosition)
      addViolation("the recorded step went back");
    if (Position > LastPosition && Record->fencing_token() < LastToken)
      addViolation("a former holder wrote after its successor");
    if (Position > LastPosition)
      Recorded.insert({Record->generation(), Record->step(), Record->share()});
    LastPosition = std::max(LastPosition, Position);
    LastToken = std::max(LastToken, Record->fencing_token());
    for (const auto &Directive : Published)
      if (!Recorded.contains(Directive))
        addViolation("a directive was published before it was recorded");
    LargestShare = std::max(LargestShare, Record->share());
    const bool Complete = CompleteWithoutAcks
                              ? Record->share() >= 1
                              : coordination::isComplete(*Record);
    if (Complete && !WasComplete)
      for (const coordination::directive_store &DirectiveStore :
           DirectiveStores) {
        const auto Table = DirectiveStore.directives();
        auto Found = Table->ByService.find("sizing");
        if (Found == Table->ByService.end() || Found->second.Share < 1)
          addViolation("complete was logged too early");
      }
    WasComplete = Complete;
  }
  void addViolation(const std::string &Text) { Violations.insert(Text); }

  std::optional<control::rollout_record> recordedRollout() const {
    auto Found = Platform.entries().find(
        coordination::keys::rollout("production", "sizing"));
    if (Found == Platform.entries().end())
      return std::nullopt;
    control::rollout_record Record;
    Record.ParseFromString(Found->second.Value);
    return Record;
  }
  std::optional<control::convergence> recordedConvergence() const {
    auto Found =
        Platform.entries().find(coordination::keys::convergence("production"));
    if (Found == Platform.entries().end())
      return std::nullopt;
    control::convergence Convergence;
    Convergence.ParseFromString(Found->second.Value);
    return Convergence;
  }
  bool hasDecision(const std::string &Rule) const {
    const auto Record = recordedRollout();
    if (Record)
      for (const control::decision &Decision : Record->decisions())
        if (Decision.rule() == Rule)
          return true;
    return false;
  }
  std::chrono::milliseconds unixNow() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Now.time_since_epoch()) +
           std::chrono::hours(400'000);
  }
  node *leader() {
    for (auto &Node : Nodes)
      if (Node->Coordinator.isLeading())
        return Node.get();
    return nullptr;
  }

  state::random_engine Random;
  state::time_point Now{std::chrono::hours(1)};
  fake_platform Platform;
  std::vector<std::unique_ptr<node>> Nodes;
  std::vector<control::member> Listed;
  std::vector<coordination::directive_store> DirectiveStores; // by member
  std::vector<std::uint64_t> Applied;                         // by member
  std::set<int> GossipBlocked;     // members without gossip and heads
  std::set<int> ReportsBlocked;    // members whose reports are lost
  std::set<std::string> VotesSent; // voters
  std::set<std::string> Violations;
  std::function<call_model(bool New, double Share)> Model = [](bool, double) {
    return call_model{};
  };
  double CallsPerSecond = 300;
  std::uint64_t NewCalls = 0;
  double LargestShare = 0;          // recorded
  bool CompleteWithoutAcks = false; // tests the checker
  int Seconds = 0;

private:
  void gossip(const control::gossip_record &Record) {
    if (Record.kind() == control::RECORD_VOTE) {
      control::vote Vote;
      Vote.ParseFromString(Record.payload());
      VotesSent.insert(Vote.voter());
      return;
    }
    control::rollout_record Directive;
    Directive.ParseFromString(Record.payload());
    Published.insert(
        {Directive.generation(), Directive.step(), Directive.share()});
    for (int I = 0; I < Members; ++I)
      if (!GossipBlocked.contains(I))
        (void)DirectiveStores[static_cast<std::size_t>(I)].accept(Record);
  }

  void report() {
    for (int I = 0; I < Members; ++I) {
      const auto &DirectiveStore = DirectiveStores[static_cast<std::size_t>(I)];
      control::report_request Report;
      Report.set_from_instance("d" + std::to_string(I));
      Report.set_sequence(static_cast<std::uint64_t>(Seconds));
      auto &Ack = *Report.add_acknowledgements();
      Ack.set_instance("d" + std::to_string(I));
      Ack.set_incarnation(1);
      Ack.set_applied_version(Applied[static_cast<std::size_t>(I)]);
      Ack.set_lease_remaining_ms(30000);
      for (const auto &Position : DirectiveStore.positions())
        *Ack.add_directives() = Position;
      auto &Evidence = *Report.add_evidence();
      // Each member is a reporter of its own, so that no single one decides.
      Evidence.set_reporter("d" + std::to_string(I));
      const auto Table = DirectiveStore.directives();
      for (const auto &[Service, Directive] : Table->ByService)
        for (bool New : {false, true}) {
          const double Share = New ? Directive.Share : 1 - Directive.Share;
          const auto Counts = sampleCalls(
              Random, poisson(Random, CallsPerSecond * 2 / Members * Share),
              Model(New, Directive.Share));
          if (New)
            NewCalls += Counts.calls();
          if (Counts.calls() > 0)
            *Evidence.add_entries() = coordination::encodeEvidence(
                Service,
                coordination::directiveRevision(Directive.Generation,
                                                Directive.Step),
                {New ? Directive.ToVersion : Directive.FromVersion, "all",
                 "dc1", "dc" + std::to_string(I % 3)},
                Counts);
        }
      if (ReportsBlocked.contains(I))
        continue;
      for (auto &Node : Nodes)
        if (!Node->Paused)
          Node->Coordinator.onReport(Report, Now);
    }
  }

  std::set<std::tuple<std::uint64_t, std::uint64_t, double>> Recorded;
  std::set<std::tuple<std::uint64_t, std::uint64_t, double>> Published;
  std::tuple<std::uint64_t, std::uint64_t> LastPosition{0, 0};
  std::int64_t LastToken = 0;
  bool WasComplete = false;
};

} // namespace hyssopledge::tests
