/// \file
/// Load generator for loopback addresses. Sends requests at a fixed rate over a
/// fixed number of connections, checks that each response belongs to its
/// request, and prints the counts as one JSON object.
#include "hyssopledge/protocol/call_headers.h"
#include "hyssopledge/transport/http_client_pool.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <utility>
#include <vector>

namespace {

using namespace hyssopledge;
namespace asio = boost::asio;
namespace headers = protocol::call_headers;
namespace http = boost::beast::http;
using state::boot_clock;
using transport::http_request;

struct options {
  std::vector<std::string> Addresses; // data addresses, round-robin
  std::string Method = "GET";
  std::string Path = "/";
  std::string KeyPrefix; // sends idempotency keys PREFIX-N; empty: none
  std::string Body;
  double Rate = 100; // calls per second
  double DurationSeconds = 5;
  int Connections = 16; // maximum concurrent calls
  int TimeoutMs = 5000;
  int Repeat = 1; // how often each key is sent
};

class load_generator {
public:
  load_generator(asio::io_context &Context, options Options)
      : Context(Context), Options(std::move(Options)),
        Pool(Context, poolOptions(this->Options)), Timer(Context),
        StartedAt(boot_clock::now()),
        Total(static_cast<std::uint64_t>(this->Options.Rate *
                                         this->Options.DurationSeconds)) {}

  void start() { sendDueCalls(); }

  nlohmann::json result() const {
    std::vector<double> Sorted = Latencies;
    std::sort(Sorted.begin(), Sorted.end());
    const auto Quantile = [&](double Q) {
      return Sorted.empty() ? 0.0
                            : Sorted[std::min(
                                  Sorted.size() - 1,
                                  static_cast<std::size_t>(
                                      Q * static_cast<double>(Sorted.size())))];
    };
    const double Seconds =
        std::chrono::duration<double>(boot_clock::now() - StartedAt).count();
    return {{"sent", Sent},
            {"late", LateCallTicks},
            {"whole", Latencies.size()},
            {"wrong_answers", WrongAnswers},
            {"by_status", ByStatus},
            {"by_outcome", ByOutcome},
            {"by_reason", ByReason},
            {"by_version", ByVersion},
            {"p50_ms", Quantile(0.50)},
            {"p99_ms", Quantile(0.99)},
            {"max_ms", Quantile(1)},
            {"seconds", Seconds}};
  }
  bool allAnswersMatch() const { return WrongAnswers == 0; }
  bool isFinished() const { return Sent >= Total && InFlight == 0; }

private:
  static transport::client_pool_options poolOptions(const options &Options) {
    transport::client_pool_options Pool;
    Pool.MaxIdlePerAddress = static_cast<std::size_t>(Options.Connections);
    return Pool;
  }

  /// Sends the calls that are due by now. A call that finds all connections
  /// busy waits, and each millisecond tick counts it as late.
  void sendDueCalls() {
    const double ElapsedSeconds =
        std::chrono::duration<double>(boot_clock::now() - StartedAt).count();
    const std::uint64_t Due = std::min(
        Total, static_cast<std::uint64_t>(ElapsedSeconds * Options.Rate) + 1);
    while (Sent < Due && InFlight < Options.Connections)
      send();
    LateCallTicks += Due - Sent;
    if (Sent >= Total)
      return;
    Timer.expires_after(std::chrono::milliseconds(1));
    Timer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        sendDueCalls();
    });
  }

  void send() {
    const std::uint64_t RequestNumber = Sent++;
    const std::string Id = "r" + std::to_string(RequestNumber);
    const std::string &Address =
        Options.Addresses[RequestNumber % Options.Addresses.size()];
    http_request Request(http::string_to_verb(Options.Method), Options.Path,
                         11);
    Request.set(http::field::host, Address);
    Request.set("x-request-id", Id);
    if (!Options.KeyPrefix.empty())
      Request.set(headers::IdempotencyKey,
                  Options.KeyPrefix + "-" +
                      std::to_string(RequestNumber / static_cast<std::uint64_t>(
                                                         Options.Repeat)));
    Request.body() = Options.Body;
    Request.prepare_payload();
    ++InFlight;
    const state::time_point SentAt = boot_clock::now();
    Pool.send(Address, std::move(Request),
              SentAt + std::chrono::milliseconds(Options.TimeoutMs),
              [this, Id, SentAt](const transport::exchange_result &Result) {
                --InFlight;
                recordResult(Id, SentAt, Result);
              });
  }

  void recordResult(const std::string &Id, state::time_point SentAt,
                    const transport::exchange_result &Result) {
    if (Result.Outcome != transport::exchange_outcome::Complete) {
      ++ByStatus["none"];
      ++ByOutcome[Result.Outcome == transport::exchange_outcome::NotSent
                      ? "not-sent"
                      : "unknown"];
      return;
    }
    const auto &Response = Result.Response;
    Latencies.push_back(
        std::chrono::duration<double, std::milli>(boot_clock::now() - SentAt)
            .count());
    ++ByStatus[std::to_string(Response.result_int())];
    const std::string Outcome(
        transport::fieldValue(Response, headers::Outcome));
    ++ByOutcome[Outcome.empty() ? "none" : Outcome];
    const std::string Reason(transport::fieldValue(Response, headers::Reason));
    if (!Reason.empty())
      ++ByReason[Reason];
    const std::string Version(transport::fieldValue(Response, "x-version"));
    if (!Version.empty())
      ++ByVersion[Version];
    // A repeated key gets the stored response of its first request, which has
    // no request id.
    const std::string EchoedId(transport::fieldValue(Response, "x-request-id"));
    if ((Response.result_int() == 200 && Options.KeyPrefix.empty()) ||
        !EchoedId.empty())
      WrongAnswers += EchoedId == Id ? 0 : 1;
  }

  asio::io_context &Context;
  options Options;
  transport::http_client_pool Pool;
  asio::steady_timer Timer;
  state::time_point StartedAt;
  std::uint64_t Total;
  std::uint64_t Sent = 0;
  std::uint64_t LateCallTicks = 0; // waiting calls, summed over 1 ms ticks
  std::uint64_t WrongAnswers = 0;
  int InFlight = 0;
  std::vector<double> Latencies; // milliseconds
  std::map<std::string, std::uint64_t> ByStatus;
  std::map<std::string, std::uint64_t> ByOutcome;
  std::map<std::string, std::uint64_t> ByReason;
  std::map<std::string, std::uint64_t> ByVersion;
};

/// Parses the command line. Prints the error and returns false if it is
/// invalid.
bool parseOptions(int Argc, const char **Argv, options &Options) {
  const char *Addresses = nullptr;
  const char *Method = nullptr;
  const char *Path = nullptr;
  const char *KeyPrefix = nullptr;
  const char *Body = nullptr;
  const poptOption Table[] = {
      {"address", 'a', POPT_ARG_STRING, &Addresses, 0,
       "data addresses of daemons, used in turn", "IP:PORT,IP:PORT"},
      {"method", 'm', POPT_ARG_STRING, &Method, 0, "method", "METHOD"},
      {"path", 'p', POPT_ARG_STRING, &Path, 0, "path", "PATH"},
      {"body", 'b', POPT_ARG_STRING, &Body, 0, "body of each request", "TEXT"},
      {"rate", 'r', POPT_ARG_DOUBLE, &Options.Rate, 0, "calls per second", "N"},
      {"duration", 't', POPT_ARG_DOUBLE, &Options.DurationSeconds, 0,
       "time in which calls are sent", "S"},
      {"connections", 'c', POPT_ARG_INT, &Options.Connections, 0,
       "calls at once", "N"},
      {"timeout-ms", '\0', POPT_ARG_INT, &Options.TimeoutMs, 0,
       "longest wait for an answer", "MS"},
      {"keys", 'k', POPT_ARG_STRING, &KeyPrefix, 0,
       "send idempotency keys PREFIX-N", "PREFIX"},
      {"repeat", '\0', POPT_ARG_INT, &Options.Repeat, 0,
       "times each idempotency key is sent", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext PoptContext =
      poptGetContext("load_generator", Argc, Argv, Table, 0);
  const int Parsed = poptGetNextOpt(PoptContext);
  if (Parsed < -1)
    std::cerr << "load_generator: " << poptBadOption(PoptContext, 0) << ": "
              << poptStrerror(Parsed) << "\n";
  poptFreeContext(PoptContext);
  if (Parsed < -1)
    return false;
  std::string List = Addresses != nullptr ? Addresses : "";
  while (!List.empty()) {
    const std::size_t Comma = List.find(',');
    Options.Addresses.push_back(List.substr(0, Comma));
    List = Comma == std::string::npos ? "" : List.substr(Comma + 1);
  }
  Options.Method = Method != nullptr ? Method : "GET";
  Options.Path = Path != nullptr ? Path : "/";
  Options.KeyPrefix = KeyPrefix != nullptr ? KeyPrefix : "";
  Options.Body = Body != nullptr ? Body : "";
  for (const std::string &Address : Options.Addresses) {
    const auto Endpoint = transport::parseEndpoint(Address);
    if (Endpoint.has_error() || !Endpoint.value().address().is_loopback()) {
      std::cerr << "load_generator: " << Address
                << " must be \"ip:port\" on loopback\n";
      return false;
    }
  }
  if (Options.Addresses.empty() || Options.Rate <= 0 || Options.Rate > 50'000 ||
      Options.Connections < 1 || Options.Connections > 1000 ||
      Options.Repeat < 1 ||
      http::string_to_verb(Options.Method) == http::verb::unknown) {
    std::cerr << "load_generator: needs --address, a rate of at most 50000, 1 "
                 "to 1000 connections, a repeat of at least 1 and a known "
                 "method\n";
    return false;
  }
  return true;
}

} // namespace

int main(int Argc, const char **Argv) {
  options Options;
  if (!parseOptions(Argc, Argv, Options))
    return 2;
  asio::io_context Context(1);
  load_generator Generator(Context, Options);
  Generator.start();
  // Stops after the last response; the pool's idle timer would keep the context
  // running longer.
  while (Context.run_one() > 0 && !Generator.isFinished()) {
  }
  std::cout << Generator.result().dump() << std::endl;
  return Generator.allAnswersMatch() ? 0 : 1;
}
