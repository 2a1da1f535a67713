/// \file
/// Guards the order of head versions: of concurrent writers one wins, the
/// outcome of a write without a response is read back and never assumed, and an
/// outage leaves no partial change.
#include "hyssopledge/coordination/head_writer.h"

#include "hyssopledge/coordination/keys.h"
#include "support/faulty_platform.h"
#include "support/manual_timer_service.h"
#include "support/random_document.h"

#include <doctest/doctest.h>
#include <optional>

using namespace hyssopledge;
using namespace std::chrono_literals;
using coordination::accepted_head;
using coordination::head_writer;
using state::errc;

namespace {

using outcome = std::optional<state::result<accepted_head>>;

struct fixture {
  explicit fixture(std::uint64_t Seed = 1) : Random(Seed) {}

  state::random_engine Random;
  tests::manual_timer_service Timers;
  tests::fake_platform Fake{[this] { return Timers.now(); }};
  tests::faulty_platform Platform{Fake, Random};
  head_writer Writer{Platform, Timers, Random};
  unsigned LastOperation = 0;

  state::document document(std::uint32_t Slots,
                           const char *Environment = "production") {
    state::random_engine Fixed(5);
    state::document Document = tests::randomDocument(Fixed, 3, 2);
    Document.Environment = Environment;
    Document.Services[1].Limits.Slots = Slots;
    return Document;
  }
  void waitFor(outcome &Outcome) {
    for (int I = 0; I < 200 && !Outcome; ++I) {
      Fake.run();
      Timers.advance(500ms);
    }
    REQUIRE(Outcome.has_value());
  }
  state::result<accepted_head> accept(const state::document &Document,
                                      std::string Author = "ana") {
    outcome Outcome;
    Writer.accept(Document, std::move(Author),
                  "op-" + std::to_string(++LastOperation), 86'400'000,
                  [&](auto Result) { Outcome = std::move(Result); });
    waitFor(Outcome);
    return *Outcome;
  }
  state::result<accepted_head> promote(std::optional<std::uint64_t> Expected) {
    outcome Outcome;
    Writer.promote(Expected, "ben", "op-" + std::to_string(++LastOperation), 0,
                   [&](auto Result) { Outcome = std::move(Result); });
    waitFor(Outcome);
    return *Outcome;
  }
  state::result<coordination::stored_document> read(const char *Environment) {
    std::optional<state::result<coordination::stored_document>> Read;
    coordination::readDocument(Fake, Environment,
                               [&](auto Result) { Read = std::move(Result); });
    Fake.run();
    REQUIRE(Read.has_value());
    return *Read;
  }
  /// Returns all head records that were ever in force, oldest first.
  std::vector<control::head> history(const char *Environment = "production") {
    std::vector<control::head> Heads;
    auto Watch = Fake.watch(
        coordination::keys::head(Environment), false, 1, [&](auto Events) {
          for (const auto &Event : Events.value())
            REQUIRE(Heads.emplace_back().ParseFromString(Event.Entry.Value));
        });
    Fake.run();
    return Heads;
  }
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("head writer accepts a document and writes each part once") {
  fixture F;
  auto First = F.accept(F.document(1));
  REQUIRE(First.has_value());
  CHECK(First.value().Head.version() == 1);
  CHECK(First.value().PartsWritten == 5); // environment, 3 services, manifest
  CHECK(F.read("production").value().Document.Services[1].Limits.Slots == 1);

  auto Second = F.accept(F.document(2));
  CHECK(Second.value().Head.version() == 2);
  CHECK(Second.value().PartsWritten == 2);

  const auto Writes = F.Fake.Writes;
  auto Same = F.accept(F.document(2));
  CHECK_FALSE(Same.value().Changed);
  CHECK(Same.value().Head.version() == 2);
  CHECK(F.Fake.Writes == Writes);

  // Returning to the first content creates a new version from existing parts.
  auto Back = F.accept(F.document(1));
  CHECK(Back.value().Head.version() == 3);
  CHECK(Back.value().PartsWritten == 0);
  CHECK(F.read("production").value().Document.Services[1].Limits.Slots == 1);
}

TEST_CASE("head writer promotes the trial head and records its source") {
  fixture F;
  CHECK(F.promote({}).error().is(errc::NotFound));
  F.accept(F.document(1, "trial")).value();
  F.accept(F.document(2, "trial")).value();
  CHECK(F.history().empty());
  auto Wrong = F.promote(1);
  CHECK(Wrong.error().is(errc::Conflict));
  CHECK(contains(Wrong.error().Detail, "version 2 of trial"));
  auto Promoted = F.promote(2);
  REQUIRE(Promoted.has_value());
  CHECK(Promoted.value().Head.version() == 1);
  CHECK(Promoted.value().Head.promoted_from() == "trial@2");
  CHECK(Promoted.value().PartsWritten == 2); // environment and manifest
  CHECK(F.read("production").value().Document.Environment == "production");
  CHECK_FALSE(F.promote({}).value().Changed);
  F.Platform.DownFromCall = 0;
  CHECK(F.promote({}).error().is(errc::Unavailable));
}

TEST_CASE("head writer reports the winner of a race to the loser") {
  fixture F;
  F.accept(F.document(1)).value();
  outcome Ana;
  outcome Ben;
  F.Writer.accept(F.document(2), "ana", "a", 86'400'000,
                  [&](auto Result) { Ana = std::move(Result); });
  F.Writer.accept(F.document(3), "ben", "b", 172'800'000,
                  [&](auto Result) { Ben = std::move(Result); });
  F.waitFor(Ana);
  F.waitFor(Ben);
  REQUIRE(Ana->has_value() != Ben->has_value());
  const bool AnaWon = Ana->has_value();
  const state::failure &Failure = AnaWon ? Ben->error() : Ana->error();
  CHECK(Failure.is(errc::Conflict));
  CHECK(contains(Failure.Detail, "version 2 of production"));
  CHECK(contains(Failure.Detail, AnaWon ? "\"ana\" at 1970-01-02T00:00:00Z"
                                        : "\"ben\" at 1970-01-03T00:00:00Z"));
}

// An acceptance makes four platform calls: it reads the head, reads the
// manifest, writes the parts and moves the head. Tests each fault at each call.
TEST_CASE("head writer survives a fault at every step") {
  for (std::uint64_t Step = 1; Step <= 4; ++Step) {
    CAPTURE(Step);
    SUBCASE("down from a step on") {
      fixture F;
      F.accept(F.document(1)).value();
      F.Platform.Calls = 0;
      F.Platform.DownFromCall = Step;
      auto Refused = F.accept(F.document(2));
      CHECK(Refused.error().is(errc::Unavailable));
      CHECK(F.history().size() == 1);
      CHECK(F.read("production").value().Document.Services[1].Limits.Slots ==
            1);
      F.Platform.DownFromCall = ~0ULL;
      CHECK(F.accept(F.document(2)).value().Head.version() == 2);
    }
    SUBCASE("response lost after the effect") {
      fixture F;
      F.accept(F.document(1)).value();
      F.Platform.Calls = 0;
      F.Platform.LoseResponseOfCall = Step;
      CHECK(F.accept(F.document(2)).value().Head.version() == 2);
      CHECK(F.history().size() == 2);
    }
    SUBCASE("response lost, then down") {
      fixture F;
      F.accept(F.document(1)).value();
      F.Platform.Calls = 0;
      F.Platform.LoseResponseOfCall = Step;
      F.Platform.DownFromCall = Step + 1;
      auto Result = F.accept(F.document(2));
      REQUIRE(Result.has_error());
      // Only the fourth call, which moves the head, has an unknown outcome.
      CHECK(Result.error().is(Step == 4 ? errc::OutcomeUnknown
                                        : errc::Unavailable));
      if (Step == 4)
        CHECK(contains(Result.error().Detail, "operation op-2"));
    }
  }
}

TEST_CASE("head writer splits large documents into batches") {
  fixture F;
  state::random_engine Random(3);
  state::document Document = tests::randomDocument(Random, 100, 20);
  F.accept(Document).value();
  CHECK(F.read("production").value().Document.Services.size() == 100);
  CHECK(F.Fake.Writes == 3); // two batches of parts and the head
}

//-----------------------------------------------------------------------------
// Seeded schedules with a history checker
//-----------------------------------------------------------------------------

namespace {

struct operation_report {
  std::string Operation;
  outcome Outcome;
};

/// Returns how the writers' reports contradict the heads that were in force, or
/// an empty string.
std::string violation(const std::vector<control::head> &History,
                      const std::vector<operation_report> &Reports) {
  std::map<std::string, unsigned> Times;
  std::uint64_t Version = 0;
  for (const control::head &Head : History) {
    if (Head.version() != ++Version)
      return "versions do not rise by one";
    ++Times[Head.operation_id()];
  }
  for (const auto &[Operation, Count] : Times)
    if (Count > 1)
      return Operation + " took effect twice";
  for (const operation_report &Report : Reports) {
    if (!Report.Outcome)
      return Report.Operation + " got no result";
    const unsigned Count = Times[Report.Operation];
    if (Report.Outcome->has_value() && Count != 1)
      return Report.Operation + " was reported as accepted and is not there";
    if (Report.Outcome->has_error() &&
        !Report.Outcome->error().is(errc::OutcomeUnknown) && Count != 0)
      return Report.Operation + " was reported as refused and took effect";
  }
  return "";
}

/// Writers with a missing mechanism; the checker must detect them.
enum class variant {
  Production,
  AssumesAccepted,
  AssumesRefused,
  RetriesBlindly
};

class faulty_writer : public std::enable_shared_from_this<faulty_writer> {
public:
  faulty_writer(coordination::platform_store &Platform, variant Kind,
                std::string Operation, head_writer::handler Handler)
      : Platform(Platform), Kind(Kind), Operation(std::move(Operation)),
        Handler(std::move(Handler)) {}

  void start() {
    const std::string Key = coordination::keys::head("production");
    Platform.get(Key, false, [Self = shared_from_this(), Key](auto Read) {
      control::head Head;
      std::int64_t Revision = 0;
      if (!Read.value().Entries.empty()) {
        Revision = Read.value().Entries[0].ModRevision;
        Head.ParseFromString(Read.value().Entries[0].Value);
      }
      Head.set_version(Head.version() + 1);
      Head.set_operation_id(Self->Operation);
      Self->Platform.commit(
          {{{Key, Revision}}, {{Key, Head.SerializeAsString()}}, {}},
          [Self, Head](auto Result) { Self->onMove(Head, Result); });
    });
  }

private:
  void onMove(const control::head &Head,
              state::result<coordination::platform_txn_result> Result) {
    const state::failure Refused(errc::Conflict, "");
    if (Result.has_value())
      return Result.value().Succeeded ? Handler(accepted_head{Head, true, 0})
                                      : Handler(Refused);
    if (Result.error().is(errc::Unavailable))
      return Handler(Refused);
    if (Kind == variant::AssumesAccepted)
      Handler(accepted_head{Head, true, 0});
    else if (Kind == variant::AssumesRefused)
      Handler(Refused);
    else
      start();
  }

  coordination::platform_store &Platform;
  variant Kind;
  std::string Operation;
  head_writer::handler Handler;
};

std::string runSchedule(variant Kind, std::uint64_t Seed) {
  fixture F(Seed);
  F.Platform.FaultRate = 0.4;
  std::vector<operation_report> Reports;
  const std::size_t Writers = 2 + state::uniformBelow(F.Random, 2);
  Reports.reserve(Writers * 3);
  std::vector<std::size_t> Current(Writers, ~0ULL);
  for (std::size_t Step = 0; Step < 3000; ++Step) {
    const std::size_t Writer = state::uniformBelow(F.Random, Writers);
    const bool Idle =
        Current[Writer] == ~0ULL || Reports[Current[Writer]].Outcome;
    if (Idle && Reports.size() < Writers * 3) {
      Current[Writer] = Reports.size();
      operation_report &Report = Reports.emplace_back();
      Report.Operation = "op-" + std::to_string(Reports.size());
      const auto Handler = [&Report](auto Result) {
        Report.Outcome = std::move(Result);
      };
      if (Kind == variant::Production)
        F.Writer.accept(
            F.document(100 + static_cast<std::uint32_t>(Reports.size())), "ana",
            Report.Operation, 0, Handler);
      else
        std::make_shared<faulty_writer>(F.Platform, Kind, Report.Operation,
                                        Handler)
            ->start();
      continue;
    }
    switch (state::uniformBelow(F.Random, 4)) {
    case 0:
      F.Timers.advance(100ms);
      break;
    case 1:
      if (state::uniformBelow(F.Random, 5) == 0)
        F.Platform.applyLateCommit();
      break;
    default:
      if (F.Fake.pending() > 0)
        F.Fake.runOne(state::uniformBelow(F.Random, F.Fake.pending()));
    }
  }
  while (F.Platform.hasLateCommits())
    F.Platform.applyLateCommit();
  return violation(F.history(), Reports);
}

} // namespace

TEST_CASE("head writer keeps the order of versions in all schedules") {
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
    CAPTURE(Seed);
    REQUIRE(runSchedule(variant::Production, Seed) == "");
  }
}

TEST_CASE("history checker detects writers that assume an outcome") {
  struct variant_case {
    variant Kind;
    const char *Violation;
  };
  const variant_case Cases[] = {
      {variant::AssumesAccepted, "was reported as accepted and is not there"},
      {variant::AssumesRefused, "was reported as refused and took effect"},
      {variant::RetriesBlindly, "took effect twice"},
  };
  for (const variant_case &Case : Cases) {
    CAPTURE(Case.Violation);
    unsigned Found = 0;
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed)
      Found += contains(runSchedule(Case.Kind, Seed), Case.Violation) ? 1U : 0U;
    CHECK(Found > 0);
  }
}
