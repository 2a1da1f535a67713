/// \file
/// The operators' document as plain data. protocol/document_codec.h reads and
/// writes its JSON form.
#pragma once

#include "hyssopledge/state/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssopledge::state {

//-----------------------------------------------------------------------------
// Services
//-----------------------------------------------------------------------------

struct rollout_spec {
  std::string ToVersion; // version that receives the traffic at the end
  std::chrono::seconds CompleteWithin{
      600};                   // time from acceptance to 100% for a good version
  double InitialShare = 0.01; // share of calls at the first step, 0..1
  double MaxUnprovenShare =
      0.05; // largest share before the version has passed its checks, 0..1
  std::chrono::seconds WatchAfterward{
      600}; // time after the move in which a bad version is still rolled back
};

struct service_limits {
  std::uint32_t Slots = 12;        // requests that run at once on one target
  std::uint32_t Connections = 130; // connections one target accepts
  std::uint32_t QueueLength =
      48; // requests that may wait for a slot on one target
};

struct service_spec {
  std::string Name;
  std::vector<std::string> Versions; // versions that may receive calls
  std::string
      StableVersion; // version that receives all calls outside of a rollout
  std::optional<rollout_spec>
      Rollout; // present while traffic is to move away from StableVersion
  service_limits Limits;
  std::string HealthPath; // of its upstreams; empty: they have none
};

//-----------------------------------------------------------------------------
// Routes
//-----------------------------------------------------------------------------

/// A part of a route's requests.
struct traffic_share {
  std::string Service;
  double Weight = 0; // relative to the other parts
};

struct route_spec {
  std::string Name;                 // unique in the document
  std::string Host;                 // empty: any
  std::string PathPrefix;           // longest matching prefix wins
  std::vector<std::string> Methods; // empty: all
  std::string Service;
  bool Idempotent = false; // may be sent again after it may have run
  milliseconds Timeout{2000};
  std::uint32_t MaxAttempts =
      3; // attempts over the whole depth of the call, the first included
  std::vector<traffic_share> Split; // when not empty, instead of Service
  milliseconds SloLatency{
      0}; // an answer within it has its full value; 0: no aim
  std::uint32_t Priority = 0; // 0: most urgent
};

//-----------------------------------------------------------------------------
// Environment
//-----------------------------------------------------------------------------

struct lease_spec {
  std::chrono::seconds Initial{60}; // duration of the first lease
  double Growth = 2.0;              // factor at each renewal, 1..10
  std::chrono::seconds Max{7200};   // cap of the duration
};

/// What a caller may send, and how long it may take.
struct client_limits {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 8 * 1024 * 1024;
  milliseconds HeaderTimeout{30000}; // from a request's first byte to its end
  milliseconds IdleTimeout{75000};   // of a connection between requests
};

struct document {
  std::string Environment;
  std::vector<service_spec> Services;
  std::vector<route_spec> Routes;
  lease_spec Lease;
  client_limits Limits;
};

} // namespace hyssopledge::state
