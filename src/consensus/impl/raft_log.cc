#include "consensus/impl/raft_log.h"

#include <utility>

#include "briarwood/consensus/error.h"

namespace briarwood::consensus {

std::optional<std::uint64_t> RaftLog::TermAt(std::uint64_t index) const noexcept {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > last_index()) return std::nullopt;
  return At(index).term();
}

std::vector<schema::LogEntry> RaftLog::Slice(std::uint64_t first, std::uint64_t last,
                                             std::size_t max_bytes) const {
  std::vector<schema::LogEntry> slice;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= last && bytes < max_bytes; ++index) {
    slice.push_back(At(index));
    bytes += slice.back().payload().size();
  }
  return slice;
}

void RaftLog::Append(schema::LogEntry entry) {
  if (entry.index() != last_index() + 1) throw ConsensusError("log entry index is not consecutive");
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(std::uint64_t index) {
  while (last_index() >= index && !entries_.empty()) entries_.pop_back();
}

void RaftLog::DropThrough(std::uint64_t index) {
  while (base_index_ < index && !entries_.empty()) {
    base_term_ = entries_.front().term();
    ++base_index_;
    entries_.pop_front();
  }
}

void RaftLog::Reset(std::uint64_t base_index, std::uint64_t base_term) {
  entries_.clear();
  base_index_ = base_index;
  base_term_ = base_term;
}

std::uint64_t RaftLog::LastIndexOfEarlierTerm(std::uint64_t index) const noexcept {
  const std::optional<std::uint64_t> term = TermAt(index);
  while (index > base_index_ && TermAt(index) == term) --index;
  return index;
}

}  // namespace briarwood::consensus
