/// \file
/// A configuration version that was checked as a whole and is ready to be used.
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

/// Immutable. Obtain it from buildSnapshot, which guarantees that each route's
/// service and version exist.
struct snapshot {
  std::uint64_t Version = 0; // head version it came with
  std::string ManifestHash;  // SHA-256 of the manifest, hex
  document Document;         // as accepted
  std::map<std::string, std::size_t, std::less<>>
      ServiceIndex; // name to position in Document.Services
  std::vector<std::size_t>
      RoutesByPrefixLength; // positions in Document.Routes, longest prefix
                            // first

  const service_spec *findService(std::string_view Name) const;
  /// The route with the longest prefix that matches, or null. A prefix matches
  /// at a path segment boundary.
  const route_spec *matchRoute(std::string_view Method,
                               std::string_view Path) const;
};

/// Checks the document and builds the snapshot, or says what is wrong. Nothing
/// is built in part.
result<std::shared_ptr<const snapshot>> buildSnapshot(std::uint64_t Version,
                                                      std::string ManifestHash,
                                                      document Document);

/// The same checks without building; each text names the place, the wrong value
/// and what would be right.
std::vector<std::string> checkDocument(const document &Document);

} // namespace hyssopledge::state
