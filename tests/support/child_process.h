/// \file
/// Child process of a test with piped output. The destructor kills it by its
/// process id.
#pragma once

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace hyssopledge::tests {

class child_process {
public:
  explicit child_process(std::vector<std::string> Command) {
    int Out[2];
    int Err[2];
    if (::pipe(Out) != 0 || ::pipe(Err) != 0)
      std::abort();
    std::vector<char *> Arguments;
    Arguments.reserve(Command.size() + 1);
    for (std::string &Argument : Command)
      Arguments.push_back(Argument.data());
    Arguments.push_back(nullptr);
    Pid = ::fork();
    if (Pid == 0) {
      // Ends the child when the test crashes.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(Out[1], STDOUT_FILENO);
      ::dup2(Err[1], STDERR_FILENO);
      for (const int File : {Out[0], Out[1], Err[0], Err[1]})
        ::close(File);
      ::execv(Arguments[0], Arguments.data());
      ::_exit(127);
    }
    ::close(Out[1]);
    ::close(Err[1]);
    OutputPipe = Out[0];
    ErrorPipe = Err[0];
  }
  ~child_process() {
    if (Running) {
      ::kill(Pid, SIGKILL);
      (void)wait();
    }
    ::close(OutputPipe);
    ::close(ErrorPipe);
  }
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  /// Sends the signal. For SIGSTOP, waits until the process has stopped.
  void signal(int Number) const {
    ::kill(Pid, Number);
    if (Number == SIGSTOP)
      ::waitpid(Pid, nullptr, WUNTRACED);
  }
  pid_t pid() const { return Pid; }
  std::string readLine() const { return readUntil(OutputPipe, '\n'); }
  std::string readOutput() const { return readUntil(OutputPipe, '\0'); }
  std::string readErrors() const { return readUntil(ErrorPipe, '\0'); }
  /// Waits for the process to end. Returns its exit code, or 128 plus the
  /// number of the signal that ended it.
  int wait() {
    int Status = 0;
    while (::waitpid(Pid, &Status, 0) < 0 && errno == EINTR) {
    }
    Running = false;
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  }

private:
  static std::string readUntil(int File, char End) {
    std::string Text;
    char Byte = 0;
    while (::read(File, &Byte, 1) == 1 && Byte != End)
      Text += Byte;
    return Text;
  }

  pid_t Pid = -1;
  int OutputPipe = -1;
  int ErrorPipe = -1;
  bool Running = true;
};

} // namespace hyssopledge::tests
