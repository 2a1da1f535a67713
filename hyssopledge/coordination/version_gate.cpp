#include "hyssopledge/coordination/version_gate.h"

#include <algorithm>

namespace hyssopledge::coordination {

using state::errc;
using state::failure;

void version_gate::onPlatformHead(std::uint64_t Version) {
  if (Floor)
    return;
  std::uint64_t Highest = Version;
  for (const auto &[Peer, Named] : Answers)
    Highest = std::max(Highest, Named);
  Floor = Highest;
}

void version_gate::onPeerResponse(const std::string &Peer,
                                  std::uint64_t KnownVersion,
                                  std::uint64_t PeerRemembers) {
  std::uint64_t &Named = Answers[Peer];
  Named = std::max({Named, KnownVersion, PeerRemembers});
  decide();
}

void version_gate::onKnownPeers(std::size_t Count) {
  KnownPeers = Count;
  decide();
}

void version_gate::decide() {
  const std::size_t Needed =
      std::max<std::size_t>(1, std::min(PeersForFloor, KnownPeers));
  if (Floor || !PlatformFailed || Answers.size() < Needed)
    return;
  std::uint64_t Highest = 0;
  for (const auto &[Peer, Named] : Answers)
    Highest = std::max(Highest, Named);
  Floor = Highest;
}

state::result<std::uint64_t>
version_gate::apply(const state::snapshot &Snapshot) {
  if (!Floor)
    return failure(errc::NotReady, "no floor is known yet for version " +
                                       std::to_string(Snapshot.Version));
  if (Snapshot.Version < *Floor || Snapshot.Version <= Applied)
    return failure(errc::StaleVersion,
                   "version " + std::to_string(Snapshot.Version) +
                       " with floor " + std::to_string(*Floor) +
                       " and applied " + std::to_string(Applied));
  Applied = Snapshot.Version;
  return Applied;
}

} // namespace hyssopledge::coordination
