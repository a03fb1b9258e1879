#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Limits of a customer over all entries, where 0 means unlimited, or the share of one entry, where
/// 0 means none; see CustomerLimits::SetShare.
struct Limits {
  double requests_per_minute = 0;
  double tokens_per_minute = 0;
  double concurrency = 0;

  friend bool operator==(const Limits&, const Limits&) = default;
};

enum class LimitVerdict : std::uint8_t {
  kAdmitted,
  kRequestRate,
  kTokenRate,
  kConcurrency,
};

struct LimitDecision {
  LimitVerdict verdict = LimitVerdict::kAdmitted;
  /// Time after which the same request may be admitted; zero when it is admitted.
  common::Duration retry_after{};
};

/// Enforces customer limits at one entry, using the shares leased to that entry.
///
/// Rates are enforced by token buckets that hold up to 10 s of the share. Without a valid lease,
/// the share is the whole limit divided by the number of configured entries.
class CustomerLimits {
 public:
  explicit CustomerLimits(std::size_t configured_entries) : entries_(configured_entries) {}

  void SetConfiguredEntries(std::size_t entries) noexcept { entries_ = entries; }
  /// Sets the total limits over all entries.
  void SetLimits(const common::CustomerId& customer, const Limits& limits);
  void Remove(const common::CustomerId& customer) { customers_.erase(customer); }
  /// Sets the share that this entry may use until `lease_end`. A concurrency share of 0 admits
  /// nothing, and a rate share of 0 does not refill the bucket, unless the limit itself is 0
  /// (unlimited).
  void SetShare(const common::CustomerId& customer, const Limits& share, common::Time lease_end);

  /// Admits a request and charges its estimated tokens, or returns the limit that rejects it.
  /// Requests of customers without limits are always admitted.
  [[nodiscard]] LimitDecision TryAdmit(const common::CustomerId& customer, double estimated_tokens,
                                       common::Time now);
  /// Ends an admitted request and replaces its estimated tokens by the tokens served.
  void Finish(const common::CustomerId& customer, double estimated_tokens, double served_tokens);

  /// \returns the share that applies at `now`.
  [[nodiscard]] Limits Effective(const common::CustomerId& customer, common::Time now) const;

 private:
  struct CustomerState {
    Limits limits;
    Limits share;
    std::optional<common::Time> lease_end;
    double request_level = 1;
    double token_level = 1;
    std::uint64_t running = 0;
    std::optional<common::Time> refilled_at;
  };

  [[nodiscard]] Limits EffectiveOf(const CustomerState& state, common::Time now) const;
  static void Refill(CustomerState& state, const Limits& effective, common::Time now);

  std::size_t entries_;
  std::unordered_map<common::CustomerId, CustomerState> customers_;
};

}  // namespace briarwood::routing
