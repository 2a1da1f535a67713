#include "hyssopledge/transport/upstream_gate.h"

#include "hyssopledge/transport/http_message.h"

#include <algorithm>
#include <utility>

namespace hyssopledge::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using state::boot_clock;

namespace {

// Interval at which queued requests are checked for expired deadlines.
constexpr std::chrono::milliseconds TickInterval{10};
constexpr std::chrono::seconds KeyExpiryInterval{10};
// Short, because the upstream is on the same instance and a refusal of the
// connection arrives at once.
constexpr std::chrono::milliseconds ProbeTimeout{100};

gate_decision refusal(unsigned Status, const char *Outcome, const char *Reason,
                      std::string Detail) {
  gate_decision Decision;
  Decision.Status = Status;
  Decision.Outcome = Outcome;
  Decision.Reason = Reason;
  Decision.Detail = std::move(Detail);
  return Decision;
}

gate_decision refusalFor(const state::failure &Failure) {
  using state::errc;
  if (Failure.is(errc::Draining))
    return refusal(503, OutcomeNotRun, "draining", Failure.text());
  if (Failure.is(errc::Overloaded))
    return refusal(503, OutcomeNotRun, "overloaded", Failure.text());
  if (Failure.is(errc::NoTarget))
    return refusal(503, OutcomeNotRun, "no-target", Failure.text());
  if (Failure.is(errc::Timeout))
    return refusal(504, OutcomeNotRun, "deadline", Failure.text());
  return refusal(503, OutcomeNotRun, "other", Failure.text());
}

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

upstream_gate::upstream_gate(asio::io_context &Context, gate_options Options)
    : Context(Context), Options(std::move(Options)),
      Admission(state::admission_limits{}),
      Keys(this->Options.MaxKeys, this->Options.MaxKeyBytes), Timer(Context),
      ProbeTimer(Context), Incarnation(unixMilliseconds()) {}

upstream_gate::~upstream_gate() = default;

void upstream_gate::start() {
  Timer.expires_after(TickInterval);
  Timer.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    onTick();
    start();
  });
}

void upstream_gate::stop() {
  error_code Ignored;
  Timer.cancel();
  ProbeTimer.cancel();
  if (Probe)
    Probe->close(Ignored);
}

void upstream_gate::onTick() {
  const state::time_point Now = boot_clock::now();
  if (Admission.queued() > 0)
    release(Admission.expire(Now));
  if (Announced && !Admission.serving(Now)) {
    Announced = false;
    if (Options.OnAnnouncement)
      Options.OnAnnouncement(std::nullopt);
  }
  if (Now >= NextKeyExpiry) {
    NextKeyExpiry = Now + KeyExpiryInterval;
    Keys.expire(Now);
  }
  publishLoad();
}

void upstream_gate::announce(const state::upstream_announcement &Announcement) {
  if (Options.Limits)
    Admission.setLimits(Options.Limits(Announcement.Service));
  Admission.announce(Announcement, boot_clock::now());
  Announced = !Announcement.Draining;
  publishLoad();
  if (Options.OnAnnouncement)
    Options.OnAnnouncement(Announcement);
}

void upstream_gate::startDrain() { Admission.startDrain(); }

bool upstream_gate::drained() const { return Admission.drained(); }

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

state::ticket upstream_gate::admit(gate_request Request,
                                   std::function<void(gate_decision)> Handler) {
  const state::ticket Ticket = ++LastTicket;
  if (auto Decision = lookUpKey(Request)) {
    Handler(std::move(*Decision));
    return Ticket;
  }
  const state::time_point Now = boot_clock::now();
  const auto Action = Admission.admit(Ticket, Request.Service, Request.Version,
                                      Request.Deadline, Now);
  publishLoad();
  if (Action.has_error()) {
    releaseKey(Request);
    Handler(refusalFor(Action.error()));
  } else if (Action.value() == state::admission_action::Queued) {
    WaitingRequests.emplace(
        Ticket, waiting_request{std::move(Request), std::move(Handler)});
  } else {
    gate_decision Decision;
    beginRun(Ticket, Request, Decision);
    Handler(std::move(Decision));
  }
  return Ticket;
}

std::optional<gate_decision>
upstream_gate::lookUpKey(const gate_request &Request) {
  if (Request.Key.empty())
    return std::nullopt;
  const state::time_point Now = boot_clock::now();
  if (Request.KeyRepeated) {
    const auto Repeated =
        Keys.beginRepeated(Request.Key, Request.Fingerprint, Now);
    if (Repeated.has_error())
      return refusal(503, OutcomeNotRun, "key-table-full",
                     Repeated.error().text());
  }
  const auto Found = Keys.begin(Request.Key, Request.Fingerprint, Now);
  if (Found.has_error()) {
    if (Found.error().is(state::errc::Conflict))
      return refusal(422, OutcomeNotRun, "key-reused", Found.error().text());
    return refusal(503, OutcomeNotRun, "key-table-full", Found.error().text());
  }
  switch (Found.value().State) {
  case state::key_state::New:
    return std::nullopt;
  case state::key_state::Done: {
    gate_decision Decision;
    Decision.Kind = gate_decision::kind::Replay;
    Decision.Response = Found.value().Response;
    return Decision;
  }
  // The first request with the key may have taken effect, so the outcome must
  // not be "not run".
  case state::key_state::InProgress:
    return refusal(409, OutcomeUnknown, "in-progress",
                   "a request with this idempotency key is in progress");
  case state::key_state::Unknown:
    break;
  }
  return refusal(409, OutcomeUnknown, "key-outcome-unknown",
                 "the outcome of the request with this idempotency key is "
                 "unknown");
}

void upstream_gate::releaseKey(const gate_request &Request) {
  if (!Request.Key.empty())
    Keys.release(Request.Key);
}

void upstream_gate::beginRun(state::ticket Ticket, const gate_request &Request,
                             gate_decision &Decision) {
  const state::time_point Now = boot_clock::now();
  // A queued request is sent to the last address announced as serving, even if
  // the upstream has announced a drain since.
  if (const auto Serving = Admission.serving(Now))
    UpstreamAddress = Serving->Address;
  Decision.Kind = gate_decision::kind::Run;
  Decision.Address = UpstreamAddress;
  RunningRequests.emplace(
      Ticket,
      running_request{Request.Key, Request.Fingerprint, Now, Decision.Address});
}

void upstream_gate::release(
    const std::vector<state::admission_release> &Releases) {
  for (const state::admission_release &Release : Releases) {
    const auto Found = WaitingRequests.find(Release.Ticket);
    if (Found == WaitingRequests.end())
      continue;
    waiting_request Wait = std::move(Found->second);
    WaitingRequests.erase(Found);
    gate_decision Decision;
    if (Release.Refusal) {
      releaseKey(Wait.Request);
      Decision = refusalFor(*Release.Refusal);
    } else {
      beginRun(Release.Ticket, Wait.Request, Decision);
    }
    Wait.Handler(std::move(Decision));
  }
}

bool upstream_gate::cancelWaiting(state::ticket Ticket) {
  const auto Found = WaitingRequests.find(Ticket);
  if (Found == WaitingRequests.end())
    return false;
  releaseKey(Found->second.Request);
  WaitingRequests.erase(Found);
  Admission.cancel(Ticket);
  publishLoad();
  return true;
}

void upstream_gate::finish(state::ticket Ticket) {
  const auto Found = RunningRequests.find(Ticket);
  if (Found == RunningRequests.end())
    return;
  const state::time_point Now = boot_clock::now();
  const auto RunTime = std::chrono::duration_cast<state::milliseconds>(
      Now - Found->second.Started);
  RunningRequests.erase(Found);
  CrashedTickets.erase(Ticket);
  release(Admission.finish(Ticket, RunTime, Now));
  publishLoad();
}

void upstream_gate::finishWithResponse(state::ticket Ticket,
                                       state::stored_response Response) {
  const auto Found = RunningRequests.find(Ticket);
  if (Found != RunningRequests.end() && !Found->second.Key.empty())
    Keys.complete(Found->second.Key, std::move(Response), boot_clock::now());
  finish(Ticket);
}

void upstream_gate::finishNotRun(state::ticket Ticket) {
  const auto Found = RunningRequests.find(Ticket);
  if (Found != RunningRequests.end() && !Found->second.Key.empty())
    Keys.release(Found->second.Key);
  finish(Ticket);
}

void upstream_gate::finishUnknown(state::ticket Ticket) {
  const auto Found = RunningRequests.find(Ticket);
  if (Found != RunningRequests.end() && !Found->second.Key.empty())
    Keys.markUnknown(Found->second.Key, boot_clock::now());
  finish(Ticket);
}

//-----------------------------------------------------------------------------
// Crash detection
//-----------------------------------------------------------------------------

void upstream_gate::finishConnectionClosed(
    state::ticket Ticket, std::function<void(crash_probe_result)> Handler) {
  const auto Found = RunningRequests.find(Ticket);
  if (Found == RunningRequests.end())
    return Handler({});
  if (CrashedTickets.contains(Ticket)) {
    // The crash was already detected through another request.
    finishUnknown(Ticket);
    return Handler({true, LastCrashAlone});
  }
  const std::string Address = Found->second.Address;
  if (!Probe)
    for (const auto &[Running, Run] : RunningRequests)
      Suspects.emplace(Running, Run.Fingerprint);
  Suspects.emplace(Ticket, Found->second.Fingerprint);
  ProbeWaiters.push_back(std::move(Handler));
  finishUnknown(Ticket);
  if (!Probe)
    probe(Address);
}

void upstream_gate::probe(const std::string &Address) {
  Probe = std::make_unique<asio::ip::tcp::socket>(Context);
  const auto Endpoint = parseEndpoint(Address);
  if (Endpoint.has_error())
    return onProbe(false);
  ProbeTimer.expires_after(ProbeTimeout);
  ProbeTimer.async_wait([this](const error_code &Error) {
    error_code Ignored;
    if (!Error && Probe)
      Probe->close(Ignored);
  });
  Probe->async_connect(Endpoint.value(), [this](const error_code &Error) {
    ProbeTimer.cancel();
    onProbe(Error == asio::error::connection_refused);
  });
}

void upstream_gate::onProbe(bool Refused) {
  Probe.reset();
  const auto Waiters = std::exchange(ProbeWaiters, {});
  const auto InFlight = std::exchange(Suspects, {});
  const bool Alone = InFlight.size() == 1;
  if (Refused) {
    std::vector<state::crash_sighting> Sightings;
    Sightings.reserve(InFlight.size());
    for (const auto &[Ticket, Fingerprint] : InFlight)
      Sightings.push_back({Fingerprint, Options.Instance, Incarnation,
                           static_cast<std::uint32_t>(InFlight.size())});
    Incarnation = std::max(Incarnation + 1, unixMilliseconds());
    CrashedTickets.clear();
    for (const auto &[Ticket, Run] : RunningRequests)
      if (InFlight.contains(Ticket))
        CrashedTickets.insert(Ticket);
    LastCrashAlone = Alone;
    if (Options.Metrics != nullptr)
      Options.Metrics->recordUpstreamCrash();
    if (Options.OnCrash)
      Options.OnCrash(std::move(Sightings));
  }
  for (const auto &Waiter : Waiters)
    Waiter({Refused, Refused && Alone});
}

//-----------------------------------------------------------------------------
// Load
//-----------------------------------------------------------------------------

void upstream_gate::publishLoad() {
  SlotsUsed = Admission.running();
  Slots = Admission.slots();
  Queued = Admission.queued();
  if (Options.Metrics != nullptr)
    Options.Metrics->setAdmission(SlotsUsed, Queued, Slots);
}

std::string upstream_gate::formatLoad() const {
  return std::to_string(SlotsUsed) + "/" + std::to_string(Slots) + "/" +
         std::to_string(Queued);
}

} // namespace hyssopledge::transport
