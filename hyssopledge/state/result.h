/// \file
/// Error handling without exceptions: error codes, failures with a detail text,
/// and result<T>.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>
#include <system_error>
#include <utility>

namespace hyssopledge::state {

enum class errc {
  InvalidDocument = 1, // the document violates the schema or has a dangling
                       // reference
  InvalidSettings,     // a settings file has an invalid or unknown key
  InvalidMessage,      // a message of another process can't be decoded
  TooLarge,            // a value exceeds its size limit
  NotFound,            // the key, route, service or part does not exist
  Conflict,            // a compare-and-swap lost to another writer
  StaleVersion,        // older than the applied or known version
  Unavailable,         // the peer is unreachable or returned a temporary error
  Timeout,             // no response in time; the effect is unknown
  LeaseExpired,        // the lease expired before use
  Overloaded,          // no slot or queue space before the deadline
  Draining,            // the target accepts no new requests
  PoisonRequest,       // refused because the request has crashed targets
  NotReady,            // no configuration is in force yet
  NoTarget,            // no usable target for the service and version
  RetryBudgetExhausted,
  OutcomeUnknown, // the request may have run
  Cancelled,
};

const std::error_category &errorCategory() noexcept;
std::error_code make_error_code(errc Code) noexcept;

/// An error code with a human-readable detail. The detail names the invalid
/// value and what is expected.
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

/// Either a value or a failure. Accessing the one that is not present
/// terminates the process.
template <class T>
using result =
    boost::outcome_v2::basic_result<T, failure,
                                    boost::outcome_v2::policy::terminate>;

} // namespace hyssopledge::state

template <>
struct std::is_error_code_enum<hyssopledge::state::errc> : std::true_type {};
