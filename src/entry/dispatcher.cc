#include "entry/impl/dispatcher.h"

#include <algorithm>
#include <utility>

namespace briarwood::entry::impl {
namespace {

constexpr std::uint64_t kDefaultDeadlineMs = 300'000;
constexpr std::uint64_t kDefaultQueueLimit = 1000;
constexpr std::uint64_t kDefaultFirstTokenMs = 10'000;

// Equal to the timeouts of the control members' liveness table.
constexpr std::chrono::seconds kSuspectTimeout{3};
constexpr std::chrono::seconds kDeadTimeout{10};

routing::ClassPolicy ToPolicy(const schema::RequestClass& request_class) {
  const std::uint64_t deadline =
      request_class.deadline_ms() == 0 ? kDefaultDeadlineMs : request_class.deadline_ms();
  const std::uint64_t first_token = request_class.first_token_target_ms() == 0
                                        ? kDefaultFirstTokenMs
                                        : request_class.first_token_target_ms();
  const std::uint64_t limit =
      request_class.queue_limit() == 0 ? kDefaultQueueLimit : request_class.queue_limit();
  return {.id = common::ClassId(request_class.id()),
          .tier = common::Tier(request_class.tier()),
          .first_token_target = std::chrono::milliseconds(first_token),
          .deadline = std::chrono::milliseconds(deadline),
          .floor_share = request_class.floor_share(),
          .queue_limit = limit};
}

bool SamePolicy(const routing::ClassPolicy& left, const routing::ClassPolicy& right) {
  return left.id == right.id && left.tier == right.tier &&
         left.first_token_target == right.first_token_target && left.deadline == right.deadline &&
         left.floor_share == right.floor_share && left.queue_limit == right.queue_limit;
}

routing::BackendDescription ToDescription(const schema::BackendServer& backend) {
  return {.id = common::BackendServerId(backend.id()),
          .failure_domain = common::FailureDomainId(backend.failure_domain()),
          .model = common::ModelId(backend.model()),
          .adapters = {backend.adapters().begin(), backend.adapters().end()},
          .model_version = backend.model_version(),
          .service = backend.service(),
          .takes_requests = backend.role() != schema::ENGINE_ROLE_PREFILL &&
                            backend.role() != schema::ENGINE_ROLE_DECODE,
          .max_concurrency = static_cast<std::uint32_t>(backend.max_concurrency())};
}

// Requests for all adapters and versions of a model share one queue.
routing::Capability QueueKey(const routing::Capability& capability) {
  routing::Capability key;
  key.model = capability.model;
  key.service = capability.service;
  return key;
}

}  // namespace

Dispatcher::Dispatcher(common::FailureDomainId near_domain, std::uint64_t seed)
    : random_(seed), placement_({.near_domain = std::move(near_domain), .seed = seed}) {}

void Dispatcher::Configure(const Directory& directory, common::Time now) {
  const std::lock_guard lock(mutex_);
  ConfigureBackends(directory, now);
  weights_.clear();
  for (const auto& [id, customer] : directory.customers()) {
    if (customer.weight() > 0) weights_[id] = customer.weight();
    limits_.SetLimits(common::CustomerId(id),
                      {.requests_per_minute = static_cast<double>(customer.requests_per_minute()),
                       .tokens_per_minute = static_cast<double>(customer.tokens_per_minute()),
                       .concurrency = static_cast<double>(customer.max_concurrency())});
  }
  std::vector<routing::ClassPolicy> classes;
  for (const auto& [id, request_class] : directory.classes()) {
    classes.push_back(ToPolicy(request_class));
  }
  AddRemovedClassesInUse(classes);
  if (!std::equal(classes.begin(), classes.end(), classes_.begin(), classes_.end(), SamePolicy)) {
    classes_ = std::move(classes);
    ReplaceSchedulers(now);
  }
  for (const auto& [key, scheduler] : schedulers_) {
    for (const auto& [id, weight] : weights_) scheduler->SetWeight(common::CustomerId(id), weight);
  }
}

void Dispatcher::ConfigureBackends(const Directory& directory, common::Time now) {
  std::vector<routing::BackendDescription> backends;
  for (const auto& [id, backend] : directory.backends()) backends.push_back(ToDescription(backend));
  placement_.SetBackends(backends);
  placement_.SetDrainingDomains(directory.draining_domains(), now);
  std::set<std::string> configured;
  for (const auto& [id, backend] : directory.backends()) configured.insert(id);
  liveness_.RemoveUnconfigured(configured);
  for (const auto& [id, backend] : directory.backends()) {
    placement_.SetDraining(common::BackendServerId(id), directory.draining().contains(id));
  }
}

void Dispatcher::AddRemovedClassesInUse(std::vector<routing::ClassPolicy>& classes) const {
  std::set<common::ClassId> missing;
  for (const auto& [id, tracked] : tracked_) missing.insert(tracked.request.class_id);
  for (const routing::ClassPolicy& policy : classes) missing.erase(policy.id);
  for (routing::ClassPolicy policy : classes_) {
    if (!missing.contains(policy.id)) continue;
    // The floors of the new classes may add up to 1.
    policy.floor_share = 0;
    classes.push_back(std::move(policy));
  }
}

void Dispatcher::ReplaceSchedulers(common::Time now) {
  schedulers_.clear();
  std::vector<TrackedRequest*> queued;
  for (auto& [id, tracked] : tracked_) {
    // A running request moves to the new scheduler when it is queued again.
    if (tracked.scheduler->Cancel(id)) queued.push_back(&tracked);
  }
  std::sort(queued.begin(), queued.end(), [](const auto* left, const auto* right) {
    return left->request.enqueued_at < right->request.enqueued_at;
  });
  for (TrackedRequest* tracked : queued) {
    tracked->scheduler = SchedulerFor(tracked->request.capability);
    for (routing::DroppedRequest& dropped : tracked->scheduler->Enqueue(tracked->request, now)) {
      dropped_.push_back(std::move(dropped));
    }
  }
}

Dispatcher::SchedulerPtr Dispatcher::MakeScheduler() const {
  auto created = routing::Scheduler::Create({.classes = classes_});
  // Committed configurations have been validated, so creation should not fail. A scheduler without
  // classes queues nothing.
  if (!created.ok()) created = routing::Scheduler::Create({});
  auto scheduler = std::make_shared<routing::Scheduler>(std::move(created).value());
  for (const auto& [id, weight] : weights_) scheduler->SetWeight(common::CustomerId(id), weight);
  return scheduler;
}

Dispatcher::SchedulerPtr Dispatcher::SchedulerFor(const routing::Capability& capability) {
  SchedulerPtr& scheduler = schedulers_[QueueKey(capability)];
  if (!scheduler) scheduler = MakeScheduler();
  return scheduler;
}

routing::LimitDecision Dispatcher::TryAdmit(const common::CustomerId& customer, double tokens,
                                            common::Time now) {
  const std::lock_guard lock(mutex_);
  return limits_.TryAdmit(customer, tokens, now);
}

void Dispatcher::Release(const common::CustomerId& customer, double estimated_tokens,
                         double served_tokens) {
  const std::lock_guard lock(mutex_);
  limits_.Finish(customer, estimated_tokens, served_tokens);
}

void Dispatcher::SetShare(const common::CustomerId& customer, const routing::Limits& share,
                          common::Time lease_end) {
  const std::lock_guard lock(mutex_);
  limits_.SetShare(customer, share, lease_end);
}

void Dispatcher::SetEntryCount(std::size_t entries) {
  const std::lock_guard lock(mutex_);
  limits_.SetConfiguredEntries(entries);
}

double Dispatcher::EstimateOutput(const common::CustomerId& customer,
                                  const common::ClassId& request_class,
                                  const common::ModelId& model) const {
  const std::lock_guard lock(mutex_);
  return lengths_.Estimate(customer, request_class, model);
}

void Dispatcher::ObserveOutput(const common::CustomerId& customer,
                               const common::ClassId& request_class, const common::ModelId& model,
                               std::uint64_t tokens) {
  const std::lock_guard lock(mutex_);
  lengths_.Observe(customer, request_class, model, tokens);
}

void Dispatcher::OnRequest(const common::ClassId& request_class, common::Time now) {
  const std::lock_guard lock(mutex_);
  budget_.OnRequest(request_class, now);
}

std::optional<common::Duration> Dispatcher::TryRetry(const common::ClassId& request_class,
                                                     std::uint32_t attempt, common::Time now) {
  const std::lock_guard lock(mutex_);
  if (!budget_.TryRetry(request_class, now)) return std::nullopt;
  return routing::RetryBudget::Backoff(attempt, random_);
}

std::vector<routing::DroppedRequest> Dispatcher::Enqueue(const routing::QueuedRequest& request,
                                                         common::Time now) {
  const std::lock_guard lock(mutex_);
  TrackedRequest& tracked = tracked_[request.id];
  tracked.request = request;
  tracked.request.enqueued_at = now;
  tracked.scheduler = SchedulerFor(request.capability);
  return tracked.scheduler->Enqueue(request, now);
}

DispatchRound Dispatcher::Next(common::Time now) {
  const std::lock_guard lock(mutex_);
  DispatchRound round;
  round.dropped.swap(dropped_);
  // Both visit every backend server, which would cost an idle entry 0.8% of a core with 5,400
  // backend servers.
  if (!tracked_.empty()) {
    UpdateLiveness(now);
    placement_.Refresh(now);
  }
  for (const auto& [key, scheduler] : schedulers_) TakeFrom(*scheduler, now, round);
  return round;
}

void Dispatcher::TakeFrom(routing::Scheduler& scheduler, common::Time now, DispatchRound& round) {
  while (auto dispatch = routing::NextDispatch(scheduler, placement_, now)) {
    const routing::QueuedRequest& request = dispatch->picked.request;
    const auto tracked = tracked_.find(request.id);
    if (tracked == tracked_.end()) {
      placement_.OnEnded(dispatch->choice.id, dispatch->picked.tier, request.alone);
      scheduler.Finish(request.id);
      continue;
    }
    tracked->second.attempt = Attempt{
        .server = dispatch->choice.id, .tier = dispatch->picked.tier, .alone = request.alone};
    round.placed.push_back({.id = request.id,
                            .server = dispatch->choice.id,
                            .floor_protected = dispatch->picked.floor_protected});
  }
  scheduler.DropLate(now);
  for (routing::DroppedRequest& dropped : scheduler.TakeDropped()) {
    round.dropped.push_back(std::move(dropped));
  }
}

void Dispatcher::OnToken(const common::RequestId& id, common::Time now) {
  const std::lock_guard lock(mutex_);
  const auto tracked = tracked_.find(id);
  if (tracked != tracked_.end()) tracked->second.scheduler->Charge(id, 1, now);
}

std::string Dispatcher::OnFirstToken(const common::RequestId& id, common::Duration delay) {
  const std::lock_guard lock(mutex_);
  const auto found = tracked_.find(id);
  if (found == tracked_.end()) return {};
  TrackedRequest& tracked = found->second;
  tracked.scheduler->ObserveFirstToken(tracked.request.input_tokens, delay);
  std::string& version = tracked.request.capability.model_version;
  if (version.empty() && tracked.attempt) {
    version = placement_.ModelVersionOf(tracked.attempt->server);
    tracked.version_fixed = !version.empty();
  }
  return version;
}

void Dispatcher::EndAttempt(const common::RequestId& id, AttemptOutcome outcome, common::Time now) {
  const std::lock_guard lock(mutex_);
  const auto tracked = tracked_.find(id);
  if (tracked == tracked_.end() || !tracked->second.attempt) return;
  const Attempt attempt = *std::exchange(tracked->second.attempt, std::nullopt);
  placement_.OnEnded(attempt.server, attempt.tier, attempt.alone);
  if (outcome == AttemptOutcome::kSuccess) placement_.OnSuccess(attempt.server, now);
  if (outcome == AttemptOutcome::kFailure) {
    placement_.OnFailure(attempt.server, now);
    // A single server is not avoided, because there is no alternative.
    if (placement_.SubsetSize(tracked->second.request.capability) > 1) {
      tracked->second.request.avoid = attempt.server;
    }
  }
  if (outcome == AttemptOutcome::kFull) {
    placement_.OnFull(attempt.server, attempt.alone, now);
  }
}

void Dispatcher::PutBack(const common::RequestId& id, common::Time now) {
  const std::lock_guard lock(mutex_);
  const auto tracked = tracked_.find(id);
  if (tracked == tracked_.end()) return;
  const bool current =
      tracked->second.scheduler == SchedulerFor(tracked->second.request.capability);
  if (current && tracked->second.request.avoid.value().empty()) {
    tracked->second.scheduler->PutBack(id);
  } else {
    QueueAgain(tracked->second, tracked->second.request.resume_from, now);
  }
}

void Dispatcher::Requeue(const common::RequestId& id, std::uint64_t resume_from, common::Time now) {
  const std::lock_guard lock(mutex_);
  const auto tracked = tracked_.find(id);
  if (tracked != tracked_.end()) QueueAgain(tracked->second, resume_from, now);
}

void Dispatcher::QueueAgain(TrackedRequest& tracked, std::uint64_t resume_from, common::Time now) {
  tracked.request.resume_from = resume_from;
  ++tracked.request.interruptions;
  const SchedulerPtr current = SchedulerFor(tracked.request.capability);
  if (tracked.scheduler == current && tracked.request.avoid.value().empty() &&
      !tracked.version_fixed) {
    current->Requeue(tracked.request.id, resume_from);
    return;
  }
  // A request that must avoid a server, whose version is fixed or whose scheduler was replaced, is
  // enqueued anew.
  tracked.scheduler->Finish(tracked.request.id);
  tracked.scheduler = current;
  for (routing::DroppedRequest& dropped : current->Enqueue(tracked.request, now)) {
    dropped_.push_back(std::move(dropped));
  }
}

void Dispatcher::Finish(const common::RequestId& id) {
  const std::lock_guard lock(mutex_);
  const auto tracked = tracked_.find(id);
  if (tracked == tracked_.end()) return;
  if (!tracked->second.scheduler->Cancel(id)) tracked->second.scheduler->Finish(id);
  tracked_.erase(tracked);
}

void Dispatcher::Report(const schema::LoadReport& load, common::Time now) {
  const std::lock_guard lock(mutex_);
  liveness_.OnContact(load.backend_server(), now);
  ApplyLoad(load, now);
}

void Dispatcher::ReportRelayed(const schema::LoadReport& load, common::Time now) {
  const std::lock_guard lock(mutex_);
  liveness_.OnHeartbeat(load.backend_server(), now - std::chrono::milliseconds(load.age_ms()));
  ApplyLoad(load, now);
}

void Dispatcher::ApplyLoad(const schema::LoadReport& load, common::Time now) {
  routing::LoadSample sample{.id = common::BackendServerId(load.backend_server()),
                             .taken_at = now - std::chrono::milliseconds(load.age_ms()),
                             .running = load.running(),
                             .capacity = load.capacity(),
                             .leaving = load.leaving(),
                             .healthy = load.healthy()};
  if (load.running_here_plus_one() != 0) sample.running_here = load.running_here_plus_one() - 1;
  const std::size_t tiers = std::min(sample.preemptible.size(),
                                     static_cast<std::size_t>(load.preemptible_by_tier_size()));
  for (std::size_t i = 0; i < tiers; ++i) {
    sample.preemptible[i] = load.preemptible_by_tier(static_cast<int>(i));
  }
  placement_.Report(sample, now);
  if (load.token_gap_us() != 0) {
    placement_.ObserveTokenGap(sample.id, std::chrono::microseconds(load.token_gap_us()), now);
  }
}

void Dispatcher::OnSync(common::Time now) {
  const std::lock_guard lock(mutex_);
  liveness_.OnSync(now);
}

bool Dispatcher::IsDead(const common::BackendServerId& id) const {
  const std::lock_guard lock(mutex_);
  return dead_servers_.contains(id.value());
}

void Dispatcher::UpdateLiveness(common::Time now) {
  std::set<std::string> suspected = liveness_.TimedOut(now, kSuspectTimeout);
  for (const std::string& id : suspected_servers_) {
    if (!suspected.contains(id)) placement_.SetAlive(common::BackendServerId(id), true);
  }
  for (const std::string& id : suspected) placement_.SetAlive(common::BackendServerId(id), false);
  suspected_servers_ = std::move(suspected);
  dead_servers_ = liveness_.TimedOut(now, kDeadTimeout);
}

std::size_t Dispatcher::queued() const {
  const std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (const auto& [key, scheduler] : schedulers_) count += scheduler->queued();
  return count;
}

}  // namespace briarwood::entry::impl
