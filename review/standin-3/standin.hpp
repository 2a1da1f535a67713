/// \file
/// Stand-ins for the scripts of this review: the platform's store, targets and
/// clients, and the daemons as child processes. Blocking sockets and one thread
/// per connection; loopback addresses only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;

//--- Time and record ----------------------------------------------------------
inline double nowMs() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - Start)
      .count();
}
inline std::uint64_t unixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}
inline void sleepMs(double Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Ms));
}
inline void sleepUntil(double At) { sleepMs(At - nowMs()); }

/// Writes record.txt.
class recorder {
public:
  static recorder &get() {
    static recorder Recorder;
    return Recorder;
  }
  void open(const std::string &Path) { File = std::fopen(Path.c_str(), "w"); }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    char Text[600];
    va_list Arguments;
    va_start(Arguments, Format);
    std::vsnprintf(Text, sizeof Text, Format, Arguments);
    va_end(Arguments);
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (File == nullptr)
      return;
    std::fprintf(File, "%10.1f ms  %s\n", nowMs(), Text);
    std::fflush(File);
  }

private:
  std::mutex Mutex;
  std::FILE *File = nullptr;
};
/// Logs a line to record.txt.
#define RECORD(...) ::review::recorder::get().line(__VA_ARGS__)

/// Ends the script: the case couldn't run.
[[noreturn]] inline void cannotRun(const std::string &Why) {
  RECORD("could not run: %s", Why.c_str());
  std::fprintf(stderr, "could not run: %s\n", Why.c_str());
  std::_Exit(2);
}

//--- Sockets ------------------------------------------------------------------
inline sockaddr_in endpoint(const std::string &Address) {
  const auto Colon = Address.rfind(':');
  sockaddr_in End{};
  End.sin_family = AF_INET;
  End.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &End.sin_addr);
  return End;
}
inline int listenOn(const std::string &Address) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in End = endpoint(Address);
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&End), sizeof End) != 0 ||
      ::listen(Fd, 256) != 0) {
    ::close(Fd);
    return -1;
  }
  return Fd;
}
/// Returns -1 when the connection is refused or takes longer than TimeoutMs.
/// ReceiveBytes: size of the receive buffer; 0: the usual one.
inline int connectTo(const std::string &Address, int TimeoutMs = 1000,
                     int ReceiveBytes = 0) {
  const int Fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (ReceiveBytes > 0)
    ::setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes, sizeof ReceiveBytes);
  const sockaddr_in End = endpoint(Address);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&End), sizeof End) !=
      0) {
    pollfd Poll{Fd, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof Error;
    if (errno != EINPROGRESS || ::poll(&Poll, 1, TimeoutMs) <= 0 ||
        ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
        Error != 0) {
      ::close(Fd);
      return -1;
    }
  }
  ::fcntl(Fd, F_SETFL, ::fcntl(Fd, F_GETFL) & ~O_NONBLOCK);
  const int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Fd;
}

struct message {
  std::string Start; // request or status line
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  bool Complete = false;

  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (::strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }
  std::string method() const { return Start.substr(0, Start.find(' ')); }
  std::string target() const {
    const auto At = Start.find(' ');
    return Start.substr(At + 1, Start.find(' ', At + 1) - At - 1);
  }
  int status() const {
    return Start.size() > 12 ? std::atoi(Start.c_str() + 9) : 0;
  }
};

/// A connection with the bytes that are read and not yet used.
class wire {
public:
  explicit wire(int Fd) : Fd(Fd) {}
  ~wire() { close(); }
  wire(const wire &) = delete;
  wire &operator=(const wire &) = delete;

  int fd() const { return Fd; }
  void close() {
    if (Fd >= 0)
      ::close(std::exchange(Fd, -1));
  }
  void reset() {
    const linger Linger{1, 0};
    ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Linger, sizeof Linger);
    close();
  }
  bool send(const std::string &Bytes) {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const auto Sent =
          ::send(Fd, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Done += static_cast<std::size_t>(Sent);
    }
    return true;
  }
  /// Returns false when the peer does not take the bytes in time.
  bool sendWithin(const std::string &Bytes, double TimeoutMs) {
    const double End = nowMs() + TimeoutMs;
    std::size_t Done = 0;
    while (Done < Bytes.size() && nowMs() < End) {
      const auto Sent = ::send(Fd, Bytes.data() + Done, Bytes.size() - Done,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        return false;
      Done += Sent > 0 ? static_cast<std::size_t>(Sent) : 0;
      if (Sent < 0) {
        pollfd Poll{Fd, POLLOUT, 0};
        ::poll(&Poll, 1, 50);
      }
    }
    return Done == Bytes.size();
  }
  /// Whether the peer has closed or reset the connection.
  bool closedByPeer() const {
    char Byte = 0;
    const auto Read = ::recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Read == 0 || (Read < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  /// Reads one message. Complete is false when the connection ends, or the time
  /// passes, before its end.
  message read(double Deadline) {
    message Message;
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Deadline))
        return Message;
    std::size_t At = Buffer.find("\r\n");
    Message.Start = Buffer.substr(0, At);
    while (At < End) {
      const std::size_t Next = Buffer.find("\r\n", At + 2);
      const std::string Line = Buffer.substr(At + 2, Next - At - 2);
      const std::size_t Colon = Line.find(':');
      std::size_t Value = Colon + 1;
      while (Value < Line.size() && Line[Value] == ' ')
        ++Value;
      if (Colon != std::string::npos)
        Message.Fields.emplace_back(Line.substr(0, Colon), Line.substr(Value));
      At = Next;
    }
    Buffer.erase(0, End + 4);
    if (::strcasecmp(Message.field("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      while (true) {
        std::size_t LineEnd = 0;
        while ((LineEnd = Buffer.find("\r\n")) == std::string::npos)
          if (!fill(Deadline))
            return Message;
        const std::size_t Size =
            std::stoul(Buffer.substr(0, LineEnd), nullptr, 16);
        Buffer.erase(0, LineEnd + 2);
        while (Buffer.size() < Size + 2)
          if (!fill(Deadline))
            return Message;
        Message.Body.append(Buffer, 0, Size);
        Buffer.erase(0, Size + 2);
        if (Size == 0)
          break;
      }
    } else if (const std::string Length = Message.field("Content-Length");
               !Length.empty()) {
      const std::size_t Size = std::stoul(Length);
      while (Buffer.size() < Size)
        if (!fill(Deadline))
          return Message;
      Message.Body = Buffer.substr(0, Size);
      Buffer.erase(0, Size);
    }
    Message.Complete = true;
    return Message;
  }

private:
  bool fill(double Deadline) {
    const double Left = Deadline - nowMs();
    pollfd Poll{Fd, POLLIN, 0};
    if (Left <= 0 || ::poll(&Poll, 1, static_cast<int>(Left) + 1) <= 0)
      return false;
    char Bytes[16384];
    const auto Read = ::recv(Fd, Bytes, sizeof Bytes, 0);
    if (Read <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Read));
    return true;
  }

  int Fd;
  std::string Buffer;
};

inline std::string
response(int Status, const std::string &Body,
         const std::vector<std::pair<std::string, std::string>> &Fields = {},
         const char *Type = "application/json") {
  std::string Text =
      "HTTP/1.1 " + std::to_string(Status) + (Status < 300 ? " OK" : " Other") +
      "\r\nContent-Type: " + Type +
      "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  return Text + "\r\n" + Body;
}

/// Accepts connections until stop(), which also closes those that are open.
class server {
public:
  using handler = std::function<void(wire &)>;
  server(std::string Address, handler Handler)
      : Address(std::move(Address)), Handler(std::move(Handler)) {
    start();
  }
  ~server() { stop(); }
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  void start() {
    Listener = listenOn(Address);
    if (Listener < 0)
      cannotRun("can't listen on " + Address);
    Running = true;
    Acceptor = std::thread([this] {
      while (Running) {
        pollfd Poll{Listener, POLLIN, 0};
        if (::poll(&Poll, 1, 20) <= 0)
          continue;
        const int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (Fd < 0)
          continue;
        const int On = 1;
        ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
        {
          const std::lock_guard<std::mutex> Lock(Mutex);
          Open.insert(Fd);
        }
        ++Threads;
        std::thread([this, Fd] {
          {
            wire Wire(Fd);
            Handler(Wire);
            const std::lock_guard<std::mutex> Lock(Mutex);
            Open.erase(Fd);
            Wire.close();
          }
          --Threads;
        }).detach();
      }
    });
  }
  void stop() {
    if (!Running.exchange(false))
      return;
    Acceptor.join();
    ::close(Listener);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      for (const int Fd : Open)
        ::shutdown(Fd, SHUT_RDWR);
    }
    while (Threads > 0)
      sleepMs(2);
  }
  bool running() const { return Running; }
  const std::string Address;

private:
  handler Handler;
  int Listener = -1;
  std::atomic<bool> Running{false};
  std::atomic<int> Threads{0};
  std::thread Acceptor;
  std::mutex Mutex;
  std::set<int> Open;
};

//--- Calls --------------------------------------------------------------------
inline std::string
request(const std::string &Method, const std::string &Target,
        const std::vector<std::pair<std::string, std::string>> &Fields,
        const std::string &Body) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}
/// One call on a connection of its own. Status 0: no whole answer.
inline message callOnce(const std::string &Address, const std::string &Bytes,
                        double TimeoutMs) {
  const int Fd = connectTo(Address);
  if (Fd < 0)
    return {};
  wire Wire(Fd);
  if (!Wire.send(Bytes))
    return {};
  return Wire.read(nowMs() + TimeoutMs);
}

//--- The platform's store -----------------------------------------------------
inline std::string encodeBase64(const std::string &Bytes) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Bits = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Bits = Bits << 8 |
             (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                   : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text += I + J > Bytes.size() ? '=' : Digits[Bits >> (18 - 6 * J) & 63];
  }
  return Text;
}

/// The store of PROTOCOL.md: items, leases, watches, conditional writes.
class store {
public:
  explicit store(const std::string &Address)
      : Server(Address, [this](wire &Wire) { serve(Wire); }) {}
  std::string address() const { return Server.Address; }

  /// How the store treats calls.
  enum class mode { Up, Busy }; // Busy: 503, nothing is done
  void setMode(mode NewMode) { Mode = NewMode; }
  /// Answers take this long; a call takes effect at the end of it, unless its
  /// caller has gone by then.
  std::atomic<double> AnswerMs{4};
  /// Leases apply for at most this long, which the answer says.
  std::atomic<double> MaxLeaseMs{600'000};

  void put(const std::string &Key, const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Revision;
    write(Key, encodeBase64(Value), 0);
  }
  std::string value(const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Items.find(Key);
    return Found == Items.end() ? ""
                                : Found->second["value"].get<std::string>();
  }
  std::int64_t revision(const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Items.find(Key);
    return Found == Items.end() ? 0 : Found->second["revision"].get<int>();
  }

private:
  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    std::size_t At = Target.find('?');
    while (At != std::string::npos) {
      const std::size_t End = std::min(Target.find('&', At + 1), Target.size());
      const std::string Pair = Target.substr(At + 1, End - At - 1);
      if (Pair.rfind(Name + "=", 0) == 0) {
        std::string Value;
        for (std::size_t I = Name.size() + 1; I < Pair.size(); ++I)
          if (Pair[I] == '%') {
            Value += static_cast<char>(
                std::stoi(Pair.substr(I + 1, 2), nullptr, 16));
            I += 2;
          } else {
            Value += Pair[I];
          }
        return Value;
      }
      At = End == Target.size() ? std::string::npos : End;
    }
    return {};
  }

  void serve(wire &Wire) {
    while (Server.running()) {
      const message Call = Wire.read(nowMs() + 60'000);
      if (!Call.Complete)
        return;
      sleepMs(AnswerMs);
      if (Wire.closedByPeer())
        return; // the caller lost power; the call is not done
      std::string Answer;
      if (Mode == mode::Busy)
        Answer = response(503, "{}");
      else
        Answer = answer(Call, Wire);
      if (!Wire.send(Answer))
        return;
    }
  }

  std::string answer(const message &Call, wire &Wire) {
    const std::string Target = Call.target();
    const std::string Path = Target.substr(0, Target.find('?'));
    if (Path == "/api/kv-watch")
      return watch(Target, Wire);
    const std::lock_guard<std::mutex> Lock(Mutex);
    expireLeases();
    if (Path == "/api/kv-key") {
      const auto Found = Items.find(parameter(Target, "key"));
      json Body = Found == Items.end() ? json::object() : Found->second;
      Body["asOf"] = Revision;
      return response(Found == Items.end() ? 404 : 200, Body.dump());
    }
    if (Path == "/api/kv-range") {
      const std::string Prefix = parameter(Target, "prefix");
      const std::string After = parameter(Target, "after");
      json Rows = json::array();
      for (const auto &[Key, Item] : Items)
        if (Key.rfind(Prefix, 0) == 0 && Key > After)
          Rows.push_back(Item);
      return response(
          200, json{{"items", Rows}, {"truncated", false}, {"asOf", Revision}}
                   .dump());
    }
    const json Body = json::parse(Call.Body, nullptr, false);
    if (Path == "/api/kv-txn")
      return commit(Body);
    if (Path == "/api/kv-lease") {
      const double Ttl =
          std::min<double>(Body["ttlMs"].get<double>(), MaxLeaseMs);
      Leases[++LastLease] = {nowMs() + Ttl, Ttl};
      return response(200, json{{"lease", LastLease},
                                {"ttlMs", static_cast<std::int64_t>(Ttl)}}
                               .dump());
    }
    const std::int64_t Id = std::atoll(Path.c_str() + Path.rfind('/') + 1);
    const auto Lease = Leases.find(Id);
    if (Lease == Leases.end())
      return response(404, "{}");
    if (Path.rfind("/api/kv-lease-end/", 0) == 0) {
      endLease(Id);
      return response(200, "{}");
    }
    Lease->second.first = nowMs() + Lease->second.second;
    return response(
        200, json{{"ttlMs", static_cast<std::int64_t>(Lease->second.second)}}
                 .dump());
  }

  std::string commit(const json &Body) {
    json Current = json::array();
    bool Holds = true;
    for (const json &Row : Body["expected"]) {
      const auto Found = Items.find(Row["key"]);
      const std::int64_t Known =
          Found == Items.end() ? 0
                               : Found->second["revision"].get<std::int64_t>();
      Holds = Holds && Known == Row["revision"].get<std::int64_t>();
      if (Found != Items.end())
        Current.push_back(Found->second);
    }
    if (!Holds)
      return response(412, json{{"items", Current}}.dump());
    for (const json &Write : Body["writes"]) {
      const std::int64_t Lease = Write.value("lease", std::int64_t{0});
      if (Lease != 0 && Leases.count(Lease) == 0)
        return response(404, "{}");
      if (Write["key"].get<std::string>().rfind("op/", 0) == 0)
        return response(403, "{}");
    }
    ++Revision;
    for (const json &Write : Body["writes"])
      write(Write["key"], Write["value"],
            Write.value("lease", std::int64_t{0}));
    for (const json &Key : Body["remove"])
      erase(Key);
    return response(200, json{{"revision", Revision}}.dump());
  }

  std::string watch(const std::string &Target, wire &Wire) {
    const std::string Prefix = parameter(Target, "prefix");
    const std::int64_t After = std::atoll(parameter(Target, "after").c_str());
    const double End = nowMs() + std::atof(parameter(Target, "waitMs").c_str());
    while (true) {
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        json Events = json::array();
        for (const json &Event : History)
          if (Event["revision"].get<std::int64_t>() > After &&
              Event["key"].get<std::string>().rfind(Prefix, 0) == 0)
            Events.push_back(Event);
        if (!Events.empty() || nowMs() >= End)
          return response(200,
                          json{{"events", Events}, {"asOf", Revision}}.dump());
      }
      if (Mode == mode::Busy)
        return response(503, "{}");
      if (!Server.running() || Wire.closedByPeer())
        return {};
      sleepMs(2);
    }
  }

  void write(const std::string &Key, const std::string &Value,
             std::int64_t Lease) {
    json &Item = Items[Key];
    const std::int64_t Created =
        Item.is_null() ? Revision : Item["created"].get<std::int64_t>();
    Item = {{"key", Key},
            {"value", Value},
            {"revision", Revision},
            {"created", Created},
            {"lease", Lease}};
    History.push_back(Item);
  }
  void erase(const std::string &Key) {
    if (Items.erase(Key) > 0)
      History.push_back(
          {{"key", Key}, {"revision", Revision}, {"tombstone", true}});
  }
  void endLease(std::int64_t Id) {
    Leases.erase(Id);
    std::vector<std::string> Keys;
    for (const auto &[Key, Item] : Items)
      if (Item["lease"].get<std::int64_t>() == Id)
        Keys.push_back(Key);
    if (!Keys.empty())
      ++Revision;
    for (const std::string &Key : Keys)
      erase(Key);
  }
  void expireLeases() {
    std::vector<std::int64_t> Ended;
    for (const auto &[Id, Lease] : Leases)
      if (Lease.first < nowMs())
        Ended.push_back(Id);
    for (const std::int64_t Id : Ended)
      endLease(Id);
  }

  std::mutex Mutex;
  std::map<std::string, json> Items;
  std::vector<json> History;
  std::map<std::int64_t, std::pair<double, double>> Leases; // end, duration
  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
  std::atomic<mode> Mode{mode::Up};
  server Server;
};

//--- Machines -----------------------------------------------------------------
/// A block of loopback addresses in which the fixed ports are free.
inline std::string freeBlock() {
  const auto Pid = static_cast<unsigned>(::getpid());
  for (unsigned I = 0; I < 200; ++I) {
    const unsigned Number = Pid * 7 + I * 131;
    const std::string Block = "127." + std::to_string(20 + Number % 200) + "." +
                              std::to_string(Number / 200 % 250) + ".";
    const int Fd = listenOn(Block + "2:8304");
    if (Fd < 0)
      continue;
    ::close(Fd);
    return Block;
  }
  cannotRun("no free loopback addresses");
}

struct machine_spec {
  std::string Name;
  std::string Zone;
  std::string Service;
  std::string Ip;
  std::string StoreAddress;
  unsigned MaxDescriptors = 4100;
};

/// A machine with its daemon, which is run as the deploy file says.
class machine {
public:
  machine(machine_spec Spec, std::string Program, std::string Folder)
      : Spec(std::move(Spec)), Program(std::move(Program)),
        SettingsPath(Folder + "/" + this->Spec.Name + ".json"),
        LogPath(Folder + "/" + this->Spec.Name + ".log") {
    const json Settings = {
        {"nodeName", this->Spec.Name},
        {"role", "mesh"},
        {"machineClass", "sidecar"},
        {"serves", {"sidecar"}},
        {"ip", this->Spec.Ip},
        {"zone", this->Spec.Zone},
        {"region", "region"},
        {"listen",
         {{"inbound", this->Spec.Ip + ":8300"},
          {"outbound", outbound()},
          {"ready", this->Spec.Ip + ":8302"},
          {"control", control()}}},
        {"internalPortRange", {7620, 7635}},
        {"seedNodes", json::array()},
        {"bootstrap", true},
        {"limits",
         {{"cpuShare", 0.2},
          {"cpuCores", 1},
          {"memoryMb", 260},
          {"maxFds", this->Spec.MaxDescriptors},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"heartbeatMs", 1500},
        {"bounds", {"seedLagS=3",         "reuseAfterS=2",
                    "contactMs=3000",     "ackMs=4000",
                    "catchUpS=4",         "drainMs=2000",
                    "graceS=6",           "lossSlackMs=200",
                    "configApplyMs=2000", "rollbackSlackMs=250",
                    "maxStretchMs=5000",  "retryBudgetRatio=0.2",
                    "budgetWindowS=10",   "retryBudgetSlack=64",
                    "exposureShare=0.1",  "exposureSlack=50",
                    "rollbackMs=5000",    "recoveryS=15",
                    "quotaWindowS=5",     "quotaOverage=0.1",
                    "quotaSlack=20"}},
        {"appAddress", app()},
        {"service", this->Spec.Service},
        {"platform",
         {{"address", this->Spec.StoreAddress},
          {"form", "kv"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1048576},
          {"minTtlMs", 1000}}}};
    std::ofstream(SettingsPath) << Settings.dump();
  }
  ~machine() { kill(); }
  machine(const machine &) = delete;
  machine &operator=(const machine &) = delete;

  std::string outbound() const { return Spec.Ip + ":8304"; }
  std::string control() const { return Spec.Ip + ":8306"; }
  std::string app() const { return Spec.Ip + ":8301"; }

  void start() {
    Pid = ::fork();
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Log =
          ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Log, 1);
      ::dup2(Log, 2);
      ::setenv("HYSSOPLEDGE_BOOT", SettingsPath.c_str(), 1);
      ::execl(Program.c_str(), Program.c_str(), static_cast<char *>(nullptr));
      ::_exit(127);
    }
    RECORD("%s: daemon started, pid %d", Spec.Name.c_str(), Pid);
  }
  void signal(int Number) const {
    if (Pid > 0)
      ::kill(Pid, Number);
  }
  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
  /// Returns the wait status once the process has ended by itself.
  std::optional<int> ended() {
    int Status = 0;
    if (Pid <= 0 || ::waitpid(Pid, &Status, WNOHANG) != Pid)
      return std::nullopt;
    Pid = -1;
    return Status;
  }
  bool ready() const {
    return callOnce(Spec.Ip + ":8302",
                    request("GET", "/api/readiness", {{"Host", "ready"}}, ""),
                    500)
               .status() == 200;
  }
  pid_t pid() const { return Pid; }
  const machine_spec Spec;

private:
  std::string Program;
  std::string SettingsPath;
  std::string LogPath;
  pid_t Pid = -1;
};

//--- Targets ------------------------------------------------------------------
struct run_record {
  double At = 0; // when the request arrived
  std::string Target;
  std::string Id;
  std::string Path;
  std::string Caller;
  bool Answered = false;
};

/// All runs of all targets.
class run_log {
public:
  std::size_t add(run_record Run) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Runs.push_back(std::move(Run));
    return Runs.size() - 1;
  }
  void setAnswered(std::size_t Index) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Runs[Index].Answered = true;
  }
  std::vector<run_record> all() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Runs;
  }

private:
  std::mutex Mutex;
  std::vector<run_record> Runs;
};

/// An application target beside a daemon.
class target {
public:
  target(const machine &Beside, std::string Name, run_log &Log, double WorkMs,
         std::string Version = "v1")
      : Name(std::move(Name)), WorkMs(WorkMs), Beside(Beside), Log(Log),
        Version(std::move(Version)), Born(unixMs()),
        Server(Beside.app(), [this](wire &Wire) { serve(Wire); }) {}
  ~target() { end(); }

  /// Sends heartbeats at the interval of the settings until stopBeats().
  void startBeats() {
    Beating = true;
    Beats = std::thread([this] {
      while (Beating) {
        beat("ready");
        for (int I = 0; I < 150 && Beating; ++I)
          sleepMs(10);
      }
    });
  }
  void stopBeats() {
    Beating = false;
    if (Beats.joinable())
      Beats.join();
  }
  /// Returns whether the heartbeat was acknowledged.
  bool beat(const std::string &State) {
    const json Body = {{"service", Beside.Spec.Service},
                       {"address", Beside.app()},
                       {"zone", Beside.Spec.Zone},
                       {"version", Version},
                       {"slots", 12},
                       {"state", State},
                       {"coldRemainingMs", 0},
                       {"sequence", ++Sequence},
                       {"born", Born}};
    return control("instances.heartbeat", Body.dump());
  }
  bool deregister() {
    return control("instances.deregister", json{{"born", Born}}.dump());
  }
  /// Ends the target; its connections are closed.
  void end() {
    stopBeats();
    Server.stop();
  }
  const std::string Name;
  std::atomic<std::size_t> AnswerBytes{0}; // at least
  std::atomic<double> WorkMs;
  /// What to do after the hook of a request.
  enum class next { Work, Read, Close };
  /// Handles a request in place of the usual work.
  std::function<next(wire &, const message &)> Hook;

private:
  bool control(const std::string &Call, const std::string &Body) {
    const int Status =
        callOnce(
            Beside.control(),
            request("POST", "/api/rpc?call=" + Call + "&of=" + Name,
                    {{"Host", "control"}, {"Content-Type", "application/json"}},
                    Body),
            1000)
            .status();
    return Status >= 200 && Status < 300;
  }

  void serve(wire &Wire) {
    while (Server.running()) {
      const message Call = Wire.read(nowMs() + 10'000);
      if (!Call.Complete || !Server.running())
        return;
      const std::string Id = Call.field("Attempt-Id");
      const std::string Expected = Call.field("Expected-Instance");
      if (!Expected.empty() && Expected != Name) {
        if (!Wire.send(response(421, "{}",
                                {{"Attempt-Id", Id}, {"Not-Executed", "1"}})))
          return;
        continue;
      }
      const next Next = Hook ? Hook(Wire, Call) : next::Work;
      if (Next == next::Close)
        return;
      if (Next == next::Read)
        continue;
      const std::size_t Run = Log.add({nowMs(), Name, Id, Call.target(),
                                       Call.field("Caller-Service"), false});
      const double End = nowMs() + WorkMs;
      while (nowMs() < End && Server.running())
        sleepMs(std::min(5.0, End - nowMs()));
      if (!Server.running())
        return;
      const std::string Body = "done " + Id;
      if (!Wire.send(response(
              200,
              Body + std::string(std::max(AnswerBytes.load(), Body.size()) -
                                     Body.size(),
                                 '.'),
              {{"Attempt-Id", Id},
               {"Response-Signature", "sig." + Id},
               {"Server-Load", "1,0,12"}},
              "text/plain")))
        return;
      Log.setAnswered(Run);
    }
  }

  const machine &Beside;
  run_log &Log;
  const std::string Version;
  const std::uint64_t Born;
  std::atomic<unsigned> Sequence{0};
  std::atomic<bool> Beating{false};
  std::thread Beats;
  server Server;
};

//--- Configuration ------------------------------------------------------------
inline json route(const std::string &Name, const std::string &Prefix,
                  const std::string &Kind, const std::string &Service,
                  int TimeoutMs = 2000) {
  return {{"name", Name},       {"prefix", Prefix},       {"kind", Kind},
          {"service", Service}, {"timeoutMs", TimeoutMs}, {"sloLatencyMs", 600},
          {"priority", 1},      {"maxAttempts", 3}};
}
inline std::string config(int Version, const std::vector<std::string> &Services,
                          const json &Routes, std::size_t HeaderBytes = 16384) {
  json List = json::array();
  for (const std::string &Service : Services)
    List.push_back({{"name", Service},
                    {"healthPath", "/health"},
                    {"maxConnections", 130}});
  return json{{"version", Version},
              {"services", List},
              {"limits",
               {{"maxHeaderBytes", HeaderBytes},
                {"maxBodyBytes", 67108864},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}},
              {"virtualHosts",
               json::array({{{"host", "shop.example"}, {"paths", Routes}}})}}
      .dump();
}

} // namespace review
