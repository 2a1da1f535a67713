/// \file
/// Runs several fleet agents on a fake platform and a simulated network. Guards
/// membership, document distribution, relays and rollouts under faults.
#include "hyssopledge/coordination/fleet_agent.h"

#include "platform/operator_codec.h"
#include "support/fake_platform.h"
#include "support/manual_timer_service.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

using namespace hyssopledge;
using coordination::rollout_state;
using coordination::upstream_record;
using coordination::upstream_state;
using std::chrono::milliseconds;

namespace {

std::string documentText(int Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"services":[{"name":"pages"}],"virtualHosts":[{"host":"h","paths":)"
         R"([{"name":"r","prefix":"/a/","kind":"safe","timeoutMs":500,)"
         R"("service":"pages"}]}]})";
}

/// Daemons named "a-1", "a-2", "b-1" and so on; the letter is the data centre.
class fleet final {
public:
  fleet() : Platform([this] { return Timers.now(); }) {}

  struct node final : coordination::peer_transport {
    node(fleet &Fleet, std::string Name)
        : Fleet(Fleet), Name(std::move(Name)) {}

    void send(const std::string &ControlAddress,
              const std::string &Datagram) override {
      Fleet.Datagrams.push_back({Name, ControlAddress, Datagram});
    }
    void fetchDocument(
        const std::string &HopAddress,
        std::function<void(state::result<std::string>)> Handler) override {
      ++Fleet.Fetches;
      const auto Peer = Fleet.Nodes.find(HopAddress);
      if (Peer == Fleet.Nodes.end() || Fleet.disconnected(Name, HopAddress))
        return Handler(state::failure(state::errc::Unavailable, "unreachable"));
      Handler(Peer->second->Agent->documentText());
    }

    fleet &Fleet;
    std::string Name;
    coordination::route_counts Counts;
    std::set<std::uint64_t> Poison; // fingerprints received
    std::uint64_t LowestVersion = 0;
    std::unique_ptr<coordination::fleet_agent> Agent;
  };

  node &add(const std::string &Name, std::uint64_t Incarnation = 1) {
    auto Node = std::make_unique<node>(*this, Name);
    node &Added = *Node;
    Nodes[Name] = std::move(Node);
    coordination::fleet_agent_options Options;
    Options.Instance = Name;
    Options.DataCentre = Name.substr(0, 1);
    Options.HopAddress = Options.ControlAddress = Name;
    Options.Incarnation = Incarnation;
    Options.Seed = std::hash<std::string>()(Name);
    coordination::fleet_agent_hooks Hooks;
    Hooks.OnDocument = [&Added](auto Table) {
      CHECK(Table->version() > Added.LowestVersion); // never decreases
      Added.LowestVersion = Table->version();
    };
    Hooks.RouteCounts = [&Added] { return Added.Counts; };
    Hooks.OnPoison = [&Added](const auto &Fingerprints, bool Own) {
      Added.Poison.insert(Fingerprints.begin(), Fingerprints.end());
      if (Own) // as upstream_client does
        Added.Agent->setPoison(Fingerprints);
    };
    Hooks.OnFormerUpstream = [&Added](const upstream_record &Former) {
      // Does the same as upstream_registry.
      const upstream_record &Own = Added.Agent->self().Upstream;
      if ((Former.State == upstream_state::Serving &&
           Own.State == upstream_state::None) ||
          (Former.State > Own.State && Former.Name == Own.Name))
        Added.Agent->setUpstream(Former);
    };
    Added.Agent = std::make_unique<coordination::fleet_agent>(
        Options, Hooks, Codec, Platform, Added, Timers);
    Added.Agent->start();
    return Added;
  }

  void remove(const std::string &Name) {
    Platform.run();
    Datagrams.clear();
    Nodes.erase(Name);
  }

  void put(const std::string &Key, const std::string &Value) {
    coordination::platform_txn Txn;
    Txn.Puts.push_back({Key, Value, 0});
    Platform.commit(Txn, [](auto) {});
    Platform.run();
  }

  bool disconnected(const std::string &A, const std::string &B) const {
    return Disconnected.contains(A) || Disconnected.contains(B);
  }

  void run(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += milliseconds(20)) {
      Timers.advance(milliseconds(20));
      Platform.run();
      // Also delivers the datagrams that are sent in response.
      for (int Round = 0; Round < 4 && !Datagrams.empty(); ++Round)
        for (auto &Datagram : std::exchange(Datagrams, {})) {
          ++DatagramCount;
          const bool Fits =
              Datagram.Text.size() <= coordination::MaxDatagramBytes;
          CHECK(Fits);
          if (!Fits || disconnected(Datagram.From, Datagram.To) ||
              (DropEveryNth != 0 && DatagramCount % DropEveryNth == 0) ||
              state::unitInterval(Random()) < LossRate)
            continue;
          const auto To = Nodes.find(Datagram.To);
          if (To != Nodes.end())
            To->second->Agent->onDatagram(Datagram.Text);
        }
    }
  }

  void serve(const std::string &Name, const std::string &Version) {
    upstream_record Upstream;
    Upstream.Name = "i-" + Name;
    Upstream.Service = "pages";
    Upstream.Version = Version;
    Upstream.Slots = 12;
    Upstream.State = upstream_state::Serving;
    Nodes.at(Name)->Agent->setUpstream(Upstream);
  }

  std::uint64_t version(const std::string &Name) const {
    const auto Document = Nodes.at(Name)->Agent->document();
    return Document ? Document->version() : 0;
  }

  struct datagram {
    std::string From;
    std::string To;
    std::string Text;
  };
  tests::manual_timer_service Timers;
  tests::fake_platform Platform;
  platform::operator_codec Codec;
  std::map<std::string, std::unique_ptr<node>> Nodes;
  std::deque<datagram> Datagrams;
  std::set<std::string> Disconnected; // from the other daemons
  unsigned DropEveryNth = 0;
  double LossRate = 0; // of all datagrams
  state::random_engine Random{7};
  unsigned DatagramCount = 0;
  unsigned Fetches = 0;
};

const std::vector<std::string> Six = {"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"};

/// Starts six daemons in two data centres with version 1 of the document.
std::unique_ptr<fleet> sixDaemons() {
  auto Fleet = std::make_unique<fleet>();
  Fleet->put("op/config", documentText(1));
  for (const std::string &Name : Six)
    Fleet->add(Name);
  Fleet->run(milliseconds(4000));
  return Fleet;
}

/// Two daemons beside v1, two beside v2, and the order to move to v2.
std::unique_ptr<fleet> sixDaemonsInRollout() {
  auto Fleet = sixDaemons();
  for (const char *Old : {"a-2", "b-1"})
    Fleet->serve(Old, "v1");
  for (const char *New : {"a-3", "b-2"})
    Fleet->serve(New, "v2");
  Fleet->put("op/rollout/pages",
             R"({"service":"pages","toVersion":"v2","durationS":16})");
  return Fleet;
}

/// Checks the state of the rollout that is written to the platform.
void checkWrittenState(const fleet &Fleet, const std::string &Expected) {
  const auto &Entries = Fleet.Platform.entries();
  REQUIRE(Entries.contains("status/rollout/pages"));
  CHECK(Entries.at("status/rollout/pages").Value.find(Expected) !=
        std::string::npos);
}

/// Runs that a bad version may get: exposureShare and exposureSlack of the
/// users.
std::uint64_t allowedRuns(std::uint64_t AllRuns) { return AllRuns / 10 + 50; }

bool allHave(const fleet &Fleet, std::uint64_t Version) {
  for (const auto &[Name, Node] : Fleet.Nodes)
    if (Fleet.version(Name) != Version)
      return false;
  return true;
}

} // namespace

TEST_CASE("daemons discover each other and converge") {
  auto Fleet = sixDaemons();
  for (const std::string &Name : Six) {
    CHECK(Fleet->Nodes.at(Name)->Agent->directory().size() == Six.size());
    CHECK(Fleet->Nodes.at(Name)->Agent->directory().digest() ==
          Fleet->Nodes.at("a-1")->Agent->directory().digest());
  }
  CHECK(allHave(*Fleet, 1));
}

TEST_CASE("at rest only the relays wait at the platform") {
  auto Fleet = sixDaemons();
  const std::uint64_t Before = Fleet->Platform.Calls;
  Fleet->run(milliseconds(20'000));
  CHECK(Fleet->Platform.Calls - Before <= 4);
}

TEST_CASE("a document is in force everywhere within the time") {
  struct document_case {
    const char *Name;
    std::function<void(fleet &)> Fault;
    int WithinMs;
  };
  const document_case Cases[] = {
      {"no fault", [](fleet &) {}, 700},
      {"every third datagram is lost", [](fleet &F) { F.DropEveryNth = 3; },
       1600},
      {"the relay of a data centre has ended",
       [](fleet &F) { F.remove("a-1"); }, 3500},
      {"the relay is cut off from the others",
       [](fleet &F) { F.Disconnected.insert("a-1"); }, 3500},
  };
  for (const document_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemons();
    Case.Fault(*Fleet);
    Fleet->put("op/config", documentText(2));
    Fleet->run(milliseconds(Case.WithinMs));
    CHECK(allHave(*Fleet, 2));
  }
}

TEST_CASE("many documents in a row end with the last one") {
  auto Fleet = sixDaemons();
  for (int Version = 2; Version < 40; Version += 1 + Version % 3) {
    Fleet->put("op/config", documentText(Version));
    Fleet->run(milliseconds(60));
  }
  Fleet->put("op/config", documentText(77));
  Fleet->run(milliseconds(700));
  CHECK(allHave(*Fleet, 77));
}

TEST_CASE("daemons skip documents of a quick succession") {
  auto Fleet = sixDaemons();
  const unsigned Before = Fleet->Fetches;
  for (int Version = 2; Version < 52; ++Version) {
    Fleet->put("op/config", documentText(Version));
    Fleet->run(milliseconds(100));
  }
  Fleet->run(milliseconds(1000));
  CHECK(allHave(*Fleet, 51));
  // In 5 s, each of the four daemons that are not relays fetches at most once
  // per 250 ms; a relay may also fetch from another one that is ahead.
  CHECK(Fleet->Fetches - Before <= 6 * 24);
}

TEST_CASE("a malformed document changes nothing") {
  auto Fleet = sixDaemons();
  for (const char *Text :
       {"", "{", "[]", R"({"version":"x"})",
        R"({"version":9,"services":[],"virtualHosts":[{}]})"}) {
    Fleet->put("op/config", Text);
    Fleet->run(milliseconds(700));
    CHECK(allHave(*Fleet, 1));
  }
  Fleet->put("op/config", documentText(10));
  Fleet->run(milliseconds(700));
  CHECK(allHave(*Fleet, 10));
}

TEST_CASE(
    "a daemon that starts while the platform is down syncs from its peers") {
  auto Fleet = sixDaemons();
  Fleet->put("op/config", documentText(5));
  Fleet->run(milliseconds(1000));
  Fleet->Platform.Down = true;
  Fleet->remove("b-2");
  Fleet->add("b-2", 2);
  Fleet->run(milliseconds(2000));
  CHECK(Fleet->version("b-2") == 5);
  CHECK(Fleet->Nodes.at("b-2")->Agent->directory().size() == Six.size());
  // Changes are received again after the outage.
  Fleet->Platform.Down = false;
  Fleet->put("op/config", documentText(6));
  Fleet->run(milliseconds(3000));
  CHECK(allHave(*Fleet, 6));
}

TEST_CASE("records of a daemon whose clock went back are accepted") {
  auto Fleet = sixDaemons();
  Fleet->remove("b-3");
  Fleet->add("b-3", 0); // below its former incarnation
  Fleet->run(milliseconds(3000));
  Fleet->serve("b-3", "v1");
  Fleet->run(milliseconds(200));
  CHECK(Fleet->Nodes.at("a-1")->Agent->directory().find("b-3")->Upstream.Name ==
        "i-b-3");
}

TEST_CASE("a restarted daemon learns the former state of its upstream") {
  auto Fleet = sixDaemons();
  Fleet->serve("b-3", "v1");
  upstream_record Leaving = Fleet->Nodes.at("b-3")->Agent->self().Upstream;
  Leaving.State = upstream_state::Gone;
  Fleet->Nodes.at("b-3")->Agent->setUpstream(Leaving);
  Fleet->run(milliseconds(200));
  Fleet->remove("b-3");
  auto &Again = Fleet->add("b-3", 9);
  Fleet->run(milliseconds(1500));
  REQUIRE(Again.Agent->formerUpstream().has_value());
  CHECK(Again.Agent->formerUpstream()->State == upstream_state::Gone);
}

// A changed limit is sent to the members but not written to the platform.
TEST_CASE("a restarted daemon learns the last request limit of its upstream") {
  auto Fleet = sixDaemons();
  Fleet->serve("a-2", "v1");
  Fleet->run(milliseconds(500));
  auto Upstream = Fleet->Nodes.at("a-2")->Agent->self().Upstream;
  for (const double Limit : {40.0, 12.5}) {
    Upstream.RequestLimit = Limit;
    Fleet->Nodes.at("a-2")->Agent->setUpstream(Upstream);
    Fleet->run(milliseconds(500));
  }
  Fleet->remove("a-2");
  Fleet->add("a-2", 2);
  Fleet->run(milliseconds(500));
  const auto &Former = Fleet->Nodes.at("a-2")->Agent->formerUpstream();
  REQUIRE(Former.has_value());
  CHECK(Former->RequestLimit == 12.5);
}

// The crashes were known only to the daemons that ran when they happened.
TEST_CASE("requests that crash upstreams stay known while daemons restart") {
  struct poison_case {
    const char *Name;
    std::function<void(fleet &)> Trouble; // after the report of a-2
  };
  const auto Restart = [](fleet &F, const std::vector<std::string> &Names,
                          std::uint64_t Incarnation) {
    for (const std::string &Name : Names)
      F.remove(Name);
    for (const std::string &Name : Names)
      F.add(Name, Incarnation);
  };
  const poison_case Cases[] = {
      {"no restart", [](fleet &) {}},
      {"another daemon restarts", [&](fleet &F) { Restart(F, {"b-3"}, 9); }},
      {"a daemon is added", [](fleet &F) { F.add("b-4"); }},
      {"the reporting daemon restarts",
       [&](fleet &F) { Restart(F, {"a-2"}, 9); }},
      {"all restart in turn",
       [&](fleet &F) {
         for (const std::string &Name : Six) {
           Restart(F, {Name}, 9);
           F.run(milliseconds(1000));
         }
       }},
      {"all restart at once", [&](fleet &F) { Restart(F, Six, 9); }},
      {"all restart at once, twice",
       [&](fleet &F) {
         Restart(F, Six, 9);
         F.run(milliseconds(4000));
         Restart(F, Six, 10);
       }},
      {"a daemon was cut off meanwhile",
       [](fleet &F) { F.Disconnected.clear(); }},
  };
  for (const poison_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemons();
    if (std::string(Case.Name) == "a daemon was cut off meanwhile")
      Fleet->Disconnected.insert("b-3");
    Fleet->Nodes.at("a-2")->Poison = {77, ~std::uint64_t(0)};
    Fleet->Nodes.at("a-2")->Agent->setPoison({77, ~std::uint64_t(0)});
    Fleet->run(milliseconds(1000));
    Case.Trouble(*Fleet);
    Fleet->run(milliseconds(4000));
    for (const auto &Item : Fleet->Nodes) {
      CAPTURE(Item.first);
      CHECK(Item.second->Poison ==
            std::set<std::uint64_t>{77, ~std::uint64_t(0)});
    }
  }
}

TEST_CASE("a daemon that starts knows the upstreams of the others at once") {
  struct start_case {
    const char *Name;
    const char *Instance;
    bool OthersChange; // continuously
    double LossRate;
  };
  const start_case Cases[] = {
      {"new", "b-4", false, 0},
      {"new, others change", "b-4", true, 0},
      {"new, datagrams are lost", "b-4", true, 0.2},
      {"started again", "b-3", false, 0},
      {"started again, others change", "b-3", true, 0},
      {"started again, datagrams are lost", "b-3", true, 0.2},
  };
  for (const start_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemons();
    for (const std::string &Name : Six)
      Fleet->serve(Name, "v1");
    Fleet->run(milliseconds(1000));
    if (Fleet->Nodes.contains(Case.Instance))
      Fleet->remove(Case.Instance);
    Fleet->LossRate = Case.LossRate;
    auto &Started = Fleet->add(Case.Instance, 9);
    CHECK_FALSE(Started.Agent->ready());
    for (int Step = 0; Step < 6; ++Step) {
      if (Case.OthersChange)
        Fleet->serve("a-2", "v" + std::to_string(Step));
      Fleet->run(milliseconds(100));
    }
    CHECK(Started.Agent->ready());
    for (const std::string &Name : Six) {
      CAPTURE(Name);
      const auto *Known = Started.Agent->directory().find(Name);
      REQUIRE(Known != nullptr);
      CHECK(Known->Upstream.State == upstream_state::Serving);
    }
    // The others can send requests to a restarted daemon before its upstream
    // announces itself again.
    if (std::string(Case.Instance) == "b-3")
      CHECK(Fleet->Nodes.at("a-1")
                ->Agent->directory()
                .find("b-3")
                ->Upstream.State == upstream_state::Serving);
  }
}

TEST_CASE("after a restart of the whole fleet all daemons know all upstreams") {
  auto Fleet = sixDaemons();
  for (const std::string &Name : Six)
    Fleet->serve(Name, "v1");
  Fleet->run(milliseconds(1000));
  for (const std::string &Name : Six)
    Fleet->remove(Name);
  for (const std::string &Name : Six) {
    Fleet->add(Name, 9);
    // The upstreams restart under new names and announce themselves before the
    // members are known.
    upstream_record Upstream;
    Upstream.Name = "i-new-" + Name;
    Upstream.Service = "pages";
    Upstream.State = upstream_state::Serving;
    Upstream.StartUnixMs = 20;
    Fleet->Nodes.at(Name)->Agent->setUpstream(Upstream);
    Fleet->Platform.DropCommits = 1; // delays the registration
    Fleet->run(milliseconds(60));
  }
  Fleet->run(milliseconds(300));
  for (const std::string &Name : Six)
    for (const std::string &Other : Six)
      CHECK(Fleet->Nodes.at(Name)
                ->Agent->directory()
                .find(Other)
                ->Upstream.Name == "i-new-" + Other);
}

TEST_CASE("a daemon without peers is ready after the sync timeout") {
  fleet Fleet;
  Fleet.put("op/config", documentText(1));
  auto &Only = Fleet.add("a-1");
  Fleet.run(milliseconds(2000));
  CHECK(Only.Agent->ready());
}

TEST_CASE("the latest known state of a former upstream takes precedence") {
  auto Fleet = sixDaemons();
  Fleet->serve("b-3", "v1");
  Fleet->run(milliseconds(200));
  // a-2 does not receive the drain.
  Fleet->Disconnected.insert("a-2");
  upstream_record Draining = Fleet->Nodes.at("b-3")->Agent->self().Upstream;
  Draining.State = upstream_state::Draining;
  Fleet->Nodes.at("b-3")->Agent->setUpstream(Draining);
  Fleet->run(milliseconds(200));
  Fleet->remove("b-3");
  auto &Again = Fleet->add("b-3", 9);
  Fleet->Disconnected.clear();
  Fleet->run(milliseconds(1500));
  REQUIRE(Again.Agent->formerUpstream().has_value());
  CHECK(Again.Agent->formerUpstream()->State == upstream_state::Draining);
}

// The restarted daemon announced what an old record says, and the others took
// it for the present state.
TEST_CASE("an upstream that has left is not used after a restart") {
  struct restart_case {
    const char *Name;
    bool PlatformDown;     // when the upstream leaves
    bool OldRecord;        // the platform returns the record from before that
    double LossRate;       // while the others are told
    std::size_t Restarted; // of the daemons, from the one beside the upstream
  };
  const restart_case Cases[] = {
      {"the platform has the change", false, false, 0, 1},
      {"the platform is down", true, false, 0, 1},
      {"the platform returns an old record", false, true, 0, 1},
      {"datagrams are lost", true, false, 0.6, 1},
      {"some daemons restart together", true, false, 0, 3},
  };
  const std::vector<std::string> Order = {"b-3", "a-1", "b-1"};
  for (const restart_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemons();
    Fleet->serve("b-3", "v1");
    Fleet->run(milliseconds(3000));
    const std::string Key = "hyssop/members/b-3";
    const auto Old = Fleet->Platform.entries().at(Key);
    Fleet->Platform.Down = Case.PlatformDown;
    Fleet->LossRate = Case.LossRate;
    upstream_record Gone = Fleet->Nodes.at("b-3")->Agent->self().Upstream;
    Gone.State = upstream_state::Gone;
    Fleet->Nodes.at("b-3")->Agent->setUpstream(Gone);
    Fleet->run(milliseconds(500));
    for (std::size_t I = 0; I < Case.Restarted; ++I)
      Fleet->remove(Order[I]);
    Fleet->Platform.Down = false;
    Fleet->LossRate = 0;
    if (Case.OldRecord) {
      coordination::platform_txn Txn;
      Txn.Puts.push_back({Key, Old.Value, Old.Lease});
      Fleet->Platform.commit(Txn, [](auto) {});
      Fleet->Platform.run();
    }
    for (std::size_t I = 0; I < Case.Restarted; ++I)
      Fleet->add(Order[I], 9);
    for (int Step = 0; Step < 30; ++Step) {
      Fleet->run(milliseconds(100));
      for (const std::string &Name : Six) {
        CAPTURE(Name);
        // A restarted daemon needs this time to learn it.
        if (Step < 10 &&
            std::find(Order.begin(), Order.end(), Name) != Order.end())
          continue;
        const auto *Known =
            Fleet->Nodes.at(Name)->Agent->directory().find("b-3");
        REQUIRE(Known != nullptr);
        CHECK(Known->Upstream.State != upstream_state::Serving);
      }
    }
  }
}

TEST_CASE("a departure lasts when the platform or other daemons keep it") {
  struct departure_case {
    const char *Name;
    bool PlatformDown;
    double LossRate;
    milliseconds Time; // at most
    bool Lasts;
  };
  const departure_case Cases[] = {
      {"the platform has it", false, 0, milliseconds(40), true},
      {"others keep it", true, 0, milliseconds(80), true},
      {"others keep it, datagrams are lost", true, 0.5, milliseconds(800),
       true},
      {"nobody keeps it", true, 1, milliseconds(1000), false},
  };
  for (const departure_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemons();
    Fleet->serve("b-3", "v1");
    Fleet->run(milliseconds(1000));
    Fleet->Platform.Down = Case.PlatformDown;
    Fleet->LossRate = Case.LossRate;
    auto &Agent = *Fleet->Nodes.at("b-3")->Agent;
    upstream_record Gone = Agent.self().Upstream;
    Gone.State = upstream_state::Gone;
    Agent.setUpstream(Gone);
    std::optional<bool> Lasts;
    Agent.whenDepartureLasts([&](bool Value) { Lasts = Value; });
    CHECK_FALSE(Lasts.has_value());
    Fleet->run(Case.Time);
    REQUIRE(Lasts.has_value());
    CHECK(*Lasts == Case.Lasts);
  }
}

TEST_CASE("a change that the platform missed is written after its outage") {
  auto Fleet = sixDaemons();
  Fleet->serve("b-3", "v1");
  Fleet->run(milliseconds(200));
  Fleet->Platform.Down = true;
  upstream_record Gone = Fleet->Nodes.at("b-3")->Agent->self().Upstream;
  Gone.State = upstream_state::Gone;
  Fleet->Nodes.at("b-3")->Agent->setUpstream(Gone);
  Fleet->run(milliseconds(5000));
  Fleet->Platform.Down = false;
  Fleet->run(milliseconds(2500));
  const auto Stored = coordination::decodeMember(
      Fleet->Platform.entries().at("hyssop/members/b-3").Value);
  REQUIRE(Stored.has_value());
  CHECK(Stored.value().Upstream.State == upstream_state::Gone);
}

TEST_CASE("a start costs few calls to the platform") {
  struct cost_case {
    const char *Name;
    const char *Instance;
    std::uint64_t Calls;      // linearizable calls, at most
    std::uint64_t StaleReads; // reads that may be stale, at most
  };
  for (const cost_case &Case :
       {cost_case{"new", "b-4", 3, 2}, cost_case{"again", "b-3", 0, 2}}) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemons();
    Fleet->run(milliseconds(2000));
    if (Fleet->Nodes.contains(Case.Instance))
      Fleet->remove(Case.Instance);
    const std::uint64_t Calls = Fleet->Platform.Calls;
    const std::uint64_t StaleReads = Fleet->Platform.StaleReads;
    Fleet->add(Case.Instance, 9);
    Fleet->run(milliseconds(3000));
    CHECK(Fleet->Platform.Calls - Calls <= Case.Calls);
    CHECK(Fleet->Platform.StaleReads - StaleReads <= Case.StaleReads);
    CHECK(Fleet->Platform.entries().contains("hyssop/members/" +
                                             std::string(Case.Instance)));
  }
}

TEST_CASE("a relay that stops is replaced by a single daemon") {
  auto Fleet = sixDaemons();
  for (int I = 4; I < 10; ++I)
    Fleet->add("a-" + std::to_string(I));
  Fleet->run(milliseconds(4000));
  const std::uint64_t Calls = Fleet->Platform.Calls;
  Fleet->remove("a-1");
  Fleet->run(milliseconds(4000));
  // One daemon reads the operators' keys and the statuses, and starts a watch.
  CHECK(Fleet->Platform.Calls - Calls <= 4);
  Fleet->put("op/config", documentText(2));
  Fleet->run(milliseconds(1000));
  CHECK(allHave(*Fleet, 2));
}

TEST_CASE("a lost upstream change is repaired") {
  auto Fleet = sixDaemons();
  Fleet->serve("a-2", "v1");
  Fleet->Datagrams.clear(); // none of them arrives
  Fleet->run(milliseconds(3000));
  for (const std::string &Name : Six)
    CHECK(
        Fleet->Nodes.at(Name)->Agent->directory().find("a-2")->Upstream.Name ==
        "i-a-2");
}

TEST_CASE("rollouts end as the evidence says, under faults") {
  struct rollout_case {
    const char *Name;
    bool Bad;
    std::function<void(fleet &)> Fault; // injected 3 s after the order
    const char *Expected;
  };
  const rollout_case Cases[] = {
      {"good", false, [](fleet &) {}, "completed"},
      {"bad", true, [](fleet &) {}, "rolled_back"},
      {"good, the coordinator ends", false, [](fleet &F) { F.remove("a-1"); },
       "completed"},
      {"bad, the coordinator ends", true, [](fleet &F) { F.remove("a-1"); },
       "rolled_back"},
      {"good, an answer of the platform is lost", false,
       [](fleet &F) { F.Platform.LoseResponses = 1; }, "completed"},
      {"bad, a write is dropped", true,
       [](fleet &F) { F.Platform.DropCommits = 1; }, "rolled_back"},
  };
  for (const rollout_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemonsInRollout();
    for (int Step = 0; Step < 150; ++Step) {
      if (Step == 30)
        Case.Fault(*Fleet);
      Fleet->run(milliseconds(100));
      const auto *Rollout =
          Fleet->Nodes.at("b-2")->Agent->directory().rollout("pages");
      const std::uint32_t ShareBp = coordination::trafficSplit(Rollout).ShareBp;
      const auto AddRuns = [&](const char *Name, std::uint64_t Runs, bool Bad) {
        auto &Count = Fleet->Nodes.at(Name)->Counts["r"];
        Count.Runs += Runs;
        Count.Failures += Bad ? Runs / 2 : 0;
        Count.TotalMs += (Bad ? Runs - Runs / 2 : Runs) * 100;
      };
      for (const char *Old : {"a-2", "b-1"})
        AddRuns(Old, ShareBp == 10'000 ? 0 : 10, false);
      for (const char *New : {"a-3", "b-2"})
        AddRuns(New, Rollout == nullptr ? 0 : ShareBp * 20 / 10'000 + 1,
                Case.Bad && Step > 10);
    }
    checkWrittenState(*Fleet, Case.Expected);
    for (const auto &[Name, Node] : Fleet->Nodes) {
      const auto *Rollout = Node->Agent->directory().rollout("pages");
      REQUIRE(Rollout != nullptr);
      CHECK(coordination::trafficSplit(Rollout).ShareBp ==
            (Case.Bad ? 0 : 10'000));
    }
  }
}

// All daemons of a data centre called the platform and sent beacons to all
// members.
TEST_CASE("an outage of the platform costs few calls and datagrams") {
  struct outage_case {
    const char *Name;
    std::function<void(fleet &)> Fault;
  };
  const outage_case Cases[] = {
      {"the platform refuses calls", [](fleet &F) { F.Platform.Down = true; }},
      {"the platform ends the watches only", [](fleet &) {}},
  };
  for (const outage_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    fleet Fleet;
    Fleet.put("op/config", documentText(1));
    constexpr int DaemonsInDataCentre = 20;
    constexpr std::uint64_t DataCentres = 2;
    for (const char *DataCentre : {"a-", "b-"})
      for (int I = 10; I < 10 + DaemonsInDataCentre; ++I)
        Fleet.add(DataCentre + std::to_string(I));
    Fleet.run(milliseconds(5000));
    constexpr std::uint64_t Seconds = 8;
    const milliseconds Time(1000 * Seconds);
    const unsigned DatagramsBefore = Fleet.DatagramCount;
    Fleet.run(Time);
    const unsigned DatagramsAtRest = Fleet.DatagramCount - DatagramsBefore;
    const std::uint64_t Calls = Fleet.Platform.Calls;
    Case.Fault(Fleet);
    Fleet.Platform.breakWatches();
    Fleet.run(Time);
    // Ten a second for each data centre, however many daemons it has.
    CHECK(Fleet.Platform.Calls - Calls <= 10 * Seconds * DataCentres);
    CHECK(Fleet.DatagramCount - DatagramsBefore <= 3 * DatagramsAtRest);
    Fleet.Platform.Down = false;
    Fleet.put("op/config", documentText(2));
    Fleet.run(milliseconds(2000));
    CHECK(allHave(Fleet, 2));
  }
}

// A relay whose only read of the statuses had failed still counted as the
// coordinator, and decided nothing.
TEST_CASE("a rollout is decided although the statuses can't be read at first") {
  fleet Fleet;
  Fleet.put("op/config", documentText(1));
  Fleet.Platform.FailReadsOf = Fleet.Codec.statusPrefix();
  for (const std::string &Name : Six)
    Fleet.add(Name);
  Fleet.run(milliseconds(4000));
  Fleet.Platform.FailReadsOf.clear();
  Fleet.serve("a-2", "v1");
  Fleet.serve("a-3", "v2");
  Fleet.put("op/rollout/pages",
            R"({"service":"pages","toVersion":"v2","durationS":16})");
  Fleet.run(milliseconds(2000));
  CHECK(Fleet.Nodes.at("b-2")->Agent->directory().rollout("pages") != nullptr);
  CHECK(Fleet.Platform.entries().contains("status/rollout/pages"));
}

// The counts of all routes went in one datagram, which was cut off when more
// than about 80 routes were in use.
TEST_CASE("a bad version is rolled back however many routes its service has") {
  struct routes_case {
    const char *Name;
    int Routes;
    bool Bad;
    double LossRate;
    const char *Expected;
  };
  const routes_case Cases[] = {
      {"bad, a few routes", 3, true, 0, "rolled_back"},
      {"bad, 350 routes", 350, true, 0, "rolled_back"},
      {"bad, 350 routes, datagrams are lost", 350, true, 0.2, "rolled_back"},
      {"good, 350 routes", 350, false, 0, "completed"},
      {"good, 350 routes, datagrams are lost", 350, false, 0.2, "completed"},
  };
  for (const routes_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemonsInRollout();
    Fleet->LossRate = Case.LossRate;
    constexpr std::uint64_t RunsInStep = 30; // 300 calls a second
    const auto Draw = [&](int Limit) {
      return static_cast<int>(state::uniformBelow(
          Fleet->Random, static_cast<std::uint64_t>(Limit)));
    };
    std::uint64_t AllRuns = 0;
    std::uint64_t NewRuns = 0;
    for (int Step = 0; Step < 200; ++Step) {
      Fleet->run(milliseconds(100));
      const std::uint32_t ShareBp =
          coordination::trafficSplit(
              Fleet->Nodes.at("a-1")->Agent->directory().rollout("pages"))
              .ShareBp;
      for (std::uint64_t I = 0; I < RunsInStep; ++I) {
        const bool New = Draw(10'000) < static_cast<int>(ShareBp);
        const bool First = Draw(2) == 0;
        const char *Upstream =
            New ? (First ? "a-3" : "b-2") : (First ? "a-2" : "b-1");
        auto &Count = Fleet->Nodes.at(Upstream)
                          ->Counts["r-b" + std::to_string(Draw(Case.Routes))];
        ++Count.Runs;
        if (New && Case.Bad && ShareBp == 10'000 && Draw(3) == 0)
          ++Count.Failures;
        else
          Count.TotalMs += 100;
        NewRuns += New ? 1 : 0;
      }
      AllRuns += Step < 160 ? RunsInStep : 0;
    }
    checkWrittenState(*Fleet, Case.Expected);
    if (Case.Bad)
      CHECK(NewRuns <= allowedRuns(AllRuns));
  }
}

// While the platform is away, no relay can write a state, but calls go on.
TEST_CASE("a version that turns bad during an outage of the platform gets no "
          "more requests") {
  struct outage_case {
    const char *Name;
    int OutageStep;    // 100 ms each, from the order
    int OutageEndStep; // the rollout is to be completed at step 160
    bool Bad;          // from the full share on
    const char *Expected;
  };
  const outage_case Cases[] = {
      {"bad, no outage", 200, 200, true, "rolled_back"},
      {"bad, outage before the full share", 60, 130, true, "rolled_back"},
      {"bad, outage at the full share", 74, 130, true, "rolled_back"},
      {"bad, outage until after the deadline", 76, 170, true, "rolled_back"},
      {"good, short outage", 60, 90, false, "completed"},
      {"good, outage at the full share", 78, 130, false, "completed"},
  };
  for (const outage_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemonsInRollout();
    constexpr std::uint64_t RunsInStep = 20; // of each data centre
    std::uint64_t AllRuns = 0;
    std::uint64_t NewRuns = 0;
    for (int Step = 0; Step < 200; ++Step) {
      if (Step == Case.OutageStep) {
        Fleet->Platform.Down = true;
        Fleet->Platform.breakWatches();
      }
      if (Step == Case.OutageEndStep)
        Fleet->Platform.Down = false;
      Fleet->run(milliseconds(100));
      const std::uint32_t ShareBp =
          coordination::trafficSplit(
              Fleet->Nodes.at("b-2")->Agent->directory().rollout("pages"))
              .ShareBp;
      const bool Bad = Case.Bad && ShareBp == 10'000;
      const auto AddRuns = [&](const char *Name, std::uint64_t Runs,
                               bool Fails) {
        auto &Count = Fleet->Nodes.at(Name)->Counts["r"];
        Count.Runs += Runs;
        Count.Failures += Fails ? Runs / 2 : 0;
        Count.TotalMs += (Fails ? Runs - Runs / 2 : Runs) * 100;
      };
      const std::uint64_t ToNew = ShareBp * RunsInStep / 10'000;
      for (const char *Old : {"a-2", "b-1"})
        AddRuns(Old, RunsInStep - ToNew, false);
      for (const char *New : {"a-3", "b-2"})
        AddRuns(New, ToNew, Bad);
      AllRuns += Step < 160 ? 2 * RunsInStep : 0;
      NewRuns += 2 * ToNew;
    }
    checkWrittenState(*Fleet, Case.Expected);
    if (Case.Bad)
      CHECK(NewRuns <= allowedRuns(AllRuns));
  }
}

// A daemon that restarts counts from 0. At the full share the old version gets
// no more runs, so its earlier ones are all there is to compare with.
TEST_CASE("evidence of a rollout outlives the daemons that counted it") {
  struct restart_case {
    const char *Name;
    std::vector<std::string> Restarted;
    bool Slow; // the new version, after the restarts
    const char *Expected;
  };
  const restart_case Cases[] = {
      {"slow, daemons beside the old version restart",
       {"a-2", "b-1"},
       true,
       "rolled_back"},
      {"slow, daemons beside the new version restart",
       {"a-3", "b-2"},
       true,
       "rolled_back"},
      {"slow, all but the coordinator restart",
       {"a-2", "a-3", "b-1", "b-2"},
       true,
       "rolled_back"},
      {"good, all but the coordinator restart",
       {"a-2", "a-3", "b-1", "b-2"},
       false,
       "completed"},
  };
  for (const restart_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemonsInRollout();
    constexpr int RestartStep = 90; // after the full share, before the end
    for (int Step = 0; Step < 150; ++Step) {
      if (Step == RestartStep)
        for (const std::string &Name : Case.Restarted) {
          const std::string Version =
              Fleet->Nodes.at(Name)->Agent->self().Upstream.Version;
          Fleet->remove(Name);
          Fleet->add(Name, 2);
          Fleet->serve(Name, Version);
        }
      Fleet->run(milliseconds(100));
      const auto *Rollout =
          Fleet->Nodes.at("a-1")->Agent->directory().rollout("pages");
      const std::uint32_t ShareBp = coordination::trafficSplit(Rollout).ShareBp;
      const auto AddRuns = [&](const char *Name, std::uint64_t Runs,
                               std::uint64_t RunMs) {
        auto &Count = Fleet->Nodes.at(Name)->Counts["r"];
        Count.Runs += Runs;
        Count.TotalMs += Runs * RunMs;
      };
      for (const char *Old : {"a-2", "b-1"})
        AddRuns(Old, ShareBp == 10'000 ? 0 : 10, 100);
      for (const char *New : {"a-3", "b-2"})
        AddRuns(New, ShareBp * 20 / 10'000 + 1,
                Case.Slow && Step > RestartStep ? 300 : 100);
    }
    checkWrittenState(*Fleet, Case.Expected);
  }
}

TEST_CASE("a finished rollout is known to daemons that start later") {
  auto Fleet = std::make_unique<fleet>();
  Fleet->put("op/config", documentText(1));
  Fleet->put("op/rollout/pages",
             R"({"service":"pages","toVersion":"v2","durationS":16})");
  Fleet->put("status/rollout/pages",
             R"({"toVersion":"v2","state":"rolled_back"})");
  for (const std::string &Name : Six)
    Fleet->add(Name);
  Fleet->run(milliseconds(4000));
  for (const auto &[Name, Node] : Fleet->Nodes) {
    const auto *Rollout = Node->Agent->directory().rollout("pages");
    REQUIRE(Rollout != nullptr);
    CHECK(Rollout->State == rollout_state::RolledBack);
  }
}

TEST_CASE("foreign records on the platform are ignored") {
  auto Fleet = std::make_unique<fleet>();
  Fleet->put("op/config", documentText(1));
  Fleet->put("op/rollout/pages", "no json");
  Fleet->put("op/rollout/", R"({"service":"","toVersion":"","durationS":-1})");
  Fleet->put("status/rollout/pages", R"({"state":"flying"})");
  Fleet->put("hyssop/members/x", "\xff\xfegarbage");
  for (const std::string &Name : Six)
    Fleet->add(Name);
  Fleet->run(milliseconds(4000));
  CHECK(allHave(*Fleet, 1));
  CHECK(Fleet->Nodes.at("a-1")->Agent->directory().size() == Six.size());
  CHECK(Fleet->Nodes.at("a-1")->Agent->directory().rollouts().empty());
}

// Other writers may leave entries under the same prefixes.
TEST_CASE("odd entries on the platform neither end nor stop a daemon") {
  const auto Repeat = [](const std::string &Text, std::size_t Count) {
    std::string Repeated;
    for (std::size_t I = 0; I < Count; ++I)
      Repeated += Text;
    return Repeated;
  };
  constexpr std::size_t Depth = 200'000;
  coordination::member_record Far;
  Far.Instance = "x";
  Far.Incarnation = 1;
  Far.DataCentre = "a";
  Far.HopAddress = Far.ControlAddress = "10.0.0.1:99999";
  Far.Upstream.Name = "i-x";
  Far.Upstream.Service = "pages";
  Far.Upstream.State = upstream_state::Serving;
  struct entry_case {
    const char *Name;
    const char *Key;
    std::string Value;
  };
  const entry_case Cases[] = {
      {"member, nested arrays", "hyssop/members/x", Repeat("\x91", Depth)},
      {"member, nested maps", "hyssop/members/x",
       Repeat("\x81\xa1\x61", Depth)},
      {"member, port out of range", "hyssop/members/x",
       coordination::encodeMember(Far)},
      {"member, infinite number", "hyssop/members/x",
       "\x92\xa1\x78\xcb\x7f\xf0" + std::string(6, '\0')},
      {"document, nested lists", "op/other", Repeat("[", Depth)},
      {"order, nested lists", "op/rollout/x", Repeat("[", Depth)},
      {"order, nested objects", "op/rollout/x", Repeat(R"({"a":)", Depth)},
      {"order, duration too large", "op/rollout/x",
       R"({"service":"x","toVersion":"v2","durationS":1e999})"},
      {"order, duration beyond all clocks", "op/rollout/x",
       R"({"service":"x","toVersion":"v2","durationS":1e300})"},
      {"status, nested lists", "status/rollout/x", Repeat("[", Depth)},
  };
  for (const entry_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = std::make_unique<fleet>();
    Fleet->put("op/config", documentText(1));
    Fleet->put(Case.Key, Case.Value);
    for (const std::string &Name : Six)
      Fleet->add(Name);
    Fleet->run(milliseconds(4000));
    CHECK(allHave(*Fleet, 1));
    for (const char *Old : {"a-2", "b-1"})
      Fleet->serve(Old, "v1");
    Fleet->put("op/config", documentText(2));
    Fleet->put("op/rollout/pages",
               R"({"service":"pages","toVersion":"v2","durationS":16})");
    // Written once more while the daemons watch.
    Fleet->put(Case.Key, Case.Value);
    Fleet->put("op/config", documentText(3));
    Fleet->run(milliseconds(3000));
    CHECK(allHave(*Fleet, 3));
    CHECK(Fleet->Nodes.at("b-2")->Agent->directory().rollout("pages") !=
          nullptr);
  }
}
