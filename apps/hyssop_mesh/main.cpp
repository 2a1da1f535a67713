/// \file
/// The daemon of the mesh on the users' platform.
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

// Exit codes.
constexpr int Fine = 0;
constexpr int Failed = 1;
constexpr int Usage = 2;

state::result<protocol::mesh_settings> load(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return state::failure(state::errc::NotFound, "can't read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return platform::parseBootSettings(Text.str());
}

/// Addresses and names are taken at the start only.
void reload(const std::string &Path) {
  const auto Settings = load(Path);
  if (Settings.has_error())
    transport::logEvent(transport::log_level::Warn, "reload_refused",
                        {{"reason", Settings.error().text()}});
  else
    transport::logEvent(transport::log_level::Info, "reloaded",
                        {{"path", Path}});
}

int start(const std::string &Path, bool CheckOnly, transport::log_level Level) {
  auto Settings = load(Path);
  if (!Settings) {
    std::cerr << "hyssop_mesh: " << Settings.error().text() << "\n";
    return Failed;
  }
  if (CheckOnly) {
    std::cout << "settings are valid: " << Path << "\n";
    return Fine;
  }
  // A peer that closes is seen by the failed write.
  std::signal(SIGPIPE, SIG_IGN);
  auto Logging =
      transport::setUpLogging({"", Level, transport::log_output::Bounded});
  if (!Logging) {
    std::cerr << "hyssop_mesh: " << Logging.error().text() << "\n";
    return Failed;
  }
  boost::asio::io_context Context(1);
  platform::kv_store_options StoreOptions;
  StoreOptions.Address = Settings.value().PlatformAddress;
  platform::kv_store Store(Context, StoreOptions);
  const platform::call_fields Calls;
  const platform::instance_codec Instances;
  const platform::operator_codec Operators;
  auto Daemon = hyssop_mesh::mesh_daemon::open(
      Context, Settings.value(), {Calls, Instances, Operators, Store},
      [Path] { reload(Path); });
  if (!Daemon) {
    std::cerr << "hyssop_mesh: " << Daemon.error().text() << "\n";
    return Failed;
  }
  Daemon.value()->run();
  // Closing every connection in turn could outlast the grace time; the kernel
  // does it at once.
  std::_Exit(Fine);
}

} // namespace

namespace {

// Larger blocks are documents, their compressed forms and long bodies: they are
// given back to the system when they are freed, and don't split the heap.
constexpr int OwnMappingBytes = 64 * 1024;
// Free memory at the end of the heap that is kept.
constexpr int KeptFreeBytes = 64 * 1024;

void limitHeap() {
  ::mallopt(M_MMAP_THRESHOLD, OwnMappingBytes);
  ::mallopt(M_TRIM_THRESHOLD, KeptFreeBytes);
}

} // namespace

int main(int Argc, const char **Argv) {
  limitHeap();
  const char *Path = nullptr;
  const char *LevelName = "info";
  int Check = 0;
  int Version = 0;
  const poptOption Table[] = {
      {"settings", 's', POPT_ARG_STRING, &Path, 0,
       "settings file, instead of the one that the platform names", "FILE"},
      {"log-level", 'l', POPT_ARG_STRING, &LevelName, 0,
       "trace, debug, info, warn or error", "LEVEL"},
      {"check", 0, POPT_ARG_NONE, &Check, 0,
       "check the settings and exit without starting", nullptr},
      {"version", 'V', POPT_ARG_NONE, &Version, 0, "print the version and exit",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Options = poptGetContext("hyssop_mesh", Argc, Argv, Table, 0);
  const int Parsed = poptGetNextOpt(Options);
  std::string Problem;
  if (Parsed < -1)
    Problem =
        std::string(poptBadOption(Options, 0)) + ": " + poptStrerror(Parsed);
  else if (poptPeekArg(Options) != nullptr)
    Problem = "takes no arguments besides options";
  poptFreeContext(Options);
  if (Version != 0) {
    std::cout << "hyssop_mesh " HYSSOPLEDGE_VERSION "\n";
    return Fine;
  }
  if (Path == nullptr)
    Path = std::getenv(platform::SettingsVariable);
  const auto Level = transport::parseLogLevel(LevelName);
  if (Problem.empty() && Level.has_error())
    Problem = Level.error().text();
  if (Problem.empty() && Path == nullptr)
    Problem = "--settings FILE is needed";
  if (!Problem.empty()) {
    std::cerr << "hyssop_mesh: " << Problem << "; see --help\n";
    return Usage;
  }
  return start(Path, Check != 0, Level.value());
}
