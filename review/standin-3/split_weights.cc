/// \file
/// Case 15: a configuration takes all traffic of a route from one service. The
/// daemons go on sending requests to it.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr double ConfigApplyMs = 2000; // bound of the settings
// Requests of a part may differ from its weight by this share of all.
constexpr double MaxShareOff = 0.2;
constexpr unsigned MinRequests = 200;

std::string splitConfig(int Version, double Old, double New) {
  json Route = route("page", "/page/", "safe", "");
  Route.erase("service");
  Route["trafficSplit"] =
      json::array({{{"service", "ledger"}, {"weight", Old}},
                   {{"service", "front"}, {"weight", New}}});
  return config(Version, {"ledger", "front", "edge"}, json::array({Route}));
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 4)
    return 2;
  recorder::get().open(Arguments[3]);
  fleet Fleet(Arguments[1], Arguments[2],
              {"ledger", "front", "edge", "edge", "edge", "edge"},
              splitConfig(10, 90, 10), 5);
  RECORD("weights in force: ledger 90, front 10");
  // A little traffic before the change.
  for (unsigned Round = 0; Round < 16; ++Round) {
    for (std::size_t I = 0; I < Fleet.Machines.size(); ++I) {
      const std::string Id =
          "b" + std::to_string(Round) + "-" + std::to_string(I);
      callOnce(Fleet.Machines[I]->outbound(),
               request("GET", "/page/" + Id,
                       {{"Host", "shop.example"},
                        {"Attempt-Id", Id},
                        {"Deadline-Ms", "2000"}},
                       ""),
               2500);
    }
    sleepMs(100);
  }
  std::map<std::string, unsigned> Before;
  for (const run_record &Run : Fleet.Log.all())
    ++Before[Run.Target];
  RECORD("before the change: %u at ledger, %u at front", Before["i-0001"],
         Before["i-0002"]);

  const bool Trouble = troubleWanted();
  // TROUBLE=0: the same weights in another version.
  Fleet.Store.put("op/config",
                  Trouble ? splitConfig(11, 0, 1) : splitConfig(11, 90, 10));
  const double AckAt = nowMs();
  RECORD("the store acknowledges version 11: ledger %s",
         Trouble ? "0, front 1" : "90, front 10");
  sleepUntil(AckAt + 2 * ConfigApplyMs);
  const double From = nowMs();
  unsigned Sent = 0;
  for (unsigned Round = 0; Round < 50; ++Round) {
    for (std::size_t I = 0; I < Fleet.Machines.size(); ++I) {
      const std::string Id =
          "c" + std::to_string(Round) + "-" + std::to_string(I);
      Sent += callOnce(Fleet.Machines[I]->outbound(),
                       request("GET", "/page/" + Id,
                               {{"Host", "shop.example"},
                                {"Attempt-Id", Id},
                                {"Deadline-Ms", "2000"}},
                               ""),
                       2500)
                  .status() == 200;
    }
    sleepMs(20);
  }
  unsigned Old = 0;
  unsigned New = 0;
  for (const run_record &Run : Fleet.Log.all())
    if (Run.At >= From)
      ++(Run.Target == "i-0001" ? Old : New);
  const double Share = static_cast<double>(Old) / std::max(1U, Old + New);
  const double Due = Trouble ? 0 : 0.9;
  RECORD("from %.0f ms after the acknowledgement: %u requests answered 200, %u "
         "run by ledger, "
         "%u by front; the share of ledger is %.2f, due is %.2f",
         From - AckAt, Sent, Old, New, Share, Due);
  const bool Broken =
      Old + New >= MinRequests && std::abs(Share - Due) > MaxShareOff;
  RECORD("%s", Broken ? "CONFIG is broken" : "CONFIG held");
  std::printf("%s: %u of %u at ledger\n", Broken ? "broken" : "held", Old,
              Old + New);
  std::fflush(stdout);
  if (Old + New < MinRequests)
    cannotRun("the deployment does not serve");
  return Broken ? 1 : 0;
}
