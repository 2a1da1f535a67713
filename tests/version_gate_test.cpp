/// \file
/// Guards promise 1 of docs/PROMISES.md: a restarted daemon applies no version
/// below any that its former process may have applied.
#include "hyssopledge/coordination/version_gate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;
using coordination::version_gate;

namespace {

state::snapshot version(std::uint64_t Version) {
  state::snapshot Snapshot;
  Snapshot.Version = Version;
  return Snapshot;
}

struct peer_response {
  const char *Peer;
  std::uint64_t Known, Applied;
};

} // namespace

TEST_CASE("the floor is set by the platform or by enough peers") {
  struct floor_case {
    const char *Name;
    bool PlatformFailed;
    std::optional<std::uint64_t> PlatformHead;
    std::size_t KnownPeers;
    std::vector<peer_response> Responses;
    std::optional<std::uint64_t> Floor;
  };
  const floor_case Cases[] = {
      {"nothing", false, {}, 0, {}, {}},
      {"platform", false, 7, 5, {}, 7},
      {"no head yet", false, 0, 5, {}, 0},
      {"peers without a failed platform", false, {}, 1, {{"a", 7, 0}}, {}},
      {"platform down, no responses", true, {}, 0, {}, {}},
      {"one of one", true, {}, 1, {{"a", 7, 0}}, 7},
      {"one of two", true, {}, 2, {{"a", 7, 0}}, {}},
      {"two of five", true, {}, 5, {{"a", 7, 0}, {"b", 9, 0}}, {}},
      {"the same peer again",
       true,
       {},
       5,
       {{"a", 7, 0}, {"a", 7, 0}, {"a", 7, 0}},
       {}},
      {"three of five",
       true,
       {},
       5,
       {{"a", 7, 0}, {"b", 9, 0}, {"c", 8, 0}},
       9},
      {"own former version",
       true,
       {},
       3,
       {{"a", 7, 0}, {"b", 7, 11}, {"c", 7, 0}},
       11},
      {"platform recovers after peer responses", true, 5, 9, {{"a", 7, 0}}, 7},
  };
  for (const floor_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    version_gate Gate;
    Gate.onKnownPeers(Case.KnownPeers);
    if (Case.PlatformFailed)
      Gate.onPlatformFailed();
    for (const peer_response &Response : Case.Responses)
      Gate.onPeerResponse(Response.Peer, Response.Known, Response.Applied);
    if (Case.PlatformHead)
      Gate.onPlatformHead(*Case.PlatformHead);
    CHECK(Gate.floor() == Case.Floor);
    auto Result = Gate.apply(version(Case.Floor.value_or(1)));
    CHECK(Result.has_value() == (Case.Floor.value_or(0) > 0));
  }
}

TEST_CASE("applied versions start at the floor and only grow") {
  CHECK(rc::check(
      [](const std::vector<std::uint8_t> &Offers, std::uint8_t Floor) {
        version_gate Gate;
        RC_ASSERT(Gate.apply(version(255)).has_error());
        Gate.onPlatformHead(Floor);
        std::uint64_t Last = 0;
        for (const std::uint8_t Offer : Offers) {
          const bool Applied = Gate.apply(version(Offer)).has_value();
          RC_ASSERT(Applied == (Offer >= Floor && Offer > Last));
          Last = Applied ? Offer : Last;
          RC_ASSERT(Gate.appliedVersion() == Last);
        }
      }));
}
