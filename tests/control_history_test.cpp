/// \file
/// Seeded histories of a few daemons under faults, with checkers for the order
/// of versions, whole snapshots, convergence, leases and statements. Repeat one
/// with HYSSOP_HISTORY_SEED=N.
#include "support/control_network.h"

#include <atomic>
#include <cstdlib>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace hyssopledge;
using namespace std::chrono_literals;
using tests::ablation;
using tests::control_network;

namespace {

constexpr std::size_t Daemons = 5;

class history {
public:
  history(std::uint64_t Seed, ablation Ablation)
      : Network(Seed, Daemons, Ablation) {}

  std::vector<std::string> run() {
    Network.accept();
    for (std::size_t I = 0; I < Daemons; ++I)
      Network.start(I);
    run(30s);
    for (int Step = 0; Step < 8; ++Step) {
      fault();
      run(std::chrono::milliseconds(draw(15000)));
      if (draw(2) == 0)
        Network.accept();
    }
    // All is well again: what is accepted now is in force within 16 s.
    Network.BlockedLinks.clear();
    Network.Loss = 0.01;
    Network.Store.Down = false;
    Network.Store.LoseResponses = 0;
    for (std::size_t I = 0; I < Daemons; ++I)
      if (!Network.running(I))
        Network.start(I);
    run(120s); // leases, seats and dead members recover
    Network.accept();
    run(16s);
    for (const auto &Node : Network.Nodes)
      if (Node.Agent->appliedVersion() != Network.LastVersion ||
          !Node.Agent->leaseValid(Network.Now))
        Network.addViolation("not converged: " + Node.Agent->status());
    return Network.Violations;
  }

private:
  std::uint64_t draw(std::uint64_t Bound) {
    return state::uniformBelow(Network.Random, Bound);
  }
  void run(std::chrono::milliseconds Time) {
    for (std::chrono::milliseconds T{0}; T < Time; T += 500ms) {
      Network.run(500ms);
      Network.checkLeasesAndConvergence();
    }
  }
  void fault() {
    const std::size_t Node = draw(Daemons);
    switch (draw(9)) {
    case 0:
      Network.kill(Node);
      break;
    case 1:
      // Without its memory. Nothing can tell it of versions that only daemons
      // beyond a cut have, so its own links are whole; other daemons may lag.
      std::erase_if(Network.BlockedLinks, [Node](const auto &Cut) {
        return Cut.first == Node || Cut.second == Node;
      });
      Network.start(Node);
      break;
    case 2:
      Network.freeze(Node, std::chrono::milliseconds(draw(60000)));
      break;
    case 3:
      Network.BlockedLinks.insert({Node, draw(Daemons)});
      break;
    case 4: // isolated, now and then one way only
      for (std::size_t Other = 0; Other < Daemons; ++Other) {
        Network.BlockedLinks.insert({Node, Other});
        if (draw(4) != 0)
          Network.BlockedLinks.insert({Other, Node});
      }
      Network.BlockedLinks.insert({Node, control_network::PlatformNode});
      Network.BlockedLinks.insert({control_network::PlatformNode, Node});
      break;
    case 5:
      Network.BlockedLinks.clear();
      break;
    case 6:
      Network.Store.Down = !Network.Store.Down;
      if (Network.Store.Down)
        Network.Store.breakWatches();
      break;
    case 7:
      Network.Store.LoseResponses = 2;
      break;
    default:
      Network.Loss = draw(2) == 0 ? 0.0 : 0.1;
      break;
    }
  }

  control_network Network;
};

std::vector<std::string> runHistory(std::uint64_t Seed, ablation Ablation) {
  return history(Seed, Ablation).run();
}

} // namespace

TEST_CASE("histories under faults keep the promises") {
  const char *Only = std::getenv("HYSSOP_HISTORY_SEED");
  const char *CountText = std::getenv("HYSSOP_HISTORY_COUNT");
  const std::uint64_t First = Only != nullptr ? std::stoull(Only) : 1;
  const std::uint64_t Count =
      Only != nullptr ? 1
                      : (CountText != nullptr ? std::stoull(CountText) : 600);
  std::atomic<std::uint64_t> Next{First};
  std::mutex Guard;
  std::vector<std::string> Failed;
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int I = 0; I < 4; ++I)
    Threads.emplace_back([&] {
      for (std::uint64_t Seed = Next++; Seed < First + Count; Seed = Next++) {
        const auto Violations = runHistory(Seed, ablation::None);
        const std::lock_guard<std::mutex> Lock(Guard);
        for (const std::string &Violation : Violations)
          Failed.push_back(
              "seed " + std::to_string(Seed) + ": " + Violation +
              "; repeat: HYSSOP_HISTORY_SEED=" + std::to_string(Seed) +
              " build/tests/control_history_test");
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  for (std::size_t I = 0; I < Failed.size() && I < 20; ++I)
    MESSAGE(Failed[I]);
  CHECK(Failed.size() == 0);
}

TEST_CASE("each checker finds the violation when its mechanism is left out") {
  struct variant {
    ablation Ablation;
    const char *Text; // of the expected violation
  };
  const variant Cases[] = {
      {ablation::Floor, "goes back"},
      {ablation::Completeness, "not whole"},
      {ablation::Gossip, "not converged"},
      {ablation::BootClock, "acts after its lease"},
      {ablation::Acknowledgement, "false statement"},
  };
  for (const variant &Case : Cases) {
    CAPTURE(std::string(Case.Text));
    bool Found = false;
    for (std::uint64_t Seed = 1; Seed <= 1000 && !Found; ++Seed)
      for (const std::string &Violation : runHistory(Seed, Case.Ablation))
        Found = Found || Violation.starts_with(Case.Text);
    CHECK(Found);
  }
}
