/// \file
/// Guards against a second run of a non-idempotent request and against retry
/// storms.
#include "bench/retry_chain.h"

#include <array>
#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <rapidcheck.h>
#include <thread>
#include <vector>

using namespace hyssopledge::state;

TEST_CASE("only what may run again is sent again") {
  const time_point Now{std::chrono::hours(1)};
  struct retry_case {
    attempt_outcome Outcome;
    bool Idempotent;
    retry_decision Expected;
    std::function<void(retry_request &)> Change = [](auto &) {};
  };
  const auto Retry = retry_decision::Retry;
  const auto GiveUp = retry_decision::GiveUp;
  const retry_case Cases[] = {
      {attempt_outcome::Success, true, GiveUp},
      {attempt_outcome::Failed, true, Retry},
      {attempt_outcome::Failed, false, GiveUp},
      {attempt_outcome::NotRun, true, Retry},
      {attempt_outcome::NotRun, false, Retry},
      {attempt_outcome::Unknown, true, Retry},
      {attempt_outcome::Unknown, false, GiveUp},
      {attempt_outcome::Cancelled, true, GiveUp},
      {attempt_outcome::NotRun, true, GiveUp, [](auto &R) { R.Poison = true; }},
      {attempt_outcome::NotRun, true, GiveUp,
       [](auto &R) { R.AttemptsLeft = 0; }},
      {attempt_outcome::NotRun, true, GiveUp,
       [](auto &R) { R.RetriedByLaterHop = true; }},
      {attempt_outcome::NotRun, true, GiveUp,
       [](auto &R) { R.Now = R.Deadline; }},
  };
  for (const retry_case &Case : Cases) {
    CAPTURE(static_cast<int>(Case.Outcome));
    CAPTURE(Case.Idempotent);
    retry_budget Budget(0.1, 1);
    retry_request Request;
    Request.Outcome = Case.Outcome;
    Request.Idempotent = Case.Idempotent;
    Request.AttemptsLeft = 1;
    Request.Now = Now;
    Request.Deadline = Now + milliseconds(1);
    Case.Change(Request);
    CHECK(decideRetry(Request, Budget) == Case.Expected);
    CHECK(Budget.available() == (Case.Expected == Retry ? 0.0 : 1.0));
    CHECK(decideRetry(Request, Budget) ==
          (Case.Expected == Retry ? GiveUp : Case.Expected)); // no token left
  }
}

TEST_CASE("a call that may have run is never answered as not run") {
  const auto NotRun = attempt_outcome::NotRun;
  CHECK(callOutcome(NotRun, false) == NotRun);
  CHECK(callOutcome(NotRun, true) == attempt_outcome::Unknown);
  CHECK(callOutcome(attempt_outcome::Failed, true) == attempt_outcome::Failed);
}

TEST_CASE("the budget bounds retries by its reserve and its share of calls") {
  const bool Held = rc::check([](const std::vector<bool> &Calls) {
    const auto Reserve = *rc::gen::inRange(0U, 5U);
    retry_budget Budget(0.1, Reserve);
    unsigned Taken = 0;
    unsigned Recorded = 0;
    for (const bool Call : Calls) {
      if (Call) {
        Budget.recordCall();
        ++Recorded;
      } else {
        Taken += Budget.tryAcquire() ? 1 : 0;
      }
      RC_ASSERT(Taken <= Reserve + Recorded / 10);
      RC_ASSERT(Budget.available() <= Reserve);
    }
  });
  CHECK(Held);
  retry_budget Shared(0.1, 100);
  std::atomic<unsigned> Taken{0};
  std::array<std::thread, 4> Threads;
  for (std::thread &Thread : Threads)
    Thread = std::thread([&] {
      for (int J = 0; J < 10000; ++J) {
        Shared.recordCall();
        Taken += Shared.tryAcquire() ? 1 : 0;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Taken <= 100 + 4000);
  CHECK(Taken >= 4000);
}

TEST_CASE("retries over 10 hops stay within the budget of each hop") {
  for (const double FailureShare : {0.2, 1.0}) {
    CAPTURE(FailureShare);
    hyssopledge::bench::chain Chain(FailureShare, true, 20261204);
    for (int I = 0; I < 3000; ++I)
      Chain.call(0, 3);
    CHECK(Chain.Executions <= 3000 * 2.7); // 1.1 to the 10th is 2.59
  }
  CHECK(attemptsLeftForNextHop(3, 1) == 3);
  CHECK(attemptsLeftForNextHop(3, 3) == 1);
  CHECK(attemptsLeftForNextHop(0, 1) == 1); // first attempts are always made
}
