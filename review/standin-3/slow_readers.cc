/// \file
/// Case 12: clients that pipeline requests and do not read the answers fill the
/// memory of a daemon, which is killed when it is over its limit.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr double MemoryMb = 260; // of the settings
// A daemon with 4,100 descriptors accepts 1,300 connections of callers.
constexpr unsigned Connections = 400;
constexpr unsigned Threads = 8;
constexpr std::size_t AnswerBytes = 60'000;
// Some of the answers are in the buffers of the kernel, about 2.6 MB for each
// connection; further ones wait in the daemon.
constexpr unsigned Requests = 64;

double memoryMb(pid_t Pid, const char *Name) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  std::string Line;
  while (std::getline(File, Line))
    if (Line.rfind(Name, 0) == 0)
      return std::atof(Line.c_str() + Line.find(':') + 1) / 1024;
  return 0;
}

std::string get(const std::string &Id) {
  return request(
      "GET", "/page/" + Id,
      {{"Host", "shop.example"}, {"Attempt-Id", Id}, {"Deadline-Ms", "8000"}},
      "");
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 4)
    return 2;
  recorder::get().open(Arguments[3]);
  fleet Fleet(Arguments[1], Arguments[2], {"ledger", "ledger", "front"},
              config(10, {"ledger", "front"},
                     {route("hold", "/hold/", "unsafe", "ledger"),
                      route("page", "/page/", "safe", "front", 6000)}),
              2);
  machine &Entry = *Fleet.Machines[2];
  Fleet.Targets[2]->AnswerBytes = AnswerBytes;
  Fleet.Targets[0]->WorkMs = Fleet.Targets[1]->WorkMs = 300;
  const pid_t Pid = Entry.pid();
  RECORD("calm: the daemon has %.1f MB", memoryMb(Pid, "VmRSS"));

  const bool Trouble = troubleWanted();
  clients Ordinary(Entry.outbound(), 16, "POST", "/hold/", "a");
  sleepMs(3000);
  if (Ordinary.count(200) < 50)
    cannotRun("the calm deployment does not serve");
  std::vector<std::unique_ptr<wire>> Open(Connections);
  std::atomic<unsigned> Connected{0};
  std::atomic<unsigned> Answered{0};
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Clients;
  const double Begin = nowMs();
  for (unsigned T = 0; T < Threads; ++T)
    Clients.emplace_back([&, T] {
      for (unsigned I = T; I < Connections && nowMs() < Begin + 70'000 && !Stop;
           I += Threads) {
        const int Fd = connectTo(Entry.outbound(), 3000, Trouble ? 4096 : 0);
        if (Fd < 0)
          continue;
        ++Connected;
        Open[I] = std::make_unique<wire>(Fd);
        const std::string Id = "n" + std::to_string(I) + "-";
        for (unsigned N = 0; N < Requests; ++N) {
          if (!Open[I]->sendWithin(get(Id + std::to_string(N)), 2000))
            break;
          if (!Trouble && Open[I]->read(nowMs() + 8000).status() == 200)
            ++Answered;
          else if (Trouble && N % 8 == 7)
            sleepMs(20);
        }
      }
    });
  // Kills the process when it is over its memory, as the platform does.
  std::atomic<bool> Watching{true};
  std::atomic<double> KilledAt{0};
  std::thread Watcher([&] {
    double Next = 0;
    while (Watching && KilledAt == 0) {
      const double Now = memoryMb(Pid, "VmRSS");
      if (nowMs() >= Next) {
        RECORD("%u connections: the daemon has %.1f MB", Connected.load(), Now);
        Next = nowMs() + 2000;
      }
      if (Now > MemoryMb) {
        Stop = true;
        KilledAt = nowMs();
        Entry.signal(SIGKILL);
        RECORD("%u connections: the daemon has %.1f MB, over its limit of %.0f "
               "MB, and is killed",
               Connected.load(), Now, MemoryMb);
      }
      sleepMs(10);
    }
  });
  for (std::thread &Client : Clients)
    Client.join();
  sleepMs(1000);
  Watching = false;
  Watcher.join();
  Ordinary.stop();
  const bool Ended = Entry.ended().has_value();
  RECORD("%u connections of %u requests each, %u answers were read",
         Connected.load(), Requests, Answered.load());
  RECORD("ordinary requests: %u, %u answered 200, %u without an answer",
         Ordinary.count(), Ordinary.count(200), Ordinary.count(0));
  unsigned Lost = 0;
  if (KilledAt > 0)
    Lost = countLost(Fleet.Log, Ordinary, KilledAt);
  RECORD(
      "%u requests of kept connections were lost at the end of the daemon, 3 "
      "are allowed",
      Lost);
  const bool Broken = Lost > 3;
  RECORD("%s", Broken ? "LOST is broken" : "LOST held");
  std::printf("%s: %s, %u lost\n", Broken ? "broken" : "held",
              Ended ? "ended" : "not ended", Lost);
  std::fflush(stdout);
  if (!Broken && KilledAt == 0 && Connected < Connections * 9 / 10)
    cannotRun("too few connections");
  return Broken ? 1 : 0;
}
