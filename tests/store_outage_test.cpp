/// \file
/// Runs fleet agents with the real client of the platform's store against a
/// stand-in that withholds responses. Guards documents and rollouts while the
/// store does not respond to the daemons that follow it for the others.
#include "support/store_fleet.h"

#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <set>
#include <string>

using namespace hyssopledge;
using fleet = tests::store_fleet;
using std::chrono::milliseconds;
using tests::documentText;

namespace {

// The users' bounds: configApplyMs, and maxStretchMs while the store is
// disturbed.
constexpr milliseconds ApplyTime{2000};
constexpr milliseconds StretchTime{5000};
constexpr milliseconds RollbackTime{5000}; // rollbackMs

} // namespace

// The relays noticed a response that did not come only when their call's time
// limit of 26.5 s ended, and said until then that they reach the platform.
TEST_CASE("a document is in force in time while the store does not respond to "
          "the relays") {
  struct outage_case {
    const char *Name;
    std::function<void(fleet &)> Fault;
  };
  const outage_case Cases[] = {
      {"no fault", [](fleet &) {}},
      {"one relay gets no response",
       [](fleet &F) { F.Store.withholdFrom({"a-1"}); }},
      {"no relay gets a response",
       [](fleet &F) {
         F.Store.withholdFrom({"a-1", "b-1"});
       }},
      {"only the waiting calls get no response",
       [](fleet &F) { F.Store.loseWaitingResponses(); }},
  };
  for (const outage_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    fleet Fleet;
    REQUIRE(Fleet.allHave(1));
    Case.Fault(Fleet);
    Fleet.Store.put("op/config", documentText(2));
    CHECK(Fleet.runUntil([&] { return Fleet.allHave(2); },
                         ApplyTime + StretchTime));
  }
}

// The coordinator kept its office while the store gave it no response, and no
// other daemon decided. Until a decision, a version that nobody had released
// got the requests of a whole upstream.
TEST_CASE("an order is obeyed in time while the store does not respond to the "
          "coordinator") {
  struct order_case {
    const char *Name;
    std::set<std::string> Silent;
  };
  const order_case Cases[] = {
      {"no fault", {}},
      {"the coordinator gets no response", {"a-1"}},
      {"no daemon of its data centre gets a response", {"a-1", "a-2", "a-3"}},
  };
  for (const order_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    fleet Fleet;
    REQUIRE(Fleet.allHave(1));
    Fleet.serve("a-2", "v1");
    Fleet.serve("b-2", "v1");
    Fleet.runFor(milliseconds(200));
    Fleet.Store.withholdFrom(Case.Silent);
    Fleet.Store.put("op/rollout/pages",
                    R"({"service":"pages","toVersion":"v2","durationS":16})");
    CHECK(Fleet.runUntil([&] { return Fleet.allHold("v2"); }, ApplyTime));
    Fleet.serve("a-3", "v2");
    Fleet.serve("b-3", "v2");
    CHECK(Fleet.runUntil([&] { return Fleet.shareOfAll() > 0; }, RollbackTime));
  }
}
