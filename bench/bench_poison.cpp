/// \file
/// Crashes until a poison request is refused, and innocent requests refused.
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
constexpr double RunMs = 15;      // mean of an innocent request
constexpr double CrashMs = 5;     // mean until a poison request crashes
constexpr double RestartMs = 500; // of an upstream
constexpr double GossipMs = 100;  // until a sighting is known everywhere
constexpr std::uint64_t Poison = 1;
constexpr std::uint64_t Popular = 2; // the same request of many callers

struct counts {
  double Crashes = 0;
  double InnocentRefused = 0; // distinct requests
};

/// Targets that run requests at a mean concurrency; the poison request's
/// caller sends it again after every crash for 30 s.
class crash_model {
public:
  crash_model(double Concurrency, double ResendMs, bool Detect,
              std::uint64_t Seed)
      : Concurrency(Concurrency), ResendMs(ResendMs), Detect(Detect),
        Engine(Seed) {}

  counts run() {
    arrive();
    Events.afterMs(1000, [this] { send(Poison); });
    Events.run(std::chrono::seconds(30));
    return {Crashes, static_cast<double>(Refused.size())};
  }

private:
  struct target {
    std::multiset<std::uint64_t> InFlight;
    std::uint64_t Life = 1; // grows at each restart
    bool Up = true;
  };

  double exponentialMs(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(Engine);
  }

  void arrive() {
    const bool IsPopular = uniformBelow(Engine, 5) == 0;
    send(IsPopular ? Popular : ++Last);
    Events.afterMs(exponentialMs(RunMs / (Concurrency * Targets)),
                   [this] { arrive(); });
  }

  void sendAgain(std::uint64_t Fingerprint) {
    Events.afterMs(ResendMs * unitInterval(Engine()),
                   [=, this] { send(Fingerprint); });
  }

  void send(std::uint64_t Fingerprint) {
    if (Detect && Detector.isPoison(Fingerprint, Events.now())) {
      if (Fingerprint != Poison)
        Refused.insert(Fingerprint);
      return;
    }
    target &Target = All[uniformBelow(Engine, Targets)];
    if (!Target.Up) {
      sendAgain(Fingerprint);
      return;
    }
    Target.InFlight.insert(Fingerprint);
    const std::uint64_t Life = Target.Life;
    Events.afterMs(exponentialMs(Fingerprint == Poison ? CrashMs : RunMs),
                   [=, this, &Target] {
                     if (Target.Life != Life)
                       return; // ended by a crash
                     if (Fingerprint == Poison) {
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
        std::to_string(&Target - All); // position of the target
    for (const std::uint64_t Fingerprint : Target.InFlight) {
      const crash_sighting Sighting{Fingerprint, Name, Target.Life, InFlight};
      Events.afterMs(GossipMs * unitInterval(Engine()), [=, this] {
        Detector.addSighting(Sighting, Events.now());
      });
      sendAgain(Fingerprint);
    }
    Target.InFlight.clear();
    Target.Up = false;
    ++Target.Life;
    Events.afterMs(RestartMs, [&Target] { Target.Up = true; });
  }

  double Concurrency;
  double ResendMs; // callers send again within this time
  bool Detect;
  random_engine Engine;
  event_queue Events;
  poison_detector Detector;
  target All[Targets];
  std::set<std::uint64_t> Refused;
  std::uint64_t Last = Popular;
  double Crashes = 0;
};

std::vector<row> benchPoison(const options &Options) {
  std::vector<row> Rows;
  const int Runs = Options.Quick ? 20 : 200;
  for (const auto &[Concurrency, ResendMs] : {std::pair{0.1, 500.0},
                                              {2.0, 500.0},
                                              {6.0, 500.0},
                                              {11.0, 500.0},
                                              {2.0, 10.0},
                                              {6.0, 10.0},
                                              {11.0, 10.0}}) {
    counts Ours;
    counts None;
    for (int I = 0; I < Runs; ++I) {
      const std::uint64_t Seed =
          HeldOutSeedBase + Options.Seed * 1000 + static_cast<unsigned>(I);
      const counts A = crash_model(Concurrency, ResendMs, true, Seed).run();
      Ours.Crashes += A.Crashes / Runs;
      Ours.InnocentRefused += A.InnocentRefused / Runs;
      if (I < 5)
        None.Crashes +=
            crash_model(Concurrency, ResendMs, false, Seed).run().Crashes / 5;
    }
    const std::string Prefix =
        "poison.in_flight_" + std::to_string(static_cast<int>(Concurrency)) +
        ".sent_again_within_" + std::to_string(static_cast<int>(ResendMs)) +
        "_ms.";
    Rows.push_back({Prefix + "crashes_within_30_s", "crashes", Ours.Crashes,
                    None.Crashes, "no detection", "", false});
    Rows.push_back({Prefix + "innocent_refused", "requests",
                    Ours.InnocentRefused, 0, "", "", false});
  }
  return Rows;
}

const registration Register("poison", benchPoison);

} // namespace

} // namespace hyssopledge::bench
