/// \file
/// Tests which incomplete requests end when requests take too much memory.
/// Guards that a crowd of slow bodies neither exceeds the limit nor keeps out
/// faster ones and small requests.
#include "hyssopledge/state/receive_budget.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace hyssopledge;
using state::milliseconds;
using state::receive_budget;

namespace {

constexpr std::size_t Limit = 1'000'000;
constexpr std::size_t SmallLimit = 100'000;
const state::time_point Start{std::chrono::hours(1)};

struct intake final : state::request_intake {
  void refuse() override { Refused = true; }
  bool Refused = false;
};

} // namespace

TEST_CASE("requests beyond the limit end, the slowest first") {
  struct limit_case {
    const char *Name;
    std::vector<std::size_t> Former; // bytes of requests from the start
    std::size_t Held;                // bytes of complete requests
    milliseconds Age;                // of the former requests
    std::size_t Bytes;               // of the new one
    bool Accepted;
    std::vector<bool> Refused; // of the former ones
  };
  const limit_case Cases[] = {
      {"room is left", {400'000}, 0, milliseconds(900), 500'000, true, {false}},
      {"the slowest ends",
       {400'000, 300'000},
       0,
       milliseconds(900),
       500'000,
       true,
       {false, true}},
      {"several end",
       {300'000, 300'000, 300'000},
       0,
       milliseconds(900),
       600'000,
       true,
       {true, true, false}},
      {"none is old enough",
       {400'000, 300'000},
       0,
       milliseconds(100),
       500'000,
       false,
       {false, false}},
      {"complete requests hold the memory",
       {},
       900'000,
       milliseconds(900),
       500'000,
       false,
       {}},
      {"a small request uses the memory for small ones",
       {},
       990'000,
       milliseconds(900),
       15'000,
       true,
       {}},
      {"a request alone", {}, 0, milliseconds(900), 5'000'000, true, {}},
      {"a large request does not end small ones",
       {10'000},
       0,
       milliseconds(900),
       1'500'000,
       true,
       {false}},
  };
  for (const limit_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    receive_budget Budget({Limit, SmallLimit});
    std::vector<std::unique_ptr<intake>> Former;
    for (const std::size_t Bytes : Case.Former) {
      Former.push_back(std::make_unique<intake>());
      CHECK(Budget.update(*Former.back(), Bytes, Start));
    }
    Budget.hold(Case.Held);
    intake New;
    CHECK(Budget.update(New, Case.Bytes, Start + Case.Age) == Case.Accepted);
    unsigned Refused = 0;
    unsigned Expected = 0;
    for (std::size_t I = 0; I < Former.size(); ++I) {
      Refused += Former[I]->Refused ? 1 : 0;
      Expected += Case.Refused[I] ? 1 : 0;
    }
    CHECK(Refused == Expected);
    CHECK_FALSE(New.Refused);
  }
}

TEST_CASE("bytes are freed when requests end") {
  receive_budget Budget({Limit, SmallLimit});
  {
    intake First;
    intake Second;
    CHECK(Budget.update(First, 600'000, Start));
    CHECK(Budget.update(Second, 10'000, Start));
    CHECK(Budget.update(Second, 300'000, Start));
    CHECK(Budget.bytes() == 900'000);
    Budget.remove(First);
    Budget.remove(First);
    CHECK(Budget.bytes() == 300'000);
    Budget.remove(Second);
  }
  Budget.hold(50'000);
  Budget.hold(5'000);
  Budget.release(50'000);
  Budget.release(5'000);
  CHECK(Budget.bytes() == 0);
}
