/// \file
/// Smooth weighted round robin: distributes requests in proportion to weights,
/// evenly interleaved. The weights may change between requests. No I/O; not
/// thread-safe.
#pragma once

#include <cmath>
#include <cstddef>
#include <vector>

namespace hyssopledge::state {

class weighted_round_robin {
public:
  /// Index of the next destination. Weights must be >= 0, with a finite sum >
  /// 0. One with the weight 0 is never chosen, whatever it had earned before.
  std::size_t next(const std::vector<double> &Weights) {
    double Sum = 0;
    for (const double Weight : Weights)
      Sum += Weight;
    // Only the proportions of the weights have a meaning, so that credits that
    // were earned in another scale are converted.
    const double Scale = Total > 0 ? Sum / Total : 0;
    if (Credit.size() != Weights.size() || !std::isfinite(Scale))
      Credit.assign(Weights.size(), 0);
    else if (Scale != 1)
      for (double &Earned : Credit)
        Earned *= Scale;
    Total = Sum;
    std::size_t Best = Weights.size();
    for (std::size_t I = 0; I < Weights.size(); ++I) {
      Credit[I] = Weights[I] > 0 ? Credit[I] + Weights[I] : 0;
      if (Weights[I] > 0 &&
          (Best == Weights.size() || Credit[I] > Credit[Best]))
        Best = I;
    }
    Credit[Best] -= Total;
    return Best;
  }

private:
  std::vector<double> Credit;
  double Total = 0; // of the latest weights
};

} // namespace hyssopledge::state
