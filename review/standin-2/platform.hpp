/// \file
/// Stand-in for the platform's store, as PROTOCOL.md describes it.
#pragma once

#include "net.hpp"

#include <nlohmann/json.hpp>

namespace rig {

using nlohmann::json;

inline std::string base64(const std::string &Bytes) {
  static const char *const Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Out += I + J > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63];
  }
  return Out;
}

class store {
public:
  /// Reads with serializable=1 show the state of StaleMs before.
  store(endpoint At, ms StaleMs)
      : StaleMs(StaleMs), Server(At, [this](connection &C, const message &M) {
          return serve(C, M);
        }) {}

  /// A write of the operator. Returns its revision; the return is its
  /// acknowledgement.
  std::int64_t put(const std::string &Key, const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Revision;
    write(Key, base64(Value), 0);
    Changed.notify_all();
    return Revision;
  }
  /// The store is down: connections are reset. With Lapse, leases end now.
  void goDown(bool Lapse) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Down = true;
    if (Lapse)
      while (!Leases.empty())
        endLease(Leases.begin()->first);
    Changed.notify_all();
  }
  void comeBack() { Down = false; }
  std::string value(const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Items.find(Key);
    return Found == Items.end() ? "" : Found->second.Value;
  }

private:
  struct item {
    std::string Value; // base64
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct change {
    ms At;
    std::int64_t Revision;
    std::string Key;
    bool Deleted;
    item Item;
  };

  void write(const std::string &Key, const std::string &Value,
             std::int64_t Lease) {
    item &Item = Items[Key];
    if (Item.Created == 0)
      Item.Created = Revision;
    Item.Value = Value;
    Item.Revision = Revision;
    Item.Lease = Lease;
    Log.push_back({nowMs(), Revision, Key, false, Item});
  }
  void remove(const std::string &Key) {
    if (Items.erase(Key) > 0)
      Log.push_back({nowMs(), Revision, Key, true, {}});
  }
  static json toJson(const std::string &Key, const item &Item) {
    return {{"key", Key},
            {"value", Item.Value},
            {"revision", Item.Revision},
            {"created", Item.Created},
            {"lease", Item.Lease}};
  }
  static std::map<std::string, std::string> queryOf(const std::string &Target) {
    std::map<std::string, std::string> Out;
    const auto Mark = Target.find('?');
    if (Mark == std::string::npos)
      return Out;
    std::string Query = Target.substr(Mark + 1) + "&";
    for (std::size_t At = 0; At < Query.size();) {
      const auto End = Query.find('&', At);
      const std::string Pair = Query.substr(At, End - At);
      At = End + 1;
      const auto Equal = Pair.find('=');
      std::string Value;
      if (Equal != std::string::npos)
        for (std::size_t I = Equal + 1; I < Pair.size(); ++I) {
          if (Pair[I] == '%' && I + 2 < Pair.size()) {
            Value += static_cast<char>(
                std::strtol(Pair.substr(I + 1, 2).c_str(), nullptr, 16));
            I += 2;
          } else {
            Value += Pair[I];
          }
        }
      Out[Pair.substr(0, Equal)] = Value;
    }
    return Out;
  }
  static bool begins(const std::string &Text, const std::string &Prefix) {
    return Text.compare(0, Prefix.size(), Prefix) == 0;
  }

  bool serve(connection &To, const message &Request) {
    constexpr ms AnswerTime = 4;
    if (Down)
      return reset(To);
    const std::string Target = Request.target();
    const std::string Path = Target.substr(0, Target.find('?'));
    auto Query = queryOf(Target);
    const auto Body = json::parse(Request.Body, nullptr, false);
    if (Path == "/api/kv-watch") {
      const std::string Answer = watch(Query);
      return Down ? reset(To) : To.send(formatResponse(200, Answer));
    }
    sleepMs(AnswerTime);
    if (Down)
      return reset(To);
    int Status = 200;
    json Answer = json::object();
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (Path == "/api/kv-key") {
        const auto Found = Items.find(Query["key"]);
        if (Found == Items.end())
          Status = 404;
        else
          Answer = toJson(Found->first, Found->second);
        Answer["asOf"] = Revision;
      } else if (Path == "/api/kv-range") {
        Answer = range(Query);
      } else if (Path == "/api/kv-txn") {
        Status = commit(Body, Answer);
      } else if (Path == "/api/kv-lease") {
        Answer = {{"lease", ++LastLease}, {"ttlMs", Body["ttlMs"]}};
        Leases[LastLease] = Body["ttlMs"].get<std::int64_t>();
      } else if (begins(Path, "/api/kv-keep/")) {
        const auto Found = Leases.find(std::atoll(Path.c_str() + 13));
        if (Found == Leases.end())
          Status = 404;
        else
          Answer = {{"ttlMs", Found->second}};
      } else if (begins(Path, "/api/kv-lease-end/")) {
        endLease(std::atoll(Path.c_str() + 18));
      } else {
        Status = 404;
      }
      Changed.notify_all();
    }
    Record.line("store " + Request.method() + " " + Target + " -> " +
                std::to_string(Status));
    return To.send(formatResponse(Status, Answer.dump()));
  }

  static bool reset(connection &To) {
    const linger Linger{1, 0};
    ::setsockopt(To.Socket, SOL_SOCKET, SO_LINGER, &Linger, sizeof Linger);
    return false;
  }

  void endLease(std::int64_t Lease) {
    Leases.erase(Lease);
    std::vector<std::string> Gone;
    for (const auto &[Key, Item] : Items)
      if (Item.Lease == Lease)
        Gone.push_back(Key);
    if (Gone.empty())
      return;
    ++Revision;
    for (const std::string &Key : Gone)
      remove(Key);
  }

  json range(std::map<std::string, std::string> &Query) {
    std::map<std::string, item> Then = Items;
    std::int64_t AsOf = Revision;
    if (Query["serializable"] == "1" && StaleMs > 0) {
      Then.clear();
      AsOf = 100;
      for (const change &Change : Log)
        if (Change.At <= nowMs() - StaleMs) {
          AsOf = Change.Revision;
          if (Change.Deleted)
            Then.erase(Change.Key);
          else
            Then[Change.Key] = Change.Item;
        }
    }
    json Rows = json::array();
    for (const auto &[Key, Item] : Then)
      if (begins(Key, Query["prefix"]) && Key > Query["after"])
        Rows.push_back(toJson(Key, Item));
    return {{"items", Rows}, {"truncated", false}, {"asOf", AsOf}};
  }

  int commit(const json &Body, json &Answer) {
    bool Holds = true;
    json Current = json::array();
    for (const json &Row : Body["expected"]) {
      const auto Found = Items.find(Row["key"].get<std::string>());
      const std::int64_t Known =
          Found == Items.end() ? 0 : Found->second.Revision;
      Holds = Holds && Known == Row["revision"].get<std::int64_t>();
      if (Found != Items.end())
        Current.push_back(toJson(Found->first, Found->second));
    }
    if (!Holds) {
      Answer = {{"items", Current}};
      return 412;
    }
    for (const json &Row : Body["writes"])
      if (Row.value("lease", std::int64_t(0)) != 0 &&
          !Leases.contains(Row["lease"].get<std::int64_t>()))
        return 404;
    ++Revision;
    for (const json &Row : Body["writes"])
      write(Row["key"], Row["value"], Row.value("lease", std::int64_t(0)));
    for (const json &Key : Body["remove"])
      remove(Key);
    Answer = {{"revision", Revision}};
    return 200;
  }

  std::string watch(std::map<std::string, std::string> &Query) {
    const std::int64_t After = std::atoll(Query["after"].c_str());
    const ms Until = nowMs() + std::atoll(Query["waitMs"].c_str());
    std::unique_lock<std::mutex> Lock(Mutex);
    while (true) {
      json Rows = json::array();
      for (const change &Change : Log)
        if (Change.Revision > After && begins(Change.Key, Query["prefix"]))
          Rows.push_back(Change.Deleted ? json{{"key", Change.Key},
                                               {"revision", Change.Revision},
                                               {"tombstone", true}}
                                        : toJson(Change.Key, Change.Item));
      if (!Rows.empty() || nowMs() >= Until || Down)
        return json{{"events", Rows}, {"asOf", Revision}}.dump();
      Changed.wait_for(
          Lock, std::chrono::milliseconds(std::max<ms>(1, Until - nowMs())));
    }
  }

  const ms StaleMs;
  std::atomic<bool> Down{false};
  std::mutex Mutex;
  std::condition_variable Changed;
  std::int64_t Revision = 100;
  std::int64_t LastLease = 0;
  std::map<std::string, item> Items;
  std::map<std::int64_t, std::int64_t> Leases; // ttlMs by lease
  std::vector<change> Log;
  server Server; // last, so that it serves a complete object
};

} // namespace rig
