/// \file
/// Starts a program as a child process and ends it by its pid.
#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hyssopledge::bench {

class child_process {
public:
  /// Output goes to LogFile, or to /dev/null when it is empty. A failed start
  /// gives a process that is not running.
  child_process(const std::string &Program,
                const std::vector<std::string> &Arguments,
                const std::string &LogFile);
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;
  child_process(child_process &&Other) noexcept;
  child_process &operator=(child_process &&) = delete;
  /// Kills the process if it still runs.
  ~child_process();

  pid_t pid() const { return Pid; }
  bool running();
  void signal(int Number) const;
  /// Exit code, or -1 when it did not end within the time or was killed.
  int wait(std::chrono::milliseconds Timeout);

private:
  pid_t Pid = -1;
  int ExitCode = -1;
};

/// Processor time and memory of a running process, from /proc.
struct process_usage {
  std::chrono::milliseconds Cpu{0};
  double ResidentMb = 0;
};
process_usage readUsage(pid_t Pid);

} // namespace hyssopledge::bench
