/// \file
/// Test fixture on loopback: a scripted HTTP upstream, a blocking caller and
/// the data plane of a daemon.
#pragma once

#include "hyssopledge/transport/data_plane.h"
#include "hyssopledge/transport/message_parser.h"

#include <array>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hyssopledge::tests {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using transport::http_request;
using transport::http_response;

// Long enough for a loaded machine; only failing tests wait this long.
constexpr std::chrono::seconds TestTimeout{20};

/// Thread-safe queue from upstream and daemon threads to the test.
template <class T> class blocking_queue {
public:
  void push(T Value) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Values.push_back(std::move(Value));
    Changed.notify_all();
  }
  /// Returns the next value, none when the timeout expires first.
  std::optional<T> pop(std::chrono::milliseconds Timeout = TestTimeout) {
    std::unique_lock<std::mutex> Lock(Mutex);
    if (!Changed.wait_for(Lock, Timeout, [&] { return !Values.empty(); }))
      return std::nullopt;
    T Value = std::move(Values.front());
    Values.pop_front();
    return Value;
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<T> Values;
};

/// Event that stays set. wait() returns false after TestTimeout.
class one_shot_event {
public:
  void set() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    IsSet = true;
    Changed.notify_all();
  }
  bool wait() {
    std::unique_lock<std::mutex> Lock(Mutex);
    return Changed.wait_for(Lock, TestTimeout, [&] { return IsSet; });
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsSet = false;
};

//-----------------------------------------------------------------------------
// Upstream
//-----------------------------------------------------------------------------

/// Server side of one connection, used by a script. All calls block.
class upstream_connection {
public:
  upstream_connection(tcp::socket Socket, unsigned Number)
      : Number(Number), Socket(std::move(Socket)) {}

  /// Returns the next request, none when the peer has closed the connection.
  std::optional<http_request> read() {
    http_request Request;
    boost::system::error_code Error;
    transport::request_parser Parser;
    Parser.setHeaderLimit(MaxHeaderBytes);
    Parser.body_limit(64 * 1024 * 1024);
    http::read(Socket, Buffer, Parser, Error);
    if (Error)
      return std::nullopt;
    return Parser.release();
  }
  /// Reads the head of the next request and leaves its body to the kernel.
  bool readHead() {
    boost::system::error_code Error;
    transport::request_parser Parser;
    Parser.setHeaderLimit(MaxHeaderBytes);
    Parser.body_limit(64 * 1024 * 1024);
    http::read_header(Socket, Buffer, Parser, Error);
    return !Error;
  }
  /// Reads until the received bytes end with End. Returns them as they are;
  /// empty when the peer closes the connection before.
  std::string readUntil(const std::string &End) {
    std::string Text;
    std::array<char, 64 * 1024> Bytes;
    boost::system::error_code Error;
    while (!Text.ends_with(End)) {
      const std::size_t Size = Socket.read_some(asio::buffer(Bytes), Error);
      if (Error)
        return {};
      Text.append(Bytes.data(), Size);
    }
    return Text;
  }
  void send(const std::string &Bytes) {
    boost::system::error_code Ignored;
    asio::write(Socket, asio::buffer(Bytes), Ignored);
  }
  /// Returns false when the peer has closed the connection.
  bool trySend(const std::string &Bytes) {
    boost::system::error_code Error;
    asio::write(Socket, asio::buffer(Bytes), Error);
    return !Error;
  }
  /// Sends a complete response. Fields are header lines, each with its line
  /// end.
  void respond(const std::string &Body, unsigned Status = 200,
               const std::string &Fields = "") {
    send("HTTP/1.1 " + std::to_string(Status) + " X\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n" + Fields + "\r\n" + Body);
  }
  /// Waits for the peer and returns true when it closes without sending more.
  bool awaitClose() {
    char Byte = 0;
    boost::system::error_code Error;
    return Socket.read_some(asio::buffer(&Byte, 1), Error) == 0 && Error;
  }
  /// Ends the connection in the direction of the peer only.
  void shutdownSend() {
    boost::system::error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  }
  /// Discards what the peer sends until it closes the connection.
  void drain() {
    std::array<char, 64 * 1024> Bytes;
    boost::system::error_code Error;
    while (!Error)
      Socket.read_some(asio::buffer(Bytes), Error);
  }
  void close() {
    boost::system::error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_both, Ignored);
    Socket.close(Ignored);
  }
  /// Closes the connection with a reset.
  void reset() {
    boost::system::error_code Ignored;
    Socket.set_option(tcp::socket::linger(true, 0), Ignored);
    Socket.close(Ignored);
  }

  const unsigned Number; // 0 for the first connection of the upstream

private:
  friend class scripted_upstream;
  static constexpr std::uint32_t MaxHeaderBytes = 1024 * 1024;
  tcp::socket Socket;
  beast::flat_buffer Buffer;
};

/// Runs the script on a thread for each connection and closes the connection
/// when the script returns.
class scripted_upstream {
public:
  using script = std::function<void(upstream_connection &)>;

  explicit scripted_upstream(script Script)
      : Script(std::move(Script)),
        Acceptor(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Address("127.0.0.1:" +
                std::to_string(Acceptor.local_endpoint().port())),
        Thread([this] { accept(); }) {}
  ~scripted_upstream() {
    stopListening();
    closeConnections();
    for (std::thread &Worker : Workers)
      Worker.join();
  }

  const std::string &address() const { return Address; }

  /// Closes the listening socket, so that new connections are refused.
  void stopListening() {
    if (!Thread.joinable())
      return;
    ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
    Thread.join();
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
  }
  void closeConnections() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &Connection : Connections)
      ::shutdown(Connection->Socket.native_handle(), SHUT_RDWR);
  }
  void closeConnection(unsigned Number) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ::shutdown(Connections.at(Number)->Socket.native_handle(), SHUT_RDWR);
  }
  unsigned connections() const { return Count; } // accepted so far

private:
  void accept() {
    while (true) {
      boost::system::error_code Error;
      tcp::socket Socket(Context);
      Acceptor.accept(Socket, Error);
      if (Error)
        return;
      auto Connection =
          std::make_shared<upstream_connection>(std::move(Socket), Count++);
      const std::lock_guard<std::mutex> Lock(Mutex);
      Connections.push_back(Connection);
      Workers.emplace_back([this, Connection] {
        Script(*Connection);
        ::shutdown(Connection->Socket.native_handle(), SHUT_RDWR);
      });
    }
  }

  script Script;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::string Address;
  std::atomic<unsigned> Count{0};
  std::mutex Mutex;
  std::vector<std::shared_ptr<upstream_connection>> Connections;
  std::vector<std::thread> Workers;
  std::thread Thread;
};

//-----------------------------------------------------------------------------
// Caller
//-----------------------------------------------------------------------------

inline tcp::endpoint endpointOf(const std::string &Address) {
  return transport::parseEndpoint(Address).value();
}

inline http_request makeRequest(http::verb Method, const std::string &Path,
                                const std::string &Body = "") {
  http_request Request(Method, Path, 11);
  Request.set(http::field::host, "test");
  Request.body() = Body;
  Request.prepare_payload();
  return Request;
}

class blocking_caller {
public:
  explicit blocking_caller(const std::string &Address) : Socket(Context) {
    Socket.connect(endpointOf(Address));
  }
  void send(const http_request &Request) { http::write(Socket, Request); }
  void sendRaw(const std::string &Bytes) {
    boost::system::error_code Ignored;
    asio::write(Socket, asio::buffer(Bytes), Ignored);
  }
  /// Waits until a response begins or the connection ends.
  void awaitResponse() { Socket.wait(asio::ip::tcp::socket::wait_read); }
  /// Returns the next response; status 0 when the connection ends before it.
  http_response receive() {
    transport::response_parser Parser;
    // More than that of a response of the limit, as daemons add fields.
    Parser.setHeaderLimit(2 * transport::MaxHeaderBytes);
    Parser.body_limit(64 * 1024 * 1024);
    boost::system::error_code Error;
    http::read(Socket, Buffer, Parser, Error);
    if (!Error)
      return Parser.release();
    http_response None;
    None.result(0);
    return None;
  }
  /// Returns the response to a HEAD request.
  http_response receiveHead() {
    transport::response_parser Parser;
    Parser.skip(true);
    http::read(Socket, Buffer, Parser);
    return Parser.release();
  }
  http_response call(const http_request &Request) {
    send(Request);
    return receive();
  }
  /// Ends the connection in the direction of the peer only.
  void shutdownSend() { Socket.shutdown(tcp::socket::shutdown_send); }
  void close() { Socket.close(); }

private:
  asio::io_context Context;
  tcp::socket Socket;
  beast::flat_buffer Buffer;
};

inline http_response callOnce(const std::string &Address,
                              const http_request &Request) {
  return blocking_caller(Address).call(Request);
}

/// Sends the request on Count connections, of which none is read before all
/// have a response, and calls AfterEach after each. Returns the responses.
template <class F>
std::vector<http_response> callAndReadLate(const std::string &Address,
                                           const http_request &Request,
                                           std::size_t Count, F AfterEach) {
  std::vector<std::unique_ptr<blocking_caller>> Callers;
  for (std::size_t I = 0; I < Count; ++I) {
    Callers.push_back(std::make_unique<blocking_caller>(Address));
    Callers.back()->send(Request);
    Callers.back()->awaitResponse();
    AfterEach();
  }
  std::vector<http_response> Responses;
  Responses.reserve(Count);
  for (const auto &Caller : Callers)
    Responses.push_back(Caller->receive());
  return Responses;
}

//-----------------------------------------------------------------------------
// Daemon
//-----------------------------------------------------------------------------

/// A data plane with its dependencies. Options and hooks may be changed before
/// start().
class test_daemon {
public:
  explicit test_daemon(const std::string &Instance)
      : Picker(state::makeTwoChoicePicker(Stats)), Metrics(Instance) {
    Options.Metrics = &Metrics;
    Options.Instance = Instance;
    Options.Address = "127.0.0.1:0";
    Hooks.OnAnnouncement = [this](const auto &Announcement) {
      if (Announcement)
        Announced.set();
    };
    Hooks.OnAttempt = [this](const state::attempt_report &Report) {
      Attempts.push(Report);
    };
    Hooks.OnCrash = [this](std::vector<state::crash_sighting> Sightings) {
      Crashes.push(std::move(Sightings));
    };
  }
  ~test_daemon() { stop(); }

  void start() {
    Plane = std::move(transport::data_plane::open(
                          Options, {View, Stats, *Picker, Budget}, Hooks)
                          .value());
  }
  void stop() {
    KeepAnnouncing = false;
    if (Announcer.joinable())
      Announcer.join();
    Plane.reset();
  }
  std::string address() const { return Plane->address(); }

  /// Changes the announced slots and announces them at once.
  void setSlots(std::uint32_t Slots) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Announcement.Slots = Slots;
    }
    announceNow();
  }
  /// Waits until the metrics show this number of queued requests.
  bool awaitQueued(unsigned Queued) {
    const std::string Line = "hyssop_admission_queued{instance=\"" +
                             Options.Instance + "\"} " +
                             std::to_string(Queued) + "\n";
    const auto End = std::chrono::steady_clock::now() + TestTimeout;
    while (Metrics.text().find(Line) == std::string::npos) {
      if (std::chrono::steady_clock::now() > End)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
  }

  /// Announces an upstream of service "reservations" until stop().
  void announce(const std::string &Address, std::uint32_t Slots = 12) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Announcement = {"reservations", "v1", Address, Slots, false};
    }
    announceNow();
    REQUIRE(Announced.wait());
    if (Announcer.joinable())
      return;
    Announcer = std::thread([this] {
      while (KeepAnnouncing) {
        announceNow();
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
      }
    });
  }

  void publish(state::routing_view Next) {
    Stats.update(*Next.Targets);
    View.publish(std::make_shared<const state::routing_view>(std::move(Next)));
  }

  state::routing_view_cell View;
  state::target_stats_registry Stats;
  std::unique_ptr<state::picker> Picker;
  state::retry_budget Budget{1.0, 1000};
  transport::data_plane_options Options;
  transport::data_plane_hooks Hooks;
  transport::metrics Metrics;
  blocking_queue<state::attempt_report> Attempts;
  blocking_queue<std::vector<state::crash_sighting>> Crashes;
  std::unique_ptr<transport::data_plane> Plane;

private:
  void announceNow() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Plane->announce(Announcement);
  }

  std::mutex Mutex;
  state::upstream_announcement Announcement;
  one_shot_event Announced;
  std::atomic<bool> KeepAnnouncing{true};
  std::thread Announcer;
};

/// Returns a document with the routes /book (not idempotent) and /look
/// (idempotent) of service "reservations", version v1.
inline state::document testDocument(state::milliseconds Timeout) {
  state::document Document;
  Document.Environment = "test";
  state::service_spec Service;
  Service.Name = "reservations";
  Service.Versions = {"v1"};
  Service.StableVersion = "v1";
  Document.Services = {Service};
  state::route_spec Book;
  Book.Name = "book";
  Book.PathPrefix = "/book";
  Book.Service = "reservations";
  Book.Timeout = Timeout;
  state::route_spec Look = Book;
  Look.Name = "look";
  Look.PathPrefix = "/look";
  Look.Idempotent = true;
  Document.Routes = {Book, Look};
  return Document;
}

inline state::routing_view
testView(const std::vector<std::string> &DataAddresses,
         state::milliseconds Timeout = std::chrono::seconds(10)) {
  state::routing_view View;
  View.Snapshot = state::buildSnapshot(1, "", testDocument(Timeout)).value();
  state::target_table Table;
  for (const std::string &Address : DataAddresses) {
    state::target_record Target;
    Target.Instance = "target-" + std::to_string(Table.Targets.size());
    Target.DataCentre = "dc1";
    Target.Address = Address;
    Target.Service = "reservations";
    Target.Version = "v1";
    Target.Slots = 12;
    Table.Targets.push_back(Target);
  }
  View.Targets = std::make_shared<const state::target_table>(Table);
  return View;
}

/// An entry daemon and one target daemon with a scripted upstream.
struct one_hop {
  explicit one_hop(scripted_upstream::script Script,
                   state::milliseconds Timeout = std::chrono::seconds(10))
      : Upstream(std::move(Script)) {
    Target.start();
    Target.publish(testView({}, Timeout));
    Target.announce(Upstream.address());
    Entry.start();
    Entry.publish(testView({Target.address()}, Timeout));
  }
  http_response call(const http_request &Request) {
    return callOnce(Entry.address(), Request);
  }

  scripted_upstream Upstream;
  test_daemon Target{"target-0"};
  test_daemon Entry{"entry-0"};
};

} // namespace hyssopledge::tests
