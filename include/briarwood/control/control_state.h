#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/common/time.h"
#include "briarwood/control/claim_table.h"
#include "briarwood/control/configuration_parser.h"
#include "briarwood/control/documents.h"
#include "briarwood/control/operator_records.h"
#include "briarwood/control/order_table.h"
#include "briarwood/control/stream_version_table.h"
#include "briarwood/control/suspect_registry.h"
#include "briarwood/distribution/row_table.h"
#include "briarwood/routing/crash_evidence_table.h"
#include "briarwood/usage/usage_windows.h"
#include "control.pb.h"
#include "state.pb.h"

namespace briarwood::control {

/// Granted key as shown to operators. Only the digest of a key is stored.
struct KeyInfo {
  std::string sha256_hex;
  std::string customer;
  std::string label;
  common::LogIndex granted_index;
};

/// Replicated state of the control members. Applies committed commands in log order; members that
/// apply the same log have byte-identical states. Not thread-safe.
class ControlState {
 public:
  explicit ControlState(ConfigurationParser parser = SettingsParser())
      : documents_(std::move(parser)) {}

  /// Applies one committed command. A rejected command returns a result; throws ControlError only
  /// when `index` is not above applied_index().
  schema::CommandResult Apply(common::LogIndex index, const schema::Command& command);

  /// Advances past a log entry without a command. Throws ControlError when `index` is not above
  /// applied_index().
  void Advance(common::LogIndex index);

  /// \returns the whole state, including the tables that detect repeated commands.
  [[nodiscard]] std::string Serialize() const;
  /// Text that is not UTF-8, which earlier versions let in, is repaired, see ParseRepairing.
  [[nodiscard]] static common::Result<ControlState> Restore(
      std::string_view bytes, ConfigurationParser parser = SettingsParser());
  /// \returns the paths of the fields that Restore has repaired.
  [[nodiscard]] const std::vector<std::string>& repaired_fields() const noexcept {
    return repaired_fields_;
  }

  [[nodiscard]] const distribution::RowTable& table() const noexcept { return table_; }
  [[nodiscard]] common::LogIndex applied_index() const noexcept { return applied_index_; }
  [[nodiscard]] const Documents& documents() const noexcept { return documents_; }
  [[nodiscard]] const OrderTable& orders() const noexcept { return orders_; }
  [[nodiscard]] const OperatorRecords& records() const noexcept { return records_; }
  [[nodiscard]] const ClaimTable& claims() const noexcept { return claims_; }
  [[nodiscard]] const usage::UsageWindows& usage() const noexcept { return usage_; }
  [[nodiscard]] const routing::CrashEvidenceTable& crash_evidence() const noexcept {
    return crash_evidence_;
  }
  [[nodiscard]] std::vector<KeyInfo> Keys() const;

  /// \returns the result of parsing and checking the content without applying it.
  [[nodiscard]] Documents::Evaluation EvaluateDocument(const std::string& document,
                                                       const std::string& content) const;

 private:
  void AdvanceClock(std::uint64_t now_unix_ms);
  schema::CommandResult Dispatch(common::LogIndex index, const schema::Command& command);
  schema::CommandResult ApplyConfiguration(const schema::ApplyConfiguration& command,
                                           common::LogIndex index);
  schema::CommandResult GrantKey(const schema::GrantKey& command, common::LogIndex index);
  schema::CommandResult WithdrawKey(const schema::WithdrawKey& command, common::LogIndex index);
  schema::CommandResult CommitUsage(schema::CommitUsage command);
  schema::CommandResult Drain(const schema::DrainBackend& command, common::LogIndex index);
  schema::CommandResult DrainFailureDomain(const schema::DrainFailureDomain& command,
                                           common::LogIndex index);
  schema::CommandResult DeclareDead(const schema::DeclareDead& command, common::LogIndex index);
  schema::CommandResult RecordAction(const schema::RecordAction& command, common::LogIndex index);
  schema::CommandResult RecordCrashEvidence(const schema::RecordCrashEvidence& command,
                                            common::LogIndex index);
  schema::CommandResult RecordStreams(const schema::RecordStreams& command, common::LogIndex index);
  schema::CommandResult BeginPropertyTrial(const schema::BeginPropertyTrial& command,
                                           common::LogIndex index);
  schema::CommandResult ClearCrashEvidence(const schema::ClearCrashEvidence& command,
                                           common::LogIndex index);
  /// Applies an operator's command unless its operation id was used before, and records it.
  template <typename Message, typename Function>
  schema::CommandResult ApplyOnce(const Message& command, const std::string& action,
                                  const std::string& subject, common::LogIndex index,
                                  Function&& function);
  template <typename Message>
  void Audit(const Message& command, const std::string& action, const std::string& subject,
             const schema::CommandResult& result, common::LogIndex index);

  [[nodiscard]] Problems CheckKeyOwners(const schema::Configuration& merged) const;
  void PublishConfiguration(common::LogIndex index);
  void PublishSuspects(common::LogIndex index);
  void PublishCrashEvidence(common::LogIndex index);

  distribution::RowTable table_;
  Documents documents_;
  OperatorRecords records_;
  ClaimTable claims_;
  SuspectRegistry suspects_;
  StreamVersionTable stream_versions_;
  routing::CrashEvidenceTable crash_evidence_;
  OrderTable orders_;
  usage::UsageWindows usage_;
  common::LogIndex applied_index_;
  // Latest wall clock time of all commands. It never decreases, and expiry depends on it alone, so
  // that it is the same on every member.
  std::uint64_t clock_unix_ms_ = 0;
  std::vector<std::string> repaired_fields_;
};

/// Sets the time field of a command that has one. The leader calls it immediately before it
/// proposes the command, so that the wrong clock of an entry cannot expire claims.
void StampTime(schema::Command& command, common::UnixMillis now);

}  // namespace briarwood::control
