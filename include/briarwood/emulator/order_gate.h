#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarwood::emulator {

/// Order that an engine has received.
struct EngineOrder {
  std::uint64_t id = 0;
  std::uint64_t fencing_token = 0;
  /// "load_model", "load_adapter", "change_role", "start" or "stop".
  std::string kind;
  std::string model;
  std::string model_version;
  std::string adapter;
  std::string role;
  std::uint64_t expires_unix_ms = 0;
};

enum class OrderDecision : std::uint8_t { kAccepted, kStaleToken, kExpired };

/// Accepts or rejects orders, and records all orders received.
class OrderGate {
 public:
  /// \param checks_fencing_token  rejects orders whose fencing token is lower than the highest one
  ///                              accepted
  explicit OrderGate(bool checks_fencing_token) : checks_token_(checks_fencing_token) {}

  [[nodiscard]] OrderDecision Decide(const EngineOrder& order, std::uint64_t now_unix_ms);

  [[nodiscard]] std::uint64_t highest_fencing_token() const noexcept { return highest_token_; }
  [[nodiscard]] const std::vector<EngineOrder>& received() const noexcept { return received_; }
  [[nodiscard]] std::uint64_t accepted() const noexcept { return accepted_; }

 private:
  bool checks_token_;
  std::uint64_t highest_token_ = 0;
  std::uint64_t accepted_ = 0;
  std::vector<EngineOrder> received_;
};

}  // namespace briarwood::emulator
