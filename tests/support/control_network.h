/// \file
/// Simulated network of a few control agents with seeded delay, loss, blocked
/// links, frozen processes and restarts, on a manual clock.
#pragma once

#include "hyssopledge/coordination/control_agent.h"
#include "support/control_documents.h"
#include "support/fake_platform.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssopledge::tests {

/// Mechanism that a test variant disables, to show that a checker detects its
/// absence.
enum class ablation {
  None,
  Floor,           // a restarted daemon gets a floor of 0
  Completeness,    // snapshots lack their last service
  Gossip,          // daemons do not exchange new heads
  BootClock,       // the clock stops while a process is frozen
  Acknowledgement, // reports claim the newest version
};

class control_network {
public:
  static constexpr std::size_t PlatformNode = 99; // in BlockedLinks
  using time_point = state::time_point;

  struct grant {
    std::uint64_t Incarnation;
    time_point Ends; // on the grantor's clock
  };
  struct node {
    std::size_t Index = 0;
    coordination::control_agent_options Options;
    std::unique_ptr<coordination::control_transport> Transport;
    std::unique_ptr<coordination::platform_store> Platform;
    std::unique_ptr<coordination::control_agent> Agent; // null: not running
    std::uint64_t Process = 0;
    time_point FrozenUntil{};
    std::chrono::nanoseconds Frozen{0}; // in total
    std::uint64_t HighestApplied = 0;   // over all processes
    time_point LeaseEndsAt{};           // latest of all grants
  };

  control_network(std::uint64_t Seed, std::size_t Count, ablation Ablation,
                  std::size_t DataCentres = 2)
      : Random(Seed), Ablation(Ablation) {
    Nodes.resize(Count);
    for (std::size_t I = 0; I < Count; ++I) {
      node &Node = Nodes[I];
      Node.Index = I;
      Node.Options.Environment = "production";
      Node.Options.Instance = "i" + std::to_string(I);
      Node.Options.DataCentre = "dc" + std::to_string(I % DataCentres);
      Node.Options.GossipAddress = std::to_string(I);
      Node.Options.ControlAddress = std::to_string(I);
      for (std::size_t J = 0; J < Count; ++J)
        if (J != I && J < 3)
          Node.Options.BootstrapPeers.push_back(std::to_string(J));
    }
  }

  //--- Faults -----------------------------------------------------------------
  double Loss = 0;
  std::set<std::pair<std::size_t, std::size_t>> BlockedLinks; // from, to
  bool reaches(std::size_t From, std::size_t To) const {
    return !BlockedLinks.contains({From, To});
  }
  void start(std::size_t Index);
  void kill(std::size_t Index) {
    Nodes[Index].Agent.reset();
    ++Nodes[Index].Process;
  }
  void freeze(std::size_t Index, std::chrono::milliseconds Time) {
    node &Node = Nodes[Index];
    Node.FrozenUntil = std::max(Node.FrozenUntil, Now) + Time;
    Node.Frozen += Time;
  }
  bool frozen(std::size_t Index) const {
    return Now < Nodes[Index].FrozenUntil;
  }
  bool running(std::size_t Index) const {
    return Nodes[Index].Agent != nullptr;
  }
  /// Current time on the node's own clock.
  time_point clockOf(std::size_t Index) const {
    return Ablation == ablation::BootClock ? Now - Nodes[Index].Frozen : Now;
  }

  //--- Documents --------------------------------------------------------------
  control::head accept() {
    const auto Found = Store.entries().find("/hyssop/production/head");
    const state::document Document =
        makeDocument("production", 2, ++LastVersion);
    Heads[LastVersion] = tests::commitDocument(
        Store, Document, LastVersion,
        Found == Store.entries().end() ? 0 : Found->second.ModRevision);
    AcceptedAt[LastVersion] = Now;
    Store.run();
    return Heads[LastVersion];
  }

  //--- Time -------------------------------------------------------------------
  void schedule(time_point When, std::function<void()> Event) {
    Events.emplace(When, std::move(Event));
  }
  void run(std::chrono::milliseconds Time) {
    const time_point End = Now + Time;
    while (!Events.empty() && Events.begin()->first <= End) {
      auto Due = Events.extract(Events.begin());
      Now = Due.key();
      Due.mapped()();
      Store.run();
    }
    Now = End;
  }
  std::chrono::microseconds delay() {
    return std::chrono::microseconds(500 + state::uniformBelow(Random, 20000));
  }
  /// Runs the event on a node once it is not frozen; drops it if the process
  /// has ended.
  void deliver(std::size_t Index, time_point When, std::function<void()> Event);

  //--- Checkers ---------------------------------------------------------------
  std::vector<std::string> Violations;
  void addViolation(const std::string &Text) {
    if (Violations.size() < 5)
      Violations.push_back(Text);
  }
  void checkApplied(node &Node, const state::snapshot &Snapshot);
  /// Checks all nodes; may be called at any time.
  void checkLeasesAndConvergence();

  time_point Now{std::chrono::hours(1)};
  state::random_engine Random;
  ablation Ablation;
  fake_platform Store{[this] { return Now; }};
  std::vector<node> Nodes;
  std::uint64_t LastVersion = 0;
  std::map<std::uint64_t, control::head> Heads;
  std::map<std::uint64_t, time_point> AcceptedAt;

private:
  class node_transport;
  class node_platform;
  friend class node_transport;

  std::multimap<time_point, std::function<void()>> Events;
};

//-----------------------------------------------------------------------------
// Calls between nodes
//-----------------------------------------------------------------------------

class control_network::node_transport final
    : public coordination::control_transport {
public:
  node_transport(control_network &Network, node &Node)
      : Network(Network), Node(Node) {}

  void send(const std::string &Address,
            const control::gossip_packet &Original) override {
    control::gossip_packet Packet = Original;
    if (Network.Ablation == ablation::Gossip) {
      Packet.clear_records();
      Packet.clear_known_version();
      Packet.clear_digest();
    }
    const std::size_t To = std::stoul(Address);
    if (isLost(Node.Index, To))
      return;
    Network.deliver(To, Network.Now + Network.delay(),
                    [&Net = Network, To, Packet = std::move(Packet)] {
                      Net.Nodes[To].Agent->onPacket(Packet);
                    });
  }
  void fetch(const std::string &Address, const control::fetch_request &Request,
             handler<control::fetch_response> Handler) override {
    call(Address, Handler,
         [Request](auto &Agent) { return Agent.onFetch(Request); });
  }
  void sync(const std::string &Address, const control::sync_request &Request,
            handler<control::sync_response> Handler) override {
    call(Address, Handler, [this, Request](auto &Agent) {
      control::sync_response Response = Agent.onSync(Request);
      if (Network.Ablation == ablation::Floor) {
        Response.set_callee_ready(true);
        Response.clear_known_version();
        Response.clear_callers_applied_version();
      }
      if (Network.Ablation == ablation::Gossip)
        Response.clear_records();
      return Response;
    });
  }
  void renew(const std::string &Address, const control::renew_request &Request,
             handler<control::renew_response> Handler) override {
    call(Address, Handler, [this, Request](auto &Agent) {
      control::renew_response Response = Agent.onRenew(Request);
      if (Response.granted())
        Node.LeaseEndsAt = std::max(
            Node.LeaseEndsAt,
            Network.Now + std::chrono::milliseconds(Response.duration_ms()));
      return Response;
    });
  }
  void report(const std::string &Address,
              const control::report_request &Original,
              handler<control::report_response> Handler) override {
    control::report_request Request = Original;
    if (Network.Ablation == ablation::Acknowledgement)
      for (const auto &Other : Network.Nodes) {
        auto *Item = Request.add_acknowledgements();
        Item->set_instance(Other.Options.Instance);
        Item->set_incarnation(1U << 30U);
        Item->set_applied_version(Network.LastVersion);
      }
    call(Address, Handler,
         [Request](auto &Agent) { return Agent.onReport(Request); });
  }

private:
  bool isLost(std::size_t From, std::size_t To) {
    return To >= Network.Nodes.size() || !Network.reaches(From, To) ||
           state::unitInterval(Network.Random()) < Network.Loss;
  }

  template <class T, class F>
  void call(const std::string &Address, handler<T> Handler, F Serve) {
    const std::size_t To = std::stoul(Address);
    const std::size_t From = Node.Index;
    auto Answered = std::make_shared<bool>(false);
    auto Answer = [Answered, Handler](state::result<T> Result) {
      if (std::exchange(*Answered, true))
        return;
      Handler(std::move(Result));
    };
    Network.deliver(From, Network.Now + std::chrono::seconds(2), [Answer] {
      Answer(state::failure(state::errc::Timeout, "no answer"));
    });
    if (isLost(From, To))
      return;
    Network.deliver(To, Network.Now + Network.delay(),
                    [this, &Net = Network,
                     Process = Network.Nodes[From].Process, From, To, Answer,
                     Serve] {
                      // The caller's process may have ended and destroyed this
                      // object.
                      if (Net.Nodes[From].Process != Process)
                        return;
                      T Response = Serve(*Net.Nodes[To].Agent);
                      if (!isLost(To, From))
                        Net.deliver(From, Net.Now + Net.delay(),
                                    [Answer, Response = std::move(Response)] {
                                      Answer(Response);
                                    });
                    });
  }

  control_network &Network;
  node &Node;
};

//-----------------------------------------------------------------------------
// Calls to the platform
//-----------------------------------------------------------------------------

class control_network::node_platform final
    : public coordination::platform_store {
public:
  node_platform(control_network &Network, node &Node)
      : Network(Network), Node(Node) {}

  void get(const std::string &Key, bool Prefix,
           handler<coordination::platform_read> Handler) override {
    if (Network.Ablation == ablation::Floor && Key.ends_with("/head"))
      return delayed(Handler)(coordination::platform_read{});
    if (!failIfBlocked(Handler))
      Network.Store.get(Key, Prefix, delayed(Handler));
  }
  void commit(coordination::platform_txn Txn,
              handler<coordination::platform_txn_result> Handler) override {
    if (!failIfBlocked(Handler))
      Network.Store.commit(std::move(Txn), delayed(Handler));
  }
  void grantLease(std::chrono::seconds Duration,
                  handler<std::int64_t> Handler) override {
    if (!failIfBlocked(Handler))
      Network.Store.grantLease(Duration, delayed(Handler));
  }
  void keepAlive(std::int64_t Lease,
                 handler<std::chrono::seconds> Handler) override {
    if (!failIfBlocked(Handler))
      Network.Store.keepAlive(Lease, delayed(Handler));
  }
  void revokeLease(std::int64_t Lease, handler<bool> Handler) override {
    if (!failIfBlocked(Handler))
      Network.Store.revokeLease(Lease, delayed(Handler));
  }
  std::unique_ptr<coordination::platform_watch>
  watch(const std::string &Key, bool Prefix, std::int64_t StartRevision,
        watch_handler Handler) override {
    auto Delayed = delayed(Handler);
    // A blocked link drops events without ending the watch.
    return Network.Store.watch(Key, Prefix, StartRevision,
                               [this, Delayed](auto Events) {
                                 if (Network.reaches(PlatformNode, Node.Index))
                                   Delayed(std::move(Events));
                               });
  }

private:
  template <class H> bool failIfBlocked(const H &Handler) {
    if (Network.reaches(Node.Index, PlatformNode))
      return false;
    Network.deliver(Node.Index, Network.Now + std::chrono::seconds(1),
                    [Handler] {
                      Handler(state::failure(state::errc::Unavailable, "cut"));
                    });
    return true;
  }
  template <class T>
  std::function<void(state::result<T>)>
  delayed(const std::function<void(state::result<T>)> &Handler) {
    return [&Net = Network, Index = Node.Index, Process = Node.Process,
            Handler](state::result<T> Result) {
      if (Net.Nodes[Index].Process == Process)
        Net.deliver(Index, Net.Now + Net.delay(),
                    [Handler, Result = std::move(Result)] { Handler(Result); });
    };
  }

  control_network &Network;
  node &Node;
};

//-----------------------------------------------------------------------------
// Nodes
//-----------------------------------------------------------------------------

inline void control_network::deliver(std::size_t Index, time_point When,
                                     std::function<void()> Event) {
  schedule(When, [this, Index, Process = Nodes[Index].Process,
                  Event = std::move(Event)] {
    if (Nodes[Index].Process != Process || !running(Index))
      return;
    if (frozen(Index))
      return deliver(Index, Nodes[Index].FrozenUntil, Event);
    Event();
  });
}

inline void control_network::start(std::size_t Index) {
  kill(Index);
  node &Node = Nodes[Index];
  Node.FrozenUntil = Now;
  Node.Options.Seed = Random();
  if (Ablation == ablation::Floor)
    Node.Options.MaxStartDelay = std::chrono::milliseconds(0);
  Node.Transport = std::make_unique<node_transport>(*this, Node);
  Node.Platform = std::make_unique<node_platform>(*this, Node);
  coordination::control_agent_hooks Hooks;
  Hooks.OnSnapshot = [this, &Node](const auto &Snapshot) {
    checkApplied(Node, *Snapshot);
  };
  if (std::getenv("HYSSOP_HISTORY_LOG") != nullptr) {
    std::fprintf(stderr, "%.3f start %zu\n",
                 std::chrono::duration<double>(Now.time_since_epoch()).count(),
                 Index);
    Hooks.OnLog = [this, Index](const std::string &Line) {
      std::fprintf(
          stderr, "%.3f i%zu %s\n",
          std::chrono::duration<double>(Now.time_since_epoch()).count(), Index,
          Line.c_str());
    };
  }
  Node.Agent = std::make_unique<coordination::control_agent>(
      Node.Options, Hooks, *Node.Transport, *Node.Platform,
      [this, Index] { return clockOf(Index); },
      [this] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   Now.time_since_epoch())
            .count();
      });
  Node.Agent->start();
  auto Tick = std::make_shared<std::function<void()>>();
  *Tick = [this, Index, Weak = std::weak_ptr(Tick)] {
    Nodes[Index].Agent->onTick();
    if (auto Next = Weak.lock())
      deliver(Index, Now + std::chrono::milliseconds(250),
              [Next] { (*Next)(); });
  };
  deliver(Index, Now + delay(), [Tick] { (*Tick)(); });
}

//-----------------------------------------------------------------------------
// Checkers
//-----------------------------------------------------------------------------

inline void control_network::checkApplied(node &Node,
                                          const state::snapshot &Snapshot) {
  state::document Document = Snapshot.Document;
  if (Ablation == ablation::Completeness)
    Document.Services.pop_back();
  const std::string Name =
      Node.Options.Instance + " version " + std::to_string(Snapshot.Version);
  if (Snapshot.Version < Node.HighestApplied)
    addViolation("goes back: " + Name + " after " +
                 std::to_string(Node.HighestApplied));
  Node.HighestApplied = std::max(Node.HighestApplied, Snapshot.Version);
  const auto Expected = makeDocument("production", 2, Snapshot.Version);
  if (!Heads.contains(Snapshot.Version) ||
      protocol::formatDocument(Document) != protocol::formatDocument(Expected))
    addViolation("not whole: " + Name);
}

inline void control_network::checkLeasesAndConvergence() {
  for (const node &Node : Nodes) {
    if (!Node.Agent || frozen(Node.Index))
      continue;
    const bool LeaseValid = Node.Agent->leaseValid(clockOf(Node.Index));
    if (LeaseValid && Now >= Node.LeaseEndsAt)
      addViolation("acts after its lease: " + Node.Options.Instance);
    const control::convergence Convergence = Node.Agent->convergence();
    if (!Convergence.in_force_everywhere())
      continue;
    for (const node &Other : Nodes)
      if (Other.Agent && !frozen(Other.Index) &&
          Other.Agent->leaseValid(clockOf(Other.Index)) &&
          Other.Agent->appliedVersion() < Convergence.version())
        addViolation("false statement: " + Node.Options.Instance +
                     " says everywhere of " +
                     std::to_string(Convergence.version()) + ", " +
                     Other.Options.Instance + " acts on " +
                     std::to_string(Other.Agent->appliedVersion()) + "; " +
                     Convergence.ShortDebugString());
  }
}

} // namespace hyssopledge::tests
