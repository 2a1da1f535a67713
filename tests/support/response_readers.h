/// \file
/// The places where a process reads HTTP responses, each with a scripted server
/// as its peer, behind one interface.
#pragma once

#include "platform/kv_store.h"
#include "support/mesh_fixture.h"

#include "hyssopledge/transport/compression.h"
#include "hyssopledge/transport/document_client.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hyssopledge::tests {

/// What a call ended with, in terms of HTTP: 200 for a response that was
/// accepted, 502 for one that was not and a call that may have run, 503 for a
/// call that has not run.
struct read_result {
  unsigned Status = 0;
  std::string Body; // what the caller received
};

class response_reader {
public:
  virtual ~response_reader() = default;
  /// Makes a call that may run once at most, with a request of about this size.
  virtual read_result call(std::size_t RequestBytes) = 0;
};

struct response_reader_kind {
  const char *Name;
  std::unique_ptr<response_reader> (*Make)(const std::string &PeerAddress);
  /// Lines and body of a success of this peer.
  std::string Fields;
  std::string Body;
  /// Head of a refusal of a request that has not run; empty: there is none.
  std::string Refusal;
  bool AcceptsNoLength; // a response without a length, ended by a close
  bool KeepsConnections = true;
};

//-----------------------------------------------------------------------------
// hyssop_mesh
//-----------------------------------------------------------------------------

class mesh_reader : public response_reader {
public:
  read_result call(std::size_t RequestBytes) override {
    if (!Caller)
      Caller = std::make_unique<blocking_caller>(Entry.address());
    const auto Response = Caller->call(shopRequest(
        http::verb::post, "/book/1", std::string(RequestBytes, 'r')));
    return {Response.result_int(), Response.body()};
  }

protected:
  void setTarget(const coordination::member_record &Record) {
    Directory.merge(Record);
    Entry.run([&] {
      Entry.Plane->setDocument(
          testTable(std::chrono::seconds(5), transport::MaxBodyBytes));
      Entry.Plane->setDirectory(Directory);
    });
  }

  mesh_node Entry{"entry", "127.0.0.1:9"};

private:
  coordination::fleet_directory Directory;
  std::unique_ptr<blocking_caller> Caller;
};

class mesh_upstream_reader final : public mesh_reader {
public:
  explicit mesh_upstream_reader(const std::string &PeerAddress)
      : Target("target", PeerAddress) {
    const auto Record = Target.record();
    Target.run([&] { Target.UpstreamClient->setUpstream(Record.Upstream); });
    setTarget(Record);
  }

private:
  mesh_node Target;
};

class mesh_peer_reader final : public mesh_reader {
public:
  explicit mesh_peer_reader(const std::string &PeerAddress) {
    auto Record = Entry.record();
    Record.Instance = "target";
    Record.HopAddress = PeerAddress;
    Record.Upstream.Name = "i-target";
    setTarget(Record);
  }
};

//-----------------------------------------------------------------------------
// hyssopd
//-----------------------------------------------------------------------------

class data_plane_reader : public response_reader {
public:
  read_result call(std::size_t RequestBytes) override {
    if (!Caller)
      Caller = std::make_unique<blocking_caller>(Entry.address());
    const auto Response = Caller->call(
        makeRequest(http::verb::post, "/book", std::string(RequestBytes, 'r')));
    return {Response.result_int(), Response.body()};
  }

protected:
  void setTarget(const std::string &Address) {
    Entry.start();
    Entry.publish(testView({Address}));
  }

private:
  test_daemon Entry{"entry-0"};
  // One connection, since each loop of the daemon has connections of its own.
  std::unique_ptr<blocking_caller> Caller;
};

class data_plane_upstream_reader final : public data_plane_reader {
public:
  explicit data_plane_upstream_reader(const std::string &PeerAddress) {
    Target.Hooks.OnAnnouncement = [this](const auto &) { Announced.set(); };
    Target.start();
    Target.publish(testView({}));
    // Once: a reader is used for less than the validity of an announcement.
    Target.Plane->announce({"reservations", "v1", PeerAddress, 12, false});
    REQUIRE(Announced.wait());
    setTarget(Target.address());
  }

private:
  one_shot_event Announced;
  test_daemon Target{"target-0"};
};

class data_plane_peer_reader final : public data_plane_reader {
public:
  explicit data_plane_peer_reader(const std::string &PeerAddress) {
    setTarget(PeerAddress);
  }
};

//-----------------------------------------------------------------------------
// Store and document
//-----------------------------------------------------------------------------

/// Runs the loop until the call has a result.
template <class T, class F>
state::result<T> runCall(asio::io_context &Context, F Start) {
  std::optional<state::result<T>> Result;
  Start([&](state::result<T> R) { Result.emplace(std::move(R)); });
  Context.restart();
  while (!Result && Context.run_one_for(TestTimeout) > 0) {
  }
  REQUIRE(Result.has_value());
  return std::move(*Result);
}

class store_reader final : public response_reader {
public:
  explicit store_reader(const std::string &PeerAddress)
      : Store(Context, options(PeerAddress)) {}

  read_result call(std::size_t RequestBytes) override {
    coordination::platform_txn Txn;
    // The value is sent in base64.
    Txn.Puts.push_back({"key", std::string(RequestBytes * 3 / 4, 'r'), 0});
    const auto Result = runCall<coordination::platform_txn_result>(
        Context, [&](auto Handler) { Store.commit(Txn, Handler); });
    if (Result.has_error())
      return {Result.error().is(state::errc::Timeout)       ? 502U
              : Result.error().is(state::errc::Unavailable) ? 503U
                                                            : 0U,
              ""};
    return {200,
            R"({"revision":)" + std::to_string(Result.value().Revision) + "}"};
  }

private:
  static platform::kv_store_options options(const std::string &Address) {
    platform::kv_store_options Options;
    Options.Address = Address;
    Options.CallTimeout = std::chrono::seconds(4);
    return Options;
  }

  asio::io_context Context;
  platform::kv_store Store;
};

class document_reader final : public response_reader {
public:
  explicit document_reader(std::string PeerAddress)
      : PeerAddress(std::move(PeerAddress)), Client(Context) {}

  read_result call(std::size_t /*RequestBytes*/) override {
    const auto Result = runCall<std::string>(
        Context, [&](auto Handler) { Client.fetch(PeerAddress, Handler); });
    if (Result.has_error())
      return {502, ""};
    return {200, transport::compressText(Result.value())};
  }

private:
  asio::io_context Context;
  std::string PeerAddress;
  transport::document_client Client;
};

template <class T>
std::unique_ptr<response_reader> makeReader(const std::string &PeerAddress) {
  return std::make_unique<T>(PeerAddress);
}

inline const response_reader_kind ResponseReaders[] = {
    {"hyssop_mesh, its upstream", makeReader<mesh_upstream_reader>,
     SignatureField, "the whole body", "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n",
     true},
    {"hyssop_mesh, another daemon", makeReader<mesh_peer_reader>,
     SignatureField + std::string("x-hyssop-answer: ran||0\r\n"),
     "the whole body", "HTTP/1.1 503 X\r\nx-hyssop-answer: not-run|full|0\r\n",
     false},
    {"hyssopd, its upstream", makeReader<data_plane_upstream_reader>, "",
     "the whole body", "HTTP/1.1 503 X\r\nx-hyssop-outcome: not-run\r\n",
     false},
    {"hyssopd, another daemon", makeReader<data_plane_peer_reader>,
     "x-hyssop-outcome: ran\r\n", "the whole body",
     "HTTP/1.1 503 X\r\nx-hyssop-outcome: not-run\r\n", false},
    {"the platform's store", makeReader<store_reader>, "",
     R"({"revision":412})", "HTTP/1.1 503 X\r\n", false},
    {"a document of another daemon", makeReader<document_reader>, "",
     transport::compressText("the document"), "", false, false},
};

} // namespace hyssopledge::tests
