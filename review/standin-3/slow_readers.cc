/// \file
/// Case 13: clients that pipeline requests and do not read the answers fill the
/// memory of a daemon.
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
  const pid_t Pid = Entry.pid();
  RECORD("calm: the daemon has %.1f MB", memoryMb(Pid, "VmRSS"));

  const bool Trouble = troubleWanted();
  std::vector<std::unique_ptr<wire>> Open(Connections);
  std::atomic<unsigned> Connected{0};
  std::atomic<unsigned> Answered{0};
  std::vector<std::thread> Clients;
  const double Begin = nowMs();
  for (unsigned T = 0; T < Threads; ++T)
    Clients.emplace_back([&, T] {
      for (unsigned I = T; I < Connections && nowMs() < Begin + 70'000;
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
  std::atomic<bool> Watching{true};
  std::thread Watcher([&] {
    while (Watching) {
      for (int I = 0; I < 20 && Watching; ++I)
        sleepMs(100);
      RECORD("%u connections: the daemon has %.1f MB", Connected.load(),
             memoryMb(Pid, "VmRSS"));
    }
  });
  for (std::thread &Client : Clients)
    Client.join();
  // Whether it frees anything while the clients keep still.
  sleepMs(20'000);
  Watching = false;
  Watcher.join();
  const double Peak = memoryMb(Pid, "VmHWM");
  const bool Ended = Entry.ended().has_value();
  RECORD("%u connections of %u requests each, %u answers were read",
         Connected.load(), Requests, Answered.load());
  RECORD("the targets have run %zu requests", Fleet.Log.all().size());
  RECORD("peak memory %.1f MB, limit %.0f MB%s", Peak, MemoryMb,
         Ended ? "; the daemon has ended" : "");
  const message Ordinary = callOnce(Entry.outbound(),
                                    request("POST", "/hold/last",
                                            {{"Host", "shop.example"},
                                             {"Attempt-Id", "last"},
                                             {"Deadline-Ms", "2000"}},
                                            "blazer"),
                                    2500);
  RECORD("an ordinary request gets %d", Ordinary.status());
  std::printf("peak memory %.1f MB\n", Peak);
  std::fflush(stdout);
  if (!Ended && Connected < Connections * 9 / 10 && Peak <= MemoryMb)
    cannotRun("too few connections");
  return Ended || Peak > MemoryMb ? 1 : 0;
}
