/// \file
/// Simulation of one service: entry and target sides that use the production
/// decision classes, connected by delays. Compares pickers and admission.
#pragma once

#include "hyssopledge/state/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hyssopledge::bench {

enum class picker_kind { TwoChoice, RoundRobin, LeastReportedLoad };

enum class routing_fault {
  None,          // none beside the differing run times of targets
  FalseLoad,     // load reports lag by 1 s; the slowest (last) target reports 0
  ColdStart,     // a target restarts 8 times slower, recovering over 8 s
  FailFast,      // a target fails every call after 1 ms
  Freeze,        // a target accepts calls and never responds
  DaemonStopped, // a target refuses connections at once
};

/// Deployment sizes from docs/design.md, section 1.
struct routing_deployment {
  std::string Name;
  unsigned Targets;                   // one in each data centre
  unsigned Entries;                   // daemons that receive calls
  double CallerDelayMs;               // one way between caller and entry
  double CrossCentreDelayMs;          // one way
  std::vector<double> RunTimeFactors; // on the run time, by target
};
extern const routing_deployment ThreadAndCrest;
extern const routing_deployment DogParks;

struct routing_model_options {
  routing_deployment Deployment = ThreadAndCrest;
  picker_kind Picker = picker_kind::TwoChoice;
  routing_fault Fault = routing_fault::None;
  double Load = 0.6; // calls as a share of the capacity of all slots
  bool DeadlineAwareAdmission = true; // false: unbounded queue
  double TimeoutMs = 2000;            // deadline of the caller
  std::chrono::seconds Duration{20};
  std::uint64_t Seed = 1;
};

struct routing_result {
  std::vector<double> LatencyMs; // of successful calls, sorted
  std::size_t Calls = 0;
  std::size_t Succeeded = 0; // complete answer before the deadline
  std::size_t NotRun = 0;    // final outcome "not run"
  std::size_t Failed = 0;    // final outcome failed or unknown
  double ArrivalSeconds = 0; // duration of arrivals
  double percentile(double P) const;
  double unsuccessfulShare() const { // calls without success in time
    return Calls == 0 ? 0
                      : static_cast<double>(Calls - Succeeded) /
                            static_cast<double>(Calls);
  }
};

routing_result runRoutingModel(const routing_model_options &Options);

} // namespace hyssopledge::bench
