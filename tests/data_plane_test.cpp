/// \file
/// Tests of the data plane: each caller receives the complete response to its
/// own request, "not run" is reported only for requests that were not run, and
/// requests that are not idempotent run at most once. Promises are numbered as
/// in docs/PROMISES.md.
#include <doctest/doctest.h>

#include "support/http_fixture.h"

#include "hyssopledge/protocol/call_headers.h"

#include <nlohmann/json.hpp>

using namespace hyssopledge;
using namespace hyssopledge::tests;
namespace headers = protocol::call_headers;

namespace {

std::string field(const http_response &Response, const char *Name) {
  return std::string(transport::fieldValue(Response, Name));
}

/// Responds to each request with its path and body.
void echo(upstream_connection &Connection) {
  while (const auto Request = Connection.read())
    Connection.respond(std::string(Request->target()) + ":" + Request->body());
}

} // namespace

TEST_CASE("data plane: a call is forwarded through two daemons unchanged") {
  blocking_queue<http_request> Seen;
  one_hop Hop([&](upstream_connection &Connection) {
    while (auto Request = Connection.read()) {
      Seen.push(*Request);
      Connection.respond("done", 201,
                         "X-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n");
    }
  });
  http_request Request = makeRequest(http::verb::post, "/book/7?x=1", "body");
  Request.set("traceparent",
              "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
  const http_response Response = Hop.call(Request);
  CHECK(Response.result_int() == 201);
  CHECK(Response.body() == "done");
  CHECK(field(Response, headers::Outcome) == "ran");
  CHECK(field(Response, "x-own") == "1");
  CHECK(field(Response, "x-hop").empty());
  const auto At = Seen.pop();
  REQUIRE(At);
  CHECK(At->target() == "/book/7?x=1");
  CHECK(At->body() == "body");
  CHECK(transport::fieldNumber(*At, headers::Depth) == 1);
  CHECK(transport::fieldNumber(*At, headers::AttemptsLeft) == 3);
  CHECK(transport::fieldNumber(*At, headers::DeadlineMs).value_or(0) > 0);
  CHECK(!transport::fieldValue(*At, headers::TraceParent).empty());
  CHECK(transport::fieldValue(*At, headers::TargetService).empty());
  const auto Attempt = Hop.Entry.Attempts.pop();
  REQUIRE(Attempt);
  CHECK(Attempt->Outcome == state::attempt_outcome::Success);
  CHECK(Attempt->Route == "book");
  CHECK(Attempt->Instance == "target-0");
}

//-----------------------------------------------------------------------------
// Refusals
//-----------------------------------------------------------------------------

TEST_CASE("data plane: calls that the entry side refuses are not run") {
  // Promise 6: none of these requests may reach the upstream.
  struct refusal_case {
    const char *Reason;
    unsigned Status;
    std::function<void(test_daemon &)> Change;
    std::function<void(http_request &)> ChangeRequest;
  };
  const auto Nothing = [](auto &) {};
  const refusal_case Cases[] = {
      {"not-ready", 503, [](test_daemon &D) { D.publish({}); }, Nothing},
      {"lease-expired", 503,
       [](test_daemon &D) {
         D.stop();
         D.Hooks.LeaseValid = [](state::time_point) { return false; };
         D.start();
       },
       Nothing},
      {"no-route", 404, Nothing, [](http_request &R) { R.target("/other"); }},
      {"no-target", 503, [](test_daemon &D) { D.publish(testView({})); },
       Nothing},
      {"depth", 508, Nothing,
       [](http_request &R) { R.set(headers::Depth, "11"); }},
      {"deadline", 504, Nothing,
       [](http_request &R) { R.set(headers::DeadlineMs, "0"); }},
      {"no-attempts-left", 503, Nothing,
       [](http_request &R) { R.set(headers::AttemptsLeft, "0"); }},
      {"poison", 422,
       [](test_daemon &D) {
         state::routing_view View = *D.View.read();
         state::poison_table Poison;
         Poison.Fingerprints = {
             state::requestFingerprint("POST", "/book", "seat 7")};
         View.Poison = std::make_shared<const state::poison_table>(Poison);
         D.publish(std::move(View));
       },
       Nothing},
  };
  for (const refusal_case &Case : Cases) {
    CAPTURE(Case.Reason);
    one_hop Hop(echo);
    Case.Change(Hop.Entry);
    http_request Request = makeRequest(http::verb::post, "/book", "seat 7");
    Case.ChangeRequest(Request);
    const http_response Response = Hop.call(Request);
    CHECK(Response.result_int() == Case.Status);
    CHECK(field(Response, headers::Outcome) == "not-run");
    CHECK(field(Response, headers::Reason) == Case.Reason);
    const auto Json = nlohmann::json::parse(Response.body(), nullptr, false);
    REQUIRE(Json.is_object());
    CHECK(Json["reason"] == Case.Reason);
    CHECK(Hop.Upstream.connections() == 0);
  }
}

TEST_CASE("data plane: malformed or oversized input is refused as not run") {
  struct input_case {
    const char *Reason;
    unsigned Status;
    std::string Bytes;
  };
  std::string Long;
  Long.resize(0x801000, 'x'); // as the chunk size below
  const input_case Cases[] = {
      {"malformed-http", 400, "GEX /book\r\n\r\n"},
      {"malformed-http", 400, "GET /book HTTP/1.1\r\nbad field\r\n\r\n"},
      {"malformed-http", 400,
       "POST /book HTTP/1.1\r\nContent-Length: x\r\n\r\n"},
      {"malformed-http", 400, "GET book HTTP/1.1\r\n\r\n"},
      {"body-too-large", 413,
       "POST /book HTTP/1.1\r\nContent-Length: 8388609\r\n\r\n"},
      {"body-too-large", 413,
       "POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n801000\r\n" +
           Long + "\r\n0\r\n\r\n"},
      {"header-too-large", 431,
       "GET /book HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n"},
  };
  one_hop Hop(echo);
  for (const input_case &Case : Cases) {
    CAPTURE(Case.Bytes.substr(0, 60));
    blocking_caller Caller(Hop.Entry.address());
    Caller.sendRaw(Case.Bytes);
    const http_response Response = Caller.receive();
    CHECK(Response.result_int() == Case.Status);
    CHECK(field(Response, headers::Outcome) == "not-run");
    CHECK(field(Response, headers::Reason) == Case.Reason);
  }
  CHECK(Hop.Upstream.connections() == 0);
  // The daemon still serves requests.
  CHECK(Hop.call(makeRequest(http::verb::get, "/look")).result_int() == 200);
}

//-----------------------------------------------------------------------------
// Responses
//-----------------------------------------------------------------------------

namespace {

struct broken_response {
  const char *Name;
  const char *Reason;
  std::string Bytes; // written before the connection is closed
};

const broken_response BrokenResponses[] = {
    {"no response", "upstream-cut", ""},
    {"truncated header", "upstream-cut", "HTTP/1.1 200 OK\r\nContent-Le"},
    {"truncated body", "upstream-cut",
     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
    {"truncated chunk", "upstream-cut",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"},
    {"no length", "bad-answer", "HTTP/1.1 200 OK\r\n\r\nperhaps half"},
    {"not HTTP", "bad-answer", "hello\r\n\r\n"},
    {"over the limit", "bad-answer",
     "HTTP/1.1 200 OK\r\nContent-Length: 8388609\r\n\r\n"},
};

} // namespace

TEST_CASE(
    "data plane: after a broken response the outcome is unknown, no retry") {
  // Promises 5 and 7: no partial response is forwarded, and a request that may
  // have run is not retried on a route that is not idempotent.
  for (const broken_response &Case : BrokenResponses) {
    CAPTURE(Case.Name);
    std::atomic<unsigned> Runs{0};
    one_hop Hop([&](upstream_connection &Connection) {
      if (Connection.read()) {
        ++Runs;
        Connection.send(Case.Bytes);
      }
    });
    const http_response Response =
        Hop.call(makeRequest(http::verb::post, "/book", "seat 7"));
    CHECK(Response.result_int() == 502);
    CHECK(field(Response, headers::Outcome) == "unknown");
    CHECK(field(Response, headers::Reason) == Case.Reason);
    CHECK(Runs == 1);
  }
}

TEST_CASE("data plane: a broken response on an idempotent route is retried") {
  std::atomic<unsigned> Runs{0};
  one_hop Hop([&](upstream_connection &Connection) {
    while (Connection.read()) {
      if (++Runs == 1)
        return Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1");
      Connection.respond("whole");
    }
  });
  const http_response Response =
      Hop.call(makeRequest(http::verb::get, "/look"));
  CHECK(Response.result_int() == 200);
  CHECK(Response.body() == "whole");
  CHECK(Runs == 2);
}

TEST_CASE("data plane: a late response is discarded") {
  // Promise 5. The upstream responds to the first request only after its caller
  // has received the timeout.
  one_shot_event Late;
  blocking_queue<bool> Closed;
  one_hop Hop(
      [&](upstream_connection &Connection) {
        while (const auto Request = Connection.read()) {
          if (Request->target() == "/look/slow") {
            Late.wait();
            Connection.respond("slow");
            Closed.push(Connection.awaitClose());
            return;
          }
          Connection.respond("fast");
        }
      },
      std::chrono::milliseconds(300));
  blocking_caller Caller(Hop.Entry.address());
  const http_response First =
      Caller.call(makeRequest(http::verb::get, "/look/slow"));
  CHECK(First.result_int() == 504);
  CHECK(field(First, headers::Outcome) == "unknown");
  CHECK(field(First, headers::Reason) == "timeout");
  Late.set();
  for (int I = 0; I < 20; ++I)
    CHECK(Caller.call(makeRequest(http::verb::get, "/look/fast")).body() ==
          "fast");
  CHECK(Closed.pop() == true);
}

TEST_CASE("data plane: concurrent callers each receive their own response") {
  one_hop Hop(echo);
  std::atomic<unsigned> Wrong{0};
  std::vector<std::thread> Callers;
  for (unsigned C = 0; C < 8; ++C)
    Callers.emplace_back([&, C] {
      blocking_caller Caller(Hop.Entry.address());
      for (unsigned I = 0; I < 100; ++I) {
        const std::string Path =
            "/look/" + std::to_string(C) + "/" + std::to_string(I);
        if (Caller.call(makeRequest(http::verb::post, Path, "b")).body() !=
            Path + ":b")
          ++Wrong;
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Wrong == 0);
}

// Each of them was kept until its caller had read it, however many there were.
TEST_CASE("data plane: responses that wait for slow callers are bounded") {
  constexpr std::size_t BodyBytes = 7'000'000;
  one_hop Hop([Body = std::string(BodyBytes, 'x')](
                  upstream_connection &Connection) {
    while (const auto Request = Connection.read())
      Connection.respond(Request->target() == "/look/large" ? Body : "small");
  });
  std::size_t HeldBytes = 0;
  for (const http_response &Response : callAndReadLate(
           Hop.Entry.address(), makeRequest(http::verb::get, "/look/large"), 20,
           [&] { // other callers are served all the while
             CHECK(Hop.call(makeRequest(http::verb::get, "/look/1")).body() ==
                   "small");
           })) {
    if (Response.result_int() == 200)
      HeldBytes += Response.body().size();
    else
      CHECK(field(Response, headers::Reason) == "memory");
  }
  // The last of them was complete when the limit was reached.
  CHECK(HeldBytes <= transport::DefaultBodyBudget + BodyBytes);
  CHECK(HeldBytes >= transport::DefaultBodyBudget - BodyBytes);
}

TEST_CASE("data plane: responses without a body are framed correctly") {
  one_hop Hop([](upstream_connection &Connection) {
    while (const auto Request = Connection.read())
      if (Request->method() == http::verb::head)
        Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 12345\r\n\r\n");
      else
        Connection.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n");
  });
  blocking_caller Caller(Hop.Entry.address());
  CHECK(Caller.call(makeRequest(http::verb::get, "/look")).result_int() == 204);
  Caller.sendRaw("HEAD /look HTTP/1.1\r\nHost: x\r\n\r\n"
                 "GET /look HTTP/1.1\r\nHost: x\r\n\r\n");
  // A body after the HEAD response would be parsed as the second response.
  CHECK(Caller.receiveHead().result_int() == 200);
  CHECK(Caller.receive().result_int() == 204);
}
