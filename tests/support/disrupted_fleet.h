/// \file
/// Simulated fleet of agents whose daemons are killed, frozen and cut off one
/// by one. Calls without a response and fetches from daemons that do not answer
/// end after the time-outs of the real clients. Keeps which daemons are in
/// touch, that is, were without a disruption for the users' contactMs.
#pragma once

#include "hyssopledge/coordination/fleet_agent.h"

#include "platform/operator_codec.h"
#include "support/fake_platform.h"
#include "support/manual_timer_service.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssopledge::tests {

class disrupted_fleet {
public:
  using milliseconds = std::chrono::milliseconds;

  // Time-outs of platform/kv_store and transport/document_client.
  static constexpr milliseconds CallTimeout{1500};
  static constexpr milliseconds WatchTimeout{1500}; // wait and response
  static constexpr milliseconds FetchTimeout{1500};
  static constexpr milliseconds ConnectTimeout{350};
  // The users' contactMs.
  static constexpr milliseconds ContactTime{3000};
  static constexpr milliseconds Step{20};

  struct node;

  /// Timers of one daemon; those of a frozen one do not run.
  struct node_timers final : state::timer_service {
    explicit node_timers(node &Node) : Node(Node) {}
    state::time_point now() const override { return Node.Fleet.Timers.now(); }
    std::unique_ptr<state::timer_subscription>
    every(state::boot_clock::duration Interval, handler Handler) override {
      return Node.Fleet.Timers.every(Interval, gated(std::move(Handler)));
    }
    std::unique_ptr<state::timer_subscription>
    after(state::boot_clock::duration Delay, handler Handler) override {
      return Node.Fleet.Timers.after(Delay, gated(std::move(Handler)));
    }
    handler gated(handler Handler) {
      return [this, Handler = std::move(Handler)](state::time_point Now) {
        if (!Node.Frozen)
          Handler(Now);
      };
    }
    node &Node;
  };

  /// The platform as one daemon reaches it.
  struct node_store final : coordination::platform_store {
    explicit node_store(node &Node) : Node(Node) {}

    /// Delivers the response, or a failure after CallTimeout if the path is cut
    /// when the call is sent or answered.
    template <class T> handler<T> call(handler<T> Handler) {
      auto Done = std::make_shared<bool>(false);
      auto Shared = std::make_shared<handler<T>>(std::move(Handler));
      Node.later(CallTimeout, [Done, Shared] {
        if (!std::exchange(*Done, true))
          (*Shared)(state::failure(state::errc::Timeout, "no response"));
      });
      return [this, Done, Shared, Alive = Node.Alive,
              SentCut = Node.StoreCut](const state::result<T> &Result) {
        if (!*Alive || SentCut || Node.StoreCut)
          return;
        Node.deliver([Done, Shared, Result] {
          if (!std::exchange(*Done, true))
            (*Shared)(Result);
        });
      };
    }

    void get(const std::string &Key, bool Prefix,
             handler<coordination::platform_read> Handler) override {
      Node.Fleet.Platform.get(Key, Prefix, call(std::move(Handler)));
    }
    void getAllowStale(const std::string &Key, bool Prefix,
                       handler<coordination::platform_read> Handler) override {
      Node.Fleet.Platform.getAllowStale(Key, Prefix, call(std::move(Handler)));
    }
    void commit(coordination::platform_txn Txn,
                handler<coordination::platform_txn_result> Handler) override {
      if (Node.StoreCut) {
        call(std::move(Handler)); // ends with its timeout
        return;
      }
      Node.Fleet.Platform.commit(std::move(Txn), call(std::move(Handler)));
    }
    void grantLease(std::chrono::seconds Duration,
                    handler<std::int64_t> Handler) override {
      Node.Fleet.Platform.grantLease(Duration, call(std::move(Handler)));
    }
    void keepAlive(std::int64_t Lease,
                   handler<std::chrono::seconds> Handler) override {
      Node.Fleet.Platform.keepAlive(Lease, call(std::move(Handler)));
    }
    void revokeLease(std::int64_t Lease, handler<bool> Handler) override {
      Node.Fleet.Platform.revokeLease(Lease, call(std::move(Handler)));
    }

    /// One watch; a silent one reports a failure after WatchTimeout.
    struct watch_state {
      bool Silent = false;
      bool Stopped = false;
      watch_handler Handler;
      std::unique_ptr<coordination::platform_watch> Inner;
    };
    struct watch_handle final : coordination::platform_watch {
      explicit watch_handle(std::shared_ptr<watch_state> State)
          : State(std::move(State)) {}
      ~watch_handle() override {
        State->Stopped = true;
        State->Inner.reset();
      }
      std::shared_ptr<watch_state> State;
    };
    std::unique_ptr<coordination::platform_watch>
    watch(const std::string &Key, bool Prefix, std::int64_t StartRevision,
          watch_handler Handler) override {
      auto State = std::make_shared<watch_state>();
      State->Handler = std::move(Handler);
      State->Inner = Node.Fleet.Platform.watch(
          Key, Prefix, StartRevision,
          [this, Alive = Node.Alive,
           State](const state::result<std::vector<coordination::platform_event>>
                      &Events) {
            if (*Alive && !State->Silent)
              Node.deliver([State, Events] {
                if (!State->Stopped)
                  State->Handler(Events);
              });
          });
      Watches.push_back(State);
      if (Node.StoreCut)
        silence();
      return std::make_unique<watch_handle>(std::move(State));
    }
    void silence() {
      for (const auto &State : std::exchange(Watches, {})) {
        if (State->Stopped || std::exchange(State->Silent, true))
          continue;
        Node.later(WatchTimeout, [State] {
          if (!std::exchange(State->Stopped, true))
            State->Handler(state::failure(state::errc::Timeout, "no response"));
        });
      }
    }

    node &Node;
    std::vector<std::shared_ptr<watch_state>> Watches;
  };

  struct node final : coordination::peer_transport {
    node(disrupted_fleet &Fleet, std::string Name)
        : Fleet(Fleet), Name(std::move(Name)), Timers(*this), Store(*this) {}
    ~node() override { *Alive = false; }

    void send(const std::string &ControlAddress,
              const std::string &Datagram) override {
      Fleet.Datagrams.push_back({Name, ControlAddress, Datagram});
    }
    void fetchDocument(
        const std::string &HopAddress,
        std::function<void(state::result<std::string>)> Handler) override {
      const auto Peer = Fleet.Nodes.find(HopAddress);
      const bool Reachable =
          Peer != Fleet.Nodes.end() && !PeersCut && !Peer->second->PeersCut;
      if (Reachable && !Peer->second->Frozen)
        return later(Step,
                     [Handler, Text = Peer->second->Agent->documentText()] {
                       Handler(Text);
                     });
      // The system of a frozen process accepts connections.
      later(Reachable ? FetchTimeout : ConnectTimeout, [Handler] {
        Handler(state::failure(state::errc::Unavailable, "no response"));
      });
    }

    void later(milliseconds Delay, std::function<void()> Action) {
      Fleet.Actions.emplace(Fleet.Timers.now() + Delay,
                            [this, Alive = Alive, Action = std::move(Action)] {
                              if (*Alive)
                                deliver(Action);
                            });
    }
    /// Runs the action now, or when the process is thawed.
    void deliver(std::function<void()> Action) {
      if (Frozen)
        Held.push_back(std::move(Action));
      else
        Action();
    }

    disrupted_fleet &Fleet;
    std::string Name;
    std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
    node_timers Timers;
    node_store Store;
    bool Frozen = false;
    bool StoreCut = false;
    bool PeersCut = false;
    std::deque<std::function<void()>> Held;
    std::uint64_t Version = 0;
    std::unique_ptr<coordination::fleet_agent> Agent;
  };

  explicit disrupted_fleet(std::uint64_t Seed)
      : Platform([this] { return Timers.now(); }), Random(Seed) {}

  void start(const std::string &Name) {
    auto Node = std::make_unique<node>(*this, Name);
    node &Added = *Node;
    coordination::fleet_agent_options Options;
    Options.Instance = Options.HopAddress = Options.ControlAddress = Name;
    Options.DataCentre = Name.substr(0, 1);
    Options.Incarnation = ++Starts;
    Options.Seed = Random();
    coordination::fleet_agent_hooks Hooks;
    Hooks.OnDocument = [this, &Added](auto Table) {
      if (Table->version() <= Added.Version)
        Faults.push_back(Added.Name + " went back from " +
                         std::to_string(Added.Version) + " to " +
                         std::to_string(Table->version()));
      Added.Version = Table->version();
    };
    Hooks.Log = [this, Name](std::string_view Event,
                             const std::string &Fields) {
      Log.push_back(std::to_string(sinceStart().count()) + " " + Name + " " +
                    std::string(Event) + " " + Fields);
    };
    Added.Agent = std::make_unique<coordination::fleet_agent>(
        Options, Hooks, Codec, Added.Store, Added, Added.Timers);
    Nodes[Name] = std::move(Node);
    disturbed(Name);
    Added.Agent->start();
  }

  //--- Disruptions ------------------------------------------------------------
  /// Ends the process; it starts again after the time.
  void kill(const std::string &Name, milliseconds Down) {
    if (Nodes.erase(Name) == 0)
      return;
    note("killed " + Name);
    Actions.emplace(Timers.now() + Down, [this, Name] {
      if (!Nodes.contains(Name))
        start(Name);
    });
  }
  void freeze(const std::string &Name, milliseconds Time) {
    disturb(Name, Time, "frozen", [](node &Node, bool On) {
      Node.Frozen = On;
      while (!On && !Node.Held.empty()) {
        const auto Action = std::move(Node.Held.front());
        Node.Held.pop_front();
        Action();
      }
    });
  }
  void cutFromStore(const std::string &Name, milliseconds Time) {
    disturb(Name, Time, "cut from the store", [](node &Node, bool On) {
      Node.StoreCut = On;
      Node.Store.silence();
    });
  }
  void cutFromPeers(const std::string &Name, milliseconds Time) {
    disturb(Name, Time, "cut from the daemons",
            [](node &Node, bool On) { Node.PeersCut = On; });
  }
  /// All open connections go silent; new ones work.
  void silenceConnections() {
    note("all connections silent");
    for (auto &[Name, Node] : Nodes) {
      disturbed(Name);
      Node->Store.silence();
    }
  }

  //--- Documents --------------------------------------------------------------
  /// The operator writes the version; the store's response is its
  /// acknowledgement.
  void change(std::uint64_t Version) {
    coordination::platform_txn Txn;
    Txn.Puts.push_back(
        {"op/config",
         R"({"version":)" + std::to_string(Version) +
             R"(,"services":[{"name":"pages"}],"virtualHosts":[{"host":"h",)"
             R"("paths":[{"name":"r","prefix":"/a/","kind":"safe",)"
             R"("timeoutMs":500,"service":"pages"}]}]})",
         0});
    Platform.commit(Txn, [](auto) {});
    Acknowledged.emplace_back(Timers.now(), Version);
    note("acknowledged " + std::to_string(Version));
  }
  /// Checks that each daemon in touch has the versions that were acknowledged
  /// more than ApplyTime ago.
  void checkVersions(milliseconds ApplyTime) {
    std::uint64_t Due = 0;
    for (const auto &[At, Version] : Acknowledged)
      if (Timers.now() - At > ApplyTime)
        Due = Version;
    for (const auto &[Name, Node] : Nodes)
      if (Node->Version < Due && inTouch(Name))
        Faults.push_back(std::to_string(sinceStart().count()) + " " + Name +
                         " has " + std::to_string(Node->Version) + ", due " +
                         std::to_string(Due));
  }
  bool inTouch(const std::string &Name) const {
    const auto Found = DisturbedUntil.find(Name);
    return Found == DisturbedUntil.end() ||
           Timers.now() >= Found->second + ContactTime;
  }
  /// The daemon with the lowest name in each data centre.
  std::vector<std::string> relays() const {
    std::map<char, std::string> Lowest;
    for (const auto &[Name, Node] : Nodes)
      Lowest.emplace(Name[0], Name);
    std::vector<std::string> Names;
    Names.reserve(Lowest.size());
    for (const auto &[DataCentre, Name] : Lowest)
      Names.push_back(Name);
    return Names;
  }

  void step() {
    Timers.advance(Step);
    while (!Actions.empty() && Actions.begin()->first <= Timers.now()) {
      const auto Action = std::move(Actions.begin()->second);
      Actions.erase(Actions.begin());
      Action();
    }
    Platform.run();
    for (int Round = 0; Round < 4 && !Datagrams.empty(); ++Round)
      for (const datagram &Datagram : std::exchange(Datagrams, {})) {
        const auto From = Nodes.find(Datagram.From);
        const auto To = Nodes.find(Datagram.To);
        if (To == Nodes.end() || To->second->PeersCut ||
            (From != Nodes.end() && From->second->PeersCut))
          continue;
        To->second->deliver([Node = To->second.get(), Text = Datagram.Text] {
          Node->Agent->onDatagram(Text);
        });
      }
  }
  void run(milliseconds Time, const std::function<void()> &EachStep = {}) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
      step();
      if (EachStep)
        EachStep();
    }
  }

  manual_timer_service Timers;
  fake_platform Platform;
  platform::operator_codec Codec;
  std::map<std::string, std::unique_ptr<node>> Nodes;
  std::vector<std::string> Faults;
  std::vector<std::string> Log;
  state::random_engine Random;

private:
  struct datagram {
    std::string From;
    std::string To;
    std::string Text;
  };

  milliseconds sinceStart() const {
    return std::chrono::duration_cast<milliseconds>(
        Timers.now().time_since_epoch());
  }
  void note(const std::string &Text) {
    Log.push_back(std::to_string(sinceStart().count()) + " " + Text);
  }
  void disturbed(const std::string &Name) {
    DisturbedUntil[Name] = std::max(DisturbedUntil[Name], Timers.now());
  }
  void disturb(const std::string &Name, milliseconds Time, const char *What,
               const std::function<void(node &, bool)> &Set) {
    const auto Found = Nodes.find(Name);
    if (Found == Nodes.end())
      return;
    note(Name + " " + What);
    Set(*Found->second, true);
    DisturbedUntil[Name] = std::max(DisturbedUntil[Name], Timers.now() + Time);
    Actions.emplace(Timers.now() + Time,
                    [this, Name, Set, Alive = Found->second->Alive] {
                      if (*Alive)
                        Set(*Nodes.at(Name), false);
                    });
  }

  std::multimap<state::time_point, std::function<void()>> Actions;
  std::deque<datagram> Datagrams;
  std::map<std::string, state::time_point> DisturbedUntil;
  std::vector<std::pair<state::time_point, std::uint64_t>> Acknowledged;
  std::uint64_t Starts = 0;
};

} // namespace hyssopledge::tests
