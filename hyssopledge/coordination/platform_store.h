/// \file
/// Interface to the platform's key-value store. Each supported platform
/// implements it.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

constexpr std::size_t MaxPlatformValueBytes = 1024 * 1024;

/// A store that was restored from an older copy gives out its revisions again,
/// and its era is higher. Revisions contain the era, so that they rise across a
/// restore.
constexpr std::int64_t RevisionsPerEra = std::int64_t(1) << 44;
constexpr std::int64_t eraOf(std::int64_t Revision) {
  return Revision / RevisionsPerEra;
}

struct platform_entry {
  std::string Key;
  std::string Value;
  std::int64_t CreateRevision = 0;
  std::int64_t ModRevision = 0; // 0: the key does not exist
  std::int64_t Lease = 0;
};

struct platform_read {
  std::vector<platform_entry> Entries;
  std::int64_t Revision = 0; // of the store at the read
};

/// Transaction: writes Puts and removes Deletes atomically if all conditions
/// hold.
struct platform_txn {
  struct condition {
    std::string Key;
    std::int64_t ModRevision = 0; // 0: the key must not exist
  };
  struct put {
    std::string Key;
    std::string Value;
    std::int64_t Lease = 0;
  };
  std::vector<condition> Conditions;
  std::vector<put> Puts;
  std::vector<std::string> Deletes;
};

struct platform_txn_result {
  bool Succeeded = false; // false: a condition did not hold
  std::int64_t Revision = 0;
};

struct platform_event {
  platform_entry Entry;
  bool Deleted = false;
};

/// An active watch; destroying it ends the watch.
class platform_watch {
public:
  virtual ~platform_watch() = default;
};

/// All calls are asynchronous; handlers run on the event loop given to the
/// implementation. After a Timeout the effect of a call is unknown: read the
/// key before acting on it. After Unavailable nothing was written.
class platform_store {
public:
  template <class T> using handler = std::function<void(state::result<T>)>;
  using watch_handler =
      std::function<void(state::result<std::vector<platform_event>>)>;

  virtual ~platform_store() = default;

  /// Linearizable read of one key or of all keys with the prefix.
  virtual void get(const std::string &Key, bool Prefix,
                   handler<platform_read> Handler) = 0;
  /// Like get, but the result may be some seconds old. Cheaper on platforms
  /// that support such reads.
  virtual void getAllowStale(const std::string &Key, bool Prefix,
                             handler<platform_read> Handler) {
    get(Key, Prefix, std::move(Handler));
  }
  virtual void commit(platform_txn Txn,
                      handler<platform_txn_result> Handler) = 0;
  virtual void grantLease(std::chrono::seconds Duration,
                          handler<std::int64_t> Handler) = 0;
  /// Returns the remaining duration after the renewal; NotFound when the lease
  /// has ended.
  virtual void keepAlive(std::int64_t Lease,
                         handler<std::chrono::seconds> Handler) = 0;
  virtual void revokeLease(std::int64_t Lease, handler<bool> Handler) = 0;
  /// Delivers events from StartRevision on. A failure ends the watch; read the
  /// keys before starting another one. A platform that stops responding is
  /// reported as a failure within some seconds, also if no event is due.
  virtual std::unique_ptr<platform_watch> watch(const std::string &Key,
                                                bool Prefix,
                                                std::int64_t StartRevision,
                                                watch_handler Handler) = 0;
};

} // namespace hyssopledge::coordination
