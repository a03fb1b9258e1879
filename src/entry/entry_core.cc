#include "entry/impl/entry_core.h"

#include <algorithm>
#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/requests/caller_reply.h"

namespace briarwood::entry::impl {
namespace {

using requests::CallerError;
using requests::CallerErrorCode;

constexpr std::uint64_t kDefaultDeadlineMs = 300'000;
// Length of the prompt prefix by which requests are routed to engines that are likely to have it in
// their cache.
constexpr std::size_t kPrefixHashBytes = 1024;
// Approximate size of a token of text, for estimates made before an engine has counted the tokens.
constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
/// Requests held until the configuration is confirmed, and the time for which one is held.
constexpr std::size_t kMaxUnconfirmed = 512;
constexpr std::chrono::milliseconds kMaxHoldPeriod{2000};
/// Interval between requested confirmations, so that callers with unknown keys at most double the
/// syncs of an entry.
constexpr std::chrono::milliseconds kConfirmationInterval{250};

/// \returns true if another configuration may allow the request.
bool DependsOnConfiguration(requests::CallerErrorCode code) noexcept {
  return code == requests::CallerErrorCode::kKeyUnknown ||
         code == requests::CallerErrorCode::kClassNotAllowed ||
         code == requests::CallerErrorCode::kModelNotFound ||
         code == requests::CallerErrorCode::kRouteNotFound;
}

requests::CallerHttpRequest ToCallerRequest(const http::Request& request) {
  requests::CallerHttpRequest result{.method = request.method,
                                     .path = request.path,
                                     .query = request.query,
                                     .headers = {},
                                     .body = request.body};
  for (const auto& [name, value] : request.headers) result.headers.push_back({name, value});
  return result;
}

http::Response PlainText(http::Status status, std::string body) {
  return {.status = http::ToNumber(status),
          .headers = {{"Content-Type", "text/plain"}},
          .body = std::move(body)};
}

CallerError MakeError(CallerErrorCode code, std::string message) {
  return {.code = code, .message = std::move(message)};
}

bool MayUseClass(const schema::Customer& customer, const std::string& id) {
  const auto& allowed = customer.allowed_classes();
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), id) != allowed.end();
}

std::string AdapterName(const std::string& model, const std::string& adapter) {
  std::string name = model;
  name += ':';
  name += adapter;
  return name;
}

std::string LimitMessage(routing::LimitVerdict verdict) {
  switch (verdict) {
    case routing::LimitVerdict::kRequestRate:
      return "the customer's limit of requests per minute is reached";
    case routing::LimitVerdict::kTokenRate:
      return "the customer's limit of tokens per minute is reached";
    default:
      return "the customer's limit of concurrent requests is reached";
  }
}

}  // namespace

std::shared_ptr<EntryCore> EntryCore::Create(EntryCoreOptions options) {
  std::shared_ptr<EntryCore> core(new EntryCore(std::move(options)));
  core->MakeServices();
  return core;
}

void EntryCore::MakeServices() {
  const std::weak_ptr<EntryCore> weak = weak_from_this();
  auto services = std::make_shared<RequestServices>();
  services->incarnation = options_.incarnation;
  services->dispatcher = options_.dispatcher;
  services->agents = options_.agents;
  services->proposer = options_.proposer;
  services->metrics = options_.metrics;
  services->request_dispatch = [weak] {
    if (const auto core = weak.lock()) core->RequestDispatch();
  };
  services->notify_dropped = [weak](std::vector<routing::DroppedRequest> dropped) {
    const auto core = weak.lock();
    if (!core) return;
    core->tasks_.Post([weak, dropped = std::move(dropped)] {
      if (const auto owner = weak.lock()) owner->NotifyDropped(dropped);
    });
  };
  services->agent_address = [weak](const common::BackendServerId& id) -> std::string {
    const auto core = weak.lock();
    if (!core) return {};
    const auto directory = core->directory();
    const schema::BackendServer* backend = directory->FindBackend(id.value());
    if (backend == nullptr) return {};
    core->RecordUsedAgent(backend->agent_rpc_address());
    return backend->agent_address();
  };
  services->on_tokens = [weak](const common::CustomerId& customer, std::uint64_t tokens) {
    if (const auto core = weak.lock()) core->demand_.OnTokens(customer, tokens);
  };
  services->next_billing_sequence = [weak]() -> std::uint64_t {
    const auto core = weak.lock();
    return core ? core->next_billing_sequence_++ : 0;
  };
  services->bill = [usage = options_.usage](const schema::BillingRecord& record) {
    usage->Hold(record);
  };
  services->on_ended = [weak](const common::RequestId& id) {
    const auto core = weak.lock();
    if (!core) return;
    if (const auto request = core->requests_.Find(id)) {
      core->demand_.OnEnd(request->plan().customer);
    }
    core->requests_.Remove(id);
  };
  services_ = std::move(services);
}

void EntryCore::Handle(const ExchangePtr& exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/healthz") {
    exchange->Respond(PlainText(http::Status::kOk, "ok\n"));
    return;
  }
  if (path == "/readyz") {
    exchange->Respond(Ready() ? PlainText(http::Status::kOk, "ready\n")
                              : PlainText(http::Status::kUnavailable, "not ready\n"));
    return;
  }
  RequestPlan plan;
  plan.sequence = next_sequence_++;
  plan.arrived = common::BootClock::now();
  plan.id = common::RequestId("req-" + std::to_string(options_.incarnation.value()) + "-" +
                              std::to_string(plan.sequence));
  if (stopping_) {
    Reject(exchange, MakeError(CallerErrorCode::kStopping, "this entry is stopping"), plan.id);
    return;
  }
  HandleCaller(exchange, plan);
}

void EntryCore::HandleCaller(const ExchangePtr& exchange, const RequestPlan& plan) {
  const requests::CallerHttpRequest request = ToCallerRequest(exchange->request());
  const common::RequestId id = plan.id;
  const Checked<Caller> caller = Authenticate(request);
  if (!caller.ok()) {
    RejectOnceConfirmed(exchange, caller.error(), plan);
    return;
  }
  if (request.path == "/v1/models" && request.method == "GET") {
    ServeModels(exchange, id);
    return;
  }
  Checked<RequestPlan> planned = MakePlan(request, caller.value(), plan);
  if (!planned.ok()) {
    RejectOnceConfirmed(exchange, planned.error(), plan);
    return;
  }
  if (const auto rejection = Admit(planned.value())) {
    Reject(exchange, *rejection, id);
    return;
  }
  const auto live = std::make_shared<LiveRequest>(std::move(planned).value(), exchange, services_);
  requests_.Add(live);
  live->Start();
  // The key may have been withdrawn between authentication and the insertion into the table.
  if (!options_.replica->FindKey(live->plan().key_sha256_hex)) {
    live->Abort(CallerErrorCode::kKeyWithdrawn, "the key has been withdrawn");
  }
}

void EntryCore::RejectOnceConfirmed(const ExchangePtr& exchange, const requests::CallerError& error,
                                    const RequestPlan& plan) {
  const std::optional<common::Time> confirmed_at = options_.replica->freshness();
  const bool confirmed = confirmed_at && *confirmed_at >= plan.arrived;
  // A request without a readable key is refused by every configuration.
  if (confirmed || !DependsOnConfiguration(error.code) ||
      !requests::ExtractKey(ToCallerRequest(exchange->request())).ok()) {
    Reject(exchange, error, plan.id);
    return;
  }
  if (!Hold(exchange, plan)) {
    Reject(exchange,
           MakeError(stopping_ ? CallerErrorCode::kStopping : CallerErrorCode::kKeysStale,
                     "the configuration could not be confirmed"),
           plan.id);
  }
}

bool EntryCore::Hold(const ExchangePtr& exchange, const RequestPlan& plan) {
  const common::Time now = common::BootClock::now();
  bool request = false;
  {
    const std::lock_guard lock(mutex_);
    if (stopping_ || unconfirmed_.size() >= kMaxUnconfirmed ||
        now >= plan.arrived + kMaxHoldPeriod) {
      return false;
    }
    unconfirmed_.push_back(
        {.exchange = exchange, .plan = plan, .index = options_.replica->index()});
    request = now - confirmation_requested_at_ >= kConfirmationInterval;
    if (request) confirmation_requested_at_ = now;
  }
  if (request && options_.request_confirmation) options_.request_confirmation();
  return true;
}

void EntryCore::ReviewUnconfirmed(common::Time now) {
  const std::optional<common::Time> confirmed_at = options_.replica->freshness();
  const common::LogIndex index = options_.replica->index();
  std::vector<UnconfirmedRequest> due;
  bool request = false;
  {
    const std::lock_guard lock(mutex_);
    const auto waits = [&](const UnconfirmedRequest& one) {
      const bool confirmed = confirmed_at && *confirmed_at >= one.plan.arrived;
      return !confirmed && index == one.index && !stopping_ &&
             now < one.plan.arrived + kMaxHoldPeriod;
    };
    const auto first_due = std::stable_partition(unconfirmed_.begin(), unconfirmed_.end(), waits);
    due.assign(std::move_iterator(first_due), std::move_iterator(unconfirmed_.end()));
    unconfirmed_.erase(first_due, unconfirmed_.end());
    request = !unconfirmed_.empty() && now - confirmation_requested_at_ >= kConfirmationInterval;
    if (request) confirmation_requested_at_ = now;
  }
  if (request && options_.request_confirmation) options_.request_confirmation();
  for (const UnconfirmedRequest& one : due) HandleCaller(one.exchange, one.plan);
}

std::size_t EntryCore::in_flight() const {
  const std::lock_guard lock(mutex_);
  return requests_.size() + unconfirmed_.size();
}

EntryCore::Checked<EntryCore::Caller> EntryCore::Authenticate(
    const requests::CallerHttpRequest& request) const {
  using CallerResult = Checked<Caller>;
  const auto key = requests::ExtractKey(request);
  if (!key.ok()) return CallerResult::Failure(key.error());
  if (!KeysAreFresh(common::BootClock::now())) {
    return CallerResult::Failure(
        MakeError(CallerErrorCode::kKeysStale, "the key table is too old to be trusted"));
  }
  Caller caller;
  caller.key_sha256_hex = common::ToHex(common::Sha256(key.value()));
  const std::optional<schema::KeyRow> row = options_.replica->FindKey(caller.key_sha256_hex);
  if (!row) {
    return CallerResult::Failure(MakeError(CallerErrorCode::kKeyUnknown, "the key is not valid"));
  }
  const auto snapshot = directory();
  const schema::Customer* customer = snapshot->FindCustomer(row->customer());
  if (customer == nullptr) {
    return CallerResult::Failure(
        MakeError(CallerErrorCode::kKeyUnknown, "the customer of the key is not configured"));
  }
  caller.customer = *customer;
  return CallerResult::Success(std::move(caller));
}

EntryCore::Checked<RequestPlan> EntryCore::MakePlan(const requests::CallerHttpRequest& request,
                                                    const Caller& caller, RequestPlan plan) const {
  plan.customer = common::CustomerId(caller.customer.id());
  plan.key_sha256_hex = caller.key_sha256_hex;
  plan.run.set_customer(caller.customer.id());
  plan.queued.id = plan.id;
  plan.queued.customer = plan.customer;
  const bool chat = request.path == "/v1/chat/completions";
  if (chat || request.path == "/v1/completions") {
    if (request.method != "POST") {
      return Checked<RequestPlan>::Failure(
          MakeError(CallerErrorCode::kMethodNotAllowed, "use POST"));
    }
    return PlanCompletion(chat ? requests::CompletionKind::kChat : requests::CompletionKind::kText,
                          request, caller, std::move(plan));
  }
  const auto snapshot = directory();
  const schema::Route* route = snapshot->FindRoute(request.path);
  if (route == nullptr) {
    return Checked<RequestPlan>::Failure(
        MakeError(CallerErrorCode::kRouteNotFound, "there is no such path"));
  }
  return PlanRoute(*route, request, caller, std::move(plan));
}

EntryCore::Checked<RequestPlan> EntryCore::PlanCompletion(
    requests::CompletionKind kind, const requests::CallerHttpRequest& request, const Caller& caller,
    RequestPlan plan) const {
  using PlanResult = Checked<RequestPlan>;
  auto parsed = requests::ParseCompletion(kind, request.body);
  if (!parsed.ok()) return PlanResult::Failure(parsed.error());
  requests::CompletionRequest& completion = parsed.value();
  const auto snapshot = directory();
  const schema::Model* model =
      snapshot->FindModel(completion.model.value(), plan.queued.capability.adapter);
  if (model == nullptr) {
    return PlanResult::Failure(
        MakeError(CallerErrorCode::kModelNotFound, "there is no such model"));
  }
  if (auto error = SetClass(completion.request_class.value(), caller.customer, plan)) {
    return PlanResult::Failure(std::move(*error));
  }
  plan.queued.capability.model = common::ModelId(model->id());
  const std::string_view prompt = completion.prompt;
  plan.queued.prefix_hash = common::Hash64(prompt.substr(0, kPrefixHashBytes));
  plan.queued.input_tokens = completion.prompt.size() / kBytesPerToken + 1;
  plan.queued.expected_output_tokens = options_.dispatcher->EstimateOutput(
      plan.customer, plan.queued.class_id, plan.queued.capability.model);
  if (completion.max_tokens != 0) {
    plan.queued.expected_output_tokens =
        std::min(plan.queued.expected_output_tokens, static_cast<double>(completion.max_tokens));
  }
  plan.estimated_tokens =
      static_cast<double>(plan.queued.input_tokens) + plan.queued.expected_output_tokens;
  plan.streamed = completion.streamed;
  plan.completion.emplace(kind, plan.id, completion.model, proposals::WallClockMillis() / 1000);
  plan.run.set_streaming(true);
  plan.run.set_repeatable(true);
  plan.run.set_method("POST");
  plan.run.set_path("/v1/completions");
  plan.run.set_content_type("application/json");
  plan.run.set_input_tokens(plan.queued.input_tokens);
  plan.run.set_body(std::move(completion.engine_body));
  *plan.run.mutable_fingerprint() =
      requests::MakeFingerprint(plan.customer, completion.model.value(), plan.run.body());
  if (auto error = CheckSuspect(plan)) return PlanResult::Failure(std::move(*error));
  return PlanResult::Success(std::move(plan));
}

EntryCore::Checked<RequestPlan> EntryCore::PlanRoute(const schema::Route& route,
                                                     const requests::CallerHttpRequest& request,
                                                     const Caller& caller, RequestPlan plan) const {
  using PlanResult = Checked<RequestPlan>;
  const auto& methods = route.methods();
  if (!methods.empty() &&
      std::find(methods.begin(), methods.end(), request.method) == methods.end()) {
    return PlanResult::Failure(
        MakeError(CallerErrorCode::kMethodNotAllowed, "the path does not take this method"));
  }
  if (route.max_body_bytes() != 0 && request.body.size() > route.max_body_bytes()) {
    return PlanResult::Failure(
        MakeError(CallerErrorCode::kBodyTooLarge,
                  "the body is larger than " + std::to_string(route.max_body_bytes()) + " bytes"));
  }
  if (auto error = SetClass(route.class_(), caller.customer, plan)) {
    return PlanResult::Failure(std::move(*error));
  }
  plan.queued.capability.service = route.service();
  plan.queued.expected_output_tokens = 1;
  plan.run.set_repeatable(route.repeatable());
  plan.run.set_method(request.method);
  plan.run.set_path(request.query.empty() ? request.path : request.path + "?" + request.query);
  plan.run.set_content_type(std::string(requests::FindHeader(request.headers, "Content-Type")));
  plan.run.set_accept(std::string(requests::FindHeader(request.headers, "Accept")));
  plan.run.set_body(request.body);
  *plan.run.mutable_fingerprint() =
      requests::MakeFingerprint(plan.customer, route.path(), request.body);
  if (route.repeatable()) return PlanResult::Success(std::move(plan));
  const std::string key(requests::FindHeader(request.headers, "Idempotency-Key"));
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) {
    return PlanResult::Failure(
        MakeError(CallerErrorCode::kIdempotencyKeyMissing,
                  "this call needs an Idempotency-Key header of 1 to 256 bytes"));
  }
  // The id includes the customer, so that equal keys of different customers do not collide.
  plan.run.set_idempotency_id(
      common::ToHex(common::Sha256(caller.customer.id() + std::string(1, '\0') + key)));
  plan.identity = requests::CallIdentity{
      .customer = plan.customer,
      .idempotency_key = key,
      .request_sha256 = requests::RequestDigest(request.method, plan.run.path(), request.body),
      .entry = options_.incarnation,
      .sequence = plan.sequence};
  return PlanResult::Success(std::move(plan));
}

std::optional<CallerError> EntryCore::SetClass(const std::string& requested_class,
                                               const schema::Customer& customer,
                                               RequestPlan& plan) const {
  const std::string& id = requested_class.empty() ? customer.default_class() : requested_class;
  const auto snapshot = directory();
  const schema::RequestClass* request_class = snapshot->FindClass(id);
  if (request_class == nullptr || !MayUseClass(customer, id)) {
    return MakeError(CallerErrorCode::kClassNotAllowed, "the customer may not use this class");
  }
  const std::uint64_t deadline_ms =
      request_class->deadline_ms() == 0 ? kDefaultDeadlineMs : request_class->deadline_ms();
  plan.deadline = plan.arrived + std::chrono::milliseconds(deadline_ms);
  plan.queued.class_id = common::ClassId(id);
  plan.queued.deadline = plan.deadline;
  if (request_class->first_token_target_ms() != 0) {
    plan.queued.first_token_deadline =
        plan.arrived + std::chrono::milliseconds(request_class->first_token_target_ms());
  }
  plan.run.set_class_(id);
  plan.run.set_tier(request_class->tier());
  return std::nullopt;
}

std::optional<CallerError> EntryCore::CheckSuspect(RequestPlan& plan) const {
  const auto snapshot = directory();
  const schema::SuspectRow* row = snapshot->FindSuspect(requests::ToRowId(plan.run.fingerprint()));
  if (row == nullptr || row->expires_unix_ms() <= proposals::WallClockMillis()) {
    return std::nullopt;
  }
  if (row->proven()) {
    return MakeError(CallerErrorCode::kRequestCrashesEngines,
                     "the request has crashed two engines and is refused for an hour");
  }
  plan.suspect = true;
  return std::nullopt;
}

std::optional<CallerError> EntryCore::Admit(const RequestPlan& plan) {
  const common::Time now = common::BootClock::now();
  const routing::LimitDecision decision =
      options_.dispatcher->TryAdmit(plan.customer, plan.estimated_tokens, now);
  if (decision.verdict != routing::LimitVerdict::kAdmitted) {
    CallerError error = MakeError(CallerErrorCode::kRateLimited, LimitMessage(decision.verdict));
    error.retry_after = std::max(std::chrono::ceil<std::chrono::seconds>(decision.retry_after),
                                 std::chrono::seconds(1));
    return error;
  }
  options_.dispatcher->OnRequest(plan.queued.class_id, now);
  demand_.OnRequest(plan.customer);
  return std::nullopt;
}

void EntryCore::ServeModels(const ExchangePtr& exchange, const common::RequestId& id) const {
  const auto snapshot = directory();
  std::vector<std::string> names;
  for (const auto& [name, model] : snapshot->models()) {
    names.push_back(name);
    for (const std::string& adapter : model.adapters()) names.push_back(AdapterName(name, adapter));
  }
  exchange->Respond(
      {.status = http::ToNumber(http::Status::kOk),
       .headers = {{"Content-Type", "application/json"}, {"Briarwood-Request-Id", id.value()}},
       .body = requests::ModelList(names)});
}

void EntryCore::Reject(const ExchangePtr& exchange, const CallerError& error,
                       const common::RequestId& id) const {
  options_.metrics->CountRefusal(requests::CodeName(error.code));
  http::Headers headers = {{"Content-Type", "application/json"},
                           {"Briarwood-Request-Id", id.value()}};
  const std::uint16_t status = requests::HttpStatus(error.code);
  if (error.retry_after) {
    headers["Retry-After"] = std::to_string(error.retry_after->count());
  } else if (status == http::ToNumber(http::Status::kUnavailable)) {
    headers["Retry-After"] = "1";
  }
  if (error.code == CallerErrorCode::kStopping) headers["Connection"] = "close";
  exchange->Respond(
      {.status = status, .headers = std::move(headers), .body = requests::ToJson(error, id)});
}

void EntryCore::OnRows(const std::vector<distribution::RowTable::RowKey>& changed) {
  bool rows_changed = false;
  for (const auto& [kind, id] : changed) {
    if (kind != schema::ROW_KIND_KEY) {
      rows_changed = true;
      continue;
    }
    if (options_.replica->FindKey(id)) continue;
    for (const LiveTable::RequestPtr& request : requests_.WithKey(id)) {
      request->Abort(CallerErrorCode::kKeyWithdrawn, "the key has been withdrawn");
    }
  }
  if (!rows_changed) return;
  std::shared_ptr<const Directory> updated = Directory::Build(*options_.replica);
  options_.dispatcher->Configure(*updated, common::BootClock::now());
  {
    const std::lock_guard lock(mutex_);
    directory_ = std::move(updated);
  }
  RequestDispatch();
}

void EntryCore::Tick(common::Time now) {
  ReviewUnconfirmed(now);
  const bool stale = !KeysAreFresh(now);
  for (const LiveTable::RequestPtr& request : requests_.All()) {
    request->Tick(now);
    // Without updates, this entry would not be notified of a withdrawn key.
    if (stale) {
      request->Abort(CallerErrorCode::kKeysStale, "the key table is too old to be trusted");
    }
  }
  RequestDispatch();
}

common::Time EntryCore::LatestDeadline() const {
  common::Time latest;
  for (const LiveTable::RequestPtr& request : requests_.All()) {
    latest = std::max(latest, request->plan().deadline);
  }
  return latest;
}

std::set<std::string> EntryCore::TakeUsedAgents() {
  const std::lock_guard lock(mutex_);
  return std::exchange(used_agents_, {});
}

void EntryCore::RecordUsedAgent(const std::string& rpc_address) {
  if (rpc_address.empty()) return;
  const std::lock_guard lock(mutex_);
  used_agents_.insert(rpc_address);
}

bool EntryCore::Ready() const { return !stopping_ && KeysAreFresh(common::BootClock::now()); }

bool EntryCore::KeysAreFresh(common::Time now) const {
  const std::optional<common::Time> freshness = options_.replica->freshness();
  return freshness && now - *freshness < options_.max_key_age;
}

std::shared_ptr<const Directory> EntryCore::directory() const {
  const std::lock_guard lock(mutex_);
  return directory_;
}

void EntryCore::RequestDispatch() {
  if (dispatch_requested_.exchange(true)) return;
  tasks_.Post([weak = weak_from_this()] {
    if (const auto core = weak.lock()) core->RunDispatch();
  });
}

void EntryCore::RunDispatch() {
  dispatch_requested_ = false;
  const DispatchRound round = options_.dispatcher->Next(common::BootClock::now());
  for (const PlacedRequest& placed : round.placed) {
    if (const auto request = requests_.Find(placed.id)) {
      request->OnPlaced(placed);
    } else {
      options_.dispatcher->EndAttempt(placed.id, AttemptOutcome::kInconclusive,
                                      common::BootClock::now());
      options_.dispatcher->Finish(placed.id);
    }
  }
  NotifyDropped(round.dropped);
}

void EntryCore::NotifyDropped(const std::vector<routing::DroppedRequest>& dropped) {
  for (const routing::DroppedRequest& item : dropped) {
    if (const auto request = requests_.Find(item.request.id)) request->OnDropped(item.reason);
  }
}

}  // namespace briarwood::entry::impl
