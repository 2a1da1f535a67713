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

const routing_deployment ThreadAndCrest{"thread_and_crest", 4, 16, 1, 1,
                                        {1, 1.2, 1.6, 2.5}};
const routing_deployment DogParks{"dog_parks", 3, 12, 8, 1, {1, 1.5, 2.5}};

double routing_result::percentile(double P) const {
  if (LatencyMs.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(P * static_cast<double>(LatencyMs.size() - 1));
  return LatencyMs[Index];
}

namespace {

constexpr std::uint32_t Slots = 12;
constexpr double MedianRunMs = 10;   // of the fastest target
constexpr double RunTimeSigma = 0.5; // of the logarithm of the run time
constexpr double SameCentreDelayMs = 0.1;
constexpr std::size_t FaultyTarget = 1; // index of the target with the fault
constexpr double ColdStartFactor = 8;
constexpr double ColdStartSeconds = 8;

struct call {
  call_context Context;
  attempt_history History;
  std::size_t Entry = 0;
  time_point StartedAt{};
  std::uint32_t AttemptsMade = 0;
};

struct attempt {
  std::shared_ptr<call> Call;
  target_record Target;
  std::size_t Index = 0; // of the target in the view
  time_point SentAt{};
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
  std::deque<load_hint> LoadReports; // one per 100 ms, at most 10
  time_point ColdStartedAt{};
  bool FaultActive = false;
};

class routing_model {
public:
  explicit routing_model(const routing_model_options &Options)
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
    const routing_deployment &Deployment = Options.Deployment;
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

  routing_result run() {
    double CapacityPerSecond = 0;
    for (const double Factor : Options.Deployment.RunTimeFactors)
      CapacityPerSecond +=
          Slots * 1000 /
          (MedianRunMs * Factor * std::exp(RunTimeSigma * RunTimeSigma / 2));
    MeanArrivalIntervalMs = 1000 / (CapacityPerSecond * Options.Load);
    announceTargets();
    startCall();
    Events.after(std::chrono::seconds(5), [this] { startFault(); });
    Events.run(Options.Duration);
    ArrivalsStopped = true;
    Events.run(std::chrono::milliseconds(
        static_cast<std::int64_t>(Options.TimeoutMs) + 1000));
    std::sort(Result.LatencyMs.begin(), Result.LatencyMs.end());
    Result.ArrivalSeconds =
        std::chrono::duration<double>(Options.Duration).count();
    return Result;
  }

private:
  double networkMs(const entry_side &Entry, const target_record &Target) const {
    return Entry.DataCentre == Target.DataCentre
               ? SameCentreDelayMs
               : Options.Deployment.CrossCentreDelayMs;
  }

  void announceTargets() {
    for (target_side &Target : Targets) {
      upstream_announcement Announcement;
      Announcement.Service = "service";
      Announcement.Version = "v1";
      Announcement.Slots = Slots;
      Target.Admission.announce(Announcement, Events.now());
      Target.LoadReports.push_back(
          {Target.Admission.running(), Slots, Target.Admission.queued()});
      if (Target.LoadReports.size() > 10)
        Target.LoadReports.pop_front();
      applyReleases(Target, Target.Admission.expire(Events.now()));
    }
    Events.afterMs(100, [this] { announceTargets(); });
  }

  void startFault() {
    if (Options.Fault == routing_fault::ColdStart) {
      auto Table = std::make_shared<target_table>(*View.Targets);
      Table->Targets[FaultyTarget].Incarnation++;
      Table->Targets[FaultyTarget].FirstSeen = Events.now();
      View.Targets = Table;
      for (auto &Entry : Entries)
        Entry->Stats.update(*Table);
      Targets[FaultyTarget].ColdStartedAt = Events.now();
    } else {
      Targets[FaultyTarget].FaultActive = true;
    }
  }

  void startCall() {
    if (ArrivalsStopped)
      return;
    auto Call = std::make_shared<call>();
    Call->Entry = uniformBelow(Engine, Entries.size());
    Call->StartedAt = Events.now();
    Call->Context.Method = "GET";
    Call->Context.RandomDraw = Engine();
    Call->Context.Deadline =
        Events.now() +
        std::chrono::milliseconds(static_cast<std::int64_t>(Options.TimeoutMs));
    ++Result.Calls;
    Entries[Call->Entry]->Budget.recordCall();
    Events.afterMs(Options.Deployment.CallerDelayMs, [=, this] { send(Call); });
    Events.afterMs(std::exponential_distribution<double>(
                       1 / MeanArrivalIntervalMs)(Engine),
                   [this] { startCall(); });
  }

  void send(const std::shared_ptr<call> &Call) {
    entry_side &Entry = *Entries[Call->Entry];
    ++Call->AttemptsMade;
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
    Attempt->SentAt = Events.now();
    Entry.Stats.recordStart(Attempt->Target);
    Call->History.TriedInstances.push_back(Attempt->Target.Instance);
    Events.afterMs(networkMs(Entry, Attempt->Target),
                   [=, this] { receiveAttempt(Attempt); });
    Events.after(Call->Context.Deadline - Events.now(),
                 [=, this] { endAttempt(*Attempt, attempt_outcome::Unknown); });
  }

  void receiveAttempt(const std::shared_ptr<attempt> &Attempt) {
    target_side &Target = Targets[Attempt->Index];
    if (Target.FaultActive && Options.Fault == routing_fault::Freeze)
      return;
    if (Target.FaultActive && Options.Fault == routing_fault::DaemonStopped) {
      sendAnswer(Attempt, attempt_outcome::NotRun);
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
      sendAnswer(Attempt, attempt_outcome::NotRun);
      return;
    }
    Target.Waiting[Ticket] = Attempt;
    if (Action.value() == admission_action::Run)
      runAttempt(Target, Ticket);
  }

  void runAttempt(target_side &Target, ticket Ticket) {
    auto Attempt = Target.Waiting.extract(Ticket).mapped();
    const bool FailFast =
        Target.FaultActive && Options.Fault == routing_fault::FailFast;
    const std::chrono::duration<double> Age =
        Events.now() - Target.ColdStartedAt;
    const double ColdFactor =
        Target.ColdStartedAt == time_point{}
            ? 1
            : 1 + (ColdStartFactor - 1) *
                      std::max(0.0, 1 - Age.count() / ColdStartSeconds);
    const double RunTimeMs =
        FailFast
            ? 1
            : MedianRunMs * Options.Deployment.RunTimeFactors[Attempt->Index] *
                  ColdFactor *
                  std::lognormal_distribution<double>(0, RunTimeSigma)(Engine);
    Events.afterMs(RunTimeMs, [=, this, &Target] {
      applyReleases(Target,
                    Target.Admission.finish(
                        Ticket,
                        milliseconds(static_cast<std::int64_t>(RunTimeMs)),
                        Events.now()));
      sendAnswer(Attempt,
                 FailFast ? attempt_outcome::Failed : attempt_outcome::Success);
    });
  }

  void applyReleases(target_side &Target,
                     const std::vector<admission_release> &Releases) {
    for (const admission_release &Release : Releases)
      if (Release.Refusal)
        sendAnswer(Target.Waiting.extract(Release.Ticket).mapped(),
                   attempt_outcome::NotRun);
      else
        runAttempt(Target, Release.Ticket);
  }

  void sendAnswer(const std::shared_ptr<attempt> &Attempt,
                  attempt_outcome Outcome) {
    entry_side &Entry = *Entries[Attempt->Call->Entry];
    target_side &Target = Targets[Attempt->Index];
    load_hint Hint{Target.Admission.running(), Slots,
                   Target.Admission.queued()};
    if (Options.Fault == routing_fault::FalseLoad) {
      Hint = Target.LoadReports.front();
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
        std::chrono::duration_cast<milliseconds>(Events.now() - Attempt.SentAt),
        Events.now());
    retry_request Retry;
    Retry.Outcome = Outcome;
    Retry.Idempotent = true;
    Retry.AttemptsLeft = 3 - Call.AttemptsMade;
    Retry.Deadline = Call.Context.Deadline;
    Retry.Now = Events.now();
    if (decideRetry(Retry, Entry.Budget) == retry_decision::Retry)
      send(Attempt.Call);
    else
      finishCall(Call, Outcome);
  }

  void finishCall(const call &Call, attempt_outcome Outcome) {
    const std::chrono::duration<double, std::milli> Latency =
        Events.now() - Call.StartedAt;
    const bool InTime = Events.now() < Call.Context.Deadline;
    if (Outcome == attempt_outcome::Success && InTime) {
      ++Result.Succeeded;
      Result.LatencyMs.push_back(Latency.count() +
                                 Options.Deployment.CallerDelayMs);
    } else {
      ++(Outcome == attempt_outcome::NotRun ? Result.NotRun : Result.Failed);
    }
  }

  routing_model_options Options;
  random_engine Engine;
  event_queue Events;
  routing_view View;
  std::vector<std::unique_ptr<entry_side>> Entries;
  std::vector<target_side> Targets;
  routing_result Result;
  double MeanArrivalIntervalMs = 1;
  ticket LastTicket = 0;
  bool ArrivalsStopped = false;
};

} // namespace

routing_result runRoutingModel(const routing_model_options &Options) {
  return routing_model(Options).run();
}

} // namespace hyssopledge::bench
