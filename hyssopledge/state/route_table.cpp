#include "hyssopledge/state/route_table.h"

#include <algorithm>
#include <cmath>

namespace hyssopledge::state {

namespace {

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  for (char &Character : Lower)
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
  return Lower;
}

failure invalid(const route_spec &Route, const std::string &What) {
  return {errc::InvalidDocument, "route \"" + Route.Name + "\": " + What};
}

/// Whether a name can be sent in a header field and in the field of a hop,
/// whose parts are separated by '|'.
bool isFieldText(std::string_view Name) {
  return !Name.empty() && std::none_of(Name.begin(), Name.end(), [](char C) {
    return static_cast<unsigned char>(C) < 0x20 || C == 0x7f || C == '|';
  });
}

} // namespace

result<std::shared_ptr<const route_table>>
route_table::build(std::uint64_t Version, document Document) {
  std::shared_ptr<route_table> Table(
      new route_table(Version, std::move(Document)));
  const auto &Routes = Table->Document.Routes;
  for (std::size_t I = 0; I < Routes.size(); ++I) {
    const route_spec &Route = Routes[I];
    if (Route.PathPrefix.empty() || Route.PathPrefix.front() != '/' ||
        Route.PathPrefix.back() != '/')
      return invalid(Route, "prefix \"" + Route.PathPrefix +
                                "\" must begin and end with a slash");
    double Total = 0;
    for (const traffic_share &Share : Route.Split) {
      if (!std::isfinite(Share.Weight) || Share.Weight < 0)
        return invalid(Route, "the weight of service \"" + Share.Service +
                                  "\" must be a non-negative number");
      if (Table->findService(Share.Service) == nullptr)
        return invalid(Route, "unknown service \"" + Share.Service + "\"");
      Total += Share.Weight;
    }
    if (!Route.Split.empty() && (Total <= 0 || !std::isfinite(Total)))
      return invalid(Route, Total <= 0
                                ? "the weights of its services add up to 0"
                                : "the weights of its services are too large");
    if (Route.Split.empty() && Table->findService(Route.Service) == nullptr)
      return invalid(Route, "unknown service \"" + Route.Service + "\"");
    if (!Table->Hosts[lowerCase(Route.Host)]
             .emplace(Route.PathPrefix, I)
             .second)
      return invalid(Route, "another route has the same host and prefix");
  }
  const auto &Workspaces = Table->Document.Workspaces;
  for (std::size_t I = 0; I < Workspaces.size(); ++I) {
    if (!isFieldText(Workspaces[I].Name))
      return failure(errc::InvalidDocument,
                     "workspace " + std::to_string(I + 1) +
                         ": the name must not be empty or have control "
                         "characters or '|'");
    for (const std::string &Key : Workspaces[I].ApiKeys)
      Table->WorkspacesByKey.emplace(Key, I);
  }
  return std::shared_ptr<const route_table>(std::move(Table));
}

std::vector<std::string>
route_table::routesEndedBy(const route_table &Next) const {
  const auto SameServices = [](const route_spec &A, const route_spec &B) {
    return A.Service == B.Service &&
           std::equal(A.Split.begin(), A.Split.end(), B.Split.begin(),
                      B.Split.end(), [](const auto &Left, const auto &Right) {
                        return Left.Service == Right.Service;
                      });
  };
  std::unordered_map<std::string_view, const route_spec *> NextRoutes;
  for (const route_spec &Route : Next.Document.Routes)
    NextRoutes.emplace(Route.Name, &Route);
  std::vector<std::string> Ended;
  for (const route_spec &Route : Document.Routes) {
    const auto Found = NextRoutes.find(Route.Name);
    if (Found == NextRoutes.end() || Found->second->Host != Route.Host ||
        Found->second->PathPrefix != Route.PathPrefix ||
        Found->second->Methods != Route.Methods ||
        !SameServices(Route, *Found->second))
      Ended.push_back(Route.Name);
  }
  return Ended;
}

const workspace_spec *
route_table::findWorkspace(std::string_view ApiKey) const {
  const auto Found = WorkspacesByKey.find(ApiKey);
  return Found == WorkspacesByKey.end() ? nullptr
                                        : &Document.Workspaces[Found->second];
}

const service_spec *route_table::findService(std::string_view Name) const {
  const auto Found =
      std::find_if(Document.Services.begin(), Document.Services.end(),
                   [&](const service_spec &S) { return S.Name == Name; });
  return Found == Document.Services.end() ? nullptr : &*Found;
}

const route_spec *route_table::matchIn(const index_map &Prefixes,
                                       std::string_view Path) const {
  Path = Path.substr(0, Path.find('?'));
  while (!Path.empty()) {
    const std::size_t Slash = Path.rfind('/');
    if (Slash == std::string_view::npos)
      return nullptr;
    const auto Found = Prefixes.find(Path.substr(0, Slash + 1));
    if (Found != Prefixes.end())
      return &Document.Routes[Found->second];
    Path = Path.substr(0, Slash);
  }
  return nullptr;
}

const route_spec *route_table::matchRoute(std::string_view Host,
                                          std::string_view Path) const {
  const std::size_t Colon = Host.rfind(':');
  if (Colon != std::string_view::npos && Host.back() != ']')
    Host = Host.substr(0, Colon);
  const auto Named = Hosts.find(lowerCase(Host));
  if (Named != Hosts.end())
    if (const route_spec *Route = matchIn(Named->second, Path))
      return Route;
  const auto Any = Hosts.find(std::string_view());
  return Any == Hosts.end() ? nullptr : matchIn(Any->second, Path);
}

} // namespace hyssopledge::state
