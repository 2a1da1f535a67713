/// \file
/// Request forwarding of hyssop_mesh. Entry calls go from a caller on this
/// instance to the daemon of the chosen upstream; hops come from other daemons
/// for the local upstream. Runs on one event loop; the decision algorithms
/// (placement, retries, routing) are in state/.
#pragma once

#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/coordination/version_hold.h"
#include "hyssopledge/state/hedge_policy.h"
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
#include "hyssopledge/transport/transfer_gate.h"
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
  std::string Service;      // of the local upstream; sent with its calls
  std::string EntryAddress; // listens for callers
  std::string HopAddress;   // listens for other daemons
  double LinkMbps = 0;      // of this instance; 0: unknown
  std::uint64_t Seed = 0;
  state::shared_retry_budget_settings RetryBudget;
  client_pool_options PeerPool; // connections to other daemons; the listeners
                                // count against its budget, if it has one
  /// Of received requests. Null: no limit.
  std::shared_ptr<state::receive_budget> ReceiveBudget;
  //--- Limits that callers within the document's limits do not reach ----------
  std::size_t MaxEntryConnections = 2048; // of callers
  std::size_t MaxHopConnections = 1024;   // of other daemons
  std::size_t MaxCalls = 1024; // of callers at once; more are refused
  /// Second attempts for slow idempotent calls, as a fraction of these; 0:
  /// none.
  double HedgeRatio = 0;
};

enum class quota_decision {
  Granted,
  Exceeded,    // the workspace is over its quota
  Unavailable, // it is not known in time whether the workspace is over its
               // quota
};
using quota_handler =
    std::function<void(quota_decision, state::milliseconds RetryAfter)>;

struct mesh_plane_hooks {
  /// Sends a ping to another daemon; onPeerAlive() reports its response.
  std::function<void(const std::string &Instance)> Ping;
  /// Returns the active document, compressed; empty when there is none.
  std::function<std::string()> CompressedDocument;
  /// Decides whether a call of the workspace is within its quota. The handler
  /// is called once, possibly before the function returns. Empty: all are.
  std::function<void(const state::workspace_spec &Workspace,
                     quota_handler Handler)>
      AcquireQuota;
  /// Called when a call that was granted has not run and will not run.
  std::function<void(const state::workspace_spec &Workspace)> ReturnQuota;
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

  //--- "ip:port" as bound -----------------------------------------------------
  std::string entryAddress() const { return EntryListener->address(); }
  std::string hopAddress() const { return HopListener->address(); }

  //--- State of the fleet -----------------------------------------------------
  /// Activates the routes and the caller limits of a document.
  void setDocument(std::shared_ptr<const state::route_table> Table);
  /// Replaces the known targets and the version splits of their services.
  void setDirectory(const coordination::fleet_directory &Directory);
  /// Records that another daemon has responded to a ping or sent a message.
  void onPeerAlive(const std::string &Instance);
  /// Path at which other daemons request the document.
  static const char *const DocumentPath;

  //--- Shutdown ---------------------------------------------------------------
  void closeAfterResponses(); // each response to a caller closes its connection
  void refuseNewCalls();      // new entry calls are refused as "not run"
  /// Limits the deadlines of entry calls that begin later.
  void setShutdownDeadline(state::time_point ShutdownDeadline);
  void abortPendingCalls();   // ends entry calls with the outcome "unknown"
  std::size_t active() const; // requests whose response is not yet written

private:
  class attempt;
  class entry_call;

  /// An upstream and the daemon on its instance.
  struct target {
    std::string Upstream;
    std::string Instance;
    std::string HopAddress;
    std::string Version;
    std::string DataCentre;
    std::uint32_t Slots = 0;
    std::uint64_t StartUnixMs = 0; // of the upstream
    double LinkMbps = 0;           // of its instance; 0: unknown
    bool Cold = false;             // accepts few requests
    /// Until then it gets calls only if no other upstream can take them.
    state::time_point HeldUntil{};
  };
  struct service_targets {
    std::vector<target> Targets;
    coordination::traffic_split VersionSplit;
    bool HasColdLimit = false; // cold targets accept few requests
  };
  struct peer {
    state::time_point LastAliveAt{};
    state::time_point LastPingAt{};
    unsigned UnansweredPings = 0;
    bool Reachable = true;
    std::set<attempt *> Attempts; // waiting for a response of this peer
  };

  mesh_plane(boost::asio::io_context &Context, mesh_plane_options Options,
             mesh_plane_hooks Hooks, const call_dialect &Dialect,
             upstream_client &UpstreamClient, metrics &Metrics);

  void onCallerRequest(std::shared_ptr<server_exchange> Caller);
  void onHopRequest(const std::shared_ptr<server_exchange> &Caller);
  void checkPeers();
  void checkHedges();
  std::vector<std::shared_ptr<entry_call>> pendingCalls() const;
  void updateColdLimits();
  void forgetRoute(const std::string &Route);
  listener_options entryOptions(const state::caller_limits &Limits) const;
  listener_options hopOptions(const state::caller_limits &Limits) const;
  /// Stops sending to an upstream that said in a response that it leaves. The
  /// announcement of its own daemon may come later or not at all.
  void onUpstreamLeaving(const target &Leaving);
  std::vector<state::placement_candidate>
  candidates(const service_targets &Service, bool NewVersion, bool OldVersion,
             state::time_point Now) const;

  boost::asio::io_context &Context;
  mesh_plane_options Options;
  mesh_plane_hooks Hooks;
  const call_dialect &Dialect;
  upstream_client &UpstreamClient;
  metrics &Metrics;
  http_client_pool Pool;
  transfer_gate Transfers; // of bodies to the local upstream
  state::random_engine Random;
  state::placement Placement;
  state::shared_retry_budget RetryBudget; // all sends after the first of a call
  /// Budget of retries after an attempt that may have run; each one costs the
  /// service another run. It is half of the retry budget, so that some of that
  /// is left for retries of refused requests.
  state::shared_retry_budget RerunBudget;
  state::retry_breaker RetryBreaker;
  state::hedge_policy Hedging;
  std::shared_ptr<const state::route_table> Table;
  std::unordered_map<std::string, service_targets> Services;
  coordination::version_hold VersionHold;
  /// Traffic splits by route name and version shares by service.
  std::unordered_map<std::string, state::weighted_round_robin> SplitRoundRobin;
  std::unordered_map<std::string, state::weighted_round_robin>
      VersionRoundRobin;
  /// Longest timeout received from callers, by route name. The difference to
  /// the timeout of a call is the time that its earlier attempts took.
  std::unordered_map<std::string, state::milliseconds> LongestCallerTimeout;
  std::map<std::string, peer> Peers;
  /// Start times of the upstreams that said that they leave, by name. One that
  /// restarts under its name has a later start time.
  std::unordered_map<std::string, std::uint64_t> LeavingUpstreams;
  std::unordered_map<entry_call *, std::shared_ptr<entry_call>> Calls;
  boost::asio::steady_timer PeerTimer;
  boost::asio::steady_timer HedgeTimer;
  state::time_point LastPeerCheck{};
  bool RefusesNewCalls = false;
  state::time_point ShutdownDeadline = state::time_point::max();
  std::unique_ptr<http_listener> EntryListener;
  std::unique_ptr<http_listener> HopListener;
};

} // namespace hyssopledge::transport
