#include "hyssopledge/transport/http_message.h"

#include "hyssopledge/protocol/call_headers.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace hyssopledge::transport {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

boost::beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace

std::uint32_t forwardedHeaderLimit(std::uint64_t Limit) {
  constexpr std::uint64_t AddedFieldBytes = 4 * 1024;
  constexpr std::uint64_t ShortestLineBytes = 4; // a name, ":", a line break
  constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(
      Max, std::min(Max, Limit) + Limit / ShortestLineBytes + AddedFieldBytes));
}

void removeConnectionFields(header_fields &Fields) {
  // In one pass: a caller may name as many fields as it sends.
  std::set<std::string, beast::iless> Named;
  for (const auto &Name : http::token_list{Fields[http::field::connection]})
    Named.emplace(Name);
  if (!Named.empty())
    Fields.eraseIf([&](const header_fields::value_type &Field) {
      return Named.count(std::string(Field.name_string())) > 0;
    });
  for (const http::field Field :
       {http::field::connection, http::field::keep_alive, http::field::te,
        http::field::trailer, http::field::transfer_encoding,
        http::field::upgrade, http::field::proxy_connection,
        http::field::proxy_authenticate, http::field::proxy_authorization,
        http::field::expect})
    Fields.erase(Field);
}

std::string_view fieldValue(const header_fields &Fields,
                            std::string_view Name) {
  const auto Found = Fields.find(toBeast(Name));
  if (Found == Fields.end())
    return {};
  return {Found->value().data(), Found->value().size()};
}

std::optional<std::uint64_t> fieldNumber(const header_fields &Fields,
                                         std::string_view Name) {
  const std::string_view Text = fieldValue(Fields, Name);
  // Values of 18 digits can be added without overflow in signed 64 bits.
  if (Text.empty() || Text.size() > 18)
    return std::nullopt;
  std::uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

http_response makeResponse(unsigned Status, std::string_view ContentType,
                           std::string Body) {
  http_response Response;
  Response.version(11);
  Response.result(Status);
  Response.set(http::field::content_type, toBeast(ContentType));
  Response.body() = std::move(Body);
  Response.prepare_payload();
  return Response;
}

http_response makeErrorResponse(unsigned Status, std::string_view Outcome,
                                std::string_view Reason,
                                std::string_view Detail) {
  using json = nlohmann::json;
  const json Body = {
      {"error", Detail}, {"reason", Reason}, {"outcome", Outcome}};
  http_response Response = makeResponse(
      Status, "application/json",
      Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
  Response.set(protocol::call_headers::Outcome, toBeast(Outcome));
  Response.set(protocol::call_headers::Reason, toBeast(Reason));
  return Response;
}

state::result<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Address) {
  const auto Refuse = [&] {
    return state::failure(state::errc::InvalidSettings,
                          "address \"" + std::string(Address) +
                              "\" must be \"ip:port\"");
  };
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return Refuse();
  std::string_view Host = Address.substr(0, Colon);
  const std::string_view Port = Address.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::uint16_t Number = 0;
  const auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  if (Error != std::errc() || End != Port.data() + Port.size())
    return Refuse();
  boost::system::error_code Invalid;
  const auto Ip = boost::asio::ip::make_address(std::string(Host), Invalid);
  if (Invalid)
    return Refuse();
  return boost::asio::ip::tcp::endpoint(Ip, Number);
}

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint) {
  const std::string Host = Endpoint.address().to_string();
  const std::string Port = std::to_string(Endpoint.port());
  return Endpoint.address().is_v6() ? "[" + Host + "]:" + Port
                                    : Host + ":" + Port;
}

} // namespace hyssopledge::transport
