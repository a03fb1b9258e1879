#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace briarwood::load {

/// Histogram of latencies from 1 us to about 1 h, in constant memory. A bucket is 1 us or at most
/// 1/64 of its latency wide.
class LatencyHistogram {
 public:
  void Add(std::chrono::microseconds latency) noexcept;

  [[nodiscard]] std::uint64_t count() const noexcept { return count_; }
  [[nodiscard]] std::chrono::microseconds max() const noexcept { return max_; }

  /// \returns an upper bound of the latency at `quantile` (0 to 1), or 0 if there are no samples.
  [[nodiscard]] std::chrono::microseconds Quantile(double quantile) const noexcept;

 private:
  static constexpr unsigned kSubBucketBits = 6;
  static constexpr unsigned kMaxBits = 32;
  static constexpr std::size_t kBucketCount = std::size_t{kMaxBits - kSubBucketBits + 1}
                                              << kSubBucketBits;

  [[nodiscard]] static std::size_t BucketOf(std::uint64_t value) noexcept;
  [[nodiscard]] static std::uint64_t UpperBound(std::size_t bucket) noexcept;

  std::array<std::uint64_t, kBucketCount> buckets_{};
  std::uint64_t count_ = 0;
  std::chrono::microseconds max_{0};
};

}  // namespace briarwood::load
