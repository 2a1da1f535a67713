/// \file
/// Tests of idempotency_table: a keyed request never runs twice, and memory is
/// bounded.
#include "hyssopledge/state/idempotency.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <rapidcheck.h>

using namespace hyssopledge::state;

namespace {

const time_point Start{std::chrono::hours(1)};
const auto RetentionPeriod = idempotency_table::RetentionPeriod;

stored_response answer(std::string Body) {
  return {200, "text/plain", std::move(Body)};
}

key_state stateOf(idempotency_table &Table, const std::string &Key,
                  time_point Now) {
  return Table.begin(Key, 7, Now).value().State;
}

} // namespace

TEST_CASE("a repeated key returns the state of the first request") {
  struct key_case {
    const char *Name;
    std::function<void(idempotency_table &)> Change;
    key_state Expected;
  };
  const key_case Cases[] = {
      {"running", [](auto &) {}, key_state::InProgress},
      {"done", [](auto &T) { T.complete("k", answer("first"), Start); },
       key_state::Done},
      {"unknown", [](auto &T) { T.markUnknown("k", Start); },
       key_state::Unknown},
      {"answer after unknown",
       [](auto &T) {
         T.markUnknown("k", Start);
         T.complete("k", answer("first"), Start);
       },
       key_state::Done},
      {"not run", [](auto &T) { T.release("k"); }, key_state::New},
      {"released after it ran",
       [](auto &T) {
         T.complete("k", answer("first"), Start);
         T.release("k");
       },
       key_state::Done},
      {"repeated by the entry daemon",
       [](auto &T) { T.beginRepeated("k", 7, Start).value(); },
       key_state::InProgress},
      {"answer too large",
       [](auto &T) { T.complete("k", answer(std::string(999, 'x')), Start); },
       key_state::Unknown},
  };
  for (const key_case &Case : Cases) {
    CAPTURE(Case.Name);
    idempotency_table Table(10, 100);
    REQUIRE(stateOf(Table, "k", Start) == key_state::New);
    Case.Change(Table);
    const auto Lookup = Table.begin("k", 7, Start).value();
    CHECK(Lookup.State == Case.Expected);
    if (Lookup.State == key_state::Done)
      CHECK(Lookup.Response->Body == "first");
    const auto Conflict = Table.begin("k", 8, Start);
    REQUIRE(Conflict.has_error());
    CHECK(Conflict.error().is(errc::Conflict));
  }
}

TEST_CASE("a key that another daemon has forwarded before does not run here") {
  idempotency_table Table(1, 100);
  REQUIRE(Table.beginRepeated("k", 7, Start).has_value());
  CHECK(stateOf(Table, "k", Start) == key_state::Unknown);
  CHECK(Table.beginRepeated("k", 8, Start).error().is(errc::Conflict));
  CHECK(Table.beginRepeated("l", 7, Start).error().is(errc::Overloaded));
}

TEST_CASE("keys expire after the retention period, except those in progress") {
  idempotency_table Table(3, 100);
  for (const char *Key : {"done", "unknown", "running"})
    stateOf(Table, Key, Start);
  const time_point Ended = Start + std::chrono::minutes(2);
  Table.complete("done", answer("x"), Ended);
  Table.markUnknown("unknown", Ended);
  const time_point Last = Ended + RetentionPeriod - milliseconds(1);
  CHECK(Table.begin("more", 7, Last).error().is(errc::Overloaded));
  CHECK(stateOf(Table, "done", Last) == key_state::Done);
  CHECK(stateOf(Table, "unknown", Last) == key_state::Unknown);
  CHECK(stateOf(Table, "done", Ended + RetentionPeriod) == key_state::New);
  CHECK(stateOf(Table, "running", Ended + RetentionPeriod) ==
        key_state::InProgress);
  CHECK(stateOf(Table, "more", Ended + RetentionPeriod) == key_state::New);
}

TEST_CASE("no schedule runs a key twice within the retention period") {
  const bool Passed = rc::check([] {
    idempotency_table Table(4, 12);
    std::map<std::string, time_point>
        RanAt; // time of the end, or of the start while it runs
    std::map<std::string, bool> Running;
    time_point Now = Start;
    for (int I = 0; I < 80; ++I) {
      Now += std::chrono::seconds(*rc::gen::inRange(0, 90));
      const std::string Key(1, static_cast<char>(*rc::gen::inRange('a', 'h')));
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
        if (Running[Key]) // the upstream responded
          Table.complete(Key, answer(Key + "1234"), RanAt[Key] = Now);
        Running[Key] = false;
        break;
      case 1:
        if (Running[Key])
          Table.markUnknown(Key, RanAt[Key] = Now);
        Running[Key] = false;
        break;
      case 2:
        Table.expire(Now);
        break;
      default: {
        const auto Lookup = Table.begin(Key, 7, Now);
        if (Lookup.has_error())
          break;
        if (Lookup.value().State == key_state::Done)
          RC_ASSERT(Lookup.value().Response->Body[0] == Key[0]);
        if (Lookup.value().State != key_state::New)
          break;
        RC_ASSERT(!Running[Key]);
        RC_ASSERT(RanAt.count(Key) == 0 || Now - RanAt[Key] >= RetentionPeriod);
        if (*rc::gen::arbitrary<bool>()) {
          Running[Key] = true;
          RanAt[Key] = Now;
        } else {
          Table.release(Key); // refused by admission
        }
      }
      }
      RC_ASSERT(Table.size() <= 4U);
    }
  });
  CHECK(Passed);
}
