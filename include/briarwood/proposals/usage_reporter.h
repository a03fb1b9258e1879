#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/proposals/proposer.h"
#include "briarwood/usage/usage_ledger.h"
#include "fleet.pb.h"

namespace briarwood::proposals {

struct UsageReporterOptions {
  ProposerOptions proposer;
  /// Id and incarnation of this process.
  std::string reporter;
  common::Incarnation incarnation;
  std::chrono::milliseconds period{1000};
  /// Called on the reporter's thread after a batch is committed; may block.
  std::function<void(common::Incarnation entry, std::uint64_t committed_below)> on_committed;
};

/// Holds billing records until a majority of control members has them, and sends those of the
/// incarnations that this process reports for. Thread-safe.
class UsageReporter {
 public:
  explicit UsageReporter(UsageReporterOptions options);
  ~UsageReporter();
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  void Hold(const schema::BillingRecord& record);

  /// Replaces the control members that batches are sent to.
  void SetMembers(std::vector<std::string> members) { proposer_.SetMembers(std::move(members)); }

  /// Another process has committed these records.
  void Acknowledge(const schema::AcknowledgeUsage& acknowledgement);

  /// Sends the records that these incarnations numbered. An entry reports for itself, an agent for
  /// entries that are dead.
  void ReportFor(std::vector<common::Incarnation> entries);

  /// Waits until nothing is left to send.
  /// \returns false when `limit` passed first.
  bool Flush(std::chrono::milliseconds limit);

  /// Waits for the batch in progress.
  void Stop();

  [[nodiscard]] std::size_t held() const;

 private:
  void Run();
  /// \returns the next batch to send; empty when there is none
  [[nodiscard]] schema::UsageBatch NextBatchLocked(common::Incarnation& entry) const;
  [[nodiscard]] bool Send(const schema::UsageBatch& batch);

  UsageReporterOptions options_;
  Proposer proposer_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  usage::UsageLedger ledger_;
  std::vector<common::Incarnation> entries_;
  bool flushing_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarwood::proposals
