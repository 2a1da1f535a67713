/// \file
/// Tests of the admin server, logging and tracing: errors for invalid
/// announcements, and the formats of metrics, log lines and spans.
#include <doctest/doctest.h>

#include "support/http_fixture.h"

#include "hyssopledge/transport/admin_server.h"
#include "hyssopledge/transport/logging.h"
#include "hyssopledge/transport/tracing.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace hyssopledge;
using namespace hyssopledge::tests;

namespace {

/// An admin server whose event loop runs on a thread of its own.
struct admin_fixture {
  explicit admin_fixture(transport::admin_hooks Hooks)
      : Server(std::move(transport::admin_server::open(Context, "127.0.0.1:0",
                                                       std::move(Hooks))
                             .value())),
        Thread([this] { Context.run(); }) {}
  ~admin_fixture() {
    Server.reset();
    Thread.join();
  }
  http_response call(http::verb Method, const std::string &Path,
                     const std::string &Body = "") {
    return callOnce(Server->address(), makeRequest(Method, Path, Body));
  }

  asio::io_context Context;
  std::unique_ptr<transport::admin_server> Server;
  std::thread Thread;
};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace

TEST_CASE(
    "admin: an invalid announcement is rejected with JSON pointer and rule") {
  struct bad_announcement {
    const char *Json;
    const char *Text; // part of the error
  };
  const bad_announcement Cases[] = {
      {"{", "/: not valid JSON"},
      {"[]", "/: [] must be an object"},
      {R"({"version":"v1","address":"127.0.0.1:1","slots":1})",
       "/service: missing; must be a non-empty text"},
      {R"({"service":"s","version":7,"address":"127.0.0.1:1","slots":1})",
       "/version: 7 must be a non-empty text"},
      {R"({"service":"s","version":"v","address":"here","slots":1})",
       "/address: \"here\" must be \"ip:port\""},
      {R"({"service":"s","version":"v","address":"127.0.0.1:1","slots":0})",
       "/slots: 0 must be a whole number from 1 to 100000"},
      {R"({"service":"s","version":"v","address":"127.0.0.1:1","slots":1,)"
       R"("draining":"no"})",
       "/draining: \"no\" must be true or false"},
      {R"({"service":"s","version":"v","address":"127.0.0.1:1","slots":1,)"
       R"("slot":2})",
       "/slot: unknown key"},
  };
  blocking_queue<state::upstream_announcement> Announced;
  transport::admin_hooks Hooks;
  Hooks.OnAnnouncement = [&](const auto &A) { Announced.push(A); };
  admin_fixture Admin(Hooks);
  for (const bad_announcement &Case : Cases) {
    CAPTURE(Case.Json);
    const http_response Response =
        Admin.call(http::verb::post, "/announce", Case.Json);
    CHECK(Response.result_int() == 400);
    const auto Json = nlohmann::json::parse(Response.body());
    CHECK(Json["error"].get<std::string>().find(Case.Text) !=
          std::string::npos);
  }
  const http_response ValidResponse = Admin.call(
      http::verb::post, "/announce",
      R"({"service":"s","version":"v","address":"127.0.0.1:1","slots":3,)"
      R"("draining":true})");
  CHECK(ValidResponse.result_int() == 200);
  // Only the valid announcement reaches the hook.
  const auto First = Announced.pop();
  REQUIRE(First);
  CHECK(First->Slots == 3);
  CHECK(First->Draining);
  CHECK(!Announced.pop(std::chrono::milliseconds(0)));
}

TEST_CASE("admin: paths, methods and readiness") {
  bool Ready = false;
  transport::metrics Metrics("i1");
  Metrics.recordCall(transport::call_side::Entry, "ran", "",
                     std::chrono::milliseconds(2));
  Metrics.recordCall(transport::call_side::Entry, "not-run", "new word",
                     std::chrono::milliseconds(2));
  transport::admin_hooks Hooks;
  Hooks.IsReady = [&] { return Ready; };
  Hooks.MetricsText = [&] { return Metrics.text(); };
  Hooks.StatusJson = [] { return R"({"version":7})"; };
  admin_fixture Admin(Hooks);
  struct path_case {
    http::verb Method;
    const char *Path;
    unsigned Status;
    const char *Text;
  };
  const path_case Cases[] = {
      {http::verb::get, "/healthz", 200, "ok"},
      {http::verb::get, "/readyz", 503, "not ready"},
      {http::verb::get, "/status?x=1", 200, R"({"version":7})"},
      {http::verb::get, "/metrics", 200,
       "hyssop_calls_total{instance=\"i1\",outcome=\"ran\",reason=\"\",side="
       "\"entry\"} 1\n"},
      {http::verb::get, "/metrics", 200, "reason=\"other\",side=\"entry\"} 1"},
      {http::verb::get, "/metrics", 200,
       "hyssop_call_seconds_bucket{instance=\"i1\",side=\"entry\",le=\"0.0024\""
       "} 2\n"},
      {http::verb::get, "/metrics", 200,
       "hyssop_call_seconds_count{instance=\"i1\",side=\"entry\"} 2\n"},
      {http::verb::get, "/announce", 405, "POST"},
      {http::verb::post, "/status", 405, "GET"},
      {http::verb::get, "/other", 404, "/announce"},
  };
  for (const path_case &Case : Cases) {
    CAPTURE(Case.Path);
    const http_response Response = Admin.call(Case.Method, Case.Path);
    CHECK(Response.result_int() == Case.Status);
    CHECK(Response.body().find(Case.Text) != std::string::npos);
  }
  Ready = true;
  CHECK(Admin.call(http::verb::get, "/readyz").result_int() == 200);
}

TEST_CASE("logging: values are quoted so that a line can't be forged") {
  struct value_case {
    const char *Value;
    const char *Line;
  };
  const value_case Cases[] = {
      {"v1.2", "event=x k=v1.2"},
      {"", "event=x k=\"\""},
      {"two words", "event=x k=\"two words\""},
      {"a\"b\\c", "event=x k=\"a\\\"b\\\\c\""},
      {"a\nlevel=ERROR", "event=x k=\"a\\nlevel=ERROR\""},
      {"a=b", "event=x k=\"a=b\""},
      {"\x01", "event=x k=\"\\x01\""},
  };
  for (const value_case &Case : Cases)
    CHECK(transport::formatEvent("x", {{"k", Case.Value}}) == Case.Line);
  CHECK(transport::formatEvent("x", {{"n", 7}, {"b", true}}) ==
        "event=x n=7 b=true");
}

TEST_CASE("logging: a renamed log file is reopened under its name") {
  const std::string Path =
      (std::filesystem::temp_directory_path() /
       ("hyssopledge-log-" + std::to_string(::getpid()) + ".log"))
          .string();
  REQUIRE(
      transport::setUpLogging({Path, transport::log_level::Info}).has_value());
  transport::logEvent(transport::log_level::Info, "first", {{"k", "a b"}});
  transport::logEvent(transport::log_level::Debug, "hidden", {});
  std::filesystem::rename(Path, Path + ".1");
  REQUIRE(transport::reopenLog().has_value());
  transport::logEvent(transport::log_level::Warn, "second", {});
  const std::string RotatedText = readFile(Path + ".1");
  const std::string CurrentText = readFile(Path);
  CHECK(RotatedText.find("level=INFO event=first k=\"a b\"\n") !=
        std::string::npos);
  CHECK(RotatedText.find("second") == std::string::npos);
  CHECK(RotatedText.find("hidden") == std::string::npos);
  CHECK(CurrentText.find("level=WARN event=second") != std::string::npos);
  CHECK(CurrentText.find("first") == std::string::npos);
  CHECK(transport::setUpLogging({"/nowhere/at/all", {}}).has_error());
  REQUIRE(
      transport::setUpLogging({"", transport::log_level::Info}).has_value());
  std::filesystem::remove(Path);
  std::filesystem::remove(Path + ".1");
}

TEST_CASE("tracing: each hop writes a Zipkin span of the same trace") {
  blocking_queue<std::string> Lines;
  const auto Sink = [&](const std::string &Line) { Lines.push(Line); };
  blocking_queue<std::string> Upstream;
  scripted_upstream Server([&](upstream_connection &Connection) {
    while (const auto Request = Connection.read()) {
      Upstream.push(
          std::string(transport::fieldValue(*Request, "traceparent")));
      Connection.respond("ok");
    }
  });
  test_daemon Target("target-0");
  test_daemon Entry("entry-0");
  Target.Options.Tracer = transport::makeTracer({"target-0", 1, 1}, Sink);
  Entry.Options.Tracer = transport::makeTracer({"entry-0", 1, 2}, Sink);
  Target.start();
  Target.publish(testView({}));
  Target.announce(Server.address());
  Entry.start();
  Entry.publish(testView({Target.address()}));
  http_request Request = makeRequest(http::verb::get, "/look");
  Request.set("traceparent",
              "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
  callOnce(Entry.address(), Request);
  const auto First = Lines.pop();
  const auto Second = Lines.pop();
  REQUIRE(First);
  REQUIRE(Second);
  auto TargetSpan = nlohmann::json::parse(*First);
  auto EntrySpan = nlohmann::json::parse(*Second);
  CHECK(EntrySpan["traceId"] == "0af7651916cd43dd8448eb211c80319c");
  CHECK(EntrySpan["parentId"] == "b7ad6b7169203331");
  CHECK(EntrySpan["kind"] == "SERVER");
  CHECK(EntrySpan["localEndpoint"]["serviceName"] == "entry-0");
  CHECK(EntrySpan["tags"]["http.status_code"] == "200");
  CHECK(EntrySpan["duration"].is_number_integer());
  CHECK(TargetSpan["traceId"] == EntrySpan["traceId"]);
  CHECK(TargetSpan["parentId"] == EntrySpan["id"]);
  CHECK(Upstream.pop() == "00-0af7651916cd43dd8448eb211c80319c-" +
                              TargetSpan["id"].get<std::string>() + "-01");
}

TEST_CASE("tracing: malformed trace contexts start a new trace") {
  const auto Tracer = transport::makeTracer({"i", 1, 1}, [](const auto &) {});
  const char *Cases[] = {
      "",
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
      "00-00000000000000000000000000000000-b7ad6b7169203331-01",
      "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
      "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
      "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
  };
  for (const char *Case : Cases) {
    CAPTURE(Case);
    transport::header_fields Fields;
    Fields.set("traceparent", Case);
    CHECK(!transport::extractTrace(*Tracer, Fields));
  }
}
