/// \file
/// gRPC server of the stand-in: exposes the store through the etcd v3 API, with
/// fault injection, rate limits and call counts.
#pragma once

#include "platform_standin/mvcc_store.h"
#include "platform_standin/scheduler.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <grpcpp/server.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

namespace hyssopledge::platform_standin {

struct rate_limits {
  double ReadsPerSecond = 0;  // 0: no limit
  double WritesPerSecond = 0; // 0: no limit
};

/// Injected faults, set by the optional keys of POST /fault. Half of Latency
/// passes before a unary call takes effect and half after it; for a lease
/// renewal all of it passes before. The counters apply to the next calls: with
/// LoseAnswers and FailAfter a write takes effect and gets no answer or an
/// error, with FailBefore a call gets an error and has no effect. CrossWatch
/// draws each watch delay from 0 to WatchDelay, so that watch responses can
/// overtake each other.
struct faults {
  bool Down = false;                       // "down": refuses connections
  std::chrono::milliseconds Latency{0};    // "latency_ms"
  unsigned LoseAnswers = 0;                // "lose_answers": writes
  unsigned FailAfter = 0;                  // "fail_after": writes
  unsigned FailBefore = 0;                 // "fail_before": calls of any kind
  std::chrono::milliseconds WatchDelay{0}; // "watch_delay_ms"
  bool CrossWatch = false;                 // "cross_watch"
};

enum class call_kind { Read, Write, Lease, Watch };

class watch_stream;

class platform_service {
public:
  platform_service(std::string Address, rate_limits Rates);
  ~platform_service();
  platform_service(const platform_service &) = delete;
  platform_service &operator=(const platform_service &) = delete;

  /// Starts listening, on the same port after each restart. Returns false if
  /// the address can't be bound.
  bool start();
  int port() const { return Port; }

  /// Applies the keys of a POST /fault body. Returns an error message, or an
  /// empty string on success; an invalid key or value changes nothing.
  std::string setFaults(const nlohmann::json &Json);
  nlohmann::json stats();

  //--- Used by the gRPC services ----------------------------------------------
  /// Counts the call, then checks the rate limit and FailBefore, in this order.
  /// Returns the error of the first that rejects the call.
  grpc::Status admit(call_kind Kind);
  enum class answer_fault { None, Lose, Fail };
  answer_fault drawAnswerFault();
  std::chrono::milliseconds latency();
  std::chrono::milliseconds watchDelay();
  /// Runs Function with the store locked, then sends the new watch events.
  template <class F> auto withStore(F Function) {
    const std::lock_guard Lock(Mutex);
    Store.expire(state::boot_clock::now());
    auto Result = Function(Store);
    sendEvents();
    return Result;
  }
  void addStream(const std::shared_ptr<watch_stream> &Stream);
  void removeStream(const std::shared_ptr<watch_stream> &Stream);
  scheduler &taskScheduler() { return TaskScheduler; }

private:
  struct token_bucket {
    double Tokens = 0;
    std::chrono::steady_clock::time_point RefilledAt;
    bool tryConsume(double Rate);
  };
  struct second_counts {
    std::int64_t Number = -1;              // second of the steady clock
    std::array<std::uint64_t, 3> Counts{}; // calls, reads, writes
  };
  class services;

  void stopServer();
  void sendEvents();
  void scheduleExpiry();
  void countCall(call_kind Kind);
  void advanceSecond(std::int64_t Now);

  const std::string Address;
  const rate_limits Rates;
  int Port = 0;
  std::mutex Mutex;
  mvcc_store Store;
  faults Faults;
  token_bucket ReadBucket;
  token_bucket WriteBucket;
  std::array<std::uint64_t, 3> Totals{};
  std::array<std::uint64_t, 3> Peaks{};
  second_counts CurrentSecond;
  second_counts LastSecond;
  std::set<std::shared_ptr<watch_stream>> Streams;
  std::mt19937_64 Engine{1};
  std::mutex ServerMutex; // lock order: before Mutex
  std::unique_ptr<services> Services;
  std::unique_ptr<grpc::Server> Server;
  scheduler TaskScheduler;
};

} // namespace hyssopledge::platform_standin
