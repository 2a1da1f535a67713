/// \file
/// Tests of kv_store against a scripted HTTP server on loopback.
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

/// Server that sends the responses added by the test, in order. Calls beyond
/// them get no response.
class scripted_store {
public:
  explicit scripted_store(platform::kv_store_options Options = shortTimes()) {
    auto Opened = transport::http_listener::open(
        {&Context}, "127.0.0.1:0", {},
        [this](std::shared_ptr<transport::server_exchange> Call) {
          Requests.emplace_back(std::string(Call->request().method_string()) +
                                    " " + std::string(Call->request().target()),
                                Call->request().body());
          if (Responses.empty()) {
            Unanswered.push_back(std::move(Call)); // no response
            return;
          }
          const auto [Status, Body] = Responses.front();
          Responses.pop_front();
          auto Response =
              transport::makeResponse(Status, "application/json", Body);
          if (ResponseDelay == milliseconds(0))
            return Call->respond(std::move(Response));
          auto Timer = std::make_shared<boost::asio::steady_timer>(
              Context, ResponseDelay);
          Timer->async_wait([Timer, Call, Response](auto) mutable {
            Call->respond(std::move(Response));
          });
        });
    Listener = std::move(Opened.value());
    Options.Address = Listener->address();
    Store = std::make_unique<platform::kv_store>(Context, Options);
  }

  static platform::kv_store_options shortTimes() {
    platform::kv_store_options Options;
    Options.CallTimeout = milliseconds(200);
    Options.LongPollTimeout = milliseconds(100);
    Options.PollDelay = milliseconds(5);
    return Options;
  }

  void addResponse(unsigned Status, const std::string &Body) {
    Responses.emplace_back(Status, Body);
  }

  /// Runs until the condition holds; false if it does not within the time.
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
  milliseconds ResponseDelay{0};
  std::unique_ptr<transport::http_listener> Listener;
  std::unique_ptr<platform::kv_store> Store;
  std::deque<std::pair<unsigned, std::string>> Responses;
  std::vector<std::pair<std::string, std::string>> Requests;
  std::vector<std::shared_ptr<transport::server_exchange>> Unanswered;
};

/// Waits for the result of one call.
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

coordination::platform_txn exampleTxn() {
  coordination::platform_txn Txn;
  Txn.Conditions.push_back({"a", 4});
  Txn.Puts.push_back({"a", "value", 77});
  Txn.Deletes.push_back("b");
  return Txn;
}

state::result<coordination::platform_txn_result> commit(scripted_store &Store) {
  return call<coordination::platform_txn_result>(
      Store, [&](auto Handler) { Store.Store->commit(exampleTxn(), Handler); });
}

} // namespace

TEST_CASE("a single key is read") {
  scripted_store Store;
  Store.addResponse(200,
                    R"({"key":"my/leader","value":"bm9kZS0x","revision":412,
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
  CHECK(Store.Requests[0].first == "GET /api/kv-key?key=my/leader%26x");
  Store.addResponse(404, "{}");
  CHECK(get(Store, "none", false).value().Entries.empty());
}

TEST_CASE("a possibly stale read is requested for each page") {
  scripted_store Store;
  Store.addResponse(200, R"({"items":[{"key":"a/1","value":"","revision":1}],
                        "truncated":true,"asOf":9})");
  Store.addResponse(200, R"({"items":[],"truncated":false,"asOf":9})");
  const auto Read = call<coordination::platform_read>(Store, [&](auto Handler) {
    Store.Store->getAllowStale("a/", true, Handler);
  });
  REQUIRE(Read.has_value());
  CHECK(Store.Requests[0].first ==
        "GET /api/kv-range?prefix=a/&serializable=1");
  CHECK(Store.Requests[1].first ==
        "GET /api/kv-range?prefix=a/&serializable=1&after=a/1");
}

TEST_CASE("the pages of a range are combined") {
  scripted_store Store;
  Store.addResponse(200, R"({"items":[{"key":"a/1","value":"","revision":1},
                                 {"key":"a/2","value":"*","revision":2}],
                        "truncated":true,"asOf":9})");
  Store.addResponse(200, R"({"items":[{"key":"a/3","value":"eA==","revision":3},
                                 {"value":"eA=="}],
                        "truncated":false,"asOf":12})");
  const auto Read = get(Store, "a/", true);
  REQUIRE(Read.has_value());
  // Invalid items are skipped; the revision is that of the first page.
  REQUIRE(Read.value().Entries.size() == 2);
  CHECK(Read.value().Entries[1].Value == "x");
  CHECK(Read.value().Revision == 9);
  CHECK(Store.Requests[1].first == "GET /api/kv-range?prefix=a/&after=a/2");
}

TEST_CASE("a commit is encoded and its status decoded") {
  struct commit_case {
    const char *Name;
    unsigned Status; // 0: no response
    const char *Body;
    std::optional<errc> Error;
    bool Succeeded;
  };
  const commit_case Cases[] = {
      {"done", 200, R"({"revision":412})", std::nullopt, true},
      {"condition fails", 412, R"({"items":[]})", std::nullopt, false},
      {"lease has expired", 404, "{}", errc::NotFound, false},
      {"rejected", 429, "{}", errc::Unavailable, false},
      {"unavailable", 503, "{}", errc::Unavailable, false},
      {"done, invalid response", 200, "x", errc::Timeout, false},
      {"other failure", 500, "", errc::Timeout, false},
      {"no response", 0, "", errc::Timeout, false},
  };
  for (const commit_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    scripted_store Store;
    if (Case.Status != 0)
      Store.addResponse(Case.Status, Case.Body);
    const auto Result = commit(Store);
    CHECK(Result.has_error() == Case.Error.has_value());
    if (Case.Error)
      CHECK(Result.error().is(*Case.Error));
    else
      CHECK(Result.value().Succeeded == Case.Succeeded);
    const json Body = json::parse(Store.Requests[0].second);
    CHECK(Body["expected"] == json::parse(R"([{"key":"a","revision":4}])"));
    CHECK(Body["writes"] ==
          json::parse(R"([{"key":"a","value":"dmFsdWU=","lease":77}])"));
    CHECK(Body["remove"] == json::parse(R"(["b"])"));
  }
}

TEST_CASE("any bytes are unchanged by encoding and decoding") {
  for (std::size_t Length = 0; Length < 9; ++Length) {
    std::string Value;
    for (std::size_t I = 0; I < Length; ++I)
      Value.push_back(static_cast<char>(251 + 37 * I));
    scripted_store Store;
    Store.addResponse(200, R"({"revision":1})");
    coordination::platform_txn Txn;
    Txn.Puts.push_back({"k", Value, 0});
    (void)call<coordination::platform_txn_result>(
        Store, [&](auto Handler) { Store.Store->commit(Txn, Handler); });
    const json Sent = json::parse(Store.Requests[0].second)["writes"][0];
    CHECK_FALSE(Sent.contains("lease"));
    Store.addResponse(200, json{{"key", "k"},
                                {"value", Sent["value"]},
                                {"revision", 1},
                                {"asOf", 1}}
                               .dump());
    CHECK(get(Store, "k", false).value().Entries[0].Value == Value);
  }
}

TEST_CASE("leases are granted, renewed and revoked") {
  scripted_store Store;
  Store.addResponse(200, R"({"lease":77120,"ttlMs":3000})");
  CHECK(call<std::int64_t>(Store, [&](auto Handler) {
          Store.Store->grantLease(std::chrono::seconds(3), Handler);
        }).value() == 77120);
  CHECK(json::parse(Store.Requests[0].second)["ttlMs"] == 3000);
  Store.addResponse(404, "{}");
  CHECK(call<std::chrono::seconds>(
            Store, [&](auto Handler) { Store.Store->keepAlive(5, Handler); })
            .error()
            .is(errc::NotFound));
  CHECK(Store.Requests[1].first == "POST /api/kv-keep/5");
  Store.addResponse(200, "{}");
  CHECK(call<bool>(Store, [&](auto Handler) {
          Store.Store->revokeLease(5, Handler);
        }).has_value());
  CHECK(Store.Requests[2].first == "DELETE /api/kv-lease-end/5");
}

TEST_CASE("a watch continues from the last revision received") {
  scripted_store Store;
  Store.addResponse(200,
                    R"({"events":[{"key":"a/1","value":"eA==","revision":12},
                        {"key":"a/2","revision":13,"tombstone":true},
                        {"key":"a/3","value":7,"revision":14}],"asOf":14})");
  Store.addResponse(200, R"({"events":[],"asOf":20})");
  Store.addResponse(410, "{}");
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
  REQUIRE(Events.size() == 2); // the invalid one is skipped
  CHECK(Events[0].Entry.Value == "x");
  CHECK(Events[1].Deleted);
  CHECK(Store.Requests[0].first ==
        "GET /api/kv-watch?prefix=a/&after=11&waitMs=100");
  CHECK(Store.Requests[1].first ==
        "GET /api/kv-watch?prefix=a/&after=14&waitMs=100");
  CHECK(Store.Requests[2].first ==
        "GET /api/kv-watch?prefix=a/&after=20&waitMs=100");
}

// A longer time limit would notice a silent connection too late; a shorter one
// would take a slow store for a silent one.
TEST_CASE("a slow store keeps its watch, a silent one loses it soon") {
  struct response_case {
    const char *Name;
    milliseconds ReadDelay;  // of the read before the watch
    milliseconds WatchDelay; // 0: no response
    bool Kept;
  };
  const response_case Cases[] = {
      {"slow since the read", milliseconds(400), milliseconds(700), true},
      {"silent", milliseconds(0), milliseconds(0), false},
  };
  platform::kv_store_options Options = scripted_store::shortTimes();
  Options.CallTimeout = milliseconds(5000);
  Options.MinResponseTime = milliseconds(100);
  for (const response_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    scripted_store Store(Options);
    Store.ResponseDelay = Case.ReadDelay;
    Store.addResponse(200, R"({"items":[],"truncated":false,"asOf":4})");
    REQUIRE_FALSE(get(Store, "a/", true).has_error());
    Store.ResponseDelay = Case.WatchDelay;
    if (Case.Kept)
      Store.addResponse(200, R"({"events":[],"asOf":5})");
    bool Failed = false;
    const auto Watch = Store.Store->watch(
        "a/", true, 5, [&](auto Result) { Failed = Result.has_error(); });
    // The read, and two polls of a watch that is kept.
    const std::size_t Requests = Case.Kept ? 3 : 100;
    CHECK(Store.runUntil(
        [&] { return Failed || Store.Requests.size() >= Requests; },
        std::chrono::seconds(4)));
    CHECK(Failed == !Case.Kept);
  }
}

TEST_CASE("a watch without a response fails, a destroyed one is silent") {
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
  Store.runUntil([&] { return Store.Unanswered.size() >= 2; });
  Watch.reset();
  Store.runUntil([] { return false; }, std::chrono::seconds(1));
  CHECK_FALSE(Failure.has_value());
}
