#include "hyssopledge/protocol/json_input.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace hyssopledge::protocol {

namespace {

using nlohmann::json;

constexpr std::size_t MaxDepth = 16;
// The validator records two errors for each invalid item; the limit on items
// bounds its memory for any input.
constexpr std::size_t MaxItems = 10'000;
constexpr std::size_t MaxProblems = 20;
constexpr std::size_t MaxExcerptBytes = 80;
constexpr std::size_t MaxDetailBytes = 200;

std::string truncate(std::string Text, std::size_t Bytes) {
  if (Text.size() <= Bytes)
    return Text;
  // A cut before a UTF-8 continuation byte would split a character.
  while (Bytes > 0 && (static_cast<unsigned char>(Text[Bytes]) & 0xC0U) == 0x80)
    --Bytes;
  return Text.substr(0, Bytes) + "...";
}

/// Escapes a key for use in a JSON pointer (RFC 6901).
std::string escapePointer(std::string_view Key) {
  std::string Out;
  for (const char C : Key) {
    if (C == '~')
      Out += "~0";
    else if (C == '/')
      Out += "~1";
    else
      Out += C;
  }
  return Out;
}

/// SAX handler that checks what the JSON parser accepts silently: duplicate
/// keys (the parser keeps the last one), nesting depth and numbers of items.
/// Stops at the first failure.
class strict_json_checker final : public nlohmann::json_sax<json> {
public:
  std::string Problem;

  bool null() override { return countItem(); }
  bool boolean(bool /*Value*/) override { return countItem(); }
  bool number_integer(std::int64_t /*Value*/) override { return countItem(); }
  bool number_unsigned(std::uint64_t /*Value*/) override { return countItem(); }
  bool number_float(double /*Value*/, const std::string & /*Text*/) override {
    return countItem();
  }
  bool string(std::string & /*Value*/) override { return countItem(); }
  bool binary(json::binary_t & /*Value*/) override { return countItem(); }
  bool start_object(std::size_t /*Size*/) override {
    return enterContainer(true);
  }
  bool start_array(std::size_t /*Size*/) override {
    return enterContainer(false);
  }
  bool end_object() override { return leaveContainer(); }
  bool end_array() override { return leaveContainer(); }

  bool key(std::string &Key) override {
    frame &Top = Frames.back();
    Top.Key = Key;
    if (!Top.Keys.insert(Key).second)
      return fail(pointer() + ": duplicate key in its object; keep one");
    if (Top.Keys.size() > MaxItems)
      return fail(pointer() + ": the object has more than " +
                  std::to_string(MaxItems) + " keys");
    return true;
  }

  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const json::exception &Error) override {
    std::string_view Text = Error.what();
    const std::size_t End = Text.find("] ");
    if (End != std::string_view::npos)
      Text.remove_prefix(End + 2);
    return fail("not JSON: " + truncate(std::string(Text), MaxDetailBytes));
  }

private:
  struct frame {
    bool IsObject = false;
    std::set<std::string> Keys;
    std::string Key;
    std::size_t Items = 0;
  };

  bool fail(std::string Text) {
    Problem = std::move(Text);
    return false;
  }

  std::string pointer() const {
    std::string Out;
    for (const frame &Frame : Frames)
      Out += "/" + (Frame.IsObject ? escapePointer(Frame.Key)
                                   : std::to_string(Frame.Items - 1));
    return truncate(std::move(Out), MaxDetailBytes);
  }

  bool countItem() {
    if (Frames.empty() || Frames.back().IsObject)
      return true;
    if (++Frames.back().Items > MaxItems)
      return fail(pointer() + ": the array has more than " +
                  std::to_string(MaxItems) + " items");
    return true;
  }

  bool enterContainer(bool IsObject) {
    if (!countItem())
      return false;
    if (Frames.size() == MaxDepth)
      return fail(pointer() + ": nested deeper than " +
                  std::to_string(MaxDepth) + " levels");
    Frames.emplace_back();
    Frames.back().IsObject = IsObject;
    return true;
  }

  bool leaveContainer() {
    Frames.pop_back();
    return true;
  }

  std::vector<frame> Frames;
};

std::string joinKeys(const json &Object) {
  std::string Out;
  for (const auto &Item : Object.items())
    Out += (Out.empty() ? "" : ", ") + Item.key();
  return Out;
}

std::string expectedText(const json &Schema) {
  auto Found = Schema.find("description");
  return Found == Schema.end() ? "as the schema requires"
                               : Found->get<std::string>();
}

/// Adds the problems of the value where the validation failed.
void addProblems(const json &Schema, const json &Value,
                 const std::string &Pointer, std::set<std::string> &Problems) {
  const std::string DisplayPointer = Pointer.empty() ? "/" : Pointer;
  if (!Value.is_object() || !Schema.contains("properties")) {
    Problems.insert(DisplayPointer + ": " + excerpt(Value) +
                    " is wrong; must be " + expectedText(Schema));
    return;
  }
  const json &KnownKeys = Schema.at("properties");
  for (const auto &Item : Value.items())
    if (!KnownKeys.contains(Item.key()))
      Problems.insert(Pointer + "/" +
                      truncate(escapePointer(Item.key()), MaxExcerptBytes) +
                      ": unknown key; known here: " + joinKeys(KnownKeys));
  if (Schema.contains("required"))
    for (const json &Key : Schema.at("required"))
      if (!Value.contains(Key.get<std::string>()))
        Problems.insert(Pointer + "/" + Key.get<std::string>() +
                        ": missing; must be " +
                        expectedText(KnownKeys.at(Key.get<std::string>())));
}

} // namespace

const char *const NameRule =
    "1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit";

bool isValidName(std::string_view Text) {
  const auto IsAlphanumeric = [](char C) {
    return std::isalnum(static_cast<unsigned char>(C)) != 0;
  };
  return !Text.empty() && Text.size() <= 63 && IsAlphanumeric(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), [&IsAlphanumeric](char C) {
           return IsAlphanumeric(C) || C == '-' || C == '_' || C == '.';
         });
}

std::string excerpt(const json &Value) {
  return truncate(Value.dump(-1, ' ', false, json::error_handler_t::replace),
                  MaxExcerptBytes);
}

state::failure failureFromProblems(state::errc Code,
                                   const std::vector<std::string> &Problems) {
  std::string Detail;
  const std::size_t Shown = std::min(Problems.size(), MaxProblems);
  for (std::size_t I = 0; I < Shown; ++I)
    Detail += (I == 0 ? "" : "; ") + Problems[I];
  if (Shown < Problems.size())
    Detail +=
        "; and " + std::to_string(Problems.size() - Shown) + " more problems";
  return {Code, std::move(Detail)};
}

state::result<json> parseStrictJson(std::string_view Text, std::size_t MaxBytes,
                                    state::errc Code) {
  if (Text.size() > MaxBytes)
    return state::failure(state::errc::TooLarge,
                          std::to_string(Text.size()) + " bytes; at most " +
                              std::to_string(MaxBytes) + " are allowed");
  strict_json_checker Checker;
  if (!json::sax_parse(Text, &Checker))
    return state::failure(Code, std::move(Checker.Problem));
  return json::parse(Text);
}

struct json_schema::implementation {
  json Text;
  valijson::Schema Schema;
};

json_schema::json_schema(const char *SchemaText)
    : Implementation(std::make_unique<implementation>()) {
  Implementation->Text = json::parse(SchemaText);
  valijson::SchemaParser Parser;
  Parser.populateSchema(
      valijson::adapters::NlohmannJsonAdapter(Implementation->Text),
      Implementation->Schema);
}

json_schema::~json_schema() = default;

std::vector<std::string> json_schema::validate(const json &Value) const {
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  if (Validator.validate(Implementation->Schema,
                         valijson::adapters::NlohmannJsonAdapter(Value),
                         &Results))
    return {};
  std::set<std::string> Problems;
  std::string Fallback = "does not satisfy the schema";
  for (const auto &Error : Results) {
    // The validator reports the error of an item once more for each container
    // around it, with this prefix.
    if (Error.description.starts_with("Failed to validate"))
      continue;
    Fallback = Error.description;
    const json *Node = &Value;
    const json *Schema = &Implementation->Text;
    std::string Pointer;
    for (std::size_t I = 1; I < Error.context.size(); ++I) {
      const std::string Element =
          Error.context[I].substr(1, Error.context[I].size() - 2);
      Pointer += "/" + escapePointer(Element);
      if (Node->is_array()) {
        Node = &Node->at(std::stoul(Element));
        Schema = &Schema->at("items");
      } else {
        Node = &Node->at(Element);
        Schema = &Schema->at("properties").at(Element);
      }
    }
    addProblems(*Schema, *Node, Pointer, Problems);
  }
  if (Problems.empty())
    Problems.insert("/: " + Fallback);
  return {Problems.begin(), Problems.end()};
}

} // namespace hyssopledge::protocol
