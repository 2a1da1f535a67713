/// \file
/// Record of concurrent calls, and checkers of the promises about them
/// (docs/PROMISES.md). A checker describes every violation that it finds.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssopledge::tests {

using send_id = std::uint64_t;      // one message of a caller
using operation_id = std::uint64_t; // may be sent several times

enum class answer_kind { Ran, NotRun, Unknown };

struct call_history {
  using time_point = state::time_point;

  struct sent {
    operation_id Operation;
    bool NonIdempotent; // must run at most once
  };
  struct execution {
    send_id Send;
    operation_id Operation;
    std::string Target;
    time_point At;
  };
  struct answer {
    send_id Send;
    answer_kind Kind;
    operation_id BodyOperation; // the upstream echoes the operation
    bool Complete;
  };
  struct attempt {
    std::size_t Entry;
    std::string Version;
    time_point At;
  };

  std::map<send_id, sent> Sent;
  std::vector<execution> Executions;
  std::vector<answer> Answers;
  std::vector<attempt> Attempts;
  std::map<std::string, time_point> LeftAt; // time the upstream left, by target
  std::map<std::pair<std::size_t, std::string>, time_point>
      CondemnedAt; // time of the verdict, by entry and version
  std::set<std::pair<std::string, std::uint64_t>>
      Unfinished;                // admitted requests, by target and ticket
  std::set<std::string> Drained; // targets that drained before their exit
};

using violations = std::vector<std::string>;

inline violations checkAtMostOneExecution(const call_history &History) {
  std::map<operation_id, unsigned> Runs;
  violations Found;
  for (const auto &Execution : History.Executions)
    if (History.Sent.at(Execution.Send).NonIdempotent &&
        ++Runs[Execution.Operation] == 2)
      Found.push_back("operation " + std::to_string(Execution.Operation) +
                      " ran twice");
  return Found;
}

inline violations checkNotRunAnswers(const call_history &History) {
  std::set<send_id> Executed;
  for (const auto &Execution : History.Executions)
    Executed.insert(Execution.Send);
  violations Found;
  for (const auto &Answer : History.Answers)
    if (Answer.Kind == answer_kind::NotRun && Executed.count(Answer.Send) != 0)
      Found.push_back("send " + std::to_string(Answer.Send) +
                      " ran and was answered \"not run\"");
  return Found;
}

inline violations checkAnswersMatch(const call_history &History) {
  violations Found;
  std::set<send_id> Answered;
  for (const auto &Answer : History.Answers) {
    const std::string Name = "send " + std::to_string(Answer.Send);
    if (!Answered.insert(Answer.Send).second)
      Found.push_back(Name + " was answered twice");
    if (Answer.Kind != answer_kind::Ran)
      continue;
    if (Answer.BodyOperation != History.Sent.at(Answer.Send).Operation)
      Found.push_back(Name + " got the answer of another request");
    if (!Answer.Complete)
      Found.push_back(Name + " got a truncated answer");
  }
  for (const auto &[Send, Unused] : History.Sent)
    if (Answered.count(Send) == 0)
      Found.push_back("send " + std::to_string(Send) + " got no answer");
  return Found;
}

inline violations checkNoExecutionAfterLeave(const call_history &History) {
  violations Found;
  for (const auto &Execution : History.Executions) {
    const auto LeftAt = History.LeftAt.find(Execution.Target);
    if (LeftAt != History.LeftAt.end() &&
        Execution.At > LeftAt->second + std::chrono::seconds(4))
      Found.push_back("send " + std::to_string(Execution.Send) +
                      " reached the upstream of " + Execution.Target +
                      " after it left");
  }
  return Found;
}

inline violations checkDrainCompletes(const call_history &History) {
  violations Found;
  for (const auto &[Target, Ticket] : History.Unfinished)
    if (History.Drained.count(Target) != 0)
      Found.push_back("ticket " + std::to_string(Ticket) + " was cut by " +
                      Target);
  return Found;
}

inline violations checkNoAttemptAtCondemned(const call_history &History) {
  violations Found;
  for (const auto &Attempt : History.Attempts) {
    const auto CondemnedAt =
        History.CondemnedAt.find({Attempt.Entry, Attempt.Version});
    if (CondemnedAt != History.CondemnedAt.end() &&
        Attempt.At > CondemnedAt->second)
      Found.push_back("entry " + std::to_string(Attempt.Entry) +
                      " used condemned " + Attempt.Version);
  }
  return Found;
}

struct call_checker {
  const char *Name;
  violations (*Check)(const call_history &);
};
inline const call_checker CallCheckers[] = {
    {"at most one execution", checkAtMostOneExecution},
    {"not run answers", checkNotRunAnswers},
    {"answers match", checkAnswersMatch},
    {"no execution after leave", checkNoExecutionAfterLeave},
    {"drain completes", checkDrainCompletes},
    {"no attempt at condemned", checkNoAttemptAtCondemned},
};

} // namespace hyssopledge::tests
