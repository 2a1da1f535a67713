/// \file
/// Random number helpers. Callers pass in the engine or draw, so that a run can
/// be reproduced from its seed.
#pragma once

#include <cstdint>
#include <random>

namespace hyssopledge::state {

using random_engine = std::mt19937_64;

/// Uniform in [0, 1), from the upper 53 bits of a uniform draw.
inline double unitInterval(std::uint64_t Draw) {
  return static_cast<double>(Draw >> 11) * 0x1.0p-53;
}

/// Uniform in [0, Bound); Bound must not be 0.
inline std::uint64_t uniformBelow(random_engine &Engine, std::uint64_t Bound) {
  return std::uniform_int_distribution<std::uint64_t>(0, Bound - 1)(Engine);
}

} // namespace hyssopledge::state
