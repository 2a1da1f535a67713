/// \file
/// Rollout directives as a daemon has received them, and the tables that its
/// request path reads.
#pragma once

#include "hyssopledge/coordination/verdicts.h"
#include "hyssopledge/state/routing_view.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

state::rollout_directive toDirective(const control::rollout_record &Record);
/// Without the decision log, which only the platform keeps.
control::gossip_record encodeDirective(const control::rollout_record &Record);
/// Orders directives of a service: generation, then step.
std::uint64_t directiveRevision(std::uint64_t Generation, std::uint64_t Step);

/// Takes records in any order, lost ones and repeated ones, and never goes back
/// in (generation, step). Not thread-safe: control strand.
class directive_store {
public:
  /// Returns true when the directive is newer than the one in force.
  /// InvalidMessage when the record is no directive or its share is not within
  /// 0..1; nothing changes then.
  state::result<bool> accept(const control::gossip_record &Record);
  bool accept(const control::rollout_record &Record);
  /// This daemon alone stops using the version of the ballot.
  void avoid(const vote_subject &Subject);

  /// Tables for the routing view. A version rolled back by its directive is
  /// condemned too; a vote or avoidance counts only in the generation of the
  /// directive in force, so a new rollout of the same version starts clean.
  std::shared_ptr<const state::directive_table> directives() const;
  std::shared_ptr<const state::verdict_table>
  verdicts(const vote_set &Votes, const electorate &Electorate) const;

  /// Revisions in force by service, for evidence_recorder::drain.
  std::map<std::string, std::uint64_t> revisions() const;
  /// For the acknowledgement to the coordinator.
  std::vector<control::directive_position> positions() const;
  /// To be gossiped.
  std::vector<control::gossip_record> records() const;

private:
  std::map<std::string, control::gossip_record> Records; // by service
  std::map<std::string, state::rollout_directive> Directives;
  std::set<vote_subject> Avoided;
};

} // namespace hyssopledge::coordination
