/// \file
/// Case 14: callers that do not read their answers keep all connections of a
/// daemon, which says that it is ready and takes no other caller.
#include "fleet.hpp"

using namespace review;

namespace {

// Without 200, a third of the descriptors is for connections of callers: 200.
constexpr unsigned MaxDescriptors = 800;
constexpr unsigned Crowd = 400;
constexpr unsigned Threads = 8;
constexpr std::size_t AnswerBytes = 60'000;
// More than the buffers of the kernel take for one connection, about 2.6 MB.
constexpr unsigned Requests = 64;
constexpr unsigned OrdinaryClients = 8;
constexpr double IdleTimeoutMs = 15'000; // of the configuration

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
              2, MaxDescriptors);
  machine &Entry = *Fleet.Machines[2];
  Fleet.Targets[2]->AnswerBytes = AnswerBytes;
  const bool Trouble = troubleWanted();
  std::vector<std::unique_ptr<wire>> Open(Crowd);
  std::atomic<unsigned> Answered{0};
  std::vector<std::thread> Callers;
  for (unsigned T = 0; T < Threads; ++T)
    Callers.emplace_back([&, T] {
      for (unsigned I = T; I < Crowd; I += Threads) {
        const int Fd = connectTo(Entry.outbound(), 3000, Trouble ? 4096 : 0);
        if (Fd < 0)
          continue;
        Open[I] = std::make_unique<wire>(Fd);
        for (unsigned N = 0; N < Requests; ++N) {
          if (!Open[I]->sendWithin(
                  get("n" + std::to_string(I) + "-" + std::to_string(N)), 500))
            break;
          if (!Trouble && Open[I]->read(nowMs() + 8000).status() == 200)
            ++Answered;
          else if (Trouble && N % 8 == 7)
            sleepMs(20);
        }
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  RECORD("%u callers have sent %u requests each, %u answers were read", Crowd,
         Requests, Answered.load());
  // Longer than any time-out of the configuration.
  sleepMs(IdleTimeoutMs + 5000);

  unsigned Held = 0;
  for (const auto &Wire : Open)
    Held += Wire && !Wire->closedByPeer() ? 1 : 0;
  RECORD("%u of the callers' connections are open; ready: %d", Held,
         Entry.ready());
  clients Ordinary(Entry.outbound(), OrdinaryClients, "POST", "/hold/", "o");
  unsigned Ready = 0;
  constexpr unsigned Probes = 10;
  for (unsigned I = 0; I < Probes; ++I) {
    sleepMs(1000);
    Ready += Entry.ready() ? 1 : 0;
  }
  Ordinary.stop();
  const unsigned Closed = Ordinary.count(0);
  RECORD("in 10 s: %u of %u readiness probes got 200; %u ordinary requests, "
         "each on a new "
         "connection: %u closed without an answer, %u answered 200",
         Ready, Probes, Ordinary.count(), Closed, Ordinary.count(200));
  if (Entry.ended())
    RECORD("the daemon has ended");
  const bool Broken =
      Ready == Probes && Ordinary.count() > 0 && Closed == Ordinary.count();
  RECORD("%s", Broken ? "RECOVER is broken" : "RECOVER held");
  std::printf("%s: %u of %u ordinary requests closed\n",
              Broken ? "broken" : "held", Closed, Ordinary.count());
  std::fflush(stdout);
  return Broken ? 1 : 0;
}
