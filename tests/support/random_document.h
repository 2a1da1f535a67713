/// \file
/// Documents that tests draw or start from.
#pragma once

#include "hyssopledge/state/document.h"
#include "hyssopledge/state/random.h"

#include <string>
#include <utility>

namespace hyssopledge::tests {

/// A valid document that uses each field; the same draws give the same one.
inline state::document randomDocument(state::random_engine &Engine,
                                      std::size_t Services,
                                      std::size_t RoutesPerService) {
  const auto Below = [&Engine](std::uint64_t Bound) {
    return state::uniformBelow(Engine, Bound);
  };
  state::document Document;
  Document.Environment = "production";
  Document.Lease.Growth = 1 + static_cast<double>(Below(900)) / 100;
  Document.Lease.InitialDuration = std::chrono::seconds(1 + Below(100));
  for (std::size_t S = 0; S < Services; ++S) {
    state::service_spec Service;
    Service.Name = "service-" + std::to_string(S);
    Service.Versions = {"v1", "v2", "v" + std::to_string(3 + Below(1000))};
    Service.StableVersion = "v1";
    if (Below(2) == 0) {
      Service.Rollout = state::rollout_spec{};
      Service.Rollout->ToVersion = "v2";
      Service.Rollout->InitialShare = state::unitInterval(Engine()) / 20 + 1e-9;
      Service.Rollout->MaxUnprovenShare = 0.05 + 1e-9;
      Service.Rollout->CompleteWithin = std::chrono::seconds(1 + Below(1000));
    }
    Service.Limits.Slots = static_cast<std::uint32_t>(1 + Below(50));
    Service.Limits.QueueLength = static_cast<std::uint32_t>(Below(50));
    for (std::size_t R = 0; R < RoutesPerService; ++R) {
      state::route_spec Route;
      Route.Name = Service.Name + "-route-" + std::to_string(R);
      Route.PathPrefix = "/" + Service.Name + "/" + std::to_string(R / 2);
      if (Below(2) == 0)
        Route.Methods = {"GET", "POST"};
      Route.Service = Service.Name;
      Route.Idempotent = Below(2) == 0;
      Route.Timeout = state::milliseconds(1 + Below(5000));
      Route.MaxAttempts = static_cast<std::uint32_t>(1 + Below(5));
      Document.Routes.push_back(std::move(Route));
    }
    Document.Services.push_back(std::move(Service));
  }
  return Document;
}

} // namespace hyssopledge::tests
