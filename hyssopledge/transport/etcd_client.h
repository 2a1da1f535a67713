/// \file
/// Client of a platform that offers the etcd v3 gRPC API.
#pragma once

#include "hyssopledge/coordination/platform_store.h"
#include "hyssopledge/protocol/settings.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace hyssopledge::transport {

struct etcd_core;

/// Handlers run on the given io_context, and none runs after the client is
/// destroyed. Responses are posted from another thread, so the io_context needs
/// a work guard or other work to keep running. Call and destroy the client on
/// the thread that runs the io_context.
///
/// A failed write is Unavailable when it certainly had no effect (no
/// connection, or the platform rejected it before execution) and Timeout when
/// it may have taken effect, whatever the cause. A failed read has no effect
/// either way. After a call that failed with one of these codes the client uses
/// the next endpoint.
class etcd_client final : public coordination::platform_store {
public:
  etcd_client(boost::asio::io_context &Context,
              const protocol::platform_settings &Settings);
  /// Cancels outstanding calls and watches.
  ~etcd_client() override;

  void get(const std::string &Key, bool Prefix,
           handler<coordination::platform_read> Handler) override;
  void commit(coordination::platform_txn Txn,
              handler<coordination::platform_txn_result> Handler) override;
  void grantLease(std::chrono::seconds Ttl,
                  handler<std::int64_t> Handler) override;
  void keepAlive(std::int64_t Lease,
                 handler<std::chrono::seconds> Handler) override;
  void revokeLease(std::int64_t Lease, handler<bool> Handler) override;
  std::unique_ptr<coordination::platform_watch>
  watch(const std::string &Key, bool Prefix, std::int64_t StartRevision,
        watch_handler Handler) override;

  /// Number of calls so far; a watch counts as one.
  std::uint64_t callCount() const;

private:
  std::shared_ptr<etcd_core> Core;
};

} // namespace hyssopledge::transport
