#include "briarwood/control/leader_duties.h"

namespace briarwood::control {
namespace {

constexpr std::chrono::seconds kDefaultGrace{10};

bool IsApplied(const schema::ProposeResponse& response) {
  return response.status() == schema::ProposeResponse::STATUS_APPLIED;
}

}  // namespace

void LeaderDuties::Run() {
  if (!context_.may_send()) {
    dead_.clear();
    return;
  }
  DeclareDead();
  CloseWindow();
  if (platform_.send_report) SendReports();
  if (platform_.send_order) ProcessOrders();
}

bool LeaderDuties::MaySend() {
  if (!context_.may_send()) return false;
  const common::Term term = context_.fence();
  // Counted from the end of the last call, which may have reached the platform late.
  if (term != sent_term_ && context_.now() - last_sent_ < context_.holder_change) return false;
  sent_term_ = term;
  return true;
}

std::uint64_t LeaderDuties::NowMs() const {
  return static_cast<std::uint64_t>(context_.wall_clock().count());
}

void LeaderDuties::DeclareDead() {
  for (membership::DeadIncarnation& dead : context_.take_dead()) dead_.push_back(std::move(dead));
  while (!dead_.empty()) {
    schema::Command command;
    command.mutable_declare_dead()->set_node_id(dead_.back().node.value());
    command.mutable_declare_dead()->set_incarnation(dead_.back().incarnation.value());
    if (!IsApplied(context_.propose(command))) return;
    dead_.pop_back();
  }
}

void LeaderDuties::CloseWindow() {
  std::optional<usage::WindowId> due;
  const std::uint64_t now = NowMs();
  context_.read_state([&](const ControlState& state) {
    const std::uint64_t configured = state.documents().merged().usage().grace_seconds();
    due = state.usage().NextToClose(
        now, configured == 0 ? kDefaultGrace : std::chrono::seconds(configured));
  });
  if (!due) return;
  schema::Command command;
  command.mutable_close_window()->set_window_id(due->value());
  // The response is not needed: the next run finds the window closed, or still due.
  static_cast<void>(context_.propose(command));
}

void LeaderDuties::SendReports() {
  if (context_.now() < next_report_at_) return;
  std::vector<schema::UsageWindow> windows;
  context_.read_state([&](const ControlState& state) { windows = state.usage().Unreported(); });
  for (const schema::UsageWindow& window : windows) {
    const common::Term fencing_token = context_.fence();
    if (fencing_token == rejected_term_ || !MaySend()) return;
    const ReportResponse answer = platform_.send_report(window, fencing_token);
    last_sent_ = context_.now();
    // A newer leader exists, so this one sends no more reports in its term.
    if (answer.stale_fencing_token) rejected_term_ = fencing_token;
    const std::optional<std::string>& receipt = answer.receipt;
    if (!receipt) {
      next_report_at_ = context_.now() + context_.report_retry_delay;
      return;
    }
    schema::Command command;
    command.mutable_record_receipt()->set_window_id(window.id());
    command.mutable_record_receipt()->set_receipt(*receipt);
    if (!IsApplied(context_.propose(command))) return;
  }
}

void LeaderDuties::ProcessOrders() {
  std::vector<schema::Order> decided;
  context_.read_state([&](const ControlState& state) {
    for (const auto& [id, record] : state.orders().orders()) {
      if (record.order().state() == schema::ORDER_STATE_DECIDED) decided.push_back(record.order());
    }
  });
  std::vector<schema::Order> unanswered;
  for (const schema::Order& order : decided) {
    const bool own = order.fence() == context_.fence().value();
    if (!own || sent_orders_.contains(order.id()) || NowMs() >= order.expires_unix_ms()) {
      unanswered.push_back(order);
    } else {
      SendOrder(order);
    }
  }
  if (!unanswered.empty()) ReconcileOrders(unanswered);
}

void LeaderDuties::SendOrder(const schema::Order& order) {
  if (!MaySend()) return;
  sent_orders_.insert(order.id());
  const OrderResponse answer = platform_.send_order(order);
  last_sent_ = context_.now();
  switch (answer) {
    case OrderResponse::kAccepted:
      RecordOutcome(order, schema::ORDER_STATE_ACCEPTED);
      break;
    case OrderResponse::kRejected:
      RecordOutcome(order, schema::ORDER_STATE_REFUSED);
      break;
    case OrderResponse::kNoResponse:
      break;
  }
}

void LeaderDuties::ReconcileOrders(const std::vector<schema::Order>& orders) {
  // Read before the list, so that an order that the platform receives after it made the list is not
  // marked as expired.
  const std::uint64_t now = NowMs();
  const auto known = platform_.list_orders();
  if (!known) return;
  for (const schema::Order& order : orders) {
    const auto margin = static_cast<std::uint64_t>(kExpiryMargin.count());
    if (known->contains(order.id())) {
      RecordOutcome(order, schema::ORDER_STATE_ACCEPTED);
    } else if (now >= order.expires_unix_ms() + margin) {
      RecordOutcome(order, schema::ORDER_STATE_EXPIRED);
    }
  }
}

void LeaderDuties::RecordOutcome(const schema::Order& order, schema::OrderState state) {
  schema::Command command;
  command.mutable_record_order_outcome()->set_order_id(order.id());
  command.mutable_record_order_outcome()->set_state(state);
  // If the command is not committed, the order stays decided and the next run reconciles it.
  static_cast<void>(context_.propose(command));
}

}  // namespace briarwood::control
