#include "hyssopledge/coordination/keys.h"

namespace hyssopledge::coordination::keys {

std::string environment(const std::string &Env) {
  return "/hyssop/" + Env + "/";
}

std::string head(const std::string &Env) { return environment(Env) + "head"; }

std::string history(const std::string &Env, std::uint64_t Version) {
  // Padded, so that the keys sort by version.
  const std::string Number = std::to_string(Version);
  return environment(Env) + "history/" + std::string(20 - Number.size(), '0') +
         Number;
}

std::string part(const std::string &Hash) { return "/hyssop/part/" + Hash; }

std::string relaySeats(const std::string &Env) {
  return environment(Env) + "relay/";
}

std::string relaySeat(const std::string &Env, const std::string &DataCentre,
                      unsigned Seat) {
  return relaySeats(Env) + DataCentre + "/" + std::to_string(Seat);
}

std::string coordinatorSeat(const std::string &Env) {
  return environment(Env) + "coordinator";
}

std::string rolloutsPrefix(const std::string &Env) {
  return environment(Env) + "rollout/";
}

std::string rollout(const std::string &Env, const std::string &Service) {
  return rolloutsPrefix(Env) + Service;
}

std::string leaseLevels(const std::string &Env, const std::string &DataCentre) {
  return environment(Env) + "lease_level/" + DataCentre;
}

std::string convergence(const std::string &Env) {
  return environment(Env) + "convergence";
}

} // namespace hyssopledge::coordination::keys
