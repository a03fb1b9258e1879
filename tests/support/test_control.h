#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/control/control_state.h"
#include "briarwood/distribution/error.h"
#include "briarwood/distribution/sync_server.h"
#include "briarwood/rpc/server.h"
#include "control/control_state_fixture.h"
#include "fleet.pb.h"

namespace briarwood::testing_support {

inline constexpr const char* kFleetCredential = "fleet-credential";

/// Control member without consensus: applies commands immediately and serves its table.
class TestControl {
 public:
  explicit TestControl(control::ConfigurationParser parser = control::testing_support::TextParser())
      : state_(std::move(parser)), sync_({.credential = kFleetCredential}, MakeSource()) {
    sync_.Register(rpc_);
    rpc_.Handle<schema::ProposeRequest, schema::ProposeResponse>(
        "Propose", [this](const schema::ProposeRequest& request) {
          schema::ProposeResponse response;
          response.set_status(schema::ProposeResponse::STATUS_APPLIED);
          *response.mutable_result() = Apply(request.command());
          return response;
        });
    auto port = rpc_.Start({.listen = "127.0.0.1:0", .credential = kFleetCredential});
    if (!port.ok()) throw std::runtime_error(port.error());
    address_ = "127.0.0.1:" + std::to_string(port.value());
  }

  ~TestControl() { rpc_.Stop(); }

  TestControl(const TestControl&) = delete;
  TestControl& operator=(const TestControl&) = delete;

  schema::CommandResult Apply(const schema::Command& command) {
    schema::CommandResult result;
    common::LogIndex index;
    {
      const std::lock_guard lock(mutex_);
      commands_.push_back(command);
      result = state_.Apply(common::LogIndex(++index_), command);
      index = common::LogIndex(index_);
    }
    sync_.Notify(index);
    return result;
  }

  /// Stops the advance of the confirmation time, as on a member that is isolated by a partition.
  void Isolate() {
    const std::lock_guard lock(mutex_);
    isolated_at_ = common::BootClock::now();
  }

  /// While it is not reachable, it answers no sync.
  void SetReachable(bool reachable) { reachable_ = reachable; }

  /// Sets the number of entries that syncing entries are told.
  void SetEntryCount(std::uint32_t entries) { entries_ = entries; }

  [[nodiscard]] std::vector<schema::Command> commands() const {
    const std::lock_guard lock(mutex_);
    return commands_;
  }

  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  distribution::SyncSource MakeSource() {
    distribution::SyncSource source;
    source.delta = [this](common::LogIndex since, const distribution::RowFilter& filter) {
      if (!reachable_) throw distribution::DistributionError("not reachable");
      const std::lock_guard lock(mutex_);
      return state_.table().DeltaSince(since, filter);
    };
    source.confirmation = [this] {
      const std::lock_guard lock(mutex_);
      const common::Time now = common::BootClock::now();
      return distribution::Confirmation{
          .confirmed_at = isolated_at_ == common::Time{} ? now : isolated_at_,
          .fence = common::Term(3),
          .index = common::LogIndex(index_)};
    };
    source.complete = [this](const schema::SyncRequest&, schema::SyncResponse& response) {
      response.set_entry_count(entries_);
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      response.set_agreed_unix_ms(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
    };
    return source;
  }

  mutable std::mutex mutex_;
  control::ControlState state_;
  std::uint64_t index_ = 0;
  common::Time isolated_at_;
  std::atomic<std::uint32_t> entries_ = 0;
  std::atomic<bool> reachable_ = true;
  std::vector<schema::Command> commands_;
  rpc::Server rpc_;
  distribution::SyncServer sync_;
  std::string address_;
};

}  // namespace briarwood::testing_support
