#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "briarwood/emulator/platform.h"

namespace briarwood::emulator::impl {

/// Records the orders and usage reports that the platform received, and counts faulty ones.
class PlatformLedger {
 public:
  void AddOrder(const PlatformOrder& order);

  /// \returns the acknowledgement of the window, or an empty string if the report differs from the
  /// first one.
  std::string AddReport(const UsageReport& report);

  void CountExpiredOrder() { ++counters_.expired_orders; }
  void CountRejectedLoad() { ++counters_.rejected_loads; }

  [[nodiscard]] const PlatformCounters& counters() const noexcept { return counters_; }
  [[nodiscard]] const std::vector<PlatformOrder>& orders() const noexcept { return orders_; }
  [[nodiscard]] const std::vector<UsageReport>& reports() const noexcept { return reports_; }

 private:
  PlatformCounters counters_;
  std::uint64_t highest_fencing_token_ = 0;
  std::vector<PlatformOrder> orders_;
  std::vector<UsageReport> reports_;
  std::map<std::uint64_t, std::string> report_by_window_;
};

}  // namespace briarwood::emulator::impl
