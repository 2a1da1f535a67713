/// \file
/// Case 11: a header field that the configuration allows ends a daemon that
/// others are using.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr std::size_t HeaderBytes = 262'144; // maxHeaderBytes

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 4)
    return 2;
  recorder::get().open(Arguments[3]);
  fleet Fleet(Arguments[1], Arguments[2], {"ledger", "ledger", "front"},
              config(10, {"ledger", "front"},
                     {route("hold", "/hold/", "unsafe", "ledger"),
                      route("page", "/page/", "safe", "front")},
                     HeaderBytes),
              100);
  machine &Entry = *Fleet.Machines[2];
  clients Clients(Entry.outbound(), 16, "POST", "/hold/", "a");
  sleepMs(3000);
  if (Clients.count(200) < 100)
    cannotRun("the calm deployment does not serve");
  RECORD("calm: %u requests, %u answered 200", Clients.count(),
         Clients.count(200));

  unsigned Ends = 0;
  double FirstEndAt = 0;
  for (int I = 0; I < 3; ++I) {
    const std::size_t FieldBytes = troubleWanted() ? 70'000 : 60'000;
    const std::string Id = "long-" + std::to_string(I);
    RECORD("a client sends GET /page/%s with a field of %zu bytes; %zu are "
           "allowed for the whole header",
           Id.c_str(), FieldBytes, HeaderBytes);
    const message Answer =
        callOnce(Entry.outbound(),
                 request("GET", "/page/" + Id,
                         {{"Host", "shop.example"},
                          {"Attempt-Id", Id},
                          {"Deadline-Ms", "2000"},
                          {"Cookie", std::string(FieldBytes, 'c')}},
                         ""),
                 2500);
    RECORD("it gets %s",
           Answer.Start.empty() ? "a closed connection" : Answer.Start.c_str());
    sleepMs(300);
    if (const auto Status = Entry.ended()) {
      if (++Ends == 1)
        FirstEndAt = nowMs();
      RECORD("%s: the daemon has ended by itself, signal %d",
             Entry.Spec.Name.c_str(), WTERMSIG(*Status));
      Entry.start();
      sleepMs(4000);
    }
  }
  Clients.stop();
  RECORD("%u ordinary requests: %u answered 200, %u without an answer",
         Clients.count(), Clients.count(200), Clients.count(0));
  // Until the first end there was no disruption at all.
  const unsigned Lost =
      Ends > 0 ? countLost(Fleet.Log, Clients, FirstEndAt) : 0;
  RECORD("the daemon ended by itself %u times; at the first end %u requests of "
         "kept connections were lost, 3 are allowed",
         Ends, Lost);
  const bool Broken = Lost > 3;
  RECORD("%s", Broken ? "LOST is broken" : "LOST held");
  std::printf("%s: %u ends, %u lost\n", Broken ? "broken" : "held", Ends, Lost);
  std::fflush(stdout);
  return Broken ? 1 : 0;
}
