/// \file
/// Brings a newer head's document here: fetch what is missing, check, build,
/// put in force.
#pragma once

#include "hyssopledge/coordination/jitter.h"
#include "hyssopledge/coordination/part_cache.h"
#include "hyssopledge/coordination/version_gate.h"
#include "hyssopledge/protocol/generated/control.pb.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/state/snapshot.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssopledge::coordination {

struct distribution_options {
  std::string Environment;
  unsigned PeersPerRound = 3; // others, after the one that told first
  state::milliseconds MinRetryDelay{200}; // pause after a round without success
  state::milliseconds MaxRetryDelay{2000};
  state::milliseconds MinPlatformDelay{3000};  // a daemon without a relay seat
  state::milliseconds MaxPlatformDelay{10000}; // asks the platform this late,
                                               // so that a herd asks its peers
  std::size_t PlatformBatchSize = 16;          // parts read at once
};

struct distribution_action {
  enum class kind {
    FetchFromPeer,     // answer with onFetched
    FetchFromPlatform, // answer with onFetched
    InForce,           // use the snapshot, tell peers
    Refused,           // log it; the daemon stays at its version
  };
  kind Kind;
  std::uint64_t Fetch = 0;         // id for the answer
  std::string Peer;                // instance
  std::vector<std::string> Hashes; // raw
  std::shared_ptr<const state::snapshot> Snapshot;
  control::head Head;
  state::failure Failure;
};

class distribution {
public:
  using actions = std::vector<distribution_action>;
  using parts = std::vector<std::pair<std::string, std::string>>; // hash, data
  /// Random instances to ask, relays of the own data centre first.
  using peer_source = std::function<std::vector<std::string>(std::size_t)>;

  distribution(distribution_options Options, version_gate &Gate,
               part_cache &Cache, call_budget &Budget,
               state::random_engine &Random, peer_source Peers);

  /// A relay asks the platform at once, to put a new version into circulation.
  void setRelay(bool Value) { IsRelay = Value; }
  /// From the platform (no teller) or from a peer. A lower version than the
  /// known one is ignored; a conflicting head of the same version is
  /// InvalidMessage.
  state::result<actions> onHead(state::time_point Now,
                                const control::head &Head,
                                const std::string &Sender);
  actions onFetched(state::time_point Now, std::uint64_t Fetch,
                    const state::result<parts> &Parts);
  /// The gate's floor has become known or time has passed.
  actions onTick(state::time_point Now);

  const control::head &knownHead() const { return Head; }
  std::uint64_t knownVersion() const { return Head.version(); }
  /// Whether the known head's document was refused here.
  bool knownHeadRefused() const {
    return RefusedVersion != 0 && RefusedVersion == Head.version();
  }
  /// Parts for a peer's fetch.
  control::fetch_response serve(const control::fetch_request &Request) const;

private:
  struct fetch {
    std::uint64_t Id = 0;
    std::string Peer; // empty: the platform
    std::vector<std::string> Hashes;
  };

  void advance(state::time_point Now, actions &Out);
  bool startFetch(state::time_point Now, std::vector<std::string> Missing,
                  actions &Out);
  void build(state::time_point Now, const std::string &Manifest, actions &Out);
  void refuse(state::failure Failure, actions &Out);
  void retainParts(const std::string &Manifest);
  void startRound();

  distribution_options Options;
  version_gate &Gate;
  part_cache &Cache;
  call_budget &Budget;
  state::random_engine &Random;
  peer_source Peers;
  bool IsRelay = false;
  control::head Head;
  std::uint64_t RefusedVersion = 0;
  std::uint64_t LastFetch = 0;
  std::optional<fetch> PendingFetch;
  std::string Sender;
  std::vector<std::string> PeersToAsk; // peers still to be asked
  unsigned FailedRounds = 0;
  bool PlatformAsked = false;
  state::time_point PlatformNotBefore{};
  state::time_point RetryAt{};
  std::set<std::string> CurrentParts;
  std::set<std::string> PreviousParts;
};

} // namespace hyssopledge::coordination
