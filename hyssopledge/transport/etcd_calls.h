/// \file
/// Unary calls and streams of the etcd client. Internal to etcd_client.cpp.
#pragma once

#include "hyssopledge/coordination/platform_store.h"
#include "hyssopledge/protocol/generated/etcd.grpc.pb.h"
#include "hyssopledge/protocol/settings.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace hyssopledge::transport {

/// An outstanding call that the client's destructor can cancel.
class cancellable_call {
public:
  virtual ~cancellable_call() = default;
  virtual void cancel() = 0;
};

//-----------------------------------------------------------------------------
// Endpoints and outstanding calls
//-----------------------------------------------------------------------------

struct etcd_core : std::enable_shared_from_this<etcd_core> {
  struct endpoint {
    std::string Address;
    std::shared_ptr<grpc::Channel> Channel;
    std::unique_ptr<etcdserverpb::KV::Stub> Kv;
    std::unique_ptr<etcdserverpb::Lease::Stub> Lease;
    std::unique_ptr<etcdserverpb::Watch::Stub> Watch;
  };

  etcd_core(boost::asio::io_context &Context,
            const protocol::platform_settings &Settings);

  /// Returns false when the client is closed; the call must not start then.
  bool registerCall(cancellable_call *Call) {
    const std::lock_guard Lock(Mutex);
    if (Closed)
      return false;
    OutstandingCalls.insert(Call);
    return true;
  }
  void unregisterCall(cancellable_call *Call) {
    const std::lock_guard Lock(Mutex);
    OutstandingCalls.erase(Call);
    CallsFinished.notify_all();
  }
  /// Cancels the outstanding calls, waits for their ends and joins the queue
  /// thread.
  void close();

  /// Makes a tag for the queue. The function runs once, on the queue thread,
  /// with true when the operation succeeded.
  static void *makeTag(std::function<void(bool)> Function) {
    return new std::function<void(bool)>(std::move(Function));
  }

  /// Calls Begin with the index of a connected endpoint, or with none when
  /// every endpoint refuses the connection or the deadline passes. Without an
  /// endpoint the request was certainly not sent, which the status of a gRPC
  /// call would not tell.
  using begin_function = std::function<void(std::optional<std::size_t>)>;
  void whenConnected(std::chrono::system_clock::time_point Deadline,
                     begin_function Begin);

  std::size_t currentIndex() const {
    return CurrentEndpoint.load() % Endpoints.size();
  }
  /// Selects the next endpoint, unless another call has already moved away from
  /// this one.
  void advanceFrom(std::size_t Index) {
    std::size_t Expected = CurrentEndpoint.load();
    if (Expected % Endpoints.size() == Index)
      CurrentEndpoint.compare_exchange_strong(Expected, Expected + 1);
  }

  /// Runs the handler on the io_context, unless the client is closed by then.
  template <class T>
  void postResult(const coordination::platform_store::handler<T> &Handler,
                  state::result<T> Result) {
    boost::asio::post(Context, [Self = shared_from_this(), Handler,
                                Result = std::move(Result)] {
      if (!Self->Closed)
        Handler(Result);
    });
  }

  boost::asio::io_context &Context;
  std::chrono::milliseconds Timeout;
  std::vector<endpoint> Endpoints;
  std::atomic<std::size_t> CurrentEndpoint{0};
  std::atomic<std::uint64_t> CallCount{0};
  std::atomic<bool> Closed{false};
  std::mutex Mutex;
  std::condition_variable CallsFinished;
  std::set<cancellable_call *> OutstandingCalls;
  // One queue and thread serve all calls of the client. gRPC connects a channel
  // only while a queue that waits for its state is polled.
  grpc::CompletionQueue Queue;
  std::thread QueueThread;
};

coordination::platform_entry toEntry(const mvccpb::KeyValue &Entry);

/// Returns the failure of a call that was started; see etcd_client for the
/// codes.
state::failure failureFromStatus(const grpc::Status &Status, bool IsWrite,
                                 const std::string &Endpoint);
/// Returns the failure of a call that was not started.
state::failure notSentFailure();

//-----------------------------------------------------------------------------
// Unary calls
//-----------------------------------------------------------------------------

template <class Request, class Response, class Result>
class unary_call final : public cancellable_call,
                         public std::enable_shared_from_this<
                             unary_call<Request, Response, Result>> {
public:
  using start_function =
      std::function<std::unique_ptr<grpc::ClientAsyncResponseReader<Response>>(
          etcd_core::endpoint &, grpc::ClientContext *, const Request &,
          grpc::CompletionQueue *)>;
  using convert_function = std::function<state::result<Result>(Response &)>;

  unary_call(std::shared_ptr<etcd_core> Core, Request Message, bool IsWrite,
             start_function Start, convert_function Convert,
             coordination::platform_store::handler<Result> Handler)
      : Core(std::move(Core)), Message(std::move(Message)), IsWrite(IsWrite),
        Start(std::move(Start)), Convert(std::move(Convert)),
        Handler(std::move(Handler)) {}

  void run() {
    ++Core->CallCount;
    const auto Deadline = std::chrono::system_clock::now() + Core->Timeout;
    Context.set_deadline(Deadline);
    Core->whenConnected(Deadline,
                        [Self = this->shared_from_this()](auto ReadyIndex) {
                          Self->begin(ReadyIndex);
                        });
  }

  void cancel() override { Context.TryCancel(); }

private:
  void begin(std::optional<std::size_t> ReadyIndex) {
    if (!ReadyIndex)
      return Core->postResult(Handler, state::result<Result>(notSentFailure()));
    if (!Core->registerCall(this))
      return;
    Index = *ReadyIndex;
    Reader = Start(Core->Endpoints[Index], &Context, Message, &Core->Queue);
    Reader->StartCall();
    Reader->Finish(
        &Reply, &Status,
        etcd_core::makeTag([Self = this->shared_from_this()](bool /*Ok*/) {
          Self->onFinished();
        }));
  }

  void onFinished() {
    if (Status.ok()) {
      Core->postResult(Handler, Convert(Reply));
    } else {
      state::failure Failure =
          failureFromStatus(Status, IsWrite, Core->Endpoints[Index].Address);
      if (Failure.is(state::errc::Unavailable) ||
          Failure.is(state::errc::Timeout))
        Core->advanceFrom(Index);
      Core->postResult(Handler, state::result<Result>(std::move(Failure)));
    }
    Core->unregisterCall(this);
  }

  std::shared_ptr<etcd_core> Core;
  Request Message;
  Response Reply;
  bool IsWrite;
  start_function Start;
  convert_function Convert;
  coordination::platform_store::handler<Result> Handler;
  grpc::ClientContext Context;
  grpc::Status Status;
  std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> Reader;
  std::size_t Index = 0;
};

//-----------------------------------------------------------------------------
// Streams
//-----------------------------------------------------------------------------

/// Sends one lease renewal on a stream of its own and reads one response. A
/// stream kept open would occupy a connection slot between renewals that are
/// minutes apart.
class keep_alive_call final
    : public cancellable_call,
      public std::enable_shared_from_this<keep_alive_call> {
public:
  keep_alive_call(
      std::shared_ptr<etcd_core> Core, std::int64_t Lease,
      coordination::platform_store::handler<std::chrono::seconds> Handler)
      : Core(std::move(Core)), Handler(std::move(Handler)) {
    Message.set_id(Lease);
  }

  void run() {
    ++Core->CallCount;
    const auto Deadline = std::chrono::system_clock::now() + Core->Timeout;
    Context.set_deadline(Deadline);
    Core->whenConnected(Deadline, [Self = shared_from_this()](auto ReadyIndex) {
      Self->begin(ReadyIndex);
    });
  }

  void cancel() override { Context.TryCancel(); }

private:
  using result = state::result<std::chrono::seconds>;

  void begin(std::optional<std::size_t> ReadyIndex) {
    if (!ReadyIndex)
      return Core->postResult(Handler, result(notSentFailure()));
    if (!Core->registerCall(this))
      return;
    Index = *ReadyIndex;
    Stream = Core->Endpoints[Index].Lease->PrepareAsyncLeaseKeepAlive(
        &Context, &Core->Queue);
    Stream->StartCall(tagFor(&keep_alive_call::onStarted));
  }

  void *tagFor(void (keep_alive_call::*Step)(bool)) {
    return etcd_core::makeTag([Self = shared_from_this(), Step](bool Ok) {
      (Self.get()->*Step)(Ok);
    });
  }
  void onStarted(bool Ok) {
    if (Ok)
      Stream->Write(Message, tagFor(&keep_alive_call::onWritten));
    else
      Stream->Finish(&Status, tagFor(&keep_alive_call::onFinished));
  }
  void onWritten(bool Ok) {
    if (Ok)
      Stream->Read(&Reply, tagFor(&keep_alive_call::onRead));
    else
      Stream->Finish(&Status, tagFor(&keep_alive_call::onFinished));
  }
  void onRead(bool Ok) {
    Replied = Ok;
    // The server would keep the stream open for further renewals.
    Context.TryCancel();
    Stream->Finish(&Status, tagFor(&keep_alive_call::onFinished));
  }
  void onFinished(bool /*Ok*/) {
    if (Replied && Reply.ttl() > 0) {
      Core->postResult(Handler, result(std::chrono::seconds(Reply.ttl())));
    } else if (Replied) {
      Core->postResult(Handler, result(state::failure(
                                    state::errc::NotFound,
                                    "the lease has expired or was revoked")));
    } else {
      Core->advanceFrom(Index);
      Core->postResult(
          Handler, result(failureFromStatus(Status, true,
                                            Core->Endpoints[Index].Address)));
    }
    Core->unregisterCall(this);
  }

  std::shared_ptr<etcd_core> Core;
  coordination::platform_store::handler<std::chrono::seconds> Handler;
  grpc::ClientContext Context;
  grpc::Status Status;
  etcdserverpb::LeaseKeepAliveRequest Message;
  etcdserverpb::LeaseKeepAliveResponse Reply;
  std::unique_ptr<
      grpc::ClientAsyncReaderWriter<etcdserverpb::LeaseKeepAliveRequest,
                                    etcdserverpb::LeaseKeepAliveResponse>>
      Stream;
  std::size_t Index = 0;
  bool Replied = false;
};

/// State of a watch, shared by its handle, its stream and the posted events.
struct watch_state {
  std::mutex Mutex;
  grpc::ClientContext *Context = nullptr; // while the stream runs
  bool Stopped = false;

  void stop() {
    const std::lock_guard Lock(Mutex);
    Stopped = true;
    if (Context != nullptr)
      Context->TryCancel();
  }
  bool stopped() {
    const std::lock_guard Lock(Mutex);
    return Stopped;
  }
};

struct watch_handle final : coordination::platform_watch {
  explicit watch_handle(std::shared_ptr<watch_state> State)
      : State(std::move(State)) {}
  ~watch_handle() override { State->stop(); }
  std::shared_ptr<watch_state> State;
};

/// The stream of one watch. Reports one failure when it ends, unless the watch
/// was stopped.
class watch_call final : public cancellable_call,
                         public std::enable_shared_from_this<watch_call> {
public:
  watch_call(std::shared_ptr<etcd_core> Core,
             std::shared_ptr<watch_state> State,
             etcdserverpb::WatchRequest Message,
             coordination::platform_store::watch_handler Handler)
      : Core(std::move(Core)), State(std::move(State)),
        Message(std::move(Message)), Handler(std::move(Handler)) {}

  void run() {
    ++Core->CallCount;
    Core->whenConnected(std::chrono::system_clock::now() + Core->Timeout,
                        [Self = shared_from_this()](auto ReadyIndex) {
                          Self->begin(ReadyIndex);
                        });
  }

  void cancel() override { Context.TryCancel(); }

private:
  void begin(std::optional<std::size_t> ReadyIndex) {
    if (!ReadyIndex)
      return postEvents(notSentFailure());
    if (!Core->registerCall(this))
      return;
    {
      const std::lock_guard Lock(State->Mutex);
      if (State->Stopped)
        return Core->unregisterCall(this);
      State->Context = &Context;
    }
    Index = *ReadyIndex;
    Stream =
        Core->Endpoints[Index].Watch->PrepareAsyncWatch(&Context, &Core->Queue);
    Stream->StartCall(tagFor(&watch_call::onStarted));
  }

  void *tagFor(void (watch_call::*Step)(bool)) {
    return etcd_core::makeTag([Self = shared_from_this(), Step](bool Ok) {
      (Self.get()->*Step)(Ok);
    });
  }
  void onStarted(bool Ok) {
    if (Ok)
      Stream->Write(Message, tagFor(&watch_call::onWritten));
    else
      Stream->Finish(&Status, tagFor(&watch_call::onFinished));
  }
  void onWritten(bool Ok) {
    if (Ok)
      Stream->Read(&Reply, tagFor(&watch_call::onRead));
    else
      Stream->Finish(&Status, tagFor(&watch_call::onFinished));
  }
  void onRead(bool Ok) {
    if (Ok && Reply.canceled()) {
      Reason = "the platform cancelled the watch: " + Reply.cancel_reason();
      if (Reply.compact_revision() > 0)
        Reason += " (events up to revision " +
                  std::to_string(Reply.compact_revision()) + " were compacted)";
    }
    if (!Ok || Reply.canceled()) {
      Context.TryCancel();
      return Stream->Finish(&Status, tagFor(&watch_call::onFinished));
    }
    if (Reply.events_size() > 0) {
      std::vector<coordination::platform_event> Events;
      Events.reserve(static_cast<std::size_t>(Reply.events_size()));
      for (const mvccpb::Event &Event : Reply.events())
        Events.push_back(
            {toEntry(Event.kv()), Event.type() == mvccpb::Event::DELETE});
      postEvents(std::move(Events));
    }
    Stream->Read(&Reply, tagFor(&watch_call::onRead));
  }
  void onFinished(bool /*Ok*/) {
    {
      const std::lock_guard Lock(State->Mutex);
      State->Context = nullptr;
    }
    if (!State->stopped()) {
      Core->advanceFrom(Index);
      if (Reason.empty())
        Reason = "the watch stream ended: " + Status.error_message();
      postEvents(
          state::failure(state::errc::Unavailable,
                         Core->Endpoints[Index].Address + ": " + Reason));
    }
    Core->unregisterCall(this);
  }

  void
  postEvents(state::result<std::vector<coordination::platform_event>> Result) {
    Core->postResult(
        coordination::platform_store::handler<
            std::vector<coordination::platform_event>>(
            [State = State, Handler = Handler](const auto &Outcome) {
              if (!State->stopped())
                Handler(Outcome);
            }),
        std::move(Result));
  }

  std::shared_ptr<etcd_core> Core;
  std::shared_ptr<watch_state> State;
  etcdserverpb::WatchRequest Message;
  coordination::platform_store::watch_handler Handler;
  grpc::ClientContext Context;
  grpc::Status Status;
  etcdserverpb::WatchResponse Reply;
  std::unique_ptr<grpc::ClientAsyncReaderWriter<etcdserverpb::WatchRequest,
                                                etcdserverpb::WatchResponse>>
      Stream;
  std::string Reason;
  std::size_t Index = 0;
};

/// Starts a unary call.
template <class Result, class Request, class Response>
void startUnary(
    std::shared_ptr<etcd_core> Core, Request Message, bool IsWrite,
    typename unary_call<Request, Response, Result>::start_function Start,
    typename unary_call<Request, Response, Result>::convert_function Convert,
    coordination::platform_store::handler<Result> Handler) {
  std::make_shared<unary_call<Request, Response, Result>>(
      std::move(Core), std::move(Message), IsWrite, std::move(Start),
      std::move(Convert), std::move(Handler))
      ->run();
}

} // namespace hyssopledge::transport
