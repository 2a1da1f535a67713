/// \file
/// Remembers requests with an idempotency key at their home target. Not
/// thread-safe: runs on admission's strand.
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
  static constexpr std::chrono::minutes Retention{10};

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
