#include "briarwood/proposals/proposer.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "briarwood/common/message_text.h"
#include "briarwood/rpc/error.h"

namespace briarwood::proposals {
namespace {

// Delay between calls while no leader is known; an election takes up to 2 s.
constexpr std::chrono::milliseconds kRetryDelay{20};

}  // namespace

Proposer::Proposer(ProposerOptions options) : options_(std::move(options)) {}

void Proposer::SetMembers(std::vector<std::string> members) {
  const std::lock_guard lock(mutex_);
  if (members == options_.members) return;
  options_.members = std::move(members);
  std::erase_if(clients_, [this](const auto& client) {
    return client.first != leader_ && std::find(options_.members.begin(), options_.members.end(),
                                                client.first) == options_.members.end();
  });
}

schema::ProposeResponse Proposer::Propose(const schema::Command& command, common::Time deadline) {
  schema::ProposeResponse unapplied;
  unapplied.set_status(schema::ProposeResponse::STATUS_NOT_LEADER);
  if (!common::IsReadable(command)) {
    // No member could parse the request, so retries would fail until the deadline.
    unapplied.set_status(schema::ProposeResponse::STATUS_APPLIED);
    unapplied.mutable_result()->set_code(schema::RESULT_CODE_INVALID);
    unapplied.mutable_result()->set_message("the command cannot be read back");
    return unapplied;
  }
  schema::ProposeRequest request;
  *request.mutable_command() = command;
  for (;;) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - common::BootClock::now());
    if (remaining.count() <= 0) return unapplied;
    const std::chrono::milliseconds timeout = std::min(remaining, options_.call_timeout);
    request.set_timeout_ms(static_cast<std::uint64_t>(timeout.count()));
    const std::shared_ptr<rpc::Client> target = TargetClient();
    if (target == nullptr) return unapplied;
    std::string leader;
    try {
      auto response = target->Call<schema::ProposeResponse>("Propose", request, timeout);
      if (response.status() == schema::ProposeResponse::STATUS_APPLIED) return response;
      if (response.status() == schema::ProposeResponse::STATUS_UNKNOWN) {
        unapplied.set_status(schema::ProposeResponse::STATUS_UNKNOWN);
      }
      leader = response.leader_rpc();
    } catch (const rpc::RpcError& error) {
      if (error.sent()) unapplied.set_status(schema::ProposeResponse::STATUS_UNKNOWN);
    }
    SelectNextTarget(target->address(), leader);
    if (leader.empty()) std::this_thread::sleep_for(std::min(remaining, kRetryDelay));
  }
}

std::shared_ptr<rpc::Client> Proposer::TargetClient() {
  const std::lock_guard lock(mutex_);
  if (options_.members.empty()) return nullptr;
  const std::string& address =
      leader_.empty() ? options_.members[next_member_ % options_.members.size()] : leader_;
  std::shared_ptr<rpc::Client>& client = clients_[address];
  if (!client) {
    client = std::make_shared<rpc::Client>(rpc::ClientOptions{.address = address,
                                                              .credential = options_.credential,
                                                              .ca_file = options_.ca_file,
                                                              .timeout = options_.call_timeout});
  }
  return client;
}

void Proposer::SelectNextTarget(const std::string& from, const std::string& leader) {
  const std::lock_guard lock(mutex_);
  if (options_.members.empty()) return;
  const std::string& current =
      leader_.empty() ? options_.members[next_member_ % options_.members.size()] : leader_;
  // Another thread has already selected the next target.
  if (current != from) return;
  if (leader_.empty()) ++next_member_;
  leader_ = leader == from ? std::string() : leader;
}

}  // namespace briarwood::proposals
