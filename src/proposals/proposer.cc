#include "briarwood/proposals/proposer.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "briarwood/rpc/error.h"

namespace briarwood::proposals {
namespace {

// Pause between attempts while there is no leader; an election takes up to 2 s.
constexpr std::chrono::milliseconds kRetryPause{20};

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
  schema::ProposeResponse last;
  last.set_status(schema::ProposeResponse::STATUS_NOT_LEADER);
  schema::ProposeRequest request;
  *request.mutable_command() = command;
  for (;;) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - common::BootClock::now());
    if (left.count() <= 0) return last;
    const std::chrono::milliseconds timeout = std::min(left, options_.call_timeout);
    request.set_timeout_ms(static_cast<std::uint64_t>(timeout.count()));
    const std::shared_ptr<rpc::Client> target = Target();
    if (target == nullptr) return last;
    std::string leader;
    try {
      auto response = target->Call<schema::ProposeResponse>("Propose", request, timeout);
      if (response.status() == schema::ProposeResponse::STATUS_APPLIED) return response;
      if (response.status() == schema::ProposeResponse::STATUS_UNKNOWN) {
        last.set_status(schema::ProposeResponse::STATUS_UNKNOWN);
      }
      leader = response.leader_rpc();
    } catch (const rpc::RpcError& error) {
      if (error.sent()) last.set_status(schema::ProposeResponse::STATUS_UNKNOWN);
    }
    MoveOn(target->address(), leader);
    if (leader.empty()) std::this_thread::sleep_for(std::min(left, kRetryPause));
  }
}

std::shared_ptr<rpc::Client> Proposer::Target() {
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

void Proposer::MoveOn(const std::string& from, const std::string& leader) {
  const std::lock_guard lock(mutex_);
  if (options_.members.empty()) return;
  const std::string& current =
      leader_.empty() ? options_.members[next_member_ % options_.members.size()] : leader_;
  // Another thread has moved on already.
  if (current != from) return;
  if (leader_.empty()) ++next_member_;
  leader_ = leader == from ? std::string() : leader;
}

}  // namespace briarwood::proposals
