/// \file
/// Server side of one gRPC watch stream, which may carry several watches.
#pragma once

#include "platform_standin/platform_service.h"

#include <deque>
#include <grpcpp/support/server_callback.h>
#include <map>
#include <memory>
#include <mutex>

namespace hyssopledge::platform_standin {

class watch_stream final
    : public grpc::ServerBidiReactor<etcdserverpb::WatchRequest,
                                     etcdserverpb::WatchResponse>,
      public std::enable_shared_from_this<watch_stream> {
public:
  explicit watch_stream(platform_service &Service) : Service(Service) {}

  /// Registers the stream and starts reading. The service and gRPC reference it
  /// until OnDone.
  void start();
  /// Queues the events that the watches have not received yet, after Delay. The
  /// caller must hold the store's lock.
  void sendEvents(const mvcc_store &Store, std::chrono::milliseconds Delay);
  void finish(const grpc::Status &Status);
  std::size_t watchCount();

  void OnReadDone(bool Ok) override;
  void OnWriteDone(bool Ok) override;
  void OnCancel() override { finish(grpc::Status::CANCELLED); }
  void OnDone() override;

private:
  struct watch {
    std::string Key;
    std::string RangeEnd;
    std::int64_t NextRevision = 0; // first revision not sent yet
  };

  void create(const etcdserverpb::WatchCreateRequest &Request);
  void send(etcdserverpb::WatchResponse Response);
  etcdserverpb::WatchResponse response(std::int64_t Revision,
                                       std::int64_t Id) const;

  platform_service &Service;
  std::shared_ptr<watch_stream> SelfReference; // keeps alive until OnDone
  etcdserverpb::WatchRequest Request;
  std::map<std::int64_t, watch> Watches; // guarded by the store's lock
  std::int64_t LastId = 0;
  std::mutex Mutex; // lock order: after the store's lock
  std::deque<etcdserverpb::WatchResponse> Queue;
  bool WritePending = false;
  bool Finished = false;
};

} // namespace hyssopledge::platform_standin
