/// \file
/// Guards that a request which crashes its upstreams is refused soon, and that
/// requests which were only in flight beside it are not.
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

TEST_CASE("crashes of distinct targets without a success make a poison") {
  struct poison_case {
    const char *Name;
    std::vector<crash_sighting> Before; // a success
    std::vector<crash_sighting> After;
    bool Expected;
  };
  const poison_case Cases[] = {
      {"one crash", {}, {sighting("a", 1)}, false},
      {"two lone", {}, {sighting("a", 1), sighting("b", 1)}, true},
      {"the same one twice", {}, {sighting("a", 1), sighting("a", 1)}, false},
      {"one instance, two lives",
       {},
       {sighting("a", 1), sighting("a", 1, 2)},
       true},
      {"two with few others", {}, {sighting("a", 4), sighting("b", 4)}, true},
      {"two with many others",
       {},
       {sighting("a", 12), sighting("b", 12)},
       false},
      {"lone and crowded", {}, {sighting("a", 12), sighting("b", 1)}, true},
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
    for (const crash_sighting &Sighting : Case.Before)
      Detector.addSighting(Sighting, Now);
    Detector.addSuccess(1);
    CHECK(!Detector.isPoison(1, Now));
    bool Condemned = false;
    for (const crash_sighting &Sighting : Case.After)
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

TEST_CASE("the order and repetition of sightings do not matter") {
  const bool Held = rc::check([] {
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
    for (int Twice = 0; Twice < 2; ++Twice)
      for (const crash_sighting &Sighting : Sightings)
        Second.addSighting(Sighting, Now);
    RC_ASSERT(First.poisonFingerprints(Now) == Second.poisonFingerprints(Now));
  });
  CHECK(Held);
}

TEST_CASE("memory is bounded and keeps poison before mere suspects") {
  poison_detector Detector;
  Detector.addSighting(sighting("a", 1), Now);
  Detector.addSighting(sighting("b", 1), Now);
  for (std::uint64_t I = 2; I < poison_detector::MaxSuspects + 100; ++I)
    Detector.addSighting(sighting("a", 1, 1, I), Now + milliseconds(I));
  CHECK(Detector.isPoison(1, Now));
  // The suspects seen longest ago were dropped: one more crash is their first.
  CHECK(!Detector.addSighting(sighting("b", 1, 1, 2), Now));
  CHECK(Detector.addSighting(
      sighting("b", 1, 1, poison_detector::MaxSuspects + 99), Now));
}

TEST_CASE("the fingerprint tells method, path and body apart") {
  CHECK(requestFingerprint("GET", "/a", "") ==
        requestFingerprint("GET", "/a", ""));
  CHECK(requestFingerprint("GET", "/a", "") !=
        requestFingerprint("PUT", "/a", ""));
  CHECK(requestFingerprint("GET", "/ab", "c") !=
        requestFingerprint("GET", "/a", "bc"));
}
