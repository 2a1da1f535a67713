#include "hyssopledge/state/shared_retry_budget.h"

#include <algorithm>

namespace hyssopledge::state {

/// One half of the slack is saved up, the other half comes back within a
/// window, so that no window sees more than all of it.
double shared_retry_budget::slackShare() const {
  constexpr double Half = 0.5;
  return Settings.Slack * Settings.Part * Half / static_cast<double>(Daemons);
}

double shared_retry_budget::capacity() const {
  return std::max(1.0, slackShare());
}

shared_retry_budget::bucket &
shared_retry_budget::filled(const std::string &Service, time_point Now) {
  const auto [Found, New] = Buckets.try_emplace(Service);
  bucket &Bucket = Found->second;
  if (New) {
    Bucket.Tokens = capacity();
  } else {
    const double Windows =
        std::chrono::duration<double>(Now - Bucket.FilledAt).count() /
        static_cast<double>(Settings.Window.count());
    Bucket.Tokens =
        std::min(capacity(), Bucket.Tokens + slackShare() * Windows);
  }
  Bucket.FilledAt = Now;
  return Bucket;
}

void shared_retry_budget::onRequest(const std::string &Service,
                                    time_point Now) {
  bucket &Bucket = filled(Service, Now);
  Bucket.Tokens =
      std::min(capacity(), Bucket.Tokens + Settings.Ratio * Settings.Part);
}

void shared_retry_budget::onNestedCall(const std::string &Service, double Share,
                                       time_point Now) {
  bucket &Bucket = filled(Service, Now);
  // A debt of one window's slack at most, so that it ends.
  Bucket.Tokens = std::max(-capacity(), Bucket.Tokens - Share);
}

bool shared_retry_budget::tryAcquire(const std::string &Service,
                                     time_point Now) {
  bucket &Bucket = filled(Service, Now);
  if (Bucket.Tokens < 1)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

} // namespace hyssopledge::state
