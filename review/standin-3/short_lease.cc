/// \file
/// Case 13: the store applies shorter leases than the daemons ask for. Machines
/// that are added later find no other and keep quotas of their own.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr double RatePerS = 20;
constexpr double Burst = 20;
//--- Bounds of the settings ---------------------------------------------------
constexpr double WindowMs = 5000;
constexpr double Overage = 0.1;
constexpr double Slack = 20;
constexpr double Allowed =
    (RatePerS * WindowMs / 1000 + Burst) * (1 + Overage) + Slack;

std::string tenantConfig() {
  json Config = json::parse(config(10, {"ledger", "front"},
                                   {route("hold", "/hold/", "unsafe", "ledger"),
                                    route("page", "/page/", "safe", "front")}));
  Config["tenants"] = json::array({{{"name", "tenant-a"},
                                    {"apiKeys", {"key-a"}},
                                    {"priority", 1},
                                    {"ratePerS", RatePerS},
                                    {"burstSize", Burst}}});
  return Config.dump();
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 4)
    return 2;
  recorder::get().open(Arguments[3]);
  const double LeaseMs = troubleWanted() ? 8'000 : 600'000;
  fleet Fleet(Arguments[1], Arguments[2],
              {"ledger", "ledger", "front", "front"}, tenantConfig(), 20, 4100,
              LeaseMs);
  RECORD("the store applies leases of %.0f ms at most, and says so", LeaseMs);
  sleepMs(10'000);
  for (int I = 0; I < 2; ++I) {
    Fleet.add("front");
    RECORD("%s is added", Fleet.Machines.back()->Spec.Name.c_str());
    Fleet.awaitReady();
    sleepMs(10'000);
  }
  const message Other = callOnce(Fleet.Machines[4]->outbound(),
                                 request("POST", "/hold/other",
                                         {{"Host", "shop.example"},
                                          {"Attempt-Id", "other"},
                                          {"Deadline-Ms", "2000"},
                                          {"Key", "key-a"}},
                                         "blazer"),
                                 2500);
  RECORD("a request at sidecar-5 for the service of sidecar-1 and 2 gets %d",
         Other.status());
  // Calm for longer than contactMs. The tenant asks for more than its quota on
  // three machines.
  std::vector<std::unique_ptr<clients>> Clients;
  const double Begin = nowMs();
  for (std::size_t I = 2; I < Fleet.Machines.size(); ++I)
    Clients.push_back(std::make_unique<clients>(
        Fleet.Machines[I]->outbound(), 8, "GET", "/page/",
        std::string(1, static_cast<char>('a' + I)), "key-a"));
  sleepMs(20'000);
  for (auto &Client : Clients)
    Client->stop();
  std::vector<double> Runs;
  std::map<std::string, unsigned> ByTarget;
  for (const run_record &Run : Fleet.Log.all()) {
    Runs.push_back(Run.At);
    ++ByTarget[Run.Target];
  }
  std::sort(Runs.begin(), Runs.end());
  std::size_t Most = 0;
  double MostAt = 0;
  for (std::size_t First = 0, Last = 0; First < Runs.size(); ++First) {
    while (Last < Runs.size() && Runs[Last] < Runs[First] + WindowMs)
      ++Last;
    if (Last - First > Most) {
      Most = Last - First;
      MostAt = Runs[First];
    }
  }
  for (std::size_t I = 0; I < Clients.size(); ++I)
    RECORD("clients of %s: %u requests, %u answered 200, %u answered 429",
           Fleet.Machines[I + 2]->Spec.Name.c_str(), Clients[I]->count(),
           Clients[I]->count(200), Clients[I]->count(429));
  for (const auto &[Name, Number] : ByTarget)
    RECORD("%s has run %u requests of tenant-a", Name.c_str(), Number);
  RECORD("most runs in a window of %.0f ms: %zu, from %.0f ms after the begin; "
         "%.0f are allowed",
         WindowMs, Most, MostAt - Begin, Allowed);
  const bool Broken = static_cast<double>(Most) > Allowed;
  RECORD("%s", Broken ? "QUOTA is broken" : "QUOTA held");
  std::printf("%s: %zu runs, %.0f allowed\n", Broken ? "broken" : "held", Most,
              Allowed);
  std::fflush(stdout);
  if (Most < 50)
    cannotRun("the tenant is not served");
  return Broken ? 1 : 0;
}
