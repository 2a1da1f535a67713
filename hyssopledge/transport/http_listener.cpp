#include "hyssopledge/transport/http_listener.h"

#include "hyssopledge/transport/message_parser.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <deque>
#include <optional>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <utility>

namespace hyssopledge::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using state::boot_clock;

struct http_listener::core : std::enable_shared_from_this<core> {
  core(std::vector<asio::io_context *> Loops, listener_options Options,
       handler Handler)
      : Loops(std::move(Loops)), Options(std::move(Options)),
        Handler(std::move(Handler)), Acceptor(*this->Loops.front()),
        AcceptRetryTimer(*this->Loops.front()), Sessions(this->Loops.size()) {}

  void accept();
  void onAccepted(tcp::socket Socket, std::size_t LoopIndex);
  /// Closes the connection that has waited longest for bytes of its caller.
  /// Returns false when none waits for any.
  bool evictWaitingConnection();

  std::vector<asio::io_context *> Loops;
  listener_options Options;
  handler Handler;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptRetryTimer;
  std::string Address;
  std::size_t NextLoop = 0;
  // Sessions by loop index; each set is used on its loop only.
  std::vector<std::set<std::shared_ptr<session>>> Sessions;
  std::atomic<std::size_t> Connections{0};
  std::atomic<std::size_t> Active{0};
  std::atomic<bool> ClosesAfterResponses{false};
  std::atomic<bool> Closed{false};
};

/// One connection. It always reads, so that a close by the caller is detected
/// while its requests are handled.
class http_listener::session final
    : public std::enable_shared_from_this<session>,
      public state::request_intake {
public:
  session(std::shared_ptr<core> Core, tcp::socket Socket, std::size_t LoopIndex,
          bool OverLimit)
      : Core(std::move(Core)), Socket(std::move(Socket)),
        Timer(this->Socket.get_executor()), LoopIndex(LoopIndex),
        OverLimit(OverLimit), Budget(this->Core->Options.ReceiveBudget) {}

  void start() {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    Socket.non_blocking(true, Ignored);
    Core->Sessions[LoopIndex].insert(shared_from_this());
    startTimeout(Core->Options.IdleTimeout);
    read();
  }

  /// Closes the connection and calls the disconnect handlers of its requests.
  void onDisconnected();
  /// Whether the caller has closed or reset the connection.
  bool isClosedByCaller();
  bool isClosed() const { return Closed; }
  /// Whether no request of the connection is complete and unanswered.
  bool waitsForCaller() const { return Pending.empty() && !Writing; }
  state::time_point lastInputAt() const { return LastInputAt; }
  void evict() { close(); }
  void refuse() override;

private:
  class exchange;

  void close();
  void read();
  void onReadable(error_code Error);
  void onBytes(const error_code &Error);
  void parse();
  void onRequest();
  void respondInvalidInput(const error_code &Error);
  void endInput(http_response Refusal);
  void updateBudget();
  void onResponse();
  void writeNextResponse();
  void onWritten(const error_code &Error);
  void startTimeout(boot_clock::duration Timeout);
  void armTimer();
  bool isBufferFull() const;
  bool isPipelineFull() const;

  static constexpr std::size_t ReadBytes = 4 * 1024; // per read
  // Unparsed input is buffered up to this plus MaxHeaderBytes; further input
  // stays in the kernel.
  static constexpr std::size_t MinUnparsedBytes = 16 * 1024;
  static constexpr std::chrono::seconds LingerTimeout{2};

  std::shared_ptr<core> Core;
  tcp::socket Socket;
  asio::steady_timer Timer;
  std::size_t LoopIndex;
  bool OverLimit;
  std::shared_ptr<state::receive_budget> Budget;
  state::time_point LastInputAt = boot_clock::now();
  bool Closed = false;
  bool Reading = false;
  bool Writing = false;
  bool Lingering = false;
  bool IgnoresInput = false; // further input is discarded
  bool TimerArmed = false;
  /// The connection is closed at this time if no response is pending.
  state::time_point InputDeadline{};
  beast::flat_buffer Buffer;
  std::optional<request_parser> Parser;
  std::optional<http::response_serializer<http::string_body, header_fields>>
      HeadSerializer;
  std::deque<std::shared_ptr<exchange>> Pending; // in order of arrival
};

class http_listener::session::exchange final : public server_exchange {
public:
  exchange(const std::shared_ptr<session> &Session, http_request Request,
           bool KeepAlive, std::size_t LoopIndex)
      : Request(std::move(Request)), KeepAlive(KeepAlive), Session(Session),
        LoopIndex(LoopIndex), HeldBytes(Session->Core->Options.BodyBudget),
        Budget(Session->Budget) {
    if (Budget)
      Budget->hold(this->Request.body().size());
  }
  ~exchange() override {
    if (Budget)
      Budget->release(Request.body().size());
  }
  exchange(const exchange &) = delete;
  exchange &operator=(const exchange &) = delete;

  //--- server_exchange --------------------------------------------------------
  const http_request &request() const override { return Request; }
  std::size_t loopIndex() const override { return LoopIndex; }
  void onDisconnect(std::function<void()> Handler) override {
    DisconnectHandler = std::move(Handler);
  }
  void respond(http_response Response) override {
    const auto Owner = Session.lock();
    DisconnectHandler = nullptr;
    if (!Owner || HasResponse)
      return;
    HasResponse = true;
    PendingResponse = std::move(Response);
    HeldBytes.set(PendingResponse.body().size());
    Owner->onResponse();
  }

  bool detectDisconnect() override {
    const auto Owner = Session.lock();
    if (!Owner || Owner->isClosed())
      return true;
    if (!Owner->isClosedByCaller())
      return false;
    Owner->onDisconnected();
    return true;
  }

  std::function<void()> takeDisconnectHandler() {
    return std::exchange(DisconnectHandler, nullptr);
  }

  const http_request Request;
  http_response PendingResponse;
  bool KeepAlive;
  bool HasResponse = false;

private:
  std::weak_ptr<session> Session;
  std::size_t LoopIndex;
  std::function<void()> DisconnectHandler;
  byte_share HeldBytes; // of PendingResponse
  std::shared_ptr<state::receive_budget> Budget;
};

void http_listener::session::onDisconnected() {
  const auto Aborted = std::move(Pending);
  Pending.clear();
  Core->Active -= Aborted.size();
  close();
  for (const auto &Exchange : Aborted)
    if (const auto Handler = Exchange->takeDisconnectHandler())
      Handler();
}

bool http_listener::session::isClosedByCaller() {
  char Byte = 0;
  const auto Peeked = ::recv(Socket.native_handle(), &Byte, sizeof Byte,
                             MSG_PEEK | MSG_DONTWAIT);
  if (Peeked < 0)
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  if (Peeked == 0)
    return true;
  // The close may be behind a further request.
  pollfd Poll{Socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&Poll, 1, 0) > 0;
}

void http_listener::session::close() {
  if (Closed)
    return;
  Closed = true;
  --Core->Connections;
  if (Budget)
    Budget->remove(*this);
  Timer.cancel();
  error_code Ignored;
  Socket.close(Ignored);
  Core->Sessions[LoopIndex].erase(shared_from_this());
}

void http_listener::session::startTimeout(boot_clock::duration Timeout) {
  InputDeadline = boot_clock::now() + Timeout;
  if (!TimerArmed)
    armTimer();
}

/// One timer serves all timeouts: when it expires before InputDeadline it is
/// rearmed.
void http_listener::session::armTimer() {
  TimerArmed = true;
  Timer.expires_after(InputDeadline - boot_clock::now());
  Timer.async_wait([Weak = weak_from_this()](const error_code &Error) {
    const auto Self = Weak.lock();
    if (Error || !Self || Self->Closed)
      return;
    Self->TimerArmed = false;
    if (boot_clock::now() < Self->InputDeadline)
      return Self->armTimer();
    if (Self->Pending.empty() || Self->Lingering)
      return Self->onDisconnected();
    Self->startTimeout(Self->Core->Options.IdleTimeout);
  });
}

/// A complete header fits into the buffer, or its end would never be read.
bool http_listener::session::isBufferFull() const {
  return Buffer.size() >= MinUnparsedBytes + Core->Options.MaxHeaderBytes;
}

bool http_listener::session::isPipelineFull() const {
  return Pending.size() >= Core->Options.MaxPipelinedRequests;
}

void http_listener::session::read() {
  if (Reading || Closed || isBufferFull())
    return;
  Reading = true;
  // An idle connection holds no buffer.
  if (Buffer.size() == 0)
    Buffer.shrink_to_fit();
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](const error_code &Error) {
                      Self->Reading = false;
                      if (Self->Closed)
                        return;
                      Self->onReadable(Error);
                    });
}

void http_listener::session::onReadable(error_code Error) {
  if (!Error) {
    const std::size_t Bytes =
        Socket.read_some(Buffer.prepare(ReadBytes), Error);
    Buffer.commit(Bytes);
  }
  if (Error == asio::error::would_block)
    return read();
  onBytes(Error);
}

void http_listener::session::onBytes(const error_code &Error) {
  if (Error) {
    if (Lingering)
      return close();
    return onDisconnected();
  }
  LastInputAt = boot_clock::now();
  if (Lingering || IgnoresInput) {
    Buffer.clear();
    return read();
  }
  parse();
  updateBudget();
  read();
}

/// Counts the bytes of an incomplete request, and of requests behind it.
void http_listener::session::updateBudget() {
  if (!Budget || Closed)
    return;
  if (IgnoresInput || (!Parser && Buffer.size() == 0))
    return Budget->remove(*this);
  const std::size_t Bytes =
      Buffer.capacity() + (Parser ? Parser->get().body().size() : 0);
  if (!Budget->update(*this, Bytes, boot_clock::now()))
    refuse();
}

void http_listener::session::refuse() {
  if (Closed || IgnoresInput)
    return;
  endInput(makeErrorResponse(503, OutcomeNotRun, "memory",
                             "the daemon has no room for this request"));
}

void http_listener::session::parse() {
  while (!Closed && !IgnoresInput && Buffer.size() > 0 && !isPipelineFull()) {
    if (Parser && Parser->is_done())
      return; // waits for the responses before it
    if (!Parser) {
      Parser.emplace();
      Parser->eager(true);
      Parser->body_limit(Core->Options.MaxBodyBytes);
      Parser->setHeaderLimit(Core->Options.MaxHeaderBytes);
      startTimeout(Core->Options.ReceiveTimeout);
    }
    const bool HadHeader = Parser->is_header_done();
    error_code Error;
    const std::size_t Used = Parser->put(Buffer.data(), Error);
    Buffer.consume(Used);
    if (Error && Error != http::error::need_more)
      return respondInvalidInput(Error);
    if (!HadHeader && Parser->is_header_done() && !Parser->is_done() &&
        beast::iequals(Parser->get()[http::field::expect], "100-continue") &&
        Pending.empty()) {
      static constexpr std::string_view Continue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      asio::async_write(
          Socket, asio::buffer(Continue.data(), Continue.size()),
          [Self = shared_from_this()](const error_code &Failed, std::size_t) {
            if (Failed && !Self->Closed)
              Self->onDisconnected();
          });
    }
    if (!Parser->is_done()) {
      if (Used > 0)
        continue;
      // A trailer or a line between chunks, of which the parser needs the end.
      if (isBufferFull())
        respondInvalidInput(http::error::header_limit);
      return;
    }
    // A request that is not idempotent is not run concurrently with the
    // requests before it.
    const auto Method = Parser->get().method();
    if (!Pending.empty() && Method != http::verb::get &&
        Method != http::verb::head)
      return;
    onRequest();
  }
}

void http_listener::session::onRequest() {
  const bool KeepAlive = Parser->keep_alive();
  auto Exchange = std::make_shared<exchange>(
      shared_from_this(), Parser->release(), KeepAlive, LoopIndex);
  Parser.reset();
  Pending.push_back(Exchange);
  ++Core->Active;
  IgnoresInput = !KeepAlive;
  startTimeout(Core->Options.IdleTimeout);
  if (OverLimit) {
    IgnoresInput = true;
    Exchange->KeepAlive = false;
    return Exchange->respond(
        makeErrorResponse(503, OutcomeNotRun, "too-many-connections",
                          "the daemon has no room for more connections"));
  }
  Core->Handler(std::move(Exchange));
}

/// Responds to input that is malformed or over a limit, and ignores the rest.
void http_listener::session::respondInvalidInput(const error_code &Error) {
  http_response Refusal;
  if (Error == http::error::body_limit)
    Refusal = makeErrorResponse(413, OutcomeNotRun, "body-too-large",
                                "the body is over " +
                                    std::to_string(Core->Options.MaxBodyBytes) +
                                    " bytes");
  else if (Error == http::error::header_limit)
    Refusal = makeErrorResponse(
        431, OutcomeNotRun, "header-too-large",
        "the header is over " + std::to_string(Core->Options.MaxHeaderBytes) +
            " bytes");
  else
    Refusal = makeErrorResponse(400, OutcomeNotRun, "malformed-http",
                                "not an HTTP/1.1 request: " + Error.message());
  endInput(std::move(Refusal));
}

void http_listener::session::endInput(http_response Refusal) {
  IgnoresInput = true;
  Parser.reset();
  Buffer.clear();
  Buffer.shrink_to_fit();
  if (Budget)
    Budget->remove(*this);
  auto Exchange = std::make_shared<exchange>(shared_from_this(), http_request(),
                                             false, LoopIndex);
  Pending.push_back(Exchange);
  ++Core->Active;
  Exchange->respond(std::move(Refusal));
}

void http_listener::session::onResponse() {
  if (!Writing)
    writeNextResponse();
}

void http_listener::session::writeNextResponse() {
  if (Closed || Writing || Pending.empty() || !Pending.front()->HasResponse)
    return;
  Writing = true;
  exchange &Next = *Pending.front();
  // The connection stays open for later requests that are already handled.
  if (Core->ClosesAfterResponses && Pending.size() == 1) {
    Next.KeepAlive = false;
    IgnoresInput = true;
  }
  Next.PendingResponse.version(11);
  Next.PendingResponse.keep_alive(Next.KeepAlive);
  // A response to HEAD keeps the Content-Length of the body that GET returns.
  const bool Head = Next.Request.method() == http::verb::head;
  if (!Head)
    Next.PendingResponse.prepare_payload();
  const auto Done = [Self = shared_from_this(), Kept = Pending.front()](
                        const error_code &Error, std::size_t) {
    Self->onWritten(Error);
  };
  if (Head) {
    HeadSerializer.emplace(Next.PendingResponse);
    HeadSerializer->split(true);
    http::async_write_header(Socket, *HeadSerializer, Done);
  } else {
    http::async_write(Socket, Next.PendingResponse, Done);
  }
}

void http_listener::session::onWritten(const error_code &Error) {
  if (Closed)
    return;
  Writing = false;
  if (Error)
    return onDisconnected();
  const bool KeepAlive = Pending.front()->KeepAlive;
  Pending.pop_front();
  --Core->Active;
  if (KeepAlive) {
    startTimeout(Core->Options.IdleTimeout);
    writeNextResponse();
    if (Parser && Parser->is_done() && Pending.empty())
      onRequest();
    parse();
    updateBudget();
    return read();
  }
  error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  // Closing a socket with unread input resets the connection, and the peer
  // could lose the response before reading it.
  Lingering = true;
  startTimeout(LingerTimeout);
  Buffer.clear();
  read();
}

void http_listener::core::accept() {
  const std::size_t LoopIndex = NextLoop++ % Loops.size();
  Acceptor.async_accept(*Loops[LoopIndex], [Self = shared_from_this(),
                                            LoopIndex](const error_code &Error,
                                                       tcp::socket Socket) {
    if (Self->Closed || Error == asio::error::operation_aborted)
      return;
    if (Error) {
      // Out of descriptors or memory: retries after other connections may have
      // ended.
      Self->AcceptRetryTimer.expires_after(std::chrono::milliseconds(50));
      Self->AcceptRetryTimer.async_wait([Self](const error_code &Stopped) {
        if (!Stopped && !Self->Closed)
          Self->accept();
      });
      return;
    }
    Self->onAccepted(std::move(Socket), LoopIndex);
    Self->accept();
  });
}

void http_listener::core::onAccepted(tcp::socket Socket,
                                     std::size_t LoopIndex) {
  bool OverLimit = Connections + 1 > Options.MaxConnections;
  if (OverLimit && Options.EvictsWaitingConnections) {
    if (!evictWaitingConnection())
      return; // closes the new connection
    OverLimit = false;
  }
  ++Connections;
  auto Session = std::make_shared<session>(
      shared_from_this(), std::move(Socket), LoopIndex, OverLimit);
  asio::post(*Loops[LoopIndex],
             [Session = std::move(Session)] { Session->start(); });
}

bool http_listener::core::evictWaitingConnection() {
  std::shared_ptr<session> Longest;
  for (const auto &Session : Sessions.front())
    if (Session->waitsForCaller() &&
        (!Longest || Session->lastInputAt() < Longest->lastInputAt()))
      Longest = Session;
  if (Longest)
    Longest->evict();
  return Longest != nullptr;
}

http_listener::http_listener(std::shared_ptr<core> Core)
    : Core(std::move(Core)) {}

http_listener::~http_listener() { close(); }

state::result<std::unique_ptr<http_listener>>
http_listener::open(std::vector<asio::io_context *> Loops,
                    const std::string &Address, listener_options Options,
                    handler Handler) {
  const auto Endpoint = parseEndpoint(Address);
  if (Endpoint.has_error())
    return Endpoint.error();
  auto Core = std::make_shared<core>(std::move(Loops), std::move(Options),
                                     std::move(Handler));
  error_code Error;
  Core->Acceptor.open(Endpoint.value().protocol(), Error);
  if (!Error)
    Core->Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Core->Acceptor.bind(Endpoint.value(), Error);
  if (!Error)
    Core->Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  if (Error)
    return state::failure(state::errc::Unavailable,
                          "listen on " + Address + ": " + Error.message());
  Core->Address = formatEndpoint(Core->Acceptor.local_endpoint(Error));
  Core->accept();
  return std::unique_ptr<http_listener>(new http_listener(std::move(Core)));
}

std::string http_listener::address() const { return Core->Address; }

void http_listener::setOptions(const listener_options &Options) {
  Core->Options = Options;
}

void http_listener::stopAccepting() {
  asio::post(*Core->Loops.front(), [Core = Core] {
    error_code Ignored;
    Core->Closed = true;
    Core->AcceptRetryTimer.cancel();
    Core->Acceptor.close(Ignored);
  });
}

void http_listener::closeAfterResponses() { Core->ClosesAfterResponses = true; }

void http_listener::close() {
  stopAccepting();
  for (std::size_t LoopIndex = 0; LoopIndex < Core->Loops.size(); ++LoopIndex)
    asio::post(*Core->Loops[LoopIndex], [Core = Core, LoopIndex] {
      const auto Open = Core->Sessions[LoopIndex];
      for (const auto &Session : Open)
        Session->onDisconnected();
    });
}

std::size_t http_listener::active() const { return Core->Active; }

} // namespace hyssopledge::transport
