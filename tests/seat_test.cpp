/// \file
/// Guards that a seat never has two holders, that a paused holder detects the
/// expiry of its lease, and that the rate of attempts does not grow with the
/// number of candidates.
#include "hyssopledge/coordination/seat.h"
#include "support/fake_platform.h"
#include "support/manual_timer_service.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;
using namespace std::chrono_literals;

namespace {

struct candidate {
  candidate(coordination::platform_store &Platform, const std::string &Name,
            tests::manual_timer_service &Timers, state::random_engine &Random)
      : Seat({.Key = "/seat", .Value = Name}, Random),
        Runner(Platform, Seat, [&Timers] { return Timers.now(); }) {}
  coordination::seat Seat;
  coordination::seat_runner Runner;
};

struct fixture {
  explicit fixture(std::size_t Count, std::uint64_t Seed = 1) : Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      SeatCandidates.push_back(std::make_unique<candidate>(
          Platform, "i" + std::to_string(I), Timers, Random));
      SeatCandidates.back()->Seat.setCandidates(Count);
    }
  }
  void run(state::milliseconds Time, const candidate *Paused = nullptr) {
    for (state::milliseconds T{0}; T < Time; T += 100ms) {
      Timers.advance(100ms);
      for (auto &Candidate : SeatCandidates)
        if (Candidate.get() != Paused)
          Candidate->Runner.onTick(Timers.now());
      Platform.run();
      MaxHolders = std::max(MaxHolders, holders());
    }
  }
  std::size_t holders() const {
    std::size_t Count = 0;
    for (const auto &Candidate : SeatCandidates)
      Count += Candidate->Seat.heldAt(Timers.now()) ? 1 : 0;
    return Count;
  }
  candidate &holder() {
    for (auto &Candidate : SeatCandidates)
      if (Candidate->Seat.heldAt(Timers.now()))
        return *Candidate;
    FAIL("nobody holds the seat");
    return *SeatCandidates.front();
  }

  tests::manual_timer_service Timers;
  tests::fake_platform Platform{[this] { return Timers.now(); }};
  state::random_engine Random;
  std::vector<std::unique_ptr<candidate>> SeatCandidates;
  std::size_t MaxHolders = 0;
};

} // namespace

TEST_CASE("a paused holder detects its expired lease and the next token is "
          "higher") {
  fixture Fixture(3);
  Fixture.run(5s);
  REQUIRE(Fixture.holders() == 1);
  candidate &Old = Fixture.holder();
  const std::int64_t Token = Old.Seat.fencingToken();
  CHECK(Token > 0);
  Fixture.run(40s, &Old);
  CHECK_FALSE(Old.Seat.heldAt(Fixture.Timers.now()));
  CHECK(Fixture.holder().Seat.fencingToken() > Token);
  Fixture.run(20s);
  CHECK(Fixture.MaxHolders == 1);
}

TEST_CASE("a claim whose response was lost is read back, not repeated") {
  fixture Fixture(1);
  Fixture.Platform.LoseResponses = 1;
  Fixture.run(5s);
  CHECK(Fixture.holders() == 1);
  CHECK(Fixture.Platform.Writes == 1);
}

TEST_CASE("an ineligible holder releases the seat at once") {
  fixture Fixture(1);
  Fixture.run(3s);
  Fixture.SeatCandidates[0]->Seat.setEligible(false);
  Fixture.run(1s);
  CHECK(Fixture.Platform.entries().empty());
}

TEST_CASE("platform calls for a vacant seat don't grow with the candidates") {
  std::vector<std::uint64_t> Calls;
  for (std::size_t Count : {10, 100, 700}) {
    fixture Fixture(Count);
    for (int Second = 0; Second < 10; ++Second) {
      Fixture.run(1s);
      // Gossip announces the holder to the others within about two seconds.
      if (Second >= 2 && Fixture.holders() == 1)
        for (auto &Candidate : Fixture.SeatCandidates)
          Candidate->Seat.onHolderSeen(Fixture.Timers.now());
    }
    CHECK(Fixture.holders() == 1);
    Calls.push_back(Fixture.Platform.Calls);
  }
  MESSAGE("calls at 10, 100, 700 candidates: ", Calls[0], " ", Calls[1], " ",
          Calls[2]);
  CHECK(Calls[2] <= 2 * Calls[0] + 10);
}

TEST_CASE("faults never cause more than one holder") {
  CHECK(rc::check([] {
    fixture Fixture(4, *rc::gen::inRange<std::uint64_t>(1, 1U << 30));
    for (int Step = 0; Step < 20; ++Step) {
      const int Fault = *rc::gen::inRange(0, 5);
      Fixture.Platform.Down = Fault == 1;
      Fixture.Platform.LoseResponses = Fault == 2 ? 1 : 0;
      Fixture.Platform.DropCommits = Fault == 3 ? 1 : 0;
      const candidate *Paused =
          Fault == 4 ? Fixture.SeatCandidates[0].get() : nullptr;
      Fixture.run(std::chrono::seconds(*rc::gen::inRange(1, 15)), Paused);
    }
    RC_ASSERT(Fixture.MaxHolders <= 1);
  }));
}
