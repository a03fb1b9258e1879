#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "usage.pb.h"

namespace briarwood::forwarding::impl {

/// Counts the requests of each customer that began to run, by usage window of the agreed time, and
/// creates numbered billing records for them. Not thread-safe.
///
/// The wall clock of a VM may step by seconds, so windows follow the time that the control members
/// agree on, extrapolated with the boot clock.
class UsageCounter {
 public:
  UsageCounter(common::Incarnation incarnation, std::chrono::milliseconds window)
      : incarnation_(incarnation), window_(window) {}

  /// \param agreed  agreed wall clock time at `at`
  void SetAgreedTime(common::UnixMillis agreed, common::Time at) { agreed_ = {{agreed, at}}; }

  void Count(const common::CustomerId& customer, common::Time now);

  /// Removes the counts. Requests that were counted before the agreed time was known are kept until
  /// it is known.
  /// \returns one record for each customer and window counted since the last call.
  [[nodiscard]] std::vector<schema::BillingRecord> TakeRecords();

 private:
  [[nodiscard]] std::uint64_t WallMillis(common::Time at) const;

  common::Incarnation incarnation_;
  std::chrono::milliseconds window_;
  std::optional<std::pair<common::UnixMillis, common::Time>> agreed_;
  /// By customer and number of the bucket, of kBucketLength (50 ms) on the boot clock, in which the
  /// requests began to run.
  std::map<std::pair<common::CustomerId, std::int64_t>, std::uint64_t> counts_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace briarwood::forwarding::impl
