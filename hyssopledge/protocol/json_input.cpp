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
// The validator records two errors for each wrong item; a limit on items keeps
// its memory small whatever the input.
constexpr std::size_t MaxItems = 10'000;
constexpr std::size_t MaxProblems = 20;
constexpr std::size_t MaxShownBytes = 80;
constexpr std::size_t MaxSyntaxTextBytes = 200;

std::string cut(std::string Text, std::size_t Bytes) {
  if (Text.size() <= Bytes)
    return Text;
  // Cuts before a UTF-8 continuation byte would split a character.
  while (Bytes > 0 && (static_cast<unsigned char>(Text[Bytes]) & 0xC0U) == 0x80)
    --Bytes;
  return Text.substr(0, Bytes) + "...";
}

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

/// Checks what the parser itself accepts silently: duplicate keys (it keeps the
/// last one), depth and counts. Stops at the first failure.
class strict_reader final : public nlohmann::json_sax<json> {
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
  bool start_object(std::size_t /*Size*/) override { return open(true); }
  bool start_array(std::size_t /*Size*/) override { return open(false); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }

  bool key(std::string &Key) override {
    frame &Top = Frames.back();
    Top.Key = Key;
    if (!Top.Keys.insert(Key).second)
      return fail(pointer() + ": the key stands twice in its object; keep one");
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
    return fail("not JSON: " + cut(std::string(Text), MaxSyntaxTextBytes));
  }

private:
  struct frame {
    bool Object = false;
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
      Out += "/" + (Frame.Object ? escapePointer(Frame.Key)
                                 : std::to_string(Frame.Items - 1));
    return cut(std::move(Out), MaxSyntaxTextBytes);
  }

  bool countItem() {
    if (Frames.empty() || Frames.back().Object)
      return true;
    if (++Frames.back().Items > MaxItems)
      return fail(pointer() + ": the array has more than " +
                  std::to_string(MaxItems) + " items");
    return true;
  }

  bool open(bool Object) {
    if (!countItem())
      return false;
    if (Frames.size() == MaxDepth)
      return fail(pointer() + ": nested deeper than " +
                  std::to_string(MaxDepth) + " levels");
    Frames.emplace_back();
    Frames.back().Object = Object;
    return true;
  }

  bool close() {
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

std::string expectation(const json &Schema) {
  auto Found = Schema.find("description");
  return Found == Schema.end() ? "as the schema says"
                               : Found->get<std::string>();
}

/// Texts for one place where validation failed.
void explain(const json &Schema, const json &Value, const std::string &Pointer,
             std::set<std::string> &Texts) {
  const std::string Place = Pointer.empty() ? "/" : Pointer;
  if (!Value.is_object() || !Schema.contains("properties")) {
    Texts.insert(Place + ": " + shortText(Value) + " is wrong; must be " +
                 expectation(Schema));
    return;
  }
  const json &Known = Schema.at("properties");
  for (const auto &Item : Value.items())
    if (!Known.contains(Item.key()))
      Texts.insert(Pointer + "/" +
                   cut(escapePointer(Item.key()), MaxShownBytes) +
                   ": unknown key; known here: " + joinKeys(Known));
  if (Schema.contains("required"))
    for (const json &Key : Schema.at("required"))
      if (!Value.contains(Key.get<std::string>()))
        Texts.insert(Pointer + "/" + Key.get<std::string>() +
                     ": missing; must be " +
                     expectation(Known.at(Key.get<std::string>())));
}

} // namespace

const char *const NameRule =
    "1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit";

bool isName(std::string_view Text) {
  const auto Plain = [](char C) {
    return std::isalnum(static_cast<unsigned char>(C)) != 0;
  };
  return !Text.empty() && Text.size() <= 63 && Plain(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), [&Plain](char C) {
           return Plain(C) || C == '-' || C == '_' || C == '.';
         });
}

std::string shortText(const json &Value) {
  return cut(Value.dump(-1, ' ', false, json::error_handler_t::replace),
             MaxShownBytes);
}

state::failure problemsFailure(state::errc Code,
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
  strict_reader Reader;
  if (!json::sax_parse(Text, &Reader))
    return state::failure(Code, std::move(Reader.Problem));
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

std::vector<std::string> json_schema::problems(const json &Value) const {
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  if (Validator.validate(Implementation->Schema,
                         valijson::adapters::NlohmannJsonAdapter(Value),
                         &Results))
    return {};
  std::set<std::string> Texts;
  std::string Fallback = "does not fit the schema";
  for (const auto &Error : Results) {
    // A container repeats the error of its item in these words.
    if (Error.description.starts_with("Failed to validate"))
      continue;
    Fallback = Error.description;
    const json *Node = &Value;
    const json *Schema = &Implementation->Text;
    std::string Pointer;
    for (std::size_t I = 1; I < Error.context.size(); ++I) {
      const std::string Step =
          Error.context[I].substr(1, Error.context[I].size() - 2);
      Pointer += "/" + escapePointer(Step);
      if (Node->is_array()) {
        Node = &Node->at(std::stoul(Step));
        Schema = &Schema->at("items");
      } else {
        Node = &Node->at(Step);
        Schema = &Schema->at("properties").at(Step);
      }
    }
    explain(*Schema, *Node, Pointer, Texts);
  }
  if (Texts.empty())
    Texts.insert("/: " + Fallback);
  return {Texts.begin(), Texts.end()};
}

} // namespace hyssopledge::protocol
