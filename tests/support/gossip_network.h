/// \file
/// Simulated network of many memberships with seeded delay, loss and blocked
/// links, on a manual clock. Full syncs are exchanged directly.
#pragma once

#include "hyssopledge/coordination/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssopledge::tests {

class gossip_network {
public:
  struct node {
    node(std::size_t Index, coordination::membership_options Options,
         state::random_engine &Random)
        : Index(Index), Store(Options.Self.instance()),
          Members(std::move(Options), Store, Random) {}
    std::size_t Index;
    coordination::gossip_store Store;
    coordination::membership Members;
    bool Up = true;
    std::uint64_t PacketsOut = 0;
    std::uint64_t BytesOut = 0;
    std::uint64_t SyncBytes = 0;
  };

  explicit gossip_network(std::uint64_t Seed) : Random(Seed) {}

  node &add(std::uint64_t Incarnation = 1) {
    Nodes.push_back(make(Nodes.size(), Incarnation));
    return *Nodes.back();
  }
  /// Starts a new process of the instance without state and with incarnation
  /// hint 1. Like the agent, it syncs with a peer before it starts.
  void restart(std::size_t Index, std::size_t Through) {
    Nodes[Index] = make(Index, 1, Nodes[Through].get());
  }
  /// Starts a new process that reaches no peer, as without the platform.
  void restartAlone(std::size_t Index, std::uint64_t Incarnation) {
    Nodes[Index] = make(Index, Incarnation);
  }
  void sync(node &From, node &To) {
    control::sync_request Request;
    control::sync_response Response;
    From.Store.exportAll(Now, Request.mutable_members(),
                         Request.mutable_records());
    (void)To.Store.merge(Now, Request.members(), Request.records(), true);
    To.Members.onMerged(Now);
    To.Store.exportAll(Now, Response.mutable_members(),
                       Response.mutable_records());
    (void)From.Store.merge(Now, Response.members(), Response.records(), true);
    From.Members.onMerged(Now);
    From.SyncBytes += Request.ByteSizeLong() + Response.ByteSizeLong();
    To.SyncBytes += Request.ByteSizeLong() + Response.ByteSizeLong();
  }
  void send(node &From, std::vector<coordination::outgoing_packet> Packets) {
    for (coordination::outgoing_packet &Packet : Packets) {
      ++From.PacketsOut;
      From.BytesOut += Packet.Packet.ByteSizeLong();
      const std::size_t To = std::stoul(Packet.Address);
      if (To >= Nodes.size() || BlockedLinks.contains({From.Index, To}) ||
          state::unitInterval(Random()) < Loss)
        continue;
      const auto Delay =
          std::chrono::microseconds(500 + state::uniformBelow(Random, 4500));
      InFlight.emplace(Now + Delay,
                       std::make_pair(To, std::move(Packet.Packet)));
    }
  }
  /// Advances the time in steps of a quarter of the protocol period.
  void run(state::milliseconds Time) {
    const state::time_point End = Now + Time;
    while (Now < End) {
      const state::time_point Step = Now + std::chrono::milliseconds(250);
      while (!InFlight.empty() && InFlight.begin()->first <= Step) {
        auto Due = InFlight.extract(InFlight.begin());
        Now = Due.key();
        node &To = *Nodes[Due.mapped().first];
        if (!To.Up)
          continue;
        auto Replies = To.Members.onPacket(Now, Due.mapped().second);
        if (Replies)
          send(To, std::move(Replies.value()));
        if (OnPacketHandled)
          OnPacketHandled(To);
      }
      Now = Step;
      for (auto &Node : Nodes) {
        if (!Node->Up)
          continue;
        send(*Node, Node->Members.onTick(Now));
        const auto Peer = Node->Members.takeSyncPeer(Now);
        if (!Peer)
          continue;
        node &To = *Nodes[std::stoul(Peer->gossip_address())];
        if (To.Up && !BlockedLinks.contains({Node->Index, To.Index}) &&
            !BlockedLinks.contains({To.Index, Node->Index}))
          sync(*Node, To);
      }
    }
  }
  void blockBothWays(std::size_t Left, std::size_t Right) {
    BlockedLinks.insert({Left, Right});
    BlockedLinks.insert({Right, Left});
  }
  control::member_status status(std::size_t Viewer, std::size_t Subject) const {
    const control::member *Member =
        Nodes[Viewer]->Store.findMember("i" + std::to_string(Subject));
    return Member == nullptr ? control::MEMBER_DEAD : Member->status();
  }
  /// Whether all running nodes see the status.
  bool allNodesSee(std::size_t Subject, control::member_status Status) const {
    for (const auto &Node : Nodes)
      if (Node->Up && Node->Index != Subject &&
          status(Node->Index, Subject) != Status)
        return false;
    return true;
  }
  bool allNodesSeeAllAlive() const {
    for (const auto &Node : Nodes)
      if (!allNodesSee(Node->Index, control::MEMBER_ALIVE))
        return false;
    return true;
  }

  state::time_point Now{std::chrono::hours(1)};
  state::random_engine Random;
  double Loss = 0;
  std::function<void(node &)> OnPacketHandled; // after each packet
  std::set<std::pair<std::size_t, std::size_t>> BlockedLinks; // from, to
  std::vector<std::unique_ptr<node>> Nodes;

private:
  std::unique_ptr<node> make(std::size_t Index, std::uint64_t Incarnation,
                             node *Through = nullptr) {
    coordination::membership_options Options;
    Options.Environment = "production";
    Options.Self.set_instance("i" + std::to_string(Index));
    Options.Self.set_data_centre("dc" + std::to_string(Index % 7));
    Options.Self.set_gossip_address(std::to_string(Index));
    Options.Self.set_control_address("10.0.0.1:" + std::to_string(Index));
    Options.Self.set_data_address("10.0.0.2:" + std::to_string(Index));
    auto *Target = Options.Self.add_targets();
    Target->set_service("reservations");
    Target->set_version("v1");
    Target->set_slots(12);
    auto Node = std::make_unique<node>(Index, std::move(Options), Random);
    if (Through != nullptr)
      sync(*Node, *Through);
    Node->Members.start(Now, Incarnation);
    return Node;
  }

  std::multimap<state::time_point,
                std::pair<std::size_t, control::gossip_packet>>
      InFlight;
};

} // namespace hyssopledge::tests
