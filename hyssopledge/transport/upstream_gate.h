/// \file
/// The way to the one upstream beside this daemon: admission, idempotency keys
/// and crash detection. All functions but load() run on one loop.
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
  std::size_t MaxKeyBytes = 32 * 1024 * 1024; // of stored answers
  std::function<state::admission_limits(const std::string &Service)> Limits;
  std::function<void(std::vector<state::crash_sighting>)> OnCrash;
  /// Each announcement, and none when the last one has expired.
  std::function<void(std::optional<state::upstream_announcement>)>
      OnAnnouncement;
  metrics *Metrics = nullptr; // null: no figures
};

struct gate_request {
  std::string Service;
  std::string Version;
  std::string Key; // idempotency key; empty: the request is not remembered
  bool KeyRepeated = false; // the entry daemon has sent the key before
  std::uint64_t Fingerprint = 0;
  state::time_point Deadline{};
};

struct gate_decision {
  enum class kind { Run, Replay, Refused };
  kind Kind = kind::Refused;
  std::string Address; // of the upstream, with Run
  std::shared_ptr<const state::stored_answer> Answer; // with Replay
  //--- With Refused -----------------------------------------------------------
  unsigned Status = 503;
  const char *Outcome = "not-run";
  const char *Reason = "";
  std::string Detail;
};

/// What is known after the connection to the upstream was cut.
struct cut_finding {
  bool Crashed = false; // the upstream no longer accepts connections
  bool Alone = false;   // no other request was in flight at the crash
};

class upstream_gate {
public:
  upstream_gate(boost::asio::io_context &Context, gate_options Options);
  ~upstream_gate();

  void start(); // timers
  /// Ends timers and probes; let the loop run once before the gate is
  /// destroyed.
  void stop();
  void announce(const state::upstream_announcement &Announcement);
  void startDrain();
  bool drained() const;

  //--- Requests ---------------------------------------------------------------
  /// The handler is called once, at once or when a slot is free, unless the
  /// ticket is cancelled before.
  state::ticket enter(gate_request Request,
                      std::function<void(gate_decision)> Handler);
  /// The caller of a waiting request went away; false when it is not waiting.
  bool cancelWaiting(state::ticket Ticket);
  /// The upstream gave a whole answer.
  void leaveAnswered(state::ticket Ticket, state::stored_answer Answer);
  /// The request was not run; its key is free again.
  void leaveNotRun(state::ticket Ticket);
  /// The request may have run.
  void leaveUnknown(state::ticket Ticket);
  /// The connection was cut: finds out whether the upstream crashed. A crash is
  /// a cut after which the upstream refuses connections, so a server that
  /// closes one connection does not count.
  void leaveCut(state::ticket Ticket, std::function<void(cut_finding)> Handler);

  /// "used/slots/queued" for the field x-hyssop-load. Any thread.
  std::string load() const;

private:
  struct run {
    std::string Key;
    std::uint64_t Fingerprint = 0;
    state::time_point Started{};
    std::string Address;
  };
  struct wait {
    gate_request Request;
    std::function<void(gate_decision)> Handler;
  };

  gate_decision decide(state::ticket Ticket, const gate_request &Request);
  void beginRun(state::ticket Ticket, const gate_request &Request,
                gate_decision &Decision);
  void release(const std::vector<state::admission_release> &Releases);
  void refuseKey(const gate_request &Request);
  void leave(state::ticket Ticket);
  void probe(const std::string &Address);
  void onProbe(bool Refused);
  void tick();
  void publishLoad();
  std::optional<gate_decision> lookUpKey(const gate_request &Request);

  boost::asio::io_context &Context;
  gate_options Options;
  state::admission Admission;
  state::idempotency_table Keys;
  state::ticket LastTicket = 0;
  std::unordered_map<state::ticket, run> Runs;
  std::unordered_map<state::ticket, wait> Waits;
  bool Announced = false;
  std::string LastAddress; // of the upstream
  state::time_point NextKeyExpiry{};
  boost::asio::steady_timer Timer;

  //--- Crash detection --------------------------------------------------------
  std::unique_ptr<boost::asio::ip::tcp::socket> Probe; // under way
  boost::asio::steady_timer ProbeTimer;
  std::vector<std::function<void(cut_finding)>> ProbeWaiters;
  std::unordered_map<state::ticket, std::uint64_t> Suspects; // fingerprints
  std::unordered_set<state::ticket> Crashed; // in flight at the last crash
  bool CrashedAlone = false;
  std::uint64_t Incarnation;

  std::atomic<std::uint32_t> Used{0};
  std::atomic<std::uint32_t> Slots{0};
  std::atomic<std::uint32_t> Queued{0};
};

} // namespace hyssopledge::transport
