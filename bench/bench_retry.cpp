/// \file
/// Retry amplification over a chain of 10 hops.
#include "bench/bench.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/state/retry.h"

#include <memory>
#include <string>
#include <vector>

namespace hyssopledge::bench {

using namespace state;

namespace {

constexpr unsigned Depth = 10;

/// Daemons of one hop share a budget, as they see the same mix of calls.
class chain {
public:
  chain(double FailureShare, bool WholeDepth, std::uint64_t Seed)
      : FailureShare(FailureShare), WholeDepth(WholeDepth), Engine(Seed) {
    for (unsigned I = 0; I < Depth; ++I)
      Budgets.push_back(std::make_unique<retry_budget>(0.1, 10));
  }

  struct answer {
    bool Success = false;
    bool Retried = false; // a hop has spent retries on this failure
  };

  answer call(unsigned Hop, std::uint32_t Attempts) {
    if (Hop == Depth) {
      ++Executions;
      return {unitInterval(Engine()) >= FailureShare, false};
    }
    Budgets[Hop]->recordCall();
    for (std::uint32_t Made = 1;; ++Made) {
      answer Answer =
          call(Hop + 1, WholeDepth ? attemptsLeftBelow(Attempts, Made) : 3);
      if (Answer.Success)
        return Answer;
      if (WholeDepth) {
        retry_request Request;
        Request.Outcome = attempt_outcome::Failed;
        Request.Idempotent = true;
        Request.AnsweredAlreadyRetried = Answer.Retried;
        Request.AttemptsLeft = Attempts - Made;
        Request.Deadline = time_point::max();
        if (decideRetry(Request, *Budgets[Hop]) == retry_decision::Retry)
          continue;
      } else if (Made < 3) {
        continue;
      }
      return {false, Answer.Retried || Made > 1};
    }
  }

  std::uint64_t Executions = 0; // at the deepest hop

private:
  double FailureShare;
  bool WholeDepth;
  random_engine Engine;
  std::vector<std::unique_ptr<retry_budget>> Budgets;
};

struct amplification {
  double Executions = 0; // for each call at the top
  double Success = 0;    // share of calls
};

amplification measure(double FailureShare, bool WholeDepth, unsigned Calls,
                      std::uint64_t Seed) {
  chain Chain(FailureShare, WholeDepth, Seed);
  unsigned Good = 0;
  for (unsigned I = 0; I < Calls; ++I)
    Good += Chain.call(0, 3).Success ? 1 : 0;
  return {static_cast<double>(Chain.Executions) / Calls,
          static_cast<double>(Good) / Calls};
}

std::vector<row> benchRetry(const options &Options) {
  std::vector<row> Rows;
  const std::string Name = "3 attempts at each hop";
  for (const auto &[Share, Text] : {std::pair{0.2, "20"}, {1.0, "100"}}) {
    const std::uint64_t Seed = HeldOutSeedBase + Options.Seed;
    const amplification Ours =
        measure(Share, true, Options.Quick ? 2000 : 20000, Seed);
    // With all calls failing each one takes 3 to the 10th executions.
    const amplification Naive =
        measure(Share, false, Share < 1 ? 20000 : 20, Seed);
    const std::string Prefix =
        std::string("retry_depth_10.failing_") + Text + "_percent.";
    Rows.push_back({Prefix + "executions_for_each_call", "executions",
                    Ours.Executions, Naive.Executions, Name, "", false});
    Rows.push_back({Prefix + "successful_calls", "%", Ours.Success * 100,
                    Naive.Success * 100, Name, "", true});
  }
  return Rows;
}

const registration Register("retry", benchRetry);

} // namespace

} // namespace hyssopledge::bench
