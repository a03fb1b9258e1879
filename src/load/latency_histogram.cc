#include "briarwood/load/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace briarwood::load {

std::size_t LatencyHistogram::BucketOf(std::uint64_t value) noexcept {
  constexpr std::uint64_t kSubBuckets = std::uint64_t{1} << kSubBucketBits;
  if (value < kSubBuckets) return value;
  value = std::min(value, (std::uint64_t{1} << kMaxBits) - 1);
  const auto shift = static_cast<unsigned>(std::bit_width(value)) - 1 - kSubBucketBits;
  const std::uint64_t position = (value >> shift) - kSubBuckets;
  return ((std::size_t{shift} + 1) << kSubBucketBits) + position;
}

std::uint64_t LatencyHistogram::UpperBound(std::size_t bucket) noexcept {
  constexpr std::uint64_t kSubBuckets = std::uint64_t{1} << kSubBucketBits;
  if (bucket < kSubBuckets) return bucket;
  const std::size_t shift = (bucket >> kSubBucketBits) - 1;
  const std::uint64_t position = (bucket & (kSubBuckets - 1)) + kSubBuckets;
  return ((position + 1) << shift) - 1;
}

void LatencyHistogram::Add(std::chrono::microseconds latency) noexcept {
  const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
  ++buckets_[BucketOf(value)];
  ++count_;
  max_ = std::max(max_, latency);
}

std::chrono::microseconds LatencyHistogram::Quantile(double quantile) const noexcept {
  if (count_ == 0) return std::chrono::microseconds(0);
  const double exact_rank = std::ceil(quantile * static_cast<double>(count_));
  const auto rank = std::max<std::uint64_t>(static_cast<std::uint64_t>(exact_rank), 1);
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    cumulative += buckets_[i];
    if (cumulative < rank) continue;
    // The last bucket also counts latencies beyond the range.
    if (i + 1 == kBucketCount) break;
    const std::chrono::microseconds bound(static_cast<std::int64_t>(UpperBound(i)));
    return std::min(bound, max_);
  }
  return max_;
}

}  // namespace briarwood::load
