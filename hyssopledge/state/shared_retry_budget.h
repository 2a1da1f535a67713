/// \file
/// Retry budget by service that holds over all daemons together. Each daemon
/// stays within its share, so that no coordination is needed. No I/O; not
/// thread-safe.
///
/// Load pattern that it handles: a target or a service fails many requests, and
/// retries would add to its load.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace hyssopledge::state {

struct shared_retry_budget_settings {
  double Ratio = 0.2; // retries for each request, all daemons
  double Slack = 64;  // retries beyond Ratio per window, all daemons
  std::chrono::seconds Window{10}; // for Ratio and Slack
  /// Fraction of the budget in use. The rest allows for daemons that see fewer
  /// members than there are.
  double SafetyFactor = 0.9;
};

class shared_retry_budget {
public:
  explicit shared_retry_budget(shared_retry_budget_settings Settings)
      : Settings(Settings) {}

  void setDaemonCount(std::size_t Count) { Daemons = Count > 0 ? Count : 1; }
  /// Records a request of a caller for the service.
  void onRequest(const std::string &Service, time_point Now);
  /// Consumes one retry; false when the share of this daemon is used up.
  bool tryAcquire(const std::string &Service, time_point Now);
  /// Charges a call made by a run that may be a retry: it adds load without a
  /// decision here. Share is the probability that the run is a retry.
  void onNestedCall(const std::string &Service, double Share, time_point Now);

private:
  struct bucket {
    double Tokens = 0;
    time_point RefilledAt{};
  };
  bucket &refill(const std::string &Service, time_point Now);
  double slackPerDaemon() const; // tokens added per window
  double capacity() const;       // at least one token

  shared_retry_budget_settings Settings;
  std::size_t Daemons = 1;
  std::unordered_map<std::string, bucket> Buckets;
};

} // namespace hyssopledge::state
