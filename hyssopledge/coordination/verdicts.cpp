#include "hyssopledge/coordination/verdicts.h"

#include <algorithm>

namespace hyssopledge::coordination {

std::size_t electorate::hosts() const {
  std::set<std::string> Hosts;
  for (const auto &[Instance, Host] : HostOf)
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
    Electorate.HostOf[Member.instance()] =
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
  return Ballots[{Vote.service(), Vote.version(), Vote.generation()}]
      .try_emplace(Vote.voter(), Vote)
      .second;
}

state::result<bool> vote_set::add(const control::gossip_record &Record) {
  control::vote Vote;
  if (Record.kind() != control::RECORD_VOTE ||
      !Vote.ParseFromString(Record.payload()))
    return state::failure(state::errc::InvalidMessage,
                          "record " + Record.key() + " is no vote");
  if (Vote.voter().empty() || Record.key() != voteKey(Vote))
    return state::failure(state::errc::InvalidMessage,
                          "vote has key " + Record.key() +
                              "; its payload needs " + voteKey(Vote));
  return add(Vote);
}

void vote_set::merge(const vote_set &Other) {
  for (const auto &[Ballot, Votes] : Other.Ballots)
    Ballots[Ballot].insert(Votes.begin(), Votes.end());
}

bool vote_set::condemned(const ballot &Ballot,
                         const electorate &Electorate) const {
  auto Found = Ballots.find(Ballot);
  if (Found == Ballots.end())
    return false;
  std::set<std::string> Hosts;
  for (const auto &[Voter, Vote] : Found->second)
    if (auto Host = Electorate.HostOf.find(Voter);
        Host != Electorate.HostOf.end())
      Hosts.insert(Host->second);
  const std::size_t Needed =
      std::max(LeastVoters, std::min(VotersToCondemn, Electorate.hosts()));
  return Hosts.size() >= Needed;
}

std::set<ballot> vote_set::condemned(const electorate &Electorate) const {
  std::set<ballot> Condemned;
  for (const auto &[Ballot, Votes] : Ballots)
    if (condemned(Ballot, Electorate))
      Condemned.insert(Ballot);
  return Condemned;
}

std::vector<control::vote> vote_set::votes(const ballot &Ballot) const {
  std::vector<control::vote> Votes;
  if (auto Found = Ballots.find(Ballot); Found != Ballots.end())
    for (const auto &[Voter, Vote] : Found->second)
      Votes.push_back(Vote);
  return Votes;
}

std::vector<control::gossip_record> vote_set::records() const {
  std::vector<control::gossip_record> Records;
  for (const auto &[Ballot, Votes] : Ballots)
    for (const auto &[Voter, Vote] : Votes)
      Records.push_back(encodeVote(Vote));
  return Records;
}

void vote_set::forgetBefore(const std::string &Service,
                            std::uint64_t Generation) {
  std::erase_if(Ballots, [&](const auto &Entry) {
    return Entry.first.Service == Service &&
           Entry.first.Generation < Generation;
  });
}

std::set<std::pair<ballot, std::string>> vote_set::voters() const {
  std::set<std::pair<ballot, std::string>> All;
  for (const auto &[Ballot, Votes] : Ballots)
    for (const auto &[Voter, Vote] : Votes)
      All.emplace(Ballot, Voter);
  return All;
}

std::optional<control::vote> castVote(const ballot_paper &Paper,
                                      const test_settings &Settings) {
  const state::rollout_directive &Directive = Paper.Directive;
  if (Directive.Phase == state::rollout_phase::RolledBack ||
      Directive.Phase == state::rollout_phase::Done)
    return std::nullopt;
  version_comparison Seen = judgeVersions(Paper.Evidence, Directive.FromVersion,
                                          Directive.ToVersion, Settings);
  if (Seen.Verdict != version_verdict::Bad && Paper.PlatformDown &&
      Directive.Phase == state::rollout_phase::Watching) {
    test_settings Wide = Settings;
    Wide.LeastErrorRise *= 10;
    Wide.LeastSlowRise *= 10;
    Wide.LeastSlowdown *= 2;
    Seen = judgeAgainstBaseline(Paper.Evidence, Directive.FromVersion,
                                Directive.ToVersion, Wide);
  }
  if (Seen.Verdict != version_verdict::Bad)
    return std::nullopt;
  control::vote Vote;
  Vote.set_service(Directive.Service);
  Vote.set_version(Directive.ToVersion);
  Vote.set_generation(Directive.Generation);
  Vote.set_voter(Paper.Voter);
  Vote.set_reason(Seen.Rule + ": " + Seen.Figures);
  return Vote;
}

} // namespace hyssopledge::coordination
