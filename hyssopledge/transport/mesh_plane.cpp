#include "hyssopledge/transport/mesh_plane.h"

#include "hyssopledge/transport/logging.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace hyssopledge::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using state::boot_clock;
using state::milliseconds;

const char *const mesh_plane::DocumentPath = "/hyssop/document";

namespace {

//--- Peers --------------------------------------------------------------------
constexpr milliseconds PeerWatchInterval{150};
// A daemon that owes an answer and was silent for this long is asked.
constexpr milliseconds PingAfter{300};
// It counts as unreachable after this silence and this many unanswered pings.
constexpr milliseconds SilenceLimit{1000};
constexpr unsigned PingsBeforeLoss = 3;
// A longer gap between two looks means that this process was held up itself.
constexpr milliseconds OwnDelayLimit{500};

//--- Attempts -----------------------------------------------------------------
// Daemons that are asked for one request; each refusal costs a hop of about
// 2 ms.
constexpr unsigned MaxHops = 4;
// An answer of the other daemon at the deadline needs this long.
constexpr milliseconds HopSlack{80};
// Less time than this is not enough for another attempt.
constexpr milliseconds LeastTimeForRetry{10};
// Of the budget of repeats, for those after a run.
constexpr double RerunPart = 0.5;
// For a caller that sends no deadline.
constexpr milliseconds DefaultTime{10'000};

//--- Retry-After --------------------------------------------------------------
constexpr milliseconds LeastRetryAfter{50};
// Callers honour a time of up to a third of what they have left.
constexpr int RetryAfterPart = 3;
// Over which callers return that were not refused for load.
constexpr milliseconds ShortSpread{50};
// Before a document is in force: about what a start takes.
constexpr milliseconds NotReadyRetryAfter{250};

milliseconds inMilliseconds(boot_clock::duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time);
}

/// Whether a refusal with the reason comes from work that waits.
bool isAboutLoad(std::string_view Reason) {
  return Reason == "late" || Reason == "deadline" || Reason == "full";
}

const char *wordOf(hop_outcome Outcome) {
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
rerunSettings(const mesh_plane_options &From) {
  state::shared_retry_budget_settings Settings = From.RetryBudget;
  Settings.Part *= RerunPart;
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
    const call_metadata Facts = Plane.Dialect.parseCall(Request);
    Id = std::string(Facts.Id);
    const auto Path = Request.target();
    if (Path.empty() || Path.front() != '/')
      return answerOwn(400, OutcomeNotRun, "malformed-http");
    if (Plane.Refusing)
      return refuse("leaving", LeastRetryAfter);
    if (!Plane.Table)
      return refuse("no-document", NotReadyRetryAfter);
    Table = Plane.Table;
    const auto Host = Request[boost::beast::http::field::host];
    Route =
        Table->match({Host.data(), Host.size()}, {Path.data(), Path.size()});
    if (Route == nullptr)
      return answerOwn(404, OutcomeNotRun, "no-route");
    const milliseconds Given = Facts.TimeLeft.value_or(DefaultTime);
    TimeLeft = std::min(Given, Route->Timeout);
    Deadline = std::min(Started + TimeLeft, Plane.ShutdownDeadline);
    SloDeadline = Deadline;
    if (Route->SloLatency.count() > 0) {
      // The aim counts from the caller's first attempt.
      milliseconds &Longest = Plane.LongestTime[Route->Name];
      Longest = std::max(Longest, Given);
      SloDeadline = Started + Route->SloLatency - (Longest - Given);
    }
    Repeatable = Route->Idempotent;
    chooseService();
    Plane.RetryBudget.onRequest(Service, Started);
    Plane.Reruns.onRequest(Service, Started);
    // Part of what comes from this instance are calls of its upstream's runs.
    Plane.RetryBudget.onNestedCall(Service, Plane.UpstreamClient.repeatShare(),
                                   Started);
    Plane.Calls.emplace(this, shared_from_this());
    Caller->onDisconnect([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->callerGone();
    });
    if (Deadline <= Started)
      return refuse("deadline", LeastRetryAfter);
    attempt();
  }

  /// The daemon that has the request gives no sign of life. Silence ends no
  /// request: it is sent elsewhere, or its answer is awaited.
  void onPeerLost() {
    const state::time_point Now = boot_clock::now();
    if (!Sending || Sends + 1 >= Route->MaxAttempts || !mayRepeat(Now))
      return;
    Sending->cancel();
    Sending = nullptr;
    ++Epoch; // the cancelled exchange reports nothing more
    forgetPeer();
    Plane.Placement.onEnd(Target.Upstream, Route->Name,
                          state::placement_outcome::Failed, milliseconds(0),
                          Now);
    ++Sends;
    ++Repeats;
    MayHaveRun = true;
    LastReason = "peer-lost";
    Dead.push_back(Target.Upstream);
    attempt();
  }

  /// This daemon ends before the answer.
  void giveUp() {
    ++Epoch;
    forgetPeer();
    if (Sending)
      Sending->cancel();
    answerOwn(504, OutcomeUnknown, "leaving");
  }

private:
  void chooseService() {
    if (Route->Split.empty()) {
      Service = Route->Service;
      return;
    }
    std::vector<double> Weights;
    for (const state::traffic_share &Part : Route->Split)
      Weights.push_back(Part.Weight);
    Service = Route->Split[Plane.SplitTurns[Route->Name].next(Weights)].Service;
  }

  /// The first attempt chooses the version by the share; a repeat never moves
  /// to the new one.
  void chooseVersion(const coordination::version_rule &Rule) {
    if (Rule.ToVersion.empty() || VersionChosen)
      return;
    VersionChosen = true;
    constexpr double Whole = 10'000;
    NewVersion = Plane.VersionTurns[Service].next(
                     {Whole - Rule.ShareBp, double(Rule.ShareBp)}) == 1;
  }

  void attempt() {
    const state::time_point Now = boot_clock::now();
    const auto Known = Plane.Services.find(Service);
    if (Known == Plane.Services.end())
      return end("no-target");
    const service_targets &Targets = Known->second;
    chooseVersion(Targets.Rule);
    std::vector<state::placement_candidate> Candidates =
        Plane.candidates(Targets, NewVersion, !NewVersion);
    if (Candidates.empty() && NewVersion) {
      NewVersion = false;
      Candidates = Plane.candidates(Targets, false, true);
    }
    state::placement_query Query;
    Query.Route = Route->Name;
    Query.SloTimeLeft =
        std::max(inMilliseconds(SloDeadline - Now), milliseconds(1));
    Query.Tried = Tried;
    Query.Now = Now;
    state::placement_choice Choice =
        Plane.Placement.choose(Candidates, Query, Plane.Random);
    if (Choice.Instance.empty() && !TriedLate && Sends == 0 &&
        !Candidates.empty()) {
      // All refused to be on time: one is asked to answer late.
      TriedLate = true;
      Query.Tried = Dead;
      Choice = Plane.Placement.choose(Candidates, Query, Plane.Random);
    }
    if (Choice.Instance.empty())
      return end(LastReason.empty() ? "no-target" : LastReason.c_str());
    const auto Found = std::find_if(
        Targets.Targets.begin(), Targets.Targets.end(),
        [&](const target &T) { return T.Upstream == Choice.Instance; });
    if (Choice.MissesSlo || Candidates.size() == 1 || Hops + 1 >= MaxHops)
      TriedLate = true;
    Expected = Choice.ExpectedLatency;
    send(*Found, Now);
  }

  void send(const target &To, state::time_point Now) {
    ++Hops;
    Target = To;
    AttemptStarted = Now;
    Tried.push_back(To.Upstream);
    Plane.Placement.onSent(To.Upstream);
    hop_call Hop;
    Hop.Upstream = To.Upstream;
    Hop.Route = Route->Name;
    Hop.CallerService = Plane.Options.Service;
    Hop.TimeLeft = inMilliseconds(Deadline - Now);
    Hop.AimLeft = inMilliseconds(SloDeadline - Now);
    Hop.Priority = Route->Priority;
    Hop.MayMissSlo = TriedLate;
    Hop.Repeat = Sends > 0;
    const std::uint64_t Sent = ++Epoch;
    if (To.Instance == Plane.Options.Instance) {
      // The handler may be called before run() returns.
      auto Exchange = Plane.UpstreamClient.run(
          std::move(Hop), Caller->request(),
          [Self = shared_from_this(), Sent](hop_answer Answer) {
            if (Sent == Self->Epoch)
              Self->onEnd(std::move(Answer));
          });
      if (Sent == Epoch && !Done)
        Here = std::move(Exchange);
      return;
    }
    http_request Request = Caller->request();
    removeConnectionFields(Request);
    Request.version(11);
    Request.set(HopCallField, formatHopCall(Hop));
    Request.prepare_payload();
    peer &Peer = Plane.Peers[To.Instance];
    if (Peer.Calls.empty())
      Peer.HeardAt = std::max(Peer.HeardAt, Now);
    Peer.Calls.insert(this);
    Sending = Plane.Pool.send(
        To.CallAddress, std::move(Request), Deadline + HopSlack,
        [Self = shared_from_this(), Sent](exchange_result Result) {
          if (Sent == Self->Epoch)
            Self->onExchange(std::move(Result));
        });
  }

  void onExchange(exchange_result Result) {
    Sending = nullptr;
    hop_answer Answer;
    switch (Result.Outcome) {
    case exchange_outcome::Complete:
      Plane.onPeerAlive(Target.Instance);
      Answer = readHopAnswer(std::move(Result.Response));
      break;
    case exchange_outcome::NotSent:
      Answer.Outcome = hop_outcome::NotRun;
      Answer.Reason = Result.Cause == exchange_cause::Timeout
                          ? "deadline"
                          : "peer-unreachable";
      if (Result.Cause == exchange_cause::Connect)
        Plane.Peers[Target.Instance].Reachable = false;
      break;
    case exchange_outcome::Unknown:
      Answer.Outcome = hop_outcome::Unknown;
      Answer.Reason =
          Result.Cause == exchange_cause::Timeout ? "timeout" : "peer-cut";
      break;
    }
    onEnd(std::move(Answer));
  }

  void forgetPeer() {
    if (Target.Instance.empty())
      return;
    const auto Found = Plane.Peers.find(Target.Instance);
    if (Found != Plane.Peers.end())
      Found->second.Calls.erase(this);
  }

  void onEnd(hop_answer Answer) {
    if (Done)
      return;
    forgetPeer();
    Here = nullptr;
    const state::time_point Now = boot_clock::now();
    const milliseconds Latency = inMilliseconds(Now - AttemptStarted);
    const unsigned Status =
        Answer.Outcome == hop_outcome::Ran ? Answer.Response.result_int() : 0;
    const bool Failed = Status >= 500 || Answer.Outcome == hop_outcome::Unknown;
    Plane.Placement.onEnd(Target.Upstream, Route->Name,
                          placementOutcome(Answer, Status), Latency, Now);
    if (Answer.Load)
      Plane.Placement.onLoad(Target.Upstream, *Answer.Load, Now);
    if (Answer.Outcome != hop_outcome::NotRun || Answer.Arrived)
      ++Sends;
    MayHaveRun = MayHaveRun || Answer.Outcome != hop_outcome::NotRun;
    LastReason = Answer.Reason;
    if (Answer.Outcome == hop_outcome::NotRun) {
      // Being late is no reason against another attempt here later.
      if (Answer.Reason != "late")
        Dead.push_back(Target.Upstream);
      return onNotRun(Answer, Now);
    }
    if (Repeats > 0)
      Plane.RepeatGain.record(Route->Name, Failed, Now);
    if (!Failed)
      return deliver(std::move(Answer));
    if (Answer.Reason != "poison" && mayRepeat(Now)) {
      ++Repeats;
      logRetry(Answer);
      return attempt();
    }
    if (Answer.Outcome == hop_outcome::Ran)
      return deliver(std::move(Answer));
    answerOwn(Answer.Reason == "timeout" || Now >= Deadline ? 504 : 502,
              OutcomeUnknown, Answer.Reason.c_str());
  }

  static state::placement_outcome placementOutcome(const hop_answer &Answer,
                                                   unsigned Status) {
    if (Answer.Outcome == hop_outcome::NotRun)
      return state::placement_outcome::Refused;
    if (Status == 504 || Answer.Reason == "timeout")
      return state::placement_outcome::TimedOut;
    return Status >= 500 || Answer.Outcome == hop_outcome::Unknown
               ? state::placement_outcome::Failed
               : state::placement_outcome::Answered;
  }

  void onNotRun(const hop_answer &Answer, state::time_point Now) {
    const bool More = Hops < MaxHops && Now < Deadline &&
                      Answer.Reason != "poison" && Answer.Reason != "deadline";
    if (!More)
      return end(Answer.Reason.c_str());
    // An upstream that turned the request away counts it as an arrival.
    if (Answer.Arrived && (Sends >= Route->MaxAttempts ||
                           !Plane.RetryBudget.tryAcquire(Service, Now)))
      return end(Answer.Reason.c_str());
    attempt();
  }

  bool mayRepeat(state::time_point Now) {
    if (!Repeatable || Sends >= Route->MaxAttempts || Hops >= MaxHops)
      return false;
    if (Deadline - Now < std::max(LeastTimeForRetry, Expected / 2) ||
        !Plane.RepeatGain.allowsRetry(Route->Name, Now))
      return false;
    return Plane.Reruns.tryAcquire(Service, Now) &&
           Plane.RetryBudget.tryAcquire(Service, Now);
  }

  /// No attempt is left.
  void end(const char *Reason) {
    if (MayHaveRun)
      return answerOwn(boot_clock::now() >= Deadline ? 504 : 502,
                       OutcomeUnknown, Reason);
    const state::time_point Now = boot_clock::now();
    milliseconds Wait = LeastRetryAfter;
    const auto Known = Plane.Services.find(Service);
    if (Known != Plane.Services.end())
      Wait = std::max(Wait,
                      Plane.Placement.shortestWait(
                          Plane.candidates(Known->second, false, true), Now));
    refuse(Reason, Wait);
  }

  /// "Not run": the caller may come back when the backlog is expected to be
  /// gone, spread over the rest of the time that it honours.
  void refuse(const char *Reason, milliseconds Backlog) {
    milliseconds Most =
        std::max(inMilliseconds(Deadline - boot_clock::now()) / RetryAfterPart,
                 milliseconds(0));
    // Without a backlog there is nothing to wait for.
    if (!isAboutLoad(Reason))
      Most = std::min(Most, Backlog + ShortSpread);
    const milliseconds Least = std::min(Backlog, Most);
    const auto Spread = static_cast<std::uint64_t>((Most - Least).count());
    RetryAfter = Least + milliseconds(static_cast<std::int64_t>(
                             state::uniformBelow(Plane.Random, Spread + 1)));
    if (!Table)
      RetryAfter = Backlog;
    answerOwn(503, OutcomeNotRun, Reason);
  }

  void answerOwn(unsigned Status, const char *Outcome, const char *Reason) {
    http_response Response =
        makeErrorResponse(Status, Outcome, Reason, "see the reason");
    if (Status == 503)
      Plane.Dialect.setRefusalFields(Response, RetryAfter);
    finish(std::move(Response), Outcome, Reason);
  }

  void deliver(hop_answer Answer) {
    finish(std::move(Answer.Response), wordOf(Answer.Outcome), "");
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

  void callerGone() {
    if (Done)
      return;
    Done = true;
    ++Epoch;
    forgetPeer();
    if (!Target.Upstream.empty())
      Plane.Placement.onEnd(Target.Upstream, Route->Name,
                            state::placement_outcome::TimedOut,
                            inMilliseconds(boot_clock::now() - AttemptStarted),
                            boot_clock::now());
    if (Sending)
      Sending->cancel();
    if (Here)
      Here->cancel();
    Sending = nullptr;
    Here = nullptr;
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
         {"left_ms", inMilliseconds(Deadline - boot_clock::now()).count()}});
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
              {"expected_ms", Expected.count()},
              {"given_ms", TimeLeft.count()},
              {"took_ms", inMilliseconds(boot_clock::now() - Started).count()},
              {"retry_after_ms", RetryAfter.count()}});
  }

  mesh_plane &Plane;
  std::shared_ptr<server_exchange> Caller;
  const state::time_point Started;
  std::shared_ptr<const state::route_table> Table;
  const state::route_spec *Route = nullptr; // in Table
  std::string Id;
  std::string Service;
  milliseconds TimeLeft{0};
  state::time_point Deadline{};
  state::time_point SloDeadline{};
  bool Repeatable = false;
  bool VersionChosen = false;
  bool NewVersion = false;
  bool TriedLate = false; // an upstream was asked to answer late
  bool MayHaveRun = false;
  bool Done = false;
  unsigned Hops = 0;    // daemons that were asked
  unsigned Sends = 0;   // arrivals at upstreams, as far as known
  unsigned Repeats = 0; // sends after one that may have run
  std::vector<std::string> Tried;
  std::vector<std::string> Dead; // of Tried, those that can't run it at all
  std::string LastReason;
  milliseconds Expected{0};
  milliseconds RetryAfter{0};
  //--- Present attempt --------------------------------------------------------
  target Target;
  state::time_point AttemptStarted{};
  std::uint64_t Epoch = 0; // outdated handlers are told apart by it
  std::shared_ptr<client_exchange> Sending;
  std::shared_ptr<upstream_exchange> Here;
};

//-----------------------------------------------------------------------------
// Plane
//-----------------------------------------------------------------------------

mesh_plane::mesh_plane(asio::io_context &Context, mesh_plane_options Options,
                       mesh_plane_hooks Hooks, const call_dialect &Dialect,
                       upstream_client &UpstreamClient, metrics &Metrics)
    : Context(Context), Options(std::move(Options)), Hooks(std::move(Hooks)),
      Dialect(Dialect), UpstreamClient(UpstreamClient), Metrics(Metrics),
      Pool(Context, this->Options.PeerPool), Random(this->Options.Seed),
      RetryBudget(this->Options.RetryBudget),
      Reruns(rerunSettings(this->Options)), PeerTimer(Context) {}

mesh_plane::~mesh_plane() = default;

state::result<std::unique_ptr<mesh_plane>>
mesh_plane::open(asio::io_context &Context, mesh_plane_options Options,
                 mesh_plane_hooks Hooks, const call_dialect &Dialect,
                 upstream_client &UpstreamClient, metrics &Metrics) {
  std::unique_ptr<mesh_plane> Plane(new mesh_plane(Context, std::move(Options),
                                                   std::move(Hooks), Dialect,
                                                   UpstreamClient, Metrics));
  mesh_plane *const Raw = Plane.get();
  listener_options Callers;
  Callers.MaxPipelined = 16;
  auto Entry =
      http_listener::open({&Context}, Plane->Options.EntryAddress, Callers,
                          [Raw](std::shared_ptr<server_exchange> Caller) {
                            Raw->onCaller(std::move(Caller));
                          });
  if (Entry.has_error())
    return Entry.error();
  listener_options Daemons;
  auto Hop = http_listener::open(
      {&Context}, Plane->Options.HopAddress, Daemons,
      [Raw](const std::shared_ptr<server_exchange> &Caller) {
        Raw->onHop(Caller);
      });
  if (Hop.has_error())
    return Hop.error();
  Plane->Entry = std::move(Entry.value());
  Plane->Hop = std::move(Hop.value());
  Plane->LastWatch = boot_clock::now();
  Plane->watchPeers();
  return Plane;
}

void mesh_plane::setDocument(std::shared_ptr<const state::route_table> New) {
  Table = std::move(New);
  const state::client_limits &Limits = Table->source().Limits;
  listener_options Callers;
  Callers.MaxPipelined = 16;
  Callers.MaxHeaderBytes = static_cast<std::uint32_t>(Limits.HeaderBytes);
  Callers.MaxBodyBytes = Limits.BodyBytes;
  // Callers reuse connections within their limit; what crosses the close is
  // theirs to send again.
  Callers.IdleTimeout =
      std::chrono::ceil<std::chrono::seconds>(Limits.IdleTimeout);
  Callers.ReceiveTimeout =
      std::chrono::ceil<std::chrono::seconds>(Limits.HeaderTimeout);
  Entry->setOptions(Callers);
}

void mesh_plane::setDirectory(const coordination::fleet_directory &Directory) {
  Services.clear();
  std::vector<std::string> Known;
  for (const auto &[Name, Member] : Directory.members()) {
    const coordination::upstream_record &Upstream = Member.Upstream;
    if (Member.Left || Upstream.Name.empty() ||
        Upstream.State != coordination::upstream_state::Serving ||
        !Upstream.Answering)
      continue;
    Services[Upstream.Service].Targets.push_back(
        {Upstream.Name, Name, Member.CallAddress, Upstream.Version,
         Member.DataCentre, Upstream.Slots});
    Known.push_back(Upstream.Name);
  }
  for (auto &[Service, Targets] : Services)
    Targets.Rule = coordination::versionRule(Directory.rollout(Service));
  Placement.retain(Known);
  RetryBudget.setDaemonCount(Directory.size());
  Reruns.setDaemonCount(Directory.size());
  std::erase_if(Peers, [&](const auto &Entry) {
    const auto *Member = Directory.find(Entry.first);
    return Entry.second.Calls.empty() && (Member == nullptr || Member->Left);
  });
}

std::vector<state::placement_candidate>
mesh_plane::candidates(const service_targets &Service, bool NewVersion,
                       bool OldVersion) const {
  std::vector<state::placement_candidate> Out;
  for (const target &Target : Service.Targets) {
    const bool New = !Service.Rule.ToVersion.empty() &&
                     Target.Version == Service.Rule.ToVersion;
    if (!Service.Rule.ToVersion.empty() && !(New ? NewVersion : OldVersion))
      continue;
    state::placement_candidate Candidate;
    Candidate.Instance = Target.Upstream;
    Candidate.SameDataCentre = Target.DataCentre == Options.DataCentre;
    Candidate.Slots = Target.Slots;
    const auto Peer = Peers.find(Target.Instance);
    Candidate.Reachable = Peer == Peers.end() || Peer->second.Reachable;
    Out.push_back(std::move(Candidate));
  }
  return Out;
}

void mesh_plane::onCaller(std::shared_ptr<server_exchange> Caller) {
  std::make_shared<entry_call>(*this, std::move(Caller))->start();
}

/// A request of another daemon for the upstream here.
void mesh_plane::onHop(const std::shared_ptr<server_exchange> &Caller) {
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
        if (Answer.Outcome != hop_outcome::Ran && !Answer.Arrived)
          Answer.Response = makeErrorResponse(
              Answer.Outcome == hop_outcome::NotRun ? 503 : 502,
              wordOf(Answer.Outcome), Answer.Reason, "see the reason");
        writeHopAnswer(Answer);
        Metrics.recordCall(call_side::Target, wordOf(Answer.Outcome),
                           Answer.Reason, boot_clock::now() - Started);
        Caller->respond(std::move(Answer.Response));
      });
}

void mesh_plane::onPeerAlive(const std::string &Instance) {
  const auto Found = Peers.find(Instance);
  if (Found == Peers.end())
    return;
  peer &Peer = Found->second;
  Peer.HeardAt = boot_clock::now();
  Peer.Pings = 0;
  if (!Peer.Reachable) {
    Peer.Reachable = true;
    logEvent(log_level::Info, "peer_reached", {{"peer", Instance}});
  }
}

/// Finds daemons that went silent without a reset.
void mesh_plane::watchPeers() {
  const state::time_point Now = boot_clock::now();
  const bool Delayed = Now - LastWatch > OwnDelayLimit;
  LastWatch = Now;
  std::vector<std::shared_ptr<entry_call>> Lost;
  for (auto &[Instance, Peer] : Peers) {
    if (Peer.Reachable && Peer.Calls.empty())
      continue;
    if (Delayed) {
      Peer.HeardAt = Now;
      Peer.Pings = 0;
    }
    if (Now - Peer.HeardAt >= PingAfter && Now - Peer.PingedAt >= PingAfter) {
      Peer.PingedAt = Now;
      ++Peer.Pings;
      Hooks.Ping(Instance);
    }
    if (!Peer.Reachable || Now - Peer.HeardAt < SilenceLimit ||
        Peer.Pings < PingsBeforeLoss)
      continue;
    Peer.Reachable = false;
    logEvent(log_level::Warn, "peer_lost",
             {{"peer", Instance},
              {"silent_ms", inMilliseconds(Now - Peer.HeardAt).count()},
              {"calls", Peer.Calls.size()}});
    for (entry_call *Call : Peer.Calls)
      Lost.push_back(Calls.at(Call));
  }
  for (const auto &Call : Lost)
    Call->onPeerLost();
  PeerTimer.expires_after(PeerWatchInterval);
  PeerTimer.async_wait([this](const error_code &Error) {
    if (!Error)
      watchPeers();
  });
}

void mesh_plane::closeAfterResponses() { Entry->closeAfterResponses(); }

void mesh_plane::refuseNewCalls() { Refusing = true; }

void mesh_plane::setShutdownDeadline(state::time_point Time) {
  ShutdownDeadline = Time;
}

void mesh_plane::answerPendingCalls() {
  std::vector<std::shared_ptr<entry_call>> Rest;
  for (const auto &[Key, Call] : Calls)
    Rest.push_back(Call);
  for (const auto &Call : Rest)
    Call->giveUp();
}

std::size_t mesh_plane::active() const {
  return Entry->active() + Hop->active();
}

} // namespace hyssopledge::transport
