/// \file
/// Tests of the etcd client against the platform stand-in, which runs as a
/// separate process. Among other things the client must distinguish a failed
/// write that certainly had no effect from one that may have taken effect.
#include "hyssopledge/transport/etcd_client.h"

#include "support/platform_process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace hyssopledge;
using namespace std::chrono_literals;
using coordination::platform_event;
using coordination::platform_txn;
using state::errc;

namespace {

struct fixture {
  explicit fixture(std::vector<std::string> Endpoints,
                   std::chrono::milliseconds Timeout = 5000ms)
      : Client(Context, {std::move(Endpoints), Timeout}) {}

  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work = boost::asio::make_work_guard(Context);
  transport::etcd_client Client;

  /// Runs the loop until the condition holds or 10 s have passed.
  template <class F> bool runUntil(F Condition) {
    const auto End = std::chrono::steady_clock::now() + 10s;
    while (!Condition()) {
      if (std::chrono::steady_clock::now() > End)
        return false;
      Context.run_one_for(10ms);
      Context.poll();
    }
    return true;
  }
  template <class T, class F> state::result<T> await(F Start) {
    std::optional<state::result<T>> Outcome;
    Start([&Outcome](state::result<T> Result) { Outcome = std::move(Result); });
    if (!runUntil([&] { return Outcome.has_value(); }))
      return state::failure(errc::Cancelled, "the client called no handler");
    return *Outcome;
  }
  state::result<coordination::platform_read> get(const std::string &Key,
                                                 bool Prefix = false) {
    return await<coordination::platform_read>(
        [&](auto Handler) { Client.get(Key, Prefix, Handler); });
  }
  state::result<coordination::platform_txn_result> commit(platform_txn Txn) {
    return await<coordination::platform_txn_result>(
        [&](auto Handler) { Client.commit(std::move(Txn), Handler); });
  }
  state::result<coordination::platform_txn_result> put(const std::string &Key,
                                                       const std::string &Value,
                                                       std::int64_t Lease = 0) {
    return commit({{}, {{Key, Value, Lease}}, {}});
  }
};

} // namespace

TEST_CASE("etcd client reads, commits and renews leases") {
  tests::platform_process Platform;
  fixture F({Platform.Address});
  CHECK(F.get("/a").value().Entries.empty());
  const auto Created =
      F.commit({{{"/a", 0}}, {{"/a", "1"}, {"/b", "2"}}, {}}).value();
  CHECK(Created.Succeeded);
  CHECK_FALSE(F.commit({{{"/a", 0}}, {{"/a", "x"}}, {}}).value().Succeeded);
  const auto Read = F.get("/", true).value();
  REQUIRE(Read.Entries.size() == 2);
  CHECK(Read.Entries[0].Value == "1");
  CHECK(Read.Entries[0].ModRevision == Created.Revision);
  CHECK(Read.Revision == Created.Revision);
  CHECK(F.commit({{{"/a", Created.Revision}}, {}, {"/a"}}).value().Succeeded);
  CHECK(F.get("/a").value().Entries.empty());

  const auto Lease =
      F.await<std::int64_t>([&](auto H) { F.Client.grantLease(1s, H); });
  REQUIRE(Lease.has_value());
  CHECK(F.put("/seat", "me", Lease.value()).value().Succeeded);
  const auto KeepAlive = [&] {
    return F.await<std::chrono::seconds>(
        [&](auto H) { F.Client.keepAlive(Lease.value(), H); });
  };
  CHECK(KeepAlive().value() == 1s);
  CHECK(F.get("/seat").value().Entries[0].Lease == Lease.value());
  CHECK(F.runUntil([&] { return F.get("/seat").value().Entries.empty(); }));
  CHECK(KeepAlive().error().is(errc::NotFound));
  CHECK(F.await<bool>([&](auto H) { F.Client.revokeLease(Lease.value(), H); })
            .error()
            .is(errc::NotFound));
  CHECK(F.put("/seat", "me", Lease.value()).error().is(errc::NotFound));
}

TEST_CASE("etcd client reports whether a failed write may have taken effect") {
  struct fault_case {
    const char *Name;
    const char *Fault;
    errc Code;
    bool Written; // as read back after the fault
  };
  const fault_case Cases[] = {
      {"down", R"({"down":true})", errc::Unavailable, false},
      {"lost answer", R"({"lose_answers":1})", errc::Timeout, true},
      {"error after the effect", R"({"fail_after":1})", errc::Timeout, true},
      {"error before the effect", R"({"fail_before":1})", errc::Timeout, false},
      {"late effect", R"({"latency_ms":1200})", errc::Timeout, true},
  };
  tests::platform_process Platform;
  for (const fault_case &Case : Cases) {
    CAPTURE(Case.Name);
    fixture F({Platform.Address}, 500ms);
    REQUIRE(F.get("/warm-up").has_value());
    REQUIRE(Platform.fault(Case.Fault));
    // The client notices a closed connection a moment later.
    std::this_thread::sleep_for(50ms);
    auto Result = F.put(std::string("/") + Case.Name, "x");
    REQUIRE(Result.has_error());
    CHECK_MESSAGE(Result.error().is(Case.Code), Result.error().text());
    REQUIRE(Platform.fault(R"({"down":false,"latency_ms":0})"));
    if (std::string(Case.Name) == "late effect")
      std::this_thread::sleep_for(800ms);
    CHECK(F.runUntil([&] { return F.get("/warm-up").has_value(); }));
    CHECK(F.get(std::string("/") + Case.Name).value().Entries.empty() !=
          Case.Written);
  }
}

TEST_CASE("etcd client handles a platform that does not respond") {
  tests::platform_process Platform;
  SUBCASE("frozen platform") {
    fixture F({Platform.Address}, 300ms);
    REQUIRE(F.get("/warm-up").has_value());
    Platform.process().signal(SIGSTOP);
    CHECK(F.put("/frozen", "x").error().is(errc::Timeout));
    Platform.process().signal(SIGCONT);
  }
  SUBCASE("a failed read is unavailable") {
    fixture F({Platform.Address});
    REQUIRE(Platform.fault(R"({"fail_before":1})"));
    CHECK(F.get("/a").error().is(errc::Unavailable));
  }
  SUBCASE("a killed platform") {
    fixture F({Platform.Address}, 500ms);
    REQUIRE(F.get("/warm-up").has_value());
    Platform.process().signal(SIGKILL);
    (void)Platform.process().wait();
    CHECK(F.runUntil([&] {
      auto Result = F.put("/killed", "x");
      return Result.has_error() && Result.error().is(errc::Unavailable);
    }));
  }
}

TEST_CASE(
    "etcd client reports oversized values and the platform's rate limit") {
  tests::platform_process Platform({"--write-rate", "1"});
  fixture F({Platform.Address});
  const auto Calls = F.Client.callCount();
  const auto Large =
      F.put("/a", std::string(coordination::MaxPlatformValueBytes + 1, 'x'));
  CHECK(Large.error().is(errc::TooLarge));
  CHECK(F.Client.callCount() == Calls);
  CHECK(F.put("/a", "1").has_value());
  CHECK(F.put("/a", "2").error().is(errc::Unavailable));
  CHECK(F.get("/a").value().Entries[0].Value == "1");
  const nlohmann::json Stats = Platform.stats();
  CHECK(Stats["writes"] == 2);
  CHECK(Stats["reads"] == 1);
  CHECK(Stats["calls"] == 3);
}

TEST_CASE("etcd client switches to an endpoint that responds") {
  tests::platform_process Dead;
  tests::platform_process Platform;
  REQUIRE(Dead.fault(R"({"down":true})"));
  fixture F({Dead.Address, Platform.Address});
  CHECK(F.put("/a", "1").has_value());
  CHECK(F.get("/a").value().Entries.size() == 1);
}

TEST_CASE("etcd client resumes a watch without a gap after a disconnect") {
  tests::platform_process Platform;
  fixture F({Platform.Address}, 1000ms);
  std::vector<std::string> Seen;
  std::optional<state::failure> Ended;
  std::int64_t Last = 0;
  const auto Watch = [&](std::int64_t From) {
    Ended.reset();
    return F.Client.watch("/w/", true, From, [&](auto Result) {
      if (Result.has_error()) {
        Ended = Result.error();
        return;
      }
      for (const platform_event &Event : Result.value()) {
        Seen.push_back((Event.Deleted ? "-" : "+") + Event.Entry.Key +
                       Event.Entry.Value);
        Last = Event.Entry.ModRevision;
      }
    });
  };
  F.put("/w/a", "1").value();
  auto First = Watch(2);
  CHECK(F.runUntil([&] { return Seen.size() == 1; }));
  F.put("/other", "1").value();
  F.commit({{}, {}, {"/w/a"}}).value();
  CHECK(F.runUntil([&] { return Seen.size() == 2; }));
  CHECK(Platform.stats()["watches"] == 1);

  REQUIRE(Platform.fault(R"({"down":true})"));
  CHECK(F.runUntil([&] { return Ended.has_value(); }));
  CHECK(Ended->is(errc::Unavailable));
  REQUIRE(Platform.fault(R"({"down":false})"));
  CHECK(F.runUntil([&] { return F.put("/w/b", "2").has_value(); }));
  auto Second = Watch(Last + 1);
  CHECK(F.runUntil([&] { return Seen.size() >= 3; }));
  CHECK(Seen == std::vector<std::string>{"+/w/a1", "-/w/a", "+/w/b2"});

  Second.reset();
  CHECK(F.runUntil([&] { return Platform.stats()["watches"] == 0; }));
  F.put("/w/c", "3").value();
  F.runUntil([Until = std::chrono::steady_clock::now() + 100ms] {
    return std::chrono::steady_clock::now() > Until;
  });
  CHECK(Seen.size() == 3);
  CHECK_FALSE(Ended);
}

TEST_CASE(
    "stand-in delays and reorders watch updates and rejects invalid faults") {
  tests::platform_process Platform;
  fixture F({Platform.Address});
  CHECK_FALSE(Platform.fault(R"({"latency_ms":-1})"));
  CHECK_FALSE(Platform.fault(R"({"latency":1})"));
  CHECK_FALSE(Platform.fault("x"));
  REQUIRE(Platform.fault(R"({"watch_delay_ms":50,"cross_watch":true})"));
  std::vector<std::int64_t> Revisions;
  auto Watch = F.Client.watch("/w/", true, 2, [&](auto Result) {
    for (const platform_event &Event : Result.value())
      Revisions.push_back(Event.Entry.ModRevision);
  });
  CHECK(F.runUntil([&] { return Platform.stats()["watches"] == 1; }));
  for (int I = 0; I < 30; ++I)
    F.put("/w/a", std::to_string(I)).value();
  CHECK(F.runUntil([&] { return Revisions.size() == 30; }));
  CHECK_FALSE(std::is_sorted(Revisions.begin(), Revisions.end()));
  REQUIRE(Platform.fault(R"({"stop":true})"));
  CHECK(Platform.process().wait() == 0);
}

TEST_CASE("etcd client calls no handler after it is destroyed") {
  tests::platform_process Platform;
  boost::asio::io_context Context;
  bool Called = false;
  REQUIRE(Platform.fault(R"({"latency_ms":300})"));
  {
    transport::etcd_client Client(Context, {{Platform.Address}, 5000ms});
    Client.get("/a", false, [&](const auto &) { Called = true; });
    Client.keepAlive(1, [&](const auto &) { Called = true; });
    auto Watch =
        Client.watch("/a", false, 1, [&](const auto &) { Called = true; });
    std::this_thread::sleep_for(50ms);
  }
  Context.run_for(500ms);
  CHECK_FALSE(Called);
}
