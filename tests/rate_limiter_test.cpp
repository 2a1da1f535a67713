/// \file
/// Tests of rate_limiter: how many requests pass when there are always some.
#include "hyssopledge/state/rate_limiter.h"

#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace hyssopledge::state;

TEST_CASE("no window gets more requests than the rate allows") {
  struct change {
    int AtMs;
    std::optional<double> Rate;
  };
  struct rate_case {
    const char *Name;
    std::vector<change> Changes;
    int FromMs; // of the window
    int ToMs;
    int MinRequests;
    int MaxRequests;
  };
  const rate_case Cases[] = {
      {"no limit", {}, 0, 1000, 1000, 1000},
      {"steady", {{0, 20.0}}, 1000, 5000, 78, 85},
      {"below one a second", {{0, 0.75}}, 1000, 5000, 2, 4},
      {"none, with a few to learn the next limit",
       {{0, 0.0}},
       1000,
       5000,
       1,
       3},
      {"the first second", {{0, 20.0}}, 0, 1000, 18, 25},
      {"named again and again",
       {{0, 20.0}, {1100, 20.0}, {1200, 20.0}, {1300, 20.0}, {1400, 20.0}},
       1000,
       2000,
       18,
       25},
      {"lowered", {{0, 80.0}, {2000, 10.0}}, 2000, 6000, 38, 50},
      {"raised", {{0, 10.0}, {2000, 80.0}}, 2000, 3000, 75, 90},
      {"one response without it",
       {{0, 10.0}, {2000, std::nullopt}, {2050, 10.0}},
       1000,
       5000,
       38,
       50},
      {"the second after its end",
       {{0, 10.0}, {2000, std::nullopt}},
       2000,
       3000,
       15,
       30},
      {"long after its end",
       {{0, 10.0}, {2000, std::nullopt}},
       6000,
       7000,
       1000,
       1000},
      {"named again after its end",
       {{0, 10.0}, {2000, std::nullopt}, {8000, 10.0}},
       8000,
       12'000,
       38,
       50},
  };
  for (const rate_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    const time_point Start{std::chrono::hours(1)};
    rate_limiter Limiter;
    auto Change = Case.Changes.begin();
    int Requests = 0;
    for (int Ms = 0; Ms < Case.ToMs; ++Ms) {
      const time_point Now = Start + milliseconds(Ms);
      for (; Change != Case.Changes.end() && Change->AtMs == Ms; ++Change)
        Limiter.setRate(Change->Rate, Now);
      // What waitFor() says must be true at this rate.
      const bool Ready = Limiter.waitFor(1, Now).count() == 0;
      const bool Passed = Limiter.tryAcquire(Now);
      CHECK(Passed == Ready);
      Requests += Passed && Ms >= Case.FromMs ? 1 : 0;
    }
    CHECK(Requests >= Case.MinRequests);
    CHECK(Requests <= Case.MaxRequests);
  }
}
