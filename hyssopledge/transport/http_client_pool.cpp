#include "hyssopledge/transport/http_client_pool.h"

#include "hyssopledge/transport/message_parser.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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
  explicit connection(asio::io_context &Context)
      : Socket(Context),
        Buffer(forwardedHeaderLimit(MaxHeaderBytes) + MaxTrailerBytes) {}

  /// Returns false when the peer has closed the connection or has sent bytes
  /// that belong to no request.
  bool isUsable() {
    char Byte = 0;
    return ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) <
               0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  // Bounds a line between chunks and a trailer, which the parser does not.
  static constexpr std::size_t MaxTrailerBytes = 64 * 1024;
  tcp::socket Socket;
  beast::flat_buffer Buffer;
  state::time_point IdleSince{};
  boot_clock::duration IdleTimeout{}; // since IdleSince
};

namespace {

// An idle connection expires this much before the Keep-Alive timeout of the
// peer, so that a request does not cross the peer's close.
constexpr std::chrono::seconds KeepAliveMargin{1};
// Requests with at most this body are written completely before the response is
// read.
constexpr std::size_t SmallBodyBytes = 32 * 1024;
// Responses up to this size are read also over the budget, so that large ones
// don't end the calls of other callers.
constexpr std::size_t SmallResponseBytes = 64 * 1024;
// A response may have this much header and framing, and as much more as it has
// body. One of single-byte chunks without end would keep the loop busy.
constexpr std::size_t MaxFramingBytes = 64 * 1024;
// Interim responses, and responses to other requests, that are skipped before
// the response to a request.
constexpr unsigned MaxSkippedResponses = 16;
// Status codes of HTTP (RFC 9110, section 15).
constexpr unsigned MinStatus = 100;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned MinFinalStatus = 200;
constexpr unsigned MaxStatus = 599;

/// Returns the idle timeout of the server from its Keep-Alive field, none when
/// the field has no valid timeout.
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

/// Makes the kernel close the connection after about this time without
/// acknowledgements of the peer.
void setUnackedTimeout(tcp::socket &Socket, std::chrono::seconds Timeout) {
  const int Handle = Socket.native_handle();
  const int On = 1;
  const int Probes = 2;
  const int Seconds = std::max<int>(1, static_cast<int>(Timeout.count()) - 1);
  const auto Milliseconds = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Timeout).count());
  ::setsockopt(Handle, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &Seconds, sizeof Seconds);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &On, sizeof On);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof Probes);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Milliseconds,
               sizeof Milliseconds);
}

} // namespace

struct http_client_pool::core : std::enable_shared_from_this<core> {
  core(asio::io_context &Context, client_pool_options NewOptions)
      : Context(Context), Options(std::move(NewOptions)), ExpiryTimer(Context) {
    if (!Options.BodyBudget)
      Options.BodyBudget = std::make_shared<byte_budget>(DefaultBodyBudget);
  }

  /// Returns an idle connection to the address, null when there is none.
  std::unique_ptr<connection> acquire(const std::string &Address) {
    const auto Found = Idle.find(Address);
    if (Found == Idle.end())
      return nullptr;
    auto &IdleConnections = Found->second;
    const state::time_point Now = boot_clock::now();
    while (!IdleConnections.empty()) {
      // The most recently used connection is the least likely to be closed.
      std::unique_ptr<connection> Connection =
          std::move(IdleConnections.back());
      IdleConnections.pop_back();
      const auto Idle = Now - Connection->IdleSince;
      if (Idle < Connection->IdleTimeout && Connection->isUsable())
        return Connection;
    }
    return nullptr;
  }

  /// Returns a connection to the pool, or closes it when the peer would do so
  /// too soon.
  void store(const std::string &Address, std::unique_ptr<connection> Connection,
             std::optional<std::chrono::seconds> PeerIdleTimeout) {
    Connection->IdleTimeout = Options.IdleTimeout;
    if (PeerIdleTimeout)
      Connection->IdleTimeout = std::min<boot_clock::duration>(
          Options.IdleTimeout, *PeerIdleTimeout - KeepAliveMargin);
    if (Connection->IdleTimeout <= boot_clock::duration::zero())
      return;
    // Saves memory when there are many idle connections.
    Connection->Buffer.shrink_to_fit();
    auto &IdleConnections = Idle[Address];
    Connection->IdleSince = boot_clock::now();
    IdleConnections.push_back(std::move(Connection));
    if (IdleConnections.size() > Options.MaxIdlePerAddress)
      IdleConnections.pop_front();
    if (!ExpiryTimerArmed)
      closeExpired();
  }

  /// Closes expired idle connections periodically while there are any.
  void closeExpired() {
    ExpiryTimerArmed = true;
    ExpiryTimer.expires_after(Options.IdleTimeout / 2);
    ExpiryTimer.async_wait([Weak = weak_from_this()](const error_code &Error) {
      const auto Self = Weak.lock();
      if (Error || !Self)
        return;
      const state::time_point IdleLimit =
          boot_clock::now() - Self->Options.IdleTimeout;
      for (auto It = Self->Idle.begin(); It != Self->Idle.end();) {
        auto &IdleConnections = It->second;
        while (!IdleConnections.empty() &&
               IdleConnections.front()->IdleSince < IdleLimit)
          IdleConnections.pop_front();
        It = IdleConnections.empty() ? Self->Idle.erase(It) : std::next(It);
      }
      Self->ExpiryTimerArmed = false;
      if (!Self->Idle.empty())
        Self->closeExpired();
    });
  }

  asio::io_context &Context;
  client_pool_options Options;
  asio::steady_timer ExpiryTimer;
  bool ExpiryTimerArmed = false;
  std::unordered_map<std::string, std::deque<std::unique_ptr<connection>>> Idle;
};

class http_client_pool::exchange final
    : public client_exchange,
      public std::enable_shared_from_this<exchange> {
public:
  exchange(std::shared_ptr<core> Core, std::string Address,
           outgoing_request NewRequest, state::time_point Deadline,
           handler Handler, send_options Options)
      : Core(std::move(Core)), Address(std::move(Address)),
        Request(std::move(NewRequest.Head.base()), std::move(NewRequest.Body)),
        Deadline(Deadline), Handler(std::move(Handler)),
        Options(std::move(Options)), Timer(this->Core->Context),
        HeldBytes(this->Core->Options.BodyBudget) {
    setContentLength(Request, Request.body()->size());
  }

  void start() {
    const auto Endpoint = parseEndpoint(Address);
    if (Endpoint.has_error())
      return finishLater(exchange_error::ConnectFailed,
                         Endpoint.error().Detail);
    const auto TimeLeft = Deadline - boot_clock::now();
    if (TimeLeft <= boot_clock::duration::zero())
      return finishLater(exchange_error::Timeout, "the deadline has passed");
    Connection = Core->acquire(Address);
    if (Connection) {
      Reused = true;
      startTimer(TimeLeft);
      return write();
    }
    startTimer(
        std::min<boot_clock::duration>(TimeLeft, Core->Options.ConnectTimeout));
    Connection = std::make_unique<connection>(Core->Context);
    Connection->Socket.async_connect(
        Endpoint.value(), [Self = shared_from_this()](const error_code &Error) {
          if (Self->Done)
            return;
          if (Error)
            return Self->finish(exchange_error::ConnectFailed,
                                "connect to " + Self->Address + ": " +
                                    Error.message());
          error_code Ignored;
          Self->Connection->Socket.set_option(tcp::no_delay(true), Ignored);
          if (const auto Timeout = Self->Core->Options.UnackedTimeout;
              Timeout.count() > 0)
            setUnackedTimeout(Self->Connection->Socket, Timeout);
          Self->startTimer(Self->Deadline - boot_clock::now());
          Self->write();
        });
  }

  void cancel() override {
    if (!Done)
      finishLater(exchange_error::Cancelled, "cancelled");
  }

private:
  void startTimer(boot_clock::duration TimeLeft) {
    Timer.expires_after(TimeLeft);
    Timer.async_wait([Weak = weak_from_this()](const error_code &Error) {
      const auto Self = Weak.lock();
      if (Error || !Self || Self->Done)
        return;
      // The connect timeout has expired before the deadline of the request: the
      // peer counts as unreachable.
      if (!Self->MayBeWritten && boot_clock::now() < Self->Deadline)
        return Self->finish(exchange_error::ConnectFailed,
                            "no connection to " + Self->Address + " in time");
      Self->finish(exchange_error::Timeout,
                   "no whole answer from " + Self->Address + " in time" +
                       (Self->Reused ? " on a reused connection" : ""));
    });
  }

  void write() {
    // Until the write reports its byte count, a failure counts as Unknown.
    MayBeWritten = true;
    const bool LargeBody = Request.body()->size() > SmallBodyBytes;
    // The server may respond before it has read a long body.
    if (LargeBody)
      read();
    http::async_write(Connection->Socket, Request,
                      [Self = shared_from_this(),
                       LargeBody](const error_code &Error, std::size_t Bytes) {
                        if (Self->Done)
                          return;
                        Self->WriteFinished = true;
                        Self->WriteError = Error;
                        if (Error && Bytes == 0) {
                          Self->MayBeWritten = false;
                          return Self->finish(exchange_error::ConnectionClosed,
                                              "write to " + Self->Address +
                                                  ": " + Error.message());
                        }
                        // A server may refuse a long request before it has read
                        // all of it, so the response is read after a failed
                        // write as well.
                        if (!LargeBody)
                          Self->read();
                      });
  }

  void read() {
    Parser.emplace();
    Parser->body_limit(Core->Options.MaxBodyBytes);
    Parser->setHeaderLimit(Options.FromDaemon
                               ? forwardedHeaderLimit(MaxHeaderBytes)
                               : MaxHeaderBytes);
    Parser->skip(Request.method() == http::verb::head);
    ReceivedBytes = 0;
    readSome();
  }

  void readSome() {
    http::async_read_some(Connection->Socket, Connection->Buffer, *Parser,
                          [Self = shared_from_this()](const error_code &Error,
                                                      std::size_t Bytes) {
                            if (Self->Done)
                              return;
                            if (Error || Self->Parser->is_done())
                              return Self->onReadEnd(Error);
                            Self->onReadPart(Bytes);
                          });
  }

  /// Whether the end of a close-delimited response is a reset is known from the
  /// pending write. If that has failed, its handler may still be behind this
  /// one in the queue: Asio promises no order between the two.
  void onReadEnd(const error_code &Error) {
    if (Error || WriteFinished || !Parser->need_eof())
      return onRead(Error);
    asio::post(Core->Context, [Self = shared_from_this()] {
      if (!Self->Done)
        Self->onRead({});
    });
  }

  /// Returns whether the write has found that the connection was reset or
  /// given up. The kernel reports this error once: if to the write, the read
  /// ends as after a close by the peer.
  bool writeFoundReset() const {
    // broken_pipe: the peer had closed its side before.
    return WriteError && WriteError != asio::error::broken_pipe;
  }

  void onReadPart(std::size_t Bytes) {
    ReceivedBytes += Bytes;
    const std::size_t BodyBytes = Parser->get().body().size();
    HeldBytes.set(BodyBytes);
    const auto &Budget = *Core->Options.BodyBudget;
    if (Budget.exceeded() && BodyBytes > SmallResponseBytes)
      return finish(exchange_error::OverBudget,
                    "answer of " + Address + ": the responses held are over " +
                        std::to_string(Budget.limit()) + " bytes");
    if (ReceivedBytes > 2 * BodyBytes + MaxFramingBytes)
      return finish(exchange_error::InvalidResponse,
                    "answer of " + Address + ": more framing than body");
    readSome();
  }

  void onRead(const error_code &Error) {
    if (Error) {
      const bool Closed =
          Error == http::error::end_of_stream ||
          Error == http::error::partial_message ||
          Error.category() == asio::error::get_system_category();
      return finish(Closed ? exchange_error::ConnectionClosed
                           : exchange_error::InvalidResponse,
                    "answer of " + Address + ": " + Error.message());
    }
    if (Parser->need_eof() && writeFoundReset())
      return finish(exchange_error::ConnectionClosed,
                    "answer of " + Address + ": " + WriteError.message());
    const unsigned Status = Parser->get().result_int();
    // The parser accepts any three digits. No request asks for a change of the
    // protocol.
    if (Status < MinStatus || Status > MaxStatus ||
        Status == SwitchingProtocols)
      return finish(exchange_error::InvalidResponse,
                    "answer of " + Address + ": status " +
                        std::to_string(Status));
    const bool Interim = Status < MinFinalStatus;
    exchange_result Result;
    Result.Outcome = exchange_outcome::Complete;
    Result.Response = Parser->release();
    if (Interim ||
        (Options.AcceptResponse && !Options.AcceptResponse(Result.Response))) {
      if (++SkippedResponses > MaxSkippedResponses)
        return finish(exchange_error::InvalidResponse,
                      "answer of " + Address +
                          ": too many responses to other requests");
      return read();
    }
    // A close-delimited response can't be told reliably from one that was
    // truncated.
    if (Parser->need_eof() && !Core->Options.AllowCloseDelimitedResponse &&
        Request.method() != http::verb::head)
      return finish(exchange_error::InvalidResponse,
                    "answer of " + Address + " has no length");
    // A connection with an incompletely written request is not reused: the
    // server would read the next request as the rest of this one.
    const bool Reusable = Parser->keep_alive() && WriteFinished &&
                          !WriteError && !Parser->need_eof() &&
                          Connection->Buffer.size() == 0;
    if (Reusable)
      Core->store(Address, std::move(Connection),
                  keepAliveTimeout(Result.Response));
    complete(std::move(Result));
  }

  void finish(exchange_error Error, std::string Detail) {
    exchange_result Result;
    Result.Outcome =
        MayBeWritten ? exchange_outcome::Unknown : exchange_outcome::NotSent;
    Result.Error = Error;
    Result.Detail = std::move(Detail);
    complete(std::move(Result));
  }

  void finishLater(exchange_error Error, std::string Detail) {
    Done = true;
    close();
    asio::post(Core->Context, [Self = shared_from_this(), Error,
                               Detail = std::move(Detail)]() mutable {
      Self->finish(Error, std::move(Detail));
    });
  }

  void complete(exchange_result Result) {
    Done = true;
    HeldBytes.set(0);
    close();
    const handler Callback = std::exchange(Handler, nullptr);
    Callback(std::move(Result));
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
  http::request<shared_string_body, header_fields> Request;
  state::time_point Deadline;
  handler Handler;
  send_options Options;
  asio::steady_timer Timer;
  std::unique_ptr<connection> Connection;
  std::optional<response_parser> Parser;
  byte_share HeldBytes;
  std::size_t ReceivedBytes = 0; // of this response
  unsigned SkippedResponses = 0;
  bool Reused = false; // the connection carried an earlier request
  bool MayBeWritten = false;
  bool WriteFinished = false;
  error_code WriteError; // valid when WriteFinished
  bool Done = false;
};

http_client_pool::http_client_pool(asio::io_context &Context,
                                   client_pool_options Options)
    : Core(std::make_shared<core>(Context, std::move(Options))) {}

http_client_pool::~http_client_pool() {
  Core->ExpiryTimer.cancel();
  Core->Idle.clear();
}

std::shared_ptr<client_exchange>
http_client_pool::send(const std::string &Address, outgoing_request Request,
                       state::time_point Deadline, handler Handler,
                       send_options Options) {
  auto Exchange =
      std::make_shared<exchange>(Core, Address, std::move(Request), Deadline,
                                 std::move(Handler), std::move(Options));
  Exchange->start();
  return Exchange;
}

void http_client_pool::closeIdleConnections(const std::string &Address) {
  Core->Idle.erase(Address);
}

std::size_t http_client_pool::idleConnections() const {
  std::size_t Count = 0;
  for (const auto &[Address, IdleConnections] : Core->Idle)
    Count += IdleConnections.size();
  return Count;
}

} // namespace hyssopledge::transport
