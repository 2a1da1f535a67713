/// \file
/// Deals requests to parts in proportion to their weights, evenly spread
/// (smooth weighted round robin). No I/O; not thread-safe.
#pragma once

#include <cstddef>
#include <vector>

namespace hyssopledge::state {

class weighted_round_robin {
public:
  /// Position of the part that is next. Weights are 0 or more, not all 0.
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
