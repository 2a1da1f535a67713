/// \file
/// Bench cases and the rows they report.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hyssopledge::bench {

/// One figure beside the same figure of the baseline, measured in the same run.
struct row {
  std::string Name;
  std::string Unit;
  double Value = 0;
  double Baseline = 0;      // 0: no baseline for this row
  std::string BaselineName; // what a sensible team would write first
  std::string Target;       // the stated target, empty: none stated
  bool HigherIsBetter = false;
};

/// Settings of a run. Seeds from HeldOutSeedBase up were not used for
/// tuning.
struct options {
  std::uint64_t Seed = 1;
  bool Quick = false;    // fewer repetitions, for tests
  std::string BinaryDir; // folder of hyssopd and the stand-ins, for cases that
                         // start processes
};
constexpr std::uint64_t HeldOutSeedBase = 1'000'000;

using bench_function = std::function<std::vector<row>(const options &)>;

/// Registers a case at program start: `static const registration
/// Register("name", function);`
struct registration {
  registration(std::string Name, bench_function Function);
};

struct bench_case {
  std::string Name;
  bench_function Function;
};
const std::vector<bench_case> &cases();

} // namespace hyssopledge::bench
