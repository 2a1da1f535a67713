#include "hyssopledge/coordination/version_hold.h"

#include <algorithm>
#include <utility>

namespace hyssopledge::coordination {

namespace {

// By then another relay has replaced one that the platform does not respond to,
// and has made the order known.
constexpr std::chrono::milliseconds HoldPeriod{5000};
// A daemon that starts learns of all versions within this time, in any order.
constexpr std::chrono::milliseconds StartPeriod{2000};

} // namespace

void version_hold::update(const fleet_directory &Directory,
                          state::time_point Now) {
  std::map<std::string, versions> Former = std::exchange(Services, {});
  for (const auto &[Name, Member] : Directory.members()) {
    const upstream_record &Upstream = Member.Upstream;
    if (Member.Left || (Upstream.State != upstream_state::Serving &&
                        Upstream.State != upstream_state::Draining))
      continue;
    versions &Known = Former[Upstream.Service];
    if (const auto Found = Known.find(Upstream.Version); Found != Known.end()) {
      Services[Upstream.Service].insert(*Found);
      continue;
    }
    const bool HasOlder =
        std::any_of(Known.begin(), Known.end(), [&](const auto &Entry) {
          return Now - Entry.second.FirstSeen >= StartPeriod;
        });
    Services[Upstream.Service].insert(
        {Upstream.Version,
         {Now, HasOlder ? Now + HoldPeriod : state::time_point{}}});
  }
  for (const auto &[Service, Rollout] : Directory.rollouts())
    if (const auto Found = Services.find(Service); Found != Services.end())
      if (const auto Named = Found->second.find(Rollout.ToVersion);
          Named != Found->second.end())
        Named->second.HeldUntil = {};
}

state::time_point version_hold::heldUntil(const std::string &Service,
                                          const std::string &Version) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return {};
  const auto Named = Found->second.find(Version);
  return Named == Found->second.end() ? state::time_point{}
                                      : Named->second.HeldUntil;
}

} // namespace hyssopledge::coordination
