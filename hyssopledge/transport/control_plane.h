/// \file
/// The control plane of a daemon: runs the control agent, its UDP socket, its
/// gRPC service and its timers on one io_context.
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

/// An IncarnationHint of 0 stands for the wall clock in Unix seconds.
using control_plane_options = coordination::control_agent_options;
/// All hooks run on the control thread.
using control_plane_hooks = coordination::control_agent_hooks;

/// One thread, the control thread, must run the io_context. Destroy the object
/// on that thread or after it has ended. Methods may be called from any thread
/// unless their comment says otherwise.
class control_plane {
public:
  control_plane(boost::asio::io_context &Context,
                coordination::platform_store &Platform,
                control_plane_options Options, control_plane_hooks Hooks);
  ~control_plane();
  control_plane(const control_plane &) = delete;
  control_plane &operator=(const control_plane &) = delete;

  /// Binds the sockets and joins the membership. Call it before the control
  /// thread runs, or on it. Unavailable when an address can't be bound.
  state::result<bool> start();
  /// Announces the departure several times, since datagrams may be lost, then
  /// calls Done on the control thread.
  void leave(std::function<void()> Done);
  /// Closes the sockets and cancels timers and calls. Call it on the control
  /// thread.
  void stop();

  void setTargets(std::vector<control::target> Targets);
  /// Publishes a record by gossip; a refused record is logged.
  void publish(control::gossip_record Record);
  /// Sends evidence to a relay of this data centre, which forwards it.
  void sendEvidence(control::reporter_evidence Evidence);
  /// Sets the directives that are active here, for the next acknowledgement.
  void setDirectives(std::vector<control::directive_position> Positions);

  /// True when entry calls may be accepted at this time. Wait-free.
  bool leaseValid(state::time_point Now) const { return Agent.leaseValid(Now); }
  bool ready() const { return Agent.ready(); }
  std::uint64_t appliedVersion() const { return Agent.appliedVersion(); }
  /// Returns the status as JSON, refreshed about once a second.
  std::string status() const;
  const peer_traffic_counters &traffic() const { return Traffic; }
  /// Call the methods below on the control thread.
  control::convergence convergence() const { return Agent.convergence(); }
  const coordination::control_agent &agent() const { return Agent; }

private:
  class network_transport;

  void onDatagram(std::string_view Datagram);
  void onTick(state::time_point Now);
  void announceLeave(unsigned AnnouncementsLeft,
                     const std::function<void()> &Done);
  template <class F> void post(F Function);

  boost::asio::io_context &Context;
  control_plane_options Options;
  control_plane_hooks Hooks;
  peer_traffic_counters Traffic;
  control_rpc Rpc;
  udp_socket Socket;
  asio_timer_service Timers;
  std::unique_ptr<network_transport> Network;
  coordination::control_agent Agent;
  std::shared_ptr<int> LifetimeToken = std::make_shared<int>(0);
  std::unique_ptr<state::timer_subscription> TickTimer;
  std::unique_ptr<state::timer_subscription> LeaveTimer;
  state::time_point NextStatusTime{};
  mutable std::mutex StatusMutex;
  std::string Status = "{}";
};

} // namespace hyssopledge::transport
