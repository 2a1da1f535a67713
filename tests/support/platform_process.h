/// \file
/// Runs the platform stand-in as a child process on free loopback ports.
#pragma once

#include "support/child_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hyssopledge::tests {

class platform_process {
public:
  explicit platform_process(const std::vector<std::string> &Arguments = {})
      : Process(command(Arguments)) {
    // Format of the line: "listen=127.0.0.1:1 admin=127.0.0.1:2".
    const std::string Line = Process.readLine();
    Address = Line.substr(7, Line.find(' ') - 7);
    AdminPort = static_cast<unsigned short>(
        std::stoul(Line.substr(Line.rfind(':') + 1)));
  }

  std::string Address;
  child_process &process() { return Process; }
  /// Sends the body to POST /fault. Returns false if the stand-in rejects it.
  bool fault(const std::string &Json) const {
    return request("POST", "/fault", Json).result_int() == 200;
  }
  nlohmann::json stats() const {
    return nlohmann::json::parse(request("GET", "/stats", "").body());
  }

private:
  static std::vector<std::string>
  command(const std::vector<std::string> &Arguments) {
    std::vector<std::string> CommandLine{HYSSOPLEDGE_BIN_DIR
                                         "/tools/platform_standin"};
    CommandLine.insert(CommandLine.end(), Arguments.begin(), Arguments.end());
    return CommandLine;
  }
  boost::beast::http::response<boost::beast::http::string_body>
  request(const std::string &Method, const std::string &Target,
          const std::string &Body) const {
    namespace http = boost::beast::http;
    using tcp = boost::asio::ip::tcp;
    boost::asio::io_context Context;
    tcp::socket Socket(Context);
    Socket.connect({boost::asio::ip::address_v4::loopback(), AdminPort});
    http::request<http::string_body> Request(http::string_to_verb(Method),
                                             Target, 11, Body);
    Request.prepare_payload();
    http::write(Socket, Request);
    boost::beast::flat_buffer Buffer;
    http::response<http::string_body> Response;
    http::read(Socket, Buffer, Response);
    return Response;
  }

  child_process Process;
  unsigned short AdminPort = 0;
};

} // namespace hyssopledge::tests
