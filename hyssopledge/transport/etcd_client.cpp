#include "hyssopledge/transport/etcd_client.h"

#include "hyssopledge/transport/etcd_calls.h"

#include <algorithm>

namespace hyssopledge::transport {

using namespace coordination;
using state::errc;
using state::failure;

namespace {

// The default back-off of gRPC grows to two minutes; a platform that is back
// must be used within seconds.
constexpr int MinReconnectMs = 100;
constexpr int MaxReconnectMs = 2000;
// A watch on a connection that died without a reset is noticed by these pings.
// etcd refuses clients that ping more often than every 5 s.
constexpr int PingIntervalMs = 10'000;
constexpr int PingTimeoutMs = 5'000;
// Bounds how long the destructor waits for a connection that is being made.
constexpr auto MaxStateWait = std::chrono::milliseconds(50);
// Above the 1 MB of one value; a prefix read returns several.
constexpr int MaxMessageBytes = 64 * 1024 * 1024;

std::string rangeEnd(const std::string &Prefix) {
  std::string End = Prefix;
  while (!End.empty() && static_cast<unsigned char>(End.back()) == 0xFF)
    End.pop_back();
  if (End.empty())
    return {1, '\0'};
  End.back() = static_cast<char>(static_cast<unsigned char>(End.back()) + 1);
  return End;
}

} // namespace

etcd_core::etcd_core(boost::asio::io_context &Context,
                     const protocol::platform_settings &Settings)
    : Context(Context), Timeout(Settings.Timeout) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, MinReconnectMs);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinReconnectMs);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMs);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, PingIntervalMs);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, PingTimeoutMs);
  Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
  QueueThread = std::thread([this] {
    void *Tag = nullptr;
    bool Ok = false;
    while (Queue.Next(&Tag, &Ok)) {
      const std::unique_ptr<std::function<void(bool)>> Function(
          static_cast<std::function<void(bool)> *>(Tag));
      (*Function)(Ok);
    }
  });
  for (const std::string &Address : Settings.Endpoints) {
    auto Channel = grpc::CreateCustomChannel(
        Address, grpc::InsecureChannelCredentials(), Arguments);
    Endpoints.push_back({Address, Channel, etcdserverpb::KV::NewStub(Channel),
                         etcdserverpb::Lease::NewStub(Channel),
                         etcdserverpb::Watch::NewStub(Channel)});
  }
}

void etcd_core::close() {
  std::unique_lock Lock(Mutex);
  Closed = true;
  for (outstanding *Call : Calls)
    Call->cancel();
  Idle.wait(Lock, [this] { return Calls.empty(); });
  Lock.unlock();
  Queue.Shutdown();
  QueueThread.join();
  Endpoints.clear();
}

void etcd_core::whenReady(std::chrono::system_clock::time_point Deadline,
                          begin_function Begin) {
  const auto Now = std::chrono::system_clock::now();
  std::unique_lock Lock(Mutex);
  if (Closed)
    return;
  std::size_t Refused = 0;
  std::size_t Index = current();
  grpc_connectivity_state State = GRPC_CHANNEL_IDLE;
  for (; Refused < Endpoints.size(); ++Refused) {
    State = Endpoints[Index].Channel->GetState(true);
    if (State == GRPC_CHANNEL_READY) {
      Lock.unlock();
      return Begin(Index);
    }
    if (State != GRPC_CHANNEL_TRANSIENT_FAILURE)
      break;
    leave(Index);
    Index = (Index + 1) % Endpoints.size();
  }
  if (Refused == Endpoints.size() || Now >= Deadline) {
    leave(Index);
    Lock.unlock();
    return Begin(std::nullopt);
  }
  Endpoints[Index].Channel->NotifyOnStateChange(
      State, std::min(Deadline, Now + MaxStateWait), &Queue,
      tag([Self = shared_from_this(), Deadline,
           Begin = std::move(Begin)](bool /*Changed*/) {
        boost::asio::post(Self->Context, [Self, Deadline, Begin] {
          Self->whenReady(Deadline, Begin);
        });
      }));
}

platform_entry toEntry(const mvccpb::KeyValue &Entry) {
  return {Entry.key(), Entry.value(), Entry.create_revision(),
          Entry.mod_revision(), Entry.lease()};
}

failure notSent() {
  return {errc::Unavailable,
          "no endpoint of the platform takes a connection; nothing was sent"};
}

failure toFailure(const grpc::Status &Status, bool Write,
                  const std::string &Endpoint) {
  const std::string Detail = Endpoint + ": " + Status.error_message();
  switch (Status.error_code()) {
  case grpc::StatusCode::NOT_FOUND:
    return {errc::NotFound, Detail};
  case grpc::StatusCode::INVALID_ARGUMENT:
    if (Status.error_message().find("too large") != std::string::npos)
      return {errc::TooLarge, Detail};
    return {errc::InvalidMessage, Detail};
  case grpc::StatusCode::FAILED_PRECONDITION:
  case grpc::StatusCode::OUT_OF_RANGE:
  case grpc::StatusCode::UNIMPLEMENTED:
  case grpc::StatusCode::UNAUTHENTICATED:
  case grpc::StatusCode::PERMISSION_DENIED:
    return {errc::InvalidMessage, Detail};
  case grpc::StatusCode::RESOURCE_EXHAUSTED:
    // The platform limits rates before it acts. The same code stands for an
    // answer that is too large for the client, after the effect.
    if (Status.error_message().find("too many requests") != std::string::npos)
      return {errc::Unavailable, Detail};
    break;
  case grpc::StatusCode::DEADLINE_EXCEEDED:
    return {errc::Timeout, Detail};
  default:
    break;
  }
  return {Write ? errc::Timeout : errc::Unavailable, Detail};
}

//-----------------------------------------------------------------------------
// platform_store
//-----------------------------------------------------------------------------

etcd_client::etcd_client(boost::asio::io_context &Context,
                         const protocol::platform_settings &Settings)
    : Core(std::make_shared<etcd_core>(Context, Settings)) {}

etcd_client::~etcd_client() { Core->close(); }

std::uint64_t etcd_client::callCount() const { return Core->Count; }

void etcd_client::get(const std::string &Key, bool Prefix,
                      handler<platform_read> Handler) {
  etcdserverpb::RangeRequest Message;
  Message.set_key(Key);
  if (Prefix)
    Message.set_range_end(rangeEnd(Key));
  startUnary<platform_read, etcdserverpb::RangeRequest,
             etcdserverpb::RangeResponse>(
      Core, std::move(Message), false,
      [](auto &Endpoint, auto *Context, const auto &Request, auto *Queue) {
        return Endpoint.Kv->PrepareAsyncRange(Context, Request, Queue);
      },
      [](etcdserverpb::RangeResponse &Response) {
        platform_read Read;
        Read.Revision = Response.header().revision();
        for (const mvccpb::KeyValue &Entry : Response.kvs())
          Read.Entries.push_back(toEntry(Entry));
        return state::result<platform_read>(std::move(Read));
      },
      std::move(Handler));
}

void etcd_client::commit(platform_txn Txn,
                         handler<platform_txn_result> Handler) {
  etcdserverpb::TxnRequest Message;
  for (const platform_txn::condition &Condition : Txn.Conditions) {
    etcdserverpb::Compare &Compare = *Message.add_compare();
    Compare.set_key(Condition.Key);
    Compare.set_result(etcdserverpb::Compare::EQUAL);
    Compare.set_target(etcdserverpb::Compare::MOD);
    Compare.set_mod_revision(Condition.ModRevision);
  }
  for (platform_txn::put &Put : Txn.Puts) {
    if (Put.Value.size() > MaxPlatformValueBytes)
      return Core->answer(
          Handler,
          state::result<platform_txn_result>(failure(
              errc::TooLarge,
              "value of " + Put.Key + " has " +
                  std::to_string(Put.Value.size()) + " bytes; at most " +
                  std::to_string(MaxPlatformValueBytes) + " are allowed")));
    etcdserverpb::PutRequest &Request =
        *Message.add_success()->mutable_request_put();
    Request.set_key(std::move(Put.Key));
    Request.set_value(std::move(Put.Value));
    Request.set_lease(Put.Lease);
  }
  for (std::string &Key : Txn.Deletes)
    Message.add_success()->mutable_request_delete_range()->set_key(
        std::move(Key));
  startUnary<platform_txn_result, etcdserverpb::TxnRequest,
             etcdserverpb::TxnResponse>(
      Core, std::move(Message), true,
      [](auto &Endpoint, auto *Context, const auto &Request, auto *Queue) {
        return Endpoint.Kv->PrepareAsyncTxn(Context, Request, Queue);
      },
      [](etcdserverpb::TxnResponse &Response) {
        return state::result<platform_txn_result>(platform_txn_result{
            Response.succeeded(), Response.header().revision()});
      },
      std::move(Handler));
}

void etcd_client::grantLease(std::chrono::seconds Duration,
                             handler<std::int64_t> Handler) {
  etcdserverpb::LeaseGrantRequest Message;
  Message.set_ttl(Duration.count());
  startUnary<std::int64_t, etcdserverpb::LeaseGrantRequest,
             etcdserverpb::LeaseGrantResponse>(
      Core, Message, true,
      [](auto &Endpoint, auto *Context, const auto &Request, auto *Queue) {
        return Endpoint.Lease->PrepareAsyncLeaseGrant(Context, Request, Queue);
      },
      [](etcdserverpb::LeaseGrantResponse &Response)
          -> state::result<std::int64_t> {
        if (!Response.error().empty())
          return failure(errc::Unavailable, Response.error());
        return Response.id();
      },
      std::move(Handler));
}

void etcd_client::keepAlive(std::int64_t Lease,
                            handler<std::chrono::seconds> Handler) {
  std::make_shared<keep_alive_call>(Core, Lease, std::move(Handler))->run();
}

void etcd_client::revokeLease(std::int64_t Lease, handler<bool> Handler) {
  etcdserverpb::LeaseRevokeRequest Message;
  Message.set_id(Lease);
  startUnary<bool, etcdserverpb::LeaseRevokeRequest,
             etcdserverpb::LeaseRevokeResponse>(
      Core, Message, true,
      [](auto &Endpoint, auto *Context, const auto &Request, auto *Queue) {
        return Endpoint.Lease->PrepareAsyncLeaseRevoke(Context, Request, Queue);
      },
      [](etcdserverpb::LeaseRevokeResponse & /*Response*/) {
        return state::result<bool>(true);
      },
      std::move(Handler));
}

std::unique_ptr<platform_watch> etcd_client::watch(const std::string &Key,
                                                   bool Prefix,
                                                   std::int64_t StartRevision,
                                                   watch_handler Handler) {
  etcdserverpb::WatchRequest Message;
  etcdserverpb::WatchCreateRequest &Create = *Message.mutable_create_request();
  Create.set_key(Key);
  if (Prefix)
    Create.set_range_end(rangeEnd(Key));
  Create.set_start_revision(StartRevision);
  auto State = std::make_shared<watch_state>();
  auto Handle = std::make_unique<watch_handle>(State);
  std::make_shared<watch_call>(Core, std::move(State), std::move(Message),
                               std::move(Handler))
      ->run();
  return Handle;
}

} // namespace hyssopledge::transport
