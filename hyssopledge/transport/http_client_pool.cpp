#include "hyssopledge/transport/http_client_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <deque>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace hyssopledge::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using state::boot_clock;

struct http_client_pool::connection {
  explicit connection(asio::io_context &Context) : Socket(Context) {}

  /// False when the peer has closed, or has sent bytes that nobody asked for.
  bool usable() {
    char Byte = 0;
    return ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) <
               0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  tcp::socket Socket;
  beast::flat_buffer Buffer;
  state::time_point IdleSince{};
  boot_clock::duration IdleLimit{}; // from IdleSince on
};

namespace {

// Sent while the peer still holds the connection open, so that the request
// does not cross its close.
constexpr std::chrono::seconds IdleMargin{1};
// Smaller requests are written whole before an answer is looked for.
constexpr std::size_t SmallBodyBytes = 32 * 1024;

/// How long the server keeps the connection when idle, by its Keep-Alive field.
std::optional<std::chrono::seconds>
keepAliveTimeout(const http_response &Response) {
  const std::string_view Value = fieldValue(Response, "Keep-Alive");
  constexpr std::string_view Name = "timeout=";
  const std::size_t At = Value.find(Name);
  if (At == std::string_view::npos)
    return std::nullopt;
  unsigned Seconds = 0;
  const char *Begin = Value.data() + At + Name.size();
  if (std::from_chars(Begin, Value.data() + Value.size(), Seconds).ec !=
      std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

/// Gives up a connection whose peer acknowledges nothing.
void limitSilence(tcp::socket &Socket, std::chrono::seconds Limit) {
  const int Handle = Socket.native_handle();
  const int On = 1;
  const int Probes = 2;
  const int Seconds = std::max<int>(1, static_cast<int>(Limit.count()) - 1);
  const auto Milliseconds = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Limit).count());
  ::setsockopt(Handle, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &Seconds, sizeof Seconds);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &On, sizeof On);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof Probes);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Milliseconds,
               sizeof Milliseconds);
}

} // namespace

struct http_client_pool::core : std::enable_shared_from_this<core> {
  core(asio::io_context &Context, client_pool_options Options)
      : Context(Context), Options(Options), Sweep(Context) {}

  std::unique_ptr<connection> take(const std::string &Address) {
    const auto Found = Idle.find(Address);
    if (Found == Idle.end())
      return nullptr;
    auto &Kept = Found->second;
    const state::time_point Now = boot_clock::now();
    while (!Kept.empty()) {
      // The latest used is the least likely to be closed by the peer.
      std::unique_ptr<connection> Connection = std::move(Kept.back());
      Kept.pop_back();
      const auto Idle = Now - Connection->IdleSince;
      if (Idle < Connection->IdleLimit && Connection->usable())
        return Connection;
    }
    return nullptr;
  }

  void keep(const std::string &Address, std::unique_ptr<connection> Connection,
            std::optional<std::chrono::seconds> PeerLimit) {
    Connection->IdleLimit = Options.IdleTimeout;
    if (PeerLimit)
      Connection->IdleLimit = std::min<boot_clock::duration>(
          Options.IdleTimeout, *PeerLimit - IdleMargin);
    if (Connection->IdleLimit <= boot_clock::duration::zero())
      return;
    Connection->Buffer.shrink_to_fit(); // many idle ones would hold it
    auto &Kept = Idle[Address];
    Connection->IdleSince = boot_clock::now();
    Kept.push_back(std::move(Connection));
    if (Kept.size() > Options.MaxIdlePerAddress)
      Kept.pop_front();
    if (!Sweeping)
      sweep();
  }

  /// Closes what has been idle for too long; runs while anything is idle.
  void sweep() {
    Sweeping = true;
    Sweep.expires_after(Options.IdleTimeout / 2);
    Sweep.async_wait([Weak = weak_from_this()](const error_code &Error) {
      const auto Self = Weak.lock();
      if (Error || !Self)
        return;
      const state::time_point Oldest =
          boot_clock::now() - Self->Options.IdleTimeout;
      for (auto It = Self->Idle.begin(); It != Self->Idle.end();) {
        auto &Kept = It->second;
        while (!Kept.empty() && Kept.front()->IdleSince < Oldest)
          Kept.pop_front();
        It = Kept.empty() ? Self->Idle.erase(It) : std::next(It);
      }
      Self->Sweeping = false;
      if (!Self->Idle.empty())
        Self->sweep();
    });
  }

  asio::io_context &Context;
  client_pool_options Options;
  asio::steady_timer Sweep;
  bool Sweeping = false;
  std::unordered_map<std::string, std::deque<std::unique_ptr<connection>>> Idle;
};

class http_client_pool::exchange final
    : public client_exchange,
      public std::enable_shared_from_this<exchange> {
public:
  exchange(std::shared_ptr<core> Core, std::string Address,
           http_request Request, state::time_point Deadline, handler Handler,
           send_options Options)
      : Core(std::move(Core)), Address(std::move(Address)),
        Request(std::move(Request)), Deadline(Deadline),
        Handler(std::move(Handler)), Options(std::move(Options)),
        Timer(this->Core->Context) {}

  void start() {
    const auto Endpoint = parseEndpoint(Address);
    if (Endpoint.has_error())
      return finishLater(exchange_cause::Connect, Endpoint.error().Detail);
    const auto Left = Deadline - boot_clock::now();
    if (Left <= boot_clock::duration::zero())
      return finishLater(exchange_cause::Timeout, "the deadline has passed");
    Connection = Core->take(Address);
    if (Connection) {
      startTimer(Left);
      return write();
    }
    startTimer(
        std::min<boot_clock::duration>(Left, Core->Options.ConnectTimeout));
    Connection = std::make_unique<connection>(Core->Context);
    Connection->Socket.async_connect(
        Endpoint.value(), [Self = shared_from_this()](const error_code &Error) {
          if (Self->Done)
            return;
          if (Error)
            return Self->finish(exchange_cause::Connect,
                                "connect to " + Self->Address + ": " +
                                    Error.message());
          error_code Ignored;
          Self->Connection->Socket.set_option(tcp::no_delay(true), Ignored);
          if (const auto Limit = Self->Core->Options.UnackedTimeout;
              Limit.count() > 0)
            limitSilence(Self->Connection->Socket, Limit);
          Self->startTimer(Self->Deadline - boot_clock::now());
          Self->write();
        });
  }

  void cancel() override {
    if (!Done)
      finishLater(exchange_cause::Cancelled, "cancelled");
  }

private:
  void startTimer(boot_clock::duration Left) {
    Timer.expires_after(Left);
    Timer.async_wait([Weak = weak_from_this()](const error_code &Error) {
      const auto Self = Weak.lock();
      if (Error || !Self || Self->Done)
        return;
      // A connection that is not opened in its time says that the peer is gone,
      // while the request has time left.
      if (!Self->Written && boot_clock::now() < Self->Deadline)
        return Self->finish(exchange_cause::Connect,
                            "no connection to " + Self->Address + " in time");
      Self->finish(exchange_cause::Timeout,
                   "no whole answer from " + Self->Address + " in time");
    });
  }

  void write() {
    // Until the write reports how much was written, an end counts as Unknown.
    Written = true;
    const bool Long = Request.body().size() > SmallBodyBytes;
    // The server may answer before it has read a long body.
    if (Long)
      read();
    http::async_write(Connection->Socket, Request,
                      [Self = shared_from_this(), Long](const error_code &Error,
                                                        std::size_t Bytes) {
                        if (Self->Done)
                          return;
                        Self->WriteEnded = true;
                        if (Error && Bytes == 0) {
                          Self->Written = false;
                          return Self->finish(exchange_cause::Cut,
                                              "write to " + Self->Address +
                                                  ": " + Error.message());
                        }
                        // A server may refuse a long request before it has read
                        // all of it, so an answer is looked for after a failed
                        // write as well.
                        Self->WriteFailed = Error.failed();
                        if (!Long)
                          Self->read();
                      });
  }

  void read() {
    Parser.emplace();
    Parser->body_limit(Core->Options.MaxBodyBytes);
    Parser->header_limit(MaxHeaderBytes);
    Parser->skip(Request.method() == http::verb::head);
    http::async_read(
        Connection->Socket, Connection->Buffer, *Parser,
        [Self = shared_from_this()](const error_code &Error, std::size_t) {
          if (!Self->Done)
            Self->onRead(Error);
        });
  }

  void onRead(const error_code &Error) {
    if (Error) {
      const bool Closed =
          Error == http::error::end_of_stream ||
          Error == http::error::partial_message ||
          Error.category() == asio::error::get_system_category();
      return finish(Closed ? exchange_cause::Cut : exchange_cause::BadAnswer,
                    "answer of " + Address + ": " + Error.message());
    }
    const unsigned Status = Parser->get().result_int();
    if (Status >= 100 && Status < 200 && Status != 101)
      return read(); // an interim answer
    if (Options.Accept && !Options.Accept(Parser->get()))
      return read();
    // An answer that ends with the connection can't always be told from one
    // that was cut short.
    if (Parser->need_eof() && !Core->Options.AllowCloseDelimitedResponse &&
        Request.method() != http::verb::head)
      return finish(exchange_cause::BadAnswer,
                    "answer of " + Address + " has no length");
    // A connection on which a part of the request is still due is not used
    // again: other bytes would be read as that part.
    const bool Reusable = Parser->keep_alive() && WriteEnded && !WriteFailed &&
                          !Parser->need_eof() &&
                          Connection->Buffer.size() == 0 && Status != 101;
    exchange_result Result;
    Result.Outcome = exchange_outcome::Complete;
    Result.Response = Parser->release();
    if (Reusable)
      Core->keep(Address, std::move(Connection),
                 keepAliveTimeout(Result.Response));
    complete(std::move(Result));
  }

  void finish(exchange_cause Cause, std::string Detail) {
    exchange_result Result;
    Result.Outcome =
        Written ? exchange_outcome::Unknown : exchange_outcome::NotSent;
    Result.Cause = Cause;
    Result.Detail = std::move(Detail);
    complete(std::move(Result));
  }

  void finishLater(exchange_cause Cause, std::string Detail) {
    Done = true;
    close();
    asio::post(Core->Context, [Self = shared_from_this(), Cause,
                               Detail = std::move(Detail)]() mutable {
      Self->finish(Cause, std::move(Detail));
    });
  }

  void complete(exchange_result Result) {
    Done = true;
    close();
    const handler Call = std::exchange(Handler, nullptr);
    Call(std::move(Result));
  }

  void close() {
    Timer.cancel();
    if (Connection) {
      error_code Ignored;
      Connection->Socket.close(Ignored);
    }
  }

  std::shared_ptr<core> Core;
  std::string Address;
  http_request Request;
  state::time_point Deadline;
  handler Handler;
  send_options Options;
  asio::steady_timer Timer;
  std::unique_ptr<connection> Connection;
  std::optional<http::response_parser<http::string_body>> Parser;
  bool Written = false;
  bool WriteEnded = false;
  bool WriteFailed = false;
  bool Done = false;
};

http_client_pool::http_client_pool(asio::io_context &Context,
                                   client_pool_options Options)
    : Core(std::make_shared<core>(Context, Options)) {}

http_client_pool::~http_client_pool() {
  Core->Sweep.cancel();
  Core->Idle.clear();
}

std::shared_ptr<client_exchange>
http_client_pool::send(const std::string &Address, http_request Request,
                       state::time_point Deadline, handler Handler,
                       send_options Options) {
  auto Exchange =
      std::make_shared<exchange>(Core, Address, std::move(Request), Deadline,
                                 std::move(Handler), std::move(Options));
  Exchange->start();
  return Exchange;
}

void http_client_pool::closeIdle(const std::string &Address) {
  Core->Idle.erase(Address);
}

std::size_t http_client_pool::idle() const {
  std::size_t Count = 0;
  for (const auto &[Address, Kept] : Core->Idle)
    Count += Kept.size();
  return Count;
}

} // namespace hyssopledge::transport
