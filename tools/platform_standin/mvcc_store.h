/// \file
/// The key-value store of the stand-in: revisions, transactions, leases and a
/// bounded history for watches. No I/O; one thread at a time.
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
  std::size_t MaxTxnOperations = 128;               // as etcd's default
  std::size_t MaxHistoryBytes = 64UL * 1024 * 1024; // older events are
                                                    // compacted
};

class mvcc_store {
public:
  explicit mvcc_store(store_limits Limits = {}) : Limits(Limits) {}

  //--- Key-value
  //---------------------------------------------------------------
  /// Reads the latest revision only; an older one is StaleVersion, a future one
  /// InvalidMessage.
  state::result<etcdserverpb::RangeResponse>
  range(const etcdserverpb::RangeRequest &Request) const;
  /// All or nothing: TooLarge, NotFound (unknown lease) or InvalidMessage
  /// (malformed, a key put twice) change nothing.
  state::result<etcdserverpb::TxnResponse>
  txn(const etcdserverpb::TxnRequest &Request);

  //--- Leases
  //------------------------------------------------------------------
  /// Id 0 lets the store choose. Conflict when the id is taken.
  state::result<std::int64_t> grant(std::chrono::seconds Ttl, std::int64_t Id,
                                    state::time_point Now);
  /// The granted duration; NotFound when the lease has ended.
  state::result<std::chrono::seconds> keepAlive(std::int64_t Id,
                                                state::time_point Now);
  state::result<bool> revoke(std::int64_t Id);
  /// Deletes the keys of leases that have run out, one revision for each lease.
  void expire(state::time_point Now);

  //--- Watches
  //-----------------------------------------------------------------
  /// Events of the key or range with a revision of at least From, oldest first.
  /// Nullopt when some of them were compacted.
  std::optional<std::vector<mvccpb::Event>>
  eventsFrom(const std::string &Key, const std::string &RangeEnd,
             std::int64_t From) const;

  //--- Figures
  //-----------------------------------------------------------------
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
  std::int64_t CompactedRevision = 0; // events up to this revision are gone
  std::int64_t LastLeaseId = 0;
};

} // namespace hyssopledge::platform_standin
