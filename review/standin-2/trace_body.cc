// One client sends a TRACE request with a body. Other clients of the machine
// have requests in progress on kept connections.
#include "machines.hpp"

using namespace rig;

namespace {

constexpr char Host[] = "hulo84.example";
constexpr char Service[] = "parkovi";
constexpr int Clients = 12;
constexpr ms WorkMs = 400;
constexpr ms DeadlineMs = 3000;
// LOST: more than this many requests are cut.
constexpr int AllowedCuts = 3;

int run(const options &Options) {
  const machine A = makeMachine(1, "hr-jadran-a", Service);
  const machine B = makeMachine(2, "hr-jadran-b", Service);
  const endpoint Platform{"127.77.1.1", freePorts("127.77.1.1")};
  store &Store = *new store(Platform, 0);
  Store.put("op/config",
            configuration(7, Host,
                          json::array({route("status", "/puka111/", "safe",
                                             Service, 3000, 2)}),
                          {Service})
                .dump());
  daemon_process DaemonA(Options, A, Platform);
  daemon_process DaemonB(Options, B, Platform);
  target &TargetA = *new target(A, "i-7f3a91c2", WorkMs);
  target &TargetB = *new target(B, "i-20b4d1aa", WorkMs);
  DaemonA.start();
  DaemonB.start();
  awaitReady({&DaemonA, &DaemonB}, 15'000);
  TargetA.startHeartbeats();
  TargetB.startHeartbeats();
  // In touch: longer than contactMs since the start.
  sleepMs(Bounds.ContactMs + 2000);

  // Each client keeps its connection: two requests, the second one in progress
  // at the disruption.
  std::mutex Mutex;
  std::vector<attempt> First;
  std::vector<attempt> Second;
  std::atomic<int> Waiting{0};
  std::vector<std::thread> Threads;
  const ms SecondAt = nowMs() + 2500;
  for (int I = 0; I < Clients; ++I)
    Threads.emplace_back([&] {
      const auto To = connection::open(A.outbound());
      if (!To)
        return;
      const attempt One =
          sendRequest(*To, A.Name, "GET", "/puka111/gate", Host, DeadlineMs);
      sleepUntil(SecondAt);
      ++Waiting;
      const attempt Two =
          sendRequest(*To, A.Name, "GET", "/puka111/gate", Host, DeadlineMs);
      const std::lock_guard<std::mutex> Lock(Mutex);
      First.push_back(One);
      Second.push_back(Two);
    });
  sleepUntil(SecondAt + WorkMs / 2);
  // With TROUBLE=0 the same request has no body.
  const std::string Body = Options.Trouble ? "abcd" : "";
  const attempt Trace =
      sendFresh(A, "TRACE", "/puka111/gate", Host, DeadlineMs, Body);
  for (std::thread &Thread : Threads)
    Thread.join();
  sleepMs(500);
  const bool Died = DaemonA.ended().has_value();
  const attempt Later = sendFresh(A, "GET", "/puka111/gate", Host, DeadlineMs);

  int Kept = 0;
  int Cut = 0;
  std::map<std::string, int> RanAt;
  for (target *Target : {&TargetA, &TargetB})
    for (const arrival &Arrival : Target->arrivals())
      RanAt[Arrival.Id] += Arrival.Ran ? 1 : 0;
  for (std::size_t I = 0; I < Second.size(); ++I) {
    Kept += First[I].Status == 200 ? 1 : 0;
    // Passed on to a sound target, and the connection ended without an answer.
    Cut += Second[I].Closed && RanAt.contains(Second[I].Id) ? 1 : 0;
  }
  say("TRACE request: status " + std::to_string(Trace.Status) +
      (Trace.Closed ? ", connection closed" : ""));
  say("daemon ended by itself: " + std::string(Died ? "yes" : "no") +
      "; a request half a second later: " +
      (Later.Status != 0 ? "status " + std::to_string(Later.Status)
                         : std::string("no answer")));
  say("kept connections: " + std::to_string(Kept) +
      ", requests passed on and cut without an answer: " + std::to_string(Cut) +
      ", allowed: " + std::to_string(AllowedCuts));
  if (Kept <= AllowedCuts)
    return CouldNotRun;
  return Cut > AllowedCuts ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
