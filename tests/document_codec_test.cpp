/// \file
/// Tests that a document is either accepted as a whole or rejected with the
/// location of each problem, and that its parts reassemble to the same
/// document.
#include "hyssopledge/protocol/document_codec.h"

#include "hyssopledge/protocol/generated/control.pb.h"
#include "support/random_document.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace hyssopledge;
using protocol::parseDocument;
using state::errc;

namespace {

const std::string ValidDocument = R"({"environment":"production","services":[
{"name":"reservations","versions":["v1","v2"],"stable":"v1",
 "rollout":{"to":"v2","complete_within_s":600,"initial_share":0.01,"max_unproven_share":0.05,"watch_afterward_s":600},
 "limits":{"slots":12,"connections":130,"queue_length":48}},
{"name":"sizing","versions":["v1"],"stable":"v1"}],
"routes":[{"name":"hold","path_prefix":"/reservations/hold","methods":["POST"],"service":"reservations",
 "idempotent":false,"timeout_ms":2000,"max_attempts":3},
 {"name":"size","path_prefix":"/sizing","service":"sizing"}],
"lease":{"initial_s":60,"growth":2.0,"max_s":7200}})";

struct edit_case {
  const char *From; // null: To replaces the whole text
  std::string To;
  errc Code;
  std::vector<std::string> Texts; // all must appear in the failure
};

std::string applyEdit(const edit_case &Case) {
  if (Case.From == nullptr)
    return Case.To;
  std::string Text = ValidDocument;
  const std::size_t At = Text.find(Case.From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, std::string_view(Case.From).size(), Case.To);
}

protocol::part_lookup
lookupIn(const std::map<std::string, std::string> &Parts) {
  return [&Parts](const std::string &Hash) -> std::optional<std::string> {
    auto Found = Parts.find(Hash);
    if (Found == Parts.end())
      return std::nullopt;
    return Found->second;
  };
}

std::map<std::string, std::string>
dataByHash(const protocol::split_document &Split) {
  std::map<std::string, std::string> Parts;
  for (const protocol::document_part &Part : Split.Parts)
    Parts[Part.Hash] = Part.Data;
  return Parts;
}

} // namespace

TEST_CASE("document codec reads every field and the defaults") {
  auto Parsed = parseDocument(ValidDocument);
  REQUIRE_MESSAGE(Parsed.has_value(), Parsed.error().text());
  const state::document &Document = Parsed.value();
  CHECK(Document.Environment == "production");
  REQUIRE(Document.Services.size() == 2);
  REQUIRE(Document.Services[0].Rollout);
  CHECK(Document.Services[0].Rollout->ToVersion == "v2");
  CHECK(Document.Services[0].Rollout->InitialShare == 0.01);
  CHECK(Document.Services[0].Limits.Connections == 130);
  CHECK_FALSE(Document.Services[1].Rollout);
  CHECK(Document.Services[1].Limits.Slots == 12);
  REQUIRE(Document.Routes.size() == 2);
  CHECK(Document.Routes[0].Methods == std::vector<std::string>{"POST"});
  CHECK(Document.Routes[1].Timeout == state::milliseconds(2000));
  CHECK(Document.Lease.MaxDuration == std::chrono::seconds(7200));
}

TEST_CASE("document codec reports pointer, value and rule of a problem") {
  const std::string Deep(500'000, '[');
  std::string Items = R"({"environment":"e","routes":[],"services":[0)";
  for (int I = 0; I < 20'000; ++I)
    Items += ",0";
  const edit_case Cases[] = {
      {"\"slots\":12",
       "\"slots\":0",
       errc::InvalidDocument,
       {"/services/0/limits/slots: 0 is wrong", "1 to 100000"}},
      {"\"slots\":12",
       "\"slots\":\"12\"",
       errc::InvalidDocument,
       {"/services/0/limits/slots: \"12\"", "whole number"}},
      {"\"slots\":12",
       "\"slots\":4294967297",
       errc::InvalidDocument,
       {"4294967297 is wrong"}},
      {"\"slots\":12", "\"slots\":1.5", errc::InvalidDocument, {"1.5"}},
      {"\"slots\":12", "\"slots\":1e999", errc::InvalidDocument, {"1e999"}},
      {"\"slots\":12",
       "\"slots\":12,\"slot\":1",
       errc::InvalidDocument,
       {"/services/0/limits/slot: unknown key", "connections"}},
      {"\"slots\":12",
       "\"slots\":12,\"slots\":13",
       errc::InvalidDocument,
       {"/services/0/limits/slots: duplicate key in its object"}},
      {"\"name\":\"sizing\",",
       "",
       errc::InvalidDocument,
       {"/services/1/name: missing", "name of the service"}},
      {"\"versions\":[\"v1\"]",
       "\"versions\":[]",
       errc::InvalidDocument,
       {"/services/1/versions: []", "at least one"}},
      {"\"stable\":\"v1\"}]",
       "\"stable\":\"v3\"}]",
       errc::InvalidDocument,
       {"/services/sizing/stable", "\"v3\""}},
      {"\"to\":\"v2\"",
       "\"to\":\"v9\"",
       errc::InvalidDocument,
       {"/rollout/to", "\"v9\""}},
      {"\"service\":\"sizing\"",
       "\"service\":\"sizes\"",
       errc::InvalidDocument,
       {"/routes/size/service", "\"sizes\""}},
      {"\"growth\":2.0",
       "\"growth\":0.5",
       errc::InvalidDocument,
       {"/lease/growth: 0.5", "1 to 10"}},
      {"\"production\"", "\"part\"", errc::InvalidDocument, {"reserved"}},
      {"\"production\"",
       "\"a/b\"",
       errc::InvalidDocument,
       {"/environment: \"a/b\"", "letters"}},
      {"\"/sizing\"",
       "\"/sizing?x\"",
       errc::InvalidDocument,
       {"/routes/1/path_prefix"}},
      {"\"/sizing\"",
       "\"/reservations/hold\"",
       errc::InvalidDocument,
       {"/routes/size/path_prefix", "route \"hold\" to another service"}},
      {"[\"POST\"]", "[\"post\"]", errc::InvalidDocument, {"capital letters"}},
      {"\"idempotent\":false",
       "\"idempotent\":0",
       errc::InvalidDocument,
       {"/routes/0/idempotent: 0 is wrong; must be true or false"}},
      {"\"lease\"", "\"\\u0000\"", errc::InvalidDocument, {"unknown key"}},
      {nullptr, "[]", errc::InvalidDocument, {"/: [] is wrong"}},
      {nullptr,
       "{}",
       errc::InvalidDocument,
       {"/environment: missing", "/routes: missing"}},
      {nullptr, "", errc::InvalidDocument, {"not JSON"}},
      {nullptr, ValidDocument + "x", errc::InvalidDocument, {"not JSON"}},
      {nullptr, "\"\xff\"", errc::InvalidDocument, {"not JSON"}},
      {nullptr, Deep, errc::InvalidDocument, {"nested deeper than 16"}},
      {nullptr, Items + "]}", errc::InvalidDocument, {"more than 10000"}},
      {nullptr,
       std::string(protocol::MaxDocumentBytes + 1, ' '),
       errc::TooLarge,
       {"1048577 bytes"}},
  };
  for (const edit_case &Case : Cases) {
    CAPTURE(Case.From);
    CAPTURE(Case.To.substr(0, 100));
    auto Parsed = parseDocument(applyEdit(Case));
    REQUIRE(Parsed.has_error());
    CHECK(Parsed.error().is(Case.Code));
    for (const std::string &Text : Case.Texts) {
      CAPTURE(Parsed.error().Detail);
      CHECK(Parsed.error().Detail.find(Text) != std::string::npos);
    }
  }
}

// A document just below the limit that omits its defaults exceeds the limit in
// its canonical form.
TEST_CASE("document codec limits the canonical form too") {
  std::string Text =
      R"({"environment":"e","services":[{"name":"s","versions":["v"],"stable":"v"}],"routes":[)";
  for (int I = 0; I < 9000; ++I)
    Text += (I == 0 ? "" : ",") + (R"({"name":"r)" + std::to_string(I)) +
            R"(","path_prefix":"/)" + std::to_string(I) + R"(","service":"s"})";
  auto Parsed = parseDocument(Text + "]}");
  REQUIRE(Parsed.has_error());
  CHECK(Parsed.error().is(errc::TooLarge));
}

TEST_CASE("document codec round-trips each document through JSON and parts") {
  CHECK(rc::check([](std::uint64_t Seed) {
    state::random_engine Engine(Seed);
    const state::document Document = tests::randomDocument(
        Engine, state::uniformBelow(Engine, 6), state::uniformBelow(Engine, 5));
    const std::string Json = protocol::formatDocument(Document);
    auto Parsed = parseDocument(Json);
    RC_ASSERT(Parsed.has_value());
    RC_ASSERT(protocol::formatDocument(Parsed.value()) == Json);
    const auto Split = protocol::splitDocument(Document);
    const auto Parts = dataByHash(Split);
    auto Joined = protocol::joinParts(Split.Manifest, lookupIn(Parts));
    RC_ASSERT(Joined.has_value());
    RC_ASSERT(protocol::formatDocument(Joined.value()) == Json);
    RC_ASSERT(protocol::splitDocument(Joined.value()).ManifestHash ==
              Split.ManifestHash);
  }));
}

TEST_CASE("document codec changes one part when one service changes") {
  struct change_case {
    const char *Name;
    void (*Change)(state::document &);
    const char *Part;
  };
  const change_case Cases[] = {
      {"limits", [](auto &D) { D.Services[2].Limits.Slots = 99; },
       "service/service-2"},
      {"route", [](auto &D) { D.Routes[3].Timeout = state::milliseconds(9); },
       "service/service-1"},
      {"route removed", [](auto &D) { D.Routes.erase(D.Routes.begin()); },
       "service/service-0"},
      {"lease", [](auto &D) { D.Lease.Growth = 1.25; }, "environment"},
  };
  state::random_engine Engine(7);
  const state::document Document = tests::randomDocument(Engine, 4, 3);
  const auto Before = dataByHash(protocol::splitDocument(Document));
  for (const change_case &Case : Cases) {
    CAPTURE(Case.Name);
    state::document Changed = Document;
    Case.Change(Changed);
    const auto After = protocol::splitDocument(Changed);
    auto Missing = protocol::missingParts(After.Manifest, lookupIn(Before));
    REQUIRE(Missing.has_value());
    REQUIRE(Missing.value().size() == 1);
    for (const protocol::document_part &Part : After.Parts)
      if (Part.Hash == Missing.value()[0])
        CHECK(Part.Name == Case.Part);
  }
}

TEST_CASE("document codec rejects parts that differ from the manifest") {
  state::random_engine Engine(7);
  const auto Split =
      protocol::splitDocument(tests::randomDocument(Engine, 2, 2));
  const auto OriginalParts = dataByHash(Split);
  const auto Join = [&](const std::map<std::string, std::string> &Parts,
                        const control::manifest &Manifest) {
    return protocol::joinParts(Manifest.SerializeAsString(), lookupIn(Parts));
  };
  control::manifest Manifest;
  REQUIRE(Manifest.ParseFromString(Split.Manifest));

  auto Parts = OriginalParts;
  Parts[Split.Parts[1].Hash][5] ^= 1;
  CHECK(Join(Parts, Manifest).error().is(errc::InvalidMessage));
  Parts.erase(Split.Parts[1].Hash);
  CHECK(Join(Parts, Manifest).error().is(errc::NotFound));

  struct manifest_case {
    const char *Name;
    void (*Change)(control::manifest &);
    errc Code;
  };
  const manifest_case Cases[] = {
      {"no environment",
       [](auto &M) { M.mutable_parts()->DeleteSubrange(0, 1); },
       errc::InvalidDocument},
      {"a service twice", [](auto &M) { *M.add_parts() = M.parts(1); },
       errc::InvalidDocument},
      {"part under another name",
       [](auto &M) { M.mutable_parts(1)->set_name("service/service-1"); },
       errc::InvalidMessage},
      {"service as environment",
       [](auto &M) { M.mutable_parts(1)->set_name("environment"); },
       errc::InvalidDocument},
      {"short hash", [](auto &M) { M.mutable_parts(1)->set_hash("x"); },
       errc::InvalidMessage},
      {"empty", [](auto &M) { M.Clear(); }, errc::InvalidMessage},
  };
  for (const manifest_case &Case : Cases) {
    CAPTURE(Case.Name);
    control::manifest Changed = Manifest;
    Case.Change(Changed);
    auto Joined = Join(OriginalParts, Changed);
    REQUIRE(Joined.has_error());
    CHECK_MESSAGE(Joined.error().is(Case.Code), Joined.error().text());
  }
}

// Invalid input must not crash the codec, and an accepted document must survive
// a round trip.
TEST_CASE("document codec handles truncated and mutated input") {
  CHECK(rc::check([](std::uint64_t Seed) {
    state::random_engine Engine(Seed);
    const auto Mutate = [&Engine](std::string Text) {
      for (std::uint64_t N = state::uniformBelow(Engine, 4); N > 0; --N)
        Text[state::uniformBelow(Engine, Text.size())] =
            static_cast<char>(Engine());
      if (state::uniformBelow(Engine, 2) == 0)
        Text.resize(state::uniformBelow(Engine, Text.size()));
      return Text;
    };
    const auto Accept = [](const state::result<state::document> &Result) {
      if (Result.has_error())
        return !Result.error().Detail.empty();
      const std::string Json = protocol::formatDocument(Result.value());
      auto Again = parseDocument(Json);
      return Again.has_value() &&
             protocol::formatDocument(Again.value()) == Json;
    };
    const auto Split =
        protocol::splitDocument(tests::randomDocument(Engine, 3, 2));
    const auto Parts = dataByHash(Split);
    RC_ASSERT(Accept(parseDocument(Mutate(ValidDocument))));
    const std::string Manifest = Mutate(Split.Manifest);
    (void)protocol::missingParts(Manifest, lookupIn(Parts));
    RC_ASSERT(Accept(protocol::joinParts(Manifest, lookupIn(Parts))));
  }));
}
