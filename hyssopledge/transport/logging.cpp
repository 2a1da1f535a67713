#include "hyssopledge/transport/logging.h"

#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <mutex>
#include <unistd.h>

namespace hyssopledge::transport {

namespace {

constexpr std::array LevelNames = {"trace", "debug", "info", "warn", "error"};

log4cxx::LevelPtr toLog4cxx(log_level Level) {
  switch (Level) {
  case log_level::Trace:
    return log4cxx::Level::getTrace();
  case log_level::Debug:
    return log4cxx::Level::getDebug();
  case log_level::Info:
    return log4cxx::Level::getInfo();
  case log_level::Warn:
    return log4cxx::Level::getWarn();
  case log_level::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

const log4cxx::LoggerPtr &logger() {
  static const log4cxx::LoggerPtr Logger =
      log4cxx::Logger::getLogger("hyssopledge");
  return Logger;
}

/// The log file in use.
struct log_file {
  std::mutex Mutex;
  std::string Path; // empty: standard error
};

log_file &logFile() {
  static log_file File;
  return File;
}

/// Checks that the file can be opened, since log4cxx reports an unusable file
/// on standard error only.
state::result<void> checkWritable(const std::string &Path) {
  const int File =
      ::open(Path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  if (File < 0)
    return state::failure(state::errc::Unavailable,
                          "can't open log file " + Path);
  ::close(File);
  return boost::outcome_v2::success();
}

/// Buffers lines for standard output. A slow or closed reader never blocks a
/// writer: lines that don't fit are dropped and counted.
class bounded_output {
public:
  void add(std::string_view Line, bool RateLimited) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Now = std::chrono::steady_clock::now();
    if (Now - WindowStart >= std::chrono::seconds(1)) {
      WindowStart = Now;
      LinesInWindow = 0;
    }
    if ((RateLimited && LinesInWindow >= MaxLogLinesPerSecond) ||
        Buffer.size() + Line.size() > MaxLogBufferBytes) {
      ++Dropped;
      return;
    }
    LinesInWindow += RateLimited ? 1 : 0;
    Buffer.append(Line);
  }

  void flush() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Dropped > 0 && Buffer.size() < MaxLogBufferBytes / 2) {
      Buffer += "level=WARN event=log_lines_dropped count=" +
                std::to_string(Dropped) + "\n";
      Dropped = 0;
    }
    while (!Buffer.empty()) {
      const auto Written = ::write(STDOUT_FILENO, Buffer.data(), Buffer.size());
      if (Written <= 0) {
        // The reader is gone, so nothing of the buffer can ever be written.
        if (Written < 0 && errno != EAGAIN && errno != EINTR)
          Buffer.clear();
        return;
      }
      Buffer.erase(0, static_cast<std::size_t>(Written));
    }
  }

private:
  std::mutex Mutex;
  std::string Buffer;
  std::chrono::steady_clock::time_point WindowStart{};
  unsigned LinesInWindow = 0; // rate-limited lines since WindowStart
  std::uint64_t Dropped = 0;
};

bounded_output &boundedOutput() {
  static bounded_output Output;
  return Output;
}

/// log4cxx appender that writes to the bounded output.
class bounded_appender final : public log4cxx::AppenderSkeleton {
public:
  explicit bounded_appender(const log4cxx::LayoutPtr &Layout) {
    setLayout(Layout);
  }
  void close() override {}
  bool requiresLayout() const override { return true; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Pool) override {
    log4cxx::LogString Line;
    getLayout()->format(Line, Event, Pool);
    LOG4CXX_ENCODE_CHAR(Text, Line);
    // Warnings and errors are rare and exempt from the rate limit.
    boundedOutput().add(
        Text, !Event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn()));
  }
};

void replaceAppender(const std::string &Path, log_output Output) {
  // UTC, so that the logs of several data centres can be merged.
  LOG4CXX_DECODE_CHAR(Pattern,
                      "time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z level=%p %m%n");
  const log4cxx::LayoutPtr Layout(new log4cxx::PatternLayout(Pattern));
  log4cxx::AppenderPtr Appender;
  if (Output == log_output::Bounded) {
    const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
    Appender.reset(new bounded_appender(Layout));
  } else if (Path.empty()) {
    LOG4CXX_DECODE_CHAR(Target, "System.err");
    Appender.reset(new log4cxx::ConsoleAppender(Layout, Target));
  } else {
    LOG4CXX_DECODE_CHAR(Name, Path);
    Appender.reset(new log4cxx::FileAppender(Layout, Name, true));
  }
  // Adds the new appender before it removes the old ones, so that no line is
  // lost in between.
  const log4cxx::AppenderList OldAppenders = logger()->getAllAppenders();
  logger()->addAppender(Appender);
  for (const log4cxx::AppenderPtr &OldAppender : OldAppenders) {
    logger()->removeAppender(OldAppender);
    OldAppender->close();
  }
}

bool isUnquotedCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         std::string_view("-_.:/+@%").find(Character) != std::string_view::npos;
}

} // namespace

state::result<log_level> parseLogLevel(std::string_view Name) {
  for (std::size_t I = 0; I < LevelNames.size(); ++I)
    if (Name == LevelNames[I])
      return static_cast<log_level>(I);
  return state::failure(state::errc::InvalidSettings,
                        "log level \"" + std::string(Name) +
                            "\" must be trace, debug, info, warn or error");
}

state::result<void> setUpLogging(const log_options &Options) {
  if (!Options.File.empty())
    if (auto Writable = checkWritable(Options.File); Writable.has_error())
      return Writable;
  const std::lock_guard<std::mutex> Lock(logFile().Mutex);
  logFile().Path = Options.File;
  logger()->setAdditivity(false);
  logger()->setLevel(toLog4cxx(Options.Level));
  replaceAppender(Options.File, Options.Output);
  return boost::outcome_v2::success();
}

state::result<void> reopenLog() {
  const std::lock_guard<std::mutex> Lock(logFile().Mutex);
  if (logFile().Path.empty())
    return boost::outcome_v2::success();
  if (auto Writable = checkWritable(logFile().Path); Writable.has_error())
    return Writable;
  replaceAppender(logFile().Path, log_output::File);
  return boost::outcome_v2::success();
}

void flushLog() { boundedOutput().flush(); }

log_field::log_field(std::string_view Key, std::string_view Text) : Key(Key) {
  bool Unquoted = !Text.empty();
  for (const char Character : Text)
    Unquoted = Unquoted && isUnquotedCharacter(Character);
  if (Unquoted) {
    Value = Text;
    return;
  }
  Value = "\"";
  for (const char Character : Text) {
    const auto Code = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Value += '\\';
      Value += Character;
    } else if (Character == '\n') {
      Value += "\\n";
    } else if (Code < 0x20 || Code == 0x7f) {
      Value += "\\x";
      Value += "0123456789abcdef"[Code >> 4];
      Value += "0123456789abcdef"[Code & 15];
    } else {
      Value += Character;
    }
  }
  Value += '"';
}

std::string formatEvent(std::string_view Event,
                        const std::vector<log_field> &Fields) {
  std::string Line = "event=" + std::string(Event);
  for (const log_field &Field : Fields) {
    Line += ' ';
    Line += Field.Key;
    Line += '=';
    Line += Field.Value;
  }
  return Line;
}

bool logEnabled(log_level Level) {
  return logger()->isEnabledFor(toLog4cxx(Level));
}

void logEvent(log_level Level, std::string_view Event,
              const std::vector<log_field> &Fields) {
  if (logEnabled(Level))
    logLine(Level, formatEvent(Event, Fields));
}

void logLine(log_level Level, const std::string &Line) {
  if (!logEnabled(Level))
    return;
  LOG4CXX_DECODE_CHAR(Decoded, Line);
  logger()->forcedLogLS(toLog4cxx(Level), Decoded,
                        log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace hyssopledge::transport
