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

// Waiting requests are looked at this often for passed deadlines.
constexpr milliseconds ExpiryInterval{20};
// An upstream answers at its deadline by itself; its answer needs this long.
constexpr milliseconds AnswerSlack{40};
// The upstream is on the same instance, so a refusal comes at once.
constexpr milliseconds ProbeTimeout{300};
// Pause between probes of an upstream that does not accept connections.
constexpr milliseconds ProbeInterval{400};
// Attempts to connect that must fail in a row before the upstream counts as
// gone: a full accept queue drops single ones.
constexpr unsigned ConnectFailuresToStop = 3;
// Run time that is expected of a route without figures, as part of its aim.
constexpr int GuessPartOfAim = 3;
constexpr milliseconds DefaultGuess{50};

milliseconds sinceStart(state::time_point Started) {
  return std::chrono::duration_cast<milliseconds>(boot_clock::now() - Started);
}

} // namespace

class upstream_client::exchange final : public upstream_exchange {
public:
  exchange(upstream_client &Port, std::uint64_t Ticket, hop_call Call,
           http_request Request, handler Handler)
      : Port(Port), Ticket(Ticket), Call(std::move(Call)),
        Request(std::move(Request)), Handler(std::move(Handler)) {
    const state::time_point Now = boot_clock::now();
    Deadline = Now + this->Call.TimeLeft;
    SloDeadline = Now + this->Call.AimLeft;
    Id = std::string(Port.Dialect.parseCall(this->Request).Id);
    const auto Method = this->Request.method_string();
    const auto Path = this->Request.target();
    Fingerprint = state::requestFingerprint({Method.data(), Method.size()},
                                            {Path.data(), Path.size()},
                                            this->Request.body());
  }

  void cancel() override {
    Handler = nullptr;
    if (Sending)
      return Sending->cancel();
    if (Port.Queue.cancel(Ticket))
      Port.Exchanges.erase(Ticket);
  }

  void refuse(const char *Reason) { finish(Port.refusal(Reason)); }

  void send(const std::shared_ptr<exchange> &Self) {
    Started = boot_clock::now();
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Deadline - Started);
    removeConnectionFields(Request);
    Request.version(11);
    Port.Dialect.setCallFields(Request,
                               {std::max(Left, milliseconds(1)),
                                Port.Upstream.Name, Call.CallerService});
    Request.prepare_payload();
    send_options Options;
    Options.Accept = [Self](const http_response &Response) {
      return Self->Port.Dialect.parseResponse(Response, Self->Id)
          .MatchesRequest;
    };
    Sending = Port.Pool.send(
        Port.Options.Address, std::move(Request), Deadline + AnswerSlack,
        [Self](exchange_result Result) { Self->onEnd(std::move(Result)); },
        std::move(Options));
  }

  std::uint64_t fingerprint() const { return Fingerprint; }
  bool sent() const { return Sending != nullptr; }

  upstream_client &Port;
  const std::uint64_t Ticket;
  hop_call Call;
  state::time_point Deadline{};
  state::time_point SloDeadline{};

private:
  void onEnd(exchange_result Result) {
    Sending = nullptr;
    const milliseconds RunTime = sinceStart(Started);
    const std::string Route = Call.Route;
    hop_answer Answer;
    milliseconds Counted{0};
    if (Result.Outcome == exchange_outcome::Complete) {
      Port.ConnectFailures = 0;
      Port.setAnswering(true);
      classify(std::move(Result.Response), Answer, RunTime);
      if (Answer.Outcome == hop_outcome::Ran)
        Counted = std::max(RunTime, milliseconds(1));
    } else if (Result.Outcome == exchange_outcome::NotSent) {
      Answer = Port.refusal(Result.Cause == exchange_cause::Timeout
                                ? "deadline"
                                : "upstream-down");
      if (Result.Cause == exchange_cause::Connect &&
          ++Port.ConnectFailures >= ConnectFailuresToStop)
        Port.setAnswering(false);
      if (Result.Cause == exchange_cause::Connect)
        Port.probe();
    } else {
      Answer.Outcome = hop_outcome::Unknown;
      Answer.Reason = Result.Cause == exchange_cause::Timeout ? "timeout"
                      : Result.Cause == exchange_cause::Cut   ? "upstream-cut"
                                                              : "bad-answer";
      if (Result.Cause == exchange_cause::Cut)
        Port.onCut(Fingerprint);
      if (Result.Cause == exchange_cause::BadAnswer)
        Port.count(Route, true, RunTime);
      if (Result.Cause == exchange_cause::BadAnswer ||
          Result.Cause == exchange_cause::Cut)
        Port.Failures.record(true, boot_clock::now());
    }
    // The slot is given on before the answer, so that the load is current.
    Port.Exchanges.erase(Ticket);
    Port.leave(Ticket, Counted);
    Answer.Load = Port.load();
    if (const handler Call = std::exchange(Handler, nullptr))
      Call(std::move(Answer));
  }

  void classify(http_response Response, hop_answer &Answer,
                milliseconds RunTime) {
    const response_metadata Facts = Port.Dialect.parseResponse(Response, Id);
    const unsigned Status = Response.result_int();
    if (Facts.NotRun || Status == 421) {
      Answer.Outcome = hop_outcome::NotRun;
      Answer.Arrived = true;
      Answer.Reason = Status == 421 ? "replaced" : "shed";
    } else if (Status < 300 && !Facts.Signed) {
      Answer.Outcome = hop_outcome::Unknown;
      Answer.Reason = "bad-answer";
      Port.count(Call.Route, true, RunTime);
      Port.Failures.record(true, boot_clock::now());
      return;
    } else {
      Answer.Outcome = hop_outcome::Ran;
      // The deadline was the caller's; it says nothing of the upstream.
      if (Status != 504) {
        Port.count(Call.Route, Status >= 500, RunTime);
        Port.Failures.record(Status >= 500, boot_clock::now());
      }
      if (Status < 500 && Port.AnySighting)
        Port.Poison.addSuccess(Fingerprint);
    }
    removeConnectionFields(Response);
    Answer.Response = std::move(Response);
  }

  void finish(hop_answer Answer) {
    const handler Call = std::exchange(Handler, nullptr);
    Port.Exchanges.erase(Ticket);
    if (Call)
      Call(std::move(Answer));
  }

  http_request Request;
  handler Handler;
  std::string Id;
  std::uint64_t Fingerprint = 0;
  state::time_point Started{};
  std::shared_ptr<client_exchange> Sending;
};

upstream_client::upstream_client(asio::io_context &Context,
                                 const call_dialect &Dialect,
                                 upstream_client_options Options,
                                 upstream_client_hooks Hooks)
    : Context(Context), Dialect(Dialect), Options(std::move(Options)),
      Hooks(std::move(Hooks)), Pool(Context, this->Options.Pool),
      Expiry(Context), ProbeTimer(Context) {}

upstream_client::~upstream_client() = default;

void upstream_client::setUpstream(const coordination::upstream_record &Record) {
  const bool WasServing = Upstream.State == upstream_state::Serving;
  const bool Replaced = Upstream.Name != Record.Name;
  Upstream = Record;
  if (Replaced)
    Pool.closeIdle(Options.Address);
  if (Record.State == upstream_state::Serving)
    DrainedAt = {};
  else if (WasServing || Replaced)
    DrainedAt = boot_clock::now();
  Queue.setSlots(Record.Slots);
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
  return Load;
}

double upstream_client::repeatShare() const {
  if (Queue.running() == 0)
    return 0;
  std::size_t Repeats = 0;
  for (const auto &[Ticket, Exchange] : Exchanges)
    Repeats += Exchange->sent() && Exchange->Call.Repeat ? 1 : 0;
  return static_cast<double>(Repeats) / Queue.running();
}

hop_answer upstream_client::refusal(const char *Reason) const {
  hop_answer Answer;
  Answer.Outcome = hop_outcome::NotRun;
  Answer.Reason = Reason;
  Answer.Load = load();
  return Answer;
}

/// Why the upstream may not get the request now, or null.
const char *upstream_client::whyNot(const hop_call &Call) const {
  if (Closed)
    return "leaving";
  if (Upstream.State == upstream_state::None)
    return "no-upstream";
  if (Call.Upstream != Upstream.Name)
    return "replaced";
  if (!Upstream.Answering)
    return "upstream-down";
  if (Upstream.State != upstream_state::Serving &&
      boot_clock::now() - DrainedAt >= Options.DrainGracePeriod)
    return "draining";
  return nullptr;
}

std::shared_ptr<upstream_exchange>
upstream_client::run(hop_call Call, http_request Request, handler Handler) {
  if (const char *Reason = whyNot(Call)) {
    Handler(refusal(Reason));
    return nullptr;
  }
  const std::uint64_t Ticket = ++LastTicket;
  auto Exchange = std::make_shared<exchange>(
      *this, Ticket, std::move(Call), std::move(Request), std::move(Handler));
  const state::time_point Now = boot_clock::now();
  if (AnySighting && Poison.isPoison(Exchange->fingerprint(), Now)) {
    Exchange->refuse("poison");
    return nullptr;
  }
  const hop_call &Kept = Exchange->Call;
  state::slot_request Slot;
  Slot.Ticket = Ticket;
  Slot.Route = Kept.Route;
  Slot.MayMissSlo = Kept.MayMissSlo;
  Slot.Priority = Kept.Priority;
  Slot.DefaultRunTime =
      Kept.AimLeft.count() > 0 ? Kept.AimLeft / GuessPartOfAim : DefaultGuess;
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
    armExpiry();
  return Exchange;
}

void upstream_client::start(std::uint64_t Ticket) {
  const auto Found = Exchanges.find(Ticket);
  if (Found == Exchanges.end())
    return;
  const auto Exchange = Found->second;
  // The upstream may have been replaced or drained since the request came.
  const bool WasClosed = std::exchange(Closed, false);
  const char *Reason = whyNot(Exchange->Call);
  Closed = WasClosed;
  if (Reason != nullptr) {
    Exchange->refuse(Reason);
    return leave(Ticket, milliseconds(0));
  }
  Exchange->send(Exchange);
}

void upstream_client::leave(std::uint64_t Ticket, milliseconds RunTime) {
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

void upstream_client::armExpiry() {
  if (ExpiryArmed)
    return;
  ExpiryArmed = true;
  Expiry.expires_after(ExpiryInterval);
  Expiry.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    ExpiryArmed = false;
    release(Queue.expire(boot_clock::now()));
    if (Queue.waiting() > 0)
      armExpiry();
  });
}

//-----------------------------------------------------------------------------
// Crashes
//-----------------------------------------------------------------------------

void upstream_client::addSightings(
    const std::vector<state::crash_sighting> &Sightings) {
  AnySighting = true;
  for (const state::crash_sighting &Sighting : Sightings)
    Poison.addSighting(Sighting, boot_clock::now());
}

void upstream_client::onCut(std::uint64_t Fingerprint) {
  constexpr std::size_t MaxCut = 64; // more than an upstream has slots
  if (Cut.size() < MaxCut)
    Cut.push_back(Fingerprint);
  probe();
}

/// Finds out whether the upstream still accepts connections; a server that cuts
/// one connection does not count as crashed.
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
    const auto Suspects = std::exchange(Cut, {});
    if (!Error) {
      ConnectFailures = 0;
      return setAnswering(true);
    }
    const bool WasAnswering = Upstream.Answering;
    setAnswering(false);
    if (WasAnswering && !Suspects.empty() && Hooks.OnCrash) {
      std::vector<state::crash_sighting> Sightings;
      Sightings.reserve(Suspects.size());
      for (const std::uint64_t Fingerprint : Suspects)
        Sightings.push_back({Fingerprint, Upstream.Name, Upstream.StartUnixMs,
                             static_cast<std::uint32_t>(Suspects.size())});
      Hooks.OnCrash(Sightings);
    }
    ProbeTimer.expires_after(ProbeInterval);
    ProbeTimer.async_wait([this](const error_code &Stopped) {
      if (!Stopped && !Upstream.Answering)
        probe();
    });
  });
}

void upstream_client::setAnswering(bool Answering) {
  if (Upstream.Answering == Answering)
    return;
  Upstream.Answering = Answering;
  if (!Answering)
    Pool.closeIdle(Options.Address);
  if (Hooks.OnAnsweringChanged)
    Hooks.OnAnsweringChanged(Answering);
}

//-----------------------------------------------------------------------------
// Evidence
//-----------------------------------------------------------------------------

void upstream_client::setCountedOrder(std::uint64_t Order) {
  if (CountedOrder == Order)
    return;
  CountedOrder = Order;
  Counts.clear();
}

void upstream_client::count(const std::string &Route, bool Failed,
                            milliseconds Time) {
  if (CountedOrder == 0)
    return;
  coordination::run_count &Count = Counts[Route];
  ++Count.Runs;
  if (Failed)
    ++Count.Failures;
  else
    Count.TotalMs += static_cast<std::uint64_t>(Time.count());
}

} // namespace hyssopledge::transport
