#include "briarwood/emulator/plain_service.h"

#include <map>
#include <mutex>
#include <utility>

#include "emulator/impl/delay_queue.h"
#include "emulator/impl/json.h"
#include "emulator/impl/request_watch.h"
#include "emulator/impl/restartable_server.h"

namespace briarwood::emulator {
namespace {

using ExchangePtr = std::shared_ptr<http::Exchange>;

constexpr std::uint16_t kCreated = 201;

}  // namespace

class PlainService::Impl {
 public:
  explicit Impl(const PlainServiceOptions& options)
      : options_(options),
        response_delay_(options.response_delay),
        server_([this](const ExchangePtr& exchange) { Handle(exchange); }) {}

  ~Impl() { server_.Stop(); }

  common::Result<std::uint16_t> Start() { return server_.Start(options_.listen); }

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  [[nodiscard]] bool up() const { return server_.up(); }

  [[nodiscard]] std::uint64_t runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

  [[nodiscard]] std::uint64_t RunsOf(const std::string& body) const {
    const std::lock_guard lock(mutex_);
    const auto found = runs_by_body_.find(body);
    return found == runs_by_body_.end() ? 0 : found->second;
  }

  [[nodiscard]] const impl::RequestWatch& watch() const noexcept { return watch_; }
  [[nodiscard]] impl::RequestWatch& watch() noexcept { return watch_; }

  void SetResponseDelay(std::chrono::milliseconds delay) {
    const std::lock_guard lock(mutex_);
    response_delay_ = delay;
  }

  void CrashAfterExecuting() {
    const std::lock_guard lock(mutex_);
    crash_after_executing_ = true;
  }

  void Restart() {
    // The start fails if the port is in use; the service then stays down, which up() reports.
    const auto started = server_.Start(options_.listen);
    static_cast<void>(started.ok());
  }

 private:
  void Handle(const ExchangePtr& exchange) {
    const http::Request& request = exchange->request();
    watch_.Inspect(request);
    if (request.path == "/emulator") {
      exchange->Respond(HandleControl(request));
    } else if (request.method == "POST" || request.method == "DELETE") {
      Execute(exchange);
    } else {
      RespondLater(exchange, impl::JsonResponse(http::Status::kOk, Summary()));
    }
  }

  void Execute(const ExchangePtr& exchange) {
    std::uint64_t number = 0;
    bool crashes = false;
    {
      const std::lock_guard lock(mutex_);
      number = ++runs_;
      ++runs_by_body_[exchange->request().body];
      crashes = std::exchange(crash_after_executing_, false);
    }
    if (crashes) {
      server_.Hold(exchange);
      // The listener cannot be closed from its own thread.
      delays_.RunAfter({}, [this] { Crash(); });
      return;
    }
    Json::Value body;
    body["booking"] = Json::UInt64{number};
    body["path"] = exchange->request().path;
    http::Response response = impl::JsonResponse(http::Status::kOk, body);
    response.status = kCreated;
    RespondLater(exchange, std::move(response));
  }

  void Crash() {
    server_.Stop();
    if (options_.restart_delay.count() == 0) return;
    delays_.RunAfter(options_.restart_delay, [this] { Restart(); });
  }

  void RespondLater(const ExchangePtr& exchange, http::Response response) {
    std::chrono::milliseconds delay{};
    {
      const std::lock_guard lock(mutex_);
      delay = response_delay_;
    }
    if (delay.count() == 0) {
      exchange->Respond(std::move(response));
      return;
    }
    delays_.RunAfter(delay, [exchange, response = std::move(response)]() mutable {
      exchange->Respond(std::move(response));
    });
  }

  http::Response HandleControl(const http::Request& request) {
    if (request.method != "POST") return impl::JsonResponse(http::Status::kOk, Summary());
    const std::optional<Json::Value> body = impl::ReadObject(request.body);
    if (!body) return impl::ErrorResponse(http::Status::kBadRequest, "invalid_json");
    if ((*body)["answer_delay_ms"].isUInt()) {
      SetResponseDelay(std::chrono::milliseconds((*body)["answer_delay_ms"].asUInt()));
    }
    const Json::Value& crash_flag = (*body)["die_after_reading"];
    if (crash_flag.isBool() && crash_flag.asBool()) CrashAfterExecuting();
    if ((*body)["watch_for"].isString()) watch_.WatchFor((*body)["watch_for"].asString());
    return impl::JsonResponse(http::Status::kOk, Summary());
  }

  [[nodiscard]] Json::Value Summary() const {
    Json::Value body;
    body["bookings"] = Json::UInt64{runs()};
    body["watched_text_seen"] = Json::UInt64{watch_.seen()};
    return body;
  }

  PlainServiceOptions options_;
  impl::RequestWatch watch_;
  mutable std::mutex mutex_;
  std::chrono::milliseconds response_delay_;
  std::uint64_t runs_ = 0;
  std::map<std::string, std::uint64_t> runs_by_body_;
  bool crash_after_executing_ = false;
  impl::RestartableServer server_;
  // Destroyed first, so that no task uses the members above afterwards.
  impl::DelayQueue delays_;
};

PlainService::PlainService(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

PlainService::~PlainService() = default;

common::Result<std::unique_ptr<PlainService>> PlainService::Start(
    const PlainServiceOptions& options) {
  using Outcome = common::Result<std::unique_ptr<PlainService>>;
  auto impl = std::make_unique<Impl>(options);
  const auto port = impl->Start();
  if (!port.ok()) return Outcome::Failure(port.error());
  return Outcome::Success(std::unique_ptr<PlainService>(new PlainService(std::move(impl))));
}

std::uint16_t PlainService::port() const noexcept { return impl_->port(); }

std::string PlainService::url() const { return "http://127.0.0.1:" + std::to_string(port()); }

bool PlainService::up() const { return impl_->up(); }

std::uint64_t PlainService::runs() const { return impl_->runs(); }

std::uint64_t PlainService::RunsOf(const std::string& body) const { return impl_->RunsOf(body); }

std::uint64_t PlainService::watched_text_seen() const { return impl_->watch().seen(); }

void PlainService::SetResponseDelay(std::chrono::milliseconds delay) {
  impl_->SetResponseDelay(delay);
}

void PlainService::CrashAfterExecuting() { impl_->CrashAfterExecuting(); }

void PlainService::Restart() { impl_->Restart(); }

void PlainService::WatchFor(const std::string& text) { impl_->watch().WatchFor(text); }

}  // namespace briarwood::emulator
