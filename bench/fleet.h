/// \file
/// Fleet of real daemons on loopback, for benchmarks and tests: a platform
/// stand-in and hyssopd processes, each with its own ports.
#pragma once

#include "bench/child_process.h"
#include "hyssopledge/state/result.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::bench {

struct fleet_options {
  std::string BinaryDir; // build folder of the programs
  unsigned Daemons = 8;
  unsigned DataCentres = 4;
  unsigned Services = 4;           // number in the document
  std::chrono::seconds Lease{0};   // initial_s and max_s; 0: default
  std::uint16_t FirstPort = 20000; // two of the platform, then four a daemon
};

struct http_answer {
  unsigned Status = 0;
  std::string Body;
};

class fleet {
public:
  /// Starts the platform stand-in only; see startDaemon() and startAll().
  explicit fleet(fleet_options Options);
  /// Kills all processes and removes the folder, except if
  /// HYSSOPLEDGE_KEEP_LOGS is set.
  ~fleet();
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  //--- Processes ------------------------------------------------------------
  void startDaemon(unsigned Index);
  void startAll();
  void killDaemon(unsigned Index);
  /// Sends SIGSTOP if Frozen, else SIGCONT.
  void freezeDaemon(unsigned Index, bool Frozen);
  unsigned size() const { return Options.Daemons; }
  process_usage usage(unsigned Index) const;

  //--- Operators ------------------------------------------------------------
  /// Runs `hyssopctl trial` and `hyssopctl promote` on a document that differs
  /// by revision. Returns the version of the production head, or an error with
  /// the output of hyssopctl.
  state::result<std::uint64_t> accept(unsigned Revision);
  /// Stops or restarts the listener of the platform stand-in; returns false on
  /// error.
  bool setPlatformDown(bool Down);
  /// Returns the counters of the platform stand-in; null JSON on error.
  nlohmann::json platformStats() const;

  //--- Observation ----------------------------------------------------------
  /// Sends a GET to the data address of the daemon; returns nullopt if it does
  /// not respond.
  std::optional<http_answer> call(unsigned Index,
                                  const std::string &Path) const;
  bool awaitPlatform(std::chrono::milliseconds Timeout) const;
  /// Returns the body of /status; nullopt if the daemon does not respond.
  std::optional<nlohmann::json> status(unsigned Index) const;
  /// Waits until each daemon of the list applies at least the version. Returns
  /// the time since Since of each daemon, in order of convergence; daemons that
  /// did not converge before the timeout are left out.
  std::vector<std::chrono::milliseconds>
  awaitVersion(const std::vector<unsigned> &Daemons, std::uint64_t Version,
               std::chrono::steady_clock::time_point Since,
               std::chrono::milliseconds Timeout) const;
  std::vector<unsigned> all() const;

private:
  std::uint16_t port(unsigned Index, unsigned PortOffset) const;
  std::string writeSettings(unsigned Index) const;

  fleet_options Options;
  std::string Folder; // holds settings, documents and logs
  std::unique_ptr<child_process> Platform;
  std::vector<std::unique_ptr<child_process>> Daemons;
};

/// Sends a GET, or a POST if there is a body, to the port on loopback. Returns
/// nullopt on a connection error or after 2 s.
std::optional<http_answer> httpCall(std::uint16_t Port, const std::string &Path,
                                    const std::string &PostBody = "");

} // namespace hyssopledge::bench
