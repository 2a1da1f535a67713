/// \file
/// What one hop through two data planes adds to a direct call, and what a hop
/// costs over HTTP/1.1 and over gRPC. All of it runs in this process on
/// loopback, so CPU times include the caller and the upstream.
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
  const auto At =
      static_cast<std::size_t>(Q * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(At),
                   Values.end());
  return Values[At];
}

/// Starts one call; the handler is called on the given loop, with false when
/// the answer is not the one expected.
using call_function = std::function<void(std::function<void(bool)>)>;

struct figures {
  std::vector<double> LatencyMs;
  double CpuUsPerCall = 0;
  unsigned Failures = 0;
};

/// Starts calls at a fixed rate on the loop.
figures runPaced(asio::io_context &Loop, const call_function &Call,
                 unsigned Calls, double Rate) {
  struct run {
    explicit run(asio::io_context &Loop) : Timer(Loop) {}
    asio::steady_timer Timer;
    figures Figures;
    unsigned Started = 0;
    unsigned Ended = 0;
    std::promise<void> Done;
    std::function<void()> Next;
  };
  auto Run = std::make_shared<run>(Loop);
  const auto Interval =
      std::chrono::duration_cast<asio::steady_timer::duration>(
          std::chrono::duration<double>(1 / Rate));
  Run->Next = [&, Run = Run.get()] {
    const auto At = boot_clock::now();
    ++Run->Started;
    Call([&, Run, At](bool Good) {
      Run->Figures.LatencyMs.push_back(
          std::chrono::duration<double, std::milli>(boot_clock::now() - At)
              .count());
      Run->Figures.Failures += Good ? 0 : 1;
      if (++Run->Ended == Calls)
        Run->Done.set_value();
    });
    if (Run->Started == Calls)
      return;
    Run->Timer.expires_at(Run->Timer.expiry() + Interval);
    Run->Timer.async_wait([Run](const boost::system::error_code &Error) {
      if (!Error)
        Run->Next();
    });
  };
  const double Before = cpuSeconds();
  asio::post(Loop, [Run] {
    Run->Timer.expires_after(std::chrono::seconds(0));
    Run->Next();
  });
  Run->Done.get_future().wait();
  Run->Figures.CpuUsPerCall = (cpuSeconds() - Before) / Calls * 1e6;
  return Run->Figures;
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

/// The data planes of two daemons and what they read.
struct two_daemons {
  explicit two_daemons(const std::string &Upstream)
      : Picker(state::makeTwoChoicePicker(Stats)) {
    Target = open("target");
    Entry = open("entry");
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
    Cell.publish(std::make_shared<const state::routing_view>(View));
    Announcement = {"echo", "v1", Upstream, 100, false};
    announce();
  }

  std::unique_ptr<transport::data_plane> open(const char *Instance) {
    transport::data_plane_options Options;
    Options.Instance = Instance;
    Options.Address = "127.0.0.1:0";
    transport::data_plane_hooks Hooks;
    Hooks.Limits = [](const std::string &) {
      return state::admission_limits{100, 400};
    };
    return std::move(transport::data_plane::open(
                         Options, {Cell, Stats, *Picker, Budget}, Hooks)
                         .value());
  }
  void announce() const { Target->announce(Announcement); }

  state::routing_view_cell Cell;
  state::target_stats_registry Stats;
  std::unique_ptr<state::picker> Picker;
  state::retry_budget Budget{0.1, 10};
  state::upstream_announcement Announcement;
  std::unique_ptr<transport::data_plane> Target;
  std::unique_ptr<transport::data_plane> Entry;
};

/// Answers with the first hash of the request as a part.
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
  struct unary {
    grpc::ClientContext Context;
    control::fetch_request Request;
    control::fetch_response Response;
  };
  return [&](std::function<void(bool)> Done) {
    auto Unary = std::make_shared<unary>();
    Unary->Request.add_hashes(std::string(BodyBytes, 'x'));
    Unary->Context.set_deadline(std::chrono::system_clock::now() +
                                std::chrono::seconds(5));
    Stub.async()->fetch(
        &Unary->Context, &Unary->Request, &Unary->Response,
        [&Loop, Unary, Done = std::move(Done)](const grpc::Status &Status) {
          const bool Good = Status.ok() && Unary->Response.parts_size() == 1 &&
                            Unary->Response.parts(0).data().size() == BodyBytes;
          asio::post(Loop, [Done, Good] { Done(Good); });
        });
  };
}

struct medians {
  std::vector<double> P50;
  std::vector<double> P99;
  std::vector<double> Cpu;
  unsigned Failures = 0;

  void add(const figures &Figures) {
    P50.push_back(quantile(Figures.LatencyMs, 0.50));
    P99.push_back(quantile(Figures.LatencyMs, 0.99));
    Cpu.push_back(Figures.CpuUsPerCall);
    Failures += Figures.Failures;
  }
};

std::vector<row> hop(const options &Options) {
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
  const two_daemons Daemons(Upstream->address());

  echo_service Service;
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                           &Port);
  Builder.RegisterService(&Service);
  const auto Server = Builder.BuildAndStart();
  const auto Stub = control::control::NewStub(grpc::CreateChannel(
      "127.0.0.1:" + std::to_string(Port), grpc::InsecureChannelCredentials()));

  // 371 calls/s is the target load of 260,000 calls/s over 700 daemons.
  constexpr double Rate = 371;
  // 2.2 s, less than the lifetime of an announcement.
  const unsigned Calls = Options.Quick ? 100 : 800;
  const unsigned Rounds = Options.Quick ? 1 : 7;
  const call_function Direct = httpCall(Pool, Upstream->address());
  const call_function Hop = httpCall(Pool, Daemons.Entry->address());
  const call_function Grpc = grpcCall(Loops.at(0), *Stub);
  medians DirectFigures;
  medians HopFigures;
  medians GrpcFigures;
  // The rounds alternate, so that a busy moment of the machine meets all.
  for (unsigned Round = 0; Round <= Rounds; ++Round) {
    const auto Measure = [&](const call_function &Call, medians &Medians) {
      Daemons.announce();
      const figures Figures =
          runPaced(Loops.at(0), Call, Round == 0 ? 100 : Calls, Rate);
      if (Round > 0) // the first one warms up
        Medians.add(Figures);
    };
    Measure(Direct, DirectFigures);
    Measure(Hop, HopFigures);
    Measure(Grpc, GrpcFigures);
  }
  Server->Shutdown();
  Loops.stop();
  Upstream.reset();
  Loops.runReadyHandlers();

  const auto Median = [](const std::vector<double> &Values) {
    return quantile(Values, 0.5);
  };
  const double Direct50 = Median(DirectFigures.P50);
  const double Direct99 = Median(DirectFigures.P99);
  const double DirectCpu = Median(DirectFigures.Cpu);
  return {
      {"hop: added latency, p50", "ms", Median(HopFigures.P50) - Direct50,
       Direct50, "the direct call itself", "", false},
      {"hop: added latency, p99", "ms", Median(HopFigures.P99) - Direct99,
       Direct99, "the direct call itself", "at most 1.2 ms", false},
      {"hop: added CPU per call, both daemons", "us",
       Median(HopFigures.Cpu) - DirectCpu, DirectCpu,
       "the direct call itself, with caller and upstream", "", false},
      {"hop: failed calls", "calls", static_cast<double>(HopFigures.Failures),
       static_cast<double>(DirectFigures.Failures), "direct call", "0", false},
      {"transport: unary call, p50", "ms", Direct50, Median(GrpcFigures.P50),
       "gRPC", "", false},
      {"transport: unary call, p99", "ms", Direct99, Median(GrpcFigures.P99),
       "gRPC", "", false},
      {"transport: CPU per call, both ends", "us", DirectCpu,
       Median(GrpcFigures.Cpu), "gRPC", "", false},
  };
}

const registration Register("hop", hop);

} // namespace

} // namespace hyssopledge::bench
