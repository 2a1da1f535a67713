/// \file
/// Calls and streams of the etcd client. Only etcd_client.cpp includes this.
#pragma once

#include "hyssopledge/coordination/platform.h"
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

/// A call that the destructor of the client can cancel.
class outstanding {
public:
  virtual ~outstanding() = default;
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

  bool add(outstanding *Call) {
    const std::lock_guard Lock(Mutex);
    if (Closed)
      return false;
    Calls.insert(Call);
    return true;
  }
  void remove(outstanding *Call) {
    const std::lock_guard Lock(Mutex);
    Calls.erase(Call);
    Idle.notify_all();
  }
  /// Cancels the calls under way and waits for their ends.
  void close();

  /// A tag for the queue; the function runs once, on the queue's thread, and
  /// learns whether the operation went well.
  static void *tag(std::function<void(bool)> Function) {
    return new std::function<void(bool)>(std::move(Function));
  }

  /// Calls Begin with a connected endpoint, or with none when every endpoint
  /// refuses or the deadline passes. A call that is not begun was surely not
  /// sent; gRPC itself does not tell.
  using begin_function = std::function<void(std::optional<std::size_t>)>;
  void whenReady(std::chrono::system_clock::time_point Deadline,
                 begin_function Begin);

  std::size_t current() const { return Current.load() % Endpoints.size(); }
  void leave(std::size_t Index) {
    std::size_t Expected = Current.load();
    if (Expected % Endpoints.size() == Index)
      Current.compare_exchange_strong(Expected, Expected + 1);
  }

  template <class T>
  void answer(const coordination::platform_store::handler<T> &Handler,
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
  std::atomic<std::size_t> Current{0};
  std::atomic<std::uint64_t> Count{0};
  std::atomic<bool> Closed{false};
  std::mutex Mutex;
  std::condition_variable Idle;
  std::set<outstanding *> Calls;
  // One queue and thread for all calls of the client. gRPC connects only while
  // a queue that waits for the channel is polled.
  grpc::CompletionQueue Queue;
  std::thread QueueThread;
};

coordination::platform_entry toEntry(const mvccpb::KeyValue &Entry);

/// The failure of a call that was begun.
state::failure toFailure(const grpc::Status &Status, bool Write,
                         const std::string &Endpoint);
/// The failure of a call that was not begun.
state::failure notSent();

//-----------------------------------------------------------------------------
// One request, one response
//-----------------------------------------------------------------------------

template <class Request, class Response, class Result>
class unary_call final : public outstanding,
                         public std::enable_shared_from_this<
                             unary_call<Request, Response, Result>> {
public:
  using start_function =
      std::function<std::unique_ptr<grpc::ClientAsyncResponseReader<Response>>(
          etcd_core::endpoint &, grpc::ClientContext *, const Request &,
          grpc::CompletionQueue *)>;
  using convert_function = std::function<state::result<Result>(Response &)>;

  unary_call(std::shared_ptr<etcd_core> Owner, Request Message, bool Write,
             start_function Start, convert_function Convert,
             coordination::platform_store::handler<Result> Handler)
      : Owner(std::move(Owner)), Message(std::move(Message)), Write(Write),
        Start(std::move(Start)), Convert(std::move(Convert)),
        Handler(std::move(Handler)) {}

  void run() {
    ++Owner->Count;
    const auto Deadline = std::chrono::system_clock::now() + Owner->Timeout;
    Context.set_deadline(Deadline);
    Owner->whenReady(Deadline, [Self = this->shared_from_this()](auto Ready) {
      Self->begin(Ready);
    });
  }

  void cancel() override { Context.TryCancel(); }

private:
  void begin(std::optional<std::size_t> Ready) {
    if (!Ready)
      return Owner->answer(Handler, state::result<Result>(notSent()));
    if (!Owner->add(this))
      return;
    Index = *Ready;
    Reader = Start(Owner->Endpoints[Index], &Context, Message, &Owner->Queue);
    Reader->StartCall();
    Reader->Finish(&Answer, &Status,
                   etcd_core::tag([Self = this->shared_from_this()](
                                      bool /*Ok*/) { Self->done(); }));
  }

  void done() {
    if (Status.ok()) {
      Owner->answer(Handler, Convert(Answer));
    } else {
      state::failure Failure =
          toFailure(Status, Write, Owner->Endpoints[Index].Address);
      if (Failure.is(state::errc::Unavailable) ||
          Failure.is(state::errc::Timeout))
        Owner->leave(Index);
      Owner->answer(Handler, state::result<Result>(std::move(Failure)));
    }
    Owner->remove(this);
  }

  std::shared_ptr<etcd_core> Owner;
  Request Message;
  Response Answer;
  bool Write;
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

/// Sends one renewal on a stream of its own and reads one answer. A stream that
/// is kept would hold a connection slot between renewals minutes apart.
class keep_alive_call final
    : public outstanding,
      public std::enable_shared_from_this<keep_alive_call> {
public:
  keep_alive_call(
      std::shared_ptr<etcd_core> Owner, std::int64_t Lease,
      coordination::platform_store::handler<std::chrono::seconds> Handler)
      : Owner(std::move(Owner)), Handler(std::move(Handler)) {
    Message.set_id(Lease);
  }

  void run() {
    ++Owner->Count;
    const auto Deadline = std::chrono::system_clock::now() + Owner->Timeout;
    Context.set_deadline(Deadline);
    Owner->whenReady(Deadline, [Self = shared_from_this()](auto Ready) {
      Self->begin(Ready);
    });
  }

  void cancel() override { Context.TryCancel(); }

private:
  using result = state::result<std::chrono::seconds>;

  void begin(std::optional<std::size_t> Ready) {
    if (!Ready)
      return Owner->answer(Handler, result(notSent()));
    if (!Owner->add(this))
      return;
    Index = *Ready;
    Stream = Owner->Endpoints[Index].Lease->PrepareAsyncLeaseKeepAlive(
        &Context, &Owner->Queue);
    Stream->StartCall(next(&keep_alive_call::started));
  }

  void *next(void (keep_alive_call::*Step)(bool)) {
    return etcd_core::tag([Self = shared_from_this(), Step](bool Ok) {
      (Self.get()->*Step)(Ok);
    });
  }
  void started(bool Ok) {
    if (Ok)
      Stream->Write(Message, next(&keep_alive_call::written));
    else
      Stream->Finish(&Status, next(&keep_alive_call::finished));
  }
  void written(bool Ok) {
    if (Ok)
      Stream->Read(&Answer, next(&keep_alive_call::read));
    else
      Stream->Finish(&Status, next(&keep_alive_call::finished));
  }
  void read(bool Ok) {
    Answered = Ok;
    // The server keeps the stream open for more renewals.
    Context.TryCancel();
    Stream->Finish(&Status, next(&keep_alive_call::finished));
  }
  void finished(bool /*Ok*/) {
    if (Answered && Answer.ttl() > 0) {
      Owner->answer(Handler, result(std::chrono::seconds(Answer.ttl())));
    } else if (Answered) {
      Owner->answer(Handler, result(state::failure(state::errc::NotFound,
                                                   "the lease has ended")));
    } else {
      Owner->leave(Index);
      Owner->answer(
          Handler,
          result(toFailure(Status, true, Owner->Endpoints[Index].Address)));
    }
    Owner->remove(this);
  }

  std::shared_ptr<etcd_core> Owner;
  coordination::platform_store::handler<std::chrono::seconds> Handler;
  grpc::ClientContext Context;
  grpc::Status Status;
  etcdserverpb::LeaseKeepAliveRequest Message;
  etcdserverpb::LeaseKeepAliveResponse Answer;
  std::unique_ptr<
      grpc::ClientAsyncReaderWriter<etcdserverpb::LeaseKeepAliveRequest,
                                    etcdserverpb::LeaseKeepAliveResponse>>
      Stream;
  std::size_t Index = 0;
  bool Answered = false;
};

/// Shared by the handle, the stream and the events under way.
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

class watch_call final : public outstanding,
                         public std::enable_shared_from_this<watch_call> {
public:
  watch_call(std::shared_ptr<etcd_core> Owner,
             std::shared_ptr<watch_state> State,
             etcdserverpb::WatchRequest Message,
             coordination::platform_store::watch_handler Handler)
      : Owner(std::move(Owner)), State(std::move(State)),
        Message(std::move(Message)), Handler(std::move(Handler)) {}

  void run() {
    ++Owner->Count;
    Owner->whenReady(
        std::chrono::system_clock::now() + Owner->Timeout,
        [Self = shared_from_this()](auto Ready) { Self->begin(Ready); });
  }

  void cancel() override { Context.TryCancel(); }

private:
  void begin(std::optional<std::size_t> Ready) {
    if (!Ready)
      return post(notSent());
    if (!Owner->add(this))
      return;
    {
      const std::lock_guard Lock(State->Mutex);
      if (State->Stopped)
        return Owner->remove(this);
      State->Context = &Context;
    }
    Index = *Ready;
    Stream = Owner->Endpoints[Index].Watch->PrepareAsyncWatch(&Context,
                                                              &Owner->Queue);
    Stream->StartCall(next(&watch_call::started));
  }

  void *next(void (watch_call::*Step)(bool)) {
    return etcd_core::tag([Self = shared_from_this(), Step](bool Ok) {
      (Self.get()->*Step)(Ok);
    });
  }
  void started(bool Ok) {
    if (Ok)
      Stream->Write(Message, next(&watch_call::written));
    else
      Stream->Finish(&Status, next(&watch_call::finished));
  }
  void written(bool Ok) {
    if (Ok)
      Stream->Read(&Answer, next(&watch_call::read));
    else
      Stream->Finish(&Status, next(&watch_call::finished));
  }
  void read(bool Ok) {
    if (Ok && Answer.canceled()) {
      Reason = "the platform ended the watch: " + Answer.cancel_reason();
      if (Answer.compact_revision() > 0)
        Reason += " (events up to revision " +
                  std::to_string(Answer.compact_revision()) + " are gone)";
    }
    if (!Ok || Answer.canceled()) {
      Context.TryCancel();
      return Stream->Finish(&Status, next(&watch_call::finished));
    }
    if (Answer.events_size() > 0) {
      std::vector<coordination::platform_event> Events;
      Events.reserve(static_cast<std::size_t>(Answer.events_size()));
      for (const mvccpb::Event &Event : Answer.events())
        Events.push_back(
            {toEntry(Event.kv()), Event.type() == mvccpb::Event::DELETE});
      post(std::move(Events));
    }
    Stream->Read(&Answer, next(&watch_call::read));
  }
  void finished(bool /*Ok*/) {
    {
      const std::lock_guard Lock(State->Mutex);
      State->Context = nullptr;
    }
    if (!State->stopped()) {
      Owner->leave(Index);
      if (Reason.empty())
        Reason = "the watch ended: " + Status.error_message();
      post(state::failure(state::errc::Unavailable,
                          Owner->Endpoints[Index].Address + ": " + Reason));
    }
    Owner->remove(this);
  }

  void post(state::result<std::vector<coordination::platform_event>> Result) {
    Owner->answer(coordination::platform_store::handler<
                      std::vector<coordination::platform_event>>(
                      [State = State, Handler = Handler](const auto &Outcome) {
                        if (!State->stopped())
                          Handler(Outcome);
                      }),
                  std::move(Result));
  }

  std::shared_ptr<etcd_core> Owner;
  std::shared_ptr<watch_state> State;
  etcdserverpb::WatchRequest Message;
  coordination::platform_store::watch_handler Handler;
  grpc::ClientContext Context;
  grpc::Status Status;
  etcdserverpb::WatchResponse Answer;
  std::unique_ptr<grpc::ClientAsyncReaderWriter<etcdserverpb::WatchRequest,
                                                etcdserverpb::WatchResponse>>
      Stream;
  std::string Reason;
  std::size_t Index = 0;
};

/// Starts a unary call; the arguments fix the types.
template <class Result, class Request, class Response>
void startUnary(
    std::shared_ptr<etcd_core> Owner, Request Message, bool Write,
    typename unary_call<Request, Response, Result>::start_function Start,
    typename unary_call<Request, Response, Result>::convert_function Convert,
    coordination::platform_store::handler<Result> Handler) {
  std::make_shared<unary_call<Request, Response, Result>>(
      std::move(Owner), std::move(Message), Write, std::move(Start),
      std::move(Convert), std::move(Handler))
      ->run();
}

} // namespace hyssopledge::transport
