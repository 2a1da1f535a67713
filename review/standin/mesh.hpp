/// \file
/// Stand-ins for the review's scripts: the platform's store, targets with their
/// heartbeats, clients, and control of the daemon's processes. All addresses
/// are loopback addresses. Each daemon runs as a process of its own, with the
/// command of the deploy file.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using milliseconds = std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// Record
//-----------------------------------------------------------------------------

inline const time_point StartedAt = clock_type::now();

inline long long sinceStartMs(time_point At = clock_type::now()) {
  return std::chrono::duration_cast<milliseconds>(At - StartedAt).count();
}

inline long long unixNowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Writes one line with the time since the start to record.txt.
class record_file {
public:
  void open(const std::string &Path) { File = std::fopen(Path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (File == nullptr)
      return;
    std::fprintf(File, "%9.3f ", static_cast<double>(sinceStartMs()) / 1000);
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }
  /// Writes the line to standard output, too.
  __attribute__((format(printf, 2, 3))) void say(const char *Format, ...) {
    char Text[1024];
    va_list Arguments;
    va_start(Arguments, Format);
    std::vsnprintf(Text, sizeof Text, Format, Arguments);
    va_end(Arguments);
    line("%s", Text);
    std::printf("%9.3f %s\n", static_cast<double>(sinceStartMs()) / 1000, Text);
    std::fflush(stdout);
  }

private:
  std::mutex Mutex;
  std::FILE *File = nullptr;
};

inline record_file Record;

inline void pause(milliseconds Time) { std::this_thread::sleep_for(Time); }

//-----------------------------------------------------------------------------
// HTTP/1.1 over blocking sockets
//-----------------------------------------------------------------------------

struct endpoint {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

inline sockaddr_in socketAddress(const endpoint &Endpoint) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Endpoint.Port));
  inet_pton(AF_INET, Endpoint.Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// A request or a response. Names of fields are in lower case.
struct message {
  std::string FirstLine;
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &Name) const {
    const auto Found = Fields.find(Name);
    return Found == Fields.end() ? "" : Found->second;
  }
  std::string word(int Index) const {
    std::size_t At = 0;
    for (; Index > 0; --Index) {
      At = FirstLine.find(' ', At);
      if (At == std::string::npos)
        return {};
      ++At;
    }
    return FirstLine.substr(At, FirstLine.find(' ', At) - At);
  }
};

enum class read_result { Complete, Closed, Partial, Timeout };

/// Reads whole messages from one connection.
class connection {
public:
  explicit connection(int Handle) : Handle(Handle) {
    const int On = 1;
    ::setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  read_result read(message &Out, time_point Deadline) {
    Out = {};
    std::size_t HeadEnd = std::string::npos;
    while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (const auto Result = more(Deadline); Result != read_result::Complete)
        return Buffer.empty() || Result == read_result::Timeout
                   ? Result
                   : read_result::Partial;
    std::size_t At = 0;
    bool First = true;
    while (At < HeadEnd + 2) {
      const std::size_t End = Buffer.find("\r\n", At);
      const std::string Line = Buffer.substr(At, End - At);
      At = End + 2;
      if (First) {
        Out.FirstLine = Line;
        First = false;
        continue;
      }
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Line.substr(0, Colon);
      for (char &Character : Name)
        Character = static_cast<char>(std::tolower(Character));
      const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Out.Fields[Name] = Value == std::string::npos ? "" : Line.substr(Value);
    }
    Buffer.erase(0, HeadEnd + 4);
    const std::string Length = Out.field("content-length");
    const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
    while (Buffer.size() < Size)
      if (const auto Result = more(Deadline); Result != read_result::Complete)
        return Result == read_result::Timeout ? Result : read_result::Partial;
    Out.Body = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    return read_result::Complete;
  }

  bool write(const std::string &Text) {
    std::size_t Sent = 0;
    while (Sent < Text.size()) {
      const auto Count =
          ::send(Handle, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    return true;
  }

  /// Waits until the peer closes the connection, and reads nothing.
  void awaitClose(time_point Deadline) {
    while (clock_type::now() < Deadline) {
      pollfd Poll{Handle, POLLRDHUP, 0};
      if (::poll(&Poll, 1, 200) > 0)
        return;
    }
  }
  bool closedByPeer() const {
    pollfd Poll{Handle, POLLRDHUP, 0};
    return ::poll(&Poll, 1, 0) > 0;
  }
  void shutDown() const { ::shutdown(Handle, SHUT_RDWR); }
  void close() {
    if (Handle >= 0)
      ::close(Handle);
    Handle = -1;
  }

private:
  read_result more(time_point Deadline) {
    const auto Left =
        std::chrono::duration_cast<milliseconds>(Deadline - clock_type::now());
    if (Left.count() <= 0)
      return read_result::Timeout;
    pollfd Poll{Handle, POLLIN, 0};
    const int Ready = ::poll(&Poll, 1, static_cast<int>(Left.count()) + 1);
    if (Ready == 0)
      return read_result::Timeout;
    char Bytes[16384];
    const auto Count = ::recv(Handle, Bytes, sizeof Bytes, 0);
    if (Count <= 0)
      return read_result::Closed;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return read_result::Complete;
  }

  int Handle;
  std::string Buffer;
};

inline std::unique_ptr<connection> connectTo(const endpoint &Endpoint,
                                             milliseconds Timeout) {
  const int Handle =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = socketAddress(Endpoint);
  if (::connect(Handle, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0) {
    pollfd Poll{Handle, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof Error;
    if (errno != EINPROGRESS ||
        ::poll(&Poll, 1, static_cast<int>(Timeout.count())) <= 0 ||
        ::getsockopt(Handle, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
        Error != 0) {
      ::close(Handle);
      return nullptr;
    }
  }
  ::fcntl(Handle, F_SETFL, ::fcntl(Handle, F_GETFL) & ~O_NONBLOCK);
  return std::make_unique<connection>(Handle);
}

/// Serves each connection on a thread of its own until stop().
class server {
public:
  using handler = std::function<void(connection &)>;
  ~server() { stop(); }

  bool start(const endpoint &Endpoint, handler NewHandler) {
    Handler = std::move(NewHandler);
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    const sockaddr_in Address = socketAddress(Endpoint);
    if (::bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
               sizeof Address) != 0 ||
        ::listen(Listener, 512) != 0) {
      ::close(Listener);
      Listener = -1;
      return false;
    }
    Stopped = false;
    Acceptor = std::thread([this] { acceptAll(); });
    return true;
  }

  /// Refuses new connections and closes all others, as the end of a process
  /// does. May be called from a handler; stop() has to follow.
  void abort() {
    Stopped = true;
    ::shutdown(Listener, SHUT_RDWR);
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (connection *Open : Connections)
      Open->shutDown();
  }

  void stop() {
    if (Listener < 0)
      return;
    Stopped = true;
    ::shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    ::close(Listener);
    Listener = -1;
    std::unique_lock<std::mutex> Lock(Mutex);
    for (connection *Open : Connections)
      Open->shutDown();
    Ended.wait(Lock, [this] { return Threads == 0; });
  }

private:
  void acceptAll() {
    while (!Stopped) {
      const int Handle = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Handle < 0)
        continue;
      const std::lock_guard<std::mutex> Lock(Mutex);
      ++Threads;
      std::thread([this, Handle] {
        {
          connection Open(Handle);
          {
            const std::lock_guard<std::mutex> Inner(Mutex);
            Connections.insert(&Open);
            if (Stopped)
              Open.shutDown();
          }
          Handler(Open);
          const std::lock_guard<std::mutex> Inner(Mutex);
          Connections.erase(&Open);
        }
        const std::lock_guard<std::mutex> Inner(Mutex);
        --Threads;
        Ended.notify_all();
      }).detach();
    }
  }

  handler Handler;
  int Listener = -1;
  std::atomic<bool> Stopped{false};
  std::thread Acceptor;
  std::mutex Mutex;
  std::condition_variable Ended;
  std::set<connection *> Connections;
  int Threads = 0;
};

inline std::string response(int Status, const std::string &Fields,
                            const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string queryValue(const std::string &Target,
                              const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string Pair =
        Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    if (Pair.compare(0, Name.size() + 1, Name + "=") == 0) {
      std::string Out;
      for (std::size_t I = Name.size() + 1; I < Pair.size(); ++I) {
        if (Pair[I] == '%' && I + 2 < Pair.size()) {
          Out +=
              static_cast<char>(std::stoi(Pair.substr(I + 1, 2), nullptr, 16));
          I += 2;
        } else {
          Out += Pair[I];
        }
      }
      return Out;
    }
    At = End;
  }
  return {};
}

inline std::string encodeBase64(const std::string &Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Out += I + J > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63];
  }
  return Out;
}

//-----------------------------------------------------------------------------
// The platform's store
//-----------------------------------------------------------------------------

/// Each machine reaches the store at an address of its own, as through a proxy,
/// so that answers can be withheld from single machines.
class store {
public:
  /// Reads with serializable=1 return the state of this long ago.
  milliseconds StaleBy{0};

  ~store() { stop(); }

  bool serve(const endpoint &Endpoint, const std::string &Machine) {
    Servers.push_back(std::make_unique<server>());
    return Servers.back()->start(Endpoint, [this, Machine](connection &Open) {
      serveConnection(Open, Machine);
    });
  }
  void stop() {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Stopped = true;
      Changed.notify_all();
    }
    for (auto &Server : Servers)
      Server->stop();
  }

  /// From now on the store gives these machines no response. A connection on
  /// which a response was withheld returns nothing further.
  void withholdFrom(std::set<std::string> Machines) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Silent = std::move(Machines);
  }

  /// A write of the operator.
  std::int64_t put(const std::string &Key, const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Revision;
    change(Key, encodeBase64(Value), 0, false);
    Changed.notify_all();
    return Revision;
  }
  std::string valueOf(const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Items.find(Key);
    return Found == Items.end() ? "" : Found->second.Value;
  }

private:
  struct item {
    std::string Value; // base64
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct event {
    time_point At;
    std::string Key;
    item Item;
    bool Deleted = false;
  };

  static json toJson(const std::string &Key, const item &Item) {
    return {{"key", Key},
            {"value", Item.Value},
            {"revision", Item.Revision},
            {"created", Item.Created},
            {"lease", Item.Lease}};
  }

  void change(const std::string &Key, const std::string &Value,
              std::int64_t Lease, bool Delete) {
    item &Item = Items[Key];
    Item.Value = Value;
    Item.Revision = Revision;
    if (Item.Created == 0)
      Item.Created = Revision;
    Item.Lease = Lease;
    History.push_back({clock_type::now(), Key, Item, Delete});
    if (Delete)
      Items.erase(Key);
  }

  bool isSilentTo(const std::string &Machine) {
    return Silent.count(Machine) > 0;
  }

  void serveConnection(connection &Open, const std::string &Machine) {
    message Request;
    while (Open.read(Request, clock_type::now() + std::chrono::seconds(60)) ==
           read_result::Complete) {
      std::string Answer;
      bool Withheld = false;
      {
        std::unique_lock<std::mutex> Lock(Mutex);
        Withheld = isSilentTo(Machine);
        if (!Withheld)
          Answer = handle(Request, Machine, Lock, Withheld);
      }
      if (Withheld) {
        Record.line("store: no response to %s for %s", Machine.c_str(),
                    Request.FirstLine.substr(0, 60).c_str());
        return Open.awaitClose(clock_type::now() + std::chrono::seconds(120));
      }
      if (Answer.empty() || !Open.write(Answer))
        return;
    }
  }

  std::string handle(const message &Request, const std::string &Machine,
                     std::unique_lock<std::mutex> &Lock, bool &Withheld) {
    const std::string Target = Request.word(1);
    const std::string Path = Target.substr(0, Target.find('?'));
    const std::string Type = "Content-Type: application/json\r\n";
    if (Path == "/api/kv-key") {
      const auto Found = Items.find(queryValue(Target, "key"));
      if (Found == Items.end())
        return response(404, Type, "{}");
      json Body = toJson(Found->first, Found->second);
      Body["asOf"] = Revision;
      return response(200, Type, Body.dump());
    }
    if (Path == "/api/kv-range")
      return response(200, Type, range(Target).dump());
    if (Path == "/api/kv-watch")
      return watch(Target, Machine, Lock, Withheld);
    if (Path == "/api/kv-txn")
      return transact(json::parse(Request.Body), Machine);
    if (Path == "/api/kv-lease")
      return response(200, Type,
                      json{{"lease", ++LastLease},
                           {"ttlMs", json::parse(Request.Body).at("ttlMs")}}
                          .dump());
    if (Path.rfind("/api/kv-keep/", 0) == 0)
      return response(200, Type, json{{"ttlMs", 600000}}.dump());
    if (Path.rfind("/api/kv-lease-end/", 0) == 0) {
      const std::int64_t Lease = std::stoll(Path.substr(18));
      std::vector<std::string> Keys;
      for (const auto &[Key, Item] : Items)
        if (Item.Lease == Lease)
          Keys.push_back(Key);
      for (const std::string &Key : Keys) {
        ++Revision;
        change(Key, "", 0, true);
      }
      Changed.notify_all();
      return response(200, Type, "{}");
    }
    return response(404, Type, "{}");
  }

  json range(const std::string &Target) {
    const std::string Prefix = queryValue(Target, "prefix");
    const std::string After = queryValue(Target, "after");
    std::map<std::string, item> Past;
    std::int64_t AsOf = Revision;
    const bool Stale = queryValue(Target, "serializable") == "1";
    if (Stale) {
      AsOf = 1;
      const time_point At = clock_type::now() - StaleBy;
      for (const event &Event : History) {
        if (Event.At > At)
          break;
        AsOf = Event.Item.Revision;
        if (Event.Deleted)
          Past.erase(Event.Key);
        else
          Past[Event.Key] = Event.Item;
      }
    }
    json Found = json::array();
    for (const auto &[Key, Item] : Stale ? Past : Items)
      if (Key.rfind(Prefix, 0) == 0 && Key > After)
        Found.push_back(toJson(Key, Item));
    return {{"items", Found}, {"truncated", false}, {"asOf", AsOf}};
  }

  std::string watch(const std::string &Target, const std::string &Machine,
                    std::unique_lock<std::mutex> &Lock, bool &Withheld) {
    const std::string Prefix = queryValue(Target, "prefix");
    const std::int64_t After = std::stoll(queryValue(Target, "after"));
    const time_point Deadline =
        clock_type::now() +
        milliseconds(std::stoll(queryValue(Target, "waitMs")));
    json Events = json::array();
    while (!Stopped) {
      for (const event &Event : History) {
        if (Event.Item.Revision <= After || Event.Key.rfind(Prefix, 0) != 0)
          continue;
        Events.push_back(Event.Deleted ? json{{"key", Event.Key},
                                              {"revision", Event.Item.Revision},
                                              {"tombstone", true}}
                                       : toJson(Event.Key, Event.Item));
      }
      if (!Events.empty() || clock_type::now() >= Deadline)
        break;
      Changed.wait_until(Lock, Deadline);
    }
    if (Stopped)
      return {};
    Withheld = isSilentTo(Machine);
    return response(200, "Content-Type: application/json\r\n",
                    json{{"events", Events}, {"asOf", Revision}}.dump());
  }

  std::string transact(const json &Call, const std::string &Machine) {
    const std::string Type = "Content-Type: application/json\r\n";
    json Current = json::array();
    bool Holds = true;
    for (const json &Row : Call.value("expected", json::array())) {
      const std::string Key = Row.at("key");
      const auto Found = Items.find(Key);
      const std::int64_t Known =
          Found == Items.end() ? 0 : Found->second.Revision;
      Holds = Holds && Known == Row.at("revision").get<std::int64_t>();
      if (Found != Items.end())
        Current.push_back(toJson(Key, Found->second));
    }
    if (!Holds)
      return response(412, Type, json{{"items", Current}}.dump());
    ++Revision;
    for (const json &Write : Call.value("writes", json::array())) {
      const std::string Key = Write.at("key");
      if (Key.rfind("op/", 0) == 0 || Key.rfind("servers/", 0) == 0)
        return response(403, Type, "{}");
      change(Key, Write.at("value"), Write.value("lease", std::int64_t(0)),
             false);
      Record.line("store: %s writes %s at revision %lld", Machine.c_str(),
                  Key.c_str(), static_cast<long long>(Revision));
    }
    for (const json &Key : Call.value("remove", json::array()))
      change(Key, "", 0, true);
    Changed.notify_all();
    return response(200, Type, json{{"revision", Revision}}.dump());
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::int64_t Revision = 1;
  std::int64_t LastLease = 1000;
  std::map<std::string, item> Items;
  std::vector<event> History;
  std::set<std::string> Silent;
  bool Stopped = false;
  std::vector<std::unique_ptr<server>> Servers;
};

//-----------------------------------------------------------------------------
// Targets
//-----------------------------------------------------------------------------

/// One request that a target began to run.
struct run {
  time_point At;
  std::string Id;
  std::string Path;
  std::string Target; // its instanceId
  std::string Service;
  std::string CallerService;
  bool Failed = false; // answered with 500
};

/// Runs of all targets, in the order of their begin.
class run_list {
public:
  void add(run Run) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Runs.push_back(std::move(Run));
  }
  std::vector<run> all() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Runs;
  }

private:
  std::mutex Mutex;
  std::vector<run> Runs;
};

inline run_list Runs;

struct target_options {
  std::string Machine;
  std::string Service;
  std::string Version = "v1";
  std::string DataCentre;
  endpoint Address; // of the target
  endpoint Control; // of the daemon beside it
  int Slots = 12;
  milliseconds Heartbeat{870};
  milliseconds Work{40};
  /// A request whose path contains this ends the target as it begins to run.
  std::string CrashPath;
  milliseconds DownAfterCrash{2000};
  /// A bad version: while the target has begun more than this many requests in
  /// the last second, every second run fails with 500. 0: never.
  std::size_t FailsAbovePerSecond = 0;
};

class target {
public:
  explicit target(target_options Options) : Options(std::move(Options)) {}
  ~target() { end(); }

  /// Starts a new incarnation under a new name.
  bool start() {
    static std::atomic<int> Count{0};
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      char Text[32];
      std::snprintf(Text, sizeof Text, "i-%08x", 0x51000000U + ++Count);
      Name = Text;
      Born = unixNowMs();
      Sequence = 0;
      State = "ready";
    }
    Ended = false;
    if (!Server.start(Options.Address,
                      [this](connection &Open) { serveConnection(Open); }))
      return false;
    Record.line("target %s of %s starts on %s", Name.c_str(),
                Options.Service.c_str(), Options.Machine.c_str());
    Beats = std::thread([this] { beat(); });
    return true;
  }

  /// Ends the process: closes everything, sends nothing.
  void end() {
    if (Ended.exchange(true))
      return;
    if (Beats.joinable())
      Beats.join();
    Server.stop();
    Record.line("target %s ends", Name.c_str());
  }

  /// Says that it leaves, without having been draining. Returns the time of
  /// the acknowledgement, none when there was none.
  std::optional<time_point> deregister() {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      State = "gone";
    }
    const int Status =
        call("instances.deregister", json{{"born", Born}}.dump());
    Record.say("target %s deregisters: status %d", Name.c_str(), Status);
    if (Status / 100 != 2)
      return std::nullopt;
    return clock_type::now();
  }

  std::string name() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Name;
  }
  const target_options &options() const { return Options; }

  /// Restarts crashed targets; to be called again and again.
  void restartIfDue() {
    if (!Crashed)
      return;
    if (!Ended) {
      end();
      CrashedAt = clock_type::now();
    }
    if (clock_type::now() - CrashedAt >= Options.DownAfterCrash) {
      Crashed = false;
      start();
    }
  }

private:
  int call(const std::string &Call, const std::string &Body) {
    const auto Open = connectTo(Options.Control, milliseconds(300));
    if (!Open)
      return 0;
    message Answer;
    if (!Open->write("POST /api/rpc?call=" + Call + "&of=" + Name +
                     " HTTP/1.1\r\nHost: " + Options.Control.text() +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body) ||
        Open->read(Answer, clock_type::now() + std::chrono::seconds(1)) !=
            read_result::Complete)
      return 0;
    return std::atoi(Answer.word(1).c_str());
  }

  void beat() {
    while (!Ended && !Crashed) {
      json Body;
      bool Speaks = false;
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        Speaks = State != "gone";
        Body = {{"service", Options.Service},
                {"address", Options.Address.text()},
                {"zone", Options.DataCentre},
                {"version", Options.Version},
                {"slots", Options.Slots},
                {"state", State},
                {"coldRemainingMs", 0},
                {"sequence", ++Sequence},
                {"born", Born}};
      }
      if (Speaks)
        call("instances.heartbeat", Body.dump());
      const time_point Next = clock_type::now() + Options.Heartbeat;
      while (!Ended && !Crashed && clock_type::now() < Next)
        pause(milliseconds(20));
    }
  }

  void serveConnection(connection &Open) {
    message Request;
    while (!Crashed && !Ended &&
           Open.read(Request, clock_type::now() + std::chrono::seconds(10)) ==
               read_result::Complete) {
      if (Crashed || Ended)
        return;
      const std::string Id = Request.field("attempt-id");
      const std::string Echo = Id.empty() ? "" : "Attempt-Id: " + Id + "\r\n";
      const std::string Path = Request.word(1);
      if (Path == "/health") {
        if (!Open.write(response(200, "Instance-Id: " + Name + "\r\n", "")))
          return;
        continue;
      }
      const std::string Expected = Request.field("expected-instance");
      if (!Expected.empty() && Expected != Name) {
        if (!Open.write(response(
                421, Echo + "Instance-Id: " + Name + "\r\nNot-Executed: 1\r\n",
                "")))
          return;
        continue;
      }
      if (Id.empty()) {
        if (!Open.write(response(400, "Not-Executed: 1\r\n", "")))
          return;
        continue;
      }
      if (++Running > Options.Slots) {
        --Running;
        if (!Open.write(response(503, Echo + "Not-Executed: 1\r\n", "")))
          return;
        continue;
      }
      const bool Fails = failsUnderLoad();
      Runs.add({clock_type::now(), Id, Path, Name, Options.Service,
                Request.field("caller-service"), Fails});
      Record.line("target %s (%s) runs %s %s, caller %s", Name.c_str(),
                  Options.Service.c_str(), Id.c_str(), Path.c_str(),
                  Request.field("caller-service").c_str());
      if (!Options.CrashPath.empty() &&
          Path.find(Options.CrashPath) != std::string::npos) {
        Record.line("target %s crashes", Name.c_str());
        --Running;
        Crashed = true;
        Server.abort();
        return;
      }
      work(Open, Request);
      --Running;
      if (Crashed || Ended)
        return;
      const std::string Load = std::to_string(Running.load()) + ",0," +
                               std::to_string(Options.Slots);
      if (!Open.write(
              response(Fails ? 500 : 200,
                       Echo + "Response-Signature: sig." + Name + "." + Id +
                           "\r\nServer-Load: " + Load + "\r\n",
                       Options.Service + " " + Options.Version + " " + Path)))
        return;
    }
  }

  bool failsUnderLoad() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Now = clock_type::now();
    Recent.push_back(Now);
    while (Recent.front() < Now - std::chrono::seconds(1))
      Recent.pop_front();
    return Options.FailsAbovePerSecond > 0 &&
           Recent.size() > Options.FailsAbovePerSecond &&
           ++RunsUnderLoad % 2 == 0;
  }

  void work(connection &Open, const message &) {
    const time_point End = clock_type::now() + Options.Work;
    while (clock_type::now() < End && !Crashed && !Ended) {
      if (Open.closedByPeer())
        return;
      pause(std::min<milliseconds>(milliseconds(5), Options.Work));
    }
  }

  target_options Options;
  std::mutex Mutex;
  std::string Name;
  std::string State;
  long long Born = 0;
  long long Sequence = 0;
  std::atomic<bool> Ended{true};
  std::atomic<bool> Crashed{false};
  std::atomic<int> Running{0};
  time_point CrashedAt{};
  std::deque<time_point> Recent; // begins of runs in the last second
  std::size_t RunsUnderLoad = 0;
  std::thread Beats;
  server Server;
};

//-----------------------------------------------------------------------------
// Daemons
//-----------------------------------------------------------------------------

struct machine {
  std::string Name;
  std::string Zone;
  std::string Service;
  std::string Ip;
  int BasePort = 0;
  endpoint StoreAddress;
  pid_t Process = 0;
  time_point ProcessStartedAt{};
  bool WasStarted = false;

  endpoint at(int Offset) const { return {Ip, BasePort + Offset}; }
  endpoint inbound() const { return at(0); }
  endpoint app() const { return at(1); }
  endpoint ready() const { return at(2); }
  endpoint outbound() const { return at(4); }
  endpoint control() const { return at(6); }
  endpoint internal() const { return at(8); }
};

inline bool isFree(const endpoint &Endpoint, int Type) {
  const int Handle = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = socketAddress(Endpoint);
  const bool Free = ::bind(Handle, reinterpret_cast<const sockaddr *>(&Address),
                           sizeof Address) == 0;
  ::close(Handle);
  return Free;
}

/// A small deployment. Its constructor chooses free ports.
class deployment {
public:
  deployment() {
    std::random_device Device;
    Random.seed(Device());
    Folder = std::filesystem::temp_directory_path() /
             ("review-" + std::to_string(::getpid()));
    std::filesystem::create_directories(Folder);
  }
  ~deployment() {
    for (auto &Machine : Machines)
      kill(*Machine, SIGKILL);
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
  }

  machine &add(const std::string &Name, const std::string &Zone,
               const std::string &Service) {
    if (Network == 0)
      Network = 16 + static_cast<int>(Random() % 200);
    auto Machine = std::make_unique<machine>();
    Machine->Name = Name;
    Machine->Zone = Zone;
    Machine->Service = Service;
    const int Index = static_cast<int>(Machines.size());
    Machine->Ip =
        "127." + std::to_string(Network) + ".1." + std::to_string(10 + Index);
    Machine->StoreAddress.Ip =
        "127." + std::to_string(Network) + ".2." + std::to_string(10 + Index);
    Machines.push_back(std::move(Machine));
    return *Machines.back();
  }

  bool choosePorts() {
    for (int Try = 0; Try < 50; ++Try) {
      const int Base = 12000 + static_cast<int>(Random() % 1000) * 20;
      bool AllFree = true;
      for (auto &Machine : Machines) {
        Machine->BasePort = Base;
        Machine->StoreAddress.Port = Base;
        for (int Offset = 0; Offset < 16; ++Offset)
          AllFree = AllFree && isFree(Machine->at(Offset), SOCK_STREAM) &&
                    isFree(Machine->at(Offset), SOCK_DGRAM);
        AllFree = AllFree && isFree(Machine->StoreAddress, SOCK_STREAM);
      }
      if (AllFree)
        return true;
    }
    return false;
  }

  /// Starts the daemon with the command of the deploy file.
  bool start(machine &Machine) {
    const std::filesystem::path Path = Folder / (Machine.Name + ".json");
    std::ofstream(Path) << settings(Machine).dump(2);
    const std::string Boot = "HYSSOPLEDGE_BOOT=" + Path.string();
    const std::string Log = (LogFolder / (Machine.Name + ".log")).string();
    const char *Root = std::getenv("REVIEW_ROOT");
    const std::string WorkingFolder = Root == nullptr ? "." : Root;
    const std::string PathVariable =
        std::string("PATH=") + (std::getenv("PATH") == nullptr
                                    ? "/usr/bin:/bin"
                                    : std::getenv("PATH"));
    const pid_t Parent = ::getpid();
    const pid_t Child = ::fork();
    if (Child == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != Parent || ::chdir(WorkingFolder.c_str()) != 0)
        ::_exit(127);
      const int Output =
          ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Output, 1);
      ::dup2(Output, 2);
      char Program[] = "target/apps/hyssop_mesh/hyssop_mesh";
      char *Arguments[] = {Program, nullptr};
      char *Environment[] = {const_cast<char *>(Boot.c_str()),
                             const_cast<char *>(PathVariable.c_str()), nullptr};
      ::execve(Program, Arguments, Environment);
      ::_exit(127);
    }
    Machine.Process = Child;
    Machine.ProcessStartedAt = clock_type::now();
    Machine.WasStarted = true;
    Record.line("daemon %s starts, process %d", Machine.Name.c_str(), Child);
    return Child > 0;
  }

  /// Sends the signal; after SIGKILL, waits for the end of the process.
  void kill(machine &Machine, int Signal) {
    if (Machine.Process <= 0)
      return;
    Record.line("daemon %s gets signal %d", Machine.Name.c_str(), Signal);
    ::kill(Machine.Process, Signal);
    if (Signal != SIGKILL)
      return;
    ::waitpid(Machine.Process, nullptr, 0);
    Machine.Process = 0;
  }

  /// SIGTERM, and SIGKILL after the grace time, as the platform does.
  void stop(machine &Machine) {
    kill(Machine, SIGTERM);
    const time_point Limit = clock_type::now() + std::chrono::seconds(GraceS);
    while (clock_type::now() < Limit) {
      if (::waitpid(Machine.Process, nullptr, WNOHANG) == Machine.Process) {
        Record.line("daemon %s has ended", Machine.Name.c_str());
        Machine.Process = 0;
        return;
      }
      pause(milliseconds(20));
    }
    kill(Machine, SIGKILL);
  }

  /// Returns the machines whose process ended by itself.
  std::vector<std::string> endedByThemselves() {
    std::vector<std::string> Names;
    for (auto &Machine : Machines)
      if (Machine->Process > 0 &&
          ::waitpid(Machine->Process, nullptr, WNOHANG) == Machine->Process) {
        Machine->Process = 0;
        Names.push_back(Machine->Name);
      }
    return Names;
  }

  json settings(const machine &Machine) const {
    json Zones = json::object();
    for (const auto &Other : Machines)
      Zones[Other->Zone] = "r-one";
    return {{"nodeName", Machine.Name},
            {"role", "mesh"},
            {"machineClass", "sidecar"},
            {"serves", {"sidecar"}},
            {"ip", Machine.Ip},
            {"zone", Machine.Zone},
            {"region", "r-one"},
            {"zones", Zones},
            {"listen",
             {{"inbound", Machine.inbound().text()},
              {"outbound", Machine.outbound().text()},
              {"ready", Machine.ready().text()},
              {"control", Machine.control().text()}}},
            {"internalPortRange",
             {Machine.internal().Port, Machine.internal().Port + 7}},
            {"seedNodes", json::array()},
            {"bootstrap", !Machine.WasStarted},
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
            {"heartbeatMs", 870},
            {"contracts",
             {"base", "drain", "config", "cost", "retry", "recover", "rollout",
              "platform"}},
            {"faultTolerance", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
            {"bounds",
             {"seedLagS=3", "reuseAfterS=2", "contactMs=3000", "ackMs=4000",
              "catchUpS=4", "drainMs=2000", "graceS=6", "lossSlackMs=200",
              "configApplyMs=2000", "rollbackSlackMs=250", "maxStretchMs=5000",
              "retryBudgetRatio=0.2", "budgetWindowS=10", "retryBudgetSlack=60",
              "exposureShare=0.1", "exposureSlack=50", "rollbackMs=5000",
              "recoveryS=15"}},
            {"appAddress", Machine.app().text()},
            {"service", Machine.Service},
            {"platform",
             {{"address", Machine.StoreAddress.text()},
              {"form", "kv"},
              {"writesPerS", 400},
              {"readsPerS", 2000},
              {"historyS", 20},
              {"valueBytes", 1048576},
              {"minTtlMs", 1000}}}};
  }

  std::vector<std::unique_ptr<machine>> Machines;
  std::filesystem::path LogFolder; // of the daemons' logs
  static constexpr int GraceS = 6;

private:
  std::mt19937 Random;
  int Network = 0;
  std::filesystem::path Folder;
};

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

struct answer {
  std::string Id;
  time_point SentAt;
  int Status = 0; // 0: no complete answer
  message Response;
};

inline std::string newAttemptId() {
  static std::atomic<std::uint64_t> Count{0};
  char Text[32];
  std::snprintf(Text, sizeof Text, "%08x%08llx", 0x9c41d07bU,
                static_cast<unsigned long long>(++Count));
  return Text;
}

/// Sends one request on the connection and waits for its answer.
inline answer exchange(connection &Open, const machine &Machine,
                       const std::string &Method, const std::string &Host,
                       const std::string &Path, milliseconds Deadline,
                       const std::string &Body = "") {
  answer Out;
  Out.Id = newAttemptId();
  Out.SentAt = clock_type::now();
  std::string Text = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                     "\r\nAttempt-Id: " + Out.Id +
                     "\r\nDeadline-Ms: " + std::to_string(Deadline.count()) +
                     "\r\n";
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  if (Open.write(Text + "\r\n" + Body) &&
      Open.read(Out.Response, Out.SentAt + Deadline) == read_result::Complete)
    Out.Status = std::atoi(Out.Response.word(1).c_str());
  Record.line("client: %s %s at %s: %d after %lld ms %s", Out.Id.c_str(),
              Path.c_str(), Machine.Name.c_str(), Out.Status,
              sinceStartMs() - sinceStartMs(Out.SentAt),
              Out.Response.field("x-hyssop-reason").c_str());
  return Out;
}

/// Sends one request on a new connection and waits for its answer.
inline answer send(const machine &Machine, const std::string &Method,
                   const std::string &Host, const std::string &Path,
                   milliseconds Deadline, const std::string &Body = "") {
  const auto Open = connectTo(Machine.outbound(), milliseconds(1000));
  if (Open)
    return exchange(*Open, Machine, Method, Host, Path, Deadline, Body);
  Record.line("client: %s at %s: no connection", Path.c_str(),
              Machine.Name.c_str());
  answer Out;
  Out.Id = newAttemptId();
  Out.SentAt = clock_type::now();
  return Out;
}

inline bool isReady(const machine &Machine) {
  const auto Open = connectTo(Machine.ready(), milliseconds(300));
  message Answer;
  return Open &&
         Open->write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
         Open->read(Answer, clock_type::now() + std::chrono::seconds(1)) ==
             read_result::Complete &&
         Answer.word(1) == "200";
}

inline bool awaitReady(const std::vector<machine *> &Machines,
                       milliseconds Timeout) {
  const time_point Limit = clock_type::now() + Timeout;
  for (machine *Machine : Machines)
    while (!isReady(*Machine)) {
      if (clock_type::now() >= Limit)
        return false;
      pause(milliseconds(100));
    }
  return true;
}

inline json route(const std::string &Name, const std::string &Prefix,
                  const std::string &Kind, const std::string &Service,
                  int MaxAttempts) {
  return {{"name", Name},       {"prefix", Prefix},          {"kind", Kind},
          {"timeoutMs", 3000},  {"sloLatencyMs", 500},       {"priority", 1},
          {"service", Service}, {"maxAttempts", MaxAttempts}};
}

inline json configuration(int Version, const std::vector<std::string> &Services,
                          const std::string &Host,
                          const std::vector<json> &Routes) {
  json List = json::array();
  for (const std::string &Name : Services)
    List.push_back({{"name", Name},
                    {"healthPath", "/health"},
                    {"maxConnections", 120},
                    {"protocol", "h1"},
                    {"tls", false}});
  json VirtualHost;
  VirtualHost["host"] = Host;
  VirtualHost["paths"] = Routes;
  return {{"version", Version},
          {"services", List},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"virtualHosts", json::array({VirtualHost})}};
}

/// Whether the script runs with its disruption.
inline bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

// Exit codes of a script.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

} // namespace review
