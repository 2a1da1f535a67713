/// \file
/// Starts fleets without bootstrap peers on the simulated network. Daemons that
/// read the relay seats before any was taken used to stay alone for good: they
/// were missing in the convergence count and got no lease.
#include "support/control_network.h"

#include <doctest/doctest.h>

using namespace hyssopledge;
using namespace std::chrono_literals;
using tests::ablation;
using tests::control_network;

namespace {

struct start_case {
  const char *Name;
  std::size_t Daemons;
  std::size_t DataCentres;
  std::chrono::milliseconds MaxStartDelay; // of the first platform read
  std::chrono::milliseconds OutageEnd;     // of the platform, from the start
  std::uint64_t Seeds;
};

struct start_result {
  std::size_t MembersCounted = 0; // when first stated as in force everywhere
  std::string Problem;
};

/// Starts the fleet, accepts a document and waits for two minutes.
start_result runStart(const start_case &Case, std::uint64_t Seed) {
  control_network Network(Seed, Case.Daemons, ablation::None, Case.DataCentres);
  for (auto &Node : Network.Nodes) {
    Node.Options.BootstrapPeers.clear();
    Node.Options.MaxStartDelay = Case.MaxStartDelay;
  }
  Network.accept();
  Network.Store.Down = Case.OutageEnd > 0ms;
  Network.schedule(Network.Now + Case.OutageEnd,
                   [&Network] { Network.Store.Down = false; });
  for (std::size_t I = 0; I < Case.Daemons; ++I)
    Network.start(I);
  start_result Result;
  for (std::chrono::milliseconds Elapsed{0}; Elapsed < 120s; Elapsed += 250ms) {
    Network.run(250ms);
    Network.checkLeasesAndConvergence();
    for (const auto &Node : Network.Nodes) {
      const auto Convergence = Node.Agent->convergence();
      if (Convergence.in_force_everywhere() && Result.MembersCounted == 0)
        Result.MembersCounted = Convergence.members();
    }
  }
  for (const auto &Node : Network.Nodes)
    if (!Node.Agent->leaseValid(Network.Now) ||
        Node.Agent->store().liveCount() != Case.Daemons)
      Result.Problem += Node.Agent->status() + "\n";
  for (const std::string &Violation : Network.Violations)
    Result.Problem += Violation + "\n";
  return Result;
}

/// Starts one more daemon, in a data centre with others or in one of its own,
/// that reaches the platform but none of the daemons, and accepts a version.
std::vector<std::string> runIsolatedJoin(bool OwnDataCentre,
                                         std::uint64_t Seed) {
  constexpr std::size_t Late = 4;
  control_network Network(Seed, Late + 1, ablation::None);
  Network.Nodes[Late].Options.BootstrapPeers.clear();
  if (OwnDataCentre)
    Network.Nodes[Late].Options.DataCentre = "dc9";
  Network.accept();
  for (std::size_t I = 0; I < Late; ++I) {
    Network.start(I);
    Network.BlockedLinks.insert({I, Late});
    Network.BlockedLinks.insert({Late, I});
  }
  const auto Run = [&Network](std::chrono::milliseconds Time) {
    for (std::chrono::milliseconds Elapsed{0}; Elapsed < Time;
         Elapsed += 100ms) {
      Network.run(100ms);
      Network.checkLeasesAndConvergence();
    }
  };
  Run(90s);
  Network.start(Late);
  Run(std::chrono::milliseconds(state::uniformBelow(Network.Random, 60000)));
  Network.accept();
  Run(60s);
  return Network.Violations;
}

/// Restarts a daemon during an outage of the platform. Returns how long it
/// takes until the newest version is in force there.
std::chrono::milliseconds runRestartInOutage(std::chrono::milliseconds Absence,
                                             std::uint64_t Seed) {
  constexpr std::size_t Daemons = 5;
  constexpr std::size_t Restarted = 3;
  control_network Network(Seed, Daemons, ablation::None);
  for (auto &Node : Network.Nodes)
    Node.Options.BootstrapPeers.clear();
  Network.accept();
  for (std::size_t I = 0; I < Daemons; ++I)
    Network.start(I);
  Network.run(20s);
  Network.accept();
  Network.run(10s);
  Network.Store.Down = true;
  Network.Store.breakWatches();
  Network.kill(Restarted);
  Network.run(Absence);
  Network.start(Restarted);
  const auto &Node = Network.Nodes[Restarted];
  std::chrono::milliseconds Elapsed{0};
  while (Elapsed < 60s && Node.Agent->appliedVersion() != Network.LastVersion) {
    Network.run(100ms);
    Elapsed += 100ms;
  }
  return Elapsed;
}

} // namespace

TEST_CASE("daemons that start together find each other and are all counted") {
  const start_case Cases[] = {
      {"three daemons in two data centres", 3, 2, 4s, 0s, 200},
      {"all at the same moment", 3, 2, 0s, 0s, 100},
      {"eight daemons in three data centres", 8, 3, 4s, 0s, 50},
      {"platform returns after the start", 3, 2, 4s, 12s, 100},
  };
  for (const start_case &Case : Cases)
    for (std::uint64_t Seed = 1; Seed <= Case.Seeds; ++Seed) {
      CAPTURE(std::string(Case.Name));
      CAPTURE(Seed);
      const start_result Result = runStart(Case, Seed);
      CHECK(Result.Problem == "");
      CHECK(Result.MembersCounted == Case.Daemons);
    }
}

TEST_CASE("no version is stated as in force while an isolated new daemon acts "
          "on an older one") {
  struct join_case {
    const char *Name;
    bool OwnDataCentre;
  };
  const join_case Cases[] = {
      {"in a data centre with relays", false},
      {"in a data centre of its own", true},
  };
  for (const join_case &Case : Cases)
    for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
      CAPTURE(std::string(Case.Name));
      CAPTURE(Seed);
      for (const std::string &Violation :
           runIsolatedJoin(Case.OwnDataCentre, Seed))
        FAIL_CHECK(Violation);
    }
}

TEST_CASE("a daemon that restarts during an outage of the platform gets the "
          "version from its peers within 16 s") {
  struct restart_case {
    const char *Name;
    std::chrono::milliseconds Absence;
  };
  const restart_case Cases[] = {
      {"at once", 10ms},
      {"before its failure is noticed", 1500ms},
      {"while it is suspected", 4s},
      {"after it was declared dead", 20s},
  };
  for (const restart_case &Case : Cases)
    for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
      CAPTURE(std::string(Case.Name));
      CAPTURE(Seed);
      CHECK(runRestartInOutage(Case.Absence, Seed) <= 16s);
    }
}
