/// \file
/// Writes an operators' document to the platform and moves the head of its
/// environment to it.
#pragma once

#include "hyssopledge/coordination/platform_store.h"
#include "hyssopledge/protocol/document_codec.h"
#include "hyssopledge/protocol/generated/control.pb.h"
#include "hyssopledge/state/random.h"
#include "hyssopledge/state/timer_service.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hyssopledge::coordination {

constexpr char TrialEnvironment[] = "trial";
constexpr char ProductionEnvironment[] = "production";

struct head_writer_settings {
  unsigned MaxAttempts = 6; // of one platform call or one compare-and-swap
  /// Before the second attempt. Doubles with each attempt; each delay is drawn
  /// at random from the upper half.
  state::milliseconds InitialRetryDelay{100};
  state::milliseconds MaxRetryDelay{2000};
};

/// Result of an acceptance.
struct accepted_head {
  control::head Head;
  bool Changed = true; // false: the head already had this document
  std::uint32_t PartsWritten = 0;
};

/// Accepts one document at a time. The parts and the manifest are written
/// before the head moves, so an interruption at any point leaves the head
/// either unchanged or completely moved. Parts that no head refers to are
/// harmless and remain; docs/operators.md describes their clean-up.
///
/// Errors:
/// - Conflict: another operator moved the head first (the message names the
///   winner), or the expected version does not match.
/// - Unavailable: the platform was not available and the head did not move.
/// - OutcomeUnknown: the head may have moved; the platform does not respond.
/// - NotFound: there is nothing to promote.
/// - InvalidMessage: a record on the platform can't be decoded.
class head_writer {
public:
  using handler = std::function<void(state::result<accepted_head>)>;

  head_writer(platform_store &Platform, state::timer_service &Timers,
              state::random_engine &Random, head_writer_settings Settings = {})
      : Platform(Platform), Timers(Timers), Random(Random), Settings(Settings) {
  }

  /// Moves the head of the document's environment to the document. OperationId
  /// is unique for each acceptance, but the same if it is repeated after a
  /// restart.
  void accept(const state::document &Document, std::string Author,
              std::string OperationId, std::int64_t UnixMs, handler Handler);

  /// Moves the production head to the document of the trial head. The version
  /// of the trial head must be ExpectedVersion if given.
  void promote(std::optional<std::uint64_t> ExpectedVersion, std::string Author,
               std::string OperationId, std::int64_t UnixMs, handler Handler);

private:
  platform_store &Platform;
  state::timer_service &Timers;
  state::random_engine &Random;
  head_writer_settings Settings;
};

//-----------------------------------------------------------------------------
// Reading a document
//-----------------------------------------------------------------------------

struct stored_document {
  control::head Head;
  std::int64_t ModRevision = 0; // of the head
  state::document Document;
};

/// Reads the head of the environment and assembles its document. Returns
/// NotFound if there is no head.
void readDocument(platform_store &Platform, const std::string &Environment,
                  std::function<void(state::result<stored_document>)> Handler);

} // namespace hyssopledge::coordination
