#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Estimates how long a response may last from the arrival of its request, so that an entry that
/// stops takes only requests that it can finish. The lengths of outputs vary widely around what
/// callers expect, and a rejected caller can go to another entry at once, so the estimate is the
/// upper end of the recent responses of the class, by expected output, and not their mean.
class ResponseTimeEstimator {
 public:
  /// Records a response that has ended.
  /// \param output_tokens  expected or maximum output of the request; 0 if it names none
  /// \param first          time from the arrival of the request to the start of its response
  /// \param total          time from the arrival of the request to the end of its response
  void Observe(const common::ClassId& class_id, std::uint64_t output_tokens, common::Duration first,
               common::Duration total);

  /// \returns the time within which a response probably ends, or nothing if the class had too few
  ///   responses.
  [[nodiscard]] std::optional<common::Duration> Estimate(const common::ClassId& class_id,
                                                         std::uint64_t output_tokens) const;

 private:
  /// Maximum of the last observations.
  class RecentMaximum {
   public:
    void Observe(double value) noexcept;
    [[nodiscard]] double value() const noexcept;
    [[nodiscard]] std::size_t count() const noexcept { return count_; }

   private:
    static constexpr std::size_t kObservations = 64;

    std::array<float, kObservations> values_{};
    std::size_t count_ = 0;
    std::size_t next_ = 0;
  };

  struct ClassState {
    RecentMaximum first_s;
    RecentMaximum s_per_token;
  };

  std::map<common::ClassId, ClassState> classes_;
};

}  // namespace briarwood::routing
