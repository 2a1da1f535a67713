/// \file
/// A request crashes each target that runs it, and its client sends it again
/// and again. The daemons beside the targets refuse it after a few crashes.
/// Then they are stopped and started in turn. Checks how many retries of the
/// request still reach targets.
#include "../standin/mesh.hpp"

using namespace review;

namespace {

constexpr char Host[] = "booking.example";
constexpr char PoisonPath[] = "/slots/poison";
constexpr milliseconds ContactTime{3000}; // contactMs
constexpr milliseconds PoisonInterval{400};
constexpr int MaxRetries = 3;            // that may still reach targets
constexpr milliseconds RestartGap{2000}; // of the site's roll_term

int play() {
  deployment Fleet;
  Fleet.LogFolder = std::getenv("REVIEW_LOGS");
  const std::vector<std::array<const char *, 3>> Sheet = {
      {"sidecar-a-1", "zone-a", "desk"},
      {"sidecar-b-1", "zone-b", "desk"},
      {"sidecar-a-2", "zone-a", "booking"},
      {"sidecar-b-2", "zone-b", "booking"},
      {"sidecar-a-3", "zone-a", "booking"},
      {"sidecar-b-3", "zone-b", "booking"},
      {"sidecar-a-4", "zone-a", "booking"},
      {"sidecar-b-4", "zone-b", "booking"}};
  for (const auto &Row : Sheet)
    Fleet.add(Row[0], Row[1], Row[2]);
  if (!Fleet.choosePorts())
    return CouldNotRun;
  store Store;
  for (auto &Machine : Fleet.Machines)
    if (!Store.serve(Machine->StoreAddress, Machine->Name))
      return CouldNotRun;
  Store.put("op/config",
            configuration(7, {"desk", "booking"}, Host,
                          {route("r-slots", "/slots/", "safe", "booking", 2)})
                .dump());
  std::vector<std::unique_ptr<target>> Targets;
  std::vector<machine *> All;
  for (auto &Machine : Fleet.Machines) {
    if (!Fleet.start(*Machine))
      return CouldNotRun;
    target_options Options;
    Options.Machine = Machine->Name;
    Options.Service = Machine->Service;
    Options.DataCentre = Machine->Zone;
    Options.Address = Machine->app();
    Options.Control = Machine->control();
    Options.CrashPath = PoisonPath;
    Targets.push_back(std::make_unique<target>(Options));
    if (!Targets.back()->start())
      return CouldNotRun;
    All.push_back(Machine.get());
  }
  std::atomic<bool> Stop{false};
  std::thread Restarter([&] {
    while (!Stop) {
      for (auto &Target : Targets)
        Target->restartIfDue();
      pause(milliseconds(20));
    }
  });
  const auto Finish = [&](int Result) {
    Stop = true;
    Restarter.join();
    for (auto &Machine : Fleet.Machines)
      Fleet.kill(*Machine, SIGKILL);
    for (auto &Target : Targets)
      Target->end();
    Store.stop();
    return Result;
  };
  if (!awaitReady(All, milliseconds(10000)))
    return Finish(CouldNotRun);
  pause(ContactTime);

  // Ordinary requests, 16 a second in all, from both machines of "desk".
  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};
  std::vector<std::thread> Clients;
  for (std::size_t I = 0; I < 4; ++I)
    Clients.emplace_back([&, I] {
      for (int Number = 0; !Stop; ++Number) {
        const answer Answer =
            send(*All[I % 2], "GET", Host,
                 "/slots/" + std::to_string(I) + "-" + std::to_string(Number),
                 milliseconds(3000));
        ++Sent;
        Served += Answer.Status == 200 ? 1 : 0;
        pause(milliseconds(250));
      }
    });
  // The request that crashes targets comes again and again, at both machines of
  // "desk" in turn. Their daemons run all the time.
  std::set<std::string> PoisonIds;
  std::mutex Mutex;
  std::thread Poisoner([&] {
    for (std::size_t Number = 0; !Stop; ++Number) {
      const answer Answer =
          send(*All[Number % 2], "GET", Host, PoisonPath, milliseconds(3000));
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        PoisonIds.insert(Answer.Id);
      }
      pause(PoisonInterval);
    }
  });

  pause(milliseconds(12000));
  if (withTrouble()) {
    for (std::size_t I = 2; I < All.size(); ++I) {
      Record.say("%s: stopped and started", All[I]->Name.c_str());
      Fleet.stop(*All[I]);
      pause(milliseconds(300));
      Fleet.start(*All[I]);
      pause(RestartGap);
    }
  } else {
    pause(milliseconds(30000));
  }
  pause(milliseconds(15000));
  Stop = true;
  Poisoner.join();
  for (std::thread &Client : Clients)
    Client.join();

  std::vector<run> Crashes;
  for (const run &Run : Runs.all())
    if (Run.Path == PoisonPath)
      Crashes.push_back(Run);
  for (std::size_t I = 0; I < Crashes.size(); ++I)
    Record.say("crash %zu at %.3f s: %s by request %s", I + 1,
               static_cast<double>(sinceStartMs(Crashes[I].At)) / 1000,
               Crashes[I].Target.c_str(), Crashes[I].Id.c_str());
  std::set<std::string> LateRetries;
  if (Crashes.size() > 3)
    for (const run &Run : Crashes)
      if (Run.At > Crashes[2].At + ContactTime)
        LateRetries.insert(Run.Id);
  Record.say(
      "the request was sent %zu times; %zu targets crashed; retries that "
      "reached targets later than %lld ms after the third crash: %zu "
      "(at most %d)",
      PoisonIds.size(), Crashes.size(),
      static_cast<long long>(ContactTime.count()), LateRetries.size(),
      MaxRetries);
  Record.say("other requests: %d sent, %d served", Sent.load(), Served.load());
  for (const std::string &Ended : Fleet.endedByThemselves())
    Record.say("daemon %s ended by itself", Ended.c_str());
  if (Crashes.empty() || Served < Sent / 4)
    return Finish(CouldNotRun);
  return Finish(LateRetries.size() > MaxRetries ? RuleBroken : RuleHeld);
}

} // namespace

int main(int Count, char **Arguments) {
  Record.open(Count > 1 ? Arguments[1] : "record.txt");
  const int Result = play();
  Record.say("result: %d (%s)", Result,
             Result == RuleBroken ? "BUDGET broken"
             : Result == RuleHeld ? "BUDGET held"
                                  : "could not run");
  return Result;
}
