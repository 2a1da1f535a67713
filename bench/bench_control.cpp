/// \file
/// Control traffic: bytes per change, propagation time of a head, and load
/// peaks when all daemons of a data centre start at once.
#include "bench/bench.h"
#include "support/control_network.h"
#include "support/gossip_network.h"

#include <algorithm>

using namespace hyssopledge;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Services = 110;
constexpr double ChangesPerDay = 1300;
constexpr double SecondsPerDay = 86400;

/// Returns a document of at least the size; routes are added until it is
/// reached.
state::document documentOfSize(std::size_t Bytes, std::uint64_t Change) {
  state::document Document =
      tests::makeDocument("production", Services, Change);
  for (std::size_t I = 0; protocol::formatDocument(Document).size() < Bytes;)
    for (std::size_t Added = 0; Added < Services; ++Added, ++I) {
      state::route_spec Route = Document.Routes[I % Services];
      Route.Name += "_" + std::to_string(I);
      Route.PathPrefix += "/path/" + std::to_string(I);
      Route.Timeout = 2000ms;
      Document.Routes.push_back(Route);
    }
  return Document;
}

std::vector<bench::row> benchChangeBytes(const bench::options &) {
  std::vector<bench::row> Rows;
  for (const std::size_t Size : {1'000'000U, 100'000U}) {
    const state::document Before = documentOfSize(Size - 2000, 1);
    state::document After = Before;
    After.Routes[0].Timeout += 1ms;
    const auto OldDocument = protocol::splitDocument(Before);
    const auto NewDocument = protocol::splitDocument(After);
    std::map<std::string, std::string> LocalParts;
    for (const auto &Part : OldDocument.Parts)
      LocalParts[Part.Hash] = Part.Data;
    // The distribution protocol fetches the manifest, then the missing parts.
    control::fetch_request Request;
    control::fetch_response Response;
    Request.set_environment("production");
    auto Add = [&](const std::string &Hash, const std::string &Data) {
      Request.add_hashes(Hash);
      auto *Part = Response.add_parts();
      Part->set_hash(Hash);
      Part->set_data(Data);
    };
    Add(NewDocument.ManifestHash, NewDocument.Manifest);
    for (const auto &Part : NewDocument.Parts)
      if (!LocalParts.contains(Part.Hash))
        Add(Part.Hash, Part.Data);
    const auto PartBytes =
        static_cast<double>(Request.ByteSizeLong() + Response.ByteSizeLong());
    const auto WholeBytes =
        static_cast<double>(protocol::formatDocument(After).size());
    const std::string Suffix = " (" + std::to_string(Size / 1000) + " KB)";
    Rows.push_back({"bytes of one change for one daemon" + Suffix, "B",
                    PartBytes, WholeBytes, "whole document", "", false});
    Rows.push_back({"document bytes/s of one daemon" + Suffix, "B/s",
                    PartBytes * ChangesPerDay / SecondsPerDay, WholeBytes / 16,
                    "whole document polled every 16 s", "17 KB/s", false});
  }
  return Rows;
}
const bench::registration RegisterBytes("control_bytes", benchChangeBytes);

std::vector<bench::row> benchHeadPropagation(const bench::options &Options) {
  std::vector<bench::row> Rows;
  const std::vector<std::size_t> Sizes =
      Options.Quick ? std::vector<std::size_t>{16, 64}
                    : std::vector<std::size_t>{16, 128, 700};
  for (const std::size_t Count : Sizes) {
    tests::gossip_network Network(Options.Seed);
    for (std::size_t I = 0; I < Count; ++I) {
      Network.add();
      if (I > 0)
        Network.sync(*Network.Nodes[I], *Network.Nodes[0]);
    }
    for (std::size_t I = 1; I + 1 < Count; ++I)
      Network.sync(*Network.Nodes[I], *Network.Nodes[0]);
    Network.run(Options.Quick ? 60s : 120s);
    auto Packets = [&] {
      std::uint64_t Sum = 0;
      for (const auto &Node : Network.Nodes)
        Sum += Node->PacketsOut;
      return Sum;
    };
    auto Bytes = [&] {
      std::uint64_t Sum = 0;
      for (const auto &Node : Network.Nodes)
        Sum += Node->BytesOut;
      return Sum;
    };
    const auto Daemons = static_cast<double>(Count);
    const std::uint64_t IdlePackets = Packets();
    const std::uint64_t IdleBytes = Bytes();
    Network.run(10s);
    const std::string Suffix = " (" + std::to_string(Count) + " members)";
    Rows.push_back(
        {"packets/s of one daemon, 2 min after all joined" + Suffix, "1/s",
         static_cast<double>(Packets() - IdlePackets) / 10 / Daemons,
         Daemons - 1, "full-mesh heartbeats each second", "", false});
    Rows.push_back(
        {"membership bytes/s of one daemon, 2 min after all joined" + Suffix,
         "B/s", static_cast<double>(Bytes() - IdleBytes) / 10 / Daemons,
         (Daemons - 1) * 100, "full-mesh heartbeats of 100 B", "17 KB/s",
         false});

    // Each daemon that receives the new head forwards it to 4 random peers.
    control::gossip_record Head;
    Head.set_kind(control::RECORD_HEAD);
    Head.set_key("production");
    Head.set_revision(2);
    Head.set_payload(std::string(200, 'x'));
    const state::time_point SentAt = Network.Now;
    std::set<std::size_t> Receivers;
    state::time_point LastReceivedAt = SentAt;
    auto RecordReceipt = [&](tests::gossip_network::node &Node) {
      if (Receivers.contains(Node.Index) ||
          Node.Store.findRecord(control::RECORD_HEAD, "production") == nullptr)
        return;
      Receivers.insert(Node.Index);
      LastReceivedAt = Network.Now;
      Node.Members.setHead(Head);
      Node.Members.setVersions(2, 2);
      Network.send(Node, Node.Members.notify(Network.Now, 4));
    };
    Network.OnPacketHandled = RecordReceipt;
    (void)Network.Nodes[0]->Store.mergeRecord(Network.Now, Head);
    RecordReceipt(*Network.Nodes[0]);
    const std::uint64_t Before = Packets();
    while (Receivers.size() < Count && Network.Now < SentAt + 60s)
      Network.run(250ms);
    const auto PropagationTime =
        std::chrono::duration_cast<std::chrono::microseconds>(LastReceivedAt -
                                                              SentAt);
    Rows.push_back({"time until all know a head" + Suffix, "ms",
                    static_cast<double>(PropagationTime.count()) / 1000, 500,
                    "full-mesh heartbeats each second, mean", "16 s", false});
    Rows.push_back({"packets for one head, for each daemon" + Suffix, "1",
                    static_cast<double>(Packets() - Before) / Daemons,
                    Daemons - 1, "one full-mesh round", "", false});
  }
  return Rows;
}
const bench::registration RegisterPropagation("control_spread",
                                              benchHeadPropagation);

/// Returns the largest sum over one second of samples taken every 100 ms.
double peakRate(const std::vector<std::uint64_t> &Samples) {
  std::uint64_t Peak = 0;
  for (std::size_t I = 0; I + 10 <= Samples.size(); ++I) {
    std::uint64_t Sum = 0;
    for (std::size_t J = I; J < I + 10; ++J)
      Sum += Samples[J];
    Peak = std::max(Peak, Sum);
  }
  return static_cast<double>(Peak);
}

/// Returns the peak number of renewals per second granted by one relay within
/// ten minutes after all daemons of its data centre start at once.
double peakRenewalRate(std::size_t Daemons, std::uint64_t Seed) {
  state::random_engine Random(Seed);
  coordination::lease_grantor Grantor({}, Random);
  Grantor.onSpec({60s, 2.0, 7200s});
  std::vector<std::unique_ptr<coordination::lease_holder>> Holders;
  for (std::size_t I = 0; I < Daemons; ++I)
    Holders.push_back(std::make_unique<coordination::lease_holder>(Random));
  std::vector<std::uint64_t> GrantsPerStep;
  state::time_point Now{1h};
  for (int Step = 0; Step < 6000; ++Step, Now += 100ms) {
    Grantor.onHeadConfirmed(Now, 1);
    GrantsPerStep.push_back(0);
    for (std::size_t I = 0; I < Daemons; ++I) {
      if (!Holders[I]->renewalDue(Now))
        continue;
      control::renew_request Request;
      Request.set_instance(std::to_string(I));
      Request.set_incarnation(1);
      Request.set_applied_version(1);
      Holders[I]->beginRenewal(Now, Request);
      const auto Response = Grantor.onRequest(
          Now, Request, {.AppliedVersion = 1, .KnownVersion = 1});
      GrantsPerStep.back() += Response.granted() ? 1 : 0;
      Holders[I]->onResponse(Now, Response);
    }
  }
  return peakRate(GrantsPerStep);
}

/// Returns the peak number of platform calls per second while all daemons start
/// at once, and sets TotalCalls to the number within 10 s.
double peakPlatformCallRate(std::size_t Daemons, std::uint64_t Seed,
                            bool UseJitter, double &TotalCalls) {
  tests::control_network Network(Seed, Daemons, tests::ablation::None, 7);
  Network.accept();
  const std::uint64_t InitialCalls = Network.Store.Calls;
  for (std::size_t I = 0; I < Daemons; ++I) {
    if (!UseJitter)
      Network.Nodes[I].Options.MaxStartDelay = 0ms;
    Network.start(I);
  }
  std::vector<std::uint64_t> CallsPerStep;
  std::uint64_t PreviousCalls = Network.Store.Calls;
  for (int Step = 0; Step < 100; ++Step) {
    Network.run(100ms);
    CallsPerStep.push_back(Network.Store.Calls - PreviousCalls);
    PreviousCalls = Network.Store.Calls;
  }
  TotalCalls = static_cast<double>(PreviousCalls - InitialCalls);
  return peakRate(CallsPerStep);
}

std::vector<bench::row> benchSimultaneousStart(const bench::options &Options) {
  std::vector<bench::row> Rows;
  for (const std::size_t Count : {230U, 700U}) {
    const std::string Suffix = " (" + std::to_string(Count) + " return)";
    Rows.push_back({"peak of renewals/s at one relay" + Suffix, "1/s",
                    peakRenewalRate(Count, Options.Seed),
                    static_cast<double>(Count),
                    "fixed renewal time without jitter", "", false});
    if (Options.Quick)
      continue;
    double TotalCalls = 0;
    double TotalCallsBaseline = 0;
    const double Peak =
        peakPlatformCallRate(Count, Options.Seed, true, TotalCalls);
    const double Baseline =
        peakPlatformCallRate(Count, Options.Seed, false, TotalCallsBaseline);
    Rows.push_back({"peak of platform calls/s" + Suffix, "1/s", Peak, Baseline,
                    "start reads without jitter", "2000 reads/s", false});
    Rows.push_back({"platform calls in 10 s for each daemon" + Suffix, "1",
                    TotalCalls / static_cast<double>(Count),
                    TotalCallsBaseline / static_cast<double>(Count),
                    "start reads without jitter", "", false});
  }
  return Rows;
}
const bench::registration RegisterSimultaneousStart("control_herd",
                                                    benchSimultaneousStart);

} // namespace
