/// \file
/// One daemon of the mesh on a platform that is reached through an adapter: all
/// parts on one loop and one thread.
#pragma once

#include "hyssopledge/coordination/fleet_agent.h"
#include "hyssopledge/coordination/upstream_registry.h"
#include "hyssopledge/protocol/mesh_settings.h"
#include "hyssopledge/transport/asio_timer_service.h"
#include "hyssopledge/transport/http_listener.h"
#include "hyssopledge/transport/instance_dialect.h"
#include "hyssopledge/transport/mesh_plane.h"
#include "hyssopledge/transport/metrics.h"
#include "hyssopledge/transport/udp_socket.h"
#include "hyssopledge/transport/upstream_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>

namespace hyssopledge::hyssop_mesh {

/// What a platform's adapter brings; outlives the daemon.
struct platform_adapter {
  const transport::call_dialect &Calls;
  const transport::instance_dialect &Instances;
  const coordination::operator_dialect &Operators;
  coordination::platform_store &Store;
};

class mesh_daemon final : coordination::peer_transport {
public:
  /// Binds all addresses; Unavailable when one is in use. Reload reads the
  /// settings again.
  static state::result<std::unique_ptr<mesh_daemon>>
  open(boost::asio::io_context &Context, protocol::mesh_settings Settings,
       platform_adapter Adapter, std::function<void()> Reload);
  ~mesh_daemon() override;

  /// Returns after SIGTERM or SIGINT, when what was taken has been answered.
  void run();

private:
  mesh_daemon(boost::asio::io_context &Context,
              protocol::mesh_settings Settings, platform_adapter Adapter,
              std::function<void()> Reload);
  state::result<bool> start();

  //--- peer_transport
  //-----------------------------------------------------------
  void send(const std::string &ControlAddress,
            const std::string &Datagram) override;
  void fetchDocument(
      const std::string &HopAddress,
      std::function<void(state::result<std::string>)> Handler) override;

  //--- Events -----------------------------------------------------------------
  void onInstanceCall(const std::shared_ptr<transport::server_exchange> &Call);
  void onReadiness(const std::shared_ptr<transport::server_exchange> &Call);
  void onDirectory();
  void applyDirectory();
  void publishUpstream(bool AcceptsConnections);
  void onUpstreamChanged(const std::string &FormerName,
                         bool AcceptsConnections);
  void awaitSignal();
  void leave();
  void leaveFleet();
  void checkLeft();
  void onTick();

  boost::asio::io_context &Context;
  protocol::mesh_settings Settings;
  platform_adapter Adapter;
  std::function<void()> Reload;
  boost::asio::signal_set Signals;
  transport::asio_timer_service Timers;
  transport::metrics Metrics;
  transport::udp_socket Datagrams;
  transport::http_client_pool Pool; // document fetches
  coordination::upstream_registry Registry;
  std::unique_ptr<transport::upstream_client> UpstreamClient;
  std::unique_ptr<transport::mesh_plane> Plane;
  std::unique_ptr<coordination::fleet_agent> Agent;
  std::unique_ptr<transport::http_listener> Ready;
  std::unique_ptr<transport::http_listener> Control;
  std::unique_ptr<transport::http_listener> Figures; // metrics
  std::unique_ptr<state::timer_subscription> Tick;
  std::unique_ptr<state::timer_subscription> LeaveCheck;
  std::string PackedDocument; // compressed for other daemons, empty: not yet
  bool DirectoryDirty = false;
  bool Leaving = false;
  bool LeftFleet = false;
  state::time_point LeavingSince{};
  state::time_point IdleSince{};
};

} // namespace hyssopledge::hyssop_mesh
