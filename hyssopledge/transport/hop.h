/// \file
/// What an entry daemon tells the daemon beside the upstream, and learns from
/// it, in one header field each way.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/placement.h"
#include "hyssopledge/transport/http_message.h"

#include <optional>
#include <string>

namespace hyssopledge::transport {

struct hop_call {
  std::string Upstream; // that was chosen
  std::string Route;
  std::string CallerService; // of the instance where the request began
  state::milliseconds TimeLeft{0};
  state::milliseconds AimLeft{0}; // below 0: already missed
  std::uint32_t Priority = 0;
  bool MayMissSlo = false; // run it although it will miss its aim
  bool Repeat = false;     // it was sent to an upstream before
};

enum class hop_outcome {
  Ran,    // a whole answer of the upstream
  NotRun, // not run, and never will be
  Unknown,
};

struct hop_answer {
  hop_outcome Outcome = hop_outcome::Unknown;
  std::string Reason;   // fixed word; empty with Ran
  bool Arrived = false; // with NotRun: the upstream itself turned it away
  std::optional<state::load_report> Load;
  http_response Response; // whole with Ran and with Arrived
};

/// Field of a request between daemons.
extern const char *const HopCallField;
/// Fields of an answer between daemons.
extern const char *const HopAnswerField;

std::string formatHopCall(const hop_call &Call);
state::result<hop_call> parseHopCall(std::string_view Text);
/// Sets the field on the answer's response.
void writeHopAnswer(hop_answer &Answer);
/// Takes the field off the response. Without it the outcome is Unknown.
hop_answer readHopAnswer(http_response Response);

} // namespace hyssopledge::transport
