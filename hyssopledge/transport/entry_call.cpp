/// \file
/// A caller's request: route, pick a target, forward, retry, answer.
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

/// "used/slots/queued".
std::optional<state::load_hint> parseLoad(std::string_view Text) {
  state::load_hint Hint;
  const char *At = Text.data();
  const char *End = Text.data() + Text.size();
  for (std::uint32_t *Part : {&Hint.SlotsUsed, &Hint.Slots, &Hint.Queued}) {
    const auto [Next, Error] = std::from_chars(At, End, *Part);
    if (Error != std::errc())
      return std::nullopt;
    At = Next != End && *Next == '/' ? Next + 1 : Next;
  }
  return At == End ? std::optional(Hint) : std::nullopt;
}

/// The same words as those of the home daemon's gate.
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
  entry_call(plane_core &Core, std::shared_ptr<server_exchange> Caller)
      : Core(Core), Loop(*Core.Loops[Caller->loop()]),
        Caller(std::move(Caller)), Started(boot_clock::now()) {}

  void start() {
    Span = startHopSpan(Core, "entry", request());
    if (auto Refusal = check())
      return answer(std::move(*Refusal));
    if (auto Refusal = beginKey())
      return answer(std::move(*Refusal));
    if (Span)
      Span->SetTag("hyssop.route", Route->Name);
    Core.Parts.Budget.recordCall();
    Caller->onDisconnect([Self = shared_from_this()] { Self->callerGone(); });
    attempt();
  }

private:
  const http_request &request() const { return Caller->request(); }

  /// Fills Call and Route, or gives the refusal.
  std::optional<http_response> check() {
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
    View = Core.Parts.View.read();
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
    const auto TimeGiven = fieldNumber(Request, headers::DeadlineMs);
    Call.Deadline =
        Started + std::min<boot_clock::duration>(
                      Route->Timeout,
                      TimeGiven ? state::milliseconds(std::min<std::uint64_t>(
                                      *TimeGiven, 24ULL * 3600 * 1000))
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
  std::optional<http_response> beginKey() {
    if (Call.IdempotencyKey.empty() || Route->Idempotent)
      return std::nullopt;
    const auto Found =
        Core.Keys->begin(Call.IdempotencyKey, Call.Fingerprint, Started);
    if (!Found || Found.value() == state::key_state::InProgress)
      return keyRefusal(Found);
    HoldsKey = true;
    KeyRepeated = Found.value() != state::key_state::New;
    return std::nullopt;
  }

  /// A repeated key stays known whatever became of this sending.
  void endKey(bool NotRun) {
    if (std::exchange(HoldsKey, false))
      Core.Keys->end(Call.IdempotencyKey, NotRun && !KeyRepeated,
                     boot_clock::now());
  }

  //--- Attempts ---------------------------------------------------------------
  void attempt() {
    AttemptStarted = boot_clock::now();
    auto Picked = Core.Parts.Picker.pick(
        {*View, *Route, Call, History, Loop.Random(), AttemptStarted});
    if (Picked.has_error())
      return giveUp(makeErrorResponse(503, OutcomeNotRun, "no-target",
                                      Picked.error().Detail));
    Target = std::move(Picked.value());
    History.TriedInstances.push_back(Target.Target.Instance);
    (Target.NewVersion ? History.TriedNewVersion : History.TriedOldVersion) =
        true;
    ++Attempts;
    Core.Parts.Stats.recordStart(Target.Target);
    Sending =
        Loop.Pool.send(Target.Target.Address, forwarded(), Call.Deadline,
                       [Self = shared_from_this()](exchange_result Result) {
                         Self->onEnd(std::move(Result));
                       });
  }

  http_request forwarded() {
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
    // Counts this attempt, so that the hops below have at least one.
    Request.set(headers::AttemptsLeft, std::to_string(Call.AttemptsLeft));
    Request.set(headers::Depth, std::to_string(Call.Depth + 1));
    if (Span)
      injectTrace(*Core.Options.Tracer, Span->context(), Request);
    Request.prepare_payload();
    return Request;
  }

  struct ended {
    attempt_outcome Outcome = attempt_outcome::Unknown;
    std::string Reason;
    http_response Response; // to pass on or to give as the answer
  };

  ended classify(exchange_result Result) const {
    ended End;
    if (Result.Outcome == exchange_outcome::Complete) {
      const std::string_view Outcome =
          fieldValue(Result.Response, headers::Outcome);
      End.Reason = fieldValue(Result.Response, headers::Reason);
      End.Outcome = Outcome == OutcomeNotRun    ? attempt_outcome::NotRun
                    : Outcome == OutcomeUnknown ? attempt_outcome::Unknown
                    : Result.Response.result_int() < 500
                        ? attempt_outcome::Success
                        : attempt_outcome::Failed;
      End.Response = std::move(Result.Response);
      return End;
    }
    if (Result.Outcome == exchange_outcome::NotSent) {
      End.Outcome = attempt_outcome::NotRun;
      End.Reason = Result.Cause == exchange_cause::Timeout ? "deadline"
                                                           : "connect-failed";
      End.Response =
          makeErrorResponse(503, OutcomeNotRun, End.Reason, Result.Detail);
      return End;
    }
    const bool Late = Result.Cause == exchange_cause::Timeout;
    End.Reason = Late                                        ? "timeout"
                 : Result.Cause == exchange_cause::BadAnswer ? "bad-answer"
                                                             : "cut";
    End.Response = makeErrorResponse(Late ? 504 : 502, OutcomeUnknown,
                                     End.Reason, Result.Detail);
    return End;
  }

  void onEnd(exchange_result Result) {
    const state::time_point Now = boot_clock::now();
    if (Result.Cause == exchange_cause::Cancelled) {
      report(attempt_outcome::Cancelled, Now);
      endKey(false);
      Core.recordCall(call_side::Entry, "cancelled", "", Started);
      finishSpan(0, "cancelled");
      return;
    }
    ended End = classify(std::move(Result));
    // A version is blamed for a timeout only when the attempt had at least half
    // of the route's time; otherwise the caller's own limit was the cause.
    const bool ShortTime = End.Reason == "timeout" &&
                           Call.Deadline - AttemptStarted < Route->Timeout / 2;
    report(ShortTime ? attempt_outcome::Cancelled : End.Outcome, Now);
    if (const auto Hint = parseLoad(fieldValue(End.Response, headers::Load)))
      Core.Parts.Stats.recordHint(Target.Target, *Hint, Now);
    if (End.Outcome == attempt_outcome::Success)
      return answer(std::move(End.Response));
    --Call.AttemptsLeft;
    BelowRetried =
        BelowRetried ||
        !fieldValue(End.Response, headers::RetriedByLaterHop).empty();
    state::retry_request Retry;
    Retry.Outcome = End.Outcome;
    Retry.Idempotent = Route->Idempotent;
    Retry.RetriedByLaterHop = BelowRetried;
    Retry.Poison = End.Reason == "upstream-crashed-alone";
    Retry.AttemptsLeft = Call.AttemptsLeft;
    Retry.Deadline = Call.Deadline;
    Retry.Now = Now;
    const bool Again =
        decideRetry(Retry, Core.Parts.Budget) == state::retry_decision::Retry;
    if (End.Outcome != attempt_outcome::NotRun)
      LastRun = std::move(End.Response);
    else if (!Again)
      return giveUp(std::move(End.Response));
    if (!Again)
      return answer(std::move(*LastRun));
    if (Core.Options.Metrics != nullptr)
      Core.Options.Metrics->recordRetry();
    attempt();
  }

  /// Ends the call after an attempt that was not run. An earlier attempt that
  /// may have run decides what is said of the call.
  void giveUp(http_response NotRunAnswer) {
    answer(LastRun ? std::move(*LastRun) : std::move(NotRunAnswer));
  }

  void report(attempt_outcome Outcome, state::time_point Now) {
    const auto Latency =
        std::chrono::duration_cast<state::milliseconds>(Now - AttemptStarted);
    Core.Parts.Stats.recordEnd(Target.Target, Outcome, Latency, Now);
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
    Report.NewVersion = Target.NewVersion;
    Report.TargetWarmingUp = Now - Target.Target.FirstSeen < WarmUp;
    // The request may have become poison while it was under way.
    const auto Latest = Core.Parts.View.read();
    Report.Poison = Latest->Poison->Fingerprints.contains(Call.Fingerprint);
    Core.Hooks.OnAttempt(Report);
  }

  void callerGone() {
    if (Sending)
      Sending->cancel();
  }

  //--- The answer -------------------------------------------------------------
  void answer(http_response Response) {
    Sending = nullptr;
    removeConnectionFields(Response);
    Response.erase(headers::Load);
    if (Response.result_int() >= 500 && (Attempts > 1 || BelowRetried))
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

  // As long as the picker's slow start.
  static constexpr std::chrono::seconds WarmUp{10};

  plane_core &Core;
  plane_loop &Loop;
  std::shared_ptr<server_exchange> Caller;
  state::time_point Started;
  std::unique_ptr<opentracing::Span> Span;
  std::shared_ptr<const state::routing_view> View;
  const state::route_spec *Route = nullptr; // in View
  state::call_context Call;
  state::attempt_history History;
  state::picked_target Target; // of the present attempt
  state::time_point AttemptStarted{};
  std::shared_ptr<client_exchange> Sending;
  std::optional<http_response> LastRun; // of an attempt that may have run
  unsigned Attempts = 0;
  bool BelowRetried = false;
  bool HoldsKey = false;
  bool KeyRepeated = false; // sent before by this daemon
};

} // namespace

state::result<state::key_state> entry_keys::begin(const std::string &Key,
                                                  std::uint64_t Fingerprint,
                                                  state::time_point Now) {
  constexpr std::chrono::seconds ExpiryInterval{10};
  const std::lock_guard<std::mutex> Lock(Guard);
  if (Now >= NextExpiry) {
    Keys.expire(Now);
    NextExpiry = Now + ExpiryInterval;
  }
  const auto Found = Keys.begin(Key, Fingerprint, Now);
  if (!Found)
    return Found.error();
  return Found.value().State;
}

void entry_keys::end(const std::string &Key, bool NotRun,
                     state::time_point Now) {
  const std::lock_guard<std::mutex> Lock(Guard);
  if (NotRun)
    Keys.release(Key);
  else
    Keys.markUnknown(Key, Now);
}

void startEntryCall(plane_core &Core, std::shared_ptr<server_exchange> Caller) {
  std::make_shared<entry_call>(Core, std::move(Caller))->start();
}

} // namespace hyssopledge::transport
