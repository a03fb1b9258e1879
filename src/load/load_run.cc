#include "briarwood/load/load_run.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "briarwood/common/time.h"
#include "briarwood/http/client.h"
#include "briarwood/load/arrivals.h"
#include "briarwood/load/stream_counter.h"
#include "load/impl/request_maker.h"

namespace briarwood::load {
namespace {

using std::chrono::microseconds;

constexpr std::uint64_t kMaxRequests = 10'000'000;
constexpr double kMaxRatePerSecond = 100'000;
constexpr std::chrono::hours kMaxDuration{1};
constexpr std::size_t kMaxErrorBodyBytes = 4096;
constexpr std::uint16_t kMinErrorStatus = 300;

common::Time Now() { return common::BootClock::now(); }

microseconds Since(common::Time start) {
  return std::chrono::duration_cast<microseconds>(Now() - start);
}

/// Report that concurrent requests update.
class SharedReport {
 public:
  [[nodiscard]] bool TryStart(std::uint64_t max_in_flight) {
    const std::lock_guard lock(mutex_);
    if (in_flight_ >= max_in_flight) {
      ++report_.not_sent;
      return false;
    }
    ++in_flight_;
    ++report_.sent;
    return true;
  }

  void AddTokens(microseconds latency, std::uint64_t tokens, bool first) {
    const std::lock_guard lock(mutex_);
    report_.tokens += tokens;
    (first ? report_.first_token : report_.token_gap).Add(latency);
    // There is no gap between tokens that arrive in one chunk.
    for (std::uint64_t i = 1; i < tokens; ++i) report_.token_gap.Add(microseconds(0));
  }

  void AddResponse(microseconds latency) {
    const std::lock_guard lock(mutex_);
    report_.first_token.Add(latency);
  }

  /// \param error  empty if the request succeeded
  void End(const std::string& error) {
    const std::lock_guard lock(mutex_);
    if (error.empty()) {
      ++report_.succeeded;
    } else {
      ++report_.errors[error];
    }
    --in_flight_;
    changed_.notify_all();
  }

  void WaitIdle() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return in_flight_ == 0; });
  }

  [[nodiscard]] LoadReport Take() {
    const std::lock_guard lock(mutex_);
    return std::move(report_);
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t in_flight_ = 0;
  LoadReport report_;
};

/// One request in flight; its callbacks must not run concurrently.
class RunningRequest {
 public:
  RunningRequest(RequestKind kind, common::Time arrival, SharedReport& report)
      : kind_(kind), arrival_(arrival), report_(report) {}

  void OnHead(std::uint16_t status) { status_ = status; }

  void OnData(std::string_view data) {
    if (status_ >= kMinErrorStatus) {
      if (error_body_.size() + data.size() <= kMaxErrorBodyBytes) error_body_ += data;
      return;
    }
    if (kind_ == RequestKind::kCall) return;
    const bool first = counter_.tokens() == 0;
    const std::uint64_t tokens = counter_.Feed(data);
    if (tokens == 0) return;
    report_.AddTokens(first ? Since(arrival_) : Since(last_token_), tokens, first);
    last_token_ = Now();
  }

  void OnEnd(const http::CallOutcome& outcome) {
    const std::string error = Classify(outcome);
    if (error.empty() && kind_ == RequestKind::kCall) report_.AddResponse(Since(arrival_));
    report_.End(error);
  }

 private:
  [[nodiscard]] std::string Classify(const http::CallOutcome& outcome) const {
    if (outcome.certainly_not_sent) return "connection_refused";
    if (status_ >= kMinErrorStatus) {
      const std::string code = FindErrorCode(error_body_);
      return std::to_string(status_) + (code.empty() ? "" : " " + code);
    }
    if (!counter_.error_code().empty()) return "event " + counter_.error_code();
    if (!outcome.complete) return status_ == 0 ? "no_answer" : "cut";
    if (kind_ == RequestKind::kStream && !counter_.done()) return "no_end";
    return {};
  }

  RequestKind kind_;
  common::Time arrival_;
  SharedReport& report_;
  std::uint16_t status_ = 0;
  StreamCounter counter_;
  common::Time last_token_;
  std::string error_body_;
};

std::optional<std::string> FindInvalidOption(const LoadOptions& options) {
  if (options.targets.empty()) return "there is no target";
  if (!(options.rate_per_second > 0 && options.rate_per_second <= kMaxRatePerSecond)) {
    return "the rate must be greater than 0 and at most 100000 requests per second";
  }
  if (options.max_requests == 0 || options.max_requests > kMaxRequests) {
    return "the number of requests must be between 1 and 10000000";
  }
  if (options.duration.count() <= 0 || options.duration > kMaxDuration) {
    return "the duration must be greater than 0 and at most 1 hour";
  }
  if (options.kind == RequestKind::kCall && !options.path.starts_with('/')) {
    return "the path of calls must start with \"/\"";
  }
  return std::nullopt;
}

std::vector<WatchedProcess> StartWatching(const std::vector<pid_t>& pids) {
  std::vector<WatchedProcess> watched;
  for (const pid_t pid : pids) {
    const std::optional<ProcessUsage> usage = ReadProcessUsage(pid);
    if (usage) watched.push_back({.pid = pid, .at_start = *usage, .at_end = *usage});
  }
  return watched;
}

void FinishWatching(std::vector<WatchedProcess>& watched) {
  for (WatchedProcess& process : watched) {
    const std::optional<ProcessUsage> usage = ReadProcessUsage(process.pid);
    if (usage) process.at_end = *usage;
  }
}

void Send(http::Client& client, const LoadOptions& options, std::uint64_t number,
          common::Time arrival, SharedReport& report) {
  impl::LoadRequest request = impl::MakeRequest(options, number);
  const auto running = std::make_shared<RunningRequest>(options.kind, arrival, report);
  client.Send("POST", request.path, request.headers, std::move(request.body),
              {.on_head = [running](std::uint16_t status,
                                    const http::Headers& /*headers*/) { running->OnHead(status); },
               .on_data = [running](std::string_view data) { running->OnData(data); },
               .on_end = [running](const http::CallOutcome& outcome) { running->OnEnd(outcome); }});
}

}  // namespace

common::Result<LoadReport> RunLoad(const LoadOptions& options) {
  using Outcome = common::Result<LoadReport>;
  if (const auto problem = FindInvalidOption(options)) return Outcome::Failure(*problem);
  std::vector<std::unique_ptr<http::Client>> clients;
  for (const std::string& target : options.targets) {
    clients.push_back(std::make_unique<http::Client>(
        http::ClientOptions{.base_url = target, .timeout = options.timeout}));
  }
  SharedReport shared;
  std::vector<WatchedProcess> watched = StartWatching(options.watched);
  Arrivals arrivals(options.rate_per_second, options.seed);
  const common::Time start = Now();
  for (std::uint64_t number = 0; number < options.max_requests; ++number) {
    const common::Duration arrival = arrivals.Next();
    if (arrival >= options.duration) break;
    std::this_thread::sleep_until(start + arrival);
    if (!shared.TryStart(options.max_in_flight)) continue;
    Send(*clients[number % clients.size()], options, number, start + arrival, shared);
  }
  shared.WaitIdle();
  LoadReport report = shared.Take();
  report.elapsed = Since(start);
  FinishWatching(watched);
  report.watched = std::move(watched);
  return Outcome::Success(std::move(report));
}

}  // namespace briarwood::load
