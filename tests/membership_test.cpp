/// \file
/// Guards failure detection, refutation, leave, return with a higher
/// incarnation, one-way link failures, recovery from a long partition, and a
/// cost that does not grow with the fleet.
#include "support/gossip_network.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace hyssopledge;
using namespace std::chrono_literals;
using tests::gossip_network;

namespace {

std::unique_ptr<gossip_network> makeFleet(std::size_t Count,
                                          std::uint64_t Seed) {
  auto Network = std::make_unique<gossip_network>(Seed);
  for (std::size_t I = 0; I < Count; ++I) {
    Network->add();
    if (I > 0)
      Network->sync(*Network->Nodes[I], *Network->Nodes[0]);
  }
  return Network;
}

/// Returns the seconds until the condition holds, or -1 if it does not within
/// the limit.
int secondsUntil(gossip_network &Network, int Limit,
                 const std::function<bool()> &Done) {
  for (int Second = 0; Second <= Limit; ++Second) {
    if (Done())
      return Second;
    Network.run(1s);
  }
  return -1;
}

} // namespace

TEST_CASE("members join, fail and return") {
  struct fleet_case {
    std::size_t Count;
    double Loss;
    int MaxDetectionSeconds; // bound for a death to be known to all
  };
  const fleet_case Cases[] = {{2, 0, 12}, {5, 0.05, 14}, {64, 0.02, 30}};
  for (const fleet_case &Case : Cases)
    for (std::uint64_t Seed = 1; Seed <= (Case.Count > 20 ? 1 : 5); ++Seed) {
      CAPTURE(Case.Count);
      CAPTURE(Seed);
      auto Network = makeFleet(Case.Count, Seed);
      Network->Loss = Case.Loss;
      REQUIRE(secondsUntil(*Network, 30, [&] {
                return Network->allNodesSeeAllAlive();
              }) >= 0);
      // Stops the daemon through which all others joined.
      Network->Nodes[0]->Up = false;
      const int Detected = secondsUntil(*Network, 60, [&] {
        return Network->allNodesSee(0, control::MEMBER_DEAD);
      });
      CHECK(Detected >= 5); // suspicion lasts 5 periods
      CHECK(Detected <= Case.MaxDetectionSeconds);
      Network->restart(0, 1);
      CHECK(secondsUntil(*Network, 40,
                         [&] { return Network->allNodesSeeAllAlive(); }) >= 0);
      CHECK(Network->Nodes[1]->Store.findMember("i0")->incarnation() > 1);
    }
}

TEST_CASE("a daemon that restarts and finds nobody learns of its peers") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    auto Network = makeFleet(5, Seed);
    // After this time no daemon sends its own record any more.
    Network->run(60s);
    Network->restartAlone(3, 2);
    CHECK(secondsUntil(*Network, 16, [&] {
            return Network->Nodes[3]->Store.liveCount() == 5;
          }) >= 0);
  }
}

TEST_CASE("a leave is known at once and stays, and a return is accepted") {
  auto Network = makeFleet(10, 1);
  Network->run(5s);
  auto &Leaver = *Network->Nodes[4];
  for (int I = 0; I < 3; ++I) {
    Network->send(Leaver, Leaver.Members.leave(Network->Now));
    Network->run(250ms);
  }
  Leaver.Up = false;
  CHECK(secondsUntil(*Network, 5, [&] {
          return Network->allNodesSee(4, control::MEMBER_LEFT);
        }) >= 0);
  Network->run(30s);
  CHECK(Network->allNodesSee(4, control::MEMBER_LEFT));
  Network->restart(4, 0);
  CHECK(secondsUntil(*Network, 20,
                     [&] { return Network->allNodesSeeAllAlive(); }) >= 0);
}

TEST_CASE("a one-way or single-link failure makes no reachable member dead") {
  struct link_case {
    const char *Name;
    std::vector<std::pair<std::size_t, std::size_t>> BlockedLinks;
  };
  const link_case Cases[] = {
      {"one direction of a link", {{1, 2}}},
      {"both directions of a link", {{1, 2}, {2, 1}}},
      {"a ring of one-way failures", {{0, 1}, {1, 2}, {2, 3}, {3, 4}}},
  };
  for (const link_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Network = makeFleet(12, 3);
    Network->run(10s);
    Network->BlockedLinks.insert(Case.BlockedLinks.begin(),
                                 Case.BlockedLinks.end());
    for (int Second = 0; Second < 120; ++Second) {
      Network->run(1s);
      for (std::size_t I = 0; I < 12; ++I)
        for (std::size_t J = 0; J < 12; ++J)
          if (I != J)
            REQUIRE(Network->status(I, J) != control::MEMBER_DEAD);
    }
  }
}

TEST_CASE("a daemon that receives no packets reports no majority") {
  auto Network = makeFleet(8, 4);
  Network->run(10s);
  for (std::size_t I = 1; I < 8; ++I)
    Network->BlockedLinks.insert({I, 0}); // daemon 0 can still send
  Network->run(5s);
  CHECK_FALSE(Network->Nodes[0]->Members.majorityReachable(Network->Now));
  Network->run(60s);
  CHECK_FALSE(Network->Nodes[0]->Members.majorityReachable(Network->Now));
  CHECK(Network->Nodes[1]->Members.majorityReachable(Network->Now));
  // Its suspicions of all others do not make any of them dead.
  for (std::size_t I = 2; I < 8; ++I)
    CHECK(Network->status(1, I) != control::MEMBER_DEAD);
}

TEST_CASE("a daemon that was paused suspects no member afterwards") {
  auto Network = makeFleet(6, 5);
  Network->run(10s);
  Network->Nodes[0]->Up = false;
  Network->run(60s);
  Network->Nodes[0]->Up = true;
  for (int I = 0; I < 20; ++I) {
    Network->run(1s);
    for (std::size_t J = 1; J < 6; ++J)
      REQUIRE(Network->status(0, J) == control::MEMBER_ALIVE);
  }
  CHECK(secondsUntil(*Network, 60,
                     [&] { return Network->allNodesSeeAllAlive(); }) >= 0);
}

TEST_CASE("partitioned regions rejoin after an hour") {
  auto Network = makeFleet(12, 6);
  Network->run(10s);
  for (std::size_t I = 0; I < 6; ++I)
    for (std::size_t J = 6; J < 12; ++J)
      Network->blockBothWays(I, J);
  Network->run(1h);
  CHECK(Network->status(0, 11) == control::MEMBER_DEAD);
  // Two equal halves: neither side has a majority.
  CHECK_FALSE(Network->Nodes[0]->Members.majorityReachable(Network->Now));
  Network->BlockedLinks.clear();
  bool OwnSideDead = false;
  const int Healed = secondsUntil(*Network, 90, [&] {
    for (std::size_t I = 0; I < 6; ++I)
      OwnSideDead |= Network->status(0, I) == control::MEMBER_DEAD && I != 0;
    return Network->allNodesSeeAllAlive();
  });
  MESSAGE("healed after ", Healed, " s");
  CHECK(Healed >= 0);
  CHECK_FALSE(OwnSideDead);
}

TEST_CASE("the cost of a daemon does not grow with the fleet") {
  std::vector<double> BytesPerSecond;
  for (std::size_t Count : {16, 48, 128}) {
    auto Network = makeFleet(Count, 7);
    Network->run(150s);
    std::uint64_t Before = 0;
    std::uint64_t After = 0;
    for (const auto &Node : Network->Nodes)
      Before += Node->BytesOut;
    Network->run(20s);
    for (const auto &Node : Network->Nodes)
      After += Node->BytesOut;
    BytesPerSecond.push_back(static_cast<double>(After - Before) / 20 /
                             static_cast<double>(Count));
  }
  MESSAGE("bytes/s for each daemon at 16, 48, 128: ", BytesPerSecond[0], " ",
          BytesPerSecond[1], " ", BytesPerSecond[2]);
  CHECK(BytesPerSecond[2] < 1.5 * BytesPerSecond[0]);
  CHECK(BytesPerSecond[2] < 1000);
}

TEST_CASE("packets of another environment or without sender are refused") {
  auto Network = makeFleet(2, 8);
  control::gossip_packet Packet;
  Packet.set_environment("production");
  Packet.set_kind(control::PACKET_PING);
  Packet.set_from_instance("i1");
  Packet.set_from_address("1");
  auto &Members = Network->Nodes[0]->Members;
  CHECK(Members.onPacket(Network->Now, Packet).has_value());
  using change = std::function<void(control::gossip_packet &)>;
  const change Changes[] = {
      [](auto &P) { P.set_environment("trial"); },
      [](auto &P) { P.clear_from_instance(); },
      [](auto &P) { P.clear_from_address(); },
      [](auto &P) { P.clear_kind(); },
      [](auto &P) { P.add_members(); },
      [](auto &P) { P.add_records(); },
  };
  for (const change &Change : Changes) {
    control::gossip_packet Bad = Packet;
    Change(Bad);
    CHECK(Members.onPacket(Network->Now, Bad).has_error());
  }
}
