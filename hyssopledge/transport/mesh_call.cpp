#include "hyssopledge/transport/mesh_call.h"

#include "hyssopledge/transport/logging.h"

#include <algorithm>
#include <utility>

namespace hyssopledge::transport {

using state::boot_clock;
using state::milliseconds;

namespace {

//--- Attempts -----------------------------------------------------------------
// Maximum number of daemons tried for one call; each refusal costs a hop of
// about 2 ms.
constexpr unsigned MaxHops = 4;
// With less time left than this a call is not retried.
constexpr milliseconds MinTimeForRetry{10};
// Each wait of a call ends soon after its deadline. One that does not is ended
// after this time, before the half second in which the users expect an answer.
constexpr milliseconds OverdueTime{250};
// Timeout of a caller that sends no deadline.
constexpr milliseconds DefaultTimeout{10'000};
// Priorities of routes that are told apart within one priority of workspaces.
constexpr std::uint32_t RoutePriorities = 16;

//--- Retry-After --------------------------------------------------------------
constexpr milliseconds MinRetryAfter{50};
// Callers honour a Retry-After of up to a third of their remaining time.
constexpr int RetryAfterDivisor = 3;
// Spreads the retries of callers that were refused for other reasons than load.
constexpr milliseconds RetryAfterSpread{50};
// Sent before the first document is active; about the duration of a start.
constexpr milliseconds NotReadyRetryAfter{250};

milliseconds toMilliseconds(boot_clock::duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time);
}

/// Returns whether a refusal with this reason was caused by load.
bool isLoadRefusal(std::string_view Reason) {
  return Reason == "late" || Reason == "deadline" || Reason == "full";
}

state::placement_outcome placementOutcome(const hop_answer &Answer,
                                          unsigned Status) {
  if (Answer.Outcome == hop_outcome::NotRun)
    return state::placement_outcome::Refused;
  if (Status == 504 || Answer.Reason == "timeout")
    return state::placement_outcome::Unfinished;
  return Status >= 500 || Answer.Outcome == hop_outcome::Unknown
             ? state::placement_outcome::Failed
             : state::placement_outcome::Success;
}

} // namespace

mesh_plane::entry_call::entry_call(mesh_plane &Plane,
                                   std::shared_ptr<server_exchange> Caller)
    : Plane(Plane), Caller(std::move(Caller)), Started(boot_clock::now()) {}

void mesh_plane::entry_call::start() {
  const http_request &Request = Caller->request();
  const call_metadata Metadata = Plane.Dialect.parseCall(Request);
  Id = std::string(Metadata.Id);
  const auto Path = Request.target();
  if (Path.empty() || Path.front() != '/')
    return respondError(400, OutcomeNotRun, "malformed-http");
  if (Plane.RefusesNewCalls)
    return refuse("leaving", MinRetryAfter);
  if (!Plane.Table)
    return refuse("no-document", NotReadyRetryAfter);
  Table = Plane.Table;
  const auto Host = Request[boost::beast::http::field::host];
  Route =
      Table->matchRoute({Host.data(), Host.size()}, {Path.data(), Path.size()});
  if (Route == nullptr)
    return respondError(404, OutcomeNotRun, "no-route");
  Workspace = Table->findWorkspace(Metadata.ApiKey);
  if (Table->hasWorkspaces() && Workspace == nullptr && !Route->AllowAnonymous)
    return respondError(401, OutcomeNotRun, "unknown-key");
  const milliseconds CallerTimeout = Metadata.TimeLeft.value_or(DefaultTimeout);
  Timeout = std::min(CallerTimeout, Route->Timeout);
  Deadline = std::min(Started + Timeout, Plane.ShutdownDeadline);
  SloDeadline = Deadline;
  if (Route->SloLatency.count() > 0) {
    // The objective is measured from the caller's first attempt.
    milliseconds &Longest = Plane.LongestCallerTimeout[Route->Name];
    Longest = std::max(Longest, CallerTimeout);
    SloDeadline = Started + Route->SloLatency - (Longest - CallerTimeout);
  }
  Idempotent = Route->Idempotent;
  chooseService();
  Plane.RetryBudget.onRequest(Service, Started);
  Plane.RerunBudget.onRequest(Service, Started);
  if (Idempotent)
    Plane.Hedging.onRequest();
  // Some calls from this instance are made by retried runs of its upstream;
  // they are charged to the budget as well.
  Plane.RetryBudget.onNestedCall(Service, Plane.UpstreamClient.retryShare(),
                                 Started);
  if (Plane.Calls.size() >= Plane.Options.MaxCalls)
    return refuse("too-many-calls", NotReadyRetryAfter);
  Plane.Calls.emplace(this, shared_from_this());
  Caller->onDisconnect([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->onCallerDisconnect();
  });
  if (Deadline <= Started)
    return refuse("deadline", MinRetryAfter);
  if (Workspace != nullptr && Workspace->Quota.RequestsPerSecond > 0 &&
      Plane.Hooks.AcquireQuota)
    return acquireQuota();
  tryNextTarget();
}

void mesh_plane::entry_call::acquireQuota() {
  Plane.Hooks.AcquireQuota(*Workspace, [Self = shared_from_this()](
                                           quota_decision Decision,
                                           milliseconds QuotaRetryAfter) {
    if (Self->Done)
      return;
    if (Decision == quota_decision::Granted) {
      Self->HasQuota = true;
      return Self->tryNextTarget();
    }
    // A part of the delay is random, since one answer may be for several
    // requests.
    const auto Spread =
        static_cast<std::uint64_t>(QuotaRetryAfter.count() / 4 + 1);
    Self->RetryAfter =
        QuotaRetryAfter + milliseconds(static_cast<std::int64_t>(
                              state::uniformBelow(Self->Plane.Random, Spread)));
    if (Decision == quota_decision::Exceeded)
      return Self->respondError(429, OutcomeNotRun, "quota");
    Self->respondError(503, OutcomeNotRun, "quota-unavailable");
  });
}

http_request mesh_plane::entry_call::forwardedHead() const {
  http_request Head;
  Head.base() = Caller->request().base();
  if (Table->hasWorkspaces())
    Plane.Dialect.removeCredentials(Head);
  return Head;
}

shared_body mesh_plane::entry_call::body() const {
  return {Caller, &Caller->request().body()};
}

/// Ends a call whose wait has not ended at its deadline, whatever it waits for.
void mesh_plane::entry_call::endOverdue(state::time_point Now) {
  if (Done || Now - Deadline < OverdueTime)
    return;
  logEvent(log_level::Warn, "call_overdue",
           {{"id", Id}, {"sends", Sends}, {"hops", Hops}});
  if (Hops == 0)
    return refuse("deadline", MinRetryAfter);
  respondError(504, OutcomeUnknown, "timeout");
}

void mesh_plane::entry_call::abort() {
  if (Current)
    Current->cancel();
  if (Hedge)
    Hedge->cancel();
  respondError(504, OutcomeUnknown, "leaving");
}

/// Selects the service by the traffic split of the route, if it has one.
void mesh_plane::entry_call::chooseService() {
  if (Route->Split.empty()) {
    Service = Route->Service;
    return;
  }
  std::vector<double> Weights;
  for (const state::traffic_share &Part : Route->Split)
    Weights.push_back(Part.Weight);
  Service =
      Route->Split[Plane.SplitRoundRobin[Route->Name].next(Weights)].Service;
}

/// Selects the version by the rollout's traffic share at the first attempt.
/// Retries never move to the new version.
void mesh_plane::entry_call::chooseVersion(
    const coordination::traffic_split &VersionSplit) {
  if (VersionSplit.ToVersion.empty() || VersionChosen)
    return;
  VersionChosen = true;
  constexpr double AllBasisPoints = 10'000;
  NewVersion = Plane.VersionRoundRobin[Service].next(
                   {AllBasisPoints - VersionSplit.ShareBp,
                    double(VersionSplit.ShareBp)}) == 1;
}

void mesh_plane::entry_call::tryNextTarget() {
  const state::time_point Now = boot_clock::now();
  const auto ServiceEntry = Plane.Services.find(Service);
  if (ServiceEntry == Plane.Services.end())
    return end("no-target");
  const service_targets &Targets = ServiceEntry->second;
  chooseVersion(Targets.VersionSplit);
  std::vector<state::placement_candidate> Candidates =
      Plane.candidates(Targets, NewVersion, !NewVersion, Now);
  if (Candidates.empty() && NewVersion) {
    NewVersion = false;
    Candidates = Plane.candidates(Targets, false, true, Now);
  }
  state::placement_query Query;
  Query.Route = Route->Name;
  Query.SloTimeLeft =
      std::max(toMilliseconds(SloDeadline - Now), milliseconds(1));
  Query.Tried = TriedUpstreams;
  Query.Now = Now;
  state::placement_choice Choice =
      Plane.Placement.choose(Candidates, Query, Plane.Random);
  if (Choice.Instance.empty() && !MayMissSlo && Sends == 0 &&
      !Candidates.empty()) {
    // No target can meet the latency objective, so one may miss it.
    MayMissSlo = true;
    Query.Tried = ExcludedUpstreams;
    Choice = Plane.Placement.choose(Candidates, Query, Plane.Random);
  }
  if (Choice.Instance.empty())
    return end(LastReason.empty() ? "no-target" : LastReason.c_str());
  const auto Found = std::find_if(
      Targets.Targets.begin(), Targets.Targets.end(),
      [&](const target &T) { return T.Upstream == Choice.Instance; });
  if (Choice.MissesSlo || Candidates.size() == 1 || Hops + 1 >= MaxHops)
    MayMissSlo = true;
  ExpectedLatency = Choice.ExpectedLatency;
  send(*Found);
}

void mesh_plane::entry_call::send(const target &To) {
  // The upstream client checks this before it sends to the local upstream.
  if (To.Instance != Plane.Options.Instance && Caller->detectDisconnect())
    return;
  ++Hops;
  LastTarget = To;
  TriedUpstreams.push_back(To.Upstream);
  Current = std::make_shared<attempt>(Plane, shared_from_this(), To, hopCall());
  const auto Sent = Current;
  Sent->send();
}

/// Without the fields that change with time.
hop_call mesh_plane::entry_call::hopCall() const {
  hop_call Hop;
  Hop.Upstream = LastTarget.Upstream;
  Hop.Route = Route->Name;
  Hop.CallerService = Plane.Options.Service;
  if (Workspace != nullptr)
    Hop.Workspace = Workspace->Name;
  Hop.Priority =
      (Workspace == nullptr ? 0 : Workspace->Priority * RoutePriorities) +
      std::min(Route->Priority, RoutePriorities - 1);
  Hop.MayMissSlo = MayMissSlo;
  Hop.IsRetry = Sends > 0;
  return Hop;
}

void mesh_plane::entry_call::considerHedge(state::time_point Now) {
  if (Done || !Idempotent || !Current || Hedge || Hedges > 0 || NewVersion ||
      MayHaveRun || Current->awaitsTransfer())
    return;
  const auto Delay = Plane.Hedging.delay(Route->Name);
  if (!Delay || Now - Current->Started < *Delay ||
      Sends + 2 > Route->MaxAttempts || Hops >= MaxHops)
    return;
  const auto ServiceEntry = Plane.Services.find(Service);
  if (ServiceEntry == Plane.Services.end())
    return;
  const auto Candidates =
      Plane.candidates(ServiceEntry->second, false, true, Now);
  const auto Choice = Plane.Placement.choose(
      Candidates,
      {Route->Name,
       std::max(toMilliseconds(SloDeadline - Now), milliseconds(1)),
       TriedUpstreams, Now},
      Plane.Random);
  if (Choice.Instance.empty() || Choice.ExpectedLatency > Deadline - Now ||
      !Plane.RetryBreaker.allowsRetry(Route->Name, Now) ||
      !Plane.Hedging.tryAcquire() ||
      !Plane.RetryBudget.tryAcquire(Service, Now) || Caller->detectDisconnect())
    return;
  const auto &Known = ServiceEntry->second.Targets;
  const auto Found =
      std::find_if(Known.begin(), Known.end(), [&](const target &T) {
        return T.Upstream == Choice.Instance;
      });
  ++Hedges;
  ++Hops;
  TriedUpstreams.push_back(Found->Upstream);
  hop_call Hop = hopCall();
  Hop.Upstream = Found->Upstream;
  // While the objective can be met, one that would miss it does not help.
  Hop.MayMissSlo = Choice.MissesSlo;
  Hop.IsRetry = true;
  Hedge = std::make_shared<attempt>(Plane, shared_from_this(), *Found,
                                    std::move(Hop));
  const auto Sent = Hedge;
  Sent->send();
}

void mesh_plane::entry_call::onPeerUnreachable(attempt &Lost) {
  const state::time_point Now = boot_clock::now();
  if (Hedge) {
    // The other attempt goes on alone.
    auto &LostSlot = Hedge.get() == &Lost ? Hedge : Current;
    dropAttempt(LostSlot);
    if (!Current)
      Current = std::exchange(Hedge, nullptr);
    ++Sends;
    MayHaveRun = true;
    return;
  }
  if (Sends + 1 >= Route->MaxAttempts || !tryAcquireRerun(Now))
    return;
  const auto Ended = std::exchange(Current, nullptr);
  Ended->cancel();
  Plane.Placement.onEnd(Ended->To.Upstream, Route->Name,
                        state::placement_outcome::Failed, milliseconds(0), Now);
  ++Sends;
  ++Reruns;
  MayHaveRun = true;
  LastReason = "peer-lost";
  ExcludedUpstreams.push_back(Ended->To.Upstream);
  tryNextTarget();
}

void mesh_plane::entry_call::onAttemptEnd(attempt &Ended, hop_answer Answer) {
  if (Done)
    return;
  const state::time_point Now = boot_clock::now();
  const milliseconds Latency = toMilliseconds(Now - Ended.Started);
  const unsigned Status =
      Answer.Outcome == hop_outcome::Ran ? Answer.Response.result_int() : 0;
  const bool Failed = Status >= 500 || Answer.Outcome == hop_outcome::Unknown;
  Plane.Placement.onEnd(Ended.To.Upstream, Route->Name,
                        placementOutcome(Answer, Status), Latency, Now);
  const bool FromUpstream = Status != 0 || Answer.RejectedByUpstream;
  if (FromUpstream && Answer.Response.result_int() != 421 &&
      Plane.Dialect.parseResponse(Answer.Response, Id).Leaving)
    Plane.onUpstreamLeaving(Ended.To);
  if (Answer.Load)
    Plane.Placement.onLoad(Ended.To.Upstream, *Answer.Load, Now);
  if (Answer.Outcome != hop_outcome::NotRun || Answer.RejectedByUpstream)
    ++Sends;
  MayHaveRun = MayHaveRun || Answer.Outcome != hop_outcome::NotRun;
  LastReason = Answer.Reason;
  // A target that can't meet the objective may still run the request late.
  if (Answer.Outcome == hop_outcome::NotRun && Answer.Reason != "late")
    ExcludedUpstreams.push_back(Ended.To.Upstream);
  const bool Succeeded = Answer.Outcome == hop_outcome::Ran && !Failed;
  if (Succeeded && Current)
    Plane.Hedging.onResponse(Route->Name,
                             toMilliseconds(Now - Current->Started));
  const bool WasHedge = Hedge.get() == &Ended;
  (WasHedge ? Hedge : Current) = nullptr;
  if (Succeeded && WasHedge)
    LastTarget = Ended.To;
  if (!Succeeded && (Current || Hedge)) {
    // The other attempt goes on alone.
    if (!Current)
      Current = std::exchange(Hedge, nullptr);
    return;
  }
  if (Answer.Outcome == hop_outcome::NotRun)
    return onNotRun(Answer, Now);
  if (Reruns > 0)
    Plane.RetryBreaker.record(Route->Name, Failed, Now);
  if (!Failed)
    return respondUpstream(std::move(Answer));
  if (Answer.Reason != "poison" && tryAcquireRerun(Now)) {
    ++Reruns;
    logRetry(Answer);
    return tryNextTarget();
  }
  if (Answer.Outcome == hop_outcome::Ran)
    return respondUpstream(std::move(Answer));
  const bool TimedOut = Answer.Reason == "timeout" ||
                        Answer.Reason == "peer-timeout" || Now >= Deadline;
  respondError(TimedOut ? 504 : 502, OutcomeUnknown, Answer.Reason.c_str());
}

void mesh_plane::entry_call::onNotRun(const hop_answer &Answer,
                                      state::time_point Now) {
  const bool MayTryNext = Hops < MaxHops && Now < Deadline &&
                          Answer.Reason != "poison" &&
                          Answer.Reason != "deadline";
  if (!MayTryNext)
    return end(Answer.Reason.c_str());
  // An upstream that rejects a request counts it as received, so that another
  // send costs retry budget.
  if (Answer.RejectedByUpstream &&
      (Sends >= Route->MaxAttempts ||
       !Plane.RetryBudget.tryAcquire(Service, Now)))
    return end(Answer.Reason.c_str());
  tryNextTarget();
}

/// Returns whether a retry after an attempt that may have run is allowed, and
/// charges it to the budgets.
bool mesh_plane::entry_call::tryAcquireRerun(state::time_point Now) {
  if (!Idempotent || Sends >= Route->MaxAttempts || Hops >= MaxHops)
    return false;
  if (Deadline - Now < std::max(MinTimeForRetry, ExpectedLatency / 2) ||
      !Plane.RetryBreaker.allowsRetry(Route->Name, Now))
    return false;
  return Plane.RerunBudget.tryAcquire(Service, Now) &&
         Plane.RetryBudget.tryAcquire(Service, Now);
}

/// Ends the call when no further attempt is possible.
void mesh_plane::entry_call::end(const char *Reason) {
  if (MayHaveRun)
    return respondError(boot_clock::now() >= Deadline ? 504 : 502,
                        OutcomeUnknown, Reason);
  const state::time_point Now = boot_clock::now();
  milliseconds Backlog = MinRetryAfter;
  const auto ServiceEntry = Plane.Services.find(Service);
  if (ServiceEntry != Plane.Services.end())
    Backlog = std::max(
        Backlog,
        Plane.Placement.shortestWait(
            Plane.candidates(ServiceEntry->second, false, true, Now), Now));
  refuse(Reason, Backlog);
}

/// Refuses the call as "not run". Retry-After is the expected duration of the
/// backlog plus a random part of the remaining time that callers honour, so
/// that their retries are spread.
void mesh_plane::entry_call::refuse(const char *Reason, milliseconds Backlog) {
  milliseconds MaxDelay =
      std::max(toMilliseconds(Deadline - boot_clock::now()) / RetryAfterDivisor,
               milliseconds(0));
  // Without a backlog a short spread is enough.
  if (!isLoadRefusal(Reason))
    MaxDelay = std::min(MaxDelay, Backlog + RetryAfterSpread);
  const milliseconds MinDelay = std::min(Backlog, MaxDelay);
  const auto Spread = static_cast<std::uint64_t>((MaxDelay - MinDelay).count());
  RetryAfter = MinDelay + milliseconds(static_cast<std::int64_t>(
                              state::uniformBelow(Plane.Random, Spread + 1)));
  if (!Table)
    RetryAfter = Backlog;
  respondError(503, OutcomeNotRun, Reason);
}

void mesh_plane::entry_call::respondError(unsigned Status, const char *Outcome,
                                          const char *Reason) {
  http_response Response =
      makeErrorResponse(Status, Outcome, Reason, "see the reason");
  if (Status == 503 || Status == 429)
    Plane.Dialect.setRefusalFields(Response, RetryAfter);
  finish(std::move(Response), Outcome, Reason);
}

void mesh_plane::entry_call::respondUpstream(hop_answer Answer) {
  finish(std::move(Answer.Response), outcomeText(Answer.Outcome), "");
}

void mesh_plane::entry_call::finish(http_response Response, const char *Outcome,
                                    const char *Reason) {
  Done = true;
  const std::shared_ptr<entry_call> Self = shared_from_this();
  Plane.Calls.erase(this);
  dropAttempt(Current);
  dropAttempt(Hedge);
  // Under overload the quota also bounds what a workspace offers; otherwise one
  // that repeats at once would push the others aside.
  if (HasQuota && std::string_view(Outcome) == OutcomeNotRun &&
      !isLoadRefusal(Reason) && Plane.Hooks.ReturnQuota)
    Plane.Hooks.ReturnQuota(*Workspace);
  Plane.Metrics.recordCall(call_side::Entry, Outcome, Reason,
                           boot_clock::now() - Started);
  const unsigned Status = Response.result_int();
  if (Status >= 500 || Status == 404 || Status == 401 || Hops > 1 || Hedges > 0)
    logEnd(Status, Outcome, Reason);
  Caller->respond(std::move(Response));
}

/// Ends an attempt whose result is no longer needed.
void mesh_plane::entry_call::dropAttempt(std::shared_ptr<attempt> &Dropped) {
  const auto Ended = std::exchange(Dropped, nullptr);
  if (!Ended)
    return;
  const state::time_point Now = boot_clock::now();
  Plane.Placement.onEnd(Ended->To.Upstream, Route->Name,
                        state::placement_outcome::Unfinished,
                        toMilliseconds(Now - Ended->Started), Now);
  Ended->cancel();
}

void mesh_plane::entry_call::onCallerDisconnect() {
  if (Done)
    return;
  Done = true;
  const std::shared_ptr<entry_call> Self = shared_from_this();
  dropAttempt(Current);
  dropAttempt(Hedge);
  Plane.Metrics.recordCall(call_side::Entry, "cancelled", "",
                           boot_clock::now() - Started);
  logEnd(0, "cancelled", "caller-gone");
  Plane.Calls.erase(this);
}

void mesh_plane::entry_call::logRetry(const hop_answer &Answer) const {
  logEvent(log_level::Info, "retry",
           {{"id", Id},
            {"service", Service},
            {"upstream", LastTarget.Upstream},
            {"reason", Answer.Reason.empty() ? "failed" : Answer.Reason},
            {"sends", Sends},
            {"left_ms", toMilliseconds(Deadline - boot_clock::now()).count()}});
}

void mesh_plane::entry_call::logEnd(unsigned Status, const char *Outcome,
                                    const char *Reason) const {
  if (!logEnabled(log_level::Info))
    return;
  logEvent(log_level::Info, "request_end",
           {{"id", Id},
            {"route", Route == nullptr ? "" : Route->Name},
            {"workspace", Workspace == nullptr ? "" : Workspace->Name},
            {"service", Service},
            {"version", Table ? Table->version() : 0},
            {"upstream", LastTarget.Upstream},
            {"peer", LastTarget.Instance},
            {"status", Status},
            {"outcome", Outcome},
            {"reason", Reason},
            {"hops", Hops},
            {"sends", Sends},
            {"hedges", Hedges},
            {"expected_ms", ExpectedLatency.count()},
            {"given_ms", Timeout.count()},
            {"took_ms", toMilliseconds(boot_clock::now() - Started).count()},
            {"retry_after_ms", RetryAfter.count()}});
}

} // namespace hyssopledge::transport
