/// \file
/// Tests of the hold on versions whose order is not known yet.
#include "hyssopledge/coordination/version_hold.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <vector>

using namespace hyssopledge;
using coordination::upstream_state;
using std::chrono::milliseconds;

// The upstreams of a new version got the requests of any other upstream while
// no daemon had its order.
TEST_CASE("a version is held while no order names it and an older one serves") {
  struct appearance {
    int AtMs;
    const char *Version;
  };
  struct hold_case {
    const char *Name;
    std::vector<appearance> Upstreams;
    std::optional<int> OrderAtMs; // for v2
    int NowMs;
    bool V1Held;
    bool V2Held;
  };
  const hold_case Cases[] = {
      {"one version", {{0, "v1"}}, {}, 100, false, false},
      {"all versions seen at the start",
       {{0, "v1"}, {1500, "v2"}},
       {},
       1600,
       false,
       false},
      {"a version without an order",
       {{0, "v1"}, {9000, "v2"}},
       {},
       13'900,
       false,
       true},
      {"later upstreams of the version change nothing",
       {{0, "v1"}, {9000, "v2"}, {13'000, "v2"}},
       {},
       14'100,
       false,
       false},
      {"the order comes later",
       {{0, "v1"}, {9000, "v2"}},
       9500,
       9600,
       false,
       false},
      {"the order came before",
       {{0, "v1"}, {9000, "v2"}},
       8000,
       9100,
       false,
       false},
      {"more upstreams of the only version",
       {{0, "v1"}, {9000, "v1"}},
       {},
       9100,
       false,
       false},
  };
  for (const hold_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    const state::time_point Start{std::chrono::hours(1)};
    coordination::fleet_directory Directory;
    coordination::version_hold Hold;
    std::size_t Next = 0;
    for (int Ms = 0; Ms <= Case.NowMs; Ms += 100) {
      for (; Next < Case.Upstreams.size() && Case.Upstreams[Next].AtMs <= Ms;
           ++Next) {
        coordination::member_record Member;
        Member.Instance = "m" + std::to_string(Next);
        Member.Incarnation = 1;
        Member.Upstream.Name = "i" + std::to_string(Next);
        Member.Upstream.Service = "pages";
        Member.Upstream.Version = Case.Upstreams[Next].Version;
        Member.Upstream.State = upstream_state::Serving;
        Directory.merge(Member);
      }
      if (Case.OrderAtMs && *Case.OrderAtMs == Ms) {
        coordination::rollout_record Rollout;
        Rollout.Service = "pages";
        Rollout.ToVersion = "v2";
        Rollout.OrderRevision = 7;
        Directory.merge(Rollout);
      }
      Hold.update(Directory, Start + milliseconds(Ms));
    }
    const state::time_point Now = Start + milliseconds(Case.NowMs);
    CHECK((Hold.heldUntil("pages", "v1") > Now) == Case.V1Held);
    CHECK((Hold.heldUntil("pages", "v2") > Now) == Case.V2Held);
    CHECK_FALSE(Hold.heldUntil("shops", "v2") > Now);
  }
}
