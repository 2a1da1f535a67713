#include "platform_standin/platform_service.h"

#include "hyssopledge/protocol/generated/etcd.grpc.pb.h"
#include "platform_standin/watch_stream.h"

#include <algorithm>
#include <atomic>
#include <grpcpp/grpcpp.h>
#include <utility>

namespace hyssopledge::platform_standin {

namespace {

using namespace std::chrono_literals;
using state::errc;

constexpr auto ExpiryInterval = 100ms;
// Larger than the largest value, so that the store and not gRPC rejects
// requests that are too large.
constexpr int MaxRequestBytes = 8 * 1024 * 1024;
// etcd's default; clients that ping more often are disconnected.
constexpr int MinPingIntervalMs = 5'000;

grpc::Status toStatus(const state::failure &Failure) {
  grpc::StatusCode Code = grpc::StatusCode::INVALID_ARGUMENT;
  if (Failure.is(errc::NotFound))
    Code = grpc::StatusCode::NOT_FOUND;
  else if (Failure.is(errc::StaleVersion))
    Code = grpc::StatusCode::OUT_OF_RANGE;
  else if (Failure.is(errc::Conflict))
    Code = grpc::StatusCode::FAILED_PRECONDITION;
  return {Code, Failure.Detail};
}

std::int64_t steadySeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Answers a unary call immediately or after a delay, or leaves it unanswered
/// until the client cancels it.
class unary_reactor final : public grpc::ServerUnaryReactor {
public:
  void answer(const grpc::Status &Status) {
    if (!Finished.exchange(true))
      Finish(Status);
  }
  void leaveUnanswered() {
    Unanswered = true;
    if (Cancelled)
      answer(grpc::Status::CANCELLED);
  }
  void OnCancel() override {
    Cancelled = true;
    if (Unanswered)
      answer(grpc::Status::CANCELLED);
  }
  void OnDone() override { delete this; }

private:
  std::atomic<bool> Unanswered{false};
  std::atomic<bool> Cancelled{false};
  std::atomic<bool> Finished{false};
};

/// Server side of one LeaseKeepAlive stream.
class keep_alive_stream final
    : public grpc::ServerBidiReactor<etcdserverpb::LeaseKeepAliveRequest,
                                     etcdserverpb::LeaseKeepAliveResponse> {
public:
  explicit keep_alive_stream(platform_service &Service) : Service(Service) {
    StartRead(&Request);
  }

  void OnReadDone(bool Ok) override {
    if (!Ok)
      return finish(grpc::Status::OK);
    if (const grpc::Status Status = Service.admit(call_kind::Lease);
        !Status.ok())
      return finish(Status);
    Service.taskScheduler().runAfter(Service.latency(),
                                     [this] { renewLease(); });
  }
  void OnWriteDone(bool Ok) override {
    if (Ok)
      StartRead(&Request);
    else
      finish(grpc::Status::CANCELLED);
  }
  void OnDone() override { delete this; }

private:
  void finish(const grpc::Status &Status) {
    if (!std::exchange(Finished, true))
      Finish(Status);
  }
  void renewLease() {
    const auto Renewed = Service.withStore([this](mvcc_store &Store) {
      return Store.keepAlive(Request.id(), state::boot_clock::now());
    });
    Response.set_id(Request.id());
    Response.set_ttl(Renewed.has_value() ? Renewed.value().count() : 0);
    StartWrite(&Response);
  }

  platform_service &Service;
  etcdserverpb::LeaseKeepAliveRequest Request;
  etcdserverpb::LeaseKeepAliveResponse Response;
  bool Finished = false;
};

/// Handles a unary call: runs Function after one half of the injected latency
/// and answers after the other half.
template <class Effect>
grpc::ServerUnaryReactor *runUnary(platform_service &Service, call_kind Kind,
                                   Effect Function) {
  auto *Reactor = new unary_reactor;
  if (const grpc::Status Status = Service.admit(Kind); !Status.ok()) {
    Reactor->answer(Status);
    return Reactor;
  }
  const auto HalfLatency = Service.latency() / 2;
  const auto RunEffect = [&Service, Kind, HalfLatency, Reactor, Function] {
    const grpc::Status Status = Service.withStore(Function);
    const auto Fault = Kind == call_kind::Write && Status.ok()
                           ? Service.drawAnswerFault()
                           : platform_service::answer_fault::None;
    if (Fault == platform_service::answer_fault::Lose)
      return Reactor->leaveUnanswered();
    const grpc::Status Answer =
        Fault == platform_service::answer_fault::Fail
            ? grpc::Status(grpc::StatusCode::UNAVAILABLE,
                           "etcdserver: request timed out")
            : Status;
    if (HalfLatency.count() == 0)
      return Reactor->answer(Answer);
    Service.taskScheduler().runAfter(
        HalfLatency, [Reactor, Answer] { Reactor->answer(Answer); });
  };
  if (HalfLatency.count() == 0)
    RunEffect();
  else
    Service.taskScheduler().runAfter(HalfLatency, RunEffect);
  return Reactor;
}

template <class Result, class Response>
grpc::Status storeResponse(Result Outcome, Response *Target) {
  if (Outcome.has_error())
    return toStatus(Outcome.error());
  *Target = std::move(Outcome.value());
  return grpc::Status::OK;
}

} // namespace

//-----------------------------------------------------------------------------
// gRPC services
//-----------------------------------------------------------------------------

class platform_service::services {
public:
  explicit services(platform_service &Service)
      : Kv(Service), Lease(Service), Watch(Service) {}

  struct kv final : etcdserverpb::KV::CallbackService {
    explicit kv(platform_service &Service) : Service(Service) {}
    grpc::ServerUnaryReactor *
    Range(grpc::CallbackServerContext * /*Context*/,
          const etcdserverpb::RangeRequest *Request,
          etcdserverpb::RangeResponse *Response) override {
      return runUnary(Service, call_kind::Read,
                      [Request, Response](mvcc_store &Store) {
                        return storeResponse(Store.range(*Request), Response);
                      });
    }
    grpc::ServerUnaryReactor *
    Txn(grpc::CallbackServerContext * /*Context*/,
        const etcdserverpb::TxnRequest *Request,
        etcdserverpb::TxnResponse *Response) override {
      return runUnary(Service, call_kind::Write,
                      [Request, Response](mvcc_store &Store) {
                        return storeResponse(Store.txn(*Request), Response);
                      });
    }
    platform_service &Service;
  };

  struct lease final : etcdserverpb::Lease::CallbackService {
    explicit lease(platform_service &Service) : Service(Service) {}
    grpc::ServerUnaryReactor *
    LeaseGrant(grpc::CallbackServerContext * /*Context*/,
               const etcdserverpb::LeaseGrantRequest *Request,
               etcdserverpb::LeaseGrantResponse *Response) override {
      return runUnary(
          Service, call_kind::Write, [Request, Response](mvcc_store &Store) {
            auto Granted = Store.grant(std::chrono::seconds(Request->ttl()),
                                       Request->id(), state::boot_clock::now());
            if (Granted.has_error())
              return toStatus(Granted.error());
            Response->set_id(Granted.value());
            Response->set_ttl(Request->ttl());
            return grpc::Status::OK;
          });
    }
    grpc::ServerUnaryReactor *
    LeaseRevoke(grpc::CallbackServerContext * /*Context*/,
                const etcdserverpb::LeaseRevokeRequest *Request,
                etcdserverpb::LeaseRevokeResponse * /*Response*/) override {
      return runUnary(Service, call_kind::Write, [Request](mvcc_store &Store) {
        auto Revoked = Store.revoke(Request->id());
        return Revoked.has_error() ? toStatus(Revoked.error())
                                   : grpc::Status::OK;
      });
    }
    grpc::ServerBidiReactor<etcdserverpb::LeaseKeepAliveRequest,
                            etcdserverpb::LeaseKeepAliveResponse> *
    LeaseKeepAlive(grpc::CallbackServerContext * /*Context*/) override {
      return new keep_alive_stream(Service);
    }
    platform_service &Service;
  };

  struct watch final : etcdserverpb::Watch::CallbackService {
    explicit watch(platform_service &Service) : Service(Service) {}
    grpc::ServerBidiReactor<etcdserverpb::WatchRequest,
                            etcdserverpb::WatchResponse> *
    Watch(grpc::CallbackServerContext * /*Context*/) override {
      auto Stream = std::make_shared<watch_stream>(Service);
      Stream->start();
      return Stream.get();
    }
    platform_service &Service;
  };

  kv Kv;
  lease Lease;
  watch Watch;
};

//-----------------------------------------------------------------------------
// Start and stop
//-----------------------------------------------------------------------------

platform_service::platform_service(std::string Address, rate_limits Rates)
    : Address(std::move(Address)), Rates(Rates),
      Services(std::make_unique<services>(*this)) {
  scheduleExpiry();
}

platform_service::~platform_service() { stopServer(); }

bool platform_service::start() {
  const std::lock_guard ServerLock(ServerMutex);
  if (Server)
    return true;
  grpc::ServerBuilder Builder;
  const std::string Host = Address.substr(0, Address.rfind(':') + 1);
  int Selected = 0;
  Builder.AddListeningPort(Port != 0 ? Host + std::to_string(Port) : Address,
                           grpc::InsecureServerCredentials(), &Selected);
  // With SO_REUSEPORT, two stand-ins could bind one port and each would get
  // part of the connections without an error.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
  Builder.SetMaxReceiveMessageSize(MaxRequestBytes);
  Builder.RegisterService(&Services->Kv);
  Builder.RegisterService(&Services->Lease);
  Builder.RegisterService(&Services->Watch);
  Server = Builder.BuildAndStart();
  if (Server)
    Port = Selected;
  return Server != nullptr;
}

void platform_service::stopServer() {
  const std::lock_guard ServerLock(ServerMutex);
  if (!Server)
    return;
  TaskScheduler.setRunImmediately(true);
  Server->Shutdown(std::chrono::system_clock::now());
  Server.reset();
  TaskScheduler.setRunImmediately(false);
}

void platform_service::scheduleExpiry() {
  TaskScheduler.runAfter(ExpiryInterval, [this] {
    withStore([](const mvcc_store & /*Store*/) { return true; });
    scheduleExpiry();
  });
}

//-----------------------------------------------------------------------------
// Faults and counts
//-----------------------------------------------------------------------------

std::string platform_service::setFaults(const nlohmann::json &Json) {
  if (!Json.is_object())
    return "the body must be a JSON object";
  faults NewFaults;
  {
    const std::lock_guard Lock(Mutex);
    NewFaults = Faults;
  }
  for (const auto &Item : Json.items()) {
    const nlohmann::json &Value = Item.value();
    const bool IsValidNumber = Value.is_number_unsigned() && Value <= 3'600'000;
    if (Item.key() == "down" && Value.is_boolean())
      NewFaults.Down = Value;
    else if (Item.key() == "cross_watch" && Value.is_boolean())
      NewFaults.CrossWatch = Value;
    else if (Item.key() == "latency_ms" && IsValidNumber)
      NewFaults.Latency = std::chrono::milliseconds(Value.get<unsigned>());
    else if (Item.key() == "watch_delay_ms" && IsValidNumber)
      NewFaults.WatchDelay = std::chrono::milliseconds(Value.get<unsigned>());
    else if (Item.key() == "lose_answers" && IsValidNumber)
      NewFaults.LoseAnswers = Value;
    else if (Item.key() == "fail_after" && IsValidNumber)
      NewFaults.FailAfter = Value;
    else if (Item.key() == "fail_before" && IsValidNumber)
      NewFaults.FailBefore = Value;
    else
      return "unknown key or wrong value: " + Item.key();
  }
  {
    const std::lock_guard Lock(Mutex);
    Faults = NewFaults;
  }
  if (NewFaults.Down)
    stopServer();
  else if (!start())
    return "the address can't be used again yet";
  return "";
}

nlohmann::json platform_service::stats() {
  const std::lock_guard Lock(Mutex);
  advanceSecond(steadySeconds());
  std::size_t Watches = 0;
  for (const auto &Stream : Streams)
    Watches += Stream->watchCount();
  return {{"calls", Totals[0]},
          {"reads", Totals[1]},
          {"writes", Totals[2]},
          {"calls_per_s", LastSecond.Counts[0]},
          {"reads_per_s", LastSecond.Counts[1]},
          {"writes_per_s", LastSecond.Counts[2]},
          {"peak_calls_per_s", Peaks[0]},
          {"peak_reads_per_s", Peaks[1]},
          {"peak_writes_per_s", Peaks[2]},
          {"watches", Watches},
          {"leases", Store.leaseCount()},
          {"keys", Store.keyCount()},
          {"revision", Store.revision()},
          {"down", Faults.Down}};
}

bool platform_service::token_bucket::tryConsume(double Rate) {
  if (Rate <= 0)
    return true;
  const auto Now = std::chrono::steady_clock::now();
  Tokens = std::min(
      Rate,
      Tokens + Rate * std::chrono::duration<double>(Now - RefilledAt).count());
  RefilledAt = Now;
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void platform_service::advanceSecond(std::int64_t Now) {
  if (CurrentSecond.Number == Now)
    return;
  LastSecond =
      CurrentSecond.Number == Now - 1 ? CurrentSecond : second_counts{};
  CurrentSecond = second_counts{};
  CurrentSecond.Number = Now;
}

void platform_service::countCall(call_kind Kind) {
  advanceSecond(steadySeconds());
  const auto Add = [this](std::size_t Index) {
    ++Totals[Index];
    Peaks[Index] = std::max(Peaks[Index], ++CurrentSecond.Counts[Index]);
  };
  Add(0);
  if (Kind == call_kind::Read)
    Add(1);
  if (Kind == call_kind::Write)
    Add(2);
}

grpc::Status platform_service::admit(call_kind Kind) {
  const std::lock_guard Lock(Mutex);
  countCall(Kind);
  const bool Write = Kind == call_kind::Write || Kind == call_kind::Lease;
  if (Write ? !WriteBucket.tryConsume(Rates.WritesPerSecond)
            : !ReadBucket.tryConsume(Rates.ReadsPerSecond))
    return {grpc::StatusCode::RESOURCE_EXHAUSTED,
            "etcdserver: too many requests"};
  if (Faults.FailBefore > 0) {
    --Faults.FailBefore;
    return {grpc::StatusCode::UNAVAILABLE, "etcdserver: no leader"};
  }
  return grpc::Status::OK;
}

platform_service::answer_fault platform_service::drawAnswerFault() {
  const std::lock_guard Lock(Mutex);
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    return answer_fault::Lose;
  }
  if (Faults.FailAfter > 0) {
    --Faults.FailAfter;
    return answer_fault::Fail;
  }
  return answer_fault::None;
}

std::chrono::milliseconds platform_service::latency() {
  const std::lock_guard Lock(Mutex);
  return Faults.Latency;
}

//-----------------------------------------------------------------------------
// Watches; the store is locked
//-----------------------------------------------------------------------------

std::chrono::milliseconds platform_service::watchDelay() {
  if (!Faults.CrossWatch)
    return Faults.WatchDelay;
  return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(
      0, Faults.WatchDelay.count())(Engine));
}

void platform_service::sendEvents() {
  for (const auto &Stream : Streams)
    Stream->sendEvents(Store, watchDelay());
}

void platform_service::addStream(const std::shared_ptr<watch_stream> &Stream) {
  const std::lock_guard Lock(Mutex);
  Streams.insert(Stream);
}

void platform_service::removeStream(
    const std::shared_ptr<watch_stream> &Stream) {
  const std::lock_guard Lock(Mutex);
  Streams.erase(Stream);
}

} // namespace hyssopledge::platform_standin
