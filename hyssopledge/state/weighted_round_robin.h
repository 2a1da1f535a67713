/// \file
/// Smooth weighted round robin: distributes requests in proportion to weights,
/// evenly interleaved. No I/O; not thread-safe.
#pragma once

#include <cstddef>
#include <vector>

namespace hyssopledge::state {

class weighted_round_robin {
public:
  /// Index of the next destination. Weights must be >= 0 and not all 0.
  std::size_t next(const std::vector<double> &Weights) {
    Credit.resize(Weights.size(), 0);
    double Total = 0;
    std::size_t Best = 0;
    for (std::size_t I = 0; I < Weights.size(); ++I) {
      Credit[I] += Weights[I];
      Total += Weights[I];
      if (Credit[I] > Credit[Best])
        Best = I;
    }
    Credit[Best] -= Total;
    return Best;
  }

private:
  std::vector<double> Credit;
};

} // namespace hyssopledge::state
