/// \file
/// Measures retry amplification over a chain of 10 hops.
#include "bench/bench.h"
#include "bench/retry_chain.h"

#include <string>

namespace hyssopledge::bench {

namespace {

struct amplification {
  double Executions = 0; // mean per call of the first hop
  double Success = 0;    // share of calls of the first hop
};

amplification measure(double FailureShare, bool UseRetryRule, unsigned Calls,
                      std::uint64_t Seed) {
  chain Chain(FailureShare, UseRetryRule, Seed);
  unsigned Succeeded = 0;
  for (unsigned I = 0; I < Calls; ++I)
    Succeeded += Chain.call(0, 3).Success ? 1 : 0;
  return {static_cast<double>(Chain.Executions) / Calls,
          static_cast<double>(Succeeded) / Calls};
}

std::vector<row> benchRetry(const options &Options) {
  std::vector<row> Rows;
  const std::string Name = "3 attempts at each hop";
  for (const auto &[Share, Percent] : {std::pair{0.2, "20"}, {1.0, "100"}}) {
    const std::uint64_t Seed = HeldOutSeedBase + Options.Seed;
    const amplification WithRetryRule =
        measure(Share, true, Options.Quick ? 2000 : 20000, Seed);
    // If every execution fails, one call takes 3 to the 10th executions, so
    // that only 20 calls are made.
    const amplification FixedAttempts =
        measure(Share, false, Share < 1 ? 20000 : 20, Seed);
    const std::string Prefix =
        std::string("retry_depth_10.failing_") + Percent + "_percent.";
    Rows.push_back({Prefix + "executions_for_each_call", "executions",
                    WithRetryRule.Executions, FixedAttempts.Executions, Name,
                    "", false});
    Rows.push_back({Prefix + "successful_calls", "%",
                    WithRetryRule.Success * 100, FixedAttempts.Success * 100,
                    Name, "", true});
  }
  return Rows;
}

const registration Register("retry", benchRetry);

} // namespace

} // namespace hyssopledge::bench
