#include "briarwood/control/order_table.h"

#include "control/impl/results.h"

namespace briarwood::control {

using impl::MakeResult;

schema::CommandResult OrderTable::Decide(const schema::DecideOrder& command,
                                         common::LogIndex index) {
  schema::Order order = command.order();
  if (order.id() == 0 || order.fence() == 0 || order.kind() == schema::ORDER_KIND_UNSPECIFIED) {
    return MakeResult(schema::RESULT_CODE_INVALID, index, "order has no id, fence or kind");
  }
  order.set_state(schema::ORDER_STATE_DECIDED);
  const auto known = orders_.find(order.id());
  if (known != orders_.end()) {
    schema::Order first = known->second.order();
    first.set_state(schema::ORDER_STATE_DECIDED);
    if (first.SerializeAsString() == order.SerializeAsString()) {
      return impl::Ok(common::LogIndex(known->second.index()));
    }
    return MakeResult(schema::RESULT_CODE_CONFLICT, index, "the order id is in use");
  }
  const common::Term fencing_token(order.fence());
  if (fencing_token < highest_fencing_token_) {
    return MakeResult(schema::RESULT_CODE_REFUSED, index,
                      "found fence " + std::to_string(fencing_token.value()) +
                          ", expected at least " + std::to_string(highest_fencing_token_.value()));
  }
  highest_fencing_token_ = fencing_token;
  schema::OrderRecord& record = orders_[order.id()];
  record.set_index(index.value());
  record.set_decided_unix_ms(command.now_unix_ms());
  *record.mutable_order() = std::move(order);
  return impl::Ok(index);
}

schema::CommandResult OrderTable::RecordOutcome(const schema::RecordOrderOutcome& command,
                                                common::LogIndex index) {
  const auto found = orders_.find(command.order_id());
  if (found == orders_.end()) return MakeResult(schema::RESULT_CODE_NOT_FOUND, index, "no order");
  if (command.state() == schema::ORDER_STATE_UNSPECIFIED ||
      command.state() == schema::ORDER_STATE_DECIDED) {
    return MakeResult(schema::RESULT_CODE_INVALID, index, "the outcome is missing");
  }
  schema::Order& order = *found->second.mutable_order();
  if (order.state() == command.state()) return impl::Ok(index);
  if (order.state() != schema::ORDER_STATE_DECIDED) {
    return MakeResult(schema::RESULT_CODE_CONFLICT, index, "the order has ended otherwise");
  }
  order.set_state(command.state());
  found->second.set_detail(command.detail());
  ++ended_;
  TrimEndedOrders();
  return impl::Ok(index);
}

void OrderTable::TrimEndedOrders() {
  for (auto it = orders_.begin(); ended_ > kMaxEndedOrders && it != orders_.end();) {
    if (it->second.order().state() == schema::ORDER_STATE_DECIDED) {
      ++it;
    } else {
      it = orders_.erase(it);
      --ended_;
    }
  }
}

schema::OrderTableState OrderTable::Save() const {
  schema::OrderTableState state;
  state.set_highest_fence(highest_fencing_token_.value());
  for (const auto& [id, record] : orders_) *state.add_orders() = record;
  return state;
}

void OrderTable::Restore(const schema::OrderTableState& state) {
  *this = OrderTable();
  highest_fencing_token_ = common::Term(state.highest_fence());
  for (const schema::OrderRecord& record : state.orders()) {
    orders_[record.order().id()] = record;
    if (record.order().state() != schema::ORDER_STATE_DECIDED) ++ended_;
  }
}

}  // namespace briarwood::control
