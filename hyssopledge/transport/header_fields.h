/// \file
/// The fields of an HTTP message, of any length: those of Beast hold at most
/// 65,533 bytes each and throw for more.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <list>
#include <string>
#include <string_view>

namespace hyssopledge::transport {

/// Meets the requirements of Beast on the Fields of a message. Names are
/// compared without case. References and views stay valid until their field is
/// removed. Lookups are linear in the number of fields.
class header_fields {
public:
  using beast_view = boost::beast::string_view;
  using field_id = boost::beast::http::field;

  class value_type {
  public:
    value_type(field_id Id, beast_view Name, beast_view Value);
    field_id name() const { return Id; } // unknown for most names
    // As Beast names it. NOLINTNEXTLINE(readability-identifier-naming)
    beast_view name_string() const { return {Line.data(), NameBytes}; }
    beast_view value() const;
    /// The field as it is sent, with its line break.
    const std::string &line() const { return Line; }

  private:
    std::string Line;
    std::size_t NameBytes;
    field_id Id;
  };
  using const_iterator = std::list<value_type>::const_iterator;
  using iterator = const_iterator;
  /// Serializes the first line and the fields of a message.
  class writer;

  const_iterator begin() const { return Entries.begin(); }
  const_iterator end() const { return Entries.end(); }
  const_iterator cbegin() const { return Entries.begin(); }
  const_iterator cend() const { return Entries.end(); }

  /// Return the first field of the name, end() when there is none.
  const_iterator find(beast_view Name) const;
  const_iterator find(field_id Id) const;
  /// Return the value of the first field of the name, empty when there is none.
  beast_view operator[](beast_view Name) const;
  beast_view operator[](field_id Id) const;
  std::size_t count(beast_view Name) const;
  std::size_t count(field_id Id) const;

  /// Append a field.
  void insert(field_id Id, beast_view Name, beast_view Value);
  void insert(field_id Id, beast_view Value);
  void insert(beast_view Name, beast_view Value);
  /// Replace all fields of the name by one.
  void set(field_id Id, beast_view Value);
  void set(beast_view Name, beast_view Value);
  /// Return the number of removed fields.
  std::size_t erase(beast_view Name);
  std::size_t erase(field_id Id);
  template <class Predicate> std::size_t eraseIf(Predicate Matches) {
    return Entries.remove_if(Matches);
  }

protected:
  // Called by the message; Beast prescribes the names.
  // NOLINTBEGIN(readability-identifier-naming)
  beast_view get_method_impl() const { return Method; }
  beast_view get_target_impl() const { return TargetOrReason; }
  beast_view get_reason_impl() const { return TargetOrReason; }
  bool get_chunked_impl() const;
  bool get_keep_alive_impl(unsigned Version) const;
  bool has_content_length_impl() const;
  void set_method_impl(beast_view Text);
  void set_target_impl(beast_view Text);
  void set_reason_impl(beast_view Text);
  void set_chunked_impl(bool Chunked);
  void set_content_length_impl(const boost::optional<std::uint64_t> &Length);
  void set_keep_alive_impl(unsigned Version, bool KeepAlive);
  // NOLINTEND(readability-identifier-naming)

private:
  std::list<value_type> Entries;
  std::string Method; // only if it has no verb
  std::string TargetOrReason;
};

class header_fields::writer {
public:
  using const_buffers_type = boost::asio::const_buffer;
  writer(const header_fields &Fields, unsigned Version,
         boost::beast::http::verb Verb);
  writer(const header_fields &Fields, unsigned Version, unsigned Status);
  const_buffers_type get() const { return boost::asio::buffer(Head); }

private:
  void appendVersion(unsigned Version);
  void appendFields(const header_fields &Fields);

  std::string Head;
};

} // namespace hyssopledge::transport
