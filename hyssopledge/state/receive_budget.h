/// \file
/// Limits the bytes of requests in this process: those that are being received
/// and those that wait for their response. No I/O; not thread-safe.
///
/// Load patterns that it handles:
/// - Many bodies of legal size at once that stop short of their end and stay
///   open, whole or in chunks: the slowest ones end, so that the others can be
///   received.
/// - Bodies that arrive faster than they are run: further ones are refused
///   before they are complete.
/// - Small requests beside such a crowd: a part of the memory is theirs.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstddef>
#include <unordered_map>

namespace hyssopledge::state {

/// A connection that receives a request.
class request_intake {
public:
  virtual ~request_intake() = default;
  /// Refuses the request, which is not complete, and frees its memory.
  virtual void refuse() = 0;
};

struct receive_limits {
  std::size_t Bytes = 0;      // of all requests
  std::size_t SmallBytes = 0; // further ones for small requests
};

class receive_budget {
public:
  static constexpr std::size_t SmallRequestBytes = 16 * 1024;
  /// A request is not ended for its rate before this age, which is enough for
  /// several round trips.
  static constexpr milliseconds MinIntakeAge{500};

  explicit receive_budget(receive_limits Limits) : Limits(Limits) {}

  /// Sets the bytes of a request that is not complete. Refuses others if they
  /// are slower. Returns false when the request itself must be refused. A
  /// request that is the only large one is never refused.
  bool update(request_intake &Intake, std::size_t Bytes, time_point Now);
  /// The request is complete or its connection has ended.
  void remove(request_intake &Intake);

  //--- Complete requests ------------------------------------------------------
  void hold(std::size_t Bytes) { add(Bytes); }
  void release(std::size_t Bytes) { subtract(Bytes); }

  std::size_t bytes() const { return LargeBytes + SmallBytes; }

private:
  struct intake_state {
    std::size_t Bytes = 0;
    time_point BeganAt{};
  };

  static bool isLarge(std::size_t Bytes) { return Bytes > SmallRequestBytes; }
  void add(std::size_t Bytes) {
    (isLarge(Bytes) ? LargeBytes : SmallBytes) += Bytes;
  }
  void subtract(std::size_t Bytes) {
    (isLarge(Bytes) ? LargeBytes : SmallBytes) -= Bytes;
  }
  /// The incomplete request with the lowest rate since its begin; null if none
  /// is old enough.
  request_intake *slowest(bool LargeOnly, time_point Now) const;

  receive_limits Limits;
  std::size_t LargeBytes = 0; // of requests above SmallRequestBytes
  std::size_t SmallBytes = 0; // of the others
  std::unordered_map<request_intake *, intake_state> Intakes;
};

} // namespace hyssopledge::state
