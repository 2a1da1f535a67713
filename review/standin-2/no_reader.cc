// A crowd of clients sends safe requests and does not read the answers. Other
// clients open new connections.
#include "machines.hpp"

#include <sys/resource.h>

using namespace rig;

namespace {

constexpr char Host[] = "hulo84.example";
constexpr char Service[] = "parkovi";
// The daemon takes a third of the machine's 3,900 descriptors for clients.
constexpr int CrowdConnections = 1350;
constexpr ms SendGapMs = 500;
constexpr std::size_t AnswerBytes = 30'000; // the largest of the site
constexpr int ReceiveBufferBytes = 2048;
constexpr ms CrowdMs = 60'000;    // for which a crowd that reads goes on
constexpr ms MaxCrowdMs = 85'000; // one that doesn't read
constexpr ms QuietMs = 4000;
constexpr int NewClients = 8;
constexpr ms DeadlineMs = 1000;

/// A client of the crowd. Reads only if told so.
struct crowd_client {
  explicit crowd_client(const endpoint &At) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                 sizeof ReceiveBufferBytes);
    const sockaddr_in Address = addressOf(At);
    if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof Address) != 0) {
      ::close(Socket);
      return;
    }
    ::fcntl(Socket, F_SETFL, O_NONBLOCK);
    To = std::make_unique<connection>(Socket);
  }
  void step(bool Reads, int Due) {
    if (!To)
      return;
    if (Reads) {
      char Bytes[65536];
      while (::recv(To->Socket, Bytes, sizeof Bytes, 0) > 0)
        ;
    }
    if (Unsent.empty() && Sent < Due) {
      Unsent = "GET /puka111/gate HTTP/1.1\r\nHost: " + std::string(Host) +
               "\r\nAttempt-Id: " + nextId("c") +
               "\r\nDeadline-Ms: 3000\r\n\r\n";
      ++Sent;
    }
    const auto Written =
        ::send(To->Socket, Unsent.data(), Unsent.size(), MSG_NOSIGNAL);
    if (Written > 0) {
      Unsent.erase(0, static_cast<std::size_t>(Written));
    }
  }
  std::unique_ptr<connection> To;
  std::string Unsent;
  int Sent = 0;
};

int run(const options &Options) {
  // As many descriptors as the settings name.
  rlimit Limit{};
  ::getrlimit(RLIMIT_NOFILE, &Limit);
  constexpr rlim_t Descriptors = 4100;
  if (Limit.rlim_max < Descriptors)
    throw std::runtime_error("needs 4,100 descriptors for a process");
  Limit.rlim_cur = Descriptors;
  ::setrlimit(RLIMIT_NOFILE, &Limit);
  const machine A = makeMachine(1, "hr-jadran-a", Service);
  const endpoint Platform{"127.77.1.1", freePorts("127.77.1.1")};
  store &Store = *new store(Platform, 0);
  Store.put("op/config",
            configuration(7, Host,
                          json::array({route("status", "/puka111/", "safe",
                                             Service, 3000, 2)}),
                          {Service})
                .dump());
  daemon_process DaemonA(Options, A, Platform);
  target &TargetA = *new target(A, "i-7f3a91c2", 0, AnswerBytes);
  DaemonA.start();
  awaitReady({&DaemonA}, 15'000);
  TargetA.startHeartbeats();
  sleepMs(Bounds.ContactMs + 2000);

  TargetA.Quiet = true;
  std::vector<std::unique_ptr<crowd_client>> Crowd;
  for (int I = 0; I < CrowdConnections; ++I)
    Crowd.push_back(std::make_unique<crowd_client>(A.outbound()));
  say("the crowd is connected");
  // Each client sends at a steady pace, so that the target can serve all. A
  // crowd that doesn't read goes on until the target gets nothing more.
  const ms Start = nowMs();
  std::size_t Arrivals = 0;
  ms GrownAt = Start;
  while (nowMs() < Start + (Options.Trouble ? MaxCrowdMs : CrowdMs) &&
         nowMs() < GrownAt + QuietMs) {
    const auto Due = static_cast<int>((nowMs() - Start) / SendGapMs) + 1;
    for (const auto &Client : Crowd)
      Client->step(!Options.Trouble, Due);
    if (const std::size_t Now = TargetA.arrivalCount(); Now > Arrivals) {
      Arrivals = Now;
      GrownAt = nowMs();
    }
    sleepMs(1);
  }
  int Sent = 0;
  for (const auto &Client : Crowd)
    Sent += Client->Sent;
  say("the crowd has sent " + std::to_string(Sent) +
      " requests; the target ran " + std::to_string(TargetA.arrivalCount()));
  TargetA.Quiet = false;

  // New clients try for longer than contactMs.
  std::atomic<int> Answered{0};
  std::atomic<int> Failed{0};
  std::atomic<int> NotReady{0};
  const ms From = nowMs();
  std::vector<std::thread> Threads;
  for (int I = 0; I < NewClients; ++I)
    Threads.emplace_back([&] {
      while (nowMs() < From + Bounds.ContactMs + 1000) {
        const attempt Got =
            sendFresh(A, "GET", "/puka111/gate", Host, DeadlineMs);
        ++(Got.Status != 0 ? Answered : Failed);
        sleepMs(100);
      }
    });
  while (nowMs() < From + Bounds.ContactMs + 1000) {
    NotReady += DaemonA.isReady() ? 0 : 1;
    sleepMs(500);
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  DaemonA.ended();
  int Open = 0;
  for (const auto &Client : Crowd)
    Open += Client->To && !Client->To->closedByPeer() ? 1 : 0;
  say("connections of the crowd still open: " + std::to_string(Open));
  say(std::to_string(NewClients) + " clients tried new connections for " +
      std::to_string(Bounds.ContactMs + 1000) + " ms: answered " +
      std::to_string(Answered) + ", closed or silent " +
      std::to_string(Failed) +
      "; readiness probes without a 200: " + std::to_string(NotReady));
  if (NotReady > 0 || Answered + Failed == 0)
    return Answered > 0 ? RuleHeld : CouldNotRun;
  return Answered == 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
