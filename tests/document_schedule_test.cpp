/// \file
/// Runs seeded schedules of disruptions around the acknowledgements of
/// documents. Guards that each daemon in touch has a document in force in time
/// and never goes back to an older one.
#include "support/disrupted_fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace hyssopledge;
using std::chrono::milliseconds;
using tests::disrupted_fleet;

namespace {

// The shortest configApplyMs of the users' deployments.
constexpr milliseconds ApplyTime{2000};

/// Seeds of each case; SCHEDULE_SEEDS sets another count for long runs.
std::uint64_t seeds() {
  const char *Count = std::getenv("SCHEDULE_SEEDS");
  return Count != nullptr ? std::stoull(Count) : 60;
}

using strike = std::function<void(disrupted_fleet &)>;

struct disruption {
  const char *Name;
  strike Strike;
};

milliseconds draw(disrupted_fleet &Fleet, unsigned MinMs, unsigned MaxMs) {
  return milliseconds(MinMs +
                      state::uniformBelow(Fleet.Random, MaxMs - MinMs + 1));
}

/// The relays, and Further daemons drawn from the others.
std::vector<std::string> relaysAnd(disrupted_fleet &Fleet,
                                   std::size_t Further) {
  std::vector<std::string> Names = Fleet.relays();
  std::vector<std::string> Others;
  for (const auto &[Name, Node] : Fleet.Nodes)
    if (std::find(Names.begin(), Names.end(), Name) == Names.end())
      Others.push_back(Name);
  for (; Further > 0 && !Others.empty(); --Further) {
    const auto At =
        Others.begin() + static_cast<std::ptrdiff_t>(
                             state::uniformBelow(Fleet.Random, Others.size()));
    Names.push_back(*At);
    Others.erase(At);
  }
  return Names;
}

strike onRelays(std::size_t Further, unsigned MinMs, unsigned MaxMs,
                void (disrupted_fleet::*Disrupt)(const std::string &,
                                                 milliseconds)) {
  return [=](disrupted_fleet &Fleet) {
    const milliseconds Time = draw(Fleet, MinMs, MaxMs);
    for (const std::string &Name : relaysAnd(Fleet, Further))
      (Fleet.*Disrupt)(Name, Time);
  };
}

std::vector<disruption> disruptions() {
  return {
      {"the relays are killed", onRelays(0, 300, 1000, &disrupted_fleet::kill)},
      {"the relays lose power",
       onRelays(0, 3000, 6000, &disrupted_fleet::kill)},
      {"more than half of the daemons lose power",
       onRelays(6, 2000, 5000, &disrupted_fleet::kill)},
      {"the relays freeze", onRelays(0, 1000, 5000, &disrupted_fleet::freeze)},
      {"the relays lose the store",
       onRelays(0, 1000, 6000, &disrupted_fleet::cutFromStore)},
      {"the relays lose the other daemons",
       onRelays(0, 1000, 6000, &disrupted_fleet::cutFromPeers)},
      {"half of the daemons lose the store",
       onRelays(5, 1000, 6000, &disrupted_fleet::cutFromStore)},
      {"all connections go silent",
       [](disrupted_fleet &Fleet) { Fleet.silenceConnections(); }},
      {"all watches end",
       [](disrupted_fleet &Fleet) { Fleet.Platform.breakWatches(); }},
  };
}

/// Three data centres of five daemons with version 1.
void startFifteen(disrupted_fleet &Fleet) {
  Fleet.change(1);
  for (const char *DataCentre : {"a", "b", "c"})
    for (int I = 1; I <= 5; ++I)
      Fleet.start(DataCentre + std::string("-") + std::to_string(I));
  Fleet.run(milliseconds(5000));
}

/// Four rounds of three changes close together, with the Strikes shortly
/// before, at or after the first one. Returns the faults that were found, with
/// the log.
std::string play(std::uint64_t Seed, const std::vector<strike> &Strikes) {
  disrupted_fleet Fleet(Seed);
  startFifteen(Fleet);
  std::uint64_t Version = 1;
  const auto Check = [&] { Fleet.checkVersions(ApplyTime); };
  for (int Round = 0; Round < 4; ++Round) {
    std::multimap<milliseconds, std::function<void()>> Events;
    const milliseconds Acknowledged(1500);
    for (const milliseconds After :
         {milliseconds(0), draw(Fleet, 20, 1000), draw(Fleet, 1000, 4000)})
      Events.emplace(Acknowledged + After, [&] {
        Version += 1 + state::uniformBelow(Fleet.Random, 5);
        Fleet.change(Version);
      });
    for (const strike &Strike : Strikes)
      Events.emplace(draw(Fleet, 0, 2000), [&] { Strike(Fleet); });
    milliseconds Now{0};
    for (const auto &[At, Event] : Events) {
      Fleet.run(At - Now, Check);
      Now = std::max(Now, At);
      Event();
    }
    Fleet.run(milliseconds(10'000) - Now, Check);
  }
  if (Fleet.Faults.empty())
    return {};
  std::string Text = std::to_string(Fleet.Faults.size()) +
                     " faults, first: " + Fleet.Faults.front() + "\n";
  for (const std::string &Line : Fleet.Log)
    Text += Line + "\n";
  return Text;
}

} // namespace

TEST_CASE("a document is in force in time through each disruption") {
  for (const disruption &Case : disruptions())
    for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed) {
      CAPTURE(std::string(Case.Name));
      CAPTURE(Seed);
      CHECK(play(Seed, {Case.Strike}) == "");
    }
}

TEST_CASE("a document is in force in time through overlapping disruptions") {
  const std::vector<disruption> All = disruptions();
  for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed) {
    state::random_engine Random(Seed);
    const disruption &First = All[state::uniformBelow(Random, All.size())];
    const disruption &Second = All[state::uniformBelow(Random, All.size())];
    CAPTURE(std::string(First.Name));
    CAPTURE(std::string(Second.Name));
    CAPTURE(Seed);
    CHECK(play(Seed, {First.Strike, Second.Strike}) == "");
  }
}
