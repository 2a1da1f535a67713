/// \file
/// Settings files of the two programs: JSON, checked against a schema before
/// anything starts.
#pragma once

#include "hyssopledge/state/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopledge::protocol {

struct platform_settings {
  std::vector<std::string> Endpoints;      // "ip:port"
  std::chrono::milliseconds Timeout{1000}; // of one call
};

struct daemon_settings {
  std::string
      Instance; // unique in the environment; kept when the instance is replaced
  std::string DataCentre;
  std::string Environment;
  std::string DataAddress;    // "ip:port", HTTP: callers and other daemons
  std::string ControlAddress; // "ip:port", gRPC: other daemons
  std::string GossipAddress;  // "ip:port", UDP: other daemons
  std::string AdminAddress; // "ip:port", HTTP: announcements, health, metrics,
                            // status; loopback or trusted networks
  platform_settings Platform;
  std::vector<std::string>
      BootstrapPeers; // control addresses asked at start besides those found on
                      // the platform
  std::uint32_t Threads = 2;                     // of the data plane, 1..64
  std::chrono::milliseconds ProbeInterval{1000}; // of membership
  std::string LogFile;                           // empty: standard error
  std::string LogLevel = "info"; // "trace", "debug", "info", "warn" or "error"
  std::string TraceFile; // Zipkin v2 JSON, one span a line; empty: no traces
  double TraceSampling =
      1.0; // share of calls without a traceparent that start a trace, 0..1
};

struct operator_settings {
  platform_settings Platform;
  std::string Author; // written into the head record
};

/// True for "ip:port" with an IPv4 address or an IPv6 address in brackets and a
/// port from 1 to 65535.
bool isSocketAddress(std::string_view Address);

/// A failure lists each problem with its JSON pointer, the wrong value and what
/// would be right.
state::result<daemon_settings> parseDaemonSettings(std::string_view Json);
state::result<operator_settings> parseOperatorSettings(std::string_view Json);

} // namespace hyssopledge::protocol
