/// \file
/// Entry point of hyssop_mesh, the mesh daemon for the users' platform.
#include "apps/hyssop_mesh/mesh_daemon.h"
#include "hyssopledge/transport/logging.h"
#include "platform/boot_settings.h"
#include "platform/call_fields.h"
#include "platform/instance_codec.h"
#include "platform/kv_store.h"
#include "platform/operator_codec.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <popt.h>
#include <sstream>
#include <string>

namespace {

using namespace hyssopledge;

// Process exit codes.
constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

state::result<protocol::mesh_settings>
loadSettings(const std::string &SettingsPath) {
  std::ifstream File(SettingsPath);
  if (!File)
    return state::failure(state::errc::NotFound, "can't read " + SettingsPath);
  std::ostringstream Text;
  Text << File.rdbuf();
  return platform::parseBootSettings(Text.str());
}

/// Reads and validates the settings file again and logs the result. Nothing is
/// applied: addresses and names take effect at startup only.
void checkReloadedSettings(const std::string &SettingsPath) {
  const auto Settings = loadSettings(SettingsPath);
  if (Settings.has_error())
    transport::logEvent(transport::log_level::Warn, "reload_refused",
                        {{"reason", Settings.error().text()}});
  else
    transport::logEvent(transport::log_level::Info, "reloaded",
                        {{"path", SettingsPath}});
}

int runDaemon(const std::string &SettingsPath, bool CheckOnly,
              transport::log_level Level, double HedgeRatio) {
  auto Settings = loadSettings(SettingsPath);
  if (!Settings) {
    std::cerr << "hyssop_mesh: " << Settings.error().text() << "\n";
    return ExitFailure;
  }
  if (CheckOnly) {
    std::cout << "settings are valid: " << SettingsPath << "\n";
    return ExitSuccess;
  }
  Settings.value().HedgeRatio = HedgeRatio;
  // A write to a closed connection reports EPIPE instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  auto Logging =
      transport::setUpLogging({"", Level, transport::log_output::Bounded});
  if (!Logging) {
    std::cerr << "hyssop_mesh: " << Logging.error().text() << "\n";
    return ExitFailure;
  }
  boost::asio::io_context Context(1);
  platform::kv_store_options StoreOptions;
  StoreOptions.Address = Settings.value().PlatformAddress;
  platform::kv_store Store(Context, StoreOptions);
  const platform::call_fields CallDialect;
  const platform::instance_codec InstanceDialect;
  const platform::operator_codec OperatorDialect;
  auto Daemon = hyssop_mesh::mesh_daemon::open(
      Context, Settings.value(),
      {CallDialect, InstanceDialect, OperatorDialect, Store},
      [SettingsPath] { checkReloadedSettings(SettingsPath); });
  if (!Daemon) {
    std::cerr << "hyssop_mesh: " << Daemon.error().text() << "\n";
    return ExitFailure;
  }
  Daemon.value()->run();
  // Skips destructors: closing the connections one by one could exceed the
  // shutdown grace period, while the kernel closes them all at process exit.
  std::_Exit(ExitSuccess);
}

} // namespace

namespace {

// Allocations above this size (documents, their compressed forms, long bodies)
// get their own mapping: freeing returns the memory to the system, and they
// don't fragment the heap.
constexpr int MmapThresholdBytes = 64 * 1024;
// Free memory kept at the top of the heap before it is trimmed.
constexpr int TrimThresholdBytes = 64 * 1024;

void configureMalloc() {
  ::mallopt(M_MMAP_THRESHOLD, MmapThresholdBytes);
  ::mallopt(M_TRIM_THRESHOLD, TrimThresholdBytes);
}

} // namespace

int main(int Argc, const char **Argv) {
  configureMalloc();
  const char *SettingsPath = nullptr;
  const char *LevelName = "info";
  double HedgeRatio = 0;
  int CheckOnly = 0;
  int PrintVersion = 0;
  const poptOption Table[] = {
      {"settings", 's', POPT_ARG_STRING, &SettingsPath, 0,
       "settings file, instead of the one that the platform names", "FILE"},
      {"log-level", 'l', POPT_ARG_STRING, &LevelName, 0,
       "trace, debug, info, warn or error", "LEVEL"},
      {"hedge-ratio", 0, POPT_ARG_DOUBLE, &HedgeRatio, 0,
       "second attempts for slow idempotent requests, as a fraction of these, "
       "0 to 1; 0: none",
       "RATIO"},
      {"check", 0, POPT_ARG_NONE, &CheckOnly, 0,
       "check the settings and exit without starting", nullptr},
      {"version", 'V', POPT_ARG_NONE, &PrintVersion, 0,
       "print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext PoptContext = poptGetContext("hyssop_mesh", Argc, Argv, Table, 0);
  const int Parsed = poptGetNextOpt(PoptContext);
  std::string Problem;
  if (Parsed < -1)
    Problem = std::string(poptBadOption(PoptContext, 0)) + ": " +
              poptStrerror(Parsed);
  else if (poptPeekArg(PoptContext) != nullptr)
    Problem = "takes no arguments besides options";
  poptFreeContext(PoptContext);
  if (PrintVersion != 0) {
    std::cout << "hyssop_mesh " HYSSOPLEDGE_VERSION "\n";
    return ExitSuccess;
  }
  if (SettingsPath == nullptr)
    SettingsPath = std::getenv(platform::SettingsVariable);
  const auto Level = transport::parseLogLevel(LevelName);
  if (Problem.empty() && Level.has_error())
    Problem = Level.error().text();
  if (Problem.empty() && !(HedgeRatio >= 0 && HedgeRatio <= 1))
    Problem = "--hedge-ratio must be from 0 to 1";
  if (Problem.empty() && SettingsPath == nullptr)
    Problem = "--settings FILE is needed";
  if (!Problem.empty()) {
    std::cerr << "hyssop_mesh: " << Problem << "; see --help\n";
    return ExitUsage;
  }
  return runDaemon(SettingsPath, CheckOnly != 0, Level.value(), HedgeRatio);
}
