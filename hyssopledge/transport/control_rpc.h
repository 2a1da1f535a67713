/// \file
/// Server and client of the gRPC service between daemons. One thread polls the
/// completion queue and posts every event to the control io_context.
#pragma once

#include "hyssopledge/protocol/generated/control.grpc.pb.h"
#include "hyssopledge/state/result.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace hyssopledge::transport {

//-----------------------------------------------------------------------------
// Traffic counters
//-----------------------------------------------------------------------------

enum class peer_traffic_cause { Membership, Document, Renewal, Report, Sync };
constexpr std::size_t PeerTrafficCauses = 5;

/// Counts the bytes of messages between daemons, without the headers of the
/// lower protocols. Thread-safe.
struct peer_traffic_counters {
  struct direction {
    std::array<std::atomic<std::uint64_t>, PeerTrafficCauses> Bytes{};
    void add(peer_traffic_cause Cause, std::size_t Count) {
      Bytes[static_cast<std::size_t>(Cause)].fetch_add(
          Count, std::memory_order_relaxed);
    }
    std::uint64_t bytes(peer_traffic_cause Cause) const {
      return Bytes[static_cast<std::size_t>(Cause)].load(
          std::memory_order_relaxed);
    }
  };
  direction Received;
  direction Sent;
};

//-----------------------------------------------------------------------------
// Service
//-----------------------------------------------------------------------------

/// Handlers of calls from other daemons, run on the control io_context.
struct control_service_handlers {
  std::function<control::fetch_response(const control::fetch_request &)> Fetch;
  std::function<control::sync_response(const control::sync_request &)> Sync;
  std::function<control::renew_response(const control::renew_request &)> Renew;
  std::function<control::report_response(const control::report_request &)>
      Report;
};

/// Use it on the thread of its io_context. A client call runs its handler once,
/// with Timeout after the deadline and Unavailable for any other failure; after
/// stop() a call has no effect.
class control_rpc {
public:
  template <class T> using handler = std::function<void(state::result<T>)>;

  control_rpc(boost::asio::io_context &Context, peer_traffic_counters &Traffic);
  ~control_rpc();
  control_rpc(const control_rpc &) = delete;
  control_rpc &operator=(const control_rpc &) = delete;

  /// Starts the server. Unavailable when the address can't be bound.
  state::result<bool> start(const std::string &Address,
                            control_service_handlers Handlers);
  /// Stops the server and cancels outstanding calls; their handlers may still
  /// run with a failure.
  void stop();

  void fetch(const std::string &Address, const control::fetch_request &Request,
             handler<control::fetch_response> Handler);
  void sync(const std::string &Address, const control::sync_request &Request,
            handler<control::sync_response> Handler);
  void renew(const std::string &Address, const control::renew_request &Request,
             handler<control::renew_response> Handler);
  void report(const std::string &Address,
              const control::report_request &Request,
              handler<control::report_response> Handler);

private:
  struct queue_tag;
  template <class Request, class Response> struct server_call;
  template <class Request, class Response> struct client_call;
  using stub = control::control::Stub;

  template <class Request, class Response, class Method>
  void acceptCalls(Method RequestMethod, peer_traffic_cause Cause,
                   const std::function<Response(const Request &)> &Handler);
  template <class Request, class Response, class Method>
  void call(Method StubMethod, peer_traffic_cause Cause,
            const std::string &Address, const Request &Message,
            std::chrono::milliseconds Timeout, handler<Response> Handler);
  stub &stubFor(const std::string &Address);
  void runQueue();

  boost::asio::io_context &Context;
  peer_traffic_counters &Traffic;
  control_service_handlers Handlers;
  control::control::AsyncService Service;
  std::unique_ptr<grpc::ServerCompletionQueue> Queue;
  std::unique_ptr<grpc::Server> Server;
  std::thread QueueThread;
  std::shared_ptr<int> LifetimeToken = std::make_shared<int>(0); // until stop
  std::mutex Mutex;            // guards Stopped and Calls
  bool Stopped = true;         // no operation may be added to the queue
  std::set<queue_tag *> Calls; // outstanding client calls
  struct channel_entry {
    std::unique_ptr<stub> Stub;
    std::uint64_t LastUse = 0; // value of UseCounter at the last call
  };
  std::map<std::string, channel_entry> Channels;
  std::uint64_t UseCounter = 0;
};

} // namespace hyssopledge::transport
