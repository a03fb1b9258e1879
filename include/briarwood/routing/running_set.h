#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Number of tiers counted separately; lower tiers share the last slot.
inline constexpr std::size_t kCountedTiers = 4;
using TierCounts = std::array<std::uint32_t, kCountedTiers>;

[[nodiscard]] inline std::size_t TierSlot(common::Tier tier) noexcept {
  return tier.value() < kCountedTiers ? tier.value() : kCountedTiers - 1;
}

/// Request on a backend server. The key must be unique across entries and attempts.
struct RunningRequest {
  std::string key;
  common::Tier tier;
  /// Was picked because its class was below its floor; it is not preempted.
  bool floor_protected = false;
  bool alone = false;
  /// False for a call that must not be retried; it is not preempted.
  bool repeatable = true;
  std::uint64_t input_tokens = 0;
};

enum class AdmitVerdict : std::uint8_t { kAdmitted, kFull, kLeaving };

struct AdmitDecision {
  AdmitVerdict verdict = AdmitVerdict::kAdmitted;
  /// Key of the request that must be cancelled and reported as preempted.
  std::optional<std::string> preempted;
};

/// Requests running on one backend server, and the final admission decision of its agent.
///
/// A full server admits a request by preempting a request of a lower tier. It preempts the request
/// with the shortest context in the lowest tier that has one to preempt. The top tier and protected
/// requests are never preempted.
///
/// The set is closed while the server is leaving, while a request runs alone, and while the server
/// drains for a request that runs alone.
class RunningSet {
 public:
  explicit RunningSet(std::uint32_t capacity) : capacity_(capacity) {}

  void SetCapacity(std::uint32_t capacity) noexcept { capacity_ = capacity; }
  /// A leaving server admits no further requests.
  void SetLeaving(bool leaving) noexcept { leaving_ = leaving; }

  /// If a request that runs alone is rejected because the server is not empty, the server drains:
  /// it rejects all other requests for this time.
  static constexpr common::Duration kAloneDrainPeriod = std::chrono::seconds(2);

  /// Admits `request` or returns kFull or kLeaving. A request that runs alone needs an empty server
  /// and excludes all others. If the server is not empty, the verdict is kFull, and for
  /// kAloneDrainPeriod the server admits only requests that run alone.
  [[nodiscard]] AdmitDecision Admit(const RunningRequest& request, common::Time now);
  void OnToken(const std::string& key);
  /// \returns false if the request is not running.
  bool Finish(const std::string& key);
  void Clear();

  [[nodiscard]] std::uint32_t running() const noexcept {
    return static_cast<std::uint32_t>(requests_.size());
  }
  [[nodiscard]] std::uint32_t capacity() const noexcept { return capacity_; }
  /// Capacity to report to entries: capacity(), or while the set is closed the number of running
  /// requests, but at least 1.
  [[nodiscard]] std::uint32_t OfferedCapacity(common::Time now) const noexcept;
  [[nodiscard]] bool leaving() const noexcept { return leaving_; }
  /// Requests per tier that a higher tier may preempt; none while the set is closed.
  [[nodiscard]] TierCounts OfferedPreemptible(common::Time now) const noexcept;

 private:
  struct Running {
    RunningRequest request;
    std::uint64_t produced = 0;
  };

  [[nodiscard]] bool IsClosed(common::Time now) const noexcept;
  [[nodiscard]] static bool IsPreemptible(const RunningRequest& request) noexcept;
  [[nodiscard]] std::optional<std::string> FindVictim(common::Tier tier) const;
  void Insert(const RunningRequest& request);

  std::uint32_t capacity_;
  bool leaving_ = false;
  bool alone_ = false;
  common::Time alone_drain_until_;
  std::unordered_map<std::string, Running> requests_;
  TierCounts preemptible_{};
};

}  // namespace briarwood::routing
