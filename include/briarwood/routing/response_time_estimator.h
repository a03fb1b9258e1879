#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

/// Estimates how long a response lasts from the arrival of its request, so that an entry that stops
/// takes only requests that it can finish. The estimate of a class grows linearly with the expected
/// output and covers most responses: it is the mean plus four mean deviations, as in the
/// retransmission timeout of TCP.
class ResponseTimeEstimator {
 public:
  /// Records a response that has ended.
  /// \param output_tokens  expected or maximum output of the request; 0 if it names none
  /// \param first          time from the arrival of the request to the start of its response
  /// \param total          time from the arrival of the request to the end of its response
  void Observe(const common::ClassId& class_id, std::uint64_t output_tokens, common::Duration first,
               common::Duration total);

  /// \returns the time that a response probably needs, or nothing before the first observation of
  ///   the class.
  [[nodiscard]] std::optional<common::Duration> Estimate(const common::ClassId& class_id,
                                                         std::uint64_t output_tokens) const;

 private:
  class Average {
   public:
    void Observe(double value) noexcept;
    [[nodiscard]] double upper() const noexcept;

   private:
    bool observed_ = false;
    double mean_ = 0;
    double deviation_ = 0;
  };

  struct ClassState {
    Average first_s;
    Average s_per_token;
  };

  std::map<common::ClassId, ClassState> classes_;
};

}  // namespace briarwood::routing
