#include "briarwood/control/operator_records.h"

#include <utility>

#include "control/impl/results.h"

namespace briarwood::control {

std::optional<schema::CommandResult> OperatorRecords::FindOperation(
    const std::string& operation_id, const std::string& command_sha256,
    common::LogIndex index) const {
  const auto found = operations_.find(operation_id);
  if (found == operations_.end()) return std::nullopt;
  if (found->second.command_sha256() == command_sha256) return found->second.result();
  return impl::MakeResult(schema::RESULT_CODE_CONFLICT, index,
                          "the operation id was used with another command");
}

void OperatorRecords::AddOperation(const std::string& operation_id,
                                   const std::string& command_sha256,
                                   const schema::CommandResult& result) {
  schema::OperationState& state = operations_[operation_id];
  state.set_operation_id(operation_id);
  state.set_command_sha256(command_sha256);
  *state.mutable_result() = result;
  operation_order_.push_back(operation_id);
  if (operation_order_.size() > kMaxOperations) {
    operations_.erase(operation_order_.front());
    operation_order_.pop_front();
  }
}

void OperatorRecords::AddAudit(schema::AuditRecord record) {
  audit_.push_back(std::move(record));
  if (audit_.size() > kMaxAuditRecords) audit_.pop_front();
}

void OperatorRecords::AddWithdrawnKey(const std::string& sha256) {
  if (!withdrawn_.insert(sha256).second) return;
  withdrawn_order_.push_back(sha256);
  if (withdrawn_order_.size() > kMaxWithdrawnKeys) {
    withdrawn_.erase(withdrawn_order_.front());
    withdrawn_order_.pop_front();
  }
}

void OperatorRecords::Save(schema::ControlSnapshot& snapshot) const {
  for (const std::string& id : operation_order_) *snapshot.add_operations() = operations_.at(id);
  for (const schema::AuditRecord& record : audit_) *snapshot.add_audit() = record;
  for (const std::string& sha256 : withdrawn_order_) snapshot.add_withdrawn_keys(sha256);
}

void OperatorRecords::Restore(const schema::ControlSnapshot& snapshot) {
  *this = OperatorRecords();
  for (const schema::OperationState& state : snapshot.operations()) {
    AddOperation(state.operation_id(), state.command_sha256(), state.result());
  }
  for (const schema::AuditRecord& record : snapshot.audit()) AddAudit(record);
  for (const std::string& sha256 : snapshot.withdrawn_keys()) AddWithdrawnKey(sha256);
}

}  // namespace briarwood::control
