/// \file
/// Immutable parts and manifests by their hash, kept to serve peers.
#pragma once

#include "hyssopledge/state/result.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hyssopledge::coordination {

class part_cache {
public:
  /// Room for the current and the previous document and one on its way.
  static constexpr std::size_t DefaultMaxBytes = 4 * 1024 * 1024;
  explicit part_cache(std::size_t MaxBytes = DefaultMaxBytes)
      : MaxBytes(MaxBytes) {}

  /// InvalidMessage when the bytes don't have the hash, TooLarge when the cache
  /// would grow over its limit; both change nothing.
  state::result<bool> add(const std::string &Hash, std::string_view Data);
  const std::string *find(const std::string &Hash) const;
  std::optional<std::string> lookup(const std::string &Hash) const;
  /// Drops all parts but these.
  void retain(const std::set<std::string> &Hashes);
  std::size_t bytes() const { return Bytes; }
  std::size_t size() const { return Parts.size(); }

private:
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::map<std::string, std::string> Parts;
};

} // namespace hyssopledge::coordination
