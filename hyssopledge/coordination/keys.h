/// \file
/// Keys on the platform. Functions named Prefix return the prefix of several
/// keys.
#pragma once

#include <cstdint>
#include <string>

namespace hyssopledge::coordination::keys {

std::string environmentPrefix(const std::string &Env);
std::string head(const std::string &Env);
/// Accepted head record of a version. The writer keeps the latest ones, to find
/// out which operation created a version.
std::string history(const std::string &Env, std::uint64_t Version);
/// An immutable part or manifest, named by the SHA-256 of its bytes in hex.
std::string part(const std::string &Hash);
std::string relaySeatsPrefix(const std::string &Env);
std::string relaySeat(const std::string &Env, const std::string &DataCentre,
                      unsigned Seat);
std::string coordinatorSeat(const std::string &Env);
std::string rolloutsPrefix(const std::string &Env);
std::string rollout(const std::string &Env, const std::string &Service);
/// Lease levels of a data centre; the prefix of all for an empty name.
std::string leaseLevels(const std::string &Env, const std::string &DataCentre);
/// Convergence as stated by the coordinator; read by hyssopctl status.
std::string convergence(const std::string &Env);

} // namespace hyssopledge::coordination::keys
