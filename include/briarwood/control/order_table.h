#pragma once

#include <cstdint>
#include <map>

#include "briarwood/common/ids.h"
#include "control.pb.h"
#include "state.pb.h"

namespace briarwood::control {

/// Orders to the platform and to engines. An order with a fencing token below the highest one seen
/// is rejected, because its leader has been replaced.
class OrderTable {
 public:
  /// Orders with an outcome that are kept for operators.
  static constexpr std::size_t kMaxEndedOrders = 4096;

  /// Adds an order. REFUSED when the fencing token is too low, CONFLICT when the id belongs to
  /// another order, INVALID without id, fencing token or kind.
  schema::CommandResult Decide(const schema::DecideOrder& command, common::LogIndex index);

  /// Records the outcome of an order. CONFLICT when another outcome is recorded, NOT_FOUND for an
  /// unknown order, INVALID without an outcome.
  schema::CommandResult RecordOutcome(const schema::RecordOrderOutcome& command,
                                      common::LogIndex index);

  [[nodiscard]] const std::map<std::uint64_t, schema::OrderRecord>& orders() const noexcept {
    return orders_;
  }
  [[nodiscard]] common::Term highest_fence() const noexcept { return highest_fencing_token_; }

  [[nodiscard]] schema::OrderTableState Save() const;
  void Restore(const schema::OrderTableState& state);

 private:
  void TrimEndedOrders();

  std::map<std::uint64_t, schema::OrderRecord> orders_;
  std::size_t ended_ = 0;
  common::Term highest_fencing_token_;
};

}  // namespace briarwood::control
