/// \file
/// Log lines of key=value by log4cxx, one line for each event.
#pragma once

#include "hyssopledge/state/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace hyssopledge::transport {

enum class log_level { Trace, Debug, Info, Warn, Error };

enum class log_output {
  File,    // standard error when the file's name is empty
  Bounded, // standard output, never blocking: see flushLog()
};

struct log_options {
  std::string File; // empty: standard error
  log_level Level = log_level::Info;
  log_output Output = log_output::File;
};

/// "trace", "debug", "info", "warn" or "error".
state::result<log_level> parseLogLevel(std::string_view Name);

/// Call once before logging, and again to change the options. Unavailable when
/// the file can't be opened; logging stays as it was then.
state::result<void> setUpLogging(const log_options &Options);

/// Opens the file again under its name, after it was renamed (SIGHUP). Call
/// from a control thread.
state::result<void> reopenLog();

/// Writes what standard output takes at once (log_output::Bounded). Lines wait
/// in a buffer of MaxLogBufferBytes; lines that don't fit, and lines beyond
/// MaxLogLinesPerSecond, are counted and the count is logged. Call it from a
/// timer.
void flushLog();
constexpr std::size_t MaxLogBufferBytes = 128 * 1024;
// About 20 % of what a small instance answers in a second of overload; a line
// costs about 20 us of processor time.
constexpr unsigned MaxLogLinesPerSecond = 60;

/// One value of a line. Numbers are written as they are, text is quoted when
/// it holds anything but letters, digits and -_.:/+@%.
struct log_field {
  template <class T>
  requires std::is_arithmetic_v<T> log_field(std::string_view Key, T Value)
      : Key(Key), Value(std::is_same_v<T, bool> ? (Value ? "true" : "false")
                                                : std::to_string(Value)) {}
  log_field(std::string_view Key, std::string_view Text);
  log_field(std::string_view Key, const std::string &Text)
      : log_field(Key, std::string_view(Text)) {}
  log_field(std::string_view Key, const char *Text)
      : log_field(Key, std::string_view(Text)) {}

  std::string_view Key;
  std::string Value; // as written
};

/// "event=NAME key=value ..."; the layout puts time and level before it.
std::string formatEvent(std::string_view Event,
                        const std::vector<log_field> &Fields);

bool logEnabled(log_level Level);
void logEvent(log_level Level, std::string_view Event,
              const std::vector<log_field> &Fields);
/// A line that is formatted already, from a layer below this one.
void logLine(log_level Level, const std::string &Line);

} // namespace hyssopledge::transport
