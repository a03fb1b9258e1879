#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>

#include "briarwood/common/ids.h"

namespace briarwood::routing {

/// Estimates output lengths per customer, class and model from histograms with exponential decay.
/// While the customer has fewer than 8 observations or none longer than the output so far, the
/// estimate falls back to the class, then the model, then a default.
class LengthEstimator {
 public:
  static constexpr double kDefaultTokens = 256;

  /// Records the output length of a completed request.
  void Observe(const common::CustomerId& customer, const common::ClassId& class_id,
               const common::ModelId& model, std::uint64_t output_tokens);

  /// \returns the expected total output tokens of a request that has produced `produced` so far;
  ///   always more than `produced`.
  [[nodiscard]] double Estimate(const common::CustomerId& customer, const common::ClassId& class_id,
                                const common::ModelId& model, std::uint64_t produced = 0) const;

 private:
  static constexpr std::size_t kBuckets = 40;

  struct Histogram {
    std::array<double, kBuckets> weight{};
    std::array<double, kBuckets> tokens{};
    double total = 0;
  };
  using Key = std::tuple<common::CustomerId, common::ClassId, common::ModelId>;

  [[nodiscard]] static std::size_t BucketOf(std::uint64_t tokens) noexcept;
  static void Add(Histogram& histogram, std::uint64_t tokens) noexcept;
  /// \returns 0 when no observation is longer than `produced`.
  [[nodiscard]] static double MeanAbove(const Histogram& histogram,
                                        std::uint64_t produced) noexcept;

  std::map<Key, Histogram> histograms_;
};

}  // namespace briarwood::routing
