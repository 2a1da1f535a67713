/// \file
/// Fetches documents from other daemons of the mesh.
#pragma once

#include "hyssopledge/state/result.h"
#include "hyssopledge/transport/http_client_pool.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace hyssopledge::transport {

class document_client {
public:
  using handler = std::function<void(state::result<std::string>)>;

  explicit document_client(boost::asio::io_context &Context);

  /// Fetches the document's text as the operators wrote it from the daemon at
  /// "ip:port". Unavailable: no whole response in time; NotFound: the daemon
  /// has no document; otherwise the errors of decompressText. The handler is
  /// called once, from the loop.
  void fetch(const std::string &HopAddress, handler Handler);

private:
  http_client_pool Pool;
};

} // namespace hyssopledge::transport
