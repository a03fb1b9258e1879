#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/http/server.h"
#include "briarwood/observability/metrics.h"
#include "briarwood/proposals/background_proposer.h"
#include "briarwood/requests/caller_reply.h"
#include "briarwood/requests/idempotent_call.h"
#include "briarwood/requests/line_splitter.h"
#include "briarwood/requests/request_session.h"
#include "entry/impl/agent_pool.h"
#include "entry/impl/dispatcher.h"
#include "fleet.pb.h"
#include "usage.pb.h"

namespace briarwood::entry::impl {

/// Parameters of one authorized request.
struct RequestPlan {
  common::RequestId id;
  /// Distinguishes the requests of one entry incarnation.
  std::uint64_t sequence = 0;
  common::CustomerId customer;
  std::string key_sha256_hex;
  common::Time arrived;
  common::Time deadline;
  /// Request to the agent. The fields that differ between attempts, such as the attempt number, the
  /// resume position and the deadline, are set for each attempt.
  schema::RunRequest run;
  routing::QueuedRequest queued;
  /// Set for completions.
  std::optional<requests::CompletionReply> completion;
  bool streamed = false;
  /// Set for non-idempotent calls.
  std::optional<requests::CallIdentity> identity;
  /// An equal request was in flight when an engine crashed.
  bool suspect = false;
  double estimated_tokens = 0;
};

/// Interface to the entry that its requests use. The functions must not block.
struct RequestServices {
  common::Incarnation incarnation;
  std::shared_ptr<Dispatcher> dispatcher;
  std::shared_ptr<AgentPool> agents;
  std::shared_ptr<proposals::BackgroundProposer> proposer;
  std::shared_ptr<observability::Metrics> metrics;
  /// Requests a dispatch pass over the queues.
  std::function<void()> request_dispatch;
  /// Notifies requests that were dropped from the queue.
  std::function<void(std::vector<routing::DroppedRequest>)> notify_dropped;
  /// \returns the address of the backend server's agent; empty if the backend server is unknown.
  std::function<std::string(const common::BackendServerId&)> agent_address;
  std::function<void(const common::CustomerId&, std::uint64_t tokens)> on_tokens;
  /// Allocates the number of the next billing record, from 1; a record must follow for each number.
  std::function<std::uint64_t()> next_billing_sequence;
  std::function<void(const schema::BillingRecord&)> bill;
  /// Removes a request that has ended.
  std::function<void(const common::RequestId&)> on_ended;
};

/// Connects the state machines of one request to the queue, the agent, the control leader and the
/// caller. Thread-safe.
class LiveRequest : public std::enable_shared_from_this<LiveRequest> {
 public:
  LiveRequest(RequestPlan plan, std::shared_ptr<http::Exchange> exchange,
              std::shared_ptr<const RequestServices> services);

  void Start();

  /// Dispatches an attempt; the dispatcher has removed the request from the queue for
  /// `placed.server`.
  void OnPlaced(const PlacedRequest& placed);
  void OnDropped(routing::DropReason reason);
  void Tick(common::Time now);

  /// Ends the request with an error. A non-idempotent call that has been dispatched to a backend
  /// server continues.
  void Abort(requests::CallerErrorCode code, const std::string& message);

  [[nodiscard]] const RequestPlan& plan() const noexcept { return plan_; }

 private:
  /// State of the connection to the agent for one attempt.
  struct AttemptConnection {
    std::uint32_t number = 0;
    requests::LineSplitter lines;
    /// The agent has sent a response head.
    std::atomic<bool> responded = false;
    /// The response head had another status than 200.
    std::atomic<bool> rejected = false;
  };
  using ConnectionPtr = std::shared_ptr<AttemptConnection>;

  void Begin();
  void ApplyCall(requests::CallActions actions);
  void ApplyCallAction(const requests::ProposeCommand& action);
  void ApplyCallAction(const requests::DispatchCall& action);
  void ApplyCallAction(const requests::ReplyAnswer& action);
  void ApplyCallAction(const requests::ReplyError& action);
  void HandleProposal(const schema::ProposeResponse& response);

  void ProposeTrial();
  void HandleTrial(const schema::ProposeResponse& response);
  void EndTrial(bool cleared);

  void Apply(requests::SessionActions actions);
  void ApplyAction(const requests::QueueRequest& action);
  void ApplyAction(const requests::RequestRetry& action);
  void ApplyAction(const requests::DeliverText& action);
  void ApplyAction(const requests::FinishRequest& action);
  void ApplyAction(const requests::FailRequest& action);
  void ApplyAction(const requests::CancelAttempt& action);

  void EnqueueNow();
  [[nodiscard]] schema::RunRequest MakeAttempt(std::uint32_t attempt, bool floor_protected) const;
  void DispatchAttempt(const std::string& address, const schema::RunRequest& request);
  void HandleHead(const ConnectionPtr& connection, std::uint16_t status);
  void HandleData(const ConnectionPtr& connection, std::string_view data);
  void HandleEnd(const ConnectionPtr& connection, const http::CallOutcome& outcome);
  void HandleEvent(const schema::RunEvent& event);
  void HandleCallerDisconnected();
  /// Aborts an attempt whose agent does not respond or is dead.
  void CheckAgent(common::Time now);
  void RecordToken();
  [[nodiscard]] AttemptOutcome OutcomeOfFailure() const;
  /// Reports the end of the current attempt to the dispatcher.
  void CloseAttempt(AttemptOutcome outcome);
  /// Bills the current attempt at most once; `end` is set if it completed the answer.
  void Bill(const schema::RunEnd* end);

  void RespondWhole(const schema::StoredAnswer& answer);
  void RespondError(const requests::CallerError& error);
  void End();

  RequestPlan plan_;
  std::shared_ptr<http::Exchange> exchange_;
  std::shared_ptr<const RequestServices> services_;
  observability::RequestSeries series_;

  // Recursive, because a stopped proposer calls back on the thread that proposes.
  std::recursive_mutex mutex_;
  requests::RequestSession session_;
  std::optional<requests::IdempotentCall> call_;
  std::optional<requests::CallerError> abort_before_dispatch_;
  std::shared_ptr<http::Call> agent_call_;
  ConnectionPtr connection_;
  common::BackendServerId server_;
  std::string agent_address_;
  common::Time placed_at_;
  common::Time last_token_at_;
  // Number of the billing record of the current attempt; 0 if it is billed or there is no attempt.
  std::uint64_t billing_sequence_ = 0;
  std::uint64_t billed_tokens_ = 0;
  std::optional<common::Time> trial_retry_at_;
  std::uint64_t trial_sequence_ = 0;
  bool trial_granted_ = false;
  bool stream_started_ = false;
  bool caller_disconnected_ = false;
  bool ended_ = false;
};

}  // namespace briarwood::entry::impl
