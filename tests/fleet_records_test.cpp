/// \file
/// Guards the merge of member and rollout records, the handling of late,
/// repeated and foreign announcements, the encoding of datagrams, and the
/// decisions of a fast rollout.
#include "hyssopledge/coordination/fast_rollout_policy.h"
#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/coordination/peer_message.h"
#include "hyssopledge/coordination/upstream_registry.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <rapidcheck.h>

using namespace hyssopledge::coordination;
using hyssopledge::state::errc;
using hyssopledge::state::milliseconds;

namespace {

member_record member(const char *Name, std::uint64_t Incarnation,
                     std::uint64_t Revision) {
  member_record Record;
  Record.Instance = Name;
  Record.Incarnation = Incarnation;
  Record.Revision = Revision;
  Record.HopAddress = "10.0.0.1:" + std::to_string(Revision);
  return Record;
}

rollout_record rollout(std::uint64_t Order, std::uint64_t Step,
                       rollout_state State, std::uint32_t ShareBp) {
  return {"pages", "v2", Order, Step, State, ShareBp};
}

announcement announce(const char *Name, std::uint64_t StartUnixMs,
                      std::uint64_t Sequence,
                      upstream_state State = upstream_state::Serving) {
  announcement A;
  A.Name = Name;
  A.Service = "pages";
  A.Address = "10.0.0.1:80";
  A.Version = "v1";
  A.Slots = 12;
  A.State = State;
  A.StartUnixMs = StartUnixMs;
  A.Sequence = Sequence;
  return A;
}

route_counts counts(std::uint64_t Runs, std::uint64_t Failures,
                    std::uint64_t MeanMs) {
  return {{"page", {Runs, Failures, (Runs - Failures) * MeanMs}}};
}

/// Spreads the runs evenly over 50 routes.
route_counts manyRoutes(std::uint64_t Runs) {
  constexpr std::uint64_t Routes = 50;
  route_counts Counts;
  for (std::uint64_t I = 0; I < Routes; ++I)
    Counts["page-" + std::to_string(I)] = {Runs / Routes, 0,
                                           Runs / Routes * 100};
  return Counts;
}

} // namespace

//-----------------------------------------------------------------------------
// Directory
//-----------------------------------------------------------------------------

TEST_CASE("records merged in any order give equal directories") {
  const std::vector<member_record> Members = {
      member("a", 1, 1), member("a", 1, 2), member("a", 2, 1),
      member("b", 1, 5), member("b", 1, 4)};
  const std::vector<rollout_record> Rollouts = {
      rollout(5, 1, rollout_state::Running, 500),
      rollout(5, 2, rollout_state::Running, 800),
      rollout(5, 2, rollout_state::Running, 2000),
      rollout(5, 3, rollout_state::RolledBack, 0),
      rollout(5, 4, rollout_state::Running, 4000),
      rollout(4, 9, rollout_state::Completed, 10'000)};
  fleet_directory First;
  for (const auto &Record : Members)
    First.merge(Record);
  for (const auto &Record : Rollouts)
    First.merge(Record);
  CHECK(First.find("a")->Incarnation == 2);
  CHECK(First.find("b")->Revision == 5);
  // A coordinator that does not know the finished state cannot undo it.
  CHECK(First.rollout("pages")->State == rollout_state::RolledBack);
  std::mt19937 Random(11);
  for (int Round = 0; Round < 100; ++Round) {
    auto ShuffledMembers = Members;
    auto ShuffledRollouts = Rollouts;
    std::shuffle(ShuffledMembers.begin(), ShuffledMembers.end(), Random);
    std::shuffle(ShuffledRollouts.begin(), ShuffledRollouts.end(), Random);
    fleet_directory Other;
    for (const auto &Record : ShuffledMembers)
      Other.merge(Record);
    for (const auto &Record : ShuffledRollouts)
      Other.merge(Record);
    CHECK(Other.digest() == First.digest());
  }
}

// A restarted daemon sends a record of its upstream from before it left.
TEST_CASE("an upstream that has left stays so in a directory") {
  struct merge_case {
    const char *Name;
    std::uint64_t StartUnixMs; // in the later record
    const char *Upstream;
    upstream_state State;
  };
  const merge_case Cases[] = {
      {"the same upstream", 10, "i-1", upstream_state::Gone},
      {"an earlier start", 5, "i-1", upstream_state::Gone},
      {"a later start", 20, "i-1", upstream_state::Serving},
      {"another upstream", 20, "i-2", upstream_state::Serving},
  };
  for (const merge_case &Case : Cases)
    for (const bool Swapped : {false, true}) {
      CAPTURE(std::string(Case.Name));
      CAPTURE(Swapped);
      member_record Left;
      Left.Instance = "a-1";
      Left.Incarnation = 1;
      Left.Revision = 7;
      Left.Upstream.Name = "i-1";
      Left.Upstream.StartUnixMs = 10;
      Left.Upstream.State = upstream_state::Gone;
      member_record Restarted = Left;
      Restarted.Incarnation = 2;
      Restarted.Revision = 1;
      Restarted.Upstream.Name = Case.Upstream;
      Restarted.Upstream.StartUnixMs = Case.StartUnixMs;
      Restarted.Upstream.State = upstream_state::Serving;
      fleet_directory Directory;
      CHECK(Directory.merge(Swapped ? Restarted : Left));
      Directory.merge(Swapped ? Left : Restarted);
      CHECK(Directory.find("a-1")->Upstream.State == Case.State);
      CHECK(Directory.find("a-1")->Incarnation == 2);
      const std::uint64_t Digest = Directory.digest();
      CHECK_FALSE(Directory.merge(Left));
      CHECK_FALSE(Directory.merge(Restarted));
      CHECK(Directory.digest() == Digest);
    }
}

TEST_CASE("the traffic split follows the rollout") {
  struct split_case {
    rollout_state State;
    std::uint32_t ShareBp;
    std::uint32_t Expected;
  };
  for (const split_case &Case :
       {split_case{rollout_state::Running, 800, 800},
        split_case{rollout_state::Completed, 0, 10'000},
        split_case{rollout_state::RolledBack, 800, 0}}) {
    const rollout_record Record = rollout(1, 1, Case.State, Case.ShareBp);
    CHECK(trafficSplit(&Record).ShareBp == Case.Expected);
    CHECK(trafficSplit(&Record).ToVersion == "v2");
  }
  CHECK(trafficSplit(nullptr).ToVersion.empty());
}

//-----------------------------------------------------------------------------
// Announcements
//-----------------------------------------------------------------------------

TEST_CASE("late, repeated and foreign announcements change nothing") {
  struct step {
    announcement Announcement;
    bool Leave;
    registry_update Update;
  };
  struct registry_case {
    const char *Name;
    std::vector<step> Steps;
    const char *Upstream;
    upstream_state State;
  };
  const auto Serving = upstream_state::Serving;
  const auto Draining = upstream_state::Draining;
  const auto Gone = upstream_state::Gone;
  const registry_case Cases[] = {
      {"late heartbeat after a drain",
       {{announce("i-1", 10, 1), false, registry_update::Changed},
        {announce("i-1", 10, 3, Draining), false, registry_update::Changed},
        {announce("i-1", 10, 2), false, registry_update::Outdated},
        {announce("i-1", 10, 4), false, registry_update::Outdated}},
       "i-1",
       Draining},
      {"leave without a drain, then a late heartbeat",
       {{announce("i-1", 10, 1), false, registry_update::Changed},
        {announce("i-1", 0, 0), true, registry_update::Changed},
        {announce("i-1", 10, 2), false, registry_update::Outdated}},
       "i-1",
       Gone},
      {"heartbeat of an earlier upstream at the address",
       {{announce("i-2", 20, 1), false, registry_update::Changed},
        {announce("i-1", 10, 9), false, registry_update::Outdated}},
       "i-2",
       Serving},
      {"a new upstream at the address",
       {{announce("i-1", 10, 5), false, registry_update::Changed},
        {announce("i-2", 20, 1), false, registry_update::Changed}},
       "i-2",
       Serving},
      {"started again under its name",
       {{announce("i-1", 10, 7), false, registry_update::Changed},
        {announce("i-1", 10, 8, Draining), false, registry_update::Changed},
        {announce("i-1", 30, 1), false, registry_update::Changed}},
       "i-1",
       Serving},
      {"started again with an earlier start time, then a drain",
       {{announce("i-1", 30, 4), false, registry_update::Changed},
        {announce("i-1", 10, 1), false, registry_update::Changed},
        {announce("i-1", 30, 5), false, registry_update::Outdated},
        {announce("i-1", 10, 2, Draining), false, registry_update::Changed},
        {announce("i-1", 10, 3), false, registry_update::Outdated}},
       "i-1",
       Draining},
      {"started again with an earlier start time, then a leave",
       {{announce("i-1", 30, 4), false, registry_update::Changed},
        {announce("i-1", 10, 0), true, registry_update::Changed}},
       "i-1",
       Gone},
      {"a late heartbeat was taken for a start",
       {{announce("i-1", 30, 1), false, registry_update::Changed},
        {announce("i-1", 10, 9), false, registry_update::Changed},
        {announce("i-1", 30, 2), false, registry_update::Outdated},
        {announce("i-1", 30, 3), false, registry_update::Outdated},
        {announce("i-1", 30, 4), false, registry_update::Changed}},
       "i-1",
       Serving},
      {"leave of another upstream",
       {{announce("i-2", 20, 1), false, registry_update::Changed},
        {announce("i-1", 0, 0), true, registry_update::None}},
       "i-2",
       Serving},
      {"leave that comes before the first heartbeat",
       {{announce("i-1", 0, 0), true, registry_update::None},
        {announce("i-1", 0, 4), false, registry_update::Outdated}},
       "",
       upstream_state::None},
  };
  for (const registry_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    upstream_registry Registry("pages", "10.0.0.1:80");
    for (const step &Step : Case.Steps) {
      if (Step.Leave)
        CHECK(Registry.leave(Step.Announcement.Name,
                             Step.Announcement.StartUnixMs,
                             100) == Step.Update);
      else
        CHECK(Registry.announce(Step.Announcement).value() == Step.Update);
    }
    CHECK(Registry.record().Name == Case.Upstream);
    CHECK(Registry.record().State == Case.State);
  }
}

TEST_CASE("a leave before the first heartbeat makes late heartbeats outdated") {
  // The daemon has just started and the leave contains no start time of the
  // upstream. The leave arrives at 50; the late heartbeat was sent before it.
  upstream_registry Registry("pages", "10.0.0.1:80");
  CHECK(Registry.leave("i-1", 0, 50) == registry_update::None);
  CHECK(Registry.announce(announce("i-1", 10, 9)).value() ==
        registry_update::Outdated);
  CHECK(Registry.record().State == upstream_state::None);
  // A restart under the same name.
  CHECK(Registry.announce(announce("i-1", 60, 1)).value() ==
        registry_update::Changed);
}

TEST_CASE("a restarted daemon ignores announcements of a drained upstream") {
  upstream_registry Registry("pages", "10.0.0.1:80");
  upstream_record Former;
  Former.Name = "i-1";
  Former.StartUnixMs = 10;
  Former.State = upstream_state::Gone;
  Registry.restore(Former);
  CHECK(Registry.announce(announce("i-1", 10, 9)).value() ==
        registry_update::Outdated);
  CHECK(Registry.record().State == upstream_state::None);
  CHECK(Registry.announce(announce("i-2", 20, 1)).value() ==
        registry_update::Changed);
}

TEST_CASE("a restarted daemon restores its upstream from its peers") {
  struct restore_case {
    const char *Name;
    std::vector<upstream_state> States; // by the peers, of i-1 started at 10
    const char *Service;
    upstream_state State; // restored by the daemon
  };
  const auto Serving = upstream_state::Serving;
  const auto Draining = upstream_state::Draining;
  const restore_case Cases[] = {
      {"serving", {Serving}, "pages", Serving},
      {"one peer has not received the drain",
       {Serving, Draining},
       "pages",
       Draining},
      {"the drain is received first",
       {Draining, Serving},
       "pages",
       upstream_state::None},
      {"of another service", {Serving}, "bookings", upstream_state::None},
      {"none", {upstream_state::None}, "pages", upstream_state::None},
  };
  for (const restore_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    upstream_registry Registry("pages", "10.0.0.1:80");
    for (const upstream_state State : Case.States) {
      upstream_record Former;
      Former.Name = "i-1";
      Former.Service = Case.Service;
      Former.StartUnixMs = 10;
      Former.Sequence = 7;
      Former.State = State;
      Registry.restore(Former);
    }
    CHECK(Registry.record().State == Case.State);
    // Later announcements continue from the restored sequence.
    if (Case.State != upstream_state::None)
      CHECK(Registry.announce(announce("i-1", 10, 6)).value() ==
            registry_update::Outdated);
    CHECK(Registry.announce(announce("i-1", 30, 1)).value() ==
          registry_update::Changed);
  }
}

TEST_CASE("an announcement for another service or address is refused") {
  upstream_registry Registry("pages", "10.0.0.1:80");
  announcement OtherService = announce("i-1", 1, 1);
  OtherService.Service = "bookings";
  announcement OtherAddress = announce("i-1", 1, 1);
  OtherAddress.Address = "10.0.0.9:80";
  for (const announcement &A : {OtherService, OtherAddress}) {
    const auto Result = Registry.announce(A);
    REQUIRE(Result.has_error());
    CHECK(Result.error().is(errc::InvalidMessage));
    CHECK(Registry.record().Name.empty());
  }
}

//-----------------------------------------------------------------------------
// Datagrams
//-----------------------------------------------------------------------------

TEST_CASE("datagrams decode to the encoded records") {
  peer_message Message;
  Message.Kind = peer_message_kind::Records;
  Message.From = "a-1";
  Message.ControlAddress = "10.0.0.1:7620";
  for (int I = 0; I < 23; ++I) {
    member_record Record =
        member(("member-" + std::to_string(I)).c_str(), 3, std::uint64_t(I));
    Record.Upstream.Name = "i-7f3a91c2";
    Record.Upstream.State = upstream_state::Draining;
    Message.Members.push_back(Record);
  }
  Message.Rollouts.push_back(rollout(4, 2, rollout_state::Completed, 10'000));
  fleet_directory Sent;
  fleet_directory Received;
  for (const auto &Record : Message.Members)
    Sent.merge(Record);
  for (const auto &Record : Message.Rollouts)
    Sent.merge(Record);
  for (const peer_message &Part : splitRecords(Message)) {
    const std::string Datagram = encodePeerMessage(Part);
    CHECK(Datagram.size() <= MaxDatagramBytes);
    const auto Read = decodePeerMessage(Datagram);
    REQUIRE(Read.has_value());
    CHECK(Read.value().From == "a-1");
    for (const auto &Record : Read.value().Members)
      Received.merge(Record);
    for (const auto &Record : Read.value().Rollouts)
      Received.merge(Record);
  }
  CHECK(Received.digest() == Sent.digest());
  CHECK(Received.find("member-3")->Upstream.State == upstream_state::Draining);
}

// A datagram that is longer than the receiver's buffer is lost.
TEST_CASE("a message of any length is sent in datagrams that arrive whole") {
  const std::string LongName(90, 'n');
  peer_message Records;
  Records.Kind = peer_message_kind::Records;
  peer_message Evidence;
  Evidence.Kind = peer_message_kind::Evidence;
  Evidence.Service = LongName;
  Evidence.OrderRevision = 7;
  Evidence.Incarnation = 1'800'000'000'000;
  peer_message Crash;
  Crash.Kind = peer_message_kind::Crash;
  for (int I = 0; I < 400; ++I) {
    member_record Member = member((LongName + std::to_string(I)).c_str(),
                                  1'800'000'000'000, std::uint64_t(I));
    Member.HopAddress = Member.ControlAddress = "10.200.100.100:65535";
    Member.Upstream.Name = Member.Upstream.Service = LongName;
    Member.Upstream.RequestLimit = 12.5;
    Records.Members.push_back(Member);
    rollout_record Rollout = rollout(4, 2, rollout_state::Running, 500);
    Rollout.Service = LongName + std::to_string(I);
    Records.Rollouts.push_back(Rollout);
    Evidence.Counts[LongName + std::to_string(I)] = {
        100'000, 100'000, 100'000'000, 100'000, 100'000'000};
    Crash.Sightings.push_back(
        {~std::uint64_t(I), LongName, 1'800'000'000'000, 400});
  }
  for (peer_message *Message : {&Records, &Evidence, &Crash}) {
    Message->From = LongName;
    Message->ControlAddress = "10.200.100.100:65535";
    peer_message Received;
    for (const peer_message &Part : splitMessage(*Message)) {
      const std::string Datagram = encodePeerMessage(Part);
      CHECK(Datagram.size() <= MaxDatagramBytes);
      const auto Read = decodePeerMessage(Datagram);
      REQUIRE(Read.has_value());
      const peer_message &Decoded = Read.value();
      CHECK(Decoded.From == LongName);
      CHECK(Decoded.OrderRevision == Message->OrderRevision);
      CHECK(Decoded.Incarnation == Message->Incarnation);
      Received.Members.insert(Received.Members.end(), Decoded.Members.begin(),
                              Decoded.Members.end());
      Received.Rollouts.insert(Received.Rollouts.end(),
                               Decoded.Rollouts.begin(),
                               Decoded.Rollouts.end());
      Received.Counts.insert(Decoded.Counts.begin(), Decoded.Counts.end());
      Received.Sightings.insert(Received.Sightings.end(),
                                Decoded.Sightings.begin(),
                                Decoded.Sightings.end());
    }
    CHECK(Received.Members.size() == Message->Members.size());
    CHECK(Received.Rollouts.size() == Message->Rollouts.size());
    CHECK(Received.Counts.size() == Message->Counts.size());
    CHECK(Received.Sightings.size() == Message->Sightings.size());
  }
  // A short message, and one without records, is one datagram.
  Crash.Sightings.resize(1);
  CHECK(splitMessage(Crash).size() == 1);
  CHECK(splitMessage(peer_message{}).size() == 1);
}

TEST_CASE("the evidence of a rollout decodes to the encoded counts") {
  peer_message Message;
  Message.Kind = peer_message_kind::Evidence;
  Message.From = "a-1";
  Message.OrderRevision = 7;
  Message.Incarnation = 3;
  Message.Counts = {{"page", {10, 2, 400, 0, 0}}, {"book", {0, 0, 0, 5, 2000}}};
  const auto Read = decodePeerMessage(encodePeerMessage(Message));
  REQUIRE(Read.has_value());
  CHECK(Read.value().OrderRevision == 7);
  CHECK(Read.value().Incarnation == 3);
  REQUIRE(Read.value().Counts.size() == 2);
  for (const auto &[Route, Count] : Message.Counts) {
    const run_counts &Decoded = Read.value().Counts.at(Route);
    CHECK(Decoded.Runs == Count.Runs);
    CHECK(Decoded.Failures == Count.Failures);
    CHECK(Decoded.TotalMs == Count.TotalMs);
    CHECK(Decoded.Unfinished == Count.Unfinished);
    CHECK(Decoded.UnfinishedMs == Count.UnfinishedMs);
  }
}

TEST_CASE("the optional fields of a record are encoded, and may be absent") {
  for (const std::optional<double> Limit :
       {std::optional<double>(), std::optional<double>(12.5),
        std::optional<double>(0)})
    for (const double LinkMbps : {0.0, 10.0, 0.5}) {
      member_record Record = member("a-1", 3, 4);
      Record.Upstream.RequestLimit = Limit;
      Record.LinkMbps = LinkMbps;
      for (const std::vector<std::uint64_t> &Poison :
           {std::vector<std::uint64_t>{},
            std::vector<std::uint64_t>{7, ~std::uint64_t(0)}}) {
        Record.PoisonFingerprints = Poison;
        const auto Read = decodeMember(encodeMember(Record));
        REQUIRE(Read.has_value());
        CHECK(Read.value().Upstream.RequestLimit == Limit);
        CHECK(Read.value().LinkMbps == LinkMbps);
        CHECK(Read.value().PoisonFingerprints == Poison);
      }
    }
}

TEST_CASE("damaged datagrams fail to decode without a crash") {
  peer_message Message;
  Message.Kind = peer_message_kind::Evidence;
  Message.From = "a-1";
  Message.Counts = counts(10, 2, 40);
  const std::string Encoded = encodePeerMessage(Message);
  CHECK(rc::check("truncated and changed bytes", [&] {
    std::string Damaged = Encoded;
    const auto Length = *rc::gen::inRange<std::size_t>(0, Encoded.size() + 1);
    Damaged.resize(Length);
    if (!Damaged.empty()) {
      const auto At = *rc::gen::inRange<std::size_t>(0, Damaged.size());
      Damaged[At] = *rc::gen::arbitrary<char>();
    }
    (void)decodePeerMessage(Damaged);
    (void)decodeMember(Damaged);
  }));
  CHECK(decodePeerMessage("").has_error());
  CHECK(decodePeerMessage("\x93\x63\xa1\x61\xa1\x62").has_error());
}

TEST_CASE("deeply nested datagrams fail to decode without a crash") {
  constexpr std::size_t MaxUdpBytes = 65'507;
  for (const char *Unit : {"\x91", "\x81\xa1\x61", "\xdc\xff\xff"}) {
    std::string Nested;
    while (Nested.size() + 3 <= MaxUdpBytes)
      Nested += Unit;
    CHECK(decodePeerMessage(Nested).has_error());
    CHECK(decodeMember(Nested).has_error());
  }
}

//-----------------------------------------------------------------------------
// Rollouts
//-----------------------------------------------------------------------------

TEST_CASE("the share follows the evidence") {
  struct share_case {
    const char *Name;
    int ElapsedMs;
    int SinceStepMs;
    std::uint32_t ShareBp;
    std::uint32_t NewSlots;
    bool Cold;
    route_counts New;
    route_counts Old;
    rollout_state State;
    std::uint32_t MinShareBp;
    std::uint32_t MaxShareBp;
  };
  const auto Running = rollout_state::Running;
  const share_case Cases[] = {
      {"just ordered", 100, 100, 0, 24, true, {}, {}, Running, 1, 1000},
      {"no upstream yet", 100, 100, 0, 0, false, {}, {}, Running, 0, 0},
      {"unproven half way", 8000, 3000, 800, 24, false, counts(5, 0, 100),
       counts(500, 2, 100), Running, 1, 1000},
      {"proven at a third", 5500, 3000, 800, 24, false, counts(100, 0, 100),
       counts(500, 2, 100), Running, 2000, 2000},
      {"suspect at a third", 5500, 3000, 800, 24, false, counts(41, 3, 100),
       counts(500, 2, 100), Running, 800, 800},
      {"whole share", 11'000, 1000, 6500, 24, false, counts(300, 1, 100),
       counts(900, 2, 100), Running, 10'000, 10'000},
      {"done", 13'500, 2500, 10'000, 24, false, counts(900, 2, 100),
       counts(900, 2, 100), rollout_state::Completed, 10'000, 10'000},
      {"not done before the whole share has lasted", 13'500, 300, 10'000, 24,
       false, counts(900, 2, 100), counts(900, 2, 100), Running, 10'000,
       10'000},
      {"half of the answers fail", 3000, 2000, 500, 24, false,
       counts(10, 5, 100), counts(200, 1, 100), rollout_state::RolledBack, 0,
       0},
      {"eight times as slow", 3000, 2000, 500, 24, false, counts(12, 0, 800),
       counts(200, 1, 100), rollout_state::RolledBack, 0, 0},
      {"slow while it is cold", 3000, 2000, 500, 24, true, counts(12, 0, 220),
       counts(200, 1, 100), Running, 1, 1000},
      {"two and a quarter times as slow, few runs", 3000, 2000, 500, 24, false,
       counts(12, 0, 225), counts(200, 1, 100), Running, 1, 1000},
      {"two and a quarter times as slow, many runs", 5500, 700, 2000, 24, false,
       counts(40, 0, 225), counts(500, 2, 100), rollout_state::RolledBack, 0,
       0},
      {"upstreams of other speeds", 5500, 700, 2000, 24, false,
       counts(40, 0, 180), counts(500, 2, 100), Running, 2000, 2000},
      {"a short route takes two milliseconds longer", 3000, 2000, 500, 24,
       false, counts(63, 0, 2), counts(200, 0, 0), Running, 1, 1000},
      {"both versions fail alike", 3000, 2000, 500, 24, false,
       counts(40, 8, 100), counts(400, 80, 100), Running, 1, 1000},
      {"a few failures", 3000, 2000, 500, 24, false, counts(40, 2, 100),
       counts(400, 4, 100), Running, 1, 1000},
      {"bad at the whole share", 12'000, 500, 10'000, 24, false,
       counts(400, 90, 100), counts(900, 2, 100), rollout_state::RolledBack, 0,
       0},
  };
  for (const share_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    const fast_rollout_input Input{milliseconds(Case.ElapsedMs),
                                   milliseconds(16'000),
                                   milliseconds(Case.SinceStepMs),
                                   Case.ShareBp,
                                   Case.NewSlots,
                                   24,
                                   Case.Cold,
                                   Case.New,
                                   Case.New,
                                   Case.Old};
    const fast_rollout_decision Decision = decideShare(Input);
    CHECK(Decision.State == Case.State);
    CHECK(Decision.ShareBp >= Case.MinShareBp);
    CHECK(Decision.ShareBp <= Case.MaxShareBp);
  }
}

// An upstream may serve few requests, for example within a limit of its own,
// and evidence may be lost or late.
TEST_CASE("a step needs evidence of its own") {
  struct evidence_case {
    const char *Name;
    int ElapsedMs;
    std::uint32_t ShareBp;
    route_counts New;
    route_counts NewInStep;
    bool EvidenceCurrent;
    bool PlatformReached;
    rollout_state State;
    std::uint32_t MaxShareBp;
    route_counts Old = counts(500, 2, 100);
  };
  const auto Running = rollout_state::Running;
  const evidence_case Cases[] = {
      {"enough runs at the whole share", 13'500, 10'000, counts(300, 0, 100),
       counts(100, 0, 100), true, true, rollout_state::Completed, 10'000},
      {"one run at the whole share", 13'500, 10'000, counts(28, 0, 100),
       counts(1, 0, 100), true, true, Running, 500},
      {"late evidence at the whole share", 13'500, 10'000, counts(300, 0, 100),
       counts(100, 0, 100), false, true, Running, 10'000},
      {"no platform at the whole share", 13'500, 10'000, counts(300, 0, 100),
       counts(100, 0, 100), true, false, Running, 10'000},
      {"enough runs at a fifth", 6500, 2000, counts(60, 0, 100),
       counts(30, 0, 100), true, true, Running, 5000},
      {"starved at the whole share", 9500, 10'000, counts(28, 0, 100),
       counts(1, 0, 100), true, true, Running, 500},
      {"only calls that cost nothing at the whole share",
       13'500,
       10'000,
       counts(28, 0, 100),
       {{"probe", {40, 0, 0}}},
       true,
       true,
       Running,
       500},
      {"no run at a fifth",
       6500,
       2000,
       counts(30, 0, 100),
       {},
       true,
       true,
       Running,
       2000},
      {"many routes, no run at the whole share",
       13'500,
       10'000,
       manyRoutes(300),
       {},
       true,
       true,
       Running,
       500,
       manyRoutes(500)},
      {"many routes, enough runs at the whole share", 13'500, 10'000,
       manyRoutes(900), manyRoutes(300), true, true, rollout_state::Completed,
       10'000, manyRoutes(500)},
      {"late evidence at a fifth", 6500, 2000, counts(60, 0, 100),
       counts(30, 0, 100), false, true, Running, 2000},
      {"no platform, bad", 6500, 2000, counts(60, 30, 100), counts(30, 30, 100),
       true, false, rollout_state::RolledBack, 0},
  };
  for (const evidence_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    fast_rollout_input Input{milliseconds(Case.ElapsedMs),
                             milliseconds(16'000),
                             milliseconds(3000),
                             Case.ShareBp,
                             24,
                             24,
                             false,
                             Case.New,
                             Case.NewInStep,
                             Case.Old};
    Input.EvidenceCurrent = Case.EvidenceCurrent;
    Input.PlatformReached = Case.PlatformReached;
    const fast_rollout_decision Decision = decideShare(Input);
    CHECK(Decision.State == Case.State);
    CHECK(Decision.ShareBp <= Case.MaxShareBp);
  }
  // A service without calls completes without evidence.
  const route_counts None;
  CHECK(
      decideShare({milliseconds(13'500), milliseconds(16'000),
                   milliseconds(3000), 10'000, 24, 24, false, None, None, None})
          .State == rollout_state::Completed);
}

TEST_CASE("a bad version keeps within its part of the requests") {
  // 200 requests per second for 16 s. The version fails half of them from the
  // given time on; evidence reaches the coordinator after 300 ms.
  struct bad_case {
    const char *Name;
    int BadFromMs;
    std::uint32_t BadFromBp; // and from this share on
    int BadOneOf;            // one in this many requests fails
  };
  for (const bad_case &Case :
       {bad_case{"at once", 0, 0, 2}, bad_case{"after 3.4 s", 3400, 0, 2},
        bad_case{"under load", 0, 4000, 2},
        bad_case{"under load, partly", 0, 4000, 8}}) {
    CAPTURE(std::string(Case.Name));
    constexpr int PerSecond = 200;
    constexpr int DurationMs = 16'000;
    std::uint32_t ShareBp = 0;
    std::vector<std::pair<int, bool>> NewRuns; // time, failed
    std::vector<int> OldRuns;
    int LastStepMs = 0;
    int RolledBackAtMs = -1;
    double Credit = 0;
    std::uint32_t StepBp = 0;
    run_counts AtStep;
    for (int Ms = 0; Ms < DurationMs && RolledBackAtMs < 0; Ms += 5) {
      Credit += ShareBp / 10'000.0;
      if (Credit >= 1) {
        Credit -= 1;
        const bool Bad = Ms >= Case.BadFromMs && ShareBp >= Case.BadFromBp;
        NewRuns.emplace_back(Ms, Bad && NewRuns.size() % Case.BadOneOf == 0);
      } else {
        OldRuns.push_back(Ms);
      }
      if (Ms % 100 != 0)
        continue;
      run_counts New;
      for (const auto &[At, Failed] : NewRuns)
        if (At + 300 <= Ms) {
          ++New.Runs;
          New.Failures += Failed ? 1 : 0;
        }
      New.TotalMs = (New.Runs - New.Failures) * 100;
      run_counts Old;
      for (const int At : OldRuns)
        Old.Runs += At + 300 <= Ms ? 1 : 0;
      Old.TotalMs = Old.Runs * 100;
      const route_counts NewCounts{{"page", New}};
      const route_counts OldCounts{{"page", Old}};
      if (ShareBp != StepBp) {
        StepBp = ShareBp;
        AtStep = New;
      }
      const route_counts InStep{
          {"page",
           {New.Runs - AtStep.Runs, New.Failures - AtStep.Failures,
            New.TotalMs - AtStep.TotalMs}}};
      const fast_rollout_input Input{milliseconds(Ms),
                                     milliseconds(DurationMs),
                                     milliseconds(Ms - LastStepMs),
                                     ShareBp,
                                     24,
                                     24,
                                     false,
                                     NewCounts,
                                     InStep,
                                     OldCounts};
      const fast_rollout_decision Decision = decideShare(Input);
      if (Decision.ShareBp != ShareBp)
        LastStepMs = Ms;
      ShareBp = Decision.ShareBp;
      if (Decision.State == rollout_state::RolledBack)
        RolledBackAtMs = Ms;
      CHECK(Decision.State != rollout_state::Completed);
    }
    CHECK(RolledBackAtMs >= 0);
    CHECK(NewRuns.size() <= PerSecond * DurationMs / 1000 / 10 + 50);
  }
}

// A service may have hundreds of routes with a few runs each.
TEST_CASE("the run times of many small routes are compared together") {
  struct routes_case {
    const char *Name;
    int Routes;
    std::uint64_t NewRuns; // on each route
    std::uint64_t NewMs;
    std::uint64_t OldRuns;
    std::uint64_t OldMs;
    std::uint64_t OtherRuns; // of the old version on another, shorter route
    bool Bad;
  };
  for (const routes_case &Case :
       {routes_case{"three times as slow", 40, 3, 300, 20, 100, 0, true},
        routes_case{"as fast", 40, 3, 110, 20, 100, 0, false},
        routes_case{"as fast, on the longer routes", 40, 3, 300, 20, 300, 9000,
                    false},
        routes_case{"too few old runs to compare", 40, 3, 300, 2, 100, 0,
                    false},
        routes_case{"too few runs", 5, 3, 300, 20, 100, 0, false}}) {
    CAPTURE(std::string(Case.Name));
    route_counts New;
    route_counts Old;
    for (int Route = 0; Route < Case.Routes; ++Route) {
      const std::string Name = "r" + std::to_string(Route);
      New[Name] = {Case.NewRuns, 0, Case.NewRuns * Case.NewMs};
      Old[Name] = {Case.OldRuns, 0, Case.OldRuns * Case.OldMs};
    }
    if (Case.OtherRuns > 0)
      Old["other"] = {Case.OtherRuns, 0, Case.OtherRuns};
    CHECK(versionFault(New, Old, false).empty() == !Case.Bad);
  }
}

// Guards against rating a version by its finished runs alone: the slow runs of
// a bad version end at the deadlines of their callers.
TEST_CASE(
    "a version whose slow runs are cut at their deadline is rolled back") {
  struct cut_case {
    const char *Name;
    double SlowShare; // of the new version's runs
    double SlowFactor;
    double MinAllowedMs; // time until the deadline when a run starts
    double MaxAllowedMs;
    double MinAllowedAtFullShareMs;
    rollout_state Expected;
  };
  const auto Bad = rollout_state::RolledBack;
  const auto Good = rollout_state::Completed;
  for (const cut_case &Case :
       {cut_case{"half of the runs eight times as slow", 0.5, 8, 250, 500, 250,
                 Bad},
        cut_case{"all runs eight times as slow", 1, 8, 250, 500, 250, Bad},
        cut_case{"slow beside overload", 0.5, 8, 100, 300, 100, Bad},
        cut_case{"good", 0, 1, 250, 500, 250, Good},
        cut_case{"good beside overload", 0, 1, 70, 300, 70, Good},
        cut_case{"good, overload at the full share", 0, 1, 250, 500, 70,
                 Good}}) {
    CAPTURE(std::string(Case.Name));
    constexpr int PerSecond = 300;
    constexpr int DurationMs = 15'000;
    constexpr int EvidenceDelayMs = 300;
    struct run {
      int EndMs;
      double Ms;
      bool Cut;
    };
    std::mt19937 Random(20);
    std::lognormal_distribution<double> Work(3.9, 0.6); // mean 59 ms
    std::uniform_real_distribution<double> Unit(0, 1);
    std::array<std::vector<run>, 2> Runs; // of the old and the new version
    std::uint32_t ShareBp = 0;
    int LastStepMs = 0;
    std::uint32_t StepBp = 0;
    run_counts AtStep;
    rollout_state State = rollout_state::Running;
    double Credit = 0;
    std::size_t Arrivals = 0;
    for (int Ms = 0; Ms < DurationMs && State == rollout_state::Running; ++Ms) {
      Credit += PerSecond / 1000.0;
      for (; Credit >= 1; Credit -= 1) {
        ++Arrivals;
        const bool New = Unit(Random) * 10'000 < ShareBp;
        const double MinAllowedMs = ShareBp == 10'000
                                        ? Case.MinAllowedAtFullShareMs
                                        : Case.MinAllowedMs;
        const double AllowedMs =
            MinAllowedMs + Unit(Random) * (Case.MaxAllowedMs - MinAllowedMs);
        double NeededMs = Work(Random);
        if (New && Unit(Random) < Case.SlowShare)
          NeededMs *= Case.SlowFactor;
        run Run{0, std::min(NeededMs, AllowedMs), NeededMs > AllowedMs};
        Run.EndMs = Ms + static_cast<int>(Run.Ms);
        Runs[New ? 1 : 0].push_back(Run);
      }
      if (Ms % 100 != 0)
        continue;
      std::array<route_counts, 2> Seen;
      for (const bool New : {false, true}) {
        run_counts &Count = Seen[New ? 1 : 0]["page"];
        for (const run &Run : Runs[New ? 1 : 0]) {
          if (Run.EndMs + EvidenceDelayMs > Ms)
            continue;
          const double UsualMs = Count.Runs == 0
                                     ? 0
                                     : static_cast<double>(Count.TotalMs) /
                                           static_cast<double>(Count.Runs);
          if (!Run.Cut) {
            ++Count.Runs;
            Count.TotalMs += static_cast<std::uint64_t>(Run.Ms);
          } else if (Run.Ms > UsualMs) {
            ++Count.Unfinished;
            Count.UnfinishedMs += static_cast<std::uint64_t>(Run.Ms);
          }
        }
      }
      const run_counts &New = Seen[1]["page"];
      if (ShareBp != StepBp) {
        StepBp = ShareBp;
        AtStep = New;
      }
      const route_counts InStep{
          {"page",
           {New.Runs - AtStep.Runs, New.Failures - AtStep.Failures,
            New.TotalMs - AtStep.TotalMs, New.Unfinished - AtStep.Unfinished,
            New.UnfinishedMs - AtStep.UnfinishedMs}}};
      const fast_rollout_decision Decision =
          decideShare({milliseconds(Ms), milliseconds(DurationMs),
                       milliseconds(Ms - LastStepMs), ShareBp, 36, 36, false,
                       Seen[1], InStep, Seen[0]});
      if (Decision.ShareBp != ShareBp)
        LastStepMs = Ms;
      ShareBp = Decision.ShareBp;
      State = Decision.State;
    }
    CHECK(State == Case.Expected);
    if (Case.Expected == Bad)
      CHECK(Runs[1].size() <= Arrivals / 10 + 50);
  }
}
