/// \file
/// Remembers requests with an idempotency key, so that a caller's own second
/// send does not run again. Not thread-safe: runs on one strand.
///
/// Two daemons keep a key of a route that is not idempotent:
/// - The daemon at the home target (homeTarget in state/picker.h) decides
///   whether the request runs, and keeps the answer.
/// - The entry daemon keeps the key without the answer (MaxBytes 0). If it sent
///   the key on before, it marks the request as repeated. A home that does not
///   know a repeated key answers "unknown" instead of running it.
///
/// Promise: within Retention, requests with the same key run at most once if
/// they come through the same entry daemon, or if their home neither changed
/// nor restarted its daemon in between. A crash of the upstream alone changes
/// nothing. The home changes when a target of the version joins, drains or
/// becomes unreachable, when the rollout share passes the key, and when the
/// version is condemned. Not covered: a second send through another entry
/// daemon after such a change. Asking a second daemon before each run would
/// cover it, but costs a round trip between data centres (1 ms) for each keyed
/// call, of 1.2 ms allowed in all.
///
/// A keyed request is sent to its home only, also when it is sent again after
/// "not run". Otherwise the home would run a second send of a request that ran
/// elsewhere.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace hyssopledge::state {

/// A whole answer, kept to be given again.
struct stored_answer {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
};

enum class key_state { New, InProgress, Done, Unknown };

struct key_lookup {
  key_state State = key_state::New;
  std::shared_ptr<const stored_answer> Answer; // with Done
};

class idempotency_table {
public:
  static constexpr std::chrono::minutes RetentionPeriod{10};

  /// MaxBytes bounds the stored answers; a key whose answer was dropped stays
  /// known as Unknown.
  idempotency_table(std::size_t MaxKeys, std::size_t MaxBytes);

  /// Registers the key when it is new. The same key with another request
  /// fingerprint is a Conflict failure; a full table refuses with Overloaded,
  /// since forgetting a key could run a request twice.
  result<key_lookup> begin(const std::string &Key, std::uint64_t Fingerprint,
                           time_point Now);
  void complete(const std::string &Key, stored_answer Answer, time_point Now);
  void markUnknown(const std::string &Key, time_point Now);
  /// For a request that another daemon has sent before: a key that is not known
  /// here becomes Unknown, so that begin does not run it. A known key keeps its
  /// state. Fails with Overloaded when the table is full.
  result<void> beginRepeated(const std::string &Key, std::uint64_t Fingerprint,
                             time_point Now);
  /// The request was not run: the key is free again.
  void release(const std::string &Key);
  void expire(time_point Now);
  std::size_t size() const;

private:
  struct entry {
    key_state State = key_state::InProgress;
    std::uint64_t Fingerprint = 0;
    time_point At{};
    std::shared_ptr<const stored_answer> Answer;
  };

  std::size_t MaxKeys;
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::unordered_map<std::string, entry> Entries;
  std::deque<std::string> AnswersByAge;
};

} // namespace hyssopledge::state
