/// \file
/// Checks the promises about calls (docs/PROMISES.md) on held-out fault
/// schedules and counts the outcomes of the calls.
#include "bench/bench.h"
#include "bench/call_model.h"

namespace hyssopledge::bench {

namespace {

std::vector<row> benchCalls(const options &Options) {
  const std::uint64_t Schedules = Options.Quick ? 500 : 20'000;
  const std::uint64_t FirstSeed = HeldOutSeedBase + Options.Seed * Schedules;
  double ViolationCount = 0;
  double AnswerCounts[3] = {};
  double SentCount = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Schedules; ++Seed) {
    const call_history History = call_model(Seed, call_ablation::None).run();
    for (const tests::call_checker &Checker : tests::CallCheckers)
      ViolationCount += static_cast<double>(Checker.Check(History).size());
    for (const call_history::answer &Answer : History.Answers)
      ++AnswerCounts[static_cast<int>(Answer.Kind)];
    SentCount += static_cast<double>(History.Sent.size());
  }
  const auto PercentOfSends = [&](answer_kind Kind) {
    return 100 * AnswerCounts[static_cast<int>(Kind)] / SentCount;
  };
  return {
      {"calls.promise_violations", "violations", ViolationCount, 0, "", "0",
       false},
      {"calls.schedules", "schedules", static_cast<double>(Schedules), 0, "",
       "", true},
      {"calls.ran", "% of sends", PercentOfSends(answer_kind::Ran), 0, "", "",
       true},
      {"calls.not_run", "% of sends", PercentOfSends(answer_kind::NotRun), 0,
       "", "", false},
      {"calls.unknown", "% of sends", PercentOfSends(answer_kind::Unknown), 0,
       "", "", false},
  };
}

const registration Register("calls", benchCalls);

} // namespace

} // namespace hyssopledge::bench
