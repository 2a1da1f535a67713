/// \file
/// Turns evidence into votes while rollouts run, on any daemon and without the
/// platform.
#pragma once

#include "hyssopledge/coordination/verdicts.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

/// Each daemon runs one on its own evidence, a relay a second one on the
/// reports of its data centre. Not thread-safe: control strand.
class version_voter {
public:
  version_voter(std::string Voter, test_settings Settings);

  /// Starts and ends series with the directives. A new share starts a new
  /// window of evidence.
  void onDirectives(const state::directive_table &Directives);
  /// Evidence of this daemon alone, from evidence_recorder::drain.
  void addOwnEvidence(const std::vector<control::evidence> &Entries);
  void addReport(const control::reporter_evidence &Report);
  /// Ends a slice of evidence and judges. Call once each report interval.
  /// Returns the votes that are new.
  std::vector<control::vote> closeSlice(bool PlatformDown);

private:
  struct tracked_rollout {
    state::rollout_directive Directive;
    std::unique_ptr<evidence_series> Series;
  };
  void addEvidence(const std::string &Reporter, const control::evidence &Entry);

  std::string Voter;
  test_settings Settings;
  std::map<std::string, tracked_rollout> Rollouts; // by service
  std::set<vote_subject> Voted;
};

} // namespace hyssopledge::coordination
