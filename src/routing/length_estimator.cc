#include "briarwood/routing/length_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace briarwood::routing {
namespace {

/// Total weight below which a histogram is not used.
constexpr double kMinWeight = 8;
/// All weights are halved when their total reaches this value, so that old observations decay.
constexpr double kMaxWeight = 500;
constexpr double kBucketsPerDoubling = 2;

}  // namespace

std::size_t LengthEstimator::BucketOf(std::uint64_t tokens) noexcept {
  if (tokens <= 1) return 0;
  const auto bucket =
      static_cast<std::size_t>(std::log2(static_cast<double>(tokens)) * kBucketsPerDoubling);
  return std::min(bucket, kBuckets - 1);
}

void LengthEstimator::Add(Histogram& histogram, std::uint64_t tokens) noexcept {
  const std::size_t bucket = BucketOf(tokens);
  histogram.weight[bucket] += 1;
  histogram.tokens[bucket] += static_cast<double>(tokens);
  histogram.total += 1;
  if (histogram.total < kMaxWeight) return;
  for (double& weight : histogram.weight) weight /= 2;
  for (double& sum : histogram.tokens) sum /= 2;
  histogram.total /= 2;
}

double LengthEstimator::MeanAbove(const Histogram& histogram, std::uint64_t produced) noexcept {
  double weight = 0;
  double tokens = 0;
  const std::size_t first = produced == 0 ? 0 : BucketOf(produced) + 1;
  for (std::size_t bucket = first; bucket < kBuckets; ++bucket) {
    weight += histogram.weight[bucket];
    tokens += histogram.tokens[bucket];
  }
  return weight > 0 ? tokens / weight : 0;
}

void LengthEstimator::Observe(const common::CustomerId& customer, const common::ClassId& class_id,
                              const common::ModelId& model, std::uint64_t output_tokens) {
  Add(histograms_[{customer, class_id, model}], output_tokens);
  Add(histograms_[{common::CustomerId(), class_id, model}], output_tokens);
  Add(histograms_[{common::CustomerId(), common::ClassId(), model}], output_tokens);
}

double LengthEstimator::Estimate(const common::CustomerId& customer,
                                 const common::ClassId& class_id, const common::ModelId& model,
                                 std::uint64_t produced) const {
  const std::array<Key, 3> keys = {Key{customer, class_id, model},
                                   Key{common::CustomerId(), class_id, model},
                                   Key{common::CustomerId(), common::ClassId(), model}};
  for (const Key& key : keys) {
    const auto found = histograms_.find(key);
    if (found == histograms_.end() || found->second.total < kMinWeight) continue;
    const double mean = MeanAbove(found->second, produced);
    if (mean > static_cast<double>(produced)) return mean;
  }
  if (produced == 0) return kDefaultTokens;
  // Longer than every observation. With a heavy-tailed distribution, the expected remaining length
  // is proportional to the length so far.
  return std::max(kDefaultTokens, 2 * static_cast<double>(produced));
}

}  // namespace briarwood::routing
