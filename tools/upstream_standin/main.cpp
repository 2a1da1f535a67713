/// \file
/// Upstream server for tests and the demo. It announces itself to its daemon
/// every second, injects the faults selected by its options, and counts the
/// requests that it executed.
#include "hyssopledge/protocol/call_headers.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/transport/http_client_pool.h"
#include "hyssopledge/transport/http_listener.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <sstream>
#include <utility>

namespace {

using namespace hyssopledge;
namespace asio = boost::asio;
namespace headers = protocol::call_headers;
namespace http = boost::beast::http;
using state::boot_clock;
using transport::http_request;
using transport::http_response;

struct options {
  std::string Service = "reservations";
  std::string Version = "v1";
  std::string Listen = "127.0.0.1:0";
  std::string Admin;  // the daemon's admin address; empty: no announcements
  std::string Daemon; // the daemon's data address, for nested calls
  std::vector<std::string> NestedPaths;
  std::string CrashPath; // a request for this path ends the process
  std::string SlowPath;  // latency applies to this prefix only
  std::string ErrorPath; // errors apply to this prefix only
  int Slots = 12;
  double LatencyMs = 1;
  double JitterMs = 0;          // uniform, added to the latency
  double ErrorRate = 0;         // share of requests answered 500
  double ErrorAfterSeconds = 0; // delay after startup until errors begin
  double SlowStartSeconds = 0;  // latency falls from 10 times to its value
  int ShedAbove = 0; // sheds above this many requests at once; 0: never
  int BodyBytes = 0; // size of the filler in each response
  long Seed = 1;
};

/// The server and its counters. Runs on one thread.
class upstream_standin {
public:
  upstream_standin(asio::io_context &Context, options Options)
      : Context(Context), Options(std::move(Options)),
        Pool(Context, transport::client_pool_options{}),
        Random(static_cast<std::uint64_t>(this->Options.Seed)),
        AnnounceTimer(Context), StartedAt(boot_clock::now()) {}

  bool start() {
    auto Opened = transport::http_listener::open(
        {&Context}, Options.Listen, transport::listener_options{},
        [this](std::shared_ptr<transport::server_exchange> Call) {
          handle(std::move(Call));
        });
    if (Opened.has_error()) {
      std::cerr << "upstream_standin: " << Opened.error().text() << "\n";
      return false;
    }
    Listener = std::move(Opened.value());
    std::cout << "listening " << Listener->address() << std::endl;
    announce();
    return true;
  }

  /// Announces the drain, finishes the pending requests and stops the context.
  void drain() {
    Draining = true;
    announce();
    finishDrain();
  }

private:
  using call = std::shared_ptr<transport::server_exchange>;

  //--- Announcements ----------------------------------------------------------
  void announce() {
    AnnounceTimer.cancel();
    if (Options.Admin.empty())
      return;
    const nlohmann::json Body = {{"service", Options.Service},
                                 {"version", Options.Version},
                                 {"address", Listener->address()},
                                 {"slots", Options.Slots},
                                 {"draining", Draining}};
    http_request Request(http::verb::post, "/announce", 11);
    Request.set(http::field::host, Options.Admin);
    Request.set(http::field::content_type, "application/json");
    Request.body() = Body.dump();
    Request.prepare_payload();
    Pool.send(Options.Admin, std::move(Request),
              boot_clock::now() + std::chrono::seconds(1),
              [](const transport::exchange_result &Result) {
                if (Result.Outcome == transport::exchange_outcome::Complete &&
                    Result.Response.result_int() == 400)
                  std::cerr << "upstream_standin: announcement refused: "
                            << Result.Response.body();
              });
    AnnounceTimer.expires_after(std::chrono::seconds(1));
    AnnounceTimer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        announce();
    });
  }

  void finishDrain() {
    // The daemon may still send calls that it admitted before the announcement.
    if (Listener->active() == 0 &&
        ++IdleChecks > 20) { // 20 checks of 10 ms without a request
      Context.stop();
      return;
    }
    if (Listener->active() > 0)
      IdleChecks = 0;
    auto Timer = std::make_shared<asio::steady_timer>(Context);
    Timer->expires_after(std::chrono::milliseconds(10));
    Timer->async_wait([this, Timer](const boost::system::error_code &Error) {
      if (!Error)
        finishDrain();
    });
  }

  //--- Requests ---------------------------------------------------------------
  void handle(call Call) {
    const std::string Path(Call->request().target());
    if (Path == "/executions")
      return Call->respond(
          transport::makeResponse(200, "application/json", executions()));
    if (!Options.CrashPath.empty() && Path == Options.CrashPath)
      std::_Exit(3);
    if (Options.ShedAbove > 0 && InFlight >= Options.ShedAbove) {
      http_response Response =
          transport::makeResponse(503, "text/plain", "shed\n");
      Response.set(headers::Outcome, transport::OutcomeNotRun);
      return Call->respond(std::move(Response));
    }
    ++InFlight;
    ++Executions;
    const std::string Key(
        transport::fieldValue(Call->request(), headers::IdempotencyKey));
    if (!Key.empty())
      ++ByKey[Key];
    auto Pending = std::make_shared<pending_request>(Context);
    Call->onDisconnect([this, Pending] {
      ++Cancelled;
      Pending->IsDisconnected = true;
      Pending->Timer.cancel();
      if (Pending->Nested)
        Pending->Nested->cancel();
    });
    Pending->Timer.expires_after(latency(Path));
    Pending->Timer.async_wait([this, Call = std::move(Call), Pending](
                                  const boost::system::error_code &Error) {
      if (Error || Pending->IsDisconnected) {
        --InFlight;
        return;
      }
      sendNestedCall(Call, Pending, 0);
    });
  }

  struct pending_request {
    explicit pending_request(asio::io_context &Context) : Timer(Context) {}
    asio::steady_timer Timer;
    std::shared_ptr<transport::client_exchange> Nested;
    bool IsDisconnected = false;
  };

  boot_clock::duration latency(const std::string &Path) {
    double Ms = Options.LatencyMs + Options.JitterMs * drawUniform();
    if (!Options.SlowPath.empty() && !Path.starts_with(Options.SlowPath))
      Ms = 1;
    const double AgeSeconds = ageSeconds();
    if (AgeSeconds < Options.SlowStartSeconds)
      Ms *= 10 - 9 * AgeSeconds / Options.SlowStartSeconds;
    return std::chrono::duration_cast<boot_clock::duration>(
        std::chrono::duration<double, std::milli>(Ms));
  }

  bool shouldFail(const std::string &Path) {
    return ageSeconds() >= Options.ErrorAfterSeconds &&
           (Options.ErrorPath.empty() || Path.starts_with(Options.ErrorPath)) &&
           drawUniform() < Options.ErrorRate;
  }

  /// Sends the nested calls one after another, starting at Index, then
  /// responds.
  void sendNestedCall(const call &Call,
                      const std::shared_ptr<pending_request> &Pending,
                      std::size_t Index) {
    const http_request &Request = Call->request();
    if (Index >= Options.NestedPaths.size())
      return respond(Call);
    http_request Nested(http::verb::get, Options.NestedPaths[Index], 11);
    Nested.set(http::field::host, Options.Daemon);
    for (const char *Name : {headers::TraceParent, headers::DeadlineMs,
                             headers::AttemptsLeft, headers::Depth}) {
      const std::string_view Value = transport::fieldValue(Request, Name);
      if (!Value.empty())
        Nested.set(Name, boost::beast::string_view(Value.data(), Value.size()));
    }
    const auto RemainingMs =
        transport::fieldNumber(Request, headers::DeadlineMs).value_or(10'000);
    Pending->Nested = Pool.send(
        Options.Daemon, std::move(Nested),
        boot_clock::now() + std::chrono::milliseconds(RemainingMs),
        [this, Call, Pending, Index](const transport::exchange_result &Result) {
          Pending->Nested = nullptr;
          if (Pending->IsDisconnected) {
            --InFlight;
            return;
          }
          if (Result.Outcome == transport::exchange_outcome::Complete &&
              Result.Response.result_int() < 500)
            return sendNestedCall(Call, Pending, Index + 1);
          --InFlight;
          http_response Response = transport::makeResponse(
              502, "text/plain", "nested call failed\n");
          // Tells earlier hops that the failed call has already been retried.
          if (!transport::fieldValue(Result.Response,
                                     headers::RetriedByLaterHop)
                   .empty())
            Response.set(headers::RetriedByLaterHop, "1");
          Call->respond(std::move(Response));
        });
  }

  void respond(const call &Call) {
    --InFlight;
    const http_request &Request = Call->request();
    if (shouldFail(std::string(Request.target())))
      return Call->respond(
          transport::makeResponse(500, "text/plain", "injected error\n"));
    nlohmann::json Body = {{"service", Options.Service},
                           {"version", Options.Version},
                           {"execution", Executions}};
    if (Options.BodyBytes > 0)
      Body["filler"] =
          std::string(static_cast<std::size_t>(Options.BodyBytes), 'x');
    http_response Response =
        transport::makeResponse(200, "application/json", Body.dump());
    Response.set("x-request-id", Request["x-request-id"]);
    Response.set("x-version", Options.Version);
    Call->respond(std::move(Response));
  }

  std::string executions() const {
    const nlohmann::json Json = {{"version", Options.Version},
                                 {"total", Executions},
                                 {"cancelled", Cancelled},
                                 {"by_key", ByKey}};
    return Json.dump();
  }

  double ageSeconds() const {
    return std::chrono::duration<double>(boot_clock::now() - StartedAt).count();
  }
  double drawUniform() { return state::unitInterval(Random()); }

  asio::io_context &Context;
  options Options;
  transport::http_client_pool Pool;
  state::random_engine Random;
  asio::steady_timer AnnounceTimer;
  state::time_point StartedAt;
  std::unique_ptr<transport::http_listener> Listener;
  std::map<std::string, std::uint64_t> ByKey;
  std::uint64_t Executions = 0;
  std::uint64_t Cancelled = 0;
  int InFlight = 0;
  int IdleChecks = 0;
  bool Draining = false;
};

std::string valueOr(const char *Value, const std::string &Default) {
  return Value != nullptr ? Value : Default;
}

/// Parses the command line. Prints the error and returns false if it is
/// invalid.
bool parseOptions(int Argc, const char **Argv, options &Options) {
  const char *Service = nullptr;
  const char *Version = nullptr;
  const char *Listen = nullptr;
  const char *Admin = nullptr;
  const char *Daemon = nullptr;
  const char *Nested = nullptr;
  const char *CrashPath = nullptr;
  const char *SlowPath = nullptr;
  const char *ErrorPath = nullptr;
  const poptOption Table[] = {
      {"service", 's', POPT_ARG_STRING, &Service, 0, "service", "NAME"},
      {"version", 'v', POPT_ARG_STRING, &Version, 0, "version", "NAME"},
      {"listen", 'l', POPT_ARG_STRING, &Listen, 0, "address to serve",
       "IP:PORT"},
      {"admin", 'a', POPT_ARG_STRING, &Admin, 0,
       "admin address of its daemon, for announcements", "IP:PORT"},
      {"daemon", 'd', POPT_ARG_STRING, &Daemon, 0,
       "data address of its daemon, for nested calls", "IP:PORT"},
      {"nested", 'n', POPT_ARG_STRING, &Nested, 0,
       "paths called through the daemon before each answer", "PATH,PATH"},
      {"slots", '\0', POPT_ARG_INT, &Options.Slots, 0, "announced slots", "N"},
      {"latency-ms", '\0', POPT_ARG_DOUBLE, &Options.LatencyMs, 0,
       "time to an answer", "MS"},
      {"jitter-ms", '\0', POPT_ARG_DOUBLE, &Options.JitterMs, 0,
       "uniform addition to the latency", "MS"},
      {"slow-path", '\0', POPT_ARG_STRING, &SlowPath, 0,
       "latency only under this path, 1 ms elsewhere", "PREFIX"},
      {"slow-start", '\0', POPT_ARG_DOUBLE, &Options.SlowStartSeconds, 0,
       "time in which the latency falls from 10 times to its value", "S"},
      {"error-rate", '\0', POPT_ARG_DOUBLE, &Options.ErrorRate, 0,
       "share of requests answered 500", "0..1"},
      {"error-path", '\0', POPT_ARG_STRING, &ErrorPath, 0,
       "errors only under this path", "PREFIX"},
      {"error-after", '\0', POPT_ARG_DOUBLE, &Options.ErrorAfterSeconds, 0,
       "time from the start to the first error", "S"},
      {"shed-above", '\0', POPT_ARG_INT, &Options.ShedAbove, 0,
       "shed with so many requests at once, 0: never", "N"},
      {"crash-path", '\0', POPT_ARG_STRING, &CrashPath, 0,
       "end the process on a request with this path", "PATH"},
      {"body-bytes", '\0', POPT_ARG_INT, &Options.BodyBytes, 0,
       "filler in each answer", "N"},
      {"seed", '\0', POPT_ARG_LONG, &Options.Seed, 0, "of the random draws",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext PoptContext =
      poptGetContext("upstream_standin", Argc, Argv, Table, 0);
  const int Parsed = poptGetNextOpt(PoptContext);
  const char *ExtraArgument = poptGetArg(PoptContext);
  if (Parsed < -1)
    std::cerr << "upstream_standin: " << poptBadOption(PoptContext, 0) << ": "
              << poptStrerror(Parsed) << "\n";
  else if (ExtraArgument != nullptr)
    std::cerr << "upstream_standin: unexpected argument " << ExtraArgument
              << "\n";
  const bool IsValid = Parsed >= -1 && ExtraArgument == nullptr;
  poptFreeContext(PoptContext);
  Options.Service = valueOr(Service, Options.Service);
  Options.Version = valueOr(Version, Options.Version);
  Options.Listen = valueOr(Listen, Options.Listen);
  Options.Admin = valueOr(Admin, "");
  Options.Daemon = valueOr(Daemon, "");
  Options.CrashPath = valueOr(CrashPath, "");
  Options.SlowPath = valueOr(SlowPath, "");
  Options.ErrorPath = valueOr(ErrorPath, "");
  std::istringstream Paths(valueOr(Nested, ""));
  for (std::string Path; std::getline(Paths, Path, ',');)
    Options.NestedPaths.push_back(Path);
  if (IsValid && !Options.NestedPaths.empty() && Options.Daemon.empty()) {
    std::cerr << "upstream_standin: --nested needs --daemon\n";
    return false;
  }
  return IsValid;
}

} // namespace

int main(int Argc, const char **Argv) {
  options Options;
  if (!parseOptions(Argc, Argv, Options))
    return 2;
  asio::io_context Context(1);
  upstream_standin Standin(Context, Options);
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &Error, int) {
    if (!Error)
      Standin.drain();
  });
  if (!Standin.start())
    return 1;
  Context.run();
  return 0;
}
