#include "briarwood/proposals/usage_reporter.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "briarwood/proposals/background_proposer.h"

namespace briarwood::proposals {
namespace {

// Limits the size of one log entry to about 100 KiB.
constexpr std::size_t kMaxBatchRecords = 500;
constexpr std::chrono::seconds kProposalTimeout{2};
// Delay before a flush proposes a batch again that was not committed.
constexpr std::chrono::milliseconds kFlushRetryDelay{50};

constexpr std::chrono::milliseconds kMinReportPeriod{120};
/// Half of the entries lose half of a period on average: 2% of a window of 5 s.
constexpr std::chrono::milliseconds kMaxReportPeriod{400};
/// Number of entries up to which all of them report at the minimum period.
constexpr std::uint32_t kEntriesAtMinPeriod = 8;

}  // namespace

std::chrono::milliseconds UsageReportPeriod(std::uint32_t entries) noexcept {
  const auto period = kMinReportPeriod * static_cast<int>(std::min(entries, 1000U)) /
                      static_cast<int>(kEntriesAtMinPeriod);
  return std::clamp(period, kMinReportPeriod, kMaxReportPeriod);
}

UsageReporter::UsageReporter(UsageReporterOptions options)
    : options_(std::move(options)), proposer_(options_.proposer), thread_([this] { Run(); }) {}

UsageReporter::~UsageReporter() { Stop(); }

void UsageReporter::Hold(const schema::BillingRecord& record) {
  const std::lock_guard lock(mutex_);
  ledger_.Hold(record);
}

void UsageReporter::SetPeriod(std::chrono::milliseconds period) {
  const std::lock_guard lock(mutex_);
  options_.period = period;
}

void UsageReporter::Acknowledge(const schema::AcknowledgeUsage& acknowledgement) {
  schema::UsageBatch batch;
  for (const std::uint64_t sequence : acknowledgement.committed_sequences()) {
    schema::BillingId& id = *batch.add_records()->mutable_id();
    id.set_entry_incarnation(acknowledgement.entry_incarnation());
    id.set_sequence(sequence);
  }
  const std::lock_guard lock(mutex_);
  ledger_.AcknowledgeBelow(common::Incarnation(acknowledgement.entry_incarnation()),
                           acknowledgement.committed_below());
  ledger_.Acknowledge(batch);
}

void UsageReporter::ReportFor(std::vector<common::Incarnation> entries) {
  const std::lock_guard lock(mutex_);
  entries_ = std::move(entries);
}

bool UsageReporter::Flush(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  flushing_ = true;
  changed_.notify_all();
  const bool flushed = changed_.wait_for(lock, timeout, [this] {
    common::Incarnation entry;
    return NextBatchLocked(entry).records().empty();
  });
  flushing_ = false;
  return flushed;
}

void UsageReporter::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) thread_.join();
}

std::size_t UsageReporter::held() const {
  const std::lock_guard lock(mutex_);
  return ledger_.HeldCount();
}

void UsageReporter::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    common::Incarnation entry;
    const schema::UsageBatch batch = NextBatchLocked(entry);
    bool committed = false;
    if (!batch.records().empty()) {
      lock.unlock();
      committed = ProposeBatch(batch);
      lock.lock();
    }
    if (committed) {
      ledger_.Acknowledge(batch);
      changed_.notify_all();
      const std::uint64_t below = ledger_.CommittedBelow(entry);
      lock.unlock();
      if (options_.on_committed) options_.on_committed(entry, below);
      lock.lock();
    }
    // Records accumulate for a period, so that a batch contains many of them.
    if (!committed || !flushing_) {
      changed_.wait_for(lock, options_.period, [this] { return stopping_ || flushing_; });
      if (flushing_ && !committed && !stopping_) changed_.wait_for(lock, kFlushRetryDelay);
    }
  }
}

schema::UsageBatch UsageReporter::NextBatchLocked(common::Incarnation& entry) const {
  for (const common::Incarnation& candidate : entries_) {
    schema::UsageBatch batch = ledger_.MakeBatch(candidate, kMaxBatchRecords);
    if (batch.records().empty()) continue;
    batch.set_reporter(options_.reporter);
    batch.set_reporter_incarnation(options_.incarnation.value());
    entry = candidate;
    return batch;
  }
  return {};
}

bool UsageReporter::ProposeBatch(const schema::UsageBatch& batch) {
  schema::Command command;
  *command.mutable_commit_usage()->mutable_batch() = batch;
  command.mutable_commit_usage()->set_now_unix_ms(WallClockMillis());
  const schema::ProposeResponse response =
      proposer_.Propose(command, common::BootClock::now() + kProposalTimeout);
  return response.status() == schema::ProposeResponse::STATUS_APPLIED &&
         response.result().code() == schema::RESULT_CODE_OK;
}

}  // namespace briarwood::proposals
