/// \file
/// What a daemon knows from gossip: members, records, and the queue of news
/// that it passes on.
#pragma once

#include "hyssopledge/protocol/generated/control.pb.h"
#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/result.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace hyssopledge::coordination {

/// A datagram above the usual path MTU would be fragmented and lost more often.
constexpr std::size_t MaxPacketBytes = 1400;

struct gossip_limits {
  std::size_t MaxMembers = 4096;
  std::size_t MaxRecords = 8192;
  std::size_t MaxMemberBytes = 4096;      // one member, serialized
  std::size_t MaxRecordBytes = 64 * 1024; // one record, serialized
  std::size_t MaxTotalRecordBytes = 8 * 1024 * 1024;
  state::milliseconds MaxRecordTtl{24 * 3600 * 1000};
  state::milliseconds DepartedRetentionPeriod{
      24 * 3600 * 1000}; // dead and left members are remembered for their
                         // incarnation and applied version
  unsigned RetransmitFactor = 2; // times log2(members), per item of news
};

/// Whether the incarnation, then the revision, then the status is higher.
bool supersedes(const control::member &Left, const control::member &Right);

/// What is remembered of an instance over its restarts.
struct instance_history {
  std::uint64_t Incarnation = 0;    // highest seen
  std::uint64_t AppliedVersion = 0; // highest seen, of any incarnation
};

class gossip_store {
public:
  explicit gossip_store(std::string Self, gossip_limits Limits = {});

  //--- Input ------------------------------------------------------------------
  // A failure (InvalidMessage, TooLarge) changes nothing.

  /// Members and records of one packet or full sync, all or none. Members
  /// that a full sync brings are mostly known to the others and are passed on
  /// only a few times, or a herd that joins would gossip about all of them.
  state::result<std::size_t> merge(
      state::time_point Now,
      const google::protobuf::RepeatedPtrField<control::member> &Members,
      const google::protobuf::RepeatedPtrField<control::gossip_record> &Records,
      bool FullSync = false);
  state::result<bool> mergeRecord(state::time_point Now,
                                  const control::gossip_record &Record);
  /// Replaces the daemon's own member record and queues it.
  void setSelf(state::time_point Now, const control::member &Self);
  /// A local decision on another member: suspect, dead, or alive again.
  void setStatus(state::time_point Now, const std::string &Instance,
                 control::member_status Status);
  void recordAppliedVersion(const std::string &Instance, std::uint64_t Version);
  void expire(state::time_point Now);

  //--- Contents ---------------------------------------------------------------
  struct member_entry {
    control::member Member;
    state::time_point Since{}; // when the status was set here
  };
  struct record_entry {
    control::gossip_record Record;
    state::time_point Expires = state::time_point::max();
  };
  using record_key = std::pair<int, std::string>;

  const control::member *findMember(const std::string &Instance) const;
  const std::map<std::string, member_entry> &members() const { return Members; }
  const control::gossip_record *findRecord(control::record_kind Kind,
                                           const std::string &Key) const;
  const std::map<record_key, record_entry> &records() const { return Records; }
  instance_history instanceHistory(const std::string &Instance) const;
  /// Members that are alive or suspected, this daemon included.
  std::size_t liveCount() const { return Live; }
  /// Highest claim about this daemon itself that contradicts its own record;
  /// empty instance: none. Membership refutes it.
  control::member takeClaim();
  /// What changed since the last call.
  std::vector<std::string> takeChangedMembers();
  std::vector<control::gossip_record> takeChangedRecords();

  //--- Output -----------------------------------------------------------------
  /// Of members and records that should be the same everywhere. Seats and
  /// confirmations are refreshed all the time and left out.
  std::string digest() const;
  /// Adds the least sent news while the packet stays within the size.
  void fillPacket(state::time_point Now, control::gossip_packet &Packet);
  /// Puts the member first in the next packets, for the member itself.
  static bool addMember(control::gossip_packet &Packet,
                        const control::member &Member);
  std::size_t queuedCount() const { return Queue.size(); }
  /// Everything, for sync_request and sync_response.
  void
  exportAll(state::time_point Now,
            google::protobuf::RepeatedPtrField<control::member> *MembersOut,
            google::protobuf::RepeatedPtrField<control::gossip_record>
                *RecordsOut) const;

private:
  using update_key = std::pair<int, std::string>; // kind 0: member
  struct update_state {
    unsigned Sent = 0;
    std::uint64_t Order = 0;
  };

  state::result<bool> checkMember(const control::member &Member) const;
  state::result<bool> checkRecord(const control::gossip_record &Record) const;
  bool applyMember(state::time_point Now, const control::member &Member,
                   unsigned Sent);
  bool applyRecord(state::time_point Now, const control::gossip_record &Record);
  void storeMember(state::time_point Now, control::member Member,
                   unsigned Sent = 0);
  void eraseMember(std::map<std::string, member_entry>::iterator It);
  void eraseRecord(std::map<record_key, record_entry>::iterator It);
  void enqueue(const update_key &Key, unsigned Sent = 0);
  unsigned retransmitLimit() const;
  control::gossip_record withRemainingTtl(state::time_point Now,
                                          const record_entry &Entry) const;

  std::string Self;
  gossip_limits Limits;
  std::map<std::string, member_entry> Members;
  std::map<record_key, record_entry> Records;
  std::map<std::string, instance_history> Histories;
  std::map<update_key, update_state> Updates;
  std::set<std::tuple<unsigned, std::uint64_t, update_key>>
      Queue; // least sent first, then newest
  std::set<std::string> ChangedMembers;
  std::set<record_key> ChangedRecords;
  control::member Claim;
  std::size_t Live = 0;
  std::size_t RecordBytes = 0;
  std::uint64_t Order = 0;
  std::uint64_t DigestSum = 0;
};

} // namespace hyssopledge::coordination
