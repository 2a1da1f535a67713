/// \file
/// In-memory platform for one thread, with fault injection. Responses wait
/// until run(), so that a test controls their order.
#pragma once

#include "hyssopledge/coordination/platform_store.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hyssopledge::tests {

class fake_platform final : public coordination::platform_store {
public:
  explicit fake_platform(std::function<state::time_point()> Clock)
      : Clock(std::move(Clock)) {}

  //--- Faults -----------------------------------------------------------------
  // The counters apply to the next commits; those fail with Timeout.
  bool Down = false;          // calls have no effect and fail with Unavailable
  std::string FailReadsOf;    // reads of this prefix fail; empty: none
  unsigned LoseResponses = 0; // commits take effect
  unsigned DropCommits = 0;   // commits have no effect
  unsigned DelayCommits = 0;  // commits take effect at applyDelayed()
  std::uint64_t Calls = 0;    // a pending watch counts once
  std::uint64_t Writes = 0;
  std::uint64_t StaleReads = 0; // getAllowStale calls; not counted in Calls

  /// Delivers pending responses and events until none is left.
  void run() {
    while (!Pending.empty())
      runOne(0);
  }
  /// Delivers one pending response; an index other than 0 reorders them.
  void runOne(std::size_t Index) {
    auto Next = std::move(Pending[Index]);
    Pending.erase(Pending.begin() + static_cast<std::ptrdiff_t>(Index));
    Next();
  }
  std::size_t pending() const { return Pending.size(); }
  /// Applies the delayed commits.
  void applyDelayed() {
    expireLeases();
    for (const coordination::platform_txn &Txn : std::exchange(Delayed, {}))
      if (std::all_of(Txn.Puts.begin(), Txn.Puts.end(), [this](auto &Put) {
            return Put.Lease == 0 || Leases.contains(Put.Lease);
          }))
        apply(Txn);
  }

  /// Ends expired leases and deletes their keys.
  void expireLeases() {
    for (auto Lease = Leases.begin(); Lease != Leases.end();) {
      if (Lease->second.ExpiresAt > Clock()) {
        ++Lease;
        continue;
      }
      deleteKeysOf(Lease->first);
      Lease = Leases.erase(Lease);
    }
  }
  void endLease(std::int64_t Lease) {
    deleteKeysOf(Lease);
    Leases.erase(Lease);
  }
  const std::map<std::string, coordination::platform_entry> &entries() const {
    return Entries;
  }

  //--- platform_store ---------------------------------------------------------
  void get(const std::string &Key, bool Prefix,
           handler<coordination::platform_read> Handler) override {
    ++Calls;
    if (Down)
      return respond(Handler, state::failure(state::errc::Unavailable,
                                             "platform is down"));
    if (!FailReadsOf.empty() && Key == FailReadsOf)
      return respond(Handler,
                     state::failure(state::errc::Timeout, "no answer"));
    expireLeases();
    coordination::platform_read Read;
    Read.Revision = Revision;
    for (auto It = Entries.lower_bound(Key); It != Entries.end(); ++It) {
      if (Prefix ? !It->first.starts_with(Key) : It->first != Key)
        break;
      Read.Entries.push_back(It->second);
    }
    respond(Handler, std::move(Read));
  }

  void getAllowStale(const std::string &Key, bool Prefix,
                     handler<coordination::platform_read> Handler) override {
    ++StaleReads;
    --Calls;
    get(Key, Prefix, std::move(Handler));
  }

  void commit(coordination::platform_txn Txn,
              handler<coordination::platform_txn_result> Handler) override {
    ++Calls;
    if (Down)
      return respond(Handler, state::failure(state::errc::Unavailable,
                                             "platform is down"));
    if (DropCommits > 0) {
      --DropCommits;
      return respond(Handler,
                     state::failure(state::errc::Timeout, "no answer"));
    }
    if (DelayCommits > 0) {
      --DelayCommits;
      Delayed.push_back(std::move(Txn));
      return respond(Handler,
                     state::failure(state::errc::Timeout, "no answer"));
    }
    expireLeases();
    coordination::platform_txn_result Result = apply(Txn);
    if (LoseResponses > 0) {
      --LoseResponses;
      return respond(Handler,
                     state::failure(state::errc::Timeout, "no answer"));
    }
    respond(Handler, Result);
  }

  void grantLease(std::chrono::seconds Duration,
                  handler<std::int64_t> Handler) override {
    ++Calls;
    if (Down)
      return respond(Handler, state::failure(state::errc::Unavailable,
                                             "platform is down"));
    Leases[++LastLease] = lease{Duration, Clock() + Duration};
    respond(Handler, LastLease);
  }

  void keepAlive(std::int64_t Lease,
                 handler<std::chrono::seconds> Handler) override {
    ++Calls;
    if (Down)
      return respond(Handler, state::failure(state::errc::Unavailable,
                                             "platform is down"));
    expireLeases();
    auto Found = Leases.find(Lease);
    if (Found == Leases.end())
      return respond(Handler,
                     state::failure(state::errc::NotFound, "lease has ended"));
    Found->second.ExpiresAt = Clock() + Found->second.Duration;
    respond(Handler, Found->second.Duration);
  }

  void revokeLease(std::int64_t Lease, handler<bool> Handler) override {
    ++Calls;
    if (Down)
      return respond(Handler, state::failure(state::errc::Unavailable,
                                             "platform is down"));
    endLease(Lease);
    respond(Handler, true);
  }

  std::unique_ptr<coordination::platform_watch>
  watch(const std::string &Key, bool Prefix, std::int64_t StartRevision,
        watch_handler Handler) override {
    ++Calls;
    auto Watcher =
        std::make_shared<watcher>(watcher{Key, Prefix, std::move(Handler)});
    Watchers.push_back(Watcher);
    std::vector<coordination::platform_event> Missed;
    for (const coordination::platform_event &Event : History)
      if (Event.Entry.ModRevision >= StartRevision &&
          matches(*Watcher, Event.Entry.Key))
        Missed.push_back(Event);
    if (!Missed.empty())
      deliver(Watcher, std::move(Missed));
    return std::make_unique<watch_handle>(std::move(Watcher));
  }

  /// Fails every watch, as an outage does.
  void breakWatches() {
    auto Broken = std::move(Watchers);
    Watchers.clear();
    for (const auto &Watcher : Broken)
      Pending.emplace_back([Watcher] {
        if (!Watcher->Stopped)
          Watcher->Handler(
              state::failure(state::errc::Unavailable, "watch ended"));
      });
  }
  std::size_t watches() const {
    return static_cast<std::size_t>(
        std::count_if(Watchers.begin(), Watchers.end(),
                      [](const auto &Watcher) { return !Watcher->Stopped; }));
  }

private:
  struct lease {
    std::chrono::seconds Duration;
    state::time_point ExpiresAt;
  };
  struct watcher {
    std::string Key;
    bool Prefix;
    watch_handler Handler;
    bool Stopped = false;
  };
  struct watch_handle final : coordination::platform_watch {
    explicit watch_handle(std::shared_ptr<watcher> Watcher)
        : Watcher(std::move(Watcher)) {}
    ~watch_handle() override { Watcher->Stopped = true; }
    std::shared_ptr<watcher> Watcher;
  };

  template <class T, class V> void respond(const handler<T> &Handler, V Value) {
    Pending.emplace_back([Handler, Value = state::result<T>(std::move(Value))] {
      Handler(Value);
    });
  }

  static bool matches(const watcher &Watcher, const std::string &Key) {
    return Watcher.Prefix ? Key.starts_with(Watcher.Key) : Key == Watcher.Key;
  }

  void deliver(const std::shared_ptr<watcher> &Watcher,
               std::vector<coordination::platform_event> Events) {
    Pending.emplace_back([Watcher, Events = std::move(Events)] {
      if (!Watcher->Stopped)
        Watcher->Handler(Events);
    });
  }

  void emit(coordination::platform_event Event) {
    for (const auto &Watcher : Watchers)
      if (matches(*Watcher, Event.Entry.Key))
        deliver(Watcher, {Event});
    History.push_back(std::move(Event));
  }

  coordination::platform_txn_result
  apply(const coordination::platform_txn &Txn) {
    for (const auto &Condition : Txn.Conditions) {
      auto Found = Entries.find(Condition.Key);
      if ((Found == Entries.end() ? 0 : Found->second.ModRevision) !=
          Condition.ModRevision)
        return {false, Revision};
    }
    ++Writes;
    ++Revision;
    for (const auto &Put : Txn.Puts) {
      coordination::platform_entry &Entry = Entries[Put.Key];
      Entry.Key = Put.Key;
      Entry.Value = Put.Value;
      Entry.Lease = Put.Lease;
      if (Entry.CreateRevision == 0)
        Entry.CreateRevision = Revision;
      Entry.ModRevision = Revision;
      emit({Entry, false});
    }
    for (const std::string &Key : Txn.Deletes)
      erase(Key);
    return {true, Revision};
  }

  void erase(const std::string &Key) {
    auto Found = Entries.find(Key);
    if (Found == Entries.end())
      return;
    coordination::platform_entry Entry = Found->second;
    Entry.ModRevision = Revision;
    Entries.erase(Found);
    emit({std::move(Entry), true});
  }

  void deleteKeysOf(std::int64_t Lease) {
    std::vector<std::string> Keys;
    for (const auto &[Key, Entry] : Entries)
      if (Entry.Lease == Lease)
        Keys.push_back(Key);
    if (Keys.empty())
      return;
    ++Revision;
    for (const std::string &Key : Keys)
      erase(Key);
  }

  std::function<state::time_point()> Clock;
  std::map<std::string, coordination::platform_entry> Entries;
  std::map<std::int64_t, lease> Leases;
  std::vector<std::shared_ptr<watcher>> Watchers;
  std::vector<coordination::platform_event> History;
  std::deque<std::function<void()>> Pending;
  std::vector<coordination::platform_txn> Delayed;
  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
};

} // namespace hyssopledge::tests
