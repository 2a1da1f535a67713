/// \file
/// Tests of admission control: no request runs on an expired or draining
/// upstream or past its deadline, and no queued request is lost.
#include "hyssopledge/state/admission.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace hyssopledge::state;
using std::chrono::seconds;

namespace {

const time_point Start{std::chrono::hours(1)};

upstream_announcement announcement(std::uint32_t Slots = 0) {
  upstream_announcement Announcement;
  Announcement.Service = "bookings";
  Announcement.Version = "v1";
  Announcement.Slots = Slots;
  return Announcement;
}

admission makeAdmission(admission_limits Limits) {
  admission Admission(Limits);
  Admission.announce(announcement(), Start);
  return Admission;
}

result<admission_action> admit(admission &Admission, ticket Ticket,
                               time_point Now, seconds TimeLeft = seconds(60)) {
  return Admission.admit(Ticket, "bookings", "v1", Now + TimeLeft, Now);
}

} // namespace

TEST_CASE("a request that can't run is refused with the reason") {
  struct refusal_case {
    const char *Name;
    std::function<void(admission &)> Prepare;
    milliseconds Elapsed;
    milliseconds TimeLeft; // until the deadline
    const char *Version;
    errc Expected;
  };
  const milliseconds Long{60000};
  const refusal_case Cases[] = {
      {"expired", [](auto &) {}, milliseconds(3000), Long, "v1",
       errc::NoTarget},
      {"other version", [](auto &) {}, milliseconds(0), Long, "v2",
       errc::NoTarget},
      {"upstream drains",
       [](auto &A) {
         auto DrainingUpstream = announcement();
         DrainingUpstream.Draining = true;
         A.announce(DrainingUpstream, Start);
       },
       milliseconds(0), Long, "v1", errc::Draining},
      {"daemon drains", [](auto &A) { A.startDrain(); }, milliseconds(0), Long,
       "v1", errc::Draining},
      {"deadline", [](auto &) {}, milliseconds(0), milliseconds(0), "v1",
       errc::Timeout},
      {"queue full",
       [](auto &A) {
         for (ticket T = 1; T <= 3; ++T)
           CHECK(admit(A, T, Start).has_value());
       },
       milliseconds(0), Long, "v1", errc::Overloaded},
      {"no slot before the deadline",
       [](auto &A) { // mean run time 100 ms; the slot is taken
         CHECK(admit(A, 1, Start).has_value());
         A.finish(1, milliseconds(100), Start);
         CHECK(admit(A, 2, Start).has_value());
       },
       milliseconds(0), milliseconds(199), "v1", errc::Overloaded},
  };
  for (const refusal_case &Case : Cases) {
    CAPTURE(Case.Name);
    admission Admission = makeAdmission({1, 2});
    Case.Prepare(Admission);
    const time_point Now = Start + Case.Elapsed;
    const auto Action =
        Admission.admit(99, "bookings", Case.Version, Now + Case.TimeLeft, Now);
    REQUIRE(Action.has_error());
    CHECK(Action.error().is(Case.Expected));
  }
}

TEST_CASE("an announcement expires after 3 s, also for queued requests") {
  admission Admission = makeAdmission({1, 5});
  CHECK(admit(Admission, 1, Start).value() == admission_action::Run);
  CHECK(admit(Admission, 2, Start).value() == admission_action::Queued);
  CHECK(Admission.serving(Start + seconds(3) - milliseconds(1)).has_value());
  CHECK(Admission.expire(Start + milliseconds(2999)).empty());
  SUBCASE("no further announcement") {
    CHECK(!Admission.serving(Start + seconds(3)).has_value());
  }
  SUBCASE("replaced by another version") {
    auto Other = announcement();
    Other.Version = "v2";
    Admission.announce(Other, Start + seconds(2));
  }
  const auto Released =
      Admission.finish(1, milliseconds(10), Start + seconds(3));
  REQUIRE(Released.size() == 1);
  CHECK(Released[0].Ticket == 2);
  REQUIRE(Released[0].Refusal.has_value());
  CHECK(Released[0].Refusal->is(errc::NoTarget));
}

TEST_CASE("a queued request that can't finish in time is refused at dispatch") {
  admission Admission = makeAdmission({2, 5});
  admit(Admission, 1, Start).value();
  Admission.finish(1, milliseconds(100), Start); // mean run time
  admit(Admission, 2, Start).value();
  admit(Admission, 3, Start).value();
  admit(Admission, 4, Start, seconds(1)).value();
  admit(Admission, 5, Start).value();
  const auto Released = Admission.finish(2, milliseconds(100),
                                         Start + seconds(1) - milliseconds(60));
  REQUIRE(Released.size() == 2);
  CHECK(Released[0].Refusal.has_value());
  CHECK(!Released[1].Refusal.has_value());
}

TEST_CASE("requests that run or are queued finish during a drain") {
  admission Admission = makeAdmission({1, 5});
  admit(Admission, 1, Start).value();
  admit(Admission, 2, Start).value();
  Admission.startDrain();
  CHECK(!Admission.drained());
  const auto Released = Admission.finish(1, milliseconds(10), Start);
  REQUIRE(Released.size() == 1);
  CHECK(!Released[0].Refusal.has_value());
  CHECK(!Admission.drained());
  CHECK(Admission.finish(2, milliseconds(10), Start).empty());
  CHECK(Admission.drained());
}

TEST_CASE(
    "slots are the minimum of limit and announcement, a high mean recovers") {
  admission Admission = makeAdmission({4, 5});
  Admission.announce(announcement(2), Start);
  CHECK(Admission.slots() == 2);
  Admission.announce(announcement(9), Start);
  CHECK(Admission.slots() == 4);
  // A mean run time above every deadline must not refuse requests forever.
  admit(Admission, 1, Start).value();
  Admission.finish(1, seconds(100), Start);
  for (ticket T = 2; T < 100; ++T) {
    REQUIRE(admit(Admission, T, Start, seconds(1)).has_value());
    Admission.finish(T, milliseconds(10), Start);
  }
}

TEST_CASE(
    "each request runs at most once or is refused, never beyond the slots") {
  const bool Passed = rc::check([] {
    const auto Slots = *rc::gen::inRange(1U, 4U);
    admission Admission = makeAdmission({Slots, 3});
    time_point Now = Start;
    time_point Announced = Start;
    std::set<ticket> Running;
    std::set<ticket> Waiting;
    const auto ApplyReleases = [&](const std::vector<admission_release> &All) {
      for (const admission_release &Release : All) {
        RC_ASSERT(Waiting.erase(Release.Ticket) == 1U);
        if (Release.Refusal)
          continue;
        RC_ASSERT(Now - Announced < seconds(3));
        Running.insert(Release.Ticket);
      }
    };
    for (ticket Ticket = 1; Ticket < 60; ++Ticket) {
      Now += milliseconds(*rc::gen::inRange(0, 300));
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
        Admission.announce(announcement(), Announced = Now);
        break;
      case 1:
        ApplyReleases(Admission.expire(Now));
        break;
      case 2:
        if (!Waiting.empty()) {
          Admission.cancel(*Waiting.begin());
          Waiting.erase(Waiting.begin());
        }
        break;
      case 3:
        if (!Running.empty()) {
          const ticket Ended = *Running.begin();
          Running.erase(Ended);
          ApplyReleases(Admission.finish(
              Ended, milliseconds(*rc::gen::inRange(0, 500)), Now));
        }
        break;
      default: {
        const auto Action =
            admit(Admission, Ticket, Now, seconds(*rc::gen::inRange(0, 3)));
        if (Action.has_value()) {
          RC_ASSERT(Now - Announced < seconds(3));
          (Action.value() == admission_action::Run ? Running : Waiting)
              .insert(Ticket);
        }
      }
      }
      RC_ASSERT(Running.size() <= Slots);
      RC_ASSERT(Admission.running() == Running.size());
      RC_ASSERT(Admission.queued() == Waiting.size());
    }
  });
  CHECK(Passed);
}
