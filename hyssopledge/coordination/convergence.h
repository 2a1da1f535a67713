/// \file
/// What the coordinator knows of the members' configuration, and what it may
/// say of it.
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

/// A member counts until it left, or until it has acknowledged, or until its
/// lease has surely ended. The lease of a member that was not heard of may have
/// been renewed once more before the head was accepted; a later renewal tells
/// the member of the head. So its lease surely ends one full duration of the
/// next level after the head was seen here, or when its last acknowledgement
/// says, whatever is later. Of a member never heard of, the level is unknown
/// and the cap counts.
class acknowledgement_tracker {
public:
  /// Members that have not reported for this time are cut off. Far above the
  /// report interval of a large data centre.
  static constexpr std::chrono::seconds ReportTimeout{20};

  void onHead(std::uint64_t Version, std::int64_t AcceptedUnixMs,
              const state::lease_spec &Lease, state::time_point Now);
  void onMembers(const std::vector<control::member> &Members,
                 state::time_point Now);
  void onAcknowledgement(const control::report_request::acknowledgement &Ack,
                         state::time_point Now);

  /// A daemon that started together with the fleet may not know all members
  /// yet; nothing is said to be in force until it does.
  void setAllMembersKnown(bool Known) { AllMembersKnown = Known; }

  /// In force everywhere only when each member counts as above, at least one
  /// has acknowledged, and fewer than half are cut off.
  control::convergence convergence(state::time_point Now,
                                   std::chrono::milliseconds UnixNow) const;
  /// The same for a directive. ChangedAt: when it was recorded.
  bool directiveInForce(const std::string &Service, std::uint64_t Generation,
                        std::uint64_t Step, state::time_point ChangedAt,
                        state::time_point Now) const;
  /// More than half of the members have reported lately.
  bool reportsCurrent(state::time_point Now) const;

private:
  struct known_member {
    std::uint64_t Incarnation = 0;
    std::uint32_t LeaseLevel = 0;
    bool Gone = false;             // dead or no longer listed
    bool HasReported = false;      // has acknowledged anything to this tracker
    state::time_point FirstSeen{}; // by this tracker
    state::time_point LastReportAt{};
    state::time_point LeaseEndsAt{}; // by the last acknowledgement
    std::uint64_t Applied = 0;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        Directives; // generation, step
  };

  state::boot_clock::duration leaseDuration(std::uint32_t Level) const;
  bool leaseEnded(const known_member &Member, state::time_point ChangedAt,
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
