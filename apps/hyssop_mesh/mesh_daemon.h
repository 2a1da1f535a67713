/// \file
/// One mesh daemon on a platform that is reached through an adapter. All parts
/// run on one event loop and one thread.
#pragma once

#include "hyssopledge/coordination/fleet_agent.h"
#include "hyssopledge/coordination/quota_agent.h"
#include "hyssopledge/coordination/upstream_registry.h"
#include "hyssopledge/protocol/mesh_settings.h"
#include "hyssopledge/transport/asio_timer_service.h"
#include "hyssopledge/transport/document_client.h"
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

/// Platform-specific codecs and storage. The referenced objects must outlive
/// the daemon.
struct platform_adapter {
  const transport::call_dialect &CallDialect;
  const transport::instance_dialect &InstanceDialect;
  const coordination::operator_dialect &OperatorDialect;
  coordination::platform_store &Store;
};

class mesh_daemon final : coordination::peer_transport {
public:
  /// Binds all addresses and starts the daemon; returns Unavailable if an
  /// address is in use. Reload is called on SIGHUP.
  static state::result<std::unique_ptr<mesh_daemon>>
  open(boost::asio::io_context &Context, protocol::mesh_settings Settings,
       platform_adapter Adapter, std::function<void()> Reload);
  ~mesh_daemon() override;

  /// Runs the event loop. Returns after SIGTERM or SIGINT, once accepted
  /// requests have been answered or the shutdown timeout is nearly over.
  void run();

private:
  mesh_daemon(boost::asio::io_context &Context,
              protocol::mesh_settings Settings, platform_adapter Adapter,
              std::function<void()> Reload);
  state::result<bool> start();

  //--- peer_transport ---------------------------------------------------------
  void send(const std::string &ControlAddress,
            const std::string &Datagram) override;
  void fetchDocument(
      const std::string &HopAddress,
      std::function<void(state::result<std::string>)> Handler) override;

  //--- Events -----------------------------------------------------------------
  void onInstanceCall(const std::shared_ptr<transport::server_exchange> &Call);
  static void
  acknowledge(const std::shared_ptr<transport::server_exchange> &Call,
              bool IsKept);
  void
  onReadinessProbe(const std::shared_ptr<transport::server_exchange> &Call);
  void onDocument(std::shared_ptr<const state::route_table> Table);
  void openQuotas();
  void onDirectoryChanged();
  void applyDirectory();
  void publishUpstream(bool AcceptsConnections);
  void onUpstreamChanged(const std::string &FormerName,
                         bool AcceptsConnections);
  void onRequestLimitChanged();
  void awaitSignal();
  void beginShutdown();
  void leaveFleet();
  void checkShutdown();
  void onLogFlushTimer(state::time_point Now);

  boost::asio::io_context &Context;
  protocol::mesh_settings Settings;
  platform_adapter Adapter;
  std::function<void()> Reload;
  boost::asio::signal_set Signals;
  transport::asio_timer_service Timers;
  transport::metrics Metrics;
  transport::udp_socket Datagrams;
  transport::document_client Documents;
  coordination::upstream_registry Registry;
  std::unique_ptr<transport::upstream_client> UpstreamClient;
  std::unique_ptr<transport::mesh_plane> MeshPlane;
  std::unique_ptr<coordination::fleet_agent> Agent;
  std::unique_ptr<coordination::quota_agent> Quotas;
  std::unique_ptr<transport::http_listener> ReadinessListener;
  std::unique_ptr<transport::http_listener> UpstreamControlListener;
  std::unique_ptr<transport::http_listener> MetricsListener;
  std::unique_ptr<state::timer_subscription> LogFlushTimer;
  std::unique_ptr<state::timer_subscription> PoisonTimer;
  std::unique_ptr<state::timer_subscription> ShutdownTimer;
  std::string CompressedDocument; // cache for peers; empty: not compressed yet
  state::milliseconds ColdPeriod{0}; // of the local upstream's service
  state::time_point LimitPublishedAt{};
  state::time_point LastLogFlush{};
  state::time_point LastLoopDelayLog{};
  state::milliseconds MaxLoopDelay{0}; // since it was last logged
  bool DirectoryUpdatePending = false;
  bool ShuttingDown = false;
  bool HasLeftFleet = false;
  state::time_point ShutdownStartedAt{};
  state::time_point IdleSince{};
};

} // namespace hyssopledge::hyssop_mesh
