/// \file
/// State of the upstream beside this daemon, from its announcements. An
/// announcement may be late, repeated, from an earlier upstream at the address
/// or from another service. Does no I/O; not thread-safe.
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
  state::milliseconds ColdRemaining{0}; // remaining warm-up time
  std::uint64_t Sequence = 0;           // increases with each announcement
  std::uint64_t StartUnixMs = 0;        // 0: unknown
};

enum class registry_update {
  None,     // no change
  Changed,  // the record changed
  Outdated, // older than the record, ignored
};

class upstream_registry {
public:
  upstream_registry(std::string Service, std::string Address)
      : Service(std::move(Service)), Address(std::move(Address)) {}

  /// Applies the state of the upstream that other members know from before this
  /// daemon started. A serving upstream stays in use until it announces
  /// something else; this is safe since calls carry its name and another
  /// upstream at the address refuses them. An acknowledged drain is kept.
  registry_update restore(const upstream_record &Former);
  /// Fails with InvalidMessage if the service or the address is not that of the
  /// upstream beside this daemon.
  state::result<registry_update> announce(const announcement &Announcement);
  /// Now is in Unix milliseconds: an unknown upstream without a start time is
  /// taken to have started before it.
  registry_update leave(const std::string &Name, std::uint64_t StartUnixMs,
                        std::uint64_t Now);
  /// The current upstream leaves, which it said otherwise than by an
  /// announcement. Final, like an announced drain.
  registry_update drain();
  /// State after the last call. AcceptsConnections is not maintained here, and
  /// RequestLimit is the one of restore().
  const upstream_record &record() const { return Record; }

private:
  static constexpr std::size_t MaxDeparted = 16; // remembered departures

  bool hasLeft(const std::string &Name, std::uint64_t StartUnixMs) const;

  struct departed_upstream {
    std::string Name;
    std::uint64_t StartUnixMs;
    upstream_state State;
  };

  std::string Service;
  std::string Address;
  upstream_record Record;
  std::deque<departed_upstream> Departed;
};

} // namespace hyssopledge::coordination
