#include "hyssopledge/protocol/settings.h"

#include "hyssopledge/protocol/json_input.h"
#include "hyssopledge/protocol/schemas.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <utility>

namespace hyssopledge::protocol {

namespace {

using nlohmann::json;
using state::errc;

constexpr std::size_t MaxSettingsBytes = 1024 * 1024;

template <class T> void read(const json &Json, const char *Key, T &Value) {
  auto Found = Json.find(Key);
  if (Found != Json.end())
    Value = Found->get<T>();
}

void read(const json &Json, const char *Key, std::chrono::milliseconds &Value) {
  auto Found = Json.find(Key);
  if (Found != Json.end())
    Value = std::chrono::milliseconds(Found->get<std::int64_t>());
}

void checkAddress(const std::string &Place, const std::string &Address,
                  std::vector<std::string> &Problems) {
  if (!isSocketAddress(Address))
    Problems.push_back(Place + ": " + shortText(Address) +
                       " is wrong; must be an IP address and a port from 1 to "
                       "65535, such as \"10.0.0.1:8080\" or \"[::1]:8080\"");
}

void checkAddresses(const std::string &Place,
                    const std::vector<std::string> &Addresses,
                    std::vector<std::string> &Problems) {
  for (std::size_t I = 0; I < Addresses.size(); ++I)
    checkAddress(Place + "/" + std::to_string(I), Addresses[I], Problems);
}

void checkName(const std::string &Place, const std::string &Name,
               std::vector<std::string> &Problems) {
  if (!isName(Name))
    Problems.push_back(Place + ": " + shortText(Name) + " is wrong; must be " +
                       NameRule);
}

platform_settings readPlatform(const json &Json,
                               std::vector<std::string> &Problems) {
  platform_settings Platform;
  read(Json, "endpoints", Platform.Endpoints);
  read(Json, "timeout_ms", Platform.Timeout);
  checkAddresses("/platform/endpoints", Platform.Endpoints, Problems);
  return Platform;
}

/// The JSON if it fits the schema.
state::result<json> parseChecked(std::string_view Text,
                                 const json_schema &Schema) {
  auto Parsed = parseStrictJson(Text, MaxSettingsBytes, errc::InvalidSettings);
  if (Parsed.has_error())
    return Parsed;
  if (const auto Problems = Schema.problems(Parsed.value()); !Problems.empty())
    return problemsFailure(errc::InvalidSettings, Problems);
  return Parsed;
}

} // namespace

bool isSocketAddress(std::string_view Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  const std::string_view Port = Address.substr(Colon + 1);
  unsigned Number = 0;
  const auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  if (Error != std::errc() || End != Port.data() + Port.size() ||
      Port.starts_with('0') || Number < 1 || Number > 65535)
    return false;
  std::string Host(Address.substr(0, Colon));
  std::array<unsigned char, sizeof(in6_addr)> Raw{};
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return inet_pton(AF_INET6, Host.substr(1, Host.size() - 2).c_str(),
                     Raw.data()) == 1 &&
           Host.find('\0') == std::string::npos;
  return inet_pton(AF_INET, Host.c_str(), Raw.data()) == 1 &&
         Host.find('\0') == std::string::npos;
}

state::result<daemon_settings> parseDaemonSettings(std::string_view Text) {
  static const json_schema Schema(schemas::DaemonSettings);
  auto Parsed = parseChecked(Text, Schema);
  if (Parsed.has_error())
    return Parsed.error();
  const json &Json = Parsed.value();
  std::vector<std::string> Problems;
  daemon_settings Settings;
  read(Json, "instance", Settings.Instance);
  read(Json, "data_centre", Settings.DataCentre);
  read(Json, "environment", Settings.Environment);
  read(Json, "data_address", Settings.DataAddress);
  read(Json, "control_address", Settings.ControlAddress);
  read(Json, "gossip_address", Settings.GossipAddress);
  read(Json, "admin_address", Settings.AdminAddress);
  Settings.Platform = readPlatform(Json.at("platform"), Problems);
  read(Json, "bootstrap_peers", Settings.BootstrapPeers);
  read(Json, "threads", Settings.Threads);
  read(Json, "probe_interval_ms", Settings.ProbeInterval);
  read(Json, "log_file", Settings.LogFile);
  read(Json, "log_level", Settings.LogLevel);
  read(Json, "trace_file", Settings.TraceFile);
  read(Json, "trace_sampling", Settings.TraceSampling);
  checkName("/instance", Settings.Instance, Problems);
  checkName("/data_centre", Settings.DataCentre, Problems);
  checkName("/environment", Settings.Environment, Problems);
  checkAddress("/data_address", Settings.DataAddress, Problems);
  checkAddress("/control_address", Settings.ControlAddress, Problems);
  checkAddress("/gossip_address", Settings.GossipAddress, Problems);
  checkAddress("/admin_address", Settings.AdminAddress, Problems);
  checkAddresses("/bootstrap_peers", Settings.BootstrapPeers, Problems);
  if (!Problems.empty())
    return problemsFailure(errc::InvalidSettings, Problems);
  return Settings;
}

state::result<operator_settings> parseOperatorSettings(std::string_view Text) {
  static const json_schema Schema(schemas::OperatorSettings);
  auto Parsed = parseChecked(Text, Schema);
  if (Parsed.has_error())
    return Parsed.error();
  std::vector<std::string> Problems;
  operator_settings Settings;
  Settings.Platform = readPlatform(Parsed.value().at("platform"), Problems);
  read(Parsed.value(), "author", Settings.Author);
  if (!Problems.empty())
    return problemsFailure(errc::InvalidSettings, Problems);
  return Settings;
}

} // namespace hyssopledge::protocol
