/// \file
/// Guards that a daemon never goes back in (generation, step) for any order of
/// arrival, and that verdicts end with their generation.
#include "hyssopledge/coordination/directive_store.h"

#include <cmath>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;
using namespace hyssopledge::coordination;
using state::rollout_phase;

namespace {

control::rollout_record record(std::uint64_t Generation, std::uint64_t Step,
                               double Share,
                               rollout_phase Phase = rollout_phase::Running) {
  control::rollout_record Record;
  Record.set_service("sizing");
  Record.set_from_version("v1");
  Record.set_to_version("v2");
  Record.set_generation(Generation);
  Record.set_step(Step);
  Record.set_share(Share);
  Record.set_phase(static_cast<std::uint32_t>(Phase));
  return Record;
}

} // namespace

TEST_CASE("reordered, repeated and lost directives never go back") {
  CHECK(rc::check(
      "order",
      [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &Arrivals) {
        directive_store DirectiveStore;
        std::pair<std::uint64_t, std::uint64_t> Highest{0, 0};
        std::uint64_t Revision = 0;
        for (const auto &[G, S] : Arrivals) {
          const std::pair<std::uint64_t, std::uint64_t> Next{G % 4 + 1, S % 6};
          const auto Encoded = encodeDirective(record(
              Next.first, Next.second, 0.1 * static_cast<double>(S % 6)));
          const bool Newer = Next > Highest;
          RC_ASSERT(DirectiveStore.accept(Encoded).value() == Newer);
          // Gossip must order records by revision as the store does.
          RC_ASSERT((Encoded.revision() > Revision) == Newer);
          if (Newer) {
            Highest = Next;
            Revision = Encoded.revision();
          }
          const auto InForce =
              DirectiveStore.directives()->ByService.at("sizing");
          RC_ASSERT((std::pair{InForce.Generation, InForce.Step}) == Highest);
          RC_ASSERT(DirectiveStore.positions()[0].step() == Highest.second);
        }
      }));
}

TEST_CASE("invalid records are rejected and change nothing") {
  directive_store DirectiveStore;
  REQUIRE(DirectiveStore.accept(encodeDirective(record(1, 1, 0.01))).value());
  auto Share = record(1, 2, 1.5);
  auto Number = record(1, 2, std::nan(""));
  auto Phase = record(1, 2, 0.5);
  Phase.set_phase(9);
  for (const auto &Bad : {Share, Number, Phase})
    CHECK(DirectiveStore.accept(encodeDirective(Bad)).has_error());
  auto Key = encodeDirective(record(1, 2, 0.5));
  Key.set_key("families");
  CHECK(DirectiveStore.accept(Key).has_error());
  CHECK(DirectiveStore.directives()->ByService.at("sizing").Step == 1);
}

TEST_CASE("votes, rollback and avoidance apply to their generation") {
  const std::pair<std::string, std::string> Version{"sizing", "v2"};
  electorate Electorate;
  Electorate.HostByInstance = {{"a", "1"}, {"b", "2"}, {"c", "3"}};
  vote_set Votes;
  for (const char *Voter : {"a", "b", "c"}) {
    control::vote Vote;
    Vote.set_service("sizing");
    Vote.set_version("v2");
    Vote.set_generation(5);
    Vote.set_voter(Voter);
    Votes.add(Vote);
  }
  struct verdict_case {
    const char *Name;
    control::rollout_record Record;
    bool WithVotes, Avoid, Condemned, Avoided;
  };
  const verdict_case Cases[] = {
      {"clean", record(5, 1, 0.1), false, false, false, false},
      {"votes", record(5, 1, 0.1), true, false, true, false},
      {"own decision", record(5, 1, 0.1), false, true, false, true},
      {"rolled back", record(5, 2, 0, rollout_phase::RolledBack), false, false,
       true, false},
      {"a later rollout", record(6, 1, 0.1), true, true, false, false},
  };
  for (const verdict_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    directive_store DirectiveStore;
    DirectiveStore.accept(record(5, 0, 0.01));
    if (Case.Avoid)
      DirectiveStore.avoid({"sizing", "v2", 5});
    DirectiveStore.accept(Case.Record);
    const auto Table = DirectiveStore.verdicts(
        Case.WithVotes ? Votes : vote_set(), Electorate);
    CHECK(Table->Condemned.contains(Version) == Case.Condemned);
    CHECK(Table->Avoided.contains(Version) == Case.Avoided);
  }
}
