/// \file
/// Guards the growth and halving of leases, the preconditions of a grant, and
/// that "in force everywhere" is not reported too early.
#include "hyssopledge/coordination/lease_policy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;
using namespace std::chrono_literals;
using coordination::lease_grantor;
using coordination::lease_holder;

namespace {

const state::lease_spec Spec{60s, 2.0, 7200s};

control::renew_request request(std::uint64_t Applied, std::uint32_t Level = 0,
                               bool First = false,
                               std::uint64_t Incarnation = 1) {
  control::renew_request Request;
  Request.set_instance("a");
  Request.set_incarnation(Incarnation);
  Request.set_applied_version(Applied);
  Request.set_level(Level);
  Request.set_first(First);
  return Request;
}

control::renew_response granted(state::milliseconds Duration) {
  control::renew_response Response;
  Response.set_granted(true);
  Response.set_duration_ms(static_cast<std::uint64_t>(Duration.count()));
  return Response;
}

} // namespace

TEST_CASE("durations grow by the factor up to the maximum") {
  const std::pair<std::uint32_t, state::milliseconds> Cases[] = {
      {0, 60s}, {1, 120s}, {3, 480s}, {7, 7200s}, {1000, 7200s}};
  for (const auto &[Level, Duration] : Cases)
    CHECK(coordination::leaseDuration(Spec, Level) == Duration);
}

TEST_CASE("a grant requires a recent confirmation or a majority") {
  struct grant_case {
    const char *Name;
    state::milliseconds ConfirmedAgo; // negative: never
    coordination::grant_context Context;
    std::uint64_t Applied; // of the caller
    bool Granted;
  };
  using context = coordination::grant_context;
  const context Up{.AppliedVersion = 5, .KnownVersion = 5};
  const context Down{.AppliedVersion = 5,
                     .KnownVersion = 5,
                     .MajorityReachable = true,
                     .PlatformDown = true};
  context Minority = Down;
  Minority.MajorityReachable = false;
  context NewerHead = Down;
  NewerHead.KnownVersion = 6;
  context NewerConfirmation = Down;
  NewerConfirmation.ConfirmedVersion = 6;
  context Refused = Up;
  Refused.KnownVersion = 6;
  Refused.KnownHeadRefused = true;
  const grant_case Cases[] = {
      {"confirmed", 10s, Up, 5, true},
      {"old confirmation, platform not known to be down", 11s, Up, 5, false},
      {"never confirmed", -1ms, Up, 5, false},
      {"caller behind", 1s, Up, 4, false},
      {"caller ahead of the relay", 1s, Up, 6, true},
      {"majority", 11s, Down, 5, true},
      {"minority", 11s, Minority, 5, false},
      {"majority, newer head known", 11s, NewerHead, 5, false},
      {"majority, newer confirmation", 11s, NewerConfirmation, 5, false},
      {"majority, caller ahead", 11s, Down, 6, false},
      {"invalid document of the head", 1s, Refused, 5, true},
  };
  for (const grant_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    state::random_engine Random(1);
    lease_grantor Grantor({}, Random);
    Grantor.onSpec(Spec);
    const state::time_point Now{1h};
    if (Case.ConfirmedAgo >= 0ms)
      Grantor.onHeadConfirmed(Now - Case.ConfirmedAgo, 5);
    const auto Response =
        Grantor.onRequest(Now, request(Case.Applied), Case.Context);
    CHECK(Response.granted() == Case.Granted);
    CHECK((Response.granted() || Response.retry_after_ms() > 0));
  }
}

TEST_CASE("levels grow with renewals and halve after a crash or an expiry") {
  state::random_engine Random(1);
  lease_grantor Grantor({}, Random);
  Grantor.onSpec(Spec);
  state::time_point Now{1h};
  coordination::grant_context Context{.AppliedVersion = 1, .KnownVersion = 1};
  std::uint32_t Level = 0;
  auto Renew = [&](bool First, std::uint64_t Incarnation) {
    Grantor.onHeadConfirmed(Now, 1);
    const auto Response =
        Grantor.onRequest(Now, request(1, Level, First, Incarnation), Context);
    REQUIRE(Response.granted());
    Level = Response.level();
    return Level;
  };
  CHECK(Renew(true, 1) == 0);
  for (std::uint32_t Expected = 1; Expected <= 7; ++Expected) {
    Now += 30s;
    CHECK(Renew(false, 1) == Expected);
  }
  Now += 30s;
  CHECK(Renew(false, 1) == 7); // at the maximum
  Now += 7201s;                // missed renewal
  CHECK(Renew(false, 1) == 3);
  CHECK(Renew(true, 2) == 1); // crash
  Context.RememberedLevel = 6;
  CHECK(Renew(true, 3) == 3); // crash, remembered by the members
  Context.LeftCleanly = true;
  CHECK(Renew(true, 4) == 6); // clean restart
  lease_grantor Other({}, Random);
  Other.importLevels(Grantor.levels());
  CHECK(Other.levels().entries(0).level() == 6);
}

TEST_CASE("excess requests are spread over time") {
  state::random_engine Random(1);
  lease_grantor Grantor({}, Random);
  Grantor.onSpec(Spec);
  const state::time_point Now{1h};
  Grantor.onHeadConfirmed(Now, 1);
  int Granted = 0;
  std::uint32_t LastRetry = 0;
  for (int I = 0; I < 700; ++I) {
    const auto Response = Grantor.onRequest(
        Now, request(1), {.AppliedVersion = 1, .KnownVersion = 1});
    Granted += Response.granted() ? 1 : 0;
    if (Response.granted())
      continue;
    CHECK(Response.retry_after_ms() > LastRetry);
    LastRetry = Response.retry_after_ms();
  }
  CHECK(Granted == 50);
  CHECK(LastRetry >= 13000);
  CHECK(LastRetry <= 14000);
}

TEST_CASE(
    "a holder renews at 50 to 80% of the lease, counted from the request") {
  CHECK(rc::check([](std::uint32_t Seed) {
    state::random_engine Random(Seed);
    lease_holder Holder(Random);
    const state::time_point Sent{1h};
    RC_ASSERT(Holder.renewalDue(Sent));
    RC_ASSERT(!Holder.validAt(Sent));
    control::renew_request Request;
    Holder.beginRenewal(Sent, Request);
    RC_ASSERT(Request.first());
    RC_ASSERT(!Holder.renewalDue(Sent + 1h)); // one request at a time
    Holder.onResponse(Sent + 40s, granted(100s));
    RC_ASSERT(Holder.validAt(Sent + 100s - 1ns));
    RC_ASSERT(!Holder.validAt(Sent + 100s));
    RC_ASSERT(!Holder.renewalDue(Sent + 50s - 1ns));
    RC_ASSERT(Holder.renewalDue(Sent + 80s));
    // A refusal or a lost response doesn't shorten the granted lease.
    Holder.beginRenewal(Sent + 80s, Request);
    RC_ASSERT(!Request.first());
    Holder.onResponse(Sent + 81s, state::failure(state::errc::Timeout, ""));
    RC_ASSERT(Holder.validAt(Sent + 99s));
    RC_ASSERT(Holder.renewalDue(Sent + 82s));
  }));
}

TEST_CASE("in force everywhere needs acknowledgements or expired leases") {
  coordination::convergence_tracker Tracker;
  state::time_point Now{1h};
  Tracker.onSpec({60s, 2.0, 100s});
  auto Member = [&](const std::string &Instance, control::member_status Status,
                    std::uint64_t Incarnation = 1) {
    control::member Value;
    Value.set_instance(Instance);
    Value.set_status(Status);
    Value.set_incarnation(Incarnation);
    Tracker.onMember(Now, Value);
  };
  auto Acknowledge = [&](const std::string &Instance, std::uint64_t Version,
                         std::uint64_t Incarnation = 1) {
    control::report_request::acknowledgement Value;
    Value.set_instance(Instance);
    Value.set_incarnation(Incarnation);
    Value.set_applied_version(Version);
    Tracker.onAcknowledgement(Now, Value);
  };
  auto Wait = [&](state::milliseconds Time) {
    for (state::milliseconds T{0}; T < Time; T += 1s) {
      Now += 1s;
      Tracker.onTick(Now);
    }
  };
  auto InForceEverywhere = [&] {
    return Tracker.convergence(Now, 0).in_force_everywhere();
  };
  for (const char *Instance : {"a", "b", "c"})
    Member(Instance, control::MEMBER_ALIVE);
  SUBCASE("not before the members are known") {
    control::head Early;
    Early.set_version(2);
    Tracker.onHead(Now, Early);
    Wait(1s);
    for (const char *Instance : {"a", "b", "c"})
      Acknowledge(Instance, 2);
    CHECK_FALSE(InForceEverywhere());
    return;
  }
  Tracker.onAllMembersKnown();
  control::head Head;
  Head.set_version(2);
  Tracker.onHead(Now, Head);
  Wait(1s);
  for (const char *Instance : {"a", "b"})
    Acknowledge(Instance, 2);
  Acknowledge("c", 1);
  CHECK_FALSE(InForceEverywhere());
  Acknowledge("c", 2);
  CHECK(InForceEverywhere());

  SUBCASE("a restarted member must acknowledge again") {
    Member("c", control::MEMBER_ALIVE, 2);
    CHECK_FALSE(InForceEverywhere());
    Acknowledge("c", 2, 2);
    CHECK(InForceEverywhere());
  }
  SUBCASE("a dead member counts until the longest lease has expired") {
    Member("c", control::MEMBER_DEAD, 2);
    Wait(129s);
    CHECK_FALSE(InForceEverywhere());
    Wait(5s);
    CHECK(InForceEverywhere());
    CHECK(Tracker.convergence(Now, 0).lease_ended() == 1);
  }
  SUBCASE("a reachable member must acknowledge") {
    Member("c", control::MEMBER_ALIVE, 2);
    Wait(1000s);
    CHECK_FALSE(InForceEverywhere());
    CHECK(Tracker.convergence(Now, 0).waiting_for(0) == "c");
  }
  SUBCASE("not while half are unreachable, and the wait starts again") {
    Member("c", control::MEMBER_DEAD, 2);
    Wait(125s);
    Member("b", control::MEMBER_DEAD);
    Wait(1000s);
    CHECK_FALSE(InForceEverywhere());
    Member("b", control::MEMBER_ALIVE, 2);
    Acknowledge("b", 2, 2);
    Wait(125s);
    CHECK_FALSE(InForceEverywhere());
    Wait(10s);
    CHECK(InForceEverywhere());
  }
  SUBCASE("a member that left need not acknowledge") {
    Member("c", control::MEMBER_LEFT, 1);
    CHECK(InForceEverywhere());
    CHECK(Tracker.convergence(Now, 0).members() == 2);
  }
}
