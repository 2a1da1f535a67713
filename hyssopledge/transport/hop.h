/// \file
/// Header fields of a hop: the request from an entry daemon to the daemon of
/// the chosen upstream, and its response. There is one field in each direction.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/state/placement.h"
#include "hyssopledge/transport/http_message.h"

#include <optional>
#include <string>

namespace hyssopledge::transport {

/// Parameters of a hop, sent in the field HopCallField.
struct hop_call {
  std::string Upstream; // name of the chosen upstream
  std::string Route;
  std::string CallerService; // service of the entry daemon's instance
  std::string Workspace;     // that holds the caller's API key; empty: none
  state::milliseconds TimeLeft{0};
  /// Time left to meet the latency objective; below 0: it is missed.
  state::milliseconds SloTimeLeft{0};
  std::uint32_t Priority = 0;
  bool MayMissSlo = false; // run it even if it misses the objective
  bool IsRetry = false;    // an upstream received it before
  /// Of the body that the entry daemon wants to send, in a transfer request.
  std::uint64_t BodyBytes = 0;
  /// Of the admitted transfer; 0: none was requested.
  std::uint64_t TransferTicket = 0;
};

enum class hop_outcome {
  Ran,     // the upstream gave a complete response
  NotRun,  // the request was not run and will not be
  Unknown, // the request may have run
};

/// Result of a hop, sent as a response with the field HopAnswerField.
struct hop_answer {
  hop_outcome Outcome = hop_outcome::Unknown;
  std::string Reason;              // reason code; empty with Ran
  bool RejectedByUpstream = false; // with NotRun; not by a daemon
  std::optional<state::load_report> Load;
  http_response Response; // with Ran and RejectedByUpstream
};

extern const char *const HopCallField;   // field of the request
extern const char *const HopAnswerField; // field of the response
/// Field of the response to an admitted transfer request: its ticket.
extern const char *const TransferField;

/// The value of the field x-hyssop-outcome.
const char *outcomeText(hop_outcome Outcome);
std::string formatHopCall(const hop_call &Call);
state::result<hop_call> parseHopCall(std::string_view Text);
/// Sets the field on Answer.Response.
void setHopAnswerField(hop_answer &Answer);
/// Parses the field and removes it from the response. When it is missing, the
/// daemon itself has responded before it had the whole request, and the outcome
/// is that of its error response. Otherwise the outcome is Unknown.
hop_answer parseHopAnswer(http_response Response);

} // namespace hyssopledge::transport
