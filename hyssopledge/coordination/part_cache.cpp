#include "hyssopledge/coordination/part_cache.h"

#include "hyssopledge/protocol/document_codec.h"

namespace hyssopledge::coordination {

using state::errc;
using state::failure;

state::result<bool> part_cache::add(const std::string &Hash,
                                    std::string_view Data) {
  if (Parts.contains(Hash))
    return false;
  if (Bytes + Data.size() > MaxBytes)
    return failure(errc::TooLarge, "part of " + std::to_string(Data.size()) +
                                       " bytes does not fit into the cache");
  if (protocol::sha256(Data) != Hash)
    return failure(errc::InvalidMessage, "part " + protocol::hexEncode(Hash) +
                                             " does not match its hash");
  Parts.emplace(Hash, Data);
  Bytes += Data.size();
  return true;
}

const std::string *part_cache::find(const std::string &Hash) const {
  auto Found = Parts.find(Hash);
  return Found == Parts.end() ? nullptr : &Found->second;
}

std::optional<std::string> part_cache::lookup(const std::string &Hash) const {
  const std::string *Data = find(Hash);
  return Data == nullptr ? std::nullopt : std::optional<std::string>(*Data);
}

void part_cache::retain(const std::set<std::string> &Hashes) {
  for (auto It = Parts.begin(); It != Parts.end();) {
    const auto Next = std::next(It);
    if (!Hashes.contains(It->first)) {
      Bytes -= It->second.size();
      Parts.erase(It);
    }
    It = Next;
  }
}

} // namespace hyssopledge::coordination
