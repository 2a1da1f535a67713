/// \file
/// Leases: how long a daemon may act on its configuration without hearing from
/// the system, who extends them, and when the whole fleet surely has a version.
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

/// Initial x Growth^Level, at most Max.
state::milliseconds leaseDuration(const state::lease_spec &Spec,
                                  std::uint32_t Level);

//-----------------------------------------------------------------------------
// Daemon side
//-----------------------------------------------------------------------------

class lease_holder {
public:
  explicit lease_holder(state::random_engine &Random) : Random(Random) {}

  /// Whether a renewal should be requested now; one is under way at a time.
  bool renewalDue(state::time_point Now) const;
  /// Puts down the time of sending and fills in level and first.
  void beginRenewal(state::time_point Now, control::renew_request &Request);
  void onResponse(state::time_point Now,
                  const state::result<control::renew_response> &Answer);

  /// Thread-safe. Ask at the moment of use with boot_clock::now(), so that a
  /// process that was frozen sees the lapse on wake-up.
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
  bool Held = false; // a lease was granted to this process before
  bool Lapsed = false;
  bool RequestPending = false;
  unsigned Failures = 0;
  state::time_point SentAt{};
  state::time_point NextRenewal{};
};

//-----------------------------------------------------------------------------
// Relay side
//-----------------------------------------------------------------------------

struct grantor_options {
  state::milliseconds MaxConfirmationAge{10000}; // age of a platform read on
                                                 // which a grant may rest
  double GrantsPerSecond = 50;
  double Burst = 50;
};

/// What the granting daemon knows at the moment of a request.
struct grant_context {
  std::uint64_t AppliedVersion = 0;
  std::uint64_t KnownVersion = 0; // highest head heard of, by anybody
  bool KnownHeadRefused = false;  // the known head's document does not build
  bool MajorityReachable = false; // more than half of the last known members
  bool PlatformDown = false;      // the last read failed
  std::uint64_t ConfirmedVersion = 0; // highest in a gossiped confirmation
  std::uint32_t RememberedLevel = 0;  // of the member's record
  bool LeftCleanly = false;           // the former process announced its leave
};

class lease_grantor {
public:
  lease_grantor(grantor_options Options, state::random_engine &Random);

  void onSpec(const state::lease_spec &NewSpec) { Spec = NewSpec; }
  /// A read of the head that was sent at the time given.
  void onHeadConfirmed(state::time_point SentAt, std::uint64_t HeadVersion);
  /// Whether a platform confirmation is recent enough to grant on.
  bool hasRecentConfirmation(state::time_point Now) const;

  control::renew_response onRequest(state::time_point Now,
                                    const control::renew_request &Request,
                                    const grant_context &Context);

  /// Levels to be written to the platform record of the data centre.
  control::lease_levels levels() const;
  void importLevels(const control::lease_levels &Levels);
  /// Whether levels changed since the last call.
  bool takeLevelsChanged();

private:
  struct member_lease {
    std::uint64_t Incarnation = 0;
    std::uint32_t Level = 0;
    state::time_point EndsAt{}; // of the lease granted here, if any
  };

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
  state::time_point
      NextRetryReserved{}; // when the excess requests will have been met
};

//-----------------------------------------------------------------------------
// Convergence
//-----------------------------------------------------------------------------

/// Decides when "in force everywhere" may be said of a head version. A member
/// that has not acknowledged it may still act on an older one until its lease
/// ends. Such a lease was granted before the grantors could know the version,
/// or by a majority that does not contain this daemon; so it ends at the latest
/// one longest lease after the version was known here and fewer than half of
/// the members were cut off, plus the detection lag.
class convergence_tracker {
public:
  struct options {
    state::milliseconds DetectionDelay{30000}; // bound of confirmation age plus
                                               // time to notice lost members
    double ClockDrift = 0.01;                  // of a lease's duration
  };
  explicit convergence_tracker(options Options) : Options(Options) {}
  convergence_tracker() : convergence_tracker(options()) {}

  /// The members are known, from a peer or because there is none. A daemon that
  /// has just started knows only itself and must not speak for the others.
  void onAllMembersKnown() { AllMembersKnown = true; }
  bool allMembersKnown() const { return AllMembersKnown; }
  /// A lease of a member that is unknown here ends within this time, unless a
  /// majority that is unknown here renews it.
  state::boot_clock::duration staleLeaseTimeout() const;
  void onSpec(const state::lease_spec &Spec);
  void onHead(state::time_point Now, const control::head &Head);
  void onMember(state::time_point Now, const control::member &Member);
  void onAcknowledgement(
      state::time_point Now,
      const control::report_request::acknowledgement &Acknowledgement);
  /// Call it each time before a statement, at least once in a few seconds.
  void onTick(state::time_point Now);

  control::convergence convergence(state::time_point Now,
                                   std::int64_t UnixMs) const;

private:
  struct member_state {
    control::member_status Status = control::MEMBER_ALIVE;
    std::uint64_t Incarnation = 0;
    std::uint64_t Applied = 0;            // acknowledged
    std::uint64_t AppliedIncarnation = 0; // that acknowledged it
  };
  bool acknowledged(const member_state &Member) const;
  bool halfNotAlive() const;

  options Options;
  bool AllMembersKnown = false;
  control::head Head;
  state::milliseconds MaxLeaseDuration{0}; // of all documents seen
  std::map<std::string, member_state> Members;
  std::size_t NotAlive = 0;             // members that are not alive
  state::time_point LastStaleGrantAt{}; // no stale lease is granted after this
                                        // plus the detection lag
  state::time_point LastTick{};
};

} // namespace hyssopledge::coordination
