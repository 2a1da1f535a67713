/// \file
/// Simulation of calls through entry and target sides that use the production
/// decision classes, connected by a message queue with seeded delays and
/// faults. Records a call_history for the checkers.
#pragma once

#include "bench/call_model_parts.h"
#include "bench/event_queue.h"

namespace hyssopledge::bench {

class call_model {
public:
  call_model(std::uint64_t Seed, call_ablation Ablation)
      : Engine(Seed), Ablation(Ablation), HomesMayChange(chance(0.5)) {
    buildView();
    for (std::size_t I = 0; I < View.Targets->Targets.size(); ++I) {
      auto Target = std::make_unique<target_side>();
      Target->Index = I;
      Target->Name = targetRecord(I).Instance;
      Targets.push_back(std::move(Target));
    }
    for (std::size_t I = 0; I < 3; ++I) {
      auto Entry = std::make_unique<entry_side>();
      Entry->View = View;
      Entry->Stats.update(*View.Targets);
      Entry->Picker = state::makeTwoChoicePicker(Entry->Stats);
      Entries.push_back(std::move(Entry));
    }
  }

  call_history run() {
    for (auto &Target : Targets)
      announce(*Target);
    for (operation_id Operation = 1; Operation <= 60; ++Operation)
      Events.afterMs(chance(0.3) ? uniform(3000, 3100) : uniform(0, 9000),
                     [=, this] { startOperation(Operation); });
    scheduleFaults();
    Events.run(std::chrono::seconds(16));
    return std::move(History);
  }

private:
  //--- Random values ----------------------------------------------------------
  double uniform(double Low, double High) {
    return Low + (High - Low) * state::unitInterval(Engine());
  }
  bool chance(double P) { return uniform(0, 1) < P; }
  double networkDelayMs() { // 3% of the messages are very late
    return chance(0.03) ? uniform(100, 1500) : uniform(1, 15);
  }
  const state::target_record &targetRecord(std::size_t I) const {
    return View.Targets->Targets[I];
  }

  //--- Setup and faults -------------------------------------------------------
  void buildView() {
    state::document Document;
    Document.Environment = "test";
    state::service_spec Service;
    Service.Name = "bookings";
    Service.Versions = {"v1", "v2"};
    Service.StableVersion = "v1";
    Service.Rollout = state::rollout_spec{};
    Service.Rollout->ToVersion = "v2";
    Document.Services = {Service};
    for (const bool Idempotent : {true, false}) {
      state::route_spec Route;
      Route.Name = Idempotent ? "read" : "book";
      Route.PathPrefix = "/" + Route.Name;
      Route.Service = "bookings";
      Route.Idempotent = Idempotent;
      Document.Routes.push_back(Route);
    }
    View.Snapshot = state::buildSnapshot(1, "", Document).value();
    auto Table = std::make_shared<state::target_table>();
    for (std::size_t I = 0; I < 4; ++I) {
      state::target_record Record;
      Record.Instance = "t" + std::to_string(I);
      Record.Service = "bookings";
      Record.Version = I < 3 ? "v1" : "v2";
      Table->Targets.push_back(Record);
    }
    View.Targets = Table;
    View.Directives = makeDirectives(0.3);
  }
  static std::shared_ptr<const state::directive_table>
  makeDirectives(double Share) {
    state::rollout_directive Directive;
    Directive.Service = "bookings";
    Directive.FromVersion = "v1";
    Directive.ToVersion = "v2";
    Directive.Share = Share;
    auto Table = std::make_shared<state::directive_table>();
    Table->ByService["bookings"] = Directive;
    return Table;
  }

  void scheduleFaults() {
    for (auto &TargetPointer : Targets) {
      target_side &Target = *TargetPointer;
      if (chance(0.4))
        Events.afterMs(uniform(0, 9000), [&] { crashUpstream(Target); });
      if (chance(0.4))
        Events.afterMs(uniform(0, 9000), [&, FreezeMs = uniform(100, 2500)] {
          Target.FrozenUntil =
              Events.now() + state::milliseconds(static_cast<int>(FreezeMs));
        });
    }
    if (!HomesMayChange)
      return;
    // The entries receive the verdict on a version at different times.
    if (chance(0.5))
      for (std::size_t I = 0; I < Entries.size(); ++I)
        Events.afterMs(uniform(2000, 5000), [=, this] {
          auto Verdicts = std::make_shared<state::verdict_table>();
          Verdicts->Condemned = {{"bookings", "v2"}};
          if (Ablation != call_ablation::Verdicts)
            Entries[I]->View.Verdicts = Verdicts;
          History.CondemnedAt[{I, "v2"}] = Events.now();
        });
    Events.afterMs(uniform(500, 3000), [this, AnnouncesLeave = chance(0.5)] {
      target_side &Target = *Targets[0];
      Target.Leaving = true;
      Target.AnnouncesLeave = AnnouncesLeave;
      History.LeftAt[Target.Name] = Events.now();
      if (chance(0.5)) // otherwise no entry is notified
        setState(0, state::target_state::Draining);
    });
    Events.afterMs(uniform(1000, 8000), [this] {
      Targets[1]->Draining = true;
      Targets[1]->Admission.startDrain();
      History.Drained.insert(Targets[1]->Name);
      exitIfDrained(*Targets[1]);
      setState(1, state::target_state::Draining);
    });
    Events.afterMs(uniform(1000, 8000), [this] {
      stopDaemon(*Targets[2]);
      Events.afterMs(300, [this] { Targets[2]->DaemonUp = true; });
    });
    Events.afterMs(uniform(1000, 8000), [this] {
      for (auto &Entry : Entries)
        Entry->View.Directives = makeDirectives(0.6);
    });
  }

  void setState(std::size_t Index, state::target_state State) {
    for (auto &Entry : Entries)
      Events.afterMs(uniform(0, 1000), [=, &Entry = *Entry] {
        auto Table = std::make_shared<state::target_table>(*Entry.View.Targets);
        Table->Targets[Index].State = State;
        Entry.View.Targets = Table;
      });
  }

  void announce(target_side &Target) {
    const bool Frozen = Events.now() < Target.FrozenUntil;
    const bool Silent = Target.Leaving && !Target.AnnouncesLeave;
    if (!Frozen && (!Silent || Ablation == call_ablation::AnnouncementExpiry)) {
      state::upstream_announcement Announcement;
      Announcement.Service = "bookings";
      Announcement.Version = targetRecord(Target.Index).Version;
      Announcement.Draining =
          Target.Leaving && Ablation != call_ablation::AnnouncementExpiry;
      Target.Admission.announce(Announcement, Events.now());
    }
    if (!Frozen)
      applyReleases(Target, Target.Admission.expire(Events.now()));
    Events.afterMs(500, [&] { announce(Target); });
  }

  void crashUpstream(target_side &Target) {
    ++Target.UpstreamIncarnation;
    const auto InFlight = Target.Admission.running();
    auto RequestsAtCrash =
        Target.Requests; // copied: finish() may start queued requests
    std::vector<state::admission_release> Released;
    for (const auto &[Ticket, Request] : RequestsAtCrash) {
      if (StartedTickets.count(Ticket) == 0)
        continue;
      PoisonDetector.addSighting({fingerprint(Request.Send->Operation),
                                  Target.Name, Target.UpstreamIncarnation,
                                  InFlight},
                                 Events.now());
      Target.Keys.markUnknown(Request.Send->Call.IdempotencyKey, Events.now());
      removeRequest(Target, Ticket);
      sendResponse(Request, answer_kind::Unknown, 0);
      for (auto &Release : Target.Admission.finish(
               Ticket, state::milliseconds(10), Events.now()))
        Released.push_back(std::move(Release));
    }
    applyReleases(Target, Released);
  }

  /// Stops the daemon and its upstream; their state is lost.
  void stopDaemon(target_side &Target) {
    ++Target.Incarnation;
    ++Target.UpstreamIncarnation;
    Target.DaemonUp = false;
    if (!Target.Draining)
      for (const auto &[Ticket, Request] : Target.Requests)
        History.Unfinished.erase({Target.Name, Ticket});
    Target.Requests.clear();
    Target.Admission = state::admission(state::admission_limits{2, 6});
    Target.Keys = state::idempotency_table(1000, 1 << 20);
  }
  void exitIfDrained(target_side &Target) {
    if (Target.Draining && Target.DaemonUp &&
        (Target.Admission.drained() ||
         Ablation == call_ablation::DrainCompletion))
      stopDaemon(Target);
  }

  //--- Caller -----------------------------------------------------------------
  void startOperation(operation_id Operation) {
    const bool IsBooking = Operation % 3 != 0;
    const std::string Key =
        Operation % 3 == 1 ? "key" + std::to_string(Operation) : "";
    sendOperation(Operation, IsBooking, Key, state::uniformBelow(Engine, 3), 1);
  }

  void sendOperation(operation_id Operation, bool IsBooking,
                     const std::string &Key, std::size_t Entry,
                     int SendNumber) {
    auto Send = std::make_shared<send>();
    Send->Id = ++LastSend;
    Send->Operation = Operation;
    Send->Entry = Entry;
    Send->Route = &View.Snapshot->Document.Routes[IsBooking ? 1 : 0];
    Send->Call.IdempotencyKey = Key;
    Send->Call.Deadline = Events.now() + std::chrono::seconds(1);
    Send->Call.RandomDraw = Engine();
    History.Sent[Send->Id] = {Operation, IsBooking};
    receiveAtEntry(Send);
    // Callers may send keyed requests again at any time, also before the
    // answer, through the same entry unless homes are stable. Requests without
    // a key are sent again only after "not run".
    if (SendNumber < 3 && !Key.empty() && chance(0.5))
      Events.afterMs(uniform(5, 2000), [=, this] {
        const std::size_t Next =
            HomesMayChange ? Entry : state::uniformBelow(Engine, 3);
        sendOperation(Operation, IsBooking, Key, Next, SendNumber + 1);
      });
  }

  //--- Entry side -------------------------------------------------------------
  void receiveAtEntry(const send_ptr &Send) {
    entry_side &Entry = *Entries[Send->Entry];
    Entry.Budget.recordCall();
    if (!Send->Call.IdempotencyKey.empty() &&
        Ablation != call_ablation::EntryKeys) {
      const auto KeyLookup =
          Entry.Keys
              .begin(Send->Call.IdempotencyKey, fingerprint(Send->Operation),
                     Events.now())
              .value();
      if (KeyLookup.State == state::key_state::InProgress) {
        answerCaller(*Send, answer_kind::Unknown, 0, true);
        return;
      }
      Send->KeySeenAtEntry = KeyLookup.State != state::key_state::New;
    }
    startAttempt(Send);
  }

  void startAttempt(const send_ptr &Send) {
    entry_side &Entry = *Entries[Send->Entry];
    ++Send->AttemptsMade;
    const auto Picked =
        Entry.Picker->pick({Entry.View, *Send->Route, Send->Call, Send->History,
                            Engine(), Events.now()});
    if (Picked.has_error()) {
      finishSend(*Send, state::attempt_outcome::NotRun, 0, true);
      return;
    }
    const auto &Record = Picked.value().Target;
    const auto Index = static_cast<std::size_t>(Record.Instance[1] - '0');
    target_side &Target = *Targets[Index];
    History.Attempts.push_back({Send->Entry, Record.Version, Events.now()});
    Send->History.TriedInstances.push_back(Record.Instance);
    (Picked.value().UsesNewVersion ? Send->History.TriedNewVersion
                                   : Send->History.TriedOldVersion) = true;
    Entry.Stats.recordStart(Record);
    connection_ptr Connection =
        chance(0.02) ? nullptr : acquireConnection(Send, Target);
    if (!Connection) { // refused, or cut before the first byte
      endAttempt(std::make_shared<connection>(connection{
                     Send->Entry, Index, 0, Send, true, Events.now()}),
                 state::attempt_outcome::NotRun, 0, true);
      return;
    }
    if (chance(0.03)) { // cut after the first byte; the request may arrive
      if (chance(0.5))
        sendToTarget(Send, Connection);
      Events.afterMs(networkDelayMs(),
                     [=, this] { cutConnection(Connection, Send); });
      return;
    }
    sendToTarget(Send, Connection);
    Events.after(std::max(state::boot_clock::duration(0),
                          Send->Call.Deadline - Events.now()),
                 [=, this] {
                   if (Connection->Current == Send)
                     endAttempt(Connection, state::attempt_outcome::Unknown, 0,
                                true);
                 });
  }

  connection_ptr acquireConnection(const send_ptr &Send, target_side &Target) {
    // In most cases the entry has detected connections closed by a restart.
    std::erase_if(IdleConnections, [&](const connection_ptr &Connection) {
      return Connection->Target == Target.Index &&
             Connection->Incarnation != Target.Incarnation && chance(0.8);
    });
    for (auto It = IdleConnections.begin(); It != IdleConnections.end(); ++It)
      if ((*It)->Entry == Send->Entry && (*It)->Target == Target.Index) {
        connection_ptr Connection = *It;
        IdleConnections.erase(It);
        Connection->Current = Send;
        Connection->AttemptStartedAt = Events.now();
        return Connection;
      }
    if (!Target.DaemonUp)
      return nullptr;
    return std::make_shared<connection>(connection{Send->Entry, Target.Index,
                                                   Target.Incarnation, Send,
                                                   false, Events.now()});
  }

  void cutConnection(const connection_ptr &Connection, const send_ptr &Send) {
    if (Connection->Current != Send)
      return;
    Connection->Closed = true;
    endAttempt(Connection,
               Ablation == call_ablation::CutOutcome
                   ? state::attempt_outcome::NotRun
                   : state::attempt_outcome::Unknown,
               0, true);
  }

  void endAttempt(const connection_ptr &Connection,
                  state::attempt_outcome Outcome, operation_id Body,
                  bool Complete) {
    const send_ptr Send = std::exchange(Connection->Current, nullptr);
    entry_side &Entry = *Entries[Send->Entry];
    Entry.Stats.recordEnd(targetRecord(Connection->Target), Outcome,
                          std::chrono::duration_cast<state::milliseconds>(
                              Events.now() - Connection->AttemptStartedAt),
                          Events.now());
    const bool Unfinished = Outcome == state::attempt_outcome::Unknown;
    if (Unfinished && Ablation != call_ablation::CloseOnTimeout)
      Connection->Closed = true;
    if (!Connection->Closed)
      IdleConnections.push_back(Connection);
    state::retry_request Retry;
    Retry.Outcome = Outcome;
    Retry.Idempotent =
        Send->Route->Idempotent || Ablation == call_ablation::ResendRule;
    Retry.Poison =
        PoisonDetector.isPoison(fingerprint(Send->Operation), Events.now());
    Retry.AttemptsLeft = Send->Call.AttemptsLeft - Send->AttemptsMade;
    Retry.Deadline = Send->Call.Deadline;
    Retry.Now = Events.now();
    if (state::decideRetry(Retry, Entry.Budget) ==
        state::retry_decision::Retry) {
      Send->MayHaveRun |= Outcome != state::attempt_outcome::NotRun;
      startAttempt(Send);
      return;
    }
    finishSend(*Send, Outcome, Body, Complete);
  }

  void finishSend(const send &Send, state::attempt_outcome Outcome,
                  operation_id Body, bool Complete) {
    if (Ablation != call_ablation::CallOutcome)
      Outcome = state::callOutcome(Outcome, Send.MayHaveRun);
    const answer_kind Kind =
        Outcome == state::attempt_outcome::Success  ? answer_kind::Ran
        : Outcome == state::attempt_outcome::NotRun ? answer_kind::NotRun
                                                    : answer_kind::Unknown;
    state::idempotency_table &Keys = Entries[Send.Entry]->Keys;
    const std::string &Key = Send.Call.IdempotencyKey;
    if (Kind == answer_kind::NotRun)
      Keys.release(Key);
    else
      Keys.markUnknown(Key, Events.now());
    answerCaller(Send, Kind, Body, Complete);
  }

  void answerCaller(const send &Send, answer_kind Kind, operation_id Body,
                    bool Complete) {
    History.Answers.push_back({Send.Id, Kind, Body, Complete});
    if (Kind == answer_kind::NotRun && Send.Call.IdempotencyKey.empty() &&
        chance(0.5))
      Events.afterMs(uniform(5, 300), [=, this, Operation = Send.Operation,
                                       IsBooking = !Send.Route->Idempotent] {
        sendOperation(Operation, IsBooking, "", state::uniformBelow(Engine, 3),
                      1);
      });
  }

  //--- Target side ------------------------------------------------------------
  void sendToTarget(const send_ptr &Send, const connection_ptr &Connection) {
    Events.afterMs(networkDelayMs(), [=, this] {
      receiveAtTarget({Send, Connection, ++LastTicket});
    });
  }

  void receiveAtTarget(const target_request &Request) {
    target_side &Target = *Targets[Request.Connection->Target];
    if (Events.now() < Target.FrozenUntil) {
      Events.after(Target.FrozenUntil - Events.now(),
                   [=, this] { receiveAtTarget(Request); });
      return;
    }
    if (!Target.DaemonUp ||
        Target.Incarnation != Request.Connection->Incarnation) {
      cutConnection(Request.Connection, Request.Send);
      return;
    }
    const send &Send = *Request.Send;
    const std::string &Key = Send.Call.IdempotencyKey;
    const std::uint64_t Fingerprint = fingerprint(Send.Operation);
    if (!Key.empty() && Ablation != call_ablation::HomeKeys) {
      if (Send.KeySeenAtEntry)
        Target.Keys.beginRepeated(Key, Fingerprint, Events.now()).value();
      const auto KeyLookup =
          Target.Keys.begin(Key, Fingerprint, Events.now()).value();
      if (KeyLookup.State == state::key_state::Done) {
        sendResponse(Request, answer_kind::Ran,
                     std::stoull(KeyLookup.Response->Body));
        return;
      }
      if (KeyLookup.State != state::key_state::New) {
        sendResponse(Request, answer_kind::Unknown, 0);
        return;
      }
    }
    const auto Action = Target.Admission.admit(
        Request.Ticket, "bookings", targetRecord(Target.Index).Version,
        Events.now() + std::chrono::milliseconds(900), Events.now());
    if (Action.has_error() ||
        PoisonDetector.isPoison(Fingerprint, Events.now())) {
      Target.Keys.release(Key);
      if (Action.has_value()) {
        Target.Admission.cancel(Request.Ticket);
        applyReleases(Target, Target.Admission.finish(Request.Ticket,
                                                      state::milliseconds(0),
                                                      Events.now()));
      }
      sendResponse(Request, answer_kind::NotRun, 0);
      return;
    }
    History.Unfinished.insert({Target.Name, Request.Ticket});
    Target.Requests[Request.Ticket] = Request;
    if (Action.value() == state::admission_action::Run)
      execute(Target, Request.Ticket);
  }

  void execute(target_side &Target, state::ticket Ticket) {
    const target_request Request = Target.Requests.at(Ticket);
    History.Executions.push_back(
        {Request.Send->Id, Request.Send->Operation, Target.Name, Events.now()});
    StartedTickets.insert(Ticket);
    const double RunTimeMs = chance(0.1) ? uniform(500, 1500) : uniform(5, 100);
    Events.afterMs(RunTimeMs, [=, this, &Target,
                               Incarnation = Target.UpstreamIncarnation] {
      finishExecution(Target, Request, RunTimeMs, Incarnation);
    });
  }

  void finishExecution(target_side &Target, const target_request &Request,
                       double RunTimeMs, std::uint64_t Incarnation) {
    if (Target.UpstreamIncarnation != Incarnation)
      return;
    if (Events.now() < Target.FrozenUntil) {
      Events.after(Target.FrozenUntil - Events.now(), [=, this, &Target] {
        finishExecution(Target, Request, RunTimeMs, Incarnation);
      });
      return;
    }
    const operation_id Operation = Request.Send->Operation;
    if (Operation % 50 == 7) { // a request that crashes its upstream
      crashUpstream(Target);
      return;
    }
    PoisonDetector.addSuccess(fingerprint(Operation));
    Target.Keys.complete(Request.Send->Call.IdempotencyKey,
                         {200, "text/plain", std::to_string(Operation)},
                         Events.now());
    removeRequest(Target, Request.Ticket);
    sendResponse(Request, answer_kind::Ran, Operation);
    applyReleases(Target, Target.Admission.finish(
                              Request.Ticket,
                              state::milliseconds(static_cast<int>(RunTimeMs)),
                              Events.now()));
  }

  void applyReleases(target_side &Target,
                     const std::vector<state::admission_release> &Released) {
    for (const auto &Release : Released) {
      if (!Release.Refusal) {
        execute(Target, Release.Ticket);
        continue;
      }
      const target_request Request = Target.Requests.at(Release.Ticket);
      Target.Keys.release(Request.Send->Call.IdempotencyKey);
      removeRequest(Target, Release.Ticket);
      sendResponse(Request, answer_kind::NotRun, 0);
    }
    exitIfDrained(Target);
  }

  void removeRequest(target_side &Target, state::ticket Ticket) {
    Target.Requests.erase(Ticket);
    StartedTickets.erase(Ticket);
    History.Unfinished.erase({Target.Name, Ticket});
  }

  void sendResponse(const target_request &Request, answer_kind Kind,
                    operation_id Body) {
    const bool Complete = Kind != answer_kind::Ran || !chance(0.02);
    Events.afterMs(networkDelayMs(), [=, this] {
      const connection_ptr &Connection = Request.Connection;
      // The attempt that currently uses the connection reads the response.
      if (!Connection->Current || Connection->Closed)
        return;
      if (!Complete && Ablation != call_ablation::TruncationCheck) {
        cutConnection(Connection, Connection->Current);
        return;
      }
      endAttempt(Connection,
                 Kind == answer_kind::Ran ? state::attempt_outcome::Success
                 : Kind == answer_kind::NotRun
                     ? state::attempt_outcome::NotRun
                     : state::attempt_outcome::Unknown,
                 Body, Complete);
    });
  }

  static std::uint64_t fingerprint(operation_id Operation) {
    return Operation * 0x9e3779b97f4a7c15ULL;
  }

  state::random_engine Engine;
  call_ablation Ablation;
  bool HomesMayChange; // by leaves, restarts, verdicts or rollout shares
  event_queue Events;
  state::routing_view View;
  std::vector<std::unique_ptr<entry_side>> Entries;
  std::vector<std::unique_ptr<target_side>> Targets;
  std::vector<connection_ptr> IdleConnections;
  std::set<state::ticket> StartedTickets; // passed to an upstream
  state::poison_detector
      PoisonDetector; // without gossip, which poison_test.cpp covers
  call_history History;
  send_id LastSend = 0;
  state::ticket LastTicket = 0;
};

} // namespace hyssopledge::bench
