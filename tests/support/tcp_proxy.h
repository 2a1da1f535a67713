/// \file
/// Loopback TCP proxy whose open connections can go silent: they stay open and
/// carry nothing more, without a reset, while new ones work.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::tests {

class tcp_proxy {
public:
  explicit tcp_proxy(boost::asio::io_context &Context) : Context(Context) {}
  tcp_proxy(const tcp_proxy &) = delete;
  tcp_proxy &operator=(const tcp_proxy &) = delete;

  /// Returns an "ip:port" whose connections are forwarded to "ip:port".
  std::string forward(const std::string &Address) {
    const std::size_t Colon = Address.rfind(':');
    auto Entry = std::make_shared<entrance>(
        Context,
        tcp::endpoint(
            boost::asio::ip::make_address(Address.substr(0, Colon)),
            static_cast<unsigned short>(std::stoi(Address.substr(Colon + 1)))));
    accept(Entry);
    return "127.0.0.1:" +
           std::to_string(Entry->Acceptor.local_endpoint().port());
  }

  /// All connections that are open now go silent.
  void silenceConnections() {
    for (const auto &Weak : Links)
      if (const auto Link = Weak.lock()) {
        Link->Silent = true;
        Silenced.push_back(Link);
      }
    Links.clear();
  }

private:
  using tcp = boost::asio::ip::tcp;

  struct entrance {
    entrance(boost::asio::io_context &Context, tcp::endpoint Target)
        : Acceptor(Context,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          Target(std::move(Target)) {}
    tcp::acceptor Acceptor;
    tcp::endpoint Target;
  };

  struct link : std::enable_shared_from_this<link> {
    explicit link(tcp::socket Client, boost::asio::io_context &Context)
        : Client(std::move(Client)), Server(Context) {}

    void start(const tcp::endpoint &Target) {
      Server.async_connect(Target, [Self = shared_from_this()](auto Error) {
        if (Error)
          return Self->close();
        boost::system::error_code Ignored;
        Self->Client.set_option(tcp::no_delay(true), Ignored);
        Self->Server.set_option(tcp::no_delay(true), Ignored);
        Self->pump(Self->Client, Self->Server, Self->Up);
        Self->pump(Self->Server, Self->Client, Self->Down);
      });
    }

    void pump(tcp::socket &From, tcp::socket &To,
              std::array<char, 4096> &Bytes) {
      From.async_read_some(
          boost::asio::buffer(Bytes), [Self = shared_from_this(), &From, &To,
                                       &Bytes](auto Error, std::size_t Count) {
            // A silent connection hides the other side's close as well.
            if (Self->Silent)
              return;
            if (Error)
              return Self->close();
            boost::asio::async_write(
                To, boost::asio::buffer(Bytes, Count),
                [Self, &From, &To, &Bytes](auto Failure, std::size_t) {
                  if (Self->Silent)
                    return;
                  if (Failure)
                    return Self->close();
                  Self->pump(From, To, Bytes);
                });
          });
    }

    void close() {
      boost::system::error_code Ignored;
      Client.close(Ignored);
      Server.close(Ignored);
    }

    tcp::socket Client;
    tcp::socket Server;
    std::array<char, 4096> Up{};
    std::array<char, 4096> Down{};
    bool Silent = false;
  };

  void accept(const std::shared_ptr<entrance> &Entry) {
    Entry->Acceptor.async_accept(
        [this, Entry](boost::system::error_code Error, tcp::socket Client) {
          if (Error)
            return;
          auto Link = std::make_shared<link>(std::move(Client), Context);
          Links.push_back(Link);
          Link->start(Entry->Target);
          accept(Entry);
        });
  }

  boost::asio::io_context &Context;
  std::vector<std::weak_ptr<link>> Links;
  std::vector<std::shared_ptr<link>> Silenced; // kept open
};

} // namespace hyssopledge::tests
