/// \file
/// Persistent HTTP/1.1 connections, one request at a time on each.
///
/// A connection goes back to the pool only after a whole answer; after anything
/// else it is closed, so a late answer reaches nobody. A pooled connection is
/// checked for a close by the peer before use. When the peer closes just as
/// the request is written, the bytes may have been read, so the outcome is
/// Unknown and the pool never sends the request again by itself. Peers that
/// are daemons make this rare: they keep idle connections longer than the pool
/// does, and answer on them while they drain.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/transport/http_message.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hyssopledge::transport {

struct client_pool_options {
  std::size_t MaxIdlePerAddress = 16; // kept connections for each address
  // Less than listener_options::IdleTimeout, so that the server does not close
  // first.
  std::chrono::seconds IdleTimeout{20};
  state::milliseconds ConnectTimeout{1000};
  std::size_t MaxBodyBytes = transport::MaxBodyBytes; // of an answer
  /// Accept an answer whose end is the orderly close of its connection.
  bool AllowCloseDelimitedResponse = false;
  /// Above 0: a connection whose peer acknowledges nothing is given up after
  /// about this time, also while it waits for an answer.
  std::chrono::seconds UnackedTimeout{0};
};

struct send_options {
  /// An answer for which this returns false belongs to another request: it is
  /// thrown away and the next one is read. Empty: every answer is accepted.
  std::function<bool(const http_response &)> Accept;
};

enum class exchange_outcome {
  Complete, // a whole answer was read
  NotSent,  // no byte of the request was written
  Unknown,  // bytes were written and no whole answer came
};

enum class exchange_cause {
  None,
  Connect,   // the connection could not be opened
  Cut,       // the peer closed or reset the connection
  Timeout,   // the deadline passed
  Cancelled, // by the user of the pool
  BadAnswer, // not HTTP, over the limit, or without a length
};

struct exchange_result {
  exchange_outcome Outcome = exchange_outcome::NotSent;
  exchange_cause Cause = exchange_cause::None;
  std::string Detail; // for people; empty with Whole
  http_response Response;
};

/// One request on its way. Use it on the pool's loop only.
class client_exchange {
public:
  virtual ~client_exchange() = default;
  /// Closes the connection. The handler is called with Cancelled, unless it
  /// was called before.
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

  /// Sends the request to "ip:port". The handler is called once, from the loop
  /// and never from within send().
  std::shared_ptr<client_exchange>
  send(const std::string &Address, http_request Request,
       state::time_point Deadline, handler Handler, send_options Options = {});
  void closeIdle(const std::string &Address); // kept connections to it

  std::size_t idle() const; // kept connections to all addresses

private:
  struct core;
  struct connection;
  class exchange;
  std::shared_ptr<core> Core;
};

} // namespace hyssopledge::transport
