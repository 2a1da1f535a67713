/// \file
/// State of the upstream beside this daemon, from its announcements. An
/// announcement may be late, repeated, from an earlier upstream at the address
/// or from another service. An upstream that starts again under its name may
/// state an earlier start than before, if its clock went back. Does no I/O; not
/// thread-safe.
#pragma once

#include "hyssopledge/coordination/departed_upstreams.h"
#include "hyssopledge/coordination/upstream_record.h"
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
  /// daemon started, and replaces one that was applied before. A serving
  /// upstream stays in use until it announces
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
  /// Whether the upstream is known to be draining or gone.
  bool hasLeft(const std::string &Name, std::uint64_t StartUnixMs) const {
    return Departed.contains(Name, StartUnixMs);
  }
  /// State after the last call. AcceptsConnections is not maintained here, and
  /// RequestLimit is the one of restore().
  const upstream_record &record() const { return Record; }

private:
  static constexpr std::size_t MaxReplaced = 16; // remembered upstreams
  // A delayed announcement of an upstream that has crashed may be newer than
  // those before it, but only one that runs goes on announcing itself.
  static constexpr unsigned AnnouncementsToReturn = 3;

  /// An upstream that was on record before the present one.
  struct replaced_upstream {
    std::string Name;
    std::uint64_t StartUnixMs;
    std::uint64_t Sequence;
    unsigned Announcements; // since it was replaced
  };
  std::deque<replaced_upstream>::iterator
  findReplaced(const std::string &Name, std::uint64_t StartUnixMs);
  /// Whether the announcement is a late one of an upstream that was replaced.
  bool isLate(const announcement &Announcement);
  void replaceRecord();

  std::string Service;
  std::string Address;
  upstream_record Record;
  bool IsRestored = false; // the record is not from an announcement
  departed_upstreams Departed;
  std::deque<replaced_upstream> Replaced;
};

} // namespace hyssopledge::coordination
