/// \file
/// Casts votes against versions from evidence while rollouts run. Works on any
/// daemon and without the platform.
#pragma once

#include "hyssopledge/coordination/verdicts.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

/// Each daemon has a voter for its own evidence; a relay has a second one for
/// the reports of its data centre. Not thread-safe; runs on the control strand.
class version_voter {
public:
  version_voter(std::string Voter, comparison_settings Settings);

  /// Starts and ends evidence series as rollouts start and end. A new share
  /// starts a new window of evidence.
  void onDirectives(const state::directive_table &Directives);
  /// Adds evidence of this daemon alone, from evidence_recorder::drain.
  void addOwnEvidence(const std::vector<control::evidence> &Entries);
  void addReport(const control::reporter_evidence &Report);
  /// Ends a slice of evidence, compares the versions and returns the new votes.
  /// Must be called once each report interval.
  std::vector<control::vote> closeSlice(bool PlatformDown);

private:
  struct tracked_rollout {
    state::rollout_directive Directive;
    std::unique_ptr<evidence_series> Series;
  };
  void addEvidence(const std::string &Reporter, const control::evidence &Entry);

  std::string Voter;
  comparison_settings Settings;
  std::map<std::string, tracked_rollout> Rollouts; // by service
  std::set<vote_subject> Voted;
};

} // namespace hyssopledge::coordination
