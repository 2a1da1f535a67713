/// \file
/// Token buckets of the workspaces of one quota slot, at the daemon that owns
/// the slot. No I/O; not thread-safe.
///
/// Each daemon has an equal share of the rate and the burst of every workspace
/// and lends its shares to one pool at a time. A pool grants only what the
/// shares lent to it allow, so that all pools together, those of frozen and
/// unreachable daemons included, stay within the limits.
///
/// Load patterns that it handles:
/// - One workspace sends several times its limit: what exceeds it is refused at
///   once, each refusal with a later time to come back, at the rate of the
///   limit.
/// - Small workspaces on many daemons: the shares of all of them form one
/// bucket,
///   so that a request is not refused because its daemon's own share is small.
/// - Granted requests that are refused because the targets are overloaded:
/// their
///   tokens come back, so that the workspace gets its limit in requests that
///   run.
/// - The pool moves to another daemon during a burst: it begins with few tokens
///   there, so that the burst is not granted twice.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/document.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace hyssopledge::state {

/// Excess over the limits that the operators accept. In each window a workspace
/// may run (rate * Window + burst) * (1 + Overage) + Requests.
struct quota_tolerance {
  double Overage = 0;
  double Requests = 0;
  milliseconds Window{5000};
};

struct quota_grant {
  std::uint32_t Granted = 0;  // requests that may run
  milliseconds RetryAfter{0}; // when the refused ones may be granted
};

class quota_pool {
public:
  /// Time for which a share is lent.
  static constexpr milliseconds LendPeriod{600};
  /// Upper bound of quota_grant::RetryAfter. Callers honour a third of their
  /// remaining time, which is a few seconds.
  static constexpr milliseconds MaxRetryAfter{3000};
  /// Parts of the tolerance: added to the burst, so that the arrivals of small
  /// workspaces may be uneven, and granted when a pool begins. Together they
  /// allow two moves of a pool in a window.
  static constexpr double BurstTolerance = 0.5;
  static constexpr double StartTolerance = 0.25;

  explicit quota_pool(quota_tolerance Tolerance = {}) : Tolerance(Tolerance) {}

  /// The daemon lends its shares for LendPeriod.
  void lend(const std::string &Lender, time_point Now);
  void takeBack(const std::string &Lender) { LentUntil.erase(Lender); }
  /// Part of the limits that is lent to this pool, 0..1. Members is the number
  /// of daemons in the fleet.
  double share(std::size_t Members, time_point Now) const;
  /// Takes tokens for Count requests of the workspace.
  quota_grant take(const std::string &Workspace, const quota_limit &Limit,
                   std::uint32_t Count, std::size_t Members, time_point Now);

  /// Returns tokens of requests that were granted and have not run.
  void giveBack(const std::string &Workspace, std::uint32_t Count);

private:
  struct bucket {
    double Tokens = 0; // at UpdatedAt
    double Share = 0;  // of the limits, at UpdatedAt
    time_point UpdatedAt{};
    time_point NextRetryAt{}; // when the last refused request may be granted
  };
  bucket &refill(const std::string &Workspace, const quota_limit &Limit,
                 double Share, time_point Now);

  quota_tolerance Tolerance;
  std::map<std::string, time_point> LentUntil; // by lender
  time_point HeldSince{}; // since then, some share has been lent all the time
  std::unordered_map<std::string, bucket> Buckets;
};

} // namespace hyssopledge::state
