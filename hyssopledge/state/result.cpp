#include "hyssopledge/state/result.h"

namespace hyssopledge::state {

namespace {

class category final : public std::error_category {
public:
  const char *name() const noexcept override { return "hyssopledge"; }

  std::string message(int Value) const override {
    switch (static_cast<errc>(Value)) {
    case errc::InvalidDocument:
      return "invalid document";
    case errc::InvalidSettings:
      return "invalid settings";
    case errc::InvalidMessage:
      return "invalid message";
    case errc::TooLarge:
      return "too large";
    case errc::NotFound:
      return "not found";
    case errc::Conflict:
      return "conflict";
    case errc::StaleVersion:
      return "stale version";
    case errc::Unavailable:
      return "unavailable";
    case errc::Timeout:
      return "timeout";
    case errc::LeaseExpired:
      return "lease expired";
    case errc::Overloaded:
      return "overloaded";
    case errc::Draining:
      return "draining";
    case errc::PoisonRequest:
      return "poison request";
    case errc::NotReady:
      return "not ready";
    case errc::NoTarget:
      return "no target";
    case errc::RetryBudgetExhausted:
      return "retry budget exhausted";
    case errc::OutcomeUnknown:
      return "outcome unknown";
    case errc::Cancelled:
      return "cancelled";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category &errorCategory() noexcept {
  static const category Category;
  return Category;
}

std::error_code make_error_code(errc Code) noexcept {
  return {static_cast<int>(Code), errorCategory()};
}

std::string failure::text() const {
  std::string Message = Code.message();
  return Detail.empty() ? Message : Message + ": " + Detail;
}

} // namespace hyssopledge::state
