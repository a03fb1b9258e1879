#include "briarwood/routing/running_set.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace briarwood::routing {

bool RunningSet::IsPreemptible(const RunningRequest& request) noexcept {
  return request.tier.value() > 0 && request.repeatable && !request.floor_protected &&
         !request.alone;
}

AdmitDecision RunningSet::Admit(const RunningRequest& request, common::Time now) {
  if (leaving_) return {.verdict = AdmitVerdict::kLeaving, .preempted = {}};
  AdmitDecision full = {.verdict = AdmitVerdict::kFull, .preempted = {}};
  if (request.alone && !requests_.empty()) {
    alone_drain_until_ = now + kAloneDrainPeriod;
    return full;
  }
  if (alone_ || (!request.alone && now < alone_drain_until_)) return full;
  if (running() < capacity_) {
    Insert(request);
    return {};
  }
  std::optional<std::string> victim = FindVictim(request.tier);
  if (!victim) return full;
  Finish(*victim);
  Insert(request);
  return {.verdict = AdmitVerdict::kAdmitted, .preempted = std::move(victim)};
}

std::optional<std::string> RunningSet::FindVictim(common::Tier tier) const {
  // A preempted stream has to prefill its prompt and its output so far again, so preempting the
  // shortest context wastes the least work.
  const Running* best = nullptr;
  const auto rank = [](const Running& running) {
    return std::tuple(-static_cast<std::int64_t>(running.request.tier.value()),
                      running.request.input_tokens + running.produced, running.request.key);
  };
  for (const auto& [key, running] : requests_) {
    if (running.request.tier <= tier || !IsPreemptible(running.request)) continue;
    if (best == nullptr || rank(running) < rank(*best)) best = &running;
  }
  if (best == nullptr) return std::nullopt;
  return best->request.key;
}

void RunningSet::Insert(const RunningRequest& request) {
  alone_ = request.alone;
  if (IsPreemptible(request)) ++preemptible_[TierSlot(request.tier)];
  requests_[request.key] = {.request = request};
}

void RunningSet::OnToken(const std::string& key) {
  const auto found = requests_.find(key);
  if (found != requests_.end()) ++found->second.produced;
}

bool RunningSet::Finish(const std::string& key) {
  const auto found = requests_.find(key);
  if (found == requests_.end()) return false;
  const RunningRequest& request = found->second.request;
  if (request.alone) alone_ = false;
  if (IsPreemptible(request)) --preemptible_[TierSlot(request.tier)];
  requests_.erase(found);
  return true;
}

bool RunningSet::IsClosed(common::Time now) const noexcept {
  return leaving_ || alone_ || now < alone_drain_until_;
}

std::uint32_t RunningSet::OfferedCapacity(common::Time now) const noexcept {
  return IsClosed(now) ? std::max(running(), 1U) : capacity_;
}

TierCounts RunningSet::OfferedPreemptible(common::Time now) const noexcept {
  return IsClosed(now) ? TierCounts{} : preemptible_;
}

void RunningSet::Clear() {
  requests_.clear();
  preemptible_ = {};
  alone_ = false;
}

}  // namespace briarwood::routing
