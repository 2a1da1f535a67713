/// \file
/// The client of the platform's store against a scripted store on loopback.
#include "platform/kv_store.h"

#include "hyssopledge/transport/http_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

using namespace hyssopledge;
using nlohmann::json;
using state::errc;
using std::chrono::milliseconds;

namespace {

/// Answers each call with what the test scripted, in order.
class scripted_store {
public:
  scripted_store() {
    auto Opened = transport::http_listener::open(
        {&Context}, "127.0.0.1:0", {},
        [this](std::shared_ptr<transport::server_exchange> Call) {
          Seen.emplace_back(std::string(Call->request().method_string()) + " " +
                                std::string(Call->request().target()),
                            Call->request().body());
          if (Script.empty()) {
            Held.push_back(std::move(Call)); // silent
            return;
          }
          const auto [Status, Body] = Script.front();
          Script.pop_front();
          Call->respond(
              transport::makeResponse(Status, "application/json", Body));
        });
    Listener = std::move(Opened.value());
    platform::kv_store_options Options;
    Options.Address = Listener->address();
    Options.CallTimeout = milliseconds(200);
    Options.WatchWait = milliseconds(100);
    Options.WatchPause = milliseconds(5);
    Store = std::make_unique<platform::kv_store>(Context, Options);
  }

  void answer(unsigned Status, const std::string &Body) {
    Script.emplace_back(Status, Body);
  }

  /// Runs until the condition holds; false when it does not within the time.
  bool runUntil(const std::function<bool()> &Condition,
                std::chrono::seconds Time = std::chrono::seconds(10)) {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (!Condition() && std::chrono::steady_clock::now() < End) {
      Context.restart();
      Context.run_for(milliseconds(5));
    }
    return Condition();
  }

  boost::asio::io_context Context;
  std::unique_ptr<transport::http_listener> Listener;
  std::unique_ptr<platform::kv_store> Store;
  std::deque<std::pair<unsigned, std::string>> Script;
  std::vector<std::pair<std::string, std::string>> Seen;
  std::vector<std::shared_ptr<transport::server_exchange>> Held;
};

/// The result of one call.
template <class T, class F>
state::result<T> call(scripted_store &Store, F Function) {
  std::optional<state::result<T>> Result;
  Function([&](state::result<T> R) { Result.emplace(std::move(R)); });
  Store.runUntil([&] { return Result.has_value(); });
  REQUIRE(Result.has_value());
  return *Result;
}

state::result<coordination::platform_read> get(scripted_store &Store,
                                               const char *Key, bool Prefix) {
  return call<coordination::platform_read>(
      Store, [&](auto Handler) { Store.Store->get(Key, Prefix, Handler); });
}

coordination::platform_txn someTxn() {
  coordination::platform_txn Txn;
  Txn.Conditions.push_back({"a", 4});
  Txn.Puts.push_back({"a", "value", 77});
  Txn.Deletes.push_back("b");
  return Txn;
}

state::result<coordination::platform_txn_result> commit(scripted_store &Store) {
  return call<coordination::platform_txn_result>(
      Store, [&](auto Handler) { Store.Store->commit(someTxn(), Handler); });
}

} // namespace

TEST_CASE("one key") {
  scripted_store Store;
  Store.answer(200, R"({"key":"my/leader","value":"bm9kZS0x","revision":412,
                        "created":400,"lease":77,"asOf":530})");
  const auto Read = get(Store, "my/leader&x", false);
  REQUIRE(Read.has_value());
  REQUIRE(Read.value().Entries.size() == 1);
  const auto &Entry = Read.value().Entries[0];
  CHECK(Entry.Value == "node-1");
  CHECK(Entry.ModRevision == 412);
  CHECK(Entry.CreateRevision == 400);
  CHECK(Entry.Lease == 77);
  CHECK(Read.value().Revision == 530);
  CHECK(Store.Seen[0].first == "GET /api/kv-key?key=my/leader%26x");
  Store.answer(404, "{}");
  CHECK(get(Store, "none", false).value().Entries.empty());
}

TEST_CASE("a read that may be old says so on each page") {
  scripted_store Store;
  Store.answer(200, R"({"items":[{"key":"a/1","value":"","revision":1}],
                        "truncated":true,"asOf":9})");
  Store.answer(200, R"({"items":[],"truncated":false,"asOf":9})");
  const auto Read = call<coordination::platform_read>(Store, [&](auto Handler) {
    Store.Store->getAllowStale("a/", true, Handler);
  });
  REQUIRE(Read.has_value());
  CHECK(Store.Seen[0].first == "GET /api/kv-range?prefix=a/&serializable=1");
  CHECK(Store.Seen[1].first ==
        "GET /api/kv-range?prefix=a/&serializable=1&after=a/1");
}

TEST_CASE("pages of a range are put together") {
  scripted_store Store;
  Store.answer(200, R"({"items":[{"key":"a/1","value":"","revision":1},
                                 {"key":"a/2","value":"*","revision":2}],
                        "truncated":true,"asOf":9})");
  Store.answer(200, R"({"items":[{"key":"a/3","value":"eA==","revision":3},
                                 {"value":"eA=="}],
                        "truncated":false,"asOf":12})");
  const auto Read = get(Store, "a/", true);
  REQUIRE(Read.has_value());
  // The unreadable items are left out, and the watch starts at the first page.
  REQUIRE(Read.value().Entries.size() == 2);
  CHECK(Read.value().Entries[1].Value == "x");
  CHECK(Read.value().Revision == 9);
  CHECK(Store.Seen[1].first == "GET /api/kv-range?prefix=a/&after=a/2");
}

TEST_CASE("a commit is sent and its end is understood") {
  struct commit_case {
    const char *Name;
    unsigned Status; // 0: no answer
    const char *Body;
    std::optional<errc> Error;
    bool Succeeded;
  };
  const commit_case Cases[] = {
      {"done", 200, R"({"revision":412})", std::nullopt, true},
      {"condition fails", 412, R"({"items":[]})", std::nullopt, false},
      {"lease has ended", 404, "{}", errc::NotFound, false},
      {"rejected", 429, "{}", errc::Unavailable, false},
      {"down", 503, "{}", errc::Unavailable, false},
      {"done, answer unreadable", 200, "x", errc::Timeout, false},
      {"other failure", 500, "", errc::Timeout, false},
      {"no answer", 0, "", errc::Timeout, false},
  };
  for (const commit_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    scripted_store Store;
    if (Case.Status != 0)
      Store.answer(Case.Status, Case.Body);
    const auto Result = commit(Store);
    CHECK(Result.has_error() == Case.Error.has_value());
    if (Case.Error)
      CHECK(Result.error().is(*Case.Error));
    else
      CHECK(Result.value().Succeeded == Case.Succeeded);
    const json Body = json::parse(Store.Seen[0].second);
    CHECK(Body["expected"] == json::parse(R"([{"key":"a","revision":4}])"));
    CHECK(Body["writes"] ==
          json::parse(R"([{"key":"a","value":"dmFsdWU=","lease":77}])"));
    CHECK(Body["remove"] == json::parse(R"(["b"])"));
  }
}

TEST_CASE("any bytes survive the store's encoding") {
  for (std::size_t Length = 0; Length < 9; ++Length) {
    std::string Value;
    for (std::size_t I = 0; I < Length; ++I)
      Value.push_back(static_cast<char>(251 + 37 * I));
    scripted_store Store;
    Store.answer(200, R"({"revision":1})");
    coordination::platform_txn Txn;
    Txn.Puts.push_back({"k", Value, 0});
    (void)call<coordination::platform_txn_result>(
        Store, [&](auto Handler) { Store.Store->commit(Txn, Handler); });
    const json Sent = json::parse(Store.Seen[0].second)["writes"][0];
    CHECK_FALSE(Sent.contains("lease"));
    Store.answer(200, json{{"key", "k"},
                           {"value", Sent["value"]},
                           {"revision", 1},
                           {"asOf", 1}}
                          .dump());
    CHECK(get(Store, "k", false).value().Entries[0].Value == Value);
  }
}

TEST_CASE("leases") {
  scripted_store Store;
  Store.answer(200, R"({"lease":77120,"ttlMs":3000})");
  CHECK(call<std::int64_t>(Store, [&](auto Handler) {
          Store.Store->grantLease(std::chrono::seconds(3), Handler);
        }).value() == 77120);
  CHECK(json::parse(Store.Seen[0].second)["ttlMs"] == 3000);
  Store.answer(404, "{}");
  CHECK(call<std::chrono::seconds>(
            Store, [&](auto Handler) { Store.Store->keepAlive(5, Handler); })
            .error()
            .is(errc::NotFound));
  CHECK(Store.Seen[1].first == "POST /api/kv-keep/5");
  Store.answer(200, "{}");
  CHECK(call<bool>(Store, [&](auto Handler) {
          Store.Store->revokeLease(5, Handler);
        }).has_value());
  CHECK(Store.Seen[2].first == "DELETE /api/kv-lease-end/5");
}

TEST_CASE("a watch goes on from what it has seen") {
  scripted_store Store;
  Store.answer(200, R"({"events":[{"key":"a/1","value":"eA==","revision":12},
                        {"key":"a/2","revision":13,"tombstone":true},
                        {"key":"a/3","value":7,"revision":14}],"asOf":14})");
  Store.answer(200, R"({"events":[],"asOf":20})");
  Store.answer(410, "{}");
  std::vector<coordination::platform_event> Events;
  std::optional<state::failure> Failure;
  const auto Watch = Store.Store->watch("a/", true, 12, [&](auto Result) {
    if (Result.has_error())
      Failure = Result.error();
    else
      for (auto &Event : Result.value())
        Events.push_back(Event);
  });
  REQUIRE(Store.runUntil([&] { return Failure.has_value(); }));
  CHECK(Failure->is(errc::StaleVersion));
  REQUIRE(Events.size() == 2); // the unreadable one is left out
  CHECK(Events[0].Entry.Value == "x");
  CHECK(Events[1].Deleted);
  CHECK(Store.Seen[0].first ==
        "GET /api/kv-watch?prefix=a/&after=11&waitMs=100");
  CHECK(Store.Seen[1].first ==
        "GET /api/kv-watch?prefix=a/&after=14&waitMs=100");
  CHECK(Store.Seen[2].first ==
        "GET /api/kv-watch?prefix=a/&after=20&waitMs=100");
}

TEST_CASE(
    "a watch that gets no answer fails, and one that is ended says nothing") {
  scripted_store Store;
  std::optional<state::failure> Failure;
  auto Watch = Store.Store->watch("a/", true, 1, [&](auto Result) {
    if (Result.has_error())
      Failure = Result.error();
  });
  REQUIRE(Store.runUntil([&] { return Failure.has_value(); }));
  Failure.reset();
  Watch = Store.Store->watch("a/", true, 1, [&](auto Result) {
    if (Result.has_error())
      Failure = Result.error();
  });
  Store.runUntil([&] { return Store.Held.size() >= 2; });
  Watch.reset();
  Store.runUntil([] { return false; }, std::chrono::seconds(1));
  CHECK_FALSE(Failure.has_value());
}
