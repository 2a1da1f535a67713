/// \file
/// Tests promises 1 and 10 with real processes: daemons that are killed, frozen
/// and restarted during a platform outage, and a lease that expires.
#include "bench/fleet.h"

#include <doctest/doctest.h>
#include <set>
#include <thread>

using namespace hyssopledge;
using namespace std::chrono_literals;
using bench::fleet;
using steady_clock = std::chrono::steady_clock;

namespace {

constexpr auto ConvergenceTimeout = 16s; // documented target

/// Polls the daemon until it reports FinalVersion as applied or
/// ConvergenceTimeout has passed, and returns all applied versions it reported.
std::set<std::uint64_t> collectReportedVersions(const fleet &Fleet,
                                                unsigned Index,
                                                std::uint64_t FinalVersion) {
  std::set<std::uint64_t> ReportedVersions;
  const auto Deadline = steady_clock::now() + ConvergenceTimeout;
  while (!ReportedVersions.contains(FinalVersion) &&
         steady_clock::now() < Deadline) {
    if (const auto Status = Fleet.status(Index))
      ReportedVersions.insert(
          Status->value("applied_version", std::uint64_t{0}));
    std::this_thread::sleep_for(20ms);
  }
  return ReportedVersions;
}

/// Returns the body of the first 503 response that contains Reason, or an empty
/// string after Timeout.
std::string awaitRefusal(const fleet &Fleet, unsigned Index,
                         const std::string &Reason,
                         std::chrono::seconds Timeout) {
  const auto Deadline = steady_clock::now() + Timeout;
  while (steady_clock::now() < Deadline) {
    const auto Response = Fleet.call(Index, "/service-0/x");
    if (Response && Response->Status == 503 &&
        Response->Body.find(Reason) != std::string::npos)
      return Response->Body;
    std::this_thread::sleep_for(100ms);
  }
  return "";
}

} // namespace

TEST_CASE("real daemons converge through kills, freezes and an outage") {
  bench::fleet_options Options;
  Options.BinaryDir = HYSSOPLEDGE_BIN_DIR;
  Options.Daemons = 5;
  Options.DataCentres = 2;
  Options.Services = 2;
  Options.FirstPort = 23000;
  Options.Lease = 6s;
  fleet Fleet(Options);
  REQUIRE(Fleet.awaitPlatform(10s));
  Fleet.startAll();

  auto Start = steady_clock::now();
  auto Version = Fleet.accept(1);
  REQUIRE_MESSAGE(Version.has_value(), Version.error().text());
  REQUIRE(Fleet.awaitVersion(Fleet.all(), Version.value(), Start, 30s).size() ==
          5);

  // A frozen daemon misses a version and catches up after it resumes.
  Fleet.freezeDaemon(4, true);
  Start = steady_clock::now();
  Version = Fleet.accept(2);
  REQUIRE(Version.has_value());
  CHECK(Fleet
            .awaitVersion({0, 1, 2, 3}, Version.value(), Start,
                          ConvergenceTimeout)
            .size() == 4);
  Fleet.freezeDaemon(4, false);
  CHECK(Fleet
            .awaitVersion({4}, Version.value(), steady_clock::now(),
                          ConvergenceTimeout)
            .size() == 1);

  // While the platform is down, a restarted daemon gets the version from its
  // peers and reports no older one.
  REQUIRE(Fleet.setPlatformDown(true));
  Fleet.killDaemon(3);
  Fleet.startDaemon(3);
  const std::set<std::uint64_t> ReportedVersions =
      collectReportedVersions(Fleet, 3, Version.value());
  CHECK(ReportedVersions.contains(Version.value()));
  for (std::uint64_t Value : ReportedVersions)
    CHECK((Value == 0 || Value == Version.value()));

  // One daemon of five is no majority: while the platform is down its lease
  // expires, and it refuses calls as not run.
  for (unsigned Index : {0U, 1U, 2U, 4U})
    Fleet.killDaemon(Index);
  const std::string Refusal = awaitRefusal(Fleet, 3, "lease-expired", 30s);
  CHECK(Refusal.find("not-run") != std::string::npos);

  REQUIRE(Fleet.setPlatformDown(false));
  for (unsigned Index : {0U, 1U, 2U, 4U})
    Fleet.startDaemon(Index);
  REQUIRE(Fleet.awaitPlatform(10s));
  Start = steady_clock::now();
  Version = Fleet.accept(3);
  REQUIRE_MESSAGE(Version.has_value(), Version.error().text());
  CHECK(Fleet.awaitVersion(Fleet.all(), Version.value(), Start, 30s).size() ==
        5);
}
