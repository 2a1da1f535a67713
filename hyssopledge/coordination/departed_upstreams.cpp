#include "hyssopledge/coordination/departed_upstreams.h"

#include <algorithm>

namespace hyssopledge::coordination {

bool departed_upstreams::remember(const std::string &Name,
                                  std::uint64_t StartUnixMs,
                                  upstream_state State) {
  if (Name.empty() || State <= upstream_state::Serving)
    return false;
  const auto Found =
      std::find_if(Entries.begin(), Entries.end(), [&](const entry &Entry) {
        return Entry.Name == Name && Entry.StartUnixMs == StartUnixMs;
      });
  if (Found != Entries.end()) {
    const bool IsLater = State > Found->State;
    Found->State = std::max(Found->State, State);
    return IsLater;
  }
  Entries.push_back({Name, StartUnixMs, State});
  if (Entries.size() > MaxEntries)
    Entries.pop_front();
  return true;
}

upstream_state departed_upstreams::stateOf(const std::string &Name,
                                           std::uint64_t StartUnixMs) const {
  upstream_state State = upstream_state::None;
  for (const entry &Entry : Entries)
    if (Entry.Name == Name &&
        (StartUnixMs == 0 || StartUnixMs <= Entry.StartUnixMs))
      State = std::max(State, Entry.State);
  return State;
}

upstream_state
departed_upstreams::latestState(const upstream_record &Upstream) const {
  if (Upstream.State == upstream_state::None)
    return Upstream.State;
  return std::max(Upstream.State, stateOf(Upstream.Name, Upstream.StartUnixMs));
}

} // namespace hyssopledge::coordination
