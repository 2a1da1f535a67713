/// \file
/// Tests when and how often slow requests get a second attempt. Guards the
/// limit of the operators under a load in which all targets are slow.
#include "hyssopledge/state/hedge_policy.h"
#include "hyssopledge/state/random.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace hyssopledge;
using state::hedge_policy;
using state::milliseconds;

namespace {

double exponential(state::random_engine &Random, double Mean) {
  return -Mean * std::log(1 - state::unitInterval(Random()));
}

} // namespace

TEST_CASE("the delay follows the 95th percentile of a route's latency") {
  struct latency_case {
    const char *Name;
    double MeanMs;
  };
  for (const latency_case &Case :
       {latency_case{"short", 20}, latency_case{"long", 600}}) {
    CAPTURE(std::string(Case.Name));
    hedge_policy Policy(0.1);
    state::random_engine Random(3);
    unsigned Beyond = 0;
    unsigned Counted = 0;
    for (int I = 0; I < 20'000; ++I) {
      const auto Ms = static_cast<std::int64_t>(
          std::ceil(exponential(Random, Case.MeanMs)));
      if (const auto Delay = Policy.delay("r"); Delay && I >= 1000) {
        ++Counted;
        Beyond += milliseconds(Ms) > *Delay ? 1 : 0;
      }
      Policy.onResponse("r", milliseconds(Ms));
    }
    REQUIRE(Counted > 0);
    const double Share = static_cast<double>(Beyond) / Counted;
    CHECK(Share > 0.02);
    CHECK(Share < 0.1);
  }
}

TEST_CASE("no delay is known before there are enough responses") {
  hedge_policy Policy(0.1);
  CHECK_FALSE(Policy.delay("r").has_value());
  for (unsigned I = 0; I < hedge_policy::MinSamples; ++I)
    Policy.onResponse("r", milliseconds(10));
  CHECK(Policy.delay("r").has_value());
  CHECK_FALSE(Policy.delay("other").has_value());
}

TEST_CASE("second attempts stay within the ratio") {
  struct ratio_case {
    double Ratio;
    unsigned MostOf1000;
  };
  for (const ratio_case &Case :
       {ratio_case{0, 0}, ratio_case{0.02, 26}, ratio_case{0.2, 206}}) {
    CAPTURE(Case.Ratio);
    hedge_policy Policy(Case.Ratio);
    unsigned Acquired = 0;
    for (int I = 0; I < 1000; ++I) {
      Policy.onRequest();
      Acquired += Policy.tryAcquire() ? 1 : 0;
    }
    CHECK(Acquired <= Case.MostOf1000);
    CHECK(Acquired + 10 >= 1000 * Case.Ratio);
  }
}

// Replays requests whose latency is ten times as long on some targets for
// moments. The slowest responses must get faster at the given extra load.
TEST_CASE("a few slow targets cost fewer slow responses with second attempts") {
  const auto Replay = [](double Ratio, double &ExtraLoad) {
    hedge_policy Policy(Ratio);
    state::random_engine Random(5);
    const auto Draw = [&] {
      const bool Slow = state::unitInterval(Random()) < 0.04;
      return 20 + exponential(Random, Slow ? 600 : 60);
    };
    std::vector<double> Latencies;
    unsigned Extra = 0;
    constexpr int Requests = 20'000;
    for (int I = 0; I < Requests; ++I) {
      Policy.onRequest();
      double Latency = Draw();
      if (const auto Delay = Policy.delay("r");
          Delay && Latency > static_cast<double>(Delay->count()) &&
          Policy.tryAcquire()) {
        ++Extra;
        Latency =
            std::min(Latency, static_cast<double>(Delay->count()) + Draw());
      }
      Policy.onResponse("r", milliseconds(static_cast<std::int64_t>(Latency)));
      Latencies.push_back(Latency);
    }
    ExtraLoad = static_cast<double>(Extra) / Requests;
    std::sort(Latencies.begin(), Latencies.end());
    return Latencies[Latencies.size() * 99 / 100];
  };
  double Extra = 0;
  const double Without = Replay(0, Extra);
  CHECK(Extra == 0);
  const double With = Replay(0.05, Extra);
  CHECK(Extra <= 0.051);
  CHECK(With < 0.75 * Without);
}
