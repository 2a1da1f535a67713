/// \file
/// Tests of the platform codecs: decoding of valid messages and errors for
/// invalid ones.
#include "platform/boot_settings.h"
#include "platform/call_fields.h"
#include "platform/instance_codec.h"
#include "platform/operator_codec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

using namespace hyssopledge;
using nlohmann::json;
using state::errc;
using std::chrono::milliseconds;

namespace {

json validSettings() {
  return json::parse(R"({
    "nodeName": "sidecar-bci-a-1", "zone": "bci-a", "ip": "10.1.0.8",
    "listen": {"inbound": "10.1.0.8:8300", "outbound": "10.1.0.8:8304",
               "ready": "10.1.0.8:8302", "control": "10.1.0.8:8306"},
    "internalPortRange": [7620, 7635], "limits": {"linkMbps": 10.0},
    "bounds": ["drainMs=2500", "retryBudgetRatio=0.3", "graceS=7",
               "retryBudgetSlack=158", "budgetWindowS=12", "other=x", 7],
    "appAddress": "10.1.0.8:8301", "service": "huvo11a",
    "platform": {"address": "10.200.1.7:8309"}, "unknown": [1, 2]})");
}

json validDocument() {
  return json::parse(R"({
    "version": 7, "baseVersion": 5,
    "services": [{"name": "pages", "healthPath": "/health",
                  "maxConnections": 130}, {"name": "bookings"}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "virtualHosts": [
      {"host": "shop.example", "paths": [
        {"name": "r-1", "prefix": "/a/", "kind": "unsafe", "timeoutMs": 2000,
         "sloLatencyMs": 600, "priority": 1, "service": "bookings",
         "maxAttempts": 2},
        {"name": "r-2", "prefix": "/b/", "kind": "safe", "timeoutMs": 1500,
         "trafficSplit": [{"service": "pages", "weight": 90},
                          {"service": "bookings", "weight": 10}]}]}]})");
}

transport::http_request request(const char *Method, const char *Target,
                                const std::string &Body = {}) {
  transport::http_request Request;
  Request.method_string(Method);
  Request.target(Target);
  Request.body() = Body;
  return Request;
}

json validHeartbeat() {
  return json::parse(R"({"service": "pages", "address": "10.1.0.8:8301",
    "zone": "bci-a", "version": "v1", "slots": 12, "state": "ready",
    "coldRemainingMs": 900, "sequence": 4, "born": 1790000000000})");
}

/// Returns the value with the element at the pointer replaced, or removed if
/// NewValue is null.
json withChange(json Value, const char *Pointer, const json &NewValue) {
  const json::json_pointer At(Pointer);
  if (NewValue.is_null())
    Value.at(At.parent_pointer()).erase(At.back());
  else
    Value[At] = NewValue;
  return Value;
}

struct change_case {
  const char *Pointer;
  json NewValue;
  const char *ExpectedText; // part of the error text
};

constexpr char HeartbeatPath[] =
    "/api/rpc?call=instances.heartbeat&of=i-7f3a91c2";

} // namespace

TEST_CASE("settings are decoded") {
  const auto Decoded = platform::parseBootSettings(validSettings().dump());
  REQUIRE(Decoded.has_value());
  const protocol::mesh_settings &S = Decoded.value();
  CHECK(S.Instance == "sidecar-bci-a-1");
  CHECK(S.DataCentre == "bci-a");
  CHECK(S.EntryAddress == "10.1.0.8:8304");
  CHECK(S.HopAddress == "10.1.0.8:8300");
  CHECK(S.UpstreamControlAddress == "10.1.0.8:8306");
  CHECK(S.PeerAddress == "10.1.0.8:7620");
  CHECK(S.MetricsAddress == "10.1.0.8:7621");
  CHECK(S.DrainPeriod == milliseconds(2500));
  CHECK(S.ShutdownTimeout == std::chrono::seconds(7));
  CHECK(S.RetryBudgetWindow == std::chrono::seconds(12));
  CHECK(S.RetryBudgetRatio == doctest::Approx(0.3));
  CHECK(S.RetryBudgetSlack == doctest::Approx(158));
  CHECK(S.LinkMbps == doctest::Approx(10));
}

TEST_CASE("invalid settings are refused with the field name") {
  const change_case Cases[] = {
      {"/nodeName", nullptr, "nodeName"},
      {"/nodeName", 5, "nodeName"},
      {"/limits", 3, "limits"},
      {"/limits/linkMbps", "x", "linkMbps"},
      {"/limits/linkMbps", -1, "linkMbps"},
      {"/listen", nullptr, "listen"},
      {"/listen/outbound", nullptr, "outbound"},
      {"/internalPortRange", json::array({7620}), "internalPortRange"},
      {"/internalPortRange", json::array({7620, 7620}), "internalPortRange"},
      {"/internalPortRange", json::array({"a", "b"}), "internalPortRange"},
      {"/platform", nullptr, "platform"},
      {"/platform/address", 1, "address"},
      {"/bounds", "x", "bounds"},
  };
  for (const change_case &Case : Cases) {
    CAPTURE(std::string(Case.Pointer));
    const auto Decoded = platform::parseBootSettings(
        withChange(validSettings(), Case.Pointer, Case.NewValue).dump());
    REQUIRE(Decoded.has_error());
    CHECK(Decoded.error().is(errc::InvalidSettings));
    CHECK(Decoded.error().text().find(Case.ExpectedText) != std::string::npos);
  }
  CHECK(platform::parseBootSettings("").has_error());
  CHECK(platform::parseBootSettings("[1]").has_error());
}

TEST_CASE("a document is decoded") {
  const platform::operator_codec Codec;
  const auto Decoded = Codec.parseDocument(validDocument().dump());
  REQUIRE(Decoded.has_value());
  const auto &Table = *Decoded.value();
  CHECK(Table.version() == 7);
  const state::route_spec *Booking = Table.matchRoute("shop.example", "/a/1");
  REQUIRE(Booking != nullptr);
  CHECK_FALSE(Booking->Idempotent);
  CHECK(Booking->Timeout == milliseconds(2000));
  CHECK(Booking->SloLatency == milliseconds(600));
  CHECK(Booking->Priority == 1);
  CHECK(Booking->MaxAttempts == 2);
  const state::route_spec *Page = Table.matchRoute("shop.example", "/b/1");
  REQUIRE(Page != nullptr);
  CHECK(Page->Idempotent);
  CHECK(Page->MaxAttempts == 1);
  REQUIRE(Page->Split.size() == 2);
  CHECK(Page->Split[1].Weight == doctest::Approx(10));
  CHECK(Table.source().Limits.BodyBytes == 1000);
  CHECK(Table.findService("pages")->Limits.Connections == 130);
}

TEST_CASE("an unknown kind of route is not idempotent") {
  const platform::operator_codec Codec;
  for (const char *Kind : {"keyed", "stream", "", "SAFE"}) {
    const auto Decoded = Codec.parseDocument(
        withChange(validDocument(), "/virtualHosts/0/paths/1/kind", Kind)
            .dump());
    REQUIRE(Decoded.has_value());
    CHECK_FALSE(
        Decoded.value()->matchRoute("shop.example", "/b/1")->Idempotent);
  }
}

TEST_CASE("invalid documents are refused with the field name") {
  const platform::operator_codec Codec;
  const change_case Cases[] = {
      {"/version", nullptr, "version"},
      {"/version", "7", "version"},
      {"/version", -7, "version"},
      {"/services", nullptr, "services"},
      {"/services/0/name", 4, "name"},
      {"/virtualHosts", json::object(), "virtualHosts"},
      {"/virtualHosts/0/host", nullptr, "host"},
      {"/virtualHosts/0/paths/0/prefix", nullptr, "prefix"},
      {"/virtualHosts/0/paths/0/prefix", "a", "slash"},
      {"/virtualHosts/0/paths/0/timeoutMs", "2s", "timeoutMs"},
      {"/virtualHosts/0/paths/0/service", "nobody", "unknown service"},
      {"/virtualHosts/0/paths/1/trafficSplit/0/weight", "x", "weight"},
      {"/virtualHosts/0/paths/1/trafficSplit", 3, "trafficSplit"},
      {"/limits", 3, "limits"},
      {"/limits/maxBodyBytes", "x", "maxBodyBytes"},
  };
  for (const change_case &Case : Cases) {
    CAPTURE(std::string(Case.Pointer));
    const auto Decoded = Codec.parseDocument(
        withChange(validDocument(), Case.Pointer, Case.NewValue).dump());
    REQUIRE(Decoded.has_error());
    CHECK(Decoded.error().is(errc::InvalidDocument));
    CHECK(Decoded.error().text().find(Case.ExpectedText) != std::string::npos);
  }
}

TEST_CASE("objects outside of the paths are not decoded as routes") {
  const platform::operator_codec Codec;
  for (const char *Where : {"/extra", "/virtualHosts/0/meta"}) {
    CAPTURE(std::string(Where));
    json Document = validDocument();
    const auto Before = Codec.parseDocument(Document.dump());
    REQUIRE(Before.has_value());
    Document[json::json_pointer(Where)] = {
        {"paths", {{{"name", "x"}, {"paths", {{{"prefix", "/x/"}}}}}}}};
    const auto Decoded = Codec.parseDocument(Document.dump());
    REQUIRE(Decoded.has_value());
    CHECK(Decoded.value()->source().Routes.size() ==
          Before.value()->source().Routes.size());
    CHECK(Decoded.value()->source().Routes[0].Host == "shop.example");
  }
}

TEST_CASE("rollout orders and states are decoded") {
  const platform::operator_codec Codec;
  const auto Order = Codec.parseOrder(
      R"({"service":"pages","toVersion":"v2","durationS":12.5})");
  REQUIRE(Order.has_value());
  CHECK(Order.value().Duration == milliseconds(12'500));
  for (const char *InvalidOrder :
       {"", "{}", R"({"service":"pages","toVersion":"v2"})",
        R"({"service":"pages","toVersion":"v2","durationS":0})",
        R"({"service":"","toVersion":"v2","durationS":3})",
        R"({"service":"pages","toVersion":2,"durationS":3})"})
    CHECK(Codec.parseOrder(InvalidOrder).has_error());
  for (const auto State : {coordination::rollout_state::Running,
                           coordination::rollout_state::Completed,
                           coordination::rollout_state::RolledBack}) {
    coordination::rollout_record Record;
    Record.Service = "pages";
    Record.ToVersion = "v2";
    Record.State = State;
    const auto Decoded =
        Codec.parseStatus(Codec.statusKey("pages"), Codec.formatStatus(Record));
    REQUIRE(Decoded.has_value());
    CHECK(Decoded.value().Service == "pages");
    CHECK(Decoded.value().State == State);
  }
  CHECK(Codec.isOrderKey("op/rollout/pages"));
  CHECK_FALSE(Codec.isOrderKey("op/config"));
}

TEST_CASE("announcements of upstreams are decoded") {
  const platform::instance_codec Codec;
  const auto Decoded =
      Codec.parseCall(request("POST", HeartbeatPath, validHeartbeat().dump()));
  REQUIRE(Decoded.has_value());
  const coordination::announcement &A = Decoded.value().Announcement;
  CHECK(A.Name == "i-7f3a91c2");
  CHECK(A.Service == "pages");
  CHECK(A.Slots == 12);
  CHECK(A.State == coordination::upstream_state::Serving);
  CHECK(A.ColdRemaining == milliseconds(900));
  CHECK(A.Sequence == 4);
  CHECK(A.StartUnixMs == 1790000000000ULL);
  const auto Leave = Codec.parseCall(
      request("POST", "/api/rpc?call=instances.deregister&of=i-1"));
  REQUIRE(Leave.has_value());
  CHECK(Leave.value().Kind == transport::instance_call_kind::Deregister);
  CHECK(Leave.value().Announcement.Name == "i-1");
}

TEST_CASE("invalid announcements are refused with the field name") {
  const platform::instance_codec Codec;
  const change_case Cases[] = {
      {"/service", nullptr, "service"},
      {"/address", 3, "address"},
      {"/slots", "12", "slots"},
      {"/slots", 0, "slots"},
      {"/slots", -1, "slots"},
      {"/state", "asleep", "state"},
      {"/state", nullptr, "state"},
      {"/sequence", "4", "sequence"},
      {"/sequence", nullptr, "sequence"},
      {"/born", 1.5, "born"},
      {"/coldRemainingMs", "x", "coldRemainingMs"},
  };
  for (const change_case &Case : Cases) {
    CAPTURE(std::string(Case.Pointer));
    const auto Decoded = Codec.parseCall(request(
        "POST", HeartbeatPath,
        withChange(validHeartbeat(), Case.Pointer, Case.NewValue).dump()));
    REQUIRE(Decoded.has_error());
    CHECK(Decoded.error().is(errc::InvalidMessage));
    CHECK(Decoded.error().text().find(Case.ExpectedText) != std::string::npos);
  }
  struct path_case {
    const char *Method;
    const char *Target;
    errc Code;
  };
  for (const path_case &Case :
       {path_case{"GET", HeartbeatPath, errc::NotFound},
        path_case{"POST", "/api/rpc", errc::NotFound},
        path_case{"POST", "/api/rpc?call=instances.heartbeat",
                  errc::InvalidMessage},
        path_case{"POST", "/api/rpc?call=other&of=i-1", errc::NotFound},
        path_case{"POST", "/other?call=instances.heartbeat&of=i-1",
                  errc::NotFound}}) {
    CAPTURE(std::string(Case.Target));
    const auto Decoded = Codec.parseCall(
        request(Case.Method, Case.Target, validHeartbeat().dump()));
    REQUIRE(Decoded.has_error());
    CHECK(Decoded.error().is(Case.Code));
  }
  for (const char *Body : {"", "\xff\xfe", "null", "[]", "{"})
    CHECK(Codec.parseCall(request("POST", HeartbeatPath, Body)).has_error());
  for (const char *Unit : {"[", R"({"a":)"}) {
    std::string Nested;
    for (int Depth = 0; Depth < 200'000; ++Depth)
      Nested += Unit;
    CHECK(Codec.parseCall(request("POST", HeartbeatPath, Nested)).has_error());
  }
  // Valid JSON that is nested deeply, in a field that is not read.
  std::string Nested = validHeartbeat().dump();
  Nested.pop_back();
  Nested +=
      R"(,"x":)" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
  (void)Codec.parseCall(request("POST", HeartbeatPath, Nested));
}

TEST_CASE("header fields of callers and upstreams are read and written") {
  const platform::call_fields Fields;
  transport::http_request Request = request("GET", "/a/1");
  CHECK(Fields.parseCall(Request).Id.empty());
  CHECK_FALSE(Fields.parseCall(Request).TimeLeft.has_value());
  Request.set("Attempt-Id", "abc");
  Request.set("Deadline-Ms", "500");
  Request.set("Caller-Service", "forged");
  CHECK(Fields.parseCall(Request).Id == "abc");
  CHECK(Fields.parseCall(Request).TimeLeft == milliseconds(500));
  for (const char *Invalid : {"-5", "x", "", "99999999999999999999"}) {
    Request.set("Deadline-Ms", Invalid);
    CHECK_FALSE(Fields.parseCall(Request).TimeLeft.has_value());
  }
  Fields.setCallFields(Request, {milliseconds(430), "i-1", "pages"});
  CHECK(Request["Deadline-Ms"] == "430");
  CHECK(Request["Expected-Instance"] == "i-1");
  CHECK(Request["Caller-Service"] == "pages");
  CHECK(Request["Attempt-Id"] == "abc");

  transport::http_response Response;
  CHECK_FALSE(Fields.parseResponse(Response, "abc").Signed);
  Response.set("Response-Signature", "s");
  Response.set("Attempt-Id", "abc");
  CHECK(Fields.parseResponse(Response, "abc").Signed);
  CHECK(Fields.parseResponse(Response, "abc").MatchesRequest);
  CHECK_FALSE(Fields.parseResponse(Response, "abd").MatchesRequest);
  CHECK_FALSE(Fields.parseResponse(Response, "abc").NotRun);
  Response.set("Not-Executed", "1");
  CHECK(Fields.parseResponse(Response, "abc").NotRun);
  Fields.setRefusalFields(Response, milliseconds(1234));
  CHECK(Response["Retry-After"] == "1.234");
}

TEST_CASE("the state that an upstream names in its responses is read") {
  struct field_case {
    const char *Name;
    const char *Field;
    const char *Value;
    std::optional<double> Limit;
    bool Leaving;
  };
  const field_case Cases[] = {
      {"whole limit", "Server-Limit", "12", 12.0, false},
      {"decimal limit", "Server-Limit", "12.25", 12.25, false},
      {"no requests at all", "Server-Limit", "0", 0.0, false},
      {"empty", "Server-Limit", "", std::nullopt, false},
      {"word", "Server-Limit", "many", std::nullopt, false},
      {"rest after the number", "Server-Limit", "12x", std::nullopt, false},
      {"negative", "Server-Limit", "-3", std::nullopt, false},
      {"not a number", "Server-Limit", "nan", std::nullopt, false},
      {"infinite", "Server-Limit", "inf", std::nullopt, false},
      {"out of range", "Server-Limit", "1e999", std::nullopt, false},
      {"leaving", "Server-Leaving", "1", std::nullopt, true},
      {"not leaving", "Server-Leaving", "0", std::nullopt, false},
  };
  const platform::call_fields Fields;
  for (const field_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    transport::http_response Response;
    Response.set(Case.Field, Case.Value);
    const auto Metadata = Fields.parseResponse(Response, "abc");
    CHECK(Metadata.RequestLimit == Case.Limit);
    CHECK(Metadata.Leaving == Case.Leaving);
  }
}

TEST_CASE("workspaces and their limits are decoded") {
  const platform::operator_codec Codec;
  const auto Table = Codec.parseDocument(
      R"({"version":3,"services":[{"name":"pages","coldStartS":3.0,"coldPerS":6.4}],)"
      R"("tenants":[{"name":"gold","apiKeys":["k1","k2"],"priority":1,)"
      R"("ratePerS":480,"burstSize":12.5},{"name":"free","apiKeys":["k3","k1"]}],)"
      R"("virtualHosts":[{"host":"h","paths":[)"
      R"({"name":"open","prefix":"/o/","kind":"safe","timeoutMs":500,)"
      R"("service":"pages","allowAnonymous":true},)"
      R"({"name":"closed","prefix":"/c/","kind":"safe","timeoutMs":500,)"
      R"("service":"pages"}]}]})");
  REQUIRE(Table.has_value());
  const state::route_table &Read = *Table.value();
  CHECK(Read.hasWorkspaces());
  struct key_case {
    const char *Key;
    const char *Workspace; // null: unknown
  };
  for (const key_case &Case :
       {key_case{"k1", "gold"}, key_case{"k2", "gold"}, key_case{"k3", "free"},
        key_case{"k", nullptr}, key_case{"", nullptr}}) {
    CAPTURE(std::string(Case.Key));
    const auto *Workspace = Read.findWorkspace(Case.Key);
    REQUIRE((Workspace != nullptr) == (Case.Workspace != nullptr));
    if (Workspace != nullptr)
      CHECK(Workspace->Name == Case.Workspace);
  }
  const state::workspace_spec &Gold = *Read.findWorkspace("k1");
  CHECK(Gold.Priority == 1);
  CHECK(Gold.Quota.RequestsPerSecond == 480);
  CHECK(Gold.Quota.Burst == 12.5);
  CHECK(Read.findWorkspace("k3")->Quota.RequestsPerSecond == 0);
  CHECK(Read.matchRoute("h", "/o/1")->AllowAnonymous);
  CHECK_FALSE(Read.matchRoute("h", "/c/1")->AllowAnonymous);
  CHECK(Read.findService("pages")->ColdRequestsPerSecond == 6.4);
  CHECK(Read.findService("pages")->ColdPeriod == milliseconds(3000));
}

TEST_CASE("invalid workspaces are refused with the field name") {
  struct workspace_case {
    const char *Workspace;
    const char *Message;
  };
  const workspace_case Cases[] = {
      {R"({"apiKeys":["k"]})", "name"},
      {R"({"name":"a","apiKeys":[7]})", "API key"},
      {R"({"name":"a","apiKeys":"k"})", "apiKeys"},
      {R"({"name":"a","ratePerS":"many"})", "ratePerS"},
      {R"({"name":"a|b"})", "workspace 1"},
      {R"({"name":"a\r\nX: y"})", "workspace 1"},
      {R"({"name":""})", "workspace 1"},
  };
  const platform::operator_codec Codec;
  for (const workspace_case &Case : Cases) {
    CAPTURE(std::string(Case.Workspace));
    const auto Read = Codec.parseDocument(
        std::string(R"({"version":3,"services":[],"tenants":[)") +
        Case.Workspace + R"(],"virtualHosts":[]})");
    REQUIRE(Read.has_error());
    CHECK(Read.error().text().find(Case.Message) != std::string::npos);
  }
}

TEST_CASE("keys of evacuations name a data centre") {
  const platform::operator_codec Codec;
  CHECK(Codec.evacuatedDataCentre("op/evacuate/bci-a") == "bci-a");
  CHECK(Codec.evacuatedDataCentre("op/evacuate/").empty());
  CHECK(Codec.evacuatedDataCentre("op/rollout/pages").empty());
  CHECK_FALSE(Codec.isOrderKey("op/evacuate/bci-a"));
}

TEST_CASE("the speed of work is the fourth figure of a load report") {
  struct load_case {
    const char *Value;
    std::optional<double> Percent;
  };
  const platform::call_fields Fields;
  for (const load_case &Case :
       {load_case{"3,0,8", std::nullopt}, load_case{"3,0,8,250", 250.0},
        load_case{"3,0,8,", std::nullopt}, load_case{"3,0,8,x", std::nullopt},
        load_case{"3,0,8,120,9", 120.0}, load_case{"", std::nullopt}}) {
    CAPTURE(std::string(Case.Value));
    transport::http_response Response;
    Response.set("Server-Load", Case.Value);
    CHECK(Fields.parseResponse(Response, "").WorkPercent == Case.Percent);
  }
}
