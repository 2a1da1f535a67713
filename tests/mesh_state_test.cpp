/// \file
/// Routes by host and path, shares by weight, and the budget of repeats.
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

TEST_CASE("the longest prefix of the host decides") {
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
    const route_spec *Found = Table.value()->match(Case.Host, Case.Path);
    CHECK((Found == nullptr ? "" : Found->Name) == std::string(Case.Route));
  }
}

TEST_CASE("a document that can't be used is refused with the reason") {
  route_spec Split = route("split", "h", "/s/");
  Split.Split = {{"pages", 0}, {"bookings", 0}};
  route_spec Negative = route("negative", "h", "/s/");
  Negative.Split = {{"pages", -1}, {"bookings", 2}};
  route_spec NotANumber = route("nan", "h", "/s/");
  NotANumber.Split = {{"pages", std::numeric_limits<double>::quiet_NaN()}};
  struct refusal_case {
    std::vector<route_spec> Routes;
    const char *Part; // of the text
  };
  const refusal_case Cases[] = {
      {{route("r", "h", "a/")}, "begin and end with a slash"},
      {{route("r", "h", "/a")}, "begin and end with a slash"},
      {{route("r", "h", "")}, "begin and end with a slash"},
      {{route("r", "h", "/a/", "nobody")}, "unknown service"},
      {{route("r", "h", "/a/"), route("s", "H", "/a/")}, "another route"},
      {{Split}, "add up to 0"},
      {{Negative}, "number from 0 on"},
      {{NotANumber}, "number from 0 on"},
  };
  for (const refusal_case &Case : Cases) {
    CAPTURE(Case.Part);
    const auto Table = route_table::build(1, documentWith(Case.Routes));
    REQUIRE(Table.has_error());
    CHECK(Table.error().text().find(Case.Part) != std::string::npos);
  }
}

TEST_CASE("requests are dealt in proportion to the weights") {
  struct share_case {
    std::vector<double> Weights;
  };
  for (const share_case &Case :
       {share_case{{90, 10}}, share_case{{1, 1, 1}}, share_case{{0, 5}},
        share_case{{9999, 1}}, share_case{{33.3, 66.7}}}) {
    weighted_round_robin Turns;
    std::map<std::size_t, int> Count;
    constexpr int Requests = 20'000;
    double Total = 0;
    for (const double Weight : Case.Weights)
      Total += Weight;
    for (int I = 0; I < Requests; ++I)
      ++Count[Turns.next(Case.Weights)];
    for (std::size_t I = 0; I < Case.Weights.size(); ++I)
      CHECK(std::abs(Count[I] - Requests * Case.Weights[I] / Total) <= 1.0);
  }
}

TEST_CASE("all daemons together keep to the budget of repeats") {
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
    // Every request fails and asks for repeats until none is allowed.
    std::vector<int> Repeats;
    std::vector<int> Requests;
    for (int Second = 0; Second < 40; ++Second) {
      int Repeated = 0;
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
            ++Repeated;
        }
      }
      Repeats.push_back(Repeated);
      Requests.push_back(Sent);
    }
    for (std::size_t From = 0; From + 10 <= Repeats.size(); ++From) {
      int Window = 0;
      int Sent = 0;
      for (std::size_t I = From; I < From + 10; ++I) {
        Window += Repeats[I];
        Sent += Requests[I];
      }
      CHECK(Window <= Settings.Ratio * Sent + Settings.Slack);
    }
  }
}

TEST_CASE("calls of repeated runs are held against the budget") {
  // Each repeated run at "pages" makes two calls to "bookings", which fails
  // calls and asks for repeats of its own.
  shared_retry_budget_settings Settings;
  constexpr std::size_t Daemons = 16;
  std::vector<shared_retry_budget> All(Daemons, shared_retry_budget(Settings));
  constexpr int Seconds = 40;
  constexpr int Requests = 20; // a second, each daemon
  constexpr double RepeatShare = 0.15;
  std::vector<double> Repeats(Seconds, 0.0);
  for (int Second = 0; Second < Seconds; ++Second)
    for (shared_retry_budget &Daemon : All) {
      Daemon.setDaemonCount(Daemons);
      for (int I = 0; I < Requests; ++I) {
        const time_point Now =
            Start + std::chrono::seconds(Second) + milliseconds(I * 50);
        Daemon.onRequest("bookings", Now);
        Daemon.onNestedCall("bookings", RepeatShare, Now);
        Repeats[std::size_t(Second)] += RepeatShare;
        while (Daemon.tryAcquire("bookings", Now))
          Repeats[std::size_t(Second)] += 1;
      }
    }
  for (std::size_t From = 0; From + 10 <= Repeats.size(); ++From) {
    double Window = 0;
    for (std::size_t I = From; I < From + 10; ++I)
      Window += Repeats[I];
    CHECK(Window <=
          Settings.Ratio * Requests * double(Daemons) * 10 + Settings.Slack);
  }
}

TEST_CASE("repeats stop while they fail, and go on where they help") {
  struct gain_case {
    const char *Name;
    double FailureRate; // of repeats in the first 10 s; then none fails
    double LeastShare;  // of the failed requests that are repeated then
    double MostShare;
  };
  // 5 failed requests a second at one daemon.
  for (const gain_case &Case :
       {gain_case{"one bad target among good ones", 0.05, 0.99, 1},
        gain_case{"one of three targets is bad", 0.2, 0.9, 1},
        gain_case{"a service behind fails half of the calls", 0.56, 0, 0.6},
        gain_case{"a service behind fails all calls", 1, 0, 0.4}}) {
    CAPTURE(std::string(Case.Name));
    constexpr int Seeds = 20;
    int Repeated = 0;
    int RepeatedLater = 0;
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      retry_breaker Gain;
      std::mt19937_64 Random(Seed);
      std::uniform_real_distribution<double> Draw(0, 1);
      for (int I = 0; I < 100; ++I) {
        const time_point Now = Start + milliseconds(I * 200);
        const bool Faulty = I < 50;
        if (!Gain.allowsRetry("page", Now))
          continue;
        ++(Faulty ? Repeated : RepeatedLater);
        Gain.record("page", Faulty && Draw(Random) < Case.FailureRate, Now);
      }
    }
    CHECK(Repeated >= Case.LeastShare * 50 * Seeds);
    CHECK(Repeated <= Case.MostShare * 50 * Seeds);
    // Within two seconds of the end they are tried again.
    CHECK(RepeatedLater >= 40 * Seeds);
  }
}
