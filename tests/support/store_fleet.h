/// \file
/// Fleet of agents on the stand-in of the platform's store, with real
/// connections on loopback.
#pragma once

#include "hyssopledge/coordination/fleet_agent.h"
#include "hyssopledge/transport/asio_timer_service.h"
#include "hyssopledge/transport/compression.h"
#include "hyssopledge/transport/document_client.h"
#include "hyssopledge/transport/http_listener.h"

#include "platform/kv_store.h"
#include "platform/operator_codec.h"
#include "support/kv_standin.h"
#include "support/tcp_proxy.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hyssopledge::tests {

using std::chrono::milliseconds;

inline std::string documentText(int Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"services":[{"name":"pages"}],"virtualHosts":[{"host":"h","paths":)"
         R"([{"name":"r","prefix":"/a/","kind":"safe","timeoutMs":500,)"
         R"("service":"pages"}]}]})";
}

/// Fleet agents with the real clients of the platform's store and of documents,
/// on one event loop. Daemons named "a-1", "b-1" and so on; the letter is the
/// data centre. The lowest of each data centre is its relay, and a-1 is the
/// coordinator.
class store_fleet {
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
      Documents->fetch(HopAddress, std::move(Handler));
    }

    store_fleet *Fleet = nullptr;
    std::unique_ptr<platform::kv_store> Store;
    std::unique_ptr<transport::document_client> Documents;
    std::unique_ptr<transport::http_listener> DocumentListener;
    std::unique_ptr<coordination::fleet_agent> Agent;
    coordination::route_counts Counts; // at its upstream
  };

  /// CountsRuns: the daemons report the counts of their nodes.
  explicit store_fleet(bool CountsRuns = false) : CountsRuns(CountsRuns) {
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
  /// Whether all daemons know an order for the version.
  bool allFollow(const std::string &Version) const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Entry) {
      return split(*Entry.second).ToVersion == Version;
    });
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
  kv_standin Store{Context};
  tcp_proxy Proxy{Context}; // carries all connections
  platform::operator_codec Codec;
  std::map<std::string, std::unique_ptr<node>> Nodes;

private:
  static coordination::traffic_split split(const node &Node) {
    return coordination::trafficSplit(Node.Agent->directory().rollout("pages"));
  }

  bool CountsRuns;

  void add(const std::string &Name) {
    auto Node = std::make_unique<node>();
    Node->Fleet = this;
    platform::kv_store_options StoreOptions;
    StoreOptions.Address = Proxy.forward(Store.serve(Name));
    Node->Store = std::make_unique<platform::kv_store>(Context, StoreOptions);
    Node->Documents = std::make_unique<transport::document_client>(Context);
    auto Opened = transport::http_listener::open(
        {&Context}, "127.0.0.1:0", {},
        [Self = Node.get()](
            const std::shared_ptr<transport::server_exchange> &Call) {
          Call->respond(transport::makeResponse(
              200, "application/octet-stream",
              transport::compressText(Self->Agent->documentText())));
        });
    Node->DocumentListener = std::move(Opened.value());
    coordination::fleet_agent_options Options;
    Options.Instance = Options.ControlAddress = Name;
    Options.HopAddress = Proxy.forward(Node->DocumentListener->address());
    Options.DataCentre = Name.substr(0, 1);
    Options.Incarnation = 1;
    coordination::fleet_agent_hooks Hooks;
    if (CountsRuns)
      Hooks.RouteCounts = [Self = Node.get()] { return Self->Counts; };
    Node->Agent = std::make_unique<coordination::fleet_agent>(
        Options, Hooks, Codec, *Node->Store, *Node, Timers);
    Node->Agent->start();
    Nodes.emplace(Name, std::move(Node));
  }
};

} // namespace hyssopledge::tests
