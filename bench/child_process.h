/// \file
/// Child process with its output in a log file. The destructor kills it by its
/// pid, so that a failed test leaves no process behind.
#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hyssopledge::bench {

class child_process {
public:
  /// Starts the program with stdout and stderr appended to LogFile, or to
  /// /dev/null if it is empty. If the start fails, running() returns false.
  child_process(const std::string &Program,
                const std::vector<std::string> &Arguments,
                const std::string &LogFile);
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;
  child_process(child_process &&Other) noexcept;
  child_process &operator=(child_process &&) = delete;
  /// Sends SIGKILL if the process still runs, and waits up to 5 s.
  ~child_process();

  pid_t pid() const { return Pid; }
  bool running();
  void signal(int Number) const;
  /// Waits for the exit; returns the exit code, or -1 after the timeout or if a
  /// signal ended the process.
  int wait(std::chrono::milliseconds Timeout);

private:
  pid_t Pid = -1;
  int ExitCode = -1;
};

/// CPU time (user and system) and resident memory in MB, read from /proc; zero
/// if there is no such process.
struct process_usage {
  std::chrono::milliseconds Cpu{0};
  double ResidentMb = 0;
};
process_usage readUsage(pid_t Pid);

} // namespace hyssopledge::bench
