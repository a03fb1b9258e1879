#include "soak/fake_backend.h"

#include <algorithm>
#include <utility>

#include "platform/names.h"

namespace briarwood::soak {
namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kUnavailable = 503;

std::string HeaderOrEmpty(const http::RequestHead& head, const char* name) {
  const std::string* value = head.headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

}  // namespace

/// A request in execution.
class FakeBackend::Run : public std::enable_shared_from_this<Run> {
 public:
  Run(FakeBackend& backend, std::shared_ptr<http::IncomingRequest> request)
      : backend_(&backend),
        lifetime_(backend.lifetime_),
        request_(std::move(request)),
        timer_(backend.loop_),
        attempt_id_(HeaderOrEmpty(request_->head(), platform::kAttemptId)) {
    ++backend.running_requests_;
  }

  ~Run() {
    if (*lifetime_) --backend_->running_requests_;
  }

  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  void Start() {
    const http::RequestHead& head = request_->head();
    backend_->options_.on_run(
        {.id = attempt_id_,
         .backend_server = backend_->id_,
         .target = head.target,
         .body = *request_->body(),
         .customer = HeaderOrEmpty(head, platform::kTenant),
         .carries_key = head.headers.Find(platform::kAuthorization) != nullptr});
    request_->OnDisconnected([weak = weak_from_this()](http::DisconnectCause /*cause*/) {
      if (const auto run = weak.lock()) run->disconnected_ = true;
    });
    const bool stream = head.target.starts_with("/draft/") || head.target.starts_with("/ask/");
    if (const std::string last = HeaderOrEmpty(head, platform::kLastEventId); !last.empty()) {
      next_event_ = std::stoi(last) + 1;
    }
    ScheduleNext(backend_->options_.processing_delay, stream);
  }

 private:
  void ScheduleNext(std::chrono::milliseconds delay, bool stream) {
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this(), stream](const boost::system::error_code& error) {
      if (error || !*self->lifetime_ || self->disconnected_) return;
      stream ? self->SendEvent() : self->SendResponse();
    });
  }

  [[nodiscard]] http::ResponseHead Head() const {
    http::ResponseHead head{.status = kOk, .reason = {}, .headers = {}};
    head.headers.Add(platform::kAttemptId, attempt_id_);
    head.headers.Add(platform::kSignature, "signed-" + backend_->id_);
    head.headers.Add(platform::kLoadReport, std::to_string(backend_->running_requests_) + ",0," +
                                                std::to_string(backend_->options_.slots));
    return head;
  }

  void SendResponse() {
    request_->Respond(Head(), RequestChecker::ExpectedBody(attempt_id_, CallKind::kOnce));
  }

  void SendEvent() {
    if (!std::exchange(started_, true)) {
      http::ResponseHead head = Head();
      head.headers.Add("Content-Type", "text/event-stream");
      request_->StartStream(head);
    }
    if (next_event_ > RequestChecker::kEvents) {
      request_->EndStream();
      return;
    }
    request_->Write(RequestChecker::Event(attempt_id_, next_event_++));
    ScheduleNext(backend_->options_.event_interval, /*stream=*/true);
  }

  FakeBackend* backend_;
  std::shared_ptr<bool> lifetime_;
  std::shared_ptr<http::IncomingRequest> request_;
  http::Timer timer_;
  std::string attempt_id_;
  int next_event_ = 1;
  bool started_ = false;
  bool disconnected_ = false;
};

FakeBackend::FakeBackend(http::EventLoop& loop, BackendOptions options)
    : loop_(loop), options_(std::move(options)) {}

FakeBackend::~FakeBackend() { Crash(); }

std::string FakeBackend::Start(const std::string& id) {
  Crash();
  id_ = id;
  running_requests_ = 0;
  lifetime_ = std::make_shared<bool>(true);
  auto server = http::IncomingServer::Start(
      loop_, {.listen = options_.listen},
      [this](const std::shared_ptr<http::IncomingRequest>& request) { Handle(request); });
  if (!server.ok()) return server.error();
  server_ = std::move(server).value();
  return {};
}

void FakeBackend::Crash() {
  if (lifetime_) *lifetime_ = false;
  server_.reset();
}

void FakeBackend::Handle(const std::shared_ptr<http::IncomingRequest>& request) {
  if (request->head().path() == "/healthz") {
    request->Respond({.status = kOk, .reason = {}, .headers = {}}, {});
    return;
  }
  const std::string expected = HeaderOrEmpty(request->head(), platform::kExpectInstance);
  if (expected != id_) {
    Reject(*request, platform::kOtherInstanceStatus);
    return;
  }
  if (running_requests_ >= options_.slots) {
    Reject(*request, kUnavailable);
    return;
  }
  std::make_shared<Run>(*this, request)->Start();
}

void FakeBackend::Reject(http::IncomingRequest& request, std::uint16_t status) {
  http::ResponseHead head{.status = status, .reason = {}, .headers = {}};
  head.headers.Add(platform::kAttemptId, HeaderOrEmpty(request.head(), platform::kAttemptId));
  head.headers.Add(platform::kNotExecuted, "1");
  head.headers.Add(platform::kLoadReport,
                   std::to_string(running_requests_) + ",0," + std::to_string(options_.slots));
  request.Respond(head, {});
}

}  // namespace briarwood::soak
