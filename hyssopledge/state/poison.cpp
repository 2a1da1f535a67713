#include "hyssopledge/state/poison.h"

#include <algorithm>
#include <openssl/evp.h>

namespace hyssopledge::state {

namespace {

// The second crash condemns only when few other requests were in flight (up to
// 4 at each crash); otherwise a third crash is needed to single out the
// request. With callers that retry immediately, this refused a fifth as many
// innocent requests as condemning after any two crashes (see `bench poison`).
constexpr double WeightToCondemn = 0.5;
constexpr unsigned CrashesWithoutWeight = 3;
// Limit for both Crashes and Withdrawn of one fingerprint.
constexpr std::size_t MaxCrashes = 16;

} // namespace

std::uint64_t requestFingerprint(std::string_view Method, std::string_view Path,
                                 std::string_view Body) {
  // The lengths make the concatenation unambiguous.
  std::string Text =
      std::to_string(Method.size()) + " " + std::to_string(Path.size()) + " ";
  Text.append(Method).append(Path).append(Body);
  unsigned char Digest[EVP_MAX_MD_SIZE];
  unsigned int Length = 0;
  EVP_Digest(Text.data(), Text.size(), Digest, &Length, EVP_sha256(), nullptr);
  std::uint64_t Fingerprint = 0;
  for (int I = 0; I < 8; ++I)
    Fingerprint = Fingerprint << 8 | Digest[I];
  return Fingerprint;
}

poison_detector::suspect &
poison_detector::suspectOf(std::uint64_t Fingerprint) {
  if (Suspects.size() >= MaxSuspects && Suspects.count(Fingerprint) == 0)
    evictOldest();
  return Suspects[Fingerprint];
}

bool poison_detector::addSighting(const crash_sighting &Sighting,
                                  time_point Now) {
  suspect &Suspect = suspectOf(Sighting.Fingerprint);
  const std::string Crash =
      Sighting.Instance + "#" + std::to_string(Sighting.Incarnation);
  if (Suspect.Withdrawn.count(Crash) != 0 ||
      Suspect.Crashes.size() >= MaxCrashes ||
      !Suspect.Crashes.insert(Crash).second)
    return false;
  Suspect.Weight += 1.0 / std::max(1U, Sighting.InFlight);
  Suspect.LastSeen = Now;
  if (Suspect.Condemned || Suspect.Crashes.size() < CrashesToCondemn ||
      (Suspect.Weight < WeightToCondemn &&
       Suspect.Crashes.size() < CrashesWithoutWeight))
    return false;
  Suspect.Condemned = true;
  return true;
}

void poison_detector::condemn(std::uint64_t Fingerprint, time_point Now) {
  suspect &Suspect = suspectOf(Fingerprint);
  if (Suspect.Condemned || !Suspect.Withdrawn.empty())
    return;
  Suspect.Condemned = true;
  Suspect.LastSeen = Now;
}

void poison_detector::addSuccess(std::uint64_t Fingerprint) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end())
    return;
  suspect &Suspect = Found->second;
  // Kept, so that a sighting that arrives again by gossip is not counted.
  Suspect.Withdrawn.merge(Suspect.Crashes);
  while (Suspect.Withdrawn.size() > MaxCrashes)
    Suspect.Withdrawn.erase(Suspect.Withdrawn.begin());
  Suspect.Crashes.clear();
  Suspect.Weight = 0;
  Suspect.Condemned = false;
}

bool poison_detector::isPoison(std::uint64_t Fingerprint,
                               time_point Now) const {
  const auto Found = Suspects.find(Fingerprint);
  return Found != Suspects.end() && Found->second.Condemned &&
         Now - Found->second.LastSeen < RetentionPeriod;
}

std::set<std::uint64_t>
poison_detector::poisonFingerprints(time_point Now) const {
  std::set<std::uint64_t> Poison;
  for (const auto &[Fingerprint, Suspect] : Suspects)
    if (Suspect.Condemned && Now - Suspect.LastSeen < RetentionPeriod)
      Poison.insert(Fingerprint);
  return Poison;
}

void poison_detector::expire(time_point Now) {
  std::erase_if(Suspects, [&](const auto &Item) {
    return Now - Item.second.LastSeen >= RetentionPeriod;
  });
}

void poison_detector::evictOldest() {
  const auto Oldest = std::min_element(
      Suspects.begin(), Suspects.end(), [](const auto &A, const auto &B) {
        return A.second.Condemned != B.second.Condemned
                   ? !A.second.Condemned
                   : A.second.LastSeen < B.second.LastSeen;
      });
  Suspects.erase(Oldest);
}

std::set<std::uint64_t> poison_detector::suspects() const {
  std::set<std::uint64_t> Fingerprints;
  for (const auto &[Fingerprint, Suspect] : Suspects)
    Fingerprints.insert(Fingerprint);
  return Fingerprints;
}

} // namespace hyssopledge::state
