#include "hyssopledge/coordination/lasting_change.h"

#include <algorithm>

namespace hyssopledge::coordination {

void lasting_change::begin(std::uint64_t NewRevision, state::time_point Now) {
  Revision = NewRevision;
  BegunAt = Now;
  StoreFailed = false;
  Keepers.clear();
}

void lasting_change::onWritten(std::uint64_t NewRevision) {
  WrittenRevision = std::max(WrittenRevision, NewRevision);
}

void lasting_change::onKept(const std::string &Instance,
                            std::uint64_t KeptRevision) {
  if (KeptRevision >= Revision)
    Keepers.insert(Instance);
}

bool lasting_change::lasts(std::size_t OtherMembers) const {
  return WrittenRevision >= Revision ||
         (!Keepers.empty() &&
          Keepers.size() >= std::min(MinKeepers, OtherMembers));
}

bool lasting_change::needsKeepers(std::size_t OtherMembers,
                                  state::time_point Now) const {
  return !lasts(OtherMembers) && (StoreFailed || Now - BegunAt >= StoreWait);
}

} // namespace hyssopledge::coordination
