/// \file
/// Several fleet agents on one fake platform and a fake network: membership,
/// documents, relays and rollouts under faults.
#include "hyssopledge/coordination/fleet_agent.h"

#include "platform/operator_codec.h"
#include "support/fake_platform.h"
#include "support/manual_timer_service.h"

#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
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

/// Daemons "a-1", "a-2", "b-1", ...; the letter is the data centre.
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
        const std::string &CallAddress,
        std::function<void(state::result<std::string>)> Handler) override {
      ++Fleet.Fetches;
      const auto Peer = Fleet.Nodes.find(CallAddress);
      if (Peer == Fleet.Nodes.end() || Fleet.cut(Name, CallAddress))
        return Handler(state::failure(state::errc::Unavailable, "unreachable"));
      Handler(Peer->second->Agent->documentText());
    }

    fleet &Fleet;
    std::string Name;
    coordination::route_counts Counts;
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
    Options.CallAddress = Options.ControlAddress = Name;
    Options.Incarnation = Incarnation;
    coordination::fleet_agent_hooks Hooks;
    Hooks.OnDocument = [&Added](auto Table) {
      CHECK(Table->version() > Added.LowestVersion); // never back
      Added.LowestVersion = Table->version();
    };
    Hooks.RouteCounts = [&Added] { return Added.Counts; };
    Hooks.OnFormerUpstream = [&Added](const upstream_record &Former) {
      // As the registry of upstreams does.
      if (Former.State == upstream_state::Serving &&
          Added.Agent->self().Upstream.State == upstream_state::None)
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

  bool cut(const std::string &A, const std::string &B) const {
    return Cut.contains(A) || Cut.contains(B);
  }

  void run(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += milliseconds(20)) {
      Timers.advance(milliseconds(20));
      Platform.run();
      // Answers to datagrams are delivered in the same step.
      for (int Round = 0; Round < 4 && !Datagrams.empty(); ++Round)
        for (auto &Datagram : std::exchange(Datagrams, {})) {
          ++Sent;
          if (cut(Datagram.From, Datagram.To) ||
              (LoseEvery != 0 && Sent % LoseEvery == 0) ||
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
  std::set<std::string> Cut; // from other daemons
  unsigned LoseEvery = 0;
  double LossRate = 0; // of all datagrams
  state::random_engine Random{7};
  unsigned Sent = 0;
  unsigned Fetches = 0;
};

const std::vector<std::string> Six = {"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"};

/// Six daemons in two data centres with document 1.
std::unique_ptr<fleet> sixDaemons() {
  auto Fleet = std::make_unique<fleet>();
  Fleet->put("op/config", documentText(1));
  for (const std::string &Name : Six)
    Fleet->add(Name);
  Fleet->run(milliseconds(4000));
  return Fleet;
}

bool allHave(const fleet &Fleet, std::uint64_t Version) {
  for (const auto &[Name, Node] : Fleet.Nodes)
    if (Fleet.version(Name) != Version)
      return false;
  return true;
}

} // namespace

TEST_CASE("daemons find each other and agree") {
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
      {"calm", [](fleet &) {}, 700},
      {"every third datagram is lost", [](fleet &F) { F.LoseEvery = 3; }, 1600},
      {"the relay of a data centre has ended",
       [](fleet &F) { F.remove("a-1"); }, 3500},
      {"the relay is cut off from the others",
       [](fleet &F) { F.Cut.insert("a-1"); }, 3500},
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

TEST_CASE("of a quick succession daemons fetch only some documents") {
  auto Fleet = sixDaemons();
  const unsigned Before = Fleet->Fetches;
  for (int Version = 2; Version < 52; ++Version) {
    Fleet->put("op/config", documentText(Version));
    Fleet->run(milliseconds(100));
  }
  Fleet->run(milliseconds(1000));
  CHECK(allHave(*Fleet, 51));
  // 5 s with at most one fetch in 250 ms by each of the four daemons that are
  // not relays; a relay may fetch as well when another one is ahead.
  CHECK(Fleet->Fetches - Before <= 6 * 24);
}

TEST_CASE("a document that can't be read changes nothing") {
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

TEST_CASE("with the platform down a daemon that starts learns from its peers") {
  auto Fleet = sixDaemons();
  Fleet->put("op/config", documentText(5));
  Fleet->run(milliseconds(1000));
  Fleet->Platform.Down = true;
  Fleet->remove("b-2");
  Fleet->add("b-2", 2);
  Fleet->run(milliseconds(2000));
  CHECK(Fleet->version("b-2") == 5);
  CHECK(Fleet->Nodes.at("b-2")->Agent->directory().size() == Six.size());
  // And a change is followed again after the outage.
  Fleet->Platform.Down = false;
  Fleet->put("op/config", documentText(6));
  Fleet->run(milliseconds(3000));
  CHECK(allHave(*Fleet, 6));
}

TEST_CASE("a daemon whose clock went back is still heard") {
  auto Fleet = sixDaemons();
  Fleet->remove("b-3");
  Fleet->add("b-3", 0); // below its former incarnation
  Fleet->run(milliseconds(3000));
  Fleet->serve("b-3", "v1");
  Fleet->run(milliseconds(200));
  CHECK(Fleet->Nodes.at("a-1")->Agent->directory().find("b-3")->Upstream.Name ==
        "i-b-3");
}

TEST_CASE("a restarted daemon learns what its upstream had said") {
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

TEST_CASE("a daemon that starts knows the upstreams of the others at once") {
  struct start_case {
    const char *Name;
    const char *Instance;
    bool OthersChange; // all the time
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
    // What was started again is sent requests again before it hears anew of its
    // upstream.
    if (std::string(Case.Instance) == "b-3")
      CHECK(Fleet->Nodes.at("a-1")
                ->Agent->directory()
                .find("b-3")
                ->Upstream.State == upstream_state::Serving);
  }
}

TEST_CASE(
    "after a failure of the whole fleet all find each other's upstreams") {
  auto Fleet = sixDaemons();
  for (const std::string &Name : Six)
    Fleet->serve(Name, "v1");
  Fleet->run(milliseconds(1000));
  for (const std::string &Name : Six)
    Fleet->remove(Name);
  for (const std::string &Name : Six) {
    Fleet->add(Name, 9);
    // The upstreams have new names and say so before the members are known.
    upstream_record Upstream;
    Upstream.Name = "i-new-" + Name;
    Upstream.Service = "pages";
    Upstream.State = upstream_state::Serving;
    Upstream.StartUnixMs = 20;
    Fleet->Nodes.at(Name)->Agent->setUpstream(Upstream);
    Fleet->Platform.DropCommits = 1; // the platform is late
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

TEST_CASE("a daemon without anybody to ask is ready after a time") {
  fleet Fleet;
  Fleet.put("op/config", documentText(1));
  auto &Only = Fleet.add("a-1");
  Fleet.run(milliseconds(2000));
  CHECK(Only.Agent->ready());
}

TEST_CASE("of what is said of a former upstream the latest state holds") {
  auto Fleet = sixDaemons();
  Fleet->serve("b-3", "v1");
  Fleet->run(milliseconds(200));
  // a-2 does not hear of the drain.
  Fleet->Cut.insert("a-2");
  upstream_record Draining = Fleet->Nodes.at("b-3")->Agent->self().Upstream;
  Draining.State = upstream_state::Draining;
  Fleet->Nodes.at("b-3")->Agent->setUpstream(Draining);
  Fleet->run(milliseconds(200));
  Fleet->remove("b-3");
  auto &Again = Fleet->add("b-3", 9);
  Fleet->Cut.clear();
  Fleet->run(milliseconds(1500));
  REQUIRE(Again.Agent->formerUpstream().has_value());
  CHECK(Again.Agent->formerUpstream()->State == upstream_state::Draining);
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
    std::uint64_t Calls;    // that count in full, at most
    std::uint64_t OldReads; // that may be old, at most
  };
  for (const cost_case &Case :
       {cost_case{"new", "b-4", 3, 2}, cost_case{"again", "b-3", 0, 2}}) {
    CAPTURE(std::string(Case.Name));
    auto Fleet = sixDaemons();
    Fleet->run(milliseconds(2000));
    if (Fleet->Nodes.contains(Case.Instance))
      Fleet->remove(Case.Instance);
    const std::uint64_t Calls = Fleet->Platform.Calls;
    const std::uint64_t OldReads = Fleet->Platform.OldReads;
    Fleet->add(Case.Instance, 9);
    Fleet->run(milliseconds(3000));
    CHECK(Fleet->Platform.Calls - Calls <= Case.Calls);
    CHECK(Fleet->Platform.OldReads - OldReads <= Case.OldReads);
    CHECK(Fleet->Platform.entries().contains("hyssop/members/" +
                                             std::string(Case.Instance)));
  }
}

TEST_CASE("a relay that ends is followed by one daemon, not by all") {
  auto Fleet = sixDaemons();
  for (int I = 4; I < 10; ++I)
    Fleet->add("a-" + std::to_string(I));
  Fleet->run(milliseconds(4000));
  const std::uint64_t Calls = Fleet->Platform.Calls;
  Fleet->remove("a-1");
  Fleet->run(milliseconds(4000));
  // One reads the operators' input and the states, and watches.
  CHECK(Fleet->Platform.Calls - Calls <= 4);
  Fleet->put("op/config", documentText(2));
  Fleet->run(milliseconds(1000));
  CHECK(allHave(*Fleet, 2));
}

TEST_CASE("lost change of an upstream is repaired") {
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
    std::function<void(fleet &)> Fault; // 3 s after the order
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
    auto Fleet = sixDaemons();
    for (const char *Old : {"a-2", "b-1"})
      Fleet->serve(Old, "v1");
    for (const char *New : {"a-3", "b-2"})
      Fleet->serve(New, "v2");
    Fleet->put("op/rollout/pages",
               R"({"service":"pages","toVersion":"v2","durationS":16})");
    for (int Step = 0; Step < 150; ++Step) {
      if (Step == 30)
        Case.Fault(*Fleet);
      Fleet->run(milliseconds(100));
      const auto *Rollout =
          Fleet->Nodes.at("b-2")->Agent->directory().rollout("pages");
      const std::uint32_t ShareBp = coordination::versionRule(Rollout).ShareBp;
      const auto Answer = [&](const char *Name, std::uint64_t Runs, bool Bad) {
        auto &Count = Fleet->Nodes.at(Name)->Counts["r"];
        Count.Runs += Runs;
        Count.Failures += Bad ? Runs / 2 : 0;
        Count.TotalMs += (Bad ? Runs - Runs / 2 : Runs) * 100;
      };
      for (const char *Old : {"a-2", "b-1"})
        Answer(Old, ShareBp == 10'000 ? 0 : 10, false);
      for (const char *New : {"a-3", "b-2"})
        Answer(New, Rollout == nullptr ? 0 : ShareBp * 20 / 10'000 + 1,
               Case.Bad && Step > 10);
    }
    const auto &Entries = Fleet->Platform.entries();
    REQUIRE(Entries.contains("status/rollout/pages"));
    CHECK(Entries.at("status/rollout/pages").Value.find(Case.Expected) !=
          std::string::npos);
    for (const auto &[Name, Node] : Fleet->Nodes) {
      const auto *Rollout = Node->Agent->directory().rollout("pages");
      REQUIRE(Rollout != nullptr);
      CHECK(coordination::versionRule(Rollout).ShareBp ==
            (Case.Bad ? 0 : 10'000));
    }
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
