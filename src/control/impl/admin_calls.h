#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "admin.pb.h"
#include "briarwood/common/time.h"
#include "briarwood/control/admin_backend.h"
#include "briarwood/http/message.h"

namespace briarwood::control::impl {

/// One call of an authenticated operator.
struct AdminCall {
  std::string operator_name;
  std::string method;
  /// Decoded path segments after /v1.
  std::vector<std::string> path;
  std::map<std::string, std::string> query;
  std::string body;
  common::Time now;
};

/// Calls of the administration API, independent of the transport. Functions throw AdminFailure.
class AdminCalls {
 public:
  explicit AdminCalls(AdminBackend& backend) : backend_(backend) {}

  /// \returns the JSON body of the response.
  [[nodiscard]] std::string Run(const AdminCall& call);

  /// \returns which processes have applied the index in query `index`, by default the last change.
  [[nodiscard]] schema::InForceResponse InForce(const AdminCall& call) const;

 private:
  std::string RunDocuments(const AdminCall& call);
  std::string RunKeys(const AdminCall& call);
  std::string RunBackendServers(const AdminCall& call);
  std::string RunCrashEvidence(const AdminCall& call);
  std::string RunMembers(const AdminCall& call);
  std::string RunUsage(const AdminCall& call);

  [[nodiscard]] std::string ListDocuments() const;
  [[nodiscard]] std::string ShowDocument(const std::string& name) const;
  [[nodiscard]] std::string ListVersions(const std::string& name) const;
  [[nodiscard]] std::string ApplyDocument(const std::string& name, const AdminCall& call);
  [[nodiscard]] std::string DiffDocument(const std::string& name, const AdminCall& call) const;
  /// Rejects content that cannot be parsed before it reaches the log. Consistency with the other
  /// documents is checked when the command is applied, because this member may lag.
  void RequireParsable(const std::string& document, const std::string& content) const;
  [[nodiscard]] std::string GrantKey(const AdminCall& call);
  [[nodiscard]] std::string WithdrawKey(const AdminCall& call);
  [[nodiscard]] std::string ListKeys(const AdminCall& call) const;
  [[nodiscard]] std::string ListVms(const AdminCall& call) const;
  [[nodiscard]] std::string ListBackendServers() const;
  [[nodiscard]] std::string RunFailureDomains(const AdminCall& call);
  [[nodiscard]] std::string ListFailureDomains() const;
  [[nodiscard]] std::string DrainFailureDomain(const std::string& id, bool draining,
                                               const AdminCall& call);
  [[nodiscard]] std::string Drain(const std::string& id, bool draining, const AdminCall& call);
  [[nodiscard]] std::string ListCrashEvidence() const;
  [[nodiscard]] std::string ClearCrashEvidence(const std::string& property, const AdminCall& call);
  [[nodiscard]] std::string AddMember(const AdminCall& call);
  [[nodiscard]] std::string ReplaceMember(std::uint64_t replaced, const AdminCall& call);
  [[nodiscard]] std::string PromoteMember(std::uint64_t id, const AdminCall& call);
  [[nodiscard]] std::string RemoveMember(std::uint64_t id, const AdminCall& call);
  [[nodiscard]] std::string ListUsageWindows() const;
  [[nodiscard]] std::string ShowUsageWindow(std::uint64_t id) const;
  [[nodiscard]] std::string ListOrders() const;
  [[nodiscard]] std::string ListAudit(const AdminCall& call) const;

  /// Commits a command; throws AdminFailure if it is rejected or its outcome is unknown.
  schema::CommandResult Commit(const schema::Command& command);
  void RecordMemberAction(const AdminCall& call, const std::string& action,
                          const std::string& subject);
  [[nodiscard]] std::string MemberChanged(common::LogIndex index) const;
  [[nodiscard]] const schema::Member* FindMember(const schema::MemberStatus& status,
                                                 std::uint64_t id) const;

  AdminBackend& backend_;
};

}  // namespace briarwood::control::impl
