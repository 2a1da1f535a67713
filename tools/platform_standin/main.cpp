/// \file
/// In-memory stand-in for the platform. Serves the published etcd v3 API on one
/// port, and fault injection and statistics by HTTP on another.
#include "platform_standin/platform_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <iostream>
#include <popt.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using hyssopledge::platform_standin::platform_service;

/// HTTP server that handles one request at a time. Reads time out after 2 s, so
/// that a stalled client can't block it.
class admin_server {
public:
  admin_server(const tcp::endpoint &Endpoint, platform_service &Service)
      : Acceptor(Context, Endpoint), Service(Service),
        Thread([this] { acceptRequests(); }) {}
  ~admin_server() {
    // Unblocks accept() in the server thread.
    ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
    Thread.join();
  }
  admin_server(const admin_server &) = delete;
  admin_server &operator=(const admin_server &) = delete;

  tcp::endpoint endpoint() const { return Acceptor.local_endpoint(); }

private:
  void acceptRequests() {
    for (;;) {
      tcp::socket Socket(Context);
      boost::system::error_code Error;
      Acceptor.accept(Socket, Error);
      if (Error)
        return;
      const timeval ReceiveTimeout{2, 0};
      (void)::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                         &ReceiveTimeout, sizeof ReceiveTimeout);
      serve(Socket);
    }
  }

  void serve(tcp::socket &Socket) {
    boost::system::error_code Error;
    boost::beast::flat_buffer Buffer;
    http::request<http::string_body> Request;
    http::read(Socket, Buffer, Request, Error);
    if (Error)
      return;
    http::response<http::string_body> Response(http::status::ok, 11);
    Response.keep_alive(false);
    Response.set(http::field::content_type, "application/json");
    bool Stop = false;
    if (Request.method() == http::verb::get && Request.target() == "/stats") {
      Response.body() = Service.stats().dump() + "\n";
    } else if (Request.method() == http::verb::post &&
               Request.target() == "/fault") {
      auto Json = nlohmann::json::parse(Request.body(), nullptr, false);
      if (Json.is_object()) {
        Stop = Json.value("stop", nlohmann::json(false)) == true;
        Json.erase("stop");
      }
      const std::string Problem = Service.setFaults(Json);
      Response.result(Problem.empty() ? http::status::ok
                                      : http::status::bad_request);
      Response.body() = Problem.empty()
                            ? "{}\n"
                            : nlohmann::json{{"error", Problem}}.dump() + "\n";
    } else {
      Response.result(http::status::not_found);
      Response.body() = "{\"error\":\"GET /stats or POST /fault\"}\n";
    }
    Response.prepare_payload();
    http::write(Socket, Response, Error);
    Socket.shutdown(tcp::socket::shutdown_both, Error);
    if (Stop)
      ::kill(::getpid(), SIGTERM);
  }

  asio::io_context Context;
  tcp::acceptor Acceptor;
  platform_service &Service;
  std::thread Thread;
};

bool parseLoopback(const std::string &Text, tcp::endpoint &Endpoint) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  boost::system::error_code Error;
  const auto Address = asio::ip::make_address(Text.substr(0, Colon), Error);
  const std::string Port = Text.substr(Colon + 1);
  if (Error || !Address.is_loopback() || Port.empty() || Port.size() > 5 ||
      Port.find_first_not_of("0123456789") != std::string::npos)
    return false;
  Endpoint = {Address, static_cast<unsigned short>(std::stoul(Port))};
  return true;
}

} // namespace

int main(int Argc, const char **Argv) {
  const char *Listen = "127.0.0.1:0";
  const char *Admin = "127.0.0.1:0";
  hyssopledge::platform_standin::rate_limits Rates;
  const poptOption Table[] = {
      {"listen", 'l', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &Listen, 0,
       "loopback address of the etcd v3 API; port 0 takes a free one",
       "IP:PORT"},
      {"admin", 'a', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &Admin, 0,
       "loopback address for GET /stats and POST /fault", "IP:PORT"},
      {"read-rate", 0, POPT_ARG_DOUBLE, &Rates.ReadsPerSecond, 0,
       "reads and watches a second, 0 for no limit", "N"},
      {"write-rate", 0, POPT_ARG_DOUBLE, &Rates.WritesPerSecond, 0,
       "writes and lease calls a second, 0 for no limit", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context =
      poptGetContext("platform_standin", Argc, Argv, Table, 0);
  const int Parsed = poptGetNextOpt(Context);
  tcp::endpoint ListenEndpoint;
  tcp::endpoint AdminEndpoint;
  if (Parsed < -1 || poptPeekArg(Context) != nullptr ||
      !parseLoopback(Listen, ListenEndpoint) ||
      !parseLoopback(Admin, AdminEndpoint)) {
    std::cerr << "platform_standin: "
              << (Parsed < -1 ? poptStrerror(Parsed)
                              : "--listen and --admin take a loopback IP:PORT; "
                                "there are no other arguments")
              << "\n";
    poptFreeContext(Context);
    return 2;
  }
  // Signals are blocked before any thread starts, so that all threads inherit
  // the mask and only sigwait() below receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  try {
    platform_service Service(Listen, Rates);
    if (!Service.start()) {
      std::cerr << "platform_standin: can't listen on " << Listen << "\n";
      return 1;
    }
    const admin_server AdminServer(AdminEndpoint, Service);
    std::cout << "listen=" << ListenEndpoint.address().to_string() << ":"
              << Service.port() << " admin=" << AdminServer.endpoint()
              << std::endl;
    int Signal = 0;
    sigwait(&Signals, &Signal);
  } catch (const boost::system::system_error &Error) {
    std::cerr << "platform_standin: " << Error.what() << "\n";
    return 1;
  }
  poptFreeContext(Context);
  return 0;
}
