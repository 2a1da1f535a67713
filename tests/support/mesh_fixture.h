/// \file
/// Test fixture on loopback: an entry daemon and a target daemon for each
/// scripted upstream, joined by their mesh planes.
#pragma once

#include "hyssopledge/transport/mesh_plane.h"

#include "platform/call_fields.h"
#include "support/http_fixture.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace hyssopledge::tests {

using coordination::upstream_state;
using std::chrono::milliseconds;

inline const char *const SignatureField = "Response-Signature: s\r\n";

/// What differs between tests at the mesh plane.
struct mesh_node_hooks {
  double HedgeRatio = 0;
  std::function<void(const state::workspace_spec &, transport::quota_handler)>
      AcquireQuota;
};

/// A daemon and its local upstream, running on its own thread.
class mesh_node {
public:
  mesh_node(const std::string &Name, const std::string &UpstreamAddress,
            double LinkMbps = 0, const mesh_node_hooks &TestHooks = {})
      : Name(Name), LinkMbps(LinkMbps), Metrics(Name),
        Work(Context.get_executor()) {
    const auto BodyBudget =
        std::make_shared<transport::byte_budget>(transport::DefaultBodyBudget);
    transport::upstream_client_options UpstreamOptions;
    UpstreamOptions.Pool.BodyBudget = BodyBudget;
    UpstreamOptions.Address = UpstreamAddress;
    UpstreamOptions.DrainGracePeriod = milliseconds(0);
    UpstreamOptions.Pool.AllowCloseDelimitedResponse = true;
    UpstreamOptions.Pool.ConnectTimeout = milliseconds(300);
    transport::upstream_client_hooks Hooks;
    Hooks.OnCrash = [this](const auto &Seen) { Crashes.push(Seen); };
    UpstreamClient = std::make_unique<transport::upstream_client>(
        Context, Fields, UpstreamOptions, Hooks);
    transport::mesh_plane_options Options;
    Options.PeerPool.BodyBudget = BodyBudget;
    Options.Instance = Name;
    Options.DataCentre = "dc1";
    Options.Service = "pages";
    Options.EntryAddress = Options.HopAddress = "127.0.0.1:0";
    Options.LinkMbps = LinkMbps;
    Options.RetryBudget.Slack = 1000;
    transport::mesh_plane_hooks PlaneHooks;
    PlaneHooks.Ping = [](const std::string &) {};
    PlaneHooks.AcquireQuota = TestHooks.AcquireQuota;
    Options.HedgeRatio = TestHooks.HedgeRatio;
    PlaneHooks.CompressedDocument = [] { return std::string("the document"); };
    Plane =
        std::move(transport::mesh_plane::open(Context, Options, PlaneHooks,
                                              Fields, *UpstreamClient, Metrics)
                      .value());
    Thread = std::thread([this] { Context.run(); });
  }
  ~mesh_node() {
    Context.stop();
    Thread.join();
    Plane.reset();
    UpstreamClient.reset();
  }

  /// Runs a function on the daemon's thread and waits until it returns.
  void run(const std::function<void()> &Function) {
    std::promise<void> Done;
    boost::asio::post(Context, [&] {
      Function();
      Done.set_value();
    });
    Done.get_future().wait();
  }
  coordination::member_record record() {
    coordination::member_record Record;
    Record.Instance = Name;
    Record.Incarnation = 1;
    Record.Revision = ++Revision;
    Record.DataCentre = "dc1";
    Record.HopAddress = Plane->hopAddress();
    Record.LinkMbps = LinkMbps;
    Record.Upstream.Name = "i-" + Name;
    Record.Upstream.Service = "pages";
    Record.Upstream.Slots = 4;
    Record.Upstream.State = upstream_state::Serving;
    return Record;
  }
  std::string address() const { return Plane->entryAddress(); }

  std::string Name;
  double LinkMbps;
  boost::asio::io_context Context{1};
  platform::call_fields Fields;
  transport::metrics Metrics;
  blocking_queue<std::vector<state::crash_sighting>> Crashes;
  std::unique_ptr<transport::upstream_client> UpstreamClient;
  std::unique_ptr<transport::mesh_plane> Plane;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::thread Thread;
  std::uint64_t Revision = 0;
};

inline std::shared_ptr<const state::route_table>
testTable(milliseconds Timeout, std::size_t MaxBodyBytes = 4096) {
  state::document Document;
  state::service_spec Service;
  Service.Name = "pages";
  Document.Services = {Service};
  Document.Limits.BodyBytes = MaxBodyBytes;
  Document.Limits.HeaderBytes = 2048;
  for (const bool Idempotent : {true, false}) {
    state::route_spec Route;
    Route.Name = Idempotent ? "look" : "book";
    Route.Host = "shop.example";
    Route.PathPrefix = Idempotent ? "/look/" : "/book/";
    Route.Service = "pages";
    Route.Idempotent = Idempotent;
    Route.Timeout = Timeout;
    Route.SloLatency = Timeout / 2;
    Route.MaxAttempts = 3;
    Document.Routes.push_back(Route);
  }
  return state::route_table::build(1, Document).value();
}

/// An entry daemon without an upstream, and a target daemon for each upstream.
class mesh {
public:
  explicit mesh(std::vector<scripted_upstream::script> Scripts,
                milliseconds Timeout = std::chrono::seconds(5),
                double LinkMbps = 0, const mesh_node_hooks &Hooks = {})
      : Entry("entry", "127.0.0.1:9", 0, Hooks) {
    for (auto &Script : Scripts) {
      Upstreams.push_back(
          std::make_unique<scripted_upstream>(std::move(Script)));
      Targets.push_back(std::make_unique<mesh_node>(
          "target-" + std::to_string(Targets.size()),
          Upstreams.back()->address(), LinkMbps));
    }
    for (const auto &Target : Targets) {
      const auto Record = Target->record();
      Directory.merge(Record);
      Target->run(
          [&] { Target->UpstreamClient->setUpstream(Record.Upstream); });
    }
    Entry.run([&] {
      Entry.Plane->setDocument(testTable(Timeout));
      Entry.Plane->setDirectory(Directory);
    });
  }

  http_response call(const http_request &Request) {
    return callOnce(Entry.address(), Request);
  }
  /// Adds a daemon that is tried first: in the entry's data centre, which the
  /// first target leaves.
  void addPreferredTarget(const std::string &Name,
                          const std::string &HopAddress) {
    Entry.run([&] {
      auto Record = Targets[0]->record();
      Record.DataCentre = "dc2";
      Directory.merge(Record);
      Record.Instance = "target-" + Name;
      Record.DataCentre = "dc1";
      Record.HopAddress = HopAddress;
      Record.Upstream.Name = "i-" + Name;
      Directory.merge(Record);
      Entry.Plane->setDirectory(Directory);
    });
  }

  coordination::fleet_directory Directory;
  std::vector<std::unique_ptr<scripted_upstream>> Upstreams;
  std::vector<std::unique_ptr<mesh_node>> Targets;
  mesh_node Entry;
};

inline http_request shopRequest(http::verb Method, const std::string &Path,
                                const std::string &Body = "") {
  http_request Request = makeRequest(Method, Path, Body);
  Request.set(http::field::host, "shop.example");
  Request.set("Attempt-Id", "a1");
  Request.set("Deadline-Ms", "4000");
  return Request;
}

/// Sends the same response to each request.
inline scripted_upstream::script
respondingWith(const std::string &Body, unsigned Status = 200,
               const std::string &Fields = SignatureField) {
  return [=](upstream_connection &Connection) {
    while (Connection.read())
      Connection.respond(Body, Status, Fields);
  };
}

} // namespace hyssopledge::tests
