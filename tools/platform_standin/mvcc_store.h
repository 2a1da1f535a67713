/// \file
/// Multi-version key-value store of the stand-in: revisions, transactions,
/// leases and a bounded event history for watches. Does no I/O and is not
/// thread-safe.
#pragma once

#include "hyssopledge/protocol/generated/etcd.pb.h"
#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssopledge::platform_standin {

struct store_limits {
  std::size_t MaxValueBytes = 1024 * 1024;
  std::size_t MaxTxnOperations = 128;               // etcd's default
  std::size_t MaxHistoryBytes = 64UL * 1024 * 1024; // compacts events above it
};

class mvcc_store {
public:
  explicit mvcc_store(store_limits Limits = {}) : Limits(Limits) {}

  //--- Key-value --------------------------------------------------------------
  /// Reads at the latest revision only. An older revision returns StaleVersion,
  /// a future one InvalidMessage.
  state::result<etcdserverpb::RangeResponse>
  range(const etcdserverpb::RangeRequest &Request) const;
  /// Applies the transaction as a whole, or returns an error and changes
  /// nothing: TooLarge, NotFound (unknown lease) or InvalidMessage (malformed
  /// request, key put twice).
  state::result<etcdserverpb::TxnResponse>
  txn(const etcdserverpb::TxnRequest &Request);

  //--- Leases -----------------------------------------------------------------
  /// Creates a lease and returns its id; with Id 0 the store assigns one.
  /// Returns Conflict if the id is in use.
  state::result<std::int64_t> grant(std::chrono::seconds Ttl, std::int64_t Id,
                                    state::time_point Now);
  /// Renews the lease and returns its TTL, or NotFound if it has expired.
  state::result<std::chrono::seconds> keepAlive(std::int64_t Id,
                                                state::time_point Now);
  state::result<bool> revoke(std::int64_t Id);
  /// Revokes expired leases and deletes the keys of each in one revision.
  void expire(state::time_point Now);

  //--- Watches ----------------------------------------------------------------
  /// Returns the events of the key or range with a revision of at least From,
  /// oldest first; nullopt if some of them were compacted.
  std::optional<std::vector<mvccpb::Event>>
  eventsFrom(const std::string &Key, const std::string &RangeEnd,
             std::int64_t From) const;

  //--- Statistics -------------------------------------------------------------
  std::int64_t revision() const { return Revision; }
  std::int64_t compactedRevision() const { return CompactedRevision; }
  std::size_t keyCount() const { return Entries.size(); }
  std::size_t leaseCount() const { return Leases.size(); }

private:
  struct lease {
    std::chrono::seconds Ttl;
    state::time_point ExpiresAt;
    std::set<std::string> Keys;
  };

  bool isSatisfied(const etcdserverpb::Compare &Compare) const;
  std::optional<state::failure> findInvalidOperation(
      const google::protobuf::RepeatedPtrField<etcdserverpb::RequestOp>
          &Operations) const;
  void put(const etcdserverpb::PutRequest &Request);
  std::int64_t erase(const std::string &Key, const std::string &RangeEnd);
  void appendEvent(mvccpb::Event Event);
  void fillHeader(etcdserverpb::ResponseHeader &Header) const;

  store_limits Limits;
  std::map<std::string, mvccpb::KeyValue> Entries;
  std::map<std::int64_t, lease> Leases;
  std::deque<mvccpb::Event> History;
  std::size_t HistoryBytes = 0;
  std::int64_t Revision = 1;
  std::int64_t CompactedRevision = 0; // events up to here are compacted
  std::int64_t LastLeaseId = 0;
};

} // namespace hyssopledge::platform_standin
