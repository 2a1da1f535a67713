/// \file
/// Read-only commands: status, explain and diff.
#include "commands.h"
#include "hyssopledge/coordination/head_writer.h"
#include "hyssopledge/coordination/keys.h"
#include "hyssopledge/state/routing_view.h"
#include "session.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace hyssopledge::hyssopctl {

namespace {

using nlohmann::json;
using state::errc;
using state::failure;

constexpr auto PollInterval = std::chrono::milliseconds(500);

std::string formatTime(std::int64_t UnixMs) {
  const std::time_t Seconds = UnixMs / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  return {Text, std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &Parts)};
}

void print(const json &Json) {
  std::cout << Json.dump(-1, ' ', false, json::error_handler_t::replace)
            << "\n";
}

const char *phaseText(std::uint32_t Phase) {
  switch (static_cast<state::rollout_phase>(Phase)) {
  case state::rollout_phase::Running:
    return "running";
  case state::rollout_phase::Watching:
    return "complete, watched";
  case state::rollout_phase::Done:
    return "done";
  case state::rollout_phase::RolledBack:
    return "rolled back";
  }
  return "unknown";
}

//-----------------------------------------------------------------------------
// status
//-----------------------------------------------------------------------------

struct environment_status {
  control::head Head;
  control::convergence Convergence;
  std::vector<control::rollout_record> Rollouts;

  bool converged() const {
    return Convergence.version() == Head.version() &&
           Convergence.in_force_everywhere();
  }
};

template <class T>
state::result<bool> parseRecord(const coordination::platform_entry &Entry,
                                T &Record) {
  if (!Record.ParseFromString(Entry.Value))
    return failure(errc::InvalidMessage,
                   "the record " + Entry.Key + " can't be decoded");
  return true;
}

state::result<environment_status> readStatus(session &Session,
                                             const std::string &Environment) {
  environment_status Status;
  auto Head = Session.get(coordination::keys::head(Environment), false);
  if (Head.has_error())
    return Head.error();
  if (Head.value().Entries.empty())
    return failure(errc::NotFound,
                   "environment " + Environment + " has no accepted document");
  if (auto Read = parseRecord(Head.value().Entries[0], Status.Head);
      Read.has_error())
    return Read.error();
  auto ConvergenceRecord =
      Session.get(coordination::keys::convergence(Environment), false);
  if (ConvergenceRecord.has_error())
    return ConvergenceRecord.error();
  if (!ConvergenceRecord.value().Entries.empty())
    if (auto Read = parseRecord(ConvergenceRecord.value().Entries[0],
                                Status.Convergence);
        Read.has_error())
      return Read.error();
  auto Rollouts =
      Session.get(coordination::keys::rolloutsPrefix(Environment), true);
  if (Rollouts.has_error())
    return Rollouts.error();
  for (const coordination::platform_entry &Entry : Rollouts.value().Entries)
    if (auto Read = parseRecord(Entry, Status.Rollouts.emplace_back());
        Read.has_error())
      return Read.error();
  return Status;
}

std::string convergenceText(const environment_status &Status) {
  const control::convergence &ConvergenceRecord = Status.Convergence;
  if (ConvergenceRecord.version() != Status.Head.version())
    return "no statement about version " +
           std::to_string(Status.Head.version()) +
           " yet; the coordinator has not written one";
  std::string Text = std::to_string(ConvergenceRecord.acknowledged()) + " of " +
                     std::to_string(ConvergenceRecord.members()) +
                     " daemons have applied it, the leases of " +
                     std::to_string(ConvergenceRecord.lease_ended()) +
                     " have ended";
  if (ConvergenceRecord.in_force_everywhere())
    return "in force everywhere since " +
           formatTime(ConvergenceRecord.stated_unix_ms()) + " (" + Text + ")";
  for (int I = 0; I < ConvergenceRecord.waiting_for_size(); ++I)
    Text +=
        (I == 0 ? "; waiting for " : ", ") + ConvergenceRecord.waiting_for(I);
  return "not in force everywhere yet: " + Text;
}

json toJson(const environment_status &Status) {
  json Rollouts = json::array();
  for (const control::rollout_record &Rollout : Status.Rollouts)
    Rollouts.push_back({{"service", Rollout.service()},
                        {"from", Rollout.from_version()},
                        {"to", Rollout.to_version()},
                        {"share", Rollout.share()},
                        {"phase", phaseText(Rollout.phase())}});
  const control::convergence &ConvergenceRecord = Status.Convergence;
  return {{"environment", Status.Head.environment()},
          {"version", Status.Head.version()},
          {"operation", Status.Head.operation_id()},
          {"author", Status.Head.author()},
          {"accepted", formatTime(Status.Head.accepted_unix_ms())},
          {"promoted_from", Status.Head.promoted_from()},
          {"document_hash", Status.Head.document_hash()},
          {"in_force_everywhere", Status.converged()},
          {"convergence",
           {{"version", ConvergenceRecord.version()},
            {"members", ConvergenceRecord.members()},
            {"acknowledged", ConvergenceRecord.acknowledged()},
            {"lease_ended", ConvergenceRecord.lease_ended()},
            {"waiting_for",
             std::vector<std::string>(ConvergenceRecord.waiting_for().begin(),
                                      ConvergenceRecord.waiting_for().end())}}},
          {"rollouts", Rollouts}};
}

void printText(const environment_status &Status) {
  std::cout << Status.Head.environment() << ": version "
            << Status.Head.version() << ", accepted "
            << formatTime(Status.Head.accepted_unix_ms()) << " from \""
            << Status.Head.author() << "\", operation "
            << Status.Head.operation_id();
  if (!Status.Head.promoted_from().empty())
    std::cout << ", promoted from " << Status.Head.promoted_from();
  std::cout << "\nconvergence: " << convergenceText(Status) << "\n";
  for (const control::rollout_record &Rollout : Status.Rollouts)
    std::cout << "rollout of " << Rollout.service() << ": "
              << Rollout.from_version() << " -> " << Rollout.to_version()
              << ", share " << Rollout.share() * 100 << "%, "
              << phaseText(Rollout.phase()) << "\n";
}

//-----------------------------------------------------------------------------
// diff
//-----------------------------------------------------------------------------

struct compared_document {
  std::string Name;
  state::document Document;
};

state::result<compared_document>
readComparedDocument(session &Session, const std::string &Environment) {
  auto Stored = Session.await<coordination::stored_document>([&](auto Handler) {
    coordination::readDocument(Session.Client, Environment, std::move(Handler));
  });
  if (Stored.has_error())
    return Stored.error();
  return compared_document{Environment + "@" +
                               std::to_string(Stored.value().Head.version()),
                           std::move(Stored.value().Document)};
}

/// Converts the lists of services and routes into objects keyed by name, so
/// that an inserted element shows up as a single change.
json indexByName(const state::document &Document) {
  json Json = json::parse(protocol::formatDocument(Document));
  // Documents of different environments always differ in this field.
  Json.erase("environment");
  for (const char *List : {"services", "routes"}) {
    json Named = json::object();
    for (json &Item : Json[List])
      Named[Item["name"].get<std::string>()] = Item;
    Json[List] = std::move(Named);
  }
  return Json;
}

struct change {
  std::string Path; // JSON pointer
  json Old;         // null: added
  json New;         // null: removed
};

void compare(const std::string &Path, const json &Old, const json &New,
             std::vector<change> &Changes) {
  if (!Old.is_object() || !New.is_object()) {
    if (Old != New)
      Changes.push_back({Path, Old, New});
    return;
  }
  std::map<std::string, std::pair<json, json>> Keys;
  for (const auto &Item : Old.items())
    Keys[Item.key()].first = Item.value();
  for (const auto &Item : New.items())
    Keys[Item.key()].second = Item.value();
  for (const auto &[Key, Values] : Keys)
    compare(std::string(Path).append("/").append(Key), Values.first,
            Values.second, Changes);
}

} // namespace

int status(const options &Options) {
  session Session(Options);
  const auto Deadline = std::chrono::steady_clock::now() + Options.Timeout;
  auto Status = readStatus(Session, Options.Environment);
  while (Options.Wait &&
         (Status.has_error() ? Status.error().is(errc::Unavailable) ||
                                   Status.error().is(errc::Timeout)
                             : !Status.value().converged()) &&
         std::chrono::steady_clock::now() < Deadline) {
    Session.sleep(PollInterval);
    Status = readStatus(Session, Options.Environment);
  }
  if (Status.has_error())
    return reportFailure(Options, Status.error());
  if (Options.Json)
    print(toJson(Status.value()));
  else
    printText(Status.value());
  if (!Options.Wait || Status.value().converged())
    return ExitSuccess;
  if (!Options.Json)
    std::cerr << "hyssopctl status: not in force everywhere within "
              << Options.Timeout.count()
              << " s. The version stays accepted and goes on spreading; look "
                 "at the daemons that are waited for.\n";
  return ExitRefused;
}

int explain(const options &Options) {
  session Session(Options);
  const std::string &Service = Options.Arguments[0];
  auto Read = Session.get(
      coordination::keys::rollout(Options.Environment, Service), false);
  if (Read.has_error())
    return reportFailure(Options, Read.error());
  if (Read.value().Entries.empty())
    return reportFailure(
        Options,
        failure(errc::NotFound, "no rollout of service " + Service +
                                    " is recorded in " + Options.Environment));
  control::rollout_record Rollout;
  if (auto Parsed = parseRecord(Read.value().Entries[0], Rollout);
      Parsed.has_error())
    return reportFailure(Options, Parsed.error());
  if (Options.Json) {
    json Decisions = json::array();
    for (const control::decision &Decision : Rollout.decisions())
      Decisions.push_back({{"time", formatTime(Decision.unix_ms())},
                           {"rule", Decision.rule()},
                           {"seen", Decision.seen()},
                           {"action", Decision.action()}});
    print({{"service", Rollout.service()},
           {"from", Rollout.from_version()},
           {"to", Rollout.to_version()},
           {"share", Rollout.share()},
           {"phase", phaseText(Rollout.phase())},
           {"started", formatTime(Rollout.started_unix_ms())},
           {"decisions", Decisions}});
    return ExitSuccess;
  }
  std::cout << Rollout.service() << ": " << Rollout.from_version() << " -> "
            << Rollout.to_version() << ", share " << Rollout.share() * 100
            << "%, " << phaseText(Rollout.phase()) << ", started "
            << formatTime(Rollout.started_unix_ms()) << " by version "
            << Rollout.generation() << "\n";
  for (const control::decision &Decision : Rollout.decisions())
    std::cout << formatTime(Decision.unix_ms()) << "  rule " << Decision.rule()
              << "\n  seen: " << Decision.seen()
              << "\n  done: " << Decision.action() << "\n";
  if (Rollout.decisions().empty())
    std::cout << "no decisions are recorded yet\n";
  return ExitSuccess;
}

int diff(const options &Options) {
  session Session(Options);
  auto Old = readComparedDocument(Session, Options.To);
  if (Old.has_error() && !Old.error().is(errc::NotFound))
    return reportFailure(Options, Old.error());
  compared_document New;
  if (!Options.Arguments.empty()) {
    auto Text = readFile(Options.Arguments[0]);
    if (Text.has_error())
      return reportFailure(Options, Text.error());
    auto Document = protocol::parseDocument(Text.value());
    if (Document.has_error())
      return reportFailure(Options, Document.error());
    New = {Options.Arguments[0], std::move(Document.value())};
  } else {
    auto From = readComparedDocument(Session, Options.From);
    if (From.has_error())
      return reportFailure(Options, From.error());
    New = std::move(From.value());
  }
  std::vector<change> Changes;
  const std::string OldName =
      Old.has_value() ? Old.value().Name : Options.To + " (nothing accepted)";
  compare("",
          Old.has_value()
              ? indexByName(Old.value().Document)
              : json{{"services", json::object()}, {"routes", json::object()}},
          indexByName(New.Document), Changes);
  if (Options.Json) {
    json List = json::array();
    for (const change &Change : Changes)
      List.push_back(
          {{"path", Change.Path}, {"old", Change.Old}, {"new", Change.New}});
    print({{"from", New.Name}, {"to", OldName}, {"changes", List}});
    return ExitSuccess;
  }
  std::cout << OldName << " -> " << New.Name << ": "
            << (Changes.empty() ? "no difference"
                                : std::to_string(Changes.size()) + " changes")
            << "\n";
  for (const change &Change : Changes) {
    if (!Change.Old.is_null())
      std::cout << "- " << Change.Path << " " << Change.Old.dump() << "\n";
    if (!Change.New.is_null())
      std::cout << "+ " << Change.Path << " " << Change.New.dump() << "\n";
  }
  return ExitSuccess;
}

} // namespace hyssopledge::hyssopctl
