/// \file
/// Puts an operators' document on the platform and moves the head of its
/// environment to it.
#pragma once

#include "hyssopledge/coordination/platform.h"
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
  state::milliseconds InitialRetryDelay{
      100}; // before the second attempt; doubles,
            // drawn from the upper half
  state::milliseconds MaxRetryDelay{2000};
};

struct accepted_head {
  control::head Head;
  bool Changed = true; // false: the head held this document already
  std::uint32_t PartsWritten = 0;
};

/// Accepts one document at a time. Parts and the manifest are written before
/// the head moves, so whatever stops the writer leaves the head either as it
/// was or wholly moved. Parts without a head are harmless and stay: see
/// docs/operators.md on clean-up.
///
/// Failures: Conflict when another operator moved the head first (names the
/// winner) or the expected version does not hold; Unavailable when the platform
/// took nothing; OutcomeUnknown when the head may or may not have moved and the
/// platform does not answer; NotFound when there is nothing to promote;
/// InvalidMessage for unreadable records.
class head_writer {
public:
  using handler = std::function<void(state::result<accepted_head>)>;

  head_writer(platform_store &Platform, state::timer_service &Timers,
              state::random_engine &Random, head_writer_settings Settings = {})
      : Platform(Platform), Timers(Timers), Random(Random), Settings(Settings) {
  }

  /// Moves the head of the document's environment. OperationId is unique for
  /// each acceptance and the same for its repetition after a restart.
  void accept(const state::document &Document, std::string Author,
              std::string OperationId, std::int64_t UnixMs, handler Handler);

  /// Moves the production head to the document of the trial head, whose version
  /// must be ExpectedVersion when one is given.
  void promote(std::optional<std::uint64_t> ExpectedVersion, std::string Author,
               std::string OperationId, std::int64_t UnixMs, handler Handler);

private:
  platform_store &Platform;
  state::timer_service &Timers;
  state::random_engine &Random;
  head_writer_settings Settings;
};

//-----------------------------------------------------------------------------
// Reading back
//-----------------------------------------------------------------------------

struct stored_document {
  control::head Head;
  std::int64_t ModRevision = 0; // of the head
  state::document Document;
};

/// Reads the head of the environment and joins its document. NotFound when
/// there is no head.
void readDocument(platform_store &Platform, const std::string &Environment,
                  std::function<void(state::result<stored_document>)> Handler);

} // namespace hyssopledge::coordination
