/// \file
/// Outcomes as values: error codes, failures with a detail text, and result<T>.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>
#include <system_error>
#include <utility>

namespace hyssopledge::state {

enum class errc {
  InvalidDocument = 1, // the document breaks the schema or refers to something
                       // it does not contain
  InvalidSettings,     // a settings file has a wrong or unknown key
  InvalidMessage,      // a message from another process can't be decoded
  TooLarge,            // a value is over its size limit
  NotFound,            // the key, route, service or part does not exist
  Conflict,            // a compare-and-swap lost against another writer
  StaleVersion,        // older than what is applied or known
  Unavailable,   // the other side can't be reached, or answered with an error
                 // that may pass
  Timeout,       // no answer within the time; the effect is unknown
  LeaseExpired,  // the lease ended before use
  Overloaded,    // no slot or queue place within the deadline
  Draining,      // the target takes no new work
  PoisonRequest, // the request has crashed targets and is refused
  NotReady,      // no configuration is in force yet
  NoTarget,      // no usable target for the service and version
  RetryBudgetExhausted,
  OutcomeUnknown, // the request may have run
  Cancelled,
};

const std::error_category &errorCategory() noexcept;
std::error_code make_error_code(errc Code) noexcept;

/// An error code with a text for people. The text names the wrong value and
/// what would be right.
struct failure {
  std::error_code Code;
  std::string Detail;

  failure() = default;
  failure(errc Code, std::string Detail)
      : Code(make_error_code(Code)), Detail(std::move(Detail)) {}
  failure(std::error_code Code, std::string Detail)
      : Code(Code), Detail(std::move(Detail)) {}

  bool is(errc Other) const noexcept { return Code == make_error_code(Other); }
  /// "message: detail", for logs and terminals.
  std::string text() const;
};

inline std::error_code make_error_code(const failure &Failure) noexcept {
  return Failure.Code;
}

/// Either a value or a failure. Reading the wrong side is a broken invariant
/// and stops the process.
template <class T>
using result =
    boost::outcome_v2::basic_result<T, failure,
                                    boost::outcome_v2::policy::terminate>;

} // namespace hyssopledge::state

template <>
struct std::is_error_code_enum<hyssopledge::state::errc> : std::true_type {};
