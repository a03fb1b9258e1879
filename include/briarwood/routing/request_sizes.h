#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "briarwood/common/time.h"
#include "briarwood/routing/memory_cost.h"

namespace briarwood::routing {

/// Requests at engines and the tokens that they occupy.
struct MemoryUse {
  double requests = 0;
  /// Tokens of their own parts and output.
  double own_tokens = 0;
  /// Sum of the squares of the own tokens of each request.
  double squared_own_tokens = 0;
  /// Tokens of shared parts, counted for each request that uses them.
  double shared_tokens = 0;

  void Add(const MemoryCost& cost) noexcept;
  /// Resets all sums with the last request, so that rounding does not accumulate.
  void Remove(const MemoryCost& cost) noexcept;
  MemoryUse& operator+=(const MemoryUse& other) noexcept;
};

/// Engines of a service and the entries that share them.
struct EngineShare {
  std::size_t engines = 1;
  std::uint32_t entries = 1;
};

/// Requests that one entry has in flight at the engines of a service. They stand for those of other
/// entries, of which engines report only the number. Not thread-safe.
class RequestSizes {
 public:
  void OnSent(const MemoryCost& cost, common::Time now);
  void OnEnded(const MemoryCost& cost) noexcept { in_flight_.Remove(cost); }
  /// Records the requests of other entries that an engine reported at `now`.
  void OnReport(double others, common::Time now) noexcept;
  /// Updates the means.
  /// \param in_flight  requests of this entry at all engines of the service
  void Refresh(const MemoryUse& in_flight, const EngineShare& share, common::Time now);

  /// \returns the mean over the requests in flight, with `requests` = 1 or, if there were none, 0.
  [[nodiscard]] const MemoryUse& mean() const noexcept { return mean_; }
  /// \returns the total tokens of the different shared parts that have been used recently.
  [[nodiscard]] double shared_part_tokens() const noexcept { return part_tokens_; }
  /// Entries that share the engines.
  [[nodiscard]] std::uint32_t entries() const noexcept { return share_.entries; }
  /// \returns the mean number of requests of this entry at an engine.
  [[nodiscard]] double MeanOwn() const noexcept;
  /// \returns the mean number of requests of other entries at an engine. Without recent reports,
  ///   the other entries are taken to have as many as this one.
  [[nodiscard]] double MeanOthers(common::Time now) const noexcept;

 private:
  struct PartUse {
    double tokens = 0;
    common::Time used_at;
  };

  std::unordered_map<std::uint64_t, PartUse> parts_;
  double part_tokens_ = 0;
  MemoryUse in_flight_;
  EngineShare share_;
  /// Moving mean of the requests in flight.
  MemoryUse mean_in_flight_;
  MemoryUse mean_;
  /// Moving mean of their number over the period of `others_`.
  double recent_requests_ = 0;
  std::optional<common::Time> refreshed_at_;
  double others_ = 0;
  double others_weight_ = 0;
  std::optional<common::Time> reported_at_;
};

}  // namespace briarwood::routing
