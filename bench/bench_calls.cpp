/// \file
/// Promises about calls on held-out schedules of faults, and how their calls
/// end.
#include "bench/bench.h"
#include "bench/call_model.h"

namespace hyssopledge::bench {

namespace {

std::vector<row> benchCalls(const options &Options) {
  const std::uint64_t Schedules = Options.Quick ? 500 : 20'000;
  const std::uint64_t First = HeldOutSeedBase + Options.Seed * Schedules;
  double Violations = 0;
  double Ended[3] = {};
  double Sent = 0;
  for (std::uint64_t Seed = First; Seed < First + Schedules; ++Seed) {
    const call_history History = call_model(Seed, omission::None).run();
    for (const tests::call_checker &Checker : tests::CallCheckers)
      Violations += static_cast<double>(Checker.Check(History).size());
    for (const call_history::answer &Answer : History.Answers)
      ++Ended[static_cast<int>(Answer.Kind)];
    Sent += static_cast<double>(History.Sent.size());
  }
  const auto Share = [&](answer_kind Kind) {
    return 100 * Ended[static_cast<int>(Kind)] / Sent;
  };
  return {
      {"calls.promise_violations", "violations", Violations, 0, "", "0", false},
      {"calls.schedules", "schedules", static_cast<double>(Schedules), 0, "",
       "", true},
      {"calls.ran", "% of sends", Share(answer_kind::Ran), 0, "", "", true},
      {"calls.not_run", "% of sends", Share(answer_kind::NotRun), 0, "", "",
       false},
      {"calls.unknown", "% of sends", Share(answer_kind::Unknown), 0, "", "",
       false},
  };
}

const registration Register("calls", benchCalls);

} // namespace

} // namespace hyssopledge::bench
