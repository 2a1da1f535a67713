/// \file
/// Distribution of documents: fetches the missing parts of a newer head's
/// document, verifies and builds it, and puts it in force.
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
  unsigned PeersPerRound = 3; // in addition to the sender of the head
  state::milliseconds MinRetryDelay{200}; // after a round without success
  state::milliseconds MaxRetryDelay{2000};
  /// Bounds of the delay before a daemon without a relay seat reads from the
  /// platform, so that many daemons at once fetch from their peers first.
  state::milliseconds MinPlatformDelay{3000};
  state::milliseconds MaxPlatformDelay{10000};
  std::size_t PlatformBatchSize = 16; // parts per read
};

struct distribution_action {
  enum class kind {
    FetchFromPeer,     // pass the result to onFetched
    FetchFromPlatform, // pass the result to onFetched
    InForce,           // use the snapshot and notify peers
    Refused,           // log it; the applied version stays
  };
  kind Kind;
  std::uint64_t FetchId = 0;
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
  /// Returns instances to fetch from, relays of the own data centre first.
  using peer_source = std::function<std::vector<std::string>(std::size_t)>;

  distribution(distribution_options Options, version_gate &Gate,
               part_cache &Cache, call_budget &Budget,
               state::random_engine &Random, peer_source Peers);

  /// A relay reads from the platform without delay, to introduce new versions.
  void setRelay(bool Value) { IsRelay = Value; }
  /// Processes a head from the platform (empty Sender) or from a peer. Ignores
  /// versions below the known one. Fails with InvalidMessage if the head is
  /// malformed, belongs to another environment, or has the known version with
  /// another manifest.
  state::result<actions> onHead(state::time_point Now,
                                const control::head &Head,
                                const std::string &Sender);
  actions onFetched(state::time_point Now, std::uint64_t FetchId,
                    const state::result<parts> &Parts);
  /// Call this periodically and after the gate's floor has become known.
  actions onTick(state::time_point Now);

  const control::head &knownHead() const { return Head; }
  std::uint64_t knownVersion() const { return Head.version(); }
  /// Whether the document of the known head was refused here.
  bool knownHeadRefused() const {
    return RefusedVersion != 0 && RefusedVersion == Head.version();
  }
  /// Answers a fetch of a peer with the cached parts.
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
  std::uint64_t LastFetchId = 0;
  std::optional<fetch> PendingFetch;
  std::string Sender;
  std::vector<std::string> PeersToAsk; // the last one is asked next
  unsigned FailedRounds = 0;
  bool PlatformAsked = false;
  state::time_point PlatformNotBefore{};
  state::time_point RetryAt{};
  std::set<std::string> CurrentParts;
  std::set<std::string> PreviousParts;
};

} // namespace hyssopledge::coordination
