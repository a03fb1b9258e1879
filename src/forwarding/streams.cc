#include <algorithm>

#include "briarwood/observability/log_line.h"
#include "forwarding/impl/exchange.h"
#include "forwarding/impl/exchange_support.h"

namespace briarwood::forwarding::impl {

using observability::LogLine;

namespace {

/// Share of the time left for which a request waits for the control members. They answer within
/// tens of milliseconds, or some seconds after they have all started again.
constexpr double kMaxLookUpShare = 0.5;
/// Callers count their time from their first request and may come back a moment after its end.
constexpr milliseconds kRecordMargin{5000};

}  // namespace

bool Exchange::ResumesStream() const {
  return route_->kind() == schema::CALL_KIND_STREAM && facts_.last_event_id;
}

routing::ClassPolicy Exchange::QueuePolicy() const {
  routing::ClassPolicy policy = Policy();
  if (pinned_version_) {
    policy.id = common::ClassId(policy.id.value() + "/version " + *pinned_version_);
  }
  return policy;
}

void Exchange::Proceed() {
  if (!ResumesStream()) {
    Queue();
    return;
  }
  const common::Time now = common::BootClock::now();
  const auto key = routing::StreamVersions::KeyOf(customer_, facts_.resumed_request);
  if (const auto* origin = owner_.stream_versions_.Find(key, now);
      origin != nullptr && !facts_.resumed_request.empty()) {
    owner_.metrics_.CountEvent("stream_known_here");
    Resume(*origin);
    return;
  }
  state_ = State::kLookUp;
  look_up_until_ = now + common::FromSeconds(common::ToSeconds(deadline_ - now) * kMaxLookUpShare);
  owner_.stream_versions_.Ask(number_, key, service_);
}

void Exchange::OnStreamLookup(const routing::StreamLookupAnswer& answer) {
  if (state_ != State::kLookUp) return;
  state_ = State::kQueued;
  if (answer.origin && !facts_.resumed_request.empty()) {
    owner_.metrics_.CountEvent("stream_known");
    Resume(*answer.origin);
    return;
  }
  recorded_versions_ = {answer.recorded_versions.begin(), answer.recorded_versions.end()};
  state_ = State::kListWait;
  if (owner_.ListIsFrom(request_->arrived_at())) ResumeUnknownStream();
}

void Exchange::ResumeUnknownStream() {
  state_ = State::kQueued;
  // Without a record, the stream goes on only if no other version can have begun it. An entry that
  // was cut off or stood still may not know the server where it began, so the list must be younger
  // than the request.
  std::set<std::string> versions = owner_.VersionsOf(service_);
  versions.insert(recorded_versions_.begin(), recorded_versions_.end());
  if (versions.size() <= 1) {
    owner_.metrics_.CountEvent("stream_of_only_version");
    Resume({.service = service_, .software_version = versions.empty() ? "" : *versions.begin()});
    return;
  }
  owner_.metrics_.CountEvent("stream_unknown");
  Reject(kUnavailable, "stream_unknown", RetryDelay());
}

void Exchange::Resume(const routing::StreamOrigin& origin) {
  const auto& targets = route_->targets();
  if (std::any_of(targets.begin(), targets.end(),
                  [&](const auto& target) { return target.service() == origin.service; })) {
    service_ = origin.service;
  }
  pinned_version_ = origin.software_version;
  if (!HasServerToGoOn()) {
    owner_.log_.Info(LogLine("stream_not_resumed")
                         .Add("request", facts_.id)
                         .Add("resumes", facts_.resumed_request)
                         .Add("service", service_)
                         .Add("version", *pinned_version_)
                         .text());
    Reject(kUnavailable, "no_server_of_version", RetryDelay());
    return;
  }
  Queue();
}

void Exchange::PinVersion() {
  if (pinned_version_ || !retryable() || !last_event_) return;
  pinned_version_ = attempt_->server_version;
  if (facts_.id.empty()) return;
  const milliseconds timeout(route_->timeout_ms());
  owner_.stream_versions_.OnBegan(
      routing::StreamVersions::KeyOf(customer_, facts_.id),
      {.service = service_, .software_version = *pinned_version_},
      std::max(timeout, facts_.time_left.value_or(timeout)) + kRecordMargin,
      common::BootClock::now());
}

bool Exchange::HasServerToGoOn() const {
  if (!pinned_version_ || owner_.placement_.HasServer(Capability(), may_have_run_on_)) return true;
  // Servers of an only version may start again. While another version replaces this one, that is
  // unlikely, and the caller can still begin anew.
  std::set<std::string> others = owner_.VersionsOf(service_);
  others.erase(*pinned_version_);
  return others.empty();
}

}  // namespace briarwood::forwarding::impl
