#include "hyssopledge/transport/header_fields.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>
#include <vector>

namespace hyssopledge::transport {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast_view = header_fields::beast_view;

namespace {

constexpr std::string_view Separator = ": ";
constexpr std::string_view LineBreak = "\r\n";
constexpr unsigned Version11 = 11; // as Beast writes HTTP/1.1

void append(std::string &Text, beast_view Added) {
  Text.append(Added.data(), Added.size());
}

/// Returns the elements of a list with commas; none of them is empty.
std::vector<beast_view> listElements(beast_view Value) {
  std::vector<beast_view> Elements;
  for (const auto &Element : http::token_list{Value})
    Elements.push_back(Element);
  return Elements;
}

std::string joinElements(const std::vector<beast_view> &Elements) {
  std::string Text;
  for (const beast_view Element : Elements) {
    if (!Text.empty())
      Text += ", ";
    append(Text, Element);
  }
  return Text;
}

bool isChunked(beast_view Coding) { return beast::iequals(Coding, "chunked"); }

} // namespace

//-----------------------------------------------------------------------------
// One field
//-----------------------------------------------------------------------------

header_fields::value_type::value_type(field_id Id, beast_view Name,
                                      beast_view Value)
    : NameBytes(Name.size()), Id(Id) {
  Line.reserve(Name.size() + Separator.size() + Value.size() +
               LineBreak.size());
  append(Line, Name);
  Line += Separator;
  append(Line, Value);
  Line += LineBreak;
}

beast_view header_fields::value_type::value() const {
  const std::size_t Begin = NameBytes + Separator.size();
  return {Line.data() + Begin, Line.size() - LineBreak.size() - Begin};
}

//-----------------------------------------------------------------------------
// Access
//-----------------------------------------------------------------------------

header_fields::const_iterator header_fields::find(beast_view Name) const {
  return std::find_if(begin(), end(), [&](const value_type &Entry) {
    return beast::iequals(Entry.name_string(), Name);
  });
}

header_fields::const_iterator header_fields::find(field_id Id) const {
  return std::find_if(begin(), end(), [&](const value_type &Entry) {
    return Entry.name() == Id;
  });
}

beast_view header_fields::operator[](beast_view Name) const {
  const auto Found = find(Name);
  return Found == end() ? beast_view() : Found->value();
}

beast_view header_fields::operator[](field_id Id) const {
  const auto Found = find(Id);
  return Found == end() ? beast_view() : Found->value();
}

std::size_t header_fields::count(beast_view Name) const {
  return static_cast<std::size_t>(
      std::count_if(begin(), end(), [&](const value_type &Entry) {
        return beast::iequals(Entry.name_string(), Name);
      }));
}

std::size_t header_fields::count(field_id Id) const {
  return static_cast<std::size_t>(
      std::count_if(begin(), end(), [&](const value_type &Entry) {
        return Entry.name() == Id;
      }));
}

void header_fields::insert(field_id Id, beast_view Name, beast_view Value) {
  Entries.emplace_back(Id, Name, Value);
}

void header_fields::insert(field_id Id, beast_view Value) {
  insert(Id, http::to_string(Id), Value);
}

void header_fields::insert(beast_view Name, beast_view Value) {
  insert(http::string_to_field(Name), Name, Value);
}

// The former fields are removed last: Value may be a part of one of them.
void header_fields::set(field_id Id, beast_view Value) {
  value_type Entry(Id, http::to_string(Id), Value);
  erase(Id);
  Entries.push_back(std::move(Entry));
}

void header_fields::set(beast_view Name, beast_view Value) {
  value_type Entry(http::string_to_field(Name), Name, Value);
  erase(Name);
  Entries.push_back(std::move(Entry));
}

std::size_t header_fields::erase(beast_view Name) {
  return eraseIf([Name](const value_type &Entry) {
    return beast::iequals(Entry.name_string(), Name);
  });
}

std::size_t header_fields::erase(field_id Id) {
  return eraseIf([Id](const value_type &Entry) { return Entry.name() == Id; });
}

//-----------------------------------------------------------------------------
// Properties of the message
//-----------------------------------------------------------------------------

bool header_fields::get_chunked_impl() const {
  const auto Codings = listElements((*this)[field_id::transfer_encoding]);
  return !Codings.empty() && isChunked(Codings.back());
}

bool header_fields::get_keep_alive_impl(unsigned Version) const {
  http::token_list Options{(*this)[field_id::connection]};
  return Version < Version11 ? Options.exists("keep-alive")
                             : !Options.exists("close");
}

bool header_fields::has_content_length_impl() const {
  return find(field_id::content_length) != end();
}

void header_fields::set_method_impl(beast_view Text) {
  Method.assign(Text.data(), Text.size());
}

void header_fields::set_target_impl(beast_view Text) {
  TargetOrReason.assign(Text.data(), Text.size());
}

void header_fields::set_reason_impl(beast_view Text) {
  TargetOrReason.assign(Text.data(), Text.size());
}

void header_fields::set_chunked_impl(bool Chunked) {
  auto Codings = listElements((*this)[field_id::transfer_encoding]);
  const bool WasChunked = !Codings.empty() && isChunked(Codings.back());
  if (Chunked == WasChunked)
    return;
  if (Chunked)
    Codings.push_back("chunked");
  else
    Codings.pop_back();
  if (Codings.empty())
    erase(field_id::transfer_encoding);
  else
    set(field_id::transfer_encoding, joinElements(Codings));
}

void header_fields::set_content_length_impl(
    const boost::optional<std::uint64_t> &Length) {
  if (Length)
    set(field_id::content_length, std::to_string(*Length));
  else
    erase(field_id::content_length);
}

void header_fields::set_keep_alive_impl(unsigned Version, bool KeepAlive) {
  auto Options = listElements((*this)[field_id::connection]);
  std::erase_if(Options, [](beast_view Option) {
    return beast::iequals(Option, "close") ||
           beast::iequals(Option, "keep-alive");
  });
  if (KeepAlive && Version < Version11)
    Options.push_back("keep-alive");
  else if (!KeepAlive && Version >= Version11)
    Options.push_back("close");
  if (Options.empty())
    erase(field_id::connection);
  else
    set(field_id::connection, joinElements(Options));
}

//-----------------------------------------------------------------------------
// Writer
//-----------------------------------------------------------------------------

header_fields::writer::writer(const header_fields &Fields, unsigned Version,
                              http::verb Verb) {
  append(Head, Verb == http::verb::unknown ? Fields.get_method_impl()
                                           : http::to_string(Verb));
  Head += ' ';
  append(Head, Fields.get_target_impl());
  Head += ' ';
  appendVersion(Version);
  Head += LineBreak;
  appendFields(Fields);
}

header_fields::writer::writer(const header_fields &Fields, unsigned Version,
                              unsigned Status) {
  appendVersion(Version);
  Head += ' ' + std::to_string(Status) + ' ';
  const beast_view Reason = Fields.get_reason_impl();
  append(Head,
         Reason.empty()
             ? beast_view(http::obsolete_reason(http::int_to_status(Status)))
             : Reason);
  Head += LineBreak;
  appendFields(Fields);
}

void header_fields::writer::appendVersion(unsigned Version) {
  Head += "HTTP/" + std::to_string(Version / 10) + '.' +
          std::to_string(Version % 10);
}

void header_fields::writer::appendFields(const header_fields &Fields) {
  std::size_t Bytes = Head.size() + LineBreak.size();
  for (const value_type &Field : Fields)
    Bytes += Field.line().size();
  Head.reserve(Bytes);
  for (const value_type &Field : Fields)
    Head += Field.line();
  Head += LineBreak;
}

} // namespace hyssopledge::transport
