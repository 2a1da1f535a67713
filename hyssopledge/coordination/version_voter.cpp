#include "hyssopledge/coordination/version_voter.h"

#include "hyssopledge/coordination/directive_store.h"

#include <utility>

namespace hyssopledge::coordination {

namespace {

bool isOpen(const state::rollout_directive &Directive) {
  return Directive.Phase == state::rollout_phase::Running ||
         Directive.Phase == state::rollout_phase::Watching;
}

} // namespace

version_voter::version_voter(std::string Voter, comparison_settings Settings)
    : Voter(std::move(Voter)), Settings(Settings) {}

void version_voter::onDirectives(const state::directive_table &Directives) {
  std::erase_if(Rollouts, [&Directives](const auto &Item) {
    auto Found = Directives.ByService.find(Item.first);
    return Found == Directives.ByService.end() || !isOpen(Found->second);
  });
  for (const auto &[Service, Directive] : Directives.ByService) {
    if (!isOpen(Directive))
      continue;
    tracked_rollout &Entry = Rollouts[Service];
    if (Entry.Series == nullptr ||
        Entry.Directive.Generation != Directive.Generation) {
      Entry.Series = std::make_unique<evidence_series>();
    } else if (Entry.Directive.Share != Directive.Share) {
      if (Directive.Share >= 1)
        Entry.Series->keepBaseline(Directive.FromVersion);
      Entry.Series->beginStep();
    }
    Entry.Directive = Directive;
  }
}

void version_voter::addEvidence(const std::string &Reporter,
                                const control::evidence &Entry) {
  auto Found = Rollouts.find(Entry.service());
  // Calls made under another step must not be compared with those of this one.
  if (Found == Rollouts.end() ||
      Entry.directive() != directiveRevision(Found->second.Directive.Generation,
                                             Found->second.Directive.Step))
    return;
  const auto [Key, Counts] = decodeEvidence(Entry);
  Found->second.Series->add(Reporter, Key, Counts);
}

void version_voter::addOwnEvidence(
    const std::vector<control::evidence> &Entries) {
  // This daemon is the only reporter, so it must not be excluded.
  const std::string Reporter = evidence_aggregator::aggregateName(Voter);
  for (const control::evidence &Entry : Entries)
    addEvidence(Reporter, Entry);
}

void version_voter::addReport(const control::reporter_evidence &Report) {
  for (const control::evidence &Entry : Report.entries())
    addEvidence(Report.reporter(), Entry);
}

std::vector<control::vote> version_voter::closeSlice(bool PlatformDown) {
  std::vector<control::vote> Votes;
  for (auto &[Service, Entry] : Rollouts) {
    Entry.Series->closeSlice();
    const vote_subject Subject{Service, Entry.Directive.ToVersion,
                               Entry.Directive.Generation};
    if (Voted.contains(Subject))
      continue;
    const vote_input Input{Voter, Entry.Directive, *Entry.Series, PlatformDown};
    if (auto Vote = decideVote(Input, Settings)) {
      Voted.insert(Subject);
      Votes.push_back(std::move(*Vote));
    }
  }
  return Votes;
}

} // namespace hyssopledge::coordination
