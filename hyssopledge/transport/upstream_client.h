/// \file
/// The only way to the upstream beside this daemon: slots, queue, connections,
/// drain, and what its answers mean. One loop.
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
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopledge::transport {

struct upstream_client_options {
  std::string Address; // "ip:port" of the upstream
  /// Requests that were sent here before the others heard of a drain are still
  /// run for this long.
  state::milliseconds DrainGracePeriod{800};
  client_pool_options Pool;
};

struct upstream_client_hooks {
  /// The upstream stopped or began to accept connections.
  std::function<void(bool Answering)> OnAnsweringChanged;
  std::function<void(const std::vector<state::crash_sighting> &)> OnCrash;
};

/// One request on its way through the port.
class upstream_exchange {
public:
  virtual ~upstream_exchange() = default;
  /// The caller has gone: frees the slot, and the handler is not called.
  virtual void cancel() = 0;
};

class upstream_client {
public:
  using handler = std::function<void(hop_answer)>;

  upstream_client(boost::asio::io_context &Context, const call_dialect &Dialect,
                  upstream_client_options Options, upstream_client_hooks Hooks);
  ~upstream_client();

  void setUpstream(const coordination::upstream_record &Upstream);
  const coordination::upstream_record &upstream() const { return Upstream; }
  /// Nothing new is run; what waits or runs is finished.
  void refuseNewCalls() { Closed = true; }
  /// The handler is called once, perhaps before run() returns.
  std::shared_ptr<upstream_exchange> run(hop_call Call, http_request Request,
                                         handler Handler);
  state::load_report load() const;
  /// Part of the running requests that were sent to an upstream before.
  double repeatShare() const;
  std::size_t active() const { return Exchanges.size(); }

  //--- Evidence ---------------------------------------------------------------
  /// Counts begin anew when the order changes.
  void setCountedOrder(std::uint64_t Order);
  const coordination::route_counts &routeCounts() const { return Counts; }

  void addSightings(const std::vector<state::crash_sighting> &Sightings);

private:
  class exchange;

  hop_answer refusal(const char *Reason) const;
  const char *whyNot(const hop_call &Call) const;
  void start(std::uint64_t Ticket);
  void leave(std::uint64_t Ticket, state::milliseconds RunTime);
  void release(const std::vector<state::queue_release> &Releases);
  void armExpiry();
  void onCut(std::uint64_t Fingerprint);
  void probe();
  void setAnswering(bool Answering);
  void count(const std::string &Route, bool Failed, state::milliseconds Time);

  boost::asio::io_context &Context;
  const call_dialect &Dialect;
  upstream_client_options Options;
  upstream_client_hooks Hooks;
  http_client_pool Pool;
  coordination::upstream_record Upstream;
  state::time_point DrainedAt{};
  bool Closed = false;
  state::slot_queue Queue;
  std::uint64_t LastTicket = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> Exchanges;
  boost::asio::steady_timer Expiry;
  bool ExpiryArmed = false;

  //--- Crashes ----------------------------------------------------------------
  state::poison_detector Poison;
  bool AnySighting = false;
  std::vector<std::uint64_t> Cut; // fingerprints since the last crash
  std::unique_ptr<boost::asio::ip::tcp::socket> Probe;
  boost::asio::steady_timer ProbeTimer;
  unsigned ConnectFailures = 0; // in a row

  state::failure_rate Failures; // of all runs
  std::uint64_t CountedOrder = 0;
  coordination::route_counts Counts;
};

} // namespace hyssopledge::transport
