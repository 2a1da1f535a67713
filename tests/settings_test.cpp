/// \file
/// Tests that an invalid settings file is rejected before the program starts,
/// with the location of the problem and the rule.
#include "hyssopledge/protocol/settings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopledge;

namespace {

const std::string ValidSettings = R"({"instance":"i-1","data_centre":"dc1",
"environment":"production","data_address":"127.0.0.1:8080",
"control_address":"127.0.0.1:8081","gossip_address":"127.0.0.1:8082",
"admin_address":"[::1]:8083","platform":{"endpoints":["127.0.0.1:2379"],
"timeout_ms":250},"bootstrap_peers":["10.0.0.2:8081"],"threads":4,
"probe_interval_ms":500,"log_file":"/tmp/x","log_level":"warn",
"trace_file":"t","trace_sampling":0.5})";

struct edit_case {
  const char *From;
  const char *To;
  std::vector<std::string> Texts;
};

} // namespace

TEST_CASE("settings parser reads every key and the defaults") {
  auto Parsed = protocol::parseDaemonSettings(ValidSettings);
  REQUIRE_MESSAGE(Parsed.has_value(), Parsed.error().text());
  const protocol::daemon_settings &Settings = Parsed.value();
  CHECK(Settings.Instance == "i-1");
  CHECK(Settings.DataCentre == "dc1");
  CHECK(Settings.AdminAddress == "[::1]:8083");
  CHECK(Settings.Platform.Endpoints.size() == 1);
  CHECK(Settings.Platform.Timeout == std::chrono::milliseconds(250));
  CHECK(Settings.BootstrapPeers.size() == 1);
  CHECK(Settings.Threads == 4);
  CHECK(Settings.ProbeInterval == std::chrono::milliseconds(500));
  CHECK(Settings.LogLevel == "warn");
  CHECK(Settings.TraceSampling == 0.5);

  auto Operator = protocol::parseOperatorSettings(
      R"({"platform":{"endpoints":["127.0.0.1:1"]},"author":"ana"})");
  REQUIRE(Operator.has_value());
  CHECK(Operator.value().Author == "ana");
  CHECK(Operator.value().Platform.Timeout == std::chrono::milliseconds(1000));
}

TEST_CASE("settings parser reports pointer, value and rule of a problem") {
  const edit_case Cases[] = {
      {"\"threads\":4", "\"threads\":0", {"/threads: 0 is wrong", "1 to 64"}},
      {"\"threads\":4", "\"thread\":4", {"/thread: unknown key", "threads"}},
      {"\"threads\":4",
       "\"threads\":4,\"threads\":5",
       {"/threads: ", "duplicate key"}},
      {"\"warn\"", "\"loud\"", {"/log_level: \"loud\"", "\"info\""}},
      {"127.0.0.1:8080", "localhost:8080", {"/data_address", "IP address"}},
      {"127.0.0.1:8080", "127.0.0.1", {"/data_address"}},
      {"127.0.0.1:8080", "127.0.0.1:0", {"/data_address"}},
      {"127.0.0.1:8080", "127.0.0.1:65536", {"65535"}},
      {"127.0.0.1:8080", "127.0.0.1:080", {"/data_address"}},
      {"127.0.0.1:8080", "::1:8080", {"/data_address"}},
      {"10.0.0.2:8081", "10.0.0.2:", {"/bootstrap_peers/0"}},
      {"[\"127.0.0.1:2379\"]", "[]", {"/platform/endpoints", "at least one"}},
      {"127.0.0.1:2379", "x", {"/platform/endpoints/0"}},
      {"\"timeout_ms\":250", "\"timeout\":250", {"/platform/timeout: unknown"}},
      {"\"instance\":\"i-1\",", "", {"/instance: missing"}},
      {"\"i-1\"", "\"i 1\"", {"/instance: \"i 1\"", "letters"}},
      {"\"trace_sampling\":0.5", "\"trace_sampling\":2", {"share"}},
  };
  for (const edit_case &Case : Cases) {
    CAPTURE(Case.To);
    std::string Text = ValidSettings;
    const std::size_t At = Text.find(Case.From);
    REQUIRE(At != std::string::npos);
    Text.replace(At, std::string_view(Case.From).size(), Case.To);
    auto Parsed = protocol::parseDaemonSettings(Text);
    REQUIRE(Parsed.has_error());
    CHECK(Parsed.error().is(state::errc::InvalidSettings));
    for (const std::string &Part : Case.Texts) {
      CAPTURE(Parsed.error().Detail);
      CHECK(Parsed.error().Detail.find(Part) != std::string::npos);
    }
  }
}

TEST_CASE("settings parser handles truncated and mutated input") {
  CHECK(rc::check([](std::uint8_t Cut, std::uint16_t At, char Byte) {
    std::string Text = ValidSettings;
    Text[At % Text.size()] = Byte;
    Text.resize(Text.size() - Cut % 3U * (At % Text.size()) / 2);
    auto Parsed = protocol::parseDaemonSettings(Text);
    // RC_ASSERT decomposes its expression, so || would not short-circuit in it.
    const bool Explained = Parsed.has_value() || !Parsed.error().Detail.empty();
    RC_ASSERT(Explained);
    (void)protocol::parseOperatorSettings(Text);
  }));
}
