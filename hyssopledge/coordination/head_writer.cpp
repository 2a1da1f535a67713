#include "hyssopledge/coordination/head_writer.h"

#include "hyssopledge/coordination/keys.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hyssopledge::coordination {

namespace {

using protocol::hexEncode;
using state::errc;
using state::failure;

// Below etcd's limits of 128 operations and 1.5 MB for one transaction.
constexpr std::size_t MaxBatchParts = 64;
constexpr std::size_t MaxBatchBytes = 1024 * 1024;
// Enough versions to outlast all retries of a writer, even if operators'
// scripts write many versions in a minute.
constexpr std::uint64_t MaxHistoryRecords = 1000;

std::string formatTime(std::int64_t UnixMs) {
  const std::time_t Seconds = UnixMs / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  const std::size_t Size =
      std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return {Text, Size};
}

std::string describeHead(const control::head &Head) {
  return "version " + std::to_string(Head.version()) + " of " +
         Head.environment() + ", accepted from \"" + Head.author() + "\" at " +
         formatTime(Head.accepted_unix_ms());
}

bool isTransient(const failure &Failure) {
  return Failure.is(errc::Unavailable) || Failure.is(errc::Timeout);
}

failure unreadable(const std::string &Key) {
  return {errc::InvalidMessage,
          "the record " + Key +
              " can't be decoded; it was not written by this program"};
}

/// One acceptance, from the first read to the result.
class accept_operation : public std::enable_shared_from_this<accept_operation> {
public:
  accept_operation(platform_store &Platform, state::timer_service &Timers,
                   state::random_engine &Random,
                   const head_writer_settings &Settings,
                   const state::document &Document, control::head Head,
                   head_writer::handler Handler)
      : Platform(Platform), Timers(Timers), Random(Random), Settings(Settings),
        Split(protocol::splitDocument(Document)), NewHead(std::move(Head)),
        Handler(std::move(Handler)), HeadKey(keys::head(Document.Environment)) {
    NewHead.set_environment(Document.Environment);
    NewHead.set_manifest_hash(Split.ManifestHash);
    NewHead.set_document_hash(
        hexEncode(protocol::sha256(protocol::formatDocument(Document))));
  }

  void start() { readHead(); }

private:
  //--- Preparation ------------------------------------------------------------
  void readHead() {
    Platform.get(HeadKey, false, [Self = shared_from_this()](const auto &Read) {
      if (Read.has_error())
        return Self->retry(Read.error(), &accept_operation::readHead);
      Self->onHeadRead(Read.value());
    });
  }

  void onHeadRead(const platform_read &Read) {
    if (!Read.Entries.empty()) {
      CurrentHeadRevision = Read.Entries[0].ModRevision;
      if (!CurrentHead.ParseFromString(Read.Entries[0].Value))
        return fail(unreadable(HeadKey));
    }
    if (CurrentHead.operation_id() == NewHead.operation_id())
      return succeed(CurrentHead, true);
    if (CurrentHead.version() > 0 &&
        CurrentHead.document_hash() == NewHead.document_hash())
      return succeed(CurrentHead, false);
    NewHead.set_version(CurrentHead.version() + 1);
    HistoryKey = keys::history(NewHead.environment(), NewHead.version());
    Attempts = 0;
    if (CurrentHead.version() == 0)
      return planParts({});
    readManifest();
  }

  void readManifest() {
    Platform.get(
        keys::part(hexEncode(CurrentHead.manifest_hash())), false,
        [Self = shared_from_this()](const auto &Read) {
          if (Read.has_error())
            return Self->retry(Read.error(), &accept_operation::readManifest);
          control::manifest Manifest;
          // If the manifest is missing, at worst every part is written again.
          if (!Read.value().Entries.empty())
            (void)Manifest.ParseFromString(Read.value().Entries[0].Value);
          Self->planParts(Manifest);
        });
  }

  void planParts(const control::manifest &Known) {
    std::set<std::string> Hashes;
    for (const control::part_ref &Part : Known.parts())
      Hashes.insert(Part.hash());
    for (const protocol::document_part &Part : Split.Parts)
      if (Hashes.insert(Part.Hash).second)
        MissingParts.push_back(
            {keys::part(hexEncode(Part.Hash)), Part.Data, 0});
    if (CurrentHead.manifest_hash() != Split.ManifestHash)
      MissingParts.push_back(
          {keys::part(hexEncode(Split.ManifestHash)), Split.Manifest, 0});
    writeParts();
  }

  void writeParts() {
    if (MissingParts.empty()) {
      Attempts = 0;
      return moveHead();
    }
    platform_txn Txn;
    std::size_t Bytes = 0;
    const std::size_t Limit = SinglePartWrites > 0 ? 1 : MaxBatchParts;
    for (const platform_txn::put &Part : MissingParts) {
      Bytes += Part.Value.size();
      if (!Txn.Puts.empty() &&
          (Txn.Puts.size() == Limit || Bytes > MaxBatchBytes))
        break;
      Txn.Puts.push_back(Part);
      Txn.Conditions.push_back({Part.Key, 0});
    }
    const std::size_t Count = Txn.Puts.size();
    Platform.commit(
        std::move(Txn), [Self = shared_from_this(), Count](const auto &Result) {
          if (Result.has_error())
            return Self->retry(Result.error(), &accept_operation::writeParts);
          Self->onPartsWritten(Count, Result.value().Succeeded);
        });
  }

  void onPartsWritten(std::size_t Count, bool Written) {
    if (!Written && Count > 1) {
      // Some of the parts exist already, from an older version or from an
      // attempt whose response was lost.
      SinglePartWrites = Count;
      return writeParts();
    }
    // The key of a part is the hash of its content, so an existing part needs
    // no write.
    MissingParts.erase(MissingParts.begin(),
                       MissingParts.begin() +
                           static_cast<std::ptrdiff_t>(Count));
    PartsWritten += Written ? static_cast<std::uint32_t>(Count) : 0;
    SinglePartWrites = SinglePartWrites > 0 ? SinglePartWrites - 1 : 0;
    Attempts = 0;
    writeParts();
  }

  //--- Head -------------------------------------------------------------------
  void moveHead() {
    platform_txn Txn;
    Txn.Conditions.push_back({HeadKey, CurrentHeadRevision});
    const std::string Bytes = NewHead.SerializeAsString();
    Txn.Puts.push_back({HeadKey, Bytes, 0});
    Txn.Puts.push_back({HistoryKey, Bytes, 0});
    if (NewHead.version() > MaxHistoryRecords)
      Txn.Deletes.push_back(keys::history(
          NewHead.environment(), NewHead.version() - MaxHistoryRecords));
    Platform.commit(std::move(Txn), [Self = shared_from_this()](
                                        const auto &Result) {
      if (Result.has_error()) {
        Self->MayHaveMoved =
            Self->MayHaveMoved || Result.error().is(errc::Timeout);
        return Self->retry(Result.error(), Self->MayHaveMoved
                                               ? &accept_operation::readBack
                                               : &accept_operation::moveHead);
      }
      if (Result.value().Succeeded)
        return Self->succeed(Self->NewHead, true);
      Self->HeadChanged = true;
      Self->readBack();
    });
  }

  /// Reads the history record of the new version, which identifies its writer.
  void readBack() {
    Platform.get(
        HistoryKey, false, [Self = shared_from_this()](const auto &Read) {
          if (Read.has_error())
            return Self->retry(Read.error(), &accept_operation::readBack);
          Self->onReadBack(Read.value());
        });
  }

  void onReadBack(const platform_read &Read) {
    if (Read.Entries.empty() && !HeadChanged) {
      // The version is not written yet. The lost write may still take effect;
      // it and the next one expect the same revision, so only one of them
      // succeeds.
      return retry(failure(errc::Timeout, "no answer from the platform"),
                   &accept_operation::moveHead);
    }
    control::head Winner;
    if (Read.Entries.empty()) {
      if (MayHaveMoved)
        return fail(failure(errc::OutcomeUnknown,
                            "the head of " + NewHead.environment() +
                                " moved on and the record of version " +
                                std::to_string(NewHead.version()) +
                                " is gone; compare the status with the "
                                "document"));
      return fail(failure(errc::Conflict,
                          "the head of " + NewHead.environment() +
                              " was changed by another writer; nothing was "
                              "moved; read the status and try again"));
    }
    if (!Winner.ParseFromString(Read.Entries[0].Value))
      return fail(unreadable(HistoryKey));
    if (Winner.operation_id() == NewHead.operation_id())
      return succeed(Winner, true);
    fail(failure(errc::Conflict,
                 "another operator was first with " + describeHead(Winner) +
                     "; this document was not accepted; look at the "
                     "difference and try again"));
  }

  //--- Completion -------------------------------------------------------------
  void retry(const failure &Failure, void (accept_operation::*Step)()) {
    if (!isTransient(Failure))
      return fail(MayHaveMoved ? failure(errc::OutcomeUnknown, Failure.text())
                               : Failure);
    if (++Attempts >= Settings.MaxAttempts) {
      if (MayHaveMoved)
        return fail(
            failure(errc::OutcomeUnknown,
                    "the head of " + NewHead.environment() +
                        " may have moved to version " +
                        std::to_string(NewHead.version()) + " (operation " +
                        NewHead.operation_id() +
                        "); the platform does not answer: " + Failure.Detail));
      return fail(failure(errc::Unavailable,
                          "the head of " + NewHead.environment() +
                              " was not moved; the platform does not answer: " +
                              Failure.Detail));
    }
    state::milliseconds Delay = Settings.InitialRetryDelay;
    for (unsigned I = 1; I < Attempts && Delay < Settings.MaxRetryDelay; ++I)
      Delay *= 2;
    Delay = std::min(Delay, Settings.MaxRetryDelay);
    const double Jitter = 0.5 + state::unitInterval(Random()) / 2;
    Timer = Timers.after(
        std::chrono::duration_cast<state::boot_clock::duration>(Delay * Jitter),
        [Self = shared_from_this(), Step](state::time_point /*Now*/) {
          (Self.get()->*Step)();
        });
  }

  void succeed(const control::head &Head, bool Changed) {
    finish(accepted_head{Head, Changed, PartsWritten});
  }
  void fail(failure Failure) { finish(std::move(Failure)); }
  void finish(state::result<accepted_head> Result) {
    // The timer's handler refers to this object; resetting it breaks the cycle.
    const auto Self = shared_from_this();
    Timer.reset();
    Handler(std::move(Result));
  }

  platform_store &Platform;
  state::timer_service &Timers;
  state::random_engine &Random;
  head_writer_settings Settings;
  protocol::split_document Split;
  control::head NewHead;
  head_writer::handler Handler;
  std::string HeadKey;
  std::string HistoryKey;
  control::head CurrentHead;
  std::int64_t CurrentHeadRevision = 0;
  std::deque<platform_txn::put> MissingParts;
  std::size_t SinglePartWrites = 0; // parts still to be written one by one
  std::uint32_t PartsWritten = 0;
  bool MayHaveMoved = false; // a write of the head timed out
  bool HeadChanged = false;  // a write of the head found another head
  unsigned Attempts = 0;
  std::unique_ptr<state::timer_subscription> Timer;
};

//-----------------------------------------------------------------------------
// Reading a document
//-----------------------------------------------------------------------------

// A prefix read of all parts would grow with the history, so the parts are read
// one by one by key, a few in parallel.
constexpr std::size_t MaxParallelReads = 8;

class document_reader : public std::enable_shared_from_this<document_reader> {
public:
  document_reader(platform_store &Platform, std::string Environment,
                  std::function<void(state::result<stored_document>)> Handler)
      : Platform(Platform), Environment(std::move(Environment)),
        Handler(std::move(Handler)) {}

  void start() {
    const std::string Key = keys::head(Environment);
    Platform.get(
        Key, false, [Self = shared_from_this(), Key](const auto &Read) {
          if (Read.has_error())
            return Self->finish(Read.error());
          if (Read.value().Entries.empty())
            return Self->finish(
                failure(errc::NotFound, "environment " + Self->Environment +
                                            " has no accepted document"));
          if (!Self->Stored.Head.ParseFromString(Read.value().Entries[0].Value))
            return Self->finish(unreadable(Key));
          Self->Stored.ModRevision = Read.value().Entries[0].ModRevision;
          Self->PendingHashes.push_back(Self->Stored.Head.manifest_hash());
          Self->readNext();
        });
  }

private:
  void readNext() {
    while (ActiveReads < MaxParallelReads && !PendingHashes.empty()) {
      const std::string Hash = std::move(PendingHashes.front());
      PendingHashes.pop_front();
      ++ActiveReads;
      Platform.get(keys::part(hexEncode(Hash)), false,
                   [Self = shared_from_this(), Hash](const auto &Read) {
                     --Self->ActiveReads;
                     Self->onPart(Hash, Read);
                   });
    }
  }

  void onPart(const std::string &Hash,
              const state::result<platform_read> &Read) {
    if (Done)
      return;
    if (Read.has_error())
      return finish(Read.error());
    if (Read.value().Entries.empty() ||
        protocol::sha256(Read.value().Entries[0].Value) != Hash)
      return finish(failure(errc::InvalidMessage,
                            "the part " + hexEncode(Hash) +
                                " of the accepted document is missing or "
                                "damaged on the platform"));
    Parts[Hash] = Read.value().Entries[0].Value;
    const auto FindPart =
        [this](const std::string &Name) -> std::optional<std::string> {
      auto Found = Parts.find(Name);
      if (Found == Parts.end())
        return std::nullopt;
      return Found->second;
    };
    const std::string &Manifest = Parts[Stored.Head.manifest_hash()];
    if (Hash == Stored.Head.manifest_hash()) {
      auto MissingParts = protocol::missingParts(Manifest, FindPart);
      if (MissingParts.has_error())
        return finish(MissingParts.error());
      PendingHashes.insert(PendingHashes.end(), MissingParts.value().begin(),
                           MissingParts.value().end());
    }
    readNext();
    if (ActiveReads > 0)
      return;
    auto Document = protocol::joinParts(Manifest, FindPart);
    if (Document.has_error())
      return finish(Document.error());
    Stored.Document = std::move(Document.value());
    finish(std::move(Stored));
  }

  void finish(state::result<stored_document> Result) {
    Done = true;
    Handler(std::move(Result));
  }

  platform_store &Platform;
  std::string Environment;
  std::function<void(state::result<stored_document>)> Handler;
  stored_document Stored;
  std::deque<std::string> PendingHashes; // of parts still to be read
  std::size_t ActiveReads = 0;
  std::map<std::string, std::string> Parts;
  bool Done = false;
};

} // namespace

void readDocument(platform_store &Platform, const std::string &Environment,
                  std::function<void(state::result<stored_document>)> Handler) {
  std::make_shared<document_reader>(Platform, Environment, std::move(Handler))
      ->start();
}

//-----------------------------------------------------------------------------
// head_writer
//-----------------------------------------------------------------------------

void head_writer::accept(const state::document &Document, std::string Author,
                         std::string OperationId, std::int64_t UnixMs,
                         handler Handler) {
  control::head Head;
  Head.set_author(std::move(Author));
  Head.set_operation_id(std::move(OperationId));
  Head.set_accepted_unix_ms(UnixMs);
  std::make_shared<accept_operation>(Platform, Timers, Random, Settings,
                                     Document, std::move(Head),
                                     std::move(Handler))
      ->start();
}

void head_writer::promote(std::optional<std::uint64_t> ExpectedVersion,
                          std::string Author, std::string OperationId,
                          std::int64_t UnixMs, handler Handler) {
  control::head Head;
  Head.set_author(std::move(Author));
  Head.set_operation_id(std::move(OperationId));
  Head.set_accepted_unix_ms(UnixMs);
  readDocument(
      Platform, TrialEnvironment,
      [&Platform = Platform, &Timers = Timers, &Random = Random,
       Settings = Settings, ExpectedVersion, Head = std::move(Head),
       Handler =
           std::move(Handler)](state::result<stored_document> Trial) mutable {
        if (Trial.has_error())
          return Handler(
              isTransient(Trial.error())
                  ? failure(errc::Unavailable,
                            "nothing was promoted; " + Trial.error().Detail)
                  : Trial.error());
        const control::head &From = Trial.value().Head;
        if (ExpectedVersion && *ExpectedVersion != From.version())
          return Handler(failure(errc::Conflict,
                                 "the trial head is at " + describeHead(From) +
                                     ", not at version " +
                                     std::to_string(*ExpectedVersion) +
                                     "; nothing was promoted"));
        Head.set_promoted_from(std::string(TrialEnvironment) + "@" +
                               std::to_string(From.version()));
        Trial.value().Document.Environment = ProductionEnvironment;
        std::make_shared<accept_operation>(Platform, Timers, Random, Settings,
                                           Trial.value().Document,
                                           std::move(Head), std::move(Handler))
            ->start();
      });
}

} // namespace hyssopledge::coordination
