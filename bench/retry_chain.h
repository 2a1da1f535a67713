/// \file
/// Simulates a call chain of 10 hops in which the deepest one fails, with the
/// production retry rule or with a fixed number of attempts at each hop.
#pragma once

#include "hyssopledge/state/random.h"
#include "hyssopledge/state/retry.h"

#include <memory>
#include <vector>

namespace hyssopledge::bench {

constexpr unsigned Depth = 10;

/// All daemons of a hop share one retry budget, because they see the same mix
/// of calls.
class chain {
public:
  chain(double FailureShare, bool UseRetryRule, std::uint64_t Seed)
      : FailureShare(FailureShare), UseRetryRule(UseRetryRule), Engine(Seed) {
    for (unsigned I = 0; I < Depth; ++I)
      Budgets.push_back(std::make_unique<state::retry_budget>(0.1, 10));
  }

  struct chain_answer {
    bool Success = false;
    bool Retried = false; // this hop or a later one has retried
  };

  chain_answer call(unsigned Hop, std::uint32_t AttemptsLeft) {
    if (Hop == Depth) {
      ++Executions;
      return {state::unitInterval(Engine()) >= FailureShare, false};
    }
    Budgets[Hop]->recordCall();
    for (std::uint32_t AttemptsMade = 1;; ++AttemptsMade) {
      chain_answer Answer =
          call(Hop + 1, UseRetryRule ? state::attemptsLeftForNextHop(
                                           AttemptsLeft, AttemptsMade)
                                     : 3);
      if (Answer.Success)
        return Answer;
      if (UseRetryRule) {
        state::retry_request Request;
        Request.Outcome = state::attempt_outcome::Failed;
        Request.Idempotent = true;
        Request.RetriedByLaterHop = Answer.Retried;
        Request.AttemptsLeft = AttemptsLeft - AttemptsMade;
        Request.Deadline = state::time_point::max();
        if (state::decideRetry(Request, *Budgets[Hop]) ==
            state::retry_decision::Retry)
          continue;
      } else if (AttemptsMade < 3) {
        continue;
      }
      return {false, Answer.Retried || AttemptsMade > 1};
    }
  }

  std::uint64_t Executions = 0; // calls that reached the last hop

private:
  double FailureShare;
  bool UseRetryRule;
  state::random_engine Engine;
  std::vector<std::unique_ptr<state::retry_budget>> Budgets;
};

} // namespace hyssopledge::bench
