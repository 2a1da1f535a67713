/// \file
/// Case 12: one request ends a daemon that others are using.
#include "fleet.hpp"

using namespace review;

int main(int Count, char **Arguments) {
  if (Count < 4)
    return 2;
  recorder::get().open(Arguments[3]);
  fleet Fleet(Arguments[1], Arguments[2], {"ledger", "ledger", "front"},
              config(10, {"ledger", "front"},
                     {route("hold", "/hold/", "unsafe", "ledger"),
                      route("page", "/page/", "safe", "front")}),
              100);
  machine &Entry = *Fleet.Machines[2];
  clients Clients(Entry.outbound(), 8, "POST", "/hold/", "a");
  sleepMs(3000);
  if (Clients.count(200) < 50)
    cannotRun("the calm deployment does not serve");
  RECORD("calm: %u requests, %u answered 200", Clients.count(),
         Clients.count(200));

  unsigned Ends = 0;
  for (int I = 0; I < 3; ++I) {
    const std::string Method = troubleWanted() ? "TRACE" : "PUT";
    const std::string Id = "odd-" + std::to_string(I);
    RECORD("a client sends %s /hold/%s with a body of 4 bytes", Method.c_str(),
           Id.c_str());
    const message Answer = callOnce(Entry.outbound(),
                                    request(Method, "/hold/" + Id,
                                            {{"Host", "shop.example"},
                                             {"Attempt-Id", Id},
                                             {"Deadline-Ms", "2000"},
                                             {"Content-Type", "text/plain"}},
                                            "body"),
                                    2500);
    RECORD("it gets %s",
           Answer.Start.empty() ? "a closed connection" : Answer.Start.c_str());
    sleepMs(300);
    if (const auto Status = Entry.ended()) {
      ++Ends;
      RECORD("%s: the daemon has ended by itself, signal %d",
             Entry.Spec.Name.c_str(), WTERMSIG(*Status));
      Entry.start();
      sleepMs(4000);
    }
  }
  Clients.stop();
  unsigned RunAndLost = 0;
  for (const run_record &Run : Fleet.Log.all())
    RunAndLost += Clients.answer(Run.Id) == 0 ? 1 : 0;
  RECORD("%u ordinary requests: %u answered 200, %u without an answer, %u of "
         "these had reached a target",
         Clients.count(), Clients.count(200), Clients.count(0), RunAndLost);
  RECORD("the daemon ended by itself %u times", Ends);
  std::printf("%u ends, %u lost\n", Ends, RunAndLost);
  std::fflush(stdout);
  return Ends > 0 ? 1 : 0;
}
