#include "bench/fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace hyssopledge::bench {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

enum daemon_port : unsigned { Data, Control, Gossip, Admin, PortsPerDaemon };
constexpr unsigned PlatformPorts = 2; // listener and admin address
constexpr auto PollInterval = 20ms;

std::string address(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::string dataCentre(const fleet_options &Options, unsigned Index) {
  return "dc" + std::to_string(Index % Options.DataCentres);
}

json makeDocument(const fleet_options &Options, const std::string &Environment,
                  unsigned Revision) {
  json Document = {{"environment", Environment},
                   {"services", json::array()},
                   {"routes", json::array()}};
  if (Options.Lease.count() > 0)
    Document["lease"] = {{"initial_s", Options.Lease.count()},
                         {"max_s", Options.Lease.count()}};
  for (unsigned I = 0; I < Options.Services; ++I) {
    const std::string Name = "service-" + std::to_string(I);
    Document["services"].push_back(
        {{"name", Name}, {"versions", {"v1"}}, {"stable", "v1"}});
    // The revision changes one route only, like a typical edit by an operator.
    const unsigned Timeout = 2000 + (I == 0 ? Revision : 0);
    Document["routes"].push_back({{"name", Name},
                                  {"path_prefix", "/" + Name},
                                  {"service", Name},
                                  {"timeout_ms", Timeout}});
  }
  return Document;
}

} // namespace

std::optional<http_answer> httpCall(std::uint16_t Port, const std::string &Path,
                                    const std::string &PostBody) {
  namespace beast = boost::beast;
  namespace http = beast::http;
  namespace asio = boost::asio;
  asio::io_context Context;
  beast::tcp_stream Stream(Context);
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request(
      PostBody.empty() ? http::verb::get : http::verb::post, Path, 11);
  Request.set(http::field::host, "127.0.0.1");
  Request.set(http::field::content_type, "application/json");
  Request.body() = PostBody;
  Request.prepare_payload();
  http::response<http::string_body> Response;
  bool Answered = false;
  Stream.expires_after(2s);
  Stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), Port),
      [&](const boost::system::error_code &ConnectError) {
        if (ConnectError)
          return;
        http::async_write(
            Stream, Request,
            [&](const boost::system::error_code &WriteError, std::size_t) {
              if (WriteError)
                return;
              http::async_read(Stream, Buffer, Response,
                               [&](const boost::system::error_code &ReadError,
                                   std::size_t) { Answered = !ReadError; });
            });
      });
  Context.run();
  if (!Answered)
    return std::nullopt;
  return http_answer{Response.result_int(), std::move(Response.body())};
}

fleet::fleet(fleet_options FleetOptions) : Options(std::move(FleetOptions)) {
  char Template[] = "/tmp/hyssop_fleet_XXXXXX";
  const char *CreatedFolder = mkdtemp(Template);
  Folder = CreatedFolder != nullptr ? CreatedFolder : ".";
  Platform = std::make_unique<child_process>(
      Options.BinaryDir + "/tools/platform_standin",
      std::vector<std::string>{"--listen", address(Options.FirstPort),
                               "--admin", address(Options.FirstPort + 1)},
      Folder + "/platform.log");
  Daemons.resize(Options.Daemons);
}

fleet::~fleet() {
  for (auto &Daemon : Daemons)
    Daemon.reset();
  Platform.reset();
  // Keeps the logs of the daemons, to analyze a failed run.
  if (std::getenv("HYSSOPLEDGE_KEEP_LOGS") != nullptr)
    return;
  std::error_code IgnoredError;
  std::filesystem::remove_all(Folder, IgnoredError);
}

std::uint16_t fleet::port(unsigned Index, unsigned PortOffset) const {
  return static_cast<std::uint16_t>(Options.FirstPort + PlatformPorts +
                                    Index * PortsPerDaemon + PortOffset);
}

std::string fleet::writeSettings(unsigned Index) const {
  const json Settings = {
      {"instance", "i" + std::to_string(Index)},
      {"data_centre", dataCentre(Options, Index)},
      {"environment", "production"},
      {"data_address", address(port(Index, Data))},
      {"control_address", address(port(Index, Control))},
      {"gossip_address", address(port(Index, Gossip))},
      {"admin_address", address(port(Index, Admin))},
      {"platform", {{"endpoints", {address(Options.FirstPort)}}}},
      {"threads", 1},
      {"log_file", Folder + "/i" + std::to_string(Index) + ".log"}};
  std::string Path = Folder + "/i" + std::to_string(Index) + ".json";
  std::ofstream(Path) << Settings.dump(2);
  return Path;
}

void fleet::startDaemon(unsigned Index) {
  Daemons[Index] = std::make_unique<child_process>(
      Options.BinaryDir + "/apps/hyssopd/hyssopd",
      std::vector<std::string>{"--settings", writeSettings(Index)},
      Folder + "/i" + std::to_string(Index) + ".out");
}

void fleet::startAll() {
  for (unsigned I = 0; I < Options.Daemons; ++I)
    startDaemon(I);
}

void fleet::killDaemon(unsigned Index) {
  if (!Daemons[Index])
    return;
  Daemons[Index]->signal(SIGKILL);
  Daemons[Index]->wait(5s);
}

void fleet::freezeDaemon(unsigned Index, bool Frozen) {
  if (Daemons[Index])
    Daemons[Index]->signal(Frozen ? SIGSTOP : SIGCONT);
}

process_usage fleet::usage(unsigned Index) const {
  return Daemons[Index] ? readUsage(Daemons[Index]->pid()) : process_usage{};
}

state::result<std::uint64_t> fleet::accept(unsigned Revision) {
  const std::string File = Folder + "/document.json";
  std::ofstream(File) << makeDocument(Options, "trial", Revision).dump(2);
  const std::string HyssopctlPath =
      Options.BinaryDir + "/apps/hyssopctl/hyssopctl";
  const std::string PlatformFlag = "--platform=" + address(Options.FirstPort);
  const std::string Output = Folder + "/hyssopctl.out";
  for (const std::vector<std::string> &Arguments :
       {std::vector<std::string>{"trial", File, PlatformFlag},
        std::vector<std::string>{"promote", PlatformFlag, "--output=json"}}) {
    std::filesystem::remove(Output);
    child_process Run(HyssopctlPath, Arguments, Output);
    if (Run.wait(10s) != 0) {
      std::ostringstream Text;
      Text << std::ifstream(Output).rdbuf();
      return state::failure(state::errc::Unavailable,
                            "hyssopctl " + Arguments[0] + ": " + Text.str());
    }
  }
  std::ostringstream Text;
  Text << std::ifstream(Output).rdbuf();
  const json Answer = json::parse(Text.str(), nullptr, false);
  if (!Answer.is_object() || !Answer.contains("version"))
    return state::failure(state::errc::InvalidMessage,
                          "hyssopctl promote: no version in output: " +
                              Text.str());
  return Answer["version"].get<std::uint64_t>();
}

bool fleet::setPlatformDown(bool Down) {
  const auto Answer =
      httpCall(Options.FirstPort + 1, "/fault", json{{"down", Down}}.dump());
  return Answer && Answer->Status < 300;
}

json fleet::platformStats() const {
  const auto Answer = httpCall(Options.FirstPort + 1, "/stats");
  return Answer && Answer->Status == 200
             ? json::parse(Answer->Body, nullptr, false)
             : json();
}

bool fleet::awaitPlatform(std::chrono::milliseconds Timeout) const {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (std::chrono::steady_clock::now() < End) {
    if (platformStats().is_object())
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

std::optional<http_answer> fleet::call(unsigned Index,
                                       const std::string &Path) const {
  return httpCall(port(Index, Data), Path);
}

std::optional<json> fleet::status(unsigned Index) const {
  const auto Answer = httpCall(port(Index, Admin), "/status");
  if (!Answer || Answer->Status != 200)
    return std::nullopt;
  json Status = json::parse(Answer->Body, nullptr, false);
  if (!Status.is_object())
    return std::nullopt;
  return Status;
}

std::vector<std::chrono::milliseconds>
fleet::awaitVersion(const std::vector<unsigned> &Indices, std::uint64_t Version,
                    std::chrono::steady_clock::time_point Since,
                    std::chrono::milliseconds Timeout) const {
  std::vector<std::chrono::milliseconds> Times;
  std::vector<unsigned> Waiting = Indices;
  while (!Waiting.empty() &&
         std::chrono::steady_clock::now() - Since < Timeout) {
    std::vector<unsigned> StillWaiting;
    for (unsigned Index : Waiting) {
      const auto Status = status(Index);
      if (Status && Status->value("applied_version", 0ULL) >= Version)
        Times.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - Since));
      else
        StillWaiting.push_back(Index);
    }
    Waiting = std::move(StillWaiting);
    std::this_thread::sleep_for(PollInterval);
  }
  return Times;
}

std::vector<unsigned> fleet::all() const {
  std::vector<unsigned> Indices(Options.Daemons);
  std::iota(Indices.begin(), Indices.end(), 0U);
  return Indices;
}

} // namespace hyssopledge::bench
