#include "agent/impl/backend_client.h"

#include <algorithm>
#include <utility>

namespace briarwood::agent::impl {
namespace {

// Longer than the prefill of the longest context. The deadline of the request bounds the whole
// call.
constexpr std::chrono::milliseconds kCallIdleTimeout{120'000};
constexpr std::chrono::milliseconds kProbeTimeout{1000};
constexpr std::size_t kMaxProbeBytes = std::size_t{64} * 1024;
constexpr std::string_view kJson = "application/json";

http::Headers RunHeaders(const schema::RunRequest& request) {
  http::Headers headers;
  if (!request.content_type().empty()) headers["Content-Type"] = request.content_type();
  if (!request.accept().empty()) headers["Accept"] = request.accept();
  if (!request.idempotency_id().empty()) headers["Idempotency-Key"] = request.idempotency_id();
  return headers;
}

}  // namespace

void BackendClient::SetBackend(const schema::BackendServer& backend) {
  const std::lock_guard lock(mutex_);
  if (!backend_ || backend_->url() != backend.url()) {
    call_client_ = std::make_shared<http::Client>(
        http::ClientOptions{.base_url = backend.url(), .timeout = kCallIdleTimeout});
    probe_client_ = std::make_shared<http::Client>(
        http::ClientOptions{.base_url = backend.url(), .timeout = kProbeTimeout});
  }
  backend_ = backend;
}

std::optional<schema::BackendServer> BackendClient::backend() const {
  const std::lock_guard lock(mutex_);
  return backend_;
}

void BackendClient::SendRun(const std::shared_ptr<Run>& run, http::CallHandlers handlers) {
  const schema::RunRequest& request = run->request();
  const bool is_engine = request.streaming();
  std::string body = is_engine ? requests::MakeEngineBody(request, run->key()) : request.body();
  run->MarkSent();
  run->SetCall(CallClient()->SendOnNewConnection(
      request.method(), request.path(), RunHeaders(request), std::move(body), std::move(handlers)));
}

void BackendClient::SendCancel(const Run& run) {
  if (!run.request().streaming()) return;
  CallClient()->SendOnNewConnection("POST", "/cancel", {{"Content-Type", std::string(kJson)}},
                                    requests::MakeEngineCancelBody(run.key()), {});
}

void BackendClient::SendOrder(const schema::Order& order,
                              std::function<void(std::uint16_t status)> done) {
  const auto status = std::make_shared<std::uint16_t>(0);
  CallClient()->SendOnNewConnection(
      "POST", "/orders", {{"Content-Type", std::string(kJson)}},
      requests::MakeEngineOrderBody(order),
      {.on_head = [status](std::uint16_t value, const http::Headers&) { *status = value; },
       .on_end = [status, done = std::move(done)](const http::CallOutcome&) { done(*status); }});
}

void BackendClient::Probe(std::function<void(const ProbeResult&)> done) {
  struct Answer {
    std::uint16_t status = 0;
    std::string body;
  };
  const auto answer = std::make_shared<Answer>();
  ProbeClient()->SendOnNewConnection(
      "GET", "/load", {}, "",
      {.on_head = [answer](std::uint16_t status, const http::Headers&) { answer->status = status; },
       .on_data =
           [answer](std::string_view data) {
             // A longer body is no load report; what is cut off makes it unreadable.
             const std::size_t room = kMaxProbeBytes - answer->body.size();
             answer->body.append(data.substr(0, std::min(room, data.size())));
           },
       .on_end =
           [answer, done = std::move(done)](const http::CallOutcome& outcome) {
             ProbeResult result;
             if (outcome.certainly_not_sent) result.state = ProbeResult::State::kUnreachable;
             if (outcome.complete) result.state = ProbeResult::State::kAnswered;
             result.load = requests::ParseEngineLoad(answer->body).value_or(requests::EngineLoad{});
             done(result);
           }});
}

std::shared_ptr<http::Client> BackendClient::CallClient() const {
  const std::lock_guard lock(mutex_);
  return call_client_;
}

std::shared_ptr<http::Client> BackendClient::ProbeClient() const {
  const std::lock_guard lock(mutex_);
  return probe_client_;
}

}  // namespace briarwood::agent::impl
