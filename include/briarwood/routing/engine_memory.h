#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "briarwood/common/time.h"
#include "briarwood/routing/request_sizes.h"

namespace briarwood::routing {

/// Estimate of the memory in use at one engine, in tokens: what this entry has sent there, and what
/// other entries hold according to the last load that the engine reported.
///
/// The output of a request counts from the start, so that no engine runs out of memory while its
/// requests grow. A shared part counts once. Without a capacity everything fits. Not thread-safe.
class EngineMemory {
 public:
  /// \param tokens  memory of the engine; 0 if it is unknown
  void SetCapacity(std::uint64_t tokens) noexcept { capacity_ = static_cast<double>(tokens); }
  /// Forgets the report of an earlier lifetime of the engine.
  void ForgetReport() noexcept { reported_at_.reset(); }

  void OnSent(const MemoryCost& cost);
  void OnEnded(const MemoryCost& cost);
  /// Records the requests of other entries that the engine reported at `now`.
  void OnReport(double others, common::Time now) noexcept;

  /// \param sizes  requests of the entry at the service of the engine
  /// \param headroom  share of the memory that the request must leave free
  /// \param with_reserve  also leaves room for requests of other entries that no report shows yet
  [[nodiscard]] bool Fits(const MemoryCost& cost, const RequestSizes& sizes, double headroom,
                          bool with_reserve, common::Time now) const;

  [[nodiscard]] double capacity() const noexcept { return capacity_; }
  /// Requests of this entry at the engine.
  [[nodiscard]] const MemoryUse& own() const noexcept { return own_; }
  /// \returns the estimated number of requests of other entries at the engine.
  [[nodiscard]] double OtherRequests(const RequestSizes& sizes, common::Time now) const noexcept;
  /// \returns the estimated tokens in use by all entries.
  [[nodiscard]] double InUse(const RequestSizes& sizes, common::Time now) const noexcept;

 private:
  struct PartUse {
    std::uint32_t requests = 0;
    double tokens = 0;
  };

  [[nodiscard]] double InUse(const RequestSizes& sizes, double other_requests) const noexcept;

  double capacity_ = 0;
  MemoryUse own_;
  std::unordered_map<std::uint64_t, PartUse> own_parts_;
  /// Tokens of the parts in `own_parts_`.
  double own_part_tokens_ = 0;
  double reported_others_ = 0;
  /// Requests sent since the report.
  double sent_since_report_ = 0;
  std::optional<common::Time> reported_at_;
};

}  // namespace briarwood::routing
