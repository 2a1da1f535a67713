#include "apps/hyssop_mesh/mesh_daemon.h"

#include "hyssopledge/transport/compression.h"
#include "hyssopledge/transport/logging.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

namespace hyssopledge::hyssop_mesh {

namespace asio = boost::asio;
using coordination::upstream_record;
using state::boot_clock;
using state::milliseconds;
using transport::log_level;
using transport::logEvent;

namespace {

constexpr milliseconds TickInterval{100};
constexpr milliseconds LeaveCheckInterval{50};
// A compressed document of 100 KB takes 0.1 s on a link of 10 Mbit/s; several
// daemons fetch it at once.
constexpr milliseconds FetchTimeout{1500};
// Callers stop coming after two questions without a 200, one a second; until
// then their connections stay open.
constexpr milliseconds CloseConnectionsAfter{1200};
constexpr milliseconds LeaveAtLeast{2500};
// The daemon stays for its callers; the upstream beside it, which goes on, is
// served meanwhile. What it was sent ends before the daemon does.
constexpr milliseconds ServeUpstreamFor{1500};
// What comes later than this could outlast the grace time.
constexpr milliseconds RefuseAfter{2800};
// Without a request for this long, the callers have gone.
constexpr milliseconds QuietTime{400};
// Before the platform's kill: for the last answers and the end of the process.
constexpr milliseconds GraceMargin{700};
constexpr milliseconds LastAnswersTime{150};
// Part of the drain time in which requests that were on their way are run.
constexpr int DrainPart = 3;
// A connection to another daemon or an upstream on which nothing is
// acknowledged is given up after this.
constexpr std::chrono::seconds ConnectionSilence{2};
// Round trips are a few milliseconds; an instance without power never answers.
constexpr milliseconds PeerConnectTimeout{350};
constexpr milliseconds UpstreamConnectTimeout{300};

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Differs between daemons and between starts.
std::uint64_t seedOf(const std::string &Instance) {
  return std::hash<std::string>()(Instance) ^
         static_cast<std::uint64_t>(
             boot_clock::now().time_since_epoch().count());
}

} // namespace

mesh_daemon::mesh_daemon(asio::io_context &Context,
                         protocol::mesh_settings Settings,
                         platform_adapter Adapter, std::function<void()> Reload)
    : Context(Context), Settings(std::move(Settings)), Adapter(Adapter),
      Reload(std::move(Reload)), Signals(Context, SIGTERM, SIGINT, SIGHUP),
      Timers(Context), Metrics(this->Settings.Instance),
      Datagrams(Context,
                [this](std::string_view Datagram) {
                  if (Agent)
                    Agent->onDatagram(Datagram);
                }),
      Pool(Context, {}),
      Registry(this->Settings.Service, this->Settings.UpstreamAddress) {}

mesh_daemon::~mesh_daemon() = default;

state::result<std::unique_ptr<mesh_daemon>>
mesh_daemon::open(asio::io_context &Context, protocol::mesh_settings Settings,
                  platform_adapter Adapter, std::function<void()> Reload) {
  std::unique_ptr<mesh_daemon> Daemon(new mesh_daemon(
      Context, std::move(Settings), Adapter, std::move(Reload)));
  if (auto Started = Daemon->start(); Started.has_error())
    return Started.error();
  return Daemon;
}

state::result<bool> mesh_daemon::start() {
  const std::uint64_t Seed = seedOf(Settings.Instance);

  transport::upstream_client_options UpstreamOptions;
  UpstreamOptions.Address = Settings.UpstreamAddress;
  UpstreamOptions.DrainGracePeriod = Settings.DrainPeriod / DrainPart;
  UpstreamOptions.Pool.MaxIdlePerAddress = 64;
  UpstreamOptions.Pool.ConnectTimeout = UpstreamConnectTimeout;
  UpstreamOptions.Pool.AllowCloseDelimitedResponse = true;
  UpstreamOptions.Pool.UnackedTimeout = ConnectionSilence;
  transport::upstream_client_hooks UpstreamHooks;
  UpstreamHooks.OnAcceptsConnectionsChanged = [this](bool AcceptsConnections) {
    logEvent(AcceptsConnections ? log_level::Info : log_level::Warn,
             AcceptsConnections ? "upstream_answers" : "upstream_down",
             {{"upstream", Registry.record().Name}});
    publishUpstream(AcceptsConnections);
  };
  UpstreamHooks.OnCrash = [this](
                              const std::vector<state::crash_sighting> &Seen) {
    logEvent(log_level::Warn, "upstream_crashed",
             {{"upstream", Registry.record().Name}, {"requests", Seen.size()}});
    Metrics.recordUpstreamCrash();
    UpstreamClient->addSightings(Seen);
    Agent->reportCrash(Seen);
  };
  UpstreamClient = std::make_unique<transport::upstream_client>(
      Context, Adapter.Calls, std::move(UpstreamOptions),
      std::move(UpstreamHooks));

  transport::mesh_plane_options PlaneOptions;
  PlaneOptions.Instance = Settings.Instance;
  PlaneOptions.DataCentre = Settings.DataCentre;
  PlaneOptions.Service = Settings.Service;
  PlaneOptions.EntryAddress = Settings.EntryAddress;
  PlaneOptions.HopAddress = Settings.HopAddress;
  PlaneOptions.Seed = Seed;
  PlaneOptions.RetryBudget.Ratio = Settings.RetryBudgetRatio;
  PlaneOptions.RetryBudget.Slack = Settings.RetryBudgetSlack;
  PlaneOptions.RetryBudget.Window = Settings.RetryBudgetWindow;
  PlaneOptions.PeerPool.ConnectTimeout = PeerConnectTimeout;
  PlaneOptions.PeerPool.UnackedTimeout = ConnectionSilence;
  PlaneOptions.PeerPool.MaxIdlePerAddress = 32;
  transport::mesh_plane_hooks PlaneHooks;
  PlaneHooks.Ping = [this](const std::string &Peer) { Agent->ping(Peer); };
  PlaneHooks.CompressedDocument = [this] {
    if (PackedDocument.empty() && !Agent->documentText().empty())
      PackedDocument = transport::compressText(Agent->documentText());
    return PackedDocument;
  };
  auto Opened = transport::mesh_plane::open(
      Context, std::move(PlaneOptions), std::move(PlaneHooks), Adapter.Calls,
      *UpstreamClient, Metrics);
  if (Opened.has_error())
    return Opened.error();
  Plane = std::move(Opened.value());

  const auto Listen =
      [&](std::unique_ptr<transport::http_listener> &Listener,
          const std::string &Address,
          transport::http_listener::handler Handler) -> state::result<bool> {
    auto Bound = transport::http_listener::open({&Context}, Address, {},
                                                std::move(Handler));
    if (Bound.has_error())
      return Bound.error();
    Listener = std::move(Bound.value());
    return true;
  };
  if (auto Bound = Listen(Ready, Settings.ReadinessAddress,
                          [this](auto Call) { onReadiness(Call); });
      Bound.has_error())
    return Bound;
  if (auto Bound = Listen(Control, Settings.UpstreamControlAddress,
                          [this](auto Call) { onInstanceCall(Call); });
      Bound.has_error())
    return Bound;
  if (auto Bound =
          Listen(Figures, Settings.MetricsAddress,
                 [this](auto Call) {
                   Call->respond(transport::makeResponse(
                       200, "text/plain; version=0.0.4", Metrics.text()));
                 });
      Bound.has_error())
    return Bound;
  if (auto Bound = Datagrams.open(Settings.PeerAddress); Bound.has_error())
    return Bound;

  coordination::fleet_agent_options AgentOptions;
  AgentOptions.Instance = Settings.Instance;
  AgentOptions.DataCentre = Settings.DataCentre;
  AgentOptions.HopAddress = Settings.HopAddress;
  AgentOptions.ControlAddress = Settings.PeerAddress;
  AgentOptions.Incarnation = unixMilliseconds();
  AgentOptions.Seed = Seed;
  coordination::fleet_agent_hooks AgentHooks;
  AgentHooks.OnDocument =
      [this](std::shared_ptr<const state::route_table> Table) {
        Metrics.setVersions(Table->version(), Table->version());
        PackedDocument.clear();
        Plane->setDocument(std::move(Table));
      };
  AgentHooks.OnDirectoryChanged = [this] { onDirectory(); };
  AgentHooks.OnCrash = [this](const std::vector<state::crash_sighting> &Seen) {
    UpstreamClient->addSightings(Seen);
  };
  AgentHooks.OnFormerUpstream = [this](const upstream_record &Former) {
    if (Registry.restore(Former) == coordination::registry_update::Changed)
      onUpstreamChanged("", true);
  };
  AgentHooks.OnPeerAlive = [this](const std::string &Instance) {
    Plane->onPeerAlive(Instance);
  };
  AgentHooks.RouteCounts = [this] { return UpstreamClient->routeCounts(); };
  AgentHooks.Log = [](std::string_view Event, const std::string &Fields) {
    transport::logLine(log_level::Info,
                       "event=" + std::string(Event) + " " + Fields);
  };
  coordination::peer_transport &Peers = *this;
  Agent = std::make_unique<coordination::fleet_agent>(
      std::move(AgentOptions), std::move(AgentHooks), Adapter.Operators,
      Adapter.Store, Peers, Timers);
  Agent->start();
  Tick = Timers.every(TickInterval, [this](state::time_point) { onTick(); });
  awaitSignal();
  logEvent(log_level::Info, "started",
           {{"instance", Settings.Instance},
            {"data_centre", Settings.DataCentre},
            {"service", Settings.Service},
            {"entry", Settings.EntryAddress}});
  return true;
}

void mesh_daemon::run() {
  Context.run();
  logEvent(log_level::Info, "stopped", {{"instance", Settings.Instance}});
  transport::flushLog();
}

void mesh_daemon::onTick() { transport::flushLog(); }

//-----------------------------------------------------------------------------
// Other daemons
//-----------------------------------------------------------------------------

void mesh_daemon::send(const std::string &ControlAddress,
                       const std::string &Datagram) {
  Datagrams.send(ControlAddress, Datagram);
}

void mesh_daemon::fetchDocument(
    const std::string &HopAddress,
    std::function<void(state::result<std::string>)> Handler) {
  transport::http_request Request;
  Request.version(11);
  Request.method(boost::beast::http::verb::get);
  Request.target(transport::mesh_plane::DocumentPath);
  Request.set(boost::beast::http::field::host, HopAddress);
  Pool.send(HopAddress, std::move(Request), boot_clock::now() + FetchTimeout,
            [Handler = std::move(Handler)](transport::exchange_result Result) {
              if (Result.Outcome != transport::exchange_outcome::Complete)
                return Handler(
                    state::failure(state::errc::Unavailable, Result.Detail));
              if (Result.Response.result_int() != 200)
                return Handler(state::failure(
                    state::errc::NotFound,
                    "status " + std::to_string(Result.Response.result_int())));
              Handler(transport::decompressText(Result.Response.body()));
            });
}

/// Many records may come at once; the targets are rebuilt after them.
void mesh_daemon::onDirectory() {
  if (std::exchange(DirectoryDirty, true))
    return;
  asio::post(Context, [this] { applyDirectory(); });
}

void mesh_daemon::applyDirectory() {
  DirectoryDirty = false;
  const auto &Directory = Agent->directory();
  Plane->setDirectory(Directory);
  if (const auto *Rollout = Directory.rollout(Settings.Service);
      Rollout != nullptr &&
      Rollout->State == coordination::rollout_state::Running)
    UpstreamClient->setCountedOrder(Rollout->OrderRevision);
  Metrics.setMembers(Directory.size(), 0);
}

//-----------------------------------------------------------------------------
// Upstream and platform
//-----------------------------------------------------------------------------

void mesh_daemon::publishUpstream(bool AcceptsConnections) {
  upstream_record Record = Registry.record();
  Record.AcceptsConnections = AcceptsConnections;
  UpstreamClient->setUpstream(Record);
  Agent->setUpstream(Record);
}

void mesh_daemon::onUpstreamChanged(const std::string &FormerName,
                                    bool AcceptsConnections) {
  const upstream_record &Record = Registry.record();
  logEvent(log_level::Info, "upstream_changed",
           {{"upstream", Record.Name},
            {"former", FormerName},
            {"version", Record.Version},
            {"state", static_cast<int>(Record.State)},
            {"slots", Record.Slots},
            {"cold", Record.Cold},
            {"sequence", Record.Sequence}});
  publishUpstream(AcceptsConnections);
}

void mesh_daemon::onInstanceCall(
    const std::shared_ptr<transport::server_exchange> &Call) {
  auto Read = Adapter.Instances.parseCall(Call->request());
  if (Read.has_error()) {
    const bool Missing = Read.error().is(state::errc::NotFound);
    logEvent(log_level::Warn, "announcement_refused",
             {{"reason", Read.error().text()}});
    return Call->respond(transport::makeErrorResponse(
        Missing ? 404 : 400, transport::OutcomeNotRun, "malformed-announcement",
        Read.error().text()));
  }
  const coordination::announcement &Said = Read.value().Announcement;
  const std::string FormerName = Registry.record().Name;
  auto Effect = coordination::registry_update::None;
  if (Read.value().Kind == transport::instance_call_kind::Deregister) {
    Effect = Registry.leave(Said.Name, Said.StartUnixMs, unixMilliseconds());
  } else {
    auto Result = Registry.announce(Said);
    if (Result.has_error()) {
      logEvent(log_level::Warn, "announcement_refused",
               {{"upstream", Said.Name}, {"reason", Result.error().text()}});
      return Call->respond(transport::makeErrorResponse(
          400, transport::OutcomeNotRun, "foreign-announcement",
          Result.error().text()));
    }
    Effect = Result.value();
  }
  if (Effect == coordination::registry_update::Changed) {
    // Other daemons hear of it before it is acknowledged.
    onUpstreamChanged(FormerName,
                      Registry.record().Name != FormerName ||
                          UpstreamClient->upstream().AcceptsConnections);
  }
  Call->respond(transport::makeResponse(200, "application/json", "{}"));
}

void mesh_daemon::onReadiness(
    const std::shared_ptr<transport::server_exchange> &Call) {
  if (!Adapter.Instances.isReadinessProbe(Call->request()))
    return Call->respond(transport::makeErrorResponse(
        404, transport::OutcomeNotRun, "no-route", "no such path"));
  const bool Usable = Agent->ready() && !Leaving;
  Call->respond(transport::makeResponse(Usable ? 200 : 503, "application/json",
                                        Usable ? "{\"ready\":true}"
                                               : "{\"ready\":false}"));
}

//-----------------------------------------------------------------------------
// Signals
//-----------------------------------------------------------------------------

void mesh_daemon::awaitSignal() {
  Signals.async_wait(
      [this](const boost::system::error_code &Error, int Number) {
        if (Error)
          return;
        logEvent(log_level::Info, "signal", {{"number", Number}});
        if (Number == SIGHUP)
          Reload();
        else if (!Leaving)
          leave();
        awaitSignal();
      });
}

void mesh_daemon::leave() {
  Leaving = true;
  LeavingSince = IdleSince = boot_clock::now();
  Plane->setShutdownDeadline(LeavingSince + Settings.ShutdownTimeout -
                             GraceMargin - LastAnswersTime);
  if (Registry.record().State != coordination::upstream_state::Serving)
    leaveFleet();
  LeaveCheck = Timers.every(LeaveCheckInterval,
                            [this](state::time_point) { checkLeft(); });
}

/// Other daemons send nothing more here.
void mesh_daemon::leaveFleet() {
  LeftFleet = true;
  UpstreamClient->refuseNewCalls();
  Agent->leave(Registry.record().State == coordination::upstream_state::Gone);
}

void mesh_daemon::checkLeft() {
  const state::time_point Now = boot_clock::now();
  if (!LeftFleet && Now - LeavingSince >= ServeUpstreamFor)
    leaveFleet();
  if (Plane->active() > 0)
    IdleSince = Now;
  if (Now - LeavingSince >= CloseConnectionsAfter)
    Plane->closeAfterResponses();
  if (Now - LeavingSince >= RefuseAfter)
    Plane->refuseNewCalls();
  const bool Quiet =
      Now - LeavingSince >= LeaveAtLeast && Now - IdleSince >= QuietTime;
  const auto Left = LeavingSince + Settings.ShutdownTimeout - GraceMargin - Now;
  if (Left <= LastAnswersTime)
    Plane->abortPendingCalls();
  if (Quiet || Left <= milliseconds(0))
    Context.stop();
}

} // namespace hyssopledge::hyssop_mesh
