#include "hyssopledge/coordination/upstream_registry.h"

#include <algorithm>

namespace hyssopledge::coordination {

registry_effect upstream_registry::recall(const upstream_record &Former) {
  if (Former.Name.empty() || Former.State == upstream_state::None)
    return registry_effect::None;
  const bool SameUpstream =
      Record.Name == Former.Name && Record.Born == Former.Born;
  if (Former.State != upstream_state::Serving &&
      !hasLeft(Former.Name, Former.Born)) {
    Departed.push_back({Former.Name, Former.Born, Former.State});
    if (Departed.size() > MaxDeparted)
      Departed.pop_front();
  }
  if (Record.Name.empty() && Former.Service == Service &&
      Former.State == upstream_state::Serving &&
      !hasLeft(Former.Name, Former.Born)) {
    Record = Former;
    return registry_effect::Changed;
  }
  if (SameUpstream && Former.State > Record.State) {
    Record.State = Former.State;
    return registry_effect::Changed;
  }
  return registry_effect::None;
}

/// An upstream that starts again under its name is another one when it says
/// when it was born.
bool upstream_registry::hasLeft(const std::string &Name,
                                std::uint64_t Born) const {
  return std::any_of(Departed.begin(), Departed.end(),
                     [&](const departed_upstream &L) {
                       return L.Name == Name && (Born == 0 || Born <= L.Born);
                     });
}

state::result<registry_effect>
upstream_registry::announce(const announcement &A) {
  if (A.Service != Service)
    return state::failure(state::errc::InvalidMessage,
                          "the upstream here belongs to service \"" + Service +
                              "\", not \"" + A.Service + "\"");
  if (A.Address != Address)
    return state::failure(state::errc::InvalidMessage,
                          "the upstream here is at " + Address + ", not at \"" +
                              A.Address + "\"");
  if (A.Born < Record.Born)
    return registry_effect::Outdated;
  const bool SameUpstream = A.Name == Record.Name && A.Born == Record.Born;
  if (SameUpstream && A.Sequence <= Record.Sequence)
    return registry_effect::Outdated;
  const bool Leaving =
      SameUpstream &&
      Record.State != upstream_state::Serving; // never taken back
  if (Leaving ||
      (A.State == upstream_state::Serving && hasLeft(A.Name, A.Born))) {
    if (SameUpstream)
      Record.Sequence = A.Sequence;
    return registry_effect::Outdated;
  }
  const bool Changed =
      !SameUpstream || Record.State != A.State || Record.Slots != A.Slots ||
      Record.Cold != (A.ColdFor.count() > 0) || Record.Version != A.Version;
  Record.Name = A.Name;
  Record.Service = A.Service;
  Record.Version = A.Version;
  Record.Slots = A.Slots;
  Record.State = A.State;
  Record.Cold = A.ColdFor.count() > 0;
  Record.Born = A.Born;
  Record.Sequence = A.Sequence;
  return Changed ? registry_effect::Changed : registry_effect::None;
}

registry_effect upstream_registry::leave(const std::string &Name,
                                         std::uint64_t Born,
                                         std::uint64_t Now) {
  const bool IsCurrent = Name == Record.Name;
  const std::uint64_t KnownBorn = Born != 0   ? Born
                                  : IsCurrent ? Record.Born
                                              : Now;
  if (!hasLeft(Name, KnownBorn)) {
    Departed.push_back({Name, KnownBorn, upstream_state::Gone});
    if (Departed.size() > MaxDeparted)
      Departed.pop_front();
  }
  if (!IsCurrent || (Born != 0 && Born < Record.Born) ||
      Record.State == upstream_state::Gone)
    return registry_effect::None;
  Record.State = upstream_state::Gone;
  return registry_effect::Changed;
}

} // namespace hyssopledge::coordination
