#include "hyssopledge/transport/metrics.h"

#include <array>
#include <atomic>
#include <limits>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/metric_family.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hyssopledge::transport {

namespace {

constexpr std::array SideNames = {"entry", "target"};
constexpr std::array OutcomeNames = {"ran", "not-run", "unknown", "cancelled"};
// All series are created at start, since adding one takes a lock.
constexpr std::array ReasonNames = {
    "",
    "body-too-large",
    "connect-failed",
    "cut",
    "bad-answer",
    "deadline",
    "depth",
    "draining",
    "in-progress",
    "key-outcome-unknown",
    "key-reused",
    "key-table-full",
    "lease-expired",
    "no-route",
    "no-target",
    "not-ready",
    "overloaded",
    "poison",
    "shed",
    "timeout",
    "upstream-crashed",
    "upstream-crashed-alone",
    "upstream-cut",
    "upstream-unreachable",
    "other",
};
constexpr std::array AttemptNames = {"success", "failed", "not-run", "unknown",
                                     "cancelled"};
constexpr std::array CauseNames = {"membership", "notification", "parts",
                                   "lease",      "report",       "sync",
                                   "platform"};

template <std::size_t N>
std::size_t indexOf(const std::array<const char *, N> &Names,
                    std::string_view Name, std::size_t Default) {
  for (std::size_t I = 0; I < N; ++I)
    if (Name == Names[I])
      return I;
  return Default;
}

// Upper bounds in seconds. Dense around 1.2 ms, the most latency that the mesh
// may add to a call at the 99th percentile.
constexpr std::array LatencyBounds = {0.0003, 0.0006, 0.0012, 0.0024, 0.005,
                                      0.01,   0.025,  0.05,   0.1,    0.25,
                                      0.5,    1.0,    2.5,    5.0};

/// Histogram that uses atomics only, since it is on the path of a request;
/// prometheus::Histogram locks a mutex for each observation.
struct latency_histogram {
  void observe(double Seconds) {
    std::size_t Bucket = 0;
    while (Bucket < LatencyBounds.size() && Seconds > LatencyBounds[Bucket])
      ++Bucket;
    Buckets[Bucket].fetch_add(1, std::memory_order_relaxed);
    SumNs.fetch_add(static_cast<std::uint64_t>(Seconds * 1e9),
                    std::memory_order_relaxed);
  }

  prometheus::ClientMetric::Histogram collect() const {
    prometheus::ClientMetric::Histogram Result;
    for (std::size_t I = 0; I < Buckets.size(); ++I) {
      Result.sample_count += Buckets[I].load(std::memory_order_relaxed);
      Result.bucket.push_back(
          {Result.sample_count, I < LatencyBounds.size()
                                    ? LatencyBounds[I]
                                    : std::numeric_limits<double>::infinity()});
    }
    Result.sample_sum =
        static_cast<double>(SumNs.load(std::memory_order_relaxed)) * 1e-9;
    return Result;
  }

  std::array<std::atomic<std::uint64_t>, LatencyBounds.size() + 1> Buckets{};
  std::atomic<std::uint64_t> SumNs{0};
};

} // namespace

struct metrics::families {
  explicit families(const std::string &Instance)
      : Labels{{"instance", Instance}} {}

  prometheus::Family<prometheus::Counter> &counters(const char *Name,
                                                    const char *Help) {
    return prometheus::BuildCounter()
        .Name(Name)
        .Help(Help)
        .Labels(Labels)
        .Register(Registry);
  }
  prometheus::Gauge &gauge(const char *Name, const char *Help) {
    return prometheus::BuildGauge()
        .Name(Name)
        .Help(Help)
        .Labels(Labels)
        .Register(Registry)
        .Add({});
  }

  std::map<std::string, std::string> Labels;
  prometheus::Registry Registry;
  std::array<std::array<std::array<prometheus::Counter *, ReasonNames.size()>,
                        OutcomeNames.size()>,
             SideNames.size()>
      Calls{};
  std::array<latency_histogram, SideNames.size()> Latency;
  std::array<prometheus::Counter *, AttemptNames.size()> Attempts{};
  std::array<std::array<prometheus::Counter *, 2>, CauseNames.size()> Bytes{};
  prometheus::Counter *Retries = nullptr;
  prometheus::Counter *Crashes = nullptr;
  prometheus::Counter *PlatformCalls = nullptr;
  prometheus::Gauge *Running = nullptr;
  prometheus::Gauge *Queued = nullptr;
  prometheus::Gauge *Slots = nullptr;
  prometheus::Gauge *AppliedVersion = nullptr;
  prometheus::Gauge *KnownVersion = nullptr;
  prometheus::Gauge *LeaseRemaining = nullptr;
  prometheus::Gauge *LeaseLevel = nullptr;
  prometheus::Gauge *MembersAlive = nullptr;
  prometheus::Gauge *MembersSuspect = nullptr;
};

metrics::metrics(const std::string &Instance)
    : Families(std::make_unique<families>(Instance)) {
  families &F = *Families;
  auto &Calls =
      F.counters("hyssop_calls_total", "Calls by side, outcome and reason.");
  for (std::size_t S = 0; S < SideNames.size(); ++S)
    for (std::size_t O = 0; O < OutcomeNames.size(); ++O)
      for (std::size_t R = 0; R < ReasonNames.size(); ++R)
        F.Calls[S][O][R] = &Calls.Add({{"side", SideNames[S]},
                                       {"outcome", OutcomeNames[O]},
                                       {"reason", ReasonNames[R]}});
  auto &Attempts =
      F.counters("hyssop_attempts_total", "Attempts of entry calls.");
  for (std::size_t A = 0; A < AttemptNames.size(); ++A)
    F.Attempts[A] = &Attempts.Add({{"outcome", AttemptNames[A]}});
  F.Retries =
      &F.counters("hyssop_retries_total", "Attempts after the first of a call.")
           .Add({});
  F.Crashes = &F.counters("hyssop_upstream_crashes_total",
                          "Crashes of the upstream with requests in flight.")
                   .Add({});
  auto &Bytes = F.counters("hyssop_control_bytes_total",
                           "Bytes of control traffic by cause.");
  for (std::size_t C = 0; C < CauseNames.size(); ++C) {
    F.Bytes[C][0] =
        &Bytes.Add({{"cause", CauseNames[C]}, {"direction", "sent"}});
    F.Bytes[C][1] =
        &Bytes.Add({{"cause", CauseNames[C]}, {"direction", "received"}});
  }
  F.PlatformCalls =
      &F.counters("hyssop_platform_calls_total", "Calls of the platform.")
           .Add({});
  F.Running = &F.gauge("hyssop_admission_running",
                       "Requests that run on the upstream.");
  F.Queued =
      &F.gauge("hyssop_admission_queued", "Requests that wait for a slot.");
  F.Slots = &F.gauge("hyssop_admission_slots", "Slots of the upstream.");
  F.AppliedVersion = &F.gauge("hyssop_applied_version",
                              "Configuration version in force, 0: none.");
  F.KnownVersion =
      &F.gauge("hyssop_known_version", "Highest configuration version known.");
  F.LeaseRemaining =
      &F.gauge("hyssop_lease_remaining_seconds", "Time left on the lease.");
  F.LeaseLevel = &F.gauge("hyssop_lease_level", "Level of the lease.");
  F.MembersAlive = &F.gauge("hyssop_members_alive", "Members that are alive.");
  F.MembersSuspect =
      &F.gauge("hyssop_members_suspect", "Members under suspicion.");
}

metrics::~metrics() = default;

void metrics::recordCall(call_side Side, std::string_view Outcome,
                         std::string_view Reason,
                         state::boot_clock::duration Latency) {
  const auto S = static_cast<std::size_t>(Side);
  const std::size_t O = indexOf(OutcomeNames, Outcome, 2);
  Families->Calls[S][O][indexOf(ReasonNames, Reason, ReasonNames.size() - 1)]
      ->Increment();
  Families->Latency[S].observe(std::chrono::duration<double>(Latency).count());
}

void metrics::recordAttempt(state::attempt_outcome Outcome) {
  Families->Attempts[static_cast<std::size_t>(Outcome)]->Increment();
}

void metrics::recordRetry() { Families->Retries->Increment(); }

void metrics::recordUpstreamCrash() { Families->Crashes->Increment(); }

void metrics::setAdmission(std::uint32_t Running, std::uint32_t Queued,
                           std::uint32_t Slots) {
  Families->Running->Set(Running);
  Families->Queued->Set(Queued);
  Families->Slots->Set(Slots);
}

void metrics::addControlBytes(control_traffic_cause Cause, std::uint64_t Sent,
                              std::uint64_t Received) {
  auto &Bytes = Families->Bytes[static_cast<std::size_t>(Cause)];
  Bytes[0]->Increment(static_cast<double>(Sent));
  Bytes[1]->Increment(static_cast<double>(Received));
}

void metrics::addPlatformCalls(std::uint64_t Calls) {
  Families->PlatformCalls->Increment(static_cast<double>(Calls));
}

void metrics::setVersions(std::uint64_t AppliedVersion,
                          std::uint64_t KnownVersion) {
  Families->AppliedVersion->Set(static_cast<double>(AppliedVersion));
  Families->KnownVersion->Set(static_cast<double>(KnownVersion));
}

void metrics::setLease(state::milliseconds Remaining, std::uint32_t Level) {
  Families->LeaseRemaining->Set(
      std::chrono::duration<double>(Remaining).count());
  Families->LeaseLevel->Set(Level);
}

void metrics::setMembers(std::uint64_t Alive, std::uint64_t Suspect) {
  Families->MembersAlive->Set(static_cast<double>(Alive));
  Families->MembersSuspect->Set(static_cast<double>(Suspect));
}

std::string metrics::text() const {
  auto Collected = Families->Registry.Collect();
  prometheus::MetricFamily Latency;
  Latency.name = "hyssop_call_seconds";
  Latency.help = "Time from the whole request to the answer.";
  Latency.type = prometheus::MetricType::Histogram;
  for (std::size_t S = 0; S < SideNames.size(); ++S) {
    prometheus::ClientMetric Metric;
    Metric.label = {{"instance", Families->Labels.at("instance")},
                    {"side", SideNames[S]}};
    Metric.histogram = Families->Latency[S].collect();
    Latency.metric.push_back(std::move(Metric));
  }
  Collected.push_back(std::move(Latency));
  return prometheus::TextSerializer().Serialize(Collected);
}

} // namespace hyssopledge::transport
