/// \file
/// HTTP/1.1 server: accepts connections and passes complete requests to a
/// handler.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/receive_budget.h"
#include "hyssopledge/state/result.h"
#include "hyssopledge/transport/byte_budget.h"
#include "hyssopledge/transport/http_message.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::transport {

struct listener_options {
  std::size_t MaxBodyBytes = transport::MaxBodyBytes; // of a request
  std::size_t MaxConnections = 4096; // requests on further ones are refused
  /// A connection beyond MaxConnections closes the one that has waited longest
  /// for bytes of its caller, instead of being refused. Only for a listener
  /// with a single loop.
  bool EvictsWaitingConnections = false;
  std::chrono::seconds IdleTimeout{75};
  std::chrono::seconds ReceiveTimeout{30}; // for one complete request
  std::uint32_t MaxHeaderBytes = transport::MaxHeaderBytes;
  /// Requests of one connection that are handled concurrently. Responses are
  /// written in the order of the requests. A request other than GET or HEAD
  /// waits until the responses before it are written.
  std::size_t MaxPipelinedRequests = 1;
  /// Counts the bodies of responses until they are written. Null: none.
  std::shared_ptr<byte_budget> BodyBudget;
  /// Limits the bytes of requests, also of those that wait for their response.
  /// Must not change. Only for a listener with a single loop. Null: no limit.
  std::shared_ptr<state::receive_budget> ReceiveBudget;
};

/// One request and its response. Use it only on the loop that called the
/// handler, see loopIndex().
class server_exchange {
public:
  virtual ~server_exchange() = default;
  virtual const http_request &request() const = 0;
  /// Sends the response and sets its keep-alive and length fields. Call it
  /// once; does nothing when the caller has disconnected.
  virtual void respond(http_response Response) = 0;
  /// Sets a handler that is called when the connection fails or is closed by
  /// either side before the response is sent. A caller that shuts down only its
  /// sending side counts as disconnected.
  virtual void onDisconnect(std::function<void()> Handler) = 0;
  /// Checks whether the caller has disconnected, also if the event loop has not
  /// come to read it yet. If so, calls the disconnect handlers of the
  /// connection's requests first. Costs a system call.
  virtual bool detectDisconnect() = 0;
  /// Returns the index of the exchange's loop in the listener's list.
  virtual std::size_t loopIndex() const = 0;
};

class http_listener {
public:
  using handler = std::function<void(std::shared_ptr<server_exchange>)>;

  /// Binds the address and starts accepting. Connections are distributed
  /// round-robin over the loops; the handler is called on the connection's
  /// loop.
  static state::result<std::unique_ptr<http_listener>>
  open(std::vector<boost::asio::io_context *> Loops, const std::string &Address,
       listener_options Options, handler Handler);
  ~http_listener(); // calls close()
  http_listener(const http_listener &) = delete;
  http_listener &operator=(const http_listener &) = delete;

  std::string address() const; // "ip:port" as bound
  /// Applies to connections and requests that begin after the call. Only for a
  /// listener with a single loop, and on that loop.
  void setOptions(const listener_options &Options);
  void stopAccepting();       // closes the listening socket only
  void closeAfterResponses(); // later responses close their connections
  void close();               // closes the listening socket and connections
  std::size_t active() const; // requests whose response is not yet written

private:
  struct core;
  class session;
  explicit http_listener(std::shared_ptr<core> Core);
  std::shared_ptr<core> Core;
};

} // namespace hyssopledge::transport
