#include "soak/fake_backend.h"

#include <algorithm>
#include <utility>

#include "platform/names.h"
#include "soak/response_plan.h"

namespace briarwood::soak {
namespace {

constexpr std::uint16_t kOk = 200;
/// Time in which a crashing server writes the parts of events with which its streams break off.
constexpr std::chrono::milliseconds kCrashDuration{5};
constexpr std::uint16_t kUnavailable = 503;

std::string HeaderOrEmpty(const http::RequestHead& head, const char* name) {
  const std::string* value = head.headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

bool IsStream(const http::RequestHead& head) {
  return head.target.starts_with("/draft/") || head.target.starts_with("/ask/");
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
        attempt_id_(HeaderOrEmpty(request_->head(), platform::kAttemptId)),
        plan_(PlanResponse(attempt_id_, backend.id_)) {
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
    stream_ = IsStream(head);
    crashes_server_ = backend_->HasCrashingPart(head);
    if (const std::string last = HeaderOrEmpty(head, platform::kLastEventId); !last.empty()) {
      next_event_ = std::stoi(last) + 1;
    }
    ScheduleNext(plan_.processing_delay);
  }

  /// Ends the response with the first part of an event, if it is a stream that has begun.
  void BreakOff() {
    if (disconnected_) return;
    if (!stream_ || !started_) {
      request_->Abort();
      return;
    }
    const std::string event = RequestChecker::Event(attempt_id_, next_event_);
    request_->Write(event.substr(0, event.size() / 2));
    if (plan_.until_close) request_->EndStream();
  }

 private:
  void ScheduleNext(std::chrono::milliseconds delay) {
    const bool falls_silent = backend_->quiet_ || next_event_ == plan_.silent_before;
    if (stream_ && falls_silent && !std::exchange(was_silent_, true)) delay += plan_.silence;
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (error || !*self->lifetime_ || self->disconnected_) return;
      self->stream_ ? self->SendEvent() : self->SendResponse();
    });
  }

  [[nodiscard]] http::ResponseHead Head() const {
    http::ResponseHead head{.status = kOk, .reason = {}, .headers = {}};
    head.headers.Add(platform::kAttemptId, attempt_id_);
    head.headers.Add(platform::kSignature, "signed-" + backend_->id_);
    head.headers.Add(platform::kLoadReport, std::to_string(backend_->running_requests_) + ",0," +
                                                std::to_string(backend_->options_.slots));
    backend_->AddStatement(attempt_id_, head);
    return head;
  }

  [[nodiscard]] http::BodyFraming StreamFraming() const {
    return plan_.until_close ? http::BodyFraming::kClose : http::BodyFraming::kChunked;
  }

  void SendResponse() {
    const std::string body = RequestChecker::ExpectedBody(attempt_id_, CallKind::kOnce);
    if (!plan_.until_close) {
      request_->Respond(Head(), body);
      return;
    }
    if (!std::exchange(started_, true)) {
      request_->StartStream(Head(), StreamFraming());
      request_->Write(body.substr(0, body.size() / 2));
      body_rest_ = body.substr(body.size() / 2);
      ScheduleNext(plan_.event_interval);
      return;
    }
    request_->Write(std::exchange(body_rest_, {}));
    request_->EndStream();
  }

  void SendEvent() {
    if (!started_ && crashes_server_) {
      // One server crashes before it has written anything, another one inside its first event.
      if (plan_.silence.count() % 2 == 0) StartEvents();
      backend_->options_.on_crashing_run();
      return;
    }
    StartEvents();
    if (next_event_ > EventCount(attempt_id_)) {
      request_->EndStream();
      return;
    }
    request_->Write(RequestChecker::Event(attempt_id_, next_event_++));
    ScheduleNext(plan_.event_interval);
  }

  void StartEvents() {
    if (!std::exchange(started_, true)) {
      http::ResponseHead head = Head();
      head.headers.Add("Content-Type", "text/event-stream");
      request_->StartStream(head, StreamFraming());
    }
  }

  FakeBackend* backend_;
  std::shared_ptr<bool> lifetime_;
  std::shared_ptr<http::IncomingRequest> request_;
  http::Timer timer_;
  std::string attempt_id_;
  ResponsePlan plan_;
  /// Second part of a response that is not a stream and ends with its connection.
  std::string body_rest_;
  int next_event_ = 1;
  bool stream_ = false;
  bool crashes_server_ = false;
  bool started_ = false;
  bool was_silent_ = false;
  bool disconnected_ = false;
};

FakeBackend::FakeBackend(http::EventLoop& loop, BackendOptions options)
    : loop_(loop), options_(std::move(options)), crash_timer_(loop) {}

FakeBackend::~FakeBackend() { Crash(); }

std::string FakeBackend::Start(const std::string& id) {
  Crash();
  id_ = id;
  running_requests_ = 0;
  statement_ = {};
  lifetime_ = std::make_shared<bool>(true);
  auto server = http::IncomingServer::Start(
      loop_, {.listen = options_.listen},
      [this](const std::shared_ptr<http::IncomingRequest>& request) { Handle(request); });
  if (!server.ok()) return server.error();
  server_ = std::move(server).value();
  return {};
}

void FakeBackend::Crash(bool inside_event) {
  if (lifetime_) *lifetime_ = false;
  crashed_server_.reset();
  const auto runs = std::exchange(runs_, {});
  if (!inside_event || !server_) {
    server_.reset();
    return;
  }
  server_->StopAccepting();
  for (const auto& weak : runs) {
    if (const auto run = weak.lock()) run->BreakOff();
  }
  crashed_server_ = std::move(server_);
  crash_timer_.expires_after(kCrashDuration);
  crash_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) crashed_server_.reset();
  });
}

void FakeBackend::Handle(const std::shared_ptr<http::IncomingRequest>& request) {
  if (!*lifetime_) {
    request->Abort();
    return;
  }
  if (request->head().path() == "/healthz") {
    request->Respond({.status = kOk, .reason = {}, .headers = {}}, {});
    return;
  }
  const std::string expected = HeaderOrEmpty(request->head(), platform::kExpectInstance);
  if (expected != id_) {
    Reject(*request, platform::kOtherInstanceStatus);
    return;
  }
  if (HasCrashingPart(request->head())) {
    options_.on_crashing_arrival(HeaderOrEmpty(request->head(), platform::kAttemptId));
  }
  if (options_.on_arrival) {
    options_.on_arrival(HeaderOrEmpty(request->head(), platform::kAttemptId));
  }
  constexpr std::uint64_t kRequestsPerBackOff = 3;
  const bool backs_off = statement_.back_off && ++arrivals_ % kRequestsPerBackOff == 0;
  if (running_requests_ >= options_.slots || backs_off) {
    Reject(*request, kUnavailable);
    return;
  }
  auto run = std::make_shared<Run>(*this, request);
  std::erase_if(runs_, [](const auto& weak) { return weak.expired(); });
  runs_.push_back(run);
  run->Start();
}

bool FakeBackend::HasCrashingPart(const http::RequestHead& head) const {
  if (crashing_part_.empty() || !IsStream(head)) return false;
  const std::string parts = HeaderOrEmpty(head, platform::kPrefixHash);
  // The last part is followed by no comma.
  std::size_t start = 0;
  for (std::size_t end = parts.find(','); end != std::string::npos; end = parts.find(',', start)) {
    if (parts.substr(start, end - start).starts_with(crashing_part_ + ":")) return true;
    start = end + 1;
  }
  return false;
}

void FakeBackend::Reject(http::IncomingRequest& request, std::uint16_t status) {
  http::ResponseHead head{.status = status, .reason = {}, .headers = {}};
  head.headers.Add(platform::kAttemptId, HeaderOrEmpty(request.head(), platform::kAttemptId));
  head.headers.Add(platform::kNotExecuted, "1");
  head.headers.Add(platform::kLoadReport,
                   std::to_string(running_requests_) + ",0," + std::to_string(options_.slots));
  if (status == kUnavailable) {
    AddStatement(HeaderOrEmpty(request.head(), platform::kAttemptId), head);
  }
  request.Respond(head, {});
}

void FakeBackend::AddStatement(const std::string& request_id, http::ResponseHead& head) {
  routing::ServerStatement stated = statement_;
  if (head.status != kUnavailable) stated.back_off.reset();
  if (stated.leaving) head.headers.Add(platform::kServerLeaving, "1");
  if (stated.requests_per_second) {
    head.headers.Add(platform::kServerLimit, std::to_string(*stated.requests_per_second));
  }
  if (stated.back_off) {
    head.headers.Add(platform::kRetryAfter, std::to_string(common::ToSeconds(*stated.back_off)));
  }
  const bool states = stated.leaving || stated.requests_per_second || stated.back_off;
  if (states && options_.on_statement) options_.on_statement(request_id, stated);
}

}  // namespace briarwood::soak
