// A crowd of clients pipelines safe requests whose headers have many short
// fields. All stay within the limits of the configuration. The platform kills a
// process that exceeds the memory of its machine, as DEPLOY.md says.
#include "machines.hpp"

using namespace rig;

namespace {

constexpr char Host[] = "hulo84.example";
constexpr char Service[] = "parkovi";
constexpr long MemoryMb = 260; // of the settings and of the site file
constexpr std::size_t HeaderBytes = 16'000; // the limit is 16,384
constexpr int CrowdConnections = 200;
constexpr int PipelinedRequests = 16;
constexpr int CrowdThreads = 16;
constexpr int Callers = 12;
constexpr ms WorkMs = 640;
constexpr ms DeadlineMs = 3000;
constexpr ms CrowdMs = 4000; // for which the clients are watched
// LOST: more than this many requests are cut.
constexpr int AllowedCuts = 3;

long residentMb(pid_t Pid) {
  std::FILE *File =
      std::fopen(("/proc/" + std::to_string(Pid) + "/status").c_str(), "r");
  if (File == nullptr)
    return 0;
  char Line[256];
  long Kb = 0;
  while (std::fgets(Line, sizeof Line, File) != nullptr)
    if (std::strncmp(Line, "VmRSS:", 6) == 0)
      Kb = std::atol(Line + 6);
  std::fclose(File);
  return Kb / 1024;
}

/// A request of HeaderBytes: with many short fields, or with one long one.
std::string crowdRequest(const std::string &Id, bool ShortFields) {
  std::string Head =
      "GET /puka111/gate HTTP/1.1\r\nHost: " + std::string(Host) +
      "\r\nAttempt-Id: " + Id +
      "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) + "\r\n";
  if (!ShortFields) {
    Head += "h0: ";
    Head.resize(HeaderBytes - 4, 'x');
    return Head + "\r\n\r\n";
  }
  static const std::string Digits = "0123456789abcdefghijklmnopqrstuvwxyz";
  for (std::size_t I = 0; Head.size() < HeaderBytes - 8; ++I) {
    Head += Digits[10 + I / Digits.size() % 26];
    Head += Digits[I % Digits.size()];
    Head += ":1\r\n";
  }
  return Head + "\r\n";
}

void inParallel(int Count, const std::function<void(int)> &Work) {
  std::atomic<int> Next{0};
  std::vector<std::thread> Threads;
  for (int I = 0; I < CrowdThreads; ++I)
    Threads.emplace_back([&] {
      for (int Index = Next++; Index < Count; Index = Next++)
        Work(Index);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
}

/// A client of the crowd. Its connection is kept.
struct crowd_client {
  void open(const machine &At) {
    To = connection::open(At.outbound());
    if (To &&
        sendRequest(*To, At.Name, "GET", "/puka111/gate", Host, DeadlineMs)
                .Status == 0)
      To = nullptr;
  }
  void send(bool ShortFields) {
    std::string Text;
    for (int I = 0; I < PipelinedRequests; ++I) {
      Ids.push_back(nextId("c"));
      Text += crowdRequest(Ids.back(), ShortFields);
    }
    if (!To || !To->send(Text))
      Ids.clear();
    Record.line("a client of the crowd sent " + std::to_string(Ids.size()) +
                " requests from " + (Ids.empty() ? "none" : Ids.front()));
  }
  /// Reads the answers, which come in the order of the requests. Returns the
  /// requests without one if the connection was closed.
  std::vector<std::string> cut(ms Until) {
    std::size_t Answers = 0;
    while (To && Answers < Ids.size() && readMessage(*To, Until))
      ++Answers;
    if (!To || !To->Closed)
      return {};
    return {Ids.begin() + static_cast<std::ptrdiff_t>(Answers), Ids.end()};
  }
  std::unique_ptr<connection> To;
  std::vector<std::string> Ids;
};

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

  // The crowd has used its connections before.
  std::vector<crowd_client> Crowd(CrowdConnections);
  inParallel(CrowdConnections, [&](int Index) { Crowd[Index].open(A); });

  // Ordinary callers, each on one kept connection.
  std::atomic<bool> Sending{true};
  std::mutex Mutex;
  std::vector<attempt> Kept; // sent on a connection that had been answered
  std::vector<std::thread> Threads;
  for (int I = 0; I < Callers; ++I)
    Threads.emplace_back([&] {
      const auto To = connection::open(A.outbound());
      for (int Count = 0; To && Sending; ++Count) {
        const attempt Got =
            sendRequest(*To, A.Name, "GET", "/puka111/gate", Host, DeadlineMs);
        if (Count > 0) {
          const std::lock_guard<std::mutex> Lock(Mutex);
          Kept.push_back(Got);
        }
        if (Got.Status == 0)
          return;
        if (Got.Status != 200)
          sleepMs(100);
      }
    });
  sleepMs(2000);

  std::atomic<bool> Watching{true};
  std::atomic<bool> Killed{false};
  std::atomic<long> Most{0};
  std::thread Watcher([&] {
    while (Watching) {
      const long Mb = residentMb(DaemonA.pid());
      Most = std::max(Most.load(), Mb);
      if (Mb > MemoryMb) {
        say("over " + std::to_string(MemoryMb) +
            " MB: the platform kills the process");
        DaemonA.kill();
        Killed = true;
        return;
      }
      sleepMs(5);
    }
  });
  say("memory of the daemon: " + std::to_string(residentMb(DaemonA.pid())) +
      " MB");
  for (crowd_client &Client : Crowd)
    if (!Killed)
      Client.send(Options.Trouble);
  const ms Until = nowMs() + CrowdMs;
  while (nowMs() < Until && !Killed)
    sleepMs(10);
  Sending = false;
  for (std::thread &Thread : Threads)
    Thread.join();
  Watching = false;
  Watcher.join();

  std::map<std::string, int> RanAt;
  for (target *Target : {&TargetA, &TargetB})
    for (const arrival &Arrival : Target->arrivals())
      RanAt[Arrival.Id] += Arrival.Ran ? 1 : 0;
  int Answered = 0;
  int Cut = 0;
  for (const attempt &Got : Kept) {
    Answered += Got.Status == 200 ? 1 : 0;
    Cut += Got.Closed && RanAt.contains(Got.Id) ? 1 : 0;
  }
  int Requests = 0;
  int CrowdCut = 0;
  const ms ReadUntil = nowMs() + 1000;
  for (crowd_client &Client : Crowd) {
    Requests += static_cast<int>(Client.Ids.size());
    for (const std::string &Id : Client.cut(ReadUntil))
      CrowdCut += RanAt.contains(Id) ? 1 : 0;
  }
  say("requests of the crowd: " + std::to_string(Requests) + " on " +
      std::to_string(CrowdConnections) + " kept connections, " +
      std::to_string(HeaderBytes) +
      " bytes each; passed on and cut without "
      "an answer: " +
      std::to_string(CrowdCut));
  say("most memory of the daemon: " + std::to_string(Most.load()) + " MB of " +
      std::to_string(MemoryMb) + "; killed: " + (Killed ? "yes" : "no"));
  say("ordinary requests on kept connections answered: " +
      std::to_string(Answered) + "; passed on and cut without an answer: " +
      std::to_string(Cut) + ", allowed: " + std::to_string(AllowedCuts));
  if (Answered <= AllowedCuts)
    return CouldNotRun;
  return Cut + CrowdCut > AllowedCuts ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
