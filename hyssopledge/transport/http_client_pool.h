/// \file
/// HTTP/1.1 client with a pool of persistent connections, each with at most one
/// request in progress.
///
/// A connection returns to the pool only after a complete response; after any
/// other result it is closed, so that a late response is never read for another
/// request. Before use, a pooled connection is checked for a close by the peer.
/// If the peer closes while the request is written, it may have read the bytes:
/// the outcome is Unknown and the pool does not resend the request. This is
/// rare with daemons as peers: they keep idle connections longer than the pool,
/// and respond on them while they drain.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/transport/byte_budget.h"
#include "hyssopledge/transport/http_message.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hyssopledge::transport {

constexpr std::size_t DefaultBodyBudget = 32 * 1024 * 1024;

struct client_pool_options {
  std::size_t MaxIdlePerAddress = 16; // idle connections of each address
  /// Less than listener_options::IdleTimeout, so that the server does not close
  /// first.
  std::chrono::seconds IdleTimeout{20};
  state::milliseconds ConnectTimeout{1000};
  std::size_t MaxBodyBytes = transport::MaxBodyBytes; // of a response
  /// For the bodies of all responses that are being read; may be shared with
  /// other pools and listeners. Null: a budget of DefaultBodyBudget bytes of
  /// the pool's own. A response that would exceed it ends with OverBudget,
  /// unless it is small.
  std::shared_ptr<byte_budget> BodyBudget;
  /// Accept responses without a length, which end when the server closes the
  /// connection; one that a reset ends is not complete.
  bool AllowCloseDelimitedResponse = false;
  /// Above 0: closes a connection after about this time without TCP
  /// acknowledgements of the peer, also while it waits for a response.
  std::chrono::seconds UnackedTimeout{0};
};

struct send_options {
  /// Returns false for a response that belongs to another request: it is
  /// discarded and the next one is read. Empty: all responses are accepted.
  std::function<bool(const http_response &)> AcceptResponse;
  /// The peer is a daemon that passes on the response of an upstream. Its
  /// header may have forwardedHeaderLimit(MaxHeaderBytes).
  bool FromDaemon = false;
};

enum class exchange_outcome {
  Complete, // a complete response was read
  NotSent,  // no byte of the request was written
  Unknown,  // bytes may have been written; no complete response was read
};

enum class exchange_error {
  None,
  ConnectFailed,    // the connection could not be opened
  ConnectionClosed, // the peer closed or reset the connection
  Timeout,          // the deadline passed
  Cancelled,        // by client_exchange::cancel()
  InvalidResponse,  // not HTTP, no final status, too large, or without a length
  OverBudget,       // this process holds too many bytes of responses
};

struct exchange_result {
  exchange_outcome Outcome = exchange_outcome::NotSent;
  exchange_error Error = exchange_error::None;
  std::string Detail; // error message; empty with Complete
  http_response Response;
};

/// One request in progress. Use it on the pool's loop only.
class client_exchange {
public:
  virtual ~client_exchange() = default;
  /// Closes the connection and calls the handler with Cancelled, later from the
  /// loop. Does nothing when the exchange has ended.
  virtual void cancel() = 0;
};

/// Not thread-safe: each loop has its own pool.
class http_client_pool {
public:
  using handler = std::function<void(exchange_result)>;

  http_client_pool(boost::asio::io_context &Context,
                   client_pool_options Options);
  ~http_client_pool();
  http_client_pool(const http_client_pool &) = delete;
  http_client_pool &operator=(const http_client_pool &) = delete;

  /// Sends the request to "ip:port". The handler is called once, from the loop,
  /// never before send() returns.
  std::shared_ptr<client_exchange>
  send(const std::string &Address, outgoing_request Request,
       state::time_point Deadline, handler Handler, send_options Options = {});
  void closeIdleConnections(const std::string &Address);
  std::size_t idleConnections() const; // count for all addresses

private:
  struct core;
  struct connection;
  class exchange;
  std::shared_ptr<core> Core;
};

} // namespace hyssopledge::transport
