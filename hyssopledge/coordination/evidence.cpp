#include "hyssopledge/coordination/evidence.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::coordination {

//-----------------------------------------------------------------------------
// Latency histogram
//-----------------------------------------------------------------------------

std::size_t latencyBucket(state::milliseconds Latency) {
  if (Latency.count() < 1)
    return 0;
  const double Log = 2 * std::log2(static_cast<double>(Latency.count()));
  return std::min(LatencyBuckets - 1, static_cast<std::size_t>(Log) + 1);
}

std::uint64_t evidence_counts::latencyCount() const {
  std::uint64_t Sum = 0;
  for (std::uint64_t Count : Latency)
    Sum += Count;
  return Sum;
}

void evidence_counts::add(const evidence_counts &Other) {
  Successes += Other.Successes;
  Failures += Other.Failures;
  WarmupCalls += Other.WarmupCalls;
  Refused += Other.Refused;
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Latency[I] += Other.Latency[I];
}

void evidence_counts::subtract(const evidence_counts &Other) {
  Successes -= Other.Successes;
  Failures -= Other.Failures;
  WarmupCalls -= Other.WarmupCalls;
  Refused -= Other.Refused;
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Latency[I] -= Other.Latency[I];
}

control::evidence encodeEvidence(const std::string &Service,
                                 std::uint64_t Directive,
                                 const stratum_key &Key,
                                 const evidence_counts &Counts) {
  control::evidence Entry;
  Entry.set_service(Service);
  Entry.set_directive(Directive);
  Entry.set_version(Key.Version);
  Entry.set_route(Key.Route);
  Entry.set_data_centre(Key.DataCentre);
  Entry.set_target_data_centre(Key.TargetDataCentre);
  Entry.set_successes(Counts.Successes);
  Entry.set_failures(Counts.Failures);
  Entry.set_warmup_calls(Counts.WarmupCalls);
  Entry.set_refused(Counts.Refused);
  std::size_t Used = LatencyBuckets;
  while (Used > 0 && Counts.Latency[Used - 1] == 0)
    --Used;
  for (std::size_t I = 0; I < Used; ++I)
    Entry.add_latency_buckets(Counts.Latency[I]);
  return Entry;
}

std::pair<stratum_key, evidence_counts>
decodeEvidence(const control::evidence &Entry) {
  evidence_counts Counts;
  Counts.Successes = Entry.successes();
  Counts.Failures = Entry.failures();
  Counts.WarmupCalls = Entry.warmup_calls();
  Counts.Refused = Entry.refused();
  const std::size_t Used = std::min<std::size_t>(
      LatencyBuckets, static_cast<std::size_t>(Entry.latency_buckets_size()));
  for (std::size_t I = 0; I < Used; ++I)
    Counts.Latency[I] = Entry.latency_buckets(static_cast<int>(I));
  return {{Entry.version(), Entry.route(), Entry.data_centre(),
           Entry.target_data_centre()},
          Counts};
}

//-----------------------------------------------------------------------------
// Entry daemon
//-----------------------------------------------------------------------------

evidence_recorder::evidence_recorder(std::string DataCentre)
    : DataCentre(std::move(DataCentre)) {}

void evidence_recorder::setActiveServices(std::set<std::string> Services) {
  const std::lock_guard<std::mutex> Guard(InsertMutex);
  auto Next = std::make_shared<table>(*Table.read());
  Next->Active = {Services.begin(), Services.end()};
  std::erase_if(Next->Counters, [&](const auto &Entry) {
    return !Services.contains(Entry.first.Service);
  });
  Table.publish(std::move(Next));
}

void evidence_recorder::record(const state::attempt_report &Report) {
  using state::attempt_outcome;
  if (Report.Poison || Report.Outcome == attempt_outcome::Cancelled)
    return;
  const std::shared_ptr<const table> Current = Table.read();
  if (!Current->Active.contains(Report.Service))
    return;
  const key_view View{Report.Service, Report.Version, Report.Route,
                      Report.DataCentre, Report.Instance};
  auto Found = Current->Counters.find(View);
  const std::shared_ptr<counters> Counters =
      Found != Current->Counters.end() ? Found->second : insert(View);
  if (Counters == nullptr)
    return;
  constexpr auto Relaxed = std::memory_order_relaxed;
  if (Report.Outcome == attempt_outcome::NotRun) {
    Counters->Refused.fetch_add(1, Relaxed);
    return;
  }
  if (Report.TargetWarmingUp)
    Counters->Warmup.fetch_add(1, Relaxed);
  if (Report.Outcome == attempt_outcome::Failed) {
    Counters->Failures.fetch_add(1, Relaxed);
  } else if (Report.Outcome == attempt_outcome::Unknown) {
    Counters->Unknown.fetch_add(1, Relaxed);
  } else {
    Counters->Successes.fetch_add(1, Relaxed);
    if (!Report.TargetWarmingUp)
      Counters->Latency[latencyBucket(Report.Latency)].fetch_add(1, Relaxed);
  }
}

std::shared_ptr<evidence_recorder::counters>
evidence_recorder::insert(const key_view &View) {
  const std::lock_guard<std::mutex> Guard(InsertMutex);
  const std::shared_ptr<const table> Current = Table.read();
  if (!Current->Active.contains(View.Service))
    return nullptr;
  if (auto Found = Current->Counters.find(View);
      Found != Current->Counters.end())
    return Found->second;
  auto Next = std::make_shared<table>(*Current);
  auto Added = std::make_shared<counters>();
  Next->Counters.emplace(key{std::string(View.Service),
                             std::string(View.Version), std::string(View.Route),
                             std::string(View.TargetDataCentre),
                             std::string(View.Instance)},
                         Added);
  Table.publish(std::move(Next));
  return Added;
}

std::vector<control::evidence> evidence_recorder::drain(
    const std::map<std::string, std::uint64_t> &Revisions) {
  std::map<std::pair<std::string, stratum_key>, evidence_counts> Sums;
  constexpr auto Relaxed = std::memory_order_relaxed;
  const std::shared_ptr<const table> Current = Table.read();
  for (const auto &[Key, Counters] : Current->Counters) {
    evidence_counts Counts;
    Counts.Successes = Counters->Successes.exchange(0, Relaxed);
    Counts.Failures =
        Counters->Failures.exchange(0, Relaxed) +
        std::min<std::uint64_t>(1, Counters->Unknown.exchange(0, Relaxed));
    Counts.WarmupCalls = Counters->Warmup.exchange(0, Relaxed);
    Counts.Refused = Counters->Refused.exchange(0, Relaxed);
    for (std::size_t I = 0; I < LatencyBuckets; ++I)
      Counts.Latency[I] = Counters->Latency[I].exchange(0, Relaxed);
    if (!Counts.empty())
      Sums[{Key.Service,
            {Key.Version, Key.Route, DataCentre, Key.TargetDataCentre}}]
          .add(Counts);
  }
  std::vector<control::evidence> Entries;
  Entries.reserve(Sums.size());
  for (const auto &[Key, Counts] : Sums) {
    auto Revision = Revisions.find(Key.first);
    Entries.push_back(encodeEvidence(
        Key.first, Revision == Revisions.end() ? 0 : Revision->second,
        Key.second, Counts));
  }
  return Entries;
}

//-----------------------------------------------------------------------------
// Relay
//-----------------------------------------------------------------------------

evidence_aggregator::evidence_aggregator(std::string Relay,
                                         std::uint64_t FirstSequence)
    : Relay(std::move(Relay)), Sequence(FirstSequence) {}

std::string evidence_aggregator::aggregateName(const std::string &Relay) {
  return "sum/" + Relay;
}

bool evidence_aggregator::isAggregateName(const std::string &Reporter) {
  return Reporter.starts_with("sum/");
}

bool evidence_aggregator::add(const control::report_request &Report) {
  std::uint64_t &Last = LastSequence[Report.from_instance()];
  if (Report.sequence() != 0 && Report.sequence() <= Last)
    return false;
  Last = Report.sequence();
  for (const auto &Acknowledgement : Report.acknowledgements())
    Acknowledgements[Acknowledgement.instance()] = Acknowledgement;
  for (const control::reporter_evidence &From : Report.evidence())
    for (const control::evidence &Entry : From.entries()) {
      const auto [Key, Counts] = decodeEvidence(Entry);
      Pending[From.reporter()][{Entry.service(), Entry.directive(), Key}].add(
          Counts);
      Failures[From.reporter()] += Counts.Failures;
    }
  return true;
}

std::optional<control::report_request>
evidence_aggregator::drain(const std::string &Environment) {
  if (Pending.empty() && Acknowledgements.empty())
    return std::nullopt;
  std::vector<std::pair<std::uint64_t, std::string>> ReportersByFailures;
  for (const auto &[Reporter, Count] : Failures)
    ReportersByFailures.emplace_back(Count, Reporter);
  std::sort(ReportersByFailures.rbegin(), ReportersByFailures.rend());
  std::set<std::string> NamedReporters;
  for (const auto &[Count, Reporter] : ReportersByFailures)
    if (NamedReporters.size() < MaxNamedReporters)
      NamedReporters.insert(Reporter);
  std::map<std::string, sums> ByReporter;
  for (auto &[Reporter, Sums] : Pending) {
    sums &Sum =
        ByReporter[NamedReporters.contains(Reporter) ? Reporter
                                                     : aggregateName(Relay)];
    for (const auto &[Key, Counts] : Sums)
      Sum[Key].add(Counts);
  }
  Pending.clear();
  for (auto It = Failures.begin(); It != Failures.end();)
    It = (It->second /= 2) == 0 ? Failures.erase(It) : std::next(It);

  control::report_request Report;
  Report.set_environment(Environment);
  Report.set_from_instance(Relay);
  Report.set_aggregated(true);
  Report.set_sequence(++Sequence);
  for (auto &[Instance, Acknowledgement] : Acknowledgements)
    *Report.add_acknowledgements() = std::move(Acknowledgement);
  Acknowledgements.clear();
  for (const auto &[Reporter, Sums] : ByReporter) {
    control::reporter_evidence &From = *Report.add_evidence();
    From.set_reporter(Reporter);
    for (const auto &[Key, Counts] : Sums)
      *From.add_entries() = encodeEvidence(std::get<0>(Key), std::get<1>(Key),
                                           std::get<2>(Key), Counts);
  }
  return Report;
}

//-----------------------------------------------------------------------------
// Relay, coordinator, or a daemon with its own evidence
//-----------------------------------------------------------------------------

void evidence_series::add(const std::string &Reporter, const stratum_key &Key,
                          const evidence_counts &Counts) {
  const auto [R, NewReporter] =
      ReporterIndex.try_emplace(Reporter, Reporters.size());
  if (NewReporter)
    Reporters.push_back(Reporter);
  const auto [K, NewKey] = KeyIndex.try_emplace(Key, Keys.size());
  if (NewKey)
    Keys.push_back(std::make_unique<stratum_key>(Key));
  const auto [S, NewSlot] =
      SlotIndex.try_emplace({R->second, K->second}, Slots.size());
  if (NewSlot) {
    Slots.emplace_back(R->second, K->second);
    Total.emplace_back();
  }
  Total[S->second].add(Counts);
}

void evidence_series::closeSlice() {
  ++SlicesSinceStep;
  SliceTotals.push_back(Total);
  if (SliceTotals.size() > MaxWindow)
    SliceTotals.pop_front();
}

void evidence_series::beginStep() {
  StepStartTotal = Total;
  SlicesSinceStep = 0;
}

const evidence_series::slot_counts *
evidence_series::windowStart(std::size_t Slices) const {
  if (Slices == SinceStep || Slices > SlicesSinceStep)
    return &StepStartTotal;
  return Slices <= SliceTotals.size()
             ? &SliceTotals[SliceTotals.size() - Slices]
             : nullptr;
}

evidence_sums
evidence_series::sums(std::size_t Slices,
                      std::optional<std::size_t> ExcludedReporter) const {
  const slot_counts *WindowStart = windowStart(Slices);
  std::vector<evidence_counts> SumsByKey(Keys.size());
  for (std::size_t S = 0; S < Slots.size(); ++S) {
    if (Slots[S].first == ExcludedReporter)
      continue;
    evidence_counts &Counts = SumsByKey[Slots[S].second];
    Counts.add(Total[S]);
    if (WindowStart != nullptr && S < WindowStart->size())
      Counts.subtract((*WindowStart)[S]);
  }
  evidence_sums Sums;
  Sums.reserve(Keys.size());
  for (std::size_t K = 0; K < Keys.size(); ++K)
    if (!SumsByKey[K].empty())
      Sums.push_back({Keys[K].get(), SumsByKey[K]});
  return Sums;
}

void evidence_series::keepBaseline(const std::string &Version) {
  std::vector<std::pair<std::size_t, evidence_counts>> Next;
  for (const stratum_sum &Sum : sums(MaxWindow))
    if (Sum.Key->Version == Version)
      Next.emplace_back(KeyIndex.at(*Sum.Key), Sum.Counts);
  BaselineKept = true;
  if (!Next.empty())
    Baseline = std::move(Next);
}

evidence_sums evidence_series::sumsWithBaseline(
    std::size_t Slices, const std::string &Version,
    std::optional<std::size_t> ExcludedReporter) const {
  evidence_sums Sums = sums(Slices, ExcludedReporter);
  std::erase_if(Sums, [&](const stratum_sum &Sum) {
    return Sum.Key->Version != Version;
  });
  // Overload explains slowness only while the old version gets calls to compare
  // with. Against the baseline, slowness is a reason for a recheck.
  for (stratum_sum &Sum : Sums)
    Sum.Counts.Refused = 0;
  for (const auto &[Key, Counts] : Baseline)
    Sums.push_back({Keys[Key].get(), Counts});
  return Sums;
}

std::vector<std::size_t> evidence_series::excludableReporters() const {
  std::vector<std::size_t> Indices;
  for (std::size_t R = 0; R < Reporters.size(); ++R)
    if (!evidence_aggregator::isAggregateName(Reporters[R]))
      Indices.push_back(R);
  return Indices;
}

} // namespace hyssopledge::coordination
