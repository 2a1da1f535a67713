/// \file
/// Accepts HTTP/1.1 connections and hands on whole requests.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/result.h"
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
  std::size_t MaxConnections = 4096; // more are answered "not run" and closed
  std::chrono::seconds IdleTimeout{75};
  std::chrono::seconds ReceiveTimeout{30}; // for one whole request
  std::uint32_t MaxHeaderBytes = transport::MaxHeaderBytes;
  /// Requests of one connection that are handed on at once; answers are written
  /// in the order of the requests. Requests that are not idempotent wait until
  /// those before them are answered.
  std::size_t MaxPipelined = 1;
};

/// One request and the place for its answer. Use it on the loop that handed it
/// on only, see post().
class server_exchange {
public:
  virtual ~server_exchange() = default;
  virtual const http_request &request() const = 0;
  /// Sends the answer; call it once. Nothing is sent when the caller has gone.
  /// Keep-alive and length fields are set here.
  virtual void respond(http_response Response) = 0;
  /// The handler is called when the caller closes its connection, or the
  /// connection fails, before the answer. A caller that closes its sending side
  /// only counts as gone.
  virtual void onDisconnect(std::function<void()> Handler) = 0;
  /// Position of its loop in the listener's list.
  virtual std::size_t loop() const = 0;
};

class http_listener {
public:
  using handler = std::function<void(std::shared_ptr<server_exchange>)>;

  /// Binds at once. Requests are handed on from the loops, connections are
  /// spread over them in turn.
  static state::result<std::unique_ptr<http_listener>>
  open(std::vector<boost::asio::io_context *> Loops, const std::string &Address,
       listener_options Options, handler Handler);
  ~http_listener(); // closes
  http_listener(const http_listener &) = delete;
  http_listener &operator=(const http_listener &) = delete;

  std::string address() const; // "ip:port" as bound
  /// For connections and requests that begin after the call. Call it on the
  /// loop of a listener with a single loop.
  void setOptions(const listener_options &Options);
  /// Closes the listening socket; connections go on.
  void stopAccepting();
  /// From now on each answer ends its connection.
  void closeAfterResponses();
  /// Closes the listening socket and all connections.
  void close();
  /// Requests that were received and whose answer is not yet written.
  std::size_t active() const;

private:
  struct core;
  class session;
  explicit http_listener(std::shared_ptr<core> Core);
  std::shared_ptr<core> Core;
};

} // namespace hyssopledge::transport
