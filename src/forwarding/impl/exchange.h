#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "briarwood/observability/log_line.h"
#include "forwarding/impl/attempt.h"
#include "forwarding/impl/forwarder.h"
#include "forwarding/impl/replacement_pacer.h"
#include "forwarding/impl/second_attempt.h"

namespace briarwood::forwarding::impl {

/// One request of a caller, from its arrival to the end of its response: queues it, sends it to a
/// backend server, retries it if allowed and delivers the response.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Forwarder& owner, std::uint64_t number, std::shared_ptr<http::IncomingRequest> request);

  /// Checks the request and queues it, holds it or responds to it.
  void Start();

  /// Called when the scheduler has placed the request on a backend server.
  void OnPlaced(const routing::Dispatch& dispatch);
  /// Called when the scheduler has dropped the request.
  void OnDropped(routing::DropReason reason);
  /// Called when no server had room for the queued request and some lacked only memory.
  void OnLackOfMemory();
  /// The set of draining failure domains has changed.
  void OnDrained();
  /// Called when the first configuration with forwarding is active.
  void OnConfiguration();
  /// Called when the configuration has changed or was confirmed.
  void OnConfirmation();
  /// Called when the control members have answered where the stream began that the request resumes.
  void OnStreamLookup(const routing::StreamLookupAnswer& answer);
  /// Ends a hold, a stalled attempt or the request itself when its time has run out.
  void CheckTimeouts(common::Time now);
  /// Ends the request because the process stops. The caller gets a response unless its response has
  /// started.
  void OnStop();

 private:
  enum class State : std::uint8_t {
    /// Until the first configuration with forwarding is active.
    kHeld,
    /// Until the configuration, which refuses the request, is confirmed or allows it.
    kUnconfirmed,
    /// Until the control members answer where the resumed stream began.
    kLookUp,
    /// Until the list of backend servers has been read after the arrival of the request.
    kListWait,
    kQueued,
    kRunning,
    /// Until the next attempt may be queued.
    kWaiting,
    kEnded,
  };

  /// Holds the request until the first configuration with forwarding is active. Rejects it if the
  /// caller's time limit leaves no time for that or if too many requests are held.
  void Hold();
  /// \returns true if the request may be queued; otherwise it is held or has been rejected.
  bool Admit();
  /// Rejects a request that the configuration does not allow, if the control members have confirmed
  /// the configuration since the arrival of the request. Until then the request is held.
  void RejectOnceConfirmed(std::uint16_t status, std::string_view reason);
  /// \returns the time until which the request may be held.
  [[nodiscard]] common::Time HoldLimit() const;
  /// Queues the request, after finding out where the stream began that it resumes.
  void Proceed();
  void Queue();
  /// \param deadline  latest time for the end of the wait in the queue
  [[nodiscard]] routing::QueuedRequest MakeQueuedRequest(common::Time deadline) const;
  [[nodiscard]] routing::Capability Capability() const;
  [[nodiscard]] routing::ClassPolicy Policy() const;
  /// \returns the class of the queue. Requests that require a software version have one of their
  ///   own, so that those without a free server hold up no others.
  [[nodiscard]] routing::ClassPolicy QueuePolicy() const;

  // A stream goes on only at the software version that began it, see streams.cc.

  [[nodiscard]] bool ResumesStream() const;
  /// Queues the request for the version at which its stream began, or rejects it if no server of
  /// that version takes requests.
  void Resume(const routing::StreamOrigin& origin);
  /// Goes on with a stream without a record, if the list and the records name one version only.
  void ResumeUnknownStream();
  /// Fixes the version at the first event that is delivered.
  void PinVersion();
  /// True if a server can go on with the stream, or probably soon can.
  [[nodiscard]] bool HasServerToGoOn() const;
  /// \returns the maximum number of output tokens, or else the caller's estimate; 0 if unknown.
  [[nodiscard]] std::uint64_t ExpectedOutput() const;
  /// True unless the process stops and the response would probably be cut.
  [[nodiscard]] bool EndsBeforeStop(common::Time now) const;
  /// True if no backend server can have run the request.
  [[nodiscard]] bool HasNotRun() const;
  void ObserveResponseTime();
  /// \returns the length of the prompt's parts that other requests share.
  [[nodiscard]] std::uint64_t SharedTokens() const;
  /// \returns the hash of the longest shared prefix, or 0 if the prompt has no long one.
  [[nodiscard]] std::uint64_t PrefixHash() const;
  [[nodiscard]] double Work() const;
  /// \returns the memory that the request occupies at an engine.
  [[nodiscard]] routing::MemoryCost Memory() const;
  /// \returns the target for the gap between the events of a stream; 0 if there is none.
  [[nodiscard]] std::chrono::milliseconds GapTarget() const;
  /// \returns the target for the first event if an engine has to read a prompt; 0 otherwise.
  [[nodiscard]] common::Duration PromptTarget() const;
  /// \returns the limit of the prompts that wait on the side of the engines that takes the request.
  [[nodiscard]] routing::PromptLimiter& Prompts();
  /// \returns the limit that the prompt of an attempt counts against.
  [[nodiscard]] routing::PromptLimiter& PromptsOf(const Attempt& attempt);
  /// Sends the request to a backend server on which the placement has counted it.
  /// \returns false, without an attempt, if there is no connection to the server.
  [[nodiscard]] bool StartAttempt(const common::BackendServerId& backend_server, common::Tier tier,
                                  double work, common::Time now);
  void SendAttempt();
  /// Rejects the request, or fails it if a server may have run it, when one of its properties is
  /// held back.
  /// \returns true if the request may be sent.
  [[nodiscard]] bool CheckCrashProperties();
  /// Records that a server ended the attempt, if that may be due to the request.
  /// \returns false if a retry may crash the next server.
  bool RecordCrash(const Attempt& attempt, http::CallEnd end);
  /// Records that the attempt ended while its server was silent, as a server does that has lost
  /// power.
  void RecordSilence(const Attempt& attempt);
  /// Records that the server of the current attempt has begun a sound response.
  void RecordSoundStart();
  /// \returns false if the response belongs to another request.
  [[nodiscard]] bool BelongsToRequest(const ResponseMetadata& facts, const Attempt& attempt) const;
  /// Logs a response to another request, which is skipped.
  void LogForeignResponse(const ResponseMetadata& facts, const Attempt& attempt) const;
  /// Records what the server of an attempt states about itself.
  void RecordStatement(const ResponseMetadata& facts, const Attempt& attempt);
  [[nodiscard]] bool IsCurrent(std::uint64_t attempt) const;
  [[nodiscard]] bool IsSilentAttempt(std::uint64_t attempt) const;
  /// Callbacks of the connection of attempt `attempt`.
  bool OnAttemptHead(std::uint64_t attempt, const http::ResponseHead& head);
  void OnAttemptData(std::uint64_t attempt, std::string_view data);
  void OnAttemptEnd(std::uint64_t attempt, http::CallEnd end);
  bool OnHead(const http::ResponseHead& head);
  void OnData(std::string_view data);
  void OnEvent(const StreamEvent& event);
  /// Starts the response to the caller with the head of the current attempt.
  void StartStream();
  void OnEnd(http::CallEnd end);
  void OnCompleteResponse();
  void OnFailedAttempt(http::CallEnd end);
  void LogFailedAttempt(const Attempt& attempt, http::CallEnd end) const;
  /// \param complete  whether the whole response has arrived
  void OnRejectedAttempt(bool complete);
  void OnCallerDisconnected(http::DisconnectCause cause);
  /// Records the start of the response, or the gap before a further event of a stream.
  void RecordProgress();
  void ReleasePromptWork(Attempt& attempt);

  /// What the end of an attempt shows about its backend server. An attempt that the entry ends
  /// because the caller has disconnected is inconclusive.
  enum class AttemptResult : std::uint8_t { kSuccess, kFailure, kFull, kInconclusive };
  /// Ends the current attempt, reports it to the placement and returns its connection to the pool.
  void ReleaseAttempt(AttemptResult result);
  void Release(Attempt attempt, AttemptResult result);
  /// Queues the request for a retry if that is allowed.
  /// \param may_have_run  whether the backend server of the last attempt may have run the request
  [[nodiscard]] bool TryRetry(bool may_have_run);
  [[nodiscard]] bool MayRetry(bool may_have_run, common::Time now) const;
  /// \returns false if the retry budget does not allow the next retry.
  [[nodiscard]] bool ChargeRetry(common::Time now);
  void WaitForRetry(common::Time now);
  /// Queues the request that waits for a retry, if its time has come.
  void EndWait(common::Time now);
  void QueueRetry(common::Time now);
  /// \returns the time until which the request may wait for a retry.
  [[nodiscard]] common::Time RetryQueueDeadline(common::Time now) const;
  /// Buffers a piece of a response that is delivered whole, or fails the attempt if the response,
  /// or all responses that the entry buffers, are too long.
  void BufferBody(std::string_view data);
  // A silent backend server may be sound and go on, so its attempt is given up only once another
  // server has sent the next event, or shortly after it has begun to respond. Until then the
  // request has two attempts: `attempt_`, which is to replace `silent_attempt_`. Whichever makes
  // progress first goes on, and the other one ends.

  /// Sends the request to another backend server if one has room and a retry is allowed.
  void ReplaceSilentAttempt(common::Time now);
  /// \returns the server to which the request may be sent beside its current attempt.
  [[nodiscard]] std::optional<routing::PlacementChoice> PickReplacement(
      const routing::PlacementRequest& request, common::Time now);
  /// \returns what a server must fit to which the request is sent beside its current attempt.
  [[nodiscard]] routing::PlacementRequest MakeReplacementRequest() const;
  /// Starts an attempt at the server `id`, for which a retry has been charged, and keeps the
  /// current one as the silent attempt. \returns false, with the current attempt unchanged, if
  /// there is no connection to the server.
  [[nodiscard]] bool StartBeside(const common::BackendServerId& id, double work, common::Time now);
  /// \returns the number of servers that may have run the request, with the current attempt's.
  [[nodiscard]] std::size_t CountServersUsed() const;
  /// Records that the server of an attempt may have run the request, if it was sent.
  void NoteRun(const Attempt& attempt);
  /// Ends the current attempt and goes on with the silent one.
  void ReturnToSilentAttempt(AttemptResult result);
  /// Goes on with the current attempt, which has replaced the silent one.
  void GiveUpSilentAttempt();
  /// Ends the silent attempt.
  void ReleaseSilentAttempt(AttemptResult result);
  bool OnSilentAttemptHead(const http::ResponseHead& head);
  void OnSilentAttemptData(std::string_view data);
  void OnSilentAttemptEnd(http::CallEnd end);
  /// True if the event is new to the caller and shows that its stream goes on.
  [[nodiscard]] bool IsProgress(const StreamEvent& event) const;
  /// True if the response may be passed on to the caller, whose response may have started.
  [[nodiscard]] bool IsDeliverable(const http::ResponseHead& head,
                                   const ResponseMetadata& facts) const;

  // A second attempt uses the same pair of attempts, but starts while the first one is only slow.

  /// Sets the time of the second attempt when the first one starts.
  void ScheduleSecondAttempt(common::Time now);
  /// Sends the request to a second server, if the load of the service allows it.
  void StartSecondAttempt(common::Time now);
  /// Logs how the pair of a first and a second attempt has ended, if there is one.
  /// \returns true if there was one.
  bool EndSecondAttempt(SecondAttempt::Outcome outcome);
  /// Records the time to the first byte of a successful answer.
  void ObserveAnswerTime(common::Time now);

  /// \returns the delay after which a rejected caller may find a server.
  [[nodiscard]] std::chrono::milliseconds RetryDelay() const;
  void Deliver();
  /// Fails the request instead of delivering the response of a server that has run it, if the
  /// status would promise that it has not.
  /// \returns true if the request has failed.
  [[nodiscard]] bool WithholdFalsePromise();
  /// Responds with a status that the entry chose, without a response of a backend server.
  void Reject(std::uint16_t status, std::string_view reason,
              std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
  /// Responds with an error after an attempt that may have run, or aborts a response that has
  /// started.
  /// \param body  explanation for the caller
  void Fail(std::uint16_t status, std::string_view reason, const std::string& body = {});
  void End(std::string_view outcome, std::uint16_t status, std::string_view reason);
  /// Adds what the request was judged by, and the host and path of a request without a route.
  void AddConfiguration(observability::LogLine& line, common::Time now) const;
  void LogEnd(std::string_view outcome, std::uint16_t status, std::string_view reason) const;
  [[nodiscard]] bool retryable() const;
  [[nodiscard]] common::RequestId id() const;

  Forwarder& owner_;
  std::uint64_t number_;
  std::shared_ptr<http::IncomingRequest> request_;
  RequestMetadata facts_;
  std::shared_ptr<const routing::ForwardTable> table_;
  const schema::ForwardRoute* route_ = nullptr;
  std::string service_;
  common::CustomerId customer_;
  common::Tier tier_;
  common::ClassId class_id_;
  common::Time deadline_;
  common::Time hold_until_;
  State state_ = State::kQueued;
  std::optional<Attempt> attempt_;
  std::optional<Attempt> silent_attempt_;
  std::uint64_t attempt_number_ = 0;
  ReplacementPacer replacement_pacer_;
  SecondAttempt second_attempt_;
  /// Backend servers to which the request was sent.
  std::set<common::BackendServerId> sent_to_;
  /// Software version that the stream requires, once it has begun.
  std::optional<std::string> pinned_version_;
  /// Versions of the service that have live records, see StreamLookupAnswer.
  std::set<std::string> recorded_versions_;
  common::Time look_up_until_;
  /// Backend servers that may have run the request.
  std::set<common::BackendServerId> may_have_run_on_;
  common::BackendServerId last_backend_;
  std::string last_version_;
  std::uint32_t sent_attempts_ = 0;
  common::Time retry_at_;
  std::chrono::milliseconds retry_interval_;
  /// The next retry counts against the retry budget and has not been charged yet.
  bool uncharged_retry_ = false;
  std::uint64_t delivered_events_ = 0;
  bool in_scheduler_ = false;
  /// The last attempt arrived and was rejected, so a further one counts against the retry budget.
  bool last_attempt_rejected_ = false;
  bool response_started_ = false;
  /// Media type of a stream that has started.
  std::string stream_media_type_;
  bool disconnected_ = false;
  bool usage_counted_ = false;
  bool waited_for_memory_ = false;
  /// Memory that the request occupies at an engine; set when it is queued first.
  routing::MemoryCost memory_;
  /// The stream counts among those of its gap target, see GapClassCounter.
  bool counted_as_stream_ = false;
  /// Longest gap between two events of an attempt.
  common::Duration max_gap_{};
  /// Properties that may crash servers, see routing::CrashProperties.
  std::vector<std::string> crash_properties_;
  /// The request is the trial of a held property.
  bool is_trial_ = false;
  std::optional<std::uint64_t> last_event_;
  std::optional<common::Time> first_byte_at_;
  common::Time last_progress_at_;
  common::Duration queued_for_{};
  std::optional<common::Time> queued_at_;
};

}  // namespace briarwood::forwarding::impl
