#include "hyssopledge/transport/admin_server.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace hyssopledge::transport {

namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr char JsonContentType[] = "application/json";

std::string excerpt(const json &Value) {
  std::string Text = Value.dump(-1, ' ', true, json::error_handler_t::replace);
  return Text.size() > 60 ? Text.substr(0, 57) + "..." : Text;
}

/// Reads the fields of an announcement and collects the problems found.
class announcement_reader {
public:
  explicit announcement_reader(const json &Object) : Object(Object) {}

  std::string text(const char *Key) {
    const json *Value = findRequired(Key, "a non-empty text");
    if (Value == nullptr)
      return {};
    if (!Value->is_string() || Value->get_ref<const std::string &>().empty()) {
      addProblem(Key, *Value, "a non-empty text");
      return {};
    }
    return Value->get<std::string>();
  }

  std::uint32_t slots() {
    constexpr char Expected[] = "a whole number from 1 to 100000";
    const json *Value = findRequired("slots", Expected);
    if (Value == nullptr)
      return 0;
    if (!Value->is_number_unsigned() || Value->get<std::uint64_t>() < 1 ||
        Value->get<std::uint64_t>() > 100'000) {
      addProblem("slots", *Value, Expected);
      return 0;
    }
    return Value->get<std::uint32_t>();
  }

  std::string address() {
    std::string Text = text("address");
    if (!Text.empty() && parseEndpoint(Text).has_error())
      addProblem("address", Text, "\"ip:port\"");
    return Text;
  }

  bool draining() {
    const auto Found = Object.find("draining");
    if (Found == Object.end())
      return false;
    if (!Found->is_boolean()) {
      addProblem("draining", *Found, "true or false");
      return false;
    }
    return Found->get<bool>();
  }

  void rejectUnknownKeys() {
    for (const auto &[Key, Value] : Object.items())
      if (Key != "service" && Key != "version" && Key != "address" &&
          Key != "slots" && Key != "draining")
        Problems.push_back("/" + Key +
                           ": unknown key; known are service, version, "
                           "address, slots and draining");
  }

  std::vector<std::string> Problems;

private:
  const json *findRequired(const char *Key, const char *Expected) {
    const auto Found = Object.find(Key);
    if (Found != Object.end())
      return &*Found;
    Problems.push_back("/" + std::string(Key) + ": missing; must be " +
                       Expected);
    return nullptr;
  }
  void addProblem(const char *Key, const json &Value, const char *Expected) {
    Problems.push_back("/" + std::string(Key) + ": " + excerpt(Value) +
                       " must be " + Expected);
  }

  const json &Object;
};

http_response errorResponse(unsigned Status, const std::string &Detail) {
  return makeResponse(Status, JsonContentType,
                      json{{"error", Detail}}.dump(
                          -1, ' ', false, json::error_handler_t::replace) +
                          "\n");
}

http_response handleRequest(const admin_hooks &Hooks,
                            const http_request &Request) {
  const std::string_view Target(Request.target().data(),
                                Request.target().size());
  const std::string_view Path = Target.substr(0, Target.find('?'));
  if (Path == "/announce") {
    if (Request.method() != http::verb::post)
      return errorResponse(405, "/announce takes POST");
    auto Announcement = parseAnnouncement(Request.body());
    if (Announcement.has_error())
      return errorResponse(400, Announcement.error().Detail);
    Hooks.OnAnnouncement(std::move(Announcement.value()));
    return makeResponse(200, JsonContentType, "{}\n");
  }
  const bool IsGetPath = Path == "/healthz" || Path == "/readyz" ||
                         Path == "/metrics" || Path == "/status";
  if (!IsGetPath)
    return errorResponse(404, "no such path; there are POST /announce and GET "
                              "/healthz, /readyz, /metrics, /status");
  if (Request.method() != http::verb::get &&
      Request.method() != http::verb::head)
    return errorResponse(405, std::string(Path) + " takes GET");
  if (Path == "/healthz")
    return makeResponse(200, "text/plain", "ok\n");
  if (Path == "/readyz") {
    const bool Ready = Hooks.IsReady && Hooks.IsReady();
    return makeResponse(Ready ? 200 : 503, "text/plain",
                        Ready ? "ready\n" : "not ready\n");
  }
  if (Path == "/metrics")
    return makeResponse(200, "text/plain; version=0.0.4; charset=utf-8",
                        Hooks.MetricsText ? Hooks.MetricsText() : "");
  return makeResponse(200, JsonContentType,
                      Hooks.StatusJson ? Hooks.StatusJson() : "{}");
}

} // namespace

state::result<state::upstream_announcement>
parseAnnouncement(std::string_view Json) {
  const json Object = json::parse(Json, nullptr, false);
  if (Object.is_discarded())
    return state::failure(state::errc::InvalidMessage, "/: not valid JSON");
  if (!Object.is_object())
    return state::failure(state::errc::InvalidMessage,
                          "/: " + excerpt(Object) + " must be an object");
  announcement_reader Reader(Object);
  state::upstream_announcement Announcement;
  Announcement.Service = Reader.text("service");
  Announcement.Version = Reader.text("version");
  Announcement.Address = Reader.address();
  Announcement.Slots = Reader.slots();
  Announcement.Draining = Reader.draining();
  Reader.rejectUnknownKeys();
  if (Reader.Problems.empty())
    return Announcement;
  std::string Detail;
  for (const std::string &Problem : Reader.Problems)
    Detail += (Detail.empty() ? "" : "; ") + Problem;
  return state::failure(state::errc::InvalidMessage, std::move(Detail));
}

admin_server::admin_server(std::unique_ptr<http_listener> Listener)
    : Listener(std::move(Listener)) {}

state::result<std::unique_ptr<admin_server>>
admin_server::open(boost::asio::io_context &Context, const std::string &Address,
                   admin_hooks Hooks) {
  listener_options Options;
  // Announcements are small, and no other admin request has a body.
  Options.MaxBodyBytes = 64 * 1024;
  auto Listener = http_listener::open(
      {&Context}, Address, Options,
      [Hooks =
           std::move(Hooks)](const std::shared_ptr<server_exchange> &Exchange) {
        Exchange->respond(handleRequest(Hooks, Exchange->request()));
      });
  if (Listener.has_error())
    return Listener.error();
  return std::unique_ptr<admin_server>(
      new admin_server(std::move(Listener.value())));
}

std::string admin_server::address() const { return Listener->address(); }

} // namespace hyssopledge::transport
