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
  /// Id of this process.
  std::string reporter;
  common::Incarnation incarnation;
  std::chrono::milliseconds period{1000};
  /// Optional: called on the reporter's thread after a batch was committed; may block.
  std::function<void(common::Incarnation entry, std::uint64_t committed_below)> on_committed;
};

/// \returns the period between two reports of one entry. It grows with the number of entries, so
/// that the load on the leader does not, up to a limit: what a crashed entry has not reported is
/// lost, and after a crash of half of the entries that must stay below the accuracy of a usage
/// window. \param entries  number of entries of the fleet; 0 if unknown
[[nodiscard]] std::chrono::milliseconds UsageReportPeriod(std::uint32_t entries) noexcept;

/// Holds billing records until a majority of control members has stored them, and proposes those of
/// the incarnations that this process reports for. Thread-safe.
class UsageReporter {
 public:
  explicit UsageReporter(UsageReporterOptions options);
  ~UsageReporter();
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  void Hold(const schema::BillingRecord& record);

  /// Replaces the control members to which batches are proposed.
  void SetMembers(std::vector<std::string> members) { proposer_.SetMembers(std::move(members)); }

  /// Replaces the period between two proposals.
  void SetPeriod(std::chrono::milliseconds period);

  /// Drops records that another process has committed.
  void Acknowledge(const schema::AcknowledgeUsage& acknowledgement);

  /// Sets the entry incarnations whose records are proposed. An entry reports for itself, an agent
  /// for dead entries.
  void ReportFor(std::vector<common::Incarnation> entries);

  /// Proposes held records without waiting for the next period, and blocks until there are none
  /// left to propose.
  /// \returns false when `timeout` passed first.
  bool Flush(std::chrono::milliseconds timeout);

  /// Stops the thread after the batch in progress.
  void Stop();

  /// \returns the number of records held for all entries.
  [[nodiscard]] std::size_t held() const;

 private:
  void Run();
  /// Requires the lock. Sets `entry` to the incarnation that the batch belongs to.
  /// \returns the next batch to propose; empty when there is none.
  [[nodiscard]] schema::UsageBatch NextBatchLocked(common::Incarnation& entry) const;
  /// \returns true when the batch was committed.
  [[nodiscard]] bool ProposeBatch(const schema::UsageBatch& batch);

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
