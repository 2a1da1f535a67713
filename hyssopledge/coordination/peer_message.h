/// \file
/// Datagrams between daemons, encoded as MessagePack. A datagram that cannot be
/// decoded is reported as a failure.
#pragma once

#include "hyssopledge/coordination/fast_rollout_policy.h"
#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/state/poison.h"
#include "hyssopledge/state/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopledge::coordination {

enum class peer_message_kind : std::uint8_t {
  Beacon = 1, // state of a relay; a receiver whose digest differs sends Sync
  Records,    // members and rollouts
  Sync,       // requests all records
  Ping,       // requests a Pong
  Pong,
  Evidence,   // runs at one upstream during a rollout
  Crash,      // requests that were running when an upstream crashed
  QuotaAsk,   // asks the owner of a quota slot for tokens, lends or releases
  QuotaGrant, // response to QuotaAsk
  Keep,       // asks to keep the sender's record and to answer with Kept
  Kept,       // the receiver's record is kept
};

/// Asks for requests of one workspace.
struct quota_ask {
  std::string Workspace;
  std::uint32_t Count = 0;
};
struct quota_answer {
  std::uint32_t Granted = 0;
  std::uint32_t RetryAfterMs = 0; // for the others
};

struct peer_message {
  peer_message_kind Kind = peer_message_kind::Ping;
  std::string From;           // instance of the sender
  std::string ControlAddress; // of the sender

  //--- Beacon -----------------------------------------------------------------
  std::string DataCentre;
  bool PlatformReached = false; // the sender watches the platform
  std::uint64_t DocumentVersion = 0;
  std::uint64_t Digest = 0;   // of the sender's directory
  std::uint64_t StoreEra = 0; // latest one that the sender knows
  //--- Kept -------------------------------------------------------------------
  std::uint64_t Revision = 0; // of the record; see also Incarnation
  //--- Records ----------------------------------------------------------------
  std::vector<member_record> Members; // with Keep the sender's own
  std::vector<rollout_record> Rollouts;
  std::vector<evacuation_record> Evacuations;
  std::uint32_t Part = 0;  // index of this datagram
  std::uint32_t Parts = 0; // datagrams of a full sync; 0: not a full sync
  //--- Evidence ---------------------------------------------------------------
  std::string Service;
  std::string Version;
  std::uint64_t OrderRevision = 0;
  std::uint64_t Incarnation = 0; // of the sender; with Kept of the record
  /// Since the order became known to this incarnation of the sender; of some or
  /// all routes.
  route_counts Counts;
  //--- Crash ------------------------------------------------------------------
  std::vector<state::crash_sighting> Sightings;
  //--- QuotaAsk, QuotaGrant ---------------------------------------------------
  std::uint32_t Slot = 0;
  std::uint64_t Sequence = 0; // of the QuotaAsk; increases for each sender
  bool Lends = false;         // the sender lends its shares of the slot
  bool Releases = false;      // the sender takes them back
  std::vector<quota_ask> Asks;
  std::vector<quota_ask> Returns;   // tokens of requests that have not run
  std::vector<quota_answer> Grants; // in the order of the asks
};

/// Larger datagrams may be fragmented and dropped.
constexpr std::size_t MaxDatagramBytes = 1400;

std::string encodePeerMessage(const peer_message &Message);
state::result<peer_message> decodePeerMessage(std::string_view Datagram);

/// Splits the lists of a message over messages of at most MaxDatagramBytes
/// each. A single longer item gets a message of its own.
std::vector<peer_message> splitMessage(const peer_message &Message);
/// Encodes a message as one datagram, or as several if it is too long for one.
std::vector<std::string> encodeDatagrams(const peer_message &Message);
/// Splits the records of a full sync, with Part and Parts set.
std::vector<peer_message> splitRecords(const peer_message &Message);

std::string encodeMember(const member_record &Record);
state::result<member_record> decodeMember(std::string_view Text);

} // namespace hyssopledge::coordination
