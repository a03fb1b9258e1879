#include "briarwood/usage/usage_ledger.h"

namespace briarwood::usage {

void UsageLedger::Hold(const schema::BillingRecord& record) {
  Incarnation& incarnation = incarnations_[common::Incarnation(record.id().entry_incarnation())];
  const std::uint64_t sequence = record.id().sequence();
  if (sequence < incarnation.committed_below || incarnation.committed.Contains(sequence)) return;
  incarnation.held.emplace(sequence, record);
}

schema::UsageBatch UsageLedger::MakeBatch(common::Incarnation entry, std::size_t limit) const {
  schema::UsageBatch batch;
  const auto found = incarnations_.find(entry);
  if (found == incarnations_.end()) return batch;
  for (const auto& [sequence, record] : found->second.held) {
    if (static_cast<std::size_t>(batch.records_size()) == limit) break;
    *batch.add_records() = record;
  }
  return batch;
}

void UsageLedger::Acknowledge(const schema::UsageBatch& batch) {
  for (const schema::BillingRecord& record : batch.records()) {
    Incarnation& incarnation = incarnations_[common::Incarnation(record.id().entry_incarnation())];
    incarnation.held.erase(record.id().sequence());
    incarnation.committed.Insert(record.id().sequence());
    incarnation.committed_below = incarnation.committed.FirstMissing(incarnation.committed_below);
  }
}

void UsageLedger::AcknowledgeBelow(common::Incarnation entry, std::uint64_t committed_below) {
  const auto found = incarnations_.find(entry);
  if (found == incarnations_.end()) return;
  Incarnation& incarnation = found->second;
  if (committed_below <= incarnation.committed_below) return;
  incarnation.committed_below = committed_below;
  incarnation.held.erase(incarnation.held.begin(), incarnation.held.lower_bound(committed_below));
}

std::uint64_t UsageLedger::CommittedBelow(common::Incarnation entry) const {
  const auto found = incarnations_.find(entry);
  return found == incarnations_.end() ? 1 : found->second.committed_below;
}

std::size_t UsageLedger::HeldCount(common::Incarnation entry) const {
  const auto found = incarnations_.find(entry);
  return found == incarnations_.end() ? 0 : found->second.held.size();
}

std::size_t UsageLedger::HeldCount() const {
  std::size_t count = 0;
  for (const auto& [id, incarnation] : incarnations_) count += incarnation.held.size();
  return count;
}

std::vector<common::Incarnation> UsageLedger::HeldIncarnations() const {
  std::vector<common::Incarnation> result;
  for (const auto& [id, incarnation] : incarnations_) {
    if (!incarnation.held.empty()) result.push_back(id);
  }
  return result;
}

}  // namespace briarwood::usage
