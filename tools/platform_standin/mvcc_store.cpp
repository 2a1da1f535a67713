#include "platform_standin/mvcc_store.h"

#include <algorithm>
#include <utility>

namespace hyssopledge::platform_standin {

namespace {

using state::errc;
using state::failure;

/// Range check by etcd's convention: an empty RangeEnd selects the single key,
/// and "\0" selects all keys from Key on.
bool isInRange(const std::string &Candidate, const std::string &Key,
               const std::string &RangeEnd) {
  if (RangeEnd.empty())
    return Candidate == Key;
  return Candidate >= Key &&
         (RangeEnd == std::string(1, '\0') || Candidate < RangeEnd);
}

template <class T>
bool compareValues(etcdserverpb::Compare::CompareResult Result, const T &Left,
                   const T &Right) {
  switch (Result) {
  case etcdserverpb::Compare::EQUAL:
    return Left == Right;
  case etcdserverpb::Compare::GREATER:
    return Left > Right;
  case etcdserverpb::Compare::LESS:
    return Left < Right;
  case etcdserverpb::Compare::NOT_EQUAL:
    return Left != Right;
  default:
    return false;
  }
}

} // namespace

void mvcc_store::fillHeader(etcdserverpb::ResponseHeader &Header) const {
  Header.set_cluster_id(1);
  Header.set_member_id(1);
  Header.set_raft_term(1);
  Header.set_revision(Revision);
}

//-----------------------------------------------------------------------------
// Key-value
//-----------------------------------------------------------------------------

state::result<etcdserverpb::RangeResponse>
mvcc_store::range(const etcdserverpb::RangeRequest &Request) const {
  if (Request.key().empty())
    return failure(errc::InvalidMessage, "etcdserver: key is not provided");
  if (Request.revision() > Revision)
    return failure(errc::InvalidMessage,
                   "etcdserver: mvcc: required revision is a future revision");
  if (Request.revision() > 0 && Request.revision() < Revision)
    return failure(errc::StaleVersion,
                   "etcdserver: mvcc: required revision has been compacted");
  etcdserverpb::RangeResponse Response;
  fillHeader(*Response.mutable_header());
  std::int64_t Count = 0;
  for (auto It = Entries.lower_bound(Request.key());
       It != Entries.end() &&
       isInRange(It->first, Request.key(), Request.range_end());
       ++It) {
    ++Count;
    if (Request.count_only() ||
        (Request.limit() > 0 && Count > Request.limit()))
      continue;
    mvccpb::KeyValue &Entry = *Response.add_kvs();
    Entry = It->second;
    if (Request.keys_only())
      Entry.clear_value();
  }
  Response.set_count(Count);
  Response.set_more(Request.limit() > 0 && Count > Request.limit());
  return Response;
}

bool mvcc_store::isSatisfied(const etcdserverpb::Compare &Compare) const {
  // For an absent key all numeric fields compare as 0, and every comparison of
  // the value fails.
  static const mvccpb::KeyValue Absent;
  auto Found = Entries.find(Compare.key());
  const mvccpb::KeyValue &Entry =
      Found == Entries.end() ? Absent : Found->second;
  switch (Compare.target()) {
  case etcdserverpb::Compare::VERSION:
    return compareValues(Compare.result(), Entry.version(), Compare.version());
  case etcdserverpb::Compare::CREATE:
    return compareValues(Compare.result(), Entry.create_revision(),
                         Compare.create_revision());
  case etcdserverpb::Compare::MOD:
    return compareValues(Compare.result(), Entry.mod_revision(),
                         Compare.mod_revision());
  case etcdserverpb::Compare::VALUE:
    return Found != Entries.end() &&
           compareValues(Compare.result(), Entry.value(), Compare.value());
  case etcdserverpb::Compare::LEASE:
    return compareValues(Compare.result(), Entry.lease(), Compare.lease());
  default:
    return false;
  }
}

std::optional<failure> mvcc_store::findInvalidOperation(
    const google::protobuf::RepeatedPtrField<etcdserverpb::RequestOp>
        &Operations) const {
  if (static_cast<std::size_t>(Operations.size()) > Limits.MaxTxnOperations)
    return failure(errc::InvalidMessage,
                   "etcdserver: too many operations in txn request");
  std::set<std::string> Puts;
  for (const etcdserverpb::RequestOp &Operation : Operations) {
    if (Operation.has_request_range()) {
      if (auto Read = range(Operation.request_range()); Read.has_error())
        return Read.error();
    } else if (Operation.has_request_put()) {
      const etcdserverpb::PutRequest &Put = Operation.request_put();
      if (Put.key().empty())
        return failure(errc::InvalidMessage, "etcdserver: key is not provided");
      if (Put.value().size() > Limits.MaxValueBytes)
        return failure(errc::TooLarge, "etcdserver: request is too large");
      if (!Puts.insert(Put.key()).second)
        return failure(errc::InvalidMessage,
                       "etcdserver: duplicate key given in txn request");
      if (Put.lease() != 0 && !Leases.contains(Put.lease()))
        return failure(errc::NotFound, "etcdserver: requested lease not found");
    } else if (Operation.has_request_delete_range()) {
      if (Operation.request_delete_range().key().empty())
        return failure(errc::InvalidMessage, "etcdserver: key is not provided");
    } else {
      return failure(errc::InvalidMessage, "etcdserver: empty operation");
    }
  }
  for (const etcdserverpb::RequestOp &Operation : Operations)
    if (Operation.has_request_delete_range())
      for (const std::string &Key : Puts)
        if (isInRange(Key, Operation.request_delete_range().key(),
                      Operation.request_delete_range().range_end()))
          return failure(errc::InvalidMessage,
                         "etcdserver: duplicate key given in txn request");
  return std::nullopt;
}

state::result<etcdserverpb::TxnResponse>
mvcc_store::txn(const etcdserverpb::TxnRequest &Request) {
  for (const auto *Operations : {&Request.success(), &Request.failure()})
    if (auto Failure = findInvalidOperation(*Operations))
      return *Failure;
  etcdserverpb::TxnResponse Response;
  Response.set_succeeded(
      std::all_of(Request.compare().begin(), Request.compare().end(),
                  [this](const etcdserverpb::Compare &Compare) {
                    return isSatisfied(Compare);
                  }));
  const auto &Operations =
      Response.succeeded() ? Request.success() : Request.failure();
  // All changes of a transaction share one revision; a transaction without
  // changes doesn't increment it.
  const std::int64_t PreviousRevision = Revision;
  bool Changed = false;
  for (const etcdserverpb::RequestOp &Operation : Operations) {
    etcdserverpb::ResponseOp &Answer = *Response.add_responses();
    Revision = PreviousRevision + 1;
    if (Operation.has_request_range()) {
      Revision = PreviousRevision + (Changed ? 1 : 0);
      etcdserverpb::RangeRequest Read = Operation.request_range();
      Read.clear_revision();
      *Answer.mutable_response_range() = range(Read).value();
    } else if (Operation.has_request_put()) {
      put(Operation.request_put());
      Changed = true;
      fillHeader(*Answer.mutable_response_put()->mutable_header());
    } else {
      const std::int64_t Deleted =
          erase(Operation.request_delete_range().key(),
                Operation.request_delete_range().range_end());
      Changed = Changed || Deleted > 0;
      Answer.mutable_response_delete_range()->set_deleted(Deleted);
      fillHeader(*Answer.mutable_response_delete_range()->mutable_header());
    }
  }
  Revision = PreviousRevision + (Changed ? 1 : 0);
  fillHeader(*Response.mutable_header());
  return Response;
}

void mvcc_store::put(const etcdserverpb::PutRequest &Request) {
  mvccpb::KeyValue &Entry = Entries[Request.key()];
  if (Entry.lease() != 0)
    Leases[Entry.lease()].Keys.erase(Request.key());
  Entry.set_key(Request.key());
  Entry.set_value(Request.value());
  Entry.set_lease(Request.lease());
  Entry.set_version(Entry.version() + 1);
  if (Entry.create_revision() == 0)
    Entry.set_create_revision(Revision);
  Entry.set_mod_revision(Revision);
  if (Request.lease() != 0)
    Leases[Request.lease()].Keys.insert(Request.key());
  mvccpb::Event Event;
  Event.set_type(mvccpb::Event::PUT);
  *Event.mutable_kv() = Entry;
  appendEvent(std::move(Event));
}

std::int64_t mvcc_store::erase(const std::string &Key,
                               const std::string &RangeEnd) {
  std::int64_t Count = 0;
  for (auto It = Entries.lower_bound(Key);
       It != Entries.end() && isInRange(It->first, Key, RangeEnd);) {
    if (auto Lease = Leases.find(It->second.lease()); Lease != Leases.end())
      Lease->second.Keys.erase(It->first);
    mvccpb::Event Event;
    Event.set_type(mvccpb::Event::DELETE);
    Event.mutable_kv()->set_key(It->first);
    Event.mutable_kv()->set_mod_revision(Revision);
    appendEvent(std::move(Event));
    It = Entries.erase(It);
    ++Count;
  }
  return Count;
}

void mvcc_store::appendEvent(mvccpb::Event Event) {
  HistoryBytes += Event.ByteSizeLong();
  History.push_back(std::move(Event));
  while (HistoryBytes > Limits.MaxHistoryBytes && History.size() > 1) {
    HistoryBytes -= History.front().ByteSizeLong();
    CompactedRevision = History.front().kv().mod_revision();
    History.pop_front();
  }
}

//-----------------------------------------------------------------------------
// Leases
//-----------------------------------------------------------------------------

state::result<std::int64_t> mvcc_store::grant(std::chrono::seconds Ttl,
                                              std::int64_t Id,
                                              state::time_point Now) {
  if (Ttl < std::chrono::seconds(1))
    return failure(errc::InvalidMessage, "etcdserver: too small lease TTL");
  if (Id == 0) {
    while (Leases.contains(++LastLeaseId)) {
    }
    Id = LastLeaseId;
  }
  if (!Leases.emplace(Id, lease{Ttl, Now + Ttl, {}}).second)
    return failure(errc::Conflict, "etcdserver: lease already exists");
  return Id;
}

state::result<std::chrono::seconds>
mvcc_store::keepAlive(std::int64_t Id, state::time_point Now) {
  expire(Now);
  auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return failure(errc::NotFound, "etcdserver: requested lease not found");
  Found->second.ExpiresAt = Now + Found->second.Ttl;
  return Found->second.Ttl;
}

state::result<bool> mvcc_store::revoke(std::int64_t Id) {
  auto Found = Leases.find(Id);
  if (Found == Leases.end())
    return failure(errc::NotFound, "etcdserver: requested lease not found");
  const std::set<std::string> Keys = std::move(Found->second.Keys);
  Leases.erase(Found);
  if (!Keys.empty())
    ++Revision;
  for (const std::string &Key : Keys)
    erase(Key, "");
  return true;
}

void mvcc_store::expire(state::time_point Now) {
  std::vector<std::int64_t> ExpiredIds;
  for (const auto &[Id, Lease] : Leases)
    if (Lease.ExpiresAt <= Now)
      ExpiredIds.push_back(Id);
  for (const std::int64_t Id : ExpiredIds)
    (void)revoke(Id);
}

//-----------------------------------------------------------------------------
// Watches
//-----------------------------------------------------------------------------

std::optional<std::vector<mvccpb::Event>>
mvcc_store::eventsFrom(const std::string &Key, const std::string &RangeEnd,
                       std::int64_t From) const {
  if (From <= CompactedRevision)
    return std::nullopt;
  std::vector<mvccpb::Event> Events;
  auto It = std::lower_bound(
      History.begin(), History.end(), From,
      [](const mvccpb::Event &Event, std::int64_t TargetRevision) {
        return Event.kv().mod_revision() < TargetRevision;
      });
  for (; It != History.end(); ++It)
    if (isInRange(It->kv().key(), Key, RangeEnd))
      Events.push_back(*It);
  return Events;
}

} // namespace hyssopledge::platform_standin
