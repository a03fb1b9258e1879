#include "control/impl/applier.h"

#include <algorithm>
#include <utility>

#include "briarwood/common/result.h"

namespace briarwood::control {

namespace {

/// Commands since the last snapshot stay in memory: a member with 32 MiB of them needs 75 MB, which
/// nearly fills a VM with 88 MB.
constexpr std::uint64_t kMinSnapshotThresholdBytes = std::uint64_t{4} * 1024 * 1024;
constexpr std::uint64_t kMaxSnapshotThresholdBytes = std::uint64_t{32} * 1024 * 1024;
/// Commands per snapshot, in multiples of its size, so that a large state is not written often.
constexpr std::uint64_t kSnapshotSizeFactor = 4;

}  // namespace

std::uint64_t SnapshotThresholdBytes(std::uint64_t last_snapshot_bytes) {
  return std::clamp(kSnapshotSizeFactor * last_snapshot_bytes, kMinSnapshotThresholdBytes,
                    kMaxSnapshotThresholdBytes);
}

Applier::Applier(std::unique_ptr<StateMachine> state, ProposalTable& proposals,
                 std::uint64_t snapshot_every_entries)
    : state_(std::move(state)),
      proposals_(proposals),
      snapshot_every_entries_(snapshot_every_entries) {}

Applier::~Applier() { Stop(); }

std::optional<std::string> Applier::Load(common::LogIndex index, const std::string& data) {
  applied_ = index.value();
  last_snapshot_bytes_ = data.size();
  return state_->Restore(data);
}

void Applier::Start(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  thread_ = std::thread([this] { Run(); });
}

void Applier::Stop() {
  queue_.Close();
  if (thread_.joinable()) thread_.join();
  {
    const std::lock_guard lock(applied_mutex_);
    stopped_ = true;
  }
  applied_changed_.notify_all();
}

void Applier::Read(const std::function<void(const StateMachine&)>& read) const {
  const std::shared_lock lock(state_mutex_);
  read(*state_);
}

common::LogIndex Applier::applied_index() const {
  const std::lock_guard lock(applied_mutex_);
  return common::LogIndex(applied_);
}

bool Applier::WaitApplied(common::LogIndex index, common::Time deadline) const {
  std::unique_lock lock(applied_mutex_);
  applied_changed_.wait_until(lock, deadline,
                              [&] { return stopped_ || applied_ >= index.value(); });
  return !stopped_ && applied_ >= index.value();
}

void Applier::Run() {
  try {
    while (true) {
      std::vector<Work> batch = queue_.PopAll();
      if (batch.empty()) return;
      for (const Work& work : batch) {
        std::visit([this](const auto& one) { Do(one); }, work);
      }
      TakeSnapshotWhenDue();
    }
  } catch (const std::exception& error) {
    queue_.Close();
    callbacks_.failed(error.what());
  }
}

schema::CommandResult Applier::ApplyOne(const schema::LogEntry& entry) {
  const common::LogIndex index(entry.index());
  if (entry.kind() != schema::ENTRY_KIND_COMMAND) {
    const std::unique_lock lock(state_mutex_);
    state_->Advance(index);
    return {};
  }
  schema::Command command;
  const bool readable = command.ParseFromString(entry.payload());
  if (!readable) {
    callbacks_.warning("command " + std::to_string(entry.index()) +
                       " is not readable and is skipped");
  }
  const std::unique_lock lock(state_mutex_);
  if (readable) return state_->Apply(index, command);
  // No member can read it, so all of them skip it and their states stay equal.
  state_->Advance(index);
  schema::CommandResult result;
  result.set_code(schema::RESULT_CODE_INVALID);
  result.set_index(entry.index());
  result.set_message("the command is not readable");
  return result;
}

void Applier::Do(const consensus::ApplyEntries& work) {
  std::vector<schema::CommandResult> results;
  for (const schema::LogEntry& entry : work.entries) {
    results.push_back(ApplyOne(entry));
    bytes_since_snapshot_ += entry.payload().size();
  }
  entries_since_snapshot_ += work.entries.size();
  // Published before the proposals complete, so that a caller reads its own write.
  Publish(work.entries.back().index());
  for (std::size_t i = 0; i < results.size(); ++i) {
    proposals_.Complete(work.entries[i], results[i]);
  }
}

void Applier::Do(const consensus::RestoreSnapshot& work) {
  std::optional<std::string> problem;
  {
    const std::unique_lock lock(state_mutex_);
    problem = state_->Restore(*work.data);
  }
  if (problem) throw common::Error("received snapshot is not usable: " + *problem);
  entries_since_snapshot_ = 0;
  bytes_since_snapshot_ = 0;
  last_snapshot_bytes_ = work.data->size();
  Publish(work.metadata.index());
  proposals_.AbandonThrough(work.metadata.index());
}

void Applier::Publish(std::uint64_t index) {
  {
    const std::lock_guard lock(applied_mutex_);
    applied_ = index;
  }
  applied_changed_.notify_all();
  for (const auto& callback : callbacks_.applied) callback(common::LogIndex(index));
}

void Applier::TakeSnapshotWhenDue() {
  if (entries_since_snapshot_ < snapshot_every_entries_ &&
      bytes_since_snapshot_ < SnapshotThresholdBytes(last_snapshot_bytes_)) {
    return;
  }
  entries_since_snapshot_ = 0;
  bytes_since_snapshot_ = 0;
  // Only this thread modifies the state, so reading it needs no lock.
  auto snapshot = std::make_shared<const std::string>(state_->Serialize());
  if (const auto problem = state_->CheckSnapshot(*snapshot)) {
    callbacks_.warning("the snapshot at " + std::to_string(applied_) +
                       " does not replace the last one: " + *problem);
    return;
  }
  last_snapshot_bytes_ = snapshot->size();
  callbacks_.snapshot_taken(common::LogIndex(applied_), std::move(snapshot));
}

}  // namespace briarwood::control
