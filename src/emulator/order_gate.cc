#include "briarwood/emulator/order_gate.h"

#include <algorithm>

namespace briarwood::emulator {

OrderDecision OrderGate::Decide(const EngineOrder& order, std::uint64_t now_unix_ms) {
  received_.push_back(order);
  if (checks_token_ && order.fencing_token < highest_token_) return OrderDecision::kStaleToken;
  if (order.expires_unix_ms != 0 && order.expires_unix_ms < now_unix_ms) {
    return OrderDecision::kExpired;
  }
  highest_token_ = std::max(highest_token_, order.fencing_token);
  ++accepted_;
  return OrderDecision::kAccepted;
}

}  // namespace briarwood::emulator
