/// \file
/// One daemon's part in the fleet: finds the others through the platform, keeps
/// the directory, brings the document and the rollouts up to date and passes
/// them on. No I/O of its own; runs on one thread.
///
/// Relays: in each data centre the daemon with the lowest name follows the
/// platform's changes and tells the others, so that calls to the platform do
/// not grow with the fleet. A daemon that hears no relay with a working
/// platform takes over by itself; two relays at once cost calls but nothing
/// else.
///
/// Coordinator: the relay with the lowest name of all that reach the platform
/// decides on rollouts. Two coordinators are told apart by the condition on the
/// status key and by the merge rule of rollout records.
#pragma once

#include "hyssopledge/coordination/fast_rollout_policy.h"
#include "hyssopledge/coordination/fleet_directory.h"
#include "hyssopledge/coordination/operator_dialect.h"
#include "hyssopledge/coordination/peer_message.h"
#include "hyssopledge/coordination/platform.h"
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

/// The way to other daemons.
class peer_transport {
public:
  virtual ~peer_transport() = default;
  /// May be lost on the way.
  virtual void send(const std::string &ControlAddress,
                    const std::string &Datagram) = 0;
  /// The document's text as the operators wrote it.
  virtual void
  fetchDocument(const std::string &CallAddress,
                std::function<void(state::result<std::string>)> Handler) = 0;
};

struct fleet_agent_options {
  std::string Instance;
  std::string DataCentre;
  std::string CallAddress;
  std::string ControlAddress;
  std::uint64_t Incarnation = 0; // Unix milliseconds of the start
  std::uint64_t Seed = 0;
};

struct fleet_agent_hooks {
  /// A newer document is in force.
  std::function<void(std::shared_ptr<const state::route_table>)> OnDocument;
  /// Members or rollouts changed.
  std::function<void()> OnDirectoryChanged;
  std::function<void(const std::vector<state::crash_sighting> &)> OnCrash;
  /// Others know this daemon's upstream from before its start. Called again
  /// when a later state of it becomes known.
  std::function<void(const upstream_record &Former)> OnFormerUpstream;
  /// A datagram or record of this member came.
  std::function<void(const std::string &Instance)> OnPeerAlive;
  /// What this daemon counted at its upstream since the order.
  std::function<route_counts()> RouteCounts;
  /// One decision; Fields is "key=value ...".
  std::function<void(std::string_view Event, const std::string &Fields)> Log;
};

/// Pace of the agent. Each may be set smaller in tests.
struct fleet_agent_pace {
  std::chrono::milliseconds Tick{100};
  std::chrono::milliseconds BeaconNear{500}; // to the own data centre
  std::chrono::milliseconds BeaconFar{1000}; // to the others
  /// A relay that was not heard for this long is replaced: three lost beacons.
  std::chrono::milliseconds RelaySilence{1700};
  /// Longer silence for each member of the data centre that goes before, so
  /// that not all take over at once: two ticks, the time of one beacon.
  std::chrono::milliseconds RelayStagger{200};
  unsigned MaxRelayStaggers = 8; // members without power in a row
  /// A daemon that has started asks one member after the other for its records,
  /// and does without after the patience.
  std::chrono::milliseconds SyncPause{100};
  std::chrono::milliseconds SyncPatience{1500};
  /// A new daemon registers when its upstream has announced itself, so that one
  /// write does, or after this time.
  std::chrono::milliseconds RegisterPatience{1000};
  std::chrono::milliseconds Evidence{150};
  /// A newer version that no peer could give is read from the platform.
  std::chrono::milliseconds FetchPatience{900};
  /// Pause between two documents from peers, so that of a quick succession only
  /// the last ones are fetched.
  std::chrono::milliseconds FetchPause{500};
  /// A daemon that starts reads the document from the platform when no member
  /// has given it, compressed, within this time.
  std::chrono::milliseconds InputPatience{500};
  std::chrono::milliseconds RetryPause{400}; // after a failed platform call
  std::chrono::seconds MemberLease{600};
  std::chrono::seconds MemberRenewal{200};
};

class fleet_agent {
public:
  fleet_agent(fleet_agent_options Options, fleet_agent_hooks Hooks,
              const operator_dialect &Dialect, platform_store &Platform,
              peer_transport &Peers, state::timer_service &Timers,
              fleet_agent_pace Pace = {});
  ~fleet_agent();

  void start();
  /// Tells the others that this daemon ends for good, or only for now.
  void leave(bool ForGood);

  const fleet_directory &directory() const { return Directory; }
  const member_record &self() const { return Self; }
  std::shared_ptr<const state::route_table> document() const {
    return Document;
  }
  const std::string &documentText() const { return DocumentText; }
  /// Requests can be placed: the document and the others' upstreams are known.
  bool ready() const { return Document != nullptr && Synced; }
  /// What is known of this daemon's upstream from before its start.
  const std::optional<upstream_record> &formerUpstream() const {
    return FormerUpstream;
  }

  /// Tells the others at once.
  void setUpstream(const upstream_record &Upstream);
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
    bool Differed = false; // its digest differed at the last beacon, too
  };
  struct followed_order {
    rollout_order Order;
    std::uint64_t Revision = 0; // on the platform
    state::time_point SeenAt{};
    state::time_point SteppedAt{};
    bool WritingStatus = false;
    std::optional<rollout_state> Written; // state on the platform
    state::time_point NextWrite{};
    std::uint64_t StepOfCounts = 0;
    route_counts NewAtStep; // counts of the new version when the step began
  };
  struct evidence_row {
    std::string Version;
    std::uint64_t OrderRevision = 0;
    route_counts Counts;
  };

  //--- Membership -------------------------------------------------------------
  void announceSelf();
  void broadcast(const peer_message &Message);
  void sendTo(const std::string &ControlAddress, const peer_message &Message);
  void sendRecords(const std::string &ControlAddress);
  void sendOwnRecord(const std::string &ControlAddress);
  void mergeMembers(const std::vector<member_record> &Records,
                    const std::string &Sender);
  void noteFormer(const upstream_record &Upstream);
  void registerSelf();
  void putSelf();
  void readFormer(const std::string &Key);
  void renewRegistration();
  void readMembers(bool AllowStale);
  void onMembersRead(const platform_read &Read, bool AllowStale);
  void askForRecords(state::time_point Now);
  void onPart(const peer_message &Message);
  void becomeSynced(const char *Why);
  peer_message message(peer_message_kind Kind) const;

  //--- Relays -----------------------------------------------------------------
  void tick(state::time_point Now);
  std::chrono::milliseconds relaySilence() const;
  bool relayHeard(state::time_point Now, bool ReachingPlatform) const;
  void sendBeacons(state::time_point Now, bool Always);
  void onBeacon(const peer_message &Message, state::time_point Now);
  bool coordinating(state::time_point Now) const;

  //--- Document ---------------------------------------------------------------
  void follow();
  void readInput(bool AllowStale);
  void watchInput(std::int64_t After);
  void stopFollowing();
  void followFailed(const std::string &Why);
  void onInput(const platform_entry &Entry);
  bool applyDocument(const std::string &Text, const char *Source);
  void fetchNewer(state::time_point Now);
  void fetchFrom(const member_record &Source);

  //--- Rollouts ---------------------------------------------------------------
  void onOrder(const platform_entry &Entry);
  void readStatuses();
  void steerRollouts(state::time_point Now);
  void steer(followed_order &Followed, state::time_point Now);
  void decide(followed_order &Followed, rollout_record Record,
              const std::string &Rule, const std::string &Seen);
  void writeStatus(followed_order &Followed, const rollout_record &Record,
                   state::time_point Now);
  void sendEvidence(state::time_point Now);
  void log(std::string_view Event, const std::string &Fields) const;

  fleet_agent_options Options;
  fleet_agent_hooks Hooks;
  const operator_dialect &Dialect;
  platform_store &Platform;
  peer_transport &Peers;
  state::timer_service &Timers;
  fleet_agent_pace Pace;
  state::random_engine Random;

  member_record Self;
  std::optional<upstream_record> FormerUpstream;
  fleet_directory Directory;
  std::map<std::string, beacon> Beacons; // by instance
  std::shared_ptr<const state::route_table> Document;
  std::string DocumentText;

  bool Leaving = false;
  bool Following = false; // reads or watches the operators' input
  bool PlatformReached = false;
  bool Registered = false;
  bool RecordChanged = false; // the platform's record of this daemon is older
  bool FormerRead = false;    // the platform's record of an earlier start
  bool MembersRead = false;   // with this daemon among them
  bool Synced = false;        // another member has sent all of its records
  bool MembersAsked = false;
  bool Announced = false; // the others know of this start
  bool AskFar = true;     // whom to ask for records
  bool Relay = false;
  std::int64_t Lease = 0;
  std::unique_ptr<platform_watch> Watch;
  std::uint64_t FollowEpoch = 0; // outdated handlers are told apart by it
  state::time_point StartedAt{};
  state::time_point NextFollow{};
  state::time_point NextRegister{};
  state::time_point NextMembers{};
  state::time_point NextSync{};
  std::map<std::string, std::set<std::uint32_t>> SyncParts; // by sender
  state::time_point LastNear{};
  state::time_point LastFar{};
  state::time_point LastEvidence{};
  state::time_point FetchingSince{};
  state::time_point BehindSince{}; // a peer knows a newer document
  bool Fetching = false;
  bool ReadingInput = false;
  bool InputRead = false; // tried at least once

  std::map<std::string, followed_order> Orders; // by service
  /// When each order was heard of first, by service and revision.
  std::map<std::pair<std::string, std::uint64_t>, state::time_point> FirstSeen;
  std::map<std::string, evidence_row> Evidence;         // by instance
  std::map<std::string, std::uint64_t> StatusRevisions; // by service
  bool StatusesRead = false;

  std::shared_ptr<bool> Alive; // handlers of platform calls may outlive this
  std::unique_ptr<state::timer_subscription> Tick;
};

} // namespace hyssopledge::coordination
