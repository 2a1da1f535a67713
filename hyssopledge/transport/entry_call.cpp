/// \file
/// Call received from a caller: matches a route, picks a target, forwards the
/// request, retries and responds.
#include "hyssopledge/protocol/call_headers.h"
#include "hyssopledge/transport/data_plane_core.h"
#include "hyssopledge/transport/tracing.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hyssopledge::transport {

namespace headers = protocol::call_headers;
using state::attempt_outcome;
using state::boot_clock;

namespace {

/// Parses "used/slots/queued"; none when the text is malformed.
std::optional<state::load_hint> parseLoad(std::string_view Text) {
  state::load_hint Hint;
  const char *Position = Text.data();
  const char *End = Text.data() + Text.size();
  for (std::uint32_t *Part : {&Hint.SlotsUsed, &Hint.Slots, &Hint.Queued}) {
    const auto [Next, Error] = std::from_chars(Position, End, *Part);
    if (Error != std::errc())
      return std::nullopt;
    Position = Next != End && *Next == '/' ? Next + 1 : Next;
  }
  return Position == End ? std::optional(Hint) : std::nullopt;
}

/// Uses the same reasons as the target daemon's upstream gate.
http_response keyRefusal(const state::result<state::key_state> &Found) {
  if (Found.has_value())
    return makeErrorResponse(
        409, OutcomeUnknown, "in-progress",
        "a request with this idempotency key is in progress");
  if (Found.error().is(state::errc::Conflict))
    return makeErrorResponse(422, OutcomeNotRun, "key-reused",
                             Found.error().text());
  return makeErrorResponse(503, OutcomeNotRun, "key-table-full",
                           Found.error().text());
}

class entry_call : public std::enable_shared_from_this<entry_call> {
public:
  entry_call(data_plane_core &Core, std::shared_ptr<server_exchange> Caller)
      : Core(Core), Loop(*Core.Loops[Caller->loopIndex()]),
        Caller(std::move(Caller)), Started(boot_clock::now()) {}

  void start() {
    Span = startServerSpan(Core, "entry", request());
    if (auto Refusal = prepareCall())
      return respond(std::move(*Refusal));
    if (auto Refusal = beginKey())
      return respond(std::move(*Refusal));
    if (Span)
      Span->SetTag("hyssop.route", Route->Name);
    Core.Dependencies.RetryBudget.recordCall();
    Caller->onDisconnect(
        [Self = shared_from_this()] { Self->onCallerDisconnect(); });
    attempt();
  }

private:
  const http_request &request() const { return Caller->request(); }

  /// Validates the request and fills Call and Route. Returns the refusal if the
  /// request can't be forwarded.
  std::optional<http_response> prepareCall() {
    const http_request &Request = request();
    Call.Method = std::string(Request.method_string());
    Call.Path = std::string(Request.target());
    Call.IdempotencyKey = fieldValue(Request, headers::IdempotencyKey);
    Call.Depth = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        fieldNumber(Request, headers::Depth).value_or(0),
        headers::MaxDepth + 1));
    if (Call.Path.empty() || Call.Path.front() != '/')
      return makeErrorResponse(400, OutcomeNotRun, "malformed-http",
                               "the request target must start with /");
    if (Core.Draining && Call.Depth == 0)
      return makeErrorResponse(503, OutcomeNotRun, "draining",
                               "this daemon is leaving");
    View = Core.Dependencies.View.read();
    if (!View || !View->Snapshot)
      return makeErrorResponse(503, OutcomeNotRun, "not-ready",
                               "no configuration is in force yet");
    if (Core.Hooks.LeaseValid && !Core.Hooks.LeaseValid(Started))
      return makeErrorResponse(503, OutcomeNotRun, "lease-expired",
                               "the lease on the configuration has expired");
    if (Call.Depth > headers::MaxDepth)
      return makeErrorResponse(508, OutcomeNotRun, "depth",
                               "the call is over " +
                                   std::to_string(headers::MaxDepth) +
                                   " hops deep");
    Route = View->Snapshot->matchRoute(Call.Method, Call.Path);
    if (Route == nullptr)
      return makeErrorResponse(404, OutcomeNotRun, "no-route",
                               "no route for " + Call.Method + " " + Call.Path);
    Call.AttemptsLeft = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        Route->MaxAttempts,
        fieldNumber(Request, headers::AttemptsLeft).value_or(UINT32_MAX)));
    const auto CallerTimeoutMs = fieldNumber(Request, headers::DeadlineMs);
    Call.Deadline =
        Started +
        std::min<boot_clock::duration>(
            Route->Timeout, CallerTimeoutMs
                                ? state::milliseconds(std::min<std::uint64_t>(
                                      *CallerTimeoutMs, 24ULL * 3600 * 1000))
                                : Route->Timeout);
    if (Call.Deadline <= Started)
      return makeErrorResponse(504, OutcomeNotRun, "deadline",
                               "the deadline has passed");
    if (Call.AttemptsLeft == 0)
      return makeErrorResponse(503, OutcomeNotRun, "no-attempts-left",
                               "the hops above have spent all attempts");
    Call.Fingerprint =
        state::requestFingerprint(Call.Method, Call.Path, Request.body());
    if (View->Poison->Fingerprints.contains(Call.Fingerprint))
      return makeErrorResponse(422, OutcomeNotRun, "poison",
                               "this request has crashed several upstreams");
    Call.RandomDraw = Loop.Random();
    return std::nullopt;
  }

  //--- Idempotency key --------------------------------------------------------
  /// Registers the key of a request on a route that is not idempotent. Returns
  /// the refusal if the key is in use or can't be stored.
  std::optional<http_response> beginKey() {
    if (Call.IdempotencyKey.empty() || Route->Idempotent)
      return std::nullopt;
    const auto Found =
        Core.Keys->begin(Call.IdempotencyKey, Call.Fingerprint, Started);
    if (!Found || Found.value() == state::key_state::InProgress)
      return keyRefusal(Found);
    KeyInProgress = true;
    KeyRepeated = Found.value() != state::key_state::New;
    return std::nullopt;
  }

  /// Ends the use of the key. A key that was sent before stays registered even
  /// if this request was not run, because the earlier one may have run.
  void endKey(bool NotRun) {
    if (std::exchange(KeyInProgress, false))
      Core.Keys->end(Call.IdempotencyKey, NotRun && !KeyRepeated,
                     boot_clock::now());
  }

  //--- Attempts ---------------------------------------------------------------
  void attempt() {
    // After an earlier attempt the request may have run.
    if (Attempts == 0 && Caller->detectDisconnect())
      return endNotRun(makeErrorResponse(503, OutcomeNotRun, "caller-gone",
                                         "the caller has disconnected"));
    AttemptStarted = boot_clock::now();
    auto Picked = Core.Dependencies.Picker.pick(
        {*View, *Route, Call, History, Loop.Random(), AttemptStarted});
    if (Picked.has_error())
      return endNotRun(makeErrorResponse(503, OutcomeNotRun, "no-target",
                                         Picked.error().Detail));
    Target = std::move(Picked.value());
    History.TriedInstances.push_back(Target.Target.Instance);
    (Target.UsesNewVersion ? History.TriedNewVersion
                           : History.TriedOldVersion) = true;
    ++Attempts;
    Core.Dependencies.Stats.recordStart(Target.Target);
    send_options Options;
    Options.FromDaemon = true;
    OutboundExchange = Loop.Pool.send(
        Target.Target.Address, buildForwardedRequest(), Call.Deadline,
        [Self = shared_from_this()](exchange_result Result) {
          Self->onAttemptEnd(std::move(Result));
        },
        std::move(Options));
  }

  http_request buildForwardedRequest() {
    http_request Request = request();
    removeConnectionFields(Request);
    Request.version(11);
    Request.set(headers::TargetService, Target.Target.Service);
    Request.set(headers::TargetVersion, Target.Target.Version);
    Request.set(headers::TargetRoute, Route->Name);
    Request.erase(headers::KeyRepeated);
    if (KeyRepeated)
      Request.set(headers::KeyRepeated, "1");
    Request.set(headers::DeadlineMs, std::to_string(millisecondsLeft(
                                         Call.Deadline, AttemptStarted)));
    // Includes this attempt, so that later hops have at least one.
    Request.set(headers::AttemptsLeft, std::to_string(Call.AttemptsLeft));
    Request.set(headers::Depth, std::to_string(Call.Depth + 1));
    if (Span)
      injectTrace(*Core.Options.Tracer, Span->context(), Request);
    setContentLength(Request, Request.body().size());
    return Request;
  }

  struct attempt_result {
    attempt_outcome Outcome = attempt_outcome::Unknown;
    std::string Reason;
    http_response Response; // sent to the caller if no attempt follows
  };

  attempt_result classify(exchange_result Result) const {
    attempt_result Attempt;
    if (Result.Outcome == exchange_outcome::Complete) {
      const std::string_view Outcome =
          fieldValue(Result.Response, headers::Outcome);
      Attempt.Reason = fieldValue(Result.Response, headers::Reason);
      Attempt.Outcome = Outcome == OutcomeNotRun    ? attempt_outcome::NotRun
                        : Outcome == OutcomeUnknown ? attempt_outcome::Unknown
                        : Result.Response.result_int() < 500
                            ? attempt_outcome::Success
                            : attempt_outcome::Failed;
      Attempt.Response = std::move(Result.Response);
      return Attempt;
    }
    if (Result.Outcome == exchange_outcome::NotSent) {
      Attempt.Outcome = attempt_outcome::NotRun;
      Attempt.Reason = Result.Error == exchange_error::Timeout
                           ? "deadline"
                           : "connect-failed";
      Attempt.Response =
          makeErrorResponse(503, OutcomeNotRun, Attempt.Reason, Result.Detail);
      return Attempt;
    }
    const bool TimedOut = Result.Error == exchange_error::Timeout;
    Attempt.Reason = TimedOut ? "timeout"
                     : Result.Error == exchange_error::InvalidResponse
                         ? "bad-answer"
                     : Result.Error == exchange_error::OverBudget ? "memory"
                                                                  : "cut";
    Attempt.Response = makeErrorResponse(TimedOut ? 504 : 502, OutcomeUnknown,
                                         Attempt.Reason, Result.Detail);
    return Attempt;
  }

  void onAttemptEnd(exchange_result Result) {
    const state::time_point Now = boot_clock::now();
    if (Result.Error == exchange_error::Cancelled) {
      reportAttempt(attempt_outcome::Cancelled, Now);
      endKey(false);
      Core.recordCall(call_side::Entry, "cancelled", "", Started);
      finishSpan(0, "cancelled");
      return;
    }
    attempt_result Attempt = classify(std::move(Result));
    // A timeout counts against the version only if the attempt had at least
    // half of the route's timeout; otherwise the caller's deadline caused it.
    const bool LimitedByCaller =
        Attempt.Reason == "timeout" &&
        Call.Deadline - AttemptStarted < Route->Timeout / 2;
    reportAttempt(
        LimitedByCaller ? attempt_outcome::Cancelled : Attempt.Outcome, Now);
    if (const auto Hint =
            parseLoad(fieldValue(Attempt.Response, headers::Load)))
      Core.Dependencies.Stats.recordHint(Target.Target, *Hint, Now);
    if (Attempt.Outcome == attempt_outcome::Success)
      return respond(std::move(Attempt.Response));
    --Call.AttemptsLeft;
    RetriedByLaterHop =
        RetriedByLaterHop ||
        !fieldValue(Attempt.Response, headers::RetriedByLaterHop).empty();
    state::retry_request Retry;
    Retry.Outcome = Attempt.Outcome;
    Retry.Idempotent = Route->Idempotent;
    Retry.RetriedByLaterHop = RetriedByLaterHop;
    Retry.Poison = Attempt.Reason == "upstream-crashed-alone";
    Retry.AttemptsLeft = Call.AttemptsLeft;
    Retry.Deadline = Call.Deadline;
    Retry.Now = Now;
    const bool ShouldRetry =
        decideRetry(Retry, Core.Dependencies.RetryBudget) ==
        state::retry_decision::Retry;
    if (Attempt.Outcome != attempt_outcome::NotRun)
      LastRunResponse = std::move(Attempt.Response);
    else if (!ShouldRetry)
      return endNotRun(std::move(Attempt.Response));
    if (!ShouldRetry)
      return respond(std::move(*LastRunResponse));
    if (Core.Options.Metrics != nullptr)
      Core.Options.Metrics->recordRetry();
    attempt();
  }

  /// Ends the call after an attempt that was not run. If an earlier attempt may
  /// have run, its response is sent, because "not run" would be false.
  void endNotRun(http_response NotRunResponse) {
    respond(LastRunResponse ? std::move(*LastRunResponse)
                            : std::move(NotRunResponse));
  }

  void reportAttempt(attempt_outcome Outcome, state::time_point Now) {
    const auto Latency =
        std::chrono::duration_cast<state::milliseconds>(Now - AttemptStarted);
    Core.Dependencies.Stats.recordEnd(Target.Target, Outcome, Latency, Now);
    if (Core.Options.Metrics != nullptr)
      Core.Options.Metrics->recordAttempt(Outcome);
    if (!Core.Hooks.OnAttempt)
      return;
    state::attempt_report Report;
    Report.Service = Target.Target.Service;
    Report.Version = Target.Target.Version;
    Report.Route = Route->Name;
    Report.Instance = Target.Target.Instance;
    Report.DataCentre = Target.Target.DataCentre;
    Report.Outcome = Outcome;
    Report.Latency = Latency;
    Report.UsesNewVersion = Target.UsesNewVersion;
    Report.TargetWarmingUp = Now - Target.Target.FirstSeen < WarmUpPeriod;
    // The request may have been classified as poison during the attempt.
    const auto Latest = Core.Dependencies.View.read();
    Report.Poison = Latest->Poison->Fingerprints.contains(Call.Fingerprint);
    Core.Hooks.OnAttempt(Report);
  }

  void onCallerDisconnect() {
    if (OutboundExchange)
      OutboundExchange->cancel();
  }

  //--- Response ---------------------------------------------------------------
  void respond(http_response Response) {
    OutboundExchange = nullptr;
    removeConnectionFields(Response);
    Response.erase(headers::Load);
    if (Response.result_int() >= 500 && (Attempts > 1 || RetriedByLaterHop))
      Response.set(headers::RetriedByLaterHop, "1");
    const std::string Outcome(fieldValue(Response, headers::Outcome));
    const std::string Reason(fieldValue(Response, headers::Reason));
    endKey(Outcome == OutcomeNotRun);
    Core.recordCall(call_side::Entry, Outcome.empty() ? OutcomeRan : Outcome,
                    Reason, Started);
    finishSpan(Response.result_int(), Outcome);
    Caller->respond(std::move(Response));
  }

  void finishSpan(unsigned Status, const std::string &Outcome) {
    if (!Span)
      return;
    Span->SetTag("http.method", Call.Method);
    Span->SetTag("http.status_code", Status);
    Span->SetTag("hyssop.outcome", Outcome);
    Span->SetTag("hyssop.attempts", Attempts);
    if (!Target.Target.Instance.empty()) {
      Span->SetTag("hyssop.target", Target.Target.Instance);
      Span->SetTag("hyssop.version", Target.Target.Version);
    }
    Span->Finish();
  }

  // Equals the slow start period of the picker.
  static constexpr std::chrono::seconds WarmUpPeriod{10};

  data_plane_core &Core;
  loop_state &Loop;
  std::shared_ptr<server_exchange> Caller;
  state::time_point Started;
  std::unique_ptr<opentracing::Span> Span;
  std::shared_ptr<const state::routing_view> View;
  const state::route_spec *Route = nullptr; // points into View
  state::call_context Call;
  state::attempt_history History;
  state::picked_target Target; // of the current attempt
  state::time_point AttemptStarted{};
  std::shared_ptr<client_exchange> OutboundExchange;
  /// Response of the last attempt that may have run.
  std::optional<http_response> LastRunResponse;
  unsigned Attempts = 0;
  bool RetriedByLaterHop = false;
  bool KeyInProgress = false; // endKey() is due
  bool KeyRepeated = false;   // this daemon has sent the key before
};

} // namespace

state::result<state::key_state>
entry_key_table::begin(const std::string &Key, std::uint64_t Fingerprint,
                       state::time_point Now) {
  constexpr std::chrono::seconds ExpiryInterval{10};
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Now >= NextExpiry) {
    Keys.expire(Now);
    NextExpiry = Now + ExpiryInterval;
  }
  const auto Found = Keys.begin(Key, Fingerprint, Now);
  if (!Found)
    return Found.error();
  return Found.value().State;
}

void entry_key_table::end(const std::string &Key, bool NotRun,
                          state::time_point Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (NotRun)
    Keys.release(Key);
  else
    Keys.markUnknown(Key, Now);
}

void startEntryCall(data_plane_core &Core,
                    std::shared_ptr<server_exchange> Caller) {
  std::make_shared<entry_call>(Core, std::move(Caller))->start();
}

} // namespace hyssopledge::transport
