#include "briarwood/control/control_state.h"

#include <google/protobuf/arena.h>

#include <algorithm>
#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/common/message_text.h"
#include "briarwood/control/error.h"
#include "briarwood/control/failure_domain_name.h"
#include "control/impl/configuration_rows.h"
#include "control/impl/results.h"

namespace briarwood::control {

using impl::MakeResult;

namespace {

constexpr std::size_t kSha256Bytes = 32;
constexpr std::chrono::seconds kDefaultUsageWindow{60};
// Covers more than two days of 6,100 changes a day. A child that was disconnected for longer
// receives the whole table.
constexpr std::size_t kMaxTombstones = 16384;
// Ten days of 45 failed and 360 replaced VMs a day.
constexpr std::size_t kMaxDeadIncarnations = 4096;

template <typename Message>
std::string CommandDigest(Message command) {
  // A repeated command has another time.
  command.clear_now_unix_ms();
  return common::Sha256(command.SerializeAsString());
}

/// Calls `function` with the message inside the command if that has a time field.
template <typename Function>
void VisitTimestamped(schema::Command& command, Function&& function) {
  switch (command.body_case()) {
    case schema::Command::kApplyConfiguration:
      return function(*command.mutable_apply_configuration());
    case schema::Command::kGrantKey:
      return function(*command.mutable_grant_key());
    case schema::Command::kWithdrawKey:
      return function(*command.mutable_withdraw_key());
    case schema::Command::kClaim:
      return function(*command.mutable_claim());
    case schema::Command::kCompleteClaim:
      return function(*command.mutable_complete_claim());
    case schema::Command::kRecordCrash:
      return function(*command.mutable_record_crash());
    case schema::Command::kBeginTrial:
      return function(*command.mutable_begin_trial());
    case schema::Command::kEndTrial:
      return function(*command.mutable_end_trial());
    case schema::Command::kCommitUsage:
      return function(*command.mutable_commit_usage());
    case schema::Command::kCloseWindow:
      return function(*command.mutable_close_window());
    case schema::Command::kDecideOrder:
      return function(*command.mutable_decide_order());
    case schema::Command::kDrainBackend:
      return function(*command.mutable_drain_backend());
    case schema::Command::kDeclareDead:
      return function(*command.mutable_declare_dead());
    case schema::Command::kRecordAction:
      return function(*command.mutable_record_action());
    case schema::Command::kRecordCrashEvidence:
      return function(*command.mutable_record_crash_evidence());
    case schema::Command::kBeginPropertyTrial:
      return function(*command.mutable_begin_property_trial());
    case schema::Command::kClearCrashEvidence:
      return function(*command.mutable_clear_crash_evidence());
    case schema::Command::kRecordStreams:
      return function(*command.mutable_record_streams());
    case schema::Command::kDrainFailureDomain:
      return function(*command.mutable_drain_failure_domain());
    case schema::Command::kRecordReceipt:
    case schema::Command::kRecordOrderOutcome:
    case schema::Command::BODY_NOT_SET:
      return;
  }
}

std::uint64_t Timestamp(const schema::Command& command) {
  std::uint64_t now = 0;
  schema::Command copy = command;
  VisitTimestamped(copy, [&](auto& message) { now = message.now_unix_ms(); });
  return now;
}

}  // namespace

void StampTime(schema::Command& command, common::UnixMillis now) {
  VisitTimestamped(command, [&](auto& message) {
    message.set_now_unix_ms(static_cast<std::uint64_t>(now.count()));
  });
}

void ControlState::Advance(common::LogIndex index) {
  if (index <= applied_index_) {
    throw ControlError("index " + std::to_string(index.value()) + " was already applied");
  }
  applied_index_ = index;
  table_.Advance(index);
}

schema::CommandResult ControlState::Apply(common::LogIndex index, const schema::Command& command) {
  Advance(index);
  AdvanceClock(Timestamp(command));
  schema::CommandResult result = Dispatch(index, command);
  PublishSuspects(index);
  PublishCrashEvidence(index);
  table_.TrimTombstones(kMaxTombstones);
  return result;
}

void ControlState::AdvanceClock(std::uint64_t now_unix_ms) {
  if (now_unix_ms <= clock_unix_ms_) return;
  clock_unix_ms_ = now_unix_ms;
  claims_.Expire(clock_unix_ms_);
  suspects_.Expire(clock_unix_ms_);
  crash_evidence_.Expire(clock_unix_ms_);
  stream_versions_.Expire(clock_unix_ms_);
}

schema::CommandResult ControlState::Dispatch(common::LogIndex index,
                                             const schema::Command& command) {
  switch (command.body_case()) {
    case schema::Command::kApplyConfiguration:
      return ApplyConfiguration(command.apply_configuration(), index);
    case schema::Command::kGrantKey:
      return GrantKey(command.grant_key(), index);
    case schema::Command::kWithdrawKey:
      return WithdrawKey(command.withdraw_key(), index);
    case schema::Command::kClaim:
      return claims_.Claim(command.claim(), index, clock_unix_ms_);
    case schema::Command::kCompleteClaim:
      return claims_.Complete(command.complete_claim(), index);
    case schema::Command::kRecordCrash:
      return suspects_.RecordCrash(command.record_crash(), index, clock_unix_ms_);
    case schema::Command::kBeginTrial:
      return suspects_.BeginTrial(command.begin_trial(), index, clock_unix_ms_);
    case schema::Command::kEndTrial:
      return suspects_.EndTrial(command.end_trial(), index);
    case schema::Command::kCommitUsage:
      return CommitUsage(command.commit_usage());
    case schema::Command::kCloseWindow:
      return usage_.Close(command.close_window());
    case schema::Command::kRecordReceipt:
      return usage_.RecordReceipt(command.record_receipt());
    case schema::Command::kDecideOrder:
      return orders_.Decide(command.decide_order(), index);
    case schema::Command::kRecordOrderOutcome:
      return orders_.RecordOutcome(command.record_order_outcome(), index);
    case schema::Command::kDrainBackend:
      return Drain(command.drain_backend(), index);
    case schema::Command::kDeclareDead:
      return DeclareDead(command.declare_dead(), index);
    case schema::Command::kRecordAction:
      return RecordAction(command.record_action(), index);
    case schema::Command::kRecordCrashEvidence:
      return RecordCrashEvidence(command.record_crash_evidence(), index);
    case schema::Command::kBeginPropertyTrial:
      return BeginPropertyTrial(command.begin_property_trial(), index);
    case schema::Command::kClearCrashEvidence:
      return ClearCrashEvidence(command.clear_crash_evidence(), index);
    case schema::Command::kRecordStreams:
      return RecordStreams(command.record_streams(), index);
    case schema::Command::kDrainFailureDomain:
      return DrainFailureDomain(command.drain_failure_domain(), index);
    default:
      return MakeResult(schema::RESULT_CODE_INVALID, index, "unknown command");
  }
}

template <typename Message>
void ControlState::Audit(const Message& command, const std::string& action,
                         const std::string& subject, const schema::CommandResult& result,
                         common::LogIndex index) {
  schema::AuditRecord record;
  record.set_index(index.value());
  record.set_unix_ms(command.now_unix_ms());
  record.set_operator_name(command.operator_name());
  record.set_action(action);
  record.set_subject(subject);
  record.set_result(result.code());
  record.set_detail(result.message());
  records_.AddAudit(std::move(record));
}

template <typename Message, typename Function>
schema::CommandResult ControlState::ApplyOnce(const Message& command, const std::string& action,
                                              const std::string& subject, common::LogIndex index,
                                              Function&& function) {
  if (command.operation_id().empty()) {
    return MakeResult(schema::RESULT_CODE_INVALID, index, "operation id is missing");
  }
  const std::string digest = CommandDigest(command);
  if (auto first = records_.FindOperation(command.operation_id(), digest, index)) return *first;
  schema::CommandResult result = std::forward<Function>(function)();
  records_.AddOperation(command.operation_id(), digest, result);
  Audit(command, action, subject, result, index);
  return result;
}

schema::CommandResult ControlState::ApplyConfiguration(const schema::ApplyConfiguration& command,
                                                       common::LogIndex index) {
  const Documents::Outcome outcome = documents_.Apply(
      command, index,
      [this](const schema::Configuration& merged) { return CheckKeyOwners(merged); });
  if (outcome.accepted) PublishConfiguration(index);
  const bool repeated = !outcome.accepted && outcome.result.code() == schema::RESULT_CODE_OK;
  if (!repeated) {
    Audit(command, "apply", command.document() + " version " + std::to_string(command.version()),
          outcome.result, index);
  }
  return outcome.result;
}

Problems ControlState::CheckKeyOwners(const schema::Configuration& merged) const {
  std::map<std::string, std::size_t> keys;
  for (const KeyInfo& key : Keys()) ++keys[key.customer];
  for (const schema::Customer& customer : merged.customers()) keys.erase(customer.id());
  Problems problems;
  for (const auto& [customer, count] : keys) {
    problems.push_back("customers: found no customer \"" + customer + "\" with " +
                       std::to_string(count) + " granted keys, expected its keys withdrawn first");
  }
  return problems;
}

void ControlState::PublishConfiguration(common::LogIndex index) {
  const impl::ConfigurationRows rows = impl::MakeConfigurationRows(documents_.merged());
  for (const auto& [key, value] : rows) table_.Put(key.first, key.second, value, index);
  std::vector<distribution::RowTable::RowKey> removed_rows;
  for (int kind = schema::RowKind_MIN; kind <= schema::RowKind_MAX; ++kind) {
    const auto row_kind = static_cast<schema::RowKind>(kind);
    table_.ForEach(row_kind, [&](const schema::Row& row) {
      const bool orphan = row_kind == schema::ROW_KIND_DRAINING &&
                          !rows.contains({schema::ROW_KIND_BACKEND_SERVER, row.id()});
      const bool removed =
          impl::IsConfigurationKind(row_kind) && !rows.contains({row_kind, row.id()});
      if (orphan || removed) removed_rows.emplace_back(row_kind, row.id());
    });
  }
  for (const auto& [kind, id] : removed_rows) table_.Erase(kind, id, index);
}

schema::CommandResult ControlState::GrantKey(const schema::GrantKey& command,
                                             common::LogIndex index) {
  const std::string id = common::ToHex(command.key_sha256());
  return ApplyOnce(command, "grant_key", command.customer() + " " + id, index, [&] {
    if (command.key_sha256().size() != kSha256Bytes) {
      return MakeResult(schema::RESULT_CODE_INVALID, index, "key digest is not 32 bytes");
    }
    if (table_.Find(schema::ROW_KIND_CUSTOMER, command.customer()) == nullptr) {
      return MakeResult(schema::RESULT_CODE_NOT_FOUND, index,
                        "no customer \"" + command.customer() + "\"");
    }
    if (table_.Find(schema::ROW_KIND_KEY, id) != nullptr) {
      return MakeResult(schema::RESULT_CODE_CONFLICT, index, "the key is granted already");
    }
    if (records_.IsWithdrawn(command.key_sha256())) {
      return MakeResult(schema::RESULT_CODE_CONFLICT, index, "the key was withdrawn");
    }
    schema::KeyRow row;
    row.set_customer(command.customer());
    row.set_label(command.label());
    table_.Put(schema::ROW_KIND_KEY, id, row.SerializeAsString(), index);
    return impl::Ok(index);
  });
}

schema::CommandResult ControlState::WithdrawKey(const schema::WithdrawKey& command,
                                                common::LogIndex index) {
  const std::string id = common::ToHex(command.key_sha256());
  return ApplyOnce(command, "withdraw_key", id, index, [&] {
    if (!table_.Erase(schema::ROW_KIND_KEY, id, index)) {
      return MakeResult(schema::RESULT_CODE_NOT_FOUND, index, "no such key is granted");
    }
    records_.AddWithdrawnKey(command.key_sha256());
    return impl::Ok(index);
  });
}

schema::CommandResult ControlState::CommitUsage(schema::CommitUsage command) {
  command.set_now_unix_ms(clock_unix_ms_);
  const std::uint64_t configured = documents_.merged().usage().window_seconds();
  return usage_.Commit(command,
                       configured == 0 ? kDefaultUsageWindow : std::chrono::seconds(configured));
}

schema::CommandResult ControlState::Drain(const schema::DrainBackend& command,
                                          common::LogIndex index) {
  const std::string& id = command.backend_server();
  return ApplyOnce(command, command.draining() ? "drain" : "undrain", id, index, [&] {
    if (table_.Find(schema::ROW_KIND_BACKEND_SERVER, id) == nullptr) {
      return MakeResult(schema::RESULT_CODE_NOT_FOUND, index, "no backend server \"" + id + "\"");
    }
    if (command.draining()) {
      table_.Put(schema::ROW_KIND_DRAINING, id, {}, index);
    } else {
      table_.Erase(schema::ROW_KIND_DRAINING, id, index);
    }
    return impl::Ok(index);
  });
}

schema::CommandResult ControlState::DrainFailureDomain(const schema::DrainFailureDomain& command,
                                                       common::LogIndex index) {
  const std::string& domain = command.failure_domain();
  const std::string action = command.draining() ? "drain_domain" : "undrain_domain";
  if (!IsFailureDomainName(domain)) {
    return MakeResult(
        schema::RESULT_CODE_INVALID, index,
        "failure domain: expected 1 to 128 printable ASCII characters without spaces");
  }
  const auto apply = [&] {
    // The domain need not be configured: it may exist only in the list of backend servers.
    if (command.draining()) {
      table_.Put(schema::ROW_KIND_DRAINING_DOMAIN, domain, {}, index);
    } else {
      table_.Erase(schema::ROW_KIND_DRAINING_DOMAIN, domain, index);
    }
    return impl::Ok(index);
  };
  if (!command.operation_id().empty()) return ApplyOnce(command, action, domain, index, apply);
  const bool drained = table_.Find(schema::ROW_KIND_DRAINING_DOMAIN, domain) != nullptr;
  if (drained == command.draining()) return impl::Ok(index);
  schema::CommandResult result = apply();
  Audit(command, action, domain, result, index);
  return result;
}

schema::CommandResult ControlState::DeclareDead(const schema::DeclareDead& command,
                                                common::LogIndex index) {
  const std::string id = std::to_string(command.incarnation());
  const schema::Row* known = table_.Find(schema::ROW_KIND_DEAD_INCARNATION, id);
  if (known != nullptr) return impl::Ok(common::LogIndex(known->modified_index()));
  table_.Put(schema::ROW_KIND_DEAD_INCARNATION, id, command.SerializeAsString(), index);
  usage_.MarkDead(common::Incarnation(command.incarnation()), clock_unix_ms_);
  std::vector<std::pair<std::uint64_t, std::string>> rows;
  table_.ForEach(schema::ROW_KIND_DEAD_INCARNATION, [&](const schema::Row& row) {
    rows.emplace_back(row.modified_index(), row.id());
  });
  if (rows.size() > kMaxDeadIncarnations) {
    table_.Erase(schema::ROW_KIND_DEAD_INCARNATION,
                 std::min_element(rows.begin(), rows.end())->second, index);
  }
  return impl::Ok(index);
}

schema::CommandResult ControlState::RecordAction(const schema::RecordAction& command,
                                                 common::LogIndex index) {
  schema::CommandResult result = impl::Ok(index);
  result.set_message(command.detail());
  Audit(command, command.action(), command.subject(), result, index);
  return impl::Ok(index);
}

schema::CommandResult ControlState::RecordCrashEvidence(const schema::RecordCrashEvidence& command,
                                                        common::LogIndex index) {
  for (schema::PropertyCrash crash : command.crashes()) {
    // A crash in the future would rule out that later ones count.
    crash.set_ended_unix_ms(std::min(crash.ended_unix_ms(), clock_unix_ms_));
    crash_evidence_.RecordCrash(crash);
  }
  for (const std::string& property : command.sound_properties()) crash_evidence_.Clear(property);
  return impl::Ok(index);
}

schema::CommandResult ControlState::RecordStreams(const schema::RecordStreams& command,
                                                  common::LogIndex index) {
  for (const schema::StreamStarts& starts : command.starts()) {
    stream_versions_.Record(starts, clock_unix_ms_);
  }
  schema::CommandResult result = impl::Ok(index);
  for (const schema::StreamLookup& lookup : command.lookups()) {
    *result.add_streams() = stream_versions_.LookUp(lookup);
  }
  return result;
}

schema::CommandResult ControlState::BeginPropertyTrial(const schema::BeginPropertyTrial& command,
                                                       common::LogIndex index) {
  if (crash_evidence_.BeginTrial(command, clock_unix_ms_) == routing::PropertyTrial::kGranted) {
    return impl::Ok(index);
  }
  return MakeResult(schema::RESULT_CODE_REFUSED, index, "no trial is due");
}

schema::CommandResult ControlState::ClearCrashEvidence(const schema::ClearCrashEvidence& command,
                                                       common::LogIndex index) {
  return ApplyOnce(command, "clear_crash_evidence", command.property(), index, [&] {
    if (!crash_evidence_.Clear(command.property())) {
      return MakeResult(schema::RESULT_CODE_NOT_FOUND, index,
                        "no evidence against property \"" + command.property() + "\"");
    }
    return impl::Ok(index);
  });
}

void ControlState::PublishCrashEvidence(common::LogIndex index) {
  for (const std::string& property : crash_evidence_.TakeChanged()) {
    const schema::CrashEvidence* evidence = crash_evidence_.Find(property);
    if (evidence == nullptr) {
      table_.Erase(schema::ROW_KIND_CRASH_EVIDENCE, property, index);
    } else {
      table_.Put(schema::ROW_KIND_CRASH_EVIDENCE, property, evidence->SerializeAsString(), index);
    }
  }
}

void ControlState::PublishSuspects(common::LogIndex index) {
  for (const common::Digest128& fingerprint : suspects_.TakeChanged()) {
    const schema::SuspectState* suspect = suspects_.Find(fingerprint);
    const std::string id = FingerprintId(fingerprint);
    if (suspect == nullptr) {
      table_.Erase(schema::ROW_KIND_SUSPECT, id, index);
      continue;
    }
    schema::SuspectRow row;
    row.set_crashes(suspect->crashes());
    row.set_proven(suspect->proven());
    row.set_expires_unix_ms(suspect->expires_unix_ms());
    table_.Put(schema::ROW_KIND_SUSPECT, id, row.SerializeAsString(), index);
  }
}

std::vector<KeyInfo> ControlState::Keys() const {
  std::vector<KeyInfo> keys;
  table_.ForEach(schema::ROW_KIND_KEY, [&](const schema::Row& row) {
    schema::KeyRow key;
    if (!key.ParseFromString(row.value())) return;
    keys.push_back({.sha256_hex = row.id(),
                    .customer = key.customer(),
                    .label = key.label(),
                    .granted_index = common::LogIndex(row.modified_index())});
  });
  return keys;
}

Documents::Evaluation ControlState::EvaluateDocument(const std::string& document,
                                                     const std::string& content) const {
  return documents_.Evaluate(document, content, [this](const schema::Configuration& merged) {
    return CheckKeyOwners(merged);
  });
}

std::string ControlState::Serialize() const {
  google::protobuf::Arena arena;
  auto& snapshot = *google::protobuf::Arena::CreateMessage<schema::ControlSnapshot>(&arena);
  snapshot.set_applied_index(applied_index_.value());
  snapshot.set_clock_unix_ms(clock_unix_ms_);
  table_.Save(*snapshot.mutable_table());
  documents_.Save(snapshot);
  records_.Save(snapshot);
  claims_.Save(*snapshot.mutable_claims());
  *snapshot.mutable_suspects() = suspects_.Save();
  *snapshot.mutable_crash_evidence() = crash_evidence_.Save();
  *snapshot.mutable_stream_versions() = stream_versions_.Save();
  *snapshot.mutable_orders() = orders_.Save();
  snapshot.set_usage(usage_.Serialize().SerializeAsString());
  return snapshot.SerializeAsString();
}

common::Result<ControlState> ControlState::Restore(std::string_view bytes,
                                                   ConfigurationParser parser) {
  using RestoreResult = common::Result<ControlState>;
  google::protobuf::Arena arena;
  auto& snapshot = *google::protobuf::Arena::CreateMessage<schema::ControlSnapshot>(&arena);
  std::vector<std::string> repaired;
  if (!common::ParseRepairing(bytes, snapshot, repaired)) {
    return RestoreResult::Failure("the snapshot is not a valid control state");
  }
  ControlState state(std::move(parser));
  state.repaired_fields_ = std::move(repaired);
  state.applied_index_ = common::LogIndex(snapshot.applied_index());
  state.clock_unix_ms_ = snapshot.clock_unix_ms();
  state.table_ = distribution::RowTable::FromState(snapshot.table());
  const bool completed = state.documents_.Restore(snapshot);
  // Rows contain serialized messages, which were neither repaired nor completed.
  if (completed || !state.repaired_fields_.empty()) {
    state.PublishConfiguration(state.applied_index_);
  }
  state.records_.Restore(snapshot);
  state.claims_.Restore(snapshot.claims());
  state.suspects_.Restore(snapshot.suspects());
  state.crash_evidence_.Restore(snapshot.crash_evidence());
  state.stream_versions_.Restore(snapshot.stream_versions());
  state.orders_.Restore(snapshot.orders());
  schema::UsageSnapshot usage;
  if (!usage.ParseFromString(snapshot.usage())) {
    return RestoreResult::Failure("the snapshot contains no valid usage windows");
  }
  auto windows = usage::UsageWindows::Restore(usage);
  if (!windows.ok()) return RestoreResult::Failure(windows.error());
  state.usage_ = std::move(windows).value();
  return RestoreResult::Success(std::move(state));
}

}  // namespace briarwood::control
