/// \file
/// Compares a new version with the old one in the same period.
#pragma once

#include "hyssopledge/coordination/evidence.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

enum class version_verdict { Undecided, AsGood, Bad };

/// Three tests run in total and for each route:
/// - error_rate: a likelihood ratio of the new version's failures, with a beta
///   mixture as alternative, against the largest rate still tolerated. As a
///   test martingale it may be looked at as often as one likes.
/// - latency: the difference of mean log latency within each data centre of the
///   targets, with a normal mixture confidence sequence.
/// - slow_calls: the share of calls slower than 4 times the old version's 95th
///   percentile, tested like the error rate.
/// Targets that refuse calls as "not run" are overloaded. Their slowness is
/// then put down to the load and not to the version (rule "overloaded",
/// suspicious); failures count all the same. Each has a least effect, so that a
/// difference without importance does not roll back.
struct test_settings {
  /// Bound on a false alarm by one test over all looks. A rollout runs about 30
  /// tests (5 windows, up to 4 routes and the total), so 1e-6 keeps a rollout's
  /// sum near 1e-4.
  double FalseAlarmProbability = 1e-6;
  double MinErrorRateRise = 0.01; // absolute, beside the factor
  double ErrorFactor = 1.5;       // of the old version's rate
  double MinSlowRateRise = 0.03;  // absolute share of slow calls
  double MinSlowdown = 1.5;       // factor of mean latency
  /// Spread of the speed of back ends of one version (standard deviation of
  /// the log). Few targets differ by chance; the slowdown must exceed 2
  /// standard errors of that spread.
  double BackEndSpeedDeviation = 0.2;
  std::uint64_t RequiredCalls = 200; // of the new version, for AsGood
  /// Log likelihood ratio above which evidence is no longer clean: the version
  /// is not good enough, though not bad.
  double SuspicionLogRatio = 4.0;
  double OverloadRefusalShare = 0.005; // share of the new version's attempts
};

struct version_comparison {
  version_verdict Verdict = version_verdict::Undecided;
  bool Suspicious = false; // not clean, though not bad
  std::string Rule;    // "error_rate", "latency", "slow_calls", "overloaded"
  std::string Route;   // empty: in total
  std::string Figures; // for people
  std::uint64_t NewCalls = 0; // in total
  std::uint64_t OldCalls = 0;
};

version_comparison compareVersions(const evidence_sums &Sums,
                                   const std::string &Old,
                                   const std::string &New,
                                   const test_settings &Settings);

/// Compares over the windows of the series. Bad only when it stays bad without
/// any one of the reporters, so a single misled daemon can't make the
/// difference; and evidence that is clean without one reporter is clean. The
/// window SinceStep decides on AsGood.
version_comparison evaluateVersions(const evidence_series &Series,
                                    const std::string &Old,
                                    const std::string &New,
                                    const test_settings &Settings);

/// The same against the kept baseline, for the time when the old version gets
/// no calls. Not of the same period: Bad is a reason to look closer, not to
/// roll back.
version_comparison evaluateAgainstBaseline(const evidence_series &Series,
                                           const std::string &Old,
                                           const std::string &New,
                                           const test_settings &Settings);

} // namespace hyssopledge::coordination
