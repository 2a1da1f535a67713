/// \file
/// Strict JSON input shared by the document and settings codecs.
#pragma once

#include "hyssopledge/state/result.h"

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopledge::protocol {

/// Parses JSON text. Too many bytes, bad syntax, duplicate keys, too deep
/// nesting and overlong arrays are failures with this code (size: TooLarge).
state::result<nlohmann::json>
parseStrictJson(std::string_view Text, std::size_t MaxBytes, state::errc Code);

/// A JSON Schema whose "description" texts say what would be right.
class json_schema {
public:
  explicit json_schema(const char *SchemaText);
  ~json_schema();
  json_schema(const json_schema &) = delete;
  json_schema &operator=(const json_schema &) = delete;

  /// Empty when the value fits. Each text starts with the JSON pointer and
  /// names the wrong value and what would be right.
  std::vector<std::string> validate(const nlohmann::json &Value) const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

/// The value as short text for messages: cut, with invalid UTF-8 replaced.
std::string excerpt(const nlohmann::json &Value);

/// Joins the problems with "; ", at most 20 of them.
state::failure failureFromProblems(state::errc Code,
                                   const std::vector<std::string> &Problems);

/// True for 1 to 63 letters, digits, '-', '_' and '.'.
bool isValidName(std::string_view Text);
extern const char *const NameRule; // the rule in words

} // namespace hyssopledge::protocol
