/// \file
/// Tests that the store of the platform stand-in follows etcd's rules for
/// revisions, transactions, leases and watches. The other tests rely on them.
#include "platform_standin/mvcc_store.h"

#include "hyssopledge/state/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;
using namespace std::chrono_literals;
using platform_standin::mvcc_store;
using state::errc;

namespace {

const state::time_point StartTime{1h};

void addPut(etcdserverpb::TxnRequest &Txn, const std::string &Key,
            const std::string &Value, std::int64_t Lease = 0) {
  etcdserverpb::PutRequest &Put = *Txn.add_success()->mutable_request_put();
  Put.set_key(Key);
  Put.set_value(Value);
  Put.set_lease(Lease);
}

void addDelete(etcdserverpb::TxnRequest &Txn, const std::string &Key) {
  Txn.add_success()->mutable_request_delete_range()->set_key(Key);
}

void addModRevisionCompare(etcdserverpb::TxnRequest &Txn,
                           const std::string &Key, std::int64_t Revision) {
  etcdserverpb::Compare &Compare = *Txn.add_compare();
  Compare.set_key(Key);
  Compare.set_target(etcdserverpb::Compare::MOD);
  Compare.set_mod_revision(Revision);
}

state::result<etcdserverpb::TxnResponse> put(mvcc_store &Store,
                                             const std::string &Key,
                                             const std::string &Value,
                                             std::int64_t Lease = 0) {
  etcdserverpb::TxnRequest Txn;
  addPut(Txn, Key, Value, Lease);
  return Store.txn(Txn);
}

etcdserverpb::RangeResponse read(const mvcc_store &Store,
                                 const std::string &Key,
                                 const std::string &RangeEnd = "",
                                 std::int64_t Limit = 0) {
  etcdserverpb::RangeRequest Request;
  Request.set_key(Key);
  Request.set_range_end(RangeEnd);
  Request.set_limit(Limit);
  return Store.range(Request).value();
}

} // namespace

TEST_CASE("mvcc store counts revisions and versions") {
  mvcc_store Store;
  CHECK(Store.revision() == 1);
  CHECK(put(Store, "a", "1").value().header().revision() == 2);
  CHECK(put(Store, "a", "2").value().header().revision() == 3);
  CHECK(put(Store, "b", "1").value().header().revision() == 4);
  const mvccpb::KeyValue Entry = read(Store, "a").kvs(0);
  CHECK(Entry.create_revision() == 2);
  CHECK(Entry.mod_revision() == 3);
  CHECK(Entry.version() == 2);
  CHECK(read(Store, "a", "c").kvs_size() == 2);
  CHECK(read(Store, "a", std::string(1, '\0'), 1).more());

  etcdserverpb::TxnRequest Delete;
  addDelete(Delete, "a");
  CHECK(Store.txn(Delete).value().header().revision() == 5);
  CHECK(Store.txn(Delete).value().header().revision() == 5);
  CHECK(read(Store, "a").kvs_size() == 0);
  put(Store, "a", "3").value();
  CHECK(read(Store, "a").kvs(0).create_revision() == 6);
}

TEST_CASE("mvcc store applies a transaction as a whole or not at all") {
  struct txn_case {
    const char *Name;
    void (*Build)(etcdserverpb::TxnRequest &);
    std::optional<errc> ExpectedError;
    bool Succeeded;
  };
  const txn_case Cases[] = {
      {"equal",
       [](auto &Txn) { addModRevisionCompare(Txn, "a", 2); },
       {},
       true},
      {"absent",
       [](auto &Txn) { addModRevisionCompare(Txn, "x", 0); },
       {},
       true},
      {"moved",
       [](auto &Txn) { addModRevisionCompare(Txn, "a", 1); },
       {},
       false},
      {"one of two",
       [](auto &Txn) {
         addModRevisionCompare(Txn, "a", 2);
         addModRevisionCompare(Txn, "a", 0);
       },
       {},
       false},
      {"large value",
       [](auto &Txn) { addPut(Txn, "c", std::string(1024 * 1024 + 1, 'x')); },
       errc::TooLarge, false},
      {"unknown lease", [](auto &Txn) { addPut(Txn, "c", "1", 99); },
       errc::NotFound, false},
      {"key twice", [](auto &Txn) { addPut(Txn, "b", "2"); },
       errc::InvalidMessage, false},
      {"put and delete", [](auto &Txn) { addDelete(Txn, "b"); },
       errc::InvalidMessage, false},
      {"no key", [](auto &Txn) { addPut(Txn, "", "2"); }, errc::InvalidMessage,
       false},
      {"many",
       [](auto &Txn) {
         for (int I = 0; I < 128; ++I)
           addPut(Txn, "k" + std::to_string(I), "");
       },
       errc::InvalidMessage, false},
  };
  for (const txn_case &Case : Cases) {
    CAPTURE(Case.Name);
    mvcc_store Store;
    put(Store, "a", "1").value();
    etcdserverpb::TxnRequest Txn;
    addPut(Txn, "b", "1");
    Case.Build(Txn);
    auto Result = Store.txn(Txn);
    REQUIRE(Result.has_error() == Case.ExpectedError.has_value());
    if (Case.ExpectedError)
      CHECK(Result.error().is(*Case.ExpectedError));
    else
      CHECK(Result.value().succeeded() == Case.Succeeded);
    CHECK(Store.revision() == (Case.Succeeded ? 3 : 2));
    CHECK(read(Store, "b").kvs_size() == (Case.Succeeded ? 1 : 0));
  }
}

TEST_CASE("mvcc store deletes the keys of a lease when it expires") {
  mvcc_store Store;
  const std::int64_t Lease = Store.grant(5s, 0, StartTime).value();
  CHECK(Store.grant(5s, Lease, StartTime).error().is(errc::Conflict));
  put(Store, "seat", "me", Lease).value();
  put(Store, "kept", "me", Lease).value();
  put(Store, "kept", "me").value(); // detaches the key from the lease
  CHECK(Store.keepAlive(Lease, StartTime + 4s).value() == 5s);
  Store.expire(StartTime + 8s);
  CHECK(read(Store, "seat").kvs_size() == 1);
  Store.expire(StartTime + 9s);
  CHECK(read(Store, "seat").kvs_size() == 0);
  CHECK(read(Store, "kept").kvs_size() == 1);
  CHECK(Store.keepAlive(Lease, StartTime + 9s).error().is(errc::NotFound));
  CHECK(Store.revoke(Lease).error().is(errc::NotFound));
  const auto Events = Store.eventsFrom("seat", "", 1).value();
  REQUIRE(Events.size() == 2);
  CHECK(Events[1].type() == mvccpb::Event::DELETE);
}

TEST_CASE("mvcc store rejects a watch that starts at a compacted revision") {
  platform_standin::store_limits Limits;
  Limits.MaxHistoryBytes = 400;
  mvcc_store Store(Limits);
  for (int I = 0; I < 20; ++I)
    put(Store, "a", std::string(80, 'x')).value();
  CHECK_FALSE(Store.eventsFrom("a", "", 2));
  CHECK(Store.eventsFrom("a", "", Store.compactedRevision() + 1)->size() > 1);
}

// Property: applying all events after a revision to a copy of the state at that
// revision yields the latest state. Watchers depend on this.
TEST_CASE("mvcc store events rebuild the latest state") {
  CHECK(rc::check([](std::uint64_t Seed) {
    state::random_engine Engine(Seed);
    mvcc_store Store;
    std::map<std::string, std::string> Replayed;
    std::int64_t ReplayRevision = 1;
    const std::uint64_t ReplayStep = state::uniformBelow(Engine, 30);
    std::int64_t Lease = Store.grant(2s, 0, StartTime).value();
    const auto RandomKey = [&] {
      return std::string("/k/") +
             static_cast<char>('a' + state::uniformBelow(Engine, 4));
    };
    for (std::uint64_t Step = 0; Step < 30; ++Step) {
      if (Step == ReplayStep) {
        const auto CurrentRange = read(Store, "/k/", "/k0");
        for (const auto &Entry : CurrentRange.kvs())
          Replayed[Entry.key()] = Entry.value();
        ReplayRevision = Store.revision();
      }
      etcdserverpb::TxnRequest Txn;
      switch (state::uniformBelow(Engine, 4)) {
      case 0:
        addDelete(Txn, RandomKey());
        break;
      case 1:
        Store.expire(StartTime + std::chrono::seconds(Step / 8));
        if (Store.leaseCount() == 0)
          Lease = Store.grant(2s, 0, StartTime + std::chrono::seconds(Step))
                      .value();
        break;
      default:
        addPut(Txn, RandomKey(), std::to_string(Step),
               state::uniformBelow(Engine, 3) == 0 && Store.leaseCount() > 0
                   ? Lease
                   : 0);
      }
      RC_ASSERT(Store.txn(Txn).has_value());
    }
    std::int64_t LastRevision = ReplayRevision;
    const auto Events =
        Store.eventsFrom("/k/", "/k0", ReplayRevision + 1).value();
    for (const auto &Event : Events) {
      RC_ASSERT(Event.kv().mod_revision() >= LastRevision);
      LastRevision = Event.kv().mod_revision();
      if (Event.type() == mvccpb::Event::DELETE)
        Replayed.erase(Event.kv().key());
      else
        Replayed[Event.kv().key()] = Event.kv().value();
    }
    std::map<std::string, std::string> Latest;
    const auto FinalRange = read(Store, "/k/", "/k0");
    for (const auto &Entry : FinalRange.kvs())
      Latest[Entry.key()] = Entry.value();
    RC_ASSERT(Replayed == Latest);
  }));
}
