/// \file
/// The operator changes the weights of a traffic split from percentages to
/// fractions. Checks the share of each service afterwards.
#include "../standin/mesh.hpp"

using namespace review;

namespace {

constexpr char Host[] = "booking.example";
constexpr milliseconds ApplyTime{2000}; // configApplyMs
constexpr double MaxShareOff = 0.2;
constexpr int MinRequests = 200;
// Of each machine before and after the change.
constexpr int RequestsBefore = 25;
constexpr int RequestsAfter = 40;

std::string configText(int Version, double Booking, double Archive) {
  json Route = route("r-slots", "/slots/", "safe", "", 2);
  Route.erase("service");
  Route["trafficSplit"] =
      json::array({json{{"service", "booking"}, {"weight", Booking}},
                   json{{"service", "archive"}, {"weight", Archive}}});
  return configuration(Version, {"booking", "archive"}, Host, {Route}).dump();
}

int play() {
  deployment Fleet;
  Fleet.LogFolder = std::getenv("REVIEW_LOGS");
  const std::vector<std::array<const char *, 3>> Sheet = {
      {"sidecar-a-1", "zone-a", "booking"},
      {"sidecar-b-1", "zone-b", "booking"},
      {"sidecar-a-2", "zone-a", "booking"},
      {"sidecar-b-2", "zone-b", "archive"},
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
  Store.put("op/config", configText(7, 50, 50));
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
  pause(milliseconds(4000));

  std::mutex Mutex;
  std::vector<answer> Answers;
  const auto SendFromEach = [&](int Count) {
    std::vector<std::thread> Clients;
    for (std::size_t I = 0; I < All.size(); ++I)
      Clients.emplace_back([&, I] {
        for (int Number = 0; Number < Count; ++Number) {
          answer Answer =
              send(*All[I], "GET", Host,
                   "/slots/" + std::to_string(I) + "-" + std::to_string(Number),
                   milliseconds(3000));
          {
            const std::lock_guard<std::mutex> Lock(Mutex);
            Answers.push_back(std::move(Answer));
          }
          pause(milliseconds(150));
        }
      });
    for (std::thread &Client : Clients)
      Client.join();
  };
  // Returns the share of the archive in the runs since then.
  const auto ArchiveShare = [&](time_point Since, int &Total) {
    std::set<std::string> Ids;
    for (const answer &Answer : Answers)
      if (Answer.SentAt >= Since)
        Ids.insert(Answer.Id);
    Total = 0;
    int Archive = 0;
    for (const run &Run : Runs.all()) {
      if (Ids.count(Run.Id) == 0)
        continue;
      ++Total;
      Archive += Run.Service == "archive" ? 1 : 0;
    }
    return Total == 0 ? 0.0 : static_cast<double>(Archive) / Total;
  };

  const time_point Begin = clock_type::now();
  SendFromEach(RequestsBefore);
  int Total = 0;
  double Share = ArchiveShare(Begin, Total);
  Record.say("weights 50 and 50: share of archive %.2f of %d requests", Share,
             Total);
  double Expected = 0.5;
  if (withTrouble()) {
    Store.put("op/config", configText(12, 0.99, 0.01));
    Record.say("version 12 is acknowledged: weights 0.99 and 0.01");
    Expected = 0.01;
  }
  // Twice the bound: the new version is in force at all machines.
  pause(ApplyTime * 2);
  const time_point From = clock_type::now();
  SendFromEach(RequestsAfter);
  Share = ArchiveShare(From, Total);
  Record.say(
      "share of archive %.2f of %d requests, %.2f by its weight; at most "
      "%.1f off",
      Share, Total, Expected, MaxShareOff);
  for (const std::string &Ended : Fleet.endedByThemselves())
    Record.say("daemon %s ended by itself", Ended.c_str());
  for (auto &Machine : Fleet.Machines)
    Fleet.kill(*Machine, SIGKILL);
  for (auto &Target : Targets)
    Target->end();
  Store.stop();
  if (Total < MinRequests)
    return CouldNotRun;
  return std::abs(Share - Expected) > MaxShareOff ? RuleBroken : RuleHeld;
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
