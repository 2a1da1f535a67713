/// \file
/// One call at its entry daemon, and its attempts. Private to the mesh plane.
#pragma once

#include "hyssopledge/transport/mesh_plane.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::transport {

/// One send of a request to one target: to the local upstream, or to the daemon
/// beside another one, which may have to admit a large body first.
class mesh_plane::attempt : public std::enable_shared_from_this<attempt> {
public:
  /// Hop has the fields that do not change with time.
  attempt(mesh_plane &Plane, std::shared_ptr<entry_call> Call, target To,
          hop_call Hop);

  /// Sends the request. The call's onAttemptEnd() is called once, possibly
  /// before send() returns; never after cancel().
  void send();
  void cancel();
  /// The target's daemon is unreachable.
  void onPeerUnreachable();

  const target To;
  const state::time_point Started;
  bool awaitsTransfer() const { return AwaitsTransfer; }

private:
  hop_call currentHop() const;
  void requestTransfer();
  void sendToPeer(std::uint64_t Ticket);
  void exchangeWithPeer(outgoing_request Request,
                        void (attempt::*OnResult)(exchange_result));
  void onTransferAnswer(exchange_result Result);
  void onExchange(exchange_result Result);
  void end(hop_answer Answer);
  void removeFromPeer();

  mesh_plane &Plane;
  std::shared_ptr<entry_call> Call; // null once the attempt has ended
  const std::shared_ptr<server_exchange> Caller;
  const state::time_point Deadline;
  const state::time_point SloDeadline;
  const hop_call Hop;
  bool AwaitsTransfer = false; // the body is not sent yet
  std::shared_ptr<client_exchange> PeerExchange;
  std::shared_ptr<upstream_exchange> LocalExchange;
};

class mesh_plane::entry_call : public std::enable_shared_from_this<entry_call> {
public:
  entry_call(mesh_plane &Plane, std::shared_ptr<server_exchange> Caller);

  void start();
  /// Called when the daemon that has the request is unreachable. Sends the
  /// request to another target if it may be retried; otherwise keeps waiting
  /// for the response.
  void onPeerUnreachable(attempt &Lost);
  void onAttemptEnd(attempt &Ended, hop_answer Answer);
  /// Starts a second attempt if the first one is slower than usual.
  void considerHedge(state::time_point Now);
  /// Responds with an unknown outcome because this daemon shuts down.
  void endOverdue(state::time_point Now);
  void abort();

  /// The request without its body and without fields of the caller's
  /// connection and credentials.
  http_request forwardedHead() const;
  /// The body of the caller's request, which is not copied.
  shared_body body() const;

private:
  friend class mesh_plane::attempt;

  void chooseService();
  void chooseVersion(const coordination::traffic_split &VersionSplit);
  void acquireQuota();
  void tryNextTarget();
  void send(const target &To);
  hop_call hopCall() const;
  void onNotRun(const hop_answer &Answer, state::time_point Now);
  bool tryAcquireRerun(state::time_point Now);
  void end(const char *Reason);
  void refuse(const char *Reason, state::milliseconds Backlog);
  void respondError(unsigned Status, const char *Outcome, const char *Reason);
  void respondUpstream(hop_answer Answer);
  void finish(http_response Response, const char *Outcome, const char *Reason);
  void dropAttempt(std::shared_ptr<attempt> &Dropped);
  void onCallerDisconnect();
  void logRetry(const hop_answer &Answer) const;
  void logEnd(unsigned Status, const char *Outcome, const char *Reason) const;

  mesh_plane &Plane;
  std::shared_ptr<server_exchange> Caller;
  const state::time_point Started;
  std::shared_ptr<const state::route_table> Table;
  const state::route_spec *Route = nullptr;         // points into Table
  const state::workspace_spec *Workspace = nullptr; // points into Table
  std::string Id;
  std::string Service;
  state::milliseconds Timeout{0}; // of the caller or the route, the shorter one
  state::time_point Deadline{};
  state::time_point SloDeadline{};
  bool Idempotent = false;
  bool VersionChosen = false;
  bool NewVersion = false;
  bool MayMissSlo = false; // the latency objective may be missed
  bool MayHaveRun = false; // some attempt may have run
  bool HasQuota = false;   // granted by the workspace's quota
  bool Done = false;
  unsigned Hops = 0;   // daemons tried
  unsigned Sends = 0;  // requests that reached an upstream
  unsigned Reruns = 0; // retries after an attempt that may have run
  unsigned Hedges = 0; // second attempts beside a running one
  std::vector<std::string> TriedUpstreams;
  std::vector<std::string> ExcludedUpstreams; // can't run it, even late
  std::string LastReason;
  state::milliseconds ExpectedLatency{0};
  state::milliseconds RetryAfter{0};
  target LastTarget;
  std::shared_ptr<attempt> Current; // null: none is running
  std::shared_ptr<attempt> Hedge;   // second attempt beside Current
};

} // namespace hyssopledge::transport
