/// \file
/// How many repeated sends this daemon may make to each service. The budget is
/// held over all daemons together without asking them: each keeps to its share.
/// No I/O; not thread-safe.
///
/// Load pattern that it answers: a target or a service fails many requests, and
/// repeats would add to its load.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace hyssopledge::state {

struct shared_retry_budget_settings {
  double Ratio = 0.2;              // repeats for each request, all daemons
  double Slack = 64;               // repeats beyond Ratio in one window, all
  std::chrono::seconds Window{10}; // over which both are counted
  /// Part of the budget that is used. The rest covers daemons that count fewer
  /// members than there are.
  double Part = 0.9;
};

class shared_retry_budget {
public:
  explicit shared_retry_budget(shared_retry_budget_settings Settings)
      : Settings(Settings) {}

  void setDaemonCount(std::size_t Count) { Daemons = Count > 0 ? Count : 1; }
  /// A caller's request for the service.
  void onRequest(const std::string &Service, time_point Now);
  /// Takes one repeat; false when the share is used up.
  bool tryAcquire(const std::string &Service, time_point Now);
  /// Counts a call that a repeated run made, which nobody decided on. Share is
  /// the probability that a repeated run made it.
  void onNestedCall(const std::string &Service, double Share, time_point Now);

private:
  struct bucket {
    double Tokens = 0;
    time_point FilledAt{};
  };
  bucket &filled(const std::string &Service, time_point Now);
  double slackShare() const; // of one window
  double capacity() const;

  shared_retry_budget_settings Settings;
  std::size_t Daemons = 1;
  std::unordered_map<std::string, bucket> Buckets;
};

} // namespace hyssopledge::state
