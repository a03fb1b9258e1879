#include "control/impl/admin_calls.h"

#include <charconv>
#include <optional>
#include <sstream>
#include <utility>

#include "briarwood/common/digest.h"
#include "control/impl/admin_failure.h"
#include "control/impl/admin_json.h"
#include "control/impl/admin_numbers.h"
#include "control/impl/configuration_rows.h"

namespace briarwood::control::impl {
namespace {

constexpr std::chrono::seconds kCommitTimeout{5};
constexpr std::size_t kSha256HexDigits = 64;

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

[[noreturn]] void ThrowRejected(const schema::CommandResult& result) {
  schema::AdminError error;
  error.set_message(result.message());
  error.set_current_version(result.current_version());
  std::uint16_t status = 409;
  switch (result.code()) {
    case schema::RESULT_CODE_CONFLICT:
      error.set_code("conflict");
      break;
    case schema::RESULT_CODE_STALE_VERSION:
      error.set_code("stale_version");
      break;
    case schema::RESULT_CODE_NOT_FOUND:
      status = 404;
      error.set_code("not_found");
      break;
    default:
      status = 422;
      error.set_code("invalid");
      for (const std::string& line : SplitLines(result.message())) error.add_problems(line);
      error.set_message("the request is refused");
  }
  throw AdminFailure(status, std::move(error));
}

std::string ParseDigest(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    unsigned value = 0;
    const char* end = hex.data() + i + 2;
    if (std::from_chars(hex.data() + i, end, value, 16).ptr != end) break;
    bytes.push_back(static_cast<char>(value));
  }
  if (hex.size() != kSha256HexDigits || common::ToHex(bytes) != hex) {
    throw AdminFailure(400, "bad_request", "key_sha256: expected 64 lower-case hexadecimal digits");
  }
  return bytes;
}

void RequireOperationId(const std::string& id) {
  if (id.empty()) throw AdminFailure(400, "bad_request", "operation_id: expected a unique text");
}

std::string OperationResult(const std::string& operation_id, const schema::CommandResult& result) {
  schema::OperationResponse response;
  response.set_operation_id(operation_id);
  response.set_index(result.index());
  return ToJson(response);
}

[[noreturn]] void ThrowUnknownCall(const AdminCall& call) {
  throw AdminFailure(404, "unknown_call", "no call " + call.method + " with this path");
}

schema::DocumentSummary Summarize(const schema::DocumentState& document) {
  schema::DocumentSummary summary;
  const schema::AppliedVersion& version = *document.versions().rbegin();
  summary.set_name(document.name());
  summary.set_version(version.version());
  summary.set_index(version.index());
  summary.set_operator_name(version.operator_name());
  summary.set_applied_unix_ms(version.applied_unix_ms());
  return summary;
}

void AddChange(const std::pair<schema::RowKind, std::string>& key, const std::string* before,
               const std::string* after, schema::DiffDocumentResponse& response) {
  schema::RowChange& change = *response.add_changes();
  change.set_change(before == nullptr ? "added" : after == nullptr ? "removed" : "changed");
  change.set_kind(RowKindName(key.first));
  change.set_id(key.second);
  if (before != nullptr) *change.mutable_before() = MakeSingleRowConfiguration(key.first, *before);
  if (after != nullptr) *change.mutable_after() = MakeSingleRowConfiguration(key.first, *after);
}

void CompareRows(const ConfigurationRows& before, const ConfigurationRows& after,
                 schema::DiffDocumentResponse& response) {
  for (const auto& [key, value] : before) {
    const auto found = after.find(key);
    if (found == after.end()) {
      AddChange(key, &value, nullptr, response);
    } else if (found->second != value) {
      AddChange(key, &value, &found->second, response);
    }
  }
  for (const auto& [key, value] : after) {
    if (!before.contains(key)) AddChange(key, nullptr, &value, response);
  }
}

/// \returns the state of a document; throws AdminFailure (404) for an unknown name.
const schema::DocumentState& RequireDocument(const ControlState& state, const std::string& name) {
  const auto found = state.documents().documents().find(name);
  if (found == state.documents().documents().end()) {
    throw AdminFailure(404, "not_found", "no document \"" + name + "\"");
  }
  return found->second;
}

}  // namespace

schema::CommandResult AdminCalls::Commit(const schema::Command& command) {
  const schema::ProposeResponse response = backend_.Propose(command, kCommitTimeout);
  if (response.status() == schema::ProposeResponse::STATUS_NOT_LEADER) {
    throw AdminFailure(503, "no_leader", "no leader; nothing was changed");
  }
  if (response.status() != schema::ProposeResponse::STATUS_APPLIED) {
    throw AdminFailure(503, "outcome_unknown",
                       "the change may or may not be applied; send the same request again");
  }
  if (response.result().code() != schema::RESULT_CODE_OK) ThrowRejected(response.result());
  return response.result();
}

std::string AdminCalls::Run(const AdminCall& call) {
  const std::string name = call.path.empty() ? std::string() : call.path[0];
  const bool list = call.path.size() == 1 && call.method == "GET";
  if (name == "documents") return RunDocuments(call);
  if (name == "keys") return RunKeys(call);
  if (name == "backend-servers") return RunBackendServers(call);
  if (name == "failure-domains") return RunFailureDomains(call);
  if (name == "crash-evidence") return RunCrashEvidence(call);
  if (name == "members") return RunMembers(call);
  if (name == "usage") return RunUsage(call);
  if (list && name == "vms") return ListVms(call);
  if (list && name == "orders") return ListOrders();
  if (list && name == "audit") return ListAudit(call);
  if (list && name == "status") return ToJson(backend_.Status());
  if (list && name == "in-force") return ToJson(InForce(call));
  ThrowUnknownCall(call);
}

std::string AdminCalls::RunDocuments(const AdminCall& call) {
  const std::size_t size = call.path.size();
  const std::string tail = size == 3 ? call.path[2] : std::string();
  if (call.method == "GET" && size == 1) return ListDocuments();
  if (call.method == "GET" && size == 2) return ShowDocument(call.path[1]);
  if (call.method == "GET" && tail == "versions") return ListVersions(call.path[1]);
  if (call.method == "PUT" && size == 2) return ApplyDocument(call.path[1], call);
  if (call.method == "POST" && tail == "diff") return DiffDocument(call.path[1], call);
  ThrowUnknownCall(call);
}

std::string AdminCalls::ListDocuments() const {
  schema::ListDocumentsResponse response;
  backend_.ReadState([&](const ControlState& state) {
    for (const auto& [name, document] : state.documents().documents()) {
      *response.add_documents() = Summarize(document);
    }
  });
  return ToJson(response);
}

std::string AdminCalls::ShowDocument(const std::string& name) const {
  schema::ShowDocumentResponse response;
  backend_.ReadState([&](const ControlState& state) {
    const schema::DocumentState& document = RequireDocument(state, name);
    *response.mutable_document() = Summarize(document);
    response.set_content(document.content());
  });
  return ToJson(response);
}

std::string AdminCalls::ListVersions(const std::string& name) const {
  schema::ListVersionsResponse response;
  response.set_document(name);
  backend_.ReadState([&](const ControlState& state) {
    const auto& versions = RequireDocument(state, name).versions();
    for (auto it = versions.rbegin(); it != versions.rend(); ++it) {
      schema::VersionSummary& summary = *response.add_versions();
      summary.set_version(it->version());
      summary.set_content_sha256(common::ToHex(it->content_sha256()));
      summary.set_index(it->index());
      summary.set_operator_name(it->operator_name());
      summary.set_applied_unix_ms(it->applied_unix_ms());
    }
  });
  return ToJson(response);
}

void AdminCalls::RequireParsable(const std::string& document, const std::string& content) const {
  ConfigurationParser parser;
  backend_.ReadState([&](const ControlState& state) { parser = state.documents().parser(); });
  const auto parsed = parser.parse(document, content);
  if (parsed.ok()) return;
  schema::AdminError error;
  error.set_code("invalid");
  error.set_message("the request is refused");
  error.mutable_problems()->Add(parsed.error().begin(), parsed.error().end());
  throw AdminFailure(ToNumber(http::Status::kUnprocessable), std::move(error));
}

std::string AdminCalls::ApplyDocument(const std::string& name, const AdminCall& call) {
  schema::ApplyDocumentRequest request;
  FromJson(call.body, request);
  RequireParsable(name, request.content());
  schema::Command command;
  schema::ApplyConfiguration& apply = *command.mutable_apply_configuration();
  apply.set_document(name);
  apply.set_version(request.version());
  apply.set_content(request.content());
  apply.set_operator_name(call.operator_name);
  const schema::CommandResult result = Commit(command);
  schema::ApplyDocumentResponse response;
  response.set_document(name);
  response.set_version(request.version());
  response.set_index(result.index());
  return ToJson(response);
}

std::string AdminCalls::DiffDocument(const std::string& name, const AdminCall& call) const {
  schema::DiffDocumentRequest request;
  FromJson(call.body, request);
  schema::DiffDocumentResponse response;
  backend_.ReadState([&](const ControlState& state) {
    const Documents::Evaluation evaluation = state.EvaluateDocument(name, request.content());
    response.set_current_version(state.documents().CurrentVersion(name));
    response.mutable_problems()->Add(evaluation.problems.begin(), evaluation.problems.end());
    if (!evaluation.readable) return;
    CompareRows(MakeConfigurationRows(state.documents().merged()),
                MakeConfigurationRows(evaluation.merged), response);
  });
  return ToJson(response, JsonStyle::kCompact);
}

std::string AdminCalls::RunKeys(const AdminCall& call) {
  if (call.path.size() == 1 && call.method == "GET") return ListKeys(call);
  if (call.path.size() == 1 && call.method == "POST") return GrantKey(call);
  if (call.path.size() == 2 && call.path[1] == "withdraw" && call.method == "POST") {
    return WithdrawKey(call);
  }
  ThrowUnknownCall(call);
}

std::string AdminCalls::GrantKey(const AdminCall& call) {
  schema::GrantKeyRequest request;
  FromJson(call.body, request);
  RequireOperationId(request.operation_id());
  schema::Command command;
  schema::GrantKey& grant = *command.mutable_grant_key();
  grant.set_operation_id(request.operation_id());
  grant.set_customer(request.customer());
  grant.set_key_sha256(ParseDigest(request.key_sha256()));
  grant.set_label(request.label());
  grant.set_operator_name(call.operator_name);
  return OperationResult(request.operation_id(), Commit(command));
}

std::string AdminCalls::WithdrawKey(const AdminCall& call) {
  schema::WithdrawKeyRequest request;
  FromJson(call.body, request);
  RequireOperationId(request.operation_id());
  schema::Command command;
  schema::WithdrawKey& withdraw = *command.mutable_withdraw_key();
  withdraw.set_operation_id(request.operation_id());
  withdraw.set_key_sha256(ParseDigest(request.key_sha256()));
  withdraw.set_operator_name(call.operator_name);
  return OperationResult(request.operation_id(), Commit(command));
}

std::string AdminCalls::RunUsage(const AdminCall& call) {
  const std::size_t size = call.path.size();
  if (call.method == "GET" && size >= 2 && call.path[1] == "windows") {
    if (size == 2) return ListUsageWindows();
    if (size == 3) return ShowUsageWindow(ParseNumber("window", call.path[2]));
  }
  ThrowUnknownCall(call);
}

std::string AdminCalls::RunBackendServers(const AdminCall& call) {
  if (call.path.size() == 1 && call.method == "GET") return ListBackendServers();
  const bool action = call.path.size() == 3 && call.method == "POST";
  if (action && call.path[2] == "drain") return Drain(call.path[1], true, call);
  if (action && call.path[2] == "undrain") return Drain(call.path[1], false, call);
  ThrowUnknownCall(call);
}

std::string AdminCalls::RunFailureDomains(const AdminCall& call) {
  if (call.path.size() == 1 && call.method == "GET") return ListFailureDomains();
  const bool action = call.path.size() == 3 && call.method == "POST";
  if (action && call.path[2] == "drain") return DrainFailureDomain(call.path[1], true, call);
  if (action && call.path[2] == "undrain") return DrainFailureDomain(call.path[1], false, call);
  ThrowUnknownCall(call);
}

std::string AdminCalls::DrainFailureDomain(const std::string& id, bool draining,
                                           const AdminCall& call) {
  schema::DrainRequest request;
  FromJson(call.body, request);
  RequireOperationId(request.operation_id());
  schema::Command command;
  schema::DrainFailureDomain& drain = *command.mutable_drain_failure_domain();
  drain.set_operation_id(request.operation_id());
  drain.set_failure_domain(id);
  drain.set_draining(draining);
  drain.set_operator_name(call.operator_name);
  return OperationResult(request.operation_id(), Commit(command));
}

std::string AdminCalls::RunCrashEvidence(const AdminCall& call) {
  if (call.path.size() == 1 && call.method == "GET") return ListCrashEvidence();
  if (call.path.size() == 2 && call.method == "DELETE") {
    return ClearCrashEvidence(call.path[1], call);
  }
  ThrowUnknownCall(call);
}

std::string AdminCalls::ClearCrashEvidence(const std::string& property, const AdminCall& call) {
  schema::ClearCrashEvidenceRequest request;
  FromJson(call.body, request);
  RequireOperationId(request.operation_id());
  schema::Command command;
  schema::ClearCrashEvidence& clear = *command.mutable_clear_crash_evidence();
  clear.set_property(property);
  clear.set_operation_id(request.operation_id());
  clear.set_operator_name(call.operator_name);
  return OperationResult(request.operation_id(), Commit(command));
}

std::string AdminCalls::Drain(const std::string& id, bool draining, const AdminCall& call) {
  schema::DrainRequest request;
  FromJson(call.body, request);
  RequireOperationId(request.operation_id());
  schema::Command command;
  schema::DrainBackend& drain = *command.mutable_drain_backend();
  drain.set_operation_id(request.operation_id());
  drain.set_backend_server(id);
  drain.set_draining(draining);
  drain.set_operator_name(call.operator_name);
  return OperationResult(request.operation_id(), Commit(command));
}

}  // namespace briarwood::control::impl
