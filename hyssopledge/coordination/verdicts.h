/// \file
/// Votes against versions, and their condemnation by enough votes. Works
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

/// Subject of a vote: a version in one rollout.
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

/// Members that may vote because they observe calls, each with its host.
/// Includes suspected members, but no dead ones and none that have left.
struct electorate {
  std::map<std::string, std::string> HostByInstance;
  std::size_t hostCount() const; // number of distinct hosts
};
/// Takes the IP addresses of the members' control addresses as hosts.
electorate electorateOf(const std::vector<control::member> &Members);

/// Grow-only set (CRDT): merges in any order and any number give the same set.
/// A vote stays valid after its voter has left.
class vote_set {
public:
  static constexpr std::size_t HostsToCondemn = 3; // distinct hosts of voters
  static constexpr std::size_t MinHosts = 2;       // for small electorates

  /// Returns true if the vote is new. The first vote of a voter on a subject is
  /// kept.
  bool add(const control::vote &Vote);
  /// As above. Returns InvalidMessage if the record is no vote or its key does
  /// not match its payload.
  state::result<bool> add(const control::gossip_record &Record);
  void merge(const vote_set &Other);

  /// Returns true with votes from 3 distinct hosts, or from all hosts of the
  /// electorate if it has fewer than 3, but never with fewer than 2. Votes of
  /// voters outside the electorate count once they belong to it.
  bool condemned(const vote_subject &Subject,
                 const electorate &Electorate) const;
  std::set<vote_subject> condemned(const electorate &Electorate) const;
  std::vector<control::vote> votes(const vote_subject &Subject) const;
  /// Returns all votes, to be gossiped.
  std::vector<control::gossip_record> records() const;
  /// Erases the votes on the service in generations before the given one.
  void eraseBefore(const std::string &Service, std::uint64_t Generation);
  bool operator==(const vote_set &Other) const {
    return voters() == Other.voters();
  }

private:
  std::set<std::pair<vote_subject, std::string>> voters() const;
  std::map<vote_subject, std::map<std::string, control::vote>> VotesBySubject;
};

control::gossip_record encodeVote(const control::vote &Vote);

/// Input for the vote of one daemon or relay from its own evidence. While the
/// platform is down, no recheck follows a completed rollout (rollout_policy.h),
/// so the comparison with the kept baseline may then decide as well, with a
/// larger minimum effect size.
struct vote_input {
  std::string Voter;
  const state::rollout_directive &Directive;
  const evidence_series &Evidence;
  bool PlatformDown = false;
};
/// Returns a vote if the version is bad, or nullopt. A daemon with only its own
/// evidence passes it under an aggregate name
/// (evidence_aggregator::aggregateName), because its only reporter must not be
/// excluded. A daemon that votes also stops using the version at once.
std::optional<control::vote> decideVote(const vote_input &Input,
                                        const comparison_settings &Settings);

} // namespace hyssopledge::coordination
