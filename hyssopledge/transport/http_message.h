/// \file
/// HTTP/1.1 messages as the daemons pass them on, and the answers that daemons
/// make themselves.
#pragma once

#include "hyssopledge/state/result.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopledge::transport {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Limits of one message, for requests and responses alike.
constexpr std::size_t MaxBodyBytes = 8 * 1024 * 1024;
constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;

/// Values of the field x-hyssop-outcome.
constexpr char OutcomeRan[] = "ran";
constexpr char OutcomeNotRun[] = "not-run";
constexpr char OutcomeUnknown[] = "unknown";

/// Removes the fields that concern one connection only (RFC 9110, section
/// 7.6.1), those that the Connection field names included.
void removeConnectionFields(boost::beast::http::fields &Fields);

/// Value of a field, empty when it is absent.
std::string_view fieldValue(const boost::beast::http::fields &Fields,
                            std::string_view Name);

/// A decimal field without sign; none when the field is absent or is not a
/// number of at most 18 digits.
std::optional<std::uint64_t>
fieldNumber(const boost::beast::http::fields &Fields, std::string_view Name);

/// An answer made by a daemon: JSON with error, reason and outcome, and the
/// outcome fields.
http_response makeErrorResponse(unsigned Status, std::string_view Outcome,
                                std::string_view Reason,
                                std::string_view Detail);

/// An answer with a body of the given type.
http_response makeResponse(unsigned Status, std::string_view ContentType,
                           std::string Body);

/// "ip:port" or "[ip6]:port"; InvalidSettings when it is neither.
state::result<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Address);
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace hyssopledge::transport
