/// \file
/// State that spreads by gossip: members, records, and the queue of updates to
/// send.
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

/// Datagrams above the usual path MTU are fragmented and lost more often.
constexpr std::size_t MaxPacketBytes = 1400;

struct gossip_limits {
  std::size_t MaxMembers = 4096;
  std::size_t MaxRecords = 8192;
  std::size_t MaxMemberBytes = 4096;      // one member, serialized
  std::size_t MaxRecordBytes = 64 * 1024; // one record, serialized
  std::size_t MaxTotalRecordBytes = 8 * 1024 * 1024;
  state::milliseconds MaxRecordTtl{24 * 3600 * 1000};
  /// Dead and left members are kept this long for their incarnation and applied
  /// version.
  state::milliseconds DepartedRetentionPeriod{24 * 3600 * 1000};
  unsigned RetransmitFactor = 2; // times log2(members), for each update
};

/// Whether Left is newer than Right, by incarnation, then revision, then
/// status.
bool supersedes(const control::member &Left, const control::member &Right);

/// Highest values known of an instance, across its restarts.
struct instance_history {
  std::uint64_t Incarnation = 0;    // highest known
  std::uint64_t AppliedVersion = 0; // highest known, of any incarnation
};

class gossip_store {
public:
  explicit gossip_store(std::string Self, gossip_limits Limits = {});

  //--- Input ------------------------------------------------------------------
  // A failure (InvalidMessage, TooLarge) changes nothing.

  /// Merges the members and records of one packet or full sync, all or none.
  /// Returns the number of changes. Members from a full sync are mostly known
  /// to the others already and are retransmitted only a few times; otherwise
  /// many daemons that join together would gossip about all of them.
  state::result<std::size_t> merge(
      state::time_point Now,
      const google::protobuf::RepeatedPtrField<control::member> &Members,
      const google::protobuf::RepeatedPtrField<control::gossip_record> &Records,
      bool FullSync = false);
  state::result<bool> mergeRecord(state::time_point Now,
                                  const control::gossip_record &Record);
  /// Replaces the daemon's own member record and queues it.
  void setSelf(state::time_point Now, const control::member &Self);
  /// Sets the status of another member by a local decision: suspect, dead or
  /// alive again.
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
    state::time_point ExpiresAt = state::time_point::max();
  };
  using record_key = std::pair<int, std::string>;

  const control::member *findMember(const std::string &Instance) const;
  const std::map<std::string, member_entry> &members() const { return Members; }
  const control::gossip_record *findRecord(control::record_kind Kind,
                                           const std::string &Key) const;
  const std::map<record_key, record_entry> &records() const { return Records; }
  instance_history instanceHistory(const std::string &Instance) const;
  /// Number of members that are alive or suspect, this daemon included.
  std::size_t liveCount() const { return Live; }
  /// Returns and clears the newest record of this daemon, sent by another one,
  /// that is not older than its own and differs from it; the instance is empty
  /// if there is none. The membership refutes it.
  control::member takeConflictingSelf();
  /// Return and clear the changes since the last call.
  std::vector<std::string> takeChangedMembers();
  std::vector<control::gossip_record> takeChangedRecords();

  //--- Output -----------------------------------------------------------------
  /// Digest of the members and records that should be equal on all daemons.
  /// Excludes seats and confirmations, which are refreshed continuously.
  std::string digest() const;
  /// Adds the least-sent updates while the packet stays within its size limit.
  void fillPacket(state::time_point Now, control::gossip_packet &Packet);
  /// Returns false when the member does not fit into the packet.
  static bool addMember(control::gossip_packet &Packet,
                        const control::member &Member);
  std::size_t queuedCount() const { return Queue.size(); }
  /// Exports all members and unexpired records, for sync_request and
  /// sync_response.
  void
  exportAll(state::time_point Now,
            google::protobuf::RepeatedPtrField<control::member> *MembersOut,
            google::protobuf::RepeatedPtrField<control::gossip_record>
                *RecordsOut) const;

private:
  using update_key = std::pair<int, std::string>; // kind 0: member
  struct update_state {
    unsigned Sent = 0;
    std::uint64_t Order = 0; // increases with each enqueue
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
  control::member ConflictingSelf;
  std::size_t Live = 0;
  std::size_t RecordBytes = 0;
  std::uint64_t Order = 0;
  std::uint64_t DigestSum = 0;
};

} // namespace hyssopledge::coordination
