#include <algorithm>
#include <utility>

#include "briarwood/http/message.h"
#include "briarwood/observability/log_line.h"
#include "forwarding/impl/exchange.h"
#include "forwarding/impl/exchange_support.h"

namespace briarwood::forwarding::impl {

using observability::LogLine;

namespace {

/// Connecting within a region takes a few milliseconds. The kernel retransmits a lost SYN only
/// after a second, so another attempt is faster.
constexpr milliseconds kConnectTimeout{400};

/// Share of the first event's target that the engine may take; the rest is for the network and the
/// queue.
constexpr double kEngineTargetShare = 0.6;

}  // namespace

bool Exchange::StartAttempt(const common::BackendServerId& backend_server, common::Tier tier,
                            double work, common::Time now) {
  // A response cannot be told from an extra one to an earlier request if this request has no id, or
  // if it has been sent to the server before.
  const bool needs_new_connection = facts_.id.empty() || sent_to_.contains(backend_server);
  auto connection = owner_.pool_.Acquire(backend_server, now, needs_new_connection);
  if (connection == nullptr) {
    owner_.placement_.OnEnded(backend_server, tier, /*alone=*/false, work, memory_);
    owner_.placement_.OnNotSent(backend_server);
    owner_.placement_.OnFull(backend_server, /*alone=*/false, now);
    return false;
  }
  attempt_.emplace();
  attempt_->number = ++attempt_number_;
  attempt_->backend_server = backend_server;
  attempt_->server_lifetime = owner_.LifetimeOf(backend_server);
  attempt_->server_version = owner_.VersionOf(backend_server);
  attempt_->tier = tier;
  attempt_->started_at = now;
  attempt_->progress_at = now;
  attempt_->work = work;
  attempt_->connection = std::move(connection);
  attempt_->body = BufferedBody(owner_.buffered_body_bytes_);
  if (work > 1) {
    attempt_->prompt_work = work;
    attempt_->side = owner_.placement_.SideOf(service_, GapTarget());
    PromptsOf(*attempt_).OnSent(work);
  }
  if (sent_attempts_ == 0) ScheduleSecondAttempt(now);
  SendAttempt();
  return true;
}

void Exchange::SendAttempt() {
  const common::Time now = common::BootClock::now();
  ++sent_attempts_;
  sent_to_.insert(attempt_->backend_server);
  http::RequestHead head = request_->head();
  const bool has_body = head.headers.Find("Content-Length") != nullptr ||
                        head.headers.Find("Transfer-Encoding") != nullptr;
  http::RemoveConnectionFields(head.headers);
  const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - now);
  owner_.options_.codec.prepare_request(head, {.backend_server = attempt_->backend_server,
                                               .customer = customer_,
                                               .time_left = std::max(left, milliseconds(1)),
                                               .tier = tier_,
                                               .last_event_id = last_event_});
  attempt_->reused_connection = attempt_->connection->connected();
  const std::uint64_t attempt = attempt_->number;
  const auto self = shared_from_this();
  http::OutgoingHandlers handlers;
  handlers.on_head = [self, attempt](const http::ResponseHead& response) {
    return self->OnAttemptHead(attempt, response);
  };
  handlers.on_data = [self, attempt](std::string_view data) { self->OnAttemptData(attempt, data); };
  handlers.on_end = [self, attempt](http::CallEnd end) { self->OnAttemptEnd(attempt, end); };
  attempt_->connection->Send(
      http::SerializeRequest(head, request_->body()->size(), has_body), request_->body(),
      std::min(kConnectTimeout, std::max(left, milliseconds(1))), std::move(handlers));
}

bool Exchange::OnAttemptHead(std::uint64_t attempt, const http::ResponseHead& head) {
  // Closing the connection destroys the callback that holds the exchange.
  const auto self = shared_from_this();
  if (IsSilentAttempt(attempt)) return OnSilentAttemptHead(head);
  return !IsCurrent(attempt) || OnHead(head);
}

void Exchange::OnAttemptData(std::uint64_t attempt, std::string_view data) {
  const auto self = shared_from_this();
  if (IsSilentAttempt(attempt)) {
    OnSilentAttemptData(data);
  } else if (IsCurrent(attempt)) {
    OnData(data);
  }
}

void Exchange::OnAttemptEnd(std::uint64_t attempt, http::CallEnd end) {
  const auto self = shared_from_this();
  if (IsSilentAttempt(attempt)) {
    OnSilentAttemptEnd(end);
  } else if (IsCurrent(attempt)) {
    OnEnd(end);
  }
}

bool Exchange::IsCurrent(std::uint64_t attempt) const {
  return attempt_ && attempt_->number == attempt;
}

bool Exchange::IsSilentAttempt(std::uint64_t attempt) const {
  return silent_attempt_ && silent_attempt_->number == attempt;
}

bool Exchange::BelongsToRequest(const ResponseMetadata& facts, const Attempt& attempt) const {
  if (facts_.id.empty()) return true;
  // Servers name the request that they respond to. On a reused connection a response that names
  // none may be an extra response to the previous request.
  if (facts.request_id.empty()) return !attempt.reused_connection;
  return facts.request_id == facts_.id;
}

void Exchange::LogForeignResponse(const ResponseMetadata& facts, const Attempt& attempt) const {
  // "answers" is the id of the request that the response names.
  owner_.log_.Warn(LogLine("foreign_response")
                       .Add("request", facts_.id)
                       .Add("backend", attempt.backend_server.value())
                       .Add("answers", facts.request_id)
                       .text());
  owner_.metrics_.CountEvent("foreign_response");
}

void Exchange::RecordStatement(const ResponseMetadata& facts, const Attempt& attempt) {
  const routing::ServerStatement& statement = facts.statement;
  const bool changed = owner_.placement_.OnStatement(attempt.backend_server, statement,
                                                     attempt.started_at, common::BootClock::now());
  if (statement.leaving || statement.requests_per_second || statement.back_off) {
    owner_.OnLoadSign(service_, routing::LoadSign::kServerStatement, common::BootClock::now());
  }
  if (!changed) return;
  // Without a limit, the server has ended the one that it stated before.
  LogLine line("server_statement");
  line.Add("backend", attempt.backend_server.value())
      .Add("request", facts_.id)
      .Add("leaving", statement.leaving);
  if (statement.requests_per_second) line.Add("limit", *statement.requests_per_second);
  if (statement.back_off) line.Add("back_off_ms", Millis(*statement.back_off));
  owner_.log_.Info(line.text());
  owner_.metrics_.CountEvent("server_statement");
}

void Exchange::ReleasePromptWork(Attempt& attempt) {
  PromptsOf(attempt).OnDone(std::exchange(attempt.prompt_work, 0));
}

void Exchange::RecordProgress() {
  const common::Time now = common::BootClock::now();
  attempt_->progress_at = now;
  if (attempt_->has_progress) {
    if (attempt_->streaming && GapTarget() > milliseconds(0)) {
      const common::Duration gap = now - attempt_->last_event_at;
      const bool late = gap > GapTarget();
      if (late && max_gap_ <= GapTarget()) {
        owner_.StateOf(service_).gap_classes.OnLateGap(GapTarget(), now);
      }
      max_gap_ = std::max(max_gap_, gap);
      PromptsOf(*attempt_).Observe(late, 1, now);
    }
    attempt_->last_event_at = now;
    return;
  }
  attempt_->has_progress = true;
  attempt_->last_event_at = now;
  if (attempt_->prompt_work > 0) {
    const auto limit = common::FromSeconds(kEngineTargetShare *
                                           common::ToSeconds(milliseconds(route_->target_ms())));
    PromptsOf(*attempt_).Observe(now - attempt_->started_at > limit, kFirstEventWeight, now);
    owner_.placement_.ObservePromptDelay(attempt_->backend_server, now - attempt_->started_at, now);
  }
  ReleasePromptWork(*attempt_);
  if (!first_byte_at_) {
    first_byte_at_ = now;
    ObserveAnswerTime(now);
  }
  owner_.placement_.OnWorkDone(attempt_->backend_server, attempt_->work - 1);
  attempt_->work = 1;
  owner_.StateOf(service_).scheduler.ObserveFirstToken(
      facts_.prompt_tokens, common::BootClock::now() - attempt_->started_at);
  if (std::exchange(usage_counted_, true)) return;
  if (!customer_.value().empty()) owner_.options_.on_run_started(customer_);
}

void Exchange::ReleaseAttempt(AttemptResult result) {
  Release(*std::exchange(attempt_, std::nullopt), result);
}

void Exchange::Release(Attempt attempt, AttemptResult result) {
  const common::Time now = common::BootClock::now();
  ReleasePromptWork(attempt);
  last_progress_at_ = attempt.progress_at;
  if (attempt.connection == nullptr) return;
  last_backend_ = attempt.backend_server;
  last_version_ = attempt.server_version;
  owner_.placement_.OnEnded(attempt.backend_server, attempt.tier, /*alone=*/false, attempt.work,
                            memory_);
  switch (result) {
    case AttemptResult::kSuccess:
      owner_.placement_.OnSuccess(attempt.backend_server, now);
      break;
    case AttemptResult::kFailure:
      owner_.placement_.OnFailure(attempt.backend_server, now);
      break;
    case AttemptResult::kInconclusive:
      owner_.placement_.OnNoVerdict(attempt.backend_server);
      break;
    case AttemptResult::kFull:
      owner_.placement_.OnFull(attempt.backend_server, /*alone=*/false, now);
      owner_.OnLoadSign(service_, routing::LoadSign::kRejection, now);
      break;
  }
  owner_.pool_.Release(attempt.backend_server, attempt.connection, now);
}

}  // namespace briarwood::forwarding::impl
