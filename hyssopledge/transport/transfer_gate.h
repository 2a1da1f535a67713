/// \file
/// Answers the transfer requests with which entry daemons ask before they send
/// a large body to the upstream of this instance. The decisions are in
/// state/transfer_queue. Runs on one event loop.
#pragma once

#include "hyssopledge/state/transfer_queue.h"
#include "hyssopledge/transport/http_listener.h"
#include "hyssopledge/transport/upstream_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hyssopledge::transport {

class transfer_gate {
public:
  /// LinkMbps is the rate of this instance's link; 0: unknown, then all
  /// transfers are admitted.
  transfer_gate(boost::asio::io_context &Context,
                upstream_client &UpstreamClient, double LinkMbps);

  /// Whether a body of this size is announced before it is sent over a link of
  /// this rate. Smaller ones cost less than the additional round trip.
  static bool needsTransfer(std::size_t BodyBytes, double LinkMbps);

  /// Admits, queues or refuses the transfer of Call.BodyBytes.
  void onRequest(const std::shared_ptr<server_exchange> &Sender, hop_call Call);
  /// The body of an admitted transfer has arrived.
  void onArrival(std::uint64_t Ticket);
  /// Path of transfer requests at the hop address.
  static const char *const Path;

private:
  struct waiting_transfer {
    std::shared_ptr<server_exchange> Sender;
    hop_call Call;
  };

  void admit(std::uint64_t Ticket,
             const std::shared_ptr<server_exchange> &Sender);
  void refuse(const std::shared_ptr<server_exchange> &Sender,
              hop_answer Answer);
  void release(const std::vector<state::transfer_release> &Releases);
  void armTimer();

  boost::asio::io_context &Context;
  upstream_client &UpstreamClient;
  state::transfer_queue Queue;
  std::uint64_t LastTicket = 0;
  std::unordered_map<std::uint64_t, waiting_transfer> Waiting; // by ticket
  boost::asio::steady_timer Timer;
  bool TimerArmed = false;
};

} // namespace hyssopledge::transport
