#include "hyssopledge/state/snapshot.h"

#include <algorithm>
#include <set>

namespace hyssopledge::state {

namespace {

bool contains(const std::vector<std::string> &Values, std::string_view Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

bool prefixMatches(std::string_view Prefix, std::string_view Path) {
  if (!Path.starts_with(Prefix))
    return false;
  if (Prefix.ends_with('/') || Path.size() == Prefix.size())
    return true;
  const char Next = Path[Prefix.size()];
  return Next == '/' || Next == '?';
}

void checkRollout(const service_spec &Service, const std::string &Pointer,
                  std::vector<std::string> &Problems) {
  const rollout_spec &Rollout = *Service.Rollout;
  if (!contains(Service.Versions, Rollout.ToVersion))
    Problems.push_back(Pointer + "/rollout/to: version \"" + Rollout.ToVersion +
                       "\" is not in the service's versions; add it there");
  if (Rollout.ToVersion == Service.StableVersion)
    Problems.push_back(Pointer + "/rollout/to: \"" + Rollout.ToVersion +
                       "\" is the stable version; specify another one");
  if (Rollout.CompleteWithin.count() < 1)
    Problems.push_back(Pointer +
                       "/rollout/complete_within_s: must be at least 1");
  if (!(Rollout.InitialShare > 0 &&
        Rollout.InitialShare <= Rollout.MaxUnprovenShare))
    Problems.push_back(Pointer +
                       "/rollout/initial_share: must be above 0 and at "
                       "most max_unproven_share");
  if (!(Rollout.MaxUnprovenShare <= 1))
    Problems.push_back(Pointer +
                       "/rollout/max_unproven_share: must be at most 1");
}

void checkService(const service_spec &Service, std::set<std::string> &Names,
                  std::vector<std::string> &Problems) {
  const std::string Pointer = "/services/" + Service.Name;
  if (Service.Name.empty())
    Problems.push_back("/services: a service has an empty name");
  if (!Names.insert(Service.Name).second)
    Problems.push_back(Pointer + ": duplicate name; names must be unique");
  if (!contains(Service.Versions, Service.StableVersion))
    Problems.push_back(Pointer + "/stable: version \"" + Service.StableVersion +
                       "\" is not in the service's versions; add it there");
  if (std::set<std::string>(Service.Versions.begin(), Service.Versions.end())
          .size() != Service.Versions.size())
    Problems.push_back(Pointer +
                       "/versions: duplicate version; versions must be unique");
  if (Service.Limits.Slots < 1)
    Problems.push_back(Pointer + "/limits/slots: must be at least 1");
  if (Service.Rollout)
    checkRollout(Service, Pointer, Problems);
}

void checkRoute(const route_spec &Route, const std::set<std::string> &Services,
                std::set<std::string> &Names,
                std::vector<std::string> &Problems) {
  const std::string Pointer = "/routes/" + Route.Name;
  if (!Names.insert(Route.Name).second)
    Problems.push_back(Pointer + ": duplicate name; names must be unique");
  if (!Route.PathPrefix.starts_with('/'))
    Problems.push_back(Pointer + "/path_prefix: \"" + Route.PathPrefix +
                       "\" must start with /");
  if (!Services.contains(Route.Service))
    Problems.push_back(
        Pointer + "/service: \"" + Route.Service +
        "\" is not among the services; add it or change the route");
  if (Route.Timeout.count() < 1)
    Problems.push_back(Pointer + "/timeout_ms: must be at least 1");
  if (Route.MaxAttempts < 1)
    Problems.push_back(Pointer + "/max_attempts: must be at least 1");
}

} // namespace

const service_spec *snapshot::findService(std::string_view Name) const {
  auto Found = ServiceIndex.find(Name);
  return Found == ServiceIndex.end() ? nullptr
                                     : &Document.Services[Found->second];
}

const route_spec *snapshot::matchRoute(std::string_view Method,
                                       std::string_view Path) const {
  for (std::size_t Index : RoutesByPrefixLength) {
    const route_spec &Route = Document.Routes[Index];
    if (prefixMatches(Route.PathPrefix, Path) &&
        (Route.Methods.empty() || contains(Route.Methods, Method)))
      return &Route;
  }
  return nullptr;
}

std::vector<std::string> checkDocument(const document &Document) {
  std::vector<std::string> Problems;
  std::set<std::string> Services;
  std::set<std::string> Routes;
  if (Document.Environment.empty())
    Problems.emplace_back("/environment: must not be empty");
  for (const service_spec &Service : Document.Services)
    checkService(Service, Services, Problems);
  for (const route_spec &Route : Document.Routes)
    checkRoute(Route, Services, Routes, Problems);
  if (Document.Lease.InitialDuration.count() < 1 ||
      Document.Lease.MaxDuration < Document.Lease.InitialDuration)
    Problems.emplace_back(
        "/lease: initial_s must be at least 1 and max_s at least initial_s");
  if (!(Document.Lease.Growth >= 1 && Document.Lease.Growth <= 10))
    Problems.emplace_back("/lease/growth: must be between 1 and 10");
  return Problems;
}

result<std::shared_ptr<const snapshot>> buildSnapshot(std::uint64_t Version,
                                                      std::string ManifestHash,
                                                      document Document) {
  const std::vector<std::string> Problems = checkDocument(Document);
  if (!Problems.empty()) {
    std::string Detail = Problems.front();
    for (std::size_t I = 1; I < Problems.size(); ++I)
      Detail += "; " + Problems[I];
    return failure(errc::InvalidDocument, std::move(Detail));
  }
  auto Built = std::make_shared<snapshot>();
  Built->Version = Version;
  Built->ManifestHash = std::move(ManifestHash);
  Built->Document = std::move(Document);
  for (std::size_t I = 0; I < Built->Document.Services.size(); ++I)
    Built->ServiceIndex.emplace(Built->Document.Services[I].Name, I);
  for (std::size_t I = 0; I < Built->Document.Routes.size(); ++I)
    Built->RoutesByPrefixLength.push_back(I);
  std::stable_sort(Built->RoutesByPrefixLength.begin(),
                   Built->RoutesByPrefixLength.end(),
                   [&Built](std::size_t Left, std::size_t Right) {
                     return Built->Document.Routes[Left].PathPrefix.size() >
                            Built->Document.Routes[Right].PathPrefix.size();
                   });
  return std::shared_ptr<const snapshot>(std::move(Built));
}

} // namespace hyssopledge::state
