/// \file
/// Admission of large request bodies to the link of the instance on which their
/// upstream runs. Entry daemons ask before they send such a body. No I/O; not
/// thread-safe.
///
/// Load patterns that it handles:
/// - Uploads near the capacity of a small link: without admission their bodies
///   queue in the network, in front of short calls, responses and control
///   messages. Here only a bounded part of the link's time is on its way.
/// - A burst of uploads: one that can't arrive in time is refused before its
///   body is sent, and can go to another target. Those that can meet their
///   latency objective go first, so that a backlog does not delay all of them
///   beyond it.
/// - Senders that fail: a body that does not arrive in time gives its share
///   back.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <vector>

namespace hyssopledge::state {

struct transfer_request {
  std::uint64_t Ticket = 0;
  std::uint64_t Bytes = 0;
  bool MayMissSlo = true;   // false: refuse it if it would miss its SLO
  time_point SloDeadline{}; // latest arrival that meets the latency objective
  time_point Deadline{};    // latest arrival that can still be answered
};

enum class transfer_action { Send, Wait, Refuse };

struct transfer_decision {
  transfer_action Action = transfer_action::Refuse;
  const char *Reason = ""; // why it is refused: "late" or "deadline"
};

/// A transfer that left the queue: its body may be sent now, or it is refused.
struct transfer_release {
  std::uint64_t Ticket = 0;
  bool Send = false;
  const char *Reason = "";
};

class transfer_queue {
public:
  /// Bodies on their way take at most this time on the link; a single larger
  /// one may take longer.
  static constexpr milliseconds MaxOnTheWay{100};
  /// A late transfer is queued only if its expected wait is within this
  /// fraction of the time left.
  static constexpr double MaxLateWaitFraction = 0.5;

  /// Sets the rate of the link in bytes per millisecond; 0: no limit.
  void setRate(double BytesPerMs) { Rate = BytesPerMs; }
  bool limited() const { return Rate > 0; }
  /// Time that the bytes take on the link.
  milliseconds duration(std::uint64_t Bytes) const;
  /// Expected time until the last byte of the body arrives if it is admitted.
  milliseconds arrivalTime(const transfer_request &Request,
                           time_point Now) const;

  transfer_decision admit(const transfer_request &Request, time_point Now);
  /// Ends a transfer: its body has arrived. Returns what expire() returns.
  std::vector<transfer_release> finish(std::uint64_t Ticket, time_point Now);
  /// Releases queued transfers and refuses those that can no longer arrive in
  /// time. Call from a timer while pending() is true.
  std::vector<transfer_release> expire(time_point Now);
  /// Removes a queued transfer whose sender has disconnected.
  void cancel(std::uint64_t Ticket);
  bool pending() const { return !Waiting.empty() || !OnTheWay.empty(); }

private:
  struct sent_transfer {
    std::uint64_t Ticket;
    std::uint64_t Bytes;
    time_point ExpiresAt;
  };

  struct waiting_transfer {
    transfer_request Request;
    bool AcceptedLate = false; // queued although it will miss its SLO
  };

  bool onTime(const transfer_request &Request, time_point Now) const;
  bool precedes(const transfer_request &A, const transfer_request &B,
                time_point Now) const;
  bool mayStart(std::uint64_t Bytes) const;
  /// Whether the expected wait of a body that misses its SLO is within
  /// MaxLateWaitFraction.
  bool canArriveLate(const transfer_request &Request, time_point Now) const;
  double onTimeMs(time_point Now) const;
  void start(const transfer_request &Request, time_point Now);
  std::uint64_t bytesOnTheWay() const;

  double Rate = 0;
  std::vector<sent_transfer> OnTheWay;
  std::vector<waiting_transfer> Waiting;
  double OnTimeMs = 0; // link time of bodies that were on time, decaying
  time_point OnTimeUpdatedAt{};
};

} // namespace hyssopledge::state
