#include "control/impl/proposal_table.h"

#include <utility>

namespace briarwood::control {

void ProposalTable::Add(const consensus::LogPosition& position,
                        std::shared_ptr<ProposalPromise> promise) {
  const std::lock_guard lock(mutex_);
  pending_.emplace(position.index.value(), Pending{position.term.value(), std::move(promise)});
}

void ProposalTable::Complete(const schema::LogEntry& entry, const schema::CommandResult& result) {
  const std::lock_guard lock(mutex_);
  const auto [first, last] = pending_.equal_range(entry.index());
  for (auto it = first; it != last; ++it) {
    schema::ProposeResponse response;
    if (it->second.term == entry.term()) {
      response.set_status(schema::ProposeResponse::STATUS_APPLIED);
      *response.mutable_result() = result;
    } else {
      response.set_status(schema::ProposeResponse::STATUS_NOT_LEADER);
    }
    it->second.promise->set_value(std::move(response));
  }
  pending_.erase(first, last);
}

void ProposalTable::AbandonThrough(std::uint64_t index) {
  const std::lock_guard lock(mutex_);
  const auto end = pending_.upper_bound(index);
  for (auto it = pending_.begin(); it != end; ++it) {
    schema::ProposeResponse response;
    response.set_status(schema::ProposeResponse::STATUS_UNKNOWN);
    it->second.promise->set_value(std::move(response));
  }
  pending_.erase(pending_.begin(), end);
}

std::size_t ProposalTable::size() const {
  const std::lock_guard lock(mutex_);
  return pending_.size();
}

}  // namespace briarwood::control
