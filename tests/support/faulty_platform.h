/// \file
/// Injects random faults before the in-memory platform: failed calls, lost
/// responses, and writes that take effect after their timeout.
#pragma once

#include "hyssopledge/state/random.h"
#include "support/fake_platform.h"

#include <limits>

namespace hyssopledge::tests {

class faulty_platform final : public coordination::platform_store {
public:
  faulty_platform(fake_platform &Inner, state::random_engine &Random)
      : Inner(Inner), Random(Random) {}

  double FaultRate = 0; // of the commits
  std::uint64_t Calls = 0;
  /// Number of the first call that fails with Unavailable.
  std::uint64_t DownFromCall = std::numeric_limits<std::uint64_t>::max();
  /// Number of a call whose response is lost if it is a commit.
  std::uint64_t LoseResponseOfCall = std::numeric_limits<std::uint64_t>::max();

  void get(const std::string &Key, bool Prefix,
           handler<coordination::platform_read> Handler) override {
    if (++Calls >= DownFromCall)
      return refuse(Handler);
    Inner.get(Key, Prefix, std::move(Handler));
  }

  void commit(coordination::platform_txn Txn,
              handler<coordination::platform_txn_result> Handler) override {
    if (++Calls >= DownFromCall)
      return refuse(Handler);
    const state::failure Lost(state::errc::Timeout, "no answer");
    if (Calls == LoseResponseOfCall) {
      ++Inner.LoseResponses;
    } else if (state::unitInterval(Random()) < FaultRate) {
      switch (state::uniformBelow(Random, 4)) {
      case 0:
        return refuse(Handler);
      case 1:
        ++Inner.DropCommits;
        break;
      case 2:
        ++Inner.LoseResponses;
        break;
      default:
        Handler(Lost);
        LateCommits.push_back(std::move(Txn));
        return;
      }
    }
    Inner.commit(std::move(Txn), std::move(Handler));
  }

  /// Applies a write whose response was lost.
  void applyLateCommit() {
    if (LateCommits.empty())
      return;
    coordination::platform_txn Txn = std::move(LateCommits.front());
    LateCommits.erase(LateCommits.begin());
    Inner.commit(std::move(Txn), [](const auto &) {});
  }
  bool hasLateCommits() const { return !LateCommits.empty(); }

  void grantLease(std::chrono::seconds Duration,
                  handler<std::int64_t> Handler) override {
    Inner.grantLease(Duration, std::move(Handler));
  }
  void keepAlive(std::int64_t Lease,
                 handler<std::chrono::seconds> Handler) override {
    Inner.keepAlive(Lease, std::move(Handler));
  }
  void revokeLease(std::int64_t Lease, handler<bool> Handler) override {
    Inner.revokeLease(Lease, std::move(Handler));
  }
  std::unique_ptr<coordination::platform_watch>
  watch(const std::string &Key, bool Prefix, std::int64_t StartRevision,
        watch_handler Handler) override {
    return Inner.watch(Key, Prefix, StartRevision, std::move(Handler));
  }

private:
  template <class T> void refuse(const handler<T> &Handler) {
    Handler(state::failure(state::errc::Unavailable, "platform is down"));
  }

  fake_platform &Inner;
  state::random_engine &Random;
  std::vector<coordination::platform_txn> LateCommits;
};

} // namespace hyssopledge::tests
