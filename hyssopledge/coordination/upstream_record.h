/// \file
/// State of the upstream beside a daemon, as that daemon last received it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hyssopledge::coordination {

enum class upstream_state { None, Serving, Draining, Gone };

struct upstream_record {
  std::string Name; // of this incarnation of the upstream
  std::string Service;
  std::string Version;
  std::uint32_t Slots = 0;
  upstream_state State = upstream_state::None;
  bool AcceptsConnections = true;
  bool Cold = false; // still slow after its start
  std::uint64_t StartUnixMs = 0;
  std::uint64_t Sequence = 0; // of the latest announcement
  /// Requests per second that it accepts; none: no limit.
  std::optional<double> RequestLimit;
};

} // namespace hyssopledge::coordination
