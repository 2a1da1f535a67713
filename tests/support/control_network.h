/// \file
/// A handful of control agents joined by a network with seeded delay, loss,
/// one-way cuts, freezes and restarts, on a hand-driven clock.
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

/// Mechanisms that a variant leaves out, to show that the checkers see it.
enum class ablation {
  None,
  Floor,           // a restarted daemon learns a floor of 0
  Completeness,    // the last service of a snapshot is lost
  Gossip,          // daemons don't hear of new heads from each other
  BootClock,       // the clock stops while a process is frozen
  Acknowledgement, // reports claim the newest version
};

class control_network {
public:
  static constexpr std::size_t PlatformNode = 99; // in Cuts
  using time_point = state::time_point;

  struct grant {
    std::uint64_t Incarnation;
    time_point Ends; // by the clock of the one that granted it
  };
  struct node {
    std::size_t Index = 0;
    coordination::control_options Options;
    std::unique_ptr<coordination::control_transport> Io;
    std::unique_ptr<coordination::platform_store> Platform;
    std::unique_ptr<coordination::control_agent> Agent; // null: not running
    std::uint64_t Process = 0;
    time_point FrozenUntil{};
    std::chrono::nanoseconds Frozen{0}; // in total
    std::uint64_t HighestApplied = 0;   // over all processes
    time_point LeaseEnds{};             // latest of all grants
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
  /// The node's own reading of the clock.
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
  void at(time_point When, std::function<void()> Event) {
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
  /// Runs on a node once it is not frozen; dropped when its process has ended.
  void deliver(std::size_t Index, time_point When, std::function<void()> Event);

  //--- Checkers ---------------------------------------------------------------
  std::vector<std::string> Violations;
  void addViolation(const std::string &Text) {
    if (Violations.size() < 5)
      Violations.push_back(Text);
  }
  void checkApplied(node &Node, const state::snapshot &Snapshot);
  /// Of all nodes, at any moment.
  void checkLeasesAndStatements();

  time_point Now{std::chrono::hours(1)};
  state::random_engine Random;
  ablation Ablation;
  fake_platform Store{[this] { return Now; }};
  std::vector<node> Nodes;
  std::uint64_t LastVersion = 0;
  std::map<std::uint64_t, control::head> Heads;
  std::map<std::uint64_t, time_point> AcceptedAt;

private:
  class io;
  class platform_link;
  friend class io;

  std::multimap<time_point, std::function<void()>> Events;
};

//-----------------------------------------------------------------------------
// Calls between nodes
//-----------------------------------------------------------------------------

class control_network::io final : public coordination::control_transport {
public:
  io(control_network &Network, node &Node) : Network(Network), Node(Node) {}

  void send(const std::string &Address,
            const control::gossip_packet &Original) override {
    control::gossip_packet Packet = Original;
    if (Network.Ablation == ablation::Gossip) {
      Packet.clear_records();
      Packet.clear_known_version();
      Packet.clear_digest();
    }
    const std::size_t To = std::stoul(Address);
    if (lost(Node.Index, To))
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
        Node.LeaseEnds = std::max(
            Node.LeaseEnds,
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
  bool lost(std::size_t From, std::size_t To) {
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
    if (lost(From, To))
      return;
    Network.deliver(To, Network.Now + Network.delay(),
                    [this, &Net = Network,
                     Process = Network.Nodes[From].Process, From, To, Answer,
                     Serve] {
                      // The caller's process may have ended, and this object
                      // with it.
                      if (Net.Nodes[From].Process != Process)
                        return;
                      T Response = Serve(*Net.Nodes[To].Agent);
                      if (!lost(To, From))
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
// Calls on the platform
//-----------------------------------------------------------------------------

class control_network::platform_link final
    : public coordination::platform_store {
public:
  platform_link(control_network &Network, node &Node)
      : Network(Network), Node(Node) {}

  void get(const std::string &Key, bool Prefix,
           handler<coordination::platform_read> Handler) override {
    if (Network.Ablation == ablation::Floor && Key.ends_with("/head"))
      return later(Handler)(coordination::platform_read{});
    if (!cut(Handler))
      Network.Store.get(Key, Prefix, later(Handler));
  }
  void commit(coordination::platform_txn Txn,
              handler<coordination::platform_txn_result> Handler) override {
    if (!cut(Handler))
      Network.Store.commit(std::move(Txn), later(Handler));
  }
  void grantLease(std::chrono::seconds Duration,
                  handler<std::int64_t> Handler) override {
    if (!cut(Handler))
      Network.Store.grantLease(Duration, later(Handler));
  }
  void keepAlive(std::int64_t Lease,
                 handler<std::chrono::seconds> Handler) override {
    if (!cut(Handler))
      Network.Store.keepAlive(Lease, later(Handler));
  }
  void revokeLease(std::int64_t Lease, handler<bool> Handler) override {
    if (!cut(Handler))
      Network.Store.revokeLease(Lease, later(Handler));
  }
  std::unique_ptr<coordination::platform_watch>
  watch(const std::string &Key, bool Prefix, std::int64_t StartRevision,
        watch_handler Handler) override {
    auto Later = later(Handler);
    // A cut silences a watch without ending it.
    return Network.Store.watch(Key, Prefix, StartRevision,
                               [this, Later](auto Events) {
                                 if (Network.reaches(PlatformNode, Node.Index))
                                   Later(std::move(Events));
                               });
  }

private:
  template <class H> bool cut(const H &Handler) {
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
  later(const std::function<void(state::result<T>)> &Handler) {
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
  at(When,
     [this, Index, Process = Nodes[Index].Process, Event = std::move(Event)] {
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
  Node.Io = std::make_unique<io>(*this, Node);
  Node.Platform = std::make_unique<platform_link>(*this, Node);
  coordination::control_hooks Hooks;
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
      Node.Options, Hooks, *Node.Io, *Node.Platform,
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

inline void control_network::checkLeasesAndStatements() {
  for (const node &Speaker : Nodes) {
    if (!Speaker.Agent || frozen(Speaker.Index))
      continue;
    const bool Acts = Speaker.Agent->leaseValid(clockOf(Speaker.Index));
    if (Acts && Now >= Speaker.LeaseEnds)
      addViolation("acts after its lease: " + Speaker.Options.Instance);
    const control::convergence Statement = Speaker.Agent->convergence();
    if (!Statement.in_force_everywhere())
      continue;
    for (const node &Other : Nodes)
      if (Other.Agent && !frozen(Other.Index) &&
          Other.Agent->leaseValid(clockOf(Other.Index)) &&
          Other.Agent->appliedVersion() < Statement.version())
        addViolation("false statement: " + Speaker.Options.Instance +
                     " says everywhere of " +
                     std::to_string(Statement.version()) + ", " +
                     Other.Options.Instance + " acts on " +
                     std::to_string(Other.Agent->appliedVersion()) + "; " +
                     Statement.ShortDebugString());
  }
}

} // namespace hyssopledge::tests
