/// \file
/// Names of the keys on the platform.
#pragma once

#include <cstdint>
#include <string>

namespace hyssopledge::coordination::keys {

std::string environment(const std::string &Env);
std::string head(const std::string &Env);
/// Head records that were accepted, by version; the writer keeps the latest
/// ones, so that it can tell which operation took a version.
std::string history(const std::string &Env, std::uint64_t Version);
/// Immutable parts and manifests, named by the SHA-256 of their bytes, in hex.
std::string part(const std::string &Hash);
std::string relaySeats(const std::string &Env);
std::string relaySeat(const std::string &Env, const std::string &DataCentre,
                      unsigned Seat);
std::string coordinatorSeat(const std::string &Env);
std::string rolloutsPrefix(const std::string &Env);
std::string rollout(const std::string &Env, const std::string &Service);
std::string leaseLevels(const std::string &Env, const std::string &DataCentre);
/// What the coordinator says of convergence; hyssopctl status reads it.
std::string convergence(const std::string &Env);

} // namespace hyssopledge::coordination::keys
