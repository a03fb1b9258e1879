#include "soak/invariant_checkers.h"

#include <algorithm>
#include <utility>

#include "soak/response_plan.h"

namespace briarwood::soak {
namespace {

constexpr std::size_t kMaxKeptViolations = 50;
constexpr std::chrono::milliseconds kContactStep{50};

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kForbidden = 403;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kRequestTimeout = 408;
constexpr std::uint16_t kMisdirected = 421;
constexpr std::uint16_t kTooManyRequests = 429;
constexpr std::uint16_t kUnavailable = 503;

bool MeansNotRun(std::uint16_t status) {
  return status == kUnavailable || status == kTooManyRequests || status == kRequestTimeout ||
         status == kMisdirected;
}

bool IsUnexpectedRejection(std::uint16_t status) {
  return status == kUnauthorized || status == kForbidden || status == kNotFound;
}

bool IsSuccess(std::uint16_t status) { return status >= kOk && status < 300; }

}  // namespace

void ViolationLog::Report(common::Time at, std::string invariant, std::string detail) {
  ++count_;
  if (kept_.size() >= kMaxKeptViolations) return;
  kept_.push_back({.at = at, .invariant = std::move(invariant), .detail = std::move(detail)});
}

std::string RequestChecker::Event(const std::string& id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + id + "-" + std::to_string(number) + "\n\n";
}

std::string RequestChecker::ExpectedBody(const std::string& id, CallKind kind) {
  if (kind == CallKind::kOnce || kind == CallKind::kRetryable) return "answer to " + id;
  std::string body;
  for (int number = 1; number <= EventCount(id); ++number) body += Event(id, number);
  return body;
}

void RequestChecker::OnSent(const std::string& id, const SentCall& call) {
  calls_[id] = Call{.sent = call};
}

std::string RequestChecker::EntryOf(const std::string& id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? std::string() : found->second.sent.entry;
}

void RequestChecker::OnRun(const RunCall& run, common::Time now) {
  ++runs_;
  const auto found = calls_.find(run.id);
  if (found == calls_.end()) {
    log_.Report(now, "unasked",
                "backend " + run.backend_server + " ran a request with the unknown id " + run.id);
    return;
  }
  Call& call = found->second;
  ++call.runs;
  if (run.target != call.sent.target || run.body != call.sent.body) {
    log_.Report(
        now, "unchanged",
        "request " + run.id + " reached " + run.backend_server + " with another target or body");
  }
  if (run.customer != call.sent.customer) {
    log_.Report(
        now, "customer",
        "request " + run.id + " of " + call.sent.customer + " ran for \"" + run.customer + "\"");
  }
  if (run.carries_key) log_.Report(now, "key", "request " + run.id + " was forwarded with its key");
  if (call.runs > 1 && !MayRunTwice(call.sent.kind)) {
    log_.Report(now, "at most once", "request " + run.id + " ran again at " + run.backend_server);
  }
  if (call.reported_not_run) {
    log_.Report(now, "not run", "request " + run.id + " ran after it was rejected");
  }
}

void RequestChecker::OnResponse(const std::string& id, const ReceivedResponse& response,
                                common::Time now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    log_.Report(now, "answers", "response to unknown id " + id);
    return;
  }
  Call& call = found->second;
  if (IsSuccess(response.status)) {
    CheckSuccess(id, call, response, now);
    return;
  }
  if (IsUnexpectedRejection(response.status)) {
    log_.Report(now, "denied",
                "request " + id + " was answered " + std::to_string(response.status));
  }
  if (!MeansNotRun(response.status)) return;
  ++rejected_;
  call.reported_not_run = true;
  if (call.runs > 0) {
    log_.Report(
        now, "not run",
        "request " + id + " was answered " + std::to_string(response.status) + " after it ran");
  }
}

void RequestChecker::CheckSuccess(const std::string& id, const Call& call,
                                  const ReceivedResponse& response, common::Time now) {
  const std::string expected = ExpectedBody(id, call.sent.kind);
  if (!response.has_signature) log_.Report(now, "answers", "response to " + id + " is unsigned");
  if (call.runs == 0) log_.Report(now, "answers", "request " + id + " was answered but never ran");
  if (response.complete && response.body != expected) {
    log_.Report(now, "answers", "complete response to " + id + " is \"" + response.body + "\"");
  } else if (!response.complete && !expected.starts_with(response.body)) {
    log_.Report(now, "answers", "response to " + id + " begins with \"" + response.body + "\"");
  }
  if (response.complete) ++answered_;
}

void ConfigurationChecker::OnSent(std::uint64_t version, const std::string& content,
                                  const std::vector<std::uint64_t>& kept) {
  contents_[version] = content;
  kept_[version] = {kept.begin(), kept.end()};
}

std::optional<std::uint64_t> ConfigurationChecker::DueVersion(common::Time now) const {
  auto due = history_.upper_bound(now - bounds_.in_force);
  if (due == history_.begin()) return std::nullopt;
  return std::prev(due)->second;
}

void ConfigurationChecker::OnKeptCall(const std::string& entry, std::uint64_t version,
                                      std::uint16_t status, common::Time sent_at,
                                      common::Time now) {
  const std::optional<std::uint64_t> due = DueVersion(sent_at);
  if (!due || *due < version) return;
  const auto in_touch_for = [&](common::Duration period) {
    return !in_touch_ || in_touch_(entry, sent_at - period, now);
  };
  const bool in_touch = in_touch_for(bounds_.contact_period);
  if (in_touch) ++kept_calls_;
  if (!IsUnexpectedRejection(status)) return;
  // A later version that does not keep the route may be in force as soon as it is sent.
  for (auto later = kept_.upper_bound(version); later != kept_.end(); ++later) {
    if (!later->second.contains(version)) return;
  }
  common::Duration contact{};
  while (contact < bounds_.contact_period && in_touch_for(contact + kContactStep)) {
    contact += kContactStep;
  }
  max_refused_contact_ = std::max(max_refused_contact_, contact);
  if (!in_touch) return;
  log_.Report(now, "late",
              entry + " answered " + std::to_string(status) + " to what version " +
                  std::to_string(version) + " allows, later than its bound");
}

void ConfigurationChecker::OnResponse(std::uint64_t version, std::uint16_t status, bool valid,
                                      common::Time now) {
  if (!valid) {
    invalid_.insert(version);
    if (status == kOk) {
      log_.Report(now, "checked", "invalid version " + std::to_string(version) + " was accepted");
    }
    return;
  }
  constexpr std::uint16_t kFirstServerError = 500;
  if (status != kOk && status < kFirstServerError) {
    log_.Report(
        now, "accepted",
        "valid version " + std::to_string(version) + " was answered " + std::to_string(status));
  }
  if (status != kOk) return;
  ++acknowledgements_;
  if (version <= acknowledged_) return;
  acknowledged_ = version;
  history_[now] = version;
}

void ConfigurationChecker::OnRead(const std::string& member, std::uint64_t version,
                                  const std::string& content, common::Time sent_at,
                                  common::Time now) {
  ++reads_;
  const auto sent = contents_.find(version);
  if (sent == contents_.end() || sent->second != content) {
    log_.Report(now, "read",
                member + " returned version " + std::to_string(version) +
                    " with content that was not sent");
  }
  if (invalid_.contains(version)) {
    log_.Report(now, "read", member + " returned invalid version " + std::to_string(version));
  }
  auto due = history_.upper_bound(sent_at - bounds_.in_force);
  if (due == history_.begin()) return;
  --due;
  if (version >= due->second) return;
  log_.Report(now, "read",
              member + " returned version " + std::to_string(version) + " though " +
                  std::to_string(due->second) + " was acknowledged");
}

void ConfigurationChecker::OnServed(const std::string& entry, std::uint64_t lifetime,
                                    std::uint64_t version, common::Time sent_at, common::Time now) {
  const std::optional<std::uint64_t> due = DueVersion(sent_at);
  if (due && version < *due &&
      (!in_touch_ || in_touch_(entry, sent_at - bounds_.contact_period, now))) {
    log_.Report(now, "late",
                entry + " served by version " + std::to_string(version) +
                    ", later than the bound of " + std::to_string(*due));
  }
  Served& served = served_[{entry, lifetime}];
  if (version > served.version) {
    served = {.version = version, .at = now};
    return;
  }
  if (version == served.version || sent_at < served.at + bounds_.revert_slack) return;
  log_.Report(now, "revert",
              entry + " reverted from version " + std::to_string(served.version) + " to " +
                  std::to_string(version));
}

bool UsageChecker::OnReport(std::uint64_t window, const Counts& counts, const std::string& holder,
                            std::uint64_t fencing_token, common::Time now) {
  if (fencing_token < highest_fencing_token_) return false;
  highest_fencing_token_ = fencing_token;
  const auto known = holders_.emplace(fencing_token, holder);
  if (known.first->second != holder) {
    log_.Report(now, "one holder",
                holder + " and " + known.first->second + " sent fencing token " +
                    std::to_string(fencing_token));
  }
  const auto first = reports_.emplace(window, counts);
  if (first.first->second != counts) {
    log_.Report(now, "one figure",
                "window " + std::to_string(window) + " was reported twice with different counts");
  }
  return true;
}

}  // namespace briarwood::soak
