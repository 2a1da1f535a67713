#include "hyssopledge/state/receive_budget.h"

#include <algorithm>

namespace hyssopledge::state {

bool receive_budget::update(request_intake &Intake, std::size_t Bytes,
                            time_point Now) {
  const auto [It, New] = Intakes.try_emplace(&Intake);
  if (New)
    It->second.BeganAt = Now;
  subtract(It->second.Bytes);
  It->second.Bytes = Bytes;
  add(Bytes);
  const bool Large = isLarge(Bytes);
  const std::size_t Limit = Limits.Bytes + (Large ? 0 : Limits.SmallBytes);
  while (bytes() > Limit) {
    if (Large && LargeBytes == Bytes)
      return true;
    request_intake *const Slowest = slowest(Large, Now);
    if (Slowest == nullptr || Slowest == &Intake)
      return false;
    remove(*Slowest);
    Slowest->refuse();
  }
  return true;
}

void receive_budget::remove(request_intake &Intake) {
  const auto Found = Intakes.find(&Intake);
  if (Found == Intakes.end())
    return;
  subtract(Found->second.Bytes);
  Intakes.erase(Found);
}

request_intake *receive_budget::slowest(bool LargeOnly, time_point Now) const {
  request_intake *Slowest = nullptr;
  double LowestRate = 0;
  for (const auto &[Intake, State] : Intakes) {
    const auto Age = Now - State.BeganAt;
    if (Age < MinIntakeAge || (LargeOnly && !isLarge(State.Bytes)))
      continue;
    const double Rate = static_cast<double>(State.Bytes) /
                        std::chrono::duration<double>(Age).count();
    if (Slowest == nullptr || Rate < LowestRate) {
      Slowest = Intake;
      LowestRate = Rate;
    }
  }
  return Slowest;
}

} // namespace hyssopledge::state
