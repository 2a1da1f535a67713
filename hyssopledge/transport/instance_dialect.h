/// \file
/// How upstreams and the platform speak to the daemon beside them. Each
/// platform has one implementation.
#pragma once

#include "hyssopledge/coordination/upstream_registry.h"
#include "hyssopledge/transport/http_message.h"

namespace hyssopledge::transport {

enum class instance_call_kind { Announce, Deregister };

struct instance_call {
  instance_call_kind Kind = instance_call_kind::Announce;
  /// With Leave: Name, and Born if it is known.
  coordination::announcement Announcement;
};

class instance_dialect {
public:
  virtual ~instance_dialect() = default;
  /// InvalidMessage for a call that is malformed, NotFound for another one.
  virtual state::result<instance_call>
  parseCall(const http_request &Request) const = 0;
  /// Whether the request asks if the daemon may get work.
  virtual bool isReadinessProbe(const http_request &Request) const = 0;
};

} // namespace hyssopledge::transport
