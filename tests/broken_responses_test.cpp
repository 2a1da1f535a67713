/// \file
/// Tests that no caller gets a broken response as a response, wherever
/// responses are read, and that sound responses of the same kinds are still
/// accepted whole.
#include <doctest/doctest.h>

#include "support/response_readers.h"

#include <atomic>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace hyssopledge;
using namespace hyssopledge::tests;

namespace {

// More than the buffers of both sockets hold, so that it is still being written
// while its receiver does not read.
constexpr std::size_t LongRequestBytes = 7'000'000;
constexpr std::size_t ShortRequestBytes = 100;
const char *const StatusLine = "HTTP/1.1 200 OK\r\n";

enum class framing { Length, Chunked, None };

const framing AllFramings[] = {framing::Length, framing::Chunked,
                               framing::None};

const char *framingName(framing Framing) {
  switch (Framing) {
  case framing::Length:
    return "with a length";
  case framing::Chunked:
    return "chunked";
  case framing::None:
    break;
  }
  return "without a length";
}

/// Returns the end of a response from the field of its framing on.
std::string framedBody(framing Framing, const std::string &Body) {
  switch (Framing) {
  case framing::Length:
    return "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  case framing::Chunked: {
    char Size[20];
    std::snprintf(Size, sizeof Size, "%zx\r\n", Body.size());
    return "Transfer-Encoding: chunked\r\n\r\n" + std::string(Size) + Body +
           "\r\n0\r\n\r\n";
  }
  case framing::None:
    break;
  }
  return "\r\n" + Body;
}

std::string soundResponse(const response_reader_kind &Kind,
                          framing Framing = framing::Length) {
  return StatusLine + Kind.Fields + framedBody(Framing, Kind.Body);
}

/// A peer that answers the first request on a connection soundly if it is to be
/// kept, and handles the next one as the test says.
class scripted_peer {
public:
  scripted_peer(const response_reader_kind &Kind, bool Kept,
                const scripted_upstream::script &Next)
      : Kept(Kept), Server([=](upstream_connection &Connection) {
          if (Kept) {
            if (!Connection.read())
              return;
            Connection.send(soundResponse(Kind));
          }
          Next(Connection);
        }),
        Reader(Kind.Make(Server.address())) {}

  /// Makes the connection a kept one if the test says so, and then the call.
  read_result call(std::size_t RequestBytes) {
    if (Kept)
      REQUIRE(Reader->call(ShortRequestBytes).Status == 200);
    return Reader->call(RequestBytes);
  }

private:
  const bool Kept;
  scripted_upstream Server;
  std::unique_ptr<response_reader> Reader;
};

} // namespace

//-----------------------------------------------------------------------------
// Resets
//-----------------------------------------------------------------------------

// The error of the reset went to the pending write, and the read ended as if
// the upstream had closed the connection behind the response.
TEST_CASE("a response that is cut by a reset is not accepted") {
  struct reset_case {
    const char *Name;
    bool DuringRequest; // or else behind it
    milliseconds Pause; // between the part of the response and the reset
  };
  const reset_case Cases[] = {
      {"behind the request", false, milliseconds(0)},
      {"behind the request, later", false, milliseconds(30)},
      {"during the request", true, milliseconds(0)},
      {"during the request, later", true, milliseconds(30)},
  };
  for (const response_reader_kind &Kind : ResponseReaders)
    for (const reset_case &Case : Cases)
      for (const framing Framing : AllFramings)
        for (const bool Kept : {false, true}) {
          CAPTURE(std::string(Kind.Name));
          CAPTURE(std::string(Case.Name));
          CAPTURE(std::string(framingName(Framing)));
          CAPTURE(Kept);
          if (Kept && !Kind.KeepsConnections)
            continue;
          const std::string Whole = soundResponse(Kind, Framing);
          blocking_queue<unsigned> Runs; // the numbers of their connections
          scripted_peer Peer(Kind, Kept, [&](upstream_connection &Connection) {
            if (Case.DuringRequest ? !Connection.readHead()
                                   : !Connection.read())
              return;
            Runs.push(Connection.Number);
            // Without the end of the body, whatever its framing is.
            Connection.send(Whole.substr(0, Whole.size() - 8));
            std::this_thread::sleep_for(Case.Pause);
            Connection.reset();
          });
          const auto Result = Peer.call(Case.DuringRequest ? LongRequestBytes
                                                           : ShortRequestBytes);
          CHECK(Result.Status == 502);
          CHECK(Runs.pop() == 0U);
          CHECK_FALSE(Runs.pop(milliseconds(0)).has_value());
        }
}

TEST_CASE("a response that is cut before the request is not accepted") {
  for (const response_reader_kind &Kind : ResponseReaders)
    for (const framing Framing : AllFramings)
      for (const std::size_t RequestBytes :
           {ShortRequestBytes, LongRequestBytes}) {
        CAPTURE(std::string(Kind.Name));
        CAPTURE(std::string(framingName(Framing)));
        CAPTURE(RequestBytes);
        const std::string Whole = soundResponse(Kind, Framing);
        const auto SendCut = [&](upstream_connection &Connection) {
          Connection.send(Whole.substr(0, Whole.size() - 8));
          Connection.reset();
        };
        {
          scripted_peer Peer(Kind, false, SendCut);
          const unsigned Status = Peer.call(RequestBytes).Status;
          // 503 if no byte was written; later the request may have run.
          CHECK((Status == 502 || Status == 503));
        }
        if (!Kind.KeepsConnections)
          continue;
        one_shot_event Cut;
        scripted_upstream Server([&](upstream_connection &Connection) {
          if (!Connection.read())
            return;
          Connection.send(soundResponse(Kind));
          if (Connection.Number > 0)
            return Connection.drain();
          SendCut(Connection);
          Cut.set();
        });
        const auto Reader = Kind.Make(Server.address());
        REQUIRE(Reader->call(ShortRequestBytes).Status == 200);
        REQUIRE(Cut.wait());
        const auto Result = Reader->call(RequestBytes);
        CHECK(Result.Status == 200);
        CHECK(Result.Body == Kind.Body);
      }
}

// An upstream may respond before it has read a long request, and the end of its
// connection may be the end of the response.
TEST_CASE("an early response and one without a length are accepted whole") {
  enum class ending {
    ReadsOn,    // keeps the connection and reads the rest of the request
    HalfCloses, // ends its side and reads the rest of the request
    Closes,     // ends its side and closes without reading the rest
    Resets,
  };
  struct sound_case {
    const char *Name;
    framing Framing;
    ending Ending;
  };
  const sound_case Cases[] = {
      {"length, reads on", framing::Length, ending::ReadsOn},
      {"length, half-closes", framing::Length, ending::HalfCloses},
      {"length, closes", framing::Length, ending::Closes},
      {"length, resets", framing::Length, ending::Resets},
      {"chunked, reads on", framing::Chunked, ending::ReadsOn},
      {"chunked, half-closes", framing::Chunked, ending::HalfCloses},
      {"chunked, closes", framing::Chunked, ending::Closes},
      {"chunked, resets", framing::Chunked, ending::Resets},
      {"no length, half-closes", framing::None, ending::HalfCloses},
      {"no length, closes", framing::None, ending::Closes},
  };
  for (const response_reader_kind &Kind : ResponseReaders)
    for (const sound_case &Case : Cases)
      for (const bool Early : {true, false})
        for (const bool Kept : {false, true}) {
          CAPTURE(std::string(Kind.Name));
          CAPTURE(std::string(Case.Name));
          CAPTURE(Early);
          CAPTURE(Kept);
          if (Kept && !Kind.KeepsConnections)
            continue;
          scripted_peer Peer(Kind, Kept, [&](upstream_connection &Connection) {
            if (Early ? !Connection.readHead() : !Connection.read())
              return;
            Connection.send(soundResponse(Kind, Case.Framing));
            if (Case.Ending == ending::Resets)
              return Connection.reset();
            if (Case.Ending != ending::ReadsOn)
              Connection.shutdownSend();
            if (Case.Ending == ending::Closes)
              return Connection.close();
            Connection.drain();
          });
          const auto Result =
              Peer.call(Early ? LongRequestBytes : ShortRequestBytes);
          const bool Accepted =
              Case.Framing != framing::None || Kind.AcceptsNoLength;
          CHECK(Result.Status == (Accepted ? 200 : 502));
          CHECK((Result.Body == Kind.Body) == Accepted);
        }
}

//-----------------------------------------------------------------------------
// Heads
//-----------------------------------------------------------------------------

namespace {

struct head_case {
  const char *Name;
  std::string Begin; // up to and with the status line
  std::string Line;  // of the head, behind the other fields
  bool Accepted;     // by those who accept the framing
};

/// Makes a call for each case, framing and place where responses are read, on a
/// first use and on a kept connection.
void checkHeads(const std::vector<head_case> &Cases) {
  for (const response_reader_kind &Kind : ResponseReaders)
    for (const head_case &Case : Cases)
      for (const framing Framing : AllFramings)
        for (const bool Kept : {false, true}) {
          if (Kept && !Kind.KeepsConnections)
            continue;
          CAPTURE(std::string(Kind.Name));
          CAPTURE(std::string(Case.Name));
          CAPTURE(std::string(framingName(Framing)));
          CAPTURE(Kept);
          blocking_queue<unsigned> Runs; // the numbers of their connections
          scripted_peer Peer(Kind, Kept, [&](upstream_connection &Connection) {
            if (!Connection.read())
              return;
            Runs.push(Connection.Number);
            Connection.send(Case.Begin + Kind.Fields + Case.Line +
                            framedBody(Framing, Kind.Body));
          });
          const auto Result = Peer.call(ShortRequestBytes);
          const bool Accepted = Case.Accepted && (Framing != framing::None ||
                                                  Kind.AcceptsNoLength);
          CHECK(Result.Status == (Accepted ? 200 : 502));
          CHECK((Result.Body == Kind.Body) == Accepted);
          CHECK(Runs.pop() == 0U);
          CHECK_FALSE(Runs.pop(milliseconds(0)).has_value());
        }
}

} // namespace

TEST_CASE("a response whose status is not that of a response is not accepted") {
  const std::string Interim = "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n";
  checkHeads({
      {"200", StatusLine, "", true},
      {"200 without a reason", "HTTP/1.1 200 \r\n", "", true},
      {"200 behind an interim response", Interim + StatusLine, "", true},
      {"000", "HTTP/1.1 000 X\r\n", "", false},
      {"000 without a reason", "HTTP/1.1 000 \r\n", "", false},
      {"000 behind an interim response", Interim + "HTTP/1.1 000 X\r\n", "",
       false},
      {"042", "HTTP/1.1 042 X\r\n", "", false},
      {"101, not asked for", "HTTP/1.1 101 X\r\n", "", false},
      {"099", "HTTP/1.1 099 X\r\n", "", false},
      {"600", "HTTP/1.1 600 X\r\n", "", false},
      {"999", "HTTP/1.1 999 X\r\n", "", false},
      {"two digits", "HTTP/1.1 20 X\r\n", "", false},
      {"four digits", "HTTP/1.1 2000 X\r\n", "", false},
  });
}

TEST_CASE("a response with a malformed field name is not accepted") {
  using namespace std::string_literals;
  std::vector<head_case> Cases = {
      {"empty value", StatusLine, "X-A:\r\n", true},
      {"blanks around the value", StatusLine, "X-A: \t1 2\t \r\n", true},
      {"value beyond ASCII", StatusLine, "X-A: \xe4\r\n", true},
  };
  const std::pair<const char *, std::string> Malformed[] = {
      {"blank inside", "X A: 1\r\n"},
      {"blank before the colon", "X-A : 1\r\n"},
      {"tab before the colon", "X-A\t: 1\r\n"},
      {"blank first", " X-A: 1\r\n"},
      {"tab first", "\tX-A: 1\r\n"},
      {"blank before a length", " Content-Length: 3\r\n"},
      {"tab before a length", "\tContent-Length: 3\r\n"},
      {"blank behind a length", "Content-Length : 3\r\n"},
      {"blank before a coding", " Transfer-Encoding: chunked\r\n"},
      {"blank behind a coding", "Transfer-Encoding : chunked\r\n"},
      {"control byte first", "\x01X-A: 1\r\n"},
      {"control byte inside", "X\vA: 1\r\n"},
      {"control byte before the colon", "X-A\x7f: 1\r\n"},
      {"zero byte", "X\0A: 1\r\n"s},
      {"line feed", "X\nA: 1\r\n"},
      {"carriage return", "X\rA: 1\r\n"},
      {"carriage return first", "\rX-A: 1\r\n"},
      {"no name", ": 1\r\n"},
  };
  for (const auto &[Name, Line] : Malformed) {
    // Behind a value, behind none, and as the first line.
    Cases.push_back({Name, StatusLine, "X-B: 1\r\n" + Line, false});
    Cases.push_back({Name, StatusLine, "X-B:\r\n" + Line, false});
    Cases.push_back({Name, StatusLine + Line, "", false});
  }
  checkHeads(Cases);
}

TEST_CASE("a response with a malformed trailer field is not accepted") {
  struct trailer_case {
    const char *Name;
    const char *Trailer;
    bool Accepted;
  };
  const trailer_case Cases[] = {
      {"sound", "X-A: 1\r\n", true},
      {"blank inside", "X A: 1\r\n", false},
      {"blank first", "X-B: 1\r\n X-A: 1\r\n", false},
      {"tab first", "X-B: 1\r\n\tX-A: 1\r\n", false},
      {"control byte", "X\vA: 1\r\n", false},
  };
  for (const response_reader_kind &Kind : ResponseReaders)
    for (const trailer_case &Case : Cases) {
      CAPTURE(std::string(Kind.Name));
      CAPTURE(std::string(Case.Name));
      scripted_peer Peer(Kind, false, [&](upstream_connection &Connection) {
        if (!Connection.read())
          return;
        const std::string Sound = soundResponse(Kind, framing::Chunked);
        Connection.send(Sound.substr(0, Sound.size() - 2) + Case.Trailer +
                        "\r\n");
      });
      CHECK(Peer.call(ShortRequestBytes).Status == (Case.Accepted ? 200 : 502));
    }
}

//-----------------------------------------------------------------------------
// Promises
//-----------------------------------------------------------------------------

// A refusal lets the caller send the request again, also one that may run once
// at most.
TEST_CASE("a refusal in a broken response does not count as not run") {
  struct refusal_case {
    const char *Name;
    const char *Status;  // in place of that of the refusal
    const char *Line;    // of the head, behind the other fields
    framing Framing;     // of the body
    bool Reset;          // while the request is written
    unsigned CallStatus; // expected
  };
  const refusal_case Cases[] = {
      {"sound", "503", "", framing::Length, false, 503},
      {"sound, early", "503", "", framing::Length, true, 503},
      {"status 000", "000", "", framing::Length, false, 502},
      {"blank in a name", "503", "X A: 1\r\n", framing::Length, false, 502},
      {"blank first", "503", " X-A: 1\r\n", framing::Length, false, 502},
      {"cut, without a length", "503", "", framing::None, true, 502},
  };
  for (const response_reader_kind &Kind : ResponseReaders)
    for (const refusal_case &Case : Cases) {
      if (Kind.Refusal.empty())
        continue;
      CAPTURE(std::string(Kind.Name));
      CAPTURE(std::string(Case.Name));
      std::string Response = Kind.Refusal;
      Response.replace(Response.find("503"), 3, Case.Status);
      Response += Case.Line + framedBody(Case.Framing, "refused");
      std::atomic<unsigned> Requests{0};
      scripted_peer Peer(Kind, false, [&](upstream_connection &Connection) {
        // Until the daemon closes: it may send a refused request again on this
        // connection, and a close that crosses it makes the outcome unknown.
        while (Case.Reset ? Connection.readHead()
                          : Connection.read().has_value()) {
          ++Requests;
          Connection.send(Response);
          if (Case.Reset)
            return Connection.reset();
        }
      });
      CHECK(
          Peer.call(Case.Reset ? LongRequestBytes : ShortRequestBytes).Status ==
          Case.CallStatus);
      if (Case.CallStatus == 502) // a refused request may be sent again
        CHECK(Requests == 1);
    }
}

// KNOWN-RED.txt: the daemons take the close for that of a caller who has left.
TEST_CASE("a caller that closes its side behind its request is answered") {
  struct half_close_case {
    const char *Name;
    milliseconds RunTime; // of the request at the upstream
  };
  for (const half_close_case &Case :
       {half_close_case{"at once", milliseconds(0)},
        half_close_case{"later", milliseconds(100)}}) {
    CAPTURE(std::string(Case.Name));
    const auto Script = [&](upstream_connection &Connection) {
      while (Connection.read()) {
        std::this_thread::sleep_for(Case.RunTime);
        Connection.respond("the whole body", 200, SignatureField);
      }
    };
    const auto CallAndHalfClose = [](const std::string &Address,
                                     const http_request &Request) {
      blocking_caller Caller(Address);
      Caller.send(Request);
      Caller.shutdownSend();
      return Caller.receive();
    };
    mesh Mesh({Script});
    const auto FromMesh = CallAndHalfClose(
        Mesh.Entry.address(), shopRequest(http::verb::get, "/look/1"));
    CHECK(FromMesh.result_int() == 200);
    CHECK(FromMesh.body() == "the whole body");
    one_hop Hop(Script);
    const auto FromDataPlane = CallAndHalfClose(
        Hop.Entry.address(), makeRequest(http::verb::get, "/look"));
    CHECK(FromDataPlane.result_int() == 200);
    CHECK(FromDataPlane.body() == "the whole body");
  }
}
