#include <algorithm>

#include "control/impl/admin_calls.h"
#include "control/impl/admin_failure.h"
#include "control/impl/admin_json.h"
#include "control/impl/admin_numbers.h"

namespace briarwood::control::impl {
namespace {

constexpr std::chrono::seconds kMemberChangeTimeout{5};

common::LogIndex RequireChanged(const common::Result<common::LogIndex>& result) {
  if (!result.ok()) throw AdminFailure(409, "refused", result.error());
  return result.value();
}

schema::Member ToMember(const schema::AddMemberRequest& request) {
  if (request.member_id() == 0 || request.rpc_address().empty()) {
    throw AdminFailure(400, "bad_request", "member_id and rpc_address: expected both");
  }
  schema::Member member;
  member.set_id(request.member_id());
  member.set_rpc_address(request.rpc_address());
  member.set_failure_domain(request.failure_domain());
  return member;
}

}  // namespace

const schema::Member* AdminCalls::FindMember(const schema::MemberStatus& status,
                                             std::uint64_t id) const {
  const auto& members = status.membership().members();
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const schema::Member& member) { return member.id() == id; });
  return found == members.end() ? nullptr : &*found;
}

std::string AdminCalls::RunMembers(const AdminCall& call) {
  const std::size_t size = call.path.size();
  if (size == 1 && call.method == "GET") return ToJson(backend_.Status());
  const schema::MemberStatus status = backend_.Status();
  if (status.role() != "leader") {
    throw AdminFailure(503, "not_leader",
                       "member " + std::to_string(status.member_id()) +
                           " does not lead; send the request to member " +
                           std::to_string(status.leader()));
  }
  if (size == 1 && call.method == "POST") return AddMember(call);
  if (size >= 2) {
    const std::uint64_t id = ParseNumber("member id", call.path[1]);
    if (size == 2 && call.method == "DELETE") return RemoveMember(id, call);
    if (size == 3 && call.method == "POST" && call.path[2] == "promote") {
      return PromoteMember(id, call);
    }
    if (size == 3 && call.method == "POST" && call.path[2] == "replace") {
      return ReplaceMember(id, call);
    }
  }
  throw AdminFailure(404, "unknown_call", "no call " + call.method + " with this path");
}

std::string AdminCalls::MemberChanged(common::LogIndex index) const {
  schema::MemberChangeResponse response;
  response.set_index(index.value());
  *response.mutable_membership() = backend_.Status().membership();
  return ToJson(response);
}

void AdminCalls::RecordMemberAction(const AdminCall& call, const std::string& action,
                                    const std::string& subject) {
  schema::Command command;
  schema::RecordAction& record = *command.mutable_record_action();
  record.set_operator_name(call.operator_name);
  record.set_action(action);
  record.set_subject(subject);
  Commit(command);
}

std::string AdminCalls::AddMember(const AdminCall& call) {
  schema::AddMemberRequest request;
  FromJson(call.body, request);
  const schema::Member member = ToMember(request);
  const schema::MemberStatus status = backend_.Status();
  const schema::Member* existing = FindMember(status, member.id());
  if (existing != nullptr && existing->rpc_address() == member.rpc_address()) {
    return MemberChanged({});
  }
  if (existing != nullptr) {
    throw AdminFailure(409, "conflict", "the member id is in use with another address");
  }
  const common::LogIndex index = RequireChanged(backend_.AddLearner(member, kMemberChangeTimeout));
  RecordMemberAction(call, "add_member", std::to_string(member.id()));
  return MemberChanged(index);
}

std::string AdminCalls::PromoteMember(std::uint64_t id, const AdminCall& call) {
  const schema::MemberStatus status = backend_.Status();
  const schema::Member* member = FindMember(status, id);
  if (member == nullptr) throw AdminFailure(404, "not_found", "no such member");
  if (member->voter()) return MemberChanged({});
  const common::LogIndex index =
      RequireChanged(backend_.Promote(common::MemberId(id), kMemberChangeTimeout));
  RecordMemberAction(call, "promote_member", std::to_string(id));
  return MemberChanged(index);
}

std::string AdminCalls::RemoveMember(std::uint64_t id, const AdminCall& call) {
  if (FindMember(backend_.Status(), id) == nullptr) return MemberChanged({});
  const common::LogIndex index =
      RequireChanged(backend_.Remove(common::MemberId(id), kMemberChangeTimeout));
  RecordMemberAction(call, "remove_member", std::to_string(id));
  return MemberChanged(index);
}

std::string AdminCalls::ReplaceMember(std::uint64_t replaced, const AdminCall& call) {
  // The new member is added first, as a learner without a vote, so the majority never exceeds the
  // number of members that have the log.
  static_cast<void>(AddMember(call));
  return RemoveMember(replaced, call);
}

}  // namespace briarwood::control::impl
