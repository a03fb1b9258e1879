#include "agent/impl/run.h"

#include <utility>

#include "briarwood/requests/run_codec.h"

namespace briarwood::agent::impl {
namespace {

// A load report with every token would double the size of a stream.
constexpr std::chrono::milliseconds kLoadReportInterval{200};

BackendResponse MakeBackendResponse(const schema::RunRequest& request, bool is_service) {
  if (is_service) return ServiceResponse();
  return EngineResponse(request.resume_from());
}

}  // namespace

std::string MakeRunKey(const std::string& request_id, std::uint64_t entry_incarnation,
                       std::uint32_t attempt) {
  return request_id + "/" + std::to_string(entry_incarnation) + "/" + std::to_string(attempt);
}

Run::Run(schema::RunRequest request, std::shared_ptr<http::Exchange> exchange, common::Time now)
    : request_(std::move(request)),
      key_(MakeRunKey(request_.request_id(), request_.entry_incarnation(), request_.attempt())),
      exchange_(std::move(exchange)),
      deadline_(now + std::chrono::milliseconds(request_.deadline_ms())),
      response_(MakeBackendResponse(request_, !request_.streaming())) {}

bool Run::Emit(schema::RunEvent event, const schema::LoadReport& load) {
  const std::lock_guard lock(mutex_);
  if (ended_) return false;
  if (event.has_token()) ++tokens_;
  has_output_ = has_output_ || event.has_token() || event.has_answer();
  return exchange_->Write(EncodeLocked(event, load));
}

bool Run::Finish(schema::RunEvent event, const schema::LoadReport& load) {
  const std::lock_guard lock(mutex_);
  if (std::exchange(ended_, true)) return false;
  last_load_at_ = {};
  static_cast<void>(exchange_->Write(EncodeLocked(event, load)));
  exchange_->End();
  return true;
}

void Run::OnEntryDisconnected(std::function<void()> callback) {
  exchange_->OnFinished([callback = std::move(callback)](bool delivered) {
    if (!delivered) callback();
  });
}

void Run::SetCall(const std::shared_ptr<http::Call>& call) {
  bool cancel = false;
  {
    const std::lock_guard lock(mutex_);
    call_ = call;
    cancel = cancelled_;
  }
  if (cancel) call->Cancel();
}

void Run::CancelCall() {
  std::shared_ptr<http::Call> call;
  {
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    call = call_;
  }
  if (call) call->Cancel();
}

void Run::MarkSent() {
  const std::lock_guard lock(mutex_);
  sent_ = true;
}

bool Run::sent() const {
  const std::lock_guard lock(mutex_);
  return sent_;
}

bool Run::ended() const {
  const std::lock_guard lock(mutex_);
  return ended_;
}

bool Run::has_output() const {
  const std::lock_guard lock(mutex_);
  return has_output_;
}

std::uint64_t Run::tokens() const {
  const std::lock_guard lock(mutex_);
  return tokens_;
}

std::string Run::EncodeLocked(schema::RunEvent& event, const schema::LoadReport& load) {
  event.set_request_id(request_.request_id());
  event.set_entry_incarnation(request_.entry_incarnation());
  event.set_attempt(request_.attempt());
  const common::Time now = common::BootClock::now();
  if (!event.has_token() || now - last_load_at_ >= kLoadReportInterval) {
    *event.mutable_load() = load;
    last_load_at_ = now;
  }
  return requests::EncodeRunEvent(event);
}

}  // namespace briarwood::agent::impl
