#include "emulator/impl/platform_ledger.h"

#include <algorithm>

namespace briarwood::emulator::impl {

void PlatformLedger::AddOrder(const PlatformOrder& order) {
  ++counters_.orders;
  const bool known = std::any_of(orders_.begin(), orders_.end(),
                                 [&](const PlatformOrder& other) { return other.id == order.id; });
  if (known) ++counters_.duplicate_orders;
  if (order.fencing_token < highest_fencing_token_) ++counters_.stale_orders;
  highest_fencing_token_ = std::max(highest_fencing_token_, order.fencing_token);
  orders_.push_back(order);
}

std::string PlatformLedger::AddReport(const UsageReport& report) {
  ++counters_.reports;
  if (report.fencing_token < highest_fencing_token_) ++counters_.stale_reports;
  highest_fencing_token_ = std::max(highest_fencing_token_, report.fencing_token);
  reports_.push_back(report);
  const auto [first, added] = report_by_window_.emplace(report.window, report.body);
  if (!added && first->second != report.body) {
    ++counters_.conflicting_reports;
    return {};
  }
  return "receipt-" + std::to_string(report.window);
}

}  // namespace briarwood::emulator::impl
