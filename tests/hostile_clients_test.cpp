/// \file
/// Crowds of callers that exhaust memory or descriptors, against a hyssop_mesh
/// process with small limits. Checks only what does not depend on the speed of
/// the machine: the process lives, its memory and its descriptors stay within
/// the limits of its settings, and an ordinary request is answered meanwhile.
#include <doctest/doctest.h>

#include "support/mesh_process.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace hyssopledge;
using namespace hyssopledge::tests;

namespace {

constexpr unsigned MemoryMb = 64;
constexpr unsigned MaxDescriptors = 256;
constexpr std::size_t MaxBodyBytes = 4 * 1024 * 1024; // of the document
constexpr std::size_t PieceBytes = 64 * 1024;

// The time limit for a request is long, so that the memory bound must hold
// without it.
std::string documentText(std::size_t BodyBytes = MaxBodyBytes) {
  return R"({"version":1,"services":[{"name":"pages"}],"limits":{)"
         R"("maxHeaderBytes":16384,"maxBodyBytes":)" +
         std::to_string(BodyBytes) +
         R"(,"headerTimeoutMs":60000,"idleTimeoutMs":60000},)"
         R"("virtualHosts":[{"host":"h","paths":[)"
         R"({"name":"r","prefix":"/a/","kind":"unsafe","timeoutMs":20000,)"
         R"("service":"pages"}]}]})";
}

http_request ordinaryRequest(const std::string &Body = "b") {
  http_request Request = makeRequest(http::verb::post, "/a/1", Body);
  Request.set(http::field::host, "h");
  Request.set("Attempt-Id", "a1");
  Request.set("Deadline-Ms", "15000");
  return Request;
}

std::string head(const std::string &Fields) {
  return "POST /a/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: x\r\n"
         "Deadline-Ms: 15000\r\n" +
         Fields + "\r\n";
}
std::string headWithLength(std::size_t Length) {
  return head("Content-Length: " + std::to_string(Length) + "\r\n");
}
std::string chunk(std::size_t Bytes) {
  char Size[32];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes);
  return Size + std::string(Bytes, 'x') + "\r\n";
}
std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Out;
  Out.reserve(Text.size() * Count);
  for (std::size_t I = 0; I < Count; ++I)
    Out += Text;
  return Out;
}

/// Callers that send the same bytes side by side, piece by piece, and keep
/// their connections open.
class crowd {
public:
  crowd(const std::string &Address, unsigned Count, std::string Bytes)
      : Bytes(std::move(Bytes)) {
    for (unsigned I = 0; I < Count; ++I) {
      auto Caller = std::make_unique<caller>(Context);
      boost::system::error_code Error;
      Caller->Socket.connect(endpointOf(Address), Error);
      Caller->Done = Error.failed();
      if (!Error)
        Caller->Socket.non_blocking(true);
      Callers.push_back(std::move(Caller));
    }
  }

  /// Sends until each caller has sent all or the daemon takes no more. Calls
  /// AfterRound after each round.
  template <class F> void send(F AfterRound) {
    constexpr std::chrono::seconds MaxIdleTime{2};
    auto LastProgress = std::chrono::steady_clock::now();
    bool Pending = true;
    while (Pending &&
           std::chrono::steady_clock::now() - LastProgress < MaxIdleTime) {
      Pending = false;
      bool Progress = false;
      for (const auto &Caller : Callers) {
        Progress = sendPiece(*Caller) || Progress;
        Pending = Pending || !Caller->Done;
      }
      if (Progress)
        LastProgress = std::chrono::steady_clock::now();
      else
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      AfterRound();
    }
  }

private:
  struct caller {
    explicit caller(asio::io_context &Context) : Socket(Context) {}
    tcp::socket Socket;
    std::size_t Sent = 0;
    bool Done = false;
  };

  bool sendPiece(caller &Caller) {
    if (Caller.Done)
      return false;
    const std::size_t Size = std::min(PieceBytes, Bytes.size() - Caller.Sent);
    const auto Sent = ::send(Caller.Socket.native_handle(),
                             Bytes.data() + Caller.Sent, Size, MSG_NOSIGNAL);
    if (Sent < 0) {
      Caller.Done = errno != EAGAIN && errno != EWOULDBLOCK;
      return false;
    }
    Caller.Sent += static_cast<std::size_t>(Sent);
    Caller.Done = Caller.Sent == Bytes.size();
    return Sent > 0;
  }

  std::string Bytes;
  asio::io_context Context;
  std::vector<std::unique_ptr<caller>> Callers;
};

scripted_upstream::script respondingOk() {
  return [](upstream_connection &Connection) {
    while (Connection.read())
      Connection.respond("ok", 200, "Response-Signature: s\r\n");
  };
}

} // namespace

// Each of these crowds made the process hold over 64 MB, or left no descriptor
// for other callers.
TEST_CASE("a crowd of callers does not exhaust a daemon") {
  struct crowd_case {
    const char *Name;
    unsigned Callers;
    std::string Bytes;
  };
  const std::size_t Pieces = MaxBodyBytes / PieceBytes;
  const std::string Chunked = head("Transfer-Encoding: chunked\r\n");
  const crowd_case Cases[] = {
      {"bodies of legal size, one byte short", 40,
       headWithLength(MaxBodyBytes) + std::string(MaxBodyBytes - 1, 'x')},
      {"bodies of legal size, whole", 40,
       headWithLength(MaxBodyBytes) + std::string(MaxBodyBytes, 'x')},
      {"large chunks without the last one", 40,
       Chunked + repeat(chunk(PieceBytes), Pieces)},
      {"small chunks without the last one", 20,
       Chunked + repeat(chunk(16), MaxBodyBytes / 16)},
      {"chunks far over the limit", 40,
       Chunked + repeat(chunk(PieceBytes), 4 * Pieces)},
      {"a length far over the limit", 40,
       headWithLength(1'000 * MaxBodyBytes) +
           std::string(2 * MaxBodyBytes, 'x')},
      {"connections without a whole header", 300, "POST /a/1 HTTP/1.1\r\n"},
      {"connections without a byte", 300, ""},
  };
  for (const crowd_case &Case : Cases) {
    CAPTURE(std::string(Case.Name));
    mesh_process Daemon({MemoryMb, MaxDescriptors, documentText()},
                        respondingOk());
    REQUIRE(Daemon.awaitServing(ordinaryRequest()));
    std::size_t MaxOpen = 0;
    crowd Crowd(Daemon.entryAddress(), Case.Callers, Case.Bytes);
    Crowd.send([&] { MaxOpen = std::max(MaxOpen, Daemon.descriptors()); });
    Daemon.awaitIdle();
    MaxOpen = std::max(MaxOpen, Daemon.descriptors());
    CHECK(Daemon.alive());
    CHECK(Daemon.peakMemoryMb() <= MemoryMb);
    CHECK(MaxOpen < MaxDescriptors);
    CHECK(mesh_process::status(ordinaryRequest(), Daemon.entryAddress()) ==
          200);
  }
}

TEST_CASE("a single request of legal size is served") {
  mesh_process Daemon({MemoryMb, MaxDescriptors, documentText()},
                      respondingOk());
  REQUIRE(Daemon.awaitServing(ordinaryRequest()));
  for (int I = 0; I < 3; ++I)
    CHECK(mesh_process::status(ordinaryRequest(std::string(MaxBodyBytes, 'x')),
                               Daemon.entryAddress()) == 200);
  CHECK(Daemon.peakMemoryMb() <= MemoryMb);
}

// The users' limit for a body, on their smallest machine and on an earlier one.
// Copies of the body on its way took several times its size.
TEST_CASE("bodies of the users' limit fit into the users' machines") {
  constexpr std::size_t UsersMaxBodyBytes = 64 * 1024 * 1024;
  struct body_case {
    const char *Name;
    unsigned MemoryMb;
    unsigned Callers;
    std::size_t BodyBytes;
    bool AllServed;
  };
  for (const body_case &Case :
       {body_case{"one at a time", 160, 1, UsersMaxBodyBytes - 1024, true},
        body_case{"four at once", 260, 4, 60 * 1024 * 1024, false}}) {
    CAPTURE(std::string(Case.Name));
    mesh_process Daemon(
        {Case.MemoryMb, MaxDescriptors, documentText(UsersMaxBodyBytes)},
        respondingOk());
    REQUIRE(Daemon.awaitServing(ordinaryRequest()));
    const std::string Body(Case.BodyBytes, 'x');
    crowd Crowd(Daemon.entryAddress(), Case.Callers,
                headWithLength(Case.BodyBytes) + Body);
    Crowd.send([] {});
    Daemon.awaitIdle();
    CHECK(Daemon.alive());
    CHECK(Daemon.peakMemoryMb() <= Case.MemoryMb);
    if (Case.AllServed)
      CHECK(mesh_process::status(ordinaryRequest(Body),
                                 Daemon.entryAddress()) == 200);
    CHECK(mesh_process::status(ordinaryRequest(), Daemon.entryAddress()) ==
          200);
  }
}
