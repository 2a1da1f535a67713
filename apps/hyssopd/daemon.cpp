#include "apps/hyssopd/daemon.h"

#include "hyssopledge/transport/tracing.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace hyssopledge::hyssopd {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using state::time_point;
using transport::log_level;
using transport::logEvent;

// Retries for each call, and how many a quiet daemon may spend at once.
constexpr double RetryBudgetRatio = 0.1;
constexpr std::uint32_t RetryReserve = 10;

constexpr std::chrono::milliseconds SightingLife =
    state::poison_detector::RetentionPeriod;

std::string sightingKey(const state::crash_sighting &Sighting) {
  return std::to_string(Sighting.Fingerprint) + "/" + Sighting.Instance + "/" +
         std::to_string(Sighting.Incarnation);
}

control::gossip_record encodeSighting(const state::crash_sighting &Sighting) {
  control::sighting Payload;
  Payload.set_fingerprint(Sighting.Fingerprint);
  Payload.set_instance(Sighting.Instance);
  Payload.set_incarnation(Sighting.Incarnation);
  Payload.set_in_flight(Sighting.InFlight);
  control::gossip_record Record;
  Record.set_kind(control::RECORD_SIGHTING);
  Record.set_key(sightingKey(Sighting));
  Record.set_revision(1);
  Record.set_payload(Payload.SerializeAsString());
  Record.set_remaining_ms(static_cast<std::uint32_t>(SightingLife.count()));
  return Record;
}

std::optional<state::crash_sighting>
decodeSighting(const control::gossip_record &Record) {
  control::sighting Payload;
  if (!Payload.ParseFromString(Record.payload()))
    return std::nullopt;
  return state::crash_sighting{Payload.fingerprint(), Payload.instance(),
                               Payload.incarnation(), Payload.in_flight()};
}

json trafficJson(const transport::peer_traffic_counters &Traffic) {
  using transport::peer_traffic_cause;
  static constexpr std::pair<peer_traffic_cause, const char *> Causes[] = {
      {peer_traffic_cause::Membership, "membership"},
      {peer_traffic_cause::Document, "document"},
      {peer_traffic_cause::Renewal, "renewal"},
      {peer_traffic_cause::Report, "report"},
      {peer_traffic_cause::Sync, "sync"},
  };
  json Bytes = json::object();
  for (const auto &[Cause, Name] : Causes)
    Bytes[Name] = {{"in", Traffic.Received.bytes(Cause)},
                   {"out", Traffic.Sent.bytes(Cause)}};
  return Bytes;
}

const char *phaseName(state::rollout_phase Phase) {
  switch (Phase) {
  case state::rollout_phase::Running:
    return "running";
  case state::rollout_phase::Watching:
    return "watching";
  case state::rollout_phase::Done:
    return "done";
  case state::rollout_phase::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

} // namespace

//-----------------------------------------------------------------------------
// Start
//-----------------------------------------------------------------------------

daemon::daemon(const protocol::daemon_settings &Chosen)
    : Settings(Chosen), Signals(Context), Timers(Context),
      Metrics(Settings.Instance), View(Stats),
      Picker(state::makeTwoChoicePicker(Stats, Settings.DataCentre)),
      Budget(RetryBudgetRatio, RetryReserve),
      Platform(Context, Settings.Platform) {}

daemon::~daemon() = default;

state::result<std::unique_ptr<daemon>>
daemon::open(const protocol::daemon_settings &Settings) {
  std::unique_ptr<daemon> Daemon(new daemon(Settings));
  auto Started = Daemon->start();
  if (!Started)
    return Started.error();
  return Daemon;
}

state::result<bool> daemon::start() {
  coordination::control_agent_options Options;
  Options.Environment = Settings.Environment;
  Options.Instance = Settings.Instance;
  Options.DataCentre = Settings.DataCentre;
  Options.GossipAddress = Settings.GossipAddress;
  Options.ControlAddress = Settings.ControlAddress;
  Options.DataAddress = Settings.DataAddress;
  Options.BootstrapPeers = Settings.BootstrapPeers;
  Options.ProbeInterval = Settings.ProbeInterval;
  Options.IncarnationHint = 0;
  Options.Seed = std::random_device{}();

  coordination::control_agent_hooks Hooks;
  Hooks.OnSnapshot = [this](auto Snapshot) { onSnapshot(std::move(Snapshot)); };
  Hooks.OnMembers = [this](const auto &) { onMembers(); };
  Hooks.OnRecord = [this](const auto &Record) { onRecord(Record); };
  Hooks.OnReport = [this](const auto &Report) {
    Rollouts->onReport(Report, Timers.now());
  };
  Hooks.OnMemberReport = [this](const auto &Report) {
    Rollouts->onMemberReport(Report);
  };
  Hooks.OnLog = [](const std::string &Line) {
    transport::logLine(log_level::Info, Line);
  };
  Control = std::make_unique<transport::control_plane>(
      Context, Platform, std::move(Options), std::move(Hooks));

  rollout_hooks Sinks;
  Sinks.Publish = [this](auto Record) { Control->publish(std::move(Record)); };
  Sinks.SendEvidence = [this](auto Evidence) {
    Control->sendEvidence(std::move(Evidence));
  };
  Sinks.Acknowledge = [this](auto Positions) {
    Control->setDirectives(std::move(Positions));
  };
  Rollouts = std::make_unique<rollout_runtime>(
      rollout_options{Settings.Environment, Settings.Instance,
                      Settings.DataCentre},
      std::move(Sinks), Platform, Control->agent().coordinatorSeat(), View,
      Timers);

  transport::data_plane_options DataOptions;
  DataOptions.Instance = Settings.Instance;
  DataOptions.Address = Settings.DataAddress;
  DataOptions.Threads = Settings.Threads;
  DataOptions.Seed = std::random_device{}();
  DataOptions.Metrics = &Metrics;
  if (!Settings.TraceFile.empty()) {
    auto Sink = transport::makeSpanFileSink(Settings.TraceFile);
    if (!Sink)
      return Sink.error();
    DataOptions.Tracer = transport::makeTracer(
        {Settings.Instance, Settings.TraceSampling, std::random_device{}()},
        std::move(Sink.value()));
  }
  auto Opened = transport::data_plane::open(
      std::move(DataOptions), {View.view(), Stats, *Picker, Budget},
      dataPlaneHooks());
  if (!Opened)
    return Opened.error();
  Data = std::move(Opened.value());

  transport::admin_hooks AdminHooks;
  AdminHooks.OnAnnouncement = [this](auto Announcement) {
    Data->announce(std::move(Announcement));
  };
  AdminHooks.IsReady = [this] {
    return !Leaving && Control->ready() &&
           Control->leaseValid(state::boot_clock::now());
  };
  AdminHooks.MetricsText = [this] { return Metrics.text(); };
  AdminHooks.StatusJson = [this] { return status(); };
  auto AdminOpened = transport::admin_server::open(
      Context, Settings.AdminAddress, std::move(AdminHooks));
  if (!AdminOpened)
    return AdminOpened.error();
  Admin = std::move(AdminOpened.value());

  Tick = Timers.every(1s, [this](time_point Now) { onTick(Now); });
  return Control->start();
}

transport::data_plane_hooks daemon::dataPlaneHooks() {
  transport::data_plane_hooks Hooks;
  Hooks.LeaseValid = [this](time_point Now) {
    return Control->leaseValid(Now);
  };
  Hooks.Limits = [this](const std::string &Service) {
    return limitsOf(Service);
  };
  Hooks.OnAttempt = [this](const state::attempt_report &Report) {
    Rollouts->record(Report);
  };
  Hooks.OnCrash = [this](std::vector<state::crash_sighting> Sightings) {
    boost::asio::post(Context, [this, Sightings = std::move(Sightings)] {
      onCrash(Sightings);
    });
  };
  Hooks.OnSuccess = [this](std::uint64_t Fingerprint) {
    // Nearly all requests were never seen at a crash; those stay here.
    if (!Suspects.read()->Fingerprints.contains(Fingerprint))
      return;
    boost::asio::post(Context, [this, Fingerprint] { onSuccess(Fingerprint); });
  };
  Hooks.OnAnnouncement = [this](auto Announcement) {
    boost::asio::post(Context, [this, Announcement = std::move(Announcement)] {
      onAnnouncement(Announcement);
    });
  };
  return Hooks;
}

state::admission_limits daemon::limitsOf(const std::string &Service) const {
  const auto Current = View.view().read();
  state::admission_limits Limits;
  if (Current->Snapshot == nullptr)
    return Limits;
  if (const auto *Found = Current->Snapshot->findService(Service)) {
    Limits.Slots = Found->Limits.Slots;
    Limits.QueueLength = Found->Limits.QueueLength;
  }
  return Limits;
}

//-----------------------------------------------------------------------------
// Events
//-----------------------------------------------------------------------------

void daemon::onSnapshot(std::shared_ptr<const state::snapshot> Snapshot) {
  View.setSnapshot(Snapshot);
  std::int64_t AcceptedUnixMs = 0;
  control::head Head;
  const auto *Record = Control->agent().store().findRecord(
      control::RECORD_HEAD, Settings.Environment);
  if (Record != nullptr && Head.ParseFromString(Record->payload()) &&
      Head.version() == Snapshot->Version)
    AcceptedUnixMs = Head.accepted_unix_ms();
  Rollouts->onSnapshot(std::move(Snapshot), AcceptedUnixMs, Timers.now());
}

void daemon::onMembers() {
  const time_point Now = Timers.now();
  std::vector<control::member> Members;
  for (const auto &[Instance, Entry] : Control->agent().store().members())
    Members.push_back(Entry.Member);
  View.setMembers(Members, Now);
  Rollouts->onMembers(Members, Now);
  const auto Count = [&Members](control::member_status Status) {
    return static_cast<std::uint64_t>(std::count_if(
        Members.begin(), Members.end(),
        [Status](const auto &Member) { return Member.status() == Status; }));
  };
  Metrics.setMembers(Count(control::MEMBER_ALIVE),
                     Count(control::MEMBER_SUSPECT));
}

void daemon::onRecord(const control::gossip_record &Record) {
  if (Record.kind() != control::RECORD_SIGHTING) {
    Rollouts->onRecord(Record);
    return;
  }
  if (const auto Sighting = decodeSighting(Record)) {
    const time_point Now = Timers.now();
    noteSighting(*Sighting, Now);
    refreshPoison(Now);
  }
}

void daemon::onAnnouncement(
    std::optional<state::upstream_announcement> Announcement) {
  const bool Changed =
      Announcement.has_value() != Upstream.has_value() ||
      (Announcement && (Announcement->Service != Upstream->Service ||
                        Announcement->Version != Upstream->Version ||
                        Announcement->Slots != Upstream->Slots ||
                        Announcement->Draining != Upstream->Draining));
  Upstream = std::move(Announcement);
  if (!Changed)
    return;
  if (Upstream)
    logEvent(log_level::Info, "upstream",
             {{"service", Upstream->Service},
              {"version", Upstream->Version},
              {"address", Upstream->Address},
              {"draining", Upstream->Draining}});
  else
    logEvent(log_level::Warn, "upstream_gone", {});
  setTargets();
}

void daemon::setTargets() {
  std::vector<control::target> Targets;
  if (Upstream) {
    control::target Target;
    Target.set_service(Upstream->Service);
    Target.set_version(Upstream->Version);
    Target.set_slots(Upstream->Slots);
    Target.set_draining(Upstream->Draining || Leaving);
    Targets.push_back(std::move(Target));
  }
  Control->setTargets(std::move(Targets));
}

void daemon::noteSighting(const state::crash_sighting &Sighting,
                          time_point Now) {
  if (Poison.addSighting(Sighting, Now))
    logEvent(log_level::Warn, "poison_request",
             {{"fingerprint", Sighting.Fingerprint}});
}

void daemon::onCrash(const std::vector<state::crash_sighting> &Sightings) {
  const time_point Now = Timers.now();
  logEvent(log_level::Warn, "upstream_crash",
           {{"in_flight", Sightings.size()}});
  for (const state::crash_sighting &Sighting : Sightings) {
    noteSighting(Sighting, Now);
    Control->publish(encodeSighting(Sighting));
  }
  refreshPoison(Now);
}

void daemon::onSuccess(std::uint64_t Fingerprint) {
  Poison.addSuccess(Fingerprint);
  refreshPoison(Timers.now());
}

void daemon::refreshPoison(time_point Now) {
  auto Next = std::make_shared<state::poison_table>();
  Next->Fingerprints = Poison.suspects();
  Suspects.publish(std::move(Next));
  std::set<std::uint64_t> Condemned = Poison.poisonFingerprints(Now);
  if (Condemned != View.current().Poison->Fingerprints)
    View.setPoison(std::move(Condemned));
}

void daemon::onTick(time_point Now) {
  Poison.expire(Now);
  refreshPoison(Now);
  Rollouts->tick(Now, Control->agent().platformDown(),
                 Control->agent().allMembersKnown());
  updateMetrics(Now);
}

void daemon::updateMetrics(time_point Now) {
  const auto &Agent = Control->agent();
  Metrics.setVersions(Agent.appliedVersion(), Agent.knownVersion());
  Metrics.setLease(Agent.leaseRemaining(Now), Agent.leaseLevel());
}

std::string daemon::status() const {
  json Status = json::parse(Control->status(), nullptr, false);
  if (!Status.is_object())
    Status = json::object();
  Status["instance"] = Settings.Instance;
  Status["data_centre"] = Settings.DataCentre;
  Status["environment"] = Settings.Environment;
  Status["applied_version"] = Control->appliedVersion();
  Status["lease_valid"] = Control->leaseValid(state::boot_clock::now());
  Status["control_bytes"] = trafficJson(Control->traffic());
  Status["platform_calls"] = Platform.callCount();
  Status["leading"] = Rollouts->isLeading();
  Status["poison_requests"] = View.current().Poison->Fingerprints.size();
  if (Upstream)
    Status["upstream"] = {{"service", Upstream->Service},
                          {"version", Upstream->Version},
                          {"address", Upstream->Address},
                          {"draining", Upstream->Draining}};
  json Listed = json::array();
  for (const auto &[Service, Directive] : Rollouts->directives().ByService)
    Listed.push_back({{"service", Service},
                      {"from", Directive.FromVersion},
                      {"to", Directive.ToVersion},
                      {"share", Directive.Share},
                      {"step", Directive.Step},
                      {"phase", phaseName(Directive.Phase)}});
  Status["rollouts"] = std::move(Listed);
  json Condemned = json::array();
  for (const auto &[Service, Version] : Rollouts->verdicts().Condemned)
    Condemned.push_back({{"service", Service}, {"version", Version}});
  Status["condemned"] = std::move(Condemned);
  return Status.dump();
}

//-----------------------------------------------------------------------------
// Shutdown
//-----------------------------------------------------------------------------

void daemon::run() {
  Signals.add(SIGTERM);
  Signals.add(SIGINT);
  Signals.add(SIGHUP);
  awaitSignal();
  logEvent(log_level::Info, "started",
           {{"instance", Settings.Instance},
            {"data", Settings.DataAddress},
            {"control", Settings.ControlAddress},
            {"admin", Settings.AdminAddress}});
  Context.run();
  logEvent(log_level::Info, "stopped", {});
}

void daemon::awaitSignal() {
  Signals.async_wait([this](const boost::system::error_code &Error, int Which) {
    if (Error)
      return;
    onSignal(Which);
    awaitSignal();
  });
}

void daemon::onSignal(int Number) {
  if (Number == SIGHUP) {
    const auto Reopened = transport::reopenLog();
    if (!Reopened)
      std::cerr << "hyssopd: " << Reopened.error().text() << "\n";
    else
      logEvent(log_level::Info, "log_reopened", {});
    return;
  }
  if (Leaving)
    return;
  Leaving = true;
  logEvent(log_level::Info, "draining", {});
  // Others learn of the drain first; until then they get true refusals.
  setTargets();
  Data->drain([this] {
    boost::asio::post(Context, [this] {
      logEvent(log_level::Info, "drained", {});
      Control->leave([this] { Context.stop(); });
    });
  });
}

} // namespace hyssopledge::hyssopd
