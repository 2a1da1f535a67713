/// \file
/// Rollouts in the fleet agent: orders, evidence, decisions and their status on
/// the platform.
#include "hyssopledge/coordination/fleet_agent.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace hyssopledge::coordination {

using state::time_point;

namespace {

void addCounts(route_counts &Sum, const route_counts &Added) {
  for (const auto &[Route, Count] : Added) {
    run_counts &RouteSum = Sum[Route];
    RouteSum.Runs += Count.Runs;
    RouteSum.Failures += Count.Failures;
    RouteSum.TotalMs += Count.TotalMs;
    RouteSum.Unfinished += Count.Unfinished;
    RouteSum.UnfinishedMs += Count.UnfinishedMs;
  }
}

} // namespace

void fleet_agent::onOrder(const platform_entry &Entry) {
  auto Order = Dialect.parseOrder(Entry.Value);
  if (Order.has_error()) {
    log("order_refused",
        "key=" + Entry.Key + " reason=\"" + Order.error().text() + "\"");
    return;
  }
  const std::uint64_t Revision = orderRevision(Order.value(), Entry);
  followed_order &Followed = Orders[Order.value().Service];
  if (Followed.Revision >= Revision)
    return;
  Followed = {};
  Followed.Order = Order.value();
  Followed.Revision = Revision;
  Followed.LastStepAt = Timers.now();
  Followed.FirstSeenAt =
      FirstSeen
          .emplace(std::make_pair(Followed.Order.Service, Revision),
                   Timers.now())
          .first->second;
  log("order_seen", "service=" + Followed.Order.Service +
                        " to_version=" + Followed.Order.ToVersion +
                        " revision=" + std::to_string(Revision));
  if (PlatformReached)
    announceOrders();
}

/// Returns the revision that identifies the order. After a restore of the
/// store an order that was known before keeps its earlier revision; a finished
/// rollout must not begin again.
std::uint64_t fleet_agent::orderRevision(const rollout_order &Order,
                                         const platform_entry &Entry) const {
  const auto Revision = static_cast<std::uint64_t>(Entry.ModRevision);
  const rollout_record *Known = Directory.rollout(Order.Service);
  const bool IsKnown = Known != nullptr &&
                       Known->ToVersion == Order.ToVersion &&
                       eraOf(static_cast<std::int64_t>(Known->OrderRevision)) <
                           eraOf(Entry.ModRevision);
  return IsKnown ? Known->OrderRevision : Revision;
}

/// Makes the orders known to all members, so that they send nothing to a new
/// version before the coordinator has decided. Any relay does so, since the
/// coordinator may be the one that the platform does not respond to.
void fleet_agent::announceOrders() {
  peer_message Message = message(peer_message_kind::Records);
  for (const auto &[Service, Followed] : Orders) {
    rollout_record Record;
    Record.Service = Service;
    Record.ToVersion = Followed.Order.ToVersion;
    Record.OrderRevision = Followed.Revision;
    if (Directory.merge(Record))
      Message.Rollouts.push_back(std::move(Record));
  }
  if (Message.Rollouts.empty())
    return;
  broadcast(Message);
  if (Hooks.OnDirectoryChanged)
    Hooks.OnDirectoryChanged();
}

/// Reads the written states of finished rollouts, for daemons that start
/// without a peer that knows them. Without these states a relay can't decide,
/// so it doesn't reach the platform before they are read.
void fleet_agent::readStatuses() {
  Platform.get(Dialect.statusPrefix(), true,
               [this, Alive = Alive,
                Epoch = FollowEpoch](const state::result<platform_read> &Read) {
                 if (!*Alive || Epoch != FollowEpoch || !Following)
                   return;
                 if (Read.has_error())
                   return onFollowFailed("statuses: " + Read.error().text());
                 onStatuses(Read.value());
               });
}

void fleet_agent::onStatuses(const platform_read &Read) {
  StatusesRead = true;
  bool Changed = false;
  // States that a restored store has lost are written again.
  for (auto &[Service, Followed] : Orders) {
    const std::string Key = Dialect.statusKey(Service);
    if (std::none_of(
            Read.Entries.begin(), Read.Entries.end(),
            [&](const platform_entry &Entry) { return Entry.Key == Key; })) {
      Followed.Written.reset();
      StatusRevisions.erase(Service);
    }
  }
  for (const platform_entry &Entry : Read.Entries) {
    auto Status = Dialect.parseStatus(Entry.Key, Entry.Value);
    if (Status.has_error()) {
      log("status_ignored",
          "key=" + Entry.Key + " reason=\"" + Status.error().text() + "\"");
      continue;
    }
    rollout_record &Record = Status.value();
    const auto Revision = static_cast<std::uint64_t>(Entry.ModRevision);
    StatusRevisions[Record.Service] = Revision;
    const auto Followed = Orders.find(Record.Service);
    if (Followed == Orders.end() ||
        Followed->second.Order.ToVersion != Record.ToVersion ||
        (Revision < Followed->second.Revision &&
         eraOf(Entry.ModRevision) ==
             eraOf(static_cast<std::int64_t>(Followed->second.Revision))))
      continue;
    Followed->second.Written = Record.State;
    if (Record.State == rollout_state::Running)
      continue;
    Record.OrderRevision = Followed->second.Revision;
    Record.ShareBp = Record.State == rollout_state::Completed ? 10'000 : 0;
    Changed = Directory.merge(Record) || Changed;
  }
  if (Changed && Hooks.OnDirectoryChanged)
    Hooks.OnDirectoryChanged();
  FollowFailures = 0;
  if (!std::exchange(PlatformReached, true)) {
    PlatformReachedAt = Timers.now();
    log("platform_reached", "revision=" + std::to_string(Read.Revision));
    // Prevents the next members in order from taking over as well, and tells
    // data centres whose relays have failed, too, that there may be a newer
    // document.
    LastRemoteBeacon = {};
    sendBeacons(Timers.now(), true);
    announceOrders();
  }
}

void fleet_agent::updateRollouts(time_point Now) {
  if (!StatusesRead)
    return;
  for (auto &[Service, Followed] : Orders)
    updateRollout(Followed, Now);
}

void fleet_agent::updateRollout(followed_order &Followed, time_point Now) {
  const std::string &Service = Followed.Order.Service;
  const rollout_record *Known = Directory.rollout(Service);
  if (Known == nullptr || Known->OrderRevision != Followed.Revision)
    return; // a member knows a later order
  rollout_record Record = *Known;
  if (Record.State == rollout_state::Running) {
    if (Hooks.RouteCounts && Self.Upstream.Service == Service)
      recordEvidence(Options.Instance, {Self.Upstream.Version,
                                        Record.OrderRevision,
                                        Self.Incarnation,
                                        Hooks.RouteCounts(),
                                        {},
                                        Now});
    std::uint32_t NewSlots = 0;
    std::uint32_t OldSlots = 0;
    std::uint32_t ReportedSlots = 0; // new ones whose daemon reported recently
    bool Cold = false;
    for (const auto &[Name, Member] : Directory.members()) {
      const upstream_record &Upstream = Member.Upstream;
      if (Member.Left || Upstream.Service != Service ||
          Upstream.State != upstream_state::Serving ||
          !Upstream.AcceptsConnections)
        continue;
      const bool New = Upstream.Version == Record.ToVersion;
      (New ? NewSlots : OldSlots) += Upstream.Slots;
      const auto Reported = Evidence.find(Name);
      if (New && Reported != Evidence.end() &&
          Reported->second.OrderRevision == Record.OrderRevision &&
          Now - Reported->second.ReceivedAt <= Timing.MaxEvidenceAge)
        ReportedSlots += Upstream.Slots;
      Cold = Cold || (New && Upstream.Cold);
    }
    route_counts New;
    route_counts Old;
    for (const auto &[Name, Row] : Evidence) {
      if (Row.OrderRevision != Record.OrderRevision)
        continue;
      route_counts &Sum = Row.Version == Record.ToVersion ? New : Old;
      addCounts(Sum, Row.Counts);
      addCounts(Sum, Row.FormerCounts);
    }
    if (Followed.NewCountsStep != Record.Step) {
      Followed.NewCountsStep = Record.Step;
      Followed.NewCountsAtStep = New;
    }
    route_counts NewInStep = New;
    for (auto &[Route, Count] : NewInStep) {
      const run_counts &Before = Followed.NewCountsAtStep[Route];
      // A former coordinator may have known runs that this one does not.
      Count.Runs -= std::min(Count.Runs, Before.Runs);
      Count.Failures -= std::min(Count.Failures, Before.Failures);
      Count.TotalMs -= std::min(Count.TotalMs, Before.TotalMs);
      Count.Unfinished -= std::min(Count.Unfinished, Before.Unfinished);
      Count.UnfinishedMs -= std::min(Count.UnfinishedMs, Before.UnfinishedMs);
    }
    const fast_rollout_input Input{
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Now - Followed.FirstSeenAt),
        Followed.Order.Duration,
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Now - Followed.LastStepAt),
        Record.ShareBp,
        NewSlots,
        OldSlots,
        Cold,
        New,
        NewInStep,
        Old,
        2 * ReportedSlots >= NewSlots,
        PlatformReached};
    const fast_rollout_decision Decision = decideShare(Input);
    if (Decision.State != Record.State || Decision.ShareBp != Record.ShareBp) {
      std::ostringstream Details;
      const auto Print = [&](const char *Name, const route_counts &Counts) {
        Details << ' ' << Name << '=';
        for (const auto &[Route, Count] : Counts)
          Details << Route << ':' << Count.Runs << '/' << Count.Failures << '/'
                  << (Count.Runs == 0 ? 0 : Count.TotalMs / Count.Runs) << "ms/"
                  << Count.Unfinished << "cut,";
      };
      Details << " new_slots=" << NewSlots << " old_slots=" << OldSlots;
      Print("new", New);
      Print("old", Old);
      Record.State = Decision.State;
      Record.ShareBp = Decision.ShareBp;
      recordDecision(Followed, Record, Decision.Rule, Details.str());
    }
  }
  if (PlatformReached)
    writeStatus(Followed, *Directory.rollout(Service), Now);
}

void fleet_agent::recordDecision(followed_order &Followed,
                                 rollout_record Record, const std::string &Rule,
                                 const std::string &Details) {
  ++Record.Step;
  Followed.LastStepAt = Timers.now();
  Directory.merge(Record);
  log("rollout_decision",
      "service=" + Record.Service + " to_version=" + Record.ToVersion +
          " state=" + std::to_string(static_cast<int>(Record.State)) +
          " share_bp=" + std::to_string(Record.ShareBp) + " step=" +
          std::to_string(Record.Step) + " rule=\"" + Rule + "\"" + Details);
  peer_message Message = message(peer_message_kind::Records);
  Message.Rollouts.push_back(Record);
  broadcast(Message);
  // Other members apply the share on receipt. Beacons repair lost datagrams,
  // but a rollback must not wait for them.
  if (Record.State != rollout_state::Running)
    broadcast(Message);
  if (Hooks.OnDirectoryChanged)
    Hooks.OnDirectoryChanged();
}

void fleet_agent::writeStatus(followed_order &Followed,
                              const rollout_record &Record, time_point Now) {
  if (Followed.Written == Record.State || Followed.WritingStatus ||
      Now < Followed.NextWrite)
    return;
  Followed.WritingStatus = true;
  Followed.NextWrite = Now + Timing.PlatformRetryDelay;
  const std::string Service = Record.Service;
  platform_txn Txn;
  const std::string Key = Dialect.statusKey(Service);
  Txn.Conditions.push_back(
      {Key, static_cast<std::int64_t>(StatusRevisions[Service])});
  Txn.Puts.push_back({Key, Dialect.formatStatus(Record), 0});
  Platform.commit(
      std::move(Txn), [this, Alive = Alive, Service, State = Record.State,
                       Order = Record.OrderRevision](
                          const state::result<platform_txn_result> &Result) {
        if (!*Alive)
          return;
        const auto Found = Orders.find(Service);
        if (Found == Orders.end() || Found->second.Revision != Order)
          return;
        Found->second.WritingStatus = false;
        if (Result.has_error()) {
          // The write may have taken effect, so the status is read again.
          log("status_write_failed", "service=" + Service + " reason=\"" +
                                         Result.error().text() + "\"");
          return readStatuses();
        }
        if (!Result.value().Succeeded) {
          log("status_write_lost", "service=" + Service);
          return readStatuses();
        }
        StatusRevisions[Service] =
            static_cast<std::uint64_t>(Result.value().Revision);
        Found->second.Written = State;
        log("status_written", "service=" + Service + " state=" +
                                  std::to_string(static_cast<int>(State)));
      });
}

void fleet_agent::sendEvidence(time_point Now) {
  if (!Hooks.RouteCounts || Now - LastEvidence < Timing.EvidenceInterval)
    return;
  const rollout_record *Rollout = Directory.rollout(Self.Upstream.Service);
  if (Rollout == nullptr || Rollout->State != rollout_state::Running)
    return;
  LastEvidence = Now;
  peer_message Message = message(peer_message_kind::Evidence);
  Message.Service = Self.Upstream.Service;
  Message.Version = Self.Upstream.Version;
  Message.OrderRevision = Rollout->OrderRevision;
  Message.Incarnation = Self.Incarnation;
  Message.Counts = evidenceToSend(Hooks.RouteCounts(), Message.OrderRevision);
  // Any relay may become the coordinator, also without the platform.
  for (const auto &[Name, Beacon] : Beacons) {
    const member_record *Member = Directory.find(Name);
    if (Member != nullptr && Now - Beacon.At < Timing.RelayTimeout)
      sendTo(Member->ControlAddress, Message);
  }
}

/// Counts add up from the order on, so only those that changed are due. The
/// others are repeated in turn.
route_counts fleet_agent::evidenceToSend(const route_counts &Counts,
                                         std::uint64_t OrderRevision) {
  if (std::exchange(SentOrderRevision, OrderRevision) != OrderRevision)
    SentCounts.clear();
  route_counts Due;
  for (const auto &[Route, Count] : Counts)
    if (const auto Sent = SentCounts.find(Route);
        Sent == SentCounts.end() || Sent->second != Count)
      Due.emplace(Route, Count);
  auto Next = Counts.upper_bound(LastRefreshedRoute);
  for (std::size_t I = 0; I < std::min(Timing.RefreshedRoutes, Counts.size());
       ++I) {
    if (Next == Counts.end())
      Next = Counts.begin();
    Due.insert(*Next);
    LastRefreshedRoute = Next->first;
    ++Next;
  }
  SentCounts = Counts;
  return Due;
}

void fleet_agent::recordEvidence(const std::string &Instance,
                                 upstream_evidence Latest) {
  upstream_evidence &Known = Evidence[Instance];
  if (Latest.OrderRevision < Known.OrderRevision)
    return; // a late datagram
  if (Known.OrderRevision == Latest.OrderRevision &&
      Known.Version == Latest.Version) {
    if (Latest.Incarnation < Known.Incarnation)
      return; // a late datagram
    Latest.FormerCounts = std::move(Known.FormerCounts);
    if (Latest.Incarnation > Known.Incarnation) {
      addCounts(Latest.FormerCounts, Known.Counts);
    } else {
      // A late datagram has smaller counts.
      const auto Calls = [](const run_counts &Count) {
        return Count.Runs + Count.Unfinished;
      };
      for (const auto &[Route, Count] : Latest.Counts)
        if (run_counts &KnownCount = Known.Counts[Route];
            Calls(Count) >= Calls(KnownCount))
          KnownCount = Count;
      Latest.Counts = std::move(Known.Counts);
    }
  }
  Known = std::move(Latest);
}

} // namespace hyssopledge::coordination
