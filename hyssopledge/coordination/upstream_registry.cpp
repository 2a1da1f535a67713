#include "hyssopledge/coordination/upstream_registry.h"

#include <algorithm>

namespace hyssopledge::coordination {

registry_effect upstream_registry::restore(const upstream_record &Former) {
  if (Former.Name.empty() || Former.State == upstream_state::None)
    return registry_effect::None;
  const bool Same =
      Record.Name == Former.Name && Record.StartUnixMs == Former.StartUnixMs;
  if (Former.State != upstream_state::Serving &&
      !hasLeft(Former.Name, Former.StartUnixMs)) {
    Left.push_back({Former.Name, Former.StartUnixMs, Former.State});
    if (Left.size() > MaxLeft)
      Left.pop_front();
  }
  if (Record.Name.empty() && Former.Service == Service &&
      Former.State == upstream_state::Serving &&
      !hasLeft(Former.Name, Former.StartUnixMs)) {
    Record = Former;
    return registry_effect::Changed;
  }
  if (Same && Former.State > Record.State) {
    Record.State = Former.State;
    return registry_effect::Changed;
  }
  return registry_effect::None;
}

/// An upstream that starts again under its name is another one when it says
/// when it was born.
bool upstream_registry::hasLeft(const std::string &Name,
                                std::uint64_t StartUnixMs) const {
  return std::any_of(Left.begin(), Left.end(), [&](const left &L) {
    return L.Name == Name && (StartUnixMs == 0 || StartUnixMs <= L.StartUnixMs);
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
  if (A.StartUnixMs < Record.StartUnixMs)
    return registry_effect::Outdated;
  const bool Same =
      A.Name == Record.Name && A.StartUnixMs == Record.StartUnixMs;
  if (Same && A.Sequence <= Record.Sequence)
    return registry_effect::Outdated;
  const bool Leaving =
      Same && Record.State != upstream_state::Serving; // never taken back
  if (Leaving ||
      (A.State == upstream_state::Serving && hasLeft(A.Name, A.StartUnixMs))) {
    if (Same)
      Record.Sequence = A.Sequence;
    return registry_effect::Outdated;
  }
  const bool Changed = !Same || Record.State != A.State ||
                       Record.Slots != A.Slots ||
                       Record.Cold != (A.ColdRemaining.count() > 0) ||
                       Record.Version != A.Version;
  Record.Name = A.Name;
  Record.Service = A.Service;
  Record.Version = A.Version;
  Record.Slots = A.Slots;
  Record.State = A.State;
  Record.Cold = A.ColdRemaining.count() > 0;
  Record.StartUnixMs = A.StartUnixMs;
  Record.Sequence = A.Sequence;
  return Changed ? registry_effect::Changed : registry_effect::None;
}

registry_effect upstream_registry::leave(const std::string &Name,
                                         std::uint64_t StartUnixMs,
                                         std::uint64_t Now) {
  const bool Here = Name == Record.Name;
  const std::uint64_t KnownBorn = StartUnixMs != 0 ? StartUnixMs
                                  : Here           ? Record.StartUnixMs
                                                   : Now;
  if (!hasLeft(Name, KnownBorn)) {
    Left.push_back({Name, KnownBorn, upstream_state::Gone});
    if (Left.size() > MaxLeft)
      Left.pop_front();
  }
  if (!Here || (StartUnixMs != 0 && StartUnixMs < Record.StartUnixMs) ||
      Record.State == upstream_state::Gone)
    return registry_effect::None;
  Record.State = upstream_state::Gone;
  return registry_effect::Changed;
}

} // namespace hyssopledge::coordination
