/// \file
/// A request from another daemon for the upstream beside this one: admission,
/// idempotency key, upstream, answer.
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

// For a daemon that sends no deadline.
constexpr std::chrono::seconds DefaultDeadline{10};

class target_call : public std::enable_shared_from_this<target_call> {
public:
  target_call(plane_core &Core, std::shared_ptr<server_exchange> Caller)
      : Core(Core), Loop(*Core.Loops[Caller->loop()]),
        Caller(std::move(Caller)), Started(boot_clock::now()) {}

  void start() {
    const http_request &Request = Caller->request();
    Span = startHopSpan(Core, "target", Request);
    gate_request Enter;
    Enter.Service = fieldValue(Request, headers::TargetService);
    Enter.Version = fieldValue(Request, headers::TargetVersion);
    const auto Left = fieldNumber(Request, headers::DeadlineMs);
    Deadline = Started +
               (Left ? std::chrono::milliseconds(
                           std::min<std::uint64_t>(*Left, 24ULL * 3600 * 1000))
                     : std::chrono::milliseconds(DefaultDeadline));
    Enter.Deadline = Deadline;
    Fingerprint = state::requestFingerprint(
        {Request.method_string().data(), Request.method_string().size()},
        {Request.target().data(), Request.target().size()}, Request.body());
    Enter.Fingerprint = Fingerprint;
    const auto View = Core.Parts.View.read();
    if (View->Poison->Fingerprints.contains(Fingerprint))
      return answer(
          makeErrorResponse(422, OutcomeNotRun, "poison",
                            "this request has crashed several upstreams"));
    if (!idempotentRoute(*View))
      Enter.Key = fieldValue(Request, headers::IdempotencyKey);
    Keyed = !Enter.Key.empty();
    Enter.KeyRepeated = fieldValue(Request, headers::KeyRepeated) == "1";
    Caller->onDisconnect([Self = shared_from_this()] { Self->callerGone(); });
    asio::post(*Core.GateLoop,
               [Self = shared_from_this(), Enter = std::move(Enter)]() mutable {
                 Self->enter(std::move(Enter));
               });
  }

private:
  /// Of the route named by the entry daemon; a route unknown here counts as not
  /// idempotent, which is the safe side.
  bool idempotentRoute(const state::routing_view &View) const {
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

  //--- On the gate's loop -----------------------------------------------------
  void enter(gate_request Enter) {
    Ticket = Core.Gate->enter(std::move(Enter), [Self = shared_from_this()](
                                                    gate_decision Decision) {
      asio::post(Self->Loop.Context, [Self, Decision = std::move(Decision)] {
        Self->onDecision(Decision);
      });
    });
  }

  template <class F> void onGate(F Function) {
    asio::post(*Core.GateLoop, [Self = shared_from_this(),
                                Function = std::move(Function)]() mutable {
      Function(*Self->Core.Gate, Self->Ticket);
    });
  }

  //--- On the caller's loop ---------------------------------------------------
  void onDecision(const gate_decision &Decision) {
    switch (Decision.Kind) {
    case gate_decision::kind::Refused:
      return answer(makeErrorResponse(Decision.Status, Decision.Outcome,
                                      Decision.Reason, Decision.Detail));
    case gate_decision::kind::Replay: {
      http_response Response =
          makeResponse(Decision.Answer->Status, Decision.Answer->ContentType,
                       Decision.Answer->Body);
      Response.set(headers::Outcome, OutcomeRan);
      return answer(std::move(Response));
    }
    case gate_decision::kind::Run:
      break;
    }
    if (Gone) {
      onGate([](upstream_gate &Gate, state::ticket Ticket) {
        Gate.leaveNotRun(Ticket);
      });
      return recordCancelled();
    }
    Sending =
        Loop.Pool.send(Decision.Address, forwarded(), Deadline,
                       [Self = shared_from_this()](exchange_result Result) {
                         Self->onEnd(std::move(Result));
                       });
  }

  http_request forwarded() {
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
    Request.prepare_payload();
    return Request;
  }

  void onEnd(exchange_result Result) {
    Sending = nullptr;
    if (Result.Outcome == exchange_outcome::NotSent) {
      onGate([](upstream_gate &Gate, state::ticket Ticket) {
        Gate.leaveNotRun(Ticket);
      });
      if (Result.Cause == exchange_cause::Cancelled)
        return recordCancelled();
      if (Result.Cause == exchange_cause::Timeout)
        return answer(
            makeErrorResponse(504, OutcomeNotRun, "deadline", Result.Detail));
      return answer(makeErrorResponse(503, OutcomeNotRun,
                                      "upstream-unreachable", Result.Detail));
    }
    if (Result.Outcome == exchange_outcome::Complete)
      return onAnswer(std::move(Result.Response));
    if (Result.Cause == exchange_cause::Cut)
      return onCut(std::move(Result.Detail));
    onGate([](upstream_gate &Gate, state::ticket Ticket) {
      Gate.leaveUnknown(Ticket);
    });
    if (Result.Cause == exchange_cause::Cancelled)
      return recordCancelled();
    if (Result.Cause == exchange_cause::Timeout)
      return answer(
          makeErrorResponse(504, OutcomeUnknown, "timeout", Result.Detail));
    answer(makeErrorResponse(502, OutcomeUnknown, "bad-answer", Result.Detail));
  }

  void onAnswer(http_response Response) {
    // See data_plane.h for how a 503 of the upstream is read.
    const bool Shed = Response.result_int() == 503 &&
                      fieldValue(Response, headers::Outcome) == OutcomeNotRun;
    if (Shed) {
      onGate([](upstream_gate &Gate, state::ticket Ticket) {
        Gate.leaveNotRun(Ticket);
      });
    } else {
      state::stored_answer Stored;
      if (Keyed) {
        Stored.Status = Response.result_int();
        Stored.ContentType = std::string(Response[http::field::content_type]);
        Stored.Body = Response.body();
      }
      onGate([Stored = std::move(Stored)](upstream_gate &Gate,
                                          state::ticket Ticket) mutable {
        Gate.leaveAnswered(Ticket, std::move(Stored));
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
    answer(std::move(Response));
  }

  /// The answer waits for the check whether the upstream crashed, since a
  /// request that ran alone at a crash is not sent to another target.
  void onCut(std::string Detail) {
    onGate([Self = shared_from_this(), Detail = std::move(Detail)](
               upstream_gate &Gate, state::ticket Ticket) mutable {
      Gate.leaveCut(Ticket, [Self,
                             Detail = std::move(Detail)](cut_finding Finding) {
        asio::post(Self->Loop.Context, [Self, Finding, Detail] {
          const char *Reason = !Finding.Crashed ? "upstream-cut"
                               : Finding.Alone  ? "upstream-crashed-alone"
                                                : "upstream-crashed";
          Self->answer(makeErrorResponse(502, OutcomeUnknown, Reason, Detail));
        });
      });
    });
  }

  void callerGone() {
    Gone = true;
    if (Sending)
      return Sending->cancel();
    // A request that has its slot is given back by onDecision.
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

  void answer(http_response Response) {
    Response.set(headers::Load, Core.Gate->load());
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

  plane_core &Core;
  plane_loop &Loop;
  std::shared_ptr<server_exchange> Caller;
  state::time_point Started;
  state::time_point Deadline{};
  std::unique_ptr<opentracing::Span> Span;
  std::uint64_t Fingerprint = 0;
  bool Keyed = false;
  bool Gone = false;
  std::shared_ptr<client_exchange> Sending;
  //--- On the gate's loop only ------------------------------------------------
  state::ticket Ticket = 0;
};

} // namespace

void startTargetCall(plane_core &Core,
                     std::shared_ptr<server_exchange> Caller) {
  std::make_shared<target_call>(Core, std::move(Caller))->start();
}

} // namespace hyssopledge::transport
