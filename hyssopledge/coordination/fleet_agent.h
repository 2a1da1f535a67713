/// \file
/// Fleet membership of one daemon: finds the other members through the
/// platform, maintains the directory, and distributes documents and rollout
/// states. Does no I/O itself and runs on one thread.
///
/// Relays: in each data centre the daemon with the lowest name watches the
/// platform and forwards changes, so that the number of platform calls does not
/// grow with the fleet. If the relay falls silent, the next daemon replaces it.
/// If it loses the platform, other daemons try the platform, fewer and fewer as
/// time passes, and the first that reaches it is a relay, too. Two relays at
/// the same time cost extra calls and are otherwise harmless.
///
/// Coordinator: among the relays that reach the platform, the one with the
/// lowest name decides on rollouts. If two daemons act as coordinator, the
/// condition on the revision of the status key and the merge rule of rollout
/// records resolve the conflict.
#pragma once

#include "hyssopledge/coordination/fast_rollout_policy.h"
#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/coordination/lasting_change.h"
#include "hyssopledge/coordination/operator_dialect.h"
#include "hyssopledge/coordination/peer_message.h"
#include "hyssopledge/coordination/platform_store.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/state/timer_service.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

/// Sends datagrams to other daemons and fetches documents from them.
class peer_transport {
public:
  virtual ~peer_transport() = default;
  /// Sends a datagram without a delivery guarantee.
  virtual void send(const std::string &ControlAddress,
                    const std::string &Datagram) = 0;
  /// Fetches the document's text as the operators wrote it.
  virtual void
  fetchDocument(const std::string &HopAddress,
                std::function<void(state::result<std::string>)> Handler) = 0;
};

struct fleet_agent_options {
  std::string Instance;
  std::string DataCentre;
  std::string HopAddress;
  double LinkMbps = 0; // of the instance; 0: unknown
  std::string ControlAddress;
  std::uint64_t Incarnation = 0; // start time, Unix milliseconds
  std::uint64_t Seed = 0;
};

struct fleet_agent_hooks {
  /// Called when a newer document is in force.
  std::function<void(std::shared_ptr<const state::route_table>)> OnDocument;
  /// Called when members or rollouts change.
  std::function<void()> OnDirectoryChanged;
  std::function<void(const std::vector<state::crash_sighting> &)> OnCrash;
  /// Called with the poison fingerprints of a member's record. Own: of this
  /// daemon's record from before its start.
  std::function<void(const std::vector<std::uint64_t> &, bool Own)> OnPoison;
  /// Called with the state of this daemon's upstream that other members know
  /// from before its start, and again for each later state.
  std::function<void(const upstream_record &Former)> OnFormerUpstream;
  /// Called with messages about quotas.
  std::function<void(const peer_message &)> OnQuota;
  /// Called when a datagram arrives from the member.
  std::function<void(const std::string &Instance)> OnPeerAlive;
  /// Returns the runs that this daemon counted at its upstream since the order.
  std::function<route_counts()> RouteCounts;
  /// Logs one event; Fields has the form "key=value ...".
  std::function<void(std::string_view Event, const std::string &Fields)> Log;
};

/// Intervals and timeouts of the agent. Tests may set smaller values.
struct fleet_agent_timing {
  std::chrono::milliseconds TickInterval{100};
  std::chrono::milliseconds LocalBeaconInterval{500};   // own data centre
  std::chrono::milliseconds RemoteBeaconInterval{1000}; // other data centres
  /// A relay that sent no beacon for this long, that is, three beacons, is
  /// replaced.
  std::chrono::milliseconds RelayTimeout{1700};
  /// Added to RelayTimeout for each member with a lower name in the data
  /// centre, so that not all members take over at once. Two ticks, which is the
  /// time in which a beacon arrives.
  std::chrono::milliseconds RelayTakeoverDelay{200};
  unsigned MaxRelayTakeoverDelays = 8; // consecutive members that fail together
  /// After the start, records are requested from one member after the other,
  /// until SyncTimeout ends the wait.
  std::chrono::milliseconds SyncRetryInterval{100};
  std::chrono::milliseconds SyncTimeout{1500};
  /// Bounds the wait for the upstream's first announcement, so that a single
  /// write registers both the daemon and its upstream.
  std::chrono::milliseconds MaxRegisterDelay{1000};
  std::chrono::milliseconds EvidenceInterval{150};
  /// Unchanged routes whose counts are repeated with each evidence, since
  /// datagrams may be lost and relays change. About one datagram.
  std::size_t RefreshedRoutes = 40;
  /// Evidence counts as current for about six lost datagrams.
  std::chrono::milliseconds MaxEvidenceAge{1000};
  /// A newer document that no peer has delivered within this time is read from
  /// the platform.
  std::chrono::milliseconds PeerFetchTimeout{900};
  /// Minimum interval between fetches from peers, so that only the last
  /// documents of a quick succession are fetched.
  std::chrono::milliseconds MinFetchInterval{500};
  /// A starting daemon reads the document from the platform if no member has
  /// delivered it, compressed, within this time.
  std::chrono::milliseconds InputReadDelay{500};
  /// The first daemons try the platform after this time when the relay has lost
  /// it. From then on as many try in each doubling of the time.
  std::chrono::milliseconds FirstTakeoverDelay{100};
  double TakeoversPerDoubling = 2;                   // of each data centre
  std::chrono::milliseconds PlatformRetryDelay{400}; // after a failed call
  /// A daemon that reached the platform for this long tries again at once when
  /// it loses it.
  std::chrono::milliseconds MinFollowPeriod{1000};
  /// The delay doubles with each failure in a row up to this, except for the
  /// lowest relay, which must notice the end of an outage soon.
  std::chrono::milliseconds MaxPlatformRetryDelay{3200};
  /// A wait for a departure ends after this time: an upstream takes an
  /// acknowledgement for lost that comes after a second.
  std::chrono::milliseconds DepartureTimeout{900};
  std::chrono::milliseconds KeepInterval{50}; // of requests to keep the record
  std::size_t AskedKeepers = 8;               // members asked at once
  std::chrono::seconds MemberLeaseTtl{600};
  std::chrono::seconds MemberRenewalInterval{200};
  /// After a restore of the platform's store the members write their records
  /// again, spread over this time.
  std::chrono::milliseconds RestoreSpread{2000};
};

class fleet_agent {
public:
  fleet_agent(fleet_agent_options Options, fleet_agent_hooks Hooks,
              const operator_dialect &Dialect, platform_store &Platform,
              peer_transport &Peers, state::timer_service &Timers,
              fleet_agent_timing Timing = {});
  ~fleet_agent();

  void start();
  /// Announces that this daemon stops, permanently or for a restart.
  void leave(bool Permanent);

  const fleet_directory &directory() const { return Directory; }
  const member_record &self() const { return Self; }
  std::shared_ptr<const state::route_table> document() const {
    return Document;
  }
  const std::string &documentText() const { return DocumentText; }
  /// Whether requests can be placed: the document and the upstreams of the
  /// other members are known.
  bool ready() const { return Document != nullptr && Synced; }
  /// State of this daemon's upstream from before its start, as far as known.
  const std::optional<upstream_record> &formerUpstream() const {
    return FormerUpstream;
  }

  /// Sets the state of the upstream and announces it immediately.
  void setUpstream(const upstream_record &Upstream);
  /// Calls the handler when the latest departure of the upstream outlives this
  /// process, with true, or with false if it does not within DepartureTimeout.
  /// Calls it at once when there was none.
  void whenDepartureLasts(std::function<void(bool)> Handler);
  /// Sets the fingerprints of the requests that crashed the upstream and
  /// others, and announces them. They stay known while the daemons restart.
  void setPoison(std::vector<std::uint64_t> Fingerprints);
  /// Sends the requests that were running at a crash to all members.
  void reportCrash(const std::vector<state::crash_sighting> &Sightings);
  void ping(const std::string &Instance);
  void onDatagram(std::string_view Datagram);

private:
  struct beacon {
    state::time_point At{};
    std::string DataCentre;
    bool PlatformReached = false;
    std::uint64_t DocumentVersion = 0;
    std::uint64_t Digest = 0;
    bool Differed = false; // digests differed at the last beacon
  };
  struct followed_order {
    rollout_order Order;
    std::uint64_t Revision = 0; // of the order on the platform
    state::time_point FirstSeenAt{};
    state::time_point LastStepAt{};
    bool WritingStatus = false;
    std::optional<rollout_state> Written; // state on the platform
    state::time_point NextWrite{};
    std::uint64_t NewCountsStep = 0;
    route_counts NewCountsAtStep; // of the new version when the step began
  };
  struct departure_wait {
    std::function<void(bool)> Handler;
    state::time_point Deadline;
  };
  /// Runs that one daemon has counted for an order.
  struct upstream_evidence {
    std::string Version;
    std::uint64_t OrderRevision = 0;
    std::uint64_t Incarnation = 0; // of the daemon
    route_counts Counts;           // of this incarnation
    route_counts FormerCounts;     // of earlier incarnations
    state::time_point ReceivedAt{};
  };

  //--- Membership -------------------------------------------------------------
  void announceSelf();
  void broadcast(const peer_message &Message);
  void sendTo(const std::string &ControlAddress, const peer_message &Message);
  void sendRecords(const std::string &ControlAddress);
  void sendOwnRecord(const std::string &ControlAddress);
  void mergeMembers(const std::vector<member_record> &Records,
                    const std::string &Sender);
  void updateFormerUpstream(const member_record &Former);
  void reportFormerUpstream();
  std::size_t otherMembers() const;
  void requestRecords(state::time_point Now);
  void onRecordsPart(const peer_message &Message);
  void finishSync(const char *Reason);
  peer_message message(peer_message_kind Kind) const;

  //--- Records on the platform ------------------------------------------------
  std::string ownKey() const;
  void registerSelf();
  void writeSelf();
  void onWriteFailed(const std::string &Reason);
  void readFormerRecord(std::function<void(bool)> Done);
  void onFormerRead();
  void renewRegistration();
  void readMembers(bool AllowStale);
  void onMembersRead(const platform_read &Read, bool AllowStale);

  //--- Departure of the upstream ----------------------------------------------
  void checkDeparture(state::time_point Now);
  void askKeepers();

  //--- Relays -----------------------------------------------------------------
  void tick(state::time_point Now);
  std::chrono::milliseconds relayTimeout() const;
  bool hasLowerRelay(state::time_point Now, bool RequirePlatform) const;
  bool hasPlatformRelay(state::time_point Now) const;
  std::chrono::milliseconds drawTakeoverDelay();
  void sendBeacons(state::time_point Now, bool Always);
  void onBeacon(const peer_message &Message, state::time_point Now);
  /// The lowest relay among those that reach the platform or, while none does,
  /// among all. Without the platform it can only roll back.
  bool isCoordinator(state::time_point Now) const;

  //--- Document ---------------------------------------------------------------
  void startFollowing();
  void readInput(bool AllowStale);
  void watchInput(std::int64_t AfterRevision);
  void stopFollowing();
  void onFollowFailed(const std::string &Reason);
  void onInput(const platform_entry &Entry);
  void mergeEvacuations(const std::vector<evacuation_record> &Records);
  void endMissingEvacuations(const platform_read &Read);
  void onStoreRevision(std::int64_t Revision);
  void onStoreEra(std::uint64_t Era);
  bool applyDocument(const std::string &Text, const std::string &Source);
  void fetchNewerDocument(state::time_point Now);
  void fetchDocumentFrom(const member_record &Source);

  //--- Rollouts ---------------------------------------------------------------
  void onOrder(const platform_entry &Entry);
  std::uint64_t orderRevision(const rollout_order &Order,
                              const platform_entry &Entry) const;
  void announceOrders();
  void readStatuses();
  void onStatuses(const platform_read &Read);
  void updateRollouts(state::time_point Now);
  void updateRollout(followed_order &Followed, state::time_point Now);
  void recordDecision(followed_order &Followed, rollout_record Record,
                      const std::string &Rule, const std::string &Details);
  void writeStatus(followed_order &Followed, const rollout_record &Record,
                   state::time_point Now);
  void sendEvidence(state::time_point Now);
  /// Returns the counts that the next evidence should have.
  route_counts evidenceToSend(const route_counts &Counts,
                              std::uint64_t OrderRevision);
  /// Sets the daemon's counts on the routes in Latest; those of other routes
  /// and of its earlier incarnations are kept.
  void recordEvidence(const std::string &Instance, upstream_evidence Latest);
  void log(std::string_view Event, const std::string &Fields) const;

  fleet_agent_options Options;
  fleet_agent_hooks Hooks;
  const operator_dialect &Dialect;
  platform_store &Platform;
  peer_transport &Peers;
  state::timer_service &Timers;
  fleet_agent_timing Timing;
  state::random_engine Random;

  member_record Self;
  std::optional<upstream_record> FormerUpstream;
  std::uint64_t FormerIncarnation = 0; // of the record with FormerUpstream
  std::uint64_t FormerRevision = 0;
  departed_upstreams FormerDepartures; // known to others
  lasting_change Departure;
  std::vector<departure_wait> DepartureWaits;
  fleet_directory Directory;
  std::map<std::string, beacon> Beacons; // by instance
  std::shared_ptr<const state::route_table> Document;
  std::string DocumentText;

  bool Leaving = false;
  bool Following = false; // reads or watches the operators' keys
  bool PlatformReached = false;
  bool Registered = false;
  bool PlatformRecordStale = false; // own record must be written again
  bool Writing = false;             // own record
  // The current record of an earlier start on the platform is known, so that it
  // may be replaced.
  bool FormerRecordRead = false;
  bool FormerReadPending = true; // it is being read, or the members are
  bool MembersRead = false;      // a read that includes this daemon
  bool Synced = false; // all records of a member received, or timed out
  bool MembersReadAttempted = false;
  bool Announced = false;   // own record was sent since the start
  bool PreferRemote = true; // alternates between requests for records
  bool IsRelay = false;
  std::int64_t Lease = 0;
  std::optional<std::uint64_t> StoreEra; // latest one known
  std::unique_ptr<platform_watch> Watch;
  std::uint64_t FollowEpoch = 0; // handlers with an older value are ignored
  state::time_point StartedAt{};
  state::time_point NextFollow{};
  state::time_point PlatformReachedAt{}; // the last time it became reachable
  unsigned FollowFailures = 0;           // in a row
  /// When to try the platform although another daemon is the relay; none while
  /// some relay of the data centre reaches it.
  std::optional<state::time_point> TakeoverAt;
  state::time_point NextRegister{};
  state::time_point NextMembers{};
  state::time_point NextSync{};
  std::map<std::string, std::set<std::uint32_t>> ReceivedParts; // by sender
  state::time_point LastLocalBeacon{};
  state::time_point LastRemoteBeacon{};
  state::time_point LastEvidence{};
  state::time_point FetchingSince{};
  state::time_point BehindSince{}; // when a newer document became known
  bool Fetching = false;
  bool ReadingInput = false;
  bool InputReadAttempted = false;

  std::map<std::string, followed_order> Orders; // by service
  /// Time at which each order became known, by service and revision.
  std::map<std::pair<std::string, std::uint64_t>, state::time_point> FirstSeen;
  std::map<std::string, upstream_evidence> Evidence; // by instance
  std::uint64_t SentOrderRevision = 0; // of the evidence sent last
  route_counts SentCounts;             // last sent counts of each route
  std::string LastRefreshedRoute;      // sent without a change
  std::map<std::string, std::uint64_t> StatusRevisions; // by service
  bool StatusesRead = false;

  std::shared_ptr<bool> Alive; // false for handlers that outlive the agent
  std::unique_ptr<state::timer_subscription> TickTimer;
  std::unique_ptr<state::timer_subscription> DepartureTimer;
};

} // namespace hyssopledge::coordination
