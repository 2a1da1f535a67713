/// \file
/// Tests of buildSnapshot: a document with an invalid value or a reference to a
/// missing service or version is refused.
#include "hyssopledge/state/snapshot.h"

#include <doctest/doctest.h>
#include <functional>

using namespace hyssopledge;

namespace {

state::document validDocument() {
  state::document Document;
  Document.Environment = "production";
  state::service_spec Service;
  Service.Name = "reservations";
  Service.Versions = {"v1", "v2"};
  Service.StableVersion = "v1";
  Document.Services = {Service};
  state::route_spec Holds;
  Holds.Name = "holds";
  Holds.PathPrefix = "/reservations/hold";
  Holds.Methods = {"POST"};
  Holds.Service = "reservations";
  state::route_spec All;
  All.Name = "all";
  All.PathPrefix = "/reservations";
  All.Service = "reservations";
  Document.Routes = {All, Holds};
  return Document;
}

struct bad_document {
  const char *Name;
  std::function<void(state::document &)> Change;
  const char *Text; // part of the expected problem
};

} // namespace

TEST_CASE("buildSnapshot refuses invalid documents") {
  const bad_document Cases[] = {
      {"missing service", [](auto &D) { D.Routes[0].Service = "sizing"; },
       "/routes/all/service"},
      {"missing stable", [](auto &D) { D.Services[0].StableVersion = "v9"; },
       "/services/reservations/stable"},
      {"missing rollout version",
       [](auto &D) {
         D.Services[0].Rollout = state::rollout_spec{};
         D.Services[0].Rollout->ToVersion = "v9";
       },
       "/services/reservations/rollout/to"},
      {"route twice", [](auto &D) { D.Routes[1].Name = "all"; },
       "duplicate name"},
      {"relative prefix", [](auto &D) { D.Routes[0].PathPrefix = "x"; },
       "must start with /"},
      {"no slots", [](auto &D) { D.Services[0].Limits.Slots = 0; },
       "limits/slots"},
      {"lease", [](auto &D) { D.Lease.Growth = 0.5; }, "/lease/growth"},
  };
  for (const bad_document &Case : Cases) {
    CAPTURE(Case.Name);
    state::document Document = validDocument();
    Case.Change(Document);
    auto Built = state::buildSnapshot(1, "", Document);
    REQUIRE(Built.has_error());
    CHECK(Built.error().is(state::errc::InvalidDocument));
    CHECK(Built.error().Detail.find(Case.Text) != std::string::npos);
  }
}

TEST_CASE("matchRoute selects the longest prefix at a segment boundary") {
  struct match_case {
    const char *Method;
    const char *Path;
    const char *Route; // null: none
  };
  const match_case Cases[] = {
      {"POST", "/reservations/hold", "holds"},
      {"POST", "/reservations/hold/7", "holds"},
      {"GET", "/reservations/hold", "all"},
      {"GET", "/reservations?x=1", "all"},
      {"GET", "/reservationsx", nullptr},
      {"GET", "/", nullptr},
  };
  auto Built = state::buildSnapshot(3, "", validDocument());
  REQUIRE(Built.has_value());
  for (const match_case &Case : Cases) {
    CAPTURE(Case.Path);
    const state::route_spec *Route =
        Built.value()->matchRoute(Case.Method, Case.Path);
    REQUIRE((Route != nullptr) == (Case.Route != nullptr));
    if (Route != nullptr)
      CHECK(Route->Name == Case.Route);
  }
}
