/// \file
/// The control side of a daemon: decisions, UDP, gRPC and timers on one
/// io_context.
#pragma once

#include "hyssopledge/coordination/control_agent.h"
#include "hyssopledge/transport/asio_timer_service.h"
#include "hyssopledge/transport/control_rpc.h"
#include "hyssopledge/transport/udp_socket.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hyssopledge::transport {

/// IncarnationHint 0 takes the seconds of the wall clock.
using control_plane_options = coordination::control_options;
/// All hooks run on the control thread.
using control_plane_hooks = coordination::control_hooks;

/// The io_context must be run by one thread, the control thread; destroy this
/// on it or after it has ended. Methods without a remark may be called from any
/// thread.
class control_plane {
public:
  control_plane(boost::asio::io_context &Context,
                coordination::platform_store &Platform,
                control_plane_options Options, control_plane_hooks Hooks);
  ~control_plane();
  control_plane(const control_plane &) = delete;
  control_plane &operator=(const control_plane &) = delete;

  /// Binds the sockets and joins. Before the control thread runs, or on it.
  /// Unavailable when an address can't be bound.
  state::result<bool> start();
  /// Announces the departure a few times, then calls Done on the control
  /// thread.
  void leave(std::function<void()> Done);
  /// On the control thread. Ends all traffic.
  void stop();

  void setTargets(std::vector<control::target> Targets);
  /// A refused record is logged.
  void publish(control::gossip_record Record);
  /// To a relay of the own data centre, which passes it on.
  void sendEvidence(control::reporter_evidence Evidence);
  /// Directives in force here, for the next acknowledgement.
  void setDirectives(std::vector<control::directive_position> Positions);

  /// Whether entry calls may be accepted at the time; wait-free.
  bool leaseValid(state::time_point Now) const { return Agent.leaseValid(Now); }
  bool ready() const { return Agent.ready(); }
  std::uint64_t appliedVersion() const { return Agent.appliedVersion(); }
  /// JSON, at most a second old.
  std::string status() const;
  const traffic_counters &traffic() const { return Traffic; }
  /// On the control thread.
  control::convergence convergence() const { return Agent.convergence(); }
  const coordination::control_agent &agent() const { return Agent; }

private:
  class network;

  void onDatagram(std::string_view Datagram);
  void onTick(state::time_point Now);
  void announceLeave(unsigned Left, const std::function<void()> &Done);
  template <class F> void post(F Function);

  boost::asio::io_context &Context;
  control_plane_options Options;
  control_plane_hooks Hooks;
  traffic_counters Traffic;
  control_rpc Rpc;
  udp_socket Socket;
  asio_timer_service Timers;
  std::unique_ptr<network> Network;
  coordination::control_agent Agent;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
  std::unique_ptr<state::timer_subscription> Tick;
  std::unique_ptr<state::timer_subscription> LeaveTimer;
  state::time_point NextStatus{};
  mutable std::mutex StatusGuard;
  std::string Status = "{}";
};

} // namespace hyssopledge::transport
