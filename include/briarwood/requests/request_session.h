#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/requests/caller_error.h"
#include "briarwood/requests/stream_assembler.h"

namespace briarwood::requests {

/// Queues the request, initially or for a retry.
struct QueueRequest {
  /// True after a failed attempt; the retry may go to another backend server.
  bool is_retry = false;
};
/// Requests a retry from the owner, which responds with RetryGranted or RetryRejected.
struct RequestRetry {
  /// The backend server rejected the attempt immediately or preempted the stream, so the retry does
  /// not count against the budget.
  bool exempt_from_budget = false;
};
/// Delivers text to the caller.
struct DeliverText {
  std::uint64_t index = 0;
  std::string text;
};
/// The answer is complete. This is the last action.
struct FinishRequest {
  schema::RunEnd end;
  std::optional<schema::StoredAnswer> answer;
};
/// The request has failed. This is the last action.
struct FailRequest {
  CallerError error;
};
/// Cancels the current attempt at its backend server.
struct CancelAttempt {
  std::uint32_t attempt = 0;
};

using SessionAction = std::variant<QueueRequest, RequestRetry, DeliverText, FinishRequest,
                                   FailRequest, CancelAttempt>;
using SessionActions = std::vector<SessionAction>;

struct SessionOptions {
  common::RequestId request;
  common::Incarnation entry;
  common::Time deadline;
  /// Whether the request is retryable. One that is not is attempted again only if it has not run.
  bool repeatable = true;
  /// Limit of all attempts, including retries that do not count against the budget.
  std::uint32_t max_attempts = 8;
};

/// How a dispatch ended without a response from the agent.
enum class DispatchFailure : std::uint8_t {
  /// No byte can have reached the agent.
  kNotSent,
  /// The request may have reached the agent.
  kUnknown,
};

/// State machine of one request, from admission to its end.
class RequestSession {
 public:
  enum class State : std::uint8_t {
    kAdmitted,
    kQueued,
    kPlaced,
    kStreaming,
    kRetryRequested,
    kWaitingForRetry,
    kEnded
  };

  explicit RequestSession(SessionOptions options)
      : options_(std::move(options)), assembler_(options_.request, options_.entry) {}

  /// Moves the admitted request to the queue.
  [[nodiscard]] SessionActions Enqueue();

  /// Starts an attempt of the queued request.
  /// \returns the number of the attempt, starting at 1.
  [[nodiscard]] std::uint32_t Place();

  /// Handles an event of any attempt.
  [[nodiscard]] SessionActions OnEvent(const schema::RunEvent& event, common::Time now);

  /// Reports that the connection of `attempt` has ended, normally or by an error, after the agent
  /// responded.
  [[nodiscard]] SessionActions OnClosed(std::uint32_t attempt, common::Time now);

  /// Reports that `attempt` received no response from the agent.
  [[nodiscard]] SessionActions OnDispatchFailed(std::uint32_t attempt, DispatchFailure failure,
                                                const std::string& message, common::Time now);

  /// \param retry_at  time from which Tick queues the request again
  void RetryGranted(common::Time retry_at) noexcept;
  [[nodiscard]] SessionActions RetryRejected();

  /// Ends a request past its deadline and queues one whose retry is due.
  [[nodiscard]] SessionActions Tick(common::Time now);

  /// Ends the request for an external reason: dropped by the queue, key withdrawn, caller
  /// disconnected.
  [[nodiscard]] SessionActions Abort(CallerErrorCode code, const std::string& message);

  [[nodiscard]] State state() const noexcept { return state_; }
  [[nodiscard]] std::uint32_t attempt() const noexcept { return attempt_; }
  /// Run state over all attempts.
  [[nodiscard]] schema::RunState run() const noexcept { return run_; }
  /// Error of the last attempt that failed.
  [[nodiscard]] const schema::RunError& last_error() const noexcept { return last_error_; }
  [[nodiscard]] const StreamAssembler& assembler() const noexcept { return assembler_; }
  [[nodiscard]] const SessionOptions& options() const noexcept { return options_; }

 private:
  [[nodiscard]] SessionActions OnAttemptFailed(const schema::RunError& error, common::Time now);
  [[nodiscard]] SessionActions Fail(CallerErrorCode code, const std::string& message);
  [[nodiscard]] bool MayRetry(const schema::RunError& error, common::Time now) const;
  [[nodiscard]] bool AttemptRunning() const noexcept;
  void RecordRunState(schema::RunState run) noexcept;

  SessionOptions options_;
  StreamAssembler assembler_;
  State state_ = State::kAdmitted;
  std::uint32_t attempt_ = 0;
  common::Time retry_at_;
  /// Run state of the attempts that have ended. An attempt in progress counts as unknown.
  schema::RunState run_ = schema::RUN_STATE_NOT_RUN;
  schema::RunError last_error_;
};

}  // namespace briarwood::requests
