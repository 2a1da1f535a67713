/// \file
/// The path of a request through a daemon of the mesh: from a caller on this
/// instance to the daemon beside the chosen upstream, and from other daemons to
/// the upstream here. One loop; decisions are in state/.
#pragma once

#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/state/placement.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/state/retry_breaker.h"
#include "hyssopledge/state/route_table.h"
#include "hyssopledge/state/shared_retry_budget.h"
#include "hyssopledge/state/weighted_round_robin.h"
#include "hyssopledge/transport/call_dialect.h"
#include "hyssopledge/transport/hop.h"
#include "hyssopledge/transport/http_client_pool.h"
#include "hyssopledge/transport/http_listener.h"
#include "hyssopledge/transport/metrics.h"
#include "hyssopledge/transport/upstream_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopledge::transport {

struct mesh_plane_options {
  std::string Instance;
  std::string DataCentre;
  std::string Service;      // of the upstream here; its calls carry it
  std::string EntryAddress; // for callers
  std::string HopAddress;   // for other daemons
  std::uint64_t Seed = 0;
  state::shared_retry_budget_settings RetryBudget;
  client_pool_options PeerPool; // connections to other daemons
};

struct mesh_plane_hooks {
  /// Asks another daemon for a sign of life.
  std::function<void(const std::string &Instance)> Ping;
  /// The compressed text of the document in force, empty when there is none.
  std::function<std::string()> CompressedDocument;
};

class mesh_plane {
public:
  static state::result<std::unique_ptr<mesh_plane>>
  open(boost::asio::io_context &Context, mesh_plane_options Options,
       mesh_plane_hooks Hooks, const call_dialect &Dialect,
       upstream_client &UpstreamClient, metrics &Metrics);
  ~mesh_plane();
  mesh_plane(const mesh_plane &) = delete;
  mesh_plane &operator=(const mesh_plane &) = delete;

  std::string entryAddress() const { return Entry->address(); } // as bound
  std::string hopAddress() const { return Hop->address(); }     // as bound

  void setDocument(std::shared_ptr<const state::route_table> Table);
  void setDirectory(const coordination::fleet_directory &Directory);
  void onPeerAlive(const std::string &Instance);
  /// Path of the document in the interface between daemons.
  static const char *const DocumentPath;

  //--- Leaving ----------------------------------------------------------------
  void closeAfterResponses(); // each answer to a caller ends its connection
  void refuseNewCalls();      // new requests are not run
  /// Requests are planned to end by then.
  void setShutdownDeadline(state::time_point ShutdownDeadline);
  /// Answers what has no answer yet: its outcome is unknown.
  void answerPendingCalls();
  std::size_t active() const; // requests without a written answer

private:
  class entry_call;

  /// A target with the daemon beside it.
  struct target {
    std::string Upstream;
    std::string Instance;
    std::string CallAddress;
    std::string Version;
    std::string DataCentre;
    std::uint32_t Slots = 0;
  };
  struct service_targets {
    std::vector<target> Targets;
    coordination::version_rule Rule;
  };
  struct peer {
    state::time_point HeardAt{};
    state::time_point PingedAt{};
    unsigned Pings = 0; // since the last sign of life
    bool Reachable = true;
    std::set<entry_call *> Calls; // sent there, without an answer
  };

  mesh_plane(boost::asio::io_context &Context, mesh_plane_options Options,
             mesh_plane_hooks Hooks, const call_dialect &Dialect,
             upstream_client &UpstreamClient, metrics &Metrics);

  void onCaller(std::shared_ptr<server_exchange> Caller);
  void onHop(const std::shared_ptr<server_exchange> &Caller);
  void watchPeers();
  std::vector<state::placement_candidate>
  candidates(const service_targets &Service, bool NewVersion,
             bool OldVersion) const;

  boost::asio::io_context &Context;
  mesh_plane_options Options;
  mesh_plane_hooks Hooks;
  const call_dialect &Dialect;
  upstream_client &UpstreamClient;
  metrics &Metrics;
  http_client_pool Pool;
  state::random_engine Random;
  state::placement Placement;
  state::shared_retry_budget RetryBudget; // sends beyond the first of a request
  /// Those after a run, which cost the service another run. They use up half of
  /// the budget, so that refused requests find some of it left.
  state::shared_retry_budget Reruns;
  state::retry_breaker RepeatGain;
  std::shared_ptr<const state::route_table> Table;
  std::unordered_map<std::string, service_targets> Services;
  std::unordered_map<std::string, state::weighted_round_robin>
      SplitTurns; // by route
  std::unordered_map<std::string, state::weighted_round_robin> VersionTurns;
  /// Longest time that callers gave, by route: what is missing of it has passed
  /// before the request came here.
  std::unordered_map<std::string, state::milliseconds> LongestTime;
  std::map<std::string, peer> Peers;
  std::unordered_map<entry_call *, std::shared_ptr<entry_call>> Calls;
  boost::asio::steady_timer PeerTimer;
  state::time_point LastWatch{};
  bool Refusing = false;
  state::time_point ShutdownDeadline = state::time_point::max();
  std::unique_ptr<http_listener> Entry;
  std::unique_ptr<http_listener> Hop;
};

} // namespace hyssopledge::transport
