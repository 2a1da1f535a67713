#include "hyssopledge/transport/http_listener.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <utility>

namespace hyssopledge::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

struct http_listener::core : std::enable_shared_from_this<core> {
  core(std::vector<asio::io_context *> Loops, listener_options Options,
       handler Handler)
      : Loops(std::move(Loops)), Options(Options), Handler(std::move(Handler)),
        Acceptor(*this->Loops.front()), Retry(*this->Loops.front()),
        Sessions(this->Loops.size()) {}

  void accept();

  std::vector<asio::io_context *> Loops;
  listener_options Options;
  handler Handler;
  tcp::acceptor Acceptor;
  asio::steady_timer Retry;
  std::string Address;
  std::size_t Next = 0;
  // Sessions by loop; each set is used on its loop only.
  std::vector<std::set<std::shared_ptr<session>>> Sessions;
  std::atomic<std::size_t> Connections{0};
  std::atomic<std::size_t> Active{0};
  std::atomic<bool> LastAnswers{false};
  std::atomic<bool> Closed{false};
};

class http_listener::session final
    : public server_exchange,
      public std::enable_shared_from_this<session> {
public:
  session(std::shared_ptr<core> Core, tcp::socket Socket, std::size_t Loop,
          bool OverLimit)
      : Core(std::move(Core)), Socket(std::move(Socket)),
        Timer(this->Socket.get_executor()), Loop(Loop), OverLimit(OverLimit) {}

  void start() {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    Core->Sessions[Loop].insert(shared_from_this());
    awaitRequest();
  }

  /// Closes the connection and tells the handler of a waiting request.
  void gone() {
    const std::function<void()> Handler =
        State == state_kind::Handling ? std::exchange(CancelHandler, nullptr)
                                      : nullptr;
    close();
    if (Handler)
      Handler();
  }

  void close() {
    if (State == state_kind::Closed)
      return;
    const bool WasActive =
        State == state_kind::Handling || State == state_kind::Writing;
    State = state_kind::Closed;
    if (WasActive)
      --Core->Active;
    --Core->Connections;
    CancelHandler = nullptr;
    Timer.cancel();
    error_code Ignored;
    Socket.close(Ignored);
    Core->Sessions[Loop].erase(shared_from_this());
  }

  //--- server_exchange --------------------------------------------------------
  const http_request &request() const override { return Request; }
  std::size_t loop() const override { return Loop; }

  void onCancel(std::function<void()> Handler) override {
    CancelHandler = std::move(Handler);
  }

  void respond(http_response Response) override {
    if (State != state_kind::Handling)
      return;
    CancelHandler = nullptr;
    KeepAlive = KeepAlive && !Core->LastAnswers;
    send(std::move(Response));
  }

private:
  enum class state_kind {
    Idle,      // waits for the first byte of a request
    Receiving, // reads a request
    Handling,  // the request was handed on
    Writing,   // writes the answer
    Lingering, // the answer is written, the rest of the input is thrown away
    Closed,
  };

  void awaitRequest() {
    State = state_kind::Idle;
    if (Buffer.size() > 0)
      return receive();
    startTimer(Core->Options.IdleTimeout);
    watch();
  }

  /// At most one wait is under way; it serves the next request and the check
  /// for a caller that has gone.
  void watch() {
    if (Watching)
      return;
    Watching = true;
    Socket.async_wait(tcp::socket::wait_read,
                      [Self = shared_from_this()](const error_code &Error) {
                        Self->Watching = false;
                        Self->onReadable(Error);
                      });
  }

  void onReadable(const error_code &Error) {
    if (State == state_kind::Closed)
      return;
    if (Error)
      return gone();
    if (State == state_kind::Idle)
      return receive();
    if (State != state_kind::Handling)
      return;
    char Byte = 0;
    const auto Bytes =
        ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Bytes > 0)
      return; // the next request waits for its turn
    if (Bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return watch();
    gone();
  }

  void startTimer(std::chrono::seconds Time) {
    Timer.expires_after(Time);
    Timer.async_wait([Weak = weak_from_this()](const error_code &Error) {
      const auto Self = Weak.lock();
      if (!Error && Self)
        Self->close();
    });
  }

  void receive() {
    State = state_kind::Receiving;
    startTimer(Core->Options.ReceiveTimeout);
    Parser.emplace();
    Parser->body_limit(Core->Options.MaxBodyBytes);
    Parser->header_limit(MaxHeaderBytes);
    http::async_read_header(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error_code &Error, std::size_t) {
          Self->onHeader(Error);
        });
  }

  void onHeader(const error_code &Error) {
    if (State == state_kind::Closed)
      return;
    if (Error)
      return refuseInput(Error);
    if (!Parser->is_done() &&
        beast::iequals(Parser->get()[http::field::expect], "100-continue")) {
      static constexpr std::string_view Continue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      asio::async_write(
          Socket, asio::buffer(Continue.data(), Continue.size()),
          [Self = shared_from_this()](const error_code &Error, std::size_t) {
            if (Error)
              return Self->close();
            Self->receiveBody();
          });
      return;
    }
    receiveBody();
  }

  void receiveBody() {
    if (State == state_kind::Closed)
      return;
    if (Parser->is_done())
      return onRequest({});
    http::async_read(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error_code &Error, std::size_t) {
          Self->onRequest(Error);
        });
  }

  void onRequest(const error_code &Error) {
    if (State == state_kind::Closed)
      return;
    if (Error)
      return refuseInput(Error);
    Timer.cancel();
    KeepAlive = Parser->keep_alive();
    Request = Parser->release();
    State = state_kind::Handling;
    ++Core->Active;
    if (OverLimit) {
      KeepAlive = false;
      return send(daemonAnswer(503, NotRun, "too-many-connections",
                               "the daemon has no room for more connections"));
    }
    if (Buffer.size() == 0)
      watch();
    Core->Handler(shared_from_this());
  }

  /// Answers what is not a request that can be handed on.
  void refuseInput(const error_code &Error) {
    if (Error == http::error::end_of_stream ||
        Error == http::error::partial_message ||
        Error.category() == asio::error::get_system_category() ||
        Error.category() == asio::error::get_misc_category())
      return close();
    Timer.cancel();
    KeepAlive = false;
    Linger = true;
    State = state_kind::Handling;
    ++Core->Active;
    if (Error == http::error::body_limit)
      return send(daemonAnswer(413, NotRun, "body-too-large",
                               "the body is over " +
                                   std::to_string(Core->Options.MaxBodyBytes) +
                                   " bytes"));
    if (Error == http::error::header_limit)
      return send(daemonAnswer(431, NotRun, "header-too-large",
                               "the header is over " +
                                   std::to_string(MaxHeaderBytes) + " bytes"));
    send(daemonAnswer(400, NotRun, "malformed-http",
                      "not an HTTP/1.1 request: " + Error.message()));
  }

  void send(http_response Response) {
    State = state_kind::Writing;
    Response.version(11);
    Response.keep_alive(KeepAlive);
    // An answer to HEAD keeps the length of the body it stands for.
    const bool Head = !Linger && Request.method() == http::verb::head;
    if (!Head)
      Response.prepare_payload();
    Answer = std::move(Response);
    const auto Done = [Self = shared_from_this()](const error_code &Error,
                                                  std::size_t) {
      Self->onWritten(Error);
    };
    if (Head) {
      HeadSerializer.emplace(Answer);
      HeadSerializer->split(true);
      http::async_write_header(Socket, *HeadSerializer, Done);
    } else {
      http::async_write(Socket, Answer, Done);
    }
  }

  void onWritten(const error_code &Error) {
    if (State == state_kind::Closed)
      return;
    if (Error)
      return close();
    State = state_kind::Idle;
    --Core->Active;
    if (KeepAlive)
      return awaitRequest();
    error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    if (!Linger)
      return close();
    // Closing with unread input resets the connection, and the peer could lose
    // the answer before reading it.
    State = state_kind::Lingering;
    startTimer(std::chrono::seconds(2));
    discard();
  }

  void discard() {
    Buffer.clear();
    Socket.async_read_some(
        Buffer.prepare(16 * 1024),
        [Self = shared_from_this()](const error_code &Error, std::size_t) {
          if (Self->State == state_kind::Closed)
            return;
          if (Error)
            return Self->close();
          Self->discard();
        });
  }

  std::shared_ptr<core> Core;
  tcp::socket Socket;
  asio::steady_timer Timer;
  std::size_t Loop;
  bool OverLimit;
  bool Watching = false;
  bool KeepAlive = false;
  bool Linger = false;
  state_kind State = state_kind::Idle;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::optional<http::response_serializer<http::string_body>> HeadSerializer;
  http_request Request;
  http_response Answer;
  std::function<void()> CancelHandler;
};

void http_listener::core::accept() {
  const std::size_t Loop = Next++ % Loops.size();
  Acceptor.async_accept(*Loops[Loop], [Self = shared_from_this(),
                                       Loop](const error_code &Error,
                                             tcp::socket Socket) {
    if (Self->Closed || Error == asio::error::operation_aborted)
      return;
    if (Error) {
      // Out of descriptors or memory: what is open must end first.
      Self->Retry.expires_after(std::chrono::milliseconds(50));
      Self->Retry.async_wait([Self](const error_code &Stopped) {
        if (!Stopped && !Self->Closed)
          Self->accept();
      });
      return;
    }
    const bool OverLimit = ++Self->Connections > Self->Options.MaxConnections;
    auto Session =
        std::make_shared<session>(Self, std::move(Socket), Loop, OverLimit);
    asio::post(*Self->Loops[Loop],
               [Session = std::move(Session)] { Session->start(); });
    Self->accept();
  });
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
  auto Core =
      std::make_shared<core>(std::move(Loops), Options, std::move(Handler));
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

void http_listener::stopAccepting() {
  asio::post(*Core->Loops.front(), [Core = Core] {
    error_code Ignored;
    Core->Closed = true;
    Core->Retry.cancel();
    Core->Acceptor.close(Ignored);
  });
}

void http_listener::closeAfterAnswers() { Core->LastAnswers = true; }

void http_listener::close() {
  stopAccepting();
  for (std::size_t Loop = 0; Loop < Core->Loops.size(); ++Loop)
    asio::post(*Core->Loops[Loop], [Core = Core, Loop] {
      const auto Open = Core->Sessions[Loop];
      for (const auto &Session : Open)
        Session->gone();
    });
}

std::size_t http_listener::active() const { return Core->Active; }

} // namespace hyssopledge::transport
