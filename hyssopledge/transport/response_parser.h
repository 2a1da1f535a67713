/// \file
/// Parser of the responses that a client reads.
#pragma once

#include "hyssopledge/transport/http_message.h"

#include <boost/beast/http/parser.hpp>

namespace hyssopledge::transport {

/// Refuses folded lines in a head or trailer (RFC 9112, section 5.2). Beast
/// joins a line that begins with a blank to the value before it, so that a
/// field of this name, such as a length, would be passed on as a part of
/// another one and not be applied.
class response_parser final
    : public boost::beast::http::response_parser<bounded_string_body> {
private:
  void on_field_impl(boost::beast::http::field Field,
                     boost::beast::string_view Name,
                     boost::beast::string_view Value,
                     boost::system::error_code &Error) override {
    // Name is a part of the input. So is a value that is not folded, on the
    // same line; the parser has read that line to its end.
    const char *ValueBegin = Name.data() + Name.size() + 1;
    while (*ValueBegin == ' ' || *ValueBegin == '\t')
      ++ValueBegin;
    if (Value.data() != ValueBegin) {
      Error = boost::beast::http::error::bad_field;
      return;
    }
    get().insert(Field, Name, Value);
  }
};

} // namespace hyssopledge::transport
