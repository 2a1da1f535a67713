/// \file
/// The commands of hyssopctl. Each prints to standard output, or to standard
/// error when it fails, and returns the exit code.
#pragma once

#include "hyssopledge/protocol/settings.h"
#include "hyssopledge/state/result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::hyssopctl {

enum exit_code : int {
  ExitSuccess = 0,
  ExitRefused = 1,     // the input or the request was refused; nothing changed
  ExitUsage = 2,       // wrong command line or settings
  ExitUnreachable = 3, // the platform can't be reached; nothing changed
  ExitUnknown = 4,     // the change may or may not have happened
};

struct options {
  std::string Command;
  std::vector<std::string> Arguments;
  protocol::operator_settings Settings;
  std::string Environment = "production";
  bool Json = false;
  std::optional<std::uint64_t> ExpectVersion; // promote
  bool Wait = false;                          // status
  std::chrono::seconds Timeout{60};           // status --wait
  std::string From = "trial";                 // diff
  std::string To = "production";              // diff
};

/// Prints the failure with what to do about it and gives its exit code.
int reportFailure(const options &Options, const state::failure &Failure);

/// Text of the file; a failure when it can't be read or is over the size limit.
state::result<std::string> readFile(const std::string &Name);

//--- Changes ------------------------------------------------------------------
int validate(const options &Options);
int trial(const options &Options);
int promote(const options &Options);

//--- Views --------------------------------------------------------------------
int status(const options &Options);
int explain(const options &Options);
int diff(const options &Options);

} // namespace hyssopledge::hyssopctl
