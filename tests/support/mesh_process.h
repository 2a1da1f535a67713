/// \file
/// A hyssop_mesh process on loopback with a stand-in of the platform's store
/// and a scripted upstream. The settings are those of a small machine.
#pragma once

#include "support/child_process.h"
#include "support/http_fixture.h"
#include "support/kv_standin.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>

namespace hyssopledge::tests {

struct mesh_process_options {
  unsigned MemoryMb = 64;
  unsigned MaxDescriptors = 256; // also set as the process's limit
  std::string Document;          // value of op/config
};

class mesh_process {
public:
  mesh_process(const mesh_process_options &Options,
               scripted_upstream::script Script)
      : Upstream(std::move(Script)), Ip(loopbackAddress()),
        SettingsPath(std::filesystem::temp_directory_path() /
                     ("hyssop-mesh-" + Ip + ".json")) {
    Store.put("op/config", Options.Document);
    writeSettings(Options, Store.serve("daemon"));
    Thread = std::thread([this] { Context.run(); });
    Process = std::make_unique<child_process>(std::vector<std::string>{
        "/bin/sh", "-c",
        "ulimit -n " + std::to_string(Options.MaxDescriptors) + "; exec " +
            HYSSOPLEDGE_BIN_DIR "/apps/hyssop_mesh/hyssop_mesh --settings " +
            SettingsPath.string()});
  }
  ~mesh_process() {
    Process.reset();
    Context.stop();
    Thread.join();
    std::error_code Ignored;
    std::filesystem::remove(SettingsPath, Ignored);
  }

  std::string entryAddress() const { return Ip + ":8304"; }

  /// Announces the upstream and waits until the daemon serves the request.
  /// Returns false when it does not within TestTimeout.
  bool awaitServing(const http_request &Request) {
    const auto End = std::chrono::steady_clock::now() + TestTimeout;
    while (std::chrono::steady_clock::now() < End) {
      if (status(announcement(), Ip + ":8306") == 200 &&
          status(Request, entryAddress()) == 200)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  /// Sends a call of the upstream about itself. Returns the status.
  unsigned announce(const std::string &State) {
    return status(announcement(State), Ip + ":8306");
  }
  unsigned deregister() {
    return status(makeRequest(http::verb::post,
                              "/api/rpc?call=instances.deregister&of=i-1",
                              R"({"sequence":1000})"),
                  Ip + ":8306");
  }
  /// Leaves the daemon's calls to the store without an answer from now on.
  void withholdStore() {
    boost::asio::post(Context, [this] { Store.withholdFrom({"daemon"}); });
  }

  /// Status of the response; 0 when there is none.
  static unsigned status(const http_request &Request,
                         const std::string &Address) {
    try {
      return callOnce(Address, Request).result_int();
    } catch (const boost::system::system_error &) {
      return 0;
    }
  }

  bool alive() const { return ::kill(Process->pid(), 0) == 0 && !isZombie(); }
  /// Waits until the process has read what its callers have sent: it uses no
  /// processor time then, but for its timers.
  void awaitIdle() const {
    constexpr std::chrono::milliseconds Period{500};
    constexpr long MaxTicks = 2; // of the timers in one period
    const auto End = std::chrono::steady_clock::now() + TestTimeout;
    long Ticks = processorTicks();
    while (std::chrono::steady_clock::now() < End) {
      std::this_thread::sleep_for(Period);
      const long Before = std::exchange(Ticks, processorTicks());
      if (Ticks - Before <= MaxTicks)
        return;
    }
  }
  /// Largest resident memory so far, in MB.
  double peakMemoryMb() const {
    return std::stod("0" + statusField("VmHWM")) / 1024;
  }
  std::size_t descriptors() const {
    std::error_code Error;
    std::size_t Count = 0;
    for (auto It =
             std::filesystem::directory_iterator(procFolder() + "/fd", Error);
         !Error && It != std::filesystem::directory_iterator(); ++It)
      ++Count;
    return Count;
  }

private:
  std::string procFolder() const {
    return "/proc/" + std::to_string(Process->pid());
  }
  std::string statusField(const std::string &Name) const {
    std::ifstream File(procFolder() + "/status");
    std::string Line;
    while (std::getline(File, Line))
      if (Line.starts_with(Name + ":")) {
        const std::size_t At = Line.find_first_not_of(" \t", Name.size() + 1);
        return At == std::string::npos ? "" : Line.substr(At);
      }
    return {};
  }
  /// User and system time, in clock ticks.
  long processorTicks() const {
    std::ifstream File(procFolder() + "/stat");
    std::string Text;
    std::getline(File, Text);
    std::istringstream Fields(Text.substr(Text.rfind(')') + 1));
    std::string Skipped;
    constexpr int FieldsBefore = 11; // behind the name
    for (int I = 0; I < FieldsBefore; ++I)
      Fields >> Skipped;
    long User = 0;
    long System = 0;
    Fields >> User >> System;
    return User + System;
  }
  bool isZombie() const { return statusField("State").starts_with("Z"); }

  /// An address of this process alone, so that fixed ports are free.
  static std::string loopbackAddress() {
    static unsigned Count = 0;
    const auto Pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + (Pid >> 14) % 64) + "." +
           std::to_string((Pid >> 6) % 256) + "." +
           std::to_string(1 + (Pid % 64) * 3 + ++Count % 3);
  }

  http_request announcement(const std::string &State = "ready") {
    const nlohmann::json Body = {{"service", "pages"},
                                 {"address", Upstream.address()},
                                 {"zone", "dc1"},
                                 {"version", "v1"},
                                 {"slots", 4},
                                 {"state", State},
                                 {"sequence", ++Announcements}};
    return makeRequest(http::verb::post,
                       "/api/rpc?call=instances.heartbeat&of=i-1", Body.dump());
  }

  void writeSettings(const mesh_process_options &Options,
                     const std::string &StoreAddress) const {
    const nlohmann::json Settings = {
        {"nodeName", "sidecar-1"},
        {"zone", "dc1"},
        {"service", "pages"},
        {"ip", Ip},
        {"appAddress", Upstream.address()},
        {"listen",
         {{"inbound", Ip + ":8300"},
          {"outbound", Ip + ":8304"},
          {"ready", Ip + ":8302"},
          {"control", Ip + ":8306"}}},
        {"internalPortRange", {7620, 7635}},
        {"limits",
         {{"memoryMb", Options.MemoryMb}, {"maxFds", Options.MaxDescriptors}}},
        {"bounds", nlohmann::json::array()},
        {"platform", {{"address", StoreAddress}}}};
    std::ofstream(SettingsPath) << Settings.dump();
  }

  scripted_upstream Upstream;
  std::string Ip;
  std::filesystem::path SettingsPath;
  unsigned Announcements = 0;
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  kv_standin Store{Context};
  std::thread Thread;
  std::unique_ptr<child_process> Process;
};

} // namespace hyssopledge::tests
