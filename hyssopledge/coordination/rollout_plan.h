/// \file
/// Rollout records: what the accepted document asks of them, and their changes.
#pragma once

#include "hyssopledge/coordination/rollout_policy.h"
#include "hyssopledge/state/snapshot.h"

#include <chrono>
#include <optional>
#include <string>

namespace hyssopledge::coordination {

/// Decisions kept in a record.
constexpr int MaxDecisions = 64;

/// The record to be written because the document and the known record disagree;
/// none when they agree. Known is null when there is no record.
///
/// - The document asks for a rollout that is not recorded, or for other
///   versions than the record, or for one that was closed: a new rollout starts
///   with the head version as generation. What the old one had moved returns to
///   the stable version, as the document says.
/// - It asks for the same versions: the rollout goes on, also with a new
///   deadline. A rolled back version is not tried again because of an unrelated
///   change; drop the rollout and ask again for that.
/// - It drops the rollout and keeps the old version as stable: cancelled, the
///   share goes to 0 and the record is closed.
/// - It drops the rollout and names the new version as stable: adopted. An
///   unfinished rollout ends as Done, since the operators' document decides. A
///   rolled back version named as stable gets a new generation, so that old
///   verdicts do not leave the service without a version.
/// - It drops the service: the record is closed.
std::optional<control::rollout_record>
planRollout(const state::snapshot &Snapshot, const std::string &Service,
            const control::rollout_record *Known,
            std::chrono::milliseconds UnixNow);

/// The record after an action. A new share or phase is a new step; a note
/// changes the decision log only.
control::rollout_record applyAction(const control::rollout_record &Record,
                                    const rollout_action &Action,
                                    std::chrono::milliseconds UnixNow);

/// "complete" was noted for the step in force: the share is 1, it is recorded,
/// and every member has it in force or no valid lease.
bool isComplete(const control::rollout_record &Record);

} // namespace hyssopledge::coordination
