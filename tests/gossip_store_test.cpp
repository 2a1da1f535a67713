/// \file
/// Guards the precedence of members and records, the rejection of invalid
/// input, the size of packets and the bound on retransmissions.
#include "hyssopledge/coordination/gossip_store.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;
using namespace std::chrono_literals;
using coordination::gossip_store;

namespace {

const state::time_point Now{1h};

control::member member(const std::string &Instance, std::uint64_t Incarnation,
                       std::uint64_t Revision,
                       control::member_status Status = control::MEMBER_ALIVE) {
  control::member Member;
  Member.set_instance(Instance);
  Member.set_incarnation(Incarnation);
  Member.set_revision(Revision);
  Member.set_status(Status);
  return Member;
}

control::gossip_record record(const std::string &Key, std::uint64_t Revision,
                              std::size_t Size = 8, std::uint32_t TtlMs = 0) {
  control::gossip_record Record;
  Record.set_kind(control::RECORD_VOTE);
  Record.set_key(Key);
  Record.set_revision(Revision);
  Record.set_payload(std::string(Size, 'x'));
  Record.set_remaining_ms(TtlMs);
  return Record;
}

state::result<std::size_t>
merge(gossip_store &Store, const std::vector<control::member> &Members,
      const std::vector<control::gossip_record> &Records = {},
      state::time_point At = Now) {
  return Store.merge(At, {Members.begin(), Members.end()},
                     {Records.begin(), Records.end()});
}

} // namespace

TEST_CASE("a member record is replaced only by a higher one") {
  struct order_case {
    control::member Current, Offered;
    control::member_status Status; // afterwards
    std::uint64_t Revision;
  };
  using enum control::member_status;
  const order_case Cases[] = {
      {member("a", 1, 5), member("a", 2, 1), MEMBER_ALIVE, 1},
      {member("a", 2, 1), member("a", 1, 9), MEMBER_ALIVE, 1},
      {member("a", 1, 5), member("a", 1, 5, MEMBER_SUSPECT), MEMBER_SUSPECT, 5},
      {member("a", 1, 5, MEMBER_SUSPECT), member("a", 1, 5), MEMBER_SUSPECT, 5},
      {member("a", 1, 5, MEMBER_SUSPECT), member("a", 1, 6), MEMBER_ALIVE, 6},
      // A death reported by another daemon only starts a suspicion.
      {member("a", 1, 5), member("a", 1, 5, MEMBER_DEAD), MEMBER_SUSPECT, 5},
      {member("a", 1, 5), member("a", 1, 6, MEMBER_LEFT), MEMBER_LEFT, 6},
      {member("a", 1, 6, MEMBER_LEFT), member("a", 1, 6), MEMBER_LEFT, 6},
      {member("a", 1, 5, MEMBER_DEAD), member("a", 2, 1), MEMBER_ALIVE, 1},
  };
  for (const order_case &Case : Cases) {
    CAPTURE(Case.Offered.ShortDebugString());
    gossip_store Store("self");
    REQUIRE(merge(Store, {Case.Current}));
    REQUIRE(merge(Store, {Case.Offered}));
    CHECK(Store.findMember("a")->status() == Case.Status);
    CHECK(Store.findMember("a")->revision() == Case.Revision);
  }
}

TEST_CASE("bad or oversized input is refused and changes nothing") {
  coordination::gossip_limits Limits;
  Limits.MaxMembers = 2;
  Limits.MaxRecords = 2;
  Limits.MaxTotalRecordBytes = 2000;
  control::member Oversized = member("b", 1, 1);
  Oversized.set_data_centre(std::string(5000, 'x'));
  control::gossip_record Unset = record("k", 1);
  Unset.set_kind(control::RECORD_UNSET);
  struct bad_case {
    const char *Name;
    std::vector<control::member> Members;
    std::vector<control::gossip_record> Records;
    state::errc Code;
  };
  const bad_case Cases[] = {
      {"empty instance", {member("", 1, 1)}, {}, state::errc::InvalidMessage},
      {"incarnation out of range",
       {member("b", std::uint64_t{1} << 63, 1)},
       {},
       state::errc::InvalidMessage},
      {"unknown status",
       {member("b", 1, 1, static_cast<control::member_status>(9))},
       {},
       state::errc::InvalidMessage},
      {"oversized member", {Oversized}, {}, state::errc::TooLarge},
      {"third member",
       {member("b", 1, 1), member("c", 1, 1)},
       {},
       state::errc::TooLarge},
      {"unset kind", {member("b", 1, 1)}, {Unset}, state::errc::InvalidMessage},
      {"empty key", {}, {record("", 1)}, state::errc::InvalidMessage},
      {"oversized record", {}, {record("k", 1, 70000)}, state::errc::TooLarge},
      {"third record",
       {},
       {record("k", 1), record("l", 1)},
       state::errc::TooLarge},
      {"total size of records",
       {},
       {record("k", 1, 1990)},
       state::errc::TooLarge},
  };
  for (const bad_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    gossip_store Store("self", Limits);
    REQUIRE(merge(Store, {member("a", 1, 1)}, {record("j", 1)}));
    const std::string Digest = Store.digest();
    auto Merged = merge(Store, Case.Members, Case.Records);
    REQUIRE_FALSE(Merged);
    CHECK(Merged.error().is(Case.Code));
    CHECK(Store.digest() == Digest);
    CHECK(Store.members().size() == 1);
    CHECK(Store.records().size() == 1);
  }
}

TEST_CASE("records expire and the highest revision wins") {
  gossip_store Store("self");
  REQUIRE(merge(Store, {}, {record("k", 3, 8, 1000), record("l", 1)}));
  CHECK(merge(Store, {}, {record("k", 2)}).value() == 0);
  Store.expire(Now + 999ms);
  CHECK(Store.findRecord(control::RECORD_VOTE, "k") != nullptr);
  Store.expire(Now + 1000ms);
  CHECK(Store.findRecord(control::RECORD_VOTE, "k") == nullptr);
  CHECK(Store.findRecord(control::RECORD_VOTE, "l") != nullptr);
}

TEST_CASE(
    "packets stay within their size and updates are sent a bounded number of "
    "times") {
  gossip_store Store("self");
  std::vector<control::member> Members;
  Members.reserve(100);
  for (int I = 0; I < 100; ++I)
    Members.push_back(member("instance" + std::to_string(I), 1, 1));
  REQUIRE(merge(Store, Members, {record("k", 1, 500), record("big", 1, 3000)}));
  std::size_t Packets = 0;
  for (; Store.queuedCount() > 0 && Packets < 10000; ++Packets) {
    control::gossip_packet Packet;
    Packet.set_environment("production");
    Store.fillPacket(Now, Packet);
    REQUIRE(Packet.ByteSizeLong() <= coordination::MaxPacketBytes);
  }
  // 101 updates of about 20 bytes, 14 times each.
  CHECK(Packets > 14);
  CHECK(Packets < 100);
}

TEST_CASE("stores that exchange everything get equal digests in any order") {
  CHECK(rc::check([] {
    std::vector<control::member> Members;
    std::vector<control::gossip_record> Records;
    for (int I = 0; I < 12; ++I) {
      Members.push_back(
          member("i" + std::to_string(*rc::gen::inRange(0, 4)),
                 *rc::gen::inRange<std::uint64_t>(1, 4),
                 *rc::gen::inRange<std::uint64_t>(1, 4),
                 static_cast<control::member_status>(
                     *rc::gen::inRange(0, 2)))); // alive or suspect
      Records.push_back(record("k" + std::to_string(*rc::gen::inRange(0, 4)),
                               *rc::gen::inRange<std::uint64_t>(1, 5)));
    }
    gossip_store Left("x");
    gossip_store Right("y");
    RC_ASSERT(merge(Left, Members, Records).has_value());
    std::reverse(Members.begin(), Members.end());
    std::reverse(Records.begin(), Records.end());
    for (std::size_t I = 0; I < Members.size(); ++I)
      RC_ASSERT(merge(Right, {Members[I]}, {Records[I]}).has_value());
    RC_ASSERT(Left.digest() == Right.digest());
  }));
}
