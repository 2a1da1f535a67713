/// \file
/// State shared by entry calls and target calls. Internal to the data plane.
#pragma once

#include "hyssopledge/state/idempotency.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/transport/data_plane.h"
#include "hyssopledge/transport/upstream_gate.h"

#include <atomic>
#include <mutex>
#include <string_view>

namespace hyssopledge::transport {

/// State of one event loop; used on that loop only.
struct loop_state {
  loop_state(boost::asio::io_context &Context, const client_pool_options &Pool,
             std::uint64_t Seed)
      : Context(Context), Pool(Context, Pool), Random(Seed) {}

  boost::asio::io_context &Context;
  http_client_pool Pool;
  state::random_engine Random;
};

/// Idempotency keys that this daemon has forwarded as entry daemon; see
/// state/idempotency.h. Thread-safe. Only calls with a key on a route that is
/// not idempotent acquire its lock.
class entry_key_table {
public:
  explicit entry_key_table(std::size_t MaxKeys) : Keys(MaxKeys, 0) {}

  /// Registers the key and returns its previous state; an error means that the
  /// key belongs to another request (Conflict) or that the table is full.
  state::result<state::key_state> begin(const std::string &Key,
                                        std::uint64_t Fingerprint,
                                        state::time_point Now);
  /// Ends the call: releases the key when the request was not run, otherwise
  /// marks its outcome as unknown.
  void end(const std::string &Key, bool NotRun, state::time_point Now);

private:
  std::mutex Mutex;
  state::idempotency_table Keys;
  state::time_point NextExpiry{};
};

struct data_plane_core {
  data_plane_options Options;
  data_plane_dependencies Dependencies;
  data_plane_hooks Hooks;
  std::vector<std::unique_ptr<loop_state>> Loops;
  boost::asio::io_context *GateLoop = nullptr;
  std::unique_ptr<upstream_gate> Gate; // GateLoop only, except formatLoad()
  std::unique_ptr<entry_key_table> Keys;
  std::atomic<bool> Draining{false};

  void recordCall(call_side Side, std::string_view Outcome,
                  std::string_view Reason, state::time_point Started) const {
    if (Options.Metrics != nullptr)
      Options.Metrics->recordCall(Side, Outcome, Reason,
                                  state::boot_clock::now() - Started);
  }
};

/// Each function handles one request; the call object owns itself until it has
/// responded.
void startEntryCall(data_plane_core &Core,
                    std::shared_ptr<server_exchange> Caller);
void startTargetCall(data_plane_core &Core,
                     std::shared_ptr<server_exchange> Caller);

/// Starts a server span as a child of the request's trace context. Returns null
/// when no tracer is configured.
std::unique_ptr<opentracing::Span> startServerSpan(const data_plane_core &Core,
                                                   const char *Name,
                                                   const http_request &Request);

/// Returns the milliseconds until the deadline, 0 when it has passed. Rounded
/// up, so that a deadline in the future is never sent as 0.
std::uint64_t millisecondsLeft(state::time_point Deadline,
                               state::time_point Now);

} // namespace hyssopledge::transport
