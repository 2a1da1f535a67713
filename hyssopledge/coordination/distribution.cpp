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
                     const std::string &NewSender) {
  if (NewHead.environment() != Options.Environment || NewHead.version() == 0 ||
      NewHead.manifest_hash().size() != HashBytes)
    return failure(errc::InvalidMessage,
                   "invalid head: environment \"" + NewHead.environment() +
                       "\", version " + std::to_string(NewHead.version()));
  if (NewHead.version() == Head.version() &&
      NewHead.manifest_hash() != Head.manifest_hash())
    return failure(errc::InvalidMessage, "conflicting manifests for version " +
                                             std::to_string(NewHead.version()));
  actions Out;
  if (NewHead.version() <= Head.version())
    return Out;
  Head = NewHead;
  Sender = NewSender;
  PendingFetch.reset();
  FailedRounds = 0;
  RetryAt = Now;
  PlatformNotBefore =
      IsRelay ? Now
              : Now + randomBetween(Random, Options.MinPlatformDelay,
                                    Options.MaxPlatformDelay);
  startRound();
  advance(Now, Out);
  return Out;
}

void distribution::startRound() {
  PeersToAsk = Peers(Options.PeersPerRound);
  std::erase(PeersToAsk, Sender);
  std::reverse(PeersToAsk.begin(), PeersToAsk.end());
  if (!Sender.empty())
    PeersToAsk.push_back(Sender);
  PlatformAsked = false;
}

distribution::actions distribution::onTick(time_point Now) {
  actions Out;
  advance(Now, Out);
  return Out;
}

void distribution::advance(time_point Now, actions &Out) {
  if (Head.version() <= Gate.appliedVersion() || knownHeadRefused() ||
      PendingFetch || Now < RetryAt)
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
  // A relay that received the head from the platform reads there first, since
  // no peer is likely to have the document.
  const bool PlatformFirst = IsRelay && Sender.empty() && !PlatformAsked;
  if (!PlatformFirst && !PeersToAsk.empty()) {
    Action.Kind = distribution_action::kind::FetchFromPeer;
    Action.Peer = PeersToAsk.back();
    PeersToAsk.pop_back();
  } else {
    const std::size_t Batch =
        std::min(Missing.size(), Options.PlatformBatchSize);
    if (!PlatformAsked && Now >= PlatformNotBefore &&
        Budget.tryConsume(Now, Batch)) {
      PlatformAsked = true;
      Missing.resize(Batch);
      Action.Kind = distribution_action::kind::FetchFromPlatform;
    } else if (PlatformFirst && !PeersToAsk.empty()) {
      PlatformAsked = true;
      return startFetch(Now, std::move(Missing), Out);
    } else {
      const auto Delay = std::min<state::milliseconds>(
          Options.MaxRetryDelay,
          Options.MinRetryDelay * (1U << std::min(FailedRounds, 10U)));
      ++FailedRounds;
      RetryAt = Now + randomBetween(Random, Delay / 2, Delay);
      startRound();
      return false;
    }
  }
  Action.FetchId = ++LastFetchId;
  Action.Hashes = Missing;
  PendingFetch = fetch{LastFetchId, Action.Peer, std::move(Missing)};
  Out.push_back(std::move(Action));
  return true;
}

distribution::actions
distribution::onFetched(time_point Now, std::uint64_t FetchId,
                        const state::result<parts> &Parts) {
  actions Out;
  // Drops the result of a fetch that a newer head has replaced: the requested
  // hashes, against which parts are checked, are no longer known.
  if (!PendingFetch || PendingFetch->Id != FetchId)
    return Out;
  const fetch Done = std::move(*PendingFetch);
  PendingFetch.reset();
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
  // A peer that returned some parts likely has the rest.
  if (Added > 0 && !Done.Peer.empty())
    PeersToAsk.push_back(Done.Peer);
  if (Done.Peer.empty()) {
    if (Parts)
      Budget.onSuccess();
    else
      Budget.onFailure(Now, Random);
    // Reads again if parts arrived, since more may be missing than one batch
    // holds.
    PlatformAsked = Added == 0;
  }
  advance(Now, Out);
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
    // The head is below the floor: wait for a newer one.
    RetryAt = Now + Options.MaxRetryDelay;
    return;
  }
  retainParts(Manifest);
  distribution_action Action{};
  Action.Kind = distribution_action::kind::InForce;
  Action.Snapshot = std::move(Built.value());
  Action.Head = Head;
  Out.push_back(std::move(Action));
}

void distribution::refuse(failure Failure, actions &Out) {
  RefusedVersion = Head.version();
  PendingFetch.reset();
  std::set<std::string> Kept = CurrentParts;
  Kept.insert(PreviousParts.begin(), PreviousParts.end());
  Cache.retain(Kept);
  distribution_action Action{};
  Action.Kind = distribution_action::kind::Refused;
  Action.Head = Head;
  Action.Failure = std::move(Failure);
  Out.push_back(std::move(Action));
}

void distribution::retainParts(const std::string &Manifest) {
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
