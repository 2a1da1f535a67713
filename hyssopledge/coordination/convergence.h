/// \file
/// Coordinator side of convergence: tracks the acknowledgements of the members
/// and decides when a head version or a rollout directive is in force on all of
/// them.
#pragma once

#include "hyssopledge/protocol/generated/control.pb.h"
#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/document.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

/// A version is in force on a member when the member has left, has acknowledged
/// the version, or has no valid lease any more. A member that does not report
/// may have renewed its lease once more before the head was accepted; any later
/// renewal informs it of the head. Its lease has therefore expired one full
/// duration of the next lease level after the head was seen here, or at the
/// time given in its last acknowledgement, whichever is later. If a member has
/// never reported, its level is unknown and the maximum lease duration applies.
class acknowledgement_tracker {
public:
  /// A member without a report for this long counts as unreachable. Far above
  /// the report interval of a large data centre.
  static constexpr std::chrono::seconds ReportTimeout{20};

  void onHead(std::uint64_t Version, std::int64_t AcceptedUnixMs,
              const state::lease_spec &Lease, state::time_point Now);
  void onMembers(const std::vector<control::member> &Members,
                 state::time_point Now);
  void onAcknowledgement(const control::report_request::acknowledgement &Ack,
                         state::time_point Now);

  /// False while this daemon may not know all members yet, as after a start
  /// together with the fleet. Nothing is reported as in force until it is true.
  void setAllMembersKnown(bool Known) { AllMembersKnown = Known; }

  /// Returns the state of the head version. in_force_everywhere requires that
  /// the version is in force on each member as defined above, that at least one
  /// member has acknowledged it, and that the reports of fewer than half of the
  /// members are overdue.
  control::convergence convergence(state::time_point Now,
                                   std::chrono::milliseconds UnixNow) const;
  /// Returns true if a rollout directive that was recorded at ChangedAt is in
  /// force on all members, by the same rules.
  bool directiveInForce(const std::string &Service, std::uint64_t Generation,
                        std::uint64_t Step, state::time_point ChangedAt,
                        state::time_point Now) const;
  /// Returns true if more than half of the members reported within
  /// ReportTimeout.
  bool reportsCurrent(state::time_point Now) const;

private:
  struct known_member {
    std::uint64_t Incarnation = 0;
    std::uint32_t LeaseLevel = 0;
    bool Gone = false;             // dead or no longer listed
    bool HasReported = false;      // this tracker got an acknowledgement
    state::time_point FirstSeen{}; // at this tracker
    state::time_point LastReportAt{};
    state::time_point LeaseExpiresAt{}; // as of the last acknowledgement
    std::uint64_t Applied = 0;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        Directives; // by service: generation, step
  };

  state::boot_clock::duration leaseDuration(std::uint32_t Level) const;
  bool leaseExpired(const known_member &Member, state::time_point ChangedAt,
                    state::time_point Now) const;
  bool reportOverdue(const known_member &Member, state::time_point Now) const;
  bool halfReportsOverdue(state::time_point Now) const;

  std::uint64_t Version = 0;
  std::int64_t AcceptedUnixMs = 0;
  state::time_point HeadSeenAt{};
  state::lease_spec Lease;
  bool AllMembersKnown = true;
  std::map<std::string, known_member> Members;
};

} // namespace hyssopledge::coordination
