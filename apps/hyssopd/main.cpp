/// \file
/// The daemon beside one upstream instance.
#include "apps/hyssopd/daemon.h"

#include <fstream>
#include <iostream>
#include <popt.h>
#include <sstream>
#include <string>

namespace {

using namespace hyssopledge;

// Exit codes.
constexpr int Fine = 0;
constexpr int Failed = 1;
constexpr int Usage = 2;

state::result<protocol::daemon_settings> load(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return state::failure(state::errc::NotFound, "can't read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return protocol::parseDaemonSettings(Text.str());
}

int start(const std::string &Path, bool CheckOnly) {
  auto Settings = load(Path);
  if (!Settings) {
    std::cerr << "hyssopd: " << Settings.error().text() << "\n";
    return Failed;
  }
  if (CheckOnly) {
    std::cout << "settings are valid: " << Path << "\n";
    return Fine;
  }
  const auto Level = transport::parseLogLevel(Settings.value().LogLevel);
  if (!Level) {
    std::cerr << "hyssopd: " << Level.error().text() << "\n";
    return Failed;
  }
  auto Logging =
      transport::setUpLogging({Settings.value().LogFile, Level.value()});
  if (!Logging) {
    std::cerr << "hyssopd: " << Logging.error().text() << "\n";
    return Failed;
  }
  auto Daemon = hyssopd::daemon::open(Settings.value());
  if (!Daemon) {
    transport::logEvent(transport::log_level::Error, "start_failed",
                        {{"reason", Daemon.error().text()}});
    std::cerr << "hyssopd: " << Daemon.error().text() << "\n";
    return Failed;
  }
  Daemon.value()->run();
  return Fine;
}

} // namespace

int main(int Argc, const char **Argv) {
  const char *Config = nullptr;
  int Check = 0;
  int Version = 0;
  const poptOption Table[] = {{"settings", 's', POPT_ARG_STRING, &Config, 0,
                               "settings file, JSON", "FILE"},
                              {"check", 0, POPT_ARG_NONE, &Check, 0,
                               "check the settings and exit without starting",
                               nullptr},
                              {"version", 'V', POPT_ARG_NONE, &Version, 0,
                               "print the version and exit", nullptr},
                              POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext("hyssopd", Argc, Argv, Table, 0);
  const int Parsed = poptGetNextOpt(Context);
  const std::string BadOption =
      Parsed < -1
          ? std::string(poptBadOption(Context, 0)) + ": " + poptStrerror(Parsed)
          : "";
  const bool Surplus = poptPeekArg(Context) != nullptr;
  poptFreeContext(Context);
  if (Version != 0) {
    std::cout << "hyssopd " HYSSOPLEDGE_VERSION "\n";
    return Fine;
  }
  if (!BadOption.empty() || Surplus || Config == nullptr) {
    std::cerr << "hyssopd: "
              << (!BadOption.empty() ? BadOption
                  : Surplus          ? "takes no arguments besides options"
                                     : "--settings FILE is needed")
              << "; see --help\n";
    return Usage;
  }
  return start(Config, Check != 0);
}
