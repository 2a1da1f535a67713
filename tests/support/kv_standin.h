/// \file
/// Stand-in for the platform's key-value store, over HTTP on one event loop.
/// Each client has an address of its own, so that a test can withhold the
/// responses to single clients.
#pragma once

#include "hyssopledge/transport/http_listener.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssopledge::tests {

class kv_standin {
public:
  explicit kv_standin(boost::asio::io_context &Context) : Context(Context) {}
  kv_standin(const kv_standin &) = delete;
  kv_standin &operator=(const kv_standin &) = delete;

  /// Opens a listener for the client and returns its "ip:port".
  std::string serve(const std::string &Client) {
    auto Opened = transport::http_listener::open(
        {&Context}, "127.0.0.1:0", {},
        [this,
         Client](const std::shared_ptr<transport::server_exchange> &Call) {
          onCall(Client, Call);
        });
    Listeners.push_back(std::move(Opened.value()));
    return Listeners.back()->address();
  }

  //--- Faults -----------------------------------------------------------------
  /// The clients get no response from now on. A connection on which a response
  /// was withheld returns nothing further.
  void withholdFrom(std::set<std::string> Clients) {
    Silent = std::move(Clients);
  }
  /// Withholds the responses to the calls that wait for changes now; later
  /// calls on other connections are answered.
  void loseWaitingResponses() {
    for (auto &Waiting : std::exchange(Watches, {}))
      Withheld.push_back(std::move(Waiting.Call));
  }

  //--- Content ----------------------------------------------------------------
  std::int64_t put(const std::string &Key, const std::string &Value) {
    ++Revision;
    write(Key, encodeBase64(Value), 0);
    answerWatches();
    return Revision;
  }
  void remove(const std::string &Key) {
    if (Items.erase(Key) == 0)
      return;
    History.push_back(
        {{"key", Key}, {"revision", ++Revision}, {"tombstone", true}});
    answerWatches();
  }
  bool has(const std::string &Key) const { return Items.contains(Key); }
  /// The values of all keys with the prefix, decoded.
  std::map<std::string, std::string> values(const std::string &Prefix) const {
    std::map<std::string, std::string> Found;
    for (const auto &[Key, Item] : Items)
      if (Key.starts_with(Prefix))
        Found[Key] = decodeBase64(Item["value"]);
    return Found;
  }

  //--- Restore from a copy ----------------------------------------------------
  void copy() { Copy = {Items, Revision}; }
  /// Goes back to the copy: later writes and all leases are gone, and revisions
  /// are given out again. Waiting calls get no response.
  void restore() {
    Items = Copy.Items;
    Revision = Copy.Revision;
    std::erase_if(Items, [](const auto &Entry) {
      return Entry.second.value("lease", 0) != 0;
    });
    History.clear();
    HistoryBegin = Revision;
    ++Era;
    loseWaitingResponses();
  }

  std::uint64_t calls() const { return Calls; } // without stale reads

private:
  using json = nlohmann::json;
  using exchange_ptr = std::shared_ptr<transport::server_exchange>;
  struct waiting_call {
    std::string Client;
    exchange_ptr Call;
    std::string Prefix;
    std::int64_t After = 0;
    std::shared_ptr<boost::asio::steady_timer> Timeout;
  };

  static std::string encodeBase64(const std::string &Bytes) {
    std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
    const int Length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                        reinterpret_cast<const unsigned char *>(Bytes.data()),
                        static_cast<int>(Bytes.size()));
    Text.resize(static_cast<std::size_t>(Length));
    return Text;
  }

  static std::string decodeBase64(const std::string &Text) {
    std::string Bytes(3 * Text.size() / 4 + 1, '\0');
    const int Length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                        reinterpret_cast<const unsigned char *>(Text.data()),
                        static_cast<int>(Text.size()));
    const auto Padding = std::count(Text.begin(), Text.end(), '=');
    Bytes.resize(static_cast<std::size_t>(std::max<long>(0, Length - Padding)));
    return Bytes;
  }

  /// Value of a query parameter, with percent signs decoded.
  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    std::size_t At = Target.find('?');
    while (At != std::string::npos) {
      const std::size_t End = std::min(Target.find('&', At + 1), Target.size());
      const std::string Pair = Target.substr(At + 1, End - At - 1);
      if (Pair.starts_with(Name + "=")) {
        std::string Value;
        for (std::size_t I = Name.size() + 1; I < Pair.size(); ++I) {
          if (Pair[I] == '%') {
            Value +=
                static_cast<char>(std::stoi(Pair.substr(I + 1, 2), {}, 16));
            I += 2;
          } else {
            Value += Pair[I];
          }
        }
        return Value;
      }
      At = End == Target.size() ? std::string::npos : End;
    }
    return {};
  }

  void onCall(const std::string &Client, const exchange_ptr &Call) {
    const auto &Request = Call->request();
    const std::string Target(Request.target());
    const std::string Path = Target.substr(0, Target.find('?'));
    if (parameter(Target, "serializable") != "1")
      ++Calls;
    if (Path == "/api/kv-key")
      return onGet(Client, Call, parameter(Target, "key"));
    if (Path == "/api/kv-range")
      return onRange(Client, Call, parameter(Target, "prefix"));
    if (Path == "/api/kv-watch")
      return onWatch(Client, Call, Target);
    const json Body = json::parse(Request.body(), nullptr, false);
    if (Path == "/api/kv-txn")
      return onCommit(Client, Call, Body);
    if (Path == "/api/kv-lease")
      return respond(Client, Call, 200,
                     {{"lease", ++LastLease}, {"ttlMs", Body["ttlMs"]}});
    respond(Client, Call, 200, {{"ttlMs", 600'000}}); // renewals and ends
  }

  void respond(const std::string &Client, const exchange_ptr &Call,
               unsigned Status, const json &Body) {
    if (Silent.contains(Client))
      return Withheld.push_back(Call);
    auto Response =
        transport::makeResponse(Status, "application/json", Body.dump());
    Response.set("Store-Era", std::to_string(Era));
    Call->respond(std::move(Response));
  }

  void onGet(const std::string &Client, const exchange_ptr &Call,
             const std::string &Key) {
    const auto Found = Items.find(Key);
    json Body = Found == Items.end() ? json::object() : Found->second;
    Body["asOf"] = Revision;
    respond(Client, Call, Found == Items.end() ? 404 : 200, Body);
  }

  void onRange(const std::string &Client, const exchange_ptr &Call,
               const std::string &Prefix) {
    json Rows = json::array();
    for (const auto &[Key, Item] : Items)
      if (Key.starts_with(Prefix))
        Rows.push_back(Item);
    respond(Client, Call, 200,
            {{"items", Rows}, {"truncated", false}, {"asOf", Revision}});
  }

  void onCommit(const std::string &Client, const exchange_ptr &Call,
                const json &Body) {
    json Current = json::array();
    bool Holds = true;
    for (const json &Row : Body["expected"]) {
      const auto Found = Items.find(Row["key"]);
      const std::int64_t Known =
          Found == Items.end() ? 0
                               : Found->second["revision"].get<std::int64_t>();
      Holds = Holds && Known == Row["revision"];
      if (Found != Items.end())
        Current.push_back(Found->second);
    }
    if (!Holds)
      return respond(Client, Call, 412, {{"items", Current}});
    ++Revision;
    for (const json &Write : Body["writes"])
      write(Write["key"], Write["value"], Write.value("lease", 0));
    respond(Client, Call, 200, {{"revision", Revision}});
    answerWatches();
  }

  void onWatch(const std::string &Client, const exchange_ptr &Call,
               const std::string &Target) {
    const std::int64_t After = std::stoll(parameter(Target, "after"));
    if (After > Revision || After < HistoryBegin)
      return respond(Client, Call, 410, json::object());
    const std::chrono::milliseconds Wait(
        std::stoi(parameter(Target, "waitMs")));
    auto Timeout = std::make_shared<boost::asio::steady_timer>(Context, Wait);
    Timeout->async_wait([this, Call](const boost::system::error_code &Error) {
      const auto Found =
          std::find_if(Watches.begin(), Watches.end(),
                       [&](const auto &W) { return W.Call == Call; });
      if (Error || Found == Watches.end())
        return;
      const waiting_call Waiting = *Found;
      Watches.erase(Found);
      respond(Waiting.Client, Call, 200,
              {{"events", json::array()}, {"asOf", Revision}});
    });
    Watches.push_back(
        {Client, Call, parameter(Target, "prefix"), After, Timeout});
    answerWatches();
  }

  void answerWatches() {
    for (auto It = Watches.begin(); It != Watches.end();) {
      json Events = json::array();
      for (const json &Event : History)
        if (Event["revision"] > It->After &&
            Event["key"].get<std::string>().starts_with(It->Prefix))
          Events.push_back(Event);
      if (Events.empty()) {
        ++It;
        continue;
      }
      respond(It->Client, It->Call, 200,
              {{"events", Events}, {"asOf", Revision}});
      It = Watches.erase(It);
    }
  }

  void write(const std::string &Key, const std::string &Value,
             std::int64_t Lease) {
    json &Item = Items[Key];
    const std::int64_t Created =
        Item.is_null() ? Revision : Item["created"].get<std::int64_t>();
    Item = {{"key", Key},
            {"value", Value},
            {"revision", Revision},
            {"created", Created},
            {"lease", Lease}};
    History.push_back(Item);
  }

  boost::asio::io_context &Context;
  std::vector<std::unique_ptr<transport::http_listener>> Listeners;
  std::set<std::string> Silent;
  std::vector<exchange_ptr> Withheld;
  std::list<waiting_call> Watches;
  std::map<std::string, json> Items;
  std::deque<json> History;
  std::int64_t Revision = 1;
  std::int64_t HistoryBegin = 0; // earlier changes are not known
  struct {
    std::map<std::string, json> Items;
    std::int64_t Revision = 1;
  } Copy;
  unsigned Era = 1;
  std::int64_t LastLease = 0;
  std::uint64_t Calls = 0;
};

} // namespace hyssopledge::tests
