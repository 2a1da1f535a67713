/// \file
/// Tests of the mesh plane with a caller, daemons and scripted upstreams on
/// loopback: requests that reach an upstream, and responses to the caller.
#include <doctest/doctest.h>

#include "support/mesh_fixture.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <mutex>
#include <optional>
#include <sys/socket.h>

using namespace hyssopledge;
using namespace hyssopledge::tests;
namespace asio = boost::asio;
using coordination::upstream_state;
using std::chrono::milliseconds;

namespace {

/// An address at which connections are neither accepted nor refused.
class unresponsive_address {
public:
  unresponsive_address() {
    Listener.bind({asio::ip::make_address("127.0.0.1"), 0});
    Listener.listen(0);
    // The accept queue holds one connection; the others are needed in case
    // the first has not reached it yet. They must not block.
    const auto Endpoint = Listener.local_endpoint();
    for (auto &Filler : Fillers) {
      Filler.non_blocking(true);
      const int Result = ::connect(Filler.native_handle(), Endpoint.data(),
                                   static_cast<socklen_t>(Endpoint.size()));
      REQUIRE((Result == 0 || errno == EINPROGRESS));
    }
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listener.local_endpoint().port());
  }

private:
  asio::io_context Context;
  asio::ip::tcp::acceptor Listener{Context, asio::ip::tcp::v4()};
  std::array<asio::ip::tcp::socket, 4> Fillers{
      asio::ip::tcp::socket(Context, asio::ip::tcp::v4()),
      asio::ip::tcp::socket(Context, asio::ip::tcp::v4()),
      asio::ip::tcp::socket(Context, asio::ip::tcp::v4()),
      asio::ip::tcp::socket(Context, asio::ip::tcp::v4())};
};

/// Sends raw bytes for the first request of each connection, then closes.
scripted_upstream::script sendingBytes(const std::string &Bytes) {
  return [=](upstream_connection &Connection) {
    if (Connection.read())
      Connection.send(Bytes);
  };
}

} // namespace

TEST_CASE(
    "a request is forwarded unchanged except for the fields of the mesh") {
  blocking_queue<http_request> Seen;
  mesh Mesh({[&](upstream_connection &Connection) {
    while (auto Request = Connection.read()) {
      Seen.push(*Request);
      Connection.respond("hello", 201,
                         std::string(SignatureField) + "X-Kept: 1\r\n");
    }
  }});
  http_request Request = shopRequest(http::verb::post, "/book/7?x=%20y", "abc");
  Request.set("Caller-Service", "forged");
  Request.set("X-Other", "kept");
  Request.set(http::field::connection, "keep-alive, X-Hop");
  Request.set("X-Hop", "dropped");
  const auto Response = Mesh.call(Request);
  CHECK(Response.result_int() == 201);
  CHECK(Response.body() == "hello");
  CHECK(Response["Response-Signature"] == "s");
  CHECK(Response["X-Kept"] == "1");
  CHECK(Response.find("x-hyssop-answer") == Response.end());
  const auto Received = Seen.pop();
  REQUIRE(Received.has_value());
  CHECK(Received->method() == http::verb::post);
  CHECK(Received->target() == "/book/7?x=%20y");
  CHECK(Received->body() == "abc");
  CHECK((*Received)["Attempt-Id"] == "a1");
  CHECK((*Received)["Caller-Service"] == "pages");
  CHECK((*Received)["Expected-Instance"] == "i-target-0");
  CHECK((*Received)["X-Other"] == "kept");
  CHECK(Received->find("X-Hop") == Received->end());
  CHECK(Received->find("x-hyssop-call") == Received->end());
  const int Left = std::stoi(std::string((*Received)["Deadline-Ms"]));
  CHECK(Left > 3000);
  CHECK(Left <= 4000);
}

TEST_CASE("the response of the upstream determines the status for the caller") {
  struct response_case {
    const char *Name;
    scripted_upstream::script First; // of the upstream that is tried first
    // Expected status of a request; the second upstream responds with 200.
    unsigned IdempotentStatus;
    unsigned NonIdempotentStatus;
  };
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const response_case Cases[] = {
      {"complete response", respondingWith("first"), 200, 200},
      {"truncated body",
       sendingBytes(Head + SignatureField + "Content-Length: 10\r\n\r\nabc"),
       200, 502},
      {"truncated header", sendingBytes("HTTP/1.1 200"), 200, 502},
      {"header cut behind its first line", sendingBytes(Head), 200, 502},
      {"header cut behind the signature", sendingBytes(Head + SignatureField),
       200, 502},
      {"header cut within the length",
       sendingBytes(Head + SignatureField + "Content-Length: 1"), 200, 502},
      {"header cut before its last byte",
       sendingBytes(Head + SignatureField + "Content-Length: 0\r\n\r"), 200,
       502},
      {"header of an interim response only",
       sendingBytes("HTTP/1.1 102 Processing\r\n\r\n"), 200, 502},
      {"status 000",
       sendingBytes("HTTP/1.1 000 X\r\n" + std::string(SignatureField) +
                    "Content-Length: 1\r\n\r\nx"),
       200, 502},
      {"status 042",
       sendingBytes("HTTP/1.1 042 X\r\n" + std::string(SignatureField) +
                    "Content-Length: 1\r\n\r\nx"),
       200, 502},
      {"status 999",
       sendingBytes("HTTP/1.1 999 X\r\n" + std::string(SignatureField) +
                    "Content-Length: 1\r\n\r\nx"),
       200, 502},
      {"not HTTP", sendingBytes("hello hello hello\r\n\r\n"), 200, 502},
      {"success without a signature", respondingWith("x", 200, ""), 200, 502},
      {"error response", respondingWith("x", 500), 200, 500},
      {"not run", respondingWith("", 503, "Not-Executed: 1\r\n"), 200, 200},
      {"another upstream at the address", respondingWith("", 421), 200, 200},
      {"closed at once", [](upstream_connection &C) { C.close(); }, 200, 502},
      {"close-delimited response",
       sendingBytes(Head + SignatureField + "\r\nto the end"), 200, 200},
      {"interim response first",
       sendingBytes("HTTP/1.1 102 Processing\r\n\r\n" + Head + SignatureField +
                    "Content-Length: 1\r\n\r\nx"),
       200, 200},
      {"response to another request first",
       sendingBytes(Head + SignatureField +
                    "Attempt-Id: other\r\nContent-Length: 5\r\n\r\n"
                    "wrong" +
                    Head + SignatureField +
                    "Attempt-Id: a1\r\nContent-Length: 5\r\n\r\n"
                    "right"),
       200, 200},
  };
  for (const response_case &Case : Cases)
    for (const bool Idempotent : {true, false}) {
      CAPTURE(std::string(Case.Name));
      CAPTURE(Idempotent);
      mesh Mesh({Case.First, respondingWith("second")});
      // The second target is in another data centre, so the first is tried
      // first.
      Mesh.Entry.run([&] {
        auto Remote = Mesh.Targets[1]->record();
        Remote.DataCentre = "dc2";
        Mesh.Directory.merge(Remote);
        Mesh.Entry.Plane->setDirectory(Mesh.Directory);
      });
      const auto Response =
          Mesh.call(Idempotent ? shopRequest(http::verb::get, "/look/1")
                               : shopRequest(http::verb::post, "/book/1", "b"));
      CHECK(Response.result_int() ==
            (Idempotent ? Case.IdempotentStatus : Case.NonIdempotentStatus));
      CHECK(Response.body() != "wrong");
      CHECK(Response.body() != "abc");
    }
}

TEST_CASE("bytes after a response are not read as the next response") {
  std::atomic<unsigned> Requests{0};
  mesh Mesh({[&](upstream_connection &Connection) {
    while (Connection.read()) {
      ++Requests;
      Connection.send(
          "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
          "Content-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n"
          "Response-Signature: s\r\nContent-Length: 5\r\n\r\nextra");
    }
  }});
  for (int I = 0; I < 3; ++I)
    CHECK(Mesh.call(shopRequest(http::verb::get, "/look/1")).body() == "x");
  CHECK(Requests == 3);
}

// The read must end by itself: the upstream goes on until the daemon closes.
TEST_CASE("bytes without end from an upstream are cut at a limit") {
  const std::string Chunk(64 * 1024, 'x');
  struct endless_case {
    const char *Name;
    std::string Begin;
    std::string Repeated;
  };
  const std::string Other = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                            "Content-Length: 0\r\n\r\n";
  const endless_case Cases[] = {
      {"no HTTP", "", Chunk},
      {"header field", "HTTP/1.1 200 OK\r\nA: ", Chunk},
      {"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"body up to the close",
       "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\n", Chunk},
      {"body of a great length",
       "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", Chunk},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "10000\r\n" + Chunk + "\r\n"},
      {"chunks of one byte",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {"chunk extension",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", Chunk},
      {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "A: b\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to other requests", "", Other},
  };
  for (const endless_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    blocking_queue<std::size_t> SentBytes;
    mesh Mesh({[&](upstream_connection &Connection) {
      if (!Connection.read())
        return;
      std::string Repeated;
      while (Repeated.size() < Chunk.size())
        Repeated += Case.Repeated;
      std::size_t Sent = 0;
      Connection.send(Case.Begin);
      while (Connection.trySend(Repeated))
        Sent += Repeated.size();
      SentBytes.push(Sent);
    }});
    const auto Started = std::chrono::steady_clock::now();
    const auto Response =
        Mesh.call(shopRequest(http::verb::post, "/book/1", "b"));
    CHECK(Response.result_int() == 502);
    // Long before the caller's deadline of 4 s.
    CHECK(std::chrono::steady_clock::now() - Started < milliseconds(2000));
    // The largest response that is accepted, and socket buffers.
    CHECK(SentBytes.pop().value_or(1ULL << 40) <=
          transport::MaxBodyBytes + 12 * 1024 * 1024);
  }
}

// Each of them was kept until its caller had read it, however many there were.
TEST_CASE("responses that wait for slow callers are bounded") {
  constexpr std::size_t BodyBytes = 7'000'000;
  const std::string Body(BodyBytes, 'x');
  struct slow_case {
    http::verb Method;
    const char *Path;
    unsigned Status;
  };
  for (const slow_case &Case :
       {slow_case{http::verb::get, "/look/large", 200},
        slow_case{http::verb::post, "/book/large", 500}}) {
    CAPTURE(Case.Status);
    mesh Mesh({[&](upstream_connection &Connection) {
      while (const auto Request = Connection.read())
        if (Request->target() == Case.Path)
          Connection.respond(Body, Case.Status, SignatureField);
        else
          Connection.respond("small", 200, SignatureField);
    }});
    std::size_t HeldBytes = 0;
    for (const http_response &Response : callAndReadLate(
             Mesh.Entry.address(), shopRequest(Case.Method, Case.Path), 20,
             [&] { // other callers are served all the while
               const auto Small =
                   Mesh.call(shopRequest(http::verb::get, "/look/1"));
               CHECK(Small.body() == "small");
             })) {
      if (Response.result_int() == Case.Status)
        HeldBytes += Response.body().size();
      else
        CHECK(Response.result_int() == 502);
    }
    // The last of them was complete when the limit was reached.
    CHECK(HeldBytes <= transport::DefaultBodyBudget + BodyBytes);
    CHECK(HeldBytes >= transport::DefaultBodyBudget - BodyBytes);
  }
}

// A faulty upstream writes an earlier response once more on a kept connection,
// while it is idle or when the next request has arrived.
TEST_CASE(
    "a repeated refusal is not taken for the response of a later request") {
  struct repeat_case {
    const char *Name;
    bool BeforeNext; // repeated before the next request arrives
    bool Idempotent;
  };
  for (const repeat_case &Case :
       {repeat_case{"while idle", true, false},
        repeat_case{"before the response of a booking", false, false},
        repeat_case{"before the response of a read", false, true}}) {
    CAPTURE(std::string(Case.Name));
    const std::string Refusal =
        "HTTP/1.1 503 X\r\nAttempt-Id: first\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n";
    std::atomic<int> Runs{0};
    one_shot_event Repeated;
    const auto Script = [&](upstream_connection &Connection) {
      while (auto Request = Connection.read()) {
        const std::string Id((*Request)["Attempt-Id"]);
        if (Id == "first") {
          Connection.send(Refusal);
          if (Case.BeforeNext) {
            Connection.send(Refusal);
            Repeated.set();
          }
          continue;
        }
        if (!Case.BeforeNext)
          Connection.send(Refusal);
        ++Runs;
        Connection.respond("ran", 200,
                           SignatureField + ("Attempt-Id: " + Id + "\r\n"));
      }
    };
    // Two upstreams, so that a retry would run the request again.
    mesh Mesh({Script, Script});
    const char *const Path = Case.Idempotent ? "/look/1" : "/book/1";
    const auto Method = Case.Idempotent ? http::verb::get : http::verb::post;
    http_request First = shopRequest(Method, Path);
    First.set("Attempt-Id", "first");
    CHECK(Mesh.call(First).result_int() == 503);
    if (Case.BeforeNext)
      REQUIRE(Repeated.wait());
    for (const char *Id : {"second", "third"}) {
      Runs = 0;
      http_request Next = shopRequest(Method, Path);
      Next.set("Attempt-Id", Id);
      const auto Response = Mesh.call(Next);
      CHECK(Response.result_int() == 200);
      CHECK(Response.body() == "ran");
      CHECK(Runs == 1);
    }
  }
}

// A version whose order had not arrived got requests like any other.
TEST_CASE("a version without an order gets requests only if no other can") {
  mesh Mesh({respondingWith("v1"), respondingWith("v2")});
  auto Old = Mesh.Targets[0]->record();
  Old.Upstream.Version = "v1";
  auto New = Mesh.Targets[1]->record();
  New.Upstream.State = upstream_state::None;
  const auto Set = [&] {
    Mesh.Directory.merge(Old);
    Mesh.Directory.merge(New);
    Mesh.Entry.run([&] { Mesh.Entry.Plane->setDirectory(Mesh.Directory); });
  };
  const auto CallsToNew = [&] {
    int Count = 0;
    for (int I = 0; I < 20; ++I)
      Count += Mesh.call(shopRequest(http::verb::get, "/look/1")).body() == "v2"
                   ? 1
                   : 0;
    return Count;
  };
  Set();
  std::this_thread::sleep_for(milliseconds(2100)); // all that serve are known
  New = Mesh.Targets[1]->record();
  New.Upstream.Version = "v2";
  Set();
  CHECK(CallsToNew() == 0);
  Old = Mesh.Targets[0]->record();
  Old.Upstream.State = upstream_state::Gone;
  Set();
  CHECK(CallsToNew() == 20);
  Old = Mesh.Targets[0]->record();
  Old.Upstream.Version = "v1";
  coordination::rollout_record Rollout;
  Rollout.Service = "pages";
  Rollout.ToVersion = "v2";
  Rollout.OrderRevision = 7;
  Rollout.ShareBp = 5000;
  Mesh.Directory.merge(Rollout);
  Set();
  CHECK(CallsToNew() == 10);
}

TEST_CASE("pipelined requests run concurrently, responses keep their order") {
  one_shot_event Second;
  mesh Mesh({[&](upstream_connection &Connection) {
    while (auto Request = Connection.read()) {
      // Responds to the first request only after the second has arrived.
      if (Request->target() == "/look/1")
        REQUIRE(Second.wait());
      else
        Second.set();
      Connection.respond(std::string(Request->target()), 200, SignatureField);
    }
  }});
  blocking_caller Caller(Mesh.Entry.address());
  http_request One = shopRequest(http::verb::get, "/look/1");
  http_request Two = shopRequest(http::verb::get, "/look/2");
  Two.set("Attempt-Id", "a2");
  Caller.send(One);
  Caller.send(Two);
  CHECK(Caller.receive().body() == "/look/1");
  CHECK(Caller.receive().body() == "/look/2");
}

TEST_CASE("a caller's disconnect closes the connection to the upstream") {
  blocking_queue<bool> Closed;
  one_shot_event Begun;
  mesh Mesh({[&](upstream_connection &Connection) {
    if (!Connection.read())
      return;
    Begun.set();
    Closed.push(Connection.awaitClose());
  }});
  blocking_caller Caller(Mesh.Entry.address());
  Caller.send(shopRequest(http::verb::get, "/look/1"));
  REQUIRE(Begun.wait());
  Caller.close();
  CHECK(Closed.pop().value_or(false));
}

// A late event loop finds requests and the closes of their callers in its
// sockets at the same time.
TEST_CASE("a late daemon forwards no request whose caller has disconnected") {
  struct late_case {
    const char *Name;
    bool EntryLate; // or else the target daemon
    bool Queued;    // the request waits for the only slot of the upstream
  };
  for (const late_case &Case :
       {late_case{"the entry daemon is late", true, false},
        late_case{"the target daemon is late", false, false},
        late_case{"the slot becomes free while the target daemon is late",
                  false, true}}) {
    CAPTURE(std::string(Case.Name));
    blocking_queue<std::string> Seen;
    one_shot_event SlotFree;
    mesh Mesh({[&](upstream_connection &Connection) {
      while (auto Request = Connection.read()) {
        Seen.push(std::string(Request->target()));
        if (Request->target() == "/look/slot")
          REQUIRE(SlotFree.wait());
        const std::string Id((*Request)["Attempt-Id"]);
        Connection.respond("x", 200,
                           SignatureField + ("Attempt-Id: " + Id + "\r\n"));
      }
    }});
    mesh_node &Target = *Mesh.Targets[0];
    const auto Request = [](const std::string &Name) {
      http_request Made = shopRequest(http::verb::get, "/look/" + Name);
      Made.set("Attempt-Id", Name);
      return Made;
    };
    // Opens the connections, so that they can be read at once later.
    blocking_caller Caller(Mesh.Entry.address());
    CHECK(Caller.call(Request("first")).result_int() == 200);
    CHECK(Seen.pop() == "/look/first");
    blocking_caller SlotCaller(Mesh.Entry.address());
    if (Case.Queued) {
      auto Upstream = Target.record().Upstream;
      Upstream.Slots = 1;
      Target.run([&] { Target.UpstreamClient->setUpstream(Upstream); });
      SlotCaller.send(Request("slot"));
      CHECK(Seen.pop() == "/look/slot");
      Caller.send(Request("gone"));
      std::uint32_t Waiting = 0;
      const auto End = std::chrono::steady_clock::now() + TestTimeout;
      while (Waiting == 0 && std::chrono::steady_clock::now() < End)
        Target.run([&] { Waiting = Target.UpstreamClient->load().Waiting; });
      REQUIRE(Waiting == 1);
    }
    one_shot_event LoopFree;
    asio::post((Case.EntryLate ? Mesh.Entry : Target).Context,
               [&] { REQUIRE(LoopFree.wait()); });
    if (Case.Queued) {
      SlotFree.set();
      std::this_thread::sleep_for(milliseconds(50)); // for the response
    } else {
      Caller.send(Request("gone"));
    }
    if (!Case.EntryLate && !Case.Queued) {
      std::size_t Active = 0;
      const auto End = std::chrono::steady_clock::now() + TestTimeout;
      while (Active == 0 && std::chrono::steady_clock::now() < End)
        Mesh.Entry.run([&] { Active = Mesh.Entry.Plane->active(); });
      REQUIRE(Active == 1);
    }
    Caller.close();
    if (!Case.EntryLate) {
      std::size_t Active = 2;
      const auto End = std::chrono::steady_clock::now() + TestTimeout;
      const std::size_t Others = Case.Queued ? 1 : 0;
      while (Active > Others && std::chrono::steady_clock::now() < End)
        Mesh.Entry.run([&] { Active = Mesh.Entry.Plane->active(); });
      REQUIRE(Active == Others);
    }
    // Longer than the time for which a daemon may rely on its last check.
    std::this_thread::sleep_for(milliseconds(200));
    LoopFree.set();
    if (Case.Queued)
      CHECK(SlotCaller.receive().result_int() == 200);
    CHECK(Mesh.call(Request("last")).result_int() == 200);
    CHECK(Seen.pop() == "/look/last");
  }
}

TEST_CASE("a call without a response fails with 504 at the route's timeout") {
  mesh Mesh({[](upstream_connection &Connection) {
              if (Connection.read())
                Connection.awaitClose();
            }},
            milliseconds(200));
  const auto Started = std::chrono::steady_clock::now();
  const auto Response = Mesh.call(shopRequest(http::verb::post, "/book/1"));
  const auto Took = std::chrono::steady_clock::now() - Started;
  CHECK(Response.result_int() == 504);
  CHECK(Took >= milliseconds(200));
  CHECK(Took < milliseconds(700));
}

TEST_CASE("requests that can't be served are refused as not run") {
  struct refusal_case {
    const char *Name;
    std::function<void(mesh &)> Prepare;
    const char *Path;
    unsigned Status;
    bool RetryAfter;
  };
  const refusal_case Cases[] = {
      {"no route", [](mesh &) {}, "/none/1", 404, false},
      {"upstream drains",
       [](mesh &M) {
         auto Record = M.Targets[0]->record();
         Record.Upstream.State = upstream_state::Draining;
         M.Targets[0]->run([&] {
           M.Targets[0]->UpstreamClient->setUpstream(Record.Upstream);
         });
       },
       "/book/1", 503, true},
      {"upstream was replaced",
       [](mesh &M) {
         auto Record = M.Targets[0]->record();
         Record.Upstream.Name = "i-new";
         M.Targets[0]->run([&] {
           M.Targets[0]->UpstreamClient->setUpstream(Record.Upstream);
         });
       },
       "/book/1", 503, true},
      {"target daemon shuts down",
       [](mesh &M) {
         M.Targets[0]->run(
             [&] { M.Targets[0]->UpstreamClient->refuseNewCalls(); });
       },
       "/book/1", 503, true},
      {"upstream refuses connections",
       [](mesh &M) { M.Upstreams[0]->stopListening(); }, "/book/1", 503, true},
      {"no target is known",
       [](mesh &M) { M.Entry.run([&] { M.Entry.Plane->setDirectory({}); }); },
       "/book/1", 503, true},
      {"entry daemon shuts down",
       [](mesh &M) { M.Entry.run([&] { M.Entry.Plane->refuseNewCalls(); }); },
       "/book/1", 503, true},
  };
  for (const refusal_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    std::atomic<unsigned> Requests{0};
    mesh Mesh({[&](upstream_connection &Connection) {
      while (Connection.read()) {
        ++Requests;
        Connection.respond("x", 200, SignatureField);
      }
    }});
    Case.Prepare(Mesh);
    const auto Response =
        Mesh.call(shopRequest(http::verb::post, Case.Path, "b"));
    CHECK(Response.result_int() == Case.Status);
    CHECK((Response.find(http::field::retry_after) != Response.end()) ==
          Case.RetryAfter);
    CHECK(Requests == 0);
  }
}

TEST_CASE("a refusal without a backlog has a short Retry-After") {
  mesh Mesh({respondingWith("", 503, "Not-Executed: 1\r\n")});
  for (int I = 0; I < 20; ++I) {
    const auto Response =
        Mesh.call(shopRequest(http::verb::post, "/book/1", "b"));
    CHECK(Response.result_int() == 503);
    CHECK(std::stod(std::string(Response[http::field::retry_after])) <= 0.1);
  }
}

TEST_CASE(
    "an unresponsive target daemon is skipped after one connect timeout") {
  const unresponsive_address Dead;
  mesh Mesh({respondingWith("x")});
  Mesh.addPreferredTarget("dead", Dead.address());
  for (const char *Path : {"/book/1", "/book/2", "/book/3"}) {
    const auto Started = std::chrono::steady_clock::now();
    CHECK(Mesh.call(shopRequest(http::verb::post, Path, "b")).result_int() ==
          200);
    // Only the first request waits for the connect timeout.
    if (std::string(Path) != "/book/1")
      CHECK(std::chrono::steady_clock::now() - Started < milliseconds(200));
  }
}

// A daemon whose machine has become slow still answers pings, late.
TEST_CASE(
    "a target daemon that does not answer in time gets no more requests") {
  struct silent_case {
    const char *Name;
    http::verb Method;
    const char *Path;
  };
  const silent_case Cases[] = {
      {"may be repeated", http::verb::get, "/look/1"},
      {"may not be repeated", http::verb::post, "/book/1"},
  };
  for (const silent_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    mesh Mesh({respondingWith("x")}, milliseconds(150));
    std::atomic<unsigned> Received{0};
    scripted_upstream Silent([&](upstream_connection &Connection) {
      while (Connection.read())
        ++Received;
    });
    Mesh.addPreferredTarget("silent", Silent.address());
    constexpr unsigned Requests = 12;
    unsigned Served = 0;
    for (unsigned I = 0; I < Requests; ++I)
      Served +=
          Mesh.call(shopRequest(Case.Method, Case.Path)).result_int() == 200
              ? 1
              : 0;
    CHECK(Received <= state::placement::MinSamples);
    CHECK(Served >= Requests - state::placement::MinSamples);
  }
}

// The announcement of a drain may be late or lost; the responses tell as well.
TEST_CASE("an upstream that says that it leaves gets no new requests") {
  struct leaving_case {
    const char *Name;
    unsigned Status; // of the response that says so
    const char *Fields;
    bool Restarted; // the upstream starts again under its name
    bool ByOther;   // the later requests come from another entry daemon
    bool Used;      // by the later requests
  };
  const char *const Leaving = "Server-Leaving: 1\r\nResponse-Signature: s\r\n";
  const leaving_case Cases[] = {
      {"in a response", 200, Leaving, false, false, false},
      {"in a refusal", 503, "Server-Leaving: 1\r\nNot-Executed: 1\r\n", false,
       false, false},
      {"to another entry daemon", 200, Leaving, false, true, false},
      {"before its restart", 200, Leaving, true, false, true},
      {"another upstream at its address", 421, "Server-Leaving: 1\r\n", false,
       false, true},
      {"not", 200, "Server-Leaving: 0\r\nResponse-Signature: s\r\n", false,
       false, true},
  };
  for (const leaving_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    std::atomic<bool> Says{true};
    std::atomic<int> Requests{0};
    mesh Mesh({[&](upstream_connection &Connection) {
      while (Connection.read()) {
        ++Requests;
        if (Says)
          Connection.respond("x", Case.Status, Case.Fields);
        else
          Connection.respond("x", 200, SignatureField);
      }
    }});
    mesh_node Other("other", "127.0.0.1:9");
    Other.run([&] {
      Other.Plane->setDocument(testTable(std::chrono::seconds(5)));
      Other.Plane->setDirectory(Mesh.Directory);
    });
    Mesh.call(shopRequest(http::verb::get, "/look/1"));
    REQUIRE(Requests > 0);
    Says = false;
    Requests = 0;
    // An unrelated change of the directory must not bring it back.
    auto Record = Mesh.Targets[0]->record();
    if (Case.Restarted) {
      Record.Upstream.StartUnixMs = 5;
      Mesh.Targets[0]->run([&] {
        Mesh.Targets[0]->UpstreamClient->setUpstream(Record.Upstream);
      });
    }
    Mesh.Directory.merge(Record);
    Mesh.Entry.run([&] { Mesh.Entry.Plane->setDirectory(Mesh.Directory); });
    const std::string Address =
        Case.ByOther ? Other.address() : Mesh.Entry.address();
    for (int I = 0; I < 3; ++I) {
      const auto Response =
          callOnce(Address, shopRequest(http::verb::get, "/look/2"));
      CHECK(Response.result_int() == (Case.Used ? 200 : 503));
    }
    CHECK(Requests == (Case.Used ? 3 : 0));
  }
}

// The limit is for all daemons together, and it outlasts a restart of the
// daemon beside the upstream.
TEST_CASE("an upstream gets no more requests than the limit that it names") {
  struct limit_case {
    const char *Name;
    int Entries;   // entry daemons that send as fast as they can
    bool Restored; // the target daemon has restarted and got the limit
    const char *Limit;
  };
  for (const limit_case &Case :
       {limit_case{"one entry daemon", 1, false, "20"},
        limit_case{"three entry daemons", 3, false, "12.5"},
        limit_case{"the target daemon has restarted", 3, true, "12.5"}}) {
    CAPTURE(std::string(Case.Name));
    using clock = std::chrono::steady_clock;
    constexpr milliseconds Window{2000};
    constexpr milliseconds Timeout{1000};
    std::mutex Mutex;
    std::vector<clock::time_point> Arrivals;
    mesh Mesh({[&](upstream_connection &Connection) {
                while (auto Request = Connection.read()) {
                  {
                    const std::lock_guard<std::mutex> Lock(Mutex);
                    Arrivals.push_back(clock::now());
                  }
                  // A restored limit must hold before the upstream names it
                  // again.
                  if (Case.Restored)
                    std::this_thread::sleep_for(Window);
                  const std::string Id((*Request)["Attempt-Id"]);
                  Connection.respond("x", 200,
                                     SignatureField + ("Attempt-Id: " + Id) +
                                         "\r\nServer-Limit: " + Case.Limit +
                                         "\r\n");
                }
              }},
              Timeout);
    const double Limit = std::stod(Case.Limit);
    if (Case.Restored) {
      auto Upstream = Mesh.Targets[0]->record().Upstream;
      Upstream.Slots = 1000;
      Upstream.RequestLimit = Limit;
      Mesh.Targets[0]->run(
          [&] { Mesh.Targets[0]->UpstreamClient->setUpstream(Upstream); });
    }
    std::vector<std::unique_ptr<mesh_node>> Others;
    for (int I = 1; I < Case.Entries; ++I) {
      Others.push_back(std::make_unique<mesh_node>("entry-" + std::to_string(I),
                                                   "127.0.0.1:9"));
      Others.back()->run([&] {
        Others.back()->Plane->setDocument(testTable(Timeout));
        Others.back()->Plane->setDirectory(Mesh.Directory);
      });
    }
    if (!Case.Restored)
      CHECK(Mesh.call(shopRequest(http::verb::get, "/look/1")).result_int() ==
            200);
    const clock::time_point Begin = clock::now();
    std::mutex RefusalMutex;
    std::vector<milliseconds> Refusals; // time until the response
    std::vector<std::thread> Callers;
    std::vector<std::string> Addresses = {Mesh.Entry.address()};
    for (const auto &Other : Others)
      Addresses.push_back(Other->address());
    for (const std::string &Address : Addresses)
      for (int I = 0; I < 24 / Case.Entries; ++I)
        Callers.emplace_back([&, Address] {
          while (clock::now() < Begin + Window) {
            const auto Sent = clock::now();
            http_request Request = shopRequest(http::verb::get, "/look/2");
            if (callOnce(Address, Request).result_int() == 503) {
              const std::lock_guard<std::mutex> Lock(RefusalMutex);
              Refusals.push_back(std::chrono::duration_cast<milliseconds>(
                  clock::now() - Sent));
            }
            std::this_thread::sleep_for(milliseconds(5));
          }
        });
    for (std::thread &Caller : Callers)
      Caller.join();
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Count = std::count_if(
        Arrivals.begin(), Arrivals.end(),
        [&](clock::time_point At) { return At < Begin + Window; });
    const double Seconds = std::chrono::duration<double>(Window).count();
    CHECK(static_cast<double>(Count) <= 1.5 * Limit * Seconds + 5);
    CHECK(static_cast<double>(Count) >= 0.5 * Limit * Seconds);
    // The excess is refused at once and not held until its deadline.
    REQUIRE(!Refusals.empty());
    std::sort(Refusals.begin(), Refusals.end());
    CHECK(Refusals[Refusals.size() * 9 / 10] < Timeout / 4);
    CHECK(Refusals.back() < Timeout * 9 / 10);
  }
}

TEST_CASE("malformed and smuggled requests are not forwarded") {
  struct input_case {
    const char *Name;
    std::string Bytes;
    unsigned Status;
  };
  const std::string Start = "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n"
                            "Attempt-Id: a1\r\nDeadline-Ms: 4000\r\n";
  const std::string Inner =
      "GET /look/9 HTTP/1.1\r\nHost: shop.example\r\n\r\n";
  const input_case Cases[] = {
      {"two lengths",
       Start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
      {"length and chunks",
       Start +
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
           "0\r\n\r\n" +
           Inner,
       400},
      {"length that is no number", Start + "Content-Length: 1x\r\n\r\na", 400},
      {"chunk size that is no number",
       Start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"space before the colon", Start + "X-A : 1\r\n\r\n", 400},
      {"folded line", Start + "X-A: 1\r\n\r b\r\n\r\n", 0},
      {"no HTTP", "hello\r\n\r\n", 400},
      {"long header", Start + "X-A: " + std::string(4000, 'a') + "\r\n\r\n",
       431},
      {"long body", Start + "Content-Length: 5000\r\n\r\n", 413},
      {"body beyond all memory", Start + "Content-Length: 999999999999\r\n\r\n",
       413},
  };
  for (const input_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    std::atomic<unsigned> Looks{0};
    mesh Mesh({[&](upstream_connection &Connection) {
      while (auto Request = Connection.read()) {
        Looks += Request->target() == "/look/9" ? 1 : 0;
        Connection.respond("x", 200, SignatureField);
      }
    }});
    blocking_caller Caller(Mesh.Entry.address());
    Caller.sendRaw(Case.Bytes);
    const auto Response = Caller.receive();
    if (Case.Status != 0)
      CHECK(Response.result_int() == Case.Status);
    CHECK(Looks == 0);
  }
}

TEST_CASE("a chunked body is forwarded complete") {
  blocking_queue<std::string> Bodies;
  mesh Mesh({[&](upstream_connection &Connection) {
    while (auto Request = Connection.read()) {
      Bodies.push(Request->body());
      Connection.respond("x", 200, SignatureField);
    }
  }});
  blocking_caller Caller(Mesh.Entry.address());
  Caller.sendRaw("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n"
                 "Attempt-Id: a1\r\nDeadline-Ms: 4000\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  Caller.sendRaw("2\r\nde\r\n0\r\n\r\n");
  CHECK(Caller.receive().result_int() == 200);
  CHECK(Bodies.pop().value_or("") == "abcde");
}

// Without a transfer request, a body that is cut on its way may have run.
TEST_CASE("a large body is sent when the daemon of its target admits it") {
  struct body_case {
    const char *Name;
    std::size_t BodyBytes;
    bool FirstTargetCloses; // a daemon that closes after reading a request
    unsigned Status;
  };
  constexpr double LinkMbps = 0.16; // 10 ms are 200 bytes
  const body_case Cases[] = {
      {"small body", 100, false, 200},
      {"large body", 2000, false, 200},
      {"small body, the daemon of the first target closes", 100, true, 502},
      {"large body, the daemon of the first target closes", 2000, true, 200},
  };
  for (const body_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    blocking_queue<http_request> Seen;
    mesh Mesh({[&](upstream_connection &Connection) {
                while (auto Request = Connection.read()) {
                  Seen.push(*Request);
                  Connection.respond("done", 200, SignatureField);
                }
              }},
              std::chrono::seconds(5), LinkMbps);
    scripted_upstream Closing([](upstream_connection &Connection) {
      Connection.read();
      Connection.close();
    });
    if (Case.FirstTargetCloses)
      Mesh.addPreferredTarget("closing", Closing.address());
    const std::string Body(Case.BodyBytes, 'b');
    CHECK(Mesh.call(shopRequest(http::verb::post, "/book/1", Body))
              .result_int() == Case.Status);
    if (Case.Status != 200)
      continue;
    const auto Received = Seen.pop();
    REQUIRE(Received.has_value());
    CHECK(Received->body() == Body);
    CHECK(Received->method() == http::verb::post);
    CHECK(Received->find("x-hyssop-call") == Received->end());
    CHECK(Seen.pop(milliseconds(50)) == std::nullopt);
  }
}

TEST_CASE("a transfer request is admitted, or refused as not run") {
  struct transfer_case {
    const char *Name;
    const char *Call; // value of the field of the hop
    unsigned Status;
    const char *Reason;
  };
  constexpr double LinkMbps = 0.16; // 20 bytes each millisecond
  const transfer_case Cases[] = {
      {"admitted", "i-target-0|book|pages|2000|1000|0||2000|0", 200, ""},
      {"no room in time", "i-target-0|book|pages|2000|150|0||2000|0", 503,
       "late"},
      {"less time than the transfer takes",
       "i-target-0|book|pages|300|100|0|l|8000|0", 503, "deadline"},
      {"another upstream", "i-other|book|pages|2000|1000|0||2000|0", 503,
       "replaced"},
      {"malformed size", "i-target-0|book|pages|2000|1000|0||-1|0", 400,
       "malformed-hop"},
  };
  mesh Mesh({respondingWith("x")}, std::chrono::seconds(5), LinkMbps);
  for (const transfer_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    http_request Request = makeRequest(http::verb::get, "/hyssop/transfer", "");
    Request.set("x-hyssop-call", Case.Call);
    const auto Response =
        callOnce(Mesh.Targets[0]->Plane->hopAddress(), Request);
    CHECK(Response.result_int() == Case.Status);
    CHECK((Response.find("x-hyssop-transfer") != Response.end()) ==
          (Case.Status == 200));
    if (Case.Status != 200)
      CHECK(Response.body().find(Case.Reason) != std::string::npos);
    if (Case.Status == 503)
      CHECK(std::string(Response["x-hyssop-answer"]).starts_with("not-run|"));
  }
}

TEST_CASE("a crash of the upstream is reported with its request") {
  mesh Mesh({[](upstream_connection &) {}});
  Mesh.Upstreams[0] = std::make_unique<scripted_upstream>(
      [](upstream_connection &Connection) { Connection.read(); });
  auto &Target = *Mesh.Targets[0];
  scripted_upstream *Upstream = nullptr;
  scripted_upstream Crashing([&](upstream_connection &Connection) {
    Connection.read();
    Upstream->stopListening();
  });
  Upstream = &Crashing;
  mesh_node Node("crash", Crashing.address());
  const auto Record = Node.record();
  Node.run([&] { Node.UpstreamClient->setUpstream(Record.Upstream); });
  coordination::fleet_directory Directory;
  Directory.merge(Record);
  Mesh.Entry.run([&] { Mesh.Entry.Plane->setDirectory(Directory); });
  CHECK(Mesh.call(shopRequest(http::verb::post, "/book/1", "b")).result_int() ==
        502);
  const auto Seen = Node.Crashes.pop();
  REQUIRE(Seen.has_value());
  CHECK(Seen->size() == 1);
  (void)Target;
}

// A daemon that had restarted ran the request again.
TEST_CASE("a request that crashes upstreams is refused by a daemon that learns "
          "of it from others") {
  struct poison_case {
    const char *Name;
    std::string Path;
    bool Own;
    unsigned Status;
    std::size_t OwnPoison; // that the daemon announces
  };
  const poison_case Cases[] = {
      {"condemned by others", "/book/poison", false, 503, 0},
      {"condemned here before a restart", "/book/poison", true, 503, 1},
      {"another request", "/book/other", true, 200, 1},
  };
  for (const poison_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    mesh Mesh({respondingWith("ran")});
    auto &Target = *Mesh.Targets[0];
    Target.run([&] {
      Target.UpstreamClient->condemn(
          {state::requestFingerprint("POST", "/book/poison", "b")}, Case.Own);
    });
    CHECK(
        Mesh.call(shopRequest(http::verb::post, Case.Path, "b")).result_int() ==
        Case.Status);
    Target.run([&] {
      CHECK(Target.UpstreamClient->poison().size() == Case.OwnPoison);
    });
  }
}

TEST_CASE("the hop address serves the document and rejects other requests") {
  mesh Mesh({respondingWith("x")});
  const std::string Hop = Mesh.Entry.Plane->hopAddress();
  CHECK(callOnce(Hop, makeRequest(http::verb::get,
                                  transport::mesh_plane::DocumentPath))
            .body() == "the document");
  CHECK(callOnce(Hop, makeRequest(http::verb::get, "/look/1")).result_int() ==
        400);
  http_request Wrong = makeRequest(http::verb::get, "/look/1");
  Wrong.set(transport::HopCallField, "i-1|look|pages|x|0|0|");
  CHECK(callOnce(Hop, Wrong).result_int() == 400);
}
