#include "cli/impl/ctl_commands.h"

#include <algorithm>
#include <charconv>
#include <ostream>

#include "briarwood/common/digest.h"
#include "briarwood/common/time.h"
#include "cli/impl/ctl_error.h"
#include "cli/impl/table.h"

namespace briarwood::cli::impl {
namespace {

[[noreturn]] void ThrowUnknownCommand(const std::string& command) {
  throw CtlError(ExitCode::kUsage, "unknown command \"" + command + "\", see --help");
}

std::string Number(std::uint64_t number) { return std::to_string(number); }

std::string YesNo(bool value) { return value ? "yes" : "no"; }

std::string DocumentPath(const std::string& name) { return "/v1/documents/" + EncodeUrl(name); }

}  // namespace

ExitCode CtlCommands::Run() {
  const std::string& group = Argument(0, "a command");
  const bool has_command = options_.words.size() > 1;
  const std::string command = has_command ? options_.words[1] : std::string();
  if (group == "key") {
    RunKeyCommand(command);
  } else if (group == "backend") {
    RunBackendCommand(command);
  } else if (group == "domain") {
    RunDomainCommand(command);
  } else if (group == "crash-evidence") {
    RunCrashEvidenceCommand(command);
  } else if (group == "member") {
    RunMemberCommand(command);
  } else if (group == "vm" && command == "list") {
    ListVms();
  } else if (group == "usage" && command == "list") {
    ListUsage();
  } else if (group == "usage" && command == "show") {
    ShowUsage();
  } else if (group == "order" && command == "list") {
    ListOrders();
  } else if (group == "audit") {
    ListAudit();
  } else if (group == "status") {
    ShowMembers();
  } else if (group == "in-force") {
    InForce();
  } else {
    RunDocumentCommand(group);
  }
  return exit_code_;
}

void CtlCommands::RunDocumentCommand(const std::string& command) {
  if (command == "apply") return Apply();
  if (command == "diff") return Diff();
  if (command == "show") return Show();
  if (command == "documents") return ListDocuments();
  if (command == "versions") return ListVersions();
  ThrowUnknownCommand(command);
}

void CtlCommands::RunKeyCommand(const std::string& command) {
  if (command == "grant") return GrantKey();
  if (command == "withdraw") return WithdrawKey();
  if (command == "list") return ListKeys();
  ThrowUnknownCommand("key " + command);
}

void CtlCommands::RunBackendCommand(const std::string& command) {
  if (command == "list") return ListBackendServers();
  if (command == "drain" || command == "undrain") {
    return Drain(command, "/v1/backend-servers/", "a backend server");
  }
  ThrowUnknownCommand("backend " + command);
}

void CtlCommands::RunDomainCommand(const std::string& command) {
  if (command == "list") return ListFailureDomains();
  if (command == "drain" || command == "undrain") {
    return Drain(command, "/v1/failure-domains/", "a failure domain");
  }
  ThrowUnknownCommand("domain " + command);
}

void CtlCommands::RunCrashEvidenceCommand(const std::string& command) {
  if (command == "list") return ListCrashEvidence();
  if (command == "clear") return ClearCrashEvidence();
  ThrowUnknownCommand("crash-evidence " + command);
}

void CtlCommands::RunMemberCommand(const std::string& command) {
  if (command == "list") return ShowMembers();
  if (command == "add") return AddMember();
  if (command == "replace") return ReplaceMember();
  if (command == "promote") return ChangeMember("POST", "/promote");
  if (command == "remove") return ChangeMember("DELETE", "");
  ThrowUnknownCommand("member " + command);
}

const std::string& CtlCommands::Argument(std::size_t position, const char* name) const {
  if (position >= options_.words.size()) {
    throw CtlError(ExitCode::kUsage, std::string("expected ") + name + ", see --help");
  }
  return options_.words[position];
}

std::uint64_t CtlCommands::MemberId(std::size_t position) const {
  const std::string& text = Argument(position, "a member id");
  std::uint64_t id = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, id);
  if (error != std::errc() || stop != end) {
    throw CtlError(ExitCode::kUsage, "member id: found \"" + text + "\", expected a number");
  }
  return id;
}

const std::string& CtlCommands::RequireDocument() const {
  if (options_.document.empty()) throw CtlError(ExitCode::kUsage, "expected --document NAME");
  return options_.document;
}

std::string CtlCommands::OperationId() const {
  return options_.operation_id.empty() ? environment_.make_operation_id() : options_.operation_id;
}

void CtlCommands::Send(const std::string& retry_options, const std::string& method,
                       const std::string& path, const google::protobuf::Message* request,
                       google::protobuf::Message& response) {
  try {
    json_ = client_.Call(method, path, request, response);
  } catch (const CtlError& error) {
    if (error.code() != ExitCode::kUnavailable) throw;
    throw CtlError(error.code(), std::string(error.what()) + "\nto retry, add " + retry_options);
  }
}

void CtlCommands::Print(const std::string& json, const std::string& text) {
  out_ << (options_.json ? json : text);
}

std::uint64_t CtlCommands::NextVersion() {
  schema::ListDocumentsResponse response;
  client_.Call("GET", "/v1/documents", nullptr, response);
  for (const schema::DocumentSummary& document : response.documents()) {
    if (document.name() == options_.document) return document.version() + 1;
  }
  return 1;
}

void CtlCommands::Apply() {
  const std::string& document = RequireDocument();
  schema::ApplyDocumentRequest request;
  request.set_content(ReadFile(Argument(1, "a file")));
  request.set_version(options_.document_version ? *options_.document_version : NextVersion());
  schema::ApplyDocumentResponse response;
  Send("--document-version " + Number(request.version()), "PUT", DocumentPath(document), &request,
       response);
  Print(json_, "document " + document + " version " + Number(response.version()) +
                   " accepted at index " + Number(response.index()) + "\n");
  WaitInForce(response.index());
}

void CtlCommands::Diff() {
  schema::DiffDocumentRequest request;
  request.set_content(ReadFile(Argument(1, "a file")));
  schema::DiffDocumentResponse response;
  const std::string json =
      client_.Call("POST", DocumentPath(RequireDocument()) + "/diff", &request, response);
  std::string text = "against version " + Number(response.current_version()) + "\n";
  for (const schema::RowChange& change : response.changes()) {
    text += change.change() + " " + change.kind() + " " + change.id() + "\n";
  }
  for (const std::string& problem : response.problems()) text += "problem: " + problem + "\n";
  Print(json, text);
  if (response.problems_size() > 0) exit_code_ = ExitCode::kInvalid;
}

void CtlCommands::Show() {
  schema::ShowDocumentResponse response;
  const std::string json =
      client_.Call("GET", DocumentPath(Argument(1, "a document")), nullptr, response);
  Print(json, response.content());
}

void CtlCommands::ListDocuments() {
  schema::ListDocumentsResponse response;
  const std::string json = client_.Call("GET", "/v1/documents", nullptr, response);
  Table table({"DOCUMENT", "VERSION", "INDEX", "OPERATOR", "APPLIED"});
  for (const schema::DocumentSummary& document : response.documents()) {
    table.Add({document.name(), Number(document.version()), Number(document.index()),
               document.operator_name(), FormatTime(document.applied_unix_ms())});
  }
  Print(json, table.ToString());
}

void CtlCommands::ListVersions() {
  schema::ListVersionsResponse response;
  const std::string json =
      client_.Call("GET", DocumentPath(Argument(1, "a document")) + "/versions", nullptr, response);
  Table table({"VERSION", "INDEX", "OPERATOR", "APPLIED", "CONTENT SHA-256"});
  for (const schema::VersionSummary& version : response.versions()) {
    table.Add({Number(version.version()), Number(version.index()), version.operator_name(),
               FormatTime(version.applied_unix_ms()), version.content_sha256()});
  }
  Print(json, table.ToString());
}

void CtlCommands::InForce() {
  const std::string query = options_.index ? "?index=" + Number(*options_.index) : std::string();
  schema::InForceResponse response;
  const std::string json = client_.Call("GET", "/v1/in-force" + query, nullptr, response);
  if (options_.wait) return WaitInForce(response.index());
  PrintInForce(json, response);
}

void CtlCommands::PrintInForce(const std::string& json, const schema::InForceResponse& response) {
  Table table({"PROCESS", "ROLE", "DOMAIN", "LIVENESS", "READY", "INDEX", "IN FORCE"});
  for (const schema::ProcessView& process : response.processes()) {
    table.Add({process.id(), process.role(), process.failure_domain(), process.liveness(),
               YesNo(process.ready()), Number(process.index()), YesNo(process.in_force())});
  }
  const std::string summary = "index " + Number(response.index()) +
                              " in force everywhere: " + YesNo(response.in_force()) + "\n";
  Print(json, summary + table.ToString());
  if (!response.in_force()) exit_code_ = ExitCode::kNotInForce;
}

void CtlCommands::WaitInForce(std::uint64_t index) {
  if (!options_.wait) return;
  // Shorter than the timeout of one call.
  constexpr std::chrono::milliseconds kMaxPollTimeout{5000};
  const auto deadline = common::BootClock::now() + *options_.wait;
  while (true) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - common::BootClock::now());
    const auto poll = std::clamp(remaining, std::chrono::milliseconds(0), kMaxPollTimeout);
    schema::InForceResponse response;
    const std::string json = client_.Call(
        "GET", "/v1/in-force?index=" + Number(index) + "&wait_ms=" + std::to_string(poll.count()),
        nullptr, response);
    if (response.in_force() || remaining <= kMaxPollTimeout) return PrintInForce(json, response);
  }
}

void CtlCommands::GrantKey() {
  schema::GrantKeyRequest request;
  request.set_customer(Argument(2, "a customer"));
  request.set_label(options_.label);
  request.set_operation_id(OperationId());
  std::string key;
  request.set_key_sha256(options_.key_sha256);
  if (options_.key_sha256.empty()) {
    key = environment_.make_key();
    request.set_key_sha256(common::ToHex(common::Sha256(key)));
  }
  // Only this process knows the key: the control members receive its digest.
  const std::string shown_key = key.empty() ? std::string() : "key " + key + "\n";
  schema::OperationResponse response;
  Send("--operation-id " + request.operation_id() + " --key-sha256 " + request.key_sha256() +
           (key.empty() ? std::string() : ", the " + shown_key),
       "POST", "/v1/keys", &request, response);
  schema::GrantedKey granted;
  granted.set_operation_id(response.operation_id());
  granted.set_index(response.index());
  granted.set_key_sha256(request.key_sha256());
  granted.set_key(key);
  Print(ToJson(granted), "granted to " + request.customer() + " at index " +
                             Number(response.index()) + "\nsha256 " + request.key_sha256() + "\n" +
                             shown_key);
  WaitInForce(response.index());
}

void CtlCommands::WithdrawKey() {
  schema::WithdrawKeyRequest request;
  request.set_operation_id(OperationId());
  request.set_key_sha256(Argument(2, "the SHA-256 of a key"));
  schema::OperationResponse response;
  Send("--operation-id " + request.operation_id(), "POST", "/v1/keys/withdraw", &request, response);
  Print(json_, "withdrawn at index " + Number(response.index()) + "\n");
  WaitInForce(response.index());
}

void CtlCommands::ListKeys() {
  const std::string query =
      options_.customer.empty() ? std::string() : "?customer=" + EncodeUrl(options_.customer);
  schema::ListKeysResponse response;
  const std::string json = client_.Call("GET", "/v1/keys" + query, nullptr, response);
  Table table({"CUSTOMER", "LABEL", "INDEX", "SHA-256"});
  for (const schema::KeyView& key : response.keys()) {
    table.Add({key.customer(), key.label(), Number(key.granted_index()), key.key_sha256()});
  }
  Print(json, table.ToString());
}

void CtlCommands::ListVms() {
  schema::ListVmsResponse response;
  const std::string json = client_.Call("GET", "/v1/vms", nullptr, response);
  Table table({"VM", "DOMAIN"});
  for (const schema::Vm& vm : response.vms()) table.Add({vm.id(), vm.failure_domain()});
  Print(json, table.ToString());
}

void CtlCommands::ListBackendServers() {
  schema::ListBackendServersResponse response;
  const std::string json = client_.Call("GET", "/v1/backend-servers", nullptr, response);
  Table table(
      {"BACKEND SERVER", "DOMAIN", "OFFERS", "LIVENESS", "DRAINING", "RUNNING", "CAPACITY"});
  for (const schema::BackendServerView& server : response.backend_servers()) {
    const schema::BackendServer& row = server.configuration();
    table.Add({row.id(), row.failure_domain(), row.model().empty() ? row.service() : row.model(),
               server.liveness(), YesNo(server.draining()), Number(server.load().running()),
               Number(server.load().capacity())});
  }
  Print(json, table.ToString());
}

void CtlCommands::ListFailureDomains() {
  schema::ListFailureDomainsResponse response;
  const std::string json = client_.Call("GET", "/v1/failure-domains", nullptr, response);
  Table table({"DOMAIN", "DRAINING", "CONFIGURED"});
  for (const schema::FailureDomainView& domain : response.failure_domains()) {
    table.Add({domain.id(), YesNo(domain.draining()), YesNo(domain.configured())});
  }
  Print(json, table.ToString());
}

void CtlCommands::Drain(const std::string& action, const std::string& collection,
                        const char* argument) {
  const std::string& id = Argument(2, argument);
  schema::DrainRequest request;
  request.set_operation_id(OperationId());
  schema::OperationResponse response;
  Send("--operation-id " + request.operation_id(), "POST",
       collection + EncodeUrl(id) + "/" + action, &request, response);
  Print(json_, id + (action == "drain" ? " drains" : " accepts requests again") + " from index " +
                   Number(response.index()) + "\n");
  WaitInForce(response.index());
}

void CtlCommands::ListCrashEvidence() {
  schema::ListCrashEvidenceResponse response;
  const std::string json = client_.Call("GET", "/v1/crash-evidence", nullptr, response);
  Table table({"PROPERTY", "HELD", "CRASHES", "LAST CRASH", "NEXT TRIAL", "BACKEND SERVERS"});
  for (const schema::CrashEvidence& evidence : response.crash_evidence()) {
    std::string servers;
    for (const std::string& server : evidence.backend_servers()) {
      servers += (servers.empty() ? "" : ",") + server;
    }
    table.Add({evidence.property(), YesNo(evidence.held()), Number(evidence.crashes()),
               FormatTime(evidence.last_crash_unix_ms()),
               evidence.held() ? FormatTime(evidence.next_trial_unix_ms()) : "-", servers});
  }
  Print(json, table.ToString());
}

void CtlCommands::ClearCrashEvidence() {
  const std::string& property = Argument(2, "a property");
  schema::ClearCrashEvidenceRequest request;
  request.set_operation_id(OperationId());
  schema::OperationResponse response;
  Send("--operation-id " + request.operation_id(), "DELETE",
       "/v1/crash-evidence/" + EncodeUrl(property), &request, response);
  Print(json_, property + " is cleared at index " + Number(response.index()) + "\n");
  WaitInForce(response.index());
}

void CtlCommands::PrintMembers(const schema::Membership& membership, const std::string& json) {
  Table table({"MEMBER", "RPC ADDRESS", "DOMAIN", "VOTER"});
  for (const schema::Member& member : membership.members()) {
    table.Add({Number(member.id()), member.rpc_address(), member.failure_domain(),
               YesNo(member.voter())});
  }
  Print(json, table.ToString());
}

void CtlCommands::PrintMemberChange(const std::string& method, const std::string& path,
                                    const google::protobuf::Message* request) {
  schema::MemberChangeResponse response;
  const std::string json = client_.Call(method, path, request, response);
  PrintMembers(response.membership(), json);
}

void CtlCommands::AddMember() {
  schema::AddMemberRequest request;
  request.set_member_id(MemberId(2));
  request.set_rpc_address(Argument(3, "an RPC address"));
  request.set_failure_domain(options_.failure_domain);
  PrintMemberChange("POST", "/v1/members", &request);
}

void CtlCommands::ReplaceMember() {
  schema::AddMemberRequest request;
  request.set_member_id(MemberId(3));
  request.set_rpc_address(Argument(4, "an RPC address"));
  request.set_failure_domain(options_.failure_domain);
  PrintMemberChange(
      "POST",
      "/v1/members/" + EncodeUrl(Argument(2, "the id of the member to replace")) + "/replace",
      &request);
}

void CtlCommands::ChangeMember(const std::string& method, const std::string& suffix) {
  PrintMemberChange(method, "/v1/members/" + EncodeUrl(Argument(2, "a member id")) + suffix,
                    nullptr);
}

void CtlCommands::ShowMembers() {
  schema::MemberStatus response;
  const std::string json = client_.Call("GET", "/v1/status", nullptr, response);
  if (!options_.json) {
    out_ << "member " << response.member_id() << " " << response.role() << ", leader "
         << response.leader() << ", term " << response.term() << ", applied "
         << response.applied_index() << ", confirmed "
         << (response.confirmed() ? Number(response.confirmed_ms_ago()) + " ms ago" : "never")
         << (response.failure().empty() ? "" : ", failed: " + response.failure()) << "\n";
  }
  PrintMembers(response.membership(), json);
}

void CtlCommands::ListUsage() {
  schema::ListUsageWindowsResponse response;
  const std::string json = client_.Call("GET", "/v1/usage/windows", nullptr, response);
  Table table({"WINDOW", "START", "END", "STATE", "RECEIPT"});
  constexpr std::size_t kStatePrefix = sizeof("WINDOW_STATE_") - 1;
  for (const schema::UsageWindow& window : response.windows()) {
    table.Add({Number(window.id()), FormatTime(window.start_unix_ms()),
               FormatTime(window.end_unix_ms()),
               schema::WindowState_Name(window.state()).substr(kStatePrefix), window.receipt()});
  }
  Print(json, table.ToString());
}

void CtlCommands::ShowUsage() {
  schema::UsageWindow response;
  const std::string json = client_.Call(
      "GET", "/v1/usage/windows/" + EncodeUrl(Argument(2, "a window")), nullptr, response);
  Table table(
      {"CUSTOMER", "CLASS", "MODEL", "CALLS", "INPUT TOKENS", "OUTPUT TOKENS", "LATE CALLS"});
  for (const schema::UsageLine& line : response.lines()) {
    table.Add({line.customer(), line.class_(), line.model(), Number(line.calls()),
               Number(line.input_tokens()), Number(line.output_tokens()),
               Number(line.late_calls())});
  }
  Print(json, table.ToString());
}

void CtlCommands::ListOrders() {
  schema::ListOrdersResponse response;
  const std::string json = client_.Call("GET", "/v1/orders", nullptr, response);
  Table table({"ORDER", "KIND", "STATE", "FENCE", "DOMAIN", "BACKEND SERVER", "REASON"});
  constexpr std::size_t kKindPrefix = sizeof("ORDER_KIND_") - 1;
  constexpr std::size_t kStatePrefix = sizeof("ORDER_STATE_") - 1;
  for (const schema::OrderRecord& record : response.orders()) {
    const schema::Order& order = record.order();
    table.Add({Number(order.id()), schema::OrderKind_Name(order.kind()).substr(kKindPrefix),
               schema::OrderState_Name(order.state()).substr(kStatePrefix), Number(order.fence()),
               order.failure_domain(), order.backend_server(), order.reason()});
  }
  Print(json, "highest fence " + Number(response.highest_fence()) + "\n" + table.ToString());
}

void CtlCommands::ListAudit() {
  std::string path = "/v1/audit?after_index=" + Number(options_.after_index.value_or(0));
  if (options_.limit) path += "&limit=" + Number(*options_.limit);
  schema::ListAuditResponse response;
  const std::string json = client_.Call("GET", path, nullptr, response);
  Table table({"INDEX", "TIME", "OPERATOR", "ACTION", "RESULT", "SUBJECT"});
  constexpr std::size_t kResultPrefix = sizeof("RESULT_CODE_") - 1;
  for (const schema::AuditRecord& record : response.records()) {
    table.Add({Number(record.index()), FormatTime(record.unix_ms()), record.operator_name(),
               record.action(), schema::ResultCode_Name(record.result()).substr(kResultPrefix),
               record.subject()});
  }
  Print(json, table.ToString());
}

}  // namespace briarwood::cli::impl
