// A target deregisters and its daemon acknowledges it. The daemon is killed and
// restarted. The target serves on for a while, as PROTOCOL.md allows.
#include "machines.h"

using namespace rig;

namespace {

constexpr char Host[] = "hulo84.example";
constexpr char Service[] = "rezervacije";
// Reads with serializable=1 are this old. The site files have 5.5 s.
constexpr ms StaleMs = 3000;
// The target serves on for this long after its deregistration.
constexpr ms ServesOnMs = 14'000;
constexpr ms KillAfterMs = 300;
constexpr ms RestartAfterMs = 300;
constexpr ms RequestGapMs = 40;
constexpr ms WorkMs = 40;

int run(const options &Options) {
  const machine A = makeMachine(1, "hr-jadran-a", Service);
  const machine B = makeMachine(2, "hr-jadran-b", Service);
  const machine C = makeMachine(3, "hr-jadran-c", Service);
  // Its clients call the service of A, which is the nearest.
  const machine D = makeMachine(4, "hr-jadran-a", "okupljanja");
  const endpoint Platform{"127.77.1.1", freePorts("127.77.1.1")};
  store &Store = *new store(Platform, StaleMs);
  Store.put("op/config",
            configuration(7, Host,
                          json::array({route("book", "/leny950/", "safe",
                                             Service, 600, 2)}),
                          {Service, "okupljanja"})
                .dump());
  daemon_process DaemonA(Options, A, Platform);
  daemon_process DaemonB(Options, B, Platform);
  daemon_process DaemonC(Options, C, Platform);
  daemon_process DaemonD(Options, D, Platform);
  target &TargetA = *new target(A, "i-7f3a91c2", WorkMs);
  target &TargetB = *new target(B, "i-20b4d1aa", WorkMs);
  target &TargetC = *new target(C, "i-91cc03fe", WorkMs);
  target &TargetD = *new target(D, "i-5d0e77b4", WorkMs);
  for (daemon_process *Daemon : {&DaemonA, &DaemonB, &DaemonC, &DaemonD})
    Daemon->start();
  awaitReady({&DaemonA, &DaemonB, &DaemonC, &DaemonD}, 15'000);
  for (target *Target : {&TargetA, &TargetB, &TargetC, &TargetD})
    Target->startHeartbeats();
  // The start is over, and the stale reads show all of it.
  sleepMs(StaleMs + 2000);

  std::atomic<bool> Sending{true};
  std::mutex Mutex;
  std::map<std::string, attempt> Sent;
  std::vector<std::thread> Clients;
  for (const machine *At : {&B, &D})
    Clients.emplace_back([&, At] {
      while (Sending) {
        const attempt Got = sendFresh(*At, "GET", "/leny950/2f", Host, 600);
        const std::lock_guard<std::mutex> Lock(Mutex);
        Sent[Got.Id] = Got;
        sleepMs(RequestGapMs);
      }
    });
  sleepMs(3000);

  TargetA.stopHeartbeats();
  if (!TargetA.deregister())
    throw std::runtime_error("the deregistration was not acknowledged");
  const ms AcknowledgedAt = nowMs();
  say("deregistration acknowledged");
  ms InTouchFrom = 0;
  if (Options.Trouble) {
    sleepMs(KillAfterMs);
    DaemonA.kill();
    sleepMs(RestartAfterMs);
    DaemonA.start();
    InTouchFrom = nowMs() + Bounds.ContactMs;
  }
  sleepUntil(AcknowledgedAt + ServesOnMs);
  Sending = false;
  for (std::thread &Client : Clients)
    Client.join();

  // DRAIN: sent later than drainMs after the acknowledgement, taken and sent
  // on by machines in touch. B and D have been in touch all the time.
  const ms From = std::max(AcknowledgedAt + Bounds.DrainMs, InTouchFrom);
  int Served = 0;
  for (const auto &[Id, Got] : Sent)
    Served += Got.SentAt > From && Got.Status == 200 ? 1 : 0;
  int Before = 0;
  int Late = 0;
  for (const arrival &Arrival : TargetA.arrivals()) {
    const auto Found = Sent.find(Arrival.Id);
    if (Found == Sent.end() || !Arrival.Ran)
      continue;
    Before += Found->second.SentAt < AcknowledgedAt ? 1 : 0;
    if (Found->second.SentAt <= From)
      continue;
    if (Late++ == 0)
      say("first late request " + Arrival.Id + " sent " +
          std::to_string(Found->second.SentAt - AcknowledgedAt) +
          " ms after the acknowledgement");
  }
  say("requests sent to B and D after " + std::to_string(From) +
      " ms and served: " + std::to_string(Served));
  say("requests that the target ran before its leave: " +
      std::to_string(Before) +
      "; sent too late and run there: " + std::to_string(Late));
  if (Before == 0 || Served == 0)
    return CouldNotRun;
  return Late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
