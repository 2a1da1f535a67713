/// \file
/// HTTP on the admin address: announcements of the upstream, health, metrics
/// and status.
#pragma once

#include "hyssopledge/state/admission.h"
#include "hyssopledge/state/result.h"
#include "hyssopledge/transport/http_listener.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hyssopledge::transport {

/// Called on the server's loop.
struct admin_hooks {
  std::function<void(state::upstream_announcement)> OnAnnouncement;
  std::function<bool()> IsReady; // for /readyz: a configuration is in force and
                                 // the lease is valid. Empty: never ready
  std::function<std::string()> MetricsText; // Prometheus text
  std::function<std::string()> StatusJson;  // JSON
};

/// Reads the JSON object of POST /announce. A failure names each problem with
/// its JSON pointer, the wrong value and what would be right.
state::result<state::upstream_announcement>
parseAnnouncement(std::string_view Json);

/// POST /announce, GET /healthz, /readyz, /metrics and /status. Methods and
/// paths other than these are 405 and 404.
class admin_server {
public:
  static state::result<std::unique_ptr<admin_server>>
  open(boost::asio::io_context &Context, const std::string &Address,
       admin_hooks Hooks);

  std::string address() const; // "ip:port" as bound

private:
  explicit admin_server(std::unique_ptr<http_listener> Listener);
  std::unique_ptr<http_listener> Listener;
};

} // namespace hyssopledge::transport
