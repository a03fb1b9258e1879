#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "briarwood/forwarding/event_splitter.h"
#include "forwarding/impl/forwarder.h"

namespace briarwood::forwarding::impl {

/// What is known of one send to a backend server.
struct Attempt {
  common::BackendServerId backend_server;
  common::Tier tier;
  common::Time started_at;
  common::Time heard_at;
  /// Time of the last event of the stream.
  common::Time event_at;
  double work = 1;
  /// Part of the service's prompt limit that the attempt holds until its first event.
  double prompt_work = 0;
  std::shared_ptr<http::OutgoingConnection> connection;
  http::ResponseHead head;
  ResponseFacts facts;
  bool has_head = false;
  /// The connection has served another request before.
  bool used_connection = false;
  std::string body;
  EventSplitter events;
  bool streaming = false;
  bool began = false;
};

/// One request of a caller from its arrival to the end of its answer: queued, sent to a backend
/// server, perhaps sent to another one, answered.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Forwarder& owner, std::uint64_t number, std::shared_ptr<http::IncomingRequest> request);

  /// Checks the request and queues it, or answers it.
  void Start();

  /// The scheduler has placed the request on a backend server.
  void OnPlaced(const routing::Dispatch& dispatch);
  /// The scheduler has dropped the request.
  void OnDropped(routing::DropReason reason);
  /// The first configuration is in force.
  void OnConfiguration();
  /// Ends what has run out of time.
  void CheckTime(common::Time now);

 private:
  enum class State : std::uint8_t { kHeld, kQueued, kRunning, kEnded };

  /// Waits for the first configuration, or refuses.
  void Hold();
  /// \returns true when the request may be queued; otherwise it waits or has been answered.
  bool Admit();
  void Queue();
  [[nodiscard]] routing::ClassPolicy Policy() const;
  [[nodiscard]] double Work() const;
  void Send();
  /// \returns false for a response that answers another request.
  [[nodiscard]] bool BelongsHere(const ResponseFacts& facts) const;
  bool OnHead(const http::ResponseHead& head);
  void OnData(std::string_view data);
  void OnEvent(const StreamEvent& event);
  void OnEnd(http::CallEnd end);
  void OnCompleteResponse();
  void OnBrokenAttempt(http::CallEnd end);
  void OnRejected();
  void OnGone();
  /// Counts the first event of an attempt, and the pauses after it.
  void MarkBegan();
  void EndPrompt();

  /// Ends the attempt in progress at the scheduler, the placement and the pool.
  enum class Verdict : std::uint8_t { kSuccess, kFailure, kFull, kNone };
  void ReleaseAttempt(Verdict verdict);
  /// Queues the request for another backend server if that is allowed.
  /// \param ran  the last backend server may have run it
  [[nodiscard]] bool TryAgain(bool ran);
  [[nodiscard]] bool MayTryAgain(bool ran, common::Time now) const;
  void QueueAgain(common::Time now);
  /// True when a request that may be repeated has heard nothing from its backend server for much
  /// longer than requests usually do.
  [[nodiscard]] bool IsStalled(common::Time now) const;
  void LeaveStalledBackend(common::Time now);

  void Deliver();
  /// Answers with a status of the router's own.
  void Answer(std::uint16_t status, std::string_view reason,
              std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
  void Fail(std::uint16_t status, std::string_view reason);
  void End(std::string_view outcome, std::uint16_t status, std::string_view reason);
  [[nodiscard]] bool repeatable() const;
  [[nodiscard]] common::RequestId id() const;

  Forwarder& owner_;
  std::uint64_t number_;
  std::shared_ptr<http::IncomingRequest> request_;
  RequestFacts facts_;
  std::shared_ptr<const routing::ForwardTable> table_;
  const schema::ForwardRoute* route_ = nullptr;
  std::string service_;
  common::CustomerId customer_;
  common::Tier tier_;
  common::Time deadline_;
  common::Time held_until_;
  State state_ = State::kQueued;
  std::optional<Attempt> attempt_;
  std::uint64_t attempt_number_ = 0;
  /// Backend servers that may have run the request.
  std::set<common::BackendServerId> reached_;
  common::BackendServerId last_backend_;
  std::uint32_t sends_ = 0;
  bool in_scheduler_ = false;
  /// The last send arrived and was refused, so another one is a repeat.
  bool repeat_pending_ = false;
  bool response_started_ = false;
  bool caller_gone_ = false;
  bool counted_ = false;
  std::optional<std::uint64_t> last_event_;
  std::optional<common::Time> first_byte_at_;
  common::Duration queued_for_{};
  std::optional<common::Time> queued_at_;
};

}  // namespace briarwood::forwarding::impl
