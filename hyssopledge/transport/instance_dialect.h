/// \file
/// Interface to the calls that upstreams and the platform make to the daemon on
/// their instance. Each platform has one implementation.
#pragma once

#include "hyssopledge/coordination/upstream_registry.h"
#include "hyssopledge/transport/http_message.h"

namespace hyssopledge::transport {

enum class instance_call_kind { Announce, Deregister };

struct instance_call {
  instance_call_kind Kind = instance_call_kind::Announce;
  /// With Deregister only Name is set, and StartUnixMs if it was sent.
  coordination::announcement Announcement;
};

class instance_dialect {
public:
  virtual ~instance_dialect() = default;
  /// Parses an announcement or a deregistration. Fails with InvalidMessage when
  /// it is malformed and with NotFound when the request is neither.
  virtual state::result<instance_call>
  parseCall(const http_request &Request) const = 0;
  /// Returns whether the request is a readiness probe for this daemon.
  virtual bool isReadinessProbe(const http_request &Request) const = 0;
};

} // namespace hyssopledge::transport
