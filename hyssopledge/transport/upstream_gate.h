/// \file
/// Admission control for the local upstream of hyssopd: slots and queue,
/// idempotency keys and crash detection. The gate sends no requests: its user
/// admits a request, sends it and reports the result. All functions except
/// formatLoad() must be called on the loop of the gate.
#pragma once

#include "hyssopledge/state/admission.h"
#include "hyssopledge/state/idempotency.h"
#include "hyssopledge/state/poison.h"
#include "hyssopledge/transport/metrics.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hyssopledge::transport {

struct gate_options {
  std::string Instance;
  std::size_t MaxKeys = 100'000;
  std::size_t MaxKeyBytes = 32 * 1024 * 1024; // of stored responses
  /// Returns the limits of a service; called at each announcement.
  std::function<state::admission_limits(const std::string &Service)> Limits;
  /// Called after a crash, with a sighting for each request in flight.
  std::function<void(std::vector<state::crash_sighting>)> OnCrash;
  /// Called with each announcement, and with none when the last one has
  /// expired.
  std::function<void(std::optional<state::upstream_announcement>)>
      OnAnnouncement;
  metrics *Metrics = nullptr; // null: not recorded
};

/// A request that asks for admission.
struct gate_request {
  std::string Service;
  std::string Version;
  std::string Key;          // idempotency key; empty: none
  bool KeyRepeated = false; // the entry daemon has sent the key before
  std::uint64_t Fingerprint = 0;
  state::time_point Deadline{};
};

struct gate_decision {
  enum class kind { Run, Replay, Refused };
  kind Kind = kind::Refused;
  std::string Address; // of the upstream, with Run
  std::shared_ptr<const state::stored_response> Response; // with Replay
  //--- With Refused -----------------------------------------------------------
  unsigned Status = 503;
  const char *Outcome = "not-run";
  const char *Reason = "";
  std::string Detail;
};

/// Result of the crash probe after the upstream closed a connection.
struct crash_probe_result {
  bool Crashed = false; // the upstream refuses connections
  bool Alone = false;   // the request was the only one in flight
};

class upstream_gate {
public:
  upstream_gate(boost::asio::io_context &Context, gate_options Options);
  ~upstream_gate();

  void start(); // starts the expiry timer
  /// Cancels the timers and the probe. The loop must run their handlers before
  /// the gate is destroyed.
  void stop();
  void announce(const state::upstream_announcement &Announcement);
  void startDrain();
  bool drained() const;

  //--- Requests ---------------------------------------------------------------
  /// Admits, queues or refuses a request. The handler is called once: before
  /// the function returns or when a slot becomes free; never after the ticket
  /// was cancelled.
  state::ticket admit(gate_request Request,
                      std::function<void(gate_decision)> Handler);
  /// Removes a request from the queue. Returns false when it is not queued.
  bool cancelWaiting(state::ticket Ticket);
  /// Ends a run with a complete response, which is stored for the key.
  void finishWithResponse(state::ticket Ticket,
                          state::stored_response Response);
  /// Ends a request that was not run and releases its key.
  void finishNotRun(state::ticket Ticket);
  /// Ends a run with an unknown outcome.
  void finishUnknown(state::ticket Ticket);
  /// Ends a run whose connection the upstream closed, and probes whether it
  /// crashed: after a crash it refuses connections, while a server that closes
  /// a single connection still accepts them.
  void finishConnectionClosed(state::ticket Ticket,
                              std::function<void(crash_probe_result)> Handler);

  /// Returns "used/slots/queued" for the field x-hyssop-load. Thread-safe.
  std::string formatLoad() const;

private:
  struct running_request {
    std::string Key;
    std::uint64_t Fingerprint = 0;
    state::time_point Started{};
    std::string Address;
  };
  struct waiting_request {
    gate_request Request;
    std::function<void(gate_decision)> Handler;
  };

  gate_decision decide(state::ticket Ticket, const gate_request &Request);
  void beginRun(state::ticket Ticket, const gate_request &Request,
                gate_decision &Decision);
  void release(const std::vector<state::admission_release> &Releases);
  void releaseKey(const gate_request &Request);
  void finish(state::ticket Ticket);
  void probe(const std::string &Address);
  void onProbe(bool Refused);
  void onTick();
  void publishLoad();
  /// Returns the decision for a known key, none when the request may be
  /// admitted.
  std::optional<gate_decision> lookUpKey(const gate_request &Request);

  boost::asio::io_context &Context;
  gate_options Options;
  state::admission Admission;
  state::idempotency_table Keys;
  state::ticket LastTicket = 0;
  std::unordered_map<state::ticket, running_request> RunningRequests;
  std::unordered_map<state::ticket, waiting_request> WaitingRequests;
  bool Announced = false; // the last announcement is valid and not draining
  std::string UpstreamAddress; // last one announced as serving
  state::time_point NextKeyExpiry{};
  boost::asio::steady_timer Timer;

  //--- Crash detection --------------------------------------------------------
  /// Null when no probe is running.
  std::unique_ptr<boost::asio::ip::tcp::socket> Probe;
  boost::asio::steady_timer ProbeTimer;
  std::vector<std::function<void(crash_probe_result)>> ProbeWaiters;
  /// Fingerprints of the requests in flight at the probe.
  std::unordered_map<state::ticket, std::uint64_t> Suspects;
  /// Requests that were in flight at the last crash.
  std::unordered_set<state::ticket> CrashedTickets;
  bool LastCrashAlone = false; // a single request was in flight
  std::uint64_t Incarnation;   // of the upstream, changes with each crash

  std::atomic<std::uint32_t> SlotsUsed{0};
  std::atomic<std::uint32_t> Slots{0};
  std::atomic<std::uint32_t> Queued{0};
};

} // namespace hyssopledge::transport
