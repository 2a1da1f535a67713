/// \file
/// Client for the local upstream of hyssop_mesh. All requests to the upstream
/// go through it: it assigns slots, queues requests, keeps the connections,
/// applies drains and classifies the responses. Runs on one event loop.
#pragma once

#include "hyssopledge/coordination/fast_rollout_policy.h"
#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/state/poison.h"
#include "hyssopledge/state/slot_queue.h"
#include "hyssopledge/transport/call_dialect.h"
#include "hyssopledge/transport/hop.h"
#include "hyssopledge/transport/http_client_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopledge::transport {

struct upstream_client_options {
  std::string Address; // "ip:port" of the upstream
  /// For this time after the start of a drain, requests are still run that
  /// other daemons sent before they learned of the drain.
  state::milliseconds DrainGracePeriod{800};
  client_pool_options Pool;
};

struct upstream_client_hooks {
  /// Called when the upstream starts or stops accepting connections.
  std::function<void(bool AcceptsConnections)> OnAcceptsConnectionsChanged;
  /// Called after a crash, with a sighting for each request whose connection
  /// it closed.
  std::function<void(const std::vector<state::crash_sighting> &)> OnCrash;
  /// Called when poison() changes.
  std::function<void()> OnPoisonChanged;
  /// Called when the upstream says in a response that it leaves.
  std::function<void()> OnLeaving;
  /// Called when the upstream names another request limit or none any more.
  std::function<void()> OnRequestLimitChanged;
};

/// What would become of a request that arrived now.
struct queue_preview {
  std::optional<hop_answer> Refusal;
  state::milliseconds ExpectedTime{0}; // from the arrival to the end of the run
};

/// One queued or running request.
class upstream_exchange {
public:
  virtual ~upstream_exchange() = default;
  /// Aborts the request because its caller has disconnected. Its slot is
  /// released and the handler is not called.
  virtual void cancel() = 0;
};

class upstream_client {
public:
  using handler = std::function<void(hop_answer)>;
  /// Returns whether the caller of a request has disconnected.
  using disconnect_check = std::function<bool()>;

  upstream_client(boost::asio::io_context &Context, const call_dialect &Dialect,
                  upstream_client_options Options, upstream_client_hooks Hooks);
  ~upstream_client();

  /// The request limit of the record applies until the upstream's next
  /// response.
  void setUpstream(const coordination::upstream_record &Upstream);
  const coordination::upstream_record &upstream() const { return Upstream; }
  /// Refuses new requests; queued and running ones are completed.
  void refuseNewCalls() { RefusesNewCalls = true; }
  /// Runs, queues or refuses a request. The handler is called once, possibly
  /// before run() returns. Returns null when the request was refused at once.
  /// A request whose caller has disconnected when it is due to be sent is
  /// dropped without calling the handler.
  std::shared_ptr<upstream_exchange>
  run(hop_call Call, outgoing_request Request, handler Handler,
      disconnect_check CallerDisconnected = {});
  queue_preview preview(const hop_call &Call) const;
  /// Returns the reason for which the request must be refused whatever the
  /// load is, null when there is none.
  const char *refusalReason(const hop_call &Call) const;
  /// An answer for a request that is not run.
  hop_answer refusal(const char *Reason) const;
  state::load_report load() const;
  /// Returns the share of running requests, 0 to 1, that an upstream had
  /// received before.
  double retryShare() const;
  /// Drops the run times of the route.
  void forgetRoute(const std::string &Route) { Queue.forgetRoute(Route); }
  std::size_t active() const { return Exchanges.size(); }
  /// Sets the limit that other daemons know from before this daemon started.
  /// Does nothing once the upstream has responded.
  void restoreRequestLimit(std::optional<double> PerSecond) {
    if (!HasResponded)
      setRequestLimit(PerSecond);
  }
  /// Requests per second that the upstream accepts, as it last said.
  std::optional<double> requestLimit() const { return Upstream.RequestLimit; }

  //--- Cold upstreams and evacuations -----------------------------------------
  /// Requests per second that the upstream accepts while it is cold, and the
  /// time for which it is cold after a start; none: as many as otherwise.
  void setColdLimit(std::optional<double> PerSecond,
                    state::milliseconds ColdPeriod);
  /// The upstream says that it stays cold for this time; 0: it is warm.
  void setCold(state::milliseconds Remaining);
  /// Nothing may be sent to the upstreams of this data centre.
  void setEvacuated(bool Evacuated);

  //--- Evidence for rollouts --------------------------------------------------
  /// Sets the revision of the rollout order for which runs are counted, 0 for
  /// none. Resets the counts when it changes.
  void setCountedOrder(std::uint64_t OrderRevision);
  const coordination::route_counts &routeCounts() const { return Counts; }

  //--- Requests that crash upstreams ------------------------------------------
  /// Adds crash sightings of this or other daemons to the poison detector.
  void addSightings(const std::vector<state::crash_sighting> &Sightings);
  /// Condemns fingerprints that other daemons have condemned. Own: they crashed
  /// the upstream here before this daemon started.
  void condemn(const std::vector<std::uint64_t> &Fingerprints, bool Own);
  /// Condemned fingerprints of requests that crashed the upstream here, the
  /// latest ones.
  const std::vector<std::uint64_t> &poison() const { return OwnPoison; }
  /// Forgets fingerprints after the detector's retention period.
  void expirePoison();

private:
  class exchange;

  void start(std::uint64_t Ticket);
  void finishRun(std::uint64_t Ticket, state::milliseconds RunTime);
  void release(const std::vector<state::queue_release> &Releases);
  void armExpiryTimer();
  void onConnectionClosed(std::uint64_t Fingerprint);
  void addOwnCrash(std::uint64_t Fingerprint);
  void updateOwnPoison();
  void probe();
  void setAcceptsConnections(bool AcceptsConnections);
  void setRequestLimit(std::optional<double> PerSecond);
  /// Applies the request limit or that of a cold upstream, the lower one.
  void applyRateLimit(state::time_point Now);
  /// The upstream may be cold until its next announcement.
  void assumeCold();
  void startDrain();
  void countRun(const std::string &Route, bool Failed,
                state::milliseconds RunTime);
  void countUnfinishedRun(const std::string &Route,
                          state::milliseconds RunTime);

  boost::asio::io_context &Context;
  const call_dialect &Dialect;
  upstream_client_options Options;
  upstream_client_hooks Hooks;
  http_client_pool Pool;
  coordination::upstream_record Upstream;
  bool HasResponded = false; // the current upstream, to any request
  state::time_point DrainStartedAt{};
  bool RefusesNewCalls = false;
  std::optional<double> ColdLimit; // requests per second
  state::milliseconds ColdPeriod{0};
  state::time_point ColdUntil{};
  std::optional<state::time_point> EvacuatedAt;
  state::slot_queue Queue;
  std::optional<double> RateLimit; // of Queue
  std::uint64_t LastTicket = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> Exchanges;
  boost::asio::steady_timer ExpiryTimer;
  bool ExpiryTimerArmed = false;

  //--- Crashes ----------------------------------------------------------------
  state::poison_detector Poison;
  bool HasSightings = false;
  std::deque<std::uint64_t> OwnCrashes; // fingerprints, the latest ones
  std::vector<std::uint64_t> OwnPoison; // the condemned ones of them
  /// Fingerprints of requests whose connection was closed since the last probe.
  std::vector<std::uint64_t> SuspectFingerprints;
  std::unique_ptr<boost::asio::ip::tcp::socket> Probe;
  boost::asio::steady_timer ProbeTimer;
  unsigned ConnectFailures = 0; // consecutive failures

  state::failure_rate Failures; // over all runs
  std::uint64_t CountedOrderRevision = 0;
  coordination::route_counts Counts;
};

} // namespace hyssopledge::transport
