/// \file
/// Which upstream is beside this daemon, from what upstreams say. Announcements
/// may come late, twice, from an earlier upstream at the address, or from
/// somebody else. No I/O; not thread-safe.
#pragma once

#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/result.h"

#include <deque>
#include <optional>
#include <string>

namespace hyssopledge::coordination {

struct announcement {
  std::string Name; // of this upstream
  std::string Service;
  std::string Address; // "ip:port"
  std::string DataCentre;
  std::string Version;
  std::uint32_t Slots = 0;
  upstream_state State = upstream_state::Serving;
  state::milliseconds ColdRemaining{0}; // it is slow for this long
  std::uint64_t Sequence = 0;           // grows with each announcement
  std::uint64_t StartUnixMs = 0; // Unix milliseconds of its start; 0: unknown
};

enum class registry_effect {
  None,     // nothing new
  Changed,  // the record changed
  Outdated, // older than what is known
};

class upstream_registry {
public:
  upstream_registry(std::string Service, std::string Address)
      : Service(std::move(Service)), Address(std::move(Address)) {}

  /// The upstream as the others know it from before this daemon started. One
  /// that served goes on until it announces something else: it is called by its
  /// name, so another one at the address refuses. A drain that was acknowledged
  /// stays.
  registry_effect restore(const upstream_record &Former);
  /// InvalidMessage when it does not speak of the upstream here.
  state::result<registry_effect> announce(const announcement &Announcement);
  /// Now is the time of day, Unix milliseconds: an upstream that is not known
  /// and says no birth was born before it.
  registry_effect leave(const std::string &Name, std::uint64_t StartUnixMs,
                        std::uint64_t Now);
  /// Serving, Draining or Gone as of the last call; Answering is not kept here.
  const upstream_record &record() const { return Record; }

private:
  static constexpr std::size_t MaxLeft = 16; // names that have left

  bool hasLeft(const std::string &Name, std::uint64_t StartUnixMs) const;

  struct left {
    std::string Name;
    std::uint64_t StartUnixMs;
    upstream_state State;
  };

  std::string Service;
  std::string Address;
  upstream_record Record;
  std::deque<left> Left;
};

} // namespace hyssopledge::coordination
