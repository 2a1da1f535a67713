#include "hyssopledge/state/picker.h"

#include "hyssopledge/state/random.h"

#include <algorithm>
#include <atomic>
#include <cmath>

namespace hyssopledge::state {

namespace {

// Slow start: the weight of a new target grows to 1 over this time.
constexpr std::chrono::seconds WarmUpPeriod{10};
constexpr double MinWarmUpWeight = 0.1;
// Reported load is delayed and may be wrong, so it only adjusts the score, by
// this factor at most. A larger one raised p99 when reports were false and did
// not lower it in any other case.
constexpr std::chrono::seconds HintTtl{2};
constexpr double MaxHintPenalty = 0.2;
// Time constant by which old failures and latencies above the median decay, so
// that a target that performed badly is used again.
constexpr double SampleDecaySeconds = 10;
// Share of first attempts that probe a target after its ejection. A failed
// probe is retried if the call is idempotent, otherwise the call fails.
constexpr double ProbeShare = 0.25;
constexpr double ProbeShareNotIdempotent = 0.02;
// Another data centre is used when the score of the local choice is worse by
// more than this factor. With 2.5, single slow local targets raised p99; with
// 1.0, p50 rose.
constexpr double MaxLocalScoreRatio = 1.5;

std::uint64_t mixBits(std::uint64_t Value) { // finalizer of SplitMix64
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

std::uint64_t hashText(std::string_view Text) { // FNV-1a, then mixed
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (const char Character : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Character)) * 0x100000001b3ULL;
  return mixBits(Hash);
}

/// Sequence of uniform draws seeded by one random number (SplitMix64).
class random_draws {
public:
  explicit random_draws(std::uint64_t Seed) : State(Seed) {}
  double nextUnit() {
    State += 0x9e3779b97f4a7c15ULL;
    return unitInterval(mixBits(State));
  }

private:
  std::uint64_t State;
};

bool isUsableVersion(const routing_view &View, const service_spec &Service,
                     const std::string &Version) {
  const std::pair<std::string, std::string> Key{Service.Name, Version};
  return std::find(Service.Versions.begin(), Service.Versions.end(), Version) !=
             Service.Versions.end() &&
         View.Verdicts->Condemned.count(Key) == 0 &&
         View.Verdicts->Avoided.count(Key) == 0;
}

bool isServing(const target_record &Target, std::string_view Service,
               std::string_view Version) {
  return Target.State == target_state::Serving && Target.Service == Service &&
         Target.Version == Version;
}

bool hasServingTarget(const routing_view &View, const service_spec &Service,
                      const std::string &Version) {
  return std::any_of(View.Targets->Targets.begin(), View.Targets->Targets.end(),
                     [&](const target_record &Target) {
                       return isServing(Target, Service.Name, Version);
                     });
}

/// Whether the call must reach the daemon that stores its idempotency key.
bool requiresHomeTarget(const pick_request &Request) {
  return !Request.Call.IdempotencyKey.empty() && !Request.Route.Idempotent;
}

using target_list = std::vector<const target_record *>;

struct version_targets {
  version_choice Choice;
  target_list Targets;
};

/// Version of the attempt and its serving targets. Targets that were tried
/// before are returned only when no other is left.
result<version_targets> findTargets(const pick_request &Request) {
  if (!Request.View.Snapshot)
    return failure(errc::NotReady, "no configuration is in force");
  const service_spec *Service =
      Request.View.Snapshot->findService(Request.Route.Service);
  if (Service == nullptr)
    return failure(errc::NoTarget, "unknown service " + Request.Route.Service);
  // A repeated key needs the same version, or its home target would change. The
  // draw is therefore derived from the key, and a retry (only after "not run",
  // as the route is not idempotent) keeps the version.
  version_targets Found;
  Found.Choice = requiresHomeTarget(Request)
                     ? chooseVersion(Request.View, *Service,
                                     hashText(Request.Call.IdempotencyKey), {})
                     : chooseVersion(Request.View, *Service,
                                     Request.Call.RandomDraw, Request.History);
  if (Found.Choice.Version.empty())
    return failure(errc::NoTarget,
                   "no usable version of service " + Service->Name);
  target_list Tried;
  for (const target_record &Target : Request.View.Targets->Targets) {
    if (!isServing(Target, Service->Name, Found.Choice.Version))
      continue;
    const auto &Instances = Request.History.TriedInstances;
    const bool WasTried = std::find(Instances.begin(), Instances.end(),
                                    Target.Instance) != Instances.end();
    (WasTried ? Tried : Found.Targets).push_back(&Target);
  }
  if (Found.Targets.empty())
    Found.Targets = std::move(Tried);
  if (Found.Targets.empty())
    return failure(errc::NoTarget, "no serving target of service " +
                                       Service->Name + " version " +
                                       Found.Choice.Version);
  return Found;
}

//-----------------------------------------------------------------------------
// Two random choices
//-----------------------------------------------------------------------------

struct candidate {
  const target_record *Target = nullptr;
  std::shared_ptr<target_stats> Stats;
  double LatencyMs = 0; // 0: no sample
  double FailureRate = 0;
  std::uint32_t InFlight = 0;
  bool Ejected = false;
  bool ProbeDue = false; // its ejection has ended, no call has succeeded since
  double Weight = 1;     // in the random draw; below 1 during slow start
  double Score = 0;      // lower is better
};

using candidate_list = std::vector<candidate>;

candidate_list::iterator drawWeighted(candidate_list &List,
                                      candidate_list::iterator Skip,
                                      random_draws &Draws) {
  double Total = 0;
  for (auto It = List.begin(); It != List.end(); ++It)
    Total += It == Skip ? 0 : It->Weight;
  double Point = Draws.nextUnit() * Total;
  auto Last = List.end();
  for (auto It = List.begin(); It != List.end(); ++It) {
    if (It == Skip)
      continue;
    Last = It;
    Point -= It->Weight;
    if (Point < 0)
      break;
  }
  return Last;
}

const candidate *pickBetterOfTwo(candidate_list &List, random_draws &Draws) {
  if (List.empty())
    return nullptr;
  const auto First = drawWeighted(List, List.end(), Draws);
  const auto Second = drawWeighted(List, First, Draws);
  return Second == List.end() || First->Score <= Second->Score ? &*First
                                                               : &*Second;
}

class two_choice_picker final : public picker {
public:
  two_choice_picker(const target_stats_registry &Stats,
                    std::string LocalDataCentre)
      : Stats(Stats), LocalDataCentre(std::move(LocalDataCentre)) {}

  result<picked_target> pick(const pick_request &Request) const override {
    auto Found = findTargets(Request);
    if (Found.has_error())
      return Found.error();
    const version_choice &Choice = Found.value().Choice;
    if (requiresHomeTarget(Request)) {
      const target_record *Home =
          homeTarget(*Request.View.Targets, Request.Route.Service,
                     Choice.Version, Request.Call.IdempotencyKey);
      return picked_target{*Home, Choice.UsesNewVersion};
    }
    candidate_list All = collectCandidates(Found.value().Targets, Request.Now);
    dropEjected(All);
    computeScores(All, Request.Now);
    random_draws Draws(Request.Random);
    if (const candidate *ProbeDue = drawProbe(All, Request, Draws))
      return picked_target{*ProbeDue->Target, Choice.UsesNewVersion};
    candidate_list Remote;
    if (!LocalDataCentre.empty()) {
      const auto Split =
          std::stable_partition(All.begin(), All.end(), [&](const auto &C) {
            return C.Target->DataCentre == LocalDataCentre;
          });
      Remote.assign(Split, All.end());
      All.erase(Split, All.end());
    }
    const candidate *Local = pickBetterOfTwo(All, Draws);
    const candidate *Other = pickBetterOfTwo(Remote, Draws);
    // Weights are also compared: in a data centre with a single target, the
    // preference would otherwise cancel its slow start.
    const bool UseOther = Local == nullptr ||
                          (Other != nullptr &&
                           (Local->Score > MaxLocalScoreRatio * Other->Score ||
                            Draws.nextUnit() > Local->Weight / Other->Weight));
    return picked_target{*(UseOther ? Other : Local)->Target,
                         Choice.UsesNewVersion};
  }

private:
  candidate_list collectCandidates(const target_list &Targets,
                                   time_point Now) const {
    candidate_list All;
    All.reserve(Targets.size());
    for (const target_record *Target : Targets) {
      candidate C;
      C.Target = Target;
      C.Stats = Stats.find(*Target);
      const std::chrono::duration<double> Age = Now - Target->FirstSeen;
      C.Weight = std::clamp(Age / std::chrono::duration<double>(WarmUpPeriod),
                            MinWarmUpWeight, 1.0);
      if (C.Stats) {
        C.LatencyMs = C.Stats->LatencyMs.load(std::memory_order_relaxed);
        C.FailureRate = C.Stats->FailureRate.load(std::memory_order_relaxed);
        C.InFlight = C.Stats->InFlight.load(std::memory_order_relaxed);
        const auto Until =
            C.Stats->EjectedUntilNs.load(std::memory_order_relaxed);
        // One call at a time probes the target until one succeeds.
        C.ProbeDue = Until != 0 && Now.time_since_epoch().count() >= Until &&
                     C.InFlight == 0;
        C.Ejected = Until != 0 && !C.ProbeDue;
      }
      All.push_back(std::move(C));
    }
    return All;
  }

  /// Target to probe with this call, or null. A target due for a probe has the
  /// worst score, so that the ordinary draw would never select it again.
  static const candidate *drawProbe(const candidate_list &All,
                                    const pick_request &Request,
                                    random_draws &Draws) {
    if (!Request.History.TriedInstances.empty())
      return nullptr; // a retry should reach a healthy target
    const double Share =
        Request.Route.Idempotent ? ProbeShare : ProbeShareNotIdempotent;
    for (const candidate &C : All)
      if (C.ProbeDue && Draws.nextUnit() < Share)
        return &C;
    return nullptr;
  }

  /// Keeps at least half of the targets, so that a fault common to all of them
  /// does not concentrate the load on a few.
  static void dropEjected(candidate_list &All) {
    std::stable_sort(All.begin(), All.end(), [](const auto &A, const auto &B) {
      return A.Ejected != B.Ejected
                 ? !A.Ejected
                 : A.Ejected && A.FailureRate < B.FailureRate;
    });
    const auto Usable = static_cast<std::size_t>(std::count_if(
        All.begin(), All.end(), [](const auto &C) { return !C.Ejected; }));
    All.resize(std::max(Usable, (All.size() + 1) / 2));
  }

  static void computeScores(candidate_list &All, time_point Now) {
    std::vector<double> Measured;
    for (const candidate &C : All)
      if (C.LatencyMs > 0)
        Measured.push_back(C.LatencyMs);
    double Median = 1;
    if (!Measured.empty()) {
      const auto Middle =
          Measured.begin() + static_cast<std::ptrdiff_t>(Measured.size() / 2);
      std::nth_element(Measured.begin(), Middle, Measured.end());
      Median = *Middle;
    }
    for (candidate &C : All) {
      const double Latency = C.LatencyMs > 0 ? C.LatencyMs : Median;
      double Decay = 1;
      if (C.Stats) {
        const std::chrono::duration<double> Age =
            Now.time_since_epoch() -
            boot_clock::duration(
                C.Stats->SampleAtNs.load(std::memory_order_relaxed));
        Decay = std::exp(-Age.count() / SampleDecaySeconds);
      }
      const double DecayedLatency =
          Latency > Median ? Median + (Latency - Median) * Decay : Latency;
      // The failure rate counts, or a target that fails fast would be
      // preferred.
      C.Score = DecayedLatency * (C.InFlight + 1) /
                std::max(0.05, 1 - C.FailureRate * Decay) * hintFactor(C, Now);
    }
  }

  /// Factor from 1 (idle, or no recent hint) to 1 + MaxHintPenalty.
  static double hintFactor(const candidate &C, time_point Now) {
    if (!C.Stats)
      return 1;
    const auto Age =
        Now.time_since_epoch() -
        boot_clock::duration(C.Stats->HintAtNs.load(std::memory_order_relaxed));
    const auto Slots = C.Stats->HintSlots.load(std::memory_order_relaxed);
    if (Slots == 0 || Age > HintTtl)
      return 1;
    const double Used = C.Stats->HintUsed.load(std::memory_order_relaxed);
    return 1 + MaxHintPenalty * std::min(1.0, Used / Slots);
  }

  const target_stats_registry &Stats;
  std::string LocalDataCentre;
};

//-----------------------------------------------------------------------------
// Baselines
//-----------------------------------------------------------------------------

class round_robin_picker final : public picker {
public:
  result<picked_target> pick(const pick_request &Request) const override {
    auto Found = findTargets(Request);
    if (Found.has_error())
      return Found.error();
    const target_list &Targets = Found.value().Targets;
    const std::size_t Turn = Next.fetch_add(1, std::memory_order_relaxed);
    return picked_target{*Targets[Turn % Targets.size()],
                         Found.value().Choice.UsesNewVersion};
  }

private:
  mutable std::atomic<std::size_t> Next{0};
};

class least_reported_load_picker final : public picker {
public:
  explicit least_reported_load_picker(const target_stats_registry &Stats)
      : Stats(Stats) {}

  result<picked_target> pick(const pick_request &Request) const override {
    auto Found = findTargets(Request);
    if (Found.has_error())
      return Found.error();
    random_draws Draws(Request.Random);
    const target_record *Best = nullptr;
    double BestLoad = 0;
    unsigned Ties = 0;
    for (const target_record *Target : Found.value().Targets) {
      const auto TargetStats = Stats.find(*Target);
      const double Load =
          TargetStats && TargetStats->HintSlots.load() > 0
              ? static_cast<double>(TargetStats->HintUsed.load()) /
                    TargetStats->HintSlots.load()
              : 0;
      Ties = Best != nullptr && Load == BestLoad ? Ties + 1 : 1;
      if (Best == nullptr || Load < BestLoad ||
          (Load == BestLoad && Draws.nextUnit() * Ties < 1)) {
        Best = Target;
        BestLoad = Load;
      }
    }
    return picked_target{*Best, Found.value().Choice.UsesNewVersion};
  }

private:
  const target_stats_registry &Stats;
};

} // namespace

std::unique_ptr<picker> makeTwoChoicePicker(const target_stats_registry &Stats,
                                            std::string LocalDataCentre) {
  return std::make_unique<two_choice_picker>(Stats, std::move(LocalDataCentre));
}

std::unique_ptr<picker> makeRoundRobinPicker() {
  return std::make_unique<round_robin_picker>();
}

std::unique_ptr<picker>
makeLeastReportedLoadPicker(const target_stats_registry &Stats) {
  return std::make_unique<least_reported_load_picker>(Stats);
}

const target_record *homeTarget(const target_table &Targets,
                                std::string_view Service,
                                std::string_view Version,
                                std::string_view Key) {
  const std::uint64_t KeyHash = hashText(Key);
  const target_record *Home = nullptr;
  std::uint64_t Highest = 0;
  for (const target_record &Target : Targets.Targets) {
    if (!isServing(Target, Service, Version))
      continue;
    const std::uint64_t Rank = mixBits(KeyHash ^ hashText(Target.Instance));
    if (Home == nullptr || Rank > Highest ||
        (Rank == Highest && Target.Instance < Home->Instance)) {
      Home = &Target;
      Highest = Rank;
    }
  }
  return Home;
}

version_choice chooseVersion(const routing_view &View,
                             const service_spec &Service, std::uint64_t Draw,
                             const attempt_history &History) {
  const auto Usable = [&](const std::string &Version) {
    return isUsableVersion(View, Service, Version);
  };
  const std::string &Stable = Service.StableVersion;
  const auto Found = View.Directives->ByService.find(Service.Name);
  const rollout_directive *Directive =
      Found == View.Directives->ByService.end() ? nullptr : &Found->second;
  // A directive applies only to the rollout in the document. That of an earlier
  // document still supplies the version to fall back to.
  if (Directive == nullptr || !Service.Rollout ||
      Service.Rollout->ToVersion != Directive->ToVersion ||
      Stable != Directive->FromVersion) {
    if (Usable(Stable))
      return {Stable, false};
    if (Directive != nullptr && Directive->ToVersion == Stable &&
        Usable(Directive->FromVersion))
      return {Directive->FromVersion, false};
    return {};
  }
  const std::string &New = Directive->ToVersion;
  version_choice UseOld{Usable(Stable) ? Stable : std::string(), false};
  const bool NewAllowed =
      Directive->Phase != rollout_phase::RolledBack && Usable(New);
  if (!NewAllowed)
    return UseOld;
  const bool Done = Directive->Phase == rollout_phase::Done;
  version_choice UseNew{New, !Done};
  if (Done)
    return UseNew;
  const bool OldServes =
      !UseOld.Version.empty() && hasServingTarget(View, Service, Stable);
  if (History.TriedNewVersion || History.TriedOldVersion)
    // At a share of 1 the old targets may be gone.
    return Directive->Share >= 1 && !OldServes && !History.TriedOldVersion
               ? UseNew
               : UseOld;
  if (Directive->Share >= 1)
    return UseNew;
  // Without old targets the new version still gets no more than its share.
  // Without new targets all calls go to the old version.
  const bool Drawn = unitInterval(Draw) < Directive->Share;
  return Drawn && hasServingTarget(View, Service, New) ? UseNew : UseOld;
}

} // namespace hyssopledge::state
