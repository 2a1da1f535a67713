#include "hyssopledge/transport/upstream_client.h"

#include <algorithm>
#include <utility>

namespace hyssopledge::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using coordination::upstream_state;
using state::boot_clock;
using state::milliseconds;

namespace {

// Interval at which queued requests are checked for expired deadlines.
constexpr milliseconds ExpiryInterval{20};
// Time after the deadline for the upstream's own timeout response to arrive.
constexpr milliseconds ResponseGracePeriod{40};
// Short, because the upstream is on the same instance and a refusal of the
// connection arrives at once.
constexpr milliseconds ProbeTimeout{300};
// Interval between probes of an upstream that does not accept connections.
constexpr milliseconds ProbeInterval{400};
// Consecutive connection failures after which the upstream counts as down. More
// than one, because a full accept queue drops single connections.
constexpr unsigned MaxConnectFailures = 3;
// The expected run time of a route without measurements is its remaining
// latency objective divided by this.
constexpr int SloRunTimeDivisor = 3;
// Crashed requests that are remembered; more than the slots of an upstream.
constexpr std::size_t MaxFingerprints = 64;
// Length of poison(), which is part of the daemon's record.
constexpr std::size_t MaxOwnPoison = 16;
// Expected run time when the objective is missed already.
constexpr milliseconds FallbackRunTime{50};

state::slot_request slotRequest(const hop_call &Call, state::time_point Now) {
  state::slot_request Slot;
  Slot.Route = Call.Route;
  Slot.MayMissSlo = Call.MayMissSlo;
  Slot.Priority = Call.Priority;
  Slot.DefaultRunTime = Call.SloTimeLeft.count() > 0
                            ? Call.SloTimeLeft / SloRunTimeDivisor
                            : FallbackRunTime;
  Slot.SloDeadline = Now + Call.SloTimeLeft;
  Slot.Deadline = Now + Call.TimeLeft;
  return Slot;
}

milliseconds elapsedSince(state::time_point Started) {
  return std::chrono::duration_cast<milliseconds>(boot_clock::now() - Started);
}

} // namespace

class upstream_client::exchange final : public upstream_exchange {
public:
  exchange(upstream_client &Client, std::uint64_t Ticket, hop_call Call,
           outgoing_request NewRequest, handler Handler,
           disconnect_check CallerDisconnected)
      : Client(Client), Ticket(Ticket), Call(std::move(Call)),
        Request(std::move(NewRequest.Head)), Body(std::move(NewRequest.Body)),
        Handler(std::move(Handler)),
        CallerDisconnected(std::move(CallerDisconnected)) {
    const state::time_point Now = boot_clock::now();
    Deadline = Now + this->Call.TimeLeft;
    SloDeadline = Now + this->Call.SloTimeLeft;
    Id = std::string(Client.Dialect.parseCall(this->Request).Id);
    const auto Method = this->Request.method_string();
    const auto Path = this->Request.target();
    Fingerprint = state::requestFingerprint({Method.data(), Method.size()},
                                            {Path.data(), Path.size()}, *Body);
  }

  void cancel() override {
    Handler = nullptr;
    if (OutboundExchange)
      return OutboundExchange->cancel();
    if (Client.Queue.cancel(Ticket))
      Client.Exchanges.erase(Ticket);
  }

  void refuse(const char *Reason) { finish(Client.refusal(Reason)); }

  void send(const std::shared_ptr<exchange> &Self) {
    Started = boot_clock::now();
    UsualRunTime = Client.Queue.meanRunTime(Call.Route, milliseconds(0));
    const auto TimeLeft =
        std::chrono::duration_cast<milliseconds>(Deadline - Started);
    removeConnectionFields(Request);
    Request.version(11);
    Client.Dialect.setCallFields(Request, {std::max(TimeLeft, milliseconds(1)),
                                           Client.Upstream.Name,
                                           Call.CallerService, Call.Workspace});
    send_options Options;
    Options.AcceptResponse = [Self](const http_response &Response) {
      return Self->Client.Dialect.parseResponse(Response, Self->Id)
          .MatchesRequest;
    };
    OutboundExchange = Client.Pool.send(
        Client.Options.Address, {std::move(Request), std::move(Body)},
        Deadline + ResponseGracePeriod,
        [Self](exchange_result Result) {
          Self->onExchangeEnd(std::move(Result));
        },
        std::move(Options));
  }

  /// Drops the request if its caller has disconnected.
  bool dropIfDisconnected() {
    if (!CallerDisconnected || !CallerDisconnected())
      return false;
    Handler = nullptr;
    Client.Exchanges.erase(Ticket);
    return true;
  }

  std::uint64_t fingerprint() const { return Fingerprint; }
  bool sent() const { return OutboundExchange != nullptr; }

  upstream_client &Client;
  const std::uint64_t Ticket;
  hop_call Call;
  state::time_point Deadline{};
  state::time_point SloDeadline{};

private:
  void onExchangeEnd(exchange_result Result) {
    OutboundExchange = nullptr;
    const milliseconds RunTime = elapsedSince(Started);
    const std::string Route = Call.Route;
    hop_answer Answer;
    milliseconds CountedRunTime{0};
    if (Result.Outcome == exchange_outcome::Complete) {
      Client.ConnectFailures = 0;
      Client.setAcceptsConnections(true);
      classify(std::move(Result.Response), Answer, RunTime);
      if (Answer.Outcome == hop_outcome::Ran)
        CountedRunTime = std::max(RunTime, milliseconds(1));
    } else if (Result.Outcome == exchange_outcome::NotSent) {
      Answer = Client.refusal(Result.Error == exchange_error::Timeout
                                  ? "deadline"
                                  : "upstream-down");
      if (Result.Error == exchange_error::ConnectFailed &&
          ++Client.ConnectFailures >= MaxConnectFailures)
        Client.setAcceptsConnections(false);
      if (Result.Error == exchange_error::ConnectFailed)
        Client.probe();
    } else {
      Answer.Outcome = hop_outcome::Unknown;
      Answer.Reason =
          Result.Error == exchange_error::Timeout            ? "timeout"
          : Result.Error == exchange_error::ConnectionClosed ? "upstream-cut"
          : Result.Error == exchange_error::OverBudget       ? "memory"
                                                             : "bad-answer";
      if (Result.Error == exchange_error::ConnectionClosed)
        Client.onConnectionClosed(Fingerprint);
      if (Result.Error == exchange_error::Timeout ||
          Result.Error == exchange_error::Cancelled)
        countUnfinished(RunTime);
      if (Result.Error == exchange_error::InvalidResponse)
        Client.countRun(Route, true, RunTime);
      if (Result.Error == exchange_error::InvalidResponse ||
          Result.Error == exchange_error::ConnectionClosed)
        Client.Failures.record(true, boot_clock::now());
    }
    // Releases the slot first, so that the response reports the current load.
    Client.Exchanges.erase(Ticket);
    Client.finishRun(Ticket, CountedRunTime);
    Answer.Load = Client.load();
    if (const handler Callback = std::exchange(Handler, nullptr))
      Callback(std::move(Answer));
  }

  void classify(http_response Response, hop_answer &Answer,
                milliseconds RunTime) {
    const response_metadata Metadata =
        Client.Dialect.parseResponse(Response, Id);
    const unsigned Status = Response.result_int();
    if (Status != 421) { // sent by another upstream at the address
      Client.HasResponded = true;
      Client.setRequestLimit(Metadata.RequestLimit);
      if (Metadata.WorkPercent)
        Client.Queue.recordWorkPercent(*Metadata.WorkPercent,
                                       boot_clock::now());
      if (Metadata.Leaving)
        Client.startDrain();
    }
    if (Metadata.NotRun || Status == 421) {
      Answer.Outcome = hop_outcome::NotRun;
      Answer.RejectedByUpstream = true;
      Answer.Reason = Status == 421 ? "replaced" : "shed";
    } else if (Status < 300 && !Metadata.Signed) {
      Answer.Outcome = hop_outcome::Unknown;
      Answer.Reason = "bad-answer";
      Client.countRun(Call.Route, true, RunTime);
      Client.Failures.record(true, boot_clock::now());
      return;
    } else {
      Answer.Outcome = hop_outcome::Ran;
      // The deadline is the caller's, so a timeout is not a failure of the
      // upstream.
      if (Status == 504) {
        countUnfinished(RunTime);
      } else {
        Client.countRun(Call.Route, Status >= 500, RunTime);
        Client.Failures.record(Status >= 500, boot_clock::now());
      }
      if (Status < 500 && Client.HasSightings) {
        Client.Poison.addSuccess(Fingerprint);
        Client.updateOwnPoison();
      }
    }
    removeConnectionFields(Response);
    Answer.Response = std::move(Response);
  }

  /// A run that was ended before its usual time says nothing about its version.
  void countUnfinished(milliseconds RunTime) {
    if (RunTime > UsualRunTime)
      Client.countUnfinishedRun(Call.Route, RunTime);
  }

  void finish(hop_answer Answer) {
    const handler Callback = std::exchange(Handler, nullptr);
    Client.Exchanges.erase(Ticket);
    if (Callback)
      Callback(std::move(Answer));
  }

  http_request Request; // without its body
  shared_body Body;
  handler Handler;
  disconnect_check CallerDisconnected;
  std::string Id;
  std::uint64_t Fingerprint = 0;
  state::time_point Started{};
  milliseconds UsualRunTime{0}; // of the route, at the start
  std::shared_ptr<client_exchange> OutboundExchange;
};

upstream_client::upstream_client(asio::io_context &Context,
                                 const call_dialect &Dialect,
                                 upstream_client_options Options,
                                 upstream_client_hooks Hooks)
    : Context(Context), Dialect(Dialect), Options(std::move(Options)),
      Hooks(std::move(Hooks)), Pool(Context, this->Options.Pool),
      ExpiryTimer(Context), ProbeTimer(Context) {}

upstream_client::~upstream_client() = default;

void upstream_client::setUpstream(const coordination::upstream_record &Record) {
  const bool WasServing = Upstream.State == upstream_state::Serving;
  const bool Replaced = Upstream.Name != Record.Name ||
                        Upstream.StartUnixMs != Record.StartUnixMs;
  Upstream = Record;
  if (Replaced) {
    HasResponded = false;
    Pool.closeIdleConnections(Options.Address);
  }
  if (Record.State == upstream_state::Serving)
    DrainStartedAt = {};
  else if (WasServing || Replaced)
    DrainStartedAt = boot_clock::now();
  Queue.setSlots(Record.Slots);
  applyRateLimit(boot_clock::now());
  release(Queue.expire(boot_clock::now()));
}

state::load_report upstream_client::load() const {
  const state::time_point Now = boot_clock::now();
  state::load_report Load;
  Load.Running = Queue.running();
  Load.Waiting = Queue.waiting();
  Load.Slots = Queue.slots();
  Load.ExpectedWait = std::min(Queue.expectedWait(Now), milliseconds(60'000));
  Load.SlowdownPercent = static_cast<std::uint32_t>(100 * Queue.slowdown(Now));
  Load.FailurePercent = static_cast<std::uint32_t>(100 * Failures.at(Now));
  Load.WorkPercent = static_cast<std::uint32_t>(100 * Queue.workFactor(Now));
  return Load;
}

double upstream_client::retryShare() const {
  if (Queue.running() == 0)
    return 0;
  std::size_t Retries = 0;
  for (const auto &[Ticket, Exchange] : Exchanges)
    Retries += Exchange->sent() && Exchange->Call.IsRetry ? 1 : 0;
  return static_cast<double>(Retries) / Queue.running();
}

hop_answer upstream_client::refusal(const char *Reason) const {
  hop_answer Answer;
  Answer.Outcome = hop_outcome::NotRun;
  Answer.Reason = Reason;
  Answer.Load = load();
  return Answer;
}

const char *upstream_client::refusalReason(const hop_call &Call) const {
  if (RefusesNewCalls)
    return "leaving";
  if (Upstream.State == upstream_state::None)
    return "no-upstream";
  if (Call.Upstream != Upstream.Name)
    return "replaced";
  if (!Upstream.AcceptsConnections)
    return "upstream-down";
  if (Upstream.State != upstream_state::Serving &&
      boot_clock::now() - DrainStartedAt >= Options.DrainGracePeriod)
    return "draining";
  if (EvacuatedAt &&
      boot_clock::now() - *EvacuatedAt >= Options.DrainGracePeriod)
    return "evacuated";
  return nullptr;
}

queue_preview upstream_client::preview(const hop_call &Call) const {
  queue_preview Preview;
  if (const char *Reason = refusalReason(Call)) {
    Preview.Refusal = refusal(Reason);
    return Preview;
  }
  const state::time_point Now = boot_clock::now();
  const state::slot_request Slot = slotRequest(Call, Now);
  const state::slot_decision Decision = Queue.preview(Slot, Now);
  if (Decision.Action == state::slot_action::Refuse)
    Preview.Refusal = refusal(Decision.Reason);
  Preview.ExpectedTime = Decision.ExpectedWait +
                         Queue.meanRunTime(Call.Route, Slot.DefaultRunTime);
  return Preview;
}

std::shared_ptr<upstream_exchange>
upstream_client::run(hop_call Call, outgoing_request Request, handler Handler,
                     disconnect_check CallerDisconnected) {
  if (const char *Reason = refusalReason(Call)) {
    Handler(refusal(Reason));
    return nullptr;
  }
  const std::uint64_t Ticket = ++LastTicket;
  auto Exchange = std::make_shared<exchange>(
      *this, Ticket, std::move(Call), std::move(Request), std::move(Handler),
      std::move(CallerDisconnected));
  const state::time_point Now = boot_clock::now();
  applyRateLimit(Now);
  if (HasSightings && Poison.isPoison(Exchange->fingerprint(), Now)) {
    Exchange->refuse("poison");
    return nullptr;
  }
  state::slot_request Slot = slotRequest(Exchange->Call, Now);
  Slot.Ticket = Ticket;
  Slot.SloDeadline = Exchange->SloDeadline;
  Slot.Deadline = Exchange->Deadline;
  const state::slot_decision Decision = Queue.admit(Slot, Now);
  if (Decision.Action == state::slot_action::Refuse) {
    Exchange->refuse(Decision.Reason);
    return nullptr;
  }
  Exchanges.emplace(Ticket, Exchange);
  if (Decision.Action == state::slot_action::Run)
    start(Ticket);
  else
    armExpiryTimer();
  return Exchange;
}

void upstream_client::start(std::uint64_t Ticket) {
  const auto Found = Exchanges.find(Ticket);
  if (Found == Exchanges.end())
    return;
  const auto Exchange = Found->second;
  // The upstream may have been replaced or drained while the request was
  // queued. Requests queued before a shutdown are still run.
  const bool WasRefusing = std::exchange(RefusesNewCalls, false);
  const char *Reason = refusalReason(Exchange->Call);
  RefusesNewCalls = WasRefusing;
  if (Reason != nullptr) {
    Exchange->refuse(Reason);
    return finishRun(Ticket, milliseconds(0));
  }
  if (Exchange->dropIfDisconnected())
    return finishRun(Ticket, milliseconds(0));
  Exchange->send(Exchange);
}

void upstream_client::finishRun(std::uint64_t Ticket, milliseconds RunTime) {
  release(Queue.finish(Ticket, RunTime, boot_clock::now()));
}

void upstream_client::release(
    const std::vector<state::queue_release> &Releases) {
  for (const state::queue_release &Release : Releases) {
    if (Release.Run) {
      start(Release.Ticket);
      continue;
    }
    const auto Found = Exchanges.find(Release.Ticket);
    if (Found != Exchanges.end()) {
      const auto Exchange = Found->second;
      Exchange->refuse(Release.Reason);
    }
  }
}

void upstream_client::armExpiryTimer() {
  if (ExpiryTimerArmed)
    return;
  ExpiryTimerArmed = true;
  ExpiryTimer.expires_after(ExpiryInterval);
  ExpiryTimer.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    ExpiryTimerArmed = false;
    const state::time_point Now = boot_clock::now();
    applyRateLimit(Now);
    release(Queue.expire(Now));
    if (Queue.waiting() > 0)
      armExpiryTimer();
  });
}

//-----------------------------------------------------------------------------
// Crashes
//-----------------------------------------------------------------------------

void upstream_client::addSightings(
    const std::vector<state::crash_sighting> &Sightings) {
  HasSightings = true;
  for (const state::crash_sighting &Sighting : Sightings)
    Poison.addSighting(Sighting, boot_clock::now());
  updateOwnPoison();
}

void upstream_client::condemn(const std::vector<std::uint64_t> &Fingerprints,
                              bool Own) {
  HasSightings = true;
  for (const std::uint64_t Fingerprint : Fingerprints) {
    Poison.condemn(Fingerprint, boot_clock::now());
    if (Own)
      addOwnCrash(Fingerprint);
  }
  updateOwnPoison();
}

void upstream_client::addOwnCrash(std::uint64_t Fingerprint) {
  if (std::count(OwnCrashes.begin(), OwnCrashes.end(), Fingerprint) > 0)
    return;
  OwnCrashes.push_back(Fingerprint);
  if (OwnCrashes.size() > MaxFingerprints)
    OwnCrashes.pop_front();
}

void upstream_client::updateOwnPoison() {
  const state::time_point Now = boot_clock::now();
  std::vector<std::uint64_t> Condemned;
  for (auto It = OwnCrashes.rbegin();
       It != OwnCrashes.rend() && Condemned.size() < MaxOwnPoison; ++It)
    if (Poison.isPoison(*It, Now))
      Condemned.push_back(*It);
  if (std::exchange(OwnPoison, Condemned) != Condemned && Hooks.OnPoisonChanged)
    Hooks.OnPoisonChanged();
}

void upstream_client::expirePoison() {
  Poison.expire(boot_clock::now());
  updateOwnPoison();
}

void upstream_client::onConnectionClosed(std::uint64_t Fingerprint) {
  if (SuspectFingerprints.size() < MaxFingerprints)
    SuspectFingerprints.push_back(Fingerprint);
  probe();
}

/// Checks whether the upstream still accepts connections: a server that closes
/// a single connection has not crashed.
void upstream_client::probe() {
  if (Probe)
    return;
  const auto Endpoint = parseEndpoint(Options.Address);
  if (Endpoint.has_error())
    return;
  Probe = std::make_unique<asio::ip::tcp::socket>(Context);
  ProbeTimer.expires_after(ProbeTimeout);
  ProbeTimer.async_wait([this](const error_code &Error) {
    error_code Ignored;
    if (!Error && Probe)
      Probe->close(Ignored);
  });
  Probe->async_connect(Endpoint.value(), [this](const error_code &Error) {
    ProbeTimer.cancel();
    Probe.reset();
    const auto Suspects = std::exchange(SuspectFingerprints, {});
    if (!Error) {
      ConnectFailures = 0;
      return setAcceptsConnections(true);
    }
    const bool AcceptedConnections = Upstream.AcceptsConnections;
    setAcceptsConnections(false);
    if (AcceptedConnections && !Suspects.empty() && Hooks.OnCrash) {
      std::vector<state::crash_sighting> Sightings;
      Sightings.reserve(Suspects.size());
      for (const std::uint64_t Fingerprint : Suspects) {
        addOwnCrash(Fingerprint);
        Sightings.push_back({Fingerprint, Upstream.Name, Upstream.StartUnixMs,
                             static_cast<std::uint32_t>(Suspects.size())});
      }
      Hooks.OnCrash(Sightings);
    }
    ProbeTimer.expires_after(ProbeInterval);
    ProbeTimer.async_wait([this](const error_code &Stopped) {
      if (!Stopped && !Upstream.AcceptsConnections)
        probe();
    });
  });
}

void upstream_client::setAcceptsConnections(bool AcceptsConnections) {
  if (Upstream.AcceptsConnections == AcceptsConnections)
    return;
  Upstream.AcceptsConnections = AcceptsConnections;
  if (!AcceptsConnections)
    Pool.closeIdleConnections(Options.Address);
  else
    assumeCold(); // it may have started again under its name
  if (Hooks.OnAcceptsConnectionsChanged)
    Hooks.OnAcceptsConnectionsChanged(AcceptsConnections);
}

void upstream_client::setRequestLimit(std::optional<double> PerSecond) {
  if (Upstream.RequestLimit == PerSecond)
    return;
  Upstream.RequestLimit = PerSecond;
  applyRateLimit(boot_clock::now());
  if (Hooks.OnRequestLimitChanged)
    Hooks.OnRequestLimitChanged();
}

void upstream_client::applyRateLimit(state::time_point Now) {
  std::optional<double> Limit = Upstream.RequestLimit;
  if (ColdLimit && Now < ColdUntil)
    Limit = std::min(Limit.value_or(*ColdLimit), *ColdLimit);
  if (std::exchange(RateLimit, Limit) != Limit)
    Queue.setRateLimit(Limit, Now);
}

void upstream_client::setColdLimit(std::optional<double> PerSecond,
                                   milliseconds NewColdPeriod) {
  ColdLimit = PerSecond;
  ColdPeriod = NewColdPeriod;
  applyRateLimit(boot_clock::now());
}

void upstream_client::setCold(milliseconds Remaining) {
  ColdUntil = boot_clock::now() + Remaining;
  applyRateLimit(boot_clock::now());
}

void upstream_client::assumeCold() {
  if (!ColdLimit)
    return;
  ColdUntil = std::max(ColdUntil, boot_clock::now() + ColdPeriod);
  applyRateLimit(boot_clock::now());
}

void upstream_client::setEvacuated(bool Evacuated) {
  if (Evacuated == EvacuatedAt.has_value())
    return;
  if (Evacuated) {
    EvacuatedAt = boot_clock::now();
    return;
  }
  EvacuatedAt.reset();
  assumeCold();
}

/// The upstream's own announcement of the drain may come later.
void upstream_client::startDrain() {
  if (Upstream.State != upstream_state::Serving)
    return;
  Upstream.State = upstream_state::Draining;
  DrainStartedAt = boot_clock::now();
  if (Hooks.OnLeaving)
    Hooks.OnLeaving();
}

//-----------------------------------------------------------------------------
// Evidence
//-----------------------------------------------------------------------------

void upstream_client::setCountedOrder(std::uint64_t OrderRevision) {
  if (CountedOrderRevision == OrderRevision)
    return;
  CountedOrderRevision = OrderRevision;
  Counts.clear();
}

void upstream_client::countRun(const std::string &Route, bool Failed,
                               milliseconds RunTime) {
  if (CountedOrderRevision == 0)
    return;
  coordination::run_counts &Count = Counts[Route];
  ++Count.Runs;
  if (Failed)
    ++Count.Failures;
  else
    Count.TotalMs += static_cast<std::uint64_t>(RunTime.count());
}

void upstream_client::countUnfinishedRun(const std::string &Route,
                                         milliseconds RunTime) {
  if (CountedOrderRevision == 0)
    return;
  coordination::run_counts &Count = Counts[Route];
  ++Count.Unfinished;
  Count.UnfinishedMs += static_cast<std::uint64_t>(RunTime.count());
}

} // namespace hyssopledge::transport
