/// \file
/// Parsers of the requests that a server reads and of the responses that a
/// client reads. What a message may hold is bounded by the limits that are set,
/// not by the parser.
#pragma once

#include "hyssopledge/transport/http_message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace hyssopledge::transport {

template <bool IsRequest>
class message_parser final
    : public boost::beast::http::basic_parser<IsRequest> {
  using base = boost::beast::http::basic_parser<IsRequest>;
  using error_code = boost::system::error_code;
  using beast_view = boost::beast::string_view;

public:
  using message_type =
      boost::beast::http::message<IsRequest, boost::beast::http::string_body,
                                  header_fields>;

  message_parser() : Reader(Message, Message.body()) {}
  message_parser(const message_parser &) = delete;
  message_parser &operator=(const message_parser &) = delete;

  /// Limits the bytes of the header and of the fields of header and trailer
  /// together; the base does not limit the trailer.
  void setHeaderLimit(std::uint32_t Bytes) {
    base::header_limit(Bytes);
    FieldBytesLeft = Bytes;
  }

  const message_type &get() const { return Message; }
  message_type release() { return std::move(Message); }

private:
  void on_request_impl(boost::beast::http::verb Verb, beast_view Method,
                       beast_view Target, int Version,
                       error_code &Error) override {
    if constexpr (IsRequest) {
      if (Verb == boost::beast::http::verb::unknown)
        Message.method_string(Method);
      else
        Message.method(Verb);
      Message.target(Target);
      Message.version(static_cast<unsigned>(Version));
    }
    Error = {};
  }

  void on_response_impl(int Status, beast_view Reason, int Version,
                        error_code &Error) override {
    if constexpr (!IsRequest) {
      Message.result(static_cast<unsigned>(Status)); // three digits
      Message.reason(Reason);
      Message.version(static_cast<unsigned>(Version));
    }
    Error = {};
  }

  void on_field_impl(boost::beast::http::field Field, beast_view Name,
                     beast_view Value, error_code &Error) override {
    Error = {};
    if (!IsRequest && isFolded(Name, Value)) {
      Error = boost::beast::http::error::bad_field;
      return;
    }
    constexpr std::size_t LineBytes = 3; // ":" and the line break
    const std::size_t Bytes = Name.size() + Value.size() + LineBytes;
    if (Bytes > FieldBytesLeft) {
      // The trailer of a response may be discarded (RFC 9110, section 6.5.1).
      if (IsRequest)
        Error = boost::beast::http::error::header_limit;
      return;
    }
    FieldBytesLeft -= Bytes;
    Message.insert(Field, Name, Value);
  }

  /// Folded lines (RFC 9112, section 5.2) are refused in responses. The base
  /// joins a line that begins with a blank to the value before it, so that a
  /// field of this name, such as a length, would be passed on as a part of
  /// another one and not be applied.
  static bool isFolded(beast_view Name, beast_view Value) {
    // Name is a part of the input. So is a value that is not folded, on the
    // same line; the parser has read that line to its end.
    const char *ValueBegin = Name.data() + Name.size() + 1;
    while (*ValueBegin == ' ' || *ValueBegin == '\t')
      ++ValueBegin;
    return Value.data() != ValueBegin;
  }

  void on_header_impl(error_code &Error) override { Error = {}; }
  void on_body_init_impl(const boost::optional<std::uint64_t> &Length,
                         error_code &Error) override {
    Reader.init(Length, Error);
  }
  std::size_t on_body_impl(beast_view Body, error_code &Error) override {
    return Reader.put(boost::asio::const_buffer(Body.data(), Body.size()),
                      Error);
  }
  void on_chunk_header_impl(std::uint64_t, beast_view,
                            error_code &Error) override {
    Error = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t, beast_view Body,
                                 error_code &Error) override {
    return on_body_impl(Body, Error);
  }
  void on_finish_impl(error_code &Error) override { Reader.finish(Error); }

  message_type Message;
  bounded_string_body::reader Reader;
  std::size_t FieldBytesLeft = MaxHeaderBytes;
};

using request_parser = message_parser<true>;
using response_parser = message_parser<false>;

} // namespace hyssopledge::transport
