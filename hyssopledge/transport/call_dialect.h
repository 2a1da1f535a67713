/// \file
/// Interface to the header fields that callers and upstreams of a platform use.
/// Each platform has one implementation.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/transport/http_message.h"

#include <optional>
#include <string_view>

namespace hyssopledge::transport {

/// Fields of a caller's request.
struct call_metadata {
  std::string_view Id; // of the caller's attempt; empty: none
  std::optional<state::milliseconds> TimeLeft; // the caller waits no longer
  std::string_view ApiKey;                     // empty: none
};

/// Fields of a request to an upstream.
struct upstream_call {
  state::milliseconds TimeLeft{0};
  std::string_view Upstream;      // only this upstream may run it
  std::string_view CallerService; // service of the entry daemon's instance
  std::string_view Workspace{};   // that holds the caller's API key
};

/// Fields of an upstream's response.
struct response_metadata {
  /// The id is that of the request, or one of the two has none.
  bool MatchesRequest = true;
  bool NotRun = false; // the upstream did not run the request
  bool Signed = false; // the response has a signature
  /// Requests per second that the upstream accepts from all daemons together,
  /// as long as its responses say so; none: no limit.
  std::optional<double> RequestLimit;
  bool Leaving = false; // the upstream stops soon and takes no new requests
  /// How long work takes on the upstream's machine now, in percent of the usual
  /// time.
  std::optional<double> WorkPercent;
};

class call_dialect {
public:
  virtual ~call_dialect() = default;
  /// The returned views point into the request.
  virtual call_metadata parseCall(const http_request &Request) const = 0;
  virtual void setCallFields(http_request &Request,
                             const upstream_call &Call) const = 0;
  /// Removes the caller's API key and whatever it sent as its workspace.
  virtual void removeCredentials(http_request &Request) const = 0;
  /// Id is the id of the request's attempt, as parseCall() returned it.
  virtual response_metadata parseResponse(const http_response &Response,
                                          std::string_view Id) const = 0;
  /// Sets the fields that mark a response as "not run"; the caller may retry
  /// after RetryAfter.
  virtual void setRefusalFields(http_response &Response,
                                state::milliseconds RetryAfter) const = 0;
};

} // namespace hyssopledge::transport
