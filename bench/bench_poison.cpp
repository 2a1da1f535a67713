/// \file
/// Counts the crashes until a poison request is refused, and the innocent
/// requests that are refused with it.
#include "bench/bench.h"
#include "bench/event_queue.h"
#include "hyssopledge/state/poison.h"
#include "hyssopledge/state/random.h"

#include <random>
#include <set>
#include <string>

namespace hyssopledge::bench {

using namespace state;

namespace {

constexpr unsigned Targets = 4;
constexpr double InnocentRunMs = 15; // mean run time of an innocent request
constexpr double TimeToCrashMs = 5;  // mean time until a poison request crashes
constexpr double RestartDelayMs = 500;   // until a crashed upstream is up again
constexpr double MaxGossipDelayMs = 100; // until a sighting reaches all daemons
constexpr std::uint64_t PoisonFingerprint = 1;
constexpr std::uint64_t PopularFingerprint = 2; // sent by many callers

struct crash_counts {
  double Crashes = 0;
  double InnocentRefused = 0; // number of distinct requests
};

/// Simulates targets that run requests at a mean concurrency. For 30 s the
/// caller of the poison request sends it again after every crash.
class crash_model {
public:
  crash_model(double Concurrency, double MaxResendDelayMs,
              bool DetectionEnabled, std::uint64_t Seed)
      : Concurrency(Concurrency), MaxResendDelayMs(MaxResendDelayMs),
        DetectionEnabled(DetectionEnabled), Engine(Seed) {}

  crash_counts run() {
    startInnocentRequest();
    Events.afterMs(1000, [this] { send(PoisonFingerprint); });
    Events.run(std::chrono::seconds(30));
    return {Crashes, static_cast<double>(RefusedInnocent.size())};
  }

private:
  struct target {
    std::multiset<std::uint64_t> InFlight;
    std::uint64_t Incarnation = 1; // incremented at each crash
    bool Running = true;
  };

  double exponentialMs(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(Engine);
  }

  void startInnocentRequest() {
    const bool IsPopular = uniformBelow(Engine, 5) == 0;
    send(IsPopular ? PopularFingerprint : ++LastFingerprint);
    Events.afterMs(exponentialMs(InnocentRunMs / (Concurrency * Targets)),
                   [this] { startInnocentRequest(); });
  }

  void scheduleResend(std::uint64_t Fingerprint) {
    Events.afterMs(MaxResendDelayMs * unitInterval(Engine()),
                   [=, this] { send(Fingerprint); });
  }

  void send(std::uint64_t Fingerprint) {
    if (DetectionEnabled && Detector.isPoison(Fingerprint, Events.now())) {
      if (Fingerprint != PoisonFingerprint)
        RefusedInnocent.insert(Fingerprint);
      return;
    }
    target &Target = AllTargets[uniformBelow(Engine, Targets)];
    if (!Target.Running) {
      scheduleResend(Fingerprint);
      return;
    }
    Target.InFlight.insert(Fingerprint);
    const std::uint64_t Incarnation = Target.Incarnation;
    Events.afterMs(exponentialMs(Fingerprint == PoisonFingerprint
                                     ? TimeToCrashMs
                                     : InnocentRunMs),
                   [=, this, &Target] {
                     if (Target.Incarnation != Incarnation)
                       return; // cut by a crash
                     if (Fingerprint == PoisonFingerprint) {
                       crash(Target);
                       return;
                     }
                     Target.InFlight.erase(Target.InFlight.find(Fingerprint));
                     Detector.addSuccess(Fingerprint);
                   });
  }

  void crash(target &Target) {
    ++Crashes;
    const auto InFlight = static_cast<std::uint32_t>(Target.InFlight.size());
    const std::string Name =
        std::to_string(&Target - AllTargets); // index of the target
    for (const std::uint64_t Fingerprint : Target.InFlight) {
      const crash_sighting Sighting{Fingerprint, Name, Target.Incarnation,
                                    InFlight};
      Events.afterMs(MaxGossipDelayMs * unitInterval(Engine()), [=, this] {
        Detector.addSighting(Sighting, Events.now());
      });
      scheduleResend(Fingerprint);
    }
    Target.InFlight.clear();
    Target.Running = false;
    ++Target.Incarnation;
    Events.afterMs(RestartDelayMs, [&Target] { Target.Running = true; });
  }

  double Concurrency;
  double MaxResendDelayMs; // callers send again within this delay
  bool DetectionEnabled;
  random_engine Engine;
  event_queue Events;
  poison_detector Detector;
  target AllTargets[Targets];
  std::set<std::uint64_t> RefusedInnocent;
  std::uint64_t LastFingerprint = PopularFingerprint;
  double Crashes = 0;
};

std::vector<row> benchPoison(const options &Options) {
  std::vector<row> Rows;
  const int Runs = Options.Quick ? 20 : 200;
  for (const auto &[Concurrency, MaxResendDelayMs] : {std::pair{0.1, 500.0},
                                                      {2.0, 500.0},
                                                      {6.0, 500.0},
                                                      {11.0, 500.0},
                                                      {2.0, 10.0},
                                                      {6.0, 10.0},
                                                      {11.0, 10.0}}) {
    crash_counts WithDetection;
    crash_counts WithoutDetection;
    for (int I = 0; I < Runs; ++I) {
      const std::uint64_t Seed =
          HeldOutSeedBase + Options.Seed * 1000 + static_cast<unsigned>(I);
      const crash_counts Counts =
          crash_model(Concurrency, MaxResendDelayMs, true, Seed).run();
      WithDetection.Crashes += Counts.Crashes / Runs;
      WithDetection.InnocentRefused += Counts.InnocentRefused / Runs;
      if (I < 5)
        WithoutDetection.Crashes +=
            crash_model(Concurrency, MaxResendDelayMs, false, Seed)
                .run()
                .Crashes /
            5;
    }
    const std::string Prefix =
        "poison.in_flight_" + std::to_string(static_cast<int>(Concurrency)) +
        ".sent_again_within_" +
        std::to_string(static_cast<int>(MaxResendDelayMs)) + "_ms.";
    Rows.push_back({Prefix + "crashes_within_30_s", "crashes",
                    WithDetection.Crashes, WithoutDetection.Crashes,
                    "no detection", "", false});
    Rows.push_back({Prefix + "innocent_refused", "requests",
                    WithDetection.InnocentRefused, 0, "", "", false});
  }
  return Rows;
}

const registration Register("poison", benchPoison);

} // namespace

} // namespace hyssopledge::bench
