/// \file
/// Cost of changing one service in a document: bytes sent to each daemon, time
/// to encode and check, and platform calls.
#include "bench/bench.h"
#include "hyssopledge/coordination/head_writer.h"
#include "hyssopledge/protocol/document_codec.h"
#include "hyssopledge/state/snapshot.h"
#include "tests/support/fake_platform.h"
#include "tests/support/manual_timer_service.h"

#include <chrono>
#include <map>
#include <zlib.h>

namespace hyssopledge::bench {

namespace {

constexpr double ChangesPerDay = 1300;
constexpr double SecondsPerDay = 86'400;
// Each hash, with its length prefix, is in the fetch request and the response.
constexpr std::size_t BytesPerFetchedHash = 2 * 34;

struct size_case {
  const char *Name;
  std::size_t Services;
  std::size_t RoutesPerService;
};

constexpr size_case Sizes[] = {
    {"4 services", 4, 3},
    {"110 services", 110, 5},
    {"110 services near 1 MB", 110, 58},
};

state::document makeDocument(const size_case &Size,
                             state::random_engine &Engine) {
  state::document Document;
  Document.Environment = "production";
  for (std::size_t S = 0; S < Size.Services; ++S) {
    state::service_spec Service;
    Service.Name = "service-" + std::to_string(S);
    Service.Versions = {"v1", "v2"};
    Service.StableVersion = "v1";
    Service.Limits.Slots =
        static_cast<std::uint32_t>(1 + state::uniformBelow(Engine, 64));
    for (std::size_t R = 0; R < Size.RoutesPerService; ++R) {
      state::route_spec Route;
      Route.Name = Service.Name + "-" + std::to_string(R);
      Route.PathPrefix = "/" + Service.Name + "/" + std::to_string(R);
      Route.Methods = {R % 2 == 0 ? "GET" : "POST"};
      Route.Service = Service.Name;
      Route.Idempotent = R % 2 == 0;
      Route.Timeout =
          state::milliseconds(state::uniformBelow(Engine, 3000) + 1);
      Document.Routes.push_back(std::move(Route));
    }
    Document.Services.push_back(std::move(Service));
  }
  return Document;
}

void changeOneService(state::document &Document, state::random_engine &Engine) {
  state::service_spec &Service =
      Document.Services[state::uniformBelow(Engine, Document.Services.size())];
  Service.Limits.Slots = Service.Limits.Slots % 1000 + 1;
}

std::size_t compressedSize(const std::string &Text) {
  uLongf Size = compressBound(Text.size());
  std::string Out(Size, '\0');
  if (compress2(reinterpret_cast<Bytef *>(Out.data()), &Size,
                reinterpret_cast<const Bytef *>(Text.data()), Text.size(),
                Z_DEFAULT_COMPRESSION) != Z_OK)
    return Text.size();
  return Size;
}

template <class F> double meanDurationMs(unsigned Repetitions, F Function) {
  const auto Start = std::chrono::steady_clock::now();
  for (unsigned I = 0; I < Repetitions; ++I)
    Function();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - Start)
             .count() /
         Repetitions;
}

/// Parts stored by a daemon, by hash.
using part_store = std::map<std::string, std::string>;

protocol::part_lookup lookupIn(const part_store &Parts) {
  return [&Parts](const std::string &Hash) -> std::optional<std::string> {
    auto Found = Parts.find(Hash);
    if (Found == Parts.end())
      return std::nullopt;
    return Found->second;
  };
}

void addTransferBytes(const size_case &Size, const options &Options,
                      std::vector<row> &Rows) {
  state::random_engine Engine(Options.Seed);
  state::document Document = makeDocument(Size, Engine);
  part_store Parts;
  const auto StoreParts = [&Parts](const protocol::split_document &Split) {
    for (const protocol::document_part &Part : Split.Parts)
      Parts[Part.Hash] = Part.Data;
  };
  StoreParts(protocol::splitDocument(Document));
  const unsigned Changes = Options.Quick ? 5 : 50;
  double PartBytes = 0;
  double WholeBytes = 0;
  double CompressedBytes = 0;
  for (unsigned I = 0; I < Changes; ++I) {
    changeOneService(Document, Engine);
    const protocol::split_document Split = protocol::splitDocument(Document);
    const auto Missing =
        protocol::missingParts(Split.Manifest, lookupIn(Parts));
    StoreParts(Split);
    PartBytes +=
        static_cast<double>(Split.Manifest.size() + BytesPerFetchedHash);
    for (const std::string &Hash : Missing.value())
      PartBytes +=
          static_cast<double>(Parts[Hash].size() + BytesPerFetchedHash);
    const std::string Json = protocol::formatDocument(Document);
    WholeBytes += static_cast<double>(Json.size());
    CompressedBytes += static_cast<double>(compressedSize(Json));
  }
  const std::string Prefix = std::string("documents/") + Size.Name + "/";
  const auto Add = [&](const std::string &Name, const std::string &Unit,
                       double Factor, const char *Target) {
    Rows.push_back({Prefix + Name, Unit, PartBytes * Factor,
                    WholeBytes * Factor, "whole document", Target});
    Rows.push_back({Prefix + Name + " (compressed baseline)", Unit,
                    PartBytes * Factor, CompressedBytes * Factor,
                    "whole document, zlib", Target});
  };
  Add("bytes for a change", "B", 1.0 / Changes, "");
  Add("bytes a second at 1300 changes a day", "B/s",
      ChangesPerDay / SecondsPerDay / Changes, "17000 for all control traffic");
}

void addCodecTimes(const size_case &Size, const options &Options,
                   std::vector<row> &Rows) {
  state::random_engine Engine(Options.Seed);
  const state::document Document = makeDocument(Size, Engine);
  const std::string Json = protocol::formatDocument(Document);
  const protocol::split_document Split = protocol::splitDocument(Document);
  part_store Parts;
  for (const protocol::document_part &Part : Split.Parts)
    Parts[Part.Hash] = Part.Data;
  const unsigned Repetitions = Options.Quick ? 1 : 10;
  const std::string Prefix = std::string("documents/") + Size.Name + "/";
  const auto Add = [&](const char *Name, auto Function) {
    Rows.push_back({Prefix + Name, "ms", meanDurationMs(Repetitions, Function),
                    0, "", ""});
  };
  Rows.push_back({Prefix + "canonical size", "B",
                  static_cast<double>(Json.size()), 0, "", "at most 1048576"});
  Add("parse and check",
      [&] { return protocol::parseDocument(Json).has_value(); });
  Add("check references",
      [&] { return state::checkDocument(Document).empty(); });
  Add("split", [&] { return protocol::splitDocument(Document); });
  Add("join and check", [&] {
    return protocol::joinParts(Split.Manifest, lookupIn(Parts)).has_value();
  });
}

void addPlatformCalls(const size_case &Size, const options &Options,
                      std::vector<row> &Rows) {
  state::random_engine Engine(Options.Seed);
  state::document Document = makeDocument(Size, Engine);
  tests::manual_timer_service Timers;
  tests::fake_platform Platform([&Timers] { return Timers.now(); });
  coordination::head_writer Writer(Platform, Timers, Engine);
  const auto CountAcceptCalls = [&](unsigned OperationNumber) {
    Platform.Calls = 0;
    bool Accepted = false;
    Writer.accept(Document, "bench", "op-" + std::to_string(OperationNumber), 0,
                  [&](const auto &Result) { Accepted = Result.has_value(); });
    Platform.run();
    return Accepted ? static_cast<double>(Platform.Calls) : -1;
  };
  const std::string Prefix = std::string("documents/") + Size.Name + "/";
  Rows.push_back({Prefix + "platform calls for the first document", "calls",
                  CountAcceptCalls(0), 0, "", ""});
  changeOneService(Document, Engine);
  Rows.push_back({Prefix + "platform calls for a change", "calls",
                  CountAcceptCalls(1), 2,
                  "read and compare-and-swap of the whole document", ""});
}

std::vector<row> benchDocuments(const options &Options) {
  std::vector<row> Rows;
  for (const size_case &Size : Sizes) {
    addTransferBytes(Size, Options, Rows);
    addCodecTimes(Size, Options, Rows);
    addPlatformCalls(Size, Options, Rows);
  }
  return Rows;
}

const registration Register("documents", benchDocuments);

} // namespace

} // namespace hyssopledge::bench
