#include "hyssopledge/coordination/gossip_store.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstring>
#include <limits>

namespace hyssopledge::coordination {

using state::errc;
using state::failure;
using state::result;
using state::time_point;

namespace {

// Leaves room for a higher counter, to refute the highest accepted record.
constexpr std::uint64_t MaxCounter = std::uint64_t{1} << 62;
constexpr std::size_t MaxKeyBytes = 512;
constexpr unsigned SyncedRetransmits = 3;
constexpr unsigned MaxSkippedUpdates = 8; // per packet

bool isLive(const control::member &Member) {
  return Member.status() == control::MEMBER_ALIVE ||
         Member.status() == control::MEMBER_SUSPECT;
}

// FNV-1a with a final mix. Daemons compare sums of it, so it must not depend on
// the platform's std::hash.
std::uint64_t hashOf(int Kind, const std::string &Name, std::uint64_t First,
                     std::uint64_t Second) {
  std::uint64_t Hash = 0xcbf29ce484222325U ^ static_cast<std::uint64_t>(Kind);
  auto Add = [&Hash](std::uint64_t Byte) {
    Hash = (Hash ^ Byte) * 0x100000001b3U;
  };
  for (const unsigned char Byte : Name)
    Add(Byte);
  for (unsigned Shift = 0; Shift < 64; Shift += 8) {
    Add((First >> Shift) & 0xff);
    Add((Second >> Shift) & 0xff);
  }
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdU;
  return Hash ^ (Hash >> 33);
}

std::uint64_t digestOf(const control::member &Member) {
  return isLive(Member) ? hashOf(0, Member.instance(), Member.incarnation(),
                                 Member.revision())
                        : 0;
}

std::uint64_t digestOf(const control::gossip_record &Record) {
  const bool Refreshed = Record.kind() == control::RECORD_SEAT ||
                         Record.kind() == control::RECORD_CONFIRMATION;
  return Refreshed ? 0
                   : hashOf(Record.kind(), Record.key(), Record.revision(), 0);
}

} // namespace

bool supersedes(const control::member &Left, const control::member &Right) {
  return std::make_tuple(Left.incarnation(), Left.revision(),
                         static_cast<int>(Left.status())) >
         std::make_tuple(Right.incarnation(), Right.revision(),
                         static_cast<int>(Right.status()));
}

gossip_store::gossip_store(std::string Self, gossip_limits Limits)
    : Self(std::move(Self)), Limits(Limits) {}

//-----------------------------------------------------------------------------
// Input
//-----------------------------------------------------------------------------

result<bool> gossip_store::checkMember(const control::member &Member) const {
  if (Member.instance().empty() || Member.instance().size() > MaxKeyBytes)
    return failure(errc::InvalidMessage,
                   "member: instance must have 1 to 512 bytes");
  if (!control::member_status_IsValid(Member.status()))
    return failure(errc::InvalidMessage, "member " + Member.instance() +
                                             ": unknown status " +
                                             std::to_string(Member.status()));
  if (Member.incarnation() > MaxCounter || Member.revision() > MaxCounter)
    return failure(errc::InvalidMessage,
                   "member " + Member.instance() +
                       ": incarnation and revision must be at most 2^62");
  if (Member.ByteSizeLong() > Limits.MaxMemberBytes)
    return failure(errc::TooLarge, "member " + Member.instance() + " has " +
                                       std::to_string(Member.ByteSizeLong()) +
                                       " bytes");
  return true;
}

result<bool>
gossip_store::checkRecord(const control::gossip_record &Record) const {
  if (Record.kind() == control::RECORD_UNSET ||
      !control::record_kind_IsValid(Record.kind()))
    return failure(errc::InvalidMessage,
                   "record: unknown kind " + std::to_string(Record.kind()));
  if (Record.key().empty() || Record.key().size() > MaxKeyBytes)
    return failure(errc::InvalidMessage,
                   "record: key must have 1 to 512 bytes");
  if (Record.ByteSizeLong() > Limits.MaxRecordBytes)
    return failure(errc::TooLarge, "record " + Record.key() + " has " +
                                       std::to_string(Record.ByteSizeLong()) +
                                       " bytes");
  return true;
}

result<std::size_t> gossip_store::merge(
    time_point Now,
    const google::protobuf::RepeatedPtrField<control::member> &NewMembers,
    const google::protobuf::RepeatedPtrField<control::gossip_record>
        &NewRecords,
    bool FullSync) {
  std::set<std::string> AddedMembers;
  std::set<record_key> AddedRecords;
  std::size_t AddedBytes = 0;
  for (const control::member &Member : NewMembers) {
    if (auto Checked = checkMember(Member); !Checked)
      return Checked.error();
    if (!Members.contains(Member.instance()))
      AddedMembers.insert(Member.instance());
  }
  for (const control::gossip_record &Record : NewRecords) {
    if (auto Checked = checkRecord(Record); !Checked)
      return Checked.error();
    const record_key Key(Record.kind(), Record.key());
    if (!Records.contains(Key))
      AddedRecords.insert(Key);
    AddedBytes += Record.ByteSizeLong();
  }
  if (Members.size() + AddedMembers.size() > Limits.MaxMembers)
    return failure(errc::TooLarge, "more than " +
                                       std::to_string(Limits.MaxMembers) +
                                       " members");
  if (Records.size() + AddedRecords.size() > Limits.MaxRecords ||
      (!AddedRecords.empty() &&
       RecordBytes + AddedBytes > Limits.MaxTotalRecordBytes))
    return failure(errc::TooLarge, "records exceed " +
                                       std::to_string(Limits.MaxRecords) +
                                       " or their size limit");
  std::size_t Changed = 0;
  const unsigned Limit = retransmitLimit();
  const unsigned Sent =
      FullSync && Limit > SyncedRetransmits ? Limit - SyncedRetransmits : 0;
  for (const control::member &Member : NewMembers)
    Changed += applyMember(Now, Member, Sent) ? 1 : 0;
  for (const control::gossip_record &Record : NewRecords)
    Changed += applyRecord(Now, Record) ? 1 : 0;
  return Changed;
}

result<bool> gossip_store::mergeRecord(time_point Now,
                                       const control::gossip_record &Record) {
  google::protobuf::RepeatedPtrField<control::gossip_record> One;
  *One.Add() = Record;
  auto Merged = merge(Now, {}, One);
  if (!Merged)
    return Merged.error();
  return Merged.value() > 0;
}

bool gossip_store::applyMember(time_point Now, const control::member &Member,
                               unsigned Sent) {
  instance_history &Known = Histories[Member.instance()];
  Known.Incarnation = std::max(Known.Incarnation, Member.incarnation());
  auto Found = Members.find(Member.instance());
  if (Member.instance() == Self) {
    if (Found != Members.end() && !supersedes(Found->second.Member, Member) &&
        Member.SerializeAsString() !=
            Found->second.Member.SerializeAsString() &&
        (ConflictingSelf.instance().empty() ||
         supersedes(Member, ConflictingSelf)))
      ConflictingSelf = Member;
    return false;
  }
  if (Found == Members.end()) {
    storeMember(Now, Member, Sent);
    return true;
  }
  const control::member &Current = Found->second.Member;
  control::member Next = Member;
  // A member that another daemon reports as dead only becomes suspect here:
  // after a partition heals, both sides report each other's members as dead,
  // and each member needs time to refute it.
  if (Next.status() == control::MEMBER_DEAD && isLive(Current))
    Next.set_status(control::MEMBER_SUSPECT);
  if (!supersedes(Next, Current))
    return false;
  storeMember(Now, std::move(Next), Sent);
  return true;
}

void gossip_store::storeMember(time_point Now, control::member Member,
                               unsigned Sent) {
  const std::string Instance = Member.instance();
  member_entry &Entry = Members[Instance];
  if (!Entry.Member.instance().empty()) {
    DigestSum -= digestOf(Entry.Member);
    Live -= isLive(Entry.Member) ? 1 : 0;
  }
  if (Entry.Member.instance().empty() ||
      Entry.Member.status() != Member.status())
    Entry.Since = Now;
  Entry.Member = std::move(Member);
  DigestSum += digestOf(Entry.Member);
  Live += isLive(Entry.Member) ? 1 : 0;
  instance_history &Known = Histories[Instance];
  Known.Incarnation = std::max(Known.Incarnation, Entry.Member.incarnation());
  ChangedMembers.insert(Instance);
  enqueue({0, Instance}, Sent);
}

void gossip_store::setSelf(time_point Now, const control::member &Member) {
  storeMember(Now, Member);
}

void gossip_store::setStatus(time_point Now, const std::string &Instance,
                             control::member_status Status) {
  auto Found = Members.find(Instance);
  if (Found == Members.end() || Found->second.Member.status() == Status)
    return;
  control::member Member = Found->second.Member;
  Member.set_status(Status);
  storeMember(Now, std::move(Member));
}

bool gossip_store::applyRecord(time_point Now,
                               const control::gossip_record &Record) {
  const record_key Key(Record.kind(), Record.key());
  auto Found = Records.find(Key);
  if (Found != Records.end()) {
    if (Found->second.Record.revision() >= Record.revision())
      return false;
    RecordBytes -= Found->second.Record.ByteSizeLong();
    DigestSum -= digestOf(Found->second.Record);
  }
  record_entry &Entry = Records[Key];
  Entry.Record = Record;
  Entry.ExpiresAt =
      Record.remaining_ms() == 0
          ? time_point::max()
          : Now + std::min(Limits.MaxRecordTtl,
                           state::milliseconds(Record.remaining_ms()));
  RecordBytes += Entry.Record.ByteSizeLong();
  DigestSum += digestOf(Entry.Record);
  ChangedRecords.insert(Key);
  enqueue({Record.kind(), Record.key()});
  return true;
}

void gossip_store::recordAppliedVersion(const std::string &Instance,
                                        std::uint64_t Version) {
  if (Histories.size() >= 2 * Limits.MaxMembers &&
      !Histories.contains(Instance))
    return;
  std::uint64_t &Known = Histories[Instance].AppliedVersion;
  Known = std::max(Known, Version);
}

void gossip_store::eraseMember(
    std::map<std::string, member_entry>::iterator It) {
  DigestSum -= digestOf(It->second.Member);
  Histories.erase(It->first);
  Members.erase(It);
}

void gossip_store::eraseRecord(
    std::map<record_key, record_entry>::iterator It) {
  RecordBytes -= It->second.Record.ByteSizeLong();
  DigestSum -= digestOf(It->second.Record);
  Records.erase(It);
}

void gossip_store::expire(time_point Now) {
  for (auto It = Records.begin(); It != Records.end();) {
    const auto Next = std::next(It);
    if (It->second.ExpiresAt <= Now)
      eraseRecord(It);
    It = Next;
  }
  for (auto It = Members.begin(); It != Members.end();) {
    const auto Next = std::next(It);
    if (!isLive(It->second.Member) && It->first != Self &&
        Now >= It->second.Since + Limits.DepartedRetentionPeriod)
      eraseMember(It);
    It = Next;
  }
}

//-----------------------------------------------------------------------------
// Contents
//-----------------------------------------------------------------------------

const control::member *
gossip_store::findMember(const std::string &Instance) const {
  auto Found = Members.find(Instance);
  return Found == Members.end() ? nullptr : &Found->second.Member;
}

const control::gossip_record *
gossip_store::findRecord(control::record_kind Kind,
                         const std::string &Key) const {
  auto Found = Records.find({Kind, Key});
  return Found == Records.end() ? nullptr : &Found->second.Record;
}

instance_history
gossip_store::instanceHistory(const std::string &Instance) const {
  auto Found = Histories.find(Instance);
  return Found == Histories.end() ? instance_history{} : Found->second;
}

control::member gossip_store::takeConflictingSelf() {
  control::member Taken;
  std::swap(Taken, ConflictingSelf);
  return Taken;
}

std::vector<std::string> gossip_store::takeChangedMembers() {
  std::vector<std::string> Taken(ChangedMembers.begin(), ChangedMembers.end());
  ChangedMembers.clear();
  return Taken;
}

std::vector<control::gossip_record> gossip_store::takeChangedRecords() {
  std::vector<control::gossip_record> Taken;
  for (const record_key &Key : ChangedRecords)
    if (auto Found = Records.find(Key); Found != Records.end())
      Taken.push_back(Found->second.Record);
  ChangedRecords.clear();
  return Taken;
}

//-----------------------------------------------------------------------------
// Output
//-----------------------------------------------------------------------------

std::string gossip_store::digest() const {
  std::string Bytes(sizeof DigestSum, '\0');
  std::memcpy(Bytes.data(), &DigestSum, sizeof DigestSum);
  return Bytes;
}

unsigned gossip_store::retransmitLimit() const {
  return Limits.RetransmitFactor *
         static_cast<unsigned>(std::bit_width(Live + 1));
}

void gossip_store::enqueue(const update_key &Key, unsigned Sent) {
  update_state &Item = Updates[Key];
  Queue.erase(
      {Item.Sent, std::numeric_limits<std::uint64_t>::max() - Item.Order, Key});
  Item = {Sent, ++Order};
  Queue.insert(
      {Sent, std::numeric_limits<std::uint64_t>::max() - Item.Order, Key});
}

control::gossip_record
gossip_store::withRemainingTtl(time_point Now,
                               const record_entry &Entry) const {
  control::gossip_record Record = Entry.Record;
  if (Entry.ExpiresAt != time_point::max()) {
    const auto Remaining =
        std::chrono::duration_cast<state::milliseconds>(Entry.ExpiresAt - Now);
    Record.set_remaining_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, Remaining.count())));
  }
  return Record;
}

bool gossip_store::addMember(control::gossip_packet &Packet,
                             const control::member &Member) {
  // The field's tag and length take up to three bytes each.
  if (Packet.ByteSizeLong() + Member.ByteSizeLong() + 6 > MaxPacketBytes)
    return false;
  *Packet.add_members() = Member;
  return true;
}

void gossip_store::fillPacket(time_point Now, control::gossip_packet &Packet) {
  const unsigned Limit = retransmitLimit();
  std::size_t Bytes = Packet.ByteSizeLong();
  unsigned Skipped = 0;
  std::vector<update_key> Sent;
  std::vector<update_key> Obsolete;
  for (const auto &[Count, Age, Key] : Queue) {
    // Smaller updates may still fit, but a long queue is not searched for them.
    if (Bytes + 64 > MaxPacketBytes || Skipped >= MaxSkippedUpdates)
      break;
    if (Key.first == 0) {
      auto Found = Members.find(Key.second);
      if (Found == Members.end()) {
        Obsolete.push_back(Key);
        continue;
      }
      const std::size_t Size = Found->second.Member.ByteSizeLong() + 6;
      if (Bytes + Size > MaxPacketBytes) {
        ++Skipped;
        continue;
      }
      *Packet.add_members() = Found->second.Member;
      Bytes += Size;
    } else {
      auto Found = Records.find(Key);
      if (Found == Records.end() || Found->second.ExpiresAt <= Now) {
        Obsolete.push_back(Key);
        continue;
      }
      control::gossip_record Record = withRemainingTtl(Now, Found->second);
      const std::size_t Size = Record.ByteSizeLong() + 6;
      // A record that fits into no packet is distributed by full sync only.
      if (Size + 300 > MaxPacketBytes)
        Obsolete.push_back(Key);
      if (Bytes + Size > MaxPacketBytes) {
        ++Skipped;
        continue;
      }
      *Packet.add_records() = std::move(Record);
      Bytes += Size;
    }
    Sent.push_back(Key);
  }
  auto Dequeue = [this](const update_key &Key, const update_state &Item) {
    Queue.erase({Item.Sent,
                 std::numeric_limits<std::uint64_t>::max() - Item.Order, Key});
  };
  for (const update_key &Key : Sent) {
    update_state &Item = Updates[Key];
    Dequeue(Key, Item);
    if (++Item.Sent >= Limit) {
      Updates.erase(Key);
      continue;
    }
    Queue.insert({Item.Sent,
                  std::numeric_limits<std::uint64_t>::max() - Item.Order, Key});
  }
  for (const update_key &Key : Obsolete)
    if (auto Found = Updates.find(Key); Found != Updates.end()) {
      Dequeue(Key, Found->second);
      Updates.erase(Found);
    }
}

void gossip_store::exportAll(
    time_point Now,
    google::protobuf::RepeatedPtrField<control::member> *MembersOut,
    google::protobuf::RepeatedPtrField<control::gossip_record> *RecordsOut)
    const {
  for (const auto &[Instance, Entry] : Members)
    *MembersOut->Add() = Entry.Member;
  for (const auto &[Key, Entry] : Records)
    if (Entry.ExpiresAt > Now)
      *RecordsOut->Add() = withRemainingTtl(Now, Entry);
}

} // namespace hyssopledge::coordination
