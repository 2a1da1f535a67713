/// \file
/// A version that fails under load is rolled out for a service with many
/// routes, all in use. Checks that it is rolled back and how many requests it
/// gets.
#include "../standin/mesh.hpp"

using namespace review;

namespace {

constexpr char Host[] = "booking.example";
constexpr double ExposureShare = 0.1;
constexpr int ExposureSlack = 50;
constexpr milliseconds RollbackTime{5000}; // rollbackMs
constexpr std::size_t BadAnswers = 50;
constexpr milliseconds Duration{16000}; // of the order
constexpr int ManyRoutes = 350;         // of the site's big_config
constexpr int FewRoutes = 3;
constexpr int ClientCount = 30;
constexpr milliseconds ClientInterval{100};
constexpr std::size_t FailsAbovePerSecond = 80; // at each target

int play() {
  const int RouteCount = withTrouble() ? ManyRoutes : FewRoutes;
  deployment Fleet;
  Fleet.LogFolder = std::getenv("REVIEW_LOGS");
  const std::vector<std::array<const char *, 4>> Sheet = {
      {"sidecar-a-1", "zone-a", "desk", "v1"},
      {"sidecar-b-1", "zone-b", "desk", "v1"},
      {"sidecar-a-2", "zone-a", "booking", "v1"},
      {"sidecar-b-2", "zone-b", "booking", "v1"},
      {"sidecar-a-3", "zone-a", "booking", "v2"},
      {"sidecar-b-3", "zone-b", "booking", "v2"}};
  for (const auto &Row : Sheet)
    Fleet.add(Row[0], Row[1], Row[2]);
  if (!Fleet.choosePorts())
    return CouldNotRun;
  store Store;
  for (auto &Machine : Fleet.Machines)
    if (!Store.serve(Machine->StoreAddress, Machine->Name))
      return CouldNotRun;
  std::vector<json> Routes;
  for (int I = 0; I < RouteCount; ++I) {
    char Name[32];
    std::snprintf(Name, sizeof Name, "r-b%05dk", I);
    Routes.push_back(
        route(Name, "/b" + std::to_string(I) + "/", "safe", "booking", 2));
  }
  Store.put("op/config",
            configuration(7, {"desk", "booking"}, Host, Routes).dump());
  std::vector<std::unique_ptr<target>> Targets;
  std::vector<machine *> All;
  for (std::size_t I = 0; I < Fleet.Machines.size(); ++I) {
    machine &Machine = *Fleet.Machines[I];
    target_options Options;
    Options.Machine = Machine.Name;
    Options.Service = Machine.Service;
    Options.Version = Sheet[I][3];
    Options.DataCentre = Machine.Zone;
    Options.Address = Machine.app();
    Options.Control = Machine.control();
    Options.Work = milliseconds(20);
    if (Options.Version == "v2")
      Options.FailsAbovePerSecond = FailsAbovePerSecond;
    Targets.push_back(std::make_unique<target>(Options));
    All.push_back(&Machine);
  }
  const auto StartMachine = [&](std::size_t Index) {
    return Fleet.start(*All[Index]) && Targets[Index]->start();
  };
  for (std::size_t I = 0; I < 4; ++I)
    if (!StartMachine(I))
      return CouldNotRun;
  if (!awaitReady({All[0], All[1], All[2], All[3]}, milliseconds(10000)))
    return CouldNotRun;
  pause(milliseconds(4000));

  // 300 requests a second in all, over all routes.
  std::atomic<bool> Stop{false};
  std::atomic<int> Number{0};
  std::mutex Mutex;
  std::map<std::string, time_point> SentAt;
  std::vector<std::thread> Clients;
  for (int I = 0; I < ClientCount; ++I)
    Clients.emplace_back([&, I] {
      time_point Next = clock_type::now();
      while (!Stop) {
        const int Request = ++Number;
        const answer Answer =
            send(*All[static_cast<std::size_t>(I) % 2], "GET", Host,
                 "/b" + std::to_string(Request % RouteCount) + "/x",
                 milliseconds(2000));
        {
          const std::lock_guard<std::mutex> Lock(Mutex);
          SentAt[Answer.Id] = Answer.SentAt;
        }
        Next = std::max(Next + ClientInterval, clock_type::now());
        std::this_thread::sleep_until(Next);
      }
    });
  pause(milliseconds(3000));

  Store.put("op/rollout/booking",
            json{{"service", "booking"}, {"toVersion", "v2"}, {"durationS", 16}}
                .dump());
  const time_point Ordered = clock_type::now();
  Record.say("the operator orders v2 of booking; %d routes", RouteCount);
  if (!StartMachine(4) || !StartMachine(5))
    return CouldNotRun;
  pause(Duration + milliseconds(4000));
  Stop = true;
  for (std::thread &Client : Clients)
    Client.join();

  const std::set<std::string> New = {Targets[4]->name(), Targets[5]->name()};
  std::size_t Total = 0;
  std::size_t ToNew = 0;
  std::vector<time_point> Bad;
  for (const run &Run : Runs.all()) {
    if (Run.Service != "booking" || Run.At < Ordered)
      continue;
    const bool IsNew = New.count(Run.Target) > 0;
    if (Run.At < Ordered + Duration) {
      ++Total;
      ToNew += IsNew ? 1 : 0;
    }
    if (IsNew && Run.Failed)
      Bad.push_back(Run.At);
  }
  const auto Allowed = static_cast<std::size_t>(
      ExposureShare * static_cast<double>(Total) + ExposureSlack);
  std::size_t Late = 0;
  if (Bad.size() >= BadAnswers)
    for (const run &Run : Runs.all()) {
      const auto Sent = SentAt.find(Run.Id);
      if (New.count(Run.Target) > 0 && Sent != SentAt.end() &&
          Sent->second > Bad[BadAnswers - 1] + RollbackTime)
        ++Late;
    }
  Record.say("until the deadline v2 got %zu of %zu requests; allowed %zu",
             ToNew, Total, Allowed);
  Record.say(
      "v2 gave %zu bad answers; requests to it that were sent later than "
      "%lld ms after the 50th: %zu",
      Bad.size(), static_cast<long long>(RollbackTime.count()), Late);
  const std::string Status = Store.valueOf("status/rollout/booking");
  Record.say("status at the store (base64): %s", Status.c_str());
  for (const std::string &Ended : Fleet.endedByThemselves())
    Record.say("daemon %s ended by itself", Ended.c_str());
  for (auto &Machine : Fleet.Machines)
    Fleet.kill(*Machine, SIGKILL);
  for (auto &Target : Targets)
    Target->end();
  Store.stop();
  if (Total < 1000 || ToNew == 0)
    return CouldNotRun;
  // The share is printed above; the verdict rests on the requests that come
  // after the bound alone.
  return Late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  Record.open(Count > 1 ? Arguments[1] : "record.txt");
  const int Result = play();
  Record.say("result: %d (%s)", Result,
             Result == RuleBroken ? "EXPOSURE broken"
             : Result == RuleHeld ? "EXPOSURE held"
                                  : "could not run");
  return Result;
}
