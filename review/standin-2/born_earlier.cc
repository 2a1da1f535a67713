// The time of day of a machine jumps ahead while its target starts, and back.
// The target crashes and starts again under its name. Later it drains.
#include "machines.hpp"

using namespace rig;

namespace {

constexpr char Host[] = "hulo84.example";
constexpr char Service[] = "reservations";
constexpr char Id[] = "i-7f3a91c2";
// The jump of `clock_step` in the site file.
constexpr ms JumpMs = 2400;
constexpr ms CrashAfterMs = 900; // since the target's first start
constexpr ms DownMs = 700;
// The target serves on for this long after its first report of the drain.
constexpr ms ServesOnMs = 12'000;
constexpr ms RequestGapMs = 40;
constexpr ms WorkMs = 40;

int run(const options &Options) {
  const machine A = makeMachine(1, "bci-a", Service);
  // One of seven targets crashes, and the clock of one of eight machines jumps.
  std::vector<machine> Others;
  for (int I = 0; I < 6; ++I)
    Others.push_back(
        makeMachine(3 + I, I % 2 == 0 ? "bci-b" : "bci-c", Service));
  // Its clients call the service of A, which is the nearest.
  const machine D = makeMachine(2, "bci-a", "catalogue");
  const endpoint Platform{"127.77.1.1", freePorts("127.77.1.1")};
  store &Store = *new store(Platform, 0);
  Store.put("op/config",
            configuration(7, Host,
                          json::array({route("reserve", "/leny950/", "safe",
                                             Service, 3000, 2)}),
                          {Service, "catalogue"})
                .dump());
  daemon_process DaemonA(Options, A, Platform);
  daemon_process DaemonD(Options, D, Platform);
  std::vector<std::unique_ptr<daemon_process>> OtherDaemons;
  std::vector<daemon_process *> Daemons = {&DaemonA, &DaemonD};
  std::vector<target *> OtherTargets;
  for (const machine &Other : Others) {
    OtherDaemons.push_back(
        std::make_unique<daemon_process>(Options, Other, Platform));
    Daemons.push_back(OtherDaemons.back().get());
    OtherTargets.push_back(new target(Other, "i-" + Other.Name, WorkMs));
  }
  for (daemon_process *Daemon : Daemons)
    Daemon->start();
  target &TargetD = *new target(D, "i-5d0e77b4", WorkMs);
  awaitReady(Daemons, 15'000);
  for (target *Other : OtherTargets)
    Other->startHeartbeats();
  TargetD.startHeartbeats();

  const ms Ahead = Options.Trouble ? JumpMs : 0;
  say("target " + std::string(Id) +
      " starts; the time of day of its machine is " + std::to_string(Ahead) +
      " ms ahead");
  target &First = *new target(A, Id, WorkMs, 0, Ahead);
  First.startHeartbeats();
  sleepMs(CrashAfterMs);
  First.crash();
  say("the target crashes; the time of day is right again");
  sleepMs(DownMs);
  target &Again = *new target(A, Id, WorkMs);
  Again.startHeartbeats();
  say("the target is back under its name");
  // In touch again: longer than contactMs since the jump back.
  sleepMs(Bounds.ContactMs + 3000);

  std::atomic<bool> Sending{true};
  std::mutex Mutex;
  std::map<std::string, attempt> Sent;
  std::thread Client([&] {
    while (Sending) {
      const attempt Got = sendFresh(D, "GET", "/leny950/2f", Host, 1000);
      const std::lock_guard<std::mutex> Lock(Mutex);
      Sent[Got.Id] = Got;
      sleepMs(RequestGapMs);
    }
  });
  sleepMs(3000);
  Again.stopHeartbeats();
  if (!Again.heartbeat("draining"))
    throw std::runtime_error("the drain was not acknowledged");
  const ms AcknowledgedAt = nowMs();
  say("drain acknowledged");
  while (nowMs() < AcknowledgedAt + ServesOnMs) {
    sleepMs(Bounds.HeartbeatMs);
    Again.heartbeat("draining");
  }
  Sending = false;
  Client.join();

  // DRAIN: sent later than drainMs after the acknowledgement; all machines
  // have been in touch since before it.
  int Before = 0;
  int Late = 0;
  int Served = 0;
  ms Last = 0;
  for (const auto &[RequestId, Got] : Sent)
    Served += Got.SentAt > AcknowledgedAt + Bounds.DrainMs && Got.Status == 200
                  ? 1
                  : 0;
  for (const arrival &Arrival : Again.arrivals()) {
    const auto Found = Sent.find(Arrival.Id);
    if (Found == Sent.end() || !Arrival.Ran)
      continue;
    const ms SentAt = Found->second.SentAt;
    Before += SentAt < AcknowledgedAt ? 1 : 0;
    if (SentAt > AcknowledgedAt + Bounds.DrainMs) {
      ++Late;
      Last = std::max(Last, SentAt - AcknowledgedAt);
    }
  }
  say("run by the target before its drain: " + std::to_string(Before) +
      "; sent later than drainMs after the acknowledgement and run there: " +
      std::to_string(Late) + ", the last after " + std::to_string(Last) +
      " ms; served in that time: " + std::to_string(Served));
  if (Served == 0 || (Before == 0 && Late == 0))
    return CouldNotRun;
  return Late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
