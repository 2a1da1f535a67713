// One daemon is killed. A configuration without quotas comes right after it.
#include "machines.hpp"

using namespace rig;

namespace {

constexpr char Host[] = "hulo84.example";
constexpr char Service[] = "zonefinder";
constexpr ms TimeoutMs = 1000;  // of the route
constexpr ms DeadlineMs = 3000; // of the clients
constexpr ms WorkMs = 20;
constexpr ms ConfigAfterMs = 120;
constexpr ms RestartAfterMs = 380; // since the configuration
constexpr int Tenants = 8;
constexpr int ClientsPerTenant = 4;
constexpr ms RequestGapMs = 60;
// CONFIG: no final answer this long after the route's timeout.
constexpr ms OverMs = 500;
constexpr int MinOver = 8;

json document(std::uint64_t Version, double RatePerS) {
  json Document =
      configuration(Version, Host,
                    json::array({route("lookup", "/leny950/", "safe", Service,
                                       TimeoutMs, 2)}),
                    {Service});
  Document["tenants"] = json::array();
  for (int I = 0; I < Tenants; ++I) {
    json Tenant = {{"name", "kitchen-" + std::to_string(I)},
                   {"apiKeys", {"k-" + std::to_string(I)}},
                   {"priority", 0}};
    if (RatePerS > 0) {
      Tenant["ratePerS"] = RatePerS;
      Tenant["burstSize"] = RatePerS;
    }
    Document["tenants"].push_back(Tenant);
  }
  return Document;
}

int run(const options &Options) {
  const machine A = makeMachine(1, "hr-jadran-a", Service);
  const machine B = makeMachine(2, "hr-jadran-b", Service);
  const machine C = makeMachine(3, "hr-jadran-c", Service);
  const endpoint Platform{"127.77.1.1", freePorts("127.77.1.1")};
  store &Store = *new store(Platform, 0);
  Store.put("op/config", document(7, 500).dump());
  daemon_process DaemonA(Options, A, Platform);
  daemon_process DaemonB(Options, B, Platform);
  daemon_process DaemonC(Options, C, Platform);
  for (daemon_process *Daemon : {&DaemonA, &DaemonB, &DaemonC})
    Daemon->start();
  std::vector<target *> Targets;
  for (const machine *At : {&A, &B, &C})
    Targets.push_back(new target(*At, "i-" + At->Name, WorkMs));
  awaitReady({&DaemonA, &DaemonB, &DaemonC}, 15'000);
  for (target *Target : Targets)
    Target->startHeartbeats();
  sleepMs(Bounds.ContactMs + 2000);

  std::atomic<bool> Sending{true};
  std::mutex Mutex;
  std::vector<attempt> Sent;
  std::vector<std::thread> Clients;
  for (int I = 0; I < Tenants * ClientsPerTenant; ++I)
    Clients.emplace_back([&, Key = "k-" + std::to_string(I % Tenants)] {
      while (Sending) {
        const attempt Got =
            sendFresh(B, "GET", "/leny950/2f", Host, DeadlineMs, "", Key);
        {
          const std::lock_guard<std::mutex> Lock(Mutex);
          Sent.push_back(Got);
        }
        sleepMs(RequestGapMs);
      }
    });
  sleepMs(3000);
  if (Options.Trouble)
    DaemonA.kill();
  sleepMs(ConfigAfterMs);
  Store.put("op/config", document(9, 0).dump());
  say("configuration without quotas acknowledged");
  sleepMs(RestartAfterMs);
  if (Options.Trouble)
    DaemonA.start();
  sleepMs(4000);
  Sending = false;
  for (std::thread &Client : Clients)
    Client.join();

  // B has been in touch all the time.
  int Unanswered = 0; // at the route's timeout
  int Over = 0;       // half a second later
  int Never = 0;
  std::map<int, int> Statuses;
  for (const attempt &Got : Sent) {
    ++Statuses[Got.Status];
    const ms Took = Got.EndedAt - Got.SentAt;
    Unanswered += Took >= TimeoutMs ? 1 : 0;
    Over += Took >= TimeoutMs + OverMs ? 1 : 0;
    Never += Got.TimedOut ? 1 : 0;
  }
  for (const auto &[Status, Count] : Statuses)
    say("answers with status " + std::to_string(Status) + ": " +
        std::to_string(Count));
  say("unanswered at the route's timeout: " + std::to_string(Unanswered) +
      ", half a second later: " + std::to_string(Over) +
      ", never answered: " + std::to_string(Never));
  if (Statuses[200] < 100)
    return CouldNotRun;
  return Over >= MinOver && 2 * Over > Unanswered ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
