/// \file
/// Lookup of the route of a request by host and path.
#pragma once

#include "hyssopledge/state/document.h"
#include "hyssopledge/state/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hyssopledge::state {

/// One version of the document with an index of its routes. Immutable.
class route_table {
public:
  /// Fails with InvalidDocument when a prefix does not begin and end with a
  /// slash, a route names an unknown service, two routes have the same host and
  /// prefix, weights are negative or all 0, or their sum is not finite, or the
  /// name of a workspace can't be sent in a header field. If two workspaces
  /// have the same key, the first one holds it.
  static result<std::shared_ptr<const route_table>> build(std::uint64_t Version,
                                                          document Document);

  std::uint64_t version() const { return Version; }
  const document &source() const { return Document; }
  /// The route of the host with the longest matching prefix, or null. Routes
  /// without a host match last. Host may include a port, Path a query.
  const route_spec *matchRoute(std::string_view Host,
                               std::string_view Path) const;
  /// Whether requests need an API key.
  bool hasWorkspaces() const { return !Document.Workspaces.empty(); }
  /// The workspace that holds the key, or null.
  const workspace_spec *findWorkspace(std::string_view ApiKey) const;
  /// The service, or null.
  const service_spec *findService(std::string_view Name) const;

  /// Returns the names of the routes that Next does not have, or has for other
  /// requests: of another host, prefix or method, or to other services. What
  /// was measured on such a route does not hold any more.
  std::vector<std::string> routesEndedBy(const route_table &Next) const;

private:
  route_table(std::uint64_t Version, document Document)
      : Version(Version), Document(std::move(Document)) {}

  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  using index_map =
      std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>>;

  const route_spec *matchIn(const index_map &Prefixes,
                            std::string_view Path) const;

  std::uint64_t Version;
  document Document;
  std::unordered_map<std::string, index_map, text_hash, std::equal_to<>> Hosts;
  index_map WorkspacesByKey; // index in Document.Workspaces
};

} // namespace hyssopledge::state
