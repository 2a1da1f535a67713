#include "hyssopledge/transport/control_plane.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace hyssopledge::transport {

using coordination::control_transport;
using state::time_point;

namespace {

constexpr unsigned TicksPerProbeInterval = 5;
constexpr unsigned LeaveAnnouncements = 3;

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

control_plane_options withIncarnationHint(control_plane_options Options) {
  if (Options.IncarnationHint == 0)
    Options.IncarnationHint = static_cast<std::uint64_t>(unixMs() / 1000);
  return Options;
}

} // namespace

/// Sends the agent's packets over UDP and its calls over gRPC.
class control_plane::network_transport final : public control_transport {
public:
  network_transport(control_rpc &Rpc, udp_socket &Socket,
                    peer_traffic_counters &Traffic)
      : Rpc(Rpc), Socket(Socket), Traffic(Traffic) {}

  void send(const std::string &Address,
            const control::gossip_packet &Packet) override {
    const std::string Bytes = Packet.SerializeAsString();
    Traffic.Sent.add(peer_traffic_cause::Membership, Bytes.size());
    Socket.send(Address, Bytes);
  }
  void fetch(const std::string &Address, const control::fetch_request &Request,
             handler<control::fetch_response> Handler) override {
    Rpc.fetch(Address, Request, std::move(Handler));
  }
  void sync(const std::string &Address, const control::sync_request &Request,
            handler<control::sync_response> Handler) override {
    Rpc.sync(Address, Request, std::move(Handler));
  }
  void renew(const std::string &Address, const control::renew_request &Request,
             handler<control::renew_response> Handler) override {
    Rpc.renew(Address, Request, std::move(Handler));
  }
  void report(const std::string &Address,
              const control::report_request &Request,
              handler<control::report_response> Handler) override {
    Rpc.report(Address, Request, std::move(Handler));
  }

private:
  control_rpc &Rpc;
  udp_socket &Socket;
  peer_traffic_counters &Traffic;
};

control_plane::control_plane(boost::asio::io_context &Context,
                             coordination::platform_store &Platform,
                             control_plane_options NewOptions,
                             control_plane_hooks NewHooks)
    : Context(Context), Options(withIncarnationHint(std::move(NewOptions))),
      Hooks(std::move(NewHooks)), Rpc(Context, Traffic),
      Socket(Context,
             [this](std::string_view Datagram) { onDatagram(Datagram); }),
      Timers(Context),
      Network(std::make_unique<network_transport>(Rpc, Socket, Traffic)),
      Agent(
          Options, Hooks, *Network, Platform,
          [] { return state::boot_clock::now(); }, unixMs) {}

control_plane::~control_plane() { stop(); }

template <class F> void control_plane::post(F Function) {
  boost::asio::post(Context, [Lifetime = std::weak_ptr<int>(LifetimeToken),
                              Function = std::move(Function)]() mutable {
    if (!Lifetime.expired())
      Function();
  });
}

state::result<bool> control_plane::start() {
  if (auto Opened = Socket.open(Options.GossipAddress); !Opened)
    return Opened;
  control_service_handlers Handlers;
  Handlers.Fetch = [this](const auto &Request) {
    return Agent.onFetch(Request);
  };
  Handlers.Sync = [this](const auto &Request) { return Agent.onSync(Request); };
  Handlers.Renew = [this](const auto &Request) {
    return Agent.onRenew(Request);
  };
  Handlers.Report = [this](const auto &Request) {
    return Agent.onReport(Request);
  };
  if (auto Listening = Rpc.start(Options.ControlAddress, std::move(Handlers));
      !Listening) {
    Socket.close();
    return Listening;
  }
  Agent.start();
  TickTimer = Timers.every(Options.ProbeInterval / TicksPerProbeInterval,
                           [this](time_point Now) { onTick(Now); });
  return true;
}

void control_plane::stop() {
  LifetimeToken.reset();
  TickTimer.reset();
  LeaveTimer.reset();
  Socket.close();
  Rpc.stop();
}

void control_plane::onDatagram(std::string_view Datagram) {
  Traffic.Received.add(peer_traffic_cause::Membership, Datagram.size());
  control::gossip_packet Packet;
  if (Packet.ParseFromArray(Datagram.data(), static_cast<int>(Datagram.size())))
    Agent.onPacket(Packet);
}

void control_plane::onTick(time_point Now) {
  Agent.onTick();
  if (Now < NextStatusTime)
    return;
  NextStatusTime = Now + std::chrono::milliseconds(900);
  std::string NewStatus = Agent.status();
  const std::lock_guard<std::mutex> Lock(StatusMutex);
  Status = std::move(NewStatus);
}

std::string control_plane::status() const {
  const std::lock_guard<std::mutex> Lock(StatusMutex);
  return Status;
}

void control_plane::leave(std::function<void()> Done) {
  post([this, Done = std::move(Done)] {
    announceLeave(LeaveAnnouncements, Done);
  });
}

void control_plane::announceLeave(unsigned AnnouncementsLeft,
                                  const std::function<void()> &Done) {
  if (AnnouncementsLeft == 0) {
    if (Done)
      Done();
    return;
  }
  Agent.leave();
  LeaveTimer = Timers.after(Options.ProbeInterval / TicksPerProbeInterval,
                            [this, AnnouncementsLeft, Done](time_point) {
                              // Keeps this handler's captures alive: the
                              // next call replaces LeaveTimer.
                              const auto RunningTimer = std::move(LeaveTimer);
                              announceLeave(AnnouncementsLeft - 1, Done);
                            });
}

void control_plane::setTargets(std::vector<control::target> Targets) {
  post([this, Targets = std::move(Targets)] { Agent.setTargets(Targets); });
}

void control_plane::publish(control::gossip_record Record) {
  post([this, Record = std::move(Record)] {
    auto Published = Agent.publish(Record);
    if (!Published && Hooks.OnLog)
      Hooks.OnLog("event=record_refused key=" + Record.key() + " reason=\"" +
                  Published.error().text() + "\"");
  });
}

void control_plane::sendEvidence(control::reporter_evidence Evidence) {
  post(
      [this, Evidence = std::move(Evidence)] { Agent.sendEvidence(Evidence); });
}

void control_plane::setDirectives(
    std::vector<control::directive_position> Positions) {
  post([this, Positions = std::move(Positions)]() mutable {
    Agent.setDirectives(std::move(Positions));
  });
}

} // namespace hyssopledge::transport
