/// \file
/// Immutable configuration version, validated as a whole.
#pragma once

#include "hyssopledge/state/document.h"
#include "hyssopledge/state/result.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopledge::state {

/// Created by buildSnapshot, which guarantees that the service of each route
/// and the stable and rollout versions of each service exist.
struct snapshot {
  std::uint64_t Version = 0; // head version that contained it
  std::string ManifestHash;  // SHA-256 of the manifest, hex
  document Document;         // as accepted
  /// Name to position in Document.Services.
  std::map<std::string, std::size_t, std::less<>> ServiceIndex;
  /// Positions in Document.Routes, longest prefix first.
  std::vector<std::size_t> RoutesByPrefixLength;

  /// The service, or null.
  const service_spec *findService(std::string_view Name) const;
  /// The route with the longest matching prefix, or null. A prefix matches only
  /// at a path segment boundary.
  const route_spec *matchRoute(std::string_view Method,
                               std::string_view Path) const;
};

/// Validates the document and builds the snapshot. Fails with InvalidDocument
/// and all problems; never builds a partial snapshot.
result<std::shared_ptr<const snapshot>> buildSnapshot(std::uint64_t Version,
                                                      std::string ManifestHash,
                                                      document Document);

/// Returns the problems of the document. Each text starts with the path of the
/// field, in which services and routes stand by name, and says what is
/// expected.
std::vector<std::string> checkDocument(const document &Document);

} // namespace hyssopledge::state
