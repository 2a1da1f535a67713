#include "hyssopledge/transport/udp_socket.h"

#include <boost/asio/buffer.hpp>
#include <charconv>
#include <utility>

namespace hyssopledge::transport {

using boost::asio::ip::udp;
using state::errc;
using state::failure;

state::result<udp::endpoint> parseUdpEndpoint(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  const auto InvalidAddress = [&Address] {
    return failure(errc::InvalidSettings,
                   "\"" + Address +
                       "\" must be an address of the form ip:port");
  };
  if (Colon == std::string::npos || Colon == 0)
    return InvalidAddress();
  std::string Host = Address.substr(0, Colon);
  if (Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  const auto [ParsedEnd, Error] =
      std::from_chars(Address.data() + Colon + 1, End, Port);
  boost::system::error_code Code;
  const auto Ip = boost::asio::ip::make_address(Host, Code);
  if (Error != std::errc() || ParsedEnd != End || Code)
    return InvalidAddress();
  return udp::endpoint(Ip, Port);
}

udp_socket::udp_socket(boost::asio::io_context &Context, handler Handler)
    : Socket(Context), Handler(std::move(Handler)) {}

state::result<bool> udp_socket::open(const std::string &Address) {
  auto Endpoint = parseUdpEndpoint(Address);
  if (!Endpoint)
    return Endpoint.error();
  boost::system::error_code Code;
  Socket.open(Endpoint.value().protocol(), Code);
  if (!Code)
    Socket.bind(Endpoint.value(), Code);
  if (!Code)
    Socket.non_blocking(true, Code);
  if (Code)
    return failure(errc::Unavailable,
                   "can't bind UDP address " + Address + ": " + Code.message());
  receive();
  return true;
}

void udp_socket::receive() {
  Socket.async_receive_from(
      boost::asio::buffer(Buffer), Sender,
      [this](const boost::system::error_code &Code, std::size_t Size) {
        if (Code == boost::asio::error::operation_aborted)
          return;
        // Other errors report an earlier datagram that could not be delivered.
        if (!Code)
          Handler(std::string_view(Buffer.data(), Size));
        if (Socket.is_open())
          receive();
      });
}

void udp_socket::send(const std::string &Address, std::string_view Datagram) {
  const auto Endpoint = parseUdpEndpoint(Address);
  if (!Endpoint || !Socket.is_open())
    return;
  boost::system::error_code Ignored;
  Socket.send_to(boost::asio::buffer(Datagram.data(), Datagram.size()),
                 Endpoint.value(), 0, Ignored);
}

void udp_socket::close() {
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

} // namespace hyssopledge::transport
