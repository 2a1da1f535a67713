#include "apps/hyssop_mesh/mesh_daemon.h"

#include "hyssopledge/transport/compression.h"
#include "hyssopledge/transport/logging.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <csignal>
#include <optional>
#include <utility>

namespace hyssopledge::hyssop_mesh {

namespace asio = boost::asio;
using coordination::upstream_record;
using state::boot_clock;
using state::milliseconds;
using transport::log_level;
using transport::logEvent;

namespace {

constexpr milliseconds LogFlushInterval{100};
// A delay of the event loop from this on is logged, at most once in the
// interval below. Requests, responses and closed connections wait for as long.
constexpr milliseconds LoopDelayToLog{250};
constexpr milliseconds LoopDelayLogInterval{1000};
constexpr milliseconds ShutdownCheckInterval{50};
// Callers probe readiness once a second and stop sending after two answers
// other than 200; their connections stay open until then.
constexpr milliseconds ConnectionCloseDelay{1200};
constexpr milliseconds MinShutdownPeriod{2500};
// Time from the signal until the daemon leaves the fleet. It keeps serving its
// callers during shutdown, and its local upstream, which keeps running, still
// gets calls during this period; these end before the daemon exits.
constexpr milliseconds FleetLeaveDelay{1500};
// Calls that arrive later than this could exceed the shutdown grace period.
constexpr milliseconds CallRefusalDelay{2800};
// Callers are assumed to have moved away after this long without a request.
constexpr milliseconds MinIdlePeriod{400};
// Time reserved before the platform kills the process, for the last answers
// and the process exit.
constexpr milliseconds ExitReservePeriod{700};
constexpr milliseconds FinalResponsePeriod{150};
// Requests already in transit still run during 1/3 of the drain period.
constexpr int DrainGraceDivisor = 3;
// Closes a connection to another daemon or an upstream when sent data stays
// unacknowledged for this long.
constexpr std::chrono::seconds ConnectionUnackedTimeout{2};
// Round trips take a few milliseconds; a powered-off instance never answers.
constexpr milliseconds PeerConnectTimeout{350};
// A changed request limit of the upstream is sent to the other daemons at most
// once in this interval, and if it changed by this fraction.
constexpr milliseconds LimitPublishInterval{1000};
constexpr double MinLimitChange = 0.1;
constexpr milliseconds UpstreamConnectTimeout{300};
constexpr std::chrono::minutes PoisonExpiryInterval{1};

//--- Limits under untrusted callers -------------------------------------------
// Fractions of the process's memory: for received requests, for small ones
// beyond that, and for responses. The rest is for the process itself.
constexpr double RequestMemoryShare = 0.45;
constexpr double SmallRequestMemoryShare = 0.1;
constexpr double ResponseMemoryShare = 0.2;
// Descriptors for files and for connections of the platform.
constexpr std::size_t ReservedDescriptors = 200;
// Fractions of the other descriptors: for connections of callers, for those of
// other daemons, and for calls at once, which need connections to targets.
constexpr std::size_t EntryDescriptorDivisor = 3;
constexpr std::size_t HopDescriptorDivisor = 2; // some for each other daemon
constexpr std::size_t CallDescriptorDivisor = 6;
// Connections to the addresses for probes, announcements and metrics.
constexpr std::size_t MaxControlConnections = 32;

std::uint64_t unixNowMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::size_t share(std::size_t Bytes, double Share) {
  return static_cast<std::size_t>(static_cast<double>(Bytes) * Share);
}

/// Returns a random seed that differs between daemons and between restarts.
std::uint64_t makeSeed(const std::string &Instance) {
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
      Documents(Context),
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
  const std::uint64_t Seed = makeSeed(Settings.Instance);

  const auto BodyBudget = std::make_shared<transport::byte_budget>(
      std::min(transport::DefaultBodyBudget,
               share(Settings.MemoryBytes, ResponseMemoryShare)));

  transport::upstream_client_options UpstreamOptions;
  UpstreamOptions.Address = Settings.UpstreamAddress;
  UpstreamOptions.DrainGracePeriod = Settings.DrainPeriod / DrainGraceDivisor;
  UpstreamOptions.Pool.BodyBudget = BodyBudget;
  UpstreamOptions.Pool.MaxIdlePerAddress = 64;
  UpstreamOptions.Pool.ConnectTimeout = UpstreamConnectTimeout;
  UpstreamOptions.Pool.AllowCloseDelimitedResponse = true;
  UpstreamOptions.Pool.UnackedTimeout = ConnectionUnackedTimeout;
  transport::upstream_client_hooks UpstreamHooks;
  UpstreamHooks.OnAcceptsConnectionsChanged = [this](bool AcceptsConnections) {
    logEvent(AcceptsConnections ? log_level::Info : log_level::Warn,
             AcceptsConnections ? "upstream_answers" : "upstream_down",
             {{"upstream", Registry.record().Name}});
    publishUpstream(AcceptsConnections);
  };
  UpstreamHooks.OnCrash =
      [this](const std::vector<state::crash_sighting> &Sightings) {
        logEvent(log_level::Warn, "upstream_crashed",
                 {{"upstream", Registry.record().Name},
                  {"requests", Sightings.size()}});
        Metrics.recordUpstreamCrash();
        UpstreamClient->addSightings(Sightings);
        Agent->reportCrash(Sightings);
      };
  UpstreamHooks.OnPoisonChanged = [this] {
    logEvent(log_level::Warn, "poison_changed",
             {{"fingerprints", UpstreamClient->poison().size()}});
    Agent->setPoison(UpstreamClient->poison());
  };
  UpstreamHooks.OnLeaving = [this] {
    if (Registry.drain() == coordination::registry_update::Changed)
      onUpstreamChanged(Registry.record().Name,
                        UpstreamClient->upstream().AcceptsConnections);
  };
  UpstreamHooks.OnRequestLimitChanged = [this] { onRequestLimitChanged(); };
  UpstreamClient = std::make_unique<transport::upstream_client>(
      Context, Adapter.CallDialect, std::move(UpstreamOptions),
      std::move(UpstreamHooks));

  transport::mesh_plane_options PlaneOptions;
  PlaneOptions.Instance = Settings.Instance;
  PlaneOptions.DataCentre = Settings.DataCentre;
  PlaneOptions.Service = Settings.Service;
  PlaneOptions.EntryAddress = Settings.EntryAddress;
  PlaneOptions.HopAddress = Settings.HopAddress;
  PlaneOptions.LinkMbps = Settings.LinkMbps;
  PlaneOptions.Seed = Seed;
  PlaneOptions.RetryBudget.Ratio = Settings.RetryBudgetRatio;
  PlaneOptions.RetryBudget.Slack = Settings.RetryBudgetSlack;
  PlaneOptions.RetryBudget.Window = Settings.RetryBudgetWindow;
  PlaneOptions.PeerPool.BodyBudget = BodyBudget;
  PlaneOptions.ReceiveBudget =
      std::make_shared<state::receive_budget>(state::receive_limits{
          share(Settings.MemoryBytes, RequestMemoryShare),
          share(Settings.MemoryBytes, SmallRequestMemoryShare)});
  // Small limits leave at least one half to connections.
  const std::size_t Descriptors =
      std::max(Settings.MaxDescriptors / 2,
               Settings.MaxDescriptors -
                   std::min(Settings.MaxDescriptors, ReservedDescriptors));
  PlaneOptions.MaxEntryConnections = Descriptors / EntryDescriptorDivisor;
  PlaneOptions.MaxHopConnections = Descriptors / HopDescriptorDivisor;
  PlaneOptions.MaxCalls = Descriptors / CallDescriptorDivisor;
  PlaneOptions.HedgeRatio = Settings.HedgeRatio;
  PlaneOptions.PeerPool.ConnectTimeout = PeerConnectTimeout;
  PlaneOptions.PeerPool.UnackedTimeout = ConnectionUnackedTimeout;
  PlaneOptions.PeerPool.MaxIdlePerAddress = 32;
  transport::mesh_plane_hooks PlaneHooks;
  PlaneHooks.Ping = [this](const std::string &Peer) { Agent->ping(Peer); };
  PlaneHooks.CompressedDocument = [this] {
    if (CompressedDocument.empty() && !Agent->documentText().empty())
      CompressedDocument = transport::compressText(Agent->documentText());
    return CompressedDocument;
  };
  PlaneHooks.AcquireQuota = [this](const state::workspace_spec &Workspace,
                                   transport::quota_handler Handler) {
    Quotas->acquire(Workspace.Name, [Handler = std::move(Handler)](
                                        coordination::quota_result Result,
                                        milliseconds RetryAfter) {
      Handler(Result == coordination::quota_result::Granted
                  ? transport::quota_decision::Granted
              : Result == coordination::quota_result::Exceeded
                  ? transport::quota_decision::Exceeded
                  : transport::quota_decision::Unavailable,
              RetryAfter);
    });
  };
  PlaneHooks.ReturnQuota = [this](const state::workspace_spec &Workspace) {
    Quotas->giveBack(Workspace.Name);
  };
  openQuotas();
  auto Opened = transport::mesh_plane::open(
      Context, std::move(PlaneOptions), std::move(PlaneHooks),
      Adapter.CallDialect, *UpstreamClient, Metrics);
  if (Opened.has_error())
    return Opened.error();
  MeshPlane = std::move(Opened.value());

  const auto OpenListener =
      [&](std::unique_ptr<transport::http_listener> &Listener,
          const std::string &Address,
          transport::http_listener::handler Handler) -> state::result<bool> {
    transport::listener_options Options;
    Options.MaxConnections = MaxControlConnections;
    Options.EvictsWaitingConnections = true;
    auto Bound = transport::http_listener::open({&Context}, Address, Options,
                                                std::move(Handler));
    if (Bound.has_error())
      return Bound.error();
    Listener = std::move(Bound.value());
    return true;
  };
  if (auto Bound = OpenListener(ReadinessListener, Settings.ReadinessAddress,
                                [this](auto Call) { onReadinessProbe(Call); });
      Bound.has_error())
    return Bound;
  if (auto Bound =
          OpenListener(UpstreamControlListener, Settings.UpstreamControlAddress,
                       [this](auto Call) { onInstanceCall(Call); });
      Bound.has_error())
    return Bound;
  if (auto Bound =
          OpenListener(MetricsListener, Settings.MetricsAddress,
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
  AgentOptions.LinkMbps = Settings.LinkMbps;
  AgentOptions.ControlAddress = Settings.PeerAddress;
  AgentOptions.Incarnation = unixNowMs();
  AgentOptions.Seed = Seed;
  coordination::fleet_agent_hooks AgentHooks;
  AgentHooks.OnDocument =
      [this](std::shared_ptr<const state::route_table> Table) {
        onDocument(std::move(Table));
      };
  AgentHooks.OnQuota = [this](const coordination::peer_message &Message) {
    Quotas->onMessage(Message);
  };
  AgentHooks.OnDirectoryChanged = [this] { onDirectoryChanged(); };
  AgentHooks.OnCrash =
      [this](const std::vector<state::crash_sighting> &Sightings) {
        UpstreamClient->addSightings(Sightings);
      };
  AgentHooks.OnPoison = [this](const std::vector<std::uint64_t> &Fingerprints,
                               bool Own) {
    UpstreamClient->condemn(Fingerprints, Own);
  };
  AgentHooks.OnFormerUpstream = [this](const upstream_record &Former) {
    const bool Changed =
        Registry.restore(Former) == coordination::registry_update::Changed;
    const upstream_record &Current = Registry.record();
    if (Current.Name == Former.Name &&
        Current.StartUnixMs == Former.StartUnixMs)
      UpstreamClient->restoreRequestLimit(Former.RequestLimit);
    if (Changed) {
      UpstreamClient->setCold(Former.Cold ? ColdPeriod : milliseconds(0));
      onUpstreamChanged("", true);
    }
  };
  AgentHooks.OnPeerAlive = [this](const std::string &Instance) {
    MeshPlane->onPeerAlive(Instance);
    Quotas->onPeerAlive(Instance);
  };
  AgentHooks.RouteCounts = [this] { return UpstreamClient->routeCounts(); };
  AgentHooks.Log = [](std::string_view Event, const std::string &Fields) {
    transport::logLine(log_level::Info,
                       "event=" + std::string(Event) + " " + Fields);
  };
  coordination::peer_transport &Peers = *this;
  Agent = std::make_unique<coordination::fleet_agent>(
      std::move(AgentOptions), std::move(AgentHooks), Adapter.OperatorDialect,
      Adapter.Store, Peers, Timers);
  Agent->start();
  LastLogFlush = boot_clock::now();
  LogFlushTimer = Timers.every(LogFlushInterval, [this](state::time_point Now) {
    onLogFlushTimer(Now);
  });
  PoisonTimer = Timers.every(PoisonExpiryInterval, [this](state::time_point) {
    UpstreamClient->expirePoison();
  });
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

void mesh_daemon::onLogFlushTimer(state::time_point Now) {
  const auto Delay = std::chrono::duration_cast<milliseconds>(
      Now - LastLogFlush - LogFlushInterval);
  LastLogFlush = Now;
  MaxLoopDelay = std::max(MaxLoopDelay, Delay);
  if (MaxLoopDelay >= LoopDelayToLog &&
      Now - LastLoopDelayLog >= LoopDelayLogInterval) {
    LastLoopDelayLog = Now;
    logEvent(log_level::Warn, "loop_late",
             {{"late_ms", std::exchange(MaxLoopDelay, {}).count()},
              {"active", MeshPlane->active()}});
  }
  transport::flushLog();
}

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
  Documents.fetch(HopAddress, std::move(Handler));
}

void mesh_daemon::openQuotas() {
  coordination::quota_agent_options Options;
  Options.Instance = Settings.Instance;
  Options.ControlAddress = Settings.PeerAddress;
  Options.Tolerance = {Settings.QuotaOverage, Settings.QuotaSlack,
                       Settings.QuotaWindow};
  coordination::quota_agent_hooks Hooks;
  Hooks.Send = [this](const std::string &ControlAddress,
                      const coordination::peer_message &Message) {
    for (const std::string &Datagram : coordination::encodeDatagrams(Message))
      Datagrams.send(ControlAddress, Datagram);
  };
  Hooks.Log = [](std::string_view Event, const std::string &Fields) {
    transport::logLine(log_level::Info,
                       "event=" + std::string(Event) + " " + Fields);
  };
  Quotas = std::make_unique<coordination::quota_agent>(
      std::move(Options), std::move(Hooks), Timers);
}

void mesh_daemon::onDocument(std::shared_ptr<const state::route_table> Table) {
  Metrics.setVersions(Table->version(), Table->version());
  CompressedDocument.clear();
  std::optional<double> ColdLimit;
  if (const auto *Service = Table->findService(Settings.Service)) {
    ColdPeriod = Service->ColdPeriod;
    if (Service->ColdRequestsPerSecond > 0)
      ColdLimit = Service->ColdRequestsPerSecond;
  }
  UpstreamClient->setColdLimit(ColdLimit, ColdPeriod);
  Quotas->setWorkspaces(Table->source().Workspaces);
  if (Quotas->enabled())
    Quotas->setDirectory(Agent->directory());
  MeshPlane->setDocument(std::move(Table));
}

/// Coalesces updates: records may arrive in bursts, and the targets are rebuilt
/// once after each burst.
void mesh_daemon::onDirectoryChanged() {
  if (std::exchange(DirectoryUpdatePending, true))
    return;
  asio::post(Context, [this] { applyDirectory(); });
}

void mesh_daemon::applyDirectory() {
  DirectoryUpdatePending = false;
  const auto &Directory = Agent->directory();
  MeshPlane->setDirectory(Directory);
  if (Quotas->enabled())
    Quotas->setDirectory(Directory);
  UpstreamClient->setEvacuated(Directory.isEvacuated(Settings.DataCentre));
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
  const upstream_record &Former = UpstreamClient->upstream();
  if (Former.Name == Record.Name && Former.StartUnixMs == Record.StartUnixMs)
    Record.RequestLimit = Former.RequestLimit;
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

/// Other daemons hold the limit for the case that this one restarts.
void mesh_daemon::onRequestLimitChanged() {
  const state::time_point Now = boot_clock::now();
  const std::optional<double> Limit = UpstreamClient->requestLimit();
  const std::optional<double> Known = Agent->self().Upstream.RequestLimit;
  const bool IsUpdate = Limit && Known;
  if (IsUpdate && (Now - LimitPublishedAt < LimitPublishInterval ||
                   std::abs(*Limit - *Known) < MinLimitChange * *Known))
    return;
  LimitPublishedAt = Now;
  logEvent(log_level::Info, "upstream_limit",
           {{"upstream", Registry.record().Name},
            {"per_second", Limit ? std::to_string(*Limit) : "none"},
            {"former", Known ? std::to_string(*Known) : "none"}});
  publishUpstream(UpstreamClient->upstream().AcceptsConnections);
}

/// A call that is not acknowledged comes again.
void mesh_daemon::acknowledge(
    const std::shared_ptr<transport::server_exchange> &Call, bool IsKept) {
  Call->respond(IsKept ? transport::makeResponse(200, "application/json", "{}")
                       : transport::makeErrorResponse(
                             503, transport::OutcomeNotRun, "not-kept",
                             "the change is not kept by the store or others"));
}

void mesh_daemon::onInstanceCall(
    const std::shared_ptr<transport::server_exchange> &Call) {
  auto InstanceCall = Adapter.InstanceDialect.parseCall(Call->request());
  if (InstanceCall.has_error()) {
    const bool IsNotFound = InstanceCall.error().is(state::errc::NotFound);
    logEvent(log_level::Warn, "announcement_refused",
             {{"reason", InstanceCall.error().text()}});
    return Call->respond(transport::makeErrorResponse(
        IsNotFound ? 404 : 400, transport::OutcomeNotRun,
        "malformed-announcement", InstanceCall.error().text()));
  }
  const coordination::announcement &Announcement =
      InstanceCall.value().Announcement;
  const bool IsLeaving =
      InstanceCall.value().Kind == transport::instance_call_kind::Deregister ||
      Announcement.State != coordination::upstream_state::Serving;
  const std::string FormerName = Registry.record().Name;
  auto Effect = coordination::registry_update::None;
  if (InstanceCall.value().Kind == transport::instance_call_kind::Deregister) {
    Effect = Registry.leave(Announcement.Name, Announcement.StartUnixMs,
                            unixNowMs());
  } else {
    auto Result = Registry.announce(Announcement);
    if (Result.has_error()) {
      logEvent(
          log_level::Warn, "announcement_refused",
          {{"upstream", Announcement.Name}, {"reason", Result.error().text()}});
      return Call->respond(transport::makeErrorResponse(
          400, transport::OutcomeNotRun, "foreign-announcement",
          Result.error().text()));
    }
    Effect = Result.value();
    if (Effect != coordination::registry_update::Outdated)
      UpstreamClient->setCold(Announcement.ColdRemaining);
  }
  if (Effect == coordination::registry_update::Changed) {
    // Publishes the change to other daemons before acknowledging the call.
    onUpstreamChanged(FormerName,
                      Registry.record().Name != FormerName ||
                          UpstreamClient->upstream().AcceptsConnections);
  } else if (IsLeaving && Registry.record().Name.empty()) {
    // This daemon has restarted and does not know the upstream yet.
    upstream_record Departed;
    Departed.Name = Announcement.Name;
    Departed.Service = Settings.Service;
    Departed.State = coordination::upstream_state::Gone;
    Departed.StartUnixMs =
        Announcement.StartUnixMs != 0 ? Announcement.StartUnixMs : unixNowMs();
    Agent->setUpstream(Departed);
  }
  if (!IsLeaving)
    return acknowledge(Call, true);
  if (!Registry.hasLeft(Announcement.Name, Announcement.StartUnixMs))
    return acknowledge(Call, false);
  Agent->whenDepartureLasts([Call](bool Lasts) { acknowledge(Call, Lasts); });
}

void mesh_daemon::onReadinessProbe(
    const std::shared_ptr<transport::server_exchange> &Call) {
  if (!Adapter.InstanceDialect.isReadinessProbe(Call->request()))
    return Call->respond(transport::makeErrorResponse(
        404, transport::OutcomeNotRun, "no-route", "no such path"));
  const bool IsReady = Agent->ready() && !ShuttingDown;
  Call->respond(transport::makeResponse(IsReady ? 200 : 503, "application/json",
                                        IsReady ? "{\"ready\":true}"
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
        else if (!ShuttingDown)
          beginShutdown();
        awaitSignal();
      });
}

void mesh_daemon::beginShutdown() {
  ShuttingDown = true;
  ShutdownStartedAt = IdleSince = boot_clock::now();
  MeshPlane->setShutdownDeadline(ShutdownStartedAt + Settings.ShutdownTimeout -
                                 ExitReservePeriod - FinalResponsePeriod);
  if (Registry.record().State != coordination::upstream_state::Serving)
    leaveFleet();
  ShutdownTimer = Timers.every(ShutdownCheckInterval,
                               [this](state::time_point) { checkShutdown(); });
}

/// Tells the other daemons to stop sending calls to this daemon.
void mesh_daemon::leaveFleet() {
  HasLeftFleet = true;
  UpstreamClient->refuseNewCalls();
  Quotas->leave();
  Agent->leave(Registry.record().State == coordination::upstream_state::Gone);
}

void mesh_daemon::checkShutdown() {
  const state::time_point Now = boot_clock::now();
  if (!HasLeftFleet && Now - ShutdownStartedAt >= FleetLeaveDelay)
    leaveFleet();
  if (MeshPlane->active() > 0)
    IdleSince = Now;
  if (Now - ShutdownStartedAt >= ConnectionCloseDelay)
    MeshPlane->closeAfterResponses();
  if (Now - ShutdownStartedAt >= CallRefusalDelay)
    MeshPlane->refuseNewCalls();
  const bool IsIdle = Now - ShutdownStartedAt >= MinShutdownPeriod &&
                      Now - IdleSince >= MinIdlePeriod;
  const auto TimeLeft =
      ShutdownStartedAt + Settings.ShutdownTimeout - ExitReservePeriod - Now;
  if (TimeLeft <= FinalResponsePeriod)
    MeshPlane->abortPendingCalls();
  if (IsIdle || TimeLeft <= milliseconds(0))
    Context.stop();
}

} // namespace hyssopledge::hyssop_mesh
