#include "briarwood/routing/scheduler.h"

#include <algorithm>
#include <limits>

namespace briarwood::routing {
namespace {

/// A class counts as below its floor when its served share is less than this multiple of the floor.
/// Tokens arrive seconds after a request is picked, so the class must be served before its share
/// falls to the floor itself.
constexpr double kFloorMargin = 1.2;
/// A class does not count as below its floor if its share of the running requests is at least this
/// multiple of the floor, because the tokens of these requests are still to come.
constexpr double kMaxFloorRunningRatio = 2.0;
/// Tokens by which the counter of a returning customer may be below the lowest counter of the
/// active customers of the class. Without this credit, a customer with few requests would lose its
/// turns, because its queue is empty most of the time. The limit keeps a customer that was inactive
/// for a long time from blocking the others.
constexpr double kReturnCreditTokens = 1000;
/// Maximum number of customer queue heads that one pick tries to place per class.
constexpr int kMaxPlacementChecks = 4;

/// \returns the newest request of the queue; unless `interrupted`, of those that were not
///   interrupted.
template <typename Queue>
auto FindNewest(Queue& queue, bool interrupted) {
  return std::find_if(queue.rbegin(), queue.rend(), [interrupted](const QueuedRequest& request) {
    return interrupted || request.interruptions == 0;
  });
}

}  // namespace

common::Result<Scheduler> Scheduler::Create(SchedulerOptions options) {
  using Created = common::Result<Scheduler>;
  double floors = 0;
  std::set<common::ClassId> seen;
  for (const ClassPolicy& policy : options.classes) {
    floors += policy.floor_share;
    if (policy.floor_share < 0) {
      return Created::Failure("class " + policy.id.value() + ": negative floor share");
    }
    if (!seen.insert(policy.id).second) {
      return Created::Failure("class " + policy.id.value() + " is listed twice");
    }
  }
  constexpr double kRoundingError = 1e-9;
  if (floors > 1 + kRoundingError) {
    return Created::Failure("floor shares add up to more than 1");
  }
  return Created::Success(Scheduler(std::move(options)));
}

Scheduler::Scheduler(SchedulerOptions options) : options_(std::move(options)) {
  for (const ClassPolicy& policy : options_.classes) {
    class_index_[policy.id] = static_cast<std::uint32_t>(classes_.size());
    classes_.emplace_back().policy = policy;
  }
}

bool Scheduler::SetClass(const ClassPolicy& policy) {
  const auto found = class_index_.find(policy.id);
  if (found != class_index_.end()) {
    classes_[found->second].policy = policy;
    return true;
  }
  auto slot = classes_.end();
  if (classes_.size() >= kMaxClasses) {
    slot = std::find_if(classes_.begin(), classes_.end(), [](const ClassState& state) {
      return state.queued == 0 && state.late.empty() && state.running == 0;
    });
    if (slot == classes_.end()) return false;
    class_index_.erase(slot->policy.id);
    *slot = ClassState{};
  } else {
    slot = classes_.emplace(classes_.end());
  }
  slot->policy = policy;
  class_index_[policy.id] = static_cast<std::uint32_t>(slot - classes_.begin());
  return true;
}

void Scheduler::SetWeight(const common::CustomerId& customer, double weight) {
  weights_[customer] = weight > 0 ? weight : 1;
  for (ClassState& state : classes_) {
    const auto found = state.index.find(customer);
    if (found != state.index.end()) state.customers[found->second].weight = weights_[customer];
  }
}

std::uint32_t Scheduler::IndexOf(ClassState& state, const common::CustomerId& customer) {
  const common::CustomerId key = options_.features.fair_sharing ? customer : common::CustomerId();
  const auto [found, inserted] =
      state.index.try_emplace(key, static_cast<std::uint32_t>(state.customers.size()));
  if (inserted) {
    CustomerState& added = state.customers.emplace_back();
    added.id = key;
    const auto weight = weights_.find(key);
    if (weight != weights_.end()) added.weight = weight->second;
  }
  return found->second;
}

void Scheduler::Push(ClassState& state, std::uint32_t customer_index, QueuedRequest request,
                     bool front) {
  CustomerState& customer = state.customers[customer_index];
  if (customer.queue.empty()) {
    const double baseline =
        state.active.empty() ? state.max_picked_counter : state.active.begin()->first;
    customer.counter = std::max(customer.counter, baseline - customer.credit / customer.weight);
    customer.credit = kReturnCreditTokens;
    state.active.emplace(customer.counter, customer_index);
  }
  if (front) {
    customer.queue.push_front(std::move(request));
  } else {
    customer.queue.push_back(std::move(request));
  }
  ++state.queued;
  ++queued_;
}

QueuedRequest Scheduler::PopFront(ClassState& state, std::uint32_t customer_index) {
  CustomerState& customer = state.customers[customer_index];
  QueuedRequest request = std::move(customer.queue.front());
  customer.queue.pop_front();
  if (customer.queue.empty()) state.active.erase({customer.counter, customer_index});
  --state.queued;
  --queued_;
  return request;
}

QueuedRequest Scheduler::TakeNewest(ClassState& state, std::uint32_t customer_index,
                                    bool interrupted) {
  CustomerState& customer = state.customers[customer_index];
  const auto newest = std::prev(FindNewest(customer.queue, interrupted).base());
  QueuedRequest request = std::move(*newest);
  customer.queue.erase(newest);
  if (customer.queue.empty()) state.active.erase({customer.counter, customer_index});
  --state.queued;
  --queued_;
  return request;
}

void Scheduler::AddToCounter(ClassState& state, std::uint32_t customer_index, double tokens) {
  CustomerState& customer = state.customers[customer_index];
  const double counter = customer.counter + tokens / customer.weight;
  if (!customer.queue.empty()) {
    auto node = state.active.extract({customer.counter, customer_index});
    node.value().first = counter;
    state.active.insert(std::move(node));
  }
  customer.counter = counter;
}

std::vector<DroppedRequest> Scheduler::Enqueue(QueuedRequest request, common::Time now) {
  std::vector<DroppedRequest> dropped;
  const auto found = class_index_.find(request.class_id);
  if (found == class_index_.end()) {
    dropped.push_back({.request = std::move(request), .reason = DropReason::kQueueFull});
    return dropped;
  }
  ClassState& state = classes_[found->second];
  request.enqueued_at = now;
  if (request.first_token_deadline == common::Time{}) {
    request.first_token_deadline = now + state.policy.first_token_target;
  }
  if (request.deadline == common::Time{}) request.deadline = now + state.policy.deadline;
  const std::uint32_t customer_index = IndexOf(state, request.customer);
  Push(state, customer_index, std::move(request), /*front=*/false);
  if (state.queued > state.policy.queue_limit) {
    if (auto shed = ShedFrom(state)) dropped.push_back(std::move(*shed));
  }
  if (queued_ > options_.total_queue_limit) {
    if (auto shed = ShedLowestTier()) dropped.push_back(std::move(*shed));
  }
  return dropped;
}

std::optional<DroppedRequest> Scheduler::ShedFrom(ClassState& state) {
  if (!state.late.empty()) {
    DroppedRequest shed{.request = std::move(state.late.back().request),
                        .reason = DropReason::kQueueFull};
    state.late.pop_back();
    --queued_;
    return shed;
  }
  // Drops the newest request of the customer with the longest queue relative to its weight, so that
  // a burst of one customer does not displace the requests of others. An interrupted request, whose
  // answer may have begun, is dropped only if there is no other.
  for (const bool interrupted : {false, true}) {
    const std::optional<std::uint32_t> longest = LongestQueue(state, interrupted);
    if (!longest) continue;
    return DroppedRequest{.request = TakeNewest(state, *longest, interrupted),
                          .reason = DropReason::kQueueFull};
  }
  return std::nullopt;
}

std::optional<std::uint32_t> Scheduler::LongestQueue(const ClassState& state, bool interrupted) {
  std::optional<std::uint32_t> longest;
  double longest_length = -1;
  for (const auto& [counter, index] : state.active) {
    const CustomerState& customer = state.customers[index];
    if (!interrupted && FindNewest(customer.queue, interrupted) == customer.queue.rend()) continue;
    const double length = static_cast<double>(customer.queue.size()) / customer.weight;
    if (length > longest_length) {
      longest = index;
      longest_length = length;
    }
  }
  return longest;
}

std::optional<DroppedRequest> Scheduler::ShedLowestTier() {
  ClassState* lowest = nullptr;
  for (ClassState& state : classes_) {
    const std::size_t queued = state.queued + state.late.size();
    if (queued == 0) continue;
    const bool lower =
        lowest == nullptr || state.policy.tier > lowest->policy.tier ||
        (state.policy.tier == lowest->policy.tier && queued > lowest->queued + lowest->late.size());
    if (lower) lowest = &state;
  }
  if (lowest == nullptr) return std::nullopt;
  return ShedFrom(*lowest);
}

std::optional<DropReason> Scheduler::Lateness(const QueuedRequest& request,
                                              common::Time now) const {
  if (now >= request.deadline) return DropReason::kDeadline;
  const bool checks_lateness = options_.features.drop_late || options_.features.demote_late;
  if (!checks_lateness || request.resume_from > 0) return std::nullopt;
  // The caller of a request that was accepted and interrupted still waits for its answer.
  if (!options_.features.demote_late && request.interruptions > 0) return std::nullopt;
  // The prediction is capped at half of the target. Otherwise a prediction above the target would
  // drop every request of a class, and no new observation would ever correct it.
  const common::Duration target = request.first_token_deadline - request.enqueued_at;
  const common::Duration predicted = std::min(predictor_.Predict(request.input_tokens), target / 2);
  if (now + predicted <= request.first_token_deadline) return std::nullopt;
  return DropReason::kFirstTokenLate;
}

void Scheduler::DropLateHeads(ClassState& state, std::uint32_t customer_index, common::Time now) {
  while (!state.customers[customer_index].queue.empty()) {
    const auto reason = Lateness(state.customers[customer_index].queue.front(), now);
    if (!reason) return;
    QueuedRequest request = PopFront(state, customer_index);
    if (*reason == DropReason::kFirstTokenLate && options_.features.demote_late) {
      state.late.push_back({.customer_index = customer_index, .request = std::move(request)});
      ++queued_;
      continue;
    }
    dropped_.push_back({.request = std::move(request), .reason = *reason});
  }
}

void Scheduler::DropPastDeadline(ClassState& state, common::Time now) {
  for (auto late = state.late.begin(); late != state.late.end();) {
    if (now < late->request.deadline) {
      ++late;
      continue;
    }
    dropped_.push_back({.request = std::move(late->request), .reason = DropReason::kDeadline});
    late = state.late.erase(late);
    --queued_;
  }
}

void Scheduler::DropLate(common::Time now) {
  for (ClassState& state : classes_) {
    std::vector<std::uint32_t> indexes;
    indexes.reserve(state.active.size());
    for (const auto& [counter, index] : state.active) indexes.push_back(index);
    for (const std::uint32_t index : indexes) DropLateHeads(state, index, now);
    DropPastDeadline(state, now);
  }
}

std::vector<DroppedRequest> Scheduler::TakeDropped() { return std::exchange(dropped_, {}); }

bool Scheduler::IsBelowFloor(ClassState& state, common::Time now) {
  const double floor = state.policy.floor_share;
  if (!options_.features.floors || floor <= 0 || running_.empty()) return false;
  const double all = served_.Sum(now);
  const double share = all > 0 ? state.served.Sum(now) / all : 0;
  if (share >= floor * kFloorMargin) return false;
  const double running_share =
      static_cast<double>(state.running) / static_cast<double>(running_.size());
  return state.running == 0 || running_share < floor * kMaxFloorRunningRatio;
}

common::Duration Scheduler::Slack(const ClassState& state, common::Time now) const {
  const CustomerState& customer = state.customers[state.active.begin()->second];
  const QueuedRequest& head = customer.queue.front();
  if (!options_.features.slack) return head.enqueued_at - now;
  return head.first_token_deadline - now - predictor_.Predict(head.input_tokens);
}

std::vector<Scheduler::ClassTurn> Scheduler::ClassOrder(common::Time now) {
  struct Candidate {
    ClassTurn turn;
    std::uint32_t tier;
    common::Duration slack;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(classes_.size());
  for (std::uint32_t index = 0; index < classes_.size(); ++index) {
    ClassState& state = classes_[index];
    const std::uint32_t tier = options_.features.tiers ? state.policy.tier.value() : 0;
    if (state.queued > 0) {
      candidates.push_back({.turn = {.class_index = index, .below_floor = IsBelowFloor(state, now)},
                            .tier = tier,
                            .slack = Slack(state, now)});
    }
    if (!state.late.empty()) {
      candidates.push_back({.turn = {.class_index = index, .late = true},
                            .tier = tier,
                            .slack = state.late.front().request.deadline - now});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              if (left.turn.below_floor != right.turn.below_floor) return left.turn.below_floor;
              if (left.tier != right.tier) return left.tier < right.tier;
              if (left.turn.late != right.turn.late) return right.turn.late;
              if (left.slack != right.slack) return left.slack < right.slack;
              return left.turn.class_index < right.turn.class_index;
            });
  std::vector<ClassTurn> order;
  order.reserve(candidates.size());
  for (const Candidate& candidate : candidates) order.push_back(candidate.turn);
  return order;
}

std::optional<std::uint32_t> Scheduler::PickCustomer(ClassState& state, bool below_floor,
                                                     common::Time now, const Placeable& placeable) {
  int checks = 0;
  for (auto next = state.active.begin(); next != state.active.end();) {
    const auto [counter, index] = *next;
    DropLateHeads(state, index, now);
    if (state.customers[index].queue.empty()) {
      next = state.active.upper_bound({counter, index});
      continue;
    }
    if (!placeable ||
        placeable(state.customers[index].queue.front(), state.policy.tier, below_floor)) {
      return index;
    }
    if (++checks == kMaxPlacementChecks) return std::nullopt;
    ++next;
  }
  return std::nullopt;
}

std::optional<PickedRequest> Scheduler::PickNext(common::Time now, const Placeable& placeable) {
  for (const ClassTurn& turn : ClassOrder(now)) {
    if (turn.late) {
      if (auto picked = PickLate(turn.class_index, now, placeable)) return picked;
      continue;
    }
    ClassState& state = classes_[turn.class_index];
    const auto customer = PickCustomer(state, turn.below_floor, now, placeable);
    if (customer) {
      return StartRunning(turn.class_index, *customer, PopFront(state, *customer),
                          turn.below_floor);
    }
  }
  return std::nullopt;
}

std::optional<PickedRequest> Scheduler::PickLate(std::uint32_t class_index, common::Time now,
                                                 const Placeable& placeable) {
  ClassState& state = classes_[class_index];
  DropPastDeadline(state, now);
  if (state.late.empty()) return std::nullopt;
  if (placeable &&
      !placeable(state.late.front().request, state.policy.tier, /*class_below_floor=*/false)) {
    return std::nullopt;
  }
  LateRequest late = std::move(state.late.front());
  state.late.pop_front();
  --queued_;
  return StartRunning(class_index, late.customer_index, std::move(late.request),
                      /*floor_protected=*/false);
}

PickedRequest Scheduler::StartRunning(std::uint32_t class_index, std::uint32_t customer_index,
                                      QueuedRequest request, bool floor_protected) {
  ClassState& state = classes_[class_index];
  const CustomerState& customer = state.customers[customer_index];
  state.max_picked_counter = std::max(state.max_picked_counter, customer.counter);
  RunningState running = {.class_index = class_index,
                          .customer_index = customer_index,
                          .request = request,
                          .reserved = std::max(0.0, request.expected_output_tokens)};
  // The input of a resumed request has already been charged.
  if (request.resume_from == 0) {
    running.input_cost = options_.input_token_weight * static_cast<double>(request.input_tokens);
  }
  AddToCounter(state, customer_index, running.input_cost + running.reserved);
  ++state.running;
  running_.insert_or_assign(request.id, std::move(running));
  return {
      .request = std::move(request), .tier = state.policy.tier, .floor_protected = floor_protected};
}

void Scheduler::Charge(const common::RequestId& id, std::uint64_t output_tokens, common::Time now) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  RunningState& running = found->second;
  ClassState& state = classes_[running.class_index];
  double served = static_cast<double>(output_tokens);
  if (running.charged == 0) served += running.input_cost;
  running.charged += output_tokens;
  const double excess = static_cast<double>(running.charged) - running.reserved;
  if (excess > 0) {
    running.reserved += excess;
    AddToCounter(state, running.customer_index, excess);
  }
  state.served.Add(served, now);
  served_.Add(served, now);
}

void Scheduler::UpdateEstimate(const common::RequestId& id, double remaining_output_tokens) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  RunningState& running = found->second;
  const double reserved =
      static_cast<double>(running.charged) + std::max(0.0, remaining_output_tokens);
  AddToCounter(classes_[running.class_index], running.customer_index, reserved - running.reserved);
  running.reserved = reserved;
}

void Scheduler::ObserveFirstToken(std::uint64_t input_tokens, common::Duration delay) {
  predictor_.Observe(input_tokens, delay);
}

std::optional<Scheduler::RunningState> Scheduler::TakeRunning(const common::RequestId& id) {
  auto node = running_.extract(id);
  if (node.empty()) return std::nullopt;
  --classes_[node.mapped().class_index].running;
  return std::move(node.mapped());
}

void Scheduler::Finish(const common::RequestId& id) {
  const auto running = TakeRunning(id);
  if (!running) return;
  AddToCounter(classes_[running->class_index], running->customer_index,
               static_cast<double>(running->charged) - running->reserved);
}

void Scheduler::PutBack(const common::RequestId& id) {
  auto running = TakeRunning(id);
  if (!running) return;
  ClassState& state = classes_[running->class_index];
  AddToCounter(state, running->customer_index, -running->input_cost - running->reserved);
  Push(state, running->customer_index, std::move(running->request), /*front=*/true);
}

void Scheduler::Requeue(const common::RequestId& id, std::uint64_t resume_from,
                        const common::BackendServerId& avoid, common::Time deadline) {
  auto running = TakeRunning(id);
  if (!running) return;
  ClassState& state = classes_[running->class_index];
  AddToCounter(state, running->customer_index,
               static_cast<double>(running->charged) - running->reserved);
  QueuedRequest request = std::move(running->request);
  request.expected_output_tokens =
      std::max(1.0, request.expected_output_tokens - static_cast<double>(running->charged));
  request.resume_from = resume_from;
  request.avoid = avoid;
  request.deadline = std::max(request.deadline, deadline);
  ++request.interruptions;
  Push(state, running->customer_index, std::move(request), /*front=*/true);
}

bool Scheduler::Cancel(const common::RequestId& id) {
  for (ClassState& state : classes_) {
    const auto late = std::find_if(state.late.begin(), state.late.end(),
                                   [&](const LateRequest& item) { return item.request.id == id; });
    if (late != state.late.end()) {
      state.late.erase(late);
      --queued_;
      return true;
    }
    for (const auto& [counter, index] : state.active) {
      CustomerState& customer = state.customers[index];
      const auto found = std::find_if(customer.queue.begin(), customer.queue.end(),
                                      [&](const QueuedRequest& queued) { return queued.id == id; });
      if (found == customer.queue.end()) continue;
      customer.queue.erase(found);
      if (customer.queue.empty()) state.active.erase({customer.counter, index});
      --state.queued;
      --queued_;
      return true;
    }
  }
  return false;
}

std::size_t Scheduler::queued(const common::ClassId& class_id) const {
  const auto found = class_index_.find(class_id);
  if (found == class_index_.end()) return 0;
  const ClassState& state = classes_[found->second];
  return state.queued + state.late.size();
}

std::size_t Scheduler::QueuedUpTo(const common::Tier& tier) const {
  std::size_t count = 0;
  for (const ClassState& state : classes_) {
    if (!(state.policy.tier > tier)) count += state.queued + state.late.size();
  }
  return count;
}

double Scheduler::VirtualTokens(const common::ClassId& class_id,
                                const common::CustomerId& customer) const {
  const auto found = class_index_.find(class_id);
  if (found == class_index_.end()) return 0;
  const ClassState& state = classes_[found->second];
  const auto position = state.index.find(customer);
  return position == state.index.end() ? 0 : state.customers[position->second].counter;
}

double Scheduler::ServedShare(const common::ClassId& class_id, common::Time now) {
  const auto found = class_index_.find(class_id);
  const double all = served_.Sum(now);
  if (found == class_index_.end() || all <= 0) return 0;
  return classes_[found->second].served.Sum(now) / all;
}

}  // namespace briarwood::routing
