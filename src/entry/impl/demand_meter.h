#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "fleet.pb.h"

namespace briarwood::entry::impl {

/// Measures the demand of each customer at this entry. The control leader divides the customers'
/// limits among the entries by this demand. Thread-safe.
class DemandMeter {
 public:
  void OnRequest(const common::CustomerId& customer);
  void OnTokens(const common::CustomerId& customer, std::uint64_t tokens);
  void OnEnd(const common::CustomerId& customer);

  /// \returns the demand since the previous call; requests and tokens are rates per second.
  [[nodiscard]] std::vector<schema::CustomerDemand> Take(common::Time now);

 private:
  struct Counts {
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    std::uint32_t concurrent = 0;
  };

  std::mutex mutex_;
  std::map<std::string, Counts> customers_;
  common::Time taken_at_;
};

}  // namespace briarwood::entry::impl
