/// \file
/// Deduplicates requests by idempotency key, so that a retry by the caller does
/// not run twice. Not thread-safe: runs on one strand.
///
/// For routes that are not idempotent, two daemons store the key:
/// - The daemon at the home target (homeTarget in state/picker.h) decides
///   whether the request runs, and stores the response.
/// - The entry daemon stores the key without the response (MaxBytes 0). If it
///   has forwarded the key before, it marks the request as repeated. A home
///   target without an entry for a repeated key returns "unknown" instead of
///   running the request.
///
/// Guarantee: within RetentionPeriod, requests with the same key run at most
/// once if they arrive at the same entry daemon, or if in between the home
/// target did not change and its daemon did not restart. A crash of the
/// upstream alone does not matter. The home target changes when a target of the
/// version joins, drains or becomes unreachable, when the rollout share moves
/// past the key, and when the version is condemned. Not covered: a retry
/// through another entry daemon after such a change. Asking a second daemon
/// before each run would cover it, but needs a round trip between data centres
/// (1 ms) for each keyed call, out of a total latency budget of 1.2 ms.
///
/// A keyed request is sent to its home target only, even when it is retried
/// after "not run". Otherwise the home target would run a later retry of a
/// request that has run elsewhere.
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

/// Complete response of a request, replayed to later requests with its key.
struct stored_response {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
};

enum class key_state {
  New,        // first request with the key: run it
  InProgress, // the first request is still running
  Done,       // the response is stored
  Unknown     // the request may have run; no response is stored
};

struct key_lookup {
  key_state State = key_state::New;
  std::shared_ptr<const stored_response> Response; // null unless Done
};

class idempotency_table {
public:
  static constexpr std::chrono::minutes RetentionPeriod{10};

  /// MaxBytes bounds the stored responses. The oldest are evicted first; their
  /// keys stay in the table as Unknown.
  idempotency_table(std::size_t MaxKeys, std::size_t MaxBytes);

  /// Returns the state of the key and adds a new key as InProgress. Fails with
  /// Conflict when the key was used with another request fingerprint, and with
  /// Overloaded when the table is full, since evicting a key could run its
  /// request twice.
  result<key_lookup> begin(const std::string &Key, std::uint64_t Fingerprint,
                           time_point Now);
  /// Stores the response of a request that was in progress or unknown.
  void complete(const std::string &Key, stored_response Response,
                time_point Now);
  /// Marks a request in progress as one that may have run.
  void markUnknown(const std::string &Key, time_point Now);
  /// For a request that an entry daemon has forwarded before: adds a missing
  /// key as Unknown, so that begin does not run it. An existing key keeps its
  /// state. Fails like begin.
  result<void> beginRepeated(const std::string &Key, std::uint64_t Fingerprint,
                             time_point Now);
  /// Removes the key of a request in progress that did not run.
  void release(const std::string &Key);
  /// Removes keys older than RetentionPeriod, except those in progress.
  void expire(time_point Now);
  std::size_t size() const;

private:
  struct entry {
    key_state State = key_state::InProgress;
    std::uint64_t Fingerprint = 0;
    time_point ChangedAt{};
    std::shared_ptr<const stored_response> Response;
  };

  std::size_t MaxKeys;
  std::size_t MaxBytes;
  std::size_t Bytes = 0; // of the stored responses
  std::unordered_map<std::string, entry> Entries;
  std::deque<std::string> ResponsesByAge; // keys that are Done, oldest first
};

} // namespace hyssopledge::state
