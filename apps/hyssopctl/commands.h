/// \file
/// The commands of hyssopctl. Each prints its result to standard output and
/// returns an exit code. Failures go to standard error, or with --output json
/// to standard output.
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
  ExitRefused = 1,     // input or request refused; nothing changed
  ExitUsage = 2,       // invalid command line or settings
  ExitUnreachable = 3, // platform unreachable; nothing changed
  ExitUnknown = 4,     // outcome unknown: the change may have been applied
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

/// Prints the failure with recovery steps and returns its exit code.
int reportFailure(const options &Options, const state::failure &Failure);

/// Returns the content of the file, at most MaxDocumentBytes + 1 bytes so that
/// the parser rejects a larger one; NotFound if it can't be read.
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
