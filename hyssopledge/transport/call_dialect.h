/// \file
/// The header fields that callers and upstreams of a platform use. Each
/// platform has one implementation.
#pragma once

#include "hyssopledge/state/clock.h"
#include "hyssopledge/transport/http_message.h"

#include <optional>
#include <string_view>

namespace hyssopledge::transport {

struct call_metadata {
  std::string_view Id; // of this attempt of the caller; empty: none
  std::optional<state::milliseconds> TimeLeft; // that the caller will wait
};

/// What is set on a request to an upstream.
struct upstream_call {
  state::milliseconds TimeLeft{0};
  std::string_view Upstream;      // the one that may run it
  std::string_view CallerService; // of the instance where the request began
};

struct response_metadata {
  bool MatchesRequest = true; // the answer belongs to the request
  bool NotRun = false; // the upstream states that it did not run the request
  bool Signed = false; // the upstream vouches for the answer
};

class call_dialect {
public:
  virtual ~call_dialect() = default;
  virtual call_metadata parseCall(const http_request &Request) const = 0;
  virtual void setCallFields(http_request &Request,
                             const upstream_call &Call) const = 0;
  virtual response_metadata parseResponse(const http_response &Response,
                                          std::string_view Id) const = 0;
  /// Marks an answer as "not run"; the caller may come back after the time.
  virtual void setRefusalFields(http_response &Response,
                                state::milliseconds RetryAfter) const = 0;
};

} // namespace hyssopledge::transport
