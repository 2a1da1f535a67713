#include "hyssopledge/transport/mesh_call.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hyssopledge::transport {

using state::boot_clock;
using state::milliseconds;

namespace {

// Time after the deadline for the other daemon's response to arrive.
constexpr milliseconds HopResponseGracePeriod{80};

milliseconds toMilliseconds(boot_clock::duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time);
}

} // namespace

mesh_plane::attempt::attempt(mesh_plane &Plane,
                             std::shared_ptr<entry_call> NewCall, target To,
                             hop_call Hop)
    : To(std::move(To)), Started(boot_clock::now()), Plane(Plane),
      Call(std::move(NewCall)), Caller(Call->Caller), Deadline(Call->Deadline),
      SloDeadline(Call->SloDeadline), Hop(std::move(Hop)) {}

hop_call mesh_plane::attempt::currentHop() const {
  const state::time_point Now = boot_clock::now();
  hop_call Current = Hop;
  Current.TimeLeft = toMilliseconds(Deadline - Now);
  Current.SloTimeLeft = toMilliseconds(SloDeadline - Now);
  return Current;
}

void mesh_plane::attempt::send() {
  Plane.Placement.onSent(To.Upstream);
  if (To.Instance == Plane.Options.Instance) {
    // run() may call the handler before it returns.
    auto Exchange = Plane.UpstreamClient.run(
        currentHop(), {Call->forwardedHead(), Call->body()},
        [Self = shared_from_this()](hop_answer Answer) {
          Self->end(std::move(Answer));
        },
        [Caller = Caller] { return Caller->detectDisconnect(); });
    if (Call)
      LocalExchange = std::move(Exchange);
    return;
  }
  peer &Peer = Plane.Peers[To.Instance];
  if (Peer.Attempts.empty())
    Peer.LastAliveAt = std::max(Peer.LastAliveAt, Started);
  Peer.Attempts.insert(this);
  if (transfer_gate::needsTransfer(Call->body()->size(), To.LinkMbps))
    requestTransfer();
  else
    sendToPeer(0);
}

/// Asks the target's daemon when the body may be sent.
void mesh_plane::attempt::requestTransfer() {
  AwaitsTransfer = true;
  hop_call Request = currentHop();
  Request.BodyBytes = Call->body()->size();
  http_request Head(boost::beast::http::verb::get, transfer_gate::Path, 11);
  Head.set(HopCallField, formatHopCall(Request));
  exchangeWithPeer(std::move(Head), &attempt::onTransferAnswer);
}

/// Sends the request to the target's daemon. Ticket is that of the admitted
/// transfer of its body; 0: none was needed.
void mesh_plane::attempt::sendToPeer(std::uint64_t Ticket) {
  hop_call Current = currentHop();
  Current.TransferTicket = Ticket;
  http_request Head = Call->forwardedHead();
  removeConnectionFields(Head);
  Head.version(11);
  Head.set(HopCallField, formatHopCall(Current));
  exchangeWithPeer({std::move(Head), Call->body()}, &attempt::onExchange);
}

void mesh_plane::attempt::exchangeWithPeer(
    outgoing_request Request, void (attempt::*OnResult)(exchange_result)) {
  send_options Options;
  Options.FromDaemon = true;
  PeerExchange = Plane.Pool.send(
      To.HopAddress, std::move(Request), Deadline + HopResponseGracePeriod,
      [Self = shared_from_this(), OnResult](exchange_result Result) {
        if (Self->Call)
          (*Self.*OnResult)(std::move(Result));
      },
      std::move(Options));
}

void mesh_plane::attempt::onTransferAnswer(exchange_result Result) {
  AwaitsTransfer = false;
  if (Result.Outcome == exchange_outcome::Complete) {
    const std::string_view Field = fieldValue(Result.Response, TransferField);
    std::uint64_t Ticket = 0;
    std::from_chars(Field.data(), Field.data() + Field.size(), Ticket);
    if (Ticket > 0) {
      Plane.onPeerAlive(To.Instance);
      PeerExchange = nullptr;
      if (!Caller->detectDisconnect())
        sendToPeer(Ticket);
      return;
    }
  }
  // The request itself has not left this daemon.
  if (Result.Outcome == exchange_outcome::Unknown)
    Result.Outcome = exchange_outcome::NotSent;
  onExchange(std::move(Result));
}

void mesh_plane::attempt::onExchange(exchange_result Result) {
  PeerExchange = nullptr;
  hop_answer Answer;
  switch (Result.Outcome) {
  case exchange_outcome::Complete:
    Plane.onPeerAlive(To.Instance);
    Answer = parseHopAnswer(std::move(Result.Response));
    break;
  case exchange_outcome::NotSent:
    Answer.Outcome = hop_outcome::NotRun;
    Answer.Reason = Result.Error == exchange_error::Timeout
                        ? "deadline"
                        : "peer-unreachable";
    if (Result.Error == exchange_error::ConnectFailed)
      Plane.Peers[To.Instance].Reachable = false;
    break;
  case exchange_outcome::Unknown:
    Answer.Outcome = hop_outcome::Unknown;
    // The target's daemon answers at the deadline even if its upstream does
    // not, so without an answer the daemon itself or its link is slow.
    Answer.Reason = Result.Error == exchange_error::Timeout ? "peer-timeout"
                    : Result.Error == exchange_error::OverBudget ? "memory"
                                                                 : "peer-cut";
    break;
  }
  end(std::move(Answer));
}

void mesh_plane::attempt::onPeerUnreachable() {
  if (!Call)
    return;
  if (!AwaitsTransfer)
    return Call->onPeerUnreachable(*this);
  // The request itself has not left this daemon.
  if (const auto Exchange = std::exchange(PeerExchange, nullptr))
    Exchange->cancel();
  hop_answer Answer;
  Answer.Outcome = hop_outcome::NotRun;
  Answer.Reason = "peer-unreachable";
  end(std::move(Answer));
}

void mesh_plane::attempt::end(hop_answer Answer) {
  if (!Call)
    return;
  const auto Self = shared_from_this();
  const auto Owner = std::exchange(Call, nullptr);
  removeFromPeer();
  PeerExchange = nullptr;
  LocalExchange = nullptr;
  Owner->onAttemptEnd(*this, std::move(Answer));
}

void mesh_plane::attempt::cancel() {
  const auto Self = shared_from_this();
  if (!std::exchange(Call, nullptr))
    return;
  removeFromPeer();
  if (const auto Exchange = std::exchange(PeerExchange, nullptr))
    Exchange->cancel();
  if (const auto Exchange = std::exchange(LocalExchange, nullptr))
    Exchange->cancel();
}

void mesh_plane::attempt::removeFromPeer() {
  const auto Found = Plane.Peers.find(To.Instance);
  if (Found != Plane.Peers.end())
    Found->second.Attempts.erase(this);
}

} // namespace hyssopledge::transport
