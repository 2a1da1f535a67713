/// \file
/// Recognises versions of a service that appear before their order is known. A
/// new version's upstreams start as soon as its rollout is ordered, but the
/// order may arrive seconds later, when the platform does not respond to the
/// relays. Does no I/O; not thread-safe.
#pragma once

#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/state/clock.h"

#include <chrono>
#include <map>
#include <string>

namespace hyssopledge::coordination {

class version_hold {
public:
  /// Takes over the versions of the upstreams and the rollouts.
  void update(const fleet_directory &Directory, state::time_point Now);
  /// Returns until when calls should go to other versions, if one of those can
  /// take them. The rollout of a service decides about the version it names.
  state::time_point heldUntil(const std::string &Service,
                              const std::string &Version) const;

private:
  struct version {
    state::time_point FirstSeen{};
    state::time_point HeldUntil{};
  };
  using versions = std::map<std::string, version>; // by name
  std::map<std::string, versions> Services;        // by name
};

} // namespace hyssopledge::coordination
