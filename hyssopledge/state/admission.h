/// \file
/// Slots, queue and drain of the one upstream beside this daemon. The daemon is
/// the authority on them. Not thread-safe: the data plane runs it on one
/// strand.
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
  std::uint32_t Slots = 12;
  std::uint32_t QueueLength = 48;
};

/// What the upstream said of itself; expires unless it is repeated.
struct upstream_announcement {
  std::string Service;
  std::string Version;
  std::string Address; // "ip:port"
  std::uint32_t Slots = 0;
  bool Draining = false;
};

using ticket = std::uint64_t; // names one request in admission

enum class admission_action { Run, Queued };

/// A queued request that may run now, or must be refused as "not run" for the
/// reason.
struct admission_release {
  ticket Ticket = 0;
  std::optional<failure> Refusal; // none: run it
};

class admission {
public:
  static constexpr std::chrono::seconds AnnouncementLifetime{3};

  explicit admission(admission_limits Limits);

  //--- The upstream ---------------------------------------------------------
  void announce(const upstream_announcement &Announcement, time_point Now);
  /// Present while the last announcement is alive and not draining.
  std::optional<upstream_announcement> serving(time_point Now) const;
  void setLimits(admission_limits Limits);
  /// The daemon itself leaves: nothing new is admitted, what was admitted or
  /// queued is finished.
  void startDrain();
  bool drained() const; // no request runs or waits

  //--- Requests ---------------------------------------------------------------
  /// Run, Queued, or a failure (Draining, Overloaded, NoTarget, Timeout): the
  /// request was not run.
  result<admission_action> admit(ticket Ticket, const std::string &Service,
                                 const std::string &Version,
                                 time_point Deadline, time_point Now);
  /// A running request ended after RunTime; returns what may run next and what
  /// has passed its deadline.
  std::vector<admission_release> finish(ticket Ticket, milliseconds RunTime,
                                        time_point Now);
  /// A waiting request's caller went away.
  void cancel(ticket Ticket);
  /// Refuses what can't run before its deadline. Call from a timer.
  std::vector<admission_release> expire(time_point Now);

  std::uint32_t running() const;
  std::uint32_t queued() const;
  std::uint32_t slots() const;

private:
  /// Why the upstream may not get the request now; none: it may.
  std::optional<failure> refusal(const std::string &Service,
                                 const std::string &Version,
                                 time_point Now) const;
  /// Runs or refuses waiting requests as far as slots are free.
  void release(time_point Now, std::vector<admission_release> &Out);

  struct waiting {
    ticket Ticket;
    std::string Service;
    std::string Version;
    time_point Deadline;
  };

  admission_limits Limits;
  std::optional<upstream_announcement> Announcement;
  time_point AnnouncedAt{};
  std::vector<ticket> Running;
  std::deque<waiting> Queue;
  double MeanRunMs =
      0; // exponentially weighted; estimates the wait of a queued request
  bool Draining = false;
};

} // namespace hyssopledge::state
