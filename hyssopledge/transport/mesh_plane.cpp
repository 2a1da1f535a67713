#include "hyssopledge/transport/mesh_plane.h"

#include "hyssopledge/transport/logging.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
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

//--- Attempts -----------------------------------------------------------------
// Maximum number of daemons tried for one call; each refusal costs a hop of
// about 2 ms.
constexpr unsigned MaxHops = 4;
// Time after the deadline for the other daemon's response to arrive.
constexpr milliseconds HopResponseGracePeriod{80};
// With less time left than this a call is not retried.
constexpr milliseconds MinTimeForRetry{10};
// Share of the retry budget for retries after an attempt that may have run.
constexpr double RerunBudgetShare = 0.5;
// Timeout of a caller that sends no deadline.
constexpr milliseconds DefaultTimeout{10'000};

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

const char *outcomeText(hop_outcome Outcome) {
  switch (Outcome) {
  case hop_outcome::Ran:
    return OutcomeRan;
  case hop_outcome::NotRun:
    return OutcomeNotRun;
  case hop_outcome::Unknown:
    break;
  }
  return OutcomeUnknown;
}

state::shared_retry_budget_settings
rerunBudgetSettings(const mesh_plane_options &From) {
  state::shared_retry_budget_settings Settings = From.RetryBudget;
  Settings.SafetyFactor *= RerunBudgetShare;
  return Settings;
}

} // namespace

//-----------------------------------------------------------------------------
// Entry
//-----------------------------------------------------------------------------

class mesh_plane::entry_call : public std::enable_shared_from_this<entry_call> {
public:
  entry_call(mesh_plane &Plane, std::shared_ptr<server_exchange> Caller)
      : Plane(Plane), Caller(std::move(Caller)), Started(boot_clock::now()) {}

  void start() {
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
    Route = Table->matchRoute({Host.data(), Host.size()},
                              {Path.data(), Path.size()});
    if (Route == nullptr)
      return respondError(404, OutcomeNotRun, "no-route");
    const milliseconds CallerTimeout =
        Metadata.TimeLeft.value_or(DefaultTimeout);
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
    // Some calls from this instance are made by retried runs of its upstream;
    // they are charged to the budget as well.
    Plane.RetryBudget.onNestedCall(Service, Plane.UpstreamClient.retryShare(),
                                   Started);
    Plane.Calls.emplace(this, shared_from_this());
    Caller->onDisconnect([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->onCallerDisconnect();
    });
    if (Deadline <= Started)
      return refuse("deadline", MinRetryAfter);
    attempt();
  }

  /// Called when the daemon that has the request is unreachable. Sends the
  /// request to another target if it may be retried; otherwise keeps waiting
  /// for the response.
  void onPeerUnreachable() {
    const state::time_point Now = boot_clock::now();
    if (PeerExchange && AwaitsTransfer) {
      PeerExchange->cancel();
      ++Epoch; // ignores the cancelled exchange's result
      exchange_result Lost;
      Lost.Error = exchange_error::ConnectionClosed;
      return onTransferAnswer(std::move(Lost));
    }
    if (!PeerExchange || Sends + 1 >= Route->MaxAttempts ||
        !tryAcquireRerun(Now))
      return;
    PeerExchange->cancel();
    PeerExchange = nullptr;
    InAttempt = false;
    ++Epoch; // ignores the cancelled exchange's result
    removeFromPeer();
    Plane.Placement.onEnd(Target.Upstream, Route->Name,
                          state::placement_outcome::Failed, milliseconds(0),
                          Now);
    ++Sends;
    ++Reruns;
    MayHaveRun = true;
    LastReason = "peer-lost";
    ExcludedUpstreams.push_back(Target.Upstream);
    attempt();
  }

  /// Responds with an unknown outcome because this daemon shuts down.
  void abort() {
    ++Epoch;
    removeFromPeer();
    if (PeerExchange)
      PeerExchange->cancel();
    respondError(504, OutcomeUnknown, "leaving");
  }

private:
  /// Selects the service by the traffic split of the route, if it has one.
  void chooseService() {
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
  void chooseVersion(const coordination::traffic_split &VersionSplit) {
    if (VersionSplit.ToVersion.empty() || VersionChosen)
      return;
    VersionChosen = true;
    constexpr double AllBasisPoints = 10'000;
    NewVersion = Plane.VersionRoundRobin[Service].next(
                     {AllBasisPoints - VersionSplit.ShareBp,
                      double(VersionSplit.ShareBp)}) == 1;
  }

  void attempt() {
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
    send(*Found, Now);
  }

  void send(const target &To, state::time_point Now) {
    const bool IsLocal = To.Instance == Plane.Options.Instance;
    // The upstream client checks this before it sends to the local upstream.
    if (!IsLocal && Caller->detectDisconnect())
      return;
    ++Hops;
    Target = To;
    AttemptStarted = Now;
    InAttempt = true;
    TriedUpstreams.push_back(To.Upstream);
    Plane.Placement.onSent(To.Upstream);
    hop_call Hop = hopCall(Now);
    const std::uint64_t AttemptEpoch = ++Epoch;
    if (IsLocal) {
      // run() may call the handler before it returns.
      auto Exchange = Plane.UpstreamClient.run(
          std::move(Hop), Caller->request(),
          [Self = shared_from_this(), AttemptEpoch](hop_answer Answer) {
            if (AttemptEpoch == Self->Epoch)
              Self->onEnd(std::move(Answer));
          },
          [Caller = Caller] { return Caller->detectDisconnect(); });
      if (AttemptEpoch == Epoch && !Done)
        LocalExchange = std::move(Exchange);
      return;
    }
    peer &Peer = Plane.Peers[To.Instance];
    if (Peer.Calls.empty())
      Peer.LastAliveAt = std::max(Peer.LastAliveAt, Now);
    Peer.Calls.insert(this);
    Hop.BodyBytes = Caller->request().body().size();
    if (transfer_gate::needsTransfer(Hop.BodyBytes, To.LinkMbps))
      requestTransfer(Hop);
    else
      sendToPeer(0);
  }

  hop_call hopCall(state::time_point Now) const {
    hop_call Hop;
    Hop.Upstream = Target.Upstream;
    Hop.Route = Route->Name;
    Hop.CallerService = Plane.Options.Service;
    Hop.TimeLeft = toMilliseconds(Deadline - Now);
    Hop.SloTimeLeft = toMilliseconds(SloDeadline - Now);
    Hop.Priority = Route->Priority;
    Hop.MayMissSlo = MayMissSlo;
    Hop.IsRetry = Sends > 0;
    return Hop;
  }

  /// Sends the request to the target's daemon. Ticket is that of the admitted
  /// transfer of its body; 0: none was needed.
  void sendToPeer(std::uint64_t Ticket) {
    hop_call Hop = hopCall(boot_clock::now());
    Hop.TransferTicket = Ticket;
    http_request Request = Caller->request();
    removeConnectionFields(Request);
    Request.version(11);
    Request.set(HopCallField, formatHopCall(Hop));
    Request.prepare_payload();
    exchangeWithPeer(std::move(Request), &entry_call::onExchange);
  }

  /// Asks the target's daemon when the body may be sent.
  void requestTransfer(const hop_call &Hop) {
    AwaitsTransfer = true;
    http_request Request(boost::beast::http::verb::get, transfer_gate::Path,
                         11);
    Request.set(HopCallField, formatHopCall(Hop));
    exchangeWithPeer(std::move(Request), &entry_call::onTransferAnswer);
  }

  void exchangeWithPeer(http_request Request,
                        void (entry_call::*OnResult)(exchange_result)) {
    PeerExchange =
        Plane.Pool.send(Target.HopAddress, std::move(Request),
                        Deadline + HopResponseGracePeriod,
                        [Self = shared_from_this(), AttemptEpoch = Epoch,
                         OnResult](exchange_result Result) {
                          if (AttemptEpoch == Self->Epoch)
                            (*Self.*OnResult)(std::move(Result));
                        });
  }

  void onTransferAnswer(exchange_result Result) {
    AwaitsTransfer = false;
    if (Result.Outcome == exchange_outcome::Complete) {
      const std::string_view Field = fieldValue(Result.Response, TransferField);
      std::uint64_t Ticket = 0;
      std::from_chars(Field.data(), Field.data() + Field.size(), Ticket);
      if (Ticket > 0) {
        Plane.onPeerAlive(Target.Instance);
        PeerExchange = nullptr;
        if (!Caller->detectDisconnect())
          sendToPeer(Ticket);
        return;
      }
    }
    // The request itself has not left this daemon.
    if (Result.Outcome == exchange_outcome::Unknown)
      Result.Outcome = exchange_outcome::NotSent;
    onExchange(std::move(Result));
  }

  void onExchange(exchange_result Result) {
    PeerExchange = nullptr;
    hop_answer Answer;
    switch (Result.Outcome) {
    case exchange_outcome::Complete:
      Plane.onPeerAlive(Target.Instance);
      Answer = parseHopAnswer(std::move(Result.Response));
      break;
    case exchange_outcome::NotSent:
      Answer.Outcome = hop_outcome::NotRun;
      Answer.Reason = Result.Error == exchange_error::Timeout
                          ? "deadline"
                          : "peer-unreachable";
      if (Result.Error == exchange_error::ConnectFailed)
        Plane.Peers[Target.Instance].Reachable = false;
      break;
    case exchange_outcome::Unknown:
      Answer.Outcome = hop_outcome::Unknown;
      // The target's daemon answers at the deadline even if its upstream does
      // not, so without an answer the daemon itself or its link is slow.
      Answer.Reason = Result.Error == exchange_error::Timeout ? "peer-timeout"
                      : Result.Error == exchange_error::OverBudget ? "memory"
                                                                   : "peer-cut";
      break;
    }
    onEnd(std::move(Answer));
  }

  void removeFromPeer() {
    if (Target.Instance.empty())
      return;
    const auto Found = Plane.Peers.find(Target.Instance);
    if (Found != Plane.Peers.end())
      Found->second.Calls.erase(this);
  }

  void onEnd(hop_answer Answer) {
    if (Done)
      return;
    InAttempt = false;
    removeFromPeer();
    LocalExchange = nullptr;
    const state::time_point Now = boot_clock::now();
    const milliseconds Latency = toMilliseconds(Now - AttemptStarted);
    const unsigned Status =
        Answer.Outcome == hop_outcome::Ran ? Answer.Response.result_int() : 0;
    const bool Failed = Status >= 500 || Answer.Outcome == hop_outcome::Unknown;
    Plane.Placement.onEnd(Target.Upstream, Route->Name,
                          placementOutcome(Answer, Status), Latency, Now);
    const bool FromUpstream = Status != 0 || Answer.RejectedByUpstream;
    if (FromUpstream && Answer.Response.result_int() != 421 &&
        Plane.Dialect.parseResponse(Answer.Response, Id).Leaving)
      Plane.onUpstreamLeaving(Target);
    if (Answer.Load)
      Plane.Placement.onLoad(Target.Upstream, *Answer.Load, Now);
    if (Answer.Outcome != hop_outcome::NotRun || Answer.RejectedByUpstream)
      ++Sends;
    MayHaveRun = MayHaveRun || Answer.Outcome != hop_outcome::NotRun;
    LastReason = Answer.Reason;
    if (Answer.Outcome == hop_outcome::NotRun) {
      // A target that can't meet the objective may still run the request late.
      if (Answer.Reason != "late")
        ExcludedUpstreams.push_back(Target.Upstream);
      return onNotRun(Answer, Now);
    }
    if (Reruns > 0)
      Plane.RetryBreaker.record(Route->Name, Failed, Now);
    if (!Failed)
      return respondUpstream(std::move(Answer));
    if (Answer.Reason != "poison" && tryAcquireRerun(Now)) {
      ++Reruns;
      logRetry(Answer);
      return attempt();
    }
    if (Answer.Outcome == hop_outcome::Ran)
      return respondUpstream(std::move(Answer));
    const bool TimedOut = Answer.Reason == "timeout" ||
                          Answer.Reason == "peer-timeout" || Now >= Deadline;
    respondError(TimedOut ? 504 : 502, OutcomeUnknown, Answer.Reason.c_str());
  }

  static state::placement_outcome placementOutcome(const hop_answer &Answer,
                                                   unsigned Status) {
    if (Answer.Outcome == hop_outcome::NotRun)
      return state::placement_outcome::Refused;
    if (Status == 504 || Answer.Reason == "timeout")
      return state::placement_outcome::Unfinished;
    return Status >= 500 || Answer.Outcome == hop_outcome::Unknown
               ? state::placement_outcome::Failed
               : state::placement_outcome::Success;
  }

  void onNotRun(const hop_answer &Answer, state::time_point Now) {
    const bool MayTryNext = Hops < MaxHops && Now < Deadline &&
                            Answer.Reason != "poison" &&
                            Answer.Reason != "deadline";
    if (!MayTryNext)
      return end(Answer.Reason.c_str());
    // An upstream that rejects a request counts it as received, so that
    // another send costs retry budget.
    if (Answer.RejectedByUpstream &&
        (Sends >= Route->MaxAttempts ||
         !Plane.RetryBudget.tryAcquire(Service, Now)))
      return end(Answer.Reason.c_str());
    attempt();
  }

  /// Returns whether a retry after an attempt that may have run is allowed, and
  /// charges it to the budgets.
  bool tryAcquireRerun(state::time_point Now) {
    if (!Idempotent || Sends >= Route->MaxAttempts || Hops >= MaxHops)
      return false;
    if (Deadline - Now < std::max(MinTimeForRetry, ExpectedLatency / 2) ||
        !Plane.RetryBreaker.allowsRetry(Route->Name, Now))
      return false;
    return Plane.RerunBudget.tryAcquire(Service, Now) &&
           Plane.RetryBudget.tryAcquire(Service, Now);
  }

  /// Ends the call when no further attempt is possible.
  void end(const char *Reason) {
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
  void refuse(const char *Reason, milliseconds Backlog) {
    milliseconds MaxDelay = std::max(
        toMilliseconds(Deadline - boot_clock::now()) / RetryAfterDivisor,
        milliseconds(0));
    // Without a backlog a short spread is enough.
    if (!isLoadRefusal(Reason))
      MaxDelay = std::min(MaxDelay, Backlog + RetryAfterSpread);
    const milliseconds MinDelay = std::min(Backlog, MaxDelay);
    const auto Spread =
        static_cast<std::uint64_t>((MaxDelay - MinDelay).count());
    RetryAfter = MinDelay + milliseconds(static_cast<std::int64_t>(
                                state::uniformBelow(Plane.Random, Spread + 1)));
    if (!Table)
      RetryAfter = Backlog;
    respondError(503, OutcomeNotRun, Reason);
  }

  void respondError(unsigned Status, const char *Outcome, const char *Reason) {
    http_response Response =
        makeErrorResponse(Status, Outcome, Reason, "see the reason");
    if (Status == 503)
      Plane.Dialect.setRefusalFields(Response, RetryAfter);
    finish(std::move(Response), Outcome, Reason);
  }

  void respondUpstream(hop_answer Answer) {
    finish(std::move(Answer.Response), outcomeText(Answer.Outcome), "");
  }

  void finish(http_response Response, const char *Outcome, const char *Reason) {
    Done = true;
    const std::shared_ptr<entry_call> Self = shared_from_this();
    Plane.Calls.erase(this);
    Plane.Metrics.recordCall(call_side::Entry, Outcome, Reason,
                             boot_clock::now() - Started);
    const unsigned Status = Response.result_int();
    if (Status >= 500 || Status == 404 || Hops > 1)
      logEnd(Status, Outcome, Reason);
    Caller->respond(std::move(Response));
  }

  void onCallerDisconnect() {
    if (Done)
      return;
    Done = true;
    ++Epoch;
    removeFromPeer();
    if (InAttempt)
      Plane.Placement.onEnd(Target.Upstream, Route->Name,
                            state::placement_outcome::Unfinished,
                            toMilliseconds(boot_clock::now() - AttemptStarted),
                            boot_clock::now());
    if (PeerExchange)
      PeerExchange->cancel();
    if (LocalExchange)
      LocalExchange->cancel();
    PeerExchange = nullptr;
    LocalExchange = nullptr;
    Plane.Metrics.recordCall(call_side::Entry, "cancelled", "",
                             boot_clock::now() - Started);
    logEnd(0, "cancelled", "caller-gone");
    Plane.Calls.erase(this);
  }

  void logRetry(const hop_answer &Answer) const {
    logEvent(
        log_level::Info, "retry",
        {{"id", Id},
         {"service", Service},
         {"upstream", Target.Upstream},
         {"reason", Answer.Reason.empty() ? "failed" : Answer.Reason},
         {"sends", Sends},
         {"left_ms", toMilliseconds(Deadline - boot_clock::now()).count()}});
  }

  void logEnd(unsigned Status, const char *Outcome, const char *Reason) const {
    if (!logEnabled(log_level::Info))
      return;
    logEvent(log_level::Info, "request_end",
             {{"id", Id},
              {"route", Route == nullptr ? "" : Route->Name},
              {"service", Service},
              {"version", Table ? Table->version() : 0},
              {"upstream", Target.Upstream},
              {"peer", Target.Instance},
              {"status", Status},
              {"outcome", Outcome},
              {"reason", Reason},
              {"hops", Hops},
              {"sends", Sends},
              {"expected_ms", ExpectedLatency.count()},
              {"given_ms", Timeout.count()},
              {"took_ms", toMilliseconds(boot_clock::now() - Started).count()},
              {"retry_after_ms", RetryAfter.count()}});
  }

  mesh_plane &Plane;
  std::shared_ptr<server_exchange> Caller;
  const state::time_point Started;
  std::shared_ptr<const state::route_table> Table;
  const state::route_spec *Route = nullptr; // points into Table
  std::string Id;
  std::string Service;
  milliseconds Timeout{0}; // of the caller or the route, the shorter one
  state::time_point Deadline{};
  state::time_point SloDeadline{};
  bool Idempotent = false;
  bool VersionChosen = false;
  bool NewVersion = false;
  bool MayMissSlo = false; // the latency objective may be missed
  bool MayHaveRun = false; // some attempt may have run
  bool Done = false;
  unsigned Hops = 0;   // daemons tried
  unsigned Sends = 0;  // requests that reached an upstream
  unsigned Reruns = 0; // retries after an attempt that may have run
  std::vector<std::string> TriedUpstreams;
  std::vector<std::string> ExcludedUpstreams; // can't run it, even late
  std::string LastReason;
  milliseconds ExpectedLatency{0};
  milliseconds RetryAfter{0};
  //--- Current attempt --------------------------------------------------------
  target Target;
  bool InAttempt = false;      // sent to Target, which has not answered
  bool AwaitsTransfer = false; // the body is not sent yet
  state::time_point AttemptStarted{};
  std::uint64_t Epoch = 0; // of the current attempt; older handlers do nothing
  std::shared_ptr<client_exchange> PeerExchange;
  std::shared_ptr<upstream_exchange> LocalExchange;
};

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
      RerunBudget(rerunBudgetSettings(this->Options)), PeerTimer(Context) {}

mesh_plane::~mesh_plane() = default;

state::result<std::unique_ptr<mesh_plane>>
mesh_plane::open(asio::io_context &Context, mesh_plane_options Options,
                 mesh_plane_hooks Hooks, const call_dialect &Dialect,
                 upstream_client &UpstreamClient, metrics &Metrics) {
  std::unique_ptr<mesh_plane> Plane(new mesh_plane(Context, std::move(Options),
                                                   std::move(Hooks), Dialect,
                                                   UpstreamClient, Metrics));
  mesh_plane *const Raw = Plane.get();
  listener_options EntryOptions;
  EntryOptions.MaxPipelinedRequests = 16;
  EntryOptions.BodyBudget = Plane->Options.PeerPool.BodyBudget;
  auto Entry =
      http_listener::open({&Context}, Plane->Options.EntryAddress, EntryOptions,
                          [Raw](std::shared_ptr<server_exchange> Caller) {
                            Raw->onCallerRequest(std::move(Caller));
                          });
  if (Entry.has_error())
    return Entry.error();
  listener_options HopOptions;
  HopOptions.BodyBudget = Plane->Options.PeerPool.BodyBudget;
  auto Hop = http_listener::open(
      {&Context}, Plane->Options.HopAddress, HopOptions,
      [Raw](const std::shared_ptr<server_exchange> &Caller) {
        Raw->onHopRequest(Caller);
      });
  if (Hop.has_error())
    return Hop.error();
  Plane->EntryListener = std::move(Entry.value());
  Plane->HopListener = std::move(Hop.value());
  Plane->LastPeerCheck = boot_clock::now();
  Plane->checkPeers();
  return Plane;
}

void mesh_plane::setDocument(
    std::shared_ptr<const state::route_table> NewTable) {
  Table = std::move(NewTable);
  const state::caller_limits &Limits = Table->source().Limits;
  listener_options EntryOptions;
  EntryOptions.MaxPipelinedRequests = 16;
  EntryOptions.BodyBudget = Options.PeerPool.BodyBudget;
  EntryOptions.MaxHeaderBytes = static_cast<std::uint32_t>(Limits.HeaderBytes);
  EntryOptions.MaxBodyBytes = Limits.BodyBytes;
  // Callers reuse connections within this limit and resend requests that
  // cross the close.
  EntryOptions.IdleTimeout =
      std::chrono::ceil<std::chrono::seconds>(Limits.IdleTimeout);
  EntryOptions.ReceiveTimeout =
      std::chrono::ceil<std::chrono::seconds>(Limits.HeaderTimeout);
  EntryListener->setOptions(EntryOptions);
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
        !Upstream.AcceptsConnections)
      continue;
    Services[Upstream.Service].Targets.push_back(
        {Upstream.Name, Name, Member.HopAddress, Upstream.Version,
         Member.DataCentre, Upstream.Slots, Upstream.StartUnixMs,
         Member.LinkMbps,
         VersionHold.heldUntil(Upstream.Service, Upstream.Version)});
    KnownUpstreams.push_back(Upstream.Name);
  }
  LeavingUpstreams = std::move(StillLeaving);
  for (auto &[Service, Targets] : Services)
    Targets.VersionSplit =
        coordination::trafficSplit(Directory.rollout(Service));
  Placement.retain(KnownUpstreams);
  RetryBudget.setDaemonCount(Directory.size());
  RerunBudget.setDaemonCount(Directory.size());
  std::erase_if(Peers, [&](const auto &Entry) {
    const auto *Member = Directory.find(Entry.first);
    return Entry.second.Calls.empty() && (Member == nullptr || Member->Left);
  });
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
  http_request Request = Caller->request();
  Request.erase(HopCallField);
  auto Exchange = std::make_shared<std::shared_ptr<upstream_exchange>>();
  Caller->onDisconnect([Exchange] {
    if (*Exchange)
      (*Exchange)->cancel();
  });
  *Exchange = UpstreamClient.run(
      std::move(Call.value()), std::move(Request),
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
  std::vector<std::shared_ptr<entry_call>> AffectedCalls;
  for (auto &[Instance, Peer] : Peers) {
    if (Peer.Reachable && Peer.Calls.empty())
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
              {"calls", Peer.Calls.size()}});
    for (entry_call *Call : Peer.Calls)
      AffectedCalls.push_back(Calls.at(Call));
  }
  for (const auto &Call : AffectedCalls)
    Call->onPeerUnreachable();
  PeerTimer.expires_after(PeerCheckInterval);
  PeerTimer.async_wait([this](const error_code &Error) {
    if (!Error)
      checkPeers();
  });
}

void mesh_plane::closeAfterResponses() { EntryListener->closeAfterResponses(); }

void mesh_plane::refuseNewCalls() { RefusesNewCalls = true; }

void mesh_plane::setShutdownDeadline(state::time_point NewDeadline) {
  ShutdownDeadline = NewDeadline;
}

void mesh_plane::abortPendingCalls() {
  std::vector<std::shared_ptr<entry_call>> PendingCalls;
  for (const auto &[Key, Call] : Calls)
    PendingCalls.push_back(Call);
  for (const auto &Call : PendingCalls)
    Call->abort();
}

std::size_t mesh_plane::active() const {
  return EntryListener->active() + HopListener->active();
}

} // namespace hyssopledge::transport
