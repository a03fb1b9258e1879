#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "agent/impl/run.h"
#include "briarwood/routing/running_set.h"

namespace briarwood::agent::impl {

struct Admission {
  /// Set if the run is rejected.
  std::optional<schema::RunEvent> rejection;
  /// Run that is preempted in favor of the new one; the caller must cancel it.
  std::shared_ptr<Run> preempted;
};

/// Runs in flight on the backend server, and the admission policy. Thread-safe.
class RunTable {
 public:
  RunTable() : set_(0) {}

  /// Makes the final admission decision and adds an admitted run.
  [[nodiscard]] Admission Admit(const std::shared_ptr<Run>& run, common::Time now);
  /// \returns false if the run was not in the table.
  bool Remove(const std::string& key);
  void OnToken(const std::string& key);

  [[nodiscard]] std::shared_ptr<Run> Find(const std::string& key) const;
  [[nodiscard]] std::vector<std::shared_ptr<Run>> All() const;

  void SetCapacity(std::uint32_t capacity);
  void SetLeaving(bool leaving);

  [[nodiscard]] std::uint32_t running() const;
  /// Number of runs of one entry.
  [[nodiscard]] std::uint32_t RunningOf(common::Incarnation entry) const;
  [[nodiscard]] std::uint32_t OfferedCapacity(common::Time now) const;
  [[nodiscard]] bool leaving() const;
  [[nodiscard]] routing::TierCounts OfferedPreemptible(common::Time now) const;

 private:
  void RecordKey(const std::string& key);

  mutable std::mutex mutex_;
  routing::RunningSet set_;
  std::map<std::string, std::shared_ptr<Run>> runs_;
  // Keys of the latest admitted runs, so that an attempt that arrives twice is executed once.
  std::unordered_set<std::string> seen_;
  std::deque<std::string> seen_order_;
};

}  // namespace briarwood::agent::impl
