#include "hyssopledge/transport/control_rpc.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>
#include <utility>

namespace hyssopledge::transport {

using state::errc;
using state::failure;
using namespace std::chrono_literals;

namespace {
// A daemon calls the same few peers repeatedly; each channel costs memory.
constexpr std::size_t MaxChannels = 32;
constexpr std::chrono::milliseconds FetchTimeout{2000};
constexpr std::chrono::milliseconds SyncTimeout{2000};
constexpr std::chrono::milliseconds RenewTimeout{1000};
constexpr std::chrono::milliseconds ReportTimeout{1000};
} // namespace

//-----------------------------------------------------------------------------
// Calls on the completion queue
//-----------------------------------------------------------------------------

struct control_rpc::queue_tag {
  virtual ~queue_tag() = default;
  /// Handles the end of an operation, on the queue thread.
  virtual void proceed(bool Ok) = 0;
  virtual void cancel() {}
};

template <class Request, class Response>
struct control_rpc::server_call final : queue_tag {
  using method = std::function<void(grpc::ServerContext *, Request *,
                                    grpc::ServerAsyncResponseWriter<Response> *,
                                    grpc::ServerCompletionQueue *, void *)>;

  server_call(control_rpc &Rpc, method Method, peer_traffic_cause Cause,
              std::function<Response(const Request &)> Handler)
      : Rpc(Rpc), Method(std::move(Method)), Cause(Cause),
        Handler(std::move(Handler)), Writer(&Context) {}

  /// Requests the next call from the service. The queue must be open, and Mutex
  /// held once the queue thread runs.
  void requestNextCall() {
    Method(&Context, &Message, &Writer, Rpc.Queue.get(), this);
  }

  void proceed(bool Ok) override {
    if (!Ok || CallReceived) {
      delete this;
      return;
    }
    {
      const std::lock_guard<std::mutex> Lock(Rpc.Mutex);
      if (!Rpc.Stopped)
        (new server_call(Rpc, Method, Cause, Handler))->requestNextCall();
    }
    CallReceived = true;
    boost::asio::post(Rpc.Context, [Self = std::unique_ptr<server_call>(this),
                                    Lifetime = std::weak_ptr<int>(
                                        Rpc.LifetimeToken)]() mutable {
      if (!Lifetime.expired())
        Self.release()->respond();
    });
  }

  /// Runs the handler and sends its response, on the control thread.
  void respond() {
    Rpc.Traffic.Received.add(Cause, Message.ByteSizeLong());
    Reply = Handler(Message);
    const std::unique_lock<std::mutex> Lock(Rpc.Mutex);
    // stop() has cancelled the call.
    if (Rpc.Stopped) {
      delete this;
      return;
    }
    Rpc.Traffic.Sent.add(Cause, Reply.ByteSizeLong());
    Writer.Finish(Reply, grpc::Status::OK, this);
  }

  control_rpc &Rpc;
  method Method;
  peer_traffic_cause Cause;
  std::function<Response(const Request &)> Handler;
  grpc::ServerContext Context;
  Request Message;
  Response Reply;
  grpc::ServerAsyncResponseWriter<Response> Writer;
  bool CallReceived = false;
};

template <class Request, class Response>
struct control_rpc::client_call final : queue_tag {
  client_call(control_rpc &Rpc, peer_traffic_cause Cause,
              handler<Response> Handler)
      : Rpc(Rpc), Cause(Cause), Handler(std::move(Handler)) {}

  void proceed(bool /*Ok*/) override {
    {
      const std::lock_guard<std::mutex> Lock(Rpc.Mutex);
      Rpc.Calls.erase(this);
    }
    if (Status.ok()) {
      Rpc.Traffic.Received.add(Cause, Reply.ByteSizeLong());
      boost::asio::post(Rpc.Context, [Handler = std::move(Handler),
                                      Reply = std::move(Reply)]() mutable {
        Handler(state::result<Response>(std::move(Reply)));
      });
    } else {
      const bool TimedOut =
          Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
      boost::asio::post(
          Rpc.Context,
          [Handler = std::move(Handler),
           Failure = failure(TimedOut ? errc::Timeout : errc::Unavailable,
                             Status.error_message())] { Handler(Failure); });
    }
    delete this;
  }
  void cancel() override { Context.TryCancel(); }

  control_rpc &Rpc;
  peer_traffic_cause Cause;
  handler<Response> Handler;
  grpc::ClientContext Context;
  grpc::Status Status;
  Response Reply;
  std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> Reader;
};

//-----------------------------------------------------------------------------
// Server
//-----------------------------------------------------------------------------

control_rpc::control_rpc(boost::asio::io_context &Context,
                         peer_traffic_counters &Traffic)
    : Context(Context), Traffic(Traffic) {}

control_rpc::~control_rpc() { stop(); }

template <class Request, class Response, class Method>
void control_rpc::acceptCalls(
    Method RequestMethod, peer_traffic_cause Cause,
    const std::function<Response(const Request &)> &Handler) {
  auto BoundMethod =
      [this, RequestMethod](grpc::ServerContext *CallContext, Request *Message,
                            grpc::ServerAsyncResponseWriter<Response> *Writer,
                            grpc::ServerCompletionQueue *CallQueue, void *Tag) {
        (Service.*RequestMethod)(CallContext, Message, Writer, CallQueue,
                                 CallQueue, Tag);
      };
  (new server_call<Request, Response>(*this, BoundMethod, Cause, Handler))
      ->requestNextCall();
}

state::result<bool> control_rpc::start(const std::string &Address,
                                       control_service_handlers NewHandlers) {
  using service = control::control::AsyncService;
  Handlers = std::move(NewHandlers);
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort(Address, grpc::InsecureServerCredentials(), &Port);
  // With SO_REUSEPORT two daemons could bind one address, and each would
  // receive a part of the calls.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.RegisterService(&Service);
  Queue = Builder.AddCompletionQueue();
  Server = Builder.BuildAndStart();
  if (!Server || Port == 0) {
    Queue->Shutdown();
    void *Tag = nullptr;
    bool Ok = false;
    while (Queue->Next(&Tag, &Ok)) {
    }
    Queue.reset();
    return failure(errc::Unavailable,
                   "can't listen on gRPC address " + Address);
  }
  Stopped = false;
  acceptCalls<control::fetch_request, control::fetch_response>(
      &service::Requestfetch, peer_traffic_cause::Document, Handlers.Fetch);
  acceptCalls<control::sync_request, control::sync_response>(
      &service::Requestsync, peer_traffic_cause::Sync, Handlers.Sync);
  acceptCalls<control::renew_request, control::renew_response>(
      &service::Requestrenew, peer_traffic_cause::Renewal, Handlers.Renew);
  acceptCalls<control::report_request, control::report_response>(
      &service::Requestreport, peer_traffic_cause::Report, Handlers.Report);
  QueueThread = std::thread([this] { runQueue(); });
  return true;
}

void control_rpc::runQueue() {
  void *Tag = nullptr;
  bool Ok = false;
  while (Queue->Next(&Tag, &Ok))
    static_cast<queue_tag *>(Tag)->proceed(Ok);
}

void control_rpc::stop() {
  if (!QueueThread.joinable())
    return;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopped = true;
    for (queue_tag *Call : Calls)
      Call->cancel();
  }
  Server->Shutdown(std::chrono::system_clock::now());
  Queue->Shutdown();
  QueueThread.join();
  LifetimeToken.reset();
  Channels.clear();
}

//-----------------------------------------------------------------------------
// Client
//-----------------------------------------------------------------------------

control_rpc::stub &control_rpc::stubFor(const std::string &Address) {
  auto Found = Channels.find(Address);
  if (Found == Channels.end()) {
    if (Channels.size() >= MaxChannels)
      Channels.erase(std::min_element(Channels.begin(), Channels.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.second.LastUse <
                                               Right.second.LastUse;
                                      }));
    grpc::ChannelArguments Arguments;
    // Short delays, so that a restarted peer is reached within about one probe
    // interval.
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 2000);
    Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    auto Channel = grpc::CreateCustomChannel(
        Address, grpc::InsecureChannelCredentials(), Arguments);
    Found = Channels
                .emplace(Address,
                         channel_entry{control::control::NewStub(Channel), 0})
                .first;
  }
  Found->second.LastUse = ++UseCounter;
  return *Found->second.Stub;
}

template <class Request, class Response, class Method>
void control_rpc::call(Method StubMethod, peer_traffic_cause Cause,
                       const std::string &Address, const Request &Message,
                       std::chrono::milliseconds Timeout,
                       handler<Response> Handler) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Stopped)
    return;
  Traffic.Sent.add(Cause, Message.ByteSizeLong());
  auto *Call =
      new client_call<Request, Response>(*this, Cause, std::move(Handler));
  Calls.insert(Call);
  Call->Context.set_deadline(std::chrono::system_clock::now() + Timeout);
  Call->Reader =
      (stubFor(Address).*StubMethod)(&Call->Context, Message, Queue.get());
  Call->Reader->Finish(&Call->Reply, &Call->Status, Call);
}

void control_rpc::fetch(const std::string &Address,
                        const control::fetch_request &Request,
                        handler<control::fetch_response> Handler) {
  call<control::fetch_request, control::fetch_response>(
      &stub::Asyncfetch, peer_traffic_cause::Document, Address, Request,
      FetchTimeout, std::move(Handler));
}

void control_rpc::sync(const std::string &Address,
                       const control::sync_request &Request,
                       handler<control::sync_response> Handler) {
  call<control::sync_request, control::sync_response>(
      &stub::Asyncsync, peer_traffic_cause::Sync, Address, Request, SyncTimeout,
      std::move(Handler));
}

void control_rpc::renew(const std::string &Address,
                        const control::renew_request &Request,
                        handler<control::renew_response> Handler) {
  call<control::renew_request, control::renew_response>(
      &stub::Asyncrenew, peer_traffic_cause::Renewal, Address, Request,
      RenewTimeout, std::move(Handler));
}

void control_rpc::report(const std::string &Address,
                         const control::report_request &Request,
                         handler<control::report_response> Handler) {
  call<control::report_request, control::report_response>(
      &stub::Asyncreport, peer_traffic_cause::Report, Address, Request,
      ReportTimeout, std::move(Handler));
}

} // namespace hyssopledge::transport
