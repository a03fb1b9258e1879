#pragma once

#include <unordered_map>

#include "briarwood/common/ids.h"
#include "briarwood/common/random.h"
#include "briarwood/common/time.h"
#include "briarwood/routing/token_window.h"

namespace briarwood::routing {

struct RetryBudgetOptions {
  /// Retries per request of the class.
  double ratio = 0.1;
  /// Retries allowed for each class in 10 s, independent of its traffic.
  double min_retries = 3;
};

/// Limits the retries of each class to a share of its requests over the last 10 s. Only the entry
/// retries, so the budget covers the whole path of a request.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {}) : options_(options) {}

  /// Records a new request. Must not be called for retries.
  void OnRequest(const common::ClassId& class_id, common::Time now);

  /// Takes one retry from the budget.
  /// \returns false if the budget is exhausted.
  [[nodiscard]] bool TryRetry(const common::ClassId& class_id, common::Time now);

  /// \returns the delay before a retry: uniform between zero and a limit that doubles with each
  ///   attempt.
  /// \param attempt  number of failed attempts, from 1
  [[nodiscard]] static common::Duration Backoff(std::uint32_t attempt, common::Random& random);

 private:
  /// Sums to which each request or retry adds 1.
  struct ClassState {
    TokenWindow requests;
    TokenWindow retries;
  };

  RetryBudgetOptions options_;
  std::unordered_map<common::ClassId, ClassState> classes_;
};

}  // namespace briarwood::routing
