#include "hyssopledge/state/retry_allowance.h"

#include <algorithm>

namespace hyssopledge::state {

double retry_allowance::capacity() const {
  return std::max(1.0, Settings.Slack * Settings.Part /
                           static_cast<double>(Daemons));
}

/// The slack comes back evenly over one window.
retry_allowance::bucket &retry_allowance::filled(const std::string &Service,
                                                 time_point Now) {
  const auto [Found, New] = Buckets.try_emplace(Service);
  bucket &Bucket = Found->second;
  if (New) {
    Bucket.Tokens = capacity();
  } else {
    const double Windows =
        std::chrono::duration<double>(Now - Bucket.FilledAt).count() /
        static_cast<double>(Settings.Window.count());
    Bucket.Tokens = std::min(capacity(), Bucket.Tokens + capacity() * Windows);
  }
  Bucket.FilledAt = Now;
  return Bucket;
}

void retry_allowance::onRequest(const std::string &Service, time_point Now) {
  bucket &Bucket = filled(Service, Now);
  Bucket.Tokens =
      std::min(2 * capacity(), Bucket.Tokens + Settings.Ratio * Settings.Part);
}

bool retry_allowance::tryTake(const std::string &Service, time_point Now) {
  bucket &Bucket = filled(Service, Now);
  if (Bucket.Tokens < 1)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

} // namespace hyssopledge::state
