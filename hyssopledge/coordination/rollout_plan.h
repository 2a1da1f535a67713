/// \file
/// Rollout records: their creation from the accepted document, and their
/// changes.
#pragma once

#include "hyssopledge/coordination/rollout_policy.h"
#include "hyssopledge/state/snapshot.h"

#include <chrono>
#include <optional>
#include <string>

namespace hyssopledge::coordination {

/// Number of decisions kept in a record's log.
constexpr int MaxDecisions = 64;

/// Returns the record to write if the document and the known record disagree,
/// otherwise nullopt. Known is null if there is no record.
///
/// - The document requests a rollout that is not recorded, that is closed, or
///   whose versions differ from the record: a new rollout starts with the head
///   version as generation. Traffic that the old rollout had moved returns to
///   the stable version, as the document requires.
/// - It requests the same versions: the rollout continues, also with a new
///   deadline. An unrelated change does not retry a version that was rolled
///   back; a retry requires that the rollout is dropped and requested again.
/// - It drops the rollout and keeps the old version as stable: the rollout is
///   cancelled, the share goes to 0 and the record is closed.
/// - It drops the rollout and names the new version as stable: the version is
///   adopted. An unfinished rollout ends as Done, since the operators' document
///   takes precedence. A rolled back version that is named as stable gets a new
///   generation, so that old verdicts don't leave the service without a
///   version.
/// - It drops the service: the record is closed.
std::optional<control::rollout_record>
planRollout(const state::snapshot &Snapshot, const std::string &Service,
            const control::rollout_record *Known,
            std::chrono::milliseconds UnixNow);

/// Returns the record after an action. A new share or phase starts a new step;
/// a note changes only the decision log.
control::rollout_record applyAction(const control::rollout_record &Record,
                                    const rollout_action &Action,
                                    std::chrono::milliseconds UnixNow);

/// Returns true if "complete" is logged for the current step: the share is 1
/// and recorded, and every member has the step in force or no valid lease.
bool isComplete(const control::rollout_record &Record);

} // namespace hyssopledge::coordination
