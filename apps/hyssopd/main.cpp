/// \file
/// Entry point of hyssopd, the daemon that runs next to one upstream instance.
#include "apps/hyssopd/daemon.h"

#include <fstream>
#include <iostream>
#include <popt.h>
#include <sstream>
#include <string>

namespace {

using namespace hyssopledge;

// Process exit codes.
constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

state::result<protocol::daemon_settings>
loadSettings(const std::string &SettingsPath) {
  std::ifstream File(SettingsPath);
  if (!File)
    return state::failure(state::errc::NotFound, "can't read " + SettingsPath);
  std::ostringstream Text;
  Text << File.rdbuf();
  return protocol::parseDaemonSettings(Text.str());
}

int runDaemon(const std::string &SettingsPath, bool CheckOnly) {
  auto Settings = loadSettings(SettingsPath);
  if (!Settings) {
    std::cerr << "hyssopd: " << Settings.error().text() << "\n";
    return ExitFailure;
  }
  if (CheckOnly) {
    std::cout << "settings are valid: " << SettingsPath << "\n";
    return ExitSuccess;
  }
  const auto Level = transport::parseLogLevel(Settings.value().LogLevel);
  if (!Level) {
    std::cerr << "hyssopd: " << Level.error().text() << "\n";
    return ExitFailure;
  }
  auto Logging =
      transport::setUpLogging({Settings.value().LogFile, Level.value()});
  if (!Logging) {
    std::cerr << "hyssopd: " << Logging.error().text() << "\n";
    return ExitFailure;
  }
  auto Daemon = hyssopd::daemon::open(Settings.value());
  if (!Daemon) {
    transport::logEvent(transport::log_level::Error, "start_failed",
                        {{"reason", Daemon.error().text()}});
    std::cerr << "hyssopd: " << Daemon.error().text() << "\n";
    return ExitFailure;
  }
  Daemon.value()->run();
  return ExitSuccess;
}

} // namespace

int main(int Argc, const char **Argv) {
  const char *SettingsPath = nullptr;
  int CheckOnly = 0;
  int PrintVersion = 0;
  const poptOption Table[] = {{"settings", 's', POPT_ARG_STRING, &SettingsPath,
                               0, "settings file, JSON", "FILE"},
                              {"check", 0, POPT_ARG_NONE, &CheckOnly, 0,
                               "check the settings and exit without starting",
                               nullptr},
                              {"version", 'V', POPT_ARG_NONE, &PrintVersion, 0,
                               "print the version and exit", nullptr},
                              POPT_AUTOHELP POPT_TABLEEND};
  poptContext PoptContext = poptGetContext("hyssopd", Argc, Argv, Table, 0);
  const int Parsed = poptGetNextOpt(PoptContext);
  const std::string BadOption =
      Parsed < -1 ? std::string(poptBadOption(PoptContext, 0)) + ": " +
                        poptStrerror(Parsed)
                  : "";
  const bool HasArguments = poptPeekArg(PoptContext) != nullptr;
  poptFreeContext(PoptContext);
  if (PrintVersion != 0) {
    std::cout << "hyssopd " HYSSOPLEDGE_VERSION "\n";
    return ExitSuccess;
  }
  if (!BadOption.empty() || HasArguments || SettingsPath == nullptr) {
    std::cerr << "hyssopd: "
              << (!BadOption.empty() ? BadOption
                  : HasArguments     ? "takes no arguments besides options"
                                     : "--settings FILE is needed")
              << "; see --help\n";
    return ExitUsage;
  }
  return runDaemon(SettingsPath, CheckOnly != 0);
}
