#include "hyssopledge/coordination/upstream_registry.h"

#include <algorithm>

namespace hyssopledge::coordination {

registry_update upstream_registry::restore(const upstream_record &Former) {
  if (Former.Name.empty() || Former.State == upstream_state::None)
    return registry_update::None;
  const bool SameUpstream =
      Record.Name == Former.Name && Record.StartUnixMs == Former.StartUnixMs;
  if (Former.State != upstream_state::Serving &&
      !hasLeft(Former.Name, Former.StartUnixMs)) {
    Departed.push_back({Former.Name, Former.StartUnixMs, Former.State});
    if (Departed.size() > MaxDeparted)
      Departed.pop_front();
  }
  if (Record.Name.empty() && Former.Service == Service &&
      Former.State == upstream_state::Serving &&
      !hasLeft(Former.Name, Former.StartUnixMs)) {
    Record = Former;
    return registry_update::Changed;
  }
  if (SameUpstream && Former.State > Record.State) {
    Record.State = Former.State;
    return registry_update::Changed;
  }
  return registry_update::None;
}

/// Whether this upstream has left. One that restarts under the same name is
/// recognized by its later start time.
bool upstream_registry::hasLeft(const std::string &Name,
                                std::uint64_t StartUnixMs) const {
  return std::any_of(
      Departed.begin(), Departed.end(), [&](const departed_upstream &L) {
        return L.Name == Name &&
               (StartUnixMs == 0 || StartUnixMs <= L.StartUnixMs);
      });
}

state::result<registry_update>
upstream_registry::announce(const announcement &A) {
  if (A.Service != Service)
    return state::failure(state::errc::InvalidMessage,
                          "the upstream here belongs to service \"" + Service +
                              "\", not \"" + A.Service + "\"");
  if (A.Address != Address)
    return state::failure(state::errc::InvalidMessage,
                          "the upstream here is at " + Address + ", not at \"" +
                              A.Address + "\"");
  if (A.StartUnixMs < Record.StartUnixMs)
    return registry_update::Outdated;
  const bool SameUpstream =
      A.Name == Record.Name && A.StartUnixMs == Record.StartUnixMs;
  if (SameUpstream && A.Sequence <= Record.Sequence)
    return registry_update::Outdated;
  const bool Leaving =
      SameUpstream &&
      Record.State != upstream_state::Serving; // draining is final
  if (Leaving ||
      (A.State == upstream_state::Serving && hasLeft(A.Name, A.StartUnixMs))) {
    if (SameUpstream)
      Record.Sequence = A.Sequence;
    return registry_update::Outdated;
  }
  const bool Changed = !SameUpstream || Record.State != A.State ||
                       Record.Slots != A.Slots ||
                       Record.Cold != (A.ColdRemaining.count() > 0) ||
                       Record.Version != A.Version;
  if (!SameUpstream)
    Record.RequestLimit.reset();
  Record.Name = A.Name;
  Record.Service = A.Service;
  Record.Version = A.Version;
  Record.Slots = A.Slots;
  Record.State = A.State;
  Record.Cold = A.ColdRemaining.count() > 0;
  Record.StartUnixMs = A.StartUnixMs;
  Record.Sequence = A.Sequence;
  return Changed ? registry_update::Changed : registry_update::None;
}

registry_update upstream_registry::leave(const std::string &Name,
                                         std::uint64_t StartUnixMs,
                                         std::uint64_t Now) {
  const bool IsCurrent = Name == Record.Name;
  const std::uint64_t KnownStartUnixMs = StartUnixMs != 0 ? StartUnixMs
                                         : IsCurrent      ? Record.StartUnixMs
                                                          : Now;
  if (!hasLeft(Name, KnownStartUnixMs)) {
    Departed.push_back({Name, KnownStartUnixMs, upstream_state::Gone});
    if (Departed.size() > MaxDeparted)
      Departed.pop_front();
  }
  if (!IsCurrent || (StartUnixMs != 0 && StartUnixMs < Record.StartUnixMs) ||
      Record.State == upstream_state::Gone)
    return registry_update::None;
  Record.State = upstream_state::Gone;
  return registry_update::Changed;
}

registry_update upstream_registry::drain() {
  if (Record.State != upstream_state::Serving)
    return registry_update::None;
  Record.State = upstream_state::Draining;
  return registry_update::Changed;
}

} // namespace hyssopledge::coordination
