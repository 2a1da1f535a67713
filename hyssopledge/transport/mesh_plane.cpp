#include "hyssopledge/transport/mesh_plane.h"

#include "hyssopledge/transport/logging.h"
#include "hyssopledge/transport/mesh_call.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>
#include <utility>

namespace hyssopledge::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using state::boot_clock;
using state::milliseconds;

const char *const mesh_plane::DocumentPath = "/hyssop/document";

namespace {

//--- Peers --------------------------------------------------------------------
constexpr milliseconds PeerCheckInterval{150};
// A daemon that has pending calls or is unreachable is pinged after this much
// silence and again at this interval.
constexpr milliseconds PingDelay{300};
// A daemon is unreachable after this much silence and this many unanswered
// pings.
constexpr milliseconds PeerSilenceTimeout{1000};
constexpr unsigned PingsBeforeUnreachable = 3;
// A longer gap between two checks means that this process itself was stalled;
// the silence of the peers is then not counted.
constexpr milliseconds MaxCheckDelay{500};

//--- Calls --------------------------------------------------------------------
// Share of the retry budget for retries after an attempt that may have run.
constexpr double RerunBudgetShare = 0.5;
// Interval at which running calls are checked for a second attempt; short
// against the latencies of routes.
constexpr milliseconds HedgeCheckInterval{20};
constexpr std::size_t MaxPipelinedRequests = 16;

milliseconds toMilliseconds(boot_clock::duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time);
}

state::shared_retry_budget_settings
rerunBudgetSettings(const mesh_plane_options &From) {
  state::shared_retry_budget_settings Settings = From.RetryBudget;
  Settings.SafetyFactor *= RerunBudgetShare;
  return Settings;
}

} // namespace

//-----------------------------------------------------------------------------
// Plane
//-----------------------------------------------------------------------------

mesh_plane::mesh_plane(asio::io_context &Context, mesh_plane_options Options,
                       mesh_plane_hooks Hooks, const call_dialect &Dialect,
                       upstream_client &UpstreamClient, metrics &Metrics)
    : Context(Context), Options(std::move(Options)), Hooks(std::move(Hooks)),
      Dialect(Dialect), UpstreamClient(UpstreamClient), Metrics(Metrics),
      Pool(Context, this->Options.PeerPool),
      Transfers(Context, UpstreamClient, this->Options.LinkMbps),
      Random(this->Options.Seed), RetryBudget(this->Options.RetryBudget),
      RerunBudget(rerunBudgetSettings(this->Options)),
      Hedging(this->Options.HedgeRatio), PeerTimer(Context),
      HedgeTimer(Context) {}

mesh_plane::~mesh_plane() = default;

state::result<std::unique_ptr<mesh_plane>>
mesh_plane::open(asio::io_context &Context, mesh_plane_options Options,
                 mesh_plane_hooks Hooks, const call_dialect &Dialect,
                 upstream_client &UpstreamClient, metrics &Metrics) {
  std::unique_ptr<mesh_plane> Plane(new mesh_plane(Context, std::move(Options),
                                                   std::move(Hooks), Dialect,
                                                   UpstreamClient, Metrics));
  mesh_plane *const Raw = Plane.get();
  auto Entry = http_listener::open(
      {&Context}, Plane->Options.EntryAddress, Plane->entryOptions({}),
      [Raw](std::shared_ptr<server_exchange> Caller) {
        Raw->onCallerRequest(std::move(Caller));
      });
  if (Entry.has_error())
    return Entry.error();
  auto Hop = http_listener::open(
      {&Context}, Plane->Options.HopAddress, Plane->hopOptions({}),
      [Raw](const std::shared_ptr<server_exchange> &Caller) {
        Raw->onHopRequest(Caller);
      });
  if (Hop.has_error())
    return Hop.error();
  Plane->EntryListener = std::move(Entry.value());
  Plane->HopListener = std::move(Hop.value());
  Plane->LastPeerCheck = boot_clock::now();
  Plane->checkPeers();
  if (Plane->Hedging.enabled())
    Plane->checkHedges();
  return Plane;
}

listener_options
mesh_plane::entryOptions(const state::caller_limits &Limits) const {
  listener_options Entry;
  Entry.MaxPipelinedRequests = MaxPipelinedRequests;
  Entry.BodyBudget = Options.PeerPool.BodyBudget;
  Entry.ReceiveBudget = Options.ReceiveBudget;
  Entry.MaxConnections = Options.MaxEntryConnections;
  Entry.EvictsWaitingConnections = true;
  Entry.MaxHeaderBytes = static_cast<std::uint32_t>(std::min<std::size_t>(
      Limits.HeaderBytes, std::numeric_limits<std::uint32_t>::max()));
  Entry.MaxBodyBytes = Limits.BodyBytes;
  // Callers reuse connections within this limit and resend requests that
  // cross the close.
  Entry.IdleTimeout =
      std::chrono::ceil<std::chrono::seconds>(Limits.IdleTimeout);
  Entry.ReceiveTimeout =
      std::chrono::ceil<std::chrono::seconds>(Limits.HeaderTimeout);
  return Entry;
}

listener_options
mesh_plane::hopOptions(const state::caller_limits &Limits) const {
  listener_options Hop;
  Hop.BodyBudget = Options.PeerPool.BodyBudget;
  Hop.ReceiveBudget = Options.ReceiveBudget;
  Hop.MaxConnections = Options.MaxHopConnections;
  Hop.EvictsWaitingConnections = true;
  // Whatever the entry daemons accept, also under a former document.
  Hop.MaxBodyBytes = std::max(Limits.BodyBytes, Hop.MaxBodyBytes);
  Hop.MaxHeaderBytes = forwardedHeaderLimit(
      std::max<std::size_t>(Limits.HeaderBytes, Hop.MaxHeaderBytes));
  return Hop;
}

void mesh_plane::setDocument(
    std::shared_ptr<const state::route_table> NewTable) {
  if (Table)
    for (const std::string &Route : Table->routesEndedBy(*NewTable))
      forgetRoute(Route);
  Table = std::move(NewTable);
  const state::caller_limits &Limits = Table->source().Limits;
  EntryListener->setOptions(entryOptions(Limits));
  HopListener->setOptions(hopOptions(Limits));
  updateColdLimits();
}

/// A later route of the same name must not inherit what was measured on this
/// one: for example, requests would be refused for run times of others, and as
/// none runs, this would not change.
void mesh_plane::forgetRoute(const std::string &Route) {
  SplitRoundRobin.erase(Route);
  LongestCallerTimeout.erase(Route);
  RetryBreaker.forget(Route);
  Hedging.forget(Route);
  Placement.forgetRoute(Route);
  UpstreamClient.forgetRoute(Route);
}

void mesh_plane::setDirectory(const coordination::fleet_directory &Directory) {
  Services.clear();
  VersionHold.update(Directory, boot_clock::now());
  std::vector<std::string> KnownUpstreams;
  std::unordered_map<std::string, std::uint64_t> StillLeaving;
  for (const auto &[Name, Member] : Directory.members()) {
    const coordination::upstream_record &Upstream = Member.Upstream;
    if (const auto Leaving = LeavingUpstreams.find(Upstream.Name);
        Leaving != LeavingUpstreams.end() &&
        Upstream.StartUnixMs <= Leaving->second) {
      StillLeaving.insert(*Leaving);
      continue;
    }
    if (Member.Left || Upstream.Name.empty() ||
        Upstream.State != coordination::upstream_state::Serving ||
        !Upstream.AcceptsConnections ||
        Directory.isEvacuated(Member.DataCentre))
      continue;
    Services[Upstream.Service].Targets.push_back(
        {Upstream.Name, Name, Member.HopAddress, Upstream.Version,
         Member.DataCentre, Upstream.Slots, Upstream.StartUnixMs,
         Member.LinkMbps, Upstream.Cold,
         VersionHold.heldUntil(Upstream.Service, Upstream.Version)});
    KnownUpstreams.push_back(Upstream.Name);
  }
  LeavingUpstreams = std::move(StillLeaving);
  for (auto &[Service, Targets] : Services)
    Targets.VersionSplit =
        coordination::trafficSplit(Directory.rollout(Service));
  updateColdLimits();
  Placement.retain(KnownUpstreams);
  RetryBudget.setDaemonCount(Directory.size());
  RerunBudget.setDaemonCount(Directory.size());
  std::erase_if(Peers, [&](const auto &Entry) {
    const auto *Member = Directory.find(Entry.first);
    return Entry.second.Attempts.empty() && (Member == nullptr || Member->Left);
  });
}

void mesh_plane::updateColdLimits() {
  for (auto &[Name, Targets] : Services) {
    const auto *Service = Table ? Table->findService(Name) : nullptr;
    Targets.HasColdLimit =
        Service != nullptr && Service->ColdRequestsPerSecond > 0;
  }
}

void mesh_plane::onUpstreamLeaving(const target &Leaving) {
  if (!LeavingUpstreams.emplace(Leaving.Upstream, Leaving.StartUnixMs).second)
    return;
  logEvent(log_level::Info, "upstream_leaving",
           {{"upstream", Leaving.Upstream}, {"peer", Leaving.Instance}});
  for (auto &[Service, Known] : Services)
    std::erase_if(Known.Targets, [&](const target &Target) {
      return Target.Upstream == Leaving.Upstream &&
             Target.StartUnixMs <= Leaving.StartUnixMs;
    });
}

std::vector<state::placement_candidate>
mesh_plane::candidates(const service_targets &Service, bool NewVersion,
                       bool OldVersion, state::time_point Now) const {
  std::vector<state::placement_candidate> Candidates;
  std::vector<state::placement_candidate> HeldCandidates;
  for (const target &Target : Service.Targets) {
    const bool IsNewVersion = !Service.VersionSplit.ToVersion.empty() &&
                              Target.Version == Service.VersionSplit.ToVersion;
    if (!Service.VersionSplit.ToVersion.empty() &&
        !(IsNewVersion ? NewVersion : OldVersion))
      continue;
    state::placement_candidate Candidate;
    Candidate.Instance = Target.Upstream;
    Candidate.SameDataCentre = Target.DataCentre == Options.DataCentre;
    Candidate.Slots = Target.Slots;
    Candidate.Cold = Target.Cold && Service.HasColdLimit;
    const auto Peer = Peers.find(Target.Instance);
    Candidate.Reachable = Peer == Peers.end() || Peer->second.Reachable;
    (Target.HeldUntil > Now ? HeldCandidates : Candidates)
        .push_back(std::move(Candidate));
  }
  return Candidates.empty() ? HeldCandidates : Candidates;
}

void mesh_plane::onCallerRequest(std::shared_ptr<server_exchange> Caller) {
  std::make_shared<entry_call>(*this, std::move(Caller))->start();
}

/// Handles a request of another daemon for the local upstream.
void mesh_plane::onHopRequest(const std::shared_ptr<server_exchange> &Caller) {
  const std::string_view Field = fieldValue(Caller->request(), HopCallField);
  if (Field.empty()) {
    if (Caller->request().target() == DocumentPath) {
      const std::string Text = Hooks.CompressedDocument();
      return Caller->respond(makeResponse(Text.empty() ? 404 : 200,
                                          "application/octet-stream", Text));
    }
    return Caller->respond(makeErrorResponse(
        400, OutcomeNotRun, "malformed-hop", "not a call of a daemon"));
  }
  auto Call = parseHopCall(Field);
  if (Call.has_error())
    return Caller->respond(makeErrorResponse(
        400, OutcomeNotRun, "malformed-hop", Call.error().text()));
  if (Caller->request().target() == transfer_gate::Path)
    return Transfers.onRequest(Caller, std::move(Call.value()));
  if (Call.value().TransferTicket > 0)
    Transfers.onArrival(Call.value().TransferTicket);
  const state::time_point Started = boot_clock::now();
  http_request Head;
  Head.base() = Caller->request().base();
  Head.erase(HopCallField);
  auto Exchange = std::make_shared<std::shared_ptr<upstream_exchange>>();
  Caller->onDisconnect([Exchange] {
    if (*Exchange)
      (*Exchange)->cancel();
  });
  *Exchange = UpstreamClient.run(
      std::move(Call.value()),
      {std::move(Head), shared_body(Caller, &Caller->request().body())},
      [this, Caller, Started](hop_answer Answer) {
        if (Answer.Outcome != hop_outcome::Ran && !Answer.RejectedByUpstream)
          Answer.Response = makeErrorResponse(
              Answer.Outcome == hop_outcome::NotRun ? 503 : 502,
              outcomeText(Answer.Outcome), Answer.Reason, "see the reason");
        setHopAnswerField(Answer);
        Metrics.recordCall(call_side::Target, outcomeText(Answer.Outcome),
                           Answer.Reason, boot_clock::now() - Started);
        Caller->respond(std::move(Answer.Response));
      },
      [Caller] { return Caller->detectDisconnect(); });
}

void mesh_plane::onPeerAlive(const std::string &Instance) {
  const auto Found = Peers.find(Instance);
  if (Found == Peers.end())
    return;
  peer &Peer = Found->second;
  Peer.LastAliveAt = boot_clock::now();
  Peer.UnansweredPings = 0;
  if (!Peer.Reachable) {
    Peer.Reachable = true;
    logEvent(log_level::Info, "peer_reached", {{"peer", Instance}});
  }
}

/// Detects daemons that stopped responding without closing their connections,
/// for example after a power loss.
void mesh_plane::checkPeers() {
  const state::time_point Now = boot_clock::now();
  const bool WasStalled = Now - LastPeerCheck > MaxCheckDelay;
  LastPeerCheck = Now;
  std::vector<std::shared_ptr<attempt>> Affected;
  for (auto &[Instance, Peer] : Peers) {
    if (Peer.Reachable && Peer.Attempts.empty())
      continue;
    if (WasStalled) {
      Peer.LastAliveAt = Now;
      Peer.UnansweredPings = 0;
    }
    if (Now - Peer.LastAliveAt >= PingDelay &&
        Now - Peer.LastPingAt >= PingDelay) {
      Peer.LastPingAt = Now;
      ++Peer.UnansweredPings;
      Hooks.Ping(Instance);
    }
    if (!Peer.Reachable || Now - Peer.LastAliveAt < PeerSilenceTimeout ||
        Peer.UnansweredPings < PingsBeforeUnreachable)
      continue;
    Peer.Reachable = false;
    logEvent(log_level::Warn, "peer_lost",
             {{"peer", Instance},
              {"silent_ms", toMilliseconds(Now - Peer.LastAliveAt).count()},
              {"calls", Peer.Attempts.size()}});
    for (attempt *Attempt : Peer.Attempts)
      Affected.push_back(Attempt->shared_from_this());
  }
  for (const auto &Attempt : Affected)
    Attempt->onPeerUnreachable();
  // After a stall the answers that wait in the sockets are read first.
  if (!WasStalled)
    for (const auto &Call : pendingCalls())
      Call->endOverdue(Now);
  PeerTimer.expires_after(PeerCheckInterval);
  PeerTimer.async_wait([this](const error_code &Error) {
    if (!Error)
      checkPeers();
  });
}

/// Gives slow idempotent calls a second attempt.
void mesh_plane::checkHedges() {
  const state::time_point Now = boot_clock::now();
  for (const auto &Call : pendingCalls())
    Call->considerHedge(Now);
  HedgeTimer.expires_after(HedgeCheckInterval);
  HedgeTimer.async_wait([this](const error_code &Error) {
    if (!Error)
      checkHedges();
  });
}

/// A copy, since a call is removed when it ends.
std::vector<std::shared_ptr<mesh_plane::entry_call>>
mesh_plane::pendingCalls() const {
  std::vector<std::shared_ptr<entry_call>> Pending;
  Pending.reserve(Calls.size());
  for (const auto &[Key, Call] : Calls)
    Pending.push_back(Call);
  return Pending;
}

void mesh_plane::closeAfterResponses() { EntryListener->closeAfterResponses(); }

void mesh_plane::refuseNewCalls() { RefusesNewCalls = true; }

void mesh_plane::setShutdownDeadline(state::time_point NewDeadline) {
  ShutdownDeadline = NewDeadline;
}

void mesh_plane::abortPendingCalls() {
  for (const auto &Call : pendingCalls())
    Call->abort();
}

std::size_t mesh_plane::active() const {
  return EntryListener->active() + HopListener->active();
}

} // namespace hyssopledge::transport
