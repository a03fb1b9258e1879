#pragma once

#include <algorithm>
#include <mutex>
#include <vector>

#include "briarwood/control/admin_backend.h"

namespace briarwood::control::testing_support {

/// Leader of a group with one member, without a log; its clock advances by a second per command.
class FakeAdminBackend : public AdminBackend {
 public:
  static constexpr std::uint64_t kStartUnixMs = std::uint64_t{1'767'225'600'000};

  FakeAdminBackend() = default;
  explicit FakeAdminBackend(ConfigurationParser parser) : state_(std::move(parser)) {}

  schema::ProposeResponse Propose(const schema::Command& command, Milliseconds) override {
    const std::lock_guard lock(mutex_);
    schema::ProposeResponse response;
    schema::Command stamped = command;
    ++index_;
    StampTime(stamped, common::UnixMillis(kStartUnixMs + 1000 * index_));
    *response.mutable_result() = state_.Apply(common::LogIndex(index_), stamped);
    response.set_status(lose_next_answer_ ? schema::ProposeResponse::STATUS_UNKNOWN
                                          : schema::ProposeResponse::STATUS_APPLIED);
    lose_next_answer_ = false;
    return response;
  }

  void ReadState(const std::function<void(const ControlState&)>& read) const override {
    const std::lock_guard lock(mutex_);
    read(state_);
  }

  bool ConfirmRead(Milliseconds) override { return confirmable_; }

  schema::MemberStatus Status() const override {
    const std::lock_guard lock(mutex_);
    schema::MemberStatus status;
    status.set_member_id(1);
    status.set_role("leader");
    status.set_leader(1);
    status.set_term(3);
    status.set_applied_index(index_);
    status.set_confirmed(true);
    *status.mutable_membership() = membership_;
    return status;
  }

  std::vector<membership::NodeView> Nodes() const override {
    const std::lock_guard lock(mutex_);
    membership::NodeView entry;
    entry.identity.set_id("entry-1");
    entry.identity.set_role(schema::NODE_ROLE_ENTRY);
    entry.index = common::LogIndex(lagging_ ? 0 : index_);
    entry.ready = true;
    entry.heard_at = common::BootClock::now();
    return {entry};
  }

  common::Result<common::LogIndex> AddLearner(const schema::Member& member, Milliseconds) override {
    const std::lock_guard lock(mutex_);
    *membership_.add_members() = member;
    return Changed();
  }

  common::Result<common::LogIndex> Promote(common::MemberId id, Milliseconds) override {
    const std::lock_guard lock(mutex_);
    for (schema::Member& member : *membership_.mutable_members()) {
      if (member.id() == id.value()) member.set_voter(true);
    }
    return Changed();
  }

  common::Result<common::LogIndex> Remove(common::MemberId id, Milliseconds) override {
    const std::lock_guard lock(mutex_);
    auto& members = *membership_.mutable_members();
    members.erase(std::remove_if(members.begin(), members.end(),
                                 [&](const auto& member) { return member.id() == id.value(); }),
                  members.end());
    return Changed();
  }

  void DropNextResponse() { lose_next_answer_ = true; }
  void SetConfirmable(bool confirmable) { confirmable_ = confirmable; }
  void SetLagging(bool lagging) { lagging_ = lagging; }
  void RestoreFromSnapshot() {
    const std::lock_guard lock(mutex_);
    state_ = ControlState::Restore(state_.Serialize()).value();
  }

 private:
  common::Result<common::LogIndex> Changed() {
    return common::Result<common::LogIndex>::Success(common::LogIndex(++index_));
  }

  mutable std::mutex mutex_;
  ControlState state_;
  std::uint64_t index_ = 0;
  schema::Membership membership_;
  bool lose_next_answer_ = false;
  bool lagging_ = false;
  bool confirmable_ = true;
};

}  // namespace briarwood::control::testing_support
