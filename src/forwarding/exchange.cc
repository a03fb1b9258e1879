#include "forwarding/impl/exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cctype>
#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/http/message.h"
#include "briarwood/observability/log_line.h"
#include "forwarding/impl/exchange_support.h"

namespace briarwood::forwarding::impl {

using observability::LogLine;
namespace {

/// A backend server responds on its own at the deadline that it was given; the entry waits this
/// much longer for that response.
constexpr milliseconds kDeadlineGracePeriod{150};
/// Reading from the backend server pauses while more than this is buffered for the caller.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
/// Limits on the responses that are buffered until they are complete, of one request and of all
/// requests of the entry. A faulty server may send a body without end, and an entry may have 88 MB.
constexpr std::size_t kMaxBodyBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{16} * 1024 * 1024;
/// Value of Retry-After for callers that are rejected before the first configuration.
constexpr milliseconds kRetryAfterDelayWithoutConfiguration{500};
/// An entry receives its configuration within a second or two of its start. Requests that are held
/// until then are served; most rejected callers retry only once, and too early.
constexpr milliseconds kMaxHoldPeriod{2000};
/// Share of a request's time for which it is held until the configuration is active.
constexpr double kMaxHoldShare = 0.5;
/// Short, because another entry can accept the request immediately.
constexpr milliseconds kRetryAfterDelayOnStop{10};

/// Prompt tokens that delay the other requests of an engine as much as one generating request. An
/// engine processes 94 prompt tokens per millisecond, so 1000 delay the others by 10.6 ms, once; a
/// running request of 200 tokens adds 0.11 ms to each step, which is as much after about 100 steps.
constexpr double kTokensPerWorkUnit = 1000;
/// Minimum length of the shared parts of a prompt for which the request goes to the server that has
/// cached them. An engine reads fewer tokens in about 10 ms, which is less than a busy server
/// delays the request.
constexpr std::uint64_t kMinAffinityTokens = 1000;
/// Share of the shared prompt tokens that an engine does not find in its cache and has to process.
constexpr double kUncachedShare = 0.3;

/// Time after the start of a replacement's response in which the silent server is kept. A server
/// may send the head of its response and break off before its first event.
constexpr milliseconds kMaxOverlap{300};

/// Delay from which a prompt that still waits for its first event is reported to the placement.
constexpr milliseconds kLongPromptDelay{200};

/// A server that crashes when it begins to write an answer may still send the first event.
constexpr std::uint64_t kSoundEvents = 2;
/// A configuration that was confirmed longer ago is rarely confirmed within the time of a hold.
constexpr std::chrono::seconds kMaxAgeToHold{5};
constexpr std::string_view kAnsweredOutcome = "answered";
constexpr std::string_view kDrainedReason = "failure_domains_draining";
/// Operators end a drain by hand, so an earlier retry is rarely served.
constexpr milliseconds kRetryAfterDelayWhileDrained{2000};
constexpr std::string_view kUnconfirmedReason = "configuration_unconfirmed";
constexpr std::string_view kHeldReason = "crash_property_held";
/// Length of the properties in one log line; callers choose the ids of prompt parts.
constexpr std::size_t kMaxLoggedPropertyBytes = 240;

/// \returns the properties, as far as a log line has room. The fingerprint comes first, as callers
///   cannot choose its length.
std::string JoinProperties(const std::vector<std::string>& properties) {
  std::string text;
  for (auto property = properties.rbegin(); property != properties.rend(); ++property) {
    if (text.size() >= kMaxLoggedPropertyBytes) break;
    if (!text.empty()) text += ',';
    text += property->substr(0, kMaxLoggedPropertyBytes);
  }
  return text;
}

std::string_view NameOf(routing::DropReason reason) {
  switch (reason) {
    case routing::DropReason::kQueueFull:
      return "queue_full";
    case routing::DropReason::kFirstTokenLate:
      return "target_missed_in_queue";
    case routing::DropReason::kDeadline:
      // The limit of the time in the queue, see kMaxQueueShare.
      return "no_backend_in_time";
  }
  return "unknown";
}

std::string_view NameOf(http::DisconnectCause cause) {
  switch (cause) {
    case http::DisconnectCause::kPeerClosed:
      return "caller_closed";
    case http::DisconnectCause::kPeerUnreachable:
      return "caller_unreachable";
    case http::DisconnectCause::kServerClosed:
      return "entry_closed";
  }
  return "unknown";
}

}  // namespace

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
    case http::CallEnd::kOversized:
      return "oversized_response";
  }
  return "unknown";
}

std::string MediaTypeOf(const http::ResponseHead& head) {
  const std::string* type = head.headers.Find("Content-Type");
  if (type == nullptr) return {};
  std::string name = type->substr(0, type->find_first_of("; "));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return name;
}

Exchange::Exchange(Forwarder& owner, std::uint64_t number,
                   std::shared_ptr<http::IncomingRequest> request)
    : owner_(owner),
      number_(number),
      request_(std::move(request)),
      table_(owner.table_),
      retry_interval_(kMinRetryInterval),
      last_progress_at_(request_->arrived_at()) {}

common::RequestId Exchange::id() const { return common::RequestId(std::to_string(number_)); }

bool Exchange::retryable() const {
  return route_->kind() == schema::CALL_KIND_IDEMPOTENT ||
         (route_->kind() == schema::CALL_KIND_STREAM && route_->resumable());
}

void Exchange::Start() {
  facts_ = owner_.options_.codec.read_request(request_->head());
  last_event_ = facts_.last_event_id;
  const auto self = shared_from_this();
  request_->OnDisconnected([weak = weak_from_this()](http::DisconnectCause cause) {
    if (const auto exchange = weak.lock()) exchange->OnCallerDisconnected(cause);
  });
  if (Admit()) Proceed();
}

bool Exchange::Admit() {
  if (owner_.rejecting_new_) {
    Reject(kUnavailable, "stopping", kRetryAfterDelayOnStop);
    return false;
  }
  if (!table_ || !table_->known()) {
    Hold();
    return false;
  }
  const std::string* host = request_->head().headers.Find("Host");
  route_ = table_->Match(host == nullptr ? std::string_view() : *host, request_->head().path());
  if (route_ == nullptr) {
    RejectOnceConfirmed(kNotFound, "no_route");
    return false;
  }
  tier_ = common::Tier(route_->tier());
  const routing::KeyOwner* key_owner = facts_.key.empty() ? nullptr : table_->FindOwner(facts_.key);
  if (key_owner != nullptr) {
    customer_ = key_owner->customer;
    tier_ = key_owner->tier.value_or(tier_);
  } else if (!route_->open() && table_->key_check() == schema::KEY_CHECK_REQUIRED) {
    RejectOnceConfirmed(kUnauthorized, facts_.key.empty() ? "no_key" : "unknown_key");
    return false;
  } else if (!route_->open() && table_->key_check() == schema::KEY_CHECK_UNSPECIFIED) {
    Reject(kUnavailable, "key_check_unknown", kRetryAfterDelayWithoutConfiguration);
    return false;
  }
  milliseconds time_left(route_->timeout_ms());
  if (facts_.time_left) time_left = std::min(time_left, *facts_.time_left);
  deadline_ = request_->arrived_at() + time_left;
  class_id_ = Policy().id;
  if (!EndsBeforeStop(common::BootClock::now())) {
    Reject(kUnavailable, "stopping", kRetryAfterDelayOnStop);
    return false;
  }
  service_ = routing::ForwardTable::ChooseService(*route_, owner_.random_.Uniform());
  owner_.retry_budget_.OnRequest(service_, request_->arrived_at());
  owner_.second_attempts_.OnRequest(service_);
  std::vector<std::string> part_ids;
  for (const PromptPart& part : facts_.prompt_parts) part_ids.push_back(part.id);
  crash_properties_ =
      routing::CrashProperties(part_ids, {.customer = customer_,
                                          .method = request_->head().method,
                                          .host = host == nullptr ? std::string_view() : *host,
                                          .target = request_->head().target,
                                          .body = *request_->body()});
  return CheckCrashProperties();
}

std::uint64_t Exchange::ExpectedOutput() const {
  return facts_.max_output_tokens > 0 ? facts_.max_output_tokens
                                      : facts_.expected_output_tokens.value_or(0);
}

bool Exchange::EndsBeforeStop(common::Time now) const {
  if (!owner_.stop_end_ || deadline_ + kDeadlineGracePeriod <= *owner_.stop_end_) return true;
  // An estimate may be wrong, which the caller of a request that is not retryable would pay for.
  if (!retryable()) return false;
  const auto estimate = owner_.response_times_.Estimate(class_id_, ExpectedOutput());
  return estimate && now + *estimate <= *owner_.stop_end_;
}

bool Exchange::HasNotRun() const {
  return !response_started_ && !silent_attempt_ && may_have_run_on_.empty();
}

void Exchange::OnStop() {
  if (state_ == State::kEnded) return;
  if (attempt_) {
    NoteRun(*attempt_);
    attempt_->connection->Close();
    ReleaseAttempt(AttemptResult::kInconclusive);
  }
  if (HasNotRun()) {
    Reject(kUnavailable, "stopping", kRetryAfterDelayOnStop);
  } else {
    Fail(kBadGateway, "stopping");
  }
}

common::Time Exchange::HoldLimit() const {
  const auto wait =
      facts_.time_left ? std::chrono::duration_cast<milliseconds>(*facts_.time_left * kMaxHoldShare)
                       : kMaxHoldPeriod;
  return request_->arrived_at() + std::min(wait, kMaxHoldPeriod);
}

void Exchange::Hold() {
  hold_until_ = HoldLimit();
  if (!owner_.MayHold() || hold_until_ <= request_->arrived_at()) {
    Reject(kUnavailable, "no_configuration", kRetryAfterDelayWithoutConfiguration);
    return;
  }
  state_ = State::kHeld;
  owner_.held_.insert(number_);
}

void Exchange::RejectOnceConfirmed(std::uint16_t status, std::string_view reason) {
  if (owner_.ConfigurationIsFrom(request_->arrived_at())) {
    Reject(status, reason);
    return;
  }
  if (state_ == State::kUnconfirmed) return;
  const common::Time now = common::BootClock::now();
  hold_until_ = HoldLimit();
  if (!owner_.MayHold() || now >= hold_until_ || !owner_.ConfigurationIsFrom(now - kMaxAgeToHold)) {
    Reject(kUnavailable, kUnconfirmedReason, kRetryAfterDelayWithoutConfiguration);
    return;
  }
  state_ = State::kUnconfirmed;
  owner_.unconfirmed_.insert(number_);
  owner_.RequestConfirmation(now);
}

void Exchange::OnConfirmation() {
  if (state_ != State::kUnconfirmed) return;
  route_ = nullptr;  // belongs to the previous table
  table_ = owner_.table_;
  if (!Admit()) return;
  state_ = State::kQueued;
  owner_.unconfirmed_.erase(number_);
  Proceed();
}

void Exchange::OnConfiguration() {
  if (state_ != State::kHeld) return;
  state_ = State::kQueued;
  table_ = owner_.table_;
  if (Admit()) Proceed();
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

std::uint64_t Exchange::SharedTokens() const {
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < facts_.prompt_parts.size(); ++i) {
    tokens += facts_.prompt_parts[i].tokens;
  }
  return tokens;
}

std::uint64_t Exchange::PrefixHash() const {
  if (!route_->prefix_affinity() || SharedTokens() < kMinAffinityTokens) return 0;
  // The last part belongs to this request only; the one before it ends the longest shared prefix.
  return common::Hash64(facts_.prompt_parts[facts_.prompt_parts.size() - 2].id);
}

double Exchange::Work() const {
  if (!route_->prefix_affinity()) return 1;
  // Shared parts are mostly cached by the server that prefix affinity selects.
  double tokens = static_cast<double>(facts_.prompt_tokens);
  if (!facts_.prompt_parts.empty()) {
    tokens = static_cast<double>(facts_.prompt_parts.back().tokens) +
             kUncachedShare * static_cast<double>(SharedTokens());
  }
  return 1 + tokens / kTokensPerWorkUnit;
}

routing::MemoryCost Exchange::Memory() const {
  routing::MemoryCost cost;
  cost.expected_output_tokens = facts_.expected_output_tokens.value_or(facts_.max_output_tokens);
  for (std::size_t i = 0; i + 1 < facts_.prompt_parts.size(); ++i) {
    const PromptPart& part = facts_.prompt_parts[i];
    cost.shared_parts.push_back({.id = common::Hash64(part.id), .tokens = part.tokens});
  }
  cost.own_prompt_tokens =
      facts_.prompt_parts.empty() ? facts_.prompt_tokens : facts_.prompt_parts.back().tokens;
  return cost;
}

milliseconds Exchange::GapTarget() const {
  if (route_->kind() != schema::CALL_KIND_STREAM) return milliseconds(0);
  return milliseconds(route_->event_gap_target_ms());
}

common::Duration Exchange::PromptTarget() const {
  return route_->prefix_affinity() ? milliseconds(route_->target_ms()) : milliseconds(0);
}

routing::PromptLimiter& Exchange::Prompts() {
  return owner_.StateOf(service_).PromptsOf(owner_.placement_.SideOf(service_, GapTarget()));
}

routing::PromptLimiter& Exchange::PromptsOf(const Attempt& attempt) {
  return owner_.StateOf(service_).PromptsOf(attempt.side);
}

void Exchange::Queue() {
  memory_ = Memory();
  const common::Time arrived = request_->arrived_at();
  const milliseconds target(route_->target_ms());
  auto share = common::FromSeconds(common::ToSeconds(deadline_ - arrived) * kMaxQueueShare);
  if (route_->kind() == schema::CALL_KIND_STREAM) {
    share = std::min<common::Duration>(share, kMaxQueueTargets * target);
  }
  routing::QueuedRequest queued =
      MakeQueuedRequest(std::min(deadline_, arrived + std::max<common::Duration>(target, share)));
  queued_at_ = common::BootClock::now();
  // A caller that would not be served in time learns at once when to come back.
  const common::Duration wait = owner_.ExpectedWait(service_, tier_, *queued_at_);
  if (wait > common::Duration(0) && *queued_at_ + wait > queued.deadline) {
    Reject(kUnavailable, "servers_limited", RetryDelay());
    return;
  }
  if (owner_.placement_.ExceedsMemory(Capability(), memory_)) {
    // Every engine would reject it as if it were full.
    Reject(kUnavailable, "prompt_exceeds_engine_memory");
    return;
  }
  if (owner_.placement_.IsDrained(Capability())) {
    Reject(kUnavailable, kDrainedReason, kRetryAfterDelayWhileDrained);
    return;
  }
  in_scheduler_ = true;
  if (GapTarget() > milliseconds(0)) {
    counted_as_stream_ = true;
    owner_.StateOf(service_).gap_classes.OnOpened(GapTarget());
  }
  owner_.Enqueue(service_, QueuePolicy(), std::move(queued), *this);
}

routing::QueuedRequest Exchange::MakeQueuedRequest(common::Time deadline) const {
  routing::QueuedRequest queued;
  queued.id = id();
  queued.class_id = QueuePolicy().id;
  queued.customer = customer_;
  queued.capability = Capability();
  queued.prefix_hash = PrefixHash();
  queued.input_tokens = facts_.prompt_tokens;
  queued.work = Work();
  queued.memory = memory_;
  queued.gap_target = GapTarget();
  queued.prompt_target = PromptTarget();
  queued.expected_output_tokens =
      static_cast<double>(facts_.expected_output_tokens.value_or(facts_.max_output_tokens));
  queued.first_token_deadline = request_->arrived_at() + milliseconds(route_->target_ms());
  queued.deadline = deadline;
  return queued;
}

routing::Capability Exchange::Capability() const {
  routing::Capability capability;
  capability.service = service_;
  capability.software_version = pinned_version_;
  return capability;
}

void Exchange::OnDrained() {
  if (state_ != State::kQueued || !in_scheduler_ || !HasNotRun()) return;
  if (owner_.placement_.IsDrained(Capability())) {
    Reject(kUnavailable, kDrainedReason, kRetryAfterDelayWhileDrained);
  }
}

void Exchange::OnDropped(routing::DropReason reason) {
  in_scheduler_ = false;
  if (state_ == State::kEnded) return;
  if (queued_at_) queued_for_ += common::BootClock::now() - *queued_at_;
  queued_at_.reset();
  if (response_started_) {
    Fail(kUnavailable, NameOf(reason));
  } else if (may_have_run_on_.empty()) {
    Reject(kUnavailable, NameOf(reason), RetryDelay());
  } else {
    Fail(kBadGateway, NameOf(reason));
  }
}

void Exchange::OnLackOfMemory() {
  if (std::exchange(waited_for_memory_, true)) return;
  owner_.metrics_.CountEvent("waited_for_memory");
  ++owner_.StateOf(service_).memory_waits;
}

void Exchange::OnPlaced(const routing::Dispatch& dispatch) {
  const common::Time now = common::BootClock::now();
  if (queued_at_) queued_for_ += now - *queued_at_;
  queued_at_.reset();
  if (!CheckCrashProperties()) {
    owner_.placement_.OnEnded(dispatch.choice.id, dispatch.picked.tier, /*alone=*/false,
                              dispatch.picked.request.work, memory_);
    owner_.placement_.OnNotSent(dispatch.choice.id);
    owner_.placement_.OnNoVerdict(dispatch.choice.id);
    return;
  }
  state_ = State::kRunning;
  if (StartAttempt(dispatch.choice.id, dispatch.picked.tier, dispatch.picked.request.work, now)) {
    return;
  }
  state_ = State::kQueued;
  queued_at_ = now;
  owner_.StateOf(service_).scheduler.PutBack(id());
}

bool Exchange::CheckCrashProperties() {
  if (is_trial_) return true;
  const routing::RequestVerdict verdict =
      owner_.crash_guard_.Check(crash_properties_, common::BootClock::now());
  if (std::holds_alternative<routing::RequestTrial>(verdict)) {
    is_trial_ = true;
    owner_.log_.Info(
        LogLine("crash_property_trial")
            .Add("request", facts_.id)
            .Add("property", std::get<routing::RequestTrial>(verdict).properties.front())
            .text());
    owner_.metrics_.CountEvent("crash_property_trial");
    return true;
  }
  const auto* held = std::get_if<routing::RequestHeld>(&verdict);
  if (held == nullptr) return true;
  owner_.log_.Info(LogLine("request_held")
                       .Add("request", facts_.id)
                       .Add("property", held->evidence.property())
                       .Add("crashes", held->evidence.crashes())
                       .text());
  if (response_started_ || !may_have_run_on_.empty()) {
    Fail(kBadGateway, kHeldReason);
  } else {
    Reject(kUnavailable, kHeldReason, held->retry_after);
  }
  return false;
}

bool Exchange::RecordCrash(const Attempt& attempt, http::CallEnd end) {
  const bool broken_off = end == http::CallEnd::kNoResponse || end == http::CallEnd::kCutShort;
  if (!broken_off || attempt.event_count >= kSoundEvents) return true;
  const routing::CrashConclusion conclusion = owner_.crash_guard_.OnCrash(
      crash_properties_, attempt.server_lifetime, owner_.CountServers(service_), attempt.started_at,
      common::BootClock::now());
  for (const auto& [property, crashes] : conclusion.candidates) {
    owner_.log_.Warn(LogLine("crash_property_candidate")
                         .Add("request", facts_.id)
                         .Add("property", property)
                         .Add("backend", attempt.server_lifetime)
                         .Add("crashes", crashes)
                         .Add("may_retry", conclusion.may_retry)
                         .text());
  }
  owner_.metrics_.CountEvent("crash_property_candidate");
  return conclusion.may_retry;
}

void Exchange::RecordSilence(const Attempt& attempt) {
  if (attempt.has_head || !attempt.connection->sent_at()) return;
  owner_.crash_guard_.OnSilence(crash_properties_, attempt.server_lifetime,
                                owner_.CountServers(service_), attempt.started_at,
                                common::BootClock::now());
}

void Exchange::RecordSoundStart() {
  for (const std::string& property :
       owner_.crash_guard_.OnSoundStart(crash_properties_, common::BootClock::now())) {
    owner_.log_.Info(
        LogLine("crash_property_sound").Add("request", facts_.id).Add("property", property).text());
  }
}

bool Exchange::OnHead(const http::ResponseHead& head) {
  ResponseMetadata facts = owner_.options_.codec.read_response(head);
  if (!BelongsToRequest(facts, *attempt_)) {
    LogForeignResponse(facts, *attempt_);
    return false;
  }
  RecordStatement(facts, *attempt_);
  owner_.crash_guard_.OnResponse(attempt_->server_lifetime, common::BootClock::now());
  if (IsDeliverable(head, facts)) attempt_->began_at = common::BootClock::now();
  attempt_->head = head;
  attempt_->has_head = true;
  if (facts.load) {
    owner_.placement_.Report({.id = attempt_->backend_server,
                              .taken_at = common::BootClock::now(),
                              .running = facts.load->running + facts.load->waiting,
                              .waiting = facts.load->waiting,
                              .running_here = std::nullopt,
                              .capacity = facts.load->slots,
                              .slowness = facts.load->slowness},
                             common::BootClock::now());
  }
  attempt_->facts = std::move(facts);
  attempt_->streaming = route_->kind() == schema::CALL_KIND_STREAM && IsSuccess(head.status) &&
                        IsDeliverable(head, attempt_->facts);
  if (!attempt_->facts.not_executed && !attempt_->streaming) RecordProgress();
  return true;
}

void Exchange::OnData(std::string_view data) {
  if (!attempt_->streaming) {
    BufferBody(data);
    return;
  }
  const std::uint64_t attempt = attempt_->number;
  for (const StreamEvent& event : attempt_->events.Feed(data)) {
    OnEvent(event);
    if (!IsCurrent(attempt)) return;
  }
  if (attempt_->events.incomplete_event().size() > kMaxEventBytes) {
    OnFailedAttempt(http::CallEnd::kOversized);
    return;
  }
  if (request_->buffered_bytes() > kMaxBufferedBytes) {
    attempt_->connection->PauseReading(true);
    attempt_->paused = true;
  }
}

void Exchange::BufferBody(std::string_view data) {
  const std::size_t size = attempt_->body.bytes().size() + data.size();
  if (size > kMaxBodyBytes || *owner_.buffered_body_bytes_ + data.size() > kMaxBufferedBodyBytes) {
    owner_.log_.Warn(LogLine("response_too_long")
                         .Add("request", facts_.id)
                         .Add("backend", attempt_->backend_server.value())
                         .Add("bytes", size)
                         .Add("buffered", *owner_.buffered_body_bytes_)
                         .text());
    OnFailedAttempt(http::CallEnd::kOversized);
    return;
  }
  attempt_->body.Append(data);
}

void Exchange::OnEvent(const StreamEvent& event) {
  if (event.id && last_event_) {
    if (*event.id <= *last_event_) return;
    if (*event.id != *last_event_ + 1) {
      // Ids are consecutive, so events are missing.
      owner_.log_.Warn(LogLine("event_gap")
                           .Add("request", facts_.id)
                           .Add("backend", attempt_->backend_server.value())
                           .Add("expected", *last_event_ + 1)
                           .Add("found", *event.id)
                           .text());
      OnFailedAttempt(http::CallEnd::kInvalid);
      return;
    }
  }
  if (IsProgress(event)) {
    if (silent_attempt_) GiveUpSilentAttempt();
    RecordProgress();
    if (++attempt_->event_count == kSoundEvents) RecordSoundStart();
  } else if (silent_attempt_) {
    // The silent server may still go on, with the head of its own response.
    return;
  } else if (response_started_ && last_event_ && attempt_->event_count == 0) {
    // A server that goes on with a numbered stream begins with the next number.
    if (event.has_data) OnFailedAttempt(http::CallEnd::kInvalid);
    return;
  }
  if (event.id) last_event_ = event.id;
  if (!response_started_) StartStream();
  PinVersion();
  request_->Write(event.text);
  ++delivered_events_;
  owner_.StateOf(service_).scheduler.Charge(id(), 1, common::BootClock::now());
}

void Exchange::StartStream() {
  response_started_ = true;
  stream_media_type_ = MediaTypeOf(attempt_->head);
  http::ResponseHead head = attempt_->head;
  http::RemoveConnectionFields(head.headers);
  request_->StartStream(head);
}

bool Exchange::IsProgress(const StreamEvent& event) const {
  if (event.id) return !last_event_ || *event.id > *last_event_;
  // Without an id, an event of a numbered stream is a comment or a keep-alive.
  return !last_event_ && event.has_data;
}

void Exchange::OnEnd(http::CallEnd end) {
  const auto self = shared_from_this();
  const bool rejected =
      attempt_->has_head && (attempt_->facts.not_executed || attempt_->facts.is_misdirected);
  if (rejected) {
    OnRejectedAttempt(end == http::CallEnd::kComplete);
  } else if (end == http::CallEnd::kComplete) {
    OnCompleteResponse();
  } else {
    OnFailedAttempt(end);
  }
}

void Exchange::OnCompleteResponse() {
  const std::uint16_t status = attempt_->head.status;
  may_have_run_on_.insert(attempt_->backend_server);
  if (silent_attempt_) {
    if (!attempt_->began_at) {
      ReturnToSilentAttempt(AttemptResult::kSuccess);
      return;
    }
    GiveUpSilentAttempt();
  }
  if (attempt_->streaming) {
    if (!attempt_->events.incomplete_event().empty()) {
      OnFailedAttempt(http::CallEnd::kCutShort);
      return;
    }
    if (!response_started_) StartStream();
    // A response without length and events may also be that of a server that crashed.
    if (attempt_->event_count > 0 && attempt_->event_count < kSoundEvents) RecordSoundStart();
    request_->EndStream();
    ReleaseAttempt(AttemptResult::kSuccess);
    ObserveResponseTime();
    End(kAnsweredOutcome, status, "");
    return;
  }
  if (IsSuccess(status) && !IsDeliverable(attempt_->head, attempt_->facts)) {
    OnFailedAttempt(http::CallEnd::kInvalid);
    return;
  }
  if (IsSuccess(status)) RecordSoundStart();
  if ((IsServerError(status) || http::PromisesNotRun(status)) && retryable()) {
    const http::ResponseHead head = attempt_->head;
    BufferedBody body = std::move(attempt_->body);
    const common::BackendServerId backend_server = attempt_->backend_server;
    ReleaseAttempt(AttemptResult::kSuccess);
    if (TryRetry(/*may_have_run=*/true)) return;
    attempt_.emplace();
    attempt_->backend_server = backend_server;
    attempt_->head = head;
    attempt_->body = std::move(body);
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
  if (WithholdFalsePromise()) return;
  http::RemoveConnectionFields(head.headers);
  request_->Respond(head, attempt_->body.bytes());
  // An error status in the backend server's own response comes from the application and does not
  // show that the backend server is faulty.
  ReleaseAttempt(AttemptResult::kSuccess);
  if (IsSuccess(status)) ObserveResponseTime();
  End(kAnsweredOutcome, status, "");
}

bool Exchange::WithholdFalsePromise() {
  const std::uint16_t status = attempt_->head.status;
  if (!http::PromisesNotRun(status)) return false;
  owner_.log_.Warn(LogLine("false_promise_withheld")
                       .Add("request", facts_.id)
                       .Add("backend", attempt_->backend_server.value())
                       .Add("status", status)
                       .text());
  ReleaseAttempt(AttemptResult::kSuccess);
  Fail(kBadGateway, "false_promise",
       "the server answered with status " + std::to_string(status) +
           " and did not state that it has not run the request\n");
  return true;
}

void Exchange::ObserveResponseTime() {
  const common::Time arrived = request_->arrived_at();
  const common::Time now = common::BootClock::now();
  owner_.response_times_.Observe(class_id_, ExpectedOutput(),
                                 first_byte_at_.value_or(now) - arrived, now - arrived);
}

void Exchange::LogFailedAttempt(const Attempt& attempt, http::CallEnd end) const {
  owner_.log_.Warn(LogLine("attempt_failed")
                       .Add("request", facts_.id)
                       .Add("backend", attempt.backend_server.value())
                       .Add("version", attempt.server_version)
                       .Add("end", NameOf(end))
                       .Add("attempt", sent_attempts_)
                       .Add("after_ms", Millis(common::BootClock::now() - attempt.started_at))
                       .Add("status", attempt.has_head ? attempt.head.status : 0)
                       .Add("began", attempt.has_progress)
                       .Add("properties", JoinProperties(crash_properties_))
                       .text());
}

void Exchange::OnFailedAttempt(http::CallEnd end) {
  const bool sent = end != http::CallEnd::kNotSent;
  if (sent) may_have_run_on_.insert(attempt_->backend_server);
  owner_.metrics_.CountEvent(NameOf(end));
  LogFailedAttempt(*attempt_, end);
  const bool may_retry = RecordCrash(*attempt_, end);
  attempt_->connection->Close();
  if (!sent) owner_.placement_.OnNotSent(attempt_->backend_server);
  if (silent_attempt_) {
    if (!sent) owner_.retry_budget_.Refund(service_);
    ReturnToSilentAttempt(AttemptResult::kFailure);
    return;
  }
  ReleaseAttempt(AttemptResult::kFailure);
  if (may_retry && TryRetry(sent)) return;
  if (sent || response_started_ || !may_have_run_on_.empty()) {
    Fail(kBadGateway, NameOf(end));
  } else {
    Reject(kUnavailable, "backend_unreachable", RetryDelay());
  }
}

void Exchange::OnRejectedAttempt(bool complete) {
  http::ResponseHead head = attempt_->head;
  const BufferedBody body = std::move(attempt_->body);
  const bool other = attempt_->facts.is_misdirected;
  owner_.metrics_.CountEvent(other ? "other_backend" : "rejected");
  owner_.log_.Info(LogLine("attempt_rejected")
                       .Add("request", facts_.id)
                       .Add("backend", attempt_->backend_server.value())
                       .Add("status", head.status)
                       .Add("attempt", sent_attempts_)
                       .text());
  // The connection leads to a different server than the one it is pooled for.
  if (other) attempt_->connection->Close();
  const AttemptResult result = other ? AttemptResult::kFailure : AttemptResult::kFull;
  if (silent_attempt_) {
    ReturnToSilentAttempt(result);
    return;
  }
  ReleaseAttempt(result);
  last_attempt_rejected_ = true;
  if (TryRetry(/*may_have_run=*/false)) return;
  if (response_started_ || !may_have_run_on_.empty()) {
    Fail(kBadGateway, "rejected");
    return;
  }
  if (other || head.status == kMisdirected) {
    // The listed address belongs to another backend server now.
    Reject(kUnavailable, "backend_replaced", RetryDelay());
    return;
  }
  if (!complete) {
    // The part that has arrived must not look like the server's whole response.
    Reject(kUnavailable, "backend_rejected", RetryDelay());
    return;
  }
  http::RemoveConnectionFields(head.headers);
  if (head.status == kUnavailable) {
    // The server's own value is for this entry and does not apply to the service.
    head.headers.Set("Retry-After", owner_.options_.codec.format_retry_after(RetryDelay()));
  }
  const std::uint16_t status = head.status;
  request_->Respond(head, body.bytes());
  End("rejected", status, "backend_rejected");
}

void Exchange::OnCallerDisconnected(http::DisconnectCause cause) {
  if (state_ == State::kEnded) return;
  disconnected_ = true;
  if (state_ == State::kRunning && attempt_ && !retryable() &&
      route_->kind() == schema::CALL_KIND_ONCE) {
    // The backend server keeps running a call that is not retryable, so its outcome is logged.
    return;
  }
  if (attempt_) {
    RecordSilence(*attempt_);
    attempt_->connection->Close();
    ReleaseAttempt(AttemptResult::kInconclusive);
  }
  End("caller_gone", 0, NameOf(cause));
}

void Exchange::CheckTimeouts(common::Time now) {
  if (state_ == State::kHeld && now >= hold_until_) {
    Reject(kUnavailable, "no_configuration", kRetryAfterDelayWithoutConfiguration);
    return;
  }
  if (state_ == State::kUnconfirmed && now >= hold_until_) {
    Reject(kUnavailable, kUnconfirmedReason, kRetryAfterDelayWithoutConfiguration);
    return;
  }
  if (state_ == State::kLookUp && now >= look_up_until_) {
    Reject(kUnavailable, "stream_lookup_timeout", RetryDelay());
    return;
  }
  if (state_ == State::kListWait) {
    if (owner_.ListIsFrom(request_->arrived_at())) {
      ResumeUnknownStream();
    } else if (now >= look_up_until_) {
      Reject(kUnavailable, "list_not_current", RetryDelay());
    }
    return;
  }
  if ((state_ == State::kLookUp || state_ == State::kQueued || state_ == State::kWaiting) &&
      HasNotRun() && !EndsBeforeStop(now)) {
    Reject(kUnavailable, "stopping", kRetryAfterDelayOnStop);
    return;
  }
  if (state_ == State::kWaiting) {
    EndWait(now);
    return;
  }
  if (state_ != State::kRunning || !attempt_) return;
  if (attempt_->paused && request_->buffered_bytes() <= kMaxBufferedBytes) {
    attempt_->paused = false;
    attempt_->progress_at = now;
    attempt_->connection->PauseReading(false);
    if (!attempt_) return;
  }
  if (!attempt_->has_progress && now - attempt_->started_at > kLongPromptDelay) {
    owner_.placement_.ObservePromptDelay(attempt_->backend_server, now - attempt_->started_at, now);
  }
  if (attempt_->prompt_work > 0 && now - attempt_->started_at > milliseconds(route_->target_ms())) {
    // An unresponsive server must not use up the prompt limit that the other servers share.
    PromptsOf(*attempt_).Observe(true, kFirstEventWeight, now);
    ReleasePromptWork(*attempt_);
  }
  if (silent_attempt_ && attempt_->began_at && now - *attempt_->began_at > kMaxOverlap) {
    GiveUpSilentAttempt();
  }
  if (now < deadline_ && retryable() && attempt_->IsStalled(*route_, now)) {
    ReplaceSilentAttempt(now);
    return;
  }
  if (second_attempt_.due_at && now >= *second_attempt_.due_at) StartSecondAttempt(now);
  if (now < deadline_ + kDeadlineGracePeriod) return;
  RecordSilence(*attempt_);
  attempt_->connection->Close();
  may_have_run_on_.insert(attempt_->backend_server);
  ReleaseAttempt(AttemptResult::kFailure);
  Fail(kGatewayTimeout, "deadline");
}

milliseconds Exchange::RetryDelay() const {
  return owner_.RetryDelay(service_, tier_, common::BootClock::now());
}

void Exchange::Reject(std::uint16_t status, std::string_view reason,
                      std::optional<milliseconds> retry_after) {
  http::ResponseHead head{.status = status, .reason = {}, .headers = {}};
  if (retry_after) {
    head.headers.Add("Retry-After", owner_.options_.codec.format_retry_after(*retry_after));
  }
  request_->Respond(head, {});
  owner_.metrics_.CountRefusal(reason);
  // The outcome "rejected" denotes a backend server's rejection that is passed on to the caller.
  End("refused", status, reason);
}

void Exchange::Fail(std::uint16_t status, std::string_view reason, const std::string& body) {
  owner_.metrics_.CountRefusal(reason);
  if (response_started_) {
    request_->Abort();
  } else {
    http::ResponseHead head{.status = status, .reason = {}, .headers = {}};
    if (!body.empty()) head.headers.Add("Content-Type", "text/plain; charset=utf-8");
    request_->Respond(head, body);
  }
  End("failed", status, reason);
}

void Exchange::LogEnd(std::string_view outcome, std::uint16_t status,
                      std::string_view reason) const {
  const common::Time now = common::BootClock::now();
  // "sends" is the number of attempts; "first_ms" is the time from the arrival of the request to
  // the start of the response, or -1 if there was none; "events" counts those passed to the caller;
  // "max_gap_ms" is the longest time between two of them;
  // "silent_ms" is the time since the arrival of the request or the last progress of its last
  // attempt;
  // "list_age_ms" is the age of the list of backend servers.
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
      .Add("version", last_version_)
      .Add("resumed_after", facts_.last_event_id ? std::to_string(*facts_.last_event_id) : "")
      .Add("sends", sent_attempts_)
      .Add("queued_ms", Millis(queued_for_))
      .Add("first_ms", first_byte_at_ ? Millis(*first_byte_at_ - request_->arrived_at()) : -1)
      .Add("events", delivered_events_)
      .Add("max_gap_ms", Millis(max_gap_))
      .Add("silent_ms", Millis(now - (attempt_ ? attempt_->progress_at : last_progress_at_)))
      .Add("total_ms", Millis(now - request_->arrived_at()))
      .Add("config_index", owner_.table_index_.value());
  if (owner_.list_read_at_) line.Add("list_age_ms", Millis(now - *owner_.list_read_at_));
  if (outcome != kAnsweredOutcome) AddConfiguration(line, now);
  owner_.log_.Info(line.text());
}

void Exchange::AddConfiguration(LogLine& line, common::Time now) const {
  // "config_age_ms" is the time since the control members confirmed the configuration, or -1.
  const ControlView& control = owner_.control_view_;
  line.Add("config_versions", control.versions)
      .Add("config_age_ms", control.confirmed_at ? Millis(now - *control.confirmed_at) : -1)
      .Add("config_parent", control.parent);
  if (route_ != nullptr) return;
  const std::string* host = request_->head().headers.Find("Host");
  line.Add("host", host == nullptr ? std::string_view() : *host)
      .Add("path", request_->head().path());
}

void Exchange::End(std::string_view outcome, std::uint16_t status, std::string_view reason) {
  if (state_ == State::kEnded) return;
  const auto self = shared_from_this();
  state_ = State::kEnded;
  LogEnd(outcome, status, reason);
  if (silent_attempt_) ReleaseSilentAttempt(AttemptResult::kInconclusive);
  if (!service_.empty()) {
    Forwarder::ServiceState& state = owner_.StateOf(service_);
    if (in_scheduler_) {
      if (!state.scheduler.Cancel(id())) state.scheduler.Finish(id());
    }
    state.exchanges.erase(id());
    if (std::exchange(counted_as_stream_, false)) {
      state.gap_classes.OnEnded(GapTarget(), delivered_events_ > 1, common::BootClock::now());
    }
    boost::asio::post(owner_.loop_,
                      [&owner = owner_, service = service_] { owner.DispatchQueued(service); });
  }
  owner_.held_.erase(number_);
  owner_.unconfirmed_.erase(number_);
  owner_.stream_versions_.Withdraw(number_);
  owner_.exchanges_.erase(number_);
}

}  // namespace briarwood::forwarding::impl
