/// \file
/// Measures fleets of real daemons on loopback: convergence time, control bytes
/// by cause, CPU time, memory and platform calls.
#include "bench/bench.h"
#include "bench/fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <thread>

namespace hyssopledge::bench {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using steady_clock = std::chrono::steady_clock;

constexpr auto StartTimeout = 60s;
constexpr auto ConvergenceTimeout = 60s;
constexpr std::array<const char *, 5> TrafficCauses = {
    "membership", "document", "renewal", "report", "sync"};

std::string nameAtSize(const std::string &Name, unsigned Daemons) {
  return Name + "@" + std::to_string(Daemons);
}

double quantile(std::vector<std::chrono::milliseconds> Times, double Share) {
  if (Times.empty())
    return NAN;
  std::sort(Times.begin(), Times.end());
  const auto Index = static_cast<std::size_t>(
                         std::ceil(Share * static_cast<double>(Times.size()))) -
                     1;
  return static_cast<double>(Times[std::min(Index, Times.size() - 1)].count());
}

/// Adds quantiles of the convergence time. Daemons that did not converge count
/// with ConvergenceTimeout.
void addConvergence(std::vector<row> &Rows, const std::string &Name,
                    std::vector<std::chrono::milliseconds> Times,
                    std::size_t Expected) {
  Times.resize(Expected, ConvergenceTimeout);
  const std::pair<const char *, double> Shares[] = {
      {"p50", 0.5}, {"p99", 0.99}, {"worst", 1.0}};
  for (const auto &[Suffix, Share] : Shares) {
    row Row;
    Row.Name = "fleet/convergence/" + Name + "/" + Suffix;
    Row.Unit = "ms";
    Row.Value = quantile(Times, Share);
    Row.Target = "16000";
    Rows.push_back(std::move(Row));
  }
}

row makeRow(std::string Name, std::string Unit, double Value,
            std::string Target) {
  row Row;
  Row.Name = std::move(Name);
  Row.Unit = std::move(Unit);
  Row.Value = Value;
  Row.Target = std::move(Target);
  return Row;
}

/// Waits up to StartTimeout until every daemon reaches all members; returns
/// false on timeout.
bool awaitMembers(const fleet &Fleet) {
  const auto End = steady_clock::now() + StartTimeout;
  while (steady_clock::now() < End) {
    unsigned CompleteDaemons = 0;
    for (unsigned I = 0; I < Fleet.size(); ++I) {
      const auto Status = Fleet.status(I);
      if (Status && Status->value("reachable", 0U) >= Fleet.size())
        ++CompleteDaemons;
    }
    if (CompleteDaemons == Fleet.size())
      return true;
    std::this_thread::sleep_for(500ms);
  }
  return false;
}

/// Promotes a document and waits until the daemons apply it. Returns the
/// convergence times, measured from before the promotion.
std::vector<std::chrono::milliseconds>
promoteAndWait(fleet &Fleet, unsigned Revision,
               const std::vector<unsigned> &Daemons) {
  const auto Start = steady_clock::now();
  const auto Version = Fleet.accept(Revision);
  if (!Version) {
    std::fprintf(stderr, "hyssop_bench: promotion failed: %s\n",
                 Version.error().text().c_str());
    return {};
  }
  return Fleet.awaitVersion(Daemons, Version.value(), Start,
                            ConvergenceTimeout);
}

struct usage_sample {
  double CpuMs = 0;
  double ResidentMb = 0; // of the largest daemon
  std::array<double, TrafficCauses.size()>
      Bytes{}; // both directions, all daemons
  double PlatformCalls = 0;
};

usage_sample sampleUsage(const fleet &Fleet) {
  usage_sample Sample;
  for (unsigned I = 0; I < Fleet.size(); ++I) {
    const process_usage Usage = Fleet.usage(I);
    Sample.CpuMs += static_cast<double>(Usage.Cpu.count());
    Sample.ResidentMb = std::max(Sample.ResidentMb, Usage.ResidentMb);
    const auto Status = Fleet.status(I);
    if (!Status || !Status->contains("control_bytes"))
      continue;
    for (std::size_t C = 0; C < TrafficCauses.size(); ++C) {
      const json &Bytes = (*Status)["control_bytes"][TrafficCauses[C]];
      Sample.Bytes[C] += Bytes.value("in", 0.0) + Bytes.value("out", 0.0);
    }
  }
  Sample.PlatformCalls = Fleet.platformStats().value("calls", 0.0);
  return Sample;
}

/// Measures a converged fleet while one change is promoted every 5 s, far more
/// often than the expected 1,300 changes a day.
void measureUsage(std::vector<row> &Rows, fleet &Fleet, unsigned &Revision,
                  std::chrono::seconds Duration) {
  const auto Start = steady_clock::now();
  const usage_sample Before = sampleUsage(Fleet);
  unsigned Changes = 0;
  while (steady_clock::now() - Start < Duration) {
    promoteAndWait(Fleet, ++Revision, Fleet.all());
    ++Changes;
    std::this_thread::sleep_until(Start + Changes * 5s);
  }
  const usage_sample After = sampleUsage(Fleet);
  const double Seconds =
      std::chrono::duration<double>(steady_clock::now() - Start).count();
  const double Daemons = Fleet.size();
  double TotalRate = 0;
  for (std::size_t C = 0; C < TrafficCauses.size(); ++C) {
    const double Rate = (After.Bytes[C] - Before.Bytes[C]) / Seconds / Daemons;
    TotalRate += Rate;
    Rows.push_back(
        makeRow(nameAtSize(std::string("fleet/bytes/") + TrafficCauses[C],
                           Fleet.size()),
                "B/s per daemon", Rate, ""));
  }
  Rows.push_back(makeRow(nameAtSize("fleet/bytes/total", Fleet.size()),
                         "B/s per daemon", TotalRate, "17000"));
  Rows.push_back(makeRow(nameAtSize("fleet/cpu", Fleet.size()), "% of a core",
                         (After.CpuMs - Before.CpuMs) / 10 / Seconds / Daemons,
                         "1"));
  Rows.push_back(makeRow(nameAtSize("fleet/memory", Fleet.size()),
                         "MB, largest", After.ResidentMb, "128"));
  Rows.push_back(
      makeRow(nameAtSize("fleet/platform_calls", Fleet.size()), "calls/s",
              (After.PlatformCalls - Before.PlatformCalls) / Seconds, "2000"));
}

/// Measures one fleet of the given size with a document of 110 services.
std::vector<row> benchScale(const options &Options, unsigned Size) {
  std::vector<row> Rows;
  fleet_options FleetOptions;
  FleetOptions.BinaryDir = Options.BinaryDir;
  FleetOptions.Daemons = Size;
  FleetOptions.DataCentres = 7;
  FleetOptions.Services = 110;
  fleet Fleet(FleetOptions);
  Fleet.awaitPlatform(10s);
  const auto Start = steady_clock::now();
  Fleet.startAll();
  unsigned Revision = 1;
  const auto StartTimes = promoteAndWait(Fleet, Revision, Fleet.all());
  Rows.push_back(
      makeRow(nameAtSize("fleet/start_to_serving", Size), "ms, slowest daemon",
              StartTimes.size() == Size ? quantile(StartTimes, 1.0) : NAN, ""));
  Rows.push_back(
      makeRow(nameAtSize("fleet/members_known", Size), "ms, all by all",
              awaitMembers(Fleet) ? std::chrono::duration<double, std::milli>(
                                        steady_clock::now() - Start)
                                        .count()
                                  : NAN,
              ""));
  std::vector<std::chrono::milliseconds> Times;
  const unsigned Rounds = Options.Quick ? 2 : 5;
  for (unsigned I = 0; I < Rounds; ++I) {
    const auto RoundTimes = promoteAndWait(Fleet, ++Revision, Fleet.all());
    Times.insert(Times.end(), RoundTimes.begin(), RoundTimes.end());
  }
  addConvergence(Rows, nameAtSize("calm", Size), Times, Size * Rounds);
  measureUsage(Rows, Fleet, Revision, Options.Quick ? 10s : 30s);
  return Rows;
}

std::vector<row> benchFaults(const options &Options) {
  std::vector<row> Rows;
  fleet_options FleetOptions;
  FleetOptions.BinaryDir = Options.BinaryDir;
  FleetOptions.Daemons = Options.Quick ? 8 : 32;
  FleetOptions.Services = 20;
  fleet Fleet(FleetOptions);
  std::this_thread::sleep_for(500ms);
  Fleet.startAll();
  unsigned Revision = 1;
  promoteAndWait(Fleet, Revision, Fleet.all());
  awaitMembers(Fleet);

  // A quarter of the daemons is stopped with SIGSTOP while a version is
  // accepted, and resumed 10 s later.
  std::vector<unsigned> Frozen;
  std::vector<unsigned> Running;
  for (unsigned I = 0; I < Fleet.size(); ++I)
    (I % 4 == 3 ? Frozen : Running).push_back(I);
  for (unsigned I : Frozen)
    Fleet.freezeDaemon(I, true);
  addConvergence(Rows, "others_frozen",
                 promoteAndWait(Fleet, ++Revision, Running), Running.size());
  std::this_thread::sleep_for(10s);
  const auto ResumedAt = steady_clock::now();
  for (unsigned I : Frozen)
    Fleet.freezeDaemon(I, false);
  addConvergence(
      Rows, "after_wake",
      Fleet.awaitVersion(Frozen, Revision, ResumedAt, ConvergenceTimeout),
      Frozen.size());

  // A third of the daemons is killed and restarts while a version is accepted.
  std::vector<unsigned> RestartedDaemons;
  for (unsigned I = 0; I < Fleet.size(); I += 3)
    RestartedDaemons.push_back(I);
  for (unsigned I : RestartedDaemons)
    Fleet.killDaemon(I);
  for (unsigned I : RestartedDaemons)
    Fleet.startDaemon(I);
  addConvergence(Rows, "herd_returns",
                 promoteAndWait(Fleet, ++Revision, Fleet.all()), Fleet.size());

  // Daemons restart while the platform is down and must get the version and its
  // floor from peers.
  Fleet.setPlatformDown(true);
  for (unsigned I : RestartedDaemons)
    Fleet.killDaemon(I);
  const auto RestartedAt = steady_clock::now();
  for (unsigned I : RestartedDaemons)
    Fleet.startDaemon(I);
  addConvergence(Rows, "restart_platform_down",
                 Fleet.awaitVersion(RestartedDaemons, Revision, RestartedAt,
                                    ConvergenceTimeout),
                 RestartedDaemons.size());
  std::this_thread::sleep_for(15s);
  Fleet.setPlatformDown(false);
  const auto RestoredAt = steady_clock::now();
  state::result<std::uint64_t> Accepted =
      state::failure(state::errc::Unavailable, "");
  while (!Accepted && steady_clock::now() - RestoredAt < ConvergenceTimeout)
    Accepted = Fleet.accept(++Revision);
  addConvergence(Rows, "after_outage",
                 Accepted ? Fleet.awaitVersion(Fleet.all(), Accepted.value(),
                                               RestoredAt, ConvergenceTimeout)
                          : std::vector<std::chrono::milliseconds>(),
                 Fleet.size());
  return Rows;
}

// Each size is a case of its own, so an aborted run keeps the rows of the
// cases that ended.
bench_function scaleCase(unsigned Size) {
  return [Size](const options &Options) { return benchScale(Options, Size); };
}
const registration RegisterScale8("fleet_scale_8", scaleCase(8));
const registration RegisterScale16("fleet_scale_16", scaleCase(16));
const registration RegisterScale32("fleet_scale_32", scaleCase(32));
const registration RegisterScale64("fleet_scale_64", scaleCase(64));
const registration RegisterScale128("fleet_scale_128", scaleCase(128));
const registration RegisterFaults("fleet_faults", benchFaults);

} // namespace

} // namespace hyssopledge::bench
