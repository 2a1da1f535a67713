/// \file
/// Names of the HTTP header fields that travel with a call. An upstream copies
/// the request fields onto the calls it makes while it handles the request.
#pragma once

namespace hyssopledge::protocol::call_headers {

//--- Request ------------------------------------------------------------------
constexpr char TraceParent[] = "traceparent"; // W3C trace context
constexpr char DeadlineMs[] =
    "x-hyssop-deadline-ms"; // milliseconds left, counted from receipt
constexpr char AttemptsLeft[] =
    "x-hyssop-attempts-left"; // attempts left for this hop and all later hops
constexpr char Depth[] = "x-hyssop-depth"; // hops so far, at most MaxDepth
constexpr char IdempotencyKey[] = "idempotency-key"; // set by the caller

//--- Request between daemons --------------------------------------------------
constexpr char TargetService[] =
    "x-hyssop-service"; // present only on calls from another daemon
constexpr char TargetVersion[] = "x-hyssop-version";
constexpr char KeyRepeated[] =
    "x-hyssop-key-repeated"; // "1": the entry daemon has sent this idempotency
                             // key before; see state/idempotency.h
constexpr char TargetRoute[] = "x-hyssop-route";

//--- Response -----------------------------------------------------------------
constexpr char Outcome[] =
    "x-hyssop-outcome"; // "ran", "not-run" or "unknown"; set by daemons
constexpr char Reason[] =
    "x-hyssop-reason"; // reason code such as "draining", sent with the outcomes
                       // "not-run" and "unknown"
constexpr char Load[] = "x-hyssop-load"; // "used/slots/queued" of the target
constexpr char RetriedByLaterHop[] =
    "x-hyssop-retried"; // "1": a later hop has already retried this failure

constexpr unsigned MaxDepth = 10;

} // namespace hyssopledge::protocol::call_headers
