/// \file
/// Quotas of workspaces over a fleet of quota agents on a simulated network,
/// with lost messages, frozen, killed and isolated daemons. Guards that a
/// workspace never runs more requests in a window than its limit and the
/// tolerance allow, and that requests within the limit are granted.
#include "hyssopledge/coordination/quota_agent.h"
#include "hyssopledge/state/random.h"

#include "support/manual_timer_service.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace hyssopledge;
using coordination::peer_message;
using coordination::quota_result;
using state::milliseconds;
using state::quota_limit;
using state::quota_pool;

namespace {

// The users' bounds: quotaWindowS, quotaOverage and quotaSlack.
constexpr milliseconds Window{5000};
constexpr state::quota_tolerance Tolerance{0.1, 20, Window};

double allowed(const quota_limit &Limit) {
  const double Seconds = std::chrono::duration<double>(Window).count();
  return (Limit.RequestsPerSecond * Seconds + Limit.Burst) *
             (1 + Tolerance.Overage) +
         Tolerance.Requests;
}

/// Quota agents named "d-10", "d-11" and so on.
class quota_fleet {
public:
  static constexpr milliseconds Step{5};
  static constexpr milliseconds MessageTime{2};

  explicit quota_fleet(unsigned Count, double LossRate = 0)
      : LossRate(LossRate) {
    Timers.advance(std::chrono::hours(1));
    for (unsigned I = 0; I < Count; ++I) {
      coordination::member_record Record;
      Record.Instance = Record.ControlAddress = name(I);
      Record.Incarnation = Record.Revision = 1;
      Record.LinkMbps = I < Count / 8 ? 200 : 10;
      Record.Upstream.State = coordination::upstream_state::Serving;
      Directory.merge(Record);
    }
    for (unsigned I = 0; I < Count; ++I)
      start(name(I));
  }

  static std::string name(unsigned I) { return "d-" + std::to_string(10 + I); }

  void setWorkspaces(std::vector<state::workspace_spec> NewWorkspaces) {
    Workspaces = std::move(NewWorkspaces);
    for (auto &[Name, Node] : Nodes)
      Node->Agent->setWorkspaces(Workspaces);
  }

  void start(const std::string &Name) {
    auto Node = std::make_unique<node>();
    coordination::quota_agent_hooks Hooks;
    Hooks.Send = [this, Name](const std::string &To, const peer_message &M) {
      for (const std::string &Datagram : coordination::encodeDatagrams(M)) {
        CHECK(Datagram.size() <= coordination::MaxDatagramBytes);
        Messages.push_back({Timers.now() + MessageTime, Name, To, Datagram});
        ++SentMessages;
        SentBytes += Datagram.size();
      }
    };
    Node->Agent = std::make_unique<coordination::quota_agent>(
        coordination::quota_agent_options{Name, Name, Tolerance}, Hooks,
        Node->Timers);
    Node->Timers.advance(Timers.now() - Node->Timers.now());
    Node->Agent->setDirectory(Directory);
    Node->Agent->setWorkspaces(Workspaces);
    Nodes[Name] = std::move(Node);
  }

  void run(milliseconds Time, const std::function<void()> &EachStep = {}) {
    const auto End = Timers.now() + Time;
    while (Timers.now() < End) {
      Timers.advance(Step);
      for (auto &[Name, Node] : Nodes)
        if (!Frozen.contains(Name))
          Node->Timers.advance(Timers.now() - Node->Timers.now());
      deliver();
      if (EachStep)
        EachStep();
    }
  }

  /// Sends a request of the workspace through the daemon.
  void request(const std::string &Daemon, const std::string &Workspace) {
    const auto Found = Nodes.find(Daemon);
    if (Found == Nodes.end() || Frozen.contains(Daemon))
      return;
    ++Sent[Workspace];
    Found->second->Agent->acquire(
        Workspace,
        [this, Daemon, Workspace](quota_result Result, milliseconds) {
          if (Result == quota_result::Granted &&
              state::unitInterval(Random()) < RefusedByTargets)
            Nodes.at(Daemon)->Agent->giveBack(Workspace);
          else if (Result == quota_result::Granted)
            Granted[Workspace].push_back(Timers.now());
          else if (Result == quota_result::Unanswered)
            ++Unanswered[Workspace];
        });
  }

  /// Largest number of granted requests in a window.
  double mostInWindow(const std::string &Workspace) {
    const auto &Times = Granted[Workspace];
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t I = 0; I < Times.size(); ++I) {
      while (Times[I] - Times[First] > Window)
        ++First;
      Most = std::max(Most, I - First + 1);
    }
    return static_cast<double>(Most);
  }

  tests::manual_timer_service Timers;
  coordination::fleet_directory Directory;
  std::set<std::string> Frozen;
  std::set<std::string> Isolated; // reach only each other
  std::map<std::string, std::vector<state::time_point>> Granted;
  std::map<std::string, unsigned> Sent;
  std::map<std::string, unsigned> Unanswered;
  std::uint64_t SentMessages = 0;
  std::uint64_t SentBytes = 0;
  double RefusedByTargets = 0; // of the granted requests
  state::random_engine Random{7};

  struct node {
    tests::manual_timer_service Timers; // stands still while it is frozen
    std::unique_ptr<coordination::quota_agent> Agent;
  };
  std::map<std::string, std::unique_ptr<node>> Nodes;

private:
  struct datagram {
    state::time_point At;
    std::string From;
    std::string To;
    std::string Text;
  };

  void deliver() {
    std::deque<datagram> Later;
    for (datagram &Datagram : std::exchange(Messages, {})) {
      // A frozen daemon finds its datagrams when it runs again.
      if (Datagram.At > Timers.now() || Frozen.contains(Datagram.To)) {
        Later.push_back(std::move(Datagram));
        continue;
      }
      const auto To = Nodes.find(Datagram.To);
      if (To == Nodes.end() ||
          Isolated.contains(Datagram.From) != Isolated.contains(Datagram.To) ||
          state::unitInterval(Random()) < LossRate)
        continue;
      auto Message = coordination::decodePeerMessage(Datagram.Text);
      REQUIRE(Message.has_value());
      To->second->Agent->onPeerAlive(Datagram.From);
      To->second->Agent->onMessage(Message.value());
    }
    for (datagram &Datagram : Later)
      Messages.push_back(std::move(Datagram));
  }

  double LossRate;
  std::vector<state::workspace_spec> Workspaces;
  std::deque<datagram> Messages;
};

state::workspace_spec workspace(const std::string &Name, double Rate,
                                double Burst) {
  state::workspace_spec Workspace;
  Workspace.Name = Name;
  Workspace.Quota = {Rate, Burst};
  return Workspace;
}

/// Sends requests at a rate through daemons that are drawn at random.
class sender {
public:
  sender(quota_fleet &Fleet, std::string Workspace, double PerSecond)
      : Fleet(Fleet), Workspace(std::move(Workspace)), PerSecond(PerSecond) {}
  void step() {
    Due += PerSecond * std::chrono::duration<double>(quota_fleet::Step).count();
    for (; Due >= 1; Due -= 1) {
      const auto I = state::uniformBelow(Fleet.Random, Fleet.Directory.size());
      Fleet.request(quota_fleet::name(static_cast<unsigned>(I)), Workspace);
    }
  }

private:
  quota_fleet &Fleet;
  std::string Workspace;
  double PerSecond;
  double Due = 0;
};

} // namespace

TEST_CASE("a pool grants what the lent shares allow") {
  struct pool_case {
    const char *Name;
    unsigned Lenders; // of 10 members
    double Rate;
    unsigned Expected; // of 1,000 requests in 10 s
  };
  const pool_case Cases[] = {
      {"all lend", 10, 20, 200},
      {"half of them lend", 5, 20, 100},
      {"none lends", 0, 20, 0},
      {"more than is asked", 10, 500, 1000},
  };
  for (const pool_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    quota_pool Pool;
    state::time_point Now{std::chrono::hours(1)};
    unsigned Granted = 0;
    for (int I = 0; I < 1000; ++I, Now += milliseconds(10)) {
      for (unsigned Lender = 0; Lender < Case.Lenders; ++Lender)
        Pool.lend(std::to_string(Lender), Now);
      Granted += Pool.take("t", {Case.Rate, 1}, 1, 10, Now).Granted;
    }
    CHECK(Granted <= Case.Expected + 1);
    CHECK(Granted + 10 >= Case.Expected);
  }
}

TEST_CASE("refused requests come back one after the other") {
  quota_pool Pool;
  const state::time_point Now{std::chrono::hours(1)};
  Pool.lend("a", Now);
  CHECK(Pool.take("t", {10, 1}, 1, 1, Now).Granted == 0);
  milliseconds Last{0};
  for (int I = 0; I < 5; ++I) {
    const auto Grant = Pool.take("t", {10, 1}, 1, 1, Now);
    CHECK(Grant.RetryAfter > Last);
    Last = Grant.RetryAfter;
  }
  for (int I = 0; I < 1000; ++I)
    Last = Pool.take("t", {10, 1}, 1, 1, Now).RetryAfter;
  CHECK(Last == quota_pool::MaxRetryAfter);
}

TEST_CASE("workspaces within their limits are served, others get their limit") {
  struct load_case {
    const char *Name;
    unsigned Daemons;
    double LossRate;
  };
  for (const load_case &Case :
       {load_case{"87 daemons", 87, 0}, load_case{"three daemons", 3, 0},
        load_case{"3% of the messages are lost", 40, 0.03}}) {
    CAPTURE(std::string(Case.Name));
    quota_fleet Fleet(Case.Daemons, Case.LossRate);
    Fleet.setWorkspaces({workspace("large", 480, 480), workspace("small", 3, 3),
                         workspace("hot", 100, 100)});
    Fleet.run(milliseconds(2000));
    std::vector<sender> Senders = {
        {Fleet, "large", 300}, {Fleet, "small", 2}, {Fleet, "hot", 700}};
    Fleet.run(milliseconds(20'000), [&] {
      for (sender &Sender : Senders)
        Sender.step();
    });
    Fleet.run(milliseconds(500));
    for (const char *Workspace : {"large", "small"}) {
      CAPTURE(std::string(Workspace));
      CHECK(static_cast<double>(Fleet.Granted[Workspace].size()) >=
            0.99 * Fleet.Sent[Workspace]);
    }
    // The limit of 20 s and the burst.
    CHECK(Fleet.Granted["hot"].size() >= 2000);
    CHECK(Fleet.mostInWindow("hot") <= allowed({100, 100}));
  }
}

// Two daemons that both grant for a workspace would double its limit.
TEST_CASE("no fault makes the fleet exceed a limit") {
  struct fault_case {
    const char *Name;
    std::function<void(quota_fleet &, unsigned Round)> Strike;
    double LossRate = 0;
  };
  const auto Owners = [](unsigned Round) {
    return quota_fleet::name(Round % 3); // members with fast links
  };
  const fault_case Cases[] = {
      {"owners freeze in turn",
       [&](quota_fleet &F, unsigned Round) { F.Frozen = {Owners(Round)}; }},
      {"owners are killed and started again",
       [&](quota_fleet &F, unsigned Round) {
         if (Round % 2 == 0)
           F.Nodes.erase(Owners(Round / 2));
         else
           F.start(Owners(Round / 2));
       }},
      {"half of the fleet is isolated and comes back",
       [](quota_fleet &F, unsigned Round) {
         F.Isolated.clear();
         if (Round % 2 == 0)
           for (unsigned I = 0; I < 12; ++I)
             F.Isolated.insert(quota_fleet::name(I));
       }},
      {"one owner is isolated and messages are lost",
       [&](quota_fleet &F, unsigned Round) { F.Isolated = {Owners(Round)}; },
       0.1},
      {"the limit becomes a tenth",
       [](quota_fleet &F, unsigned Round) {
         if (Round == 3)
           F.setWorkspaces({workspace("hot", 6, 6)});
       }},
  };
  for (const fault_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    quota_fleet Fleet(24, Case.LossRate);
    Fleet.setWorkspaces({workspace("hot", 60, 60)});
    sender Sender(Fleet, "hot", 400);
    for (unsigned Round = 0; Round < 12; ++Round) {
      Case.Strike(Fleet, Round);
      Fleet.run(milliseconds(1700), [&] { Sender.step(); });
    }
    CHECK(Fleet.mostInWindow("hot") <= allowed({60, 60}));
    CHECK(Fleet.Granted["hot"].size() > 100);
  }
}

// Tokens of refused requests were lost, so that a workspace within its limit
// was refused while the targets of others were overloaded.
TEST_CASE("tokens of requests that have not run come back") {
  quota_fleet Fleet(24);
  Fleet.setWorkspaces({workspace("t", 50, 50)});
  Fleet.run(milliseconds(2000));
  Fleet.RefusedByTargets = 0.5;
  sender Sender(Fleet, "t", 120);
  Fleet.run(milliseconds(10'000), [&] { Sender.step(); });
  // The requests that run get the whole limit.
  CHECK(Fleet.Granted["t"].size() >= 475);
  CHECK(Fleet.mostInWindow("t") <= allowed({50, 50}));
}

TEST_CASE("an owner that fails is replaced within a second") {
  quota_fleet Fleet(24);
  Fleet.setWorkspaces({workspace("t", 100, 100)});
  Fleet.run(milliseconds(2000));
  sender Sender(Fleet, "t", 50);
  // All members with fast links fail at once.
  for (unsigned I = 0; I < 3; ++I)
    Fleet.Frozen.insert(quota_fleet::name(I));
  Fleet.run(milliseconds(2500), [&] { Sender.step(); });
  const std::size_t Before = Fleet.Granted["t"].size();
  const unsigned SentBefore = Fleet.Sent["t"];
  Fleet.run(milliseconds(3000), [&] { Sender.step(); });
  CHECK(static_cast<double>(Fleet.Granted["t"].size() - Before) >=
        0.95 * (Fleet.Sent["t"] - SentBefore));
}

// The wait had no end when the last quota ended while its owner was silent.
TEST_CASE("requests that wait for a quota are answered when quotas change") {
  struct change_case {
    const char *Name;
    std::vector<state::workspace_spec> After;
    bool OwnerBack; // with the change
  };
  const change_case Cases[] = {
      {"all quotas end", {}, false},
      {"its quota ends", {workspace("t", 0, 0), workspace("u", 5, 5)}, false},
      {"it is removed", {workspace("u", 5, 5)}, false},
      {"its quota changes", {workspace("t", 10, 10)}, false},
      {"nothing changes", {workspace("t", 100, 100)}, false},
      {"all quotas end, the owner answers late", {}, true},
  };
  for (const change_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    quota_fleet Fleet(24);
    Fleet.setWorkspaces({workspace("t", 100, 100)});
    Fleet.run(milliseconds(2000));
    for (unsigned I = 0; I < 3; ++I) // one of them is the owner
      Fleet.Frozen.insert(quota_fleet::name(I));
    constexpr int Requests = 16;
    std::map<int, unsigned> Answers; // by request
    unsigned Granted = 0;
    auto &Agent = *Fleet.Nodes.at(quota_fleet::name(20))->Agent;
    for (int I = 0; I < Requests; ++I)
      Agent.acquire("t", [&, I](quota_result Result, milliseconds) {
        ++Answers[I];
        Granted += Result == quota_result::Granted ? 1 : 0;
      });
    Fleet.run(milliseconds(120));
    CHECK(Answers.empty());
    Fleet.setWorkspaces(Case.After);
    if (Case.OwnerBack)
      Fleet.Frozen.clear();
    Fleet.run(milliseconds(2000));
    CHECK(Answers.size() == Requests);
    for (const auto &[Request, Count] : Answers)
      CHECK(Count == 1);
    const bool HasLimit =
        std::any_of(Case.After.begin(), Case.After.end(), [](const auto &W) {
          return W.Name == "t" && W.Quota.RequestsPerSecond > 0;
        });
    if (!HasLimit)
      CHECK(Granted == Requests);
  }
}

// The users' goal for all control traffic of a daemon is 17 KB/s.
TEST_CASE("quotas cost little traffic at any size of the fleet") {
  struct size_case {
    unsigned Daemons;
    double RequestsPerSecond; // of all daemons
  };
  for (const size_case &Case : {size_case{87, 0}, size_case{87, 1320},
                                size_case{700, 0}, size_case{700, 10'500}}) {
    CAPTURE(Case.Daemons);
    CAPTURE(Case.RequestsPerSecond);
    quota_fleet Fleet(Case.Daemons);
    std::vector<state::workspace_spec> Workspaces;
    std::vector<sender> Senders;
    constexpr unsigned WorkspaceCount = 85;
    for (unsigned I = 0; I < WorkspaceCount; ++I) {
      const std::string Name = "workspace-" + std::to_string(I);
      Workspaces.push_back(workspace(Name, 1000, 1000));
      Senders.emplace_back(Fleet, Name,
                           Case.RequestsPerSecond / WorkspaceCount);
    }
    Fleet.setWorkspaces(Workspaces);
    Fleet.run(milliseconds(1000));
    const auto Bytes = Fleet.SentBytes;
    constexpr double Seconds = 2;
    Fleet.run(milliseconds(2000), [&] {
      for (sender &Sender : Senders)
        Sender.step();
    });
    const double PerDaemon =
        static_cast<double>(Fleet.SentBytes - Bytes) / Seconds / Case.Daemons;
    MESSAGE("daemons ", Case.Daemons, ", requests/s ", Case.RequestsPerSecond,
            ": ", PerDaemon, " B/s sent by each daemon on average");
    CHECK(PerDaemon < 17'000.0 / 4);
  }
}

TEST_CASE("without limits nothing is sent") {
  quota_fleet Fleet(10);
  Fleet.setWorkspaces({workspace("t", 0, 0)});
  Fleet.run(milliseconds(3000));
  CHECK(Fleet.SentMessages == 0);
  Fleet.setWorkspaces({workspace("t", 10, 10)});
  Fleet.run(milliseconds(3000));
  CHECK(Fleet.SentMessages > 0);
  Fleet.setWorkspaces({});
  Fleet.run(milliseconds(100));
  const auto Sent = Fleet.SentMessages;
  Fleet.run(milliseconds(3000));
  CHECK(Fleet.SentMessages == Sent);
}
