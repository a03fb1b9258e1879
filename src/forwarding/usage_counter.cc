#include "forwarding/impl/usage_counter.h"

#include <algorithm>

namespace briarwood::forwarding::impl {
namespace {

/// Length of the boot clock buckets in which counts are kept until the agreed time is known.
constexpr std::chrono::milliseconds kBucketLength{50};

}  // namespace

void UsageCounter::Count(const common::CustomerId& customer, common::Time now) {
  ++counts_[{customer, now.time_since_epoch() / kBucketLength}];
}

std::uint64_t UsageCounter::WallMillis(common::Time at) const {
  const auto since = std::chrono::duration_cast<common::UnixMillis>(at - agreed_->second);
  return static_cast<std::uint64_t>(std::max<std::int64_t>((agreed_->first + since).count(), 0));
}

std::vector<schema::BillingRecord> UsageCounter::TakeRecords() {
  std::vector<schema::BillingRecord> records;
  if (!agreed_) return records;
  const auto length = static_cast<std::uint64_t>(std::max<std::int64_t>(window_.count(), 1));
  std::map<std::pair<common::CustomerId, std::uint64_t>, schema::BillingRecord> by_window;
  for (const auto& [key, count] : counts_) {
    const std::uint64_t wall = WallMillis(common::Time(key.second * kBucketLength));
    schema::BillingRecord& record = by_window[{key.first, wall / length}];
    record.set_calls(record.calls() + count);
    record.set_ended_unix_ms(wall);
  }
  counts_.clear();
  for (auto& [key, record] : by_window) {
    record.mutable_id()->set_entry_incarnation(incarnation_.value());
    record.mutable_id()->set_sequence(next_sequence_++);
    record.mutable_id()->set_attempt(1);
    record.set_customer(key.first.value());
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace briarwood::forwarding::impl
