/// \file
/// The document in the fleet agent: reads and watches of the platform, fetches
/// from other daemons, and when a version is in force.
#include "hyssopledge/coordination/fleet_agent.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace hyssopledge::coordination {

using state::time_point;

namespace {

std::string sinceMs(time_point Start, time_point Now) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Start)
          .count());
}

} // namespace

void fleet_agent::startFollowing() {
  Following = true;
  readInput(false);
}

void fleet_agent::stopFollowing() {
  Following = false;
  PlatformReached = false;
  ++FollowEpoch;
  Watch.reset();
}

void fleet_agent::onFollowFailed(const std::string &Reason) {
  const bool Lost = PlatformReached;
  if (Lost)
    log("platform_lost", "reason=\"" + Reason + "\"");
  stopFollowing();
  // Another daemon may have to take over.
  if (Lost && IsRelay) {
    LastRemoteBeacon = {};
    sendBeacons(Timers.now(), true);
  }
  auto Delay = Timing.PlatformRetryDelay;
  if (!hasLowerRelay(Timers.now(), false))
    FollowFailures = 0;
  for (unsigned I = 0; I < FollowFailures; ++I)
    Delay = std::min(2 * Delay, Timing.MaxPlatformRetryDelay);
  ++FollowFailures;
  // A connection that has worked for a while may be all that failed.
  if (Lost && Timers.now() - PlatformReachedAt >= Timing.MinFollowPeriod)
    Delay = {};
  NextFollow = Timers.now() + Delay;
}

/// Reads all keys of operators, then watches them if this daemon follows.
void fleet_agent::readInput(bool AllowStale) {
  ReadingInput = InputReadAttempted = true;
  const std::uint64_t Epoch = ++FollowEpoch;
  const time_point Start = Timers.now();
  const auto Handler = [this, Alive = Alive, Epoch, Start,
                        AllowStale](const state::result<platform_read> &Read) {
    if (!*Alive)
      return;
    ReadingInput = false;
    if (Read.has_error()) {
      log("platform_read_failed",
          "took_ms=" + sinceMs(Start, Timers.now()) +
              " following=" + std::to_string(Following) +
              " maybe_old=" + std::to_string(AllowStale) + " reason=\"" +
              Read.error().text() + "\"");
      if (Epoch == FollowEpoch)
        onFollowFailed(Read.error().text());
      return;
    }
    NextFollow = Timers.now() + Timing.PlatformRetryDelay;
    onStoreRevision(Read.value().Revision);
    for (const platform_entry &Entry : Read.value().Entries)
      onInput(Entry);
    if (!AllowStale)
      endMissingEvacuations(Read.value());
    if (!Following || Epoch != FollowEpoch)
      return;
    readStatuses();
    watchInput(Read.value().Revision);
  };
  if (AllowStale)
    Platform.getAllowStale(Dialect.inputPrefix(), true, Handler);
  else
    Platform.get(Dialect.inputPrefix(), true, Handler);
}

void fleet_agent::watchInput(std::int64_t AfterRevision) {
  const std::uint64_t Epoch = FollowEpoch;
  Watch = Platform.watch(
      Dialect.inputPrefix(), true, AfterRevision + 1,
      [this, Alive = Alive,
       Epoch](const state::result<std::vector<platform_event>> &Events) {
        if (!*Alive || Epoch != FollowEpoch || !Following)
          return;
        if (Events.has_error())
          return onFollowFailed(Events.error().text());
        for (const platform_event &Event : Events.value()) {
          const std::string DataCentre =
              Dialect.evacuatedDataCentre(Event.Entry.Key);
          if (!Event.Deleted)
            onInput(Event.Entry);
          else if (!DataCentre.empty())
            mergeEvacuations(
                {{DataCentre,
                  static_cast<std::uint64_t>(Event.Entry.ModRevision), false}});
        }
      });
}

void fleet_agent::onInput(const platform_entry &Entry) {
  if (Entry.Key == Dialect.documentKey()) {
    if (applyDocument(Entry.Value, "platform") && IsRelay)
      sendBeacons(Timers.now(), true);
  } else if (Dialect.isOrderKey(Entry.Key)) {
    onOrder(Entry);
  } else if (const std::string DataCentre =
                 Dialect.evacuatedDataCentre(Entry.Key);
             !DataCentre.empty()) {
    mergeEvacuations(
        {{DataCentre, static_cast<std::uint64_t>(Entry.ModRevision), true}});
  }
}

/// Passes new records on to all members if this daemon reads the platform.
void fleet_agent::mergeEvacuations(
    const std::vector<evacuation_record> &Records) {
  peer_message Message = message(peer_message_kind::Records);
  for (const evacuation_record &Record : Records)
    if (Directory.merge(Record)) {
      log("evacuation", "data_centre=" + Record.DataCentre +
                            " active=" + std::to_string(Record.Active) +
                            " revision=" + std::to_string(Record.Revision));
      Message.Evacuations.push_back(Record);
    }
  if (Message.Evacuations.empty())
    return;
  if (Following)
    broadcast(Message);
  if (Hooks.OnDirectoryChanged)
    Hooks.OnDirectoryChanged();
}

/// Ends the evacuations whose keys the platform no longer has.
void fleet_agent::endMissingEvacuations(const platform_read &Read) {
  std::vector<evacuation_record> Ended;
  const auto Revision = static_cast<std::uint64_t>(Read.Revision);
  std::set<std::string> Present;
  for (const platform_entry &Entry : Read.Entries)
    Present.insert(Dialect.evacuatedDataCentre(Entry.Key));
  for (const auto &[DataCentre, Known] : Directory.evacuations())
    if (Known.Active && Known.Revision <= Revision &&
        !Present.contains(DataCentre))
      Ended.push_back({DataCentre, Revision, false});
  mergeEvacuations(Ended);
}

void fleet_agent::onStoreRevision(std::int64_t Revision) {
  onStoreEra(static_cast<std::uint64_t>(eraOf(Revision)));
}

/// Writes this daemon's record again when the store has been restored from an
/// older copy: the lease and the record may be lost.
void fleet_agent::onStoreEra(std::uint64_t Era) {
  if (StoreEra && Era <= *StoreEra)
    return;
  if (!std::exchange(StoreEra, Era))
    return; // the first one
  log("store_restored", "era=" + std::to_string(Era));
  if (!Registered && Lease == 0)
    return;
  Lease = 0;
  Registered = false;
  // Any later record on the platform is this daemon's own, from before.
  FormerRecordRead = true;
  NextRegister =
      Timers.now() +
      std::chrono::milliseconds(state::uniformBelow(
          Random,
          static_cast<std::uint64_t>(Timing.RestoreSpread.count()) + 1));
}

bool fleet_agent::applyDocument(const std::string &Text,
                                const std::string &Source) {
  auto Read = Dialect.parseDocument(Text);
  if (Read.has_error()) {
    log("document_refused",
        "source=" + Source + " reason=\"" + Read.error().text() + "\"");
    return false;
  }
  const auto &Table = Read.value();
  if (Document && Table->version() <= Document->version()) {
    if (Table->version() < Document->version())
      log("document_older",
          "version=" + std::to_string(Table->version()) + " in_force=" +
              std::to_string(Document->version()) + " source=" + Source);
    return false;
  }
  const time_point Now = Timers.now();
  log("document_in_force",
      "version=" + std::to_string(Table->version()) +
          " former=" + std::to_string(Document ? Document->version() : 0) +
          " source=" + Source + " routes=" +
          std::to_string(Table->source().Routes.size()) + " behind_ms=" +
          (BehindSince == time_point{} ? "0" : sinceMs(BehindSince, Now)));
  Document = Table;
  DocumentText = Text;
  if (Hooks.OnDocument)
    Hooks.OnDocument(Document);
  return true;
}

/// Fetches a newer document from a relay whose beacon reported it.
void fleet_agent::fetchNewerDocument(time_point Now) {
  const std::uint64_t Own = Document ? Document->version() : 0;
  const member_record *Source = nullptr;
  std::uint64_t Newest = Own;
  for (const auto &[Name, Beacon] : Beacons) {
    const member_record *Member = Directory.find(Name);
    const bool Local = Beacon.DataCentre == Options.DataCentre;
    if (Member == nullptr || Now - Beacon.At > Timing.RelayTimeout)
      continue;
    if (Beacon.DocumentVersion > Newest ||
        (Local && Beacon.DocumentVersion == Newest && Newest > Own)) {
      Newest = Beacon.DocumentVersion;
      Source = Member;
    }
  }
  if (Source == nullptr) {
    BehindSince = {};
    return;
  }
  if (BehindSince == time_point{}) {
    BehindSince = Now;
    log("document_behind", "version=" + std::to_string(Own) +
                               " known=" + std::to_string(Newest) +
                               " from=" + Source->Instance);
  }
  if (Now - BehindSince > Timing.PeerFetchTimeout && !ReadingInput &&
      Now >= NextFollow && !Following) {
    NextFollow = Now + Timing.PlatformRetryDelay;
    readInput(false);
  }
  // The transport limits each fetch by its own timeout.
  if (!Fetching && Now - FetchingSince >= Timing.MinFetchInterval)
    fetchDocumentFrom(*Source);
}

void fleet_agent::fetchDocumentFrom(const member_record &Source) {
  Fetching = true;
  FetchingSince = Timers.now();
  Peers.fetchDocument(
      Source.HopAddress,
      [this, Alive = Alive, Peer = Source.Instance,
       Start = FetchingSince](const state::result<std::string> &Text) {
        if (!*Alive)
          return;
        Fetching = false;
        if (Text.has_error()) {
          log("document_fetch_failed",
              "from=" + Peer + " took_ms=" + sinceMs(Start, Timers.now()) +
                  " reason=\"" + Text.error().text() + "\"");
          return;
        }
        if (applyDocument(Text.value(), "peer from=" + Peer))
          BehindSince = {};
      });
}

} // namespace hyssopledge::coordination
