/// \file
/// Configuration leases. A lease limits how long a daemon may act on its
/// configuration without contact to the fleet. Includes the holder and grantor
/// side, and the decision when a version is in force on all members.
#pragma once

#include "hyssopledge/protocol/generated/control.pb.h"
#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/document.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/state/result.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>

namespace hyssopledge::coordination {

/// Returns InitialDuration x Growth^Level, at most MaxDuration.
state::milliseconds leaseDuration(const state::lease_spec &Spec,
                                  std::uint32_t Level);

//-----------------------------------------------------------------------------
// Daemon side
//-----------------------------------------------------------------------------

/// Holds the lease of this daemon and schedules its renewals.
class lease_holder {
public:
  explicit lease_holder(state::random_engine &Random) : Random(Random) {}

  /// Returns true if a renewal should be requested now. Only one request is
  /// pending at a time.
  bool renewalDue(state::time_point Now) const;
  /// Records the time of sending and sets level and first of the request.
  void beginRenewal(state::time_point Now, control::renew_request &Request);
  void onResponse(state::time_point Now,
                  const state::result<control::renew_response> &Response);

  /// Thread-safe. Must be called at the time of use with boot_clock::now(), so
  /// that a process that was suspended detects the expiry when it resumes.
  bool validAt(state::time_point Now) const noexcept {
    return Now.time_since_epoch().count() <
           ExpiresAt.load(std::memory_order_acquire);
  }
  state::milliseconds remaining(state::time_point Now) const;
  std::uint32_t level() const { return Level; }

private:
  state::random_engine &Random;
  std::atomic<std::int64_t> ExpiresAt{0}; // boot_clock nanoseconds
  std::uint32_t Level = 0;
  bool HadLease = false;   // this process has been granted a lease
  bool HasExpired = false; // expired since the last grant; Level was halved
  bool RequestPending = false;
  unsigned Failures = 0;
  state::time_point SentAt{};
  state::time_point NextRenewalAt{};
};

//-----------------------------------------------------------------------------
// Relay side
//-----------------------------------------------------------------------------

struct grantor_options {
  state::milliseconds MaxConfirmationAge{10000}; // of the head read for a grant
  double GrantsPerSecond = 50;
  double Burst = 50;
};

/// State of the granting daemon at the time of a request.
struct grant_context {
  std::uint64_t AppliedVersion = 0;
  std::uint64_t KnownVersion = 0; // highest head received from any source
  bool KnownHeadRefused = false;  // no valid snapshot from the known head
  bool MajorityReachable = false; // more than half of the last known members
  bool PlatformDown = false;      // the last read failed
  bool KnownToFleet = true;       // the coordinator can know this daemon
  std::uint64_t ConfirmedVersion = 0; // highest in a gossiped confirmation
  std::uint32_t RememberedLevel = 0;  // in the member's record
  bool LeftCleanly = false; // the former process announced that it left
};

/// Grants leases at a relay.
///
/// When all daemons of a data centre return at once, the requests above
/// GrantsPerSecond get retry delays that spread them over time.
class lease_grantor {
public:
  lease_grantor(grantor_options Options, state::random_engine &Random);

  void onSpec(const state::lease_spec &NewSpec) { Spec = NewSpec; }
  /// Handles a successful platform read of the head that was sent at SentAt.
  void onHeadConfirmed(state::time_point SentAt, std::uint64_t HeadVersion);
  /// Returns true if the last confirmation by the platform is recent enough to
  /// grant leases.
  bool hasRecentConfirmation(state::time_point Now) const;

  control::renew_response onRequest(state::time_point Now,
                                    const control::renew_request &Request,
                                    const grant_context &Context);

  /// Returns the levels for the data centre's record on the platform.
  control::lease_levels levels() const;
  void importLevels(const control::lease_levels &Levels);
  /// Returns true if levels have changed since the last call.
  bool takeLevelsChanged();

private:
  struct member_lease {
    std::uint64_t Incarnation = 0;
    std::uint32_t Level = 0;
    state::time_point
        ExpiresAt{}; // of the lease granted by this daemon, if any
  };

  /// Returns why the request is refused, or an empty string.
  std::string refusal(state::time_point Now,
                      const control::renew_request &Request,
                      const grant_context &Context) const;
  std::uint32_t nextLevel(state::time_point Now,
                          const control::renew_request &Request,
                          const grant_context &Context) const;

  grantor_options Options;
  state::random_engine &Random;
  state::lease_spec Spec;
  std::map<std::string, member_lease> Leases;
  bool LevelsChanged = false;
  bool HeadConfirmed = false;
  state::time_point HeadConfirmedAt{};
  std::uint64_t ConfirmedVersion = 0;
  double Tokens;
  state::time_point TokensUpdatedAt{};
  state::time_point NextRetryReserved{}; // end of the reserved retry times
};

//-----------------------------------------------------------------------------
// Convergence
//-----------------------------------------------------------------------------

/// Decides when a head version is "in force everywhere". A member that has not
/// acknowledged the version may act on an older one until its lease expires.
/// Such a lease was granted before the grantors could know the version, or by a
/// majority that does not include this daemon. It therefore expires at the
/// latest one maximum lease duration plus the detection delay after the version
/// was known here and fewer than half of the members were unreachable.
class convergence_tracker {
public:
  struct options {
    /// Bound on the confirmation age plus the time to detect lost members.
    state::milliseconds DetectionDelay{30000};
    double ClockDrift = 0.01; // of a lease's duration
  };
  explicit convergence_tracker(options Options) : Options(Options) {}
  convergence_tracker() : convergence_tracker(options()) {}

  /// Must be called once all members are known, from a peer or because there is
  /// none. A daemon that has just started knows only itself, so it must not
  /// report a version as in force everywhere.
  void onAllMembersKnown() { AllMembersKnown = true; }
  bool allMembersKnown() const { return AllMembersKnown; }
  /// Returns the time within which the lease of a member unknown here expires,
  /// unless a majority unknown here renews it.
  state::boot_clock::duration staleLeaseTimeout() const;
  void onSpec(const state::lease_spec &Spec);
  void onHead(state::time_point Now, const control::head &Head);
  void onMember(state::time_point Now, const control::member &Member);
  void onAcknowledgement(
      state::time_point Now,
      const control::report_request::acknowledgement &Acknowledgement);
  /// Must be called before each call of convergence and at least every few
  /// seconds.
  void onTick(state::time_point Now);

  /// Returns the state of the head version.
  control::convergence convergence(state::time_point Now,
                                   std::int64_t UnixMs) const;

private:
  struct member_state {
    control::member_status Status = control::MEMBER_ALIVE;
    std::uint64_t Incarnation = 0;
    std::uint64_t Applied = 0;            // acknowledged version
    std::uint64_t AppliedIncarnation = 0; // that acknowledged it
  };
  bool acknowledged(const member_state &Member) const;
  bool halfNotAlive() const;

  options Options;
  bool AllMembersKnown = false;
  control::head Head;
  state::milliseconds MaxLeaseDuration{0}; // over all documents received
  std::map<std::string, member_state> Members;
  std::size_t NotAlive = 0; // number of members that are not alive
  /// No lease is granted on an older version after this plus DetectionDelay.
  state::time_point LastStaleGrantAt{};
  state::time_point LastTickAt{};
};

} // namespace hyssopledge::coordination
