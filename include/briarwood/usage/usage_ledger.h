#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/usage/interval_set.h"
#include "usage.pb.h"

namespace briarwood::usage {

/// Billing records that a process holds until a majority of control members has stored them.
///
/// The records are grouped by the incarnation of the entry that assigned their sequences. An entry
/// holds its own records, an agent those of the requests that it executed. Not thread-safe.
class UsageLedger {
 public:
  /// Holds `record` until it is acknowledged. Ignored when a record of the same sequence is held or
  /// was acknowledged.
  void Hold(const schema::BillingRecord& record);

  /// \returns the first `limit` held records of `entry` in ascending order of their sequences. The
  /// records stay held, so that a batch without a response is sent again.
  [[nodiscard]] schema::UsageBatch MakeBatch(common::Incarnation entry, std::size_t limit) const;

  /// Drops the records of a committed batch.
  void Acknowledge(const schema::UsageBatch& batch);

  /// Drops the records of `entry` with a sequence below `committed_below`.
  void AcknowledgeBelow(common::Incarnation entry, std::uint64_t committed_below);

  /// \returns the sequence below which every record of `entry` is committed. Sequences start at 1
  /// and must be contiguous: each needs a record, even when nothing was served.
  [[nodiscard]] std::uint64_t CommittedBelow(common::Incarnation entry) const;

  /// \returns the number of records held for `entry`.
  [[nodiscard]] std::size_t HeldCount(common::Incarnation entry) const;

  /// \returns the number of records held for all entries.
  [[nodiscard]] std::size_t HeldCount() const;

  /// \returns the incarnations for which records are held.
  [[nodiscard]] std::vector<common::Incarnation> HeldIncarnations() const;

 private:
  struct Incarnation {
    std::map<std::uint64_t, schema::BillingRecord> held;
    IntervalSet committed;
    std::uint64_t committed_below = 1;
  };

  std::map<common::Incarnation, Incarnation> incarnations_;
};

}  // namespace briarwood::usage
