#include "bench/routing_model.h"

#include "bench/event_queue.h"
#include "hyssopledge/state/admission.h"
#include "hyssopledge/state/picker.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/state/retry.h"
#include "hyssopledge/state/target_stats.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace hyssopledge::bench {

using namespace state;

const deployment ThreadAndCrest{"thread_and_crest", 4, 16, 1, 1,
                                {1, 1.2, 1.6, 2.5}};
const deployment DogParks{"dog_parks", 3, 12, 8, 1, {1, 1.5, 2.5}};

double model_result::percentile(double P) const {
  if (LatencyMs.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(P * static_cast<double>(LatencyMs.size() - 1));
  return LatencyMs[Index];
}

namespace {

constexpr std::uint32_t Slots = 12;
constexpr double RunMs = 10;      // median of the fastest target
constexpr double RunSpread = 0.5; // sigma of the logarithm
constexpr double WithinCentreMs = 0.1;
constexpr std::size_t Troubled = 1; // position of the target
constexpr double ColdFactor = 8;
constexpr double ColdSeconds = 8;

struct call {
  call_context Context;
  attempt_history History;
  std::size_t Entry = 0;
  time_point Started{};
  std::uint32_t Made = 0; // attempts
};

struct attempt {
  std::shared_ptr<call> Call;
  target_record Target;
  std::size_t Index = 0; // of the target
  time_point Sent{};
  bool Ended = false;
};

struct entry_side {
  target_stats_registry Stats;
  std::unique_ptr<picker> Picker;
  retry_budget Budget{0.1, 10};
  std::string DataCentre;
};

struct target_side {
  admission Admission{admission_limits{}};
  std::map<ticket, std::shared_ptr<attempt>> Waiting;
  std::deque<load_hint> Reports; // one each 100 ms
  time_point ColdSince{};
  bool Failing = false;
};

class model {
public:
  explicit model(const model_options &Options)
      : Options(Options), Engine(Options.Seed) {
    document Document;
    Document.Environment = "bench";
    service_spec Service;
    Service.Name = "service";
    Service.Versions = {"v1"};
    Service.StableVersion = "v1";
    Document.Services = {Service};
    route_spec Route;
    Route.Name = "route";
    Route.PathPrefix = "/";
    Route.Service = "service";
    Route.Idempotent = true;
    Document.Routes = {Route};
    View.Snapshot = buildSnapshot(1, "", Document).value();
    auto Table = std::make_shared<target_table>();
    const deployment &Deployment = Options.Deployment;
    for (unsigned I = 0; I < Deployment.Targets; ++I) {
      target_record Record;
      Record.Instance = "t" + std::to_string(I);
      Record.DataCentre = "dc" + std::to_string(I);
      Record.Service = "service";
      Record.Version = "v1";
      Record.Slots = Slots;
      Table->Targets.push_back(Record);
    }
    View.Targets = Table;
    Targets = std::vector<target_side>(Deployment.Targets);
    for (unsigned I = 0; I < Deployment.Entries; ++I) {
      auto Entry = std::make_unique<entry_side>();
      Entry->DataCentre = "dc" + std::to_string(I % Deployment.Targets);
      Entry->Stats.update(*Table);
      switch (Options.Picker) {
      case picker_kind::TwoChoice:
        Entry->Picker = makeTwoChoicePicker(Entry->Stats, Entry->DataCentre);
        break;
      case picker_kind::RoundRobin:
        Entry->Picker = makeRoundRobinPicker();
        break;
      case picker_kind::LeastReportedLoad:
        Entry->Picker = makeLeastReportedLoadPicker(Entry->Stats);
        break;
      }
      Entries.push_back(std::move(Entry));
    }
  }

  model_result run() {
    double PerSecond = 0;
    for (const double Slow : Options.Deployment.Slow)
      PerSecond +=
          Slots * 1000 / (RunMs * Slow * std::exp(RunSpread * RunSpread / 2));
    MeanGapMs = 1000 / (PerSecond * Options.Load);
    tick();
    arrive();
    Events.after(std::chrono::seconds(5), [this] { beginTrouble(); });
    Events.run(Options.Duration);
    Stopped = true;
    Events.run(std::chrono::milliseconds(
        static_cast<std::int64_t>(Options.TimeoutMs) + 1000));
    std::sort(Result.LatencyMs.begin(), Result.LatencyMs.end());
    Result.SecondsOfCalls =
        std::chrono::duration<double>(Options.Duration).count();
    return Result;
  }

private:
  double networkMs(const entry_side &Entry, const target_record &Target) const {
    return Entry.DataCentre == Target.DataCentre
               ? WithinCentreMs
               : Options.Deployment.BetweenCentresMs;
  }

  void tick() {
    for (target_side &Target : Targets) {
      upstream_announcement Announcement;
      Announcement.Service = "service";
      Announcement.Version = "v1";
      Announcement.Slots = Slots;
      Target.Admission.announce(Announcement, Events.now());
      Target.Reports.push_back(
          {Target.Admission.running(), Slots, Target.Admission.queued()});
      if (Target.Reports.size() > 10)
        Target.Reports.pop_front();
      settle(Target, Target.Admission.expire(Events.now()));
    }
    Events.afterMs(100, [this] { tick(); });
  }

  void beginTrouble() {
    if (Options.Trouble == trouble::ColdStart) {
      auto Table = std::make_shared<target_table>(*View.Targets);
      Table->Targets[Troubled].Incarnation++;
      Table->Targets[Troubled].FirstSeen = Events.now();
      View.Targets = Table;
      for (auto &Entry : Entries)
        Entry->Stats.update(*Table);
      Targets[Troubled].ColdSince = Events.now();
    } else {
      Targets[Troubled].Failing = true;
    }
  }

  void arrive() {
    if (Stopped)
      return;
    auto Call = std::make_shared<call>();
    Call->Entry = uniformBelow(Engine, Entries.size());
    Call->Started = Events.now();
    Call->Context.Method = "GET";
    Call->Context.RandomDraw = Engine();
    Call->Context.Deadline =
        Events.now() +
        std::chrono::milliseconds(static_cast<std::int64_t>(Options.TimeoutMs));
    ++Result.Calls;
    Entries[Call->Entry]->Budget.recordCall();
    Events.afterMs(Options.Deployment.CallerMs, [=, this] { send(Call); });
    Events.afterMs(std::exponential_distribution<double>(1 / MeanGapMs)(Engine),
                   [this] { arrive(); });
  }

  void send(const std::shared_ptr<call> &Call) {
    entry_side &Entry = *Entries[Call->Entry];
    ++Call->Made;
    const route_spec &Route = View.Snapshot->Document.Routes[0];
    auto Picked = Entry.Picker->pick(
        {View, Route, Call->Context, Call->History, Engine(), Events.now()});
    if (Picked.has_error()) {
      finishCall(*Call, attempt_outcome::NotRun);
      return;
    }
    auto Attempt = std::make_shared<attempt>();
    Attempt->Call = Call;
    Attempt->Target = Picked.value().Target;
    Attempt->Index = std::stoul(Attempt->Target.Instance.substr(1));
    Attempt->Sent = Events.now();
    Entry.Stats.recordStart(Attempt->Target);
    Call->History.TriedInstances.push_back(Attempt->Target.Instance);
    Events.afterMs(networkMs(Entry, Attempt->Target),
                   [=, this] { reach(Attempt); });
    Events.after(Call->Context.Deadline - Events.now(),
                 [=, this] { endAttempt(*Attempt, attempt_outcome::Unknown); });
  }

  void reach(const std::shared_ptr<attempt> &Attempt) {
    target_side &Target = Targets[Attempt->Index];
    if (Target.Failing && Options.Trouble == trouble::Freeze)
      return;
    if (Target.Failing && Options.Trouble == trouble::DaemonGone) {
      answer(Attempt, attempt_outcome::NotRun);
      return;
    }
    const ticket Ticket = ++LastTicket;
    const time_point Deadline = Options.DeadlineAwareAdmission
                                    ? Attempt->Call->Context.Deadline
                                    : time_point::max();
    if (!Options.DeadlineAwareAdmission)
      Target.Admission.setLimits({Slots, 1U << 30});
    auto Action =
        Target.Admission.admit(Ticket, "service", "v1", Deadline, Events.now());
    if (Action.has_error()) {
      answer(Attempt, attempt_outcome::NotRun);
      return;
    }
    Target.Waiting[Ticket] = Attempt;
    if (Action.value() == admission_action::Run)
      execute(Target, Ticket);
  }

  void execute(target_side &Target, ticket Ticket) {
    auto Attempt = Target.Waiting.extract(Ticket).mapped();
    const bool FailFast =
        Target.Failing && Options.Trouble == trouble::FailFast;
    const std::chrono::duration<double> Age = Events.now() - Target.ColdSince;
    const double Cold =
        Target.ColdSince == time_point{}
            ? 1
            : 1 + (ColdFactor - 1) *
                      std::max(0.0, 1 - Age.count() / ColdSeconds);
    const double Time =
        FailFast
            ? 1
            : RunMs * Options.Deployment.Slow[Attempt->Index] * Cold *
                  std::lognormal_distribution<double>(0, RunSpread)(Engine);
    Events.afterMs(Time, [=, this, &Target] {
      settle(Target, Target.Admission.finish(
                         Ticket, milliseconds(static_cast<std::int64_t>(Time)),
                         Events.now()));
      answer(Attempt,
             FailFast ? attempt_outcome::Failed : attempt_outcome::Success);
    });
  }

  void settle(target_side &Target, const std::vector<admission_release> &All) {
    for (const admission_release &Release : All)
      if (Release.Refusal)
        answer(Target.Waiting.extract(Release.Ticket).mapped(),
               attempt_outcome::NotRun);
      else
        execute(Target, Release.Ticket);
  }

  void answer(const std::shared_ptr<attempt> &Attempt,
              attempt_outcome Outcome) {
    entry_side &Entry = *Entries[Attempt->Call->Entry];
    target_side &Target = Targets[Attempt->Index];
    load_hint Hint{Target.Admission.running(), Slots,
                   Target.Admission.queued()};
    if (Options.Trouble == trouble::FalseLoad) {
      Hint = Target.Reports.front();
      if (Attempt->Index + 1 == Targets.size())
        Hint = {0, Slots, 0};
    }
    Events.afterMs(networkMs(Entry, Attempt->Target), [=, this] {
      Entries[Attempt->Call->Entry]->Stats.recordHint(Attempt->Target, Hint,
                                                      Events.now());
      endAttempt(*Attempt, Outcome);
    });
  }

  void endAttempt(attempt &Attempt, attempt_outcome Outcome) {
    if (Attempt.Ended)
      return;
    Attempt.Ended = true;
    call &Call = *Attempt.Call;
    entry_side &Entry = *Entries[Call.Entry];
    Entry.Stats.recordEnd(
        Attempt.Target, Outcome,
        std::chrono::duration_cast<milliseconds>(Events.now() - Attempt.Sent),
        Events.now());
    retry_request Retry;
    Retry.Outcome = Outcome;
    Retry.Idempotent = true;
    Retry.AttemptsLeft = 3 - Call.Made;
    Retry.Deadline = Call.Context.Deadline;
    Retry.Now = Events.now();
    if (decideRetry(Retry, Entry.Budget) == retry_decision::Retry)
      send(Attempt.Call);
    else
      finishCall(Call, Outcome);
  }

  void finishCall(const call &Call, attempt_outcome Outcome) {
    const std::chrono::duration<double, std::milli> Time =
        Events.now() - Call.Started;
    const bool InTime = Events.now() < Call.Context.Deadline;
    if (Outcome == attempt_outcome::Success && InTime) {
      ++Result.Succeeded;
      Result.LatencyMs.push_back(Time.count() + Options.Deployment.CallerMs);
    } else {
      ++(Outcome == attempt_outcome::NotRun ? Result.NotRun : Result.Failed);
    }
  }

  model_options Options;
  random_engine Engine;
  event_queue Events;
  routing_view View;
  std::vector<std::unique_ptr<entry_side>> Entries;
  std::vector<target_side> Targets;
  model_result Result;
  double MeanGapMs = 1;
  ticket LastTicket = 0;
  bool Stopped = false;
};

} // namespace

model_result runModel(const model_options &Options) {
  return model(Options).run();
}

} // namespace hyssopledge::bench
