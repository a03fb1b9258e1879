#include "agent/impl/run_table.h"

#include <algorithm>

namespace briarwood::agent::impl {
namespace {

// Covers the duration of the longest request at 100 requests/s per agent.
constexpr std::size_t kMaxSeenKeys = 30'000;

routing::RunningRequest Describe(const Run& run) {
  const schema::RunRequest& request = run.request();
  return {.key = run.key(),
          .tier = common::Tier(request.tier()),
          .floor_protected = request.floor_protected(),
          .alone = request.alone(),
          .repeatable = request.repeatable(),
          .input_tokens = request.input_tokens()};
}

}  // namespace

Admission RunTable::Admit(const std::shared_ptr<Run>& run, common::Time now) {
  const std::lock_guard lock(mutex_);
  Admission admission;
  if (seen_.contains(run->key())) {
    admission.rejection = MakeErrorEvent(schema::RUN_ERROR_CODE_INVALID, schema::RUN_STATE_UNKNOWN,
                                         "the attempt has been received before");
    return admission;
  }
  routing::AdmitDecision decision = set_.Admit(Describe(*run), now);
  if (decision.verdict == routing::AdmitVerdict::kFull) {
    admission.rejection = MakeErrorEvent(schema::RUN_ERROR_CODE_FULL, schema::RUN_STATE_NOT_RUN,
                                         "the backend server is full");
    return admission;
  }
  if (decision.verdict == routing::AdmitVerdict::kLeaving) {
    admission.rejection = MakeErrorEvent(schema::RUN_ERROR_CODE_LEAVING, schema::RUN_STATE_NOT_RUN,
                                         "the backend server is leaving");
    return admission;
  }
  RecordKey(run->key());
  if (decision.preempted) {
    const auto preempted_run = runs_.find(*decision.preempted);
    if (preempted_run != runs_.end()) {
      admission.preempted = preempted_run->second;
      runs_.erase(preempted_run);
    }
  }
  runs_[run->key()] = run;
  return admission;
}

bool RunTable::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (runs_.erase(key) == 0) return false;
  static_cast<void>(set_.Finish(key));
  return true;
}

void RunTable::OnToken(const std::string& key) {
  const std::lock_guard lock(mutex_);
  set_.OnToken(key);
}

std::shared_ptr<Run> RunTable::Find(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Run>> RunTable::All() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<Run>> runs;
  runs.reserve(runs_.size());
  for (const auto& [key, run] : runs_) runs.push_back(run);
  return runs;
}

void RunTable::SetCapacity(std::uint32_t capacity) {
  const std::lock_guard lock(mutex_);
  set_.SetCapacity(capacity);
}

void RunTable::SetLeaving(bool leaving) {
  const std::lock_guard lock(mutex_);
  set_.SetLeaving(leaving);
}

std::uint32_t RunTable::running() const {
  const std::lock_guard lock(mutex_);
  return set_.running();
}

std::uint32_t RunTable::RunningOf(common::Incarnation entry) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::uint32_t>(std::count_if(runs_.begin(), runs_.end(), [&](const auto& run) {
    return run.second->request().entry_incarnation() == entry.value();
  }));
}

std::uint32_t RunTable::OfferedCapacity(common::Time now) const {
  const std::lock_guard lock(mutex_);
  return set_.OfferedCapacity(now);
}

bool RunTable::leaving() const {
  const std::lock_guard lock(mutex_);
  return set_.leaving();
}

routing::TierCounts RunTable::OfferedPreemptible(common::Time now) const {
  const std::lock_guard lock(mutex_);
  return set_.OfferedPreemptible(now);
}

void RunTable::RecordKey(const std::string& key) {
  seen_.insert(key);
  seen_order_.push_back(key);
  if (seen_order_.size() <= kMaxSeenKeys) return;
  seen_.erase(seen_order_.front());
  seen_order_.pop_front();
}

}  // namespace briarwood::agent::impl
