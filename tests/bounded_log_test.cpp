/// \file
/// Tests that logging to standard output never blocks, whether its reader
/// stalls or closes the pipe, and that dropped lines are counted.
#include "hyssopledge/transport/logging.h"

#include <array>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace hyssopledge;
using transport::log_level;

namespace {

/// Redirects standard output to a pipe during its lifetime.
class piped_output {
public:
  piped_output() : Saved(::dup(STDOUT_FILENO)) {
    std::signal(SIGPIPE, SIG_IGN);
    REQUIRE(::pipe(Ends.data()) == 0);
    ::dup2(Ends[1], STDOUT_FILENO);
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    REQUIRE(transport::setUpLogging(
                {"", log_level::Info, transport::log_output::Bounded})
                .has_value());
  }
  ~piped_output() {
    closeReader();
    transport::flushLog();
    ::dup2(Saved, STDOUT_FILENO);
    ::close(Saved);
    ::close(Ends[1]);
  }
  std::string read() {
    std::string Text;
    std::array<char, 4096> Buffer{};
    for (ssize_t Bytes = 0;
         (Bytes = ::read(Ends[0], Buffer.data(), Buffer.size())) > 0;)
      Text.append(Buffer.data(), static_cast<std::size_t>(Bytes));
    return Text;
  }
  void closeReader() {
    if (Ends[0] >= 0)
      ::close(Ends[0]);
    Ends[0] = -1;
  }

private:
  int Saved;
  std::array<int, 2> Ends{-1, -1};
};

/// Logs warnings, which are exempt from the rate limit.
void logWarnings(int Count) {
  for (int I = 0; I < Count; ++I) {
    transport::logEvent(log_level::Warn, "test",
                        {{"text", std::string(500, 'x')}});
    transport::flushLog();
  }
}

} // namespace

TEST_CASE("a stalled reader blocks no writer and dropped lines are counted") {
  std::string Text;
  std::chrono::steady_clock::duration Elapsed{};
  {
    piped_output Output;
    const auto Started = std::chrono::steady_clock::now();
    logWarnings(2000); // 1 MB; the pipe and the buffer hold a fifth of it
    Elapsed = std::chrono::steady_clock::now() - Started;
    for (int I = 0; I < 20; ++I) {
      Text += Output.read();
      transport::flushLog();
    }
    Text += Output.read();
  }
  CHECK(Elapsed < std::chrono::seconds(5));
  CHECK(Text.find("event=log_lines_dropped count=") != std::string::npos);
  CHECK(Text.find("event=test") != std::string::npos);
}

TEST_CASE("a closed reader does not end the process") {
  piped_output Output;
  Output.closeReader();
  logWarnings(100);
  CHECK(transport::logEnabled(log_level::Warn));
}

TEST_CASE("request lines are rate-limited and dropped lines are counted") {
  std::string Text;
  {
    piped_output Output;
    for (unsigned I = 0; I < 3 * transport::MaxLogLinesPerSecond; ++I)
      transport::logEvent(log_level::Info, "request", {{"number", I}});
    transport::flushLog();
    Text = Output.read();
  }
  std::size_t Lines = 0;
  for (std::size_t At = 0;
       (At = Text.find("event=request", At)) != std::string::npos; ++At)
    ++Lines;
  CHECK(Lines >= 1);
  CHECK(Lines <= 2 * transport::MaxLogLinesPerSecond); // a new second may begin
  CHECK(Text.find("event=log_lines_dropped") != std::string::npos);
}
