/// \file
/// Detects poison requests, which crash the upstreams that run them. Not
/// thread-safe: runs on one strand.
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

/// First 8 bytes of a SHA-256 over method, path with query, and body. Equal
/// requests have equal fingerprints.
std::uint64_t requestFingerprint(std::string_view Method, std::string_view Path,
                                 std::string_view Body);

/// The request was in flight when the target's upstream crashed. Shared between
/// daemons by gossip.
struct crash_sighting {
  std::uint64_t Fingerprint = 0;
  std::string Instance;
  /// Of the upstream's announcement: two crashes of one instance count as two.
  std::uint64_t Incarnation = 0;
  /// Requests in flight at the crash. The fewer, the stronger the evidence.
  std::uint32_t InFlight = 1;
};

/// Collects the sightings of all daemons. A fingerprint is condemned as poison
/// for RetentionPeriod after 2 distinct crashes without a success in between,
/// or after 3 if many other requests were in flight at the crashes.
class poison_detector {
public:
  static constexpr unsigned CrashesToCondemn = 2;
  static constexpr std::chrono::minutes RetentionPeriod{30};
  /// Bounds the memory. Evicts the suspect with the oldest sighting, condemned
  /// ones last.
  static constexpr std::size_t MaxSuspects = 10'000;

  /// Returns true when this sighting condemns the fingerprint.
  bool addSighting(const crash_sighting &Sighting, time_point Now);
  /// Condemns a fingerprint that another daemon has condemned, unless a request
  /// with it has succeeded here since its sightings.
  void condemn(std::uint64_t Fingerprint, time_point Now);
  /// Records that a request with the fingerprint succeeded: it is no longer
  /// condemned, and its sightings so far don't count.
  void addSuccess(std::uint64_t Fingerprint);
  bool isPoison(std::uint64_t Fingerprint, time_point Now) const;
  /// All condemned fingerprints.
  std::set<std::uint64_t> poisonFingerprints(time_point Now) const;
  /// All fingerprints with sightings, including condemned and withdrawn ones.
  std::set<std::uint64_t> suspects() const;
  /// Removes fingerprints without a sighting for RetentionPeriod.
  void expire(time_point Now);

private:
  struct suspect {
    std::set<std::string> Crashes;   // instance#incarnation
    std::set<std::string> Withdrawn; // crashes before a success
    double Weight = 0;               // sum of 1 / requests in flight
    time_point LastSeen{};
    bool Condemned = false;
  };
  suspect &suspectOf(std::uint64_t Fingerprint);
  void evictOldest();

  std::unordered_map<std::uint64_t, suspect> Suspects;
};

} // namespace hyssopledge::state
