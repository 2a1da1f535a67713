#include "hyssopledge/transport/data_plane.h"

#include "hyssopledge/protocol/call_headers.h"
#include "hyssopledge/transport/data_plane_core.h"
#include "hyssopledge/transport/loop_group.h"
#include "hyssopledge/transport/tracing.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace hyssopledge::transport {

namespace asio = boost::asio;

namespace {

// Interval at which a drain checks whether the last response is written.
constexpr std::chrono::milliseconds DrainCheckInterval{5};

} // namespace

std::unique_ptr<opentracing::Span>
startServerSpan(const data_plane_core &Core, const char *Name,
                const http_request &Request) {
  if (!Core.Options.Tracer)
    return nullptr;
  const auto Parent = extractTrace(*Core.Options.Tracer, Request);
  auto Span = Core.Options.Tracer->StartSpan(
      Name, {opentracing::ChildOf(Parent.get())});
  Span->SetTag("span.kind", "server");
  return Span;
}

std::uint64_t millisecondsLeft(state::time_point Deadline,
                               state::time_point Now) {
  if (Deadline <= Now)
    return 0;
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Deadline - Now).count());
}

struct data_plane::impl {
  impl(data_plane_options Options, data_plane_dependencies Dependencies,
       data_plane_hooks Hooks)
      : Loops(Options.Threads), Core{std::move(Options),
                                     Dependencies,
                                     std::move(Hooks),
                                     {},
                                     nullptr,
                                     nullptr},
        DrainTimer(Loops.at(0)) {
    const std::uint64_t Seed = Core.Options.Seed;
    for (std::size_t I = 0; I < Loops.size(); ++I)
      Core.Loops.push_back(std::make_unique<loop_state>(
          Loops.at(I), Core.Options.Pool, Seed + I));
    Core.GateLoop = &Loops.at(0);
    gate_options Gate;
    Gate.Instance = Core.Options.Instance;
    Core.Keys = std::make_unique<entry_key_table>(Core.Options.MaxKeys);
    Gate.MaxKeys = Core.Options.MaxKeys;
    Gate.MaxKeyBytes = Core.Options.MaxKeyBytes;
    Gate.Limits = Core.Hooks.Limits;
    Gate.OnCrash = Core.Hooks.OnCrash;
    Gate.OnAnnouncement = Core.Hooks.OnAnnouncement;
    Gate.Metrics = Core.Options.Metrics;
    Core.Gate =
        std::make_unique<upstream_gate>(*Core.GateLoop, std::move(Gate));
  }

  ~impl() {
    Loops.stop();
    // Closes the connections and cancels their pending requests. This must
    // come before runReadyHandlers(), because it posts to the loops.
    Listener.reset();
    DrainTimer.cancel();
    Core.Gate->stop();
    Loops.runReadyHandlers();
    Core.Loops.clear();
    Loops.runReadyHandlers();
  }

  void handle(std::shared_ptr<server_exchange> Caller) {
    const http_request &Request = Caller->request();
    if (Request.find(protocol::call_headers::TargetService) != Request.end())
      startTargetCall(Core, std::move(Caller));
    else
      startEntryCall(Core, std::move(Caller));
  }

  void checkDrained() {
    if (Core.Gate->drained() && Listener->active() == 0) {
      Listener->stopAccepting();
      if (const auto Callback = std::exchange(OnDrained, nullptr))
        Callback();
      return;
    }
    DrainTimer.expires_after(DrainCheckInterval);
    DrainTimer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        checkDrained();
    });
  }

  loop_group Loops; // destroyed last: its handlers use the members below
  data_plane_core Core;
  asio::steady_timer DrainTimer;
  std::function<void()> OnDrained;
  std::unique_ptr<http_listener> Listener;
};

data_plane::data_plane(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}

data_plane::~data_plane() = default;

state::result<std::unique_ptr<data_plane>>
data_plane::open(data_plane_options Options,
                 data_plane_dependencies Dependencies, data_plane_hooks Hooks) {
  if (!Options.Pool.BodyBudget)
    Options.Pool.BodyBudget = std::make_shared<byte_budget>(DefaultBodyBudget);
  Options.Listener.BodyBudget = Options.Pool.BodyBudget;
  auto Impl = std::make_unique<impl>(std::move(Options), Dependencies,
                                     std::move(Hooks));
  auto Listener = http_listener::open(
      Impl->Loops.contexts(), Impl->Core.Options.Address,
      Impl->Core.Options.Listener,
      [Impl = Impl.get()](std::shared_ptr<server_exchange> Caller) {
        Impl->handle(std::move(Caller));
      });
  if (Listener.has_error())
    return Listener.error();
  Impl->Listener = std::move(Listener.value());
  Impl->Core.Gate->start();
  Impl->Loops.start();
  return std::unique_ptr<data_plane>(new data_plane(std::move(Impl)));
}

std::string data_plane::address() const { return Impl->Listener->address(); }

void data_plane::announce(state::upstream_announcement Announcement) {
  asio::post(*Impl->Core.GateLoop,
             [this, Announcement = std::move(Announcement)] {
               Impl->Core.Gate->announce(Announcement);
             });
}

void data_plane::drain(std::function<void()> OnDrained) {
  Impl->Core.Draining = true;
  asio::post(*Impl->Core.GateLoop,
             [this, OnDrained = std::move(OnDrained)]() mutable {
               Impl->OnDrained = std::move(OnDrained);
               Impl->Core.Gate->startDrain();
               Impl->checkDrained();
             });
}

} // namespace hyssopledge::transport
