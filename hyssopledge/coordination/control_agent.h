/// \file
/// Control plane of one daemon: membership, document distribution, seats,
/// leases and reports. Does no I/O itself: it calls control_transport and
/// platform_store and takes its clock as a parameter, so that it runs unchanged
/// in the daemon, in tests and in benchmarks.
#pragma once

#include "hyssopledge/coordination/distribution.h"
#include "hyssopledge/coordination/evidence.h"
#include "hyssopledge/coordination/gossip_store.h"
#include "hyssopledge/coordination/lease_policy.h"
#include "hyssopledge/coordination/membership.h"
#include "hyssopledge/coordination/platform_store.h"
#include "hyssopledge/coordination/seat.h"
#include "hyssopledge/coordination/version_gate.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssopledge::coordination {

//-----------------------------------------------------------------------------
// Interfaces
//-----------------------------------------------------------------------------

/// Sends calls and datagrams to other daemons. Handlers run on the agent's
/// thread; a call without a response fails with Timeout or Unavailable.
class control_transport {
public:
  template <class T> using handler = std::function<void(state::result<T>)>;

  virtual ~control_transport() = default;
  virtual void send(const std::string &Address,
                    const control::gossip_packet &Packet) = 0;
  virtual void fetch(const std::string &Address,
                     const control::fetch_request &Request,
                     handler<control::fetch_response> Handler) = 0;
  virtual void sync(const std::string &Address,
                    const control::sync_request &Request,
                    handler<control::sync_response> Handler) = 0;
  virtual void renew(const std::string &Address,
                     const control::renew_request &Request,
                     handler<control::renew_response> Handler) = 0;
  virtual void report(const std::string &Address,
                      const control::report_request &Request,
                      handler<control::report_response> Handler) = 0;
};

struct control_agent_options {
  std::string Environment;
  std::string Instance;
  std::string DataCentre;
  std::string GossipAddress;               // "ip:port", UDP
  std::string ControlAddress;              // "ip:port", gRPC
  std::string DataAddress;                 // "ip:port", HTTP
  std::vector<std::string> BootstrapPeers; // control addresses
  std::uint64_t Seed = 1;                  // of the random number generator
  std::uint64_t IncarnationHint = 1;       // must grow between restarts
  state::milliseconds ProbeInterval{1000};
  state::milliseconds MaxStartDelay{4000};   // of the first platform read
  state::milliseconds ConfirmInterval{5000}; // between a relay's head reads
  state::milliseconds LevelWriteInterval{
      60000}; // between writes of lease levels
};

/// Callbacks of the program. Empty functions are not called.
struct control_agent_hooks {
  std::function<void(std::shared_ptr<const state::snapshot>)> OnSnapshot;
  std::function<void(const std::vector<control::member> &)> OnMembers;
  /// Called for changed directive, vote, sighting and seat records.
  std::function<void(const control::gossip_record &)> OnRecord;
  /// Called for aggregated reports, at the daemon that collects them: the
  /// coordinator's daemon, or a relay while no coordinator is known.
  std::function<void(const control::report_request &)> OnReport;
  /// Called for the report of a single member before a relay aggregates it.
  std::function<void(const control::report_request &)> OnMemberReport;
  /// Called with one line of key=value pairs for the log.
  std::function<void(const std::string &)> OnLog;
};

//-----------------------------------------------------------------------------
// Agent
//-----------------------------------------------------------------------------

/// Single-threaded except for the methods marked as thread-safe.
class control_agent {
public:
  using clock = std::function<state::time_point()>;
  using wall_clock = std::function<std::int64_t()>; // Unix milliseconds

  control_agent(control_agent_options Options, control_agent_hooks Hooks,
                control_transport &Transport, platform_store &Platform,
                clock Clock, wall_clock WallClock);
  ~control_agent();

  //--- Program ----------------------------------------------------------------
  void start();
  /// Announces the departure and gives up seats. Call it a few times, since
  /// announcements may be lost.
  void leave();
  void setTargets(const std::vector<control::target> &Targets);
  /// Merges a record and, if it is new, sends it to some members at once.
  state::result<bool> publish(const control::gossip_record &Record);
  /// Queues evidence for the next report.
  void sendEvidence(const control::reporter_evidence &Evidence);
  /// Sets the directives in force that the next acknowledgement reports.
  void setDirectives(std::vector<control::directive_position> Positions);
  /// Thread-safe. Whether the lease allows new entry calls at the given time.
  bool leaseValid(state::time_point Now) const { return Holder.validAt(Now); }
  /// Thread-safe. Whether a document is in force.
  bool ready() const { return Applied.load(std::memory_order_acquire) != 0; }
  /// Thread-safe.
  std::uint64_t appliedVersion() const {
    return Applied.load(std::memory_order_acquire);
  }
  std::string status() const; // JSON
  control::convergence convergence() const;
  bool holdsRelaySeat() const;
  /// Seat of the environment's coordinator, for which the relays compete.
  const seat &coordinatorSeat() const { return *Seats[CoordinatorSeat].Seat; }
  std::uint64_t knownVersion() const { return Documents.knownVersion(); }
  std::uint32_t leaseLevel() const { return Holder.level(); }
  state::milliseconds leaseRemaining(state::time_point Now) const {
    return Holder.remaining(Now);
  }
  /// Whether this daemon provably knows all members; see convergence_tracker.
  bool allMembersKnown() const { return Tracker.allMembersKnown(); }
  /// Whether a read of the platform has failed since the last successful read
  /// of the head.
  bool platformDown() const { return PlatformDown; }

  //--- Events -----------------------------------------------------------------
  /// Call this about four times per probe interval.
  void onTick();
  void onPacket(const control::gossip_packet &Packet);
  control::fetch_response onFetch(const control::fetch_request &Request);
  control::sync_response onSync(const control::sync_request &Request);
  control::renew_response onRenew(const control::renew_request &Request);
  control::report_response onReport(const control::report_request &Request);

  //--- Components, for tests and status ---------------------------------------
  const gossip_store &store() const { return Store; }
  const version_gate &gate() const { return Gate; }
  const membership &members() const { return Members; }
  const distribution &documents() const { return Documents; }

private:
  static constexpr unsigned RelaySeats = 2;               // per data centre
  static constexpr unsigned CoordinatorSeat = RelaySeats; // index in Seats
  struct announced_seat {
    std::string Name; // key of the gossip record
    std::unique_ptr<seat> Seat;
    std::unique_ptr<seat_runner> Runner;
    bool WasHeld = false;
    std::uint64_t Refreshes = 0;
    state::time_point NextRefresh{};
  };

  /// Wraps a handler so that it does nothing once the agent is destroyed.
  template <class F> auto guarded(F Function) {
    return [Alive = std::weak_ptr<int>(Alive),
            Function = std::move(Function)](auto &&...Arguments) {
      if (!Alive.expired())
        Function(std::forward<decltype(Arguments)>(Arguments)...);
    };
  }

  // control_agent.cpp
  void sendAll(const std::vector<outgoing_packet> &Packets);
  void afterMerge(const std::string &Sender);
  void onChangedRecord(const control::gossip_record &Record,
                       const std::string &Sender);
  void onHead(const control::head &Head, const std::string &Sender);
  void execute(const distribution::actions &Actions);
  void onDocumentApplied(const distribution_action &Action);
  void refreshVersions();
  void log(const std::string &Line) const;
  std::vector<std::string> fetchPeers(std::size_t Count);
  std::string controlAddress(const std::string &Instance) const;

  // control_agent_calls.cpp
  void tickStart(state::time_point Now);
  std::set<std::string> liveAddresses() const; // control addresses
  /// Whether the coordinator can know this daemon: it holds a relay seat, knows
  /// all members, or is in touch with a daemon that holds a relay seat.
  bool knownToFleet() const;
  std::vector<std::string> unknownContacts() const;
  void tickAllMembersKnown(state::time_point Now);
  void syncWith(const std::string &Address);
  void onSynced(const std::string &Address,
                const state::result<control::sync_response> &Response);
  void tickPlatform(state::time_point Now);
  void readHead(bool Watching);
  void onHeadRead(state::time_point SentAt,
                  const state::result<platform_read> &Read, bool Watching);
  void startWatch(std::int64_t Revision);
  void readSeats();
  void tickSeats(state::time_point Now);
  void makeSeat(unsigned Index, const std::string &Name,
                const std::string &Key);
  void tickSeat(announced_seat &Seat, state::time_point Now);
  void publishSeat(announced_seat &Seat, state::time_point Now);
  void tickLevels(state::time_point Now);
  void tickRenewal(state::time_point Now);
  void tickReports(state::time_point Now);
  void addReport(const control::report_request &Report);
  void trackReport(const control::report_request &Report);
  /// Control addresses of the live relays in the own data centre or, if there
  /// are none, in the others.
  std::vector<std::string> relayAddresses() const;
  std::optional<std::string> relayAddress();
  std::string collector() const;
  std::size_t dataCentreMemberCount() const;
  void fetchFromPlatform(std::uint64_t FetchId,
                         const std::vector<std::string> &Hashes);

  control_agent_options Options;
  control_agent_hooks Hooks;
  control_transport &Transport;
  platform_store &Platform;
  clock Clock;
  wall_clock WallClock;
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
  state::random_engine Random;
  gossip_store Store;
  membership Members;
  version_gate Gate;
  part_cache Cache;
  call_budget Budget;
  distribution Documents;
  lease_holder Holder;
  lease_grantor Grantor;
  convergence_tracker Tracker;
  std::array<announced_seat, RelaySeats + 1> Seats; // coordinator last
  std::atomic<std::uint64_t> Applied{0};

  // Start
  bool Started = false;
  bool Leaving = false;
  unsigned SyncsSucceeded = 0;
  unsigned SyncsFailed = 0;
  std::vector<std::string> Contacts;    // control addresses for joining
  std::vector<std::string> SeatHolders; // others, as last read
  std::size_t NextContact = 0;
  state::time_point StartedAt{};
  state::time_point NextSync{};
  bool SeatsRead = false;
  state::time_point DiscoveryStartedAt{}; // the first read of the seats
  bool ReadingLevels = false;
  state::time_point NextLevelsCheck{};

  // Platform
  bool ReadingHead = false;
  bool ReadingSeats = false;
  bool PlatformDown = false;
  state::time_point NextHeadRead{};
  state::time_point NextSeatsRead{};
  std::unique_ptr<platform_watch> Watch;
  bool WatchWanted = false;
  unsigned WatchFailures = 0;
  state::time_point NextWatch{};
  state::time_point NextConfirmation{};

  // Lease levels
  bool LevelsRead = false;
  bool LevelsCallPending = false;
  std::int64_t LevelsRevision = 0;
  state::time_point NextLevels{};

  // Reports
  evidence_aggregator Aggregator;   // at a relay
  std::uint64_t ReportSequence = 0; // of this daemon's reports
  std::vector<control::directive_position> Directives;
  bool HasAcknowledgement = false; // true from the first one on
  state::time_point NextAcknowledgement{};
  state::time_point NextReport{};
  std::vector<control::reporter_evidence> Evidence;
  state::time_point NextEvidence{};
};

} // namespace hyssopledge::coordination
