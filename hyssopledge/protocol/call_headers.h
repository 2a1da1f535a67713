/// \file
/// HTTP header fields that travel with a call. Upstreams copy the request
/// fields onto the calls they make in turn.
#pragma once

namespace hyssopledge::protocol::call_headers {

//--- Request ------------------------------------------------------------------
constexpr char TraceParent[] = "traceparent"; // W3C trace context
constexpr char DeadlineMs[] =
    "x-hyssop-deadline-ms"; // milliseconds left, counted from receipt
constexpr char AttemptsLeft[] =
    "x-hyssop-attempts-left"; // attempts left for this hop and all below it
constexpr char Depth[] = "x-hyssop-depth"; // hops above, at most MaxDepth
constexpr char IdempotencyKey[] = "idempotency-key"; // set by the caller

//--- Request between daemons --------------------------------------------------
constexpr char TargetService[] =
    "x-hyssop-service"; // present: this is a call from another daemon
constexpr char TargetVersion[] = "x-hyssop-version";
constexpr char KeyRepeated[] =
    "x-hyssop-key-repeated"; // "1": this entry daemon has sent the idempotency
                             // key before; see state/idempotency.h
constexpr char TargetRoute[] = "x-hyssop-route";

//--- Response -----------------------------------------------------------------
constexpr char Outcome[] =
    "x-hyssop-outcome"; // "ran", "not-run" or "unknown"; set by daemons
constexpr char Reason[] =
    "x-hyssop-reason"; // fixed word, for example "draining", with "not-run" and
                       // "unknown"
constexpr char Load[] = "x-hyssop-load"; // "used/slots/queued" of the target
constexpr char RetriedByLaterHop[] =
    "x-hyssop-retried"; // "1": a hop below has spent retries on this failure

constexpr unsigned MaxDepth = 10;

} // namespace hyssopledge::protocol::call_headers
