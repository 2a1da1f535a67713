/// \file
/// Tests of route lookup, weighted round robin, the shared retry budget and the
/// retry circuit breaker.
#include "hyssopledge/state/retry_breaker.h"
#include "hyssopledge/state/route_table.h"
#include "hyssopledge/state/shared_retry_budget.h"
#include "hyssopledge/state/weighted_round_robin.h"

#include <cmath>
#include <doctest/doctest.h>
#include <limits>
#include <map>
#include <random>

using namespace hyssopledge::state;

namespace {

const time_point Start{std::chrono::hours(1)};

document documentWith(std::vector<route_spec> Routes) {
  document Document;
  for (const char *Name : {"pages", "bookings"}) {
    service_spec Service;
    Service.Name = Name;
    Document.Services.push_back(Service);
  }
  Document.Routes = std::move(Routes);
  return Document;
}

route_spec route(const char *Name, const char *Host, const char *Prefix,
                 const char *Service = "pages") {
  route_spec Route;
  Route.Name = Name;
  Route.Host = Host;
  Route.PathPrefix = Prefix;
  Route.Service = Service;
  return Route;
}

} // namespace

TEST_CASE("the route with the longest prefix of the host matches") {
  const auto Table = route_table::build(
      7, documentWith({route("short", "shop.example", "/a/"),
                       route("long", "shop.example", "/a/b/"),
                       route("other", "park.example", "/a/"),
                       route("any", "", "/free/")}));
  REQUIRE(Table.has_value());
  struct match_case {
    const char *Host;
    const char *Path;
    const char *Route; // empty: none
  };
  const match_case Cases[] = {
      {"shop.example", "/a/1", "short"},
      {"shop.example", "/a/", "short"},
      {"shop.example", "/a/b/1", "long"},
      {"shop.example", "/a/bc", "short"},
      {"SHOP.Example:8080", "/a/b/c?x=/q/", "long"},
      {"park.example", "/a/b/1", "other"},
      {"shop.example", "/a", ""},
      {"shop.example", "/", ""},
      {"shop.example", "/b/a/", ""},
      {"shop.example", "", ""},
      {"nobody.example", "/a/1", ""},
      {"nobody.example", "/free/1", "any"},
      {"", "/free/1", "any"},
  };
  for (const match_case &Case : Cases) {
    CAPTURE(Case.Host);
    CAPTURE(Case.Path);
    const route_spec *Found = Table.value()->matchRoute(Case.Host, Case.Path);
    CHECK((Found == nullptr ? "" : Found->Name) == std::string(Case.Route));
  }
}

TEST_CASE("an invalid document is refused with the reason") {
  route_spec Split = route("split", "h", "/s/");
  Split.Split = {{"pages", 0}, {"bookings", 0}};
  route_spec Negative = route("negative", "h", "/s/");
  Negative.Split = {{"pages", -1}, {"bookings", 2}};
  route_spec NotANumber = route("nan", "h", "/s/");
  NotANumber.Split = {{"pages", std::numeric_limits<double>::quiet_NaN()}};
  route_spec TooLarge = route("large", "h", "/s/");
  TooLarge.Split = {{"pages", 1e308}, {"pages", 1e308}};
  struct refusal_case {
    std::vector<route_spec> Routes;
    const char *ExpectedText; // part of the error text
  };
  const refusal_case Cases[] = {
      {{route("r", "h", "a/")}, "begin and end with a slash"},
      {{route("r", "h", "/a")}, "begin and end with a slash"},
      {{route("r", "h", "")}, "begin and end with a slash"},
      {{route("r", "h", "/a/", "nobody")}, "unknown service"},
      {{route("r", "h", "/a/"), route("s", "H", "/a/")}, "another route"},
      {{Split}, "add up to 0"},
      {{TooLarge}, "too large"},
      {{Negative}, "non-negative number"},
      {{NotANumber}, "non-negative number"},
  };
  for (const refusal_case &Case : Cases) {
    CAPTURE(Case.ExpectedText);
    const auto Table = route_table::build(1, documentWith(Case.Routes));
    REQUIRE(Table.has_error());
    CHECK(Table.error().text().find(Case.ExpectedText) != std::string::npos);
  }
}

TEST_CASE("requests are distributed in proportion to the weights") {
  struct share_case {
    std::vector<double> Weights;
  };
  for (const share_case &Case :
       {share_case{{90, 10}}, share_case{{1, 1, 1}}, share_case{{0, 5}},
        share_case{{9999, 1}}, share_case{{33.3, 66.7}}}) {
    weighted_round_robin RoundRobin;
    std::map<std::size_t, int> Count;
    constexpr int Requests = 20'000;
    double Total = 0;
    for (const double Weight : Case.Weights)
      Total += Weight;
    for (int I = 0; I < Requests; ++I)
      ++Count[RoundRobin.next(Case.Weights)];
    for (std::size_t I = 0; I < Case.Weights.size(); ++I)
      CHECK(std::abs(Count[I] - Requests * Case.Weights[I] / Total) <= 1.0);
  }
}

// Credits that were earned with the former weights went on counting, so that a
// part without weight was chosen until the others had caught up.
TEST_CASE("requests are distributed by the new weights once these change") {
  struct change_case {
    std::vector<double> Before;
    std::vector<double> After;
  };
  for (const change_case &Case :
       {change_case{{90, 10}, {0, 1}}, change_case{{50, 50}, {0.99, 0.01}},
        change_case{{0.5, 0.5}, {990, 10}},
        change_case{{1e-300, 0}, {1e300, 1e300}},
        change_case{{1, 1, 1}, {0, 2, 1}},
        change_case{{5000, 5000}, {10'000, 0}}, change_case{{1, 1}, {1, 1, 1}},
        change_case{{9, 1}, {1, 9}}})
    for (int Earlier = 0; Earlier < 20; ++Earlier) {
      CAPTURE(Case.After[0]);
      CAPTURE(Earlier);
      weighted_round_robin RoundRobin;
      for (int I = 0; I < Earlier; ++I)
        RoundRobin.next(Case.Before);
      std::vector<int> Count(Case.After.size());
      constexpr int Requests = 50;
      double Total = 0;
      for (const double Weight : Case.After)
        Total += Weight;
      for (int I = 0; I < Requests; ++I)
        ++Count[RoundRobin.next(Case.After)];
      for (std::size_t I = 0; I < Case.After.size(); ++I) {
        if (Case.After[I] == 0)
          CHECK(Count[I] == 0);
        CHECK(std::abs(Count[I] - Requests * Case.After[I] / Total) <= 2.0);
      }
    }
}

TEST_CASE("all daemons together stay within the retry budget") {
  struct budget_case {
    const char *Name;
    int Daemons;
    int RequestsPerSecond; // of each daemon
  };
  for (const budget_case &Case :
       {budget_case{"small", 4, 50}, budget_case{"usual", 16, 20},
        budget_case{"idle", 58, 0}}) {
    CAPTURE(std::string(Case.Name));
    shared_retry_budget_settings Settings;
    std::vector<shared_retry_budget> Daemons(std::size_t(Case.Daemons),
                                             shared_retry_budget(Settings));
    // Every request fails and is retried until no retry is allowed.
    std::vector<int> Retries;
    std::vector<int> Requests;
    for (int Second = 0; Second < 40; ++Second) {
      int Retried = 0;
      int Sent = 0;
      for (shared_retry_budget &Daemon : Daemons) {
        Daemon.setDaemonCount(std::size_t(Case.Daemons));
        for (int I = 0; I < std::max(1, Case.RequestsPerSecond); ++I) {
          const time_point Now =
              Start + std::chrono::seconds(Second) + milliseconds(I * 10);
          if (Case.RequestsPerSecond > 0) {
            Daemon.onRequest("pages", Now);
            ++Sent;
          }
          while (Daemon.tryAcquire("pages", Now))
            ++Retried;
        }
      }
      Retries.push_back(Retried);
      Requests.push_back(Sent);
    }
    for (std::size_t First = 0; First + 10 <= Retries.size(); ++First) {
      int Window = 0;
      int Sent = 0;
      for (std::size_t I = First; I < First + 10; ++I) {
        Window += Retries[I];
        Sent += Requests[I];
      }
      CHECK(Window <= Settings.Ratio * Sent + Settings.Slack);
    }
  }
}

TEST_CASE("calls made by retried runs are charged to the budget") {
  // Each retried run of "pages" makes two calls to "bookings", which fails
  // calls and is retried itself.
  shared_retry_budget_settings Settings;
  constexpr std::size_t Daemons = 16;
  std::vector<shared_retry_budget> All(Daemons, shared_retry_budget(Settings));
  constexpr int Seconds = 40;
  constexpr int Requests = 20; // a second, each daemon
  constexpr double RetryShare = 0.15;
  std::vector<double> Retries(Seconds, 0.0);
  for (int Second = 0; Second < Seconds; ++Second)
    for (shared_retry_budget &Daemon : All) {
      Daemon.setDaemonCount(Daemons);
      for (int I = 0; I < Requests; ++I) {
        const time_point Now =
            Start + std::chrono::seconds(Second) + milliseconds(I * 50);
        Daemon.onRequest("bookings", Now);
        Daemon.onNestedCall("bookings", RetryShare, Now);
        Retries[std::size_t(Second)] += RetryShare;
        while (Daemon.tryAcquire("bookings", Now))
          Retries[std::size_t(Second)] += 1;
      }
    }
  for (std::size_t First = 0; First + 10 <= Retries.size(); ++First) {
    double Window = 0;
    for (std::size_t I = First; I < First + 10; ++I)
      Window += Retries[I];
    CHECK(Window <=
          Settings.Ratio * Requests * double(Daemons) * 10 + Settings.Slack);
  }
}

TEST_CASE("retries stop while they fail and continue while they succeed") {
  struct breaker_case {
    const char *Name;
    double FailureRate; // of retries in the first 10 s; none fails after that
    double MinShare;    // of failed requests retried in the first 10 s
    double MaxShare;
  };
  // 5 failed requests a second at one daemon.
  for (const breaker_case &Case :
       {breaker_case{"one bad target among good ones", 0.05, 0.99, 1},
        breaker_case{"one of three targets is bad", 0.2, 0.9, 1},
        breaker_case{"a called service fails half of the calls", 0.56, 0, 0.6},
        breaker_case{"a called service fails all calls", 1, 0, 0.4}}) {
    CAPTURE(std::string(Case.Name));
    constexpr int Seeds = 20;
    int Retried = 0;
    int RetriedLater = 0;
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      retry_breaker Breaker;
      std::mt19937_64 Random(Seed);
      std::uniform_real_distribution<double> Draw(0, 1);
      for (int I = 0; I < 100; ++I) {
        const time_point Now = Start + milliseconds(I * 200);
        const bool Faulty = I < 50;
        if (!Breaker.allowsRetry("page", Now))
          continue;
        ++(Faulty ? Retried : RetriedLater);
        Breaker.record("page", Faulty && Draw(Random) < Case.FailureRate, Now);
      }
    }
    CHECK(Retried >= Case.MinShare * 50 * Seeds);
    CHECK(Retried <= Case.MaxShare * 50 * Seeds);
    // Retries resume within two seconds of the end of the failures.
    CHECK(RetriedLater >= 40 * Seeds);
  }
}
