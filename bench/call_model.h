/// \file
/// Entry sides and target sides made of the real decision classes, joined by a
/// queue of messages with seeded delays and faults. Records a call_history.
#pragma once

#include "bench/call_model_parts.h"
#include "bench/event_queue.h"

namespace hyssopledge::bench {

class call_model {
public:
  call_model(std::uint64_t Seed, omission Without)
      : Engine(Seed), Without(Without), HomesChange(chance(0.5)) {
    buildView();
    for (std::size_t I = 0; I < View.Targets->Targets.size(); ++I) {
      auto Target = std::make_unique<target_side>();
      Target->Index = I;
      Target->Name = record(I).Instance;
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
  //--- Draws ------------------------------------------------------------------
  double uniform(double Low, double High) {
    return Low + (High - Low) * state::unitInterval(Engine());
  }
  bool chance(double P) { return uniform(0, 1) < P; }
  double networkMs() { // some messages are very late
    return chance(0.03) ? uniform(100, 1500) : uniform(1, 15);
  }
  const state::target_record &record(std::size_t I) const {
    return View.Targets->Targets[I];
  }

  //--- World ------------------------------------------------------------------
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
    View.Directives = directive(0.3);
  }
  static std::shared_ptr<const state::directive_table> directive(double Share) {
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
    for (auto &Each : Targets) {
      target_side &Target = *Each;
      if (chance(0.4))
        Events.afterMs(uniform(0, 9000), [&] { crashUpstream(Target); });
      if (chance(0.4))
        Events.afterMs(uniform(0, 9000), [&, Ms = uniform(100, 2500)] {
          Target.FrozenUntil =
              Events.now() + state::milliseconds(static_cast<int>(Ms));
        });
    }
    if (!HomesChange)
      return;
    // The entries learn at different times that a version is condemned.
    if (chance(0.5))
      for (std::size_t I = 0; I < Entries.size(); ++I)
        Events.afterMs(uniform(2000, 5000), [=, this] {
          auto Verdicts = std::make_shared<state::verdict_table>();
          Verdicts->Condemned = {{"bookings", "v2"}};
          if (Without != omission::Verdicts)
            Entries[I]->View.Verdicts = Verdicts;
          History.Condemned[{I, "v2"}] = Events.now();
        });
    Events.afterMs(uniform(500, 3000), [this, Says = chance(0.5)] {
      target_side &Target = *Targets[0];
      Target.Leaving = true;
      Target.AnnouncesLeave = Says;
      History.Left[Target.Name] = Events.now();
      if (chance(0.5)) // else no entry hears of it
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
      Events.afterMs(300, [this] { Targets[2]->Up = true; });
    });
    Events.afterMs(uniform(1000, 8000), [this] {
      for (auto &Entry : Entries)
        Entry->View.Directives = directive(0.6);
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
    if (!Frozen && (!Silent || Without == omission::Expiry)) {
      state::upstream_announcement Announcement;
      Announcement.Service = "bookings";
      Announcement.Version = record(Target.Index).Version;
      Announcement.Draining = Target.Leaving && Without != omission::Expiry;
      Target.Admission.announce(Announcement, Events.now());
    }
    if (!Frozen)
      settle(Target, Target.Admission.expire(Events.now()));
    Events.afterMs(500, [&] { announce(Target); });
  }

  void crashUpstream(target_side &Target) {
    ++Target.UpstreamLife;
    const auto InFlight = Target.Admission.running();
    auto All = Target.Work; // finish() may start waiting requests
    std::vector<state::admission_release> Released;
    for (const auto &[Ticket, Work] : All) {
      if (Started.count(Ticket) == 0)
        continue;
      Poison.addSighting({fingerprint(Work.Send->Operation), Target.Name,
                          Target.UpstreamLife, InFlight},
                         Events.now());
      Target.Keys.markUnknown(Work.Send->Call.IdempotencyKey, Events.now());
      end(Target, Ticket);
      respond(Work, answer_kind::Unknown, 0);
      for (auto &Release : Target.Admission.finish(
               Ticket, state::milliseconds(10), Events.now()))
        Released.push_back(std::move(Release));
    }
    settle(Target, Released);
  }

  /// The daemon and its upstream die; all that they knew is lost.
  void stopDaemon(target_side &Target) {
    ++Target.Life;
    ++Target.UpstreamLife;
    Target.Up = false;
    if (!Target.Draining)
      for (const auto &[Ticket, Work] : Target.Work)
        History.Admitted.erase({Target.Name, Ticket});
    Target.Work.clear();
    Target.Admission = state::admission(state::admission_limits{2, 6});
    Target.Keys = state::idempotency_table(1000, 1 << 20);
  }
  void exitIfDrained(target_side &Target) {
    if (Target.Draining && Target.Up &&
        (Target.Admission.drained() || Without == omission::DrainFinishes))
      stopDaemon(Target);
  }

  //--- Caller -----------------------------------------------------------------
  void startOperation(operation_id Operation) {
    const bool Book = Operation % 3 != 0;
    const std::string Key =
        Operation % 3 == 1 ? "key" + std::to_string(Operation) : "";
    sendOperation(Operation, Book, Key, state::uniformBelow(Engine, 3), 1);
  }

  void sendOperation(operation_id Operation, bool Book, const std::string &Key,
                     std::size_t Entry, int Number) {
    auto Send = std::make_shared<send>();
    Send->Id = ++LastSend;
    Send->Operation = Operation;
    Send->Entry = Entry;
    Send->Route = &View.Snapshot->Document.Routes[Book ? 1 : 0];
    Send->Call.IdempotencyKey = Key;
    Send->Call.Deadline = Events.now() + std::chrono::seconds(1);
    Send->Call.RandomDraw = Engine();
    History.Sent[Send->Id] = {Operation, Book};
    receiveAtEntry(Send);
    // Callers repeat keyed requests at will, also before the answer, through
    // the same entry unless homes are stable; others only after "not run".
    if (Number < 3 && !Key.empty() && chance(0.5))
      Events.afterMs(uniform(5, 2000), [=, this] {
        const std::size_t Next =
            HomesChange ? Entry : state::uniformBelow(Engine, 3);
        sendOperation(Operation, Book, Key, Next, Number + 1);
      });
  }

  //--- Entry side -------------------------------------------------------------
  void receiveAtEntry(const send_ptr &Send) {
    entry_side &Entry = *Entries[Send->Entry];
    Entry.Budget.recordCall();
    if (!Send->Call.IdempotencyKey.empty() && Without != omission::EntryKeys) {
      const auto Known = Entry.Keys
                             .begin(Send->Call.IdempotencyKey,
                                    fingerprint(Send->Operation), Events.now())
                             .value();
      if (Known.State == state::key_state::InProgress) {
        answerCaller(*Send, answer_kind::Unknown, 0, true);
        return;
      }
      Send->Repeated = Known.State != state::key_state::New;
    }
    startAttempt(Send);
  }

  void startAttempt(const send_ptr &Send) {
    entry_side &Entry = *Entries[Send->Entry];
    ++Send->Made;
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
        chance(0.02) ? nullptr : takeConnection(Send, Target);
    if (!Connection) { // refused, or cut before the first byte
      endAttempt(std::make_shared<connection>(connection{
                     Send->Entry, Index, 0, Send, true, Events.now()}),
                 state::attempt_outcome::NotRun, 0, true);
      return;
    }
    if (chance(0.03)) { // cut after the first byte; the request may arrive
      if (chance(0.5))
        deliver(Send, Connection);
      Events.afterMs(networkMs(), [=, this] { cut(Connection, Send); });
      return;
    }
    deliver(Send, Connection);
    Events.after(std::max(state::boot_clock::duration(0),
                          Send->Call.Deadline - Events.now()),
                 [=, this] {
                   if (Connection->Current == Send)
                     endAttempt(Connection, state::attempt_outcome::Unknown, 0,
                                true);
                 });
  }

  connection_ptr takeConnection(const send_ptr &Send, target_side &Target) {
    // The entry has mostly noticed that a daemon closed its connections.
    std::erase_if(Idle, [&](const connection_ptr &Connection) {
      return Connection->Target == Target.Index &&
             Connection->Life != Target.Life && chance(0.8);
    });
    for (auto It = Idle.begin(); It != Idle.end(); ++It)
      if ((*It)->Entry == Send->Entry && (*It)->Target == Target.Index) {
        connection_ptr Connection = *It;
        Idle.erase(It);
        Connection->Current = Send;
        Connection->Since = Events.now();
        return Connection;
      }
    if (!Target.Up)
      return nullptr;
    return std::make_shared<connection>(connection{
        Send->Entry, Target.Index, Target.Life, Send, false, Events.now()});
  }

  void cut(const connection_ptr &Connection, const send_ptr &Send) {
    if (Connection->Current != Send)
      return;
    Connection->Closed = true;
    endAttempt(Connection,
               Without == omission::HonestRefusal
                   ? state::attempt_outcome::NotRun
                   : state::attempt_outcome::Unknown,
               0, true);
  }

  void endAttempt(const connection_ptr &Connection,
                  state::attempt_outcome Outcome, operation_id Body,
                  bool Whole) {
    const send_ptr Send = std::exchange(Connection->Current, nullptr);
    entry_side &Entry = *Entries[Send->Entry];
    Entry.Stats.recordEnd(record(Connection->Target), Outcome,
                          std::chrono::duration_cast<state::milliseconds>(
                              Events.now() - Connection->Since),
                          Events.now());
    const bool Unfinished = Outcome == state::attempt_outcome::Unknown;
    if (Unfinished && Without != omission::ClosedOnTimeout)
      Connection->Closed = true;
    if (!Connection->Closed)
      Idle.push_back(Connection);
    state::retry_request Retry;
    Retry.Outcome = Outcome;
    Retry.Idempotent =
        Send->Route->Idempotent || Without == omission::ResendRule;
    Retry.Poison = Poison.isPoison(fingerprint(Send->Operation), Events.now());
    Retry.AttemptsLeft = Send->Call.AttemptsLeft - Send->Made;
    Retry.Deadline = Send->Call.Deadline;
    Retry.Now = Events.now();
    if (state::decideRetry(Retry, Entry.Budget) ==
        state::retry_decision::Retry) {
      Send->MayHaveRun |= Outcome != state::attempt_outcome::NotRun;
      startAttempt(Send);
      return;
    }
    finishSend(*Send, Outcome, Body, Whole);
  }

  void finishSend(const send &Send, state::attempt_outcome Last,
                  operation_id Body, bool Whole) {
    if (Without != omission::CallOutcome)
      Last = state::callOutcome(Last, Send.MayHaveRun);
    const answer_kind Kind =
        Last == state::attempt_outcome::Success  ? answer_kind::Ran
        : Last == state::attempt_outcome::NotRun ? answer_kind::NotRun
                                                 : answer_kind::Unknown;
    state::idempotency_table &Keys = Entries[Send.Entry]->Keys;
    const std::string &Key = Send.Call.IdempotencyKey;
    if (Kind == answer_kind::NotRun)
      Keys.release(Key);
    else
      Keys.markUnknown(Key, Events.now());
    answerCaller(Send, Kind, Body, Whole);
  }

  void answerCaller(const send &Send, answer_kind Kind, operation_id Body,
                    bool Whole) {
    History.Answers.push_back({Send.Id, Kind, Body, Whole});
    if (Kind == answer_kind::NotRun && Send.Call.IdempotencyKey.empty() &&
        chance(0.5))
      Events.afterMs(uniform(5, 300), [=, this, Operation = Send.Operation,
                                       Book = !Send.Route->Idempotent] {
        sendOperation(Operation, Book, "", state::uniformBelow(Engine, 3), 1);
      });
  }

  //--- Target side ------------------------------------------------------------
  void deliver(const send_ptr &Send, const connection_ptr &Connection) {
    Events.afterMs(networkMs(), [=, this] {
      reach({Send, Connection, ++LastTicket});
    });
  }

  void reach(const work &Work) {
    target_side &Target = *Targets[Work.Connection->Target];
    if (Events.now() < Target.FrozenUntil) {
      Events.after(Target.FrozenUntil - Events.now(),
                   [=, this] { reach(Work); });
      return;
    }
    if (!Target.Up || Target.Life != Work.Connection->Life) {
      cut(Work.Connection, Work.Send);
      return;
    }
    const send &Send = *Work.Send;
    const std::string &Key = Send.Call.IdempotencyKey;
    const std::uint64_t Fingerprint = fingerprint(Send.Operation);
    if (!Key.empty() && Without != omission::HomeKeys) {
      if (Send.Repeated)
        Target.Keys.beginRepeated(Key, Fingerprint, Events.now()).value();
      const auto Known =
          Target.Keys.begin(Key, Fingerprint, Events.now()).value();
      if (Known.State == state::key_state::Done) {
        respond(Work, answer_kind::Ran, std::stoull(Known.Response->Body));
        return;
      }
      if (Known.State != state::key_state::New) {
        respond(Work, answer_kind::Unknown, 0);
        return;
      }
    }
    const auto Action = Target.Admission.admit(
        Work.Ticket, "bookings", record(Target.Index).Version,
        Events.now() + std::chrono::milliseconds(900), Events.now());
    if (Action.has_error() || Poison.isPoison(Fingerprint, Events.now())) {
      Target.Keys.release(Key);
      if (Action.has_value()) {
        Target.Admission.cancel(Work.Ticket);
        settle(Target, Target.Admission.finish(
                           Work.Ticket, state::milliseconds(0), Events.now()));
      }
      respond(Work, answer_kind::NotRun, 0);
      return;
    }
    History.Admitted.insert({Target.Name, Work.Ticket});
    Target.Work[Work.Ticket] = Work;
    if (Action.value() == state::admission_action::Run)
      execute(Target, Work.Ticket);
  }

  void execute(target_side &Target, state::ticket Ticket) {
    const work Work = Target.Work.at(Ticket);
    History.Executions.push_back(
        {Work.Send->Id, Work.Send->Operation, Target.Name, Events.now()});
    Started.insert(Ticket);
    const double Ms = chance(0.1) ? uniform(500, 1500) : uniform(5, 100);
    Events.afterMs(Ms, [=, this, &Target, Life = Target.UpstreamLife] {
      executed(Target, Work, Ms, Life);
    });
  }

  void executed(target_side &Target, const work &Work, double Ms,
                std::uint64_t Life) {
    if (Target.UpstreamLife != Life)
      return;
    if (Events.now() < Target.FrozenUntil) {
      Events.after(Target.FrozenUntil - Events.now(),
                   [=, this, &Target] { executed(Target, Work, Ms, Life); });
      return;
    }
    const operation_id Operation = Work.Send->Operation;
    if (Operation % 50 == 7) { // a request that crashes its upstream
      crashUpstream(Target);
      return;
    }
    Poison.addSuccess(fingerprint(Operation));
    Target.Keys.complete(Work.Send->Call.IdempotencyKey,
                         {200, "text/plain", std::to_string(Operation)},
                         Events.now());
    end(Target, Work.Ticket);
    respond(Work, answer_kind::Ran, Operation);
    settle(Target, Target.Admission.finish(
                       Work.Ticket, state::milliseconds(static_cast<int>(Ms)),
                       Events.now()));
  }

  void settle(target_side &Target,
              const std::vector<state::admission_release> &Released) {
    for (const auto &Release : Released) {
      if (!Release.Refusal) {
        execute(Target, Release.Ticket);
        continue;
      }
      const work Work = Target.Work.at(Release.Ticket);
      Target.Keys.release(Work.Send->Call.IdempotencyKey);
      end(Target, Release.Ticket);
      respond(Work, answer_kind::NotRun, 0);
    }
    exitIfDrained(Target);
  }

  void end(target_side &Target, state::ticket Ticket) {
    Target.Work.erase(Ticket);
    Started.erase(Ticket);
    History.Admitted.erase({Target.Name, Ticket});
  }

  void respond(const work &Work, answer_kind Kind, operation_id Body) {
    const bool Whole = Kind != answer_kind::Ran || !chance(0.02);
    Events.afterMs(networkMs(), [=, this] {
      const connection_ptr &Connection = Work.Connection;
      // Whoever uses the connection now reads the response.
      if (!Connection->Current || Connection->Closed)
        return;
      if (!Whole && Without != omission::WholeResponses) {
        cut(Connection, Connection->Current);
        return;
      }
      endAttempt(Connection,
                 Kind == answer_kind::Ran ? state::attempt_outcome::Success
                 : Kind == answer_kind::NotRun
                     ? state::attempt_outcome::NotRun
                     : state::attempt_outcome::Unknown,
                 Body, Whole);
    });
  }

  static std::uint64_t fingerprint(operation_id Operation) {
    return Operation * 0x9e3779b97f4a7c15ULL;
  }

  state::random_engine Engine;
  omission Without;
  bool HomesChange; // by leaves, restarts, verdicts or the rollout share
  event_queue Events;
  state::routing_view View;
  std::vector<std::unique_ptr<entry_side>> Entries;
  std::vector<std::unique_ptr<target_side>> Targets;
  std::vector<connection_ptr> Idle;
  std::set<state::ticket> Started; // reached an upstream
  state::poison_detector Poison;   // its gossip is covered by poison_test.cpp
  call_history History;
  send_id LastSend = 0;
  state::ticket LastTicket = 0;
};

} // namespace hyssopledge::bench
