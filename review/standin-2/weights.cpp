// The weights of a split are changed from 90 and 10 to 0 and 1.
#include "machines.h"

#include <random>

using namespace rig;

namespace {

constexpr char Host[] = "hulo84.example";
constexpr char Old[] = "huvo11a";
constexpr char Other[] = "lovo22d";
constexpr int Routes = 12;
constexpr ms WorkMs = 10;
constexpr ms MeanGapMs = 400; // of the requests on a route of a machine

json document(std::uint64_t Version, double OldWeight, double OtherWeight) {
  json Paths = json::array();
  for (int I = 0; I < Routes; ++I) {
    json Route = route("r" + std::to_string(I),
                       "/leny" + std::to_string(I) + "/", "safe", "", 1000, 2);
    Route.erase("service");
    Route["trafficSplit"] = {{{"service", Old}, {"weight", OldWeight}},
                             {{"service", Other}, {"weight", OtherWeight}}};
    Paths.push_back(Route);
  }
  return configuration(Version, Host, Paths, {Old, Other});
}

int run(const options &Options) {
  const machine A = makeMachine(1, "hr-jadran-a", Old);
  const machine B = makeMachine(2, "hr-jadran-a", Other);
  const endpoint Platform{"127.77.1.1", freePorts("127.77.1.1")};
  store &Store = *new store(Platform, 0);
  Store.put("op/config", document(7, 90, 10).dump());
  daemon_process DaemonA(Options, A, Platform);
  daemon_process DaemonB(Options, B, Platform);
  DaemonA.start();
  DaemonB.start();
  target &TargetA = *new target(A, "i-7f3a91c2", WorkMs);
  target &TargetB = *new target(B, "i-20b4d1aa", WorkMs);
  awaitReady({&DaemonA, &DaemonB}, 15'000);
  TargetA.startHeartbeats();
  TargetB.startHeartbeats();
  sleepMs(Bounds.ContactMs + 2000);

  std::atomic<bool> Sending{true};
  std::mutex Mutex;
  std::map<std::string, attempt> Sent;
  std::vector<std::thread> Clients;
  int Index = 0;
  for (const machine *At : {&A, &B})
    for (int I = 0; I < Routes; ++I)
      Clients.emplace_back([&, At, I, Seed = ++Index] {
        std::mt19937 Random(static_cast<unsigned>(Seed));
        std::exponential_distribution<double> Gap(1.0 / MeanGapMs);
        while (Sending) {
          const attempt Got = sendFresh(
              *At, "GET", "/leny" + std::to_string(I) + "/2f", Host, 1000);
          {
            const std::lock_guard<std::mutex> Lock(Mutex);
            Sent[Got.Id] = Got;
          }
          sleepMs(static_cast<ms>(Gap(Random)));
        }
      });
  sleepMs(6000);
  // With TROUBLE=0 the new weights are 0 and 100.
  Store.put("op/config", document(9, 0, Options.Trouble ? 1 : 100).dump());
  const ms AcknowledgedAt = nowMs();
  say("new weights acknowledged");
  sleepMs(12'000);
  Sending = false;
  for (std::thread &Client : Clients)
    Client.join();

  std::map<std::string, std::string> RanAt;
  for (target *Target : {&TargetA, &TargetB})
    for (const arrival &Arrival : Target->arrivals())
      if (Arrival.Ran)
        RanAt[Arrival.Id] = Target->At.Service;
  int Before = 0;
  int Wrong = 0;
  int Right = 0;
  ms LastWrong = 0;
  for (const auto &[Id, Got] : Sent) {
    const bool AtOld = RanAt[Id] == Old;
    if (Got.SentAt < AcknowledgedAt)
      Before += AtOld ? 1 : 0;
    else if (Got.SentAt > AcknowledgedAt + Bounds.ConfigApplyMs) {
      (AtOld ? Wrong : Right) += RanAt[Id].empty() ? 0 : 1;
      if (AtOld)
        LastWrong = std::max(LastWrong, Got.SentAt - AcknowledgedAt);
    }
  }
  say("sent later than configApplyMs after the acknowledgement: run by the "
      "service with weight 0: " +
      std::to_string(Wrong) + ", by the other: " + std::to_string(Right) +
      "; the last wrong one was sent " + std::to_string(LastWrong) +
      " ms after it");
  if (Before == 0 || Right == 0)
    return CouldNotRun;
  return Wrong > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
