/// \file
/// The platform over the published etcd v3 gRPC API.
#pragma once

#include "hyssopledge/coordination/platform.h"
#include "hyssopledge/protocol/settings.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace hyssopledge::transport {

struct etcd_core;

/// Handlers run on the io_context given; none runs after the client is
/// destroyed. The answers come from another thread, so the context needs a work
/// guard or other work to wait for them. Call the client, and destroy it, on
/// the thread that runs the context.
///
/// Outcomes of a failed write: Unavailable when no connection was there for the
/// request or the platform refused it before acting, Timeout when it may have
/// taken effect, whatever the reason. A read has no effect either way. After a
/// failed call the next endpoint is used.
class etcd_client final : public coordination::platform_store {
public:
  etcd_client(boost::asio::io_context &Context,
              const protocol::platform_settings &Settings);
  /// Cancels what is outstanding.
  ~etcd_client() override;

  void get(const std::string &Key, bool Prefix,
           handler<coordination::platform_read> Handler) override;
  void commit(coordination::platform_txn Txn,
              handler<coordination::platform_txn_result> Handler) override;
  void grantLease(std::chrono::seconds Duration,
                  handler<std::int64_t> Handler) override;
  void keepAlive(std::int64_t Lease,
                 handler<std::chrono::seconds> Handler) override;
  void revokeLease(std::int64_t Lease, handler<bool> Handler) override;
  std::unique_ptr<coordination::platform_watch>
  watch(const std::string &Key, bool Prefix, std::int64_t StartRevision,
        watch_handler Handler) override;

  /// Calls so far, each watch as one.
  std::uint64_t callCount() const;

private:
  std::shared_ptr<etcd_core> Core;
};

} // namespace hyssopledge::transport
