/// \file
/// Machines of a small deployment: the daemon as a real process with the
/// settings of DEPLOY.md, the target beside it, and clients.
#pragma once

#include "net.hpp"
#include "platform.hpp"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace rig {

/// Command line of a case and the environment variable TROUBLE.
struct options {
  std::string Daemon; // the program of the deploy file
  std::string Work;   // temporary folder
  bool Trouble = true;
};

//-----------------------------------------------------------------------------
// Daemon
//-----------------------------------------------------------------------------

/// Addresses of one machine; ports are the same on all machines.
struct machine {
  std::string Name;
  std::string Ip;
  std::string Zone;
  std::string Service;
  int Base = 0; // inbound, app, ready, unused, outbound, unused, control
  int Internal = 0;
  endpoint inbound() const { return {Ip, Base}; }
  endpoint app() const { return {Ip, Base + 1}; }
  endpoint ready() const { return {Ip, Base + 2}; }
  endpoint outbound() const { return {Ip, Base + 4}; }
  endpoint control() const { return {Ip, Base + 6}; }
};

inline int &machinePorts() {
  static int Base = 0;
  return Base;
}

inline machine makeMachine(int Index, const std::string &Zone,
                           const std::string &Service) {
  machine M;
  M.Name = "sidecar-" + Zone + "-" + std::to_string(Index);
  M.Ip = "127.77.0." + std::to_string(Index);
  M.Zone = Zone;
  M.Service = Service;
  if (machinePorts() == 0)
    machinePorts() = freePorts(M.Ip, 24);
  M.Base = machinePorts();
  M.Internal = M.Base + 8;
  return M;
}

/// Bounds of kit/more/system/sites/pseci-park.toml.
struct bounds {
  ms ContactMs = 3000;
  ms DrainMs = 2000;
  ms ConfigApplyMs = 2000;
  ms HeartbeatMs = 1500;
  ms GraceS = 6;
};
inline constexpr bounds Bounds{};

class daemon_process {
public:
  daemon_process(const options &Options, machine At, const endpoint &Platform)
      : Options(Options), At(std::move(At)) {
    const auto &M = this->At;
    const json Settings = {
        {"nodeName", M.Name},
        {"role", "mesh"},
        {"machineClass", "sidecar"},
        {"serves", {"sidecar"}},
        {"ip", M.Ip},
        {"zone", M.Zone},
        {"region", "hr-jadran"},
        {"zones",
         {{"hr-jadran-a", "hr-jadran"},
          {"hr-jadran-b", "hr-jadran"},
          {"hr-jadran-c", "hr-jadran"}}},
        {"listen",
         {{"inbound", M.inbound().text()},
          {"outbound", M.outbound().text()},
          {"ready", M.ready().text()},
          {"control", M.control().text()}}},
        {"internalPortRange", {M.Internal, M.Internal + 15}},
        {"seedNodes", json::array()},
        {"bootstrap", true},
        {"inTolerance", false},
        {"limits",
         {{"cpuShare", 0.2},
          {"cpuCores", 1},
          {"memoryMb", 260},
          {"maxFds", 4100},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDir", nullptr},
        {"discovery", "static"},
        {"entry", "static"},
        {"heartbeatMs", Bounds.HeartbeatMs},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "rollout",
          "platform"}},
        {"faultTolerance", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
        {"bounds", {"seedLagS=3",         "reuseAfterS=2",
                    "contactMs=3000",     "ackMs=4000",
                    "catchUpS=4",         "drainMs=2000",
                    "graceS=6",           "lossSlackMs=200",
                    "configApplyMs=2000", "rollbackSlackMs=250",
                    "maxStretchMs=5000",  "retryBudgetRatio=0.2",
                    "budgetWindowS=10",   "retryBudgetSlack=60",
                    "exposureShare=0.1",  "exposureSlack=50",
                    "rollbackMs=5000",    "recoveryS=15",
                    "quotaWindowS=5",     "quotaOverage=0.1",
                    "quotaSlack=20"}},
        {"appAddress", M.app().text()},
        {"service", M.Service},
        {"platform",
         {{"address", Platform.text()},
          {"form", "kv"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1048576},
          {"minTtlMs", 1000}}}};
    SettingsPath = Options.Work + "/" + M.Name + ".json";
    std::FILE *File = std::fopen(SettingsPath.c_str(), "w");
    if (File == nullptr)
      throw std::runtime_error("can't write " + SettingsPath);
    std::fputs(Settings.dump(2).c_str(), File);
    std::fclose(File);
  }
  ~daemon_process() { kill(); }

  void start() {
    const std::string Log = Options.Work + "/" + At.Name + ".log";
    const std::string Variable = "HYSSOPLEDGE_BOOT=" + SettingsPath;
    const std::string Path =
        std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    Pid = ::fork();
    if (Pid == 0) {
      // Ends with this program, whatever ends it.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      for (int File = 3; File < 1024; ++File)
        ::close(File);
      char *Arguments[] = {const_cast<char *>(Options.Daemon.c_str()), nullptr};
      char *Environment[] = {const_cast<char *>(Variable.c_str()),
                             const_cast<char *>(Path.c_str()), nullptr};
      ::execve(Options.Daemon.c_str(), Arguments, Environment);
      ::_exit(127);
    }
    StartedAt = nowMs();
    say("start " + At.Name + " pid " + std::to_string(Pid));
  }
  void signal(int Number) const {
    if (Pid > 0)
      ::kill(Pid, Number);
    say("signal " + std::to_string(Number) + " to " + At.Name);
  }
  /// SIGKILL, and waits for the end.
  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
    Pid = 0;
    say("killed " + At.Name);
  }
  pid_t pid() const { return Pid; }
  /// Returns how the process ended by itself; none while it runs.
  std::optional<std::string> ended() {
    if (Pid <= 0)
      return Ended;
    int Status = 0;
    if (::waitpid(Pid, &Status, WNOHANG) != Pid)
      return std::nullopt;
    Pid = 0;
    Ended = WIFSIGNALED(Status)
                ? "signal " + std::to_string(WTERMSIG(Status))
                : "exit code " + std::to_string(WEXITSTATUS(Status));
    say(At.Name + " ended by itself: " + *Ended);
    return Ended;
  }
  bool isReady() const {
    const auto To = connection::open(At.ready());
    if (!To || !To->send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
      return false;
    const auto Answer = readMessage(*To, nowMs() + 1000);
    return Answer && Answer->status() == 200;
  }

  const options Options;
  const machine At;
  ms StartedAt = 0;

private:
  std::string SettingsPath;
  pid_t Pid = 0;
  std::optional<std::string> Ended;
};

//-----------------------------------------------------------------------------
// Target
//-----------------------------------------------------------------------------

struct arrival {
  ms At;
  std::string Id;
  std::string Method;
  std::string Path;
  bool Ran;
};

class target {
public:
  target(machine Machine, std::string Id, ms WorkMs,
         std::size_t AnswerBytes = 0, ms ClockAheadMs = 0)
      : At(std::move(Machine)), Id(std::move(Id)), WorkMs(WorkMs),
        AnswerBytes(AnswerBytes), Born(unixMs() + ClockAheadMs),
        Server(At.app(), [this](connection &C, const message &M) {
          return serve(C, M);
        }) {}
  ~target() {
    Beating = false;
    if (Beats.joinable())
      Beats.join();
    Server.stop();
  }

  void startHeartbeats() {
    Beating = true;
    Beats = std::thread([this] {
      while (Beating) {
        heartbeat("ready");
        for (ms Until = nowMs() + Bounds.HeartbeatMs;
             Beating && nowMs() < Until;)
          sleepMs(10);
      }
    });
  }
  void stopHeartbeats() {
    Beating = false;
    if (Beats.joinable())
      Beats.join();
  }
  /// Sends nothing more and closes its connections.
  void crash() {
    stopHeartbeats();
    Server.stop();
  }
  /// Returns whether the daemon acknowledged.
  bool heartbeat(const std::string &State) {
    const json Body = {{"service", At.Service}, {"address", At.app().text()},
                       {"zone", At.Zone},       {"version", "v1"},
                       {"slots", 12},           {"state", State},
                       {"coldRemainingMs", 0},  {"sequence", ++Sequence},
                       {"born", Born}};
    return call("instances.heartbeat", Body.dump(), State);
  }
  bool deregister() {
    return call("instances.deregister", json{{"born", Born}}.dump(), "");
  }
  std::vector<arrival> arrivals() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Arrivals;
  }

  std::size_t arrivalCount() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Arrivals.size();
  }

  const machine At;
  const std::string Id;
  std::atomic<bool> Quiet{false}; // no line in the record for each request

private:
  bool call(const std::string &Name, const std::string &Body,
            const std::string &State) {
    const auto To = connection::open(At.control());
    bool Acknowledged = false;
    if (To && To->send(formatMessage("POST /api/rpc?call=" + Name +
                                         "&of=" + Id + " HTTP/1.1",
                                     {{"Host", At.control().text()},
                                      {"Content-Type", "application/json"}},
                                     Body))) {
      const auto Answer = readMessage(*To, nowMs() + 1000);
      Acknowledged =
          Answer && Answer->status() / 100 == 2 && Answer->Body.size() <= 4096;
    }
    Record.line("target " + Id + " " + Name + " " + State + " -> " +
                (Acknowledged ? "acknowledged" : "no acknowledgement"));
    return Acknowledged;
  }

  bool serve(connection &To, const message &Request) {
    const std::string AttemptId = Request.field("Attempt-Id");
    const std::string Path = Request.target();
    if (Path == "/health")
      return To.send(
          formatMessage("HTTP/1.1 200 OK", {{"Instance-Id", Id}}, ""));
    const std::string Expected = Request.field("Expected-Instance");
    const bool Runs = Expected.empty() || Expected == Id;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Arrivals.push_back({nowMs(), AttemptId, Request.method(), Path, Runs});
    }
    if (!Quiet)
      Record.line("target " + Id + (Runs ? " runs " : " rejects ") + AttemptId +
                  " " + Request.method() + " " + Path + " body " +
                  std::to_string(Request.Body.size()));
    if (!Runs)
      return To.send(formatMessage(
          "HTTP/1.1 421 Misdirected",
          {{"Attempt-Id", AttemptId}, {"Not-Executed", "1"}}, ""));
    const int Now = ++Running;
    sleepMs(WorkMs);
    --Running;
    const bool Kept =
        To.send(formatMessage("HTTP/1.1 200 OK",
                              {{"Attempt-Id", AttemptId},
                               {"Response-Signature", "sig." + AttemptId},
                               {"Server-Load", std::to_string(Now) + ",0,12"},
                               {"Keep-Alive", "timeout=10"}},
                              answer(AttemptId)));
    if (!Quiet)
      Record.line("target " + Id + " answered " + AttemptId);
    return Kept;
  }

  std::string answer(const std::string &AttemptId) const {
    std::string Text = "answer of " + Id + " to " + AttemptId;
    if (Text.size() < AnswerBytes)
      Text.resize(AnswerBytes, ' ');
    return Text;
  }

  const ms WorkMs;
  const std::size_t AnswerBytes; // at least
  const ms Born;
  std::atomic<int> Running{0};
  std::atomic<std::uint64_t> Sequence{0};
  std::atomic<bool> Beating{false};
  std::thread Beats;
  std::mutex Mutex;
  std::vector<arrival> Arrivals;
  server Server;
};

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

struct attempt {
  std::string Id;
  std::string Entry; // machine
  ms SentAt = 0;
  ms EndedAt = 0;
  int Status = 0; // 0: no answer
  bool Closed = false;
  bool TimedOut = false;
  bool Signed = false;
  std::string Body;
};

inline std::string nextId(const std::string &Prefix) {
  static std::atomic<int> Last{0};
  return Prefix + std::to_string(++Last);
}

/// Sends one request on the connection and reads its answer.
inline attempt sendRequest(connection &To, const std::string &Entry,
                           const std::string &Method, const std::string &Path,
                           const std::string &Host, ms DeadlineMs,
                           const std::string &Body = "",
                           const std::string &Key = "") {
  attempt Out;
  Out.Id = nextId("q");
  Out.Entry = Entry;
  std::vector<std::pair<std::string, std::string>> Fields = {
      {"Host", Host},
      {"Attempt-Id", Out.Id},
      {"Deadline-Ms", std::to_string(DeadlineMs)}};
  if (!Key.empty())
    Fields.emplace_back("Key", Key);
  Record.line("client at " + Entry + " sends " + Out.Id + " " + Method + " " +
              Path);
  Out.SentAt = nowMs();
  const bool Sent =
      To.send(formatMessage(Method + " " + Path + " HTTP/1.1", Fields, Body));
  const auto Answer =
      Sent ? readMessage(To, Out.SentAt + DeadlineMs) : std::nullopt;
  Out.EndedAt = nowMs();
  Out.Closed = !Answer && (!Sent || To.Closed);
  Out.TimedOut = !Answer && !Out.Closed;
  if (Answer) {
    Out.Status = Answer->status();
    Out.Signed = Answer->has("Response-Signature");
    Out.Body = Answer->Body;
  }
  Record.line("client at " + Entry + " got " +
              (Answer       ? std::to_string(Out.Status)
               : Out.Closed ? "a closed connection"
                            : "nothing by its deadline") +
              " for " + Out.Id);
  return Out;
}

inline attempt sendFresh(const machine &At, const std::string &Method,
                         const std::string &Path, const std::string &Host,
                         ms DeadlineMs, const std::string &Body = "",
                         const std::string &Key = "") {
  const auto To = connection::open(At.outbound());
  if (!To) {
    attempt Out;
    Out.Id = nextId("q");
    Out.Entry = At.Name;
    Out.SentAt = Out.EndedAt = nowMs();
    Out.Closed = true;
    Record.line("client at " + At.Name + " could not connect for " + Out.Id);
    return Out;
  }
  return sendRequest(*To, At.Name, Method, Path, Host, DeadlineMs, Body, Key);
}

/// A configuration with one host.
inline json configuration(std::uint64_t Version, const std::string &Host,
                          const json &Paths,
                          const std::vector<std::string> &Services) {
  json Rows = json::array();
  for (const std::string &Service : Services)
    Rows.push_back({{"name", Service},
                    {"healthPath", "/health"},
                    {"maxConnections", 120}});
  return {{"version", Version},
          {"virtualHosts", {{{"host", Host}, {"paths", Paths}}}},
          {"services", Rows},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 1048576},
            {"headerTimeoutMs", 5000},
            {"idleTimeoutMs", 20000}}}};
}
inline json route(const std::string &Name, const std::string &Prefix,
                  const std::string &Kind, const std::string &Service,
                  ms TimeoutMs, int MaxAttempts) {
  return {{"name", Name},           {"prefix", Prefix},
          {"kind", Kind},           {"service", Service},
          {"timeoutMs", TimeoutMs}, {"sloLatencyMs", TimeoutMs / 2},
          {"priority", 1},          {"maxAttempts", MaxAttempts}};
}

/// Waits until all daemons say that they are ready. Throws after a while.
inline void awaitReady(const std::vector<daemon_process *> &Daemons,
                       ms Timeout) {
  const ms Until = nowMs() + Timeout;
  for (daemon_process *Daemon : Daemons)
    while (!Daemon->isReady()) {
      if (nowMs() > Until)
        throw std::runtime_error(Daemon->At.Name + " does not become ready");
      sleepMs(50);
    }
  say("all daemons are ready");
}

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Runs one case: PROGRAM DAEMON WORK_FOLDER RECORD.
inline int runCase(int Count, char **Arguments,
                   const std::function<int(const options &)> &Case) {
  if (Count != 4) {
    std::fprintf(stderr, "usage: %s DAEMON WORK_FOLDER RECORD\n", Arguments[0]);
    return CouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  options Options;
  Options.Daemon = Arguments[1];
  Options.Work = Arguments[2];
  const char *Trouble = std::getenv("TROUBLE");
  Options.Trouble = Trouble == nullptr || std::string(Trouble) != "0";
  int Result = CouldNotRun;
  try {
    Record.open(Arguments[3]);
    say(std::string("disruption: ") + (Options.Trouble ? "on" : "off"));
    Result = Case(Options);
  } catch (const std::exception &Error) {
    say(std::string("could not run: ") + Error.what());
  }
  say(Result == RuleBroken ? "RULE BROKEN"
      : Result == RuleHeld ? "rule held"
                           : "could not run");
  std::fflush(nullptr);
  std::_Exit(Result);
}

} // namespace rig
