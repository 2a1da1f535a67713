/// \file
/// Guards that votes condemn a version only with enough distinct hosts, for any
/// order and repetition of their arrival, and that no daemon condemns alone.
#include "hyssopledge/coordination/verdicts.h"
#include "support/rollout_evidence.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;
using namespace hyssopledge::coordination;

namespace {

const vote_subject Subject{"sizing", "v2", 7};

control::vote vote(const std::string &Voter, const vote_subject &On = Subject) {
  control::vote Vote;
  Vote.set_service(On.Service);
  Vote.set_version(On.Version);
  Vote.set_generation(On.Generation);
  Vote.set_voter(Voter);
  return Vote;
}

electorate makeElectorate(
    const std::vector<std::pair<std::string, std::string>> &InstanceAndHost) {
  std::vector<control::member> Members;
  for (const auto &[Instance, Host] : InstanceAndHost) {
    control::member &Member = Members.emplace_back();
    Member.set_instance(Instance);
    Member.set_control_address(Host + ":7001");
  }
  return electorateOf(Members);
}

} // namespace

TEST_CASE("condemnation needs distinct hosts") {
  struct vote_case {
    const char *Name;
    std::vector<std::pair<std::string, std::string>> Members;
    std::vector<std::string> Voters;
    bool Condemned;
  };
  const std::vector<std::pair<std::string, std::string>> Five = {
      {"a", "10.0.0.1"},
      {"b", "10.0.0.2"},
      {"c", "10.0.0.3"},
      {"d", "10.0.0.3"},
      {"e", "10.0.0.4"}};
  const vote_case Cases[] = {
      {"none", Five, {}, false},
      {"one misled", Five, {"a"}, false},
      {"two", Five, {"a", "b"}, false},
      {"three on two hosts", Five, {"a", "c", "d"}, false},
      {"three", Five, {"a", "b", "c"}, true},
      {"voters outside the electorate", Five, {"a", "b", "x", "y"}, false},
      {"both of two", {Five[0], Five[1]}, {"a", "b"}, true},
      {"one of two", {Five[0], Five[1]}, {"a"}, false},
      {"the only one", {Five[0]}, {"a"}, false},
  };
  for (const vote_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    vote_set Votes;
    for (const std::string &Voter : Case.Voters)
      Votes.add(vote(Voter));
    CHECK(Votes.condemned(Subject, makeElectorate(Case.Members)) ==
          Case.Condemned);
    CHECK_FALSE(
        Votes.condemned({"sizing", "v2", 8}, makeElectorate(Case.Members)));
  }
}

TEST_CASE("votes repeated and merged in any order give the same set") {
  CHECK(rc::check("merge", [](const std::vector<std::uint8_t> &Draws) {
    vote_set Expected, Left, Right;
    std::vector<control::gossip_record> Sent;
    for (std::uint8_t Draw : Draws) {
      const control::vote Vote =
          vote("d" + std::to_string(Draw % 7),
               {"s", "v" + std::to_string(Draw / 128), 1});
      Expected.add(Vote);
      Sent.push_back(encodeVote(Vote));
    }
    const auto Order = *rc::gen::container<std::vector<std::size_t>>(
        Sent.size() * 2, rc::gen::inRange<std::size_t>(
                             0, std::max<std::size_t>(1, Sent.size())));
    for (std::size_t Index : Order)
      RC_ASSERT((*rc::gen::arbitrary<bool>() ? Left : Right)
                    .add(Sent[Index])
                    .has_value());
    vote_set Other = Right;
    Other.merge(Left);
    Left.merge(Right);
    Left.merge(Right);
    RC_ASSERT(Left == Other);
    // The next full sync delivers lost votes.
    for (const auto &Record : Expected.records())
      RC_ASSERT(Left.add(Record).has_value());
    RC_ASSERT(Left == Expected);
  }));
}

TEST_CASE("a record that does not match its key is rejected") {
  vote_set Votes;
  control::gossip_record Record = encodeVote(vote("a"));
  Record.set_key("sizing/v2/7/b");
  CHECK(Votes.add(Record).has_error());
  Record.set_payload("\x07broken");
  CHECK(Votes.add(Record).has_error());
  CHECK(Votes.records().empty());
}

TEST_CASE("a daemon votes from its own evidence") {
  struct own_case {
    const char *Name;
    double OldRate, NewRate;
    state::rollout_phase Phase;
    bool PlatformDown;
    bool Vote;
  };
  using state::rollout_phase;
  const own_case Cases[] = {
      {"good", 0.01, 0.01, rollout_phase::Running, false, false},
      {"bad", 0.01, 0.6, rollout_phase::Running, false, true},
      {"both fail", 0.6, 0.6, rollout_phase::Running, false, false},
      {"rolled back already", 0.01, 0.6, rollout_phase::RolledBack, false,
       false},
      // After the rollout only the baseline can be compared with. While the
      // platform is available, the coordinator rechecks over the same period.
      {"after the rollout", 0.01, 0.6, rollout_phase::Watching, false, false},
      {"after the rollout, no platform", 0.01, 0.6, rollout_phase::Watching,
       true, true},
      {"after the rollout, small effect, no platform", 0.01, 0.04,
       rollout_phase::Watching, true, false},
  };
  for (const own_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    state::random_engine Random(3);
    evidence_series Series;
    const std::string Self = evidence_aggregator::aggregateName("d1");
    Series.add(Self, {"v1", "all", "dc1", "dc1"},
               tests::sampleCalls(Random, 400, {Case.OldRate}));
    if (Case.Phase == rollout_phase::Watching) {
      Series.keepBaseline("v1");
      Series.beginStep();
    }
    Series.add(Self, {"v2", "all", "dc1", "dc1"},
               tests::sampleCalls(Random, 100, {Case.NewRate}));
    const state::rollout_directive Directive{"sizing", "v1", "v2",      7,
                                             3,        0.2,  Case.Phase};
    const auto Vote =
        decideVote({"d1", Directive, Series, Case.PlatformDown}, {});
    REQUIRE(Vote.has_value() == Case.Vote);
    if (Vote) {
      CHECK(Vote->voter() == "d1");
      CHECK(Vote->generation() == 7);
      CHECK(Vote->reason().find("error_rate") == 0);
    }
  }
}
