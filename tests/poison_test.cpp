/// \file
/// Tests of poison_detector: a request that crashes its upstreams is condemned,
/// concurrent innocent requests are not.
#include "hyssopledge/state/poison.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge::state;

namespace {

const time_point Now{std::chrono::hours(1)};

crash_sighting sighting(const std::string &Instance, std::uint32_t InFlight,
                        std::uint64_t Incarnation = 1,
                        std::uint64_t Fingerprint = 1) {
  return {Fingerprint, Instance, Incarnation, InFlight};
}

} // namespace

TEST_CASE("distinct crashes without a success condemn a fingerprint") {
  struct poison_case {
    const char *Name;
    std::vector<crash_sighting> BeforeSuccess; // sightings before a success
    std::vector<crash_sighting> AfterSuccess;
    bool Expected;
  };
  const poison_case Cases[] = {
      {"one crash", {}, {sighting("a", 1)}, false},
      {"two, alone in flight", {}, {sighting("a", 1), sighting("b", 1)}, true},
      {"the same crash twice", {}, {sighting("a", 1), sighting("a", 1)}, false},
      {"one instance, two incarnations",
       {},
       {sighting("a", 1), sighting("a", 1, 2)},
       true},
      {"two with few others", {}, {sighting("a", 4), sighting("b", 4)}, true},
      {"two with many others",
       {},
       {sighting("a", 12), sighting("b", 12)},
       false},
      {"one alone, one with many others",
       {},
       {sighting("a", 12), sighting("b", 1)},
       true},
      {"three with many others",
       {},
       {sighting("a", 12), sighting("b", 12), sighting("c", 12)},
       true},
      {"success between", {sighting("a", 1)}, {sighting("b", 1)}, false},
      {"gossiped again after a success",
       {sighting("a", 1), sighting("b", 1)},
       {sighting("b", 1), sighting("a", 1)},
       false},
      {"two after a success",
       {sighting("a", 1)},
       {sighting("b", 1), sighting("c", 1)},
       true},
  };
  for (const poison_case &Case : Cases) {
    CAPTURE(Case.Name);
    poison_detector Detector;
    for (const crash_sighting &Sighting : Case.BeforeSuccess)
      Detector.addSighting(Sighting, Now);
    Detector.addSuccess(1);
    CHECK(!Detector.isPoison(1, Now));
    bool Condemned = false;
    for (const crash_sighting &Sighting : Case.AfterSuccess)
      Condemned |= Detector.addSighting(Sighting, Now);
    CHECK(Condemned == Case.Expected);
    CHECK(Detector.isPoison(1, Now) == Case.Expected);
    CHECK(Detector.poisonFingerprints(Now).count(1) ==
          (Case.Expected ? 1U : 0U));
    const time_point Later = Now + poison_detector::RetentionPeriod;
    CHECK(!Detector.isPoison(1, Later));
    Detector.expire(Later);
    CHECK(Detector.poisonFingerprints(Now).empty());
  }
}

TEST_CASE("what another daemon has condemned is condemned here") {
  struct condemn_case {
    const char *Name;
    bool SeenBefore;
    bool SucceededBefore;
    bool Expected;
  };
  for (const condemn_case &Case :
       {condemn_case{"unknown here", false, false, true},
        condemn_case{"one crash known here", true, false, true},
        condemn_case{"succeeded here since a crash", true, true, false}}) {
    CAPTURE(std::string(Case.Name));
    poison_detector Detector;
    if (Case.SeenBefore)
      Detector.addSighting(sighting("a", 1), Now);
    if (Case.SucceededBefore)
      Detector.addSuccess(1);
    Detector.condemn(1, Now);
    CHECK(Detector.isPoison(1, Now) == Case.Expected);
    CHECK_FALSE(Detector.isPoison(2, Now));
    // Repeating it does not extend the time.
    const time_point Later = Now + poison_detector::RetentionPeriod;
    Detector.condemn(1, Later - milliseconds(1));
    if (!Case.SucceededBefore)
      CHECK_FALSE(Detector.isPoison(1, Later));
  }
}

TEST_CASE("order and repetition of sightings do not matter") {
  const bool Passed = rc::check([] {
    std::vector<crash_sighting> Sightings;
    Sightings.resize(*rc::gen::inRange<std::size_t>(1, 12));
    for (crash_sighting &Sighting : Sightings)
      Sighting = sighting(
          std::string(1, static_cast<char>(*rc::gen::inRange('a', 'e'))), 4, 1,
          *rc::gen::inRange<std::uint64_t>(1, 4));
    poison_detector First;
    poison_detector Second;
    for (const crash_sighting &Sighting : Sightings)
      First.addSighting(Sighting, Now);
    std::reverse(Sightings.begin(), Sightings.end());
    for (int Round = 0; Round < 2; ++Round)
      for (const crash_sighting &Sighting : Sightings)
        Second.addSighting(Sighting, Now);
    RC_ASSERT(First.poisonFingerprints(Now) == Second.poisonFingerprints(Now));
  });
  CHECK(Passed);
}

TEST_CASE("memory is bounded and condemned fingerprints are evicted last") {
  poison_detector Detector;
  Detector.addSighting(sighting("a", 1), Now);
  Detector.addSighting(sighting("b", 1), Now);
  for (std::uint64_t I = 2; I < poison_detector::MaxSuspects + 100; ++I)
    Detector.addSighting(sighting("a", 1, 1, I), Now + milliseconds(I));
  CHECK(Detector.isPoison(1, Now));
  // Suspects with the oldest sightings were evicted, so this is a first crash.
  CHECK(!Detector.addSighting(sighting("b", 1, 1, 2), Now));
  CHECK(Detector.addSighting(
      sighting("b", 1, 1, poison_detector::MaxSuspects + 99), Now));
}

TEST_CASE("the fingerprint distinguishes method, path and body") {
  CHECK(requestFingerprint("GET", "/a", "") ==
        requestFingerprint("GET", "/a", ""));
  CHECK(requestFingerprint("GET", "/a", "") !=
        requestFingerprint("PUT", "/a", ""));
  CHECK(requestFingerprint("GET", "/ab", "c") !=
        requestFingerprint("GET", "/a", "bc"));
}
