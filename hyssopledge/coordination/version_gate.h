/// \file
/// Decides which configuration versions a daemon may apply.
#pragma once

#include "hyssopledge/state/result.h"
#include "hyssopledge/state/snapshot.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hyssopledge::coordination {

/// Prevents a restarted daemon from applying an older version than its former
/// process did. A daemon stores nothing on disk, so after each start it must
/// first learn the floor, the lowest version that it may apply.
class version_gate {
public:
  /// Peers whose responses can replace the platform; all known ones if fewer.
  static constexpr std::size_t PeersForFloor = 3;

  //--- Events -----------------------------------------------------------------
  /// Handles a linearizable read of the head after the start; 0: no head.
  void onPlatformHead(std::uint64_t Version);
  /// Handles a failed platform read. Only after one may peers set the floor.
  void onPlatformFailed() { PlatformFailed = true; }
  /// Handles a full sync with a peer. Applied is the highest version that the
  /// peer remembers this instance to have applied, in any incarnation.
  void onPeerResponse(const std::string &Peer, std::uint64_t KnownVersion,
                      std::uint64_t Applied);
  /// Sets the number of known members other than this daemon.
  void onKnownPeers(std::size_t Count);

  //--- Decisions --------------------------------------------------------------
  /// Returns nullopt until the floor is known; it never changes afterwards.
  const std::optional<std::uint64_t> &floor() const { return Floor; }
  std::uint64_t appliedVersion() const { return Applied; }
  /// Records the snapshot's version as applied and returns it. Returns NotReady
  /// without a floor, and StaleVersion if the version is below the floor or not
  /// above the applied one.
  state::result<std::uint64_t> apply(const state::snapshot &Snapshot);

private:
  void updateFloor();

  std::optional<std::uint64_t> Floor;
  std::uint64_t Applied = 0;
  bool PlatformFailed = false;
  std::size_t KnownPeers = 0;
  std::map<std::string, std::uint64_t> PeerVersions; // highest of each peer
};

} // namespace hyssopledge::coordination
