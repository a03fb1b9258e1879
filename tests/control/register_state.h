#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "control.pb.h"

namespace briarwood::control {

/// Small replicated state for tests: counts how often each operation id was applied, and returns
/// that count as the current version.
class RegisterState {
 public:
  schema::CommandResult Apply(common::LogIndex index, const schema::Command& command) {
    schema::CommandResult result;
    result.set_current_version(++applied_[command.grant_key().operation_id()]);
    last_index_ = index.value();
    result.set_code(schema::RESULT_CODE_OK);
    result.set_index(index.value());
    return result;
  }

  void Advance(common::LogIndex index) { last_index_ = index.value(); }

  [[nodiscard]] std::string Serialize() const {
    std::string bytes = std::to_string(last_index_) + "\n";
    for (const auto& [id, count] : applied_) bytes += id + " " + std::to_string(count) + "\n";
    return bytes;
  }

  static common::Result<RegisterState> Restore(std::string_view bytes);

  [[nodiscard]] std::uint64_t CountOf(const std::string& operation) const {
    const auto found = applied_.find(operation);
    return found == applied_.end() ? 0 : found->second;
  }
  [[nodiscard]] const std::map<std::string, std::uint64_t>& applied() const { return applied_; }
  [[nodiscard]] std::uint64_t last_index() const { return last_index_; }

 private:
  std::map<std::string, std::uint64_t> applied_;
  std::uint64_t last_index_ = 0;
};

/// Command that RegisterState counts under `operation`.
inline schema::Command RegisterCommand(const std::string& operation) {
  schema::Command command;
  command.mutable_grant_key()->set_operation_id(operation);
  return command;
}

}  // namespace briarwood::control
