/// \file
/// HTTP server on the admin address: announcements of the upstream, health,
/// metrics and status.
#pragma once

#include "hyssopledge/state/admission.h"
#include "hyssopledge/state/result.h"
#include "hyssopledge/transport/http_listener.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hyssopledge::transport {

/// Callbacks of the server, run on its event loop.
struct admin_hooks {
  std::function<void(state::upstream_announcement)> OnAnnouncement;
  std::function<bool()> IsReady; // /readyz: a configuration is active and
                                 // the lease is valid; empty: never ready
  std::function<std::string()> MetricsText; // /metrics: Prometheus text format
  std::function<std::string()> StatusJson;  // /status
};

/// Parses the JSON body of POST /announce. InvalidMessage lists each problem
/// with its JSON pointer, the invalid value and the expected one.
state::result<state::upstream_announcement>
parseAnnouncement(std::string_view Json);

/// Serves POST /announce and GET /healthz, /readyz, /metrics and /status.
/// Answers other methods with 405 and other paths with 404.
class admin_server {
public:
  /// Binds the address ("ip:port"); fails when it can't be bound.
  static state::result<std::unique_ptr<admin_server>>
  open(boost::asio::io_context &Context, const std::string &Address,
       admin_hooks Hooks);

  std::string address() const; // "ip:port" as bound

private:
  explicit admin_server(std::unique_ptr<http_listener> Listener);
  std::unique_ptr<http_listener> Listener;
};

} // namespace hyssopledge::transport
