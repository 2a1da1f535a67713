#include "hyssopledge/state/shared_retry_budget.h"

#include <algorithm>

namespace hyssopledge::state {

/// The bucket holds one half of the slack and the other half is refilled within
/// a window, so that no window sees more than the whole slack.
double shared_retry_budget::slackPerDaemon() const {
  constexpr double BurstFraction = 0.5;
  return Settings.Slack * Settings.SafetyFactor * BurstFraction /
         static_cast<double>(Daemons);
}

double shared_retry_budget::capacity() const {
  return std::max(1.0, slackPerDaemon());
}

shared_retry_budget::bucket &
shared_retry_budget::refill(const std::string &Service, time_point Now) {
  const auto [Found, New] = Buckets.try_emplace(Service);
  bucket &Bucket = Found->second;
  if (New) {
    Bucket.Tokens = capacity();
  } else {
    const double Windows =
        std::chrono::duration<double>(Now - Bucket.RefilledAt).count() /
        static_cast<double>(Settings.Window.count());
    Bucket.Tokens =
        std::min(capacity(), Bucket.Tokens + slackPerDaemon() * Windows);
  }
  Bucket.RefilledAt = Now;
  return Bucket;
}

void shared_retry_budget::onRequest(const std::string &Service,
                                    time_point Now) {
  bucket &Bucket = refill(Service, Now);
  Bucket.Tokens = std::min(
      capacity(), Bucket.Tokens + Settings.Ratio * Settings.SafetyFactor);
}

void shared_retry_budget::onNestedCall(const std::string &Service, double Share,
                                       time_point Now) {
  bucket &Bucket = refill(Service, Now);
  // The debt is limited to the capacity, so that it is paid off in time.
  Bucket.Tokens = std::max(-capacity(), Bucket.Tokens - Share);
}

bool shared_retry_budget::tryAcquire(const std::string &Service,
                                     time_point Now) {
  bucket &Bucket = refill(Service, Now);
  if (Bucket.Tokens < 1)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

} // namespace hyssopledge::state
