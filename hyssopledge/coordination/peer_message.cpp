#include "hyssopledge/coordination/peer_message.h"

#include <nlohmann/json.hpp>

namespace hyssopledge::coordination {

using nlohmann::json;

namespace {

// MessagePack needs up to this many bytes more than for an empty list or 0: 4
// for the lengths of three lists each, and 4 for Part and Parts each.
constexpr std::size_t MaxGrowthOfHead = 20;
// Encodes that an upstream has no request limit, in requests per second.
constexpr double NoRequestLimit = 1e15;

json toJson(const member_record &R) {
  const upstream_record &U = R.Upstream;
  json J =
      json::array({R.Instance, R.Incarnation, R.Revision, R.DataCentre,
                   R.HopAddress, R.ControlAddress, R.Left, U.Name, U.Service,
                   U.Version, U.Slots, static_cast<int>(U.State),
                   U.AcceptsConnections, U.Cold, U.StartUnixMs, U.Sequence});
  const bool HasPoison = !R.PoisonFingerprints.empty();
  const bool HasLink = R.LinkMbps > 0 || HasPoison;
  if (U.RequestLimit || HasLink)
    J.push_back(U.RequestLimit.value_or(NoRequestLimit));
  if (HasLink)
    J.push_back(R.LinkMbps);
  if (HasPoison)
    J.push_back(R.PoisonFingerprints);
  return J;
}

member_record memberFrom(const json &J) {
  member_record R;
  R.Instance = J.at(0).get<std::string>();
  R.Incarnation = J.at(1).get<std::uint64_t>();
  R.Revision = J.at(2).get<std::uint64_t>();
  R.DataCentre = J.at(3).get<std::string>();
  R.HopAddress = J.at(4).get<std::string>();
  R.ControlAddress = J.at(5).get<std::string>();
  R.Left = J.at(6).get<bool>();
  upstream_record &U = R.Upstream;
  U.Name = J.at(7).get<std::string>();
  U.Service = J.at(8).get<std::string>();
  U.Version = J.at(9).get<std::string>();
  U.Slots = J.at(10).get<std::uint32_t>();
  const int State = J.at(11).get<int>();
  if (State < 0 || State > static_cast<int>(upstream_state::Gone))
    throw std::out_of_range("upstream state out of range");
  U.State = static_cast<upstream_state>(State);
  U.AcceptsConnections = J.at(12).get<bool>();
  U.Cold = J.at(13).get<bool>();
  U.StartUnixMs = J.at(14).get<std::uint64_t>();
  U.Sequence = J.at(15).get<std::uint64_t>();
  // Earlier versions send the limit only if there is one, and no link rate.
  if (J.size() > 16 && J.at(16).get<double>() < NoRequestLimit)
    U.RequestLimit = J.at(16).get<double>();
  if (J.size() > 17)
    R.LinkMbps = J.at(17).get<double>();
  if (J.size() > 18)
    R.PoisonFingerprints = J.at(18).get<std::vector<std::uint64_t>>();
  return R;
}

json toJson(const rollout_record &R) {
  return json::array({R.Service, R.ToVersion, R.OrderRevision, R.Step,
                      static_cast<int>(R.State), R.ShareBp});
}

rollout_record rolloutFrom(const json &J) {
  rollout_record R;
  R.Service = J.at(0).get<std::string>();
  R.ToVersion = J.at(1).get<std::string>();
  R.OrderRevision = J.at(2).get<std::uint64_t>();
  R.Step = J.at(3).get<std::uint64_t>();
  const int State = J.at(4).get<int>();
  if (State < 0 || State > static_cast<int>(rollout_state::RolledBack))
    throw std::out_of_range("rollout state out of range");
  R.State = static_cast<rollout_state>(State);
  R.ShareBp = J.at(5).get<std::uint32_t>();
  return R;
}

json toJson(const evacuation_record &R) {
  return json::array({R.DataCentre, R.Revision, R.Active});
}

evacuation_record evacuationFrom(const json &J) {
  evacuation_record R;
  R.DataCentre = J.at(0).get<std::string>();
  R.Revision = J.at(1).get<std::uint64_t>();
  R.Active = J.at(2).get<bool>();
  return R;
}

json toJson(const std::string &Route, const run_counts &Count) {
  json Row = json::array({Route, Count.Runs, Count.Failures, Count.TotalMs});
  if (Count.Unfinished > 0) {
    Row.push_back(Count.Unfinished);
    Row.push_back(Count.UnfinishedMs);
  }
  return Row;
}

json toJson(const state::crash_sighting &S) {
  return json::array({S.Fingerprint, S.Instance, S.Incarnation, S.InFlight});
}

std::string pack(const json &J) {
  std::string Out;
  json::to_msgpack(J, Out);
  return Out;
}

/// Accepts MessagePack up to a nesting depth. The decoder recurses into nested
/// values, so that deep ones from another writer would exhaust the stack.
class nesting_check final : public json::json_sax_t {
public:
  bool start_object(std::size_t) override { return enter(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool end_array() override { return leave(); }
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(std::int64_t) override { return true; }
  bool number_unsigned(std::uint64_t) override { return true; }
  bool number_float(double, const std::string &) override { return true; }
  bool string(std::string &) override { return true; }
  bool binary(json::binary_t &) override { return true; }
  bool key(std::string &) override { return true; }
  bool parse_error(std::size_t, const std::string &,
                   const json::exception &) override {
    return false;
  }

private:
  static constexpr unsigned MaxDepth = 8; // records in messages have 3
  bool enter() { return ++Depth <= MaxDepth; }
  bool leave() { return Depth-- > 0; }
  unsigned Depth = 0;
};

/// Returns a discarded value if the text is not MessagePack or nested too
/// deeply.
json unpack(std::string_view Text) {
  nesting_check Check;
  if (!json::sax_parse(Text, &Check, json::input_format_t::msgpack))
    return json(json::value_t::discarded);
  return json::from_msgpack(Text, true, false);
}

state::failure malformed(const std::string &What) {
  return {state::errc::InvalidMessage, "malformed peer message: " + What};
}

} // namespace

std::string encodePeerMessage(const peer_message &M) {
  json J = json::array({static_cast<int>(M.Kind), M.From, M.ControlAddress});
  switch (M.Kind) {
  case peer_message_kind::Beacon:
    J.push_back(M.DataCentre);
    J.push_back(M.PlatformReached);
    J.push_back(M.DocumentVersion);
    J.push_back(M.Digest);
    if (M.StoreEra > 0)
      J.push_back(M.StoreEra);
    break;
  case peer_message_kind::Records: {
    json Members = json::array();
    for (const member_record &Record : M.Members)
      Members.push_back(toJson(Record));
    json Rollouts = json::array();
    for (const rollout_record &Record : M.Rollouts)
      Rollouts.push_back(toJson(Record));
    J.push_back(std::move(Members));
    J.push_back(std::move(Rollouts));
    J.push_back(M.Part);
    J.push_back(M.Parts);
    if (!M.Evacuations.empty()) {
      json Evacuations = json::array();
      for (const evacuation_record &Record : M.Evacuations)
        Evacuations.push_back(toJson(Record));
      J.push_back(std::move(Evacuations));
    }
    break;
  }
  case peer_message_kind::Evidence: {
    json Counts = json::array();
    for (const auto &[Route, Count] : M.Counts)
      Counts.push_back(toJson(Route, Count));
    J.push_back(M.Service);
    J.push_back(M.Version);
    J.push_back(M.OrderRevision);
    J.push_back(std::move(Counts));
    J.push_back(M.Incarnation);
    break;
  }
  case peer_message_kind::Crash: {
    json Sightings = json::array();
    for (const state::crash_sighting &Sighting : M.Sightings)
      Sightings.push_back(toJson(Sighting));
    J.push_back(std::move(Sightings));
    break;
  }
  case peer_message_kind::QuotaAsk:
  case peer_message_kind::QuotaGrant: {
    json Rows = json::array();
    for (const quota_ask &Ask : M.Asks)
      Rows.push_back(json::array({Ask.Workspace, Ask.Count}));
    for (const quota_answer &Answer : M.Grants)
      Rows.push_back(json::array({Answer.Granted, Answer.RetryAfterMs}));
    J.push_back(M.Slot);
    J.push_back(M.Sequence);
    J.push_back(M.Lends);
    J.push_back(M.Releases);
    J.push_back(std::move(Rows));
    if (!M.Returns.empty()) {
      json Returns = json::array();
      for (const quota_ask &Return : M.Returns)
        Returns.push_back(json::array({Return.Workspace, Return.Count}));
      J.push_back(std::move(Returns));
    }
    break;
  }
  case peer_message_kind::Keep:
    for (const member_record &Record : M.Members)
      J.push_back(toJson(Record));
    break;
  case peer_message_kind::Kept:
    J.push_back(M.Incarnation);
    J.push_back(M.Revision);
    break;
  case peer_message_kind::Sync:
  case peer_message_kind::Ping:
  case peer_message_kind::Pong:
    break;
  }
  return pack(J);
}

state::result<peer_message> decodePeerMessage(std::string_view Datagram) {
  const json J = unpack(Datagram);
  if (J.is_discarded() || !J.is_array())
    return malformed("not a MessagePack array");
  try {
    peer_message M;
    const int Kind = J.at(0).get<int>();
    if (Kind < static_cast<int>(peer_message_kind::Beacon) ||
        Kind > static_cast<int>(peer_message_kind::Kept))
      return malformed("unknown kind " + std::to_string(Kind));
    M.Kind = static_cast<peer_message_kind>(Kind);
    M.From = J.at(1).get<std::string>();
    M.ControlAddress = J.at(2).get<std::string>();
    switch (M.Kind) {
    case peer_message_kind::Beacon:
      M.DataCentre = J.at(3).get<std::string>();
      M.PlatformReached = J.at(4).get<bool>();
      M.DocumentVersion = J.at(5).get<std::uint64_t>();
      M.Digest = J.at(6).get<std::uint64_t>();
      if (J.size() > 7) // sent only if the store has an era
        M.StoreEra = J.at(7).get<std::uint64_t>();
      break;
    case peer_message_kind::Records:
      for (const json &Record : J.at(3))
        M.Members.push_back(memberFrom(Record));
      for (const json &Record : J.at(4))
        M.Rollouts.push_back(rolloutFrom(Record));
      M.Part = J.at(5).get<std::uint32_t>();
      M.Parts = J.at(6).get<std::uint32_t>();
      if (J.size() > 7) // sent only if there are any
        for (const json &Record : J.at(7))
          M.Evacuations.push_back(evacuationFrom(Record));
      break;
    case peer_message_kind::Evidence:
      M.Service = J.at(3).get<std::string>();
      M.Version = J.at(4).get<std::string>();
      M.OrderRevision = J.at(5).get<std::uint64_t>();
      if (J.size() > 7) // not sent by earlier versions
        M.Incarnation = J.at(7).get<std::uint64_t>();
      for (const json &Row : J.at(6)) {
        run_counts &Count = M.Counts[Row.at(0).get<std::string>()];
        Count.Runs = Row.at(1).get<std::uint64_t>();
        Count.Failures = Row.at(2).get<std::uint64_t>();
        Count.TotalMs = Row.at(3).get<std::uint64_t>();
        if (Row.size() > 5) { // sent only if there are any
          Count.Unfinished = Row.at(4).get<std::uint64_t>();
          Count.UnfinishedMs = Row.at(5).get<std::uint64_t>();
        }
      }
      break;
    case peer_message_kind::Crash:
      for (const json &Row : J.at(3))
        M.Sightings.push_back(
            {Row.at(0).get<std::uint64_t>(), Row.at(1).get<std::string>(),
             Row.at(2).get<std::uint64_t>(), Row.at(3).get<std::uint32_t>()});
      break;
    case peer_message_kind::QuotaAsk:
    case peer_message_kind::QuotaGrant:
      M.Slot = J.at(3).get<std::uint32_t>();
      M.Sequence = J.at(4).get<std::uint64_t>();
      M.Lends = J.at(5).get<bool>();
      M.Releases = J.at(6).get<bool>();
      for (const json &Row : J.at(7))
        if (M.Kind == peer_message_kind::QuotaAsk)
          M.Asks.push_back(
              {Row.at(0).get<std::string>(), Row.at(1).get<std::uint32_t>()});
        else
          M.Grants.push_back(
              {Row.at(0).get<std::uint32_t>(), Row.at(1).get<std::uint32_t>()});
      if (J.size() > 8) // sent only if there are any
        for (const json &Row : J.at(8))
          M.Returns.push_back(
              {Row.at(0).get<std::string>(), Row.at(1).get<std::uint32_t>()});
      break;
    case peer_message_kind::Keep:
      M.Members.push_back(memberFrom(J.at(3)));
      break;
    case peer_message_kind::Kept:
      M.Incarnation = J.at(3).get<std::uint64_t>();
      M.Revision = J.at(4).get<std::uint64_t>();
      break;
    case peer_message_kind::Sync:
    case peer_message_kind::Ping:
    case peer_message_kind::Pong:
      break;
    }
    return M;
  } catch (const std::exception &Error) {
    return malformed(Error.what());
  }
}

std::vector<peer_message> splitMessage(const peer_message &Message) {
  peer_message Head = Message;
  Head.Members.clear();
  Head.Rollouts.clear();
  Head.Evacuations.clear();
  Head.Counts.clear();
  Head.Sightings.clear();
  const std::size_t HeadBytes =
      encodePeerMessage(Head).size() + MaxGrowthOfHead;
  std::vector<peer_message> Parts = {Head};
  std::size_t Bytes = HeadBytes;
  bool Empty = true;
  // Returns the message that has room for the item.
  const auto PartFor = [&](const json &Item) -> peer_message & {
    const std::size_t ItemBytes = pack(Item).size();
    if (!Empty && Bytes + ItemBytes > MaxDatagramBytes) {
      Parts.push_back(Head);
      Bytes = HeadBytes;
    }
    Empty = false;
    Bytes += ItemBytes;
    return Parts.back();
  };
  for (const member_record &Record : Message.Members)
    PartFor(toJson(Record)).Members.push_back(Record);
  for (const rollout_record &Record : Message.Rollouts)
    PartFor(toJson(Record)).Rollouts.push_back(Record);
  for (const evacuation_record &Record : Message.Evacuations)
    PartFor(toJson(Record)).Evacuations.push_back(Record);
  for (const auto &[Route, Count] : Message.Counts)
    PartFor(toJson(Route, Count)).Counts.emplace(Route, Count);
  for (const state::crash_sighting &Sighting : Message.Sightings)
    PartFor(toJson(Sighting)).Sightings.push_back(Sighting);
  return Parts;
}

std::vector<std::string> encodeDatagrams(const peer_message &Message) {
  std::vector<std::string> Datagrams = {encodePeerMessage(Message)};
  if (Datagrams.front().size() <= MaxDatagramBytes)
    return Datagrams;
  Datagrams.clear();
  for (const peer_message &Part : splitMessage(Message))
    Datagrams.push_back(encodePeerMessage(Part));
  return Datagrams;
}

std::vector<peer_message> splitRecords(const peer_message &Message) {
  std::vector<peer_message> Parts = splitMessage(Message);
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    Parts[I].Part = static_cast<std::uint32_t>(I);
    Parts[I].Parts = static_cast<std::uint32_t>(Parts.size());
  }
  return Parts;
}

std::string encodeMember(const member_record &Record) {
  return pack(toJson(Record));
}

state::result<member_record> decodeMember(std::string_view Text) {
  const json J = unpack(Text);
  if (J.is_discarded())
    return malformed("not MessagePack");
  try {
    return memberFrom(J);
  } catch (const std::exception &Error) {
    return malformed(Error.what());
  }
}

} // namespace hyssopledge::coordination
