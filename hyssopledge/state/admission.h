/// \file
/// Admission control for the one upstream beside this daemon: its slots, queue
/// and drain state. All requests to the upstream pass through this daemon, so
/// its counts are authoritative. Not thread-safe: the data plane calls it on
/// one strand.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/result.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::state {

struct admission_limits {
  std::uint32_t Slots = 12;       // requests that run at once
  std::uint32_t QueueLength = 48; // requests that wait for a slot
};

/// Registration of the upstream with this daemon; expires unless it is renewed.
struct upstream_announcement {
  std::string Service;
  std::string Version;
  std::string Address;     // "ip:port"
  std::uint32_t Slots = 0; // 0: the limits alone apply
  bool Draining = false;   // the upstream takes no new requests
};

using ticket = std::uint64_t; // identifies one request, chosen by the caller

enum class admission_action { Run, Queued };

/// A request that left the queue: it either runs now or is refused as "not
/// run".
struct admission_release {
  ticket Ticket = 0;
  std::optional<failure> Refusal; // empty: run the request
};

class admission {
public:
  static constexpr std::chrono::seconds AnnouncementTtl{3};

  explicit admission(admission_limits Limits);

  //--- The upstream ---------------------------------------------------------
  void announce(const upstream_announcement &Announcement, time_point Now);
  /// The announced upstream; empty when the announcement has expired or the
  /// upstream drains.
  std::optional<upstream_announcement> serving(time_point Now) const;
  void setLimits(admission_limits Limits);
  /// Shutdown of this daemon: refuses new requests; those that run or are
  /// queued still finish.
  void startDrain();
  bool drained() const; // no request is running or queued

  //--- Requests ---------------------------------------------------------------
  /// Returns Run or Queued. Fails with Draining, Overloaded, NoTarget or
  /// Timeout; the request has not run then.
  result<admission_action> admit(ticket Ticket, const std::string &Service,
                                 const std::string &Version,
                                 time_point Deadline, time_point Now);
  /// Frees the slot of a request that ran for RunTime. Returns the requests
  /// that left the queue.
  std::vector<admission_release> finish(ticket Ticket, milliseconds RunTime,
                                        time_point Now);
  /// Removes a queued request whose caller has disconnected.
  void cancel(ticket Ticket);
  /// Refuses queued requests whose deadline has passed or whose upstream is
  /// gone, and runs others on free slots. Call from a timer.
  std::vector<admission_release> expire(time_point Now);

  std::uint32_t running() const;
  std::uint32_t queued() const;
  std::uint32_t slots() const;

private:
  /// Reason why the upstream can't receive the request now; empty when it can.
  std::optional<failure> refusal(const std::string &Service,
                                 const std::string &Version,
                                 time_point Now) const;
  /// Runs or refuses queued requests while slots are free.
  void dispatchQueued(time_point Now, std::vector<admission_release> &Out);

  struct queued_request {
    ticket Ticket;
    std::string Service;
    std::string Version;
    time_point Deadline;
  };

  admission_limits Limits;
  std::optional<upstream_announcement> Announcement;
  time_point AnnouncedAt{};
  std::vector<ticket> Running;
  std::deque<queued_request> Queue;
  /// Exponentially weighted mean, for the expected wait of a queued request.
  double MeanRunMs = 0;
  bool Draining = false; // shutdown of this daemon
};

} // namespace hyssopledge::state
