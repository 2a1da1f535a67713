/// \file
/// Entry point of hyssopctl, the command-line tool for operators.
#include "commands.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>
#include <pwd.h>
#include <unistd.h>

namespace {

using namespace hyssopledge;
using namespace hyssopledge::hyssopctl;

struct command {
  const char *Name;
  int (*Function)(const options &);
  std::size_t MinArguments;
  std::size_t MaxArguments;
  bool NeedsPlatform;
};

const command Commands[] = {
    {"validate", validate, 1, 1, false}, {"trial", trial, 1, 1, true},
    {"promote", promote, 0, 0, true},    {"status", status, 0, 0, true},
    {"explain", explain, 1, 1, true},    {"diff", diff, 0, 1, true},
};

constexpr char CommandUsage[] =
    "COMMAND\n\n"
    "  validate FILE      check a document, without the platform\n"
    "  trial FILE         accept a document for the trial environment\n"
    "  promote            accept the trial document for production\n"
    "  status             head, convergence and rollouts of an environment\n"
    "  explain SERVICE    decisions of the service's latest rollout\n"
    "  diff [FILE]        what FILE, or the trial document, would change\n\n"
    "Exit codes: 0 fine, 1 refused or invalid, 2 usage, 3 platform\n"
    "unreachable, 4 outcome unknown.\n\nOptions:";

int usageError(const std::string &Text) {
  std::cerr << "hyssopctl: " << Text << "; see hyssopctl --help\n";
  return ExitUsage;
}

std::string loginName() {
  const passwd *Entry = ::getpwuid(::getuid());
  return Entry != nullptr ? Entry->pw_name
                          : "uid " + std::to_string(::getuid());
}

/// Option values filled in by popt, which allocates the strings.
struct raw_options {
  raw_options() = default;
  ~raw_options() {
    for (const char *Text :
         {Platform, SettingsFile, Author, Environment, Output, From, To})
      std::free(const_cast<char *>(Text));
  }
  raw_options(const raw_options &) = delete;
  raw_options &operator=(const raw_options &) = delete;

  const char *Platform = nullptr;
  const char *SettingsFile = nullptr;
  const char *Author = nullptr;
  const char *Environment = nullptr;
  const char *Output = nullptr;
  const char *From = nullptr;
  const char *To = nullptr;
  long long ExpectVersion = -1;
  int Wait = 0;
  int Timeout = 60;
  int Version = 0;
};

/// Fills Options.Settings. Returns an error message, or an empty string on
/// success.
std::string readSettings(const raw_options &Raw, bool NeedsPlatform,
                         options &Options) {
  if (Raw.SettingsFile != nullptr) {
    auto Text = readFile(Raw.SettingsFile);
    if (Text.has_error())
      return Text.error().text();
    auto Settings = protocol::parseOperatorSettings(Text.value());
    if (Settings.has_error())
      return std::string(Raw.SettingsFile) + ": " + Settings.error().text();
    Options.Settings = std::move(Settings.value());
  }
  if (Raw.Platform != nullptr) {
    if (!protocol::isSocketAddress(Raw.Platform))
      return "--platform takes an IP address and a port, such as "
             "10.0.0.1:2379, not \"" +
             std::string(Raw.Platform) + "\"";
    Options.Settings.Platform.Endpoints = {Raw.Platform};
  }
  if (NeedsPlatform && Options.Settings.Platform.Endpoints.empty())
    return "name the platform with --platform or --settings";
  if (Raw.Author != nullptr)
    Options.Settings.Author = Raw.Author;
  if (Options.Settings.Author.empty())
    Options.Settings.Author = loginName();
  return "";
}

int run(const raw_options &Raw, poptContext PoptContext) {
  options Options;
  const char *Name = poptGetArg(PoptContext);
  if (Name == nullptr)
    return usageError("no command given");
  Options.Command = Name;
  while (const char *Argument = poptGetArg(PoptContext))
    Options.Arguments.emplace_back(Argument);
  const command *Found = nullptr;
  for (const command &Command : Commands)
    if (Options.Command == Command.Name)
      Found = &Command;
  if (Found == nullptr)
    return usageError("unknown command \"" + Options.Command + "\"");
  if (Options.Arguments.size() < Found->MinArguments ||
      Options.Arguments.size() > Found->MaxArguments)
    return usageError("wrong number of arguments for " + Options.Command);
  if (Raw.Output != nullptr) {
    if (std::string(Raw.Output) != "json" && std::string(Raw.Output) != "text")
      return usageError("--output takes json or text");
    Options.Json = std::string(Raw.Output) == "json";
  }
  if (Raw.ExpectVersion < -1 || Raw.Timeout < 1)
    return usageError("--expect-version and --timeout take positive numbers");
  if (Raw.ExpectVersion >= 0)
    Options.ExpectVersion = static_cast<std::uint64_t>(Raw.ExpectVersion);
  Options.Environment =
      Raw.Environment != nullptr ? Raw.Environment : "production";
  Options.From = Raw.From != nullptr ? Raw.From : "trial";
  Options.To = Raw.To != nullptr ? Raw.To : "production";
  Options.Wait = Raw.Wait != 0;
  Options.Timeout = std::chrono::seconds(Raw.Timeout);
  if (const std::string Problem =
          readSettings(Raw, Found->NeedsPlatform, Options);
      !Problem.empty())
    return usageError(Problem);
  return Found->Function(Options);
}

} // namespace

int main(int Argc, const char **Argv) {
  raw_options Raw;
  const poptOption Table[] = {
      {"platform", 'p', POPT_ARG_STRING, &Raw.Platform, 0,
       "the platform's address", "IP:PORT"},
      {"settings", 's', POPT_ARG_STRING, &Raw.SettingsFile, 0,
       "settings file with the platform's endpoints", "FILE"},
      {"author", 'a', POPT_ARG_STRING, &Raw.Author, 0,
       "name written into the head record (default: from the settings, then "
       "the login name)",
       "NAME"},
      {"env", 'e', POPT_ARG_STRING, &Raw.Environment, 0,
       "environment of status and explain (default: production)", "NAME"},
      {"expect-version", 0, POPT_ARG_LONGLONG, &Raw.ExpectVersion, 0,
       "promote only this version of the trial document", "N"},
      {"from", 0, POPT_ARG_STRING, &Raw.From, 0,
       "environment whose document diff compares (default: trial)", "NAME"},
      {"to", 0, POPT_ARG_STRING, &Raw.To, 0,
       "environment diff compares with (default: production)", "NAME"},
      {"wait", 'w', POPT_ARG_NONE, &Raw.Wait, 0,
       "let status wait until the head is in force everywhere", nullptr},
      {"timeout", 't', POPT_ARG_INT, &Raw.Timeout, 0,
       "seconds that status --wait waits (default: 60)", "S"},
      {"output", 'o', POPT_ARG_STRING, &Raw.Output, 0,
       "text (default) or json, one object a command", "FORMAT"},
      {"version", 'v', POPT_ARG_NONE, &Raw.Version, 0, "print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> PoptContext(
      poptGetContext("hyssopctl", Argc, Argv, Table, 0), &poptFreeContext);
  poptSetOtherOptionHelp(PoptContext.get(), CommandUsage);
  const int Parsed = poptGetNextOpt(PoptContext.get());
  if (Parsed < -1)
    return usageError(std::string(poptBadOption(PoptContext.get(), 0)) + ": " +
                      poptStrerror(Parsed));
  if (Raw.Version != 0) {
    std::cout << "hyssopctl " HYSSOPLEDGE_VERSION "\n";
    return ExitSuccess;
  }
  return run(Raw, PoptContext.get());
}
