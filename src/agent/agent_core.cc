#include "agent/impl/agent_core.h"

#include <algorithm>
#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/proposals/background_proposer.h"
#include "briarwood/requests/run_codec.h"

namespace briarwood::agent::impl {
namespace {

constexpr std::string_view kCredentialHeader = "Briarwood-Fleet-Credential";
// Weight of the latest gap in the moving average of token gaps.
constexpr double kTokenGapWeight = 0.1;
constexpr std::uint16_t kBadGateway = 502;

http::Response MakeResponse(http::Status status, const std::string& text) {
  return {
      .status = http::ToNumber(status), .headers = {{"Content-Type", "text/plain"}}, .body = text};
}

}  // namespace

AgentCore::AgentCore(AgentCoreOptions options) : options_(std::move(options)) {}

void AgentCore::Handle(const ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  if (request.path == "/healthz") {
    exchange->Respond(MakeResponse(http::Status::kOk, "ok\n"));
  } else if (request.path == "/readyz") {
    exchange->Respond(Ready() ? MakeResponse(http::Status::kOk, "ready\n")
                              : MakeResponse(http::Status::kUnavailable, "not ready\n"));
  } else if (!IsAuthorized(request)) {
    exchange->Respond(MakeResponse(http::Status::kUnauthorized, "fleet credential required\n"));
  } else if (request.method != "POST") {
    exchange->Respond(MakeResponse(http::Status::kMethodNotAllowed, "POST only\n"));
  } else if (request.path == "/internal/run") {
    HandleRun(exchange);
  } else if (request.path == "/internal/cancel") {
    HandleCancel(exchange);
  } else if (request.path == "/internal/order") {
    HandleOrder(exchange);
  } else {
    exchange->Respond(MakeResponse(http::Status::kNotFound, "no such path\n"));
  }
}

void AgentCore::SetBackend(const schema::BackendServer& backend) {
  backend_client_.SetBackend(backend);
  {
    const std::lock_guard lock(mutex_);
    configured_capacity_ = static_cast<std::uint32_t>(backend.max_concurrency());
  }
  runs_.SetCapacity(static_cast<std::uint32_t>(backend.max_concurrency()));
}

void AgentCore::SetDraining(bool draining) {
  {
    const std::lock_guard lock(mutex_);
    draining_ = draining;
  }
  UpdateLeaving();
}

void AgentCore::SetStopping() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  UpdateLeaving();
}

void AgentCore::UpdateLeaving() {
  bool leaving = false;
  {
    const std::lock_guard lock(mutex_);
    leaving = draining_ || stopping_;
  }
  runs_.SetLeaving(leaving);
}

void AgentCore::Tick(common::Time now) {
  for (const RunPtr& run : runs_.All()) {
    if (now < run->deadline()) continue;
    Cancel(run,
           MakeErrorEvent(schema::RUN_ERROR_CODE_DEADLINE,
                          run->has_output() ? schema::RUN_STATE_RAN : schema::RUN_STATE_UNKNOWN,
                          "the deadline of the request has passed"));
  }
  {
    const std::lock_guard lock(mutex_);
    if (probing_ || !backend_client_.backend()) return;
    probing_ = true;
  }
  backend_client_.Probe(
      [self = shared_from_this()](const ProbeResult& result) { self->HandleProbe(result); });
}

schema::LoadReport AgentCore::Load() const {
  schema::LoadReport load;
  load.set_backend_server(options_.backend_server);
  load.set_agent_incarnation(options_.incarnation.value());
  const common::Time now = common::BootClock::now();
  load.set_running(runs_.running());
  load.set_capacity(runs_.OfferedCapacity(now));
  load.set_leaving(runs_.leaving());
  for (const std::uint32_t count : runs_.OfferedPreemptible(now)) {
    load.add_preemptible_by_tier(count);
  }
  const bool configured = backend_client_.backend().has_value() && options_.fencing_token() != 0;
  const std::lock_guard lock(mutex_);
  load.set_healthy(healthy_ && configured);
  load.set_backend_incarnation(backend_incarnation_);
  load.set_token_gap_us(static_cast<std::uint32_t>(token_gap_us_));
  return load;
}

schema::LoadReport AgentCore::LoadFor(const Run& run) const {
  schema::LoadReport load = Load();
  const common::Incarnation entry(run.request().entry_incarnation());
  load.set_running_here_plus_one(runs_.RunningOf(entry) + 1);
  return load;
}

bool AgentCore::Ready() const {
  if (!backend_client_.backend() || options_.fencing_token() == 0) return false;
  const std::lock_guard lock(mutex_);
  return healthy_ && !stopping_;
}

common::Time AgentCore::LatestDeadline() const {
  common::Time latest;
  for (const RunPtr& run : runs_.All()) latest = std::max(latest, run->deadline());
  return latest;
}

bool AgentCore::IsAuthorized(const http::Request& request) const {
  return common::EqualConstantTime(http::FindHeader(request.headers, kCredentialHeader),
                                   options_.credential);
}

void AgentCore::HandleRun(const ExchangePtr& exchange) {
  std::optional<schema::RunRequest> request = requests::DecodeRunRequest(exchange->request().body);
  if (!request || request->request_id().empty() || request->path().empty()) {
    exchange->Respond(MakeResponse(http::Status::kBadRequest, "invalid run request\n"));
    return;
  }
  const common::Time now = common::BootClock::now();
  const auto run = std::make_shared<Run>(std::move(*request), exchange, now);
  exchange->StartStream(http::ToNumber(http::Status::kOk),
                        {{"Content-Type", "application/x-ndjson"}});
  const bool leaving = runs_.leaving();
  if (!leaving && !Ready()) {
    static_cast<void>(
        run->Finish(MakeErrorEvent(schema::RUN_ERROR_CODE_NOT_READY, schema::RUN_STATE_NOT_RUN,
                                   "the agent or its backend server is not ready"),
                    LoadFor(*run)));
    return;
  }
  Admission admission = runs_.Admit(run, now);
  if (admission.rejection) {
    static_cast<void>(run->Finish(std::move(*admission.rejection), LoadFor(*run)));
    return;
  }
  if (admission.preempted) {
    options_.metrics->CountEvent("preemption");
    Cancel(admission.preempted,
           MakeErrorEvent(schema::RUN_ERROR_CODE_PREEMPTED,
                          admission.preempted->has_output() ? schema::RUN_STATE_RAN
                                                            : schema::RUN_STATE_UNKNOWN,
                          "a request of a higher tier took the place"));
  }
  Forward(run);
}

void AgentCore::HandleCancel(const ExchangePtr& exchange) {
  const auto request = requests::DecodeCancelRequest(exchange->request().body);
  if (!request) {
    exchange->Respond(MakeResponse(http::Status::kBadRequest, "invalid cancel request\n"));
    return;
  }
  const RunPtr run = runs_.Find(
      MakeRunKey(request->request_id(), request->entry_incarnation(), request->attempt()));
  // A non-idempotent call continues, because cancelling it would make its outcome unknown.
  if (run && run->request().repeatable()) {
    Cancel(run,
           MakeErrorEvent(schema::RUN_ERROR_CODE_CANCELLED,
                          run->has_output() ? schema::RUN_STATE_RAN : schema::RUN_STATE_UNKNOWN,
                          "cancelled by the entry"));
  }
  exchange->Respond(MakeResponse(http::Status::kOk, "ok\n"));
}

void AgentCore::HandleOrder(const ExchangePtr& exchange) {
  schema::Order order;
  if (!order.ParseFromString(exchange->request().body)) {
    exchange->Respond(MakeResponse(http::Status::kBadRequest, "invalid order\n"));
    return;
  }
  const std::uint64_t fencing_token = options_.fencing_token();
  if (fencing_token == 0 || !backend_client_.backend()) {
    exchange->Respond(MakeResponse(http::Status::kUnavailable, "the fence is not known yet\n"));
    return;
  }
  // Checked for every backend server, because some ignore the fencing token.
  if (order.fence() < fencing_token) {
    options_.metrics->CountEvent("stale_order");
    log_.Warn("Rejected order " + std::to_string(order.id()) + " with stale fencing token " +
              std::to_string(order.fence()) + ".");
    exchange->Respond(MakeResponse(http::Status::kConflict, "stale fence\n"));
    return;
  }
  backend_client_.SendOrder(order, [exchange](std::uint16_t status) {
    exchange->Respond({.status = status == 0 ? kBadGateway : status});
  });
}

void AgentCore::Forward(const RunPtr& run) {
  schema::RunEvent accepted;
  accepted.mutable_accepted();
  static_cast<void>(run->Emit(std::move(accepted), LoadFor(*run)));
  const auto self = shared_from_this();
  backend_client_.SendRun(
      run,
      {.on_head =
           [self, run](std::uint16_t status, const http::Headers& headers) {
             const std::string type = http::FindHeader(headers, "Content-Type");
             self->HandleResponse(
                 run, std::visit([&](auto& response) { return response.OnHead(status, type); },
                                 run->response()));
           },
       .on_data =
           [self, run](std::string_view data) {
             self->HandleResponse(run,
                                  std::visit([&](auto& response) { return response.OnData(data); },
                                             run->response()));
           },
       .on_end = [self, run](
                     const http::CallOutcome& outcome) { self->HandleBackendEnd(run, outcome); }});
  run->OnEntryDisconnected([weak = weak_from_this(), weak_run = std::weak_ptr<Run>(run)] {
    const auto core = weak.lock();
    const auto locked_run = weak_run.lock();
    if (core && locked_run) core->OnDisconnect(locked_run);
  });
}

void AgentCore::HandleResponse(const RunPtr& run, ResponseEvents output) {
  for (std::size_t i = 0; i < output.events.size(); ++i) {
    const bool last = output.ended && i + 1 == output.events.size();
    if (last) {
      Finish(run, std::move(output.events[i]));
      return;
    }
    if (output.events[i].has_token()) RecordToken(*run);
    if (!run->Emit(std::move(output.events[i]), LoadFor(*run)) && !run->ended()) OnDisconnect(run);
  }
}

void AgentCore::HandleBackendEnd(const RunPtr& run, const http::CallOutcome& outcome) {
  if (run->ended()) return;
  ResponseEvents output =
      std::visit([&](auto& response) { return response.OnEnd(outcome); }, run->response());
  if (!output.events.back().has_error()) {
    HandleResponse(run, std::move(output));
    return;
  }
  ProbeAfterFailure(run, std::move(output.events.back()));
}

void AgentCore::Finish(const RunPtr& run, schema::RunEvent event) {
  // Removes the run first, so that the load report of the last event does not count it.
  static_cast<void>(runs_.Remove(run->key()));
  const schema::RunEvent last = event;
  if (run->Finish(std::move(event), LoadFor(*run))) Bill(*run, last);
}

void AgentCore::Bill(const Run& run, const schema::RunEvent& last) {
  const schema::RunRequest& request = run.request();
  schema::BillingRecord record;
  record.mutable_id()->set_entry_incarnation(request.entry_incarnation());
  record.mutable_id()->set_sequence(request.billing_sequence());
  record.mutable_id()->set_attempt(request.attempt());
  record.set_customer(request.customer());
  record.set_class_(request.class_());
  if (const auto backend = backend_client_.backend()) {
    record.set_model(request.streaming() ? backend->model() : backend->service());
  }
  record.set_output_tokens(run.tokens());
  if (last.has_end()) {
    const std::uint64_t counted = last.end().input_tokens();
    record.set_input_tokens(counted != 0 ? counted : request.input_tokens());
    record.set_calls(1);
  }
  record.set_ended_unix_ms(proposals::WallClockMillis());
  options_.bill(record);
}

void AgentCore::Cancel(const RunPtr& run, schema::RunEvent event) {
  Finish(run, std::move(event));
  run->CancelCall();
  backend_client_.SendCancel(*run);
}

void AgentCore::OnDisconnect(const RunPtr& run) {
  if (run->ended() || !run->request().repeatable()) return;
  options_.metrics->CountEvent("entry_gone");
  Cancel(run, MakeErrorEvent(schema::RUN_ERROR_CODE_CANCELLED, schema::RUN_STATE_UNKNOWN,
                             "the entry is gone"));
}

void AgentCore::RecordToken(const Run& run) {
  runs_.OnToken(run.key());
  const common::Time now = common::BootClock::now();
  const std::uint32_t running = std::max(runs_.running(), 1U);
  const std::lock_guard lock(mutex_);
  if (last_token_at_ != common::Time{}) {
    // Tokens of all runs interleave, so the gap of one stream is the observed gap multiplied by the
    // number of runs.
    const double gap_us = common::ToSeconds(now - last_token_at_) * 1e6 * running;
    token_gap_us_ += kTokenGapWeight * (std::min(gap_us, 1e7) - token_gap_us_);
  }
  last_token_at_ = now;
}

void AgentCore::ProbeAfterFailure(const RunPtr& run, schema::RunEvent event) {
  {
    const std::lock_guard lock(mutex_);
    interrupted_.emplace_back(run, std::move(event));
    if (probing_) return;
    probing_ = true;
  }
  backend_client_.Probe(
      [self = shared_from_this()](const ProbeResult& result) { self->HandleProbe(result); });
}

void AgentCore::HandleProbe(const ProbeResult& result) {
  std::vector<std::pair<RunPtr, schema::RunEvent>> interrupted;
  bool crashed = false;
  {
    const std::lock_guard lock(mutex_);
    probing_ = false;
    interrupted.swap(interrupted_);
    const std::uint64_t incarnation = result.load.incarnation;
    const bool restarted = result.state == ProbeResult::State::kAnswered && incarnation != 0 &&
                           backend_incarnation_ != 0 && incarnation != backend_incarnation_;
    crashed = (reachable_ && result.state == ProbeResult::State::kUnreachable) || restarted;
    healthy_ = result.state == ProbeResult::State::kAnswered;
    // A probe that fails in another way does not show whether the backend server is reachable.
    if (result.state != ProbeResult::State::kFailed) reachable_ = healthy_;
  }
  if (crashed) {
    HandleCrash(std::move(interrupted));
  } else {
    const bool unreachable = result.state == ProbeResult::State::kUnreachable;
    for (auto& [run, event] : interrupted) {
      if (unreachable && run->request().streaming()) {
        event.mutable_error()->set_code(schema::RUN_ERROR_CODE_BACKEND_CRASHED);
      }
      Finish(run, std::move(event));
    }
  }
  if (result.state == ProbeResult::State::kAnswered) ApplyLoad(result.load);
}

void AgentCore::HandleCrash(std::vector<std::pair<RunPtr, schema::RunEvent>> interrupted) {
  schema::RecordCrash crash;
  crash.set_backend_server(options_.backend_server);
  const auto did_not_run = [&interrupted](const RunPtr& run) {
    return std::any_of(interrupted.begin(), interrupted.end(), [&](const auto& item) {
      return item.first == run && item.second.error().run() == schema::RUN_STATE_NOT_RUN;
    });
  };
  for (const RunPtr& run : runs_.All()) {
    if (run->sent() && run->request().streaming() && !did_not_run(run)) {
      *crash.add_in_flight() = run->request().fingerprint();
    }
  }
  {
    const std::lock_guard lock(mutex_);
    ++crashes_;
    // For an engine that reports no incarnation, uses a number that no other crash has.
    crash.set_backend_incarnation(
        backend_incarnation_ != 0 ? backend_incarnation_ : options_.incarnation.value() + crashes_);
  }
  options_.metrics->CountEvent("backend_crash");
  log_.Warn("The backend server crashed with " + std::to_string(crash.in_flight_size()) +
            " requests in flight.");
  // Entries are notified after the crash is recorded, so that the suspects are known when they
  // propose trials.
  options_.report_crash(std::move(crash), [self = shared_from_this(),
                                           interrupted = std::move(interrupted)]() mutable {
    for (auto& [run, event] : interrupted) {
      event.mutable_error()->set_code(schema::RUN_ERROR_CODE_BACKEND_CRASHED);
      self->Finish(run, std::move(event));
    }
  });
}

void AgentCore::ApplyLoad(const requests::EngineLoad& load) {
  std::uint32_t capacity = 0;
  {
    const std::lock_guard lock(mutex_);
    if (load.incarnation != 0) backend_incarnation_ = load.incarnation;
    capacity = configured_capacity_;
  }
  // The configured capacity may exceed the capacity that the engine reports.
  if (load.capacity != 0) {
    capacity = capacity == 0 ? load.capacity : std::min(capacity, load.capacity);
  }
  runs_.SetCapacity(capacity);
}

}  // namespace briarwood::agent::impl
