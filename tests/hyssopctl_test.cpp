/// \file
/// Tests the exit codes, messages and platform records of hyssopctl, run as a
/// child process against the platform stand-in.
#include "hyssopledge/coordination/keys.h"
#include "hyssopledge/protocol/generated/control.pb.h"
#include "hyssopledge/protocol/settings.h"
#include "hyssopledge/transport/etcd_client.h"
#include "support/platform_process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <optional>

using namespace hyssopledge;

namespace {

struct process_result {
  int ExitCode = 0;
  std::string Output;
  std::string ErrorOutput;
  nlohmann::json json() const { return nlohmann::json::parse(Output); }
};

std::vector<std::string> hyssopctlCommand(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(),
                   HYSSOPLEDGE_BIN_DIR "/apps/hyssopctl/hyssopctl");
  return Arguments;
}

process_result runHyssopctl(std::vector<std::string> Arguments) {
  tests::child_process Process(hyssopctlCommand(std::move(Arguments)));
  process_result Result;
  Result.Output = Process.readOutput();
  Result.ErrorOutput = Process.readErrors();
  Result.ExitCode = Process.wait();
  return Result;
}

const std::string Examples = HYSSOPLEDGE_SOURCE_DIR "/examples/";

std::string readText(const std::string &Name) {
  std::ifstream File(Name);
  return {std::istreambuf_iterator<char>(File), {}};
}

/// File in the working directory, deleted by the destructor.
struct temporary_file {
  explicit temporary_file(const std::string &Text)
      : Name("hyssopctl_test_" + std::to_string(::getpid()) + ".json") {
    std::ofstream(Name) << Text;
  }
  ~temporary_file() { ::unlink(Name.c_str()); }
  temporary_file(const temporary_file &) = delete;
  temporary_file &operator=(const temporary_file &) = delete;
  std::string Name;
};

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

void putRecord(const std::string &Address, const std::string &Key,
               const google::protobuf::MessageLite &Record) {
  boost::asio::io_context Context;
  transport::etcd_client Client(Context, {{Address}, std::chrono::seconds(5)});
  bool Written = false;
  Client.commit({{}, {{Key, Record.SerializeAsString()}}, {}},
                [&](const auto &Result) { Written = Result.has_value(); });
  const auto Work = boost::asio::make_work_guard(Context);
  while (!Written && Context.run_one_for(std::chrono::seconds(5)) > 0) {
  }
  REQUIRE(Written);
}

} // namespace

TEST_CASE("hyssopctl reports errors in a command line or a file") {
  temporary_file InvalidDocument(
      R"({"environment":"trial","services":[],"rutes":[]})");
  struct usage_case {
    std::vector<std::string> Arguments;
    int ExitCode;
    const char *Text;
  };
  const usage_case Cases[] = {
      {{"--version"}, 0, "hyssopctl 0."},
      {{"--help"}, 0, "validate FILE"},
      {{}, 2, "no command"},
      {{"rollback"}, 2, "unknown command"},
      {{"validate"}, 2, "number of arguments"},
      {{"status", "--color"}, 2, "--color"},
      {{"status"}, 2, "--platform or --settings"},
      {{"status", "--platform", "localhost:1"}, 2, "IP address"},
      {{"status", "--settings", Examples + "daemon.json"}, 2, "unknown key"},
      {{"status", "-p", "127.0.0.1:1", "-o", "xml"}, 2, "json or text"},
      {{"validate", Examples + "trial.json"}, 0, "2 services and 3 routes"},
      {{"validate", Examples + "production.json"}, 0, "Valid"},
      {{"validate", Examples + "none.json"}, 1, "can't read the file"},
      {{"validate", "/"}, 1, "not"},
      {{"validate", InvalidDocument.Name}, 1, "/rutes: unknown key"},
      {{"validate", InvalidDocument.Name}, 1, "Nothing was changed. Correct"},
      {{"status", "-p", "127.0.0.1:1"}, 3, "Nothing was changed"},
  };
  for (const usage_case &Case : Cases) {
    CAPTURE(Case.Arguments);
    const process_result Result = runHyssopctl(Case.Arguments);
    CAPTURE(Result.ErrorOutput);
    CHECK(Result.ExitCode == Case.ExitCode);
    CHECK(contains(Result.Output + Result.ErrorOutput, Case.Text));
  }
  CHECK(protocol::parseDaemonSettings(readText(Examples + "daemon.json"))
            .has_value());
  CHECK(protocol::parseOperatorSettings(readText(Examples + "operator.json"))
            .has_value());
}

TEST_CASE("hyssopctl accepts, compares, promotes and shows a document") {
  tests::platform_process Platform;
  const auto RunJson = [&](std::vector<std::string> Arguments) {
    for (const char *Argument : {"--platform", Platform.Address.c_str(),
                                 "--author", "ana", "--output", "json"})
      Arguments.emplace_back(Argument);
    return runHyssopctl(std::move(Arguments));
  };
  CHECK(RunJson({"status"}).ExitCode == 1);
  CHECK(RunJson({"promote"}).ExitCode == 1);
  const process_result Trial = RunJson({"trial", Examples + "trial.json"});
  REQUIRE(Trial.ExitCode == 0);
  CHECK(Trial.json()["result"] == "accepted");
  CHECK(Trial.json()["version"] == 1);
  CHECK(RunJson({"trial", Examples + "trial.json"}).json()["result"] ==
        "unchanged");
  CHECK(RunJson({"promote", "--expect-version", "7"}).ExitCode == 1);
  CHECK(RunJson({"status"}).ExitCode == 1);
  const process_result Promoted = RunJson({"promote", "--expect-version", "1"});
  REQUIRE(Promoted.ExitCode == 0);
  CHECK(Promoted.json()["promoted_from"] == "trial@1");
  CHECK(RunJson({"diff"}).json()["changes"].empty());

  REQUIRE(RunJson({"trial", Examples + "production.json"}).ExitCode == 0);
  const nlohmann::json Diff = RunJson({"diff"}).json();
  REQUIRE(Diff["changes"].size() == 1);
  CHECK(Diff["changes"][0]["path"] == "/services/reservations/rollout");
  CHECK(Diff["changes"][0]["new"].is_null());
  CHECK(RunJson({"diff", Examples + "trial.json"}).json()["changes"].empty());

  const nlohmann::json Status = RunJson({"status"}).json();
  CHECK(Status["version"] == 1);
  CHECK(Status["author"] == "ana");
  CHECK(Status["in_force_everywhere"] == false);
  CHECK(RunJson({"status", "--wait", "--timeout", "1"}).ExitCode == 1);
  CHECK(RunJson({"explain", "reservations"}).ExitCode == 1);

  control::convergence Convergence;
  Convergence.set_version(1);
  Convergence.set_members(3);
  Convergence.set_acknowledged(2);
  Convergence.add_waiting_for("i-3");
  putRecord(Platform.Address, coordination::keys::convergence("production"),
            Convergence);
  CHECK(contains(runHyssopctl({"status", "-p", Platform.Address}).Output,
                 "2 of 3 daemons have applied it, the leases of 0 have ended; "
                 "waiting for i-3"));
  Convergence.set_in_force_everywhere(true);
  putRecord(Platform.Address, coordination::keys::convergence("production"),
            Convergence);
  CHECK(RunJson({"status", "--wait"}).json()["in_force_everywhere"] == true);

  control::rollout_record Rollout;
  Rollout.set_service("reservations");
  Rollout.set_share(0.05);
  control::decision &Decision = *Rollout.add_decisions();
  Decision.set_rule("failure-rate");
  Decision.set_seen("v2 30/100");
  Decision.set_action("roll back");
  putRecord(Platform.Address,
            coordination::keys::rollout("production", "reservations"), Rollout);
  CHECK(RunJson({"status"}).json()["rollouts"][0]["phase"] == "running");
  const process_result Explained =
      runHyssopctl({"explain", "reservations", "-p", Platform.Address});
  CHECK(Explained.ExitCode == 0);
  for (const char *Text :
       {"share 5%", "failure-rate", "v2 30/100", "roll back"})
    CHECK(contains(Explained.Output, Text));
}

TEST_CASE("hyssopctl distinguishes unreachable from unknown outcomes") {
  tests::platform_process Platform;
  temporary_file Settings(R"({"platform":{"endpoints":[")" + Platform.Address +
                          R"("],"timeout_ms":1000}})");
  const std::vector<std::string> Trial{"trial", Examples + "trial.json", "-s",
                                       Settings.Name};
  REQUIRE(Platform.fault(R"({"down":true})"));
  const process_result Unreachable = runHyssopctl(Trial);
  CHECK(Unreachable.ExitCode == 3);
  CHECK(contains(Unreachable.ErrorOutput, "was not moved"));
  CHECK(contains(Unreachable.ErrorOutput,
                 "Nothing was changed. Check the endpoints"));

  // Stops the platform while it handles the second write, which updates the
  // head record.
  REQUIRE(Platform.fault(R"({"down":false,"latency_ms":400})"));
  tests::child_process Process(hyssopctlCommand(Trial));
  for (int I = 0; I < 1000 && Platform.stats()["writes"] < 2; ++I)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  REQUIRE(Platform.fault(R"({"down":true})"));
  const std::string ErrorOutput = Process.readErrors();
  CAPTURE(ErrorOutput);
  CHECK(Process.wait() == 4);
  CHECK(contains(ErrorOutput, "may have moved to version 1 (operation "));
  CHECK(contains(ErrorOutput, "Run \"hyssopctl status\""));

  // Repeating the command is safe; after a lost response the outcome is
  // determined by reading the head record.
  REQUIRE(Platform.fault(R"({"down":false,"latency_ms":0,"lose_answers":1})"));
  CHECK(runHyssopctl(Trial).ExitCode == 0);
  CHECK(contains(
      runHyssopctl({"status", "-e", "trial", "-s", Settings.Name}).Output,
      "trial: version 1,"));
}
