#include "hyssopledge/coordination/verdicts.h"

#include <algorithm>

namespace hyssopledge::coordination {

std::size_t electorate::hostCount() const {
  std::set<std::string> Hosts;
  for (const auto &[Instance, Host] : HostByInstance)
    Hosts.insert(Host);
  return Hosts.size();
}

electorate electorateOf(const std::vector<control::member> &Members) {
  electorate Electorate;
  for (const control::member &Member : Members) {
    if (Member.status() == control::MEMBER_DEAD ||
        Member.status() == control::MEMBER_LEFT)
      continue;
    const std::string &Address = Member.control_address();
    Electorate.HostByInstance[Member.instance()] =
        Address.substr(0, Address.rfind(':'));
  }
  return Electorate;
}

namespace {

std::string voteKey(const control::vote &Vote) {
  return Vote.service() + "/" + Vote.version() + "/" +
         std::to_string(Vote.generation()) + "/" + Vote.voter();
}

} // namespace

control::gossip_record encodeVote(const control::vote &Vote) {
  control::gossip_record Record;
  Record.set_kind(control::RECORD_VOTE);
  Record.set_key(voteKey(Vote));
  Record.set_revision(1);
  Record.set_payload(Vote.SerializeAsString());
  return Record;
}

bool vote_set::add(const control::vote &Vote) {
  return VotesBySubject[{Vote.service(), Vote.version(), Vote.generation()}]
      .try_emplace(Vote.voter(), Vote)
      .second;
}

state::result<bool> vote_set::add(const control::gossip_record &Record) {
  control::vote Vote;
  if (Record.kind() != control::RECORD_VOTE ||
      !Vote.ParseFromString(Record.payload()))
    return state::failure(state::errc::InvalidMessage,
                          "record " + Record.key() + " is not a vote");
  if (Vote.voter().empty() || Record.key() != voteKey(Vote))
    return state::failure(state::errc::InvalidMessage,
                          "vote has key " + Record.key() +
                              "; its payload requires key " + voteKey(Vote));
  return add(Vote);
}

void vote_set::merge(const vote_set &Other) {
  for (const auto &[Subject, Votes] : Other.VotesBySubject)
    VotesBySubject[Subject].insert(Votes.begin(), Votes.end());
}

bool vote_set::condemned(const vote_subject &Subject,
                         const electorate &Electorate) const {
  auto Found = VotesBySubject.find(Subject);
  if (Found == VotesBySubject.end())
    return false;
  std::set<std::string> Hosts;
  for (const auto &[Voter, Vote] : Found->second)
    if (auto Host = Electorate.HostByInstance.find(Voter);
        Host != Electorate.HostByInstance.end())
      Hosts.insert(Host->second);
  const std::size_t RequiredHosts =
      std::max(MinHosts, std::min(HostsToCondemn, Electorate.hostCount()));
  return Hosts.size() >= RequiredHosts;
}

std::set<vote_subject> vote_set::condemned(const electorate &Electorate) const {
  std::set<vote_subject> Condemned;
  for (const auto &[Subject, Votes] : VotesBySubject)
    if (condemned(Subject, Electorate))
      Condemned.insert(Subject);
  return Condemned;
}

std::vector<control::vote> vote_set::votes(const vote_subject &Subject) const {
  std::vector<control::vote> Votes;
  if (auto Found = VotesBySubject.find(Subject); Found != VotesBySubject.end())
    for (const auto &[Voter, Vote] : Found->second)
      Votes.push_back(Vote);
  return Votes;
}

std::vector<control::gossip_record> vote_set::records() const {
  std::vector<control::gossip_record> Records;
  for (const auto &[Subject, Votes] : VotesBySubject)
    for (const auto &[Voter, Vote] : Votes)
      Records.push_back(encodeVote(Vote));
  return Records;
}

void vote_set::eraseBefore(const std::string &Service,
                           std::uint64_t Generation) {
  std::erase_if(VotesBySubject, [&](const auto &Entry) {
    return Entry.first.Service == Service &&
           Entry.first.Generation < Generation;
  });
}

std::set<std::pair<vote_subject, std::string>> vote_set::voters() const {
  std::set<std::pair<vote_subject, std::string>> Voters;
  for (const auto &[Subject, Votes] : VotesBySubject)
    for (const auto &[Voter, Vote] : Votes)
      Voters.emplace(Subject, Voter);
  return Voters;
}

std::optional<control::vote> decideVote(const vote_input &Input,
                                        const comparison_settings &Settings) {
  const state::rollout_directive &Directive = Input.Directive;
  if (Directive.Phase == state::rollout_phase::RolledBack ||
      Directive.Phase == state::rollout_phase::Done)
    return std::nullopt;
  version_comparison Comparison = evaluateVersions(
      Input.Evidence, Directive.FromVersion, Directive.ToVersion, Settings);
  if (Comparison.Verdict != version_verdict::Bad && Input.PlatformDown &&
      Directive.Phase == state::rollout_phase::Watching) {
    comparison_settings WiderSettings = Settings;
    WiderSettings.MinErrorRateRise *= 10;
    WiderSettings.MinSlowRateRise *= 10;
    WiderSettings.MinSlowdown *= 2;
    Comparison = evaluateAgainstBaseline(Input.Evidence, Directive.FromVersion,
                                         Directive.ToVersion, WiderSettings);
  }
  if (Comparison.Verdict != version_verdict::Bad)
    return std::nullopt;
  control::vote Vote;
  Vote.set_service(Directive.Service);
  Vote.set_version(Directive.ToVersion);
  Vote.set_generation(Directive.Generation);
  Vote.set_voter(Input.Voter);
  Vote.set_reason(Comparison.Rule + ": " + Comparison.Figures);
  return Vote;
}

} // namespace hyssopledge::coordination
