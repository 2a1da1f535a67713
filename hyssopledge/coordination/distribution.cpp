#include "hyssopledge/coordination/distribution.h"

#include "hyssopledge/protocol/document_codec.h"

#include <algorithm>

namespace hyssopledge::coordination {

using state::errc;
using state::failure;
using state::time_point;

namespace {
constexpr std::size_t HashBytes = 32;
constexpr int MaxServedParts = 4096;
// Stays below the 4 MB that gRPC accepts.
constexpr std::size_t MaxServedBytes = 3 * 1024 * 1024;
} // namespace

distribution::distribution(distribution_options Options, version_gate &Gate,
                           part_cache &Cache, call_budget &Budget,
                           state::random_engine &Random, peer_source Peers)
    : Options(std::move(Options)), Gate(Gate), Cache(Cache), Budget(Budget),
      Random(Random), Peers(std::move(Peers)) {}

state::result<distribution::actions>
distribution::onHead(time_point Now, const control::head &NewHead,
                     const std::string &NewTeller) {
  if (NewHead.environment() != Options.Environment || NewHead.version() == 0 ||
      NewHead.manifest_hash().size() != HashBytes)
    return failure(errc::InvalidMessage,
                   "head of environment \"" + NewHead.environment() +
                       "\" with version " + std::to_string(NewHead.version()));
  if (NewHead.version() == Head.version() &&
      NewHead.manifest_hash() != Head.manifest_hash())
    return failure(errc::InvalidMessage, "two manifests for version " +
                                             std::to_string(NewHead.version()));
  actions Out;
  if (NewHead.version() <= Head.version())
    return Out;
  Head = NewHead;
  Teller = NewTeller;
  Fetching.reset();
  FailedRounds = 0;
  RetryAt = Now;
  PlatformFrom = Relay ? Now
                       : Now + randomBetween(Random, Options.PlatformDelayMin,
                                             Options.PlatformDelayMax);
  newRound();
  proceed(Now, Out);
  return Out;
}

void distribution::newRound() {
  Round = Peers(Options.PeersPerRound);
  std::erase(Round, Teller);
  std::reverse(Round.begin(), Round.end());
  if (!Teller.empty())
    Round.push_back(Teller);
  PlatformTried = false;
}

distribution::actions distribution::onTick(time_point Now) {
  actions Out;
  proceed(Now, Out);
  return Out;
}

void distribution::proceed(time_point Now, actions &Out) {
  if (Head.version() <= Gate.appliedVersion() || refusedKnown() || Fetching ||
      Now < RetryAt)
    return;
  const std::string *Manifest = Cache.find(Head.manifest_hash());
  if (Manifest == nullptr) {
    startFetch(Now, {Head.manifest_hash()}, Out);
    return;
  }
  auto Missing =
      protocol::missingParts(*Manifest, [this](const std::string &Hash) {
        return Cache.lookup(Hash);
      });
  if (!Missing)
    return refuse(Missing.error(), Out);
  if (Missing.value().empty())
    return build(Now, *Manifest, Out);
  startFetch(Now, std::move(Missing.value()), Out);
}

bool distribution::startFetch(time_point Now, std::vector<std::string> Missing,
                              actions &Out) {
  distribution_action Action{};
  // A relay that heard from the platform has nobody better to ask.
  const bool PlatformFirst = Relay && Teller.empty() && !PlatformTried;
  if (!PlatformFirst && !Round.empty()) {
    Action.Kind = distribution_action::kind::FetchFromPeer;
    Action.Peer = Round.back();
    Round.pop_back();
  } else {
    const std::size_t Batch = std::min(Missing.size(), Options.PlatformBatch);
    if (!PlatformTried && Now >= PlatformFrom && Budget.take(Now, Batch)) {
      PlatformTried = true;
      Missing.resize(Batch);
      Action.Kind = distribution_action::kind::FetchFromPlatform;
    } else if (PlatformFirst && !Round.empty()) {
      PlatformTried = true;
      return startFetch(Now, std::move(Missing), Out);
    } else {
      const auto Pause = std::min<state::milliseconds>(
          Options.RetryMax,
          Options.RetryMin * (1U << std::min(FailedRounds, 10U)));
      ++FailedRounds;
      RetryAt = Now + randomBetween(Random, Pause / 2, Pause);
      newRound();
      return false;
    }
  }
  Action.Fetch = ++LastFetch;
  Action.Hashes = Missing;
  Fetching = fetch{LastFetch, Action.Peer, std::move(Missing)};
  Out.push_back(std::move(Action));
  return true;
}

distribution::actions
distribution::onFetched(time_point Now, std::uint64_t Fetch,
                        const state::result<parts> &Parts) {
  actions Out;
  // Parts of a fetch that a newer head has overtaken are still good if they
  // were asked for; without the request on record they are dropped.
  if (!Fetching || Fetching->Id != Fetch)
    return Out;
  const fetch Done = std::move(*Fetching);
  Fetching.reset();
  std::size_t Added = 0;
  if (Parts) {
    for (const auto &[Hash, Data] : Parts.value()) {
      if (std::find(Done.Hashes.begin(), Done.Hashes.end(), Hash) ==
          Done.Hashes.end())
        continue;
      auto Result = Cache.add(Hash, Data);
      if (!Result && Result.error().is(errc::TooLarge)) {
        refuse(Result.error(), Out);
        return Out;
      }
      Added += Result && Result.value() ? 1 : 0;
    }
  }
  // A peer that had something likely has the rest.
  if (Added > 0 && !Done.Peer.empty())
    Round.push_back(Done.Peer);
  if (Done.Peer.empty()) {
    if (Parts)
      Budget.onSuccess();
    else
      Budget.onFailure(Now, Random);
    // More parts may be missing than one batch holds.
    PlatformTried = Added == 0;
  }
  proceed(Now, Out);
  return Out;
}

void distribution::build(time_point Now, const std::string &Manifest,
                         actions &Out) {
  if (!Gate.floor())
    return;
  auto Document = protocol::joinParts(
      Manifest, [this](const std::string &Hash) { return Cache.lookup(Hash); });
  if (!Document)
    return refuse(Document.error(), Out);
  if (Document.value().Environment != Options.Environment)
    return refuse(failure(errc::InvalidDocument,
                          "/environment: is \"" + Document.value().Environment +
                              "\" and must be \"" + Options.Environment + "\""),
                  Out);
  auto Built = state::buildSnapshot(Head.version(),
                                    protocol::hexEncode(Head.manifest_hash()),
                                    std::move(Document.value()));
  if (!Built)
    return refuse(Built.error(), Out);
  auto Applied = Gate.apply(*Built.value());
  if (!Applied) {
    // The head is below the floor; wait for the newer one.
    RetryAt = Now + Options.RetryMax;
    return;
  }
  retain(Manifest);
  distribution_action Action{};
  Action.Kind = distribution_action::kind::InForce;
  Action.Snapshot = std::move(Built.value());
  Action.Head = Head;
  Out.push_back(std::move(Action));
}

void distribution::refuse(failure Failure, actions &Out) {
  RefusedVersion = Head.version();
  Fetching.reset();
  std::set<std::string> Kept = CurrentParts;
  Kept.insert(PreviousParts.begin(), PreviousParts.end());
  Cache.retain(Kept);
  distribution_action Action{};
  Action.Kind = distribution_action::kind::Refused;
  Action.Head = Head;
  Action.Failure = std::move(Failure);
  Out.push_back(std::move(Action));
}

void distribution::retain(const std::string &Manifest) {
  control::manifest Parsed;
  Parsed.ParseFromString(Manifest);
  PreviousParts = std::move(CurrentParts);
  CurrentParts = {Head.manifest_hash()};
  for (const control::part_ref &Part : Parsed.parts())
    CurrentParts.insert(Part.hash());
  std::set<std::string> Kept = CurrentParts;
  Kept.insert(PreviousParts.begin(), PreviousParts.end());
  Cache.retain(Kept);
}

control::fetch_response
distribution::serve(const control::fetch_request &Request) const {
  control::fetch_response Response;
  if (Request.environment() != Options.Environment ||
      Request.hashes_size() > MaxServedParts)
    return Response;
  std::size_t Bytes = 0;
  for (const std::string &Hash : Request.hashes()) {
    const std::string *Data = Cache.find(Hash);
    if (Data == nullptr)
      continue;
    Bytes += Data->size();
    if (Bytes > MaxServedBytes)
      break;
    auto *Part = Response.add_parts();
    Part->set_hash(Hash);
    Part->set_data(*Data);
  }
  return Response;
}

} // namespace hyssopledge::coordination
