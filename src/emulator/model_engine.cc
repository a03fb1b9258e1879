#include "briarwood/emulator/model_engine.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "emulator/impl/completion.h"
#include "emulator/impl/json.h"
#include "emulator/impl/load_history.h"
#include "emulator/impl/request_watch.h"
#include "emulator/impl/restartable_server.h"

namespace briarwood::emulator {
namespace {

using impl::CompletionOutput;
using impl::CompletionRequest;
using impl::ErrorResponse;
using impl::JsonResponse;
using ExchangePtr = std::shared_ptr<http::Exchange>;

constexpr std::size_t kMaxEventsPerResponse = 1000;

}  // namespace

class ModelEngine::Impl {
 public:
  explicit Impl(const ModelEngineOptions& options)
      : options_(options),
        server_([this](const ExchangePtr& exchange) { Handle(exchange); }),
        batch_(options.batch),
        cache_(options.cache),
        orders_(options.checks_fencing_token),
        history_(options.load_lag) {}

  ~Impl() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) thread_.join();
    AbortResponses();
    server_.Stop();
  }

  common::Result<std::uint16_t> Start() {
    auto port = server_.Start(options_.listen);
    if (port.ok()) thread_ = std::thread([this] { Run(); });
    return port;
  }

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  [[nodiscard]] bool up() const { return server_.up(); }

  [[nodiscard]] ModelEngineCounters counters() const {
    const std::lock_guard lock(mutex_);
    ModelEngineCounters counters = counters_;
    counters.orders_accepted = orders_.accepted();
    counters.watched_text_seen = watch_.seen();
    return counters;
  }

  [[nodiscard]] std::vector<EngineOrder> orders() const {
    const std::lock_guard lock(mutex_);
    return orders_.received();
  }

  void SetSlowFactor(double factor) {
    const std::lock_guard lock(mutex_);
    slow_factor_ = factor;
  }

  void CrashAfterReading() {
    const std::lock_guard lock(mutex_);
    crash_after_reading_ = true;
  }

  void Crash() {
    {
      const std::lock_guard lock(mutex_);
      if (!crashed_) crash_requested_ = true;
    }
    changed_.notify_all();
  }

  void Restart() {
    {
      const std::lock_guard lock(mutex_);
      restart_requested_ = true;
    }
    changed_.notify_all();
  }

  void WatchFor(const std::string& text) { watch_.WatchFor(text); }

 private:
  void Handle(const ExchangePtr& exchange) {
    const http::Request& request = exchange->request();
    watch_.Inspect(request);
    const std::string route = request.method + " " + request.path;
    if (route == "POST /v1/completions" || route == "POST /v1/chat/completions") {
      HandleCompletion(exchange);
    } else if (route == "POST /cancel") {
      HandleCancel(*exchange);
    } else if (route == "GET /load") {
      exchange->Respond(Load());
    } else if (route == "GET /events") {
      exchange->Respond(Events(request.query));
    } else if (route == "POST /orders") {
      exchange->Respond(HandleOrder(request.body));
    } else if (route == "GET /emulator") {
      exchange->Respond(Counters());
    } else if (route == "POST /emulator") {
      exchange->Respond(SetFaults(request.body));
    } else {
      exchange->Respond(ErrorResponse(http::Status::kNotFound, "not_found"));
    }
  }

  void HandleCompletion(const ExchangePtr& exchange) {
    auto parsed = impl::ParseCompletion(exchange->request().body);
    if (!parsed.ok()) {
      exchange->Respond(ErrorResponse(http::Status::kBadRequest, parsed.error()));
      return;
    }
    CompletionRequest request = std::move(parsed).value();
    const std::lock_guard lock(mutex_);
    ++counters_.completions_received;
    if (crashed_ || crash_requested_ || std::exchange(crash_after_reading_, false)) {
      server_.Hold(exchange);
      if (!crashed_) crash_requested_ = true;
      changed_.notify_all();
      return;
    }
    const std::string rejection = Admit(request, exchange);
    if (rejection.empty()) return;
    ++counters_.completions_rejected;
    exchange->Respond(ErrorResponse(
        rejection == "model_not_loaded" ? http::Status::kNotFound : http::Status::kUnavailable,
        rejection));
  }

  /// \returns the error code of a rejection, or an empty string. Called with the lock held.
  std::string Admit(CompletionRequest& request, const ExchangePtr& exchange) {
    const auto& models = options_.models;
    if (!models.empty() && std::find(models.begin(), models.end(), request.model) == models.end() &&
        request.model != loaded_model_) {
      return "model_not_loaded";
    }
    if (request.request_id.empty()) request.request_id = "own-" + std::to_string(next_id_++);
    if (request.max_tokens == 0) request.max_tokens = options_.default_max_tokens;
    const std::uint64_t end =
        ResponseLength(request.prompt, options_.natural_length, request.max_tokens);
    if (request.resume_from >= end) request.resume_from = end - 1;
    const std::uint64_t cached = cache_.Use(request.prompt, Now());
    const std::uint64_t input = CountTokens(request.prompt) + request.resume_from;
    const std::string id = request.request_id;
    if (!batch_.Add({.id = id,
                     .priority = request.priority,
                     .prefill_tokens = input - std::min(input, cached),
                     .first_token = request.resume_from,
                     .end_token = end})) {
      return "full";
    }
    responses_.emplace(id, std::make_shared<CompletionOutput>(std::move(request), end, exchange));
    changed_.notify_all();
    return {};
  }

  void HandleCancel(http::Exchange& exchange) {
    const std::optional<Json::Value> body = impl::ReadObject(exchange.request().body);
    if (!body || !(*body)["request_id"].isString()) {
      exchange.Respond(ErrorResponse(http::Status::kBadRequest, "invalid_json"));
      return;
    }
    const std::string id = (*body)["request_id"].asString();
    std::shared_ptr<CompletionOutput> response;
    {
      const std::lock_guard lock(mutex_);
      if (batch_.Cancel(id)) {
        ++counters_.cancelled;
        response = responses_[id];
        responses_.erase(id);
      }
    }
    if (response) response->WriteCancelled();
    Json::Value result;
    result["cancelled"] = response != nullptr;
    exchange.Respond(JsonResponse(http::Status::kOk, result));
  }

  http::Response Load() {
    const std::lock_guard lock(mutex_);
    const common::Time now = Now();
    const impl::LoadSample sample = history_.DelayedSample(now);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - sample.at);
    Json::Value body;
    body["running"] = Json::UInt64{sample.running};
    body["waiting"] = Json::UInt64{sample.waiting};
    body["capacity"] = Json::UInt64{options_.batch.capacity};
    body["token_gap_us"] = Json::UInt64{sample.token_gap_us};
    body["age_ms"] = Json::Int64{age.count()};
    body["incarnation"] = Json::UInt64{incarnation_};
    return JsonResponse(http::Status::kOk, body);
  }

  http::Response Events(std::string_view query) {
    const std::lock_guard lock(mutex_);
    Json::Value body;
    body["incarnation"] = Json::UInt64{incarnation_};
    body["events"] = Json::Value(Json::arrayValue);
    const std::uint64_t since = impl::QueryCount(query, "since").value_or(0);
    for (const CacheEvent& event : cache_.EventsSince(since, kMaxEventsPerResponse, Now())) {
      Json::Value item;
      item["sequence"] = Json::UInt64{event.sequence};
      item["type"] = event.stored ? "stored" : "removed";
      // Written as a string, because not every JSON parser represents 64-bit integers exactly.
      item["block"] = std::to_string(event.block);
      body["events"].append(item);
    }
    return JsonResponse(http::Status::kOk, body);
  }

  http::Response HandleOrder(std::string_view text) {
    const std::optional<Json::Value> body = impl::ReadObject(text);
    if (!body) return ErrorResponse(http::Status::kBadRequest, "invalid_json");
    const auto id = impl::ReadCount(*body, "id", 0);
    const auto fencing_token = impl::ReadCount(*body, "fence", 0);
    const auto expires = impl::ReadCount(*body, "expires_unix_ms", 0);
    if (!id || !fencing_token || !expires) {
      return ErrorResponse(http::Status::kBadRequest, "invalid_number");
    }
    const EngineOrder order{.id = *id,
                            .fencing_token = *fencing_token,
                            .kind = impl::ReadText(*body, "kind"),
                            .model = impl::ReadText(*body, "model"),
                            .model_version = impl::ReadText(*body, "model_version"),
                            .adapter = impl::ReadText(*body, "adapter"),
                            .role = impl::ReadText(*body, "role"),
                            .expires_unix_ms = *expires};
    return DecideOrder(order);
  }

  http::Response DecideOrder(const EngineOrder& order) {
    const std::lock_guard lock(mutex_);
    switch (orders_.Decide(order, impl::UnixMillisNow())) {
      case OrderDecision::kStaleToken:
        return ErrorResponse(http::Status::kConflict, "stale_fence");
      case OrderDecision::kExpired:
        return ErrorResponse(http::Status::kConflict, "expired");
      case OrderDecision::kAccepted:
        break;
    }
    if (order.kind == "load_model") loaded_model_ = order.model;
    Json::Value body;
    body["id"] = Json::UInt64{order.id};
    body["state"] = "accepted";
    return JsonResponse(http::Status::kOk, body);
  }

  http::Response Counters() {
    const ModelEngineCounters counters = this->counters();
    Json::Value body;
    body["completions_received"] = Json::UInt64{counters.completions_received};
    body["completions_finished"] = Json::UInt64{counters.completions_finished};
    body["completions_refused"] = Json::UInt64{counters.completions_rejected};
    body["cancelled"] = Json::UInt64{counters.cancelled};
    body["tokens"] = Json::UInt64{counters.tokens};
    body["crashes"] = Json::UInt64{counters.crashes};
    body["orders_accepted"] = Json::UInt64{counters.orders_accepted};
    body["watched_text_seen"] = Json::UInt64{counters.watched_text_seen};
    return JsonResponse(http::Status::kOk, body);
  }

  http::Response SetFaults(std::string_view text) {
    const std::optional<Json::Value> body = impl::ReadObject(text);
    if (!body) return ErrorResponse(http::Status::kBadRequest, "invalid_json");
    const Json::Value& slow = (*body)["slow_factor"];
    if (slow.isNumeric() && slow.asDouble() > 0) SetSlowFactor(slow.asDouble());
    if ((*body)["die_after_reading"].isBool() && (*body)["die_after_reading"].asBool()) {
      CrashAfterReading();
    }
    if ((*body)["watch_for"].isString()) WatchFor((*body)["watch_for"].asString());
    if ((*body)["crash"].isBool() && (*body)["crash"].asBool()) Crash();
    return Counters();
  }

  /// Steps the batch until the engine is destroyed.
  void Run() {
    std::unique_lock lock(mutex_);
    common::Time next = Now();
    while (!stopping_) {
      if (crash_requested_) {
        HandleCrash(lock);
        next = Now();
      } else if (batch_.idle()) {
        history_.Add({.at = Now()});
        changed_.wait(lock, [this] { return stopping_ || crash_requested_ || !batch_.idle(); });
        next = Now();
      } else {
        const common::Duration step = StepTime();
        next = std::max(next + step, Now());
        if (changed_.wait_until(lock, next, [this] { return stopping_ || crash_requested_; })) {
          continue;
        }
        Step(lock, step);
      }
    }
  }

  [[nodiscard]] common::Duration StepTime() const {
    const auto sequences = static_cast<std::int64_t>(
        std::min(batch_.running() + batch_.waiting(), options_.batch.capacity));
    const std::chrono::duration<double, std::micro> time =
        options_.token_time + options_.token_time_per_sequence * sequences;
    return std::chrono::duration_cast<common::Duration>(time * slow_factor_);
  }

  void Step(std::unique_lock<std::mutex>& lock, common::Duration step) {
    const std::vector<EmittedToken> tokens = batch_.Step();
    const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(step);
    history_.Add({.at = Now(),
                  .running = batch_.running(),
                  .waiting = batch_.waiting(),
                  .token_gap_us = static_cast<std::uint64_t>(gap.count())});
    std::vector<std::pair<std::shared_ptr<CompletionOutput>, EmittedToken>> writes;
    writes.reserve(tokens.size());
    for (const EmittedToken& token : tokens) {
      const std::shared_ptr<CompletionOutput> response = responses_[token.id];
      const bool marked =
          !options_.crash_marker.empty() &&
          response->request().prompt.find(options_.crash_marker) != std::string::npos;
      if (marked) crash_requested_ = true;
      writes.emplace_back(response, token);
      if (token.last) responses_.erase(token.id);
    }
    if (crash_requested_) return;
    // Counted before the responses are written: a caller may read the counters once it has its
    // response.
    for (const EmittedToken& token : tokens) counters_.completions_finished += token.last ? 1 : 0;
    counters_.tokens += tokens.size();
    lock.unlock();
    std::vector<std::string> disconnected;
    for (const auto& [response, token] : writes) {
      if (!response->Write(token.index, token.last)) disconnected.push_back(token.id);
    }
    lock.lock();
    for (const std::string& id : disconnected) {
      if (!batch_.Cancel(id)) continue;
      ++counters_.cancelled;
      responses_.erase(id);
    }
  }

  void HandleCrash(std::unique_lock<std::mutex>& lock) {
    crash_requested_ = false;
    restart_requested_ = false;
    crashed_ = true;
    static_cast<void>(batch_.Clear());
    lock.unlock();
    if (options_.on_crash) options_.on_crash();
    AbortResponses();
    server_.Stop();
    lock.lock();
    ++counters_.crashes;
    const auto restart_or_stop = [this] { return stopping_ || restart_requested_; };
    if (options_.restart_delay.count() == 0) {
      changed_.wait(lock, restart_or_stop);
    } else {
      changed_.wait_for(lock, options_.restart_delay, restart_or_stop);
    }
    if (stopping_) return;
    RestartAfterCrash();
  }

  /// Called with the lock held. No request arrives before the server listens again.
  void RestartAfterCrash() {
    ++incarnation_;
    cache_ = PrefixCache(options_.cache);
    crashed_ = false;
    // The start fails if another process has bound the port since the crash; the engine then stays
    // down.
    if (!server_.Start(options_.listen).ok()) crashed_ = true;
  }

  void AbortResponses() {
    std::map<std::string, std::shared_ptr<CompletionOutput>> responses;
    {
      const std::lock_guard lock(mutex_);
      responses.swap(responses_);
    }
    for (const auto& [id, response] : responses) {
      if (response->request().stream) {
        response->Abort();
      } else {
        server_.Hold(response->exchange());
      }
    }
  }

  [[nodiscard]] static common::Time Now() { return common::BootClock::now(); }

  ModelEngineOptions options_;
  impl::RestartableServer server_;
  impl::RequestWatch watch_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  ContinuousBatch batch_;
  PrefixCache cache_;
  OrderGate orders_;
  impl::LoadHistory history_;
  std::map<std::string, std::shared_ptr<CompletionOutput>> responses_;
  ModelEngineCounters counters_;
  std::string loaded_model_;
  std::uint64_t next_id_ = 1;
  std::uint64_t incarnation_ = impl::UnixMillisNow();
  double slow_factor_ = 1;
  bool crash_after_reading_ = false;
  bool crash_requested_ = false;
  bool crashed_ = false;
  bool restart_requested_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

ModelEngine::ModelEngine(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

ModelEngine::~ModelEngine() = default;

common::Result<std::unique_ptr<ModelEngine>> ModelEngine::Start(const ModelEngineOptions& options) {
  using Outcome = common::Result<std::unique_ptr<ModelEngine>>;
  auto impl = std::make_shared<Impl>(options);
  const auto port = impl->Start();
  if (!port.ok()) return Outcome::Failure(port.error());
  return Outcome::Success(std::unique_ptr<ModelEngine>(new ModelEngine(std::move(impl))));
}

std::uint16_t ModelEngine::port() const noexcept { return impl_->port(); }

std::string ModelEngine::url() const { return "http://127.0.0.1:" + std::to_string(port()); }

bool ModelEngine::up() const { return impl_->up(); }

ModelEngineCounters ModelEngine::counters() const { return impl_->counters(); }

std::vector<EngineOrder> ModelEngine::orders() const { return impl_->orders(); }

void ModelEngine::SetSlowFactor(double factor) { impl_->SetSlowFactor(factor); }

void ModelEngine::CrashAfterReading() { impl_->CrashAfterReading(); }

void ModelEngine::Crash() { impl_->Crash(); }

void ModelEngine::Restart() { impl_->Restart(); }

void ModelEngine::WatchFor(const std::string& text) { impl_->WatchFor(text); }

}  // namespace briarwood::emulator
