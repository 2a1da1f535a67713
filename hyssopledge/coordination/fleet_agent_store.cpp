#include "hyssopledge/coordination/fleet_agent.h"

#include <utility>

namespace hyssopledge::coordination {

//-----------------------------------------------------------------------------
// Records on the platform
//-----------------------------------------------------------------------------

std::string fleet_agent::ownKey() const {
  return Dialect.membersPrefix() + Options.Instance;
}

/// Writes this daemon's record under a lease. A record of an earlier start is
/// read before it is replaced, since it may name an upstream that has left.
///
/// One write at a time, so that an earlier one can't be done after a later one.
void fleet_agent::registerSelf() {
  if (std::exchange(Writing, true)) {
    PlatformRecordStale = true;
    return;
  }
  NextRegister = Timers.now() + std::chrono::seconds(2);
  if (Lease != 0)
    return writeSelf();
  Platform.grantLease(
      Timing.MemberLeaseTtl,
      [this, Alive = Alive](const state::result<std::int64_t> &Granted) {
        if (!*Alive)
          return;
        if (Granted.has_error())
          return onWriteFailed(Granted.error().text());
        Lease = Granted.value();
        writeSelf();
      });
}

void fleet_agent::onWriteFailed(const std::string &Reason) {
  Writing = false;
  PlatformRecordStale = true;
  log("register_failed", "reason=\"" + Reason + "\"");
  Departure.onWriteFailed();
  checkDeparture(Timers.now());
}

void fleet_agent::writeSelf() {
  PlatformRecordStale = false;
  const std::string Key = ownKey();
  platform_txn Txn;
  if (!FormerRecordRead)
    Txn.Conditions.push_back({Key, 0});
  Txn.Puts.push_back({Key, encodeMember(Self), Lease});
  Platform.commit(std::move(Txn),
                  [this, Alive = Alive, Revision = Self.Revision](
                      const state::result<platform_txn_result> &Result) {
                    if (!*Alive)
                      return;
                    if (Result.has_error()) {
                      // The lease may have expired.
                      if (Result.error().is(state::errc::NotFound))
                        Lease = 0;
                      return onWriteFailed(Result.error().text());
                    }
                    if (!Result.value().Succeeded)
                      return readFormerRecord([this](bool Succeeded) {
                        if (Succeeded)
                          return writeSelf();
                        onWriteFailed("the former record can't be read");
                      });
                    Writing = false;
                    onStoreRevision(Result.value().Revision);
                    FormerRecordRead = true;
                    Registered = true;
                    NextRegister = Timers.now() + Timing.MemberRenewalInterval;
                    Departure.onWritten(Revision);
                    checkDeparture(Timers.now());
                    if (PlatformRecordStale)
                      registerSelf();
                    // This read returns all members that registered earlier;
                    // members that register later read this daemon's record.
                    if (!MembersRead)
                      readMembers(false);
                  });
}

/// The read is current. Done is called with whether it succeeded.
void fleet_agent::readFormerRecord(std::function<void(bool)> Done) {
  Platform.get(ownKey(), false,
               [this, Alive = Alive, Done = std::move(Done)](
                   const state::result<platform_read> &Read) {
                 if (!*Alive)
                   return;
                 if (Read.has_error())
                   return Done(false);
                 FormerRecordRead = true;
                 for (const platform_entry &Entry : Read.value().Entries)
                   if (auto Record = decodeMember(Entry.Value);
                       Record.has_value())
                     mergeMembers({Record.value()}, "");
                 Done(true);
               });
}

void fleet_agent::onFormerRead() {
  if (std::exchange(FormerReadPending, false))
    reportFormerUpstream();
}

void fleet_agent::renewRegistration() {
  NextRegister = Timers.now() + std::chrono::seconds(5);
  Platform.keepAlive(
      Lease,
      [this, Alive = Alive](const state::result<std::chrono::seconds> &Result) {
        if (!*Alive)
          return;
        if (!Result.has_error()) {
          NextRegister = Timers.now() + Timing.MemberRenewalInterval;
          return;
        }
        if (Result.error().is(state::errc::NotFound)) {
          Lease = 0;
          Registered = false;
          NextRegister = {};
        }
      });
}

void fleet_agent::readMembers(bool AllowStale) {
  NextMembers = Timers.now() + std::chrono::seconds(2);
  const auto Handler = [this, Alive = Alive,
                        AllowStale](const state::result<platform_read> &Read) {
    if (!*Alive)
      return;
    MembersReadAttempted = true;
    if (Read.has_error()) {
      log("members_read_failed", "reason=\"" + Read.error().text() + "\"");
      return onFormerRead();
    }
    onMembersRead(Read.value(), AllowStale);
  };
  if (AllowStale)
    Platform.getAllowStale(Dialect.membersPrefix(), true, Handler);
  else
    Platform.get(Dialect.membersPrefix(), true, Handler);
}

void fleet_agent::onMembersRead(const platform_read &Read, bool AllowStale) {
  onStoreRevision(Read.Revision);
  std::vector<member_record> Records;
  bool ReadsFormer = false;
  for (const platform_entry &Entry : Read.Entries) {
    auto Record = decodeMember(Entry.Value);
    if (Record.has_error()) {
      log("member_ignored",
          "key=" + Entry.Key + " reason=\"" + Record.error().text() + "\"");
      continue;
    }
    const member_record &Member = Record.value();
    // A record of an earlier start with the same addresses is still valid for
    // the other members, so the daemon keeps its lease.
    if (Member.Instance == Options.Instance && Entry.Lease != 0 &&
        Member.HopAddress == Options.HopAddress &&
        Member.ControlAddress == Options.ControlAddress && !Member.Left) {
      if (!Registered) {
        Lease = Entry.Lease;
        Registered = true;
        NextRegister = Timers.now() + Timing.MemberRenewalInterval / 2;
      }
      MembersRead = true;
      FormerRecordRead = FormerRecordRead || !AllowStale;
      ReadsFormer =
          !FormerRecordRead && Member.Upstream.State == upstream_state::Serving;
    }
    Records.push_back(std::move(Record.value()));
  }
  log("members_read", "count=" + std::to_string(Records.size()) +
                          " revision=" + std::to_string(Read.Revision) +
                          " maybe_old=" + std::to_string(AllowStale));
  FormerReadPending = FormerReadPending || ReadsFormer;
  mergeMembers(Records, "");
  if (ReadsFormer)
    readFormerRecord([this](bool) { onFormerRead(); });
  else
    onFormerRead();
  MembersRead = MembersRead || !AllowStale;
  // Other members may have read the members before this daemon registered, and
  // an earlier announcement may have reached none.
  if (!AllowStale || Announced)
    announceSelf();
  NextSync = {};
  requestRecords(Timers.now());
}

} // namespace hyssopledge::coordination
