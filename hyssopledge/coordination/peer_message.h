/// \file
/// Datagrams between daemons, as MessagePack. A datagram that can't be decoded
/// is a failure and changes nothing.
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
  Beacon =
      1,   // a relay's state; a receiver with another digest asks for records
  Records, // members and rollouts
  Sync,    // asks for all records
  Ping,    // asks for a Pong
  Pong,
  Evidence, // runs at one upstream during a rollout
  Crash,    // a request was running when an upstream crashed
};

struct peer_message {
  peer_message_kind Kind = peer_message_kind::Ping;
  std::string From;           // instance of the sender
  std::string ControlAddress; // of the sender

  //--- Beacon -----------------------------------------------------------------
  std::string DataCentre;
  bool PlatformReached = false; // the sender follows the platform's changes
  std::uint64_t DocumentVersion = 0;
  std::uint64_t Digest = 0; // of its directory
  //--- Records ----------------------------------------------------------------
  std::vector<member_record> Members;
  std::vector<rollout_record> Rollouts;
  std::uint32_t Part = 0;  // number of this datagram
  std::uint32_t Parts = 0; // datagrams with all records; 0: not all are known
  //--- Evidence ---------------------------------------------------------------
  std::string Service;
  std::string Version;
  std::uint64_t OrderRevision = 0;
  route_counts Counts; // since the order was seen
  //--- Crash ------------------------------------------------------------------
  std::vector<state::crash_sighting> Sightings;
};

/// Larger datagrams may be dropped on the way.
constexpr std::size_t MaxDatagramBytes = 1400;

std::string encodePeerMessage(const peer_message &Message);
state::result<peer_message> decodePeerMessage(std::string_view Datagram);

/// Records messages, each within MaxDatagramBytes, with Part and Parts set.
std::vector<peer_message> splitRecords(const peer_message &Message);

std::string encodeMember(const member_record &Record);
state::result<member_record> decodeMember(std::string_view Text);

} // namespace hyssopledge::coordination
