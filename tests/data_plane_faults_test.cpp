/// \file
/// Tests of the outcomes and retries of the data plane when daemons, upstreams
/// or callers fail or disconnect during a call. Promises are numbered as in
/// docs/PROMISES.md.
#include <doctest/doctest.h>

#include "support/http_fixture.h"

#include "hyssopledge/protocol/call_headers.h"

using namespace hyssopledge;
using namespace hyssopledge::tests;
namespace headers = protocol::call_headers;

namespace {

std::string field(const http_response &Response, const char *Name) {
  return std::string(transport::fieldValue(Response, Name));
}

http_request booking(const std::string &Key = "") {
  http_request Request = makeRequest(http::verb::post, "/book", "seat 7");
  if (!Key.empty())
    Request.set(headers::IdempotencyKey, Key);
  return Request;
}

/// Returns an address without a listener.
std::string closedAddress() {
  asio::io_context Context;
  const tcp::acceptor Acceptor(
      Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return transport::formatEndpoint(Acceptor.local_endpoint());
}

} // namespace

//-----------------------------------------------------------------------------
// Not run
//-----------------------------------------------------------------------------

TEST_CASE("data plane: a request that was not run is sent to another target") {
  // A request that is not idempotent may be resent only if it was not run.
  struct target_case {
    const char *Name;
    std::function<std::string(test_daemon &, scripted_upstream &)> Address;
  };
  const target_case Cases[] = {
      {"daemon unreachable", [](auto &, auto &) { return closedAddress(); }},
      {"daemon without upstream",
       [](test_daemon &D, auto &) { return D.address(); }},
      {"upstream unreachable",
       [](test_daemon &D, auto &) {
         D.announce(closedAddress());
         return D.address();
       }},
      {"upstream rejects the request",
       [](test_daemon &D, scripted_upstream &Shedding) {
         D.announce(Shedding.address());
         return D.address();
       }},
  };
  for (const target_case &Case : Cases) {
    CAPTURE(Case.Name);
    scripted_upstream Shedding([](upstream_connection &Connection) {
      while (Connection.read())
        Connection.respond("", 503, "x-hyssop-outcome: not-run\r\n");
    });
    std::atomic<unsigned> Runs{0};
    one_hop Hop([&](upstream_connection &Connection) {
      while (Connection.read()) {
        ++Runs;
        Connection.respond("booked");
      }
    });
    test_daemon Bad("target-bad");
    Bad.start();
    Bad.publish(testView({}));
    Hop.Entry.Picker = state::makeRoundRobinPicker();
    Hop.Entry.stop();
    Hop.Entry.start();
    Hop.Entry.publish(
        testView({Case.Address(Bad, Shedding), Hop.Target.address()}));
    for (unsigned I = 1; I <= 4; ++I) {
      const http_response Response = Hop.call(booking());
      CHECK(Response.result_int() == 200);
      CHECK(Response.body() == "booked");
      CHECK(Runs == I);
    }
    // Without another target the call is refused as not run.
    Hop.Entry.publish(testView({Case.Address(Bad, Shedding)}));
    const http_response Refused = Hop.call(booking());
    CHECK(Refused.result_int() == 503);
    CHECK(field(Refused, headers::Outcome) == "not-run");
    CHECK(Runs == 4);
  }
}

TEST_CASE("data plane: a 503 of the upstream without outcome is not retried") {
  std::atomic<unsigned> Runs{0};
  one_hop Hop([&](upstream_connection &Connection) {
    while (Connection.read()) {
      ++Runs;
      Connection.respond("busy", 503);
    }
  });
  const http_response Response = Hop.call(booking());
  CHECK(Response.result_int() == 503);
  CHECK(Response.body() == "busy");
  CHECK(field(Response, headers::Outcome) == "ran");
  CHECK(Runs == 1);
  CHECK(Hop.Entry.Attempts.pop()->Outcome == state::attempt_outcome::Failed);
}

TEST_CASE("data plane: not run after an attempt that may have run is unknown") {
  // Promise 6: the first attempt of the idempotent call may have run and the
  // second is refused, so "not run" would be false for the call.
  one_hop Hop([](upstream_connection &Connection) { Connection.read(); });
  Hop.Entry.publish(testView({Hop.Target.address(), closedAddress()}));
  for (unsigned I = 0; I < 10; ++I) {
    const http_response Response =
        Hop.call(makeRequest(http::verb::get, "/look"));
    CHECK(field(Response, headers::Outcome) == "unknown");
  }
}

//-----------------------------------------------------------------------------
// Stale connections
//-----------------------------------------------------------------------------

TEST_CASE("data plane: a stale pooled connection is not used") {
  // The upstream closes each connection after its response without announcing
  // it. A request sent on such a connection would have an unknown outcome, and
  // a retry could run it twice.
  std::atomic<unsigned> Runs{0};
  blocking_queue<bool> Closed;
  one_hop Hop([&](upstream_connection &Connection) {
    if (!Connection.read())
      return;
    ++Runs;
    Connection.respond("booked");
    Connection.close();
    Closed.push(true);
  });
  blocking_caller Caller(Hop.Entry.address());
  for (unsigned I = 1; I <= 5; ++I) {
    const http_response Response = Caller.call(booking());
    CHECK(Response.result_int() == 200);
    CHECK(Runs == I);
    REQUIRE(Closed.pop());
  }
}

TEST_CASE("data plane: a close while the request is written is unknown") {
  // The upstream reads the second request on the connection and closes it
  // without a response.
  std::atomic<unsigned> Runs{0};
  one_hop Hop([&](upstream_connection &Connection) {
    if (!Connection.read())
      return;
    ++Runs;
    Connection.respond("booked");
    if (Connection.read())
      ++Runs;
  });
  // A caller connection is served by one loop and its connection pool.
  blocking_caller Caller(Hop.Entry.address());
  CHECK(Caller.call(booking()).result_int() == 200);
  const http_response Second = Caller.call(booking());
  CHECK(Second.result_int() == 502);
  CHECK(field(Second, headers::Outcome) == "unknown");
  CHECK(Runs == 2);
}

//-----------------------------------------------------------------------------
// Disconnecting callers
//-----------------------------------------------------------------------------

TEST_CASE("data plane: a caller's disconnect cancels the upstream request") {
  blocking_queue<bool> Received;
  blocking_queue<bool> Cancelled;
  one_hop Hop([&](upstream_connection &Connection) {
    if (!Connection.read())
      return;
    Received.push(true);
    Cancelled.push(Connection.awaitClose());
  });
  blocking_caller Caller(Hop.Entry.address());
  Caller.send(booking());
  REQUIRE(Received.pop());
  Caller.close();
  CHECK(Cancelled.pop() == true);
  const auto Attempt = Hop.Entry.Attempts.pop();
  REQUIRE(Attempt);
  CHECK(Attempt->Outcome == state::attempt_outcome::Cancelled);
}

TEST_CASE("data plane: a caller's disconnect removes its queued request") {
  blocking_queue<bool> Received;
  one_shot_event ResponseAllowed;
  std::atomic<unsigned> Runs{0};
  one_hop Hop([&](upstream_connection &Connection) {
    while (Connection.read()) {
      ++Runs;
      Received.push(true);
      ResponseAllowed.wait();
      Connection.respond("booked");
    }
  });
  Hop.Target.setSlots(1);
  blocking_caller First(Hop.Entry.address());
  First.send(booking());
  REQUIRE(Received.pop());
  blocking_caller Second(Hop.Entry.address());
  Second.send(booking());
  REQUIRE(Hop.Target.awaitQueued(1));
  Second.close();
  REQUIRE(Hop.Target.awaitQueued(0));
  ResponseAllowed.set();
  CHECK(First.receive().body() == "booked");
  CHECK(Hop.call(booking()).body() == "booked");
  CHECK(Runs == 2);
}

//-----------------------------------------------------------------------------
// Nested calls
//-----------------------------------------------------------------------------

TEST_CASE("data plane: a nested call observes the limits of its parent") {
  std::string EntryAddress;
  blocking_queue<http_request> Inner;
  one_hop Hop([&](upstream_connection &Connection) {
    while (const auto Request = Connection.read()) {
      if (Request->target() == "/look/inner") {
        Inner.push(*Request);
        Connection.respond("inner");
        continue;
      }
      http_request Nested = makeRequest(http::verb::get, "/look/inner");
      for (const char *Name : {headers::TraceParent, headers::DeadlineMs,
                               headers::AttemptsLeft, headers::Depth})
        Nested.set(Name, std::string(transport::fieldValue(*Request, Name)));
      Connection.respond(callOnce(EntryAddress, Nested).body());
    }
  });
  EntryAddress = Hop.Target.address();
  Hop.Target.publish(testView({Hop.Target.address()}));
  http_request Outer = makeRequest(http::verb::get, "/look/outer");
  Outer.set(headers::DeadlineMs, "5000");
  Outer.set(headers::AttemptsLeft, "2");
  Outer.set(headers::Depth, "3");
  CHECK(Hop.call(Outer).body() == "inner");
  const auto Seen = Inner.pop();
  REQUIRE(Seen);
  CHECK(transport::fieldNumber(*Seen, headers::Depth) == 5);
  CHECK(transport::fieldNumber(*Seen, headers::AttemptsLeft) == 2);
  const auto Left = transport::fieldNumber(*Seen, headers::DeadlineMs);
  REQUIRE(Left);
  CHECK(*Left <= 5000); // the timeout of the route is 10 s
  CHECK(*Left > 0);
}

//-----------------------------------------------------------------------------
// Idempotency keys
//-----------------------------------------------------------------------------

TEST_CASE("data plane: a repeated key runs once") {
  std::atomic<unsigned> Runs{0};
  blocking_queue<bool> Received;
  one_shot_event ResponseAllowed;
  one_hop Hop([&](upstream_connection &Connection) {
    while (const auto Request = Connection.read()) {
      const bool Slow =
          transport::fieldValue(*Request, headers::IdempotencyKey) == "slow";
      ++Runs;
      if (Slow) {
        Received.push(true);
        ResponseAllowed.wait();
      }
      Connection.respond("booked " + std::to_string(Runs), 201);
    }
  });
  const http_response First = Hop.call(booking("a"));
  const http_response Again = Hop.call(booking("a"));
  CHECK(First.body() == "booked 1");
  CHECK(Again.body() == "booked 1");
  CHECK(Again.result_int() == 201);
  CHECK(Runs == 1);

  http_request Other = booking("a");
  Other.body() = "seat 8";
  Other.prepare_payload();
  const http_response Conflict = Hop.call(Other);
  CHECK(Conflict.result_int() == 422);
  CHECK(field(Conflict, headers::Outcome) == "not-run");

  blocking_caller Slow(Hop.Entry.address());
  Slow.send(booking("slow"));
  REQUIRE(Received.pop());
  const http_response Crossing = Hop.call(booking("slow"));
  CHECK(Crossing.result_int() == 409);
  CHECK(field(Crossing, headers::Outcome) == "unknown");
  CHECK(field(Crossing, headers::Reason) == "in-progress");
  ResponseAllowed.set();
  CHECK(Slow.receive().body() == "booked 2");
  CHECK(Runs == 2);
}

TEST_CASE("data plane: the outcome of a key stays unknown after a closed "
          "connection") {
  std::atomic<unsigned> Runs{0};
  one_hop Hop([&](upstream_connection &Connection) {
    if (Connection.read())
      ++Runs;
  });
  CHECK(field(Hop.call(booking("a")), headers::Reason) == "upstream-cut");
  const http_response Again = Hop.call(booking("a"));
  CHECK(Again.result_int() == 409);
  CHECK(field(Again, headers::Outcome) == "unknown");
  CHECK(Runs == 1);
}

TEST_CASE("data plane: a restarted target daemon does not run a key again") {
  std::atomic<unsigned> Runs{0};
  scripted_upstream Upstream([&](upstream_connection &Connection) {
    while (Connection.read())
      Connection.respond("booked " + std::to_string(++Runs), 201);
  });
  test_daemon Entry("entry-0");
  Entry.start();
  for (const char *Name : {"target-0", "target-0"}) {
    // The second daemon has no record of the keys that the first one ran.
    test_daemon Target(Name);
    Target.start();
    Target.publish(testView({}));
    Target.announce(Upstream.address());
    Entry.publish(testView({Target.address()}));
    callOnce(Entry.address(), booking("a"));
  }
  CHECK(Runs == 1);
}

//-----------------------------------------------------------------------------
// Crashes
//-----------------------------------------------------------------------------

TEST_CASE("data plane: a crash is reported with the requests in flight") {
  blocking_queue<bool> Received;
  one_shot_event End;
  one_hop Hop([&](upstream_connection &Connection) {
    while (Connection.read()) {
      Received.push(true);
      End.wait();
      return;
    }
  });
  blocking_caller First(Hop.Entry.address());
  blocking_caller Second(Hop.Entry.address());
  First.send(makeRequest(http::verb::post, "/look", "1"));
  REQUIRE(Received.pop());
  Second.send(makeRequest(http::verb::post, "/book", "2"));
  REQUIRE(Received.pop());
  // The second connection is closed after the crash was detected on the first.
  Hop.Upstream.stopListening();
  Hop.Upstream.closeConnection(0);
  const auto Sightings = Hop.Target.Crashes.pop();
  REQUIRE(Sightings);
  REQUIRE(Sightings->size() == 2);
  for (const state::crash_sighting &Sighting : *Sightings) {
    CHECK(Sighting.Instance == "target-0");
    CHECK(Sighting.InFlight == 2);
    CHECK((Sighting.Fingerprint ==
               state::requestFingerprint("POST", "/look", "1") ||
           Sighting.Fingerprint ==
               state::requestFingerprint("POST", "/book", "2")));
  }
  Hop.Upstream.closeConnection(1);
  const http_response Booking = Second.receive();
  CHECK(field(Booking, headers::Outcome) == "unknown");
  CHECK(field(Booking, headers::Reason) == "upstream-crashed");
  // A crash is reported once, whichever connection shows it first.
  CHECK(!Hop.Target.Crashes.pop(std::chrono::milliseconds(50)));
  End.set();
}

TEST_CASE("data plane: a closed connection alone is not reported as a crash") {
  one_hop Hop([](upstream_connection &Connection) { Connection.read(); });
  CHECK(field(Hop.call(booking()), headers::Reason) == "upstream-cut");
  CHECK(!Hop.Target.Crashes.pop(std::chrono::milliseconds(50)));
}

//-----------------------------------------------------------------------------
// Drain
//-----------------------------------------------------------------------------

TEST_CASE("data plane: a drain completes all admitted requests") {
  // Promise 9, also for queued requests and nested calls.
  blocking_queue<bool> Received;
  one_shot_event ResponseAllowed;
  std::string OwnDaemon;
  one_hop Hop([&](upstream_connection &Connection) {
    while (const auto Request = Connection.read()) {
      if (Request->target() == "/look/inner") {
        Connection.respond("inner");
        continue;
      }
      Received.push(true);
      ResponseAllowed.wait();
      http_request Nested = makeRequest(http::verb::get, "/look/inner");
      Nested.set(headers::Depth, "1");
      Connection.respond(callOnce(OwnDaemon, Nested).body());
    }
  });
  // The nested call goes to another daemon, because the draining one refuses
  // new target calls.
  test_daemon Other("target-1");
  Other.start();
  Other.publish(testView({}));
  Other.announce(Hop.Upstream.address());
  OwnDaemon = Hop.Target.address();
  Hop.Target.publish(testView({Other.address()}));

  blocking_caller Caller(Hop.Entry.address());
  Caller.send(booking());
  REQUIRE(Received.pop());
  one_shot_event Drained;
  Hop.Target.Plane->drain([&] { Drained.set(); });
  // New calls are refused as not run on the entry and the target side.
  http_response Refused;
  Refused = Hop.call(booking());
  CHECK(Refused.result_int() == 503);
  CHECK(field(Refused, headers::Outcome) == "not-run");
  CHECK(field(Refused, headers::Reason) == "draining");
  Refused = callOnce(OwnDaemon, booking());
  CHECK(field(Refused, headers::Reason) == "draining");
  ResponseAllowed.set();
  const http_response Response = Caller.receive();
  CHECK(Response.result_int() == 200);
  CHECK(Response.body() == "inner");
  CHECK(Drained.wait());
}
