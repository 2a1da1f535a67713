/// \file
/// Commands that validate a document or update a head record, and failure
/// reporting.
#include "commands.h"
#include "hyssopledge/coordination/head_writer.h"
#include "session.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace hyssopledge::hyssopctl {

namespace {

using nlohmann::json;
using state::errc;
using state::failure;

std::string newOperationId() {
  std::random_device Device;
  std::string Raw;
  for (int I = 0; I < 16; ++I)
    Raw += static_cast<char>(Device());
  return protocol::hexEncode(Raw);
}

std::int64_t unixNowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the recovery steps that are printed with the failure.
std::string advice(const failure &Failure, int Code) {
  if (Code == ExitUnreachable)
    return "Nothing was changed. Check the endpoints and the platform, then "
           "repeat the command.";
  if (Code == ExitUnknown)
    return "Run \"hyssopctl status\" when the platform answers: the change "
           "took effect if the head names this operation. Repeating the "
           "command is safe; an unchanged document moves nothing.";
  if (Failure.is(errc::Conflict))
    return "Nothing was changed. Compare with \"hyssopctl diff\" and decide "
           "again.";
  if (Failure.is(errc::InvalidDocument) || Failure.is(errc::TooLarge))
    return "Nothing was changed. Correct the document and repeat the command.";
  if (Failure.is(errc::InvalidSettings))
    return "Nothing was done. Correct the settings file.";
  if (Failure.is(errc::NotFound))
    return "Nothing was changed.";
  return "Nothing was changed. Repeat the command; if it fails again, look at "
         "the records on the platform.";
}

int exitCode(const failure &Failure) {
  if (Failure.is(errc::Unavailable) || Failure.is(errc::Timeout))
    return ExitUnreachable;
  if (Failure.is(errc::OutcomeUnknown))
    return ExitUnknown;
  return Failure.is(errc::InvalidSettings) ? ExitUsage : ExitRefused;
}

state::result<state::document> readDocumentFile(const options &Options) {
  auto Text = readFile(Options.Arguments[0]);
  if (Text.has_error())
    return Text.error();
  return protocol::parseDocument(Text.value());
}

int reportAcceptedHead(
    const options &Options,
    const state::result<coordination::accepted_head> &Result) {
  if (Result.has_error())
    return reportFailure(Options, Result.error());
  const coordination::accepted_head &Accepted = Result.value();
  if (Options.Json) {
    std::cout << json{{"result", Accepted.Changed ? "accepted" : "unchanged"},
                      {"environment", Accepted.Head.environment()},
                      {"version", Accepted.Head.version()},
                      {"operation", Accepted.Head.operation_id()},
                      {"document_hash", Accepted.Head.document_hash()},
                      {"promoted_from", Accepted.Head.promoted_from()},
                      {"records_written", Accepted.PartsWritten}}
                     .dump()
              << "\n";
  } else if (Accepted.Changed) {
    std::cout << "Accepted: " << Accepted.Head.environment()
              << " is at version " << Accepted.Head.version();
    if (!Accepted.Head.promoted_from().empty())
      std::cout << ", promoted from " << Accepted.Head.promoted_from();
    std::cout << " (" << Accepted.PartsWritten
              << " records written). \"hyssopctl status --env "
              << Accepted.Head.environment()
              << " --wait\" says when it is in force everywhere.\n";
  } else {
    std::cout << "Unchanged: " << Accepted.Head.environment()
              << " holds this document already, at version "
              << Accepted.Head.version() << ". Nothing was moved.\n";
  }
  return ExitSuccess;
}

template <class F> int runWriter(const options &Options, F StartWrite) {
  session Session(Options);
  state::random_engine Random(std::random_device{}());
  coordination::head_writer Writer(Session.Client, Session.Timers, Random);
  return reportAcceptedHead(
      Options, Session.await<coordination::accepted_head>([&](auto Handler) {
        StartWrite(Writer, std::move(Handler));
      }));
}

} // namespace

int reportFailure(const options &Options, const failure &Failure) {
  const int Code = exitCode(Failure);
  const std::string Advice = advice(Failure, Code);
  if (Options.Json)
    std::cout << json{{"result", "failed"},
                      {"error", Failure.Code.message()},
                      {"detail", Failure.Detail},
                      {"advice", Advice},
                      {"exit_code", Code}}
                     .dump(-1, ' ', false, json::error_handler_t::replace)
              << "\n";
  else
    std::cerr << "hyssopctl " << Options.Command << ": " << Failure.text()
              << "\n"
              << Advice << "\n";
  return Code;
}

state::result<std::string> readFile(const std::string &Name) {
  std::ifstream File(Name, std::ios::binary);
  std::string Text(protocol::MaxDocumentBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  // Opening a directory succeeds; only the read fails.
  if (!File.is_open() || File.bad())
    return failure(errc::NotFound, "can't read the file " + Name);
  Text.resize(static_cast<std::size_t>(File.gcount()));
  return Text;
}

int validate(const options &Options) {
  auto Document = readDocumentFile(Options);
  if (Document.has_error())
    return reportFailure(Options, Document.error());
  const state::document &Valid = Document.value();
  const std::string Hash =
      protocol::hexEncode(protocol::sha256(protocol::formatDocument(Valid)));
  if (Options.Json)
    std::cout << json{{"result", "valid"},
                      {"environment", Valid.Environment},
                      {"services", Valid.Services.size()},
                      {"routes", Valid.Routes.size()},
                      {"document_hash", Hash}}
                     .dump()
              << "\n";
  else
    std::cout << "Valid: " << Options.Arguments[0] << " for "
              << Valid.Environment << " with " << Valid.Services.size()
              << " services and " << Valid.Routes.size() << " routes, hash "
              << Hash << ".\n";
  return ExitSuccess;
}

int trial(const options &Options) {
  auto Document = readDocumentFile(Options);
  if (Document.has_error())
    return reportFailure(Options, Document.error());
  state::document &TrialDocument = Document.value();
  // One file serves the trial environment and, after promotion, production.
  if (TrialDocument.Environment != coordination::TrialEnvironment &&
      TrialDocument.Environment != coordination::ProductionEnvironment)
    return reportFailure(
        Options, failure(errc::InvalidDocument,
                         "/environment: \"" + TrialDocument.Environment +
                             "\" is wrong; must be \"trial\" or "
                             "\"production\" to be tried and promoted"));
  TrialDocument.Environment = coordination::TrialEnvironment;
  return runWriter(Options, [&](auto &Writer, auto Handler) {
    Writer.accept(TrialDocument, Options.Settings.Author, newOperationId(),
                  unixNowMs(), std::move(Handler));
  });
}

int promote(const options &Options) {
  return runWriter(Options, [&](auto &Writer, auto Handler) {
    Writer.promote(Options.ExpectVersion, Options.Settings.Author,
                   newOperationId(), unixNowMs(), std::move(Handler));
  });
}

} // namespace hyssopledge::hyssopctl
