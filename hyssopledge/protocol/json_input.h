/// \file
/// Strict JSON parsing and schema validation, shared by the document and
/// settings codecs.
#pragma once

#include "hyssopledge/state/result.h"

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopledge::protocol {

/// Parses JSON text. Fails with TooLarge above MaxBytes, and with Code for a
/// syntax error, a duplicate key, nesting that is too deep, or an array or
/// object with too many items.
state::result<nlohmann::json>
parseStrictJson(std::string_view Text, std::size_t MaxBytes, state::errc Code);

/// A JSON Schema. Its "description" texts state the expected value in messages.
class json_schema {
public:
  explicit json_schema(const char *SchemaText);
  ~json_schema();
  json_schema(const json_schema &) = delete;
  json_schema &operator=(const json_schema &) = delete;

  /// Returns the problems of the value, empty when it is valid. Each text
  /// starts with the JSON pointer and names the invalid and the expected value.
  std::vector<std::string> validate(const nlohmann::json &Value) const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

/// Formats the value for a message: truncated, with invalid UTF-8 replaced.
std::string excerpt(const nlohmann::json &Value);

/// Joins the problems with "; "; beyond 20 only their number is given.
state::failure failureFromProblems(state::errc Code,
                                   const std::vector<std::string> &Problems);

/// True for 1 to 63 letters, digits, '-', '_' and '.' that start with a letter
/// or digit.
bool isValidName(std::string_view Text);
extern const char *const NameRule; // this rule as text for messages

} // namespace hyssopledge::protocol
