/// \file
/// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
/// Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using ms = std::int64_t;

inline ms nowMs() {
  using namespace std::chrono;
  static const auto Start = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - Start).count();
}
inline ms unixMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}
inline void sleepMs(ms Time) {
  if (Time > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}
inline void sleepUntil(ms At) { sleepMs(At - nowMs()); }

/// record.txt: what was sent, answered and run, with the time since the start.
class record {
public:
  void open(const std::string &Path) {
    File = std::fopen(Path.c_str(), "w");
    if (File == nullptr)
      throw std::runtime_error("can't write " + Path);
  }
  void line(const std::string &Text, bool Print = false) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const ms T = nowMs();
    char Time[32];
    std::snprintf(Time, sizeof Time, "%8.3f ", static_cast<double>(T) / 1000);
    if (File != nullptr) {
      std::fputs((Time + Text + "\n").c_str(), File);
      std::fflush(File);
    }
    if (Print)
      std::printf("%s%s\n", Time, Text.c_str()), std::fflush(stdout);
  }

private:
  std::mutex Mutex;
  std::FILE *File = nullptr;
};
inline record Record;
inline void say(const std::string &Text) { Record.line(Text, true); }

struct endpoint {
  std::string Ip;
  int Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

inline sockaddr_in addressOf(const endpoint &At) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(At.Port));
  ::inet_pton(AF_INET, At.Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// Returns a free TCP and UDP port that begins a free range of Count ports.
inline int freePorts(const std::string &Ip, int Count = 1) {
  static int Next = 21000 + static_cast<int>(::getpid() % 17000);
  for (int Tries = 0; Tries < 3000; ++Tries) {
    const int First = Next;
    Next += Count;
    if (Next > 60000)
      Next = 21000;
    bool Free = true;
    for (int I = 0; I < Count && Free; ++I)
      for (const int Kind : {SOCK_STREAM, SOCK_DGRAM}) {
        const int Socket = ::socket(AF_INET, Kind, 0);
        const sockaddr_in Address = addressOf({Ip, First + I});
        Free =
            Free && ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
                           sizeof Address) == 0;
        ::close(Socket);
      }
    if (Free)
      return First;
  }
  throw std::runtime_error("no free ports on " + Ip);
}

/// One connection.
class connection {
public:
  explicit connection(int Socket) : Socket(Socket) {
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  static std::unique_ptr<connection> open(const endpoint &To) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in Address = addressOf(To);
    if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof Address) != 0) {
      ::close(Socket);
      return nullptr;
    }
    return std::make_unique<connection>(Socket);
  }
  bool send(const std::string &Bytes) const {
    std::size_t Sent = 0;
    while (Sent < Bytes.size()) {
      const auto N = ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                            MSG_NOSIGNAL);
      if (N <= 0)
        return false;
      Sent += static_cast<std::size_t>(N);
    }
    return true;
  }
  /// Reads more bytes. False: closed, reset, or nothing by the time.
  bool fill(ms Until) {
    pollfd Poll{Socket, POLLIN, 0};
    const ms Left = std::max<ms>(0, Until - nowMs());
    if (::poll(&Poll, 1, static_cast<int>(Left)) <= 0) {
      TimedOut = true;
      return false;
    }
    char Bytes[16384];
    const auto N = ::recv(Socket, Bytes, sizeof Bytes, 0);
    if (N <= 0) {
      Reset = N < 0;
      Closed = true;
      return false;
    }
    Buffer.append(Bytes, static_cast<std::size_t>(N));
    return true;
  }
  /// Whether the peer has closed; does not take bytes away.
  bool closedByPeer() const {
    pollfd Poll{Socket, POLLIN | POLLRDHUP, 0};
    return ::poll(&Poll, 1, 0) > 0 &&
           (Poll.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  void close() {
    if (Socket >= 0)
      ::close(Socket);
    Socket = -1;
  }
  void shutdown() const { ::shutdown(Socket, SHUT_RDWR); }

  int Socket;
  std::string Buffer;
  bool Closed = false;
  bool Reset = false;
  bool TimedOut = false;
};

struct message {
  std::string Start; // request or status line
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (::strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }
  bool has(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (::strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return true;
    return false;
  }
  std::string method() const { return Start.substr(0, Start.find(' ')); }
  std::string target() const {
    const auto At = Start.find(' ') + 1;
    return Start.substr(At, Start.find(' ', At) - At);
  }
  int status() const {
    return Start.size() > 12 ? std::atoi(Start.c_str() + 9) : 0;
  }
};

/// Reads one message with a length or in chunks.
inline std::optional<message> readMessage(connection &From, ms Until,
                                          bool NoBody = false) {
  std::size_t End = 0;
  while ((End = From.Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!From.fill(Until))
      return std::nullopt;
  message Out;
  const std::string Head = From.Buffer.substr(0, End + 2);
  From.Buffer.erase(0, End + 4);
  std::size_t At = Head.find("\r\n");
  Out.Start = Head.substr(0, At);
  for (At += 2; At < Head.size();) {
    const std::size_t Stop = Head.find("\r\n", At);
    const std::string Line = Head.substr(At, Stop - At);
    At = Stop + 2;
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Colon + 1;
    while (Value < Line.size() && Line[Value] == ' ')
      ++Value;
    Out.Fields.emplace_back(Line.substr(0, Colon), Line.substr(Value));
  }
  if (NoBody)
    return Out;
  const auto Need = [&](std::size_t Bytes) {
    while (From.Buffer.size() < Bytes)
      if (!From.fill(Until))
        return false;
    return true;
  };
  if (::strcasecmp(Out.field("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (true) {
      std::size_t Line = 0;
      while ((Line = From.Buffer.find("\r\n")) == std::string::npos)
        if (!From.fill(Until))
          return std::nullopt;
      const std::size_t Size = std::strtoul(From.Buffer.c_str(), nullptr, 16);
      From.Buffer.erase(0, Line + 2);
      if (!Need(Size + 2))
        return std::nullopt;
      Out.Body += From.Buffer.substr(0, Size);
      From.Buffer.erase(0, Size + 2);
      if (Size == 0)
        return Out;
    }
  }
  const std::size_t Length =
      std::strtoul(Out.field("Content-Length").c_str(), nullptr, 10);
  if (!Need(Length))
    return std::nullopt;
  Out.Body = From.Buffer.substr(0, Length);
  From.Buffer.erase(0, Length);
  return Out;
}

inline std::string
formatMessage(const std::string &Start,
              const std::vector<std::pair<std::string, std::string>> &Fields,
              const std::string &Body) {
  std::string Out = Start + "\r\n";
  for (const auto &[Name, Value] : Fields)
    Out += Name + ": " + Value + "\r\n";
  Out += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return Out + Body;
}
inline std::string formatResponse(int Status, const std::string &Body) {
  return formatMessage("HTTP/1.1 " + std::to_string(Status) + " X",
                       {{"Content-Type", "application/json"}}, Body);
}

/// A server with a thread for each connection. The handler serves one request
/// and returns whether the connection is kept.
class server {
public:
  using handler = std::function<bool(connection &, const message &)>;
  server(const endpoint &At, handler Handler)
      : Handler(std::move(Handler)),
        Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    const int On = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    const sockaddr_in Address = addressOf(At);
    if (::bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
               sizeof Address) != 0 ||
        ::listen(Listener, 512) != 0)
      throw std::runtime_error("can't listen on " + At.text());
    std::thread([this] { accept(); }).detach();
  }
  /// Stops listening and closes the open connections.
  void stop() {
    Stopped = true;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      for (const int Socket : Open)
        ::shutdown(Socket, SHUT_RDWR);
    }
    ::shutdown(Listener, SHUT_RDWR);
    ::close(Listener);
  }

private:
  void accept() {
    while (!Stopped) {
      const int Socket = ::accept(Listener, nullptr, nullptr);
      if (Socket < 0) {
        if (Stopped)
          return;
        sleepMs(1);
        continue;
      }
      std::thread([this, Socket] {
        connection Connection(Socket);
        {
          const std::lock_guard<std::mutex> Lock(Mutex);
          Open.insert(Socket);
        }
        while (!Stopped) {
          const auto Request = readMessage(Connection, nowMs() + 3'600'000);
          if (!Request || Stopped || !Handler(Connection, *Request))
            break;
        }
        const std::lock_guard<std::mutex> Lock(Mutex);
        Open.erase(Socket);
      }).detach();
    }
  }
  handler Handler;
  int Listener;
  std::atomic<bool> Stopped{false};
  std::mutex Mutex;
  std::set<int> Open;
};

} // namespace rig
