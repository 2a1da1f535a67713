/// \file
/// Guards that only complete, verified documents come into force, that peers
/// are asked before the platform, and that the part cache stays bounded.
#include "hyssopledge/coordination/distribution.h"
#include "support/control_documents.h"

#include <doctest/doctest.h>
#include <map>

using namespace hyssopledge;
using namespace std::chrono_literals;
using coordination::distribution_action;
using kind = distribution_action::kind;

namespace {

struct fixture {
  explicit fixture(std::uint64_t Floor = 0) { Gate.onPlatformHead(Floor); }

  control::head put(const state::document &Document, std::uint64_t Version) {
    const auto Split = protocol::splitDocument(Document);
    Source[Split.ManifestHash] = Split.Manifest;
    for (const auto &Part : Split.Parts)
      Source[Part.Hash] = Part.Data;
    return tests::makeHead("production", Version, Split.ManifestHash);
  }
  coordination::distribution::parts
  partsFor(const std::vector<std::string> &Hashes) const {
    coordination::distribution::parts Parts;
    for (const std::string &Hash : Hashes)
      if (auto Found = Source.find(Hash); Found != Source.end())
        Parts.emplace_back(Hash, Found->second);
    return Parts;
  }
  /// Executes actions until none is left. Peers and the platform answer from
  /// Source unless they are listed as empty, corrupt or unresponsive.
  void run(std::vector<distribution_action> Actions) {
    while (!Actions.empty()) {
      const distribution_action Action = Actions.front();
      Actions.erase(Actions.begin());
      if (Action.Kind == kind::InForce)
        InForce.push_back(Action.Snapshot);
      if (Action.Kind == kind::Refused)
        Refused.push_back(Action.Failure);
      if (Action.Kind != kind::FetchFromPeer &&
          Action.Kind != kind::FetchFromPlatform)
        continue;
      const std::string From =
          Action.Kind == kind::FetchFromPeer ? Action.Peer : "platform";
      Asked.push_back(From);
      PartsAsked += Action.Hashes.size();
      state::result<coordination::distribution::parts> Parts =
          coordination::distribution::parts{};
      if (Unresponsive.contains(From))
        Parts = state::failure(state::errc::Timeout, "no answer");
      else if (!Empty.contains(From))
        Parts = partsFor(Action.Hashes);
      if (Corrupt.contains(From))
        for (auto &[Hash, Data] : Parts.value())
          Data += "x";
      for (auto &Next : Documents.onFetched(Now, Action.FetchId, Parts))
        Actions.push_back(std::move(Next));
    }
  }
  void head(const control::head &Head, const std::string &Sender) {
    auto Actions = Documents.onHead(Now, Head, Sender);
    REQUIRE(Actions);
    run(std::move(Actions.value()));
  }
  void wait(state::milliseconds Time) {
    for (state::milliseconds T{0}; T < Time; T += 100ms) {
      Now += 100ms;
      run(Documents.onTick(Now));
    }
  }

  state::time_point Now{1h};
  state::random_engine Random{1};
  coordination::version_gate Gate;
  coordination::part_cache Cache;
  coordination::call_budget Budget;
  coordination::distribution Documents{
      {.Environment = "production"},
      Gate,
      Cache,
      Budget,
      Random,
      [](std::size_t) {
        return std::vector<std::string>{"b", "c"};
      }};
  std::map<std::string, std::string> Source;
  std::set<std::string> Empty, Corrupt, Unresponsive;
  std::vector<std::string> Asked;
  std::size_t PartsAsked = 0;
  std::vector<std::shared_ptr<const state::snapshot>> InForce;
  std::vector<state::failure> Refused;
};

} // namespace

TEST_CASE("a document comes from the sender, then other peers, then the "
          "platform") {
  struct source_case {
    const char *Name;
    std::set<std::string> Empty, Corrupt, Unresponsive;
    std::vector<std::string> FirstAsked;
    bool Platform; // required
  };
  const source_case Cases[] = {
      {"sender has it", {}, {}, {}, {"a", "a"}, false},
      {"sender silent", {}, {}, {"a"}, {"a", "b", "b"}, false},
      {"sender corrupt", {}, {"a"}, {}, {"a", "b", "b"}, false},
      {"no peer has it", {"a", "b", "c"}, {}, {}, {"a", "b", "c"}, true},
  };
  for (const source_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    fixture Fixture;
    Fixture.Empty = Case.Empty;
    Fixture.Corrupt = Case.Corrupt;
    Fixture.Unresponsive = Case.Unresponsive;
    Fixture.head(Fixture.put(tests::makeDocument("production", 30), 1), "a");
    REQUIRE(Fixture.Asked.size() >= Case.FirstAsked.size());
    for (std::size_t I = 0; I < Case.FirstAsked.size(); ++I)
      CHECK(Fixture.Asked[I] == Case.FirstAsked[I]);
    CHECK(Fixture.InForce.empty() == Case.Platform);
    Fixture.wait(16s);
    REQUIRE(Fixture.InForce.size() == 1);
    CHECK(Fixture.InForce[0]->Document.Services.size() == 30);
    CHECK(std::count(Fixture.Asked.begin(), Fixture.Asked.end(), "platform") >=
          (Case.Platform ? 2 : 0));
  }
}

TEST_CASE("a change transfers the manifest and the changed part only") {
  fixture Fixture;
  Fixture.head(Fixture.put(tests::makeDocument("production", 110), 1), "a");
  REQUIRE(Fixture.InForce.size() == 1);
  for (std::uint64_t Version = 2; Version < 20; ++Version) {
    Fixture.PartsAsked = 0;
    Fixture.head(
        Fixture.put(tests::makeDocument("production", 110, Version), Version),
        "a");
    CHECK(Fixture.PartsAsked == 2);
    CHECK(Fixture.InForce.size() == Version);
    // Current and previous: 111 parts shared, one changed, two manifests.
    CHECK(Fixture.Cache.size() <= 114);
  }
}

TEST_CASE("a document that does not build is refused whole") {
  struct bad_case {
    const char *Name;
    std::function<void(state::document &)> Change;
  };
  const bad_case Cases[] = {
      {"relative prefix", [](auto &D) { D.Routes[0].PathPrefix = "x"; }},
      {"other environment", [](auto &D) { D.Environment = "trial"; }},
      {"missing version", [](auto &D) { D.Services[0].StableVersion = "v9"; }},
  };
  for (const bad_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    fixture Fixture;
    Fixture.head(Fixture.put(tests::makeDocument("production", 3), 1), "a");
    auto Bad = tests::makeDocument("production", 3, 1);
    Case.Change(Bad);
    Fixture.head(Fixture.put(Bad, 2), "a");
    CHECK(Fixture.Refused.size() == 1);
    CHECK(Fixture.Gate.appliedVersion() == 1);
    CHECK(Fixture.Documents.knownHeadRefused());
    const std::size_t Asked = Fixture.Asked.size();
    Fixture.wait(30s);
    CHECK(Fixture.Asked.size() == Asked); // not fetched again
    Fixture.head(Fixture.put(tests::makeDocument("production", 3, 2), 3), "a");
    CHECK(Fixture.Gate.appliedVersion() == 3);
  }
}

TEST_CASE("heads that are stale, contradictory or below the floor are not "
          "applied") {
  fixture Fixture(5);
  Fixture.head(Fixture.put(tests::makeDocument("production", 3), 4), "a");
  Fixture.wait(10s);
  CHECK(Fixture.InForce.empty());
  const auto Head5 = Fixture.put(tests::makeDocument("production", 3, 1), 5);
  Fixture.head(Head5, "a");
  CHECK(Fixture.Gate.appliedVersion() == 5);
  auto Conflicting = Fixture.put(tests::makeDocument("production", 3, 2), 5);
  CHECK(Fixture.Documents.onHead(Fixture.Now, Conflicting, "a").has_error());
  auto Foreign = Head5;
  Foreign.set_environment("trial");
  CHECK(Fixture.Documents.onHead(Fixture.Now, Foreign, "a").has_error());
  Fixture.head(Fixture.put(tests::makeDocument("production", 3, 3), 4), "a");
  CHECK(Fixture.InForce.size() == 1);
}

TEST_CASE("a part that breaks the size bound refuses the document") {
  fixture Fixture;
  Fixture.head(Fixture.put(tests::makeDocument("production", 3), 1), "a");
  std::string Huge(coordination::part_cache::DefaultMaxBytes + 1, 'x');
  const std::string Hash = protocol::sha256(Huge);
  Fixture.Source[Hash] = std::move(Huge);
  Fixture.head(tests::makeHead("production", 2, Hash), "a");
  CHECK(Fixture.Refused.size() == 1);
  CHECK(Fixture.Gate.appliedVersion() == 1);
  CHECK(Fixture.Cache.size() == 5); // parts of version 1 are still served
}
