#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

#include "briarwood/cli/briarwoodctl.h"
#include "cli/impl/admin_client.h"
#include "cli/impl/ctl_options.h"

namespace briarwood::cli::impl {

/// Executes the command of one command line. Functions throw CtlError.
class CtlCommands {
 public:
  CtlCommands(const CtlOptions& options, const CtlEnvironment& environment, AdminClient& client,
              std::ostream& out)
      : options_(options), environment_(environment), client_(client), out_(out) {}

  /// \returns kOk or kNotInForce.
  [[nodiscard]] ExitCode Run();

 private:
  void RunDocumentCommand(const std::string& command);
  void RunKeyCommand(const std::string& command);
  void RunBackendCommand(const std::string& command);
  void RunDomainCommand(const std::string& command);
  void RunCrashEvidenceCommand(const std::string& command);
  void RunMemberCommand(const std::string& command);

  void Apply();
  void Diff();
  void Show();
  void ListDocuments();
  void ListVersions();
  void InForce();
  void GrantKey();
  void WithdrawKey();
  void ListKeys();
  void ListVms();
  void ListBackendServers();
  /// \param collection  path of the API for what is drained
  void Drain(const std::string& action, const std::string& collection, const char* argument);
  void ListFailureDomains();
  void ListCrashEvidence();
  void ClearCrashEvidence();
  void AddMember();
  void ReplaceMember();
  void ChangeMember(const std::string& method, const std::string& suffix);
  void ShowMembers();
  void ListUsage();
  void ShowUsage();
  void ListOrders();
  void ListAudit();

  [[nodiscard]] std::uint64_t NextVersion();
  [[nodiscard]] std::string OperationId() const;
  /// \returns the argument at a position; throws a usage error if it is missing.
  [[nodiscard]] const std::string& Argument(std::size_t position, const char* name) const;
  [[nodiscard]] std::uint64_t MemberId(std::size_t position) const;
  [[nodiscard]] const std::string& RequireDocument() const;
  /// Sends a change. If no member answers in time, the error names `retry_options`, which make a
  /// retry of the command idempotent.
  void Send(const std::string& retry_options, const std::string& method, const std::string& path,
            const google::protobuf::Message* request, google::protobuf::Message& response);
  /// Prints `json` or `text`, depending on --output.
  void Print(const std::string& json, const std::string& text);
  void WaitInForce(std::uint64_t index);
  void PrintInForce(const std::string& json, const schema::InForceResponse& response);
  void PrintMembers(const schema::Membership& membership, const std::string& json);
  void PrintMemberChange(const std::string& method, const std::string& path,
                         const google::protobuf::Message* request);

  const CtlOptions& options_;
  const CtlEnvironment& environment_;
  AdminClient& client_;
  std::ostream& out_;
  std::string json_;
  ExitCode exit_code_ = ExitCode::kOk;
};

}  // namespace briarwood::cli::impl
