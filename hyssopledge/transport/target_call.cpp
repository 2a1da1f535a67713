/// \file
/// Call received from another daemon for the local upstream: admission,
/// idempotency key, forwarding to the upstream, response.
#include "hyssopledge/protocol/call_headers.h"
#include "hyssopledge/transport/data_plane_core.h"
#include "hyssopledge/transport/tracing.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace hyssopledge::transport {

namespace asio = boost::asio;
namespace headers = protocol::call_headers;
namespace http = boost::beast::http;
using state::boot_clock;

namespace {

// Timeout of a call without a deadline.
constexpr std::chrono::seconds DefaultTimeout{10};

class target_call : public std::enable_shared_from_this<target_call> {
public:
  target_call(data_plane_core &Core, std::shared_ptr<server_exchange> Caller)
      : Core(Core), Loop(*Core.Loops[Caller->loopIndex()]),
        Caller(std::move(Caller)), Started(boot_clock::now()) {}

  void start() {
    const http_request &Request = Caller->request();
    Span = startServerSpan(Core, "target", Request);
    gate_request GateRequest;
    GateRequest.Service = fieldValue(Request, headers::TargetService);
    GateRequest.Version = fieldValue(Request, headers::TargetVersion);
    const auto TimeLeftMs = fieldNumber(Request, headers::DeadlineMs);
    Deadline = Started +
               (TimeLeftMs ? std::chrono::milliseconds(std::min<std::uint64_t>(
                                 *TimeLeftMs, 24ULL * 3600 * 1000))
                           : std::chrono::milliseconds(DefaultTimeout));
    GateRequest.Deadline = Deadline;
    Fingerprint = state::requestFingerprint(
        {Request.method_string().data(), Request.method_string().size()},
        {Request.target().data(), Request.target().size()}, Request.body());
    GateRequest.Fingerprint = Fingerprint;
    const auto View = Core.Dependencies.View.read();
    if (View->Poison->Fingerprints.contains(Fingerprint))
      return respond(
          makeErrorResponse(422, OutcomeNotRun, "poison",
                            "this request has crashed several upstreams"));
    if (!isIdempotentRoute(*View))
      GateRequest.Key = fieldValue(Request, headers::IdempotencyKey);
    HasKey = !GateRequest.Key.empty();
    GateRequest.KeyRepeated = fieldValue(Request, headers::KeyRepeated) == "1";
    Caller->onDisconnect(
        [Self = shared_from_this()] { Self->onCallerDisconnect(); });
    asio::post(*Core.GateLoop,
               [Self = shared_from_this(),
                GateRequest = std::move(GateRequest)]() mutable {
                 Self->admit(std::move(GateRequest));
               });
  }

private:
  /// Returns whether the route named by the entry daemon is idempotent. A route
  /// that is unknown here counts as not idempotent, so that its key is checked.
  bool isIdempotentRoute(const state::routing_view &View) const {
    if (!View.Snapshot)
      return false;
    const std::string_view Name =
        fieldValue(Caller->request(), headers::TargetRoute);
    const auto &Routes = View.Snapshot->Document.Routes;
    const auto Found =
        std::find_if(Routes.begin(), Routes.end(),
                     [&](const auto &Route) { return Route.Name == Name; });
    return Found != Routes.end() && Found->Idempotent;
  }

  //--- Runs on the gate's loop ------------------------------------------------
  void admit(gate_request GateRequest) {
    Ticket =
        Core.Gate->admit(std::move(GateRequest),
                         [Self = shared_from_this()](gate_decision Decision) {
                           asio::post(Self->Loop.Context,
                                      [Self, Decision = std::move(Decision)] {
                                        Self->onDecision(Decision);
                                      });
                         });
  }

  template <class F> void postToGate(F Function) {
    asio::post(*Core.GateLoop, [Self = shared_from_this(),
                                Function = std::move(Function)]() mutable {
      Function(*Self->Core.Gate, Self->Ticket);
    });
  }

  //--- Runs on the loop of the caller's connection ----------------------------
  void onDecision(const gate_decision &Decision) {
    switch (Decision.Kind) {
    case gate_decision::kind::Refused:
      return respond(makeErrorResponse(Decision.Status, Decision.Outcome,
                                       Decision.Reason, Decision.Detail));
    case gate_decision::kind::Replay: {
      http_response Response =
          makeResponse(Decision.Response->Status,
                       Decision.Response->ContentType, Decision.Response->Body);
      Response.set(headers::Outcome, OutcomeRan);
      return respond(std::move(Response));
    }
    case gate_decision::kind::Run:
      break;
    }
    if (CallerDisconnected || Caller->detectDisconnect()) {
      postToGate([](upstream_gate &Gate, state::ticket Ticket) {
        Gate.finishNotRun(Ticket);
      });
      return recordCancelled();
    }
    OutboundExchange =
        Loop.Pool.send(Decision.Address, buildForwardedRequest(), Deadline,
                       [Self = shared_from_this()](exchange_result Result) {
                         Self->onExchangeEnd(std::move(Result));
                       });
  }

  http_request buildForwardedRequest() {
    http_request Request = Caller->request();
    removeConnectionFields(Request);
    Request.version(11);
    Request.erase(headers::TargetService);
    Request.erase(headers::TargetVersion);
    Request.erase(headers::TargetRoute);
    Request.erase(headers::KeyRepeated);
    Request.set(headers::DeadlineMs,
                std::to_string(millisecondsLeft(Deadline, boot_clock::now())));
    if (Span)
      injectTrace(*Core.Options.Tracer, Span->context(), Request);
    setContentLength(Request, Request.body().size());
    return Request;
  }

  void onExchangeEnd(exchange_result Result) {
    OutboundExchange = nullptr;
    if (Result.Outcome == exchange_outcome::NotSent) {
      postToGate([](upstream_gate &Gate, state::ticket Ticket) {
        Gate.finishNotRun(Ticket);
      });
      if (Result.Error == exchange_error::Cancelled)
        return recordCancelled();
      if (Result.Error == exchange_error::Timeout)
        return respond(
            makeErrorResponse(504, OutcomeNotRun, "deadline", Result.Detail));
      return respond(makeErrorResponse(503, OutcomeNotRun,
                                       "upstream-unreachable", Result.Detail));
    }
    if (Result.Outcome == exchange_outcome::Complete)
      return onResponse(std::move(Result.Response));
    if (Result.Error == exchange_error::ConnectionClosed)
      return onConnectionClosed(std::move(Result.Detail));
    postToGate([](upstream_gate &Gate, state::ticket Ticket) {
      Gate.finishUnknown(Ticket);
    });
    if (Result.Error == exchange_error::Cancelled)
      return recordCancelled();
    if (Result.Error == exchange_error::Timeout)
      return respond(
          makeErrorResponse(504, OutcomeUnknown, "timeout", Result.Detail));
    const char *const Reason =
        Result.Error == exchange_error::OverBudget ? "memory" : "bad-answer";
    respond(makeErrorResponse(502, OutcomeUnknown, Reason, Result.Detail));
  }

  void onResponse(http_response Response) {
    // data_plane.h describes how a 503 of the upstream is interpreted.
    const bool Shed = Response.result_int() == 503 &&
                      fieldValue(Response, headers::Outcome) == OutcomeNotRun;
    if (Shed) {
      postToGate([](upstream_gate &Gate, state::ticket Ticket) {
        Gate.finishNotRun(Ticket);
      });
    } else {
      state::stored_response Stored;
      if (HasKey) {
        Stored.Status = Response.result_int();
        Stored.ContentType = std::string(Response[http::field::content_type]);
        Stored.Body = Response.body();
      }
      postToGate([Stored = std::move(Stored)](upstream_gate &Gate,
                                              state::ticket Ticket) mutable {
        Gate.finishWithResponse(Ticket, std::move(Stored));
      });
      if (Response.result_int() < 500 && Core.Hooks.OnSuccess)
        Core.Hooks.OnSuccess(Fingerprint);
    }
    removeConnectionFields(Response);
    Response.set(headers::Outcome, Shed ? OutcomeNotRun : OutcomeRan);
    if (Shed)
      Response.set(headers::Reason, "shed");
    else
      Response.erase(headers::Reason);
    respond(std::move(Response));
  }

  /// Delays the response until the crash probe has ended: a request that was
  /// the only one in flight at a crash must not be sent to another target.
  void onConnectionClosed(std::string Detail) {
    postToGate([Self = shared_from_this(), Detail = std::move(Detail)](
                   upstream_gate &Gate, state::ticket Ticket) mutable {
      Gate.finishConnectionClosed(Ticket, [Self, Detail = std::move(Detail)](
                                              crash_probe_result ProbeResult) {
        asio::post(Self->Loop.Context, [Self, ProbeResult, Detail] {
          const char *Reason = !ProbeResult.Crashed ? "upstream-cut"
                               : ProbeResult.Alone  ? "upstream-crashed-alone"
                                                    : "upstream-crashed";
          Self->respond(makeErrorResponse(502, OutcomeUnknown, Reason, Detail));
        });
      });
    });
  }

  void onCallerDisconnect() {
    CallerDisconnected = true;
    if (OutboundExchange)
      return OutboundExchange->cancel();
    // If the request already holds a slot, onDecision releases it.
    asio::post(*Core.GateLoop, [Self = shared_from_this()] {
      if (Self->Core.Gate->cancelWaiting(Self->Ticket))
        asio::post(Self->Loop.Context, [Self] { Self->recordCancelled(); });
    });
  }

  void recordCancelled() {
    Core.recordCall(call_side::Target, "cancelled", "", Started);
    if (Span)
      Span->Finish();
  }

  void respond(http_response Response) {
    Response.set(headers::Load, Core.Gate->formatLoad());
    const std::string_view Outcome = fieldValue(Response, headers::Outcome);
    Core.recordCall(call_side::Target, Outcome,
                    fieldValue(Response, headers::Reason), Started);
    if (Span) {
      Span->SetTag("http.status_code", Response.result_int());
      Span->SetTag("hyssop.outcome", std::string(Outcome));
      Span->Finish();
    }
    Caller->respond(std::move(Response));
  }

  data_plane_core &Core;
  loop_state &Loop;
  std::shared_ptr<server_exchange> Caller;
  state::time_point Started;
  state::time_point Deadline{};
  std::unique_ptr<opentracing::Span> Span;
  std::uint64_t Fingerprint = 0;
  bool HasKey = false;
  bool CallerDisconnected = false;
  std::shared_ptr<client_exchange> OutboundExchange;
  //--- Used on the gate's loop only -------------------------------------------
  state::ticket Ticket = 0;
};

} // namespace

void startTargetCall(data_plane_core &Core,
                     std::shared_ptr<server_exchange> Caller) {
  std::make_shared<target_call>(Core, std::move(Caller))->start();
}

} // namespace hyssopledge::transport
