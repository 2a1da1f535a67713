/// \file
/// Finds requests that crash the upstreams that run them. Not thread-safe: runs
/// on one strand.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hyssopledge::state {

/// Same request, same number: method, path with query, and body. Uses SHA-256,
/// first 8 bytes.
std::uint64_t requestFingerprint(std::string_view Method, std::string_view Path,
                                 std::string_view Body);

/// One sighting: the request was in flight when the target's upstream crashed.
/// Sightings are gossiped.
struct crash_sighting {
  std::uint64_t Fingerprint = 0;
  std::string Instance;
  std::uint64_t Incarnation = 0; // of the upstream's announcement, so that two
                                 // crashes of one instance count as two
  std::uint32_t InFlight =
      1; // requests in flight at the crash; a lone one is stronger evidence
};

/// Collects sightings of all daemons. A fingerprint is poison after crashes of
/// 2 distinct targets with no success between, and then for Retention.
class poison_detector {
public:
  static constexpr unsigned CrashesToCondemn = 2;
  static constexpr std::chrono::minutes RetentionPeriod{30};
  /// Bounds the memory; the suspect that was seen longest ago is dropped.
  static constexpr std::size_t MaxSuspects = 10'000;

  /// Returns true when this sighting makes the fingerprint poison.
  bool addSighting(const crash_sighting &Sighting, time_point Now);
  /// A request with the fingerprint ended well: its sightings so far are
  /// withdrawn.
  void addSuccess(std::uint64_t Fingerprint);
  bool isPoison(std::uint64_t Fingerprint, time_point Now) const;
  std::set<std::uint64_t> poisonFingerprints(time_point Now) const;
  /// Every fingerprint that was sighted, poison or not.
  std::set<std::uint64_t> suspects() const;
  void expire(time_point Now);

private:
  struct suspect {
    std::set<std::string> Crashes;   // instance#incarnation
    std::set<std::string> Withdrawn; // crashes before a success
    double Weight = 0;               // sum of 1 / requests in flight
    time_point LastSeen{};
    bool Condemned = false;
  };
  void evictOldest();

  std::unordered_map<std::uint64_t, suspect> Suspects;
};

} // namespace hyssopledge::state
