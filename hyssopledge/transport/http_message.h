/// \file
/// HTTP/1.1 messages: types, size limits, header field access and the responses
/// that daemons generate themselves.
#pragma once

#include "hyssopledge/state/result.h"
#include "hyssopledge/transport/header_fields.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hyssopledge::transport {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body, header_fields>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body,
                                 header_fields>;

/// Size limits of one message, request or response.
constexpr std::size_t MaxBodyBytes = 8 * 1024 * 1024;
constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;

/// Returns the limit for the header of a message that another daemon passes on
/// from a caller or an upstream, whose header is limited to this. Another
/// daemon adds some fields, and a blank to a field that has none before its
/// value.
std::uint32_t forwardedHeaderLimit(std::uint64_t Limit);

/// A string body for parsers. The reader of string_body reserves the announced
/// length before any limit is checked, and throws if there is no memory for it.
struct bounded_string_body : boost::beast::http::string_body {
  class reader {
  public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields> &, std::string &Body)
        : Body(Body) {}
    void init(const boost::optional<std::uint64_t> &Announced,
              boost::system::error_code &Error) {
      constexpr std::uint64_t MaxReservedBytes = 64 * 1024;
      if (Announced) {
        Length = static_cast<std::size_t>(*Announced);
        Body.reserve(std::min(Length, MaxReservedBytes));
      }
      Error = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers &Added, boost::system::error_code &Error) {
      const std::size_t Size = Body.size();
      reserve(Size + boost::beast::buffer_bytes(Added));
      for (const auto Part : boost::beast::buffers_range_ref(Added))
        Body.append(static_cast<const char *>(Part.data()), Part.size());
      Error = {};
      return Body.size() - Size;
    }
    void finish(boost::system::error_code &Error) { Error = {}; }

  private:
    /// A long body is copied when it grows, so that both copies exist for a
    /// moment. The factors keep the sum below twice the received bytes.
    void reserve(std::size_t Needed) {
      constexpr std::size_t LongBytes = 4 * 1024 * 1024;
      const std::size_t Capacity = Body.capacity();
      if (Needed <= Capacity)
        return;
      // The announced length costs no memory until its bytes arrive.
      if (Length >= Needed)
        Body.reserve(std::min(Length, std::max(Needed, 4 * Capacity)));
      else if (Capacity >= LongBytes)
        Body.reserve(std::max(Needed, Capacity + Capacity / 4));
    }

    std::string &Body;
    std::size_t Length = 0; // announced; 0: unknown
  };
};

/// A body that several messages refer to, so that it exists once; not null.
using shared_body = std::shared_ptr<const std::string>;

/// Body type of requests with a shared_body.
struct shared_string_body {
  using value_type = shared_body;
  static std::uint64_t size(const value_type &Body) { return Body->size(); }
  class writer {
  public:
    using const_buffers_type = boost::asio::const_buffer;
    template <bool IsRequest, class Fields>
    writer(const boost::beast::http::header<IsRequest, Fields> &,
           const value_type &Body)
        : Body(Body) {}
    void init(boost::system::error_code &Error) { Error = {}; }
    boost::optional<std::pair<const_buffers_type, bool>>
    get(boost::system::error_code &Error) {
      Error = {};
      return {{const_buffers_type{Body->data(), Body->size()}, false}};
    }

  private:
    const value_type &Body;
  };
};

/// A request to send. Its body may be that of a received request.
struct outgoing_request {
  outgoing_request(http_request Request)
      : Body(std::make_shared<std::string>(std::move(Request.body()))) {
    Head.base() = std::move(Request.base());
  }
  outgoing_request(http_request Head, shared_body Body)
      : Head(std::move(Head)), Body(std::move(Body)) {}

  http_request Head; // its body is empty
  shared_body Body;
};

/// Values of the field x-hyssop-outcome.
constexpr char OutcomeRan[] = "ran";
constexpr char OutcomeNotRun[] = "not-run";
constexpr char OutcomeUnknown[] = "unknown";

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1), including those
/// named by the Connection field, and the Expect field.
void removeConnectionFields(header_fields &Fields);

/// Sets the field for the length of the body, for a body of any method. The
/// message's own prepare_payload() throws for some that can be received.
template <class Body>
void setContentLength(boost::beast::http::request<Body, header_fields> &Request,
                      std::size_t BodyBytes) {
  using boost::beast::http::verb;
  // A server expects a length for these also without a body.
  const bool ExpectsLength = Request.method() == verb::options ||
                             Request.method() == verb::put ||
                             Request.method() == verb::post;
  if (BodyBytes > 0 || ExpectsLength)
    Request.content_length(BodyBytes);
  else
    Request.chunked(false);
}

/// Returns the value of a field, empty when the field is absent.
std::string_view fieldValue(const header_fields &Fields, std::string_view Name);

/// Returns the value of an unsigned decimal field; none when the field is
/// absent or is not a number of at most 18 digits.
std::optional<std::uint64_t> fieldNumber(const header_fields &Fields,
                                         std::string_view Name);

/// Makes a response that a daemon generates itself: a JSON body with error,
/// reason and outcome, and the fields x-hyssop-outcome and x-hyssop-reason.
http_response makeErrorResponse(unsigned Status, std::string_view Outcome,
                                std::string_view Reason,
                                std::string_view Detail);

/// Makes a response with a body of the given content type.
http_response makeResponse(unsigned Status, std::string_view ContentType,
                           std::string Body);

/// Parses "ip:port" or "[ip6]:port"; fails with InvalidSettings otherwise.
state::result<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Address);
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace hyssopledge::transport
