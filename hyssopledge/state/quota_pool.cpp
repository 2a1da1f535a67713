#include "hyssopledge/state/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::state {

void quota_pool::lend(const std::string &Lender, time_point Now) {
  const bool Held =
      std::any_of(LentUntil.begin(), LentUntil.end(),
                  [&](const auto &Entry) { return Entry.second > Now; });
  if (!Held) {
    HeldSince = Now;
    Buckets.clear();
    LentUntil.clear();
  }
  LentUntil[Lender] = Now + LendPeriod;
}

double quota_pool::share(std::size_t Members, time_point Now) const {
  const auto Lenders = static_cast<std::size_t>(
      std::count_if(LentUntil.begin(), LentUntil.end(),
                    [&](const auto &Entry) { return Entry.second > Now; }));
  return static_cast<double>(Lenders) /
         static_cast<double>(std::max<std::size_t>({Members, Lenders, 1}));
}

quota_pool::bucket &quota_pool::refill(const std::string &Workspace,
                                       const quota_limit &Limit, double Share,
                                       time_point Now) {
  const double Rate = Limit.RequestsPerSecond;
  const double Spare =
      Tolerance.Overage *
          (Rate * std::chrono::duration<double>(Tolerance.Window).count() +
           Limit.Burst) +
      Tolerance.Requests;
  const auto [It, New] = Buckets.try_emplace(Workspace);
  bucket &Bucket = It->second;
  const auto Since = New ? HeldSince : Bucket.UpdatedAt;
  const double Seconds =
      std::max(0.0, std::chrono::duration<double>(Now - Since).count());
  if (New) {
    Bucket.Tokens = Share * (StartTolerance * Spare + Rate * Seconds);
  } else {
    // The share may have been smaller in between.
    Bucket.Tokens += std::min(Bucket.Share, Share) * Rate * Seconds;
  }
  const double Capacity =
      std::max(1.0, (Limit.Burst + BurstTolerance * Spare) * Share);
  Bucket.Tokens = std::min(Bucket.Tokens, Capacity);
  Bucket.Share = Share;
  Bucket.UpdatedAt = Now;
  return Bucket;
}

void quota_pool::giveBack(const std::string &Workspace, std::uint32_t Count) {
  if (const auto Found = Buckets.find(Workspace); Found != Buckets.end())
    Found->second.Tokens += Count; // the next refill limits them
}

quota_grant quota_pool::take(const std::string &Workspace,
                             const quota_limit &Limit, std::uint32_t Count,
                             std::size_t Members, time_point Now) {
  const double Share = share(Members, Now);
  bucket &Bucket = refill(Workspace, Limit, Share, Now);
  quota_grant Grant;
  Grant.Granted =
      std::min(Count, static_cast<std::uint32_t>(std::max(0.0, Bucket.Tokens)));
  Bucket.Tokens -= Grant.Granted;
  const std::uint32_t Refused = Count - Grant.Granted;
  if (Refused == 0)
    return Grant;
  // The refused requests come back one after the other at the rate.
  const double Rate = Limit.RequestsPerSecond * Share;
  const double Seconds = Rate > 0 ? Refused / Rate : 0;
  const auto Latest = Now + MaxRetryAfter;
  Bucket.NextRetryAt = std::max(Bucket.NextRetryAt, Now);
  if (Rate <= 0 ||
      Seconds > std::chrono::duration<double>(MaxRetryAfter).count())
    Bucket.NextRetryAt = Latest;
  else
    Bucket.NextRetryAt = std::min(
        Latest, Bucket.NextRetryAt + milliseconds(static_cast<std::int64_t>(
                                         std::ceil(Seconds * 1000))));
  Grant.RetryAfter =
      std::chrono::duration_cast<milliseconds>(Bucket.NextRetryAt - Now);
  return Grant;
}

} // namespace hyssopledge::state
