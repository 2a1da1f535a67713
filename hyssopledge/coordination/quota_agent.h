/// \file
/// Quotas of workspaces over the whole fleet, as one daemon takes part in them.
/// It asks the owners of the quota slots for tokens, lends them its shares, and
/// is the owner of some slots itself. Does no I/O; not thread-safe.
///
/// Each workspace belongs to one slot by a hash of its name. A daemon lends its
/// shares of a slot to one owner at a time: a loan ends when it expires or when
/// the owner has confirmed its release. Whoever has failed or is cut off, the
/// pools of all owners together thus never hold more than the limits
/// (state/quota_pool.h). Asks may go to another owner at once.
#pragma once

#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/coordination/peer_message.h"
#include "hyssopledge/state/quota_pool.h"
#include "hyssopledge/state/timer_service.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopledge::coordination {

enum class quota_result {
  Granted,
  Exceeded,   // the workspace is over its quota
  Unanswered, // no owner has answered in time
};

struct quota_agent_options {
  std::string Instance;
  std::string ControlAddress;
  state::quota_tolerance Tolerance;
};

struct quota_agent_hooks {
  /// Sends a message without a delivery guarantee.
  std::function<void(const std::string &ControlAddress,
                     const peer_message &Message)>
      Send;
  /// Logs one event; Fields has the form "key=value ...".
  std::function<void(std::string_view Event, const std::string &Fields)> Log;
};

class quota_agent {
public:
  using handler =
      std::function<void(quota_result, state::milliseconds RetryAfter)>;

  /// Workspaces are divided over this many slots, so that a few owners share
  /// the messages.
  static constexpr std::uint32_t SlotCount = 4;
  static constexpr state::milliseconds TickInterval{50};
  /// A share is lent again at this interval, well within LendPeriod.
  static constexpr state::milliseconds LendInterval{200};
  /// Unanswered asks are repeated at this interval, some times the round trip
  /// between data centres.
  static constexpr state::milliseconds RetryInterval{100};
  /// An owner is avoided after this much silence and this many unanswered
  /// messages, until it sends anything. It is probed at an interval.
  static constexpr state::milliseconds SilenceTimeout{300};
  static constexpr unsigned MaxUnanswered = 3;
  static constexpr state::milliseconds ProbeInterval{1000};
  /// A request that waits longer is refused. Callers expect responses within
  /// some hundred milliseconds.
  static constexpr state::milliseconds MaxWait{300};
  /// A loan counts as expired this much later than the owner counts it, for the
  /// time that the message took.
  static constexpr state::milliseconds LoanMargin{100};

  quota_agent(quota_agent_options Options, quota_agent_hooks Hooks,
              state::timer_service &Timers);

  /// Sets the limits. Without any, the agent sends nothing and needs no
  /// directory.
  void setWorkspaces(const std::vector<state::workspace_spec> &Workspaces);
  bool enabled() const { return !Limits.empty(); }
  void setDirectory(const fleet_directory &Directory);
  /// Asks for one request of the workspace, which must have a limit. The
  /// handler is called once, possibly before the function returns.
  void acquire(const std::string &Workspace, handler Handler);
  /// Returns the token of a granted request that has not run and will not run.
  void giveBack(const std::string &Workspace);
  void onMessage(const peer_message &Message);
  /// A message has arrived from the member.
  void onPeerAlive(const std::string &Instance) { Avoided.erase(Instance); }
  /// This daemon stops: it takes its shares back from all owners.
  void leave();

  static std::uint32_t slotOf(const std::string &Workspace);

private:
  struct candidate {
    std::string Instance;
    std::string ControlAddress;
  };
  struct waiting_request {
    std::string Workspace;
    handler Handler;
    state::time_point Since{};
  };
  struct sent_ask {
    std::vector<std::vector<waiting_request>> ByWorkspace; // as in the message
    state::time_point SentAt{};
  };
  struct slot {
    std::vector<candidate> Owners; // the preferred one first
    std::string Owner;             // to which asks go
    std::string OwnerAddress;
    std::string Borrower; // has this daemon's shares; empty: nobody
    std::string BorrowerAddress;
    state::time_point LoanEndsAt{};
    state::time_point LastSentAt{};
    state::time_point SilentSince{};
    unsigned Unanswered = 0;
    std::deque<waiting_request> Waiting;
    std::map<std::uint64_t, sent_ask> Sent;        // by sequence
    std::map<std::string, std::uint32_t> Returned; // by workspace, not yet sent
    //--- As the owner ---------------------------------------------------------
    state::quota_pool Pool;
    std::map<std::string, std::uint64_t> ReleasedBy; // sequence by lender
    std::map<std::string, state::time_point> ExceededLoggedAt; // by workspace
  };

  void tick(state::time_point Now);
  void updateOwner(std::uint32_t Index);
  void updateLoan(std::uint32_t Index, state::time_point Now);
  void flush(std::uint32_t Index, state::time_point Now);
  state::quota_grant take(slot &Slot, const std::string &Workspace,
                          std::uint32_t Count, state::time_point Now);
  void takeOwn(slot &Slot, state::time_point Now);
  void send(std::uint32_t Index, peer_message Message, state::time_point Now);
  void release(std::uint32_t Index);
  void grantUnlimited();
  void expireWaiting(slot &Slot, state::time_point Now);
  void onAsk(const peer_message &Message, state::time_point Now);
  void onGrant(const peer_message &Message, state::time_point Now);
  void probeAvoided(std::uint32_t Index, state::time_point Now);
  peer_message message(peer_message_kind Kind, std::uint32_t Index) const;

  quota_agent_options Options;
  quota_agent_hooks Hooks;
  state::timer_service &Timers;
  std::map<std::string, state::quota_limit> Limits; // by workspace
  std::array<slot, SlotCount> Slots;
  std::size_t Members = 1;
  /// Silent owners and when they are probed next.
  std::map<std::string, state::time_point> Avoided;
  std::uint64_t LastSequence = 0;
  state::time_point LastTick{};
  bool Leaving = false;
  std::unique_ptr<state::timer_subscription> TickTimer;
};

} // namespace hyssopledge::coordination
