#include "hyssopledge/coordination/lease_policy.h"

#include "hyssopledge/coordination/jitter.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::coordination {

using state::boot_clock;
using state::milliseconds;
using state::time_point;

namespace {
constexpr milliseconds MaxAcceptedDuration{24 * 3600 * 1000};
constexpr milliseconds MinRetryDelay{500};
constexpr milliseconds MaxRetryDelay{10000};
constexpr milliseconds MaxRetryAfterDelay{30000};
constexpr std::uint32_t MaxLevel = 64;
constexpr std::size_t MaxRememberedLevels = 4096;
} // namespace

milliseconds leaseDuration(const state::lease_spec &Spec, std::uint32_t Level) {
  const double Seconds = static_cast<double>(Spec.InitialDuration.count()) *
                         std::pow(Spec.Growth, std::min(Level, MaxLevel));
  return milliseconds(static_cast<std::int64_t>(
      1000 * std::min(Seconds, static_cast<double>(Spec.MaxDuration.count()))));
}

//-----------------------------------------------------------------------------
// Daemon side
//-----------------------------------------------------------------------------

bool lease_holder::renewalDue(time_point Now) const {
  return !RequestPending && Now >= NextRenewalAt;
}

void lease_holder::beginRenewal(time_point Now,
                                control::renew_request &Request) {
  if (HadLease && !HasExpired && !validAt(Now)) {
    HasExpired = true;
    Level /= 2;
  }
  RequestPending = true;
  SentAt = Now;
  Request.set_level(Level);
  Request.set_first(!HadLease);
}

void lease_holder::onResponse(
    time_point Now, const state::result<control::renew_response> &Response) {
  RequestPending = false;
  if (Response && Response.value().granted()) {
    const milliseconds Duration = std::min(
        MaxAcceptedDuration,
        milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(
            Response.value().duration_ms(), MaxAcceptedDuration.count()))));
    // Counted from the sending of the request: the relay counts from later.
    const std::int64_t Expiry = (SentAt + Duration).time_since_epoch().count();
    ExpiresAt.store(std::max(ExpiresAt.load(), Expiry),
                    std::memory_order_release);
    Level = std::min(Response.value().level(), MaxLevel);
    HadLease = true;
    HasExpired = false;
    Failures = 0;
    NextRenewalAt = SentAt + randomBetween(Random, scaled(Duration, 0.5),
                                           scaled(Duration, 0.8));
    return;
  }
  if (Response && Response.value().retry_after_ms() > 0) {
    Failures = 0;
    const auto Delay = std::min(
        MaxRetryAfterDelay, milliseconds(Response.value().retry_after_ms()));
    NextRenewalAt = Now + randomBetween(Random, Delay, Delay + Delay / 4);
    return;
  }
  const milliseconds Backoff =
      std::min(MaxRetryDelay, MinRetryDelay * (1U << std::min(Failures, 10U)));
  ++Failures;
  NextRenewalAt = Now + randomBetween(Random, Backoff / 2, Backoff);
}

milliseconds lease_holder::remaining(time_point Now) const {
  const std::int64_t Left = ExpiresAt.load(std::memory_order_acquire) -
                            Now.time_since_epoch().count();
  return std::chrono::duration_cast<milliseconds>(
      boot_clock::duration(std::max<std::int64_t>(0, Left)));
}

//-----------------------------------------------------------------------------
// Relay side
//-----------------------------------------------------------------------------

lease_grantor::lease_grantor(grantor_options Options,
                             state::random_engine &Random)
    : Options(Options), Random(Random), Tokens(Options.Burst) {}

void lease_grantor::onHeadConfirmed(time_point SentAt,
                                    std::uint64_t HeadVersion) {
  if (HeadConfirmed && SentAt < HeadConfirmedAt)
    return;
  HeadConfirmed = true;
  HeadConfirmedAt = SentAt;
  ConfirmedVersion = std::max(ConfirmedVersion, HeadVersion);
}

bool lease_grantor::hasRecentConfirmation(time_point Now) const {
  return HeadConfirmed && Now <= HeadConfirmedAt + Options.MaxConfirmationAge;
}

std::string lease_grantor::refusal(time_point Now,
                                   const control::renew_request &Request,
                                   const grant_context &Context) const {
  const std::uint64_t Newest = std::max(
      {Context.KnownVersion, Context.ConfirmedVersion, ConfirmedVersion});
  // If the document of the newest head is invalid, the whole fleet stays at the
  // previous version and still needs leases.
  const bool IsUpToDate =
      Request.applied_version() >= Newest ||
      (Context.KnownHeadRefused && Context.KnownVersion == Newest &&
       Request.applied_version() >= Context.AppliedVersion);
  // The coordinator waits for the leases of known members only.
  if (!Context.KnownToFleet)
    return "in touch with no relay";
  if (hasRecentConfirmation(Now)) {
    if (!IsUpToDate)
      return "version " + std::to_string(Request.applied_version()) +
             " is behind " + std::to_string(Newest);
    return "";
  }
  if (!Context.PlatformDown)
    return "no recent confirmation of the head";
  if (!Context.MajorityReachable)
    return "platform is down and no majority of members is reachable";
  if (!IsUpToDate || Request.applied_version() > Context.AppliedVersion)
    return "platform is down and a newer version than " +
           std::to_string(std::min<std::uint64_t>(Request.applied_version(),
                                                  Context.AppliedVersion)) +
           " is known";
  return "";
}

std::uint32_t lease_grantor::nextLevel(time_point Now,
                                       const control::renew_request &Request,
                                       const grant_context &Context) const {
  auto Found = Leases.find(Request.instance());
  const bool Known = Found != Leases.end();
  const std::uint32_t RememberedLevel =
      std::min(MaxLevel, std::max(Known ? Found->second.Level : 0U,
                                  Context.RememberedLevel));
  if (Request.first())
    return Context.LeftCleanly ? RememberedLevel : RememberedLevel / 2;
  if (Known && Found->second.Incarnation == Request.incarnation() &&
      Found->second.ExpiresAt != time_point{} && Now >= Found->second.ExpiresAt)
    return std::min(Request.level(), Found->second.Level / 2);
  const std::uint32_t Level = std::min(Request.level(), MaxLevel);
  // A level above the maximum duration would only delay the effect of halving.
  return leaseDuration(Spec, Level) < Spec.MaxDuration ? Level + 1 : Level;
}

control::renew_response
lease_grantor::onRequest(time_point Now, const control::renew_request &Request,
                         const grant_context &Context) {
  control::renew_response Response;
  Response.set_head_version(std::max(Context.KnownVersion, ConfirmedVersion));
  std::string Refusal = refusal(Now, Request, Context);
  if (!Refusal.empty()) {
    Response.set_reason(std::move(Refusal));
    Response.set_retry_after_ms(1000);
    return Response;
  }
  Tokens = std::min(
      Options.Burst,
      Tokens +
          Options.GrantsPerSecond *
              std::chrono::duration<double>(Now - TokensUpdatedAt).count());
  TokensUpdatedAt = Now;
  if (Tokens < 1) {
    // Each refused request reserves a retry time, so that the requests return
    // at the rate at which they can be granted.
    NextRetryReserved =
        std::max(NextRetryReserved, Now + milliseconds(200)) +
        scaled(std::chrono::seconds(1), 1 / Options.GrantsPerSecond);
    const auto Delay =
        std::chrono::duration_cast<milliseconds>(NextRetryReserved - Now);
    Response.set_reason("grant rate exceeded");
    Response.set_retry_after_ms(static_cast<std::uint32_t>(
        std::min(Delay, MaxRetryAfterDelay).count()));
    return Response;
  }
  Tokens -= 1;
  const std::uint32_t Level = nextLevel(Now, Request, Context);
  const milliseconds Duration = leaseDuration(Spec, Level);
  if (Leases.contains(Request.instance()) ||
      Leases.size() < MaxRememberedLevels) {
    member_lease &Entry = Leases[Request.instance()];
    LevelsChanged = LevelsChanged || Entry.Level != Level;
    Entry = {Request.incarnation(), Level, Now + Duration};
  }
  Response.set_granted(true);
  Response.set_level(Level);
  Response.set_duration_ms(static_cast<std::uint64_t>(Duration.count()));
  return Response;
}

control::lease_levels lease_grantor::levels() const {
  control::lease_levels Levels;
  for (const auto &[Instance, Entry] : Leases) {
    auto *Out = Levels.add_entries();
    Out->set_instance(Instance);
    Out->set_level(Entry.Level);
  }
  return Levels;
}

void lease_grantor::importLevels(const control::lease_levels &Levels) {
  for (const auto &Entry : Levels.entries())
    if (Leases.size() < MaxRememberedLevels &&
        !Leases.contains(Entry.instance()))
      Leases[Entry.instance()].Level = std::min(Entry.level(), MaxLevel);
}

bool lease_grantor::takeLevelsChanged() {
  const bool Previous = LevelsChanged;
  LevelsChanged = false;
  return Previous;
}

//-----------------------------------------------------------------------------
// Convergence
//-----------------------------------------------------------------------------

void convergence_tracker::onSpec(const state::lease_spec &Spec) {
  MaxLeaseDuration = std::max<milliseconds>(MaxLeaseDuration, Spec.MaxDuration);
}

void convergence_tracker::onHead(time_point Now, const control::head &NewHead) {
  if (NewHead.version() <= Head.version())
    return;
  Head = NewHead;
  LastStaleGrantAt = Now;
}

void convergence_tracker::onMember(time_point Now,
                                   const control::member &Member) {
  auto Found = Members.find(Member.instance());
  if (Found != Members.end())
    NotAlive -= Found->second.Status != control::MEMBER_ALIVE ? 1 : 0;
  if (Member.status() == control::MEMBER_LEFT) {
    if (Found != Members.end())
      Members.erase(Found);
    return;
  }
  member_state &Entry = Members[Member.instance()];
  Entry.Status = Member.status();
  NotAlive += Entry.Status != control::MEMBER_ALIVE ? 1 : 0;
  Entry.Incarnation = std::max(Entry.Incarnation, Member.incarnation());
  if (halfNotAlive())
    LastStaleGrantAt = Now;
}

void convergence_tracker::onAcknowledgement(
    time_point Now,
    const control::report_request::acknowledgement &Acknowledgement) {
  (void)Now;
  auto Found = Members.find(Acknowledgement.instance());
  if (Found == Members.end())
    return;
  member_state &Member = Found->second;
  if (Acknowledgement.incarnation() < Member.AppliedIncarnation)
    return;
  if (Acknowledgement.incarnation() > Member.AppliedIncarnation)
    Member.Applied = 0;
  Member.AppliedIncarnation = Acknowledgement.incarnation();
  Member.Applied = std::max(Member.Applied, Acknowledgement.applied_version());
}

bool convergence_tracker::acknowledged(const member_state &Member) const {
  return Member.Applied >= Head.version() &&
         Member.AppliedIncarnation >= Member.Incarnation;
}

bool convergence_tracker::halfNotAlive() const {
  return 2 * NotAlive >= Members.size();
}

void convergence_tracker::onTick(time_point Now) {
  // During a pause, members may have been unreachable without being detected.
  if (halfNotAlive() || Now - LastTickAt > Options.DetectionDelay)
    LastStaleGrantAt = Now;
  LastTickAt = Now;
}

boot_clock::duration convergence_tracker::staleLeaseTimeout() const {
  return Options.DetectionDelay +
         scaled(MaxLeaseDuration, 1 + Options.ClockDrift);
}

control::convergence
convergence_tracker::convergence(time_point Now, std::int64_t UnixMs) const {
  control::convergence Result;
  Result.set_version(Head.version());
  Result.set_members(static_cast<std::uint32_t>(Members.size()));
  Result.set_accepted_unix_ms(Head.accepted_unix_ms());
  Result.set_stated_unix_ms(UnixMs);
  const bool StaleLeasesExpired = MaxLeaseDuration.count() > 0 &&
                                  Now >= LastStaleGrantAt + staleLeaseTimeout();
  std::uint32_t Acknowledged = 0;
  std::uint32_t LeaseEnded = 0;
  for (const auto &[Instance, Member] : Members) {
    if (acknowledged(Member))
      ++Acknowledged;
    // A reachable member renews its lease, so it has to acknowledge.
    else if (StaleLeasesExpired && Member.Status == control::MEMBER_DEAD)
      ++LeaseEnded;
    else if (Result.waiting_for_size() < 20)
      Result.add_waiting_for(Instance);
  }
  Result.set_acknowledged(Acknowledged);
  Result.set_lease_ended(LeaseEnded);
  Result.set_in_force_everywhere(AllMembersKnown && Head.version() > 0 &&
                                 !Members.empty() && !halfNotAlive() &&
                                 Now - LastTickAt <= Options.DetectionDelay &&
                                 Acknowledged + LeaseEnded == Members.size());
  return Result;
}

} // namespace hyssopledge::coordination
