/// \file
/// Guards which attempts count as evidence, that no count is lost or doubled
/// between request threads, relays and the coordinator, and that one reporter
/// can be excluded.
#include "hyssopledge/coordination/evidence.h"

#include <doctest/doctest.h>
#include <thread>

using namespace hyssopledge;
using namespace hyssopledge::coordination;
using state::attempt_outcome;

namespace {

state::attempt_report attempt(attempt_outcome Outcome, int Ms = 10) {
  state::attempt_report Report;
  Report.Service = "sizing";
  Report.Version = "v2";
  Report.Route = "all";
  Report.Instance = "t1";
  Report.DataCentre = "dc2";
  Report.Outcome = Outcome;
  Report.Latency = state::milliseconds(Ms);
  return Report;
}

control::report_request report(const std::string &From, std::uint64_t Sequence,
                               std::uint64_t Successes,
                               std::uint64_t Failures) {
  control::report_request Report;
  Report.set_from_instance(From);
  Report.set_sequence(Sequence);
  control::reporter_evidence &Evidence = *Report.add_evidence();
  Evidence.set_reporter(From);
  evidence_counts Counts;
  Counts.Successes = Successes;
  Counts.Failures = Failures;
  *Evidence.add_entries() =
      encodeEvidence("sizing", 3, {"v2", "all", "dc1", "dc2"}, Counts);
  return Report;
}

} // namespace

TEST_CASE("two latency buckets cover a factor of 2") {
  const std::pair<int, std::size_t> Cases[] = {
      {0, 0}, {1, 1}, {2, 3}, {3, 4}, {4, 5}, {8, 7}, {1 << 20, 31}};
  for (const auto &Case : Cases) {
    CAPTURE(Case.first);
    CHECK(latencyBucket(state::milliseconds(Case.first)) == Case.second);
  }
}

TEST_CASE("recorder counts only attempts that show the version's quality") {
  struct count_case {
    const char *Name;
    state::attempt_report Report;
    std::uint64_t Successes, Failures, Latencies;
  };
  auto Poison = attempt(attempt_outcome::Unknown);
  Poison.Poison = true;
  auto Warming = attempt(attempt_outcome::Success, 900);
  Warming.TargetWarmingUp = true;
  auto Idle = attempt(attempt_outcome::Failed);
  Idle.Service = "families";
  const count_case Cases[] = {
      {"success", attempt(attempt_outcome::Success), 3, 0, 3},
      {"failed", attempt(attempt_outcome::Failed), 0, 3, 0},
      {"not run", attempt(attempt_outcome::NotRun), 0, 0, 0},
      {"cancelled", attempt(attempt_outcome::Cancelled), 0, 0, 0},
      {"crash interrupts many calls", attempt(attempt_outcome::Unknown), 0, 1,
       0},
      {"poison", Poison, 0, 0, 0},
      {"warm-up latency", Warming, 3, 0, 0},
      {"no rollout of the service", Idle, 0, 0, 0},
  };
  for (const count_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    evidence_recorder Recorder("dc1");
    Recorder.setActiveServices({"sizing"});
    for (int I = 0; I < 3; ++I)
      Recorder.record(Case.Report);
    evidence_counts Sum;
    for (const control::evidence &Entry : Recorder.drain({{"sizing", 7}})) {
      CHECK(Entry.data_centre() == "dc1");
      CHECK(Entry.directive() == 7);
      CHECK(Entry.target_data_centre() == "dc2");
      Sum.add(decodeEvidence(Entry).second);
    }
    CHECK(Sum.Successes == Case.Successes);
    CHECK(Sum.Failures == Case.Failures);
    CHECK(Sum.latencyCount() == Case.Latencies);
    CHECK(Recorder.drain({{"sizing", 7}}).empty());
  }
}

TEST_CASE("recorder loses no count between threads and drains") {
  evidence_recorder Recorder("dc1");
  Recorder.setActiveServices({"sizing"});
  constexpr int Threads = 4;
  constexpr int Calls = 5000;
  std::vector<std::thread> Workers;
  Workers.reserve(Threads);
  for (int T = 0; T < Threads; ++T)
    Workers.emplace_back([&Recorder, T] {
      for (int I = 0; I < Calls; ++I) {
        auto Report = attempt(attempt_outcome::Success);
        Report.Instance = "t" + std::to_string((I + T) % 5);
        Recorder.record(Report);
      }
    });
  std::uint64_t Sum = 0;
  const auto Drain = [&] {
    for (const control::evidence &Entry : Recorder.drain({{"sizing", 7}}))
      Sum += Entry.successes();
  };
  for (int I = 0; I < 20; ++I)
    Drain();
  for (std::thread &Worker : Workers)
    Worker.join();
  Drain();
  CHECK(Sum == Threads * Calls);
}

TEST_CASE("relay counts a repeated report once and names the worst reporters") {
  evidence_aggregator Relay("r1", 1);
  CHECK_FALSE(Relay.drain("production").has_value());
  CHECK(Relay.add(report("a", 1, 90, 10)));
  CHECK_FALSE(Relay.add(report("a", 1, 90, 10)));
  CHECK(Relay.add(report("b", 1, 100, 1)));
  CHECK(Relay.add(report("c", 1, 100, 0)));
  auto WithAck = report("d", 1, 0, 100);
  WithAck.add_acknowledgements()->set_instance("d");
  CHECK(Relay.add(WithAck));
  const auto Sent = Relay.drain("production");
  REQUIRE(Sent.has_value());
  CHECK(Sent->acknowledgements_size() == 1);
  std::map<std::string, std::uint64_t> Failures;
  std::uint64_t Calls = 0;
  for (const auto &From : Sent->evidence())
    for (const auto &Entry : From.entries()) {
      Failures[From.reporter()] += Entry.failures();
      Calls += Entry.failures() + Entry.successes();
    }
  CHECK(Calls == 401);
  CHECK(Failures == std::map<std::string, std::uint64_t>{
                        {"a", 10}, {"d", 100}, {"sum/r1", 1}});
}

TEST_CASE("windows start at a change of the share and can exclude a reporter") {
  evidence_series Series;
  const stratum_key Key{"v2", "all", "dc1", "dc2"};
  evidence_counts Ten;
  Ten.Successes = 10;
  const auto Calls = [&](std::size_t Window, std::optional<std::size_t> Out) {
    std::uint64_t Sum = 0;
    for (const stratum_sum &S : Series.sums(Window, Out))
      Sum += S.Counts.calls();
    return Sum;
  };
  for (int Slice = 0; Slice < 5; ++Slice) {
    Series.add("a", Key, Ten);
    Series.add(evidence_aggregator::aggregateName("r"), Key, Ten);
    Series.closeSlice();
  }
  CHECK(Calls(1, {}) == 0);
  CHECK(Calls(3, {}) == 40);
  CHECK(Calls(3, 0) == 20);
  CHECK(Series.excludableReporters() == std::vector<std::size_t>{0});
  Series.beginStep();
  CHECK(Calls(3, {}) == 0);
  Series.add("a", Key, Ten);
  Series.closeSlice();
  CHECK(Calls(30, {}) == 10);
  CHECK(Calls(evidence_series::SinceStep, {}) == 10);
}
