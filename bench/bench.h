/// \file
/// Registry of benchmark cases and the result rows that they return. A baseline
/// is measured in the same run as the value, because absolute values differ
/// between machines.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hyssopledge::bench {

/// One measured value and the value of a baseline from the same run.
struct row {
  std::string Name;
  std::string Unit;
  double Value = 0;
  double Baseline = 0;      // 0 if the row has no baseline
  std::string BaselineName; // the simplest reasonable implementation
  std::string Target;       // required value; empty if there is none
  bool HigherIsBetter = false;
};

/// Options of a run. Parameters were tuned only on seeds below HeldOutSeedBase;
/// reported results use seeds from there on.
struct options {
  std::uint64_t Seed = 1;
  bool Quick = false;    // fewer repetitions, for smoke tests
  std::string BinaryDir; // build folder, for cases that start processes
};
constexpr std::uint64_t HeldOutSeedBase = 1'000'000;

using bench_function = std::function<std::vector<row>(const options &)>;

/// Adds a case to cases() during static initialization:
/// `const registration Register("name", function);`
struct registration {
  registration(std::string Name, bench_function Function);
};

struct bench_case {
  std::string Name;
  bench_function Function;
};
const std::vector<bench_case> &cases(); // all registered cases

} // namespace hyssopledge::bench
