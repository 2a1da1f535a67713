/// \file
/// Structured logging with log4cxx: one line of key=value pairs for each event.
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
  File,    // log_options::File, or standard error
  Bounded, // standard output, buffered; never blocks, see flushLog()
};

struct log_options {
  std::string File; // empty: standard error
  log_level Level = log_level::Info;
  log_output Output = log_output::File;
};

/// Parses "trace", "debug", "info", "warn" or "error"; InvalidSettings
/// otherwise.
state::result<log_level> parseLogLevel(std::string_view Name);

/// Configures logging. Call it before the first event, and again to change the
/// options. Unavailable when the file can't be opened; the configuration is
/// then unchanged.
state::result<void> setUpLogging(const log_options &Options);

/// Reopens the log file after it was renamed by log rotation (SIGHUP).
/// Unavailable when it can't be opened. Call it from a control thread.
state::result<void> reopenLog();

/// Writes as much of the buffer as standard output accepts without blocking
/// (log_output::Bounded). Lines that don't fit into the MaxLogBufferBytes of
/// the buffer, and lines below level warn beyond MaxLogLinesPerSecond, are
/// dropped; their number is logged. Call it from a timer.
void flushLog();
constexpr std::size_t MaxLogBufferBytes = 128 * 1024;
// About 20 % of the requests that a small instance handles in a second under
// overload; a line costs about 20 us of processor time.
constexpr unsigned MaxLogLinesPerSecond = 60;

/// One key=value pair of a line. Numbers are written unquoted; text is quoted
/// when it is empty or contains anything but letters, digits and -_.:/+@%.
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
  std::string Value; // quoted where necessary
};

/// Formats "event=NAME key=value ..."; the layout adds time and level in front.
std::string formatEvent(std::string_view Event,
                        const std::vector<log_field> &Fields);

bool logEnabled(log_level Level);
void logEvent(log_level Level, std::string_view Event,
              const std::vector<log_field> &Fields);
/// Logs a line that a layer below this one has already formatted.
void logLine(log_level Level, const std::string &Line);

} // namespace hyssopledge::transport
