#include "bench/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace hyssopledge::bench {

child_process::child_process(const std::string &Program,
                             const std::vector<std::string> &Arguments,
                             const std::string &LogFile) {
  std::vector<char *> Argv;
  Argv.push_back(const_cast<char *>(Program.c_str()));
  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  const std::string Log = LogFile.empty() ? "/dev/null" : LogFile;
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&Pid, Program.c_str(), &Actions, nullptr, Argv.data(),
                  environ) != 0)
    Pid = -1;
  posix_spawn_file_actions_destroy(&Actions);
}

child_process::child_process(child_process &&Other) noexcept
    : Pid(std::exchange(Other.Pid, -1)), ExitCode(Other.ExitCode) {}

child_process::~child_process() {
  if (!running())
    return;
  signal(SIGKILL);
  wait(std::chrono::seconds(5));
}

bool child_process::running() {
  wait(std::chrono::milliseconds(0));
  return Pid > 0;
}

void child_process::signal(int Number) const {
  if (Pid > 0)
    kill(Pid, Number);
}

int child_process::wait(std::chrono::milliseconds Timeout) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (Pid > 0) {
    int Status = 0;
    if (waitpid(Pid, &Status, WNOHANG) == Pid) {
      Pid = -1;
      ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
      break;
    }
    if (std::chrono::steady_clock::now() >= Deadline)
      return -1;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return ExitCode;
}

process_usage readUsage(pid_t Pid) {
  process_usage Usage;
  std::ifstream Stat("/proc/" + std::to_string(Pid) + "/stat");
  std::string Text;
  std::getline(Stat, Text);
  // The command name may contain spaces, so that fields are counted after its
  // closing bracket.
  const std::size_t Bracket = Text.rfind(')');
  if (Bracket == std::string::npos)
    return Usage;
  std::istringstream Fields(Text.substr(Bracket + 2));
  std::string SkippedField;
  for (int I = 0; I < 11; ++I)
    Fields >> SkippedField;
  long UserTicks = 0;
  long SystemTicks = 0;
  Fields >> UserTicks >> SystemTicks;
  for (int I = 0; I < 8; ++I)
    Fields >> SkippedField;
  long ResidentPages = 0;
  Fields >> ResidentPages;
  Usage.Cpu = std::chrono::milliseconds((UserTicks + SystemTicks) * 1000 /
                                        sysconf(_SC_CLK_TCK));
  Usage.ResidentMb = static_cast<double>(ResidentPages) *
                     static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return Usage;
}

} // namespace hyssopledge::bench
