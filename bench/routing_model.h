/// \file
/// A small model of one service: entry sides and target sides made of the real
/// decision classes, joined by delays. Measures pickers and admission.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hyssopledge::bench {

enum class picker_kind { TwoChoice, RoundRobin, LeastReportedLoad };

enum class routing_fault {
  None,          // targets of differing speed only
  FalseLoad,     // load reports lag by 1 s; the slowest target reports none
  ColdStart,     // a target restarts and takes 8 times as long, fading over 8 s
  FailFast,      // a target answers every call with a failure after 1 ms
  Freeze,        // a target accepts calls and never answers
  DaemonStopped, // connections to a target are refused at once
};

/// Sizes as in docs/design.md, section 1.
struct routing_deployment {
  std::string Name;
  unsigned Targets;                   // of the service, one in each data centre
  unsigned Entries;                   // daemons that take calls
  double CallerDelayMs;               // one way between caller and entry
  double CrossCentreDelayMs;          // one way
  std::vector<double> RunTimeFactors; // factor on the run time, by target
};
extern const routing_deployment ThreadAndCrest;
extern const routing_deployment DogParks;

struct routing_model_options {
  routing_deployment Deployment = ThreadAndCrest;
  picker_kind Picker = picker_kind::TwoChoice;
  routing_fault Fault = routing_fault::None;
  double Load = 0.6; // calls as a share of what all slots can run
  bool DeadlineAwareAdmission = true; // false: an unbounded queue
  double TimeoutMs = 2000;            // of the caller
  std::chrono::seconds Duration{20};
  std::uint64_t Seed = 1;
};

struct routing_result {
  std::vector<double> LatencyMs; // of successful calls, sorted
  std::size_t Calls = 0;
  std::size_t Succeeded = 0; // whole answer before the deadline
  std::size_t NotRun = 0;    // final answer "not run"
  std::size_t Failed = 0;    // final answer a failure or unknown
  double SecondsOfCalls = 0; // time in which calls arrived
  double percentile(double P) const;
  double unsuccessfulShare() const { // calls without a good answer
    return Calls == 0 ? 0
                      : static_cast<double>(Calls - Succeeded) /
                            static_cast<double>(Calls);
  }
};

routing_result runRoutingModel(const routing_model_options &Options);

} // namespace hyssopledge::bench
