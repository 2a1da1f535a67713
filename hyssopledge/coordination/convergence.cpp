#include "hyssopledge/coordination/convergence.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hyssopledge::coordination {

using state::boot_clock;
using state::time_point;

void acknowledgement_tracker::onHead(std::uint64_t NewVersion,
                                     std::int64_t Accepted,
                                     const state::lease_spec &Spec,
                                     time_point Now) {
  if (NewVersion <= Version)
    return;
  Version = NewVersion;
  AcceptedUnixMs = Accepted;
  Lease = Spec;
  HeadSeenAt = Now;
}

void acknowledgement_tracker::onMembers(
    const std::vector<control::member> &Listed, time_point Now) {
  std::set<std::string> Names;
  for (const control::member &Member : Listed) {
    if (Member.status() == control::MEMBER_LEFT) {
      Members.erase(Member.instance());
      continue;
    }
    Names.insert(Member.instance());
    known_member &Known = Members[Member.instance()];
    if (Known.FirstSeen == time_point{})
      Known.FirstSeen = Now;
    // The highest level reported so far bounds the duration of a renewal.
    Known.LeaseLevel = std::max(Known.LeaseLevel, Member.lease_level());
    Known.Incarnation = std::max(Known.Incarnation, Member.incarnation());
    Known.Gone = Member.status() == control::MEMBER_DEAD;
  }
  for (auto It = Members.begin(); It != Members.end();) {
    if (!Names.contains(It->first))
      It->second.Gone = true;
    if (It->second.Gone && leaseEnded(It->second, HeadSeenAt, Now))
      It = Members.erase(It);
    else
      ++It;
  }
}

void acknowledgement_tracker::onAcknowledgement(
    const control::report_request::acknowledgement &Ack, time_point Now) {
  known_member &Known = Members[Ack.instance()];
  if (Ack.incarnation() < Known.Incarnation)
    return; // sent by an earlier process of the instance
  if (Known.FirstSeen == time_point{})
    Known.FirstSeen = Now;
  // Acknowledgements of an older incarnation do not apply to the new process.
  if (Ack.incarnation() > Known.Incarnation || !Known.HasReported) {
    Known.Incarnation = Ack.incarnation();
    Known.Applied = 0;
    Known.Directives.clear();
  }
  Known.HasReported = true;
  Known.LastReportAt = Now;
  Known.Gone = false;
  Known.LeaseEndsAt =
      std::max(Known.LeaseEndsAt,
               Now + std::chrono::milliseconds(Ack.lease_remaining_ms()));
  // Reports may arrive out of order; versions in force never decrease.
  Known.Applied = std::max(Known.Applied, Ack.applied_version());
  for (const control::directive_position &Position : Ack.directives()) {
    auto &Newest = Known.Directives[Position.service()];
    Newest = std::max(Newest, {Position.generation(), Position.step()});
  }
}

boot_clock::duration
acknowledgement_tracker::leaseDuration(std::uint32_t Level) const {
  const double Seconds =
      std::min(static_cast<double>(Lease.MaxDuration.count()),
               static_cast<double>(Lease.InitialDuration.count()) *
                   std::pow(Lease.Growth, std::min(Level, 64U)));
  return std::chrono::duration_cast<boot_clock::duration>(
      std::chrono::duration<double>(Seconds));
}

bool acknowledgement_tracker::leaseEnded(const known_member &Member,
                                         time_point ChangedAt,
                                         time_point Now) const {
  const time_point Last =
      Member.HasReported ? std::max(Member.LastReportAt, ChangedAt) +
                               leaseDuration(Member.LeaseLevel + 1)
                         : std::max(Member.FirstSeen, ChangedAt) +
                               std::chrono::duration_cast<boot_clock::duration>(
                                   Lease.MaxDuration);
  return Now >= std::max(Last, Member.LeaseEndsAt);
}

bool acknowledgement_tracker::reportOverdue(const known_member &Member,
                                            time_point Now) const {
  return !Member.HasReported || Now - Member.LastReportAt > ReportTimeout;
}

bool acknowledgement_tracker::halfReportsOverdue(time_point Now) const {
  const auto Count =
      std::count_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        return reportOverdue(Entry.second, Now);
      });
  return 2 * static_cast<std::size_t>(Count) >= Members.size();
}

bool acknowledgement_tracker::reportsCurrent(time_point Now) const {
  return !Members.empty() && !halfReportsOverdue(Now);
}

control::convergence
acknowledgement_tracker::convergence(time_point Now,
                                     std::chrono::milliseconds UnixNow) const {
  constexpr int MaxListed = 20;
  control::convergence Result;
  std::uint32_t Acknowledged = 0;
  std::uint32_t LeaseEnded = 0;
  for (const auto &[Instance, Member] : Members) {
    if (Member.HasReported && Member.Applied >= Version)
      ++Acknowledged;
    else if (reportOverdue(Member, Now) && leaseEnded(Member, HeadSeenAt, Now))
      ++LeaseEnded;
    else if (Result.waiting_for_size() < MaxListed)
      Result.add_waiting_for(Instance);
  }
  Result.set_version(Version);
  Result.set_members(static_cast<std::uint32_t>(Members.size()));
  Result.set_acknowledged(Acknowledged);
  Result.set_lease_ended(LeaseEnded);
  Result.set_accepted_unix_ms(AcceptedUnixMs);
  Result.set_stated_unix_ms(UnixNow.count());
  Result.set_in_force_everywhere(
      AllMembersKnown && Version > 0 && Acknowledged > 0 &&
      Acknowledged + LeaseEnded == Members.size() && !halfReportsOverdue(Now));
  return Result;
}

bool acknowledgement_tracker::directiveInForce(const std::string &Service,
                                               std::uint64_t Generation,
                                               std::uint64_t Step,
                                               time_point ChangedAt,
                                               time_point Now) const {
  if (!AllMembersKnown || Members.empty() || halfReportsOverdue(Now))
    return false;
  return std::all_of(Members.begin(), Members.end(), [&](const auto &Entry) {
    const known_member &Member = Entry.second;
    auto Found = Member.Directives.find(Service);
    const bool InForce = Member.HasReported &&
                         Found != Member.Directives.end() &&
                         Found->second >= std::pair(Generation, Step);
    return InForce ||
           (reportOverdue(Member, Now) && leaseEnded(Member, ChangedAt, Now));
  });
}

} // namespace hyssopledge::coordination
