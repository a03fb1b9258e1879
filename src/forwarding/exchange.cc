#include "forwarding/impl/exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/http/message.h"
#include "briarwood/observability/log_line.h"

namespace briarwood::forwarding::impl {

using observability::LogLine;
using std::chrono::milliseconds;

namespace {

/// Longest wait for a new connection. A connection inside a region takes a few milliseconds; the
/// kernel repeats a lost opening packet only after a second, so another try is sooner.
constexpr milliseconds kConnectLimit{400};
/// A backend server answers by itself at the deadline that it was given; its answer is awaited for
/// this long.
constexpr milliseconds kDeadlineSlack{150};
/// Part of a request's time that it may wait in the queue when its target is shorter.
constexpr double kQueueShare = 0.35;
/// Sends of one request, those included that were refused without being run.
constexpr std::uint32_t kMostSends = 4;
/// Time that must be left for another backend server.
constexpr milliseconds kLeastTimeLeft{20};
/// Reading from the backend server pauses while the caller has this much to take.
constexpr std::size_t kMostBuffered = std::size_t{256} * 1024;
constexpr std::size_t kMostBodyBytes = std::size_t{16} * 1024 * 1024;
/// Callers that are refused come back after this; longer when the queue is long.
constexpr milliseconds kRetryPause{300};
constexpr milliseconds kRetryPauseWithoutConfiguration{500};
/// An entry that has just started knows its configuration within a second or two. A caller that
/// waits is served; most callers that are refused come back once, and too soon.
constexpr milliseconds kLongestHold{2000};
/// Part of its time that a request waits for the configuration.
constexpr double kHeldShare = 0.5;
/// Another entry takes the request at once.
constexpr milliseconds kRetryPauseOfStop{10};

/// Prompt tokens that delay an engine's other requests as much as one request that generates: the
/// engine reads 94 tokens in a millisecond and a running request of 200 tokens adds 0.11 ms to each
/// step.
constexpr double kTokensPerWork = 1000;
/// Part of the shared prompt tokens that an engine still has to read, from runs on the platform.
constexpr double kUncachedShare = 0.3;

/// A backend server is silent when nothing came for this multiple of the target of the first event,
/// or of the pause between events: 99 in 100 requests of a calm day are answered within the target.
constexpr int kStalledTargets = 2;
constexpr int kStalledGaps = 5;
constexpr milliseconds kLeastStall{250};
constexpr milliseconds kLeastStalledGap{1000};

/// Part of the target of the first event that may pass at the engine; the rest is for the way and
/// the queue.
constexpr double kEngineShare = 0.6;
/// A first event tells as much about the load as this many pauses.
constexpr double kFirstEventWeight = 4;

constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kMisdirected = 421;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;

bool IsSuccess(std::uint16_t status) { return status >= 200 && status < 300; }
bool IsServerError(std::uint16_t status) { return status >= 500; }

std::int64_t Millis(common::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::string_view NameOf(routing::DropReason reason) {
  switch (reason) {
    case routing::DropReason::kQueueFull:
      return "queue_full";
    case routing::DropReason::kFirstTokenLate:
      return "target_missed_in_queue";
    case routing::DropReason::kDeadline:
      return "no_backend_in_time";
  }
  return "unknown";
}

std::string_view NameOf(http::CallEnd end) {
  switch (end) {
    case http::CallEnd::kComplete:
      return "complete";
    case http::CallEnd::kNotSent:
      return "not_sent";
    case http::CallEnd::kNoResponse:
      return "no_response";
    case http::CallEnd::kCutShort:
      return "cut_short";
    case http::CallEnd::kInvalid:
      return "invalid_response";
  }
  return "unknown";
}

}  // namespace

Exchange::Exchange(Forwarder& owner, std::uint64_t number,
                   std::shared_ptr<http::IncomingRequest> request)
    : owner_(owner), number_(number), request_(std::move(request)), table_(owner.table_) {}

common::RequestId Exchange::id() const { return common::RequestId(std::to_string(number_)); }

bool Exchange::repeatable() const {
  return route_->kind() == schema::CALL_KIND_IDEMPOTENT ||
         (route_->kind() == schema::CALL_KIND_STREAM && route_->resumable());
}

void Exchange::Start() {
  facts_ = owner_.options_.codec.read_request(request_->head());
  last_event_ = facts_.last_event;
  const auto self = shared_from_this();
  request_->OnGone([weak = weak_from_this()] {
    if (const auto exchange = weak.lock()) exchange->OnGone();
  });
  if (Admit()) Queue();
}

bool Exchange::Admit() {
  if (owner_.refusing_) {
    Answer(kUnavailable, "stopping", kRetryPauseOfStop);
    return false;
  }
  if (!table_ || !table_->known()) {
    Hold();
    return false;
  }
  const std::string* host = request_->head().headers.Find("Host");
  route_ = table_->Match(host == nullptr ? std::string_view() : *host, request_->head().path());
  if (route_ == nullptr) {
    Answer(kNotFound, "no_route");
    return false;
  }
  tier_ = common::Tier(route_->tier());
  const routing::KeyOwner* key_owner = facts_.key.empty() ? nullptr : table_->FindOwner(facts_.key);
  if (key_owner != nullptr) {
    customer_ = key_owner->customer;
    tier_ = key_owner->tier.value_or(tier_);
  } else if (table_->requires_keys() && !route_->open()) {
    Answer(kUnauthorized, facts_.key.empty() ? "no_key" : "unknown_key");
    return false;
  }
  milliseconds time_left(route_->timeout_ms());
  if (facts_.time_left) time_left = std::min(time_left, *facts_.time_left);
  deadline_ = request_->arrived_at() + time_left;
  service_ = routing::ForwardTable::ChooseService(*route_, owner_.random_.Uniform());
  owner_.repeats_.OnRequest(service_, request_->arrived_at());
  return true;
}

void Exchange::Hold() {
  const auto wait = facts_.time_left
                        ? std::chrono::duration_cast<milliseconds>(*facts_.time_left * kHeldShare)
                        : kLongestHold;
  if (!owner_.MayHold() || wait <= milliseconds(0)) {
    Answer(kUnavailable, "no_configuration", kRetryPauseWithoutConfiguration);
    return;
  }
  state_ = State::kHeld;
  held_until_ = request_->arrived_at() + std::min(wait, kLongestHold);
  owner_.held_.insert(number_);
}

void Exchange::OnConfiguration() {
  if (state_ != State::kHeld) return;
  state_ = State::kQueued;
  table_ = owner_.table_;
  if (Admit()) Queue();
}

routing::ClassPolicy Exchange::Policy() const {
  routing::ClassPolicy policy;
  policy.id = common::ClassId(
      "t" + std::to_string(tier_.value()) + "/" + std::to_string(route_->kind()) + "/" +
      std::to_string(route_->target_ms()) + "/" + std::to_string(route_->timeout_ms()));
  policy.tier = tier_;
  policy.first_token_target = milliseconds(route_->target_ms());
  policy.deadline = milliseconds(route_->timeout_ms());
  return policy;
}

double Exchange::Work() const {
  if (!route_->prefix_affinity()) return 1;
  // Shared parts are mostly in the memory of the server that the prefix leads to.
  double tokens = static_cast<double>(facts_.prompt_tokens);
  if (!facts_.prompt_parts.empty()) {
    tokens = static_cast<double>(facts_.prompt_parts.back().tokens);
    for (std::size_t i = 0; i + 1 < facts_.prompt_parts.size(); ++i) {
      tokens += kUncachedShare * static_cast<double>(facts_.prompt_parts[i].tokens);
    }
  }
  return 1 + tokens / kTokensPerWork;
}

void Exchange::Queue() {
  routing::QueuedRequest queued;
  const routing::ClassPolicy policy = Policy();
  queued.id = id();
  queued.class_id = policy.id;
  queued.customer = customer_;
  queued.capability.service = service_;
  if (route_->prefix_affinity() && facts_.prompt_parts.size() > 1) {
    // The last part belongs to the request alone; the one before it is the longest shared prefix.
    queued.prefix_hash = common::Hash64(facts_.prompt_parts[facts_.prompt_parts.size() - 2].id);
  }
  queued.input_tokens = facts_.prompt_tokens;
  queued.work = Work();
  queued.expected_output_tokens =
      static_cast<double>(facts_.expected_output_tokens.value_or(facts_.max_output_tokens));
  const common::Time arrived = request_->arrived_at();
  queued.first_token_deadline = arrived + milliseconds(route_->target_ms());
  const auto share = common::FromSeconds(common::ToSeconds(deadline_ - arrived) * kQueueShare);
  queued.deadline = std::min(
      deadline_, arrived + std::max<common::Duration>(milliseconds(route_->target_ms()), share));
  queued_at_ = common::BootClock::now();
  in_scheduler_ = true;
  owner_.Enqueue(service_, policy, std::move(queued), *this);
}

void Exchange::OnDropped(routing::DropReason reason) {
  in_scheduler_ = false;
  if (state_ == State::kEnded) return;
  if (queued_at_) queued_for_ += common::BootClock::now() - *queued_at_;
  queued_at_.reset();
  if (response_started_) {
    Fail(kUnavailable, NameOf(reason));
  } else if (reached_.empty()) {
    Answer(kUnavailable, NameOf(reason), kRetryPause);
  } else {
    Fail(kBadGateway, NameOf(reason));
  }
}

void Exchange::OnPlaced(const routing::Dispatch& dispatch) {
  const common::Time now = common::BootClock::now();
  if (queued_at_) queued_for_ += now - *queued_at_;
  queued_at_.reset();
  state_ = State::kRunning;
  ++attempt_number_;
  attempt_.emplace();
  attempt_->backend_server = dispatch.choice.id;
  attempt_->tier = dispatch.picked.tier;
  attempt_->started_at = now;
  attempt_->heard_at = now;
  attempt_->work = dispatch.picked.request.work;
  if (attempt_->work > 1) {
    attempt_->prompt_work = attempt_->work;
    owner_.StateOf(service_).prompts.OnSent(attempt_->prompt_work);
  }
  attempt_->connection = owner_.pool_.Take(dispatch.choice.id, now);
  if (attempt_->connection == nullptr) {
    owner_.placement_.OnEnded(dispatch.choice.id, dispatch.picked.tier, /*alone=*/false,
                              attempt_->work);
    owner_.placement_.OnFull(dispatch.choice.id, /*alone=*/false, now);
    EndPrompt();
    attempt_.reset();
    state_ = State::kQueued;
    queued_at_ = now;
    owner_.StateOf(service_).scheduler.PutBack(id());
    return;
  }
  Send();
}

void Exchange::Send() {
  const common::Time now = common::BootClock::now();
  ++sends_;
  http::RequestHead head = request_->head();
  const bool has_body = head.headers.Find("Content-Length") != nullptr ||
                        head.headers.Find("Transfer-Encoding") != nullptr;
  http::RemoveConnectionFields(head.headers);
  const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - now);
  owner_.options_.codec.prepare_request(head, {.backend_server = attempt_->backend_server,
                                               .customer = customer_,
                                               .time_left = std::max(left, milliseconds(1)),
                                               .tier = tier_,
                                               .last_event = last_event_});
  attempt_->used_connection = attempt_->connection->connected();
  const std::uint64_t attempt = attempt_number_;
  const auto self = shared_from_this();
  const auto current = [self, attempt] {
    return self->attempt_ && self->attempt_number_ == attempt;
  };
  attempt_->connection->Send(http::SerializeRequest(head, request_->body()->size(), has_body),
                             request_->body(),
                             std::min(kConnectLimit, std::max(left, milliseconds(1))),
                             {.on_head =
                                  [self, current](const http::ResponseHead& response) {
                                    return !current() || self->OnHead(response);
                                  },
                              .on_data =
                                  [self, current](std::string_view data) {
                                    if (current()) self->OnData(data);
                                  },
                              .on_end =
                                  [self, current](http::CallEnd end) {
                                    if (current()) self->OnEnd(end);
                                  }});
}

bool Exchange::BelongsHere(const ResponseFacts& facts) const {
  if (facts_.id.empty()) return true;
  // A server that answers a request names it. On a used connection a response without a name may be
  // one too many for the request before.
  if (facts.request_id.empty()) return !attempt_->used_connection;
  return facts.request_id == facts_.id;
}

bool Exchange::OnHead(const http::ResponseHead& head) {
  ResponseFacts facts = owner_.options_.codec.read_response(head);
  if (!BelongsHere(facts)) {
    owner_.log_.Warn(LogLine("foreign_response")
                         .Add("request", facts_.id)
                         .Add("backend", attempt_->backend_server.value())
                         .Add("answers", facts.request_id)
                         .text());
    owner_.metrics_.CountEvent("foreign_response");
    return false;
  }
  attempt_->head = head;
  attempt_->has_head = true;
  if (facts.load) {
    owner_.placement_.Report({.id = attempt_->backend_server,
                              .taken_at = common::BootClock::now(),
                              .running = facts.load->running + facts.load->waiting,
                              .waiting = facts.load->waiting,
                              .running_here = std::nullopt,
                              .capacity = facts.load->slots},
                             common::BootClock::now());
  }
  attempt_->facts = std::move(facts);
  attempt_->streaming = route_->kind() == schema::CALL_KIND_STREAM && IsSuccess(head.status) &&
                        attempt_->facts.has_receipt;
  if (!attempt_->facts.not_executed && !attempt_->streaming) MarkBegan();
  return true;
}

void Exchange::EndPrompt() {
  owner_.StateOf(service_).prompts.OnDone(std::exchange(attempt_->prompt_work, 0));
}

void Exchange::MarkBegan() {
  const common::Time now = common::BootClock::now();
  if (attempt_->began) {
    const milliseconds gap(route_->event_gap_target_ms());
    if (attempt_->streaming && gap > milliseconds(0)) {
      owner_.StateOf(service_).prompts.Observe(now - attempt_->event_at > gap, 1, now);
    }
    attempt_->event_at = now;
    return;
  }
  attempt_->began = true;
  attempt_->event_at = now;
  if (attempt_->prompt_work > 0) {
    const auto limit =
        common::FromSeconds(kEngineShare * common::ToSeconds(milliseconds(route_->target_ms())));
    owner_.StateOf(service_).prompts.Observe(now - attempt_->started_at > limit, kFirstEventWeight,
                                             now);
  }
  EndPrompt();
  if (!first_byte_at_) first_byte_at_ = common::BootClock::now();
  owner_.placement_.OnWorkDone(attempt_->backend_server, attempt_->work - 1);
  attempt_->work = 1;
  owner_.StateOf(service_).scheduler.ObserveFirstToken(
      facts_.prompt_tokens, common::BootClock::now() - attempt_->started_at);
  if (std::exchange(counted_, true)) return;
  if (!customer_.value().empty()) owner_.options_.on_began(customer_);
}

void Exchange::OnData(std::string_view data) {
  attempt_->heard_at = common::BootClock::now();
  if (!attempt_->streaming) {
    if (attempt_->body.size() + data.size() <= kMostBodyBytes) attempt_->body += data;
    return;
  }
  const std::uint64_t attempt = attempt_number_;
  for (const StreamEvent& event : attempt_->events.Feed(data)) {
    OnEvent(event);
    if (!attempt_ || attempt_number_ != attempt) return;
  }
  if (request_->buffered_bytes() > kMostBuffered) attempt_->connection->PauseReading(true);
}

void Exchange::OnEvent(const StreamEvent& event) {
  if (event.id && last_event_) {
    if (*event.id <= *last_event_) return;
    if (*event.id != *last_event_ + 1) {
      owner_.log_.Warn(LogLine("event_gap")
                           .Add("request", facts_.id)
                           .Add("backend", attempt_->backend_server.value())
                           .Add("expected", *last_event_ + 1)
                           .Add("found", *event.id)
                           .text());
      OnBrokenAttempt(http::CallEnd::kInvalid);
      return;
    }
  }
  MarkBegan();
  if (event.id) last_event_ = event.id;
  if (!std::exchange(response_started_, true)) {
    http::ResponseHead head = attempt_->head;
    http::RemoveConnectionFields(head.headers);
    request_->StartStream(head);
  }
  request_->Write(event.text);
  owner_.StateOf(service_).scheduler.Charge(id(), 1, common::BootClock::now());
}

void Exchange::OnEnd(http::CallEnd end) {
  const auto self = shared_from_this();
  const bool rejected =
      attempt_->has_head && (attempt_->facts.not_executed || attempt_->facts.other_backend);
  if (rejected) {
    OnRejected();
  } else if (end == http::CallEnd::kComplete) {
    OnCompleteResponse();
  } else {
    OnBrokenAttempt(end);
  }
}

void Exchange::OnCompleteResponse() {
  const std::uint16_t status = attempt_->head.status;
  reached_.insert(attempt_->backend_server);
  if (attempt_->streaming) {
    if (!attempt_->events.rest().empty()) {
      OnBrokenAttempt(http::CallEnd::kCutShort);
      return;
    }
    if (!std::exchange(response_started_, true)) {
      http::ResponseHead head = attempt_->head;
      http::RemoveConnectionFields(head.headers);
      request_->StartStream(head);
    }
    request_->EndStream();
    ReleaseAttempt(Verdict::kSuccess);
    End("answered", status, "");
    return;
  }
  if (IsSuccess(status) && !attempt_->facts.has_receipt) {
    OnBrokenAttempt(http::CallEnd::kInvalid);
    return;
  }
  if (IsServerError(status) && repeatable()) {
    const http::ResponseHead head = attempt_->head;
    const std::string body = attempt_->body;
    ReleaseAttempt(Verdict::kSuccess);
    if (TryAgain(/*ran=*/true)) return;
    attempt_.emplace();
    attempt_->head = head;
    attempt_->body = body;
    Deliver();
    return;
  }
  Deliver();
}

void Exchange::Deliver() {
  http::ResponseHead head = attempt_->head;
  const std::uint16_t status = head.status;
  if (response_started_) {
    Fail(kBadGateway, "failed_after_start");
    return;
  }
  http::RemoveConnectionFields(head.headers);
  request_->Respond(head, attempt_->body);
  // An error that the backend server answers by itself is the application's; it says nothing about
  // whether the backend server works.
  ReleaseAttempt(Verdict::kSuccess);
  End("answered", status, "");
}

void Exchange::OnBrokenAttempt(http::CallEnd end) {
  const bool sent = end != http::CallEnd::kNotSent;
  if (sent) reached_.insert(attempt_->backend_server);
  owner_.metrics_.CountEvent(NameOf(end));
  owner_.log_.Warn(LogLine("attempt_failed")
                       .Add("request", facts_.id)
                       .Add("backend", attempt_->backend_server.value())
                       .Add("end", NameOf(end))
                       .Add("attempt", sends_)
                       .Add("after_ms", Millis(common::BootClock::now() - attempt_->started_at))
                       .Add("status", attempt_->has_head ? attempt_->head.status : 0)
                       .text());
  attempt_->connection->Close();
  ReleaseAttempt(Verdict::kFailure);
  if (TryAgain(sent)) return;
  if (sent || response_started_ || !reached_.empty()) {
    Fail(kBadGateway, NameOf(end));
  } else {
    Answer(kUnavailable, "backend_unreachable", kRetryPause);
  }
}

void Exchange::OnRejected() {
  http::ResponseHead head = attempt_->head;
  std::string body = std::move(attempt_->body);
  const bool other = attempt_->facts.other_backend;
  owner_.metrics_.CountEvent(other ? "other_backend" : "rejected");
  owner_.log_.Info(LogLine("attempt_rejected")
                       .Add("request", facts_.id)
                       .Add("backend", attempt_->backend_server.value())
                       .Add("status", head.status)
                       .Add("attempt", sends_)
                       .text());
  // The connection leads to another server than the one it is kept for.
  if (other) attempt_->connection->Close();
  ReleaseAttempt(other ? Verdict::kFailure : Verdict::kFull);
  repeat_pending_ = true;
  if (TryAgain(/*ran=*/false)) return;
  if (response_started_ || !reached_.empty()) {
    Fail(kBadGateway, "rejected");
    return;
  }
  if (other || head.status == kMisdirected) {
    Answer(kUnavailable, "backend_replaced", kRetryPause);
    return;
  }
  http::RemoveConnectionFields(head.headers);
  if (head.headers.Find("Retry-After") == nullptr && head.status == kUnavailable) {
    head.headers.Add("Retry-After", owner_.options_.codec.format_retry_after(kRetryPause));
  }
  const std::uint16_t status = head.status;
  request_->Respond(head, body);
  End("rejected", status, "backend_rejected");
}

bool Exchange::TryAgain(bool ran) {
  const common::Time now = common::BootClock::now();
  if (!MayTryAgain(ran, now)) return false;
  // A send that never arrived is no repeat.
  if ((ran || repeat_pending_) && !owner_.repeats_.TryRepeat(service_, now)) {
    owner_.metrics_.CountEvent("repeat_budget_spent");
    return false;
  }
  QueueAgain(now);
  return true;
}

bool Exchange::MayTryAgain(bool ran, common::Time now) const {
  if (state_ == State::kEnded || caller_gone_ || sends_ >= kMostSends) return false;
  if (deadline_ - now < kLeastTimeLeft) return false;
  if (ran && !repeatable()) return false;
  return reached_.size() < std::max(route_->max_attempts(), 1U);
}

bool Exchange::IsStalled(common::Time now) const {
  if (!repeatable() || attempt_->has_head != attempt_->streaming) return false;
  const milliseconds target(route_->target_ms());
  const milliseconds gap(route_->event_gap_target_ms());
  const common::Duration limit =
      attempt_->began ? std::max<common::Duration>(kStalledGaps * gap, kLeastStalledGap)
                      : std::max<common::Duration>(kStalledTargets * target, kLeastStall);
  return now - attempt_->heard_at > limit;
}

void Exchange::LeaveStalledBackend(common::Time now) {
  reached_.insert(attempt_->backend_server);
  if (!MayTryAgain(/*ran=*/true, now) || !owner_.repeats_.TryRepeat(service_, now)) {
    // Asked again only after another limit has passed.
    attempt_->heard_at = now;
    return;
  }
  owner_.metrics_.CountEvent("stalled");
  owner_.log_.Warn(LogLine("attempt_stalled")
                       .Add("request", facts_.id)
                       .Add("backend", attempt_->backend_server.value())
                       .Add("silent_ms", Millis(now - attempt_->heard_at))
                       .Add("began", attempt_->began)
                       .text());
  attempt_->connection->Close();
  ReleaseAttempt(Verdict::kFailure);
  QueueAgain(now);
}

void Exchange::QueueAgain(common::Time now) {
  repeat_pending_ = false;
  state_ = State::kQueued;
  queued_at_ = now;
  Forwarder::ServiceState& state = owner_.StateOf(service_);
  const std::uint64_t resume_from = last_event_.value_or(0);
  state.scheduler.Requeue(id(), resume_from, last_backend_);
  boost::asio::post(owner_.loop_, [weak = weak_from_this()] {
    if (const auto exchange = weak.lock()) exchange->owner_.Pump(exchange->service_);
  });
}

void Exchange::ReleaseAttempt(Verdict verdict) {
  const common::Time now = common::BootClock::now();
  EndPrompt();
  Attempt attempt = std::move(*attempt_);
  attempt_.reset();
  if (attempt.connection == nullptr) return;
  last_backend_ = attempt.backend_server;
  owner_.placement_.OnEnded(attempt.backend_server, attempt.tier, /*alone=*/false, attempt.work);
  switch (verdict) {
    case Verdict::kSuccess:
      owner_.placement_.OnSuccess(attempt.backend_server);
      break;
    case Verdict::kFailure:
      owner_.placement_.OnFailure(attempt.backend_server, now);
      break;
    case Verdict::kNone:
      owner_.placement_.OnNoVerdict(attempt.backend_server);
      break;
    case Verdict::kFull:
      owner_.placement_.OnFull(attempt.backend_server, /*alone=*/false, now);
      break;
  }
  owner_.pool_.Return(attempt.backend_server, attempt.connection, now);
}

void Exchange::OnGone() {
  if (state_ == State::kEnded) return;
  caller_gone_ = true;
  if (state_ == State::kRunning && attempt_ && !repeatable() &&
      route_->kind() == schema::CALL_KIND_ONCE) {
    // The backend server goes on with a call that may not be repeated, so its outcome is logged.
    return;
  }
  if (attempt_) {
    attempt_->connection->Close();
    ReleaseAttempt(Verdict::kNone);
  }
  End("caller_gone", 0, "");
}

void Exchange::CheckTime(common::Time now) {
  if (state_ == State::kHeld && now >= held_until_) {
    Answer(kUnavailable, "no_configuration", kRetryPauseWithoutConfiguration);
    return;
  }
  if (state_ != State::kRunning || !attempt_) return;
  if (request_->buffered_bytes() <= kMostBuffered) attempt_->connection->PauseReading(false);
  if (attempt_->prompt_work > 0 && now - attempt_->started_at > milliseconds(route_->target_ms())) {
    // A server that is silent must not hold back the prompts for the others.
    owner_.StateOf(service_).prompts.Observe(true, kFirstEventWeight, now);
    EndPrompt();
  }
  if (now < deadline_ && IsStalled(now)) {
    LeaveStalledBackend(now);
    return;
  }
  if (now < deadline_ + kDeadlineSlack) return;
  attempt_->connection->Close();
  reached_.insert(attempt_->backend_server);
  ReleaseAttempt(Verdict::kFailure);
  Fail(kGatewayTimeout, "deadline");
}

void Exchange::Answer(std::uint16_t status, std::string_view reason,
                      std::optional<milliseconds> retry_after) {
  http::ResponseHead head{.status = status, .reason = {}, .headers = {}};
  if (retry_after) {
    head.headers.Add("Retry-After", owner_.options_.codec.format_retry_after(*retry_after));
  }
  request_->Respond(head, {});
  owner_.metrics_.CountRefusal(reason);
  End("refused", status, reason);
}

void Exchange::Fail(std::uint16_t status, std::string_view reason) {
  owner_.metrics_.CountRefusal(reason);
  if (response_started_) {
    request_->Abort();
  } else {
    request_->Respond({.status = status, .reason = {}, .headers = {}}, {});
  }
  End("failed", status, reason);
}

void Exchange::End(std::string_view outcome, std::uint16_t status, std::string_view reason) {
  if (state_ == State::kEnded) return;
  const auto self = shared_from_this();
  state_ = State::kEnded;
  const common::Time now = common::BootClock::now();
  LogLine line("request_end");
  line.Add("request", facts_.id)
      .Add("outcome", outcome)
      .Add("status", status)
      .Add("reason", reason)
      .Add("route", route_ == nullptr ? std::string_view() : route_->id())
      .Add("customer", customer_.value())
      .Add("tier", tier_.value())
      .Add("service", service_)
      .Add("backend", last_backend_.value())
      .Add("sends", sends_)
      .Add("queued_ms", Millis(queued_for_))
      .Add("first_ms", first_byte_at_ ? Millis(*first_byte_at_ - request_->arrived_at()) : -1)
      .Add("total_ms", Millis(now - request_->arrived_at()))
      .Add("config_index", owner_.table_index_.value());
  if (owner_.list_read_at_) line.Add("list_age_ms", Millis(now - *owner_.list_read_at_));
  owner_.log_.Info(line.text());
  if (!service_.empty()) {
    Forwarder::ServiceState& state = owner_.StateOf(service_);
    if (in_scheduler_) {
      if (!state.scheduler.Cancel(id())) state.scheduler.Finish(id());
    }
    state.exchanges.erase(id());
    boost::asio::post(owner_.loop_, [&owner = owner_, service = service_] { owner.Pump(service); });
  }
  owner_.held_.erase(number_);
  owner_.exchanges_.erase(number_);
}

}  // namespace briarwood::forwarding::impl
