#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "briarwood/common/time.h"

namespace briarwood::routing {

struct ServiceRetryBudgetOptions {
  /// Retries that each service may receive in a window over all entries, as a share of its
  /// requests.
  double ratio = 0.1;
  common::Duration window = std::chrono::seconds(10);
  /// Retries in a window in addition to that share, over all entries.
  double burst = 10;
};

/// Limits the retries that a service receives from all entries within a sliding window. Each entry
/// may make retries for the share `ratio` of its own requests, plus the burst divided by the number
/// of entries. RetryBudget, in contrast, limits the retries of each request class.
///
/// Every attempt after the first attempt of a request counts, including attempts that the backend
/// server rejects.
class ServiceRetryBudget {
 public:
  explicit ServiceRetryBudget(ServiceRetryBudgetOptions options) : options_(options) {}

  void SetOptions(const ServiceRetryBudgetOptions& options) { options_ = options; }
  /// \param entries  number of entries whose liveness state is not dead; 0 if
  ///   unknown
  void SetEntryCount(std::uint32_t entries) noexcept { entries_ = entries; }

  /// Records a request for the service. Must not be called for retries.
  void OnRequest(const std::string& service, common::Time now);

  /// Takes one retry from the budget.
  /// \returns false if the budget is exhausted.
  [[nodiscard]] bool TryRetry(const std::string& service, common::Time now);
  /// \returns the part of the budget that is spent, 0 to 1.
  [[nodiscard]] double SpentShare(const std::string& service, common::Time now);
  /// Gives the latest retry back because it did not reach a server.
  void Refund(const std::string& service);

 private:
  /// Events within the window, counted in short time steps.
  struct Counter {
    std::deque<std::pair<common::Time, std::uint32_t>> steps;
    std::uint64_t sum = 0;

    void Add(common::Time now);
    void RemoveLatest();
    void Trim(common::Time oldest);
  };
  struct ServiceState {
    Counter requests;
    Counter retries;
  };

  /// \returns the retries that this entry may make in a window.
  [[nodiscard]] double Allowed(ServiceState& state, common::Time now) const;

  ServiceRetryBudgetOptions options_;
  std::uint32_t entries_ = 0;
  std::unordered_map<std::string, ServiceState> services_;
};

}  // namespace briarwood::routing
