#include "hyssopledge/coordination/version_test.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <string_view>

namespace hyssopledge::coordination {

namespace {

// Minimum samples for an estimate; with fewer a test stays undecided.
constexpr std::uint64_t MinOldCalls = 20;
constexpr std::uint64_t MinOldLatencies = 20; // in one data centre
constexpr std::uint64_t MinNewLatencies = 5;  // in one data centre
// Number of calls of the old version in a data centre above which its own
// failure rate outweighs the rate over all data centres.
constexpr double RatePriorCalls = 30;
// 2 buckets cover a factor of 2 in latency.
constexpr double BucketsPerDoubling = 2;
constexpr double Normal95 = 1.645; // one-sided 95% quantile
// If the versions share no data centre, the difference includes the network
// distance between data centres, so twice the slowdown is required.
constexpr double CrossCentreFactor = 2;

struct counts {
  double Calls = 0;
  double Failures = 0;
  double Refused = 0;
  std::uint64_t LatencyCount = 0;
  std::array<std::uint64_t, LatencyBuckets> Latency{};

  void add(const evidence_counts &Counts) {
    Calls += static_cast<double>(Counts.calls());
    Failures += static_cast<double>(Counts.Failures);
    Refused += static_cast<double>(Counts.Refused);
    for (std::size_t I = 0; I < LatencyBuckets; ++I) {
      Latency[I] += Counts.Latency[I];
      LatencyCount += Counts.Latency[I];
    }
  }
};

struct centre_counts {
  std::string_view Name;
  counts Old;
  counts New;
};
using centres = std::vector<centre_counts>;

centres groupByCentre(const evidence_sums &Sums, const std::string &Old,
                      const std::string &New, std::string_view Route) {
  centres Centres;
  for (const stratum_sum &Sum : Sums) {
    if (!Route.empty() && Sum.Key->Route != Route)
      continue;
    const bool IsNew = Sum.Key->Version == New;
    if (!IsNew && Sum.Key->Version != Old)
      continue;
    const std::string_view Name = Sum.Key->TargetDataCentre;
    auto Found = std::find_if(
        Centres.begin(), Centres.end(),
        [&](const centre_counts &Other) { return Other.Name == Name; });
    if (Found == Centres.end())
      Found = Centres.insert(Centres.end(), centre_counts{Name, {}, {}});
    (IsNew ? Found->New : Found->Old).add(Sum.Counts);
  }
  return Centres;
}

/// Returns the upper bound of the Wilson score interval.
double wilsonUpper(double Hits, double Calls, double Z) {
  if (Calls <= 0)
    return 1;
  const double Rate = Hits / Calls;
  const double Z2 = Z * Z / Calls;
  return (Rate + Z2 / 2 + Z * std::sqrt((Rate * (1 - Rate) + Z2 / 4) / Calls)) /
         (1 + Z2);
}

/// Returns the log likelihood ratio of Hits in Calls for a beta(1/2, 1/2)
/// mixture against the rate Bound, or 0 if the observed rate is not above it.
double logRatio(double Hits, double Calls, double Bound) {
  if (Calls <= 0 || Bound >= 1 || Hits <= Bound * Calls)
    return 0;
  const double Misses = Calls - Hits;
  const double LogBeta = std::lgamma(Hits + 0.5) + std::lgamma(Misses + 0.5) -
                         std::lgamma(Calls + 1) - 2 * std::lgamma(0.5);
  return LogBeta - Hits * std::log(Bound) - Misses * std::log1p(-Bound);
}

struct hit_counts {
  double OldCalls = 0, OldHits = 0, NewCalls = 0, NewHits = 0;
};

/// Returns the largest tolerated rate of the new version, weighted by its calls
/// in each data centre, or 1 if the old version has too few calls.
double toleratedRate(const std::vector<hit_counts> &Centres, double Factor,
                     double Rise) {
  hit_counts Sum;
  for (const hit_counts &Centre : Centres) {
    Sum.OldCalls += Centre.OldCalls;
    Sum.OldHits += Centre.OldHits;
    Sum.NewCalls += Centre.NewCalls;
  }
  if (Sum.OldCalls < MinOldCalls || Sum.NewCalls <= 0)
    return 1;
  const double Upper = wilsonUpper(Sum.OldHits, Sum.OldCalls, Normal95);
  double Tolerated = 0;
  for (const hit_counts &Centre : Centres) {
    const double Rate = (Centre.OldHits + RatePriorCalls * Upper) /
                        (Centre.OldCalls + RatePriorCalls);
    Tolerated += Centre.NewCalls * std::min(1.0, Factor * Rate + Rise);
  }
  return Tolerated / Sum.NewCalls;
}

struct rate_result {
  double LogRatio = 0;
  double Tolerated = 1;
  hit_counts Sum;
};

rate_result testRate(const std::vector<hit_counts> &Centres, double Factor,
                     double Rise) {
  rate_result Result;
  for (const hit_counts &Centre : Centres) {
    Result.Sum.OldCalls += Centre.OldCalls;
    Result.Sum.OldHits += Centre.OldHits;
    Result.Sum.NewCalls += Centre.NewCalls;
    Result.Sum.NewHits += Centre.NewHits;
  }
  Result.Tolerated = toleratedRate(Centres, Factor, Rise);
  Result.LogRatio =
      logRatio(Result.Sum.NewHits, Result.Sum.NewCalls, Result.Tolerated);
  return Result;
}

std::vector<hit_counts> errorCounts(const centres &Centres) {
  std::vector<hit_counts> Counts;
  Counts.reserve(Centres.size());
  for (const centre_counts &Centre : Centres)
    Counts.push_back({Centre.Old.Calls, Centre.Old.Failures, Centre.New.Calls,
                      Centre.New.Failures});
  return Counts;
}

std::vector<hit_counts> slowCounts(const centres &Centres) {
  std::vector<hit_counts> Counts;
  for (const centre_counts &Centre : Centres) {
    if (Centre.Old.LatencyCount < MinOldLatencies)
      continue;
    std::uint64_t CumulativeCalls = 0;
    std::size_t Quantile = 0;
    while (Quantile + 1 < LatencyBuckets &&
           static_cast<double>(CumulativeCalls + Centre.Old.Latency[Quantile]) <
               0.95 * static_cast<double>(Centre.Old.LatencyCount))
      CumulativeCalls += Centre.Old.Latency[Quantile++];
    hit_counts Hits;
    Hits.OldCalls = static_cast<double>(Centre.Old.LatencyCount);
    Hits.NewCalls = static_cast<double>(Centre.New.LatencyCount);
    // 4 buckets cover a factor of 4.
    for (std::size_t I = Quantile + 5; I < LatencyBuckets; ++I) {
      Hits.OldHits += static_cast<double>(Centre.Old.Latency[I]);
      Hits.NewHits += static_cast<double>(Centre.New.Latency[I]);
    }
    Counts.push_back(Hits);
  }
  return Counts;
}

struct moments {
  double Mean = 0;
  double Variance = 0;
};

moments latencyMoments(const counts &Counts) {
  double Sum = 0;
  double Squares = 0;
  for (std::size_t I = 0; I < LatencyBuckets; ++I) {
    const double Count = static_cast<double>(Counts.Latency[I]);
    const double Position = static_cast<double>(I);
    Sum += Count * Position;
    Squares += Count * Position * Position;
  }
  const double N = static_cast<double>(Counts.LatencyCount);
  const double Mean = Sum / N;
  // The minimum reflects the width of a bucket; without it a few equal samples
  // would have no variance.
  return {Mean, std::max(0.5, Squares / N - Mean * Mean)};
}

struct latency_result {
  bool Known = false;
  double Difference = 0; // in buckets
  double Variance = 0;   // sampling variance of Difference
  double Threshold = 0;  // in buckets
};

latency_result testLatency(const centres &Centres,
                           const comparison_settings &Settings) {
  // Deviation in buckets; a difference of two targets has twice its variance.
  const double Spread =
      Settings.BackEndSpeedDeviation * BucketsPerDoubling / std::log(2.0);
  const double SpreadVariance = 2 * Spread * Spread;
  double Weights = 0, Weighted = 0, Sampling = 0, BetweenTargets = 0;
  const auto Add = [&](const counts &Old, const counts &New) {
    const moments OldMoments = latencyMoments(Old);
    const moments NewMoments = latencyMoments(New);
    const double Variance =
        OldMoments.Variance / static_cast<double>(Old.LatencyCount) +
        NewMoments.Variance / static_cast<double>(New.LatencyCount);
    const double Weight = 1 / (Variance + SpreadVariance);
    Weights += Weight;
    Weighted += Weight * (NewMoments.Mean - OldMoments.Mean);
    Sampling += Weight * Weight * Variance;
    BetweenTargets += Weight * Weight * SpreadVariance;
  };
  double Factor = Settings.MinSlowdown;
  counts AllOld, AllNew;
  for (const centre_counts &Centre : Centres) {
    if (Centre.Old.LatencyCount >= MinOldLatencies &&
        Centre.New.LatencyCount >= MinNewLatencies)
      Add(Centre.Old, Centre.New);
    for (std::size_t I = 0; I < LatencyBuckets; ++I) {
      AllOld.Latency[I] += Centre.Old.Latency[I];
      AllNew.Latency[I] += Centre.New.Latency[I];
    }
    AllOld.LatencyCount += Centre.Old.LatencyCount;
    AllNew.LatencyCount += Centre.New.LatencyCount;
  }
  if (Weights == 0) {
    if (AllOld.LatencyCount < MinOldLatencies ||
        AllNew.LatencyCount < MinNewLatencies)
      return {};
    Factor *= CrossCentreFactor;
    Add(AllOld, AllNew);
  }
  latency_result Result;
  Result.Known = true;
  Result.Difference = Weighted / Weights;
  Result.Variance = Sampling / (Weights * Weights);
  Result.Threshold = BucketsPerDoubling * std::log2(Factor) +
                     2 * std::sqrt(BetweenTargets) / Weights;
  return Result;
}

/// Returns the half width of the normal mixture confidence sequence in standard
/// errors.
double mixtureWidth(double Variance, double FalseAlarmProbability) {
  // Tuned for information 1, where a difference of about 5 buckets decides.
  constexpr double Rho = 1;
  const double Information = 1 / Variance;
  return std::sqrt((1 + Rho / Information) *
                   std::log((Information + Rho) / (Rho * FalseAlarmProbability *
                                                   FalseAlarmProbability)));
}

template <class... T> std::string format(const char *Format, T... Values) {
  char Text[240];
  std::snprintf(Text, sizeof(Text), Format, Values...);
  return Text;
}

std::string rateFigures(const rate_result &Rate) {
  return format("new %.0f of %.0f, old %.0f of %.0f, tolerated rate %.4f, log "
                "likelihood ratio %.1f",
                Rate.Sum.NewHits, Rate.Sum.NewCalls, Rate.Sum.OldHits,
                Rate.Sum.OldCalls, Rate.Tolerated, Rate.LogRatio);
}

/// Runs the three tests for one route, or for all routes if Route is empty.
version_comparison compareRoute(const centres &Centres, std::string_view Route,
                                const comparison_settings &Settings) {
  version_comparison Result;
  Result.Route = std::string(Route);
  const double Limit = -std::log(Settings.FalseAlarmProbability);
  const rate_result Errors = testRate(
      errorCounts(Centres), Settings.ErrorFactor, Settings.MinErrorRateRise);
  const rate_result Slow = testRate(slowCounts(Centres), Settings.ErrorFactor,
                                    Settings.MinSlowRateRise);
  const latency_result Latency = testLatency(Centres, Settings);
  Result.NewCalls = static_cast<std::uint64_t>(Errors.Sum.NewCalls);
  Result.OldCalls = static_cast<std::uint64_t>(Errors.Sum.OldCalls);
  const double Deviation = std::sqrt(Latency.Variance);
  const double Excess = Latency.Difference - Latency.Threshold;

  const auto MakeResult = [&](version_verdict Verdict, bool Suspicious,
                              const char *Rule, std::string Figures) {
    Result.Verdict = Verdict;
    Result.Suspicious = Suspicious;
    Result.Rule = Rule;
    Result.Figures = std::move(Figures);
    return Result;
  };
  const auto LatencyFigures = [&] {
    return format("new %.0f calls, old %.0f calls, latency factor %.2f, "
                  "tolerated %.2f, standard error %.2f",
                  Errors.Sum.NewCalls, Errors.Sum.OldCalls,
                  std::exp2(Latency.Difference / BucketsPerDoubling),
                  std::exp2(Latency.Threshold / BucketsPerDoubling),
                  Deviation / BucketsPerDoubling);
  };
  if (Errors.LogRatio > Limit)
    return MakeResult(version_verdict::Bad, true, "error_rate",
                      rateFigures(Errors));
  double Refused = 0;
  for (const centre_counts &Centre : Centres)
    Refused += Centre.New.Refused;
  const bool IsSlower =
      (Latency.Known &&
       Excess > Deviation * mixtureWidth(Latency.Variance,
                                         Settings.FalseAlarmProbability)) ||
      Slow.LogRatio > Limit;
  if (IsSlower &&
      Refused > Settings.OverloadRefusalShare * (Refused + Errors.Sum.NewCalls))
    return MakeResult(version_verdict::Undecided, true, "overloaded",
                      format("%.0f refused; ", Refused) + LatencyFigures());
  if (Latency.Known &&
      Excess > Deviation * mixtureWidth(Latency.Variance,
                                        Settings.FalseAlarmProbability))
    return MakeResult(version_verdict::Bad, true, "latency", LatencyFigures());
  if (Slow.LogRatio > Limit)
    return MakeResult(version_verdict::Bad, true, "slow_calls",
                      rateFigures(Slow));

  if (Errors.LogRatio > Settings.SuspicionLogRatio)
    return MakeResult(version_verdict::Undecided, true, "error_rate",
                      rateFigures(Errors));
  if (Slow.LogRatio > Settings.SuspicionLogRatio)
    return MakeResult(version_verdict::Undecided, true, "slow_calls",
                      rateFigures(Slow));
  if (Latency.Known && Excess > 3 * Deviation)
    return MakeResult(version_verdict::Undecided, true, "latency",
                      LatencyFigures());
  // A margin of 0.02 above the tolerated rate lets a good version pass with
  // RequiredCalls; a tighter bound would need thousands of calls.
  const bool Clean = Result.NewCalls >= Settings.RequiredCalls &&
                     Errors.Tolerated < 1 &&
                     wilsonUpper(Errors.Sum.NewHits, Errors.Sum.NewCalls,
                                 Normal95) <= Errors.Tolerated + 0.02 &&
                     Latency.Known && Excess + Normal95 * Deviation < 0;
  return MakeResult(Clean ? version_verdict::AsGood
                          : version_verdict::Undecided,
                    false, Clean ? "as_good" : "too_few_calls",
                    rateFigures(Errors) + "; " + LatencyFigures());
}

constexpr std::size_t Windows[] = {1, 3, 10, 30, evidence_series::SinceStep};

using window_sums =
    std::function<evidence_sums(std::size_t, std::optional<std::size_t>)>;

version_comparison evaluateWindows(const evidence_series &Series,
                                   const window_sums &Sums,
                                   const std::string &Old,
                                   const std::string &New,
                                   const comparison_settings &Settings) {
  const std::vector<std::size_t> Excludable = Series.excludableReporters();
  version_comparison Result;
  std::optional<version_comparison> Overloaded;
  bool Suspicious = false;
  for (std::size_t Window : Windows) {
    version_comparison Total =
        compareVersions(Sums(Window, {}), Old, New, Settings);
    Suspicious = Suspicious || Total.Suspicious;
    if (Total.Verdict == version_verdict::Bad &&
        std::all_of(Excludable.begin(), Excludable.end(), [&](std::size_t R) {
          return compareVersions(Sums(Window, R), Old, New, Settings).Verdict ==
                 version_verdict::Bad;
        }))
      return Total;
    if (Total.Rule == "overloaded")
      Overloaded = Total;
    Result = std::move(Total);
  }
  if (Overloaded)
    return *Overloaded;
  // Result is that of the last window, SinceStep.
  if (!Suspicious)
    return Result;
  for (std::size_t R : Excludable) {
    bool Clean = true;
    version_comparison Remaining;
    for (std::size_t Window : Windows) {
      Remaining = compareVersions(Sums(Window, R), Old, New, Settings);
      Clean = Clean && !Remaining.Suspicious;
      if (!Clean)
        break;
    }
    if (!Clean)
      continue;
    Remaining.Figures += "; without reporter " + Series.reporterName(R);
    return Remaining;
  }
  if (Result.Verdict != version_verdict::Undecided)
    Result.Verdict = version_verdict::Undecided;
  Result.Suspicious = true;
  return Result;
}

} // namespace

version_comparison compareVersions(const evidence_sums &Sums,
                                   const std::string &Old,
                                   const std::string &New,
                                   const comparison_settings &Settings) {
  version_comparison Total =
      compareRoute(groupByCentre(Sums, Old, New, {}), {}, Settings);
  if (Total.Verdict == version_verdict::Bad)
    return Total;
  std::vector<std::string_view> Routes;
  for (const stratum_sum &Sum : Sums)
    if (!Sum.Key->Route.empty() &&
        std::find(Routes.begin(), Routes.end(), Sum.Key->Route) == Routes.end())
      Routes.push_back(Sum.Key->Route);
  if (Routes.size() < 2)
    return Total;
  for (std::string_view Route : Routes) {
    version_comparison RouteResult =
        compareRoute(groupByCentre(Sums, Old, New, Route), Route, Settings);
    if (RouteResult.Verdict == version_verdict::Bad ||
        (RouteResult.Suspicious && !Total.Suspicious)) {
      RouteResult.NewCalls = Total.NewCalls;
      RouteResult.OldCalls = Total.OldCalls;
      Total = RouteResult;
      if (RouteResult.Verdict == version_verdict::Bad)
        return Total;
    }
  }
  return Total;
}

version_comparison evaluateVersions(const evidence_series &Series,
                                    const std::string &Old,
                                    const std::string &New,
                                    const comparison_settings &Settings) {
  return evaluateWindows(
      Series,
      [&](std::size_t Window, std::optional<std::size_t> ExcludedReporter) {
        return Series.sums(Window, ExcludedReporter);
      },
      Old, New, Settings);
}

version_comparison
evaluateAgainstBaseline(const evidence_series &Series, const std::string &Old,
                        const std::string &New,
                        const comparison_settings &Settings) {
  if (!Series.hasBaseline())
    return {};
  return evaluateWindows(
      Series,
      [&](std::size_t Window, std::optional<std::size_t> ExcludedReporter) {
        return Series.sumsWithBaseline(Window, New, ExcludedReporter);
      },
      Old, New, Settings);
}

} // namespace hyssopledge::coordination
