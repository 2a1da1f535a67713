/// \file
/// Real daemons on loopback for fleet figures: a platform stand-in and a number
/// of hyssopd processes, each with its own ports.
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
  std::string BinaryDir; // build folder with the programs
  unsigned Daemons = 8;
  unsigned DataCentres = 4;
  unsigned Services = 4;           // of the document
  std::chrono::seconds Lease{0};   // initial and cap; 0: the default
  std::uint16_t FirstPort = 20000; // four ports for each daemon from here on
};

struct http_answer {
  unsigned Status = 0;
  std::string Body;
};

class fleet {
public:
  /// Starts the platform stand-in; daemons start with startDaemon.
  explicit fleet(fleet_options Options);
  /// Ends every process it started.
  ~fleet();
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  //--- Processes ------------------------------------------------------------
  void startDaemon(unsigned Index);
  void startAll();
  void killDaemon(unsigned Index);
  /// SIGSTOP and SIGCONT.
  void freezeDaemon(unsigned Index, bool Frozen);
  unsigned size() const { return Options.Daemons; }
  process_usage usage(unsigned Index) const;

  //--- Operators ------------------------------------------------------------
  /// Writes a document whose content depends on Revision, tries and promotes
  /// it; returns the version of the production head.
  state::result<std::uint64_t> accept(unsigned Revision);
  /// Makes the platform fail or recover.
  bool setPlatformDown(bool Down);
  /// Counters of the platform stand-in.
  nlohmann::json platformStats() const;

  //--- Observation ----------------------------------------------------------
  /// Answer of the daemon to a caller's GET; nothing when there is none.
  std::optional<http_answer> call(unsigned Index,
                                  const std::string &Path) const;
  bool awaitPlatform(std::chrono::milliseconds Timeout) const;
  /// Body of /status; nothing when the daemon does not answer.
  std::optional<nlohmann::json> status(unsigned Index) const;
  /// Waits until each daemon of the list applies at least the version. Returns
  /// the time each took since Since, in order of the list; a daemon that did
  /// not get there is missing.
  std::vector<std::chrono::milliseconds>
  awaitVersion(const std::vector<unsigned> &Daemons, std::uint64_t Version,
               std::chrono::steady_clock::time_point Since,
               std::chrono::milliseconds Timeout) const;
  std::vector<unsigned> all() const;

private:
  std::uint16_t port(unsigned Index, unsigned PortOffset) const;
  std::string writeSettings(unsigned Index) const;

  fleet_options Options;
  std::string Folder; // of settings, documents and logs
  std::unique_ptr<child_process> Platform;
  std::vector<std::unique_ptr<child_process>> Daemons;
};

/// One GET or POST over HTTP on loopback; nothing when it fails.
std::optional<http_answer> httpCall(std::uint16_t Port, const std::string &Path,
                                    const std::string &PostBody = "");

} // namespace hyssopledge::bench
