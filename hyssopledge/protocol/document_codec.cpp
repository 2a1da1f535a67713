#include "hyssopledge/protocol/document_codec.h"

#include "hyssopledge/protocol/generated/control.pb.h"
#include "hyssopledge/protocol/json_input.h"
#include "hyssopledge/protocol/schemas.h"
#include "hyssopledge/state/snapshot.h"

#include <algorithm>
#include <map>
#include <openssl/sha.h>
#include <set>
#include <utility>

namespace hyssopledge::protocol {

namespace {

using nlohmann::json;
using state::errc;
using state::failure;

constexpr std::size_t MaxPathPrefixBytes = 1024;
constexpr std::size_t MaxMethodBytes = 32;
constexpr char EnvironmentPartName[] = "environment";
constexpr char ServicePartPrefix[] = "service/";

//-----------------------------------------------------------------------------
// Structs to JSON
//-----------------------------------------------------------------------------

json toJson(const state::service_spec &Service) {
  json Json = {{"name", Service.Name},
               {"versions", Service.Versions},
               {"stable", Service.StableVersion},
               {"limits",
                {{"slots", Service.Limits.Slots},
                 {"connections", Service.Limits.Connections},
                 {"queue_length", Service.Limits.QueueLength}}}};
  if (Service.Rollout)
    Json["rollout"] = {
        {"to", Service.Rollout->ToVersion},
        {"complete_within_s", Service.Rollout->CompleteWithin.count()},
        {"initial_share", Service.Rollout->InitialShare},
        {"max_unproven_share", Service.Rollout->MaxUnprovenShare},
        {"watch_afterward_s", Service.Rollout->WatchPeriod.count()}};
  return Json;
}

json toJson(const state::route_spec &Route) {
  return {{"name", Route.Name},
          {"path_prefix", Route.PathPrefix},
          {"methods", Route.Methods},
          {"service", Route.Service},
          {"idempotent", Route.Idempotent},
          {"timeout_ms", Route.Timeout.count()},
          {"max_attempts", Route.MaxAttempts}};
}

json toJson(const state::lease_spec &Lease) {
  return {{"initial_s", Lease.InitialDuration.count()},
          {"growth", Lease.Growth},
          {"max_s", Lease.MaxDuration.count()}};
}

std::string dump(const json &Json) {
  return Json.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Groups the routes by service, in document order. Only the order within a
/// service matters, since routes of different services never overlap in an
/// accepted document.
std::map<std::string, json, std::less<>>
routesByService(const state::document &Document) {
  std::map<std::string, json, std::less<>> Routes;
  for (const state::service_spec &Service : Document.Services)
    Routes.emplace(Service.Name, json::array());
  for (const state::route_spec &Route : Document.Routes) {
    auto [Entry, Added] = Routes.try_emplace(Route.Service, json::array());
    Entry->second.push_back(toJson(Route));
  }
  return Routes;
}

//-----------------------------------------------------------------------------
// JSON to structs; the JSON has passed the schema
//-----------------------------------------------------------------------------

/// Keeps the default when the key is missing.
template <class T>
void readIfPresent(const json &Json, const char *Key, T &Value) {
  auto Found = Json.find(Key);
  if (Found != Json.end())
    Value = Found->get<T>();
}

template <class Rep, class Period>
void readIfPresent(const json &Json, const char *Key,
                   std::chrono::duration<Rep, Period> &Value) {
  auto Found = Json.find(Key);
  if (Found != Json.end())
    Value = std::chrono::duration<Rep, Period>(Found->get<Rep>());
}

state::service_spec serviceFromJson(const json &Json) {
  state::service_spec Service;
  readIfPresent(Json, "name", Service.Name);
  readIfPresent(Json, "versions", Service.Versions);
  readIfPresent(Json, "stable", Service.StableVersion);
  if (auto Found = Json.find("rollout"); Found != Json.end()) {
    state::rollout_spec Rollout;
    readIfPresent(*Found, "to", Rollout.ToVersion);
    readIfPresent(*Found, "complete_within_s", Rollout.CompleteWithin);
    readIfPresent(*Found, "initial_share", Rollout.InitialShare);
    readIfPresent(*Found, "max_unproven_share", Rollout.MaxUnprovenShare);
    readIfPresent(*Found, "watch_afterward_s", Rollout.WatchPeriod);
    Service.Rollout = std::move(Rollout);
  }
  if (auto Found = Json.find("limits"); Found != Json.end()) {
    readIfPresent(*Found, "slots", Service.Limits.Slots);
    readIfPresent(*Found, "connections", Service.Limits.Connections);
    readIfPresent(*Found, "queue_length", Service.Limits.QueueLength);
  }
  return Service;
}

state::route_spec routeFromJson(const json &Json) {
  state::route_spec Route;
  readIfPresent(Json, "name", Route.Name);
  readIfPresent(Json, "path_prefix", Route.PathPrefix);
  readIfPresent(Json, "methods", Route.Methods);
  readIfPresent(Json, "service", Route.Service);
  readIfPresent(Json, "idempotent", Route.Idempotent);
  readIfPresent(Json, "timeout_ms", Route.Timeout);
  readIfPresent(Json, "max_attempts", Route.MaxAttempts);
  return Route;
}

state::document documentFromJson(const json &Json) {
  state::document Document;
  readIfPresent(Json, "environment", Document.Environment);
  for (const json &Service : Json.at("services"))
    Document.Services.push_back(serviceFromJson(Service));
  for (const json &Route : Json.at("routes"))
    Document.Routes.push_back(routeFromJson(Route));
  if (auto Found = Json.find("lease"); Found != Json.end()) {
    readIfPresent(*Found, "initial_s", Document.Lease.InitialDuration);
    readIfPresent(*Found, "growth", Document.Lease.Growth);
    readIfPresent(*Found, "max_s", Document.Lease.MaxDuration);
  }
  return Document;
}

//-----------------------------------------------------------------------------
// Checks beyond the schema
//-----------------------------------------------------------------------------

void checkName(const std::string &Pointer, const std::string &Name,
               std::vector<std::string> &Problems) {
  if (!isValidName(Name))
    Problems.push_back(Pointer + ": " + excerpt(Name) + " is wrong; must be " +
                       NameRule);
}

void checkNames(const state::document &Document,
                std::vector<std::string> &Problems) {
  checkName("/environment", Document.Environment, Problems);
  // The keys of an environment start with "/hyssop/NAME/", and "/hyssop/part/"
  // holds the parts of all environments.
  if (Document.Environment == "part")
    Problems.emplace_back(
        "/environment: \"part\" is reserved; choose another name");
  for (std::size_t I = 0; I < Document.Services.size(); ++I) {
    const state::service_spec &Service = Document.Services[I];
    const std::string Pointer = "/services/" + std::to_string(I);
    checkName(Pointer + "/name", Service.Name, Problems);
    for (std::size_t V = 0; V < Service.Versions.size(); ++V)
      checkName(Pointer + "/versions/" + std::to_string(V), Service.Versions[V],
                Problems);
  }
  for (std::size_t I = 0; I < Document.Routes.size(); ++I) {
    const state::route_spec &Route = Document.Routes[I];
    const std::string Pointer = "/routes/" + std::to_string(I);
    checkName(Pointer + "/name", Route.Name, Problems);
    if (Route.PathPrefix.size() > MaxPathPrefixBytes ||
        std::any_of(
            Route.PathPrefix.begin(), Route.PathPrefix.end(),
            [](char C) { return C <= ' ' || C > '~' || C == '?' || C == '#'; }))
      Problems.push_back(Pointer +
                         "/path_prefix: " + excerpt(Route.PathPrefix) +
                         " is wrong; must be at most 1024 printable ASCII "
                         "characters without blanks, '?' and '#'");
    for (const std::string &Method : Route.Methods)
      if (Method.empty() || Method.size() > MaxMethodBytes ||
          !std::all_of(Method.begin(), Method.end(),
                       [](char C) { return C >= 'A' && C <= 'Z'; }))
        Problems.push_back(Pointer + "/methods: " + excerpt(Method) +
                           " is wrong; must be capital letters, such as "
                           "\"GET\"");
  }
}

/// Detects routes of different services with the same prefix and a common
/// method. Their order would decide between them, but the parts keep the order
/// only within a service.
class overlap_detector {
public:
  /// Adds a route; returns an earlier overlapping route of another service, or
  /// null.
  const state::route_spec *add(const state::route_spec &Route) {
    const state::route_spec *Other = nullptr;
    const auto Compare = [&](const state::route_spec *Earlier) {
      if (Earlier != nullptr && Earlier->Service != Route.Service)
        Other = Earlier;
    };
    Compare(ForAllMethods);
    if (Route.Methods.empty()) {
      Compare(First);
      Compare(FirstOfSecondService);
      ForAllMethods = ForAllMethods == nullptr ? &Route : ForAllMethods;
    }
    for (const std::string &Method : Route.Methods)
      Compare(ByMethod.emplace(Method, &Route).first->second);
    if (First == nullptr)
      First = &Route;
    else if (FirstOfSecondService == nullptr && First->Service != Route.Service)
      FirstOfSecondService = &Route;
    return Other;
  }

private:
  std::map<std::string_view, const state::route_spec *> ByMethod;
  const state::route_spec *ForAllMethods = nullptr;
  const state::route_spec *First = nullptr;
  const state::route_spec *FirstOfSecondService = nullptr;
};

void checkOverlaps(const state::document &Document,
                   std::vector<std::string> &Problems) {
  std::map<std::string_view, overlap_detector> ByPrefix;
  for (const state::route_spec &Route : Document.Routes)
    if (const state::route_spec *Other = ByPrefix[Route.PathPrefix].add(Route))
      Problems.push_back(
          "/routes/" + Route.Name + "/path_prefix: \"" + Route.PathPrefix +
          "\" is also the prefix of route \"" + Other->Name +
          "\" to another service, with a common method; change one prefix or "
          "list methods that differ");
}

/// Validates the JSON and converts it.
state::result<state::document> validatedDocument(const json &Json, errc Code) {
  static const json_schema Schema(schemas::Document);
  if (const auto Problems = Schema.validate(Json); !Problems.empty())
    return failureFromProblems(Code, Problems);
  state::document Document = documentFromJson(Json);
  std::vector<std::string> Problems;
  checkNames(Document, Problems);
  checkOverlaps(Document, Problems);
  for (std::string &Problem : state::checkDocument(Document))
    Problems.push_back(std::move(Problem));
  if (!Problems.empty())
    return failureFromProblems(Code, Problems);
  return Document;
}

bool decodeManifest(std::string_view Bytes, control::manifest &Manifest) {
  if (!Manifest.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return false;
  return Manifest.parts_size() > 0 &&
         std::all_of(Manifest.parts().begin(), Manifest.parts().end(),
                     [](const control::part_ref &Part) {
                       return Part.hash().size() == SHA256_DIGEST_LENGTH;
                     });
}

failure manifestFailure() {
  return {errc::InvalidMessage, "the manifest can't be decoded or is empty"};
}

failure partFailure(const control::part_ref &Part, const std::string &Reason) {
  return {errc::InvalidMessage, "part " + excerpt(Part.name()) + " (" +
                                    hexEncode(Part.hash()) + ") " + Reason};
}

/// Moves the content of a part into the document's JSON. False when the part
/// does not have the form that its name requires.
bool addPart(const std::string &Name, json &&Part, json &Document) {
  if (!Part.is_object())
    return false;
  if (Name == EnvironmentPartName) {
    for (auto &Item : Part.items())
      if (Item.key() != "services" && Item.key() != "routes")
        Document[Item.key()] = std::move(Item.value());
    return true;
  }
  const auto Service = Part.find("service");
  const auto Routes = Part.find("routes");
  if (Part.size() != 2 || Service == Part.end() || Routes == Part.end() ||
      !Routes->is_array() || !Service->is_object())
    return false;
  const auto ServiceName = Service->find("name");
  if (ServiceName == Service->end() || !ServiceName->is_string() ||
      Name != ServicePartPrefix + ServiceName->get_ref<const std::string &>())
    return false;
  Document["services"].push_back(std::move(*Service));
  for (json &Route : *Routes)
    Document["routes"].push_back(std::move(Route));
  return true;
}

} // namespace

//-----------------------------------------------------------------------------
// JSON
//-----------------------------------------------------------------------------

state::result<state::document> parseDocument(std::string_view Json) {
  auto Parsed = parseStrictJson(Json, MaxDocumentBytes, errc::InvalidDocument);
  if (Parsed.has_error())
    return Parsed.error();
  auto Document = validatedDocument(Parsed.value(), errc::InvalidDocument);
  if (Document.has_error())
    return Document;
  // The canonical form writes out omitted defaults, so it may be larger than
  // the input.
  if (const std::size_t Size = formatDocument(Document.value()).size();
      Size > MaxDocumentBytes)
    return failure(errc::TooLarge,
                   "with its defaults written out it has " +
                       std::to_string(Size) + " bytes; at most " +
                       std::to_string(MaxDocumentBytes) + " are allowed");
  return Document;
}

std::string formatDocument(const state::document &Document) {
  json Json = {{"environment", Document.Environment},
               {"services", json::array()},
               {"routes", json::array()},
               {"lease", toJson(Document.Lease)}};
  auto Routes = routesByService(Document);
  const auto AppendRoutes = [&](const std::string &Service) {
    auto Found = Routes.extract(Service);
    if (!Found.empty())
      for (json &Route : Found.mapped())
        Json["routes"].push_back(std::move(Route));
  };
  for (const state::service_spec &Service : Document.Services) {
    Json["services"].push_back(toJson(Service));
    AppendRoutes(Service.Name);
  }
  while (!Routes.empty())
    AppendRoutes(std::string(Routes.begin()->first));
  return dump(Json);
}

//-----------------------------------------------------------------------------
// Parts
//-----------------------------------------------------------------------------

split_document splitDocument(const state::document &Document) {
  split_document Split;
  control::manifest Manifest;
  const auto AddPart = [&](std::string Name, std::string Data) {
    document_part Part{std::move(Name), sha256(Data), std::move(Data)};
    control::part_ref &Ref = *Manifest.add_parts();
    Ref.set_name(Part.Name);
    Ref.set_hash(Part.Hash);
    Ref.set_size(static_cast<std::uint32_t>(Part.Data.size()));
    Split.Parts.push_back(std::move(Part));
  };
  AddPart(EnvironmentPartName, dump({{"environment", Document.Environment},
                                     {"lease", toJson(Document.Lease)}}));
  auto Routes = routesByService(Document);
  for (const state::service_spec &Service : Document.Services) {
    json &ServiceRoutes = Routes[Service.Name];
    AddPart(ServicePartPrefix + Service.Name,
            dump({{"service", toJson(Service)}, {"routes", ServiceRoutes}}));
  }
  Split.Manifest = Manifest.SerializeAsString();
  Split.ManifestHash = sha256(Split.Manifest);
  return Split;
}

state::result<std::vector<std::string>>
missingParts(std::string_view Bytes, const part_lookup &Lookup) {
  control::manifest Manifest;
  if (!decodeManifest(Bytes, Manifest))
    return manifestFailure();
  std::vector<std::string> Missing;
  std::set<std::string_view> Seen;
  for (const control::part_ref &Part : Manifest.parts())
    if (Seen.insert(Part.hash()).second && !Lookup(Part.hash()))
      Missing.push_back(Part.hash());
  return Missing;
}

state::result<state::document> joinParts(std::string_view Bytes,
                                         const part_lookup &Lookup) {
  control::manifest Manifest;
  if (!decodeManifest(Bytes, Manifest))
    return manifestFailure();
  json Document = {{"services", json::array()}, {"routes", json::array()}};
  std::size_t Size = 0;
  for (const control::part_ref &Part : Manifest.parts()) {
    const std::optional<std::string> Data = Lookup(Part.hash());
    if (!Data)
      return failure(errc::NotFound, "part " + excerpt(Part.name()) + " (" +
                                         hexEncode(Part.hash()) +
                                         ") is missing");
    if (sha256(*Data) != Part.hash())
      return partFailure(Part, "does not match its hash");
    Size += Data->size();
    if (Size > 2 * MaxDocumentBytes)
      return failure(errc::TooLarge, "the parts are larger than a document "
                                     "can be");
    auto Parsed =
        parseStrictJson(*Data, MaxDocumentBytes, errc::InvalidMessage);
    if (Parsed.has_error())
      return partFailure(Part, "can't be decoded: " + Parsed.error().Detail);
    if (!addPart(Part.name(), std::move(Parsed.value()), Document))
      return partFailure(Part,
                         "does not have the content that its name requires");
  }
  return validatedDocument(Document, errc::InvalidDocument);
}

//-----------------------------------------------------------------------------
// Hashes
//-----------------------------------------------------------------------------

std::string sha256(std::string_view Data) {
  std::string Hash(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
         reinterpret_cast<unsigned char *>(Hash.data()));
  return Hash;
}

std::string hexEncode(std::string_view Raw) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Out;
  Out.reserve(Raw.size() * 2);
  for (const char C : Raw) {
    const auto Byte = static_cast<unsigned char>(C);
    Out += Digits[Byte >> 4U];
    Out += Digits[Byte & 0xFU];
  }
  return Out;
}

} // namespace hyssopledge::protocol
