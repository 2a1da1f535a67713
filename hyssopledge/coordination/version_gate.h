/// \file
/// Decides which configuration versions a daemon may put in force.
#pragma once

#include "hyssopledge/state/result.h"
#include "hyssopledge/state/snapshot.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hyssopledge::coordination {

/// A daemon has no disk: after a start it must learn a floor before it applies
/// anything, or it could go back behind what its former process applied.
class version_gate {
public:
  /// Peers whose answers stand in for the platform; fewer when fewer are known.
  static constexpr std::size_t PeersForFloor = 3;

  //--- Events -----------------------------------------------------------------
  /// A linearizable read of the head after the start; 0: there is no head.
  void onPlatformHead(std::uint64_t Version);
  /// The platform did not answer a read; only then peers may set the floor.
  void onPlatformFailed() { PlatformFailed = true; }
  /// A full sync with a peer. Applied is the highest version that the peer
  /// remembers of this instance, of any incarnation.
  void onPeerResponse(const std::string &Peer, std::uint64_t KnownVersion,
                      std::uint64_t Applied);
  /// Members other than this daemon.
  void onKnownPeers(std::size_t Count);

  //--- Decisions --------------------------------------------------------------
  /// Empty until it is known; never changes afterwards.
  const std::optional<std::uint64_t> &floor() const { return Floor; }
  std::uint64_t appliedVersion() const { return Applied; }
  /// Success puts the snapshot's version down as applied. NotReady: no floor
  /// yet. StaleVersion: below the floor or not above what is applied.
  state::result<std::uint64_t> apply(const state::snapshot &Snapshot);

private:
  void updateFloor();

  std::optional<std::uint64_t> Floor;
  std::uint64_t Applied = 0;
  bool PlatformFailed = false;
  std::size_t KnownPeers = 0;
  std::map<std::string, std::uint64_t> PeerVersions; // highest version named
};

} // namespace hyssopledge::coordination
