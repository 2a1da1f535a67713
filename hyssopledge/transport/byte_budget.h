/// \file
/// Limits the bytes of responses that a daemon holds at the same time, whether
/// they are being read or wait for a slow caller. Thread-safe.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace hyssopledge::transport {

class byte_budget {
public:
  explicit byte_budget(std::size_t Limit) : Limit(Limit) {}

  std::size_t limit() const { return Limit; }
  bool exceeded() const { return Bytes > Limit; }

private:
  friend class byte_share;
  const std::size_t Limit;
  std::atomic<std::size_t> Bytes{0};
};

/// Bytes that count against a budget until the share is destroyed.
class byte_share {
public:
  explicit byte_share(std::shared_ptr<byte_budget> Budget)
      : Budget(std::move(Budget)) {}
  ~byte_share() { set(0); }
  byte_share(const byte_share &) = delete;
  byte_share &operator=(const byte_share &) = delete;

  void set(std::size_t NewBytes) {
    if (Budget)
      Budget->Bytes += NewBytes - std::exchange(Bytes, NewBytes);
  }

private:
  std::shared_ptr<byte_budget> Budget; // null: nothing is counted
  std::size_t Bytes = 0;
};

} // namespace hyssopledge::transport
