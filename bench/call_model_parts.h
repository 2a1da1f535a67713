/// \file
/// What call_model keeps of each entry side, target side, send and connection.
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

/// A mechanism that a run leaves out, so that a checker must find a violation.
enum class call_ablation {
  None,
  ResendRule,      // resends a non-idempotent request after a byte was written
  CutOutcome,      // calls a cut connection "not run" after a byte was written
  CallOutcome,     // forgets that an earlier attempt may have run
  CloseOnTimeout,  // reuses a connection with an unfinished response
  TruncationCheck, // forwards a truncated response
  HomeKeys,        // the home target keeps no keys
  EntryKeys,       // the entry daemon keeps no keys
  AnnouncementExpiry, // announcements don't expire
  DrainCompletion,    // a drained daemon exits at once
  Verdicts,           // the picker does not see verdicts
};

struct entry_side {
  state::routing_view View;
  state::target_stats_registry Stats;
  std::unique_ptr<state::picker> Picker;
  state::retry_budget Budget{0.1, 10};
  state::idempotency_table Keys{1000, 0};
};
struct send {
  send_id Id = 0;
  operation_id Operation = 0;
  std::size_t Entry = 0;
  const state::route_spec *Route = nullptr;
  state::call_context Call;
  state::attempt_history History;
  std::uint32_t AttemptsMade = 0;
  bool KeySeenAtEntry = false; // this entry has sent the key before
  bool MayHaveRun = false;     // in an earlier attempt
};
using send_ptr = std::shared_ptr<send>;
/// Carries one attempt at a time; a late response meets whoever uses it.
struct connection {
  std::size_t Entry = 0;
  std::size_t Target = 0;
  std::uint64_t Incarnation = 0; // of the daemon it leads to
  send_ptr Current;
  bool Closed = false;
  state::time_point AttemptStartedAt{};
};
using connection_ptr = std::shared_ptr<connection>;
struct target_request {
  send_ptr Send;
  connection_ptr Connection;
  state::ticket Ticket = 0;
};
struct target_side {
  std::size_t Index = 0;
  std::string Name;
  std::uint64_t Incarnation = 1;         // of the daemon
  std::uint64_t UpstreamIncarnation = 1; // grows at each crash
  bool DaemonUp = true;                  // the daemon
  bool Leaving = false;
  bool AnnouncesLeave = false;
  bool Draining = false;
  state::time_point FrozenUntil{};
  state::admission Admission{state::admission_limits{2, 6}};
  state::idempotency_table Keys{1000, 1 << 20};
  std::map<state::ticket, target_request> Requests; // admitted, by send
};

} // namespace hyssopledge::bench
