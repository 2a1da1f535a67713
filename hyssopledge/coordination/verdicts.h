/// \file
/// Votes against versions and the condemnation that follows from them. Works
/// without the platform.
#pragma once

#include "hyssopledge/coordination/version_test.h"
#include "hyssopledge/state/result.h"
#include "hyssopledge/state/routing_view.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace hyssopledge::coordination {

/// What is voted on: a version in one rollout.
struct vote_subject {
  std::string Service;
  std::string Version;
  std::uint64_t Generation = 0;
  bool operator<(const vote_subject &Other) const {
    return std::tie(Service, Version, Generation) <
           std::tie(Other.Service, Other.Version, Other.Generation);
  }
  bool operator==(const vote_subject &Other) const = default;
};

/// Who may vote: the members that observe calls, each with its host. Suspected
/// members count; dead and left ones don't.
struct electorate {
  std::map<std::string, std::string> HostOf; // instance to host
  std::size_t hosts() const;                 // distinct
};
/// Hosts are the IP addresses of the members' control addresses.
electorate electorateOf(const std::vector<control::member> &Members);

/// Grow-only set; a merge in any order and any number of times gives the same
/// set. A vote stays valid when its voter leaves.
class vote_set {
public:
  static constexpr std::size_t VotersToCondemn = 3; // on distinct hosts
  static constexpr std::size_t MinVoters = 2;       // when few observe

  /// Returns true when the vote was not known. The first vote of a voter on a
  /// ballot is kept.
  bool add(const control::vote &Vote);
  /// As above; InvalidMessage for a record that is no vote or whose key does
  /// not fit its payload.
  state::result<bool> add(const control::gossip_record &Record);
  void merge(const vote_set &Other);

  /// 3 voters on distinct hosts, or all hosts when fewer than 3 observe, but
  /// never fewer than 2. A voter without a known host has one of its own only
  /// if it is in the electorate; others count once they are known.
  bool condemned(const vote_subject &Subject,
                 const electorate &Electorate) const;
  std::set<vote_subject> condemned(const electorate &Electorate) const;
  std::vector<control::vote> votes(const vote_subject &Subject) const;
  /// Every vote, to be gossiped.
  std::vector<control::gossip_record> records() const;
  /// Forgets the service's ballots of generations before the given one.
  void eraseBefore(const std::string &Service, std::uint64_t Generation);
  bool operator==(const vote_set &Other) const {
    return voters() == Other.voters();
  }

private:
  std::set<std::pair<vote_subject, std::string>> voters() const;
  std::map<vote_subject, std::map<std::string, control::vote>> VotesBySubject;
};

control::gossip_record encodeVote(const control::vote &Vote);

/// The vote of one daemon or relay from its own evidence. While the platform is
/// down nobody rechecks a version after the move (rollout_policy.h), so then
/// the kept baseline may speak too, with a larger least effect.
struct vote_input {
  std::string Voter;
  const state::rollout_directive &Directive;
  const evidence_series &Evidence;
  bool PlatformDown = false;
};
/// A daemon for itself passes its evidence under the name of a sum
/// (evidence_aggregator::aggregateName), as it is the only reporter. None when
/// nothing speaks against the version. A daemon that votes also avoids the
/// version at once.
std::optional<control::vote> decideVote(const vote_input &Input,
                                        const test_settings &Settings);

} // namespace hyssopledge::coordination
