#include "hyssopledge/transport/document_client.h"

#include "hyssopledge/transport/compression.h"
#include "hyssopledge/transport/mesh_plane.h"

#include <utility>

namespace hyssopledge::transport {

namespace {

// A compressed document of 100 KB takes 0.1 s on a 10 Mbit/s link, and several
// daemons fetch it at the same time.
constexpr state::milliseconds FetchTimeout{1500};
// Round trips take a few milliseconds; a daemon without power never answers.
constexpr state::milliseconds ConnectTimeout{350};

/// Without reuse of connections: changes are rare, and a connection that went
/// silent since the last fetch would cost the next one its timeout.
client_pool_options poolOptions() {
  client_pool_options Options;
  Options.MaxIdlePerAddress = 0;
  Options.ConnectTimeout = ConnectTimeout;
  return Options;
}

} // namespace

document_client::document_client(boost::asio::io_context &Context)
    : Pool(Context, poolOptions()) {}

void document_client::fetch(const std::string &HopAddress, handler Handler) {
  http_request Request;
  Request.version(11);
  Request.method(boost::beast::http::verb::get);
  Request.target(mesh_plane::DocumentPath);
  Request.set(boost::beast::http::field::host, HopAddress);
  Pool.send(HopAddress, std::move(Request),
            state::boot_clock::now() + FetchTimeout,
            [Handler = std::move(Handler)](exchange_result Result) {
              if (Result.Outcome != exchange_outcome::Complete)
                return Handler(
                    state::failure(state::errc::Unavailable, Result.Detail));
              if (Result.Response.result_int() != 200)
                return Handler(state::failure(
                    state::errc::NotFound,
                    "status " + std::to_string(Result.Response.result_int())));
              Handler(decompressText(Result.Response.body()));
            });
}

} // namespace hyssopledge::transport
