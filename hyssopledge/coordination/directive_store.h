/// \file
/// Stores the rollout directives that a daemon has received and builds the
/// tables that its request path reads.
#pragma once

#include "hyssopledge/coordination/verdicts.h"
#include "hyssopledge/state/routing_view.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

/// Returns the directive of the record's current step.
state::rollout_directive toDirective(const control::rollout_record &Record);
/// Encodes the record for gossip without its decision log, which only the
/// platform keeps.
control::gossip_record encodeDirective(const control::rollout_record &Record);
/// Returns a number that orders the directives of a service by generation, then
/// by step.
std::uint64_t directiveRevision(std::uint64_t Generation, std::uint64_t Step);

/// Accepts records in any order, with gaps and repetitions, and never goes back
/// in (generation, step). Not thread-safe; runs on the control strand.
class directive_store {
public:
  /// Returns true if the directive is newer than the one in force. Returns
  /// InvalidMessage and changes nothing if the record is no directive, its
  /// share is not within 0..1 or its phase is unknown.
  state::result<bool> accept(const control::gossip_record &Record);
  bool accept(const control::rollout_record &Record);
  /// Makes this daemon alone stop using the version in its rollout.
  void avoid(const vote_subject &Subject);

  /// Tables for the routing view. A version that its directive rolls back is
  /// condemned too. Votes and avoidance apply only in the generation of the
  /// directive in force, so they don't affect a new rollout of the same
  /// version.
  std::shared_ptr<const state::directive_table> directives() const;
  std::shared_ptr<const state::verdict_table>
  verdicts(const vote_set &Votes, const electorate &Electorate) const;

  /// Returns the revisions in force by service, for evidence_recorder::drain.
  std::map<std::string, std::uint64_t> revisions() const;
  /// Returns the positions to acknowledge to the coordinator.
  std::vector<control::directive_position> positions() const;
  /// Returns the records to be gossiped.
  std::vector<control::gossip_record> records() const;

private:
  std::map<std::string, control::gossip_record> Records; // by service
  std::map<std::string, state::rollout_directive> Directives;
  std::set<vote_subject> Avoided;
};

} // namespace hyssopledge::coordination
