/// \file
/// Messages at the limits of a document or of the protocol: a daemon serves
/// each, and none of them ends its process.
#include <doctest/doctest.h>

#include "support/mesh_process.h"
#include "support/response_readers.h"

#include <memory>
#include <string>
#include <vector>

using namespace hyssopledge;
using namespace hyssopledge::tests;

namespace {

constexpr std::size_t MaxHeaderBytes = 256 * 1024; // of the document
// Beast's fields throw for more than 65,533 bytes.
constexpr std::size_t LongBytes = 70'000;

std::string fieldLine(std::size_t NameBytes, std::size_t ValueBytes) {
  return std::string(NameBytes, 'n') + ": " + std::string(ValueBytes, 'v') +
         "\r\n";
}
std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out += Text;
  return Out;
}

struct request_case {
  const char *Name;
  std::string Method;
  std::string PathEnd;
  std::string Fields;
  std::string Content;   // as sent
  std::string Body;      // as the upstream gets it
  std::string Forwarded; // text that the upstream gets
};

std::vector<request_case> requestCases() {
  const std::string LongValue(LongBytes, 'v');
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string Chunk = "4\r\nabcd\r\n0\r\n";
  return {
      {"a long value", "GET", "", fieldLine(6, LongBytes), "", "",
       "nnnnnn: " + LongValue + "\r\n"},
      {"a long name", "GET", "", fieldLine(LongBytes, 6), "", "",
       std::string(LongBytes, 'n') + ": vvvvvv\r\n"},
      {"a long path", "GET", std::string(LongBytes, 'p'), "", "", "",
       std::string(LongBytes, 'p') + " HTTP/1.1\r\n"},
      {"a long method", std::string(LongBytes, 'M'), "", "", "", "",
       std::string(LongBytes, 'M') + " /look/1"},
      {"many fields", "GET", "", repeat(fieldLine(4, 4), 20'000), "", "",
       repeat(fieldLine(4, 4), 20'000)},
      {"many fields named by Connection", "GET", "",
       "Connection: keep-alive" + repeat(",nnnn", 20'000) + "\r\n" +
           repeat(fieldLine(4, 4), 10'000),
       "", "", " /look/1 HTTP/1.1\r\n"},
      {"short fields up to the limit", "GET", "",
       repeat("n:\r\n", (MaxHeaderBytes - 400) / 4), "", "",
       " /look/1 HTTP/1.1\r\n"},
      {"a header of just the limit", "GET", "",
       fieldLine(6, MaxHeaderBytes - 400), "", "",
       std::string(MaxHeaderBytes - 400, 'v')},
      {"a trailer with a long value", "POST", "", Chunked,
       Chunk + fieldLine(6, LongBytes) + "\r\n", "abcd",
       "nnnnnn: " + LongValue + "\r\n"},
      {"TRACE with a body", "TRACE", "", "Content-Length: 4\r\n", "abcd",
       "abcd", "TRACE /look/1 HTTP/1.1\r\n"},
      {"TRACE with a chunked body", "TRACE", "", Chunked, Chunk + "\r\n",
       "abcd", "TRACE /look/1 HTTP/1.1\r\n"},
      {"CONNECT with a body", "CONNECT", "", "Content-Length: 4\r\n", "abcd",
       "abcd", "CONNECT /look/1 HTTP/1.1\r\n"},
      {"DELETE with a body", "DELETE", "", "Content-Length: 4\r\n", "abcd",
       "abcd", "DELETE /look/1 HTTP/1.1\r\n"},
      {"a wish for another protocol", "GET", "",
       "Connection: upgrade\r\nUpgrade: websocket\r\n", "", "",
       "GET /look/1 HTTP/1.1\r\n"},
      {"an unknown method with a body", "BREW", "", "Content-Length: 4\r\n",
       "abcd", "abcd", "BREW /look/1 HTTP/1.1\r\n"},
  };
}

std::string requestText(const request_case &Case) {
  return Case.Method + " /look/1" + Case.PathEnd +
         " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\n"
         "Deadline-Ms: 15000\r\n" +
         Case.Fields + "\r\n" + Case.Content;
}

/// Answers requests with the body, and passes on what it gets.
scripted_upstream::script recording(blocking_queue<std::string> &Received,
                                    const std::string &Body) {
  return [&Received, Body](upstream_connection &Connection) {
    while (true) {
      std::string Text = Connection.readUntil("\r\n\r\n" + Body);
      if (Text.empty())
        return;
      Received.push(std::move(Text));
      Connection.respond("ok", 200, SignatureField);
    }
  };
}

std::string documentText() {
  return R"({"version":1,"services":[{"name":"pages"}],"limits":{)"
         R"("maxHeaderBytes":)" +
         std::to_string(MaxHeaderBytes) +
         R"(,"maxBodyBytes":4096,"headerTimeoutMs":60000,)"
         R"("idleTimeoutMs":60000},)"
         R"("virtualHosts":[{"host":"shop.example","paths":[)"
         R"({"name":"look","prefix":"/look/","kind":"safe",)"
         R"("timeoutMs":20000,"service":"pages"}]}]})";
}

http_request ordinaryRequest(const std::string &Body) {
  http_request Request = shopRequest(http::verb::post, "/look/1", Body);
  Request.set("Deadline-Ms", "15000");
  return Request;
}

/// A daemon that serves callers, and the daemon of the upstream: the same
/// process, or two planes of this process.
class serving_place {
public:
  virtual ~serving_place() = default;
  virtual std::string address() const = 0;
  virtual bool alive() const = 0;
};

class one_process final : public serving_place {
public:
  one_process(const scripted_upstream::script &Script, const std::string &Body)
      : Daemon({64, 256, documentText()}, Script) {
    REQUIRE(Daemon.awaitServing(ordinaryRequest(Body)));
  }
  std::string address() const override { return Daemon.entryAddress(); }
  bool alive() const override { return Daemon.alive(); }

private:
  mesh_process Daemon;
};

class two_planes final : public serving_place {
public:
  two_planes(const scripted_upstream::script &Script, const std::string &Body)
      : Mesh({Script}) {
    state::document Document = testTable(std::chrono::seconds(20))->source();
    Document.Limits.HeaderBytes = MaxHeaderBytes;
    const auto Table = state::route_table::build(2, Document).value();
    for (mesh_node *Node : {&Mesh.Entry, Mesh.Targets[0].get()})
      Node->run([&] { Node->Plane->setDocument(Table); });
    REQUIRE(Mesh.call(ordinaryRequest(Body)).result_int() == 200);
  }
  std::string address() const override { return Mesh.Entry.address(); }
  bool alive() const override { return true; }

private:
  mesh Mesh;
};

struct place_case {
  const char *Name;
  std::unique_ptr<serving_place> (*Make)(const scripted_upstream::script &,
                                         const std::string &Body);
};

template <class T>
std::unique_ptr<serving_place>
makePlace(const scripted_upstream::script &Script, const std::string &Body) {
  return std::make_unique<T>(Script, Body);
}

const place_case Places[] = {
    {"at the daemon of the upstream", makePlace<one_process>},
    {"through another daemon", makePlace<two_planes>},
};

} // namespace

// An exception of the parser or of the writer ended the process.
TEST_CASE("a request within the limits of the document is served") {
  for (const place_case &Place : Places)
    for (const request_case &Case : requestCases()) {
      CAPTURE(std::string(Place.Name));
      CAPTURE(std::string(Case.Name));
      const std::string Text = requestText(Case);
      REQUIRE(Text.size() <= MaxHeaderBytes);
      blocking_queue<std::string> Received;
      const auto Daemon = Place.Make(recording(Received, Case.Body), Case.Body);
      while (Received.pop(std::chrono::milliseconds(0))) {
      }
      blocking_caller Caller(Daemon->address());
      Caller.sendRaw(Text);
      CHECK(Caller.receive().result_int() == 200);
      const auto Forwarded = Received.pop(std::chrono::milliseconds(0));
      CHECK(
          (Forwarded && Forwarded->find(Case.Forwarded) != std::string::npos));
      CHECK(Daemon->alive());
      CHECK(mesh_process::status(ordinaryRequest(Case.Body),
                                 Daemon->address()) == 200);
    }
}

// The daemon waited for the end of such a trailer or line without reading it.
TEST_CASE("a request over the limits of the document is refused at once") {
  struct refusal_case {
    const char *Name;
    std::string Fields;
    std::string Content;
  };
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string TooLong(MaxHeaderBytes + 64 * 1024, 'x');
  const refusal_case Cases[] = {
      {"a header", "n: " + TooLong, ""},
      {"a trailer", Chunked, "4\r\nabcd\r\n0\r\nn: " + TooLong},
      {"a whole trailer", Chunked,
       "0\r\n" + repeat(fieldLine(6, 1000), MaxHeaderBytes / 1000) + "\r\n"},
      {"a line before a chunk", Chunked, "4;" + TooLong},
  };
  for (const refusal_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    blocking_queue<std::string> Received;
    one_process Daemon(recording(Received, ""), "");
    blocking_caller Caller(Daemon.address());
    Caller.sendRaw("POST /look/1 HTTP/1.1\r\nHost: shop.example\r\n" +
                   Case.Fields + "\r\n" + Case.Content);
    CHECK(Caller.receive().result_int() == 431);
    CHECK(Daemon.alive());
  }
}

// A trailer, which the parser does not limit, ended the process; a header near
// the limit was too long for the next daemon.
TEST_CASE("a response within the limits is served whole") {
  struct response_case {
    const char *Name;
    std::size_t HeadBytes; // including the fields of the peer
    std::string Trailer;
  };
  const std::string EmptyTrailer = "\r\n";
  const response_case Cases[] = {
      {"a header of just the limit", transport::MaxHeaderBytes, EmptyTrailer},
      {"a trailer with a long value", 0,
       fieldLine(6, LongBytes) + EmptyTrailer},
      {"a trailer with a long name", 0, fieldLine(LongBytes, 6) + EmptyTrailer},
      {"a trailer of many fields", 0,
       repeat(fieldLine(4, 4), 5'000) + EmptyTrailer},
  };
  for (const response_reader_kind &Kind : ResponseReaders)
    for (const response_case &Case : Cases) {
      CAPTURE(std::string(Kind.Name));
      CAPTURE(std::string(Case.Name));
      char Size[20];
      std::snprintf(Size, sizeof Size, "%zx\r\n", Kind.Body.size());
      std::string Head = "HTTP/1.1 200 OK\r\n" + Kind.Fields +
                         "Transfer-Encoding: chunked\r\n";
      const std::size_t LineBytes = fieldLine(4, 0).size() + 2;
      if (Case.HeadBytes > Head.size())
        Head += fieldLine(4, Case.HeadBytes - Head.size() - LineBytes);
      const std::string Response =
          Head + "\r\n" + Size + Kind.Body + "\r\n0\r\n" + Case.Trailer;
      scripted_upstream Peer([&](upstream_connection &Connection) {
        while (Connection.read())
          Connection.send(Response);
      });
      const auto Reader = Kind.Make(Peer.address());
      const read_result Result = Reader->call(100);
      CHECK(Result.Status == 200);
      CHECK(Result.Body == Kind.Body);
    }
}
