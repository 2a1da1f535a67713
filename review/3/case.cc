/// \file
/// The store gives two of six daemons no response for some seconds, and serves
/// the others and the operator. Meanwhile the operator moves a route to another
/// service. Checks that the new configuration is in force at all daemons once
/// they are in touch again.
#include "../standin/mesh.hpp"

using namespace review;

namespace {

constexpr char Host[] = "booking.example";
constexpr milliseconds ApplyTime{2000};   // configApplyMs
constexpr milliseconds StretchTime{5000}; // maxStretchMs
constexpr milliseconds ContactTime{3000}; // contactMs
constexpr milliseconds OutageTime{9000};  // of the site's platform_down, nodes

std::string configText(int Version, const std::string &Service) {
  return configuration(Version, {"desk", "booking", "archive"}, Host,
                       {route("r-slots", "/slots/", "safe", Service, 2)})
      .dump();
}

int play() {
  deployment Fleet;
  Fleet.LogFolder = std::getenv("REVIEW_LOGS");
  const std::vector<std::array<const char *, 3>> Sheet = {
      {"sidecar-a-1", "zone-a", "desk"},
      {"sidecar-b-1", "zone-b", "desk"},
      {"sidecar-a-2", "zone-a", "booking"},
      {"sidecar-b-2", "zone-b", "booking"},
      {"sidecar-a-3", "zone-a", "archive"},
      {"sidecar-b-3", "zone-b", "archive"}};
  for (const auto &Row : Sheet)
    Fleet.add(Row[0], Row[1], Row[2]);
  if (!Fleet.choosePorts())
    return CouldNotRun;
  store Store;
  for (auto &Machine : Fleet.Machines)
    if (!Store.serve(Machine->StoreAddress, Machine->Name))
      return CouldNotRun;
  Store.put("op/config", configText(7, "booking"));
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
    Targets.push_back(std::make_unique<target>(Options));
    if (!Targets.back()->start())
      return CouldNotRun;
    All.push_back(Machine.get());
  }
  if (!awaitReady(All, milliseconds(10000)))
    return CouldNotRun;

  // 20 requests a second in all, at all machines in turn.
  std::atomic<bool> Stop{false};
  std::mutex Mutex;
  std::vector<std::pair<answer, std::string>> Answers; // with their machines
  std::vector<std::thread> Clients;
  for (std::size_t I = 0; I < All.size(); ++I)
    Clients.emplace_back([&, I] {
      for (int Number = 0; !Stop; ++Number) {
        answer Answer =
            send(*All[I], "GET", Host,
                 "/slots/" + std::to_string(I) + "-" + std::to_string(Number),
                 milliseconds(3000));
        {
          const std::lock_guard<std::mutex> Lock(Mutex);
          Answers.emplace_back(std::move(Answer), All[I]->Name);
        }
        pause(milliseconds(250));
      }
    });

  pause(milliseconds(6000));
  const std::set<std::string> Affected = {"sidecar-a-1", "sidecar-b-1"};
  const time_point OutageBegin = clock_type::now();
  if (withTrouble()) {
    Record.say("the store gives sidecar-a-1 and sidecar-b-1 no response");
    Store.withholdFrom(Affected);
  }
  pause(milliseconds(1000));
  Store.put("op/config", configText(12, "archive"));
  const time_point Acknowledged = clock_type::now();
  Record.say("version 12 is acknowledged: /slots/ goes to archive");
  std::this_thread::sleep_until(OutageBegin + OutageTime);
  Store.withholdFrom({});
  const time_point OutageEnd = clock_type::now();
  if (withTrouble())
    Record.say("the store serves all machines again");
  // Until contactMs after the outage, no machine needs to be in touch. Then the
  // whole stretched bound passes once more before a request counts.
  const time_point From =
      std::max(Acknowledged + ApplyTime + StretchTime,
               withTrouble() ? OutageEnd + ContactTime : Acknowledged);
  pause(milliseconds(22000));
  Stop = true;
  for (std::thread &Client : Clients)
    Client.join();

  std::map<std::string, std::string> RanAt; // service by attempt
  for (const run &Run : Runs.all())
    RanAt[Run.Id] = Run.Service;
  std::map<std::string, int> OldAt; // by machine
  int Old = 0;
  int New = 0;
  time_point LastOld{};
  for (const auto &[Answer, Machine] : Answers) {
    if (Answer.SentAt <= From || RanAt.count(Answer.Id) == 0)
      continue;
    if (RanAt[Answer.Id] == "booking") {
      ++Old;
      ++OldAt[Machine];
      LastOld = std::max(LastOld, Answer.SentAt);
    } else {
      ++New;
    }
  }
  Record.say("requests sent later than %lld ms after the acknowledgement and "
             "%lld ms after the outage: %d run by the old service, %d by the "
             "new one",
             sinceStartMs(From) - sinceStartMs(Acknowledged),
             sinceStartMs(From) - sinceStartMs(OutageEnd), Old, New);
  for (const auto &[Machine, Count] : OldAt)
    Record.say("  at %s: %d by the old service", Machine.c_str(), Count);
  if (Old > 0)
    Record.say("  the last one %lld ms after the acknowledgement",
               sinceStartMs(LastOld) - sinceStartMs(Acknowledged));
  for (const std::string &Ended : Fleet.endedByThemselves())
    Record.say("daemon %s ended by itself", Ended.c_str());
  for (auto &Machine : Fleet.Machines)
    Fleet.kill(*Machine, SIGKILL);
  for (auto &Target : Targets)
    Target->end();
  Store.stop();
  if (Old > 0)
    return RuleBroken;
  return New > 0 ? RuleHeld : CouldNotRun;
}

} // namespace

int main(int Count, char **Arguments) {
  Record.open(Count > 1 ? Arguments[1] : "record.txt");
  const int Result = play();
  Record.say("result: %d (%s)", Result,
             Result == RuleBroken ? "CONFIG broken"
             : Result == RuleHeld ? "CONFIG held"
                                  : "could not run");
  return Result;
}
