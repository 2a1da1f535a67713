/// \file
/// Runs fleet agents with real connections that go silent: they stay open and
/// carry nothing more, while new ones work. Guards the time after which a
/// document is in force.
#include "support/store_fleet.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <string>

using namespace hyssopledge;
using std::chrono::milliseconds;
using tests::documentText;

namespace {

// The users' bounds: contactMs, after which a daemon whose connections were
// disturbed is bound again, and configApplyMs.
constexpr milliseconds ContactTime{3000};
constexpr milliseconds ApplyTime{2000};

} // namespace

// The relays noticed the silence only at the end of their waiting call, after
// up to 3.5 s, and tried again on another silent connection.
TEST_CASE("a document is in force in time after all connections went silent") {
  struct silence_case {
    const char *Name;
    milliseconds Silence; // after the start of the case
    milliseconds Change;
  };
  const silence_case Cases[] = {
      {"at the same time", milliseconds(0), milliseconds(0)},
      {"shortly before the change", milliseconds(0), milliseconds(50)},
      {"0.5 s before the change", milliseconds(0), milliseconds(500)},
      {"1 s before the change", milliseconds(0), milliseconds(1000)},
      {"between two waiting calls", milliseconds(1900), milliseconds(2000)},
      {"right after the change", milliseconds(5), milliseconds(0)},
  };
  tests::store_fleet Fleet;
  REQUIRE(Fleet.allHave(1));
  std::uint64_t Version = 1;
  for (const silence_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    ++Version;
    const auto Silence = [&] { Fleet.Proxy.silenceConnections(); };
    const auto Change = [&] {
      Fleet.Store.put("op/config", documentText(static_cast<int>(Version)));
    };
    const bool SilenceFirst = Case.Silence <= Case.Change;
    Fleet.runFor(std::min(Case.Silence, Case.Change));
    SilenceFirst ? Silence() : Change();
    Fleet.runFor(std::max(Case.Silence, Case.Change) -
                 std::min(Case.Silence, Case.Change));
    SilenceFirst ? Change() : Silence();
    const milliseconds Due =
        std::max(Case.Silence + ContactTime, Case.Change + ApplyTime);
    CHECK(Fleet.runUntil([&] { return Fleet.allHave(Version); },
                         Due - std::max(Case.Silence, Case.Change)));
    // The next case begins with daemons that agree.
    REQUIRE(Fleet.runUntil([&] { return Fleet.allHave(Version); },
                           milliseconds(6000)));
    Fleet.runFor(milliseconds(1500));
  }
}

// The second call took another connection that had gone silent with the first.
TEST_CASE("only one call to the store meets a silent connection") {
  boost::asio::io_context Context;
  tests::kv_standin Server(Context);
  tests::tcp_proxy Proxy(Context);
  platform::kv_store_options Options;
  Options.Address = Proxy.forward(Server.serve("a"));
  Options.CallTimeout = milliseconds(300);
  platform::kv_store Store(Context, Options);
  int Succeeded = 0;
  int Failed = 0;
  const auto Get = [&] {
    Store.get("op/config", false, [&](const auto &Result) {
      ++(Result.has_error() ? Failed : Succeeded);
    });
  };
  const auto RunUntil = [&](const auto &Condition) {
    for (int Steps = 0; !Condition() && Steps < 1000; ++Steps) {
      Context.restart();
      Context.run_for(milliseconds(5));
    }
    return Condition();
  };
  // Two calls at a time leave two idle connections.
  Get();
  Get();
  REQUIRE(RunUntil([&] { return Succeeded == 2; }));
  Proxy.silenceConnections();
  Get();
  REQUIRE(RunUntil([&] { return Failed == 1; }));
  Get();
  CHECK(RunUntil([&] { return Succeeded == 3; }));
  CHECK(Failed == 1);
}

// A fetch reused the connection of an earlier one and waited for its timeout.
TEST_CASE("a document is fetched at once after all connections went silent") {
  tests::store_fleet Fleet;
  const auto &Source = *Fleet.Nodes.at("a-1");
  int Succeeded = 0;
  int Failed = 0;
  const auto Fetch = [&] {
    Fleet.Nodes.at("b-3")->Documents->fetch(
        Source.Agent->self().HopAddress,
        [&](const auto &Text) { ++(Text.has_error() ? Failed : Succeeded); });
  };
  Fetch();
  REQUIRE(Fleet.runUntil([&] { return Succeeded == 1; }, milliseconds(2000)));
  Fleet.Proxy.silenceConnections();
  Fetch();
  CHECK(Fleet.runUntil([&] { return Succeeded == 2; }, milliseconds(3000)));
  CHECK(Failed == 0);
}
