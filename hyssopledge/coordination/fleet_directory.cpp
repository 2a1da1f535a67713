#include "hyssopledge/coordination/fleet_directory.h"

#include <boost/crc.hpp>
#include <tuple>
#include <utility>

namespace hyssopledge::coordination {

namespace {

constexpr std::uint32_t WholeShareBp = 10'000;

/// Hash of a record; the digest is the sum over all records and so independent
/// of their order.
std::uint64_t hashOf(const std::string &Name, std::uint64_t A, std::uint64_t B,
                     std::uint64_t C) {
  boost::crc_optimal<64, 0x42F0E1EBA9EA3693ULL, 0, 0, false, false> Crc;
  Crc.process_bytes(Name.data(), Name.size());
  Crc.process_bytes(&A, sizeof A);
  Crc.process_bytes(&B, sizeof B);
  Crc.process_bytes(&C, sizeof C);
  return Crc.checksum();
}

std::uint64_t hashOf(const member_record &Record) {
  return hashOf(Record.Instance, Record.Incarnation, Record.Revision,
                static_cast<std::uint64_t>(Record.Upstream.State));
}

std::uint64_t hashOf(const rollout_record &Record) {
  return hashOf(Record.Service, Record.OrderRevision, Record.Step,
                static_cast<std::uint64_t>(Record.State) << 32 |
                    Record.ShareBp);
}

std::uint64_t hashOf(const evacuation_record &Record) {
  return hashOf(Record.DataCentre, Record.Revision, Record.Active ? 1 : 0, 1);
}

} // namespace

bool fleet_directory::merge(const member_record &Record) {
  if (Record.Upstream.State > upstream_state::Serving)
    Departed[Record.Instance].remember(Record.Upstream);
  const auto Found = Members.find(Record.Instance);
  const bool IsNewer =
      Found == Members.end() ||
      std::tie(Record.Incarnation, Record.Revision) >
          std::tie(Found->second.Incarnation, Found->second.Revision);
  member_record Merged = IsNewer ? Record : Found->second;
  if (const auto Left = Departed.find(Record.Instance); Left != Departed.end())
    Merged.Upstream.State = Left->second.latestState(Merged.Upstream);
  if (!IsNewer && Merged.Upstream.State == Found->second.Upstream.State)
    return false;
  if (Found != Members.end())
    Digest -= hashOf(Found->second);
  Digest += hashOf(Merged);
  Members.insert_or_assign(Record.Instance, std::move(Merged));
  return true;
}

bool fleet_directory::merge(const rollout_record &Record) {
  const auto Found = Rollouts.find(Record.Service);
  if (Found != Rollouts.end()) {
    const rollout_record &Known = Found->second;
    // Two coordinators may decide at the same step. A finished state takes
    // precedence, then the smaller share, so that all daemons converge.
    const auto Rank = [](const rollout_record &R) {
      return std::make_tuple(R.OrderRevision, R.State != rollout_state::Running,
                             R.Step, WholeShareBp - R.ShareBp);
    };
    if (Rank(Record) <= Rank(Known))
      return false;
    Digest -= hashOf(Known);
  }
  Digest += hashOf(Record);
  Rollouts.insert_or_assign(Record.Service, Record);
  return true;
}

bool fleet_directory::merge(const evacuation_record &Record) {
  const auto [Known, New] = Evacuations.try_emplace(Record.DataCentre, Record);
  if (!New) {
    if (Record.Revision <= Known->second.Revision)
      return false;
    Digest -= hashOf(Known->second);
    Known->second = Record;
  }
  Digest += hashOf(Record);
  return true;
}

const member_record *fleet_directory::find(const std::string &Instance) const {
  const auto Found = Members.find(Instance);
  return Found == Members.end() ? nullptr : &Found->second;
}

const rollout_record *
fleet_directory::rollout(const std::string &Service) const {
  const auto Found = Rollouts.find(Service);
  return Found == Rollouts.end() ? nullptr : &Found->second;
}

std::size_t fleet_directory::size() const {
  std::size_t Count = 0;
  for (const auto &[Name, Record] : Members)
    Count += Record.Left ? 0 : 1;
  return Count;
}

traffic_split trafficSplit(const rollout_record *Rollout) {
  traffic_split Split;
  if (Rollout == nullptr)
    return Split;
  Split.Service = Rollout->Service;
  Split.ToVersion = Rollout->ToVersion;
  switch (Rollout->State) {
  case rollout_state::Running:
    Split.ShareBp = Rollout->ShareBp;
    break;
  case rollout_state::Completed:
    Split.ShareBp = WholeShareBp;
    break;
  case rollout_state::RolledBack:
    Split.ShareBp = 0;
    break;
  }
  return Split;
}

} // namespace hyssopledge::coordination
