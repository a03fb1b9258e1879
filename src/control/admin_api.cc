#include "briarwood/control/admin_api.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "briarwood/control/operators.h"
#include "control/impl/admin_calls.h"
#include "control/impl/admin_failure.h"
#include "control/impl/admin_json.h"
#include "control/impl/admin_numbers.h"
#include "control/impl/url_text.h"

namespace briarwood::control {

using impl::AdminFailure;

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::chrono::milliseconds kInForcePollInterval{50};
constexpr std::uint64_t kMaxWaitMs = 60'000;

http::Response ErrorResponse(const AdminFailure& failure) {
  schema::AdminErrorResponse body;
  *body.mutable_error() = failure.error();
  return {.status = failure.status(),
          .headers = {{"Content-Type", "application/json"}},
          .body = impl::ToJson(body, impl::JsonStyle::kCompact)};
}

std::string Authenticate(const http::Request& request, const std::string& operators_file) {
  const common::Result<Operators> operators = Operators::Load(operators_file);
  if (!operators.ok()) {
    throw AdminFailure(503, "operators_unreadable", "the operators file cannot be read");
  }
  const std::string header = http::FindHeader(request.headers, "Authorization");
  std::optional<std::string> name;
  if (header.starts_with(kBearerPrefix)) {
    name = operators.value().Find(header.substr(kBearerPrefix.size()));
  }
  if (!name) throw AdminFailure(401, "unauthorized", "expected an operator's bearer credential");
  return *name;
}

impl::AdminCall ToCall(const http::Request& request, std::string operator_name, common::Time now) {
  impl::AdminCall call{.operator_name = std::move(operator_name),
                       .method = request.method,
                       .path = impl::SplitPath(request.path),
                       .query = impl::SplitQuery(request.query),
                       .body = request.body,
                       .now = now};
  if (call.path.empty() || call.path.front() != "v1") {
    throw AdminFailure(404, "unknown_call", "expected a path below /v1");
  }
  call.path.erase(call.path.begin());
  return call;
}

bool IsInForceCall(const impl::AdminCall& call) {
  return call.method == "GET" && call.path == std::vector<std::string>{"in-force"};
}

}  // namespace

common::Result<std::unique_ptr<AdminApi>> AdminApi::Start(AdminOptions options,
                                                          AdminBackend& backend) {
  using StartResult = common::Result<std::unique_ptr<AdminApi>>;
  const common::Result<Operators> operators = Operators::Load(options.operators_file);
  if (!operators.ok()) return StartResult::Failure(operators.error());
  std::unique_ptr<AdminApi> api(new AdminApi(std::move(options), backend));
  auto server =
      http::Server::Start({.listen = api->options_.listen,
                           .certificate_file = api->options_.certificate_file,
                           .private_key_file = api->options_.private_key_file,
                           .max_body_bytes = api->options_.max_body_bytes},
                          [raw = api.get()](const std::shared_ptr<http::Exchange>& exchange) {
                            raw->Enqueue(exchange);
                          });
  if (!server.ok()) return StartResult::Failure(server.error());
  api->server_ = std::move(server).value();
  return StartResult::Success(std::move(api));
}

AdminApi::AdminApi(AdminOptions options, AdminBackend& backend)
    : options_(std::move(options)), backend_(backend) {
  for (unsigned i = 0; i < options_.threads; ++i) threads_.emplace_back([this] { RunWorker(); });
}

AdminApi::~AdminApi() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_) thread.join();
  if (server_) server_->Close();
}

void AdminApi::Enqueue(const std::shared_ptr<http::Exchange>& exchange) {
  bool accepted = false;
  {
    const std::lock_guard lock(mutex_);
    accepted = !stopping_ && jobs_.size() < options_.max_queued_calls;
    if (accepted) jobs_.push_back({.exchange = exchange});
  }
  if (accepted) {
    changed_.notify_one();
  } else {
    exchange->Respond(ErrorResponse(AdminFailure(503, "busy", "too many calls wait")));
  }
}

bool AdminApi::TakeDueJob(std::unique_lock<std::mutex>& lock, Job& job) {
  while (true) {
    const auto first = std::min_element(jobs_.begin(), jobs_.end(),
                                        [](const Job& a, const Job& b) { return a.due < b.due; });
    if (first == jobs_.end()) {
      if (stopping_) return false;
      changed_.wait(lock);
    } else if (!stopping_ && first->due > common::BootClock::now()) {
      changed_.wait_until(lock, common::Time(first->due));
    } else {
      job = std::move(*first);
      jobs_.erase(first);
      return true;
    }
  }
}

void AdminApi::RunWorker() {
  while (true) {
    Job job;
    {
      std::unique_lock lock(mutex_);
      if (!TakeDueJob(lock, job)) return;
    }
    Execute(std::move(job));
  }
}

void AdminApi::Execute(Job job) {
  const common::Time now = common::BootClock::now();
  const http::Request& request = job.exchange->request();
  http::Response response{.headers = {{"Content-Type", "application/json"}}};
  try {
    const impl::AdminCall call =
        ToCall(request, Authenticate(request, options_.operators_file), now);
    impl::AdminCalls calls(backend_);
    if (IsInForceCall(call)) {
      const std::uint64_t wait_ms =
          std::min(impl::QueryNumber(call, "wait_ms").value_or(0), kMaxWaitMs);
      if (job.deadline == common::Time()) job.deadline = now + std::chrono::milliseconds(wait_ms);
      const schema::InForceResponse status = calls.InForce(call);
      const std::unique_lock lock(mutex_);
      if (!status.in_force() && now < job.deadline && !stopping_) {
        job.due = now + kInForcePollInterval;
        jobs_.push_back(std::move(job));
        return;
      }
      response.body = impl::ToJson(status);
    } else {
      response.body = calls.Run(call);
    }
  } catch (const AdminFailure& failure) {
    response = ErrorResponse(failure);
  } catch (const std::exception&) {
    response = ErrorResponse(AdminFailure(500, "internal", "the call failed"));
  }
  job.exchange->Respond(std::move(response));
}

}  // namespace briarwood::control
