/// \file
/// Statistical comparison of a new version with the old one over the same
/// period.
#pragma once

#include "hyssopledge/coordination/evidence.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

enum class version_verdict { Undecided, AsGood, Bad };

/// Three sequential tests run over all routes together and for each route:
/// - error_rate: a likelihood ratio of the new version's failures, with a beta
///   mixture as alternative, against the largest tolerated rate. It is a test
///   martingale, so it may be evaluated any number of times.
/// - latency: the difference of the mean log latency within each data centre of
///   the targets, with a normal mixture confidence sequence.
/// - slow_calls: the share of calls slower than 4 times the old version's 95th
///   percentile, tested like the error rate.
/// Each test has a minimum effect size, so that an unimportant difference does
/// not cause a rollback. Targets that refuse calls as "not run" are overloaded:
/// their slowness is attributed to the load and not to the version (rule
/// "overloaded", suspicious), while their failures still count.
struct comparison_settings {
  /// Bound on the false alarm probability of one test over all evaluations. A
  /// rollout runs about 30 tests (5 windows, up to 4 routes and the total), so
  /// 1e-6 keeps the sum over a rollout near 1e-4.
  double FalseAlarmProbability = 1e-6;
  double MinErrorRateRise = 0.01; // absolute, in addition to the factor
  double ErrorFactor = 1.5;       // relative to the old version's rate
  double MinSlowRateRise = 0.03;  // absolute, share of slow calls
  double MinSlowdown = 1.5;       // factor of the mean latency
  /// Standard deviation of the log speed among back ends of one version. With
  /// few targets the versions differ by chance, so the slowdown must also
  /// exceed 2 standard errors of this deviation.
  double BackEndSpeedDeviation = 0.2;
  std::uint64_t RequiredCalls = 200; // of the new version, for AsGood
  /// Log likelihood ratio above which evidence is suspicious: the version is
  /// then neither as good as the old one nor bad.
  double SuspicionLogRatio = 4.0;
  double OverloadRefusalShare = 0.005; // share of the new version's attempts
};

struct version_comparison {
  version_verdict Verdict = version_verdict::Undecided;
  bool Suspicious = false; // some test exceeds its threshold of suspicion
  std::string Rule;    // "error_rate", "latency", "slow_calls", "overloaded"
  std::string Route;   // empty: all routes
  std::string Figures; // human-readable
  std::uint64_t NewCalls = 0; // over all routes
  std::uint64_t OldCalls = 0;
};

/// Compares two versions by the sums of one window.
version_comparison compareVersions(const evidence_sums &Sums,
                                   const std::string &Old,
                                   const std::string &New,
                                   const comparison_settings &Settings);

/// Compares two versions over several windows of the series. The verdict Bad
/// must hold without any single reporter, so one misled daemon can't cause it.
/// Suspicion is dropped if it disappears without some single reporter. The
/// window SinceStep decides on AsGood.
version_comparison evaluateVersions(const evidence_series &Series,
                                    const std::string &Old,
                                    const std::string &New,
                                    const comparison_settings &Settings);

/// Compares the new version with the kept baseline of the old one, for the time
/// in which the old one gets no calls. Returns Undecided without a baseline.
/// The periods differ, so Bad calls for a recheck and not for a rollback.
version_comparison evaluateAgainstBaseline(const evidence_series &Series,
                                           const std::string &Old,
                                           const std::string &New,
                                           const comparison_settings &Settings);

} // namespace hyssopledge::coordination
