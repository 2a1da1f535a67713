#include "hyssopledge/coordination/quota_agent.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <utility>

namespace hyssopledge::coordination {

using state::milliseconds;
using state::time_point;

namespace {

// Workspaces in one message, asked for and returned each, so that it fits into
// a datagram.
constexpr std::size_t MaxAsksPerMessage = 20;
// A longer gap between two ticks means that this process itself was stalled;
// the silence of the owners is then not counted.
constexpr milliseconds MaxTickDelay{500};
// Retry-After of requests that an owner can't judge: it does not know the
// workspace yet, or none has answered.
constexpr milliseconds UnknownRetryAfter{250};
// Interval at which exceeded quotas are logged, for each workspace.
constexpr milliseconds LogInterval{1000};

/// Equal on all daemons.
std::uint64_t hashOf(std::uint32_t Salt, const std::string &Text) {
  boost::crc_optimal<64, 0x42F0E1EBA9EA3693ULL, 0, 0, false, false> Crc;
  const std::string Salted = std::to_string(Salt) + '/' + Text;
  Crc.process_bytes(Salted.data(), Salted.size());
  return Crc.checksum();
}

} // namespace

quota_agent::quota_agent(quota_agent_options Options, quota_agent_hooks Hooks,
                         state::timer_service &Timers)
    : Options(std::move(Options)), Hooks(std::move(Hooks)), Timers(Timers) {
  // Sequences increase across restarts on the same machine.
  LastSequence = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          Timers.now().time_since_epoch())
          .count());
  for (slot &Slot : Slots) {
    Slot.Pool = state::quota_pool(this->Options.Tolerance);
    Slot.Owners = {{this->Options.Instance, this->Options.ControlAddress}};
  }
}

std::uint32_t quota_agent::slotOf(const std::string &Workspace) {
  return static_cast<std::uint32_t>(hashOf(0, Workspace) % SlotCount);
}

void quota_agent::setWorkspaces(
    const std::vector<state::workspace_spec> &Workspaces) {
  Limits.clear();
  for (const state::workspace_spec &Workspace : Workspaces)
    if (Workspace.Quota.RequestsPerSecond > 0)
      Limits[Workspace.Name] = Workspace.Quota;
  if (!enabled()) {
    TickTimer.reset();
  } else if (!TickTimer) {
    LastTick = Timers.now();
    TickTimer =
        Timers.every(TickInterval, [this](time_point Now) { tick(Now); });
    tick(LastTick);
  }
  grantUnlimited();
}

/// Grants the waiting requests of workspaces without a limit. Without the timer
/// nothing else would end their wait.
void quota_agent::grantUnlimited() {
  std::vector<waiting_request> Granted;
  const auto Take = [&](auto &Requests) {
    for (waiting_request &Request : Requests)
      if (!Limits.contains(Request.Workspace))
        Granted.push_back(std::move(Request));
    std::erase_if(Requests, [](const waiting_request &Request) {
      return Request.Handler == nullptr;
    });
  };
  for (slot &Slot : Slots) {
    Take(Slot.Waiting);
    for (auto &[Sequence, Ask] : Slot.Sent)
      for (auto &Requests : Ask.ByWorkspace)
        Take(Requests);
    std::erase_if(Slot.Returned, [&](const auto &Entry) {
      return !Limits.contains(Entry.first);
    });
  }
  for (const waiting_request &Request : Granted)
    Request.Handler(quota_result::Granted, milliseconds(0));
}

/// Prefers members with fast links, which are the larger machines, and spreads
/// the slots over equal ones.
void quota_agent::setDirectory(const fleet_directory &Directory) {
  Members = std::max<std::size_t>(1, Directory.size());
  for (std::uint32_t Index = 0; Index < SlotCount; ++Index) {
    struct ranked {
      double LinkMbps;
      std::uint64_t Hash;
      const member_record *Member;
    };
    std::vector<ranked> Ranked;
    for (const auto &[Name, Member] : Directory.members())
      if (!Member.Left && Member.Upstream.AcceptsConnections &&
          Member.Upstream.State == upstream_state::Serving)
        Ranked.push_back({Member.LinkMbps, hashOf(Index, Name), &Member});
    std::sort(Ranked.begin(), Ranked.end(),
              [](const ranked &A, const ranked &B) {
                return A.LinkMbps != B.LinkMbps ? A.LinkMbps > B.LinkMbps
                                                : A.Hash < B.Hash;
              });
    auto &Owners = Slots[Index].Owners;
    Owners.clear();
    for (const ranked &Entry : Ranked)
      Owners.push_back({Entry.Member->Instance, Entry.Member->ControlAddress});
    // Cut off from all others, a daemon owns its slots itself.
    Owners.push_back({Options.Instance, Options.ControlAddress});
  }
}

peer_message quota_agent::message(peer_message_kind Kind,
                                  std::uint32_t Index) const {
  peer_message Message;
  Message.Kind = Kind;
  Message.From = Options.Instance;
  Message.ControlAddress = Options.ControlAddress;
  Message.Slot = Index;
  return Message;
}

//-----------------------------------------------------------------------------
// Asking and lending
//-----------------------------------------------------------------------------

void quota_agent::tick(time_point Now) {
  if (Now - std::exchange(LastTick, Now) > MaxTickDelay)
    for (slot &Slot : Slots)
      Slot.Unanswered = 0;
  for (std::uint32_t Index = 0; Index < SlotCount; ++Index) {
    slot &Slot = Slots[Index];
    updateOwner(Index);
    probeAvoided(Index, Now);
    updateLoan(Index, Now);
    expireWaiting(Slot, Now);
    flush(Index, Now);
  }
}

/// Sends a message that neither asks nor lends to the owners that would be
/// preferred if they responded.
void quota_agent::probeAvoided(std::uint32_t Index, time_point Now) {
  for (const candidate &Candidate : Slots[Index].Owners) {
    if (Candidate.Instance == Slots[Index].Owner)
      return;
    const auto Found = Avoided.find(Candidate.Instance);
    if (Found == Avoided.end() || Now < Found->second)
      continue;
    Found->second = Now + ProbeInterval;
    peer_message Message = message(peer_message_kind::QuotaAsk, Index);
    Message.Sequence = ++LastSequence;
    Hooks.Send(Candidate.ControlAddress, Message);
  }
}

void quota_agent::updateOwner(std::uint32_t Index) {
  slot &Slot = Slots[Index];
  const auto Preferred = std::find_if(
      Slot.Owners.begin(), Slot.Owners.end(), [&](const candidate &Candidate) {
        return Candidate.Instance == Options.Instance ||
               !Avoided.contains(Candidate.Instance);
      });
  if (Preferred == Slot.Owners.end() || Preferred->Instance == Slot.Owner)
    return;
  if (Hooks.Log)
    Hooks.Log("quota_owner", "slot=" + std::to_string(Index) + " owner=" +
                                 Preferred->Instance + " former=" + Slot.Owner);
  Slot.Owner = Preferred->Instance;
  Slot.OwnerAddress = Preferred->ControlAddress;
  Slot.Unanswered = 0;
  Slot.Returned.clear(); // granted by the former owner
  for (auto &[Sequence, Ask] : std::exchange(Slot.Sent, {}))
    for (auto &Requests : Ask.ByWorkspace)
      for (waiting_request &Request : Requests)
        Slot.Waiting.push_back(std::move(Request));
}

void quota_agent::updateLoan(std::uint32_t Index, time_point Now) {
  slot &Slot = Slots[Index];
  if (Leaving)
    return;
  if (Slot.Borrower != Slot.Owner) {
    if (Slot.Borrower == Options.Instance) {
      Slot.Pool.takeBack(Options.Instance);
      Slot.Borrower.clear();
    }
    if (!Slot.Borrower.empty() && Now < Slot.LoanEndsAt)
      return release(Index);
    Slot.Borrower = Slot.Owner;
    Slot.BorrowerAddress = Slot.OwnerAddress;
    Slot.LastSentAt = {};
  }
  if (Slot.Owner == Options.Instance)
    return Slot.Pool.lend(Options.Instance, Now);
  const milliseconds Interval =
      Slot.Unanswered == 0 ? LendInterval : RetryInterval;
  if (Now - Slot.LastSentAt >= Interval)
    send(Index, message(peer_message_kind::QuotaAsk, Index), Now);
}

/// Asks the former owner to confirm that it has dropped this daemon's shares.
void quota_agent::release(std::uint32_t Index) {
  peer_message Message = message(peer_message_kind::QuotaAsk, Index);
  Message.Sequence = ++LastSequence;
  Message.Releases = true;
  Hooks.Send(Slots[Index].BorrowerAddress, Message);
}

void quota_agent::send(std::uint32_t Index, peer_message Message,
                       time_point Now) {
  slot &Slot = Slots[Index];
  if (Message.Sequence == 0)
    Message.Sequence = ++LastSequence;
  if (Slot.Unanswered++ == 0)
    Slot.SilentSince = Now;
  Slot.LastSentAt = Now;
  while (!Slot.Returned.empty() && Message.Returns.size() < MaxAsksPerMessage) {
    const auto First = Slot.Returned.extract(Slot.Returned.begin());
    Message.Returns.push_back({First.key(), First.mapped()});
  }
  // A silent owner gets no further loan, so that the shares are free soon.
  Message.Lends =
      !Leaving && Slot.Borrower == Slot.Owner && Slot.Unanswered == 1;
  if (Message.Lends)
    Slot.LoanEndsAt = Now + state::quota_pool::LendPeriod + LoanMargin;
  Hooks.Send(Slot.OwnerAddress, Message);
  if (Slot.Unanswered >= MaxUnanswered &&
      Now - Slot.SilentSince >= SilenceTimeout)
    Avoided[Slot.Owner] = Now + ProbeInterval;
}

void quota_agent::acquire(const std::string &Workspace, handler Handler) {
  if (!Limits.contains(Workspace))
    return Handler(quota_result::Granted, milliseconds(0));
  const time_point Now = Timers.now();
  const std::uint32_t Index = slotOf(Workspace);
  slot &Slot = Slots[Index];
  Slot.Waiting.push_back({Workspace, std::move(Handler), Now});
  flush(Index, Now);
}

/// Sends the waiting requests unless an answer is due, after which they follow
/// in one message.
void quota_agent::flush(std::uint32_t Index, time_point Now) {
  slot &Slot = Slots[Index];
  if (Slot.Owner == Options.Instance)
    return takeOwn(Slot, Now);
  for (auto It = Slot.Sent.begin(); It != Slot.Sent.end();) {
    if (Now - It->second.SentAt < RetryInterval) {
      ++It;
      continue;
    }
    for (auto &Requests : It->second.ByWorkspace)
      for (waiting_request &Request : Requests)
        Slot.Waiting.push_back(std::move(Request));
    It = Slot.Sent.erase(It);
  }
  if (!Slot.Sent.empty() || Slot.Waiting.empty() || Slot.Owner.empty())
    return;
  peer_message Message = message(peer_message_kind::QuotaAsk, Index);
  Message.Sequence = ++LastSequence;
  sent_ask Ask;
  Ask.SentAt = Now;
  std::map<std::string, std::size_t> IndexOf;
  std::deque<waiting_request> Later;
  for (waiting_request &Request : std::exchange(Slot.Waiting, {})) {
    const auto Known = IndexOf.find(Request.Workspace);
    if (Known != IndexOf.end()) {
      ++Message.Asks[Known->second].Count;
      Ask.ByWorkspace[Known->second].push_back(std::move(Request));
    } else if (IndexOf.size() < MaxAsksPerMessage) {
      IndexOf.emplace(Request.Workspace, Message.Asks.size());
      Message.Asks.push_back({Request.Workspace, 1});
      Ask.ByWorkspace.emplace_back().push_back(std::move(Request));
    } else {
      Later.push_back(std::move(Request));
    }
  }
  Slot.Waiting = std::move(Later);
  Slot.Sent.emplace(Message.Sequence, std::move(Ask));
  send(Index, std::move(Message), Now);
}

/// Takes tokens from the pool of a slot that this daemon owns.
state::quota_grant quota_agent::take(slot &Slot, const std::string &Workspace,
                                     std::uint32_t Count, time_point Now) {
  const auto Limit = Limits.find(Workspace);
  if (Limit == Limits.end()) // of a newer document, or of a former one
    return {0, UnknownRetryAfter};
  const state::quota_grant Grant =
      Slot.Pool.take(Workspace, Limit->second, Count, Members, Now);
  time_point &LoggedAt = Slot.ExceededLoggedAt[Workspace];
  if (Grant.Granted < Count && Hooks.Log && Now - LoggedAt >= LogInterval) {
    LoggedAt = Now;
    Hooks.Log("quota_exceeded",
              "workspace=" + Workspace + " per_second=" +
                  std::to_string(Limit->second.RequestsPerSecond) +
                  " burst=" + std::to_string(Limit->second.Burst) +
                  " share=" + std::to_string(Slot.Pool.share(Members, Now)) +
                  " members=" + std::to_string(Members) + " retry_after_ms=" +
                  std::to_string(Grant.RetryAfter.count()));
  }
  return Grant;
}

void quota_agent::takeOwn(slot &Slot, time_point Now) {
  for (waiting_request &Request : std::exchange(Slot.Waiting, {})) {
    const state::quota_grant Grant = take(Slot, Request.Workspace, 1, Now);
    Request.Handler(Grant.Granted > 0 ? quota_result::Granted
                                      : quota_result::Exceeded,
                    Grant.RetryAfter);
  }
}

/// Tokens are returned with the next message to the owner.
void quota_agent::giveBack(const std::string &Workspace) {
  if (!Limits.contains(Workspace))
    return;
  slot &Slot = Slots[slotOf(Workspace)];
  if (Slot.Owner == Options.Instance)
    Slot.Pool.giveBack(Workspace, 1);
  else
    ++Slot.Returned[Workspace];
}

void quota_agent::expireWaiting(slot &Slot, time_point Now) {
  std::deque<waiting_request> Expired;
  while (!Slot.Waiting.empty() && Now - Slot.Waiting.front().Since >= MaxWait) {
    Expired.push_back(std::move(Slot.Waiting.front()));
    Slot.Waiting.pop_front();
  }
  for (const waiting_request &Request : Expired)
    Request.Handler(quota_result::Unanswered, UnknownRetryAfter);
}

void quota_agent::leave() {
  Leaving = true;
  for (std::uint32_t Index = 0; Index < SlotCount; ++Index) {
    slot &Slot = Slots[Index];
    if (Slot.Borrower == Options.Instance)
      Slot.Pool.takeBack(Options.Instance);
    else if (!Slot.Borrower.empty())
      release(Index);
    Slot.Borrower.clear();
  }
}

//-----------------------------------------------------------------------------
// Messages
//-----------------------------------------------------------------------------

void quota_agent::onMessage(const peer_message &Message) {
  if (Message.Slot >= SlotCount)
    return;
  const time_point Now = Timers.now();
  if (Message.Kind == peer_message_kind::QuotaAsk)
    onAsk(Message, Now);
  else if (Message.Kind == peer_message_kind::QuotaGrant)
    onGrant(Message, Now);
}

void quota_agent::onAsk(const peer_message &Message, time_point Now) {
  slot &Slot = Slots[Message.Slot];
  peer_message Grant = message(peer_message_kind::QuotaGrant, Message.Slot);
  Grant.Sequence = Message.Sequence;
  Grant.Releases = Message.Releases;
  if (Message.Releases) {
    Slot.Pool.takeBack(Message.From);
    Slot.ReleasedBy[Message.From] = Message.Sequence;
  } else if (Message.Lends) {
    // A loan that was sent before the release may arrive after it.
    const auto Released = Slot.ReleasedBy.find(Message.From);
    if (Released == Slot.ReleasedBy.end() ||
        Released->second < Message.Sequence)
      Slot.Pool.lend(Message.From, Now);
  }
  for (const quota_ask &Return : Message.Returns)
    Slot.Pool.giveBack(Return.Workspace, Return.Count);
  for (const quota_ask &Ask : Message.Asks) {
    const state::quota_grant Granted =
        take(Slot, Ask.Workspace, Ask.Count, Now);
    Grant.Grants.push_back({Granted.Granted, static_cast<std::uint32_t>(
                                                 Granted.RetryAfter.count())});
  }
  Hooks.Send(Message.ControlAddress, Grant);
}

void quota_agent::onGrant(const peer_message &Message, time_point Now) {
  slot &Slot = Slots[Message.Slot];
  if (Message.From == Slot.Owner)
    Slot.Unanswered = 0;
  if (Message.Releases && Message.From == Slot.Borrower &&
      Slot.Borrower != Slot.Owner) {
    Slot.Borrower.clear();
    updateLoan(Message.Slot, Now);
  }
  auto Found = Slot.Sent.extract(Message.Sequence);
  if (!Found.empty()) {
    sent_ask &Ask = Found.mapped();
    for (std::size_t I = 0; I < Ask.ByWorkspace.size(); ++I) {
      const quota_answer Answer =
          I < Message.Grants.size() ? Message.Grants[I] : quota_answer{};
      std::uint32_t Left = Answer.Granted;
      for (const waiting_request &Request : Ask.ByWorkspace[I]) {
        const bool Granted = Left > 0;
        Left -= Granted ? 1 : 0;
        Request.Handler(Granted ? quota_result::Granted
                                : quota_result::Exceeded,
                        milliseconds(Granted ? 0 : Answer.RetryAfterMs));
      }
    }
  }
  flush(Message.Slot, Now);
}

} // namespace hyssopledge::coordination
