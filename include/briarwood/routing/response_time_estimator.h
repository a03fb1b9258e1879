#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Estimates within which time a response probably ends, counted from the arrival of its request,
/// so that an entry that stops takes only requests that it can finish. The lengths of outputs vary
/// widely around what callers expect, so the estimate is a high quantile of the recent responses of
/// the class, relative to the expected output, and not their mean.
class ResponseTimeEstimator {
 public:
  /// Records a response that has ended.
  /// \param output_tokens  expected or maximum output of the request; 0 if it names none
  /// \param first          time from the arrival of the request to the start of its response
  /// \param total          time from the arrival of the request to the end of its response
  void Observe(const common::ClassId& class_id, std::uint64_t output_tokens, common::Duration first,
               common::Duration total);

  /// \returns the time within which nine of ten responses end, or nothing if the class had too few.
  [[nodiscard]] std::optional<common::Duration> Estimate(const common::ClassId& class_id,
                                                         std::uint64_t output_tokens) const;

 private:
  static constexpr std::size_t kObservations = 64;

  struct Observation {
    double first_s = 0;
    double s_per_token = 0;
  };

  struct ClassState {
    std::array<Observation, kObservations> observations;
    std::size_t count = 0;
    std::size_t next = 0;
  };

  std::map<common::ClassId, ClassState> classes_;
};

}  // namespace briarwood::routing
