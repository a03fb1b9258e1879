#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>

#include "briarwood/common/ids.h"
#include "control.pb.h"
#include "state.pb.h"

namespace briarwood::control {

/// First results of operators' commands by operation id, and audit records of their actions.
class OperatorRecords {
 public:
  static constexpr std::size_t kMaxOperations = 65536;
  static constexpr std::size_t kMaxAuditRecords = 65536;
  static constexpr std::size_t kMaxWithdrawnKeys = 262144;

  /// \returns the first result of the operation; CONFLICT when the id belongs to another command;
  /// nothing for a new operation.
  [[nodiscard]] std::optional<schema::CommandResult> FindOperation(
      const std::string& operation_id, const std::string& command_sha256,
      common::LogIndex index) const;

  void AddOperation(const std::string& operation_id, const std::string& command_sha256,
                    const schema::CommandResult& result);

  void AddAudit(schema::AuditRecord record);

  /// A withdrawn key is not granted again, so that a delayed copy of its grant is still rejected
  /// after the operation id was removed.
  void AddWithdrawnKey(const std::string& sha256);
  [[nodiscard]] bool IsWithdrawn(const std::string& sha256) const {
    return withdrawn_.contains(sha256);
  }

  [[nodiscard]] const std::deque<schema::AuditRecord>& audit() const noexcept { return audit_; }

  void Save(schema::ControlSnapshot& snapshot) const;
  void Restore(const schema::ControlSnapshot& snapshot);

 private:
  std::map<std::string, schema::OperationState> operations_;
  std::deque<std::string> operation_order_;
  std::deque<schema::AuditRecord> audit_;
  std::unordered_set<std::string> withdrawn_;
  std::deque<std::string> withdrawn_order_;
};

}  // namespace briarwood::control
