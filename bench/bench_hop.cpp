/// \file
/// Measures the latency and CPU time that a hop through two data planes adds to
/// a direct call, and compares a unary call over HTTP/1.1 with one over gRPC.
/// Everything runs in this process on loopback, so CPU times include the caller
/// and the upstream.
#include "bench/bench.h"

#include "control.grpc.pb.h"
#include "hyssopledge/transport/data_plane.h"
#include "hyssopledge/transport/loop_group.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <grpcpp/grpcpp.h>
#include <sys/resource.h>

namespace hyssopledge::bench {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using state::boot_clock;

constexpr std::size_t BodyBytes = 256;

double cpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) * 1e-6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

double quantile(std::vector<double> Values, double Q) {
  if (Values.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Q * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return Values[Index];
}

/// Starts one call. The handler runs on the load generator's loop and receives
/// false if the response is not the expected one.
using call_function = std::function<void(std::function<void(bool)>)>;

struct load_result {
  std::vector<double> LatencyMs;
  double CpuUsPerCall = 0;
  unsigned Failures = 0;
};

/// Starts calls on the loop at a fixed rate in calls per second, regardless of
/// how many are in flight, and waits until all have ended.
load_result runAtFixedRate(asio::io_context &Loop, const call_function &Call,
                           unsigned Calls, double Rate) {
  struct run {
    explicit run(asio::io_context &Loop) : Timer(Loop) {}
    asio::steady_timer Timer;
    load_result Result;
    unsigned Started = 0;
    unsigned Ended = 0;
    std::promise<void> Done;
    std::function<void()> StartNextCall;
  };
  auto Run = std::make_shared<run>(Loop);
  const auto Interval =
      std::chrono::duration_cast<asio::steady_timer::duration>(
          std::chrono::duration<double>(1 / Rate));
  Run->StartNextCall = [&, Run = Run.get()] {
    const auto StartedAt = boot_clock::now();
    ++Run->Started;
    Call([&, Run, StartedAt](bool Succeeded) {
      Run->Result.LatencyMs.push_back(std::chrono::duration<double, std::milli>(
                                          boot_clock::now() - StartedAt)
                                          .count());
      Run->Result.Failures += Succeeded ? 0 : 1;
      if (++Run->Ended == Calls)
        Run->Done.set_value();
    });
    if (Run->Started == Calls)
      return;
    Run->Timer.expires_at(Run->Timer.expiry() + Interval);
    Run->Timer.async_wait([Run](const boost::system::error_code &Error) {
      if (!Error)
        Run->StartNextCall();
    });
  };
  const double CpuSecondsBefore = cpuSeconds();
  asio::post(Loop, [Run] {
    Run->Timer.expires_after(std::chrono::seconds(0));
    Run->StartNextCall();
  });
  Run->Done.get_future().wait();
  Run->Result.CpuUsPerCall = (cpuSeconds() - CpuSecondsBefore) / Calls * 1e6;
  return Run->Result;
}

transport::http_request echoRequest() {
  transport::http_request Request(http::verb::post, "/echo", 11);
  Request.set(http::field::host, "bench");
  Request.body() = std::string(BodyBytes, 'x');
  Request.prepare_payload();
  return Request;
}

call_function httpCall(transport::http_client_pool &Pool,
                       const std::string &Address) {
  return [&Pool, Address](std::function<void(bool)> Done) {
    Pool.send(
        Address, echoRequest(), boot_clock::now() + std::chrono::seconds(5),
        [Done = std::move(Done)](const transport::exchange_result &Result) {
          Done(Result.Outcome == transport::exchange_outcome::Complete &&
               Result.Response.result_int() == 200 &&
               Result.Response.body().size() == BodyBytes);
        });
  };
}

/// Data planes of an entry and a target daemon, with the routing state and
/// statistics that they share.
struct daemon_pair {
  explicit daemon_pair(const std::string &Upstream)
      : Picker(state::makeTwoChoicePicker(Stats)) {
    Target = openDataPlane("target");
    Entry = openDataPlane("entry");
    state::document Document;
    Document.Environment = "bench";
    state::service_spec Service;
    Service.Name = "echo";
    Service.Versions = {"v1"};
    Service.StableVersion = "v1";
    Service.Limits.Slots = 100;
    Document.Services = {Service};
    state::route_spec Route;
    Route.Name = "echo";
    Route.PathPrefix = "/echo";
    Route.Service = "echo";
    Document.Routes = {Route};
    state::routing_view View;
    View.Snapshot = state::buildSnapshot(1, "", Document).value();
    state::target_table Targets;
    state::target_record Record;
    Record.Instance = "target";
    Record.DataCentre = "dc1";
    Record.Address = Target->address();
    Record.Service = "echo";
    Record.Version = "v1";
    Targets.Targets = {Record};
    Stats.update(Targets);
    View.Targets = std::make_shared<const state::target_table>(Targets);
    ViewCell.publish(std::make_shared<const state::routing_view>(View));
    Announcement = {"echo", "v1", Upstream, 100, false};
    announce();
  }

  std::unique_ptr<transport::data_plane> openDataPlane(const char *Instance) {
    transport::data_plane_options Options;
    Options.Instance = Instance;
    Options.Address = "127.0.0.1:0";
    transport::data_plane_hooks Hooks;
    Hooks.Limits = [](const std::string &) {
      return state::admission_limits{100, 400};
    };
    return std::move(transport::data_plane::open(
                         Options, {ViewCell, Stats, *Picker, Budget}, Hooks)
                         .value());
  }
  void announce() const { Target->announce(Announcement); }

  state::routing_view_cell ViewCell;
  state::target_stats_registry Stats;
  std::unique_ptr<state::picker> Picker;
  state::retry_budget Budget{0.1, 10};
  state::upstream_announcement Announcement;
  std::unique_ptr<transport::data_plane> Target;
  std::unique_ptr<transport::data_plane> Entry;
};

/// Returns the first hash of the request as the data of a part.
class echo_service final : public control::control::CallbackService {
  grpc::ServerUnaryReactor *fetch(grpc::CallbackServerContext *Context,
                                  const control::fetch_request *Request,
                                  control::fetch_response *Response) override {
    Response->add_parts()->set_data(Request->hashes(0));
    auto *Reactor = Context->DefaultReactor();
    Reactor->Finish(grpc::Status::OK);
    return Reactor;
  }
};

call_function grpcCall(asio::io_context &Loop, control::control::Stub &Stub) {
  struct unary_call {
    grpc::ClientContext Context;
    control::fetch_request Request;
    control::fetch_response Response;
  };
  return [&](std::function<void(bool)> Done) {
    auto Unary = std::make_shared<unary_call>();
    Unary->Request.add_hashes(std::string(BodyBytes, 'x'));
    Unary->Context.set_deadline(std::chrono::system_clock::now() +
                                std::chrono::seconds(5));
    Stub.async()->fetch(
        &Unary->Context, &Unary->Request, &Unary->Response,
        [&Loop, Unary, Done = std::move(Done)](const grpc::Status &Status) {
          const bool Succeeded =
              Status.ok() && Unary->Response.parts_size() == 1 &&
              Unary->Response.parts(0).data().size() == BodyBytes;
          asio::post(Loop, [Done, Succeeded] { Done(Succeeded); });
        });
  };
}

struct round_figures {
  std::vector<double> P50Ms;
  std::vector<double> P99Ms;
  std::vector<double> CpuUs;
  unsigned Failures = 0;

  void add(const load_result &Result) {
    P50Ms.push_back(quantile(Result.LatencyMs, 0.50));
    P99Ms.push_back(quantile(Result.LatencyMs, 0.99));
    CpuUs.push_back(Result.CpuUsPerCall);
    Failures += Result.Failures;
  }
};

std::vector<row> benchHop(const options &Options) {
  transport::loop_group Loops(2);
  transport::http_client_pool Pool(Loops.at(0), {});
  auto Upstream = std::move(
      transport::http_listener::open(
          {&Loops.at(1)}, "127.0.0.1:0", {},
          [](const std::shared_ptr<transport::server_exchange> &Call) {
            Call->respond(transport::makeResponse(200, "text/plain",
                                                  Call->request().body()));
          })
          .value());
  Loops.start();
  const daemon_pair Daemons(Upstream->address());

  echo_service Service;
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                           &Port);
  Builder.RegisterService(&Service);
  const auto Server = Builder.BuildAndStart();
  const auto Stub = control::control::NewStub(grpc::CreateChannel(
      "127.0.0.1:" + std::to_string(Port), grpc::InsecureChannelCredentials()));

  // The target load of 260,000 calls/s over 700 daemons is 371 calls/s each.
  constexpr double Rate = 371;
  // 800 calls take 2.2 s, less than the TTL of an announcement.
  const unsigned Calls = Options.Quick ? 100 : 800;
  const unsigned Rounds = Options.Quick ? 1 : 7;
  const call_function Direct = httpCall(Pool, Upstream->address());
  const call_function Hop = httpCall(Pool, Daemons.Entry->address());
  const call_function Grpc = grpcCall(Loops.at(0), *Stub);
  round_figures DirectResults;
  round_figures HopResults;
  round_figures GrpcResults;
  // The variants alternate within a round, so that background load on the
  // machine affects all of them alike.
  for (unsigned Round = 0; Round <= Rounds; ++Round) {
    const auto Measure = [&](const call_function &Call,
                             round_figures &Figures) {
      Daemons.announce();
      const load_result Result =
          runAtFixedRate(Loops.at(0), Call, Round == 0 ? 100 : Calls, Rate);
      if (Round > 0) // round 0 is a warm-up
        Figures.add(Result);
    };
    Measure(Direct, DirectResults);
    Measure(Hop, HopResults);
    Measure(Grpc, GrpcResults);
  }
  Server->Shutdown();
  Loops.stop();
  Upstream.reset();
  Loops.runReadyHandlers();

  const auto Median = [](const std::vector<double> &Values) {
    return quantile(Values, 0.5);
  };
  const double DirectP50Ms = Median(DirectResults.P50Ms);
  const double DirectP99Ms = Median(DirectResults.P99Ms);
  const double DirectCpuUs = Median(DirectResults.CpuUs);
  return {
      {"hop: added latency, p50", "ms", Median(HopResults.P50Ms) - DirectP50Ms,
       DirectP50Ms, "the direct call itself", "", false},
      {"hop: added latency, p99", "ms", Median(HopResults.P99Ms) - DirectP99Ms,
       DirectP99Ms, "the direct call itself", "at most 1.2 ms", false},
      {"hop: added CPU per call, both daemons", "us",
       Median(HopResults.CpuUs) - DirectCpuUs, DirectCpuUs,
       "the direct call itself, with caller and upstream", "", false},
      {"hop: failed calls", "calls", static_cast<double>(HopResults.Failures),
       static_cast<double>(DirectResults.Failures), "direct call", "0", false},
      {"transport: unary call, p50", "ms", DirectP50Ms,
       Median(GrpcResults.P50Ms), "gRPC", "", false},
      {"transport: unary call, p99", "ms", DirectP99Ms,
       Median(GrpcResults.P99Ms), "gRPC", "", false},
      {"transport: CPU per call, both ends", "us", DirectCpuUs,
       Median(GrpcResults.CpuUs), "gRPC", "", false},
  };
}

const registration Register("hop", benchHop);

} // namespace

} // namespace hyssopledge::bench
