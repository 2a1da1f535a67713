/// \file
/// Decides when a change of a daemon's own record outlives its process, so that
/// it may be acknowledged. Does no I/O; not thread-safe.
///
/// Load patterns: the store answers in milliseconds; it is slow, down or cut
/// off; the daemon is killed right after an acknowledgement, alone or with some
/// others.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace hyssopledge::coordination {

class lasting_change {
public:
  /// Time for the store before other daemons are asked to keep the record.
  static constexpr state::milliseconds StoreWait{250};
  /// Daemons that must keep the record if the store has not got it, so that it
  /// also outlives two of them.
  static constexpr std::size_t MinKeepers = 3;

  /// The record has a change that must last since this revision.
  void begin(std::uint64_t Revision, state::time_point Now);
  /// The store has the record with this revision.
  void onWritten(std::uint64_t Revision);
  void onWriteFailed() { StoreFailed = true; }
  /// Another daemon has the record with this revision.
  void onKept(const std::string &Instance, std::uint64_t Revision);

  /// Whether the change outlives this process. OtherMembers is the number of
  /// other daemons in the fleet.
  bool lasts(std::size_t OtherMembers) const;
  /// Whether other daemons should be asked to keep the record.
  bool needsKeepers(std::size_t OtherMembers, state::time_point Now) const;

private:
  std::uint64_t Revision = 0; // 0: there is no such change
  std::uint64_t WrittenRevision = 0;
  state::time_point BegunAt{};
  bool StoreFailed = false; // since begin()
  std::set<std::string> Keepers;
};

} // namespace hyssopledge::coordination
