/// \file
/// Types of call_model: the state of entry and target sides, sends and
/// connections.
#pragma once

#include "hyssopledge/state/admission.h"
#include "hyssopledge/state/idempotency.h"
#include "hyssopledge/state/picker.h"
#include "hyssopledge/state/poison.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/state/retry.h"
#include "hyssopledge/state/target_stats.h"
#include "tests/support/call_history.h"

#include <memory>
#include <optional>

namespace hyssopledge::bench {

using tests::answer_kind;
using tests::call_history;
using tests::operation_id;
using tests::send_id;

/// Mechanism that a run leaves out, to show that a checker then finds a
/// violation.
enum class call_ablation {
  None,
  ResendRule,      // retries a non-idempotent request after a byte was written
  CutOutcome,      // reports a cut after a byte was written as "not run"
  CallOutcome,     // ignores that an earlier attempt may have run
  CloseOnTimeout,  // reuses a connection with an unfinished response
  TruncationCheck, // forwards a truncated response
  HomeKeys,        // the home target stores no idempotency keys
  EntryKeys,       // the entry daemon stores no idempotency keys
  AnnouncementExpiry, // announcements of upstreams do not expire
  DrainCompletion,    // a draining daemon exits with requests in flight
  Verdicts,           // the picker ignores verdicts on versions
};

/// Daemon that receives calls from callers and picks a target for each attempt.
struct entry_side {
  state::routing_view View;
  state::target_stats_registry Stats;
  std::unique_ptr<state::picker> Picker;
  state::retry_budget Budget{0.1, 10};
  state::idempotency_table Keys{1000, 0};
};
/// One message of a caller. A caller may send an operation several times.
struct send {
  send_id Id = 0;
  operation_id Operation = 0;
  std::size_t Entry = 0;
  const state::route_spec *Route = nullptr;
  state::call_context Call;
  state::attempt_history History;
  std::uint32_t AttemptsMade = 0;
  bool KeySeenAtEntry = false; // the entry has forwarded the key before
  bool MayHaveRun = false;     // an earlier attempt may have run
};
using send_ptr = std::shared_ptr<send>;
/// Carries one attempt at a time. A late response is read by the attempt that
/// uses the connection at that time.
struct connection {
  std::size_t Entry = 0;
  std::size_t Target = 0;
  std::uint64_t Incarnation = 0; // of the target daemon
  send_ptr Current;
  bool Closed = false;
  state::time_point AttemptStartedAt{};
};
using connection_ptr = std::shared_ptr<connection>;
/// Request that reached a target, and the connection for its response.
struct target_request {
  send_ptr Send;
  connection_ptr Connection;
  state::ticket Ticket = 0;
};
/// Daemon that admits requests and passes them to its upstream.
struct target_side {
  std::size_t Index = 0;
  std::string Name;
  std::uint64_t Incarnation = 1;         // incremented at each daemon stop
  std::uint64_t UpstreamIncarnation = 1; // incremented at each crash
  bool DaemonUp = true;                  // false while the daemon is stopped
  bool Leaving = false;
  bool AnnouncesLeave = false;
  bool Draining = false;
  state::time_point FrozenUntil{};
  state::admission Admission{state::admission_limits{2, 6}};
  state::idempotency_table Keys{1000, 1 << 20};
  std::map<state::ticket, target_request> Requests; // running or queued
};

} // namespace hyssopledge::bench
