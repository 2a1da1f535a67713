/// \file
/// Cache of immutable document parts and manifests by hash, to serve peers.
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
  /// Holds the current document, the previous one and one being fetched.
  static constexpr std::size_t DefaultMaxBytes = 4 * 1024 * 1024;
  explicit part_cache(std::size_t MaxBytes = DefaultMaxBytes)
      : MaxBytes(MaxBytes) {}

  /// Returns whether the part was new. Fails with InvalidMessage when the data
  /// does not match the hash and with TooLarge when the cache would exceed its
  /// limit; neither changes the cache.
  state::result<bool> add(const std::string &Hash, std::string_view Data);
  const std::string *find(const std::string &Hash) const;
  std::optional<std::string> lookup(const std::string &Hash) const;
  /// Removes all parts except these.
  void retain(const std::set<std::string> &Hashes);
  std::size_t bytes() const { return Bytes; }
  std::size_t size() const { return Parts.size(); }

private:
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::map<std::string, std::string> Parts;
};

} // namespace hyssopledge::coordination
