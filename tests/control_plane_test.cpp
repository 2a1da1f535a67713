/// \file
/// Tests the control plane over real UDP and gRPC on loopback: convergence, a
/// restart while the platform is down, and a restart of all daemons.
#include "hyssopledge/transport/control_plane.h"
#include "support/control_documents.h"
#include "support/fake_platform.h"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

using namespace hyssopledge;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

std::string freeAddress() {
  boost::asio::io_context Context;
  tcp::acceptor Acceptor(
      Context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

struct fleet {
  explicit fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      transport::control_plane_options Options;
      Options.Environment = "production";
      Options.Instance = "i" + std::to_string(I);
      Options.DataCentre = "dc1";
      Options.GossipAddress = freeAddress();
      Options.ControlAddress = freeAddress();
      Options.Seed = I + 1;
      Options.IncarnationHint = 0;
      Options.ProbeInterval = 100ms;
      Options.MaxStartDelay = 50ms;
      Options.ConfirmInterval = 500ms;
      if (I > 0)
        Options.BootstrapPeers = {DaemonOptions[0].ControlAddress};
      DaemonOptions.push_back(Options);
    }
    Planes.resize(Count);
    PlatformTimer =
        Timers.every(2ms, [this](state::time_point) { Platform.run(); });
  }
  void start(std::size_t I) {
    transport::control_plane_hooks Hooks;
    Hooks.OnReport = [this](const auto &) { ++Reports; };
    Planes[I] = std::make_unique<transport::control_plane>(
        Context, Platform, DaemonOptions[I], Hooks);
    auto Started = Planes[I]->start();
    REQUIRE_MESSAGE(Started.has_value(), Started.error().text());
  }
  void startAll() {
    for (std::size_t I = 0; I < DaemonOptions.size(); ++I)
      start(I);
  }
  bool runUntil(const std::function<bool()> &Done,
                state::milliseconds Timeout) {
    const auto End = state::boot_clock::now() + Timeout;
    while (!Done() && state::boot_clock::now() < End) {
      Context.run_for(10ms);
      Context.restart();
    }
    return Done();
  }
  bool allAt(std::uint64_t Version) const {
    const auto Now = state::boot_clock::now();
    return std::all_of(Planes.begin(), Planes.end(), [&](const auto &Plane) {
      return Plane->appliedVersion() == Version && Plane->leaseValid(Now);
    });
  }
  bool anyReportsConvergence() const {
    return std::any_of(Planes.begin(), Planes.end(), [](const auto &Plane) {
      return Plane->convergence().in_force_everywhere();
    });
  }
  void commitVersion(std::uint64_t Version) {
    const auto Found = Platform.entries().find("/hyssop/production/head");
    tests::commitDocument(
        Platform, tests::makeDocument("production", 4, Version), Version,
        Found == Platform.entries().end() ? 0 : Found->second.ModRevision);
  }

  boost::asio::io_context Context;
  transport::asio_timer_service Timers{Context};
  tests::fake_platform Platform{[] { return state::boot_clock::now(); }};
  std::vector<transport::control_plane_options> DaemonOptions;
  std::vector<std::unique_ptr<transport::control_plane>> Planes;
  std::unique_ptr<state::timer_subscription> PlatformTimer;
  int Reports = 0;
};

} // namespace

TEST_CASE(
    "five daemons converge, also after a restart without the platform and a "
    "restart of all") {
  fleet Fleet(5);
  Fleet.commitVersion(1);
  Fleet.startAll();
  REQUIRE(Fleet.runUntil([&] { return Fleet.allAt(1); }, 16s));

  Fleet.commitVersion(2);
  const auto Accepted = state::boot_clock::now();
  REQUIRE(Fleet.runUntil([&] { return Fleet.allAt(2); }, 16s));
  MESSAGE("second version applied everywhere after ",
          std::chrono::duration_cast<state::milliseconds>(
              state::boot_clock::now() - Accepted)
              .count(),
          " ms");
  CHECK(Fleet.runUntil([&] { return Fleet.anyReportsConvergence(); }, 16s));
  CHECK(Fleet.Reports > 0);

  Fleet.Platform.Down = true;
  Fleet.Platform.breakWatches();
  Fleet.Planes[3].reset();
  Fleet.runUntil([] { return false; }, 300ms);
  Fleet.start(3);
  CHECK(Fleet.runUntil([&] { return Fleet.allAt(2); }, 16s));
  CHECK(Fleet.Planes[3]->agent().status().find("\"floor\":2") !=
        std::string::npos);

  Fleet.Platform.Down = false;
  for (auto &Plane : Fleet.Planes)
    Plane.reset();
  Fleet.startAll();
  const auto Restarted = state::boot_clock::now();
  CHECK(Fleet.runUntil([&] { return Fleet.allAt(2); }, 16s));
  MESSAGE("all daemons restarted and converged after ",
          std::chrono::duration_cast<state::milliseconds>(
              state::boot_clock::now() - Restarted)
              .count(),
          " ms");

  bool Left = false;
  Fleet.Planes[4]->leave([&] { Left = true; });
  CHECK(Fleet.runUntil([&] { return Left; }, 2s));
  CHECK(Fleet.runUntil(
      [&] {
        const auto *Member = Fleet.Planes[0]->agent().store().findMember("i4");
        return Member != nullptr && Member->status() == control::MEMBER_LEFT;
      },
      2s));
}
