#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "briarwood/common/time.h"

namespace briarwood::routing {

struct RepeatBudgetOptions {
  /// Repeats that each service takes in a window over all entries, as a share of its requests.
  double ratio = 0.1;
  common::Duration window = std::chrono::seconds(10);
  /// Repeats in a window besides that share, over all entries together.
  double burst = 10;
};

/// Bounds how often requests reach a service for a second time, over a sliding window and over all
/// entries: each entry spends the share that its own requests give, and its part of the burst.
///
/// Every arrival beyond a request's first counts, also one that the backend server rejects.
class RepeatBudget {
 public:
  explicit RepeatBudget(RepeatBudgetOptions options) : options_(options) {}

  void SetOptions(const RepeatBudgetOptions& options) { options_ = options; }
  /// \param entries  entries that are not dead; 0 when unknown
  void SetEntryCount(std::uint32_t entries) noexcept { entries_ = entries; }

  /// Records a request for the service; repeats must not be recorded here.
  void OnRequest(const std::string& service, common::Time now);

  /// Takes one repeat from the budget.
  /// \returns false when none is left.
  [[nodiscard]] bool TryRepeat(const std::string& service, common::Time now);

 private:
  /// Events of the last window with the counts of short steps.
  struct Counter {
    std::deque<std::pair<common::Time, std::uint32_t>> steps;
    std::uint64_t sum = 0;

    void Add(common::Time now);
    void Trim(common::Time oldest);
  };
  struct ServiceState {
    Counter requests;
    Counter repeats;
  };

  RepeatBudgetOptions options_;
  std::uint32_t entries_ = 0;
  std::unordered_map<std::string, ServiceState> services_;
};

}  // namespace briarwood::routing
