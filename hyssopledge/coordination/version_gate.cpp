#include "hyssopledge/coordination/version_gate.h"

#include <algorithm>

namespace hyssopledge::coordination {

using state::errc;
using state::failure;

void version_gate::onPlatformHead(std::uint64_t Version) {
  if (Floor)
    return;
  std::uint64_t Highest = Version;
  for (const auto &[Peer, PeerVersion] : PeerVersions)
    Highest = std::max(Highest, PeerVersion);
  Floor = Highest;
}

void version_gate::onPeerResponse(const std::string &Peer,
                                  std::uint64_t KnownVersion,
                                  std::uint64_t RememberedVersion) {
  std::uint64_t &PeerVersion = PeerVersions[Peer];
  PeerVersion = std::max({PeerVersion, KnownVersion, RememberedVersion});
  updateFloor();
}

void version_gate::onKnownPeers(std::size_t Count) {
  KnownPeers = Count;
  updateFloor();
}

void version_gate::updateFloor() {
  const std::size_t RequiredPeers =
      std::max<std::size_t>(1, std::min(PeersForFloor, KnownPeers));
  if (Floor || !PlatformFailed || PeerVersions.size() < RequiredPeers)
    return;
  std::uint64_t Highest = 0;
  for (const auto &[Peer, PeerVersion] : PeerVersions)
    Highest = std::max(Highest, PeerVersion);
  Floor = Highest;
}

state::result<std::uint64_t>
version_gate::apply(const state::snapshot &Snapshot) {
  if (!Floor)
    return failure(errc::NotReady,
                   "the version floor is not known yet; can't apply version " +
                       std::to_string(Snapshot.Version));
  if (Snapshot.Version < *Floor || Snapshot.Version <= Applied)
    return failure(errc::StaleVersion,
                   "version " + std::to_string(Snapshot.Version) +
                       " is stale: the floor is " + std::to_string(*Floor) +
                       ", the applied version " + std::to_string(Applied));
  Applied = Snapshot.Version;
  return Applied;
}

} // namespace hyssopledge::coordination
