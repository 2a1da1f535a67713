/// \file
/// Runs fleet agents with the real client of the platform's store against a
/// stand-in that withholds responses. Guards documents and rollouts while the
/// store does not respond to the daemons that follow it for the others.
#include "hyssopledge/coordination/fleet_agent.h"
#include "hyssopledge/transport/asio_timer_service.h"

#include "platform/kv_store.h"
#include "platform/operator_codec.h"
#include "support/kv_standin.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

using namespace hyssopledge;
using std::chrono::milliseconds;

namespace {

// The users' bounds: configApplyMs, and maxStretchMs while the store is
// disturbed.
constexpr milliseconds ApplyTime{2000};
constexpr milliseconds StretchTime{5000};
constexpr milliseconds RollbackTime{5000}; // rollbackMs

std::string documentText(int Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"services":[{"name":"pages"}],"virtualHosts":[{"host":"h","paths":)"
         R"([{"name":"r","prefix":"/a/","kind":"safe","timeoutMs":500,)"
         R"("service":"pages"}]}]})";
}

/// Daemons named "a-1", "b-1" and so on; the letter is the data centre. The
/// lowest of each data centre is its relay, and a-1 is the coordinator.
class fleet {
public:
  struct node final : coordination::peer_transport {
    void send(const std::string &ControlAddress,
              const std::string &Datagram) override {
      boost::asio::post(Fleet->Context, [this, ControlAddress, Datagram] {
        Fleet->Nodes.at(ControlAddress)->Agent->onDatagram(Datagram);
      });
    }
    void fetchDocument(
        const std::string &HopAddress,
        std::function<void(state::result<std::string>)> Handler) override {
      boost::asio::post(Fleet->Context, [this, HopAddress, Handler] {
        Handler(Fleet->Nodes.at(HopAddress)->Agent->documentText());
      });
    }

    fleet *Fleet = nullptr;
    std::unique_ptr<platform::kv_store> Store;
    std::unique_ptr<coordination::fleet_agent> Agent;
  };

  fleet() {
    Store.put("op/config", documentText(1));
    for (const char *Name : {"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"})
      add(Name);
    runUntil([this] { return allHave(1); }, milliseconds(5000));
    // The relays take over and begin to watch.
    runFor(milliseconds(3000));
  }

  bool allHave(std::uint64_t Version) const {
    for (const auto &[Name, Node] : Nodes)
      if (!Node->Agent->document() ||
          Node->Agent->document()->version() != Version)
        return false;
    return true;
  }

  /// Whether no daemon sends anything to the version.
  bool allHold(const std::string &Version) const {
    for (const auto &[Name, Node] : Nodes) {
      const auto Split = split(*Node);
      if (Split.ToVersion != Version || Split.ShareBp != 0)
        return false;
    }
    return true;
  }
  /// The smallest share of the new version at a daemon, in 1/10,000.
  std::uint32_t shareOfAll() const {
    std::uint32_t Share = 10'000;
    for (const auto &[Name, Node] : Nodes)
      Share = std::min(Share, split(*Node).ShareBp);
    return Share;
  }

  void serve(const std::string &Name, const std::string &Version) {
    coordination::upstream_record Upstream;
    Upstream.Name = "i-" + Name;
    Upstream.Service = "pages";
    Upstream.Version = Version;
    Upstream.Slots = 12;
    Upstream.State = coordination::upstream_state::Serving;
    Nodes.at(Name)->Agent->setUpstream(Upstream);
  }

  void runFor(milliseconds Time) {
    Context.restart();
    Context.run_for(Time);
  }
  bool runUntil(const std::function<bool()> &Condition, milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (!Condition() && std::chrono::steady_clock::now() < End)
      runFor(milliseconds(5));
    return Condition();
  }

  boost::asio::io_context Context;
  transport::asio_timer_service Timers{Context};
  tests::kv_standin Store{Context};
  platform::operator_codec Codec;
  std::map<std::string, std::unique_ptr<node>> Nodes;

private:
  static coordination::traffic_split split(const node &Node) {
    return coordination::trafficSplit(Node.Agent->directory().rollout("pages"));
  }

  void add(const std::string &Name) {
    auto Node = std::make_unique<node>();
    Node->Fleet = this;
    platform::kv_store_options StoreOptions;
    StoreOptions.Address = Store.serve(Name);
    Node->Store = std::make_unique<platform::kv_store>(Context, StoreOptions);
    coordination::fleet_agent_options Options;
    Options.Instance = Options.HopAddress = Options.ControlAddress = Name;
    Options.DataCentre = Name.substr(0, 1);
    Options.Incarnation = 1;
    Node->Agent = std::make_unique<coordination::fleet_agent>(
        Options, coordination::fleet_agent_hooks{}, Codec, *Node->Store, *Node,
        Timers);
    Node->Agent->start();
    Nodes.emplace(Name, std::move(Node));
  }
};

} // namespace

// The relays noticed a response that did not come only when their call's time
// limit of 26.5 s ended, and said until then that they reach the platform.
TEST_CASE("a document is in force in time while the store does not respond to "
          "the relays") {
  struct outage_case {
    const char *Name;
    std::function<void(fleet &)> Fault;
  };
  const outage_case Cases[] = {
      {"no fault", [](fleet &) {}},
      {"one relay gets no response",
       [](fleet &F) { F.Store.withholdFrom({"a-1"}); }},
      {"no relay gets a response",
       [](fleet &F) {
         F.Store.withholdFrom({"a-1", "b-1"});
       }},
      {"only the waiting calls get no response",
       [](fleet &F) { F.Store.loseWaitingResponses(); }},
  };
  for (const outage_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    fleet Fleet;
    REQUIRE(Fleet.allHave(1));
    Case.Fault(Fleet);
    Fleet.Store.put("op/config", documentText(2));
    CHECK(Fleet.runUntil([&] { return Fleet.allHave(2); },
                         ApplyTime + StretchTime));
  }
}

// The coordinator kept its office while the store gave it no response, and no
// other daemon decided. Until a decision, a version that nobody had released
// got the requests of a whole upstream.
TEST_CASE("an order is obeyed in time while the store does not respond to the "
          "coordinator") {
  struct order_case {
    const char *Name;
    std::set<std::string> Silent;
  };
  const order_case Cases[] = {
      {"no fault", {}},
      {"the coordinator gets no response", {"a-1"}},
      {"no daemon of its data centre gets a response", {"a-1", "a-2", "a-3"}},
  };
  for (const order_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    fleet Fleet;
    REQUIRE(Fleet.allHave(1));
    Fleet.serve("a-2", "v1");
    Fleet.serve("b-2", "v1");
    Fleet.runFor(milliseconds(200));
    Fleet.Store.withholdFrom(Case.Silent);
    Fleet.Store.put("op/rollout/pages",
                    R"({"service":"pages","toVersion":"v2","durationS":16})");
    CHECK(Fleet.runUntil([&] { return Fleet.allHold("v2"); }, ApplyTime));
    Fleet.serve("a-3", "v2");
    Fleet.serve("b-3", "v2");
    CHECK(Fleet.runUntil([&] { return Fleet.shareOfAll() > 0; }, RollbackTime));
  }
}
