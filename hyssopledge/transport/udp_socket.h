/// \file
/// UDP socket for the datagrams between daemons.
#pragma once

#include "hyssopledge/state/result.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace hyssopledge::transport {

/// Parses "ip:port" or "[ip6]:port"; InvalidSettings otherwise.
state::result<boost::asio::ip::udp::endpoint>
parseUdpEndpoint(const std::string &Address);

/// Use it on the thread of its io_context. The handler receives each datagram.
class udp_socket {
public:
  using handler = std::function<void(std::string_view Datagram)>;

  udp_socket(boost::asio::io_context &Context, handler Handler);

  /// Binds the address and starts to receive. Unavailable when it can't be
  /// bound.
  state::result<bool> open(const std::string &Address);
  /// Sends a datagram without blocking. One that can't be sent at once is
  /// dropped, as the network might drop it.
  void send(const std::string &Address, std::string_view Datagram);
  void close();

private:
  void receive();

  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  // Longer datagrams are truncated and don't parse.
  std::array<char, 2048> Buffer{};
  handler Handler;
};

} // namespace hyssopledge::transport
