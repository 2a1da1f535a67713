#include "hyssopledge/coordination/upstream_registry.h"

#include <algorithm>

namespace hyssopledge::coordination {

registry_update upstream_registry::restore(const upstream_record &Former) {
  if (Former.Name.empty() || Former.State == upstream_state::None)
    return registry_update::None;
  Departed.remember(Former);
  const bool SameUpstream =
      Record.Name == Former.Name && Record.StartUnixMs == Former.StartUnixMs;
  if ((Record.Name.empty() || (IsRestored && !SameUpstream)) &&
      Former.Service == Service && Former.State == upstream_state::Serving &&
      !Departed.contains(Former.Name, Former.StartUnixMs)) {
    Record = Former;
    IsRestored = true;
    return registry_update::Changed;
  }
  if (SameUpstream && Former.State > Record.State) {
    Record.State = Former.State;
    return registry_update::Changed;
  }
  return registry_update::None;
}

std::deque<upstream_registry::replaced_upstream>::iterator
upstream_registry::findReplaced(const std::string &Name,
                                std::uint64_t StartUnixMs) {
  return std::find_if(
      Replaced.begin(), Replaced.end(), [&](const replaced_upstream &Former) {
        return Former.Name == Name && Former.StartUnixMs == StartUnixMs;
      });
}

bool upstream_registry::isLate(const announcement &A) {
  const auto Former = findReplaced(A.Name, A.StartUnixMs);
  if (Former == Replaced.end())
    return false;
  if (A.Sequence > Former->Sequence) {
    Former->Sequence = A.Sequence;
    ++Former->Announcements;
  }
  if (Former->Announcements < AnnouncementsToReturn)
    return true;
  Replaced.erase(Former);
  return false;
}

void upstream_registry::replaceRecord() {
  if (!Record.Name.empty())
    Replaced.push_back({Record.Name, Record.StartUnixMs, Record.Sequence, 0});
  if (Replaced.size() > MaxReplaced)
    Replaced.pop_front();
  Record = upstream_record();
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
  const bool SameUpstream =
      A.Name == Record.Name && A.StartUnixMs == Record.StartUnixMs;
  if (A.StartUnixMs < Record.StartUnixMs &&
      (A.Name != Record.Name || A.StartUnixMs == 0))
    return registry_update::Outdated;
  if (!SameUpstream && isLate(A))
    return registry_update::Outdated;
  if (SameUpstream && A.Sequence <= Record.Sequence)
    return registry_update::Outdated;
  const bool Leaving =
      SameUpstream &&
      Record.State != upstream_state::Serving; // draining is final
  if (Leaving || (A.State == upstream_state::Serving &&
                  Departed.contains(A.Name, A.StartUnixMs))) {
    if (SameUpstream)
      Record.Sequence = A.Sequence;
    return registry_update::Outdated;
  }
  const bool Changed = !SameUpstream || Record.State != A.State ||
                       Record.Slots != A.Slots ||
                       Record.Cold != (A.ColdRemaining.count() > 0) ||
                       Record.Version != A.Version;
  if (!SameUpstream)
    replaceRecord();
  IsRestored = false;
  Record.Name = A.Name;
  Record.Service = A.Service;
  Record.Version = A.Version;
  Record.Slots = A.Slots;
  Record.State = A.State;
  Record.Cold = A.ColdRemaining.count() > 0;
  Record.StartUnixMs = A.StartUnixMs;
  Record.Sequence = A.Sequence;
  Departed.remember(Record);
  return Changed ? registry_update::Changed : registry_update::None;
}

registry_update upstream_registry::leave(const std::string &Name,
                                         std::uint64_t StartUnixMs,
                                         std::uint64_t Now) {
  const bool SameName = Name == Record.Name;
  const std::uint64_t KnownStartUnixMs = StartUnixMs != 0 ? StartUnixMs
                                         : SameName       ? Record.StartUnixMs
                                                          : Now;
  Departed.remember(Name, KnownStartUnixMs, upstream_state::Gone);
  if (!SameName || findReplaced(Name, KnownStartUnixMs) != Replaced.end())
    return registry_update::None;
  if (KnownStartUnixMs < Record.StartUnixMs) {
    // It has started again since its last announcement.
    Record.StartUnixMs = KnownStartUnixMs;
    Record.Sequence = 0;
  } else if (Record.State == upstream_state::Gone) {
    return registry_update::None;
  }
  Record.State = upstream_state::Gone;
  return registry_update::Changed;
}

registry_update upstream_registry::drain() {
  if (Record.State != upstream_state::Serving)
    return registry_update::None;
  Record.State = upstream_state::Draining;
  Departed.remember(Record);
  return registry_update::Changed;
}

} // namespace hyssopledge::coordination
