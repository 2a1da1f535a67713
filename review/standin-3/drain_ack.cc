/// \file
/// Case 14: a target leaves, its daemon acknowledges this and is killed before
/// the store has the change. Part 1: right after the acknowledgement, the store
/// works. Part 2: 1.5 s later, at the end of an outage of the store.
#include "fleet.hpp"

using namespace review;

namespace {

/// Returns the number of requests that reached the target too late.
unsigned play(bool DuringOutage, const std::string &Program,
              const std::string &Folder, const std::string &IdPrefix) {
  const bool Trouble = troubleWanted();
  RECORD("---- part: killed %s", DuringOutage
                                     ? "at the end of an outage of the store"
                                     : "right after the acknowledgement");
  fleet Fleet(Program, Folder, {"ledger", "ledger", "front"},
              config(10, {"ledger", "front"},
                     {route("hold", "/hold/", "unsafe", "ledger"),
                      route("page", "/page/", "safe", "front")}),
              100);
  clients Clients(Fleet.Machines[2]->outbound(), 8, "POST", "/hold/", IdPrefix);
  sleepMs(3000);
  if (Clients.count(200) < 50)
    cannotRun("the calm deployment does not serve");
  RECORD("calm: %u requests, %u answered 200", Clients.count(),
         Clients.count(200));

  target &Leaving = *Fleet.Targets[0];
  machine &Beside = *Fleet.Machines[0];
  if (Trouble && DuringOutage) {
    Fleet.Store.setMode(store::mode::Busy);
    RECORD("the store is down: it answers 503");
    sleepMs(1500);
  }
  Leaving.stopBeats();
  if (!Leaving.deregister())
    cannotRun("the deregistration was not acknowledged");
  const double AckAt = nowMs();
  double BackAt = AckAt;
  if (Trouble) {
    if (DuringOutage)
      sleepMs(1500);
    Beside.kill();
    if (DuringOutage)
      Fleet.Store.setMode(store::mode::Up);
  }
  RECORD("%s: its deregistration was acknowledged at %.1f ms",
         Leaving.Name.c_str(), AckAt);
  if (Trouble) {
    RECORD("%s: daemon killed%s", Beside.Spec.Name.c_str(),
           DuringOutage ? "; the store is up" : "");
    sleepMs(500);
    Beside.start();
    BackAt = nowMs();
  }
  // All machines are in touch from here on. The target serves a little longer.
  const double From = std::max(AckAt + DrainMs, BackAt + ContactMs + 200);
  sleepUntil(From + 3000);
  Leaving.end();
  RECORD("%s has ended", Leaving.Name.c_str());
  sleepMs(1000);
  Clients.stop();

  unsigned Late = 0;
  unsigned LateOutOfTouch = 0;
  unsigned Lost = 0;
  for (const run_record &Run : Fleet.Log.all()) {
    if (Run.Target != Leaving.Name || Run.At <= AckAt + DrainMs)
      continue;
    const int Status = Clients.of(Run.Id).Status;
    Lost += Status == 200 ? 0 : 1;
    if (Run.At <= From) {
      ++LateOutOfTouch;
      continue;
    }
    ++Late;
    RECORD("%s runs %s %.0f ms after the acknowledgement; the client gets %d",
           Run.Target.c_str(), Run.Id.c_str(), Run.At - AckAt, Status);
  }
  RECORD("%u requests, %u answered 200", Clients.count(), Clients.count(200));
  RECORD("reached %s later than drainMs after the acknowledgement: %u with all "
         "machines in touch, %u before; %u of these have no success",
         Leaving.Name.c_str(), Late, LateOutOfTouch, Lost);
  return Late;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 4)
    return 2;
  recorder::get().open(Arguments[3]);
  const unsigned First = play(false, Arguments[1], Arguments[2], "a");
  const unsigned Second = play(true, Arguments[1], Arguments[2], "b");
  const bool Broken = First + Second > 0;
  RECORD("%s", Broken ? "DRAIN is broken" : "DRAIN held");
  std::printf("%s: %u and %u late requests\n", Broken ? "broken" : "held",
              First, Second);
  std::fflush(stdout);
  return Broken ? 1 : 0;
}
