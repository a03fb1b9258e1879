#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/requests/caller_error.h"
#include "control.pb.h"
#include "fleet.pb.h"

namespace briarwood::requests {

/// Largest answer that is stored with a claim.
inline constexpr std::size_t kMaxStoredAnswerBytes = std::size_t{64} * 1024;

/// Proposes the command to the control leader. If no result arrives, the same command may be
/// proposed again.
struct ProposeCommand {
  schema::Command command;
};
/// The claim is committed; the request is to be dispatched to a backend server, once.
struct DispatchCall {};
/// Sends the answer to the caller.
struct ReplyAnswer {
  schema::StoredAnswer answer;
};
/// Sends the error to the caller.
struct ReplyError {
  CallerError error;
};

using CallAction = std::variant<ProposeCommand, DispatchCall, ReplyAnswer, ReplyError>;
using CallActions = std::vector<CallAction>;

/// A backend server answered the call.
struct CallAnswered {
  schema::StoredAnswer answer;
};
/// It is certain that no backend server has run the call.
struct CallNotRun {
  CallerError error;
};
/// A backend server may have run the call.
struct CallOutcomeUnknown {
  std::string message;
};

/// Outcome of a dispatched call.
using CallOutcome = std::variant<CallAnswered, CallNotRun, CallOutcomeUnknown>;

/// Identity of a non-retryable call.
struct CallIdentity {
  common::CustomerId customer;
  std::string idempotency_key;
  /// Raw SHA-256 of method, path and body.
  std::string request_sha256;
  common::Incarnation entry;
  /// Distinguishes the calls of one entry incarnation.
  std::uint64_t sequence = 0;
};

/// State machine of one non-retryable call. Its claim is committed by a majority before the call is
/// dispatched and completed afterwards.
///
/// The owner proposes the commands and reports their results, dispatches at most once after
/// DispatchCall and reports the outcome.
class IdempotentCall {
 public:
  enum class State : std::uint8_t { kNew, kClaiming, kDispatched, kCompleting, kEnded };

  /// \param deadline  time at which the call stops waiting for the control leader
  IdempotentCall(CallIdentity identity, common::Time deadline)
      : identity_(std::move(identity)), deadline_(deadline) {}

  /// \param wall  wall clock time of `now`
  [[nodiscard]] CallActions Start(common::Time now, common::UnixMillis wall);

  /// Reports the result of the last proposed command.
  [[nodiscard]] CallActions OnResult(const schema::CommandResult& result);

  /// Reports that the last proposed command may or may not be committed; it is proposed again until
  /// the deadline.
  [[nodiscard]] CallActions OnProposalFailed(common::Time now);

  /// Reports the outcome of the dispatched call.
  [[nodiscard]] CallActions OnOutcome(const CallOutcome& outcome, common::UnixMillis wall);

  [[nodiscard]] State state() const noexcept { return state_; }

 private:
  [[nodiscard]] CallActions OnClaimResult(const schema::CommandResult& result);
  [[nodiscard]] CallActions Complete(schema::CompleteClaim::Outcome outcome,
                                     const schema::StoredAnswer* answer, common::UnixMillis wall);
  [[nodiscard]] CallActions End(CallAction reply);

  CallIdentity identity_;
  common::Time deadline_;
  State state_ = State::kNew;
  schema::Command last_command_;
  /// Reply that is sent when the completion is committed or the deadline for it has passed.
  std::optional<CallAction> reply_;
};

}  // namespace briarwood::requests
